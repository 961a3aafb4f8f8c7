/* The front end for packets in the platform's format, whose data is opaque:
   one thread forwards packets, one reads routes and upstreams from the
   platform's key-value store, and one serves the process's status over
   HTTP.  */

#ifndef GALENAFORD_PACKET_FRONTEND_H
#define GALENAFORD_PACKET_FRONTEND_H

#include <pthread.h>

#include <galenaford/directory.h>
#include <galenaford/plane.h>

#include "process.h"

enum
{
  /* Most live peers that are asked for a snapshot, one after the other.  */
  PACKET_PEERS_MAX = 16
};

struct platform_reader;

/* State that the threads of the front end share.  */
struct packet_frontend
{
  struct process *process;
  /* IPv4 addresses of entries that sent a message recently; 0 for none.  */
  atomic_uint peers[PACKET_PEERS_MAX];
  /* Encoded snapshot of the catalog for peers; guarded by the lock.  */
  pthread_mutex_t snapshot_lock;
  uint8_t *snapshot;
  size_t snapshot_size;
  /* Read under RCU; replaced by the platform reader.  */
  struct galena_directory *directory;
  /* Whether routes and upstreams are known and no shutdown has begun.  */
  atomic_bool ready;
  /* Whether the entry reports itself not ready because its link is nearly full
     and entries with a larger link can take its flows.  */
  atomic_bool out_of_rotation;
  /* Counters and gauges as of the last copy.  */
  atomic_ullong counters[GALENA_PLANE_COUNTER_COUNT];
  atomic_ullong buckets[GALENA_PLANE_HISTOGRAM_COUNT]
                       [GALENA_HISTOGRAM_BUCKETS];
  atomic_ullong sums_ms[GALENA_PLANE_HISTOGRAM_COUNT];
  atomic_uint flows;
  atomic_uint ejected_upstreams;
  /* Number of pauses, times in which the process did not run, that the packet
     thread has detected.  */
  atomic_ullong pauses;
  /* Value of `pauses' up to which the directory is known to be up to date: the
     platform has been read since that pause.  */
  atomic_ullong pauses_refreshed;
  /* NULL in an agent.  */
  struct platform_reader *reader;
  atomic_ullong platform_calls;
  atomic_ullong platform_failures;
  /* Changes that were skipped because something newer was known.  */
  atomic_ullong changes_skipped;
  /* Era of the store in its last reply; 0 while unknown.  */
  atomic_ullong store_era;
  /* Of the configuration in the directory.  */
  atomic_ullong version;
  /* Number of evacuated zones in the directory.  */
  atomic_uint evacuated_zones;
};

/* Runs the front end until the process stops.
   Errors: GALENA_ERR_IO, GALENA_ERR_MEMORY, GALENA_ERR_NOT_FOUND.  */
enum galena_result packet_frontend_run (struct process *process);

/* packet_loop.c */

/* Forwards packets until the process stops.
   Errors: as packet_frontend_run.  */
enum galena_result packet_loop_run (struct packet_frontend *frontend);

/* platform_reader.c */

/* Starts the thread that reads the platform's store and stores it in *OUT; the
   caller stops it.
   Errors: GALENA_ERR_IO, GALENA_ERR_MEMORY, GALENA_ERR_INVALID.  */
enum galena_result platform_reader_start (struct packet_frontend *frontend,
                                          struct platform_reader **out);

/* Waits for the thread to end, which it does once the process is stopping, and
   frees it; accepts NULL.  */
void platform_reader_stop (struct platform_reader *reader);

/* Wakes READER to check the number of pauses; accepts NULL.  */
void platform_reader_wake (struct platform_reader *reader);

/* status_server.c */

struct status_server;

/* Starts the HTTP server at the status address and stores it in *OUT; the
   caller stops it.  Errors: GALENA_ERR_IO, GALENA_ERR_MEMORY.  */
enum galena_result status_server_start (struct packet_frontend *frontend,
                                        struct status_server **out);

/* Stops the server and frees it; accepts NULL.  */
void status_server_stop (struct status_server *server);

/* status_metrics.c */

/* Returns the whole metrics page, which the caller frees; NULL when memory is
   lacking.  */
char *status_metrics_text (struct packet_frontend *frontend);

/* packet_log.c */

/* Logs that the process has started, with the address at which peers reach
   it.  */
void packet_log_started (const struct process *process);

/* Logs each event of the last tick of PLANE.  */
void packet_log_events (const struct galena_plane *plane);

#endif
