/* A simulated fleet of processes, each with a real galena_sync, over fake
   links and a fake platform.  It runs in virtual time and is reproducible from
   its seed.  */

#ifndef SYNCS_H
#define SYNCS_H

#include <glib.h>

#include <galenaford/random.h>
#include <galenaford/sync.h>

enum
{
  SYNCS_REPLICAS = 2
};

/* A published version of a record.  */
struct syncs_version
{
  struct galena_service_record record;
  struct galena_clock at;
  /* Size of its text in bytes.  */
  uint32_t size;
  /* Whether it fails validation.  */
  bool invalid;
  /* Bit R is set when replica R of the platform has this version.  */
  uint32_t replicas;
};

struct syncs_process
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
  uint32_t lives;
  /* Set when the current records changed; cleared by the user of the fleet. */
  bool changed;
  /* Bytes sent to peers, with 80 bytes per message for its headers and its
     acknowledgement.  */
  uint64_t bytes;
  /* Bytes received from peers, counted in the same way.  */
  uint64_t received;
  /* Connection of each link, by packed handle.  */
  GHashTable *links;
};

/* The cached index of a replica, made again when the versions visible there
   change.  */
struct syncs_index
{
  struct galena_index_record record;
  guint versions;
  struct galena_clock stale_at;
};

struct syncs_options
{
  uint64_t seed;
  /* Delay in milliseconds of a message between peers, and of a read.  */
  uint32_t link_ms;
  uint32_t read_ms;
};

struct syncs
{
  struct syncs_options options;
  struct galena_clock now;
  struct galena_random random;
  struct syncs_process *processes;
  uint32_t count;
  /* Processes from this index on were never started.  */
  uint32_t used;
  /* Array of struct syncs_version.  */
  GArray *versions;
  /* The list of instances, an array of struct galena_instance, and its
     generation.  */
  GArray *instances;
  uint64_t list_generation;
  bool platform_down;
  /* Versions published later than this are not visible on the replica.  */
  struct galena_clock stale_at[SYNCS_REPLICAS];
  struct syncs_index indices[SYNCS_REPLICAS];
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

struct syncs *syncs_create (const struct syncs_options *options,
                            uint32_t count);
void syncs_destroy (struct syncs *syncs);

/* Starts process INDEX with a copy of OPTIONS, in which the seed and the audit
   trail are filled in.  */
void syncs_start (struct syncs *syncs, uint32_t index,
                  const struct galena_sync_options *options);

/* Ends process INDEX immediately and closes its connections.  */
void syncs_kill (struct syncs *syncs, uint32_t index);

/* Publishes a copy of RECORD, whose text has SIZE bytes.  Returns the new
   version, valid until the next call.  */
struct syncs_version *
syncs_publish (struct syncs *syncs, const struct galena_service_record *record,
               uint32_t size);

/* Runs the simulation until the virtual time UNTIL_MS.  */
void syncs_run (struct syncs *syncs, int64_t until_ms);

/* Returns the number of running processes that keep service NUMBER but are not
   synced, or whose current record is not the one of GENERATION and DIGEST.  */
uint32_t syncs_count_behind (const struct syncs *syncs, uint32_t number,
                             uint64_t generation, uint64_t digest);

/* Returns the maximum number of reads within any second from FROM_MS on.  */
uint32_t syncs_most_reads (const struct syncs *syncs, int64_t from_ms);

#endif
