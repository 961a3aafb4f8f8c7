/* Weighted rendezvous hashing: each upstream draws a score for the flow from
   a hash, -weight / ln(hash), and the highest scores win.  Adding or removing
   one upstream moves only the flows that it wins or held.  */

#include <math.h>

#include <xxhash.h>

#include <galenaford/config.h>

struct score_key
{
  struct galena_flow_id flow;
  uint64_t service;
};

static double
score (uint64_t flow_hash, const struct galena_upstream *upstream)
{
  uint64_t draw = XXH64 (&flow_hash, sizeof flow_hash, upstream->number);
  double unit = ((double)(draw >> 11) + 0.5) * 0x1.0p-53;

  return -(double)upstream->weight / log (unit);
}

/* Puts INDEX with VALUE into the ordered lists; returns their new length.  */
static uint32_t
rank (uint32_t *chosen, double *values, uint32_t count, uint32_t index,
      double value)
{
  uint32_t at = count;

  if (count == GALENA_CANDIDATES_MAX)
    {
      if (value <= values[count - 1])
        return count;
      at = count - 1;
    }
  else
    count++;
  while (at > 0 && values[at - 1] < value)
    {
      values[at] = values[at - 1];
      chosen[at] = chosen[at - 1];
      at--;
    }
  values[at] = value;
  chosen[at] = index;
  return count;
}

uint32_t
galena_config_candidates (const struct galena_config *config,
                          const struct galena_service *service,
                          struct galena_flow_id flow,
                          uint32_t chosen[GALENA_CANDIDATES_MAX])
{
  struct score_key key = { flow, service->number };
  uint64_t flow_hash = XXH64 (&key, sizeof key, 0);
  double values[GALENA_CANDIDATES_MAX];
  uint32_t end = service->first_upstream + service->upstream_count;
  uint32_t count = 0;

  for (uint32_t i = service->first_upstream; i < end; i++)
    {
      const struct galena_upstream *upstream
          = galena_config_upstream (config, i);
      if (upstream->state != GALENA_UPSTREAM_ACTIVE)
        continue;
      count = rank (chosen, values, count, i, score (flow_hash, upstream));
    }
  return count;
}
