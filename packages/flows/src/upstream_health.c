/* The outcomes of an upstream's requests in a sliding second.  */

#include "upstream_health.h"

enum
{
  /* A request behind a full queue of an upstream with two slots, eight
     requests, takes five service times.  */
  OVERDUE_SERVICE_TIMES = 8,
  /* After a third of the timeout, a caller still has time for a second
     attempt elsewhere.  */
  OVERDUE_TIMEOUT_DIVISOR = 3,
  /* A third of the shortest timeout of the known deployments.  */
  OVERDUE_DEFAULT_MS = 500,
  US_PER_MS = 1000
};

void
upstream_health_add (struct upstream_health *health, struct galena_clock now,
                     bool failed)
{
  int64_t step = now.ms / HEALTH_BUCKET_MS;
  struct health_bucket *bucket = &health->buckets[step % HEALTH_BUCKETS];

  if (bucket->step != step)
    *bucket = (struct health_bucket){ .step = step };
  bucket->finished++;
  bucket->failed += failed;
}

struct health_counts
upstream_health_count (const struct upstream_health *health,
                       struct galena_clock now)
{
  int64_t step = now.ms / HEALTH_BUCKET_MS;
  struct health_counts counts = { 0, 0 };

  for (uint32_t i = 0; i < HEALTH_BUCKETS; i++)
    if (step - health->buckets[i].step < HEALTH_BUCKETS)
      {
        counts.finished += health->buckets[i].finished;
        counts.failed += health->buckets[i].failed;
      }
  return counts;
}

int64_t
upstream_health_overdue_ms (double service_us, uint32_t timeout_ms)
{
  int64_t by_service_ms
      = (int64_t)(service_us * OVERDUE_SERVICE_TIMES / US_PER_MS);
  int64_t least_ms = timeout_ms != 0
                         ? (int64_t)timeout_ms / OVERDUE_TIMEOUT_DIVISOR
                         : OVERDUE_DEFAULT_MS;

  return by_service_ms > least_ms ? by_service_ms : least_ms;
}
