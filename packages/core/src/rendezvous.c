/* Weighted rendezvous hashing.  The score of an upstream for a bucket is
   -weight / ln (hash), with the hash mapped to (0, 1), and the upstreams with
   the highest scores are chosen.  Adding or removing one upstream moves only
   the flows that it gains or had.  */

#include <math.h>

/* Inlined, since keys are so short that a call would take longer than the
   hash.  */
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <galenaford/config.h>

struct flow_key
{
  struct galena_flow_id flow;
  uint64_t service;
};

struct bucket_key
{
  uint32_t bucket;
  uint32_t service;
};

/* Returns whether an upstream takes part in a ranking.  */
typedef bool upstream_filter (const struct galena_upstream *upstream);

static bool
is_active (const struct galena_upstream *upstream)
{
  return upstream->state == GALENA_UPSTREAM_ACTIVE;
}

static bool
was_active (const struct galena_upstream *upstream)
{
  return upstream->was_active;
}

static double
score (uint64_t bucket_hash, const struct galena_upstream *upstream)
{
  uint64_t hash = XXH64 (&bucket_hash, sizeof bucket_hash, upstream->number);
  double unit = ((double)(hash >> 11) + 0.5) * 0x1.0p-53;

  return -(double)upstream->weight / log (unit);
}

/* The upstreams with the highest scores, best first.  */
struct ranking
{
  uint32_t chosen[GALENA_CANDIDATES_MAX];
  double scores[GALENA_CANDIDATES_MAX];
  uint32_t count;
};

static void
add_ranked (struct ranking *ranking, uint32_t index, double value)
{
  uint32_t at = ranking->count;

  if (at == GALENA_CANDIDATES_MAX)
    {
      at--;
      if (value <= ranking->scores[at])
        return;
    }
  else
    ranking->count++;
  while (at > 0 && ranking->scores[at - 1] < value)
    {
      ranking->scores[at] = ranking->scores[at - 1];
      ranking->chosen[at] = ranking->chosen[at - 1];
      at--;
    }
  ranking->scores[at] = value;
  ranking->chosen[at] = index;
}

static void
rank (const struct galena_config *config, const struct galena_service *service,
      uint32_t bucket, upstream_filter *filter, struct ranking *ranking)
{
  struct bucket_key key = { bucket, service->number };
  uint64_t bucket_hash = XXH64 (&key, sizeof key, 0);
  uint32_t end = service->first_upstream + service->upstream_count;

  ranking->count = 0;
  for (uint32_t i = service->first_upstream; i < end; i++)
    {
      const struct galena_upstream *upstream
          = galena_config_upstream (config, i);

      if (filter (upstream))
        add_ranked (ranking, i, score (bucket_hash, upstream));
    }
}

uint32_t
galena_service_bucket (const struct galena_service *service,
                       struct galena_flow_id flow)
{
  struct flow_key key = { flow, service->number };

  return (uint32_t)XXH64 (&key, sizeof key, 0) % GALENA_BUCKETS;
}

uint32_t
galena_config_candidates (const struct galena_config *config,
                          const struct galena_service *service,
                          struct galena_flow_id flow,
                          uint32_t chosen[GALENA_CANDIDATES_MAX])
{
  return galena_config_bucket_candidates (
      config, service, galena_service_bucket (service, flow), chosen);
}

uint32_t
galena_config_bucket_candidates (const struct galena_config *config,
                                 const struct galena_service *service,
                                 uint32_t bucket,
                                 uint32_t chosen[GALENA_CANDIDATES_MAX])
{
  struct ranking ranking;

  rank (config, service, bucket, is_active, &ranking);
  for (uint32_t i = 0; i < ranking.count; i++)
    chosen[i] = ranking.chosen[i];
  return ranking.count;
}

/* Appends the first GALENA_HASH_ROUTED_CANDIDATES upstreams of RANKING to
   CHAIN, except those it has already, and returns the new length of the chain.
 */
static uint32_t
extend_chain (const struct ranking *ranking, uint32_t *chain, uint32_t count)
{
  for (uint32_t i = 0; i < ranking->count && i < GALENA_HASH_ROUTED_CANDIDATES;
       i++)
    {
      uint32_t at = 0;

      while (at < count && chain[at] != ranking->chosen[i])
        at++;
      if (at == count)
        chain[count++] = ranking->chosen[i];
    }
  return count;
}

uint32_t
galena_config_chain (const struct galena_config *config,
                     const struct galena_service *service, uint32_t bucket,
                     uint32_t chain[GALENA_CHAIN_MAX])
{
  struct ranking ranking;
  uint32_t count;

  rank (config, service, bucket, is_active, &ranking);
  count = extend_chain (&ranking, chain, 0);
  rank (config, service, bucket, was_active, &ranking);
  return extend_chain (&ranking, chain, count);
}
