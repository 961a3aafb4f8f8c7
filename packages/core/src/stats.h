/* The tables of statistics inside a world.  */

#ifndef GALENAFORD_STATS_PRIVATE_H
#define GALENAFORD_STATS_PRIVATE_H

#include <galenaford/stats.h>

struct galena_stats;

/* Creates empty tables in *OUT, whose maps use SEED; the caller owns them.
   Errors: GALENA_ERR_MEMORY.  */
enum galena_result galena_stats_create (uint64_t seed,
                                        struct galena_stats **out);

/* Destroys STATS; accepts NULL.  */
void galena_stats_destroy (struct galena_stats *stats);

/* Increments COUNTER of KIND of the service with number SERVICE.  */
void galena_stats_count (struct galena_world *world, uint32_t service,
                         uint16_t kind, enum galena_kind_counter counter);

/* Counts a refusal by RESULT, and by KIND unless SERVICE is 0, which means
   that it is not known.  */
void galena_stats_count_refusal (struct galena_world *world, uint32_t service,
                                 uint16_t kind, enum galena_result result);

/* Adds a time of MS milliseconds to the latency of KIND.  */
void galena_stats_add_latency (struct galena_world *world, uint32_t service,
                               uint16_t kind, int64_t ms);

/* Returns the row of UPSTREAM, created if needed, or a row that is never
   reported when the table is full.  */
struct galena_upstream_stats *
galena_stats_upstream (struct galena_world *world, uint32_t upstream);

/* System: detects which kinds enter and leave overload, and removes the rows
   of upstreams that are in no record.  */
void galena_stats_run (struct galena_world *world);

enum
{
  GALENA_STATS_PERIOD_MS = 1000
};

#endif
