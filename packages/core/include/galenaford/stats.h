/* Statistics by kind of work, by upstream and by reason, and the report that
   copies them out of a world.  */

#ifndef GALENAFORD_STATS_H
#define GALENAFORD_STATS_H

#include <galenaford/audit.h>
#include <galenaford/clock.h>
#include <galenaford/counters.h>
#include <galenaford/result.h>
#include <galenaford/world.h>

enum
{
  /* Result codes are below this number.  */
  GALENA_RESULT_LIMIT = 64,
  /* Buckets of a latency histogram: four to each doubling of the time.  */
  GALENA_LATENCY_BUCKETS = 64,
  /* Most audit rows in one report.  */
  GALENA_REPORT_AUDIT_ROWS = 128
};

/* Histogram of times in milliseconds.  */
struct galena_latency
{
  uint32_t counts[GALENA_LATENCY_BUCKETS];
};

/* Adds a time of MS milliseconds to LATENCY.  */
void galena_latency_add (struct galena_latency *latency, uint64_t ms);

/* Adds the times of OTHER to LATENCY.  */
void galena_latency_merge (struct galena_latency *latency,
                           const struct galena_latency *other);

/* Returns the upper bound in milliseconds of the bucket that holds the given
   PERCENT of the times; 0 when there are none.  */
uint64_t galena_latency_percentile (const struct galena_latency *latency,
                                    uint32_t percent);

/* One row per counter of a kind of work: enum value, name, description.  */
#define GALENA_KIND_COUNTERS(X)                                               \
  X (GALENA_KIND_OPENS, "opens", "Opens received, without repeats.")          \
  X (GALENA_KIND_ACCEPTED, "accepted", "Flows accepted.")                     \
  X (GALENA_KIND_REQUESTS, "requests", "Requests received, without repeats.") \
  X (GALENA_KIND_ANSWERED, "answered", "Requests answered in full.")          \
  X (GALENA_KIND_REFUSED, "refused", "Opens and requests refused.")           \
  X (GALENA_KIND_OVERLOADS, "overloads",                                      \
     "Refusals for lack of room or time.")                                    \
  X (GALENA_KIND_UNKNOWN, "unknown", "Requests whose outcome is unknown.")

enum galena_kind_counter
{
#define GALENA_KIND_COUNTER_ENUM(value, name, description) value,
  GALENA_KIND_COUNTERS (GALENA_KIND_COUNTER_ENUM)
#undef GALENA_KIND_COUNTER_ENUM
      GALENA_KIND_COUNTER_COUNT
};

/* Returns the name of COUNTER.  */
const char *galena_kind_counter_name (enum galena_kind_counter counter);

/* Returns one sentence that describes COUNTER.  */
const char *galena_kind_counter_description (enum galena_kind_counter counter);

/* One kind of work of one service.  */
struct galena_kind_stats
{
  uint32_t service;
  uint16_t kind;
  /* Whether work of the kind is refused for lack of room or time.  */
  bool overloaded;
  /* When the overload ends unless more work is refused before.  */
  struct galena_clock overload_end;
  /* Value of GALENA_KIND_OVERLOADS at the last check for overload.  */
  uint64_t overloads_seen;
  uint64_t values[GALENA_KIND_COUNTER_COUNT];
  /* Agent: from the first part of a request to its end.  Entry: from an open
     to its acceptance.  */
  struct galena_latency latency;
  /* Requests that are queued and that run now; agent only.  */
  uint32_t queued;
  uint32_t running;
};

/* One upstream as an entry sees it.  */
struct galena_upstream_stats
{
  uint32_t upstream;
  uint64_t opens;
  uint64_t accepted;
  uint64_t refused;
  /* Opens without a reply in time.  */
  uint64_t unanswered;
  /* Expected wait in milliseconds, as the agent last reported.  */
  uint32_t wait_ms;
  /* Whether new flows avoid the upstream, since an open timed out.  */
  bool suspect;
};

struct galena_report_options
{
  /* Most rows of each table; further ones are left out.  */
  uint32_t kinds;
  uint32_t upstreams;
};

/* A copy of the state and the statistics of a world.  */
struct galena_report
{
  struct galena_clock at;
  bool draining;
  struct galena_counters counters;
  /* Refusals and malformed datagrams by result code.  */
  uint64_t refused[GALENA_RESULT_LIMIT];
  uint64_t malformed[GALENA_RESULT_LIMIT];
  struct galena_world_usage usage;
  struct galena_report_options capacity;
  uint32_t kind_count;
  uint32_t upstream_count;
  uint32_t audit_count;
  /* Owned.  */
  struct galena_kind_stats *kinds;
  struct galena_upstream_stats *upstreams;
  /* The newest rows of the audit trail, oldest first.  */
  struct galena_audit_row audit[GALENA_REPORT_AUDIT_ROWS];
};

/* Creates an empty report in *OUT; the caller owns it.
   Errors: GALENA_ERR_MEMORY.  */
enum galena_result
galena_report_create (const struct galena_report_options *options,
                      struct galena_report **out);

/* Destroys REPORT; accepts NULL.  */
void galena_report_destroy (struct galena_report *report);

/* Copies the state of WORLD into REPORT.  */
void galena_world_report (const struct galena_world *world,
                          struct galena_report *report);

/* Copies the newest rows of AUDIT into REPORT.  */
void galena_report_copy_audit (struct galena_report *report,
                               const struct galena_audit *audit);

/* Counts a datagram that did not decode, by REASON.  */
void galena_world_count_malformed (struct galena_world *world,
                                   enum galena_result reason);

/* Counts messages that the front end could not send.  */
void galena_world_count_unsent (struct galena_world *world, uint32_t count);

#endif
