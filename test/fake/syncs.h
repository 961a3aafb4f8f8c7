/* The syncs of many processes over fake links and a fake platform, in
   virtual time from one seed.  */

#ifndef SYNCS_H
#define SYNCS_H

#include <glib.h>

#include <galenaford/random.h>
#include <galenaford/sync.h>

enum
{
  SYNCS_REPLICAS = 2
};

/* A record as published.  */
struct syncs_version
{
  struct galena_service_record record;
  struct galena_clock at;
  /* Bytes of its text.  */
  uint32_t size;
  /* Whether it fails validation.  */
  bool invalid;
  /* Bit R is set when replica R of the platform has it.  */
  uint32_t replicas;
};

struct syncs_process
{
  /* NULL while the process is down.  */
  struct galena_sync *sync;
  struct galena_sync_options options;
  struct galena_audit *audit;
  /* Links pass between processes of one group only.  */
  uint32_t group;
  bool cut_from_platform;
  /* Replica of the platform that the process reads.  */
  uint32_t replica;
  struct galena_clock frozen_until;
  struct galena_clock due;
  /* Number of starts.  */
  uint32_t lives;
  /* Set when the records in force changed; cleared by its reader.  */
  bool changed;
  /* Sent to peers, with 80 bytes for each message's headers and its
     acknowledgement.  */
  uint64_t bytes;
  /* Received from peers, counted the same way.  */
  uint64_t received;
  /* Connection of each link, by packed handle.  */
  GHashTable *links;
};

/* The index that a replica shows, made anew when what it shows changes.  */
struct syncs_index
{
  struct galena_index_record record;
  guint versions;
  struct galena_clock stale_at;
};

struct syncs_options
{
  uint64_t seed;
  /* Delay of a message between peers, and of a read.  */
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
  /* Processes from here on were never started.  */
  uint32_t used;
  /* As struct syncs_version.  */
  GArray *versions;
  /* As struct galena_instance; the list, and its generation.  */
  GArray *instances;
  uint64_t list_generation;
  bool platform_down;
  /* A replica shows nothing later than this instant.  */
  struct galena_clock stale_at[SYNCS_REPLICAS];
  struct syncs_index indices[SYNCS_REPLICAS];
  /* Connections, as struct conn of syncs.c.  */
  GArray *conns;
  /* What arrives in each millisecond, as struct arrival.  */
  GArray **wheel;
  /* Reads that wait for a newer index, as struct arrival.  */
  GArray *watches;
  /* Reads in each millisecond, as uint32_t.  */
  GArray *reads;
};

struct syncs *syncs_create (const struct syncs_options *options,
                            uint32_t count);
void syncs_destroy (struct syncs *syncs);

/* Starts process INDEX with OPTIONS, whose seed and audit are filled in.  */
void syncs_start (struct syncs *syncs, uint32_t index,
                  const struct galena_sync_options *options);

/* Ends process INDEX at once.  */
void syncs_kill (struct syncs *syncs, uint32_t index);

/* Publishes RECORD, which is copied; SIZE is that of its text.  Returns the
   version, valid until the next one.  */
struct syncs_version *
syncs_publish (struct syncs *syncs, const struct galena_service_record *record,
               uint32_t size);

/* Moves the time on to UNTIL_MS.  */
void syncs_run (struct syncs *syncs, int64_t until_ms);

/* Returns how many processes that are up and want service NUMBER act on
   another record than GENERATION with DIGEST, or on a snapshot before it. */
uint32_t syncs_count_behind (const struct syncs *syncs, uint32_t number,
                             uint64_t generation, uint64_t digest);

/* Returns the most reads within any second from FROM_MS on.  */
uint32_t syncs_most_reads (const struct syncs *syncs, int64_t from_ms);

#endif
