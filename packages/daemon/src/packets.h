/* The front end for opaque packets: one thread moves packets, one reads the
   platform, and one answers questions about the process's state.  */

#ifndef GALENAFORD_PACKETS_H
#define GALENAFORD_PACKETS_H

#include <pthread.h>

#include <galenaford/directory.h>
#include <galenaford/plane.h>

#include "process.h"

enum
{
  /* Most peers that are asked for a snapshot in turn.  */
  PACKET_PEERS_MAX = 16
};

struct platform_reader;

/* What the threads of the front end share.  */
struct packet_frontend
{
  struct process *process;
  /* Addresses of entries that were heard lately; 0 for none.  */
  atomic_uint peers[PACKET_PEERS_MAX];
  /* Encoded snapshot for peers, under its lock.  */
  pthread_mutex_t snapshot_lock;
  uint8_t *snapshot;
  size_t snapshot_size;
  /* Read under RCU; replaced by the thread that reads the platform.  */
  struct galena_directory *directory;
  /* Whether routes and upstreams are known, and the process does not stop. */
  atomic_bool ready;
  /* Whether the entry steps aside for stronger ones.  */
  atomic_bool out_of_rotation;
  /* Counters as of the last copy, and the gauges.  */
  atomic_ullong counters[GALENA_PLANE_COUNTER_COUNT];
  atomic_ullong buckets[GALENA_PLANE_HISTOGRAM_COUNT]
                       [GALENA_HISTOGRAM_BUCKETS];
  atomic_ullong sums_ms[GALENA_PLANE_HISTOGRAM_COUNT];
  atomic_uint flows;
  /* Pauses that the thread that moves packets has noticed, and up to which of
     them the directory is known to be current.  */
  atomic_ullong pauses;
  atomic_ullong pauses_refreshed;
  /* NULL in an agent.  */
  struct platform_reader *reader;
  atomic_ullong platform_calls;
  atomic_ullong platform_failures;
  atomic_ullong version;
};

/* Runs the front end until the process stops.
   Errors: GALENA_ERR_IO, GALENA_ERR_MEMORY, GALENA_ERR_NOT_FOUND.  */
enum galena_result packet_frontend_run (struct process *process);

/* packet_loop.c */

/* Moves packets until the process stops.  Errors: as packets_run.  */
enum galena_result packet_loop_run (struct packet_frontend *frontend);

/* packet_reader.c */

/* Starts the thread that reads the platform.
   Errors: GALENA_ERR_IO, GALENA_ERR_MEMORY, GALENA_ERR_INVALID.  */
enum galena_result platform_reader_start (struct packet_frontend *frontend,
                                          struct platform_reader **out);

/* Ends the thread; accepts NULL.  */
void platform_reader_stop (struct platform_reader *reader);

/* Has READER look at the count of pauses; accepts NULL.  */
void platform_reader_wake (struct platform_reader *reader);

/* packet_status.c */

struct status_server;

/* Starts to answer at the status address.
   Errors: GALENA_ERR_IO, GALENA_ERR_MEMORY.  */
enum galena_result status_server_start (struct packet_frontend *frontend,
                                        struct status_server **out);

/* Ends it; accepts NULL.  */
void status_server_stop (struct status_server *status);

/* packet_log.c */

/* Writes the line of a start, with the address that peers know the process
   by.  */
void packet_log_started (const struct process *process);

/* Writes a line for each note of the last tick of PLANE.  */
void packet_log_events (const struct galena_plane *plane);

#endif
