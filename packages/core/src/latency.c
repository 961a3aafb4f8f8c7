/* Latency histogram: one bucket for each millisecond below four, then four
   buckets to each doubling of the time.  */

#include <galenaford/stats.h>

enum
{
  /* Buckets to each doubling, and the binary logarithm of that number.  */
  STEPS = 4,
  STEP_BITS = 2
};

static uint32_t
bucket_of (uint64_t ms)
{
  uint32_t top;
  uint64_t bucket;

  if (ms < STEPS)
    return (uint32_t)ms;
  top = 63 - (uint32_t)__builtin_clzll (ms);
  bucket = (uint64_t)(top - STEP_BITS + 1) * STEPS
           + ((ms >> (top - STEP_BITS)) & (STEPS - 1));
  if (bucket >= GALENA_LATENCY_BUCKETS)
    return GALENA_LATENCY_BUCKETS - 1;
  return (uint32_t)bucket;
}

/* Returns the greatest time in milliseconds that BUCKET holds.  */
static uint64_t
bucket_end (uint32_t bucket)
{
  uint32_t shift;

  if (bucket < STEPS)
    return bucket;
  shift = bucket / STEPS - 1;
  return ((uint64_t)(STEPS + bucket % STEPS + 1) << shift) - 1;
}

void
galena_latency_add (struct galena_latency *latency, uint64_t ms)
{
  latency->counts[bucket_of (ms)]++;
}

void
galena_latency_merge (struct galena_latency *latency,
                      const struct galena_latency *other)
{
  for (uint32_t i = 0; i < GALENA_LATENCY_BUCKETS; i++)
    latency->counts[i] += other->counts[i];
}

uint64_t
galena_latency_percentile (const struct galena_latency *latency,
                           uint32_t percent)
{
  uint64_t total = 0;
  uint64_t seen = 0;

  for (uint32_t i = 0; i < GALENA_LATENCY_BUCKETS; i++)
    total += latency->counts[i];
  for (uint32_t i = 0; i < GALENA_LATENCY_BUCKETS; i++)
    {
      seen += latency->counts[i];
      if (seen > 0 && seen * 100 >= total * percent)
        return bucket_end (i);
    }
  return 0;
}
