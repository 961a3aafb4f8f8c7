/* The outcomes of an upstream's requests in a sliding second, and when a
   request without an answer is overdue.  No input or output; the agent feeds
   it with what it sees.  */

#ifndef GALENAFORD_UPSTREAM_HEALTH_H
#define GALENAFORD_UPSTREAM_HEALTH_H

#include <galenaford/clock.h>

enum
{
  HEALTH_BUCKET_MS = 100,
  HEALTH_BUCKETS = 10
};

/* Outcomes in one step of HEALTH_BUCKET_MS.  */
struct health_bucket
{
  /* Number of the step since time 0.  */
  int64_t step;
  uint32_t finished;
  uint32_t failed;
};

/* A ring of the last HEALTH_BUCKETS steps.  */
struct upstream_health
{
  struct health_bucket buckets[HEALTH_BUCKETS];
};

/* Requests that ended in the last second, and those of them that failed.  */
struct health_counts
{
  uint32_t finished;
  uint32_t failed;
};

/* Adds an outcome at NOW.  */
void upstream_health_add (struct upstream_health *health,
                          struct galena_clock now, bool failed);

/* Returns the outcomes of the second before NOW.  */
struct health_counts
upstream_health_count (const struct upstream_health *health,
                       struct galena_clock now);

/* Returns for how many milliseconds a request may lack the first byte of an
   answer.  SERVICE_US is the mean service time of the upstream, TIMEOUT_MS the
   timeout of the request's route; 0 when unknown.  */
int64_t upstream_health_overdue_ms (double service_us, uint32_t timeout_ms);

#endif
