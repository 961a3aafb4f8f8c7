/* A simulated fleet of processes, each with a real galena_sync, over fake
   links and a fake platform (see sync.h).  It runs in virtual time and is
   reproducible from its seed.  */

#ifndef SYNC_FLEET_H
#define SYNC_FLEET_H

#include <glib.h>

#include <galenaford/random.h>
#include <galenaford/sync.h>

enum
{
  SYNC_FLEET_REPLICAS = 2
};

/* A published version of a record.  */
struct sync_fleet_version
{
  struct galena_service_record record;
  struct galena_clock published_at;
  /* Size of its text in bytes.  */
  uint32_t size;
  /* Whether it fails validation.  */
  bool invalid;
  /* Bit R is set when replica R of the platform has this version.  */
  uint32_t replicas;
};

struct sync_fleet_process
{
  /* NULL while the process is down.  */
  struct galena_sync *sync;
  struct galena_sync_options options;
  struct galena_audit *audit;
  /* Network partition: messages pass only between processes of the same
     group.  */
  uint32_t group;
  bool cut_from_platform;
  /* Replica of the platform that the process reads.  */
  uint32_t replica;
  struct galena_clock frozen_until;
  struct galena_clock due;
  /* Number of starts of the process so far.  */
  uint32_t incarnation;
  /* Set when the current records changed; cleared by the user of the fleet. */
  bool changed;
  /* Bytes sent to peers, with 80 bytes per message for its headers and its
     acknowledgement.  */
  uint64_t bytes_sent;
  /* Bytes received from peers, counted in the same way.  */
  uint64_t bytes_received;
  /* Connection of each link, by packed handle.  */
  GHashTable *links;
};

/* The cached index of a replica, made again when the versions visible there
   change.  */
struct sync_fleet_index
{
  struct galena_index_record record;
  guint versions;
  struct galena_clock visible_until;
};

struct sync_fleet_options
{
  uint64_t seed;
  /* Delay in milliseconds of a message between peers, and of a read.  */
  uint32_t link_ms;
  uint32_t read_ms;
};

struct sync_fleet
{
  struct sync_fleet_options options;
  struct galena_clock now;
  struct galena_random random;
  struct sync_fleet_process *processes;
  uint32_t count;
  /* Processes from this index on were never started.  */
  uint32_t used;
  /* Array of struct sync_fleet_version.  */
  GArray *versions;
  /* The list of instances, an array of struct galena_instance, and its
     generation.  */
  GArray *instances;
  uint64_t list_generation;
  /* Era of the platform.  */
  uint64_t era;
  bool platform_down;
  /* Versions published later than this are not visible on the replica.  */
  struct galena_clock visible_until[SYNC_FLEET_REPLICAS];
  struct sync_fleet_index indices[SYNC_FLEET_REPLICAS];
  /* Array of struct conn, which is private.  */
  GArray *conns;
  /* Timing wheel with a slot per millisecond: arrays of struct arrival, which
     is private.  */
  GArray **wheel;
  /* Long-poll reads that wait for a newer index, an array of struct
     arrival.  */
  GArray *watches;
  /* Number of reads in each millisecond, an array of uint32_t.  */
  GArray *reads;
};

struct sync_fleet *sync_fleet_create (const struct sync_fleet_options *options,
                                      uint32_t count);
void sync_fleet_destroy (struct sync_fleet *fleet);

/* Starts process INDEX with a copy of OPTIONS, in which the seed and the audit
   trail are filled in.  */
void sync_fleet_start (struct sync_fleet *fleet, uint32_t index,
                       const struct galena_sync_options *options);

/* Ends process INDEX immediately and closes its connections.  */
void sync_fleet_kill (struct sync_fleet *fleet, uint32_t index);

/* Publishes a copy of RECORD, whose text has SIZE bytes.  Returns the new
   version, valid until the next call.  */
struct sync_fleet_version *
sync_fleet_publish (struct sync_fleet *fleet,
                    const struct galena_service_record *record, uint32_t size);

/* The platform comes back from a copy made at COPIED_AT, with the generations
   of that time and LIST_GENERATION for the list of instances.  */
void sync_fleet_restore (struct sync_fleet *fleet,
                         struct galena_clock copied_at,
                         uint64_t list_generation);

/* Runs the simulation until the virtual time UNTIL_MS.  */
void sync_fleet_run (struct sync_fleet *fleet, int64_t until_ms);

/* Returns the number of running processes that keep service NUMBER but are not
   synced, or whose current record is not the one of GENERATION and DIGEST.  */
uint32_t sync_fleet_count_behind (const struct sync_fleet *fleet,
                                  uint32_t number, uint64_t generation,
                                  uint64_t digest);

/* Returns the maximum number of reads within any second from FROM_MS on.  */
uint32_t sync_fleet_max_reads_per_second (const struct sync_fleet *fleet,
                                          int64_t from_ms);

#endif
