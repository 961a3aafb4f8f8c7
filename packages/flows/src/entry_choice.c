/* The choice of an upstream for a new flow.  */

#include <string.h>

#include <xxhash.h>

#include "entry_waiting.h"

enum
{
  /* Service time in microseconds that is assumed for all upstreams of a
     service before any of their agents has reported one, so that only queues
     count.  */
  ASSUMED_SERVICE_US = 20000,
  /* Maximum number of requests per slot of an upstream.  The last one waits
     for three others, which takes about as long as the latency that callers
     aim at for a whole request.  */
  REQUESTS_PER_SLOT = 4,
  /* Number of upstreams that the default policy compares.  */
  CANDIDATES = 4,
  /* The rank of an upstream of the own availability zone is moved towards the
     maximum: its distance is shifted right by two bits, so that it ranks first
     four times as often.  With four zones, about two of four candidates are
     then in the own zone.  */
  OWN_ZONE_BITS = 2,
  US_PER_MS = 1000
};

/* Factor on the service time of an upstream that warms up, while its own
   service time is unknown.  */
static const double WARM_UP_FACTOR = 1.6;

/* Returns the factor on the mean service time that is assumed for
   UPSTREAM.  */
static double
warm_up_factor (const struct galena_plane *plane,
                const struct upstream_row *upstream)
{
  /* A reported service time already includes the warm-up.  */
  return upstream->load.service_us == 0
                 && !galena_clock_reached (plane->now, upstream->warmed_up_at)
             ? WARM_UP_FACTOR
             : 1;
}

/* Returns the expected time in microseconds until one more request would be
   answered, by the last report.  */
static double
wait_cost (const struct galena_plane *plane,
           const struct upstream_row *upstream,
           const struct galena_service_mean *mean)
{
  bool known = upstream->load.service_us > 0;
  double service = known ? upstream->load.service_us : mean->service_us;
  double ahead
      = (double)upstream->load.pending_requests + upstream->unanswered_opens;

  return galena_estimate_answer_us (ahead, upstream->slots, service)
         * warm_up_factor (plane, upstream);
}

/* Same, by what the last report lets expect by now.  */
static double
estimated_cost (const struct galena_plane *plane,
                const struct upstream_row *upstream,
                const struct galena_service_mean *mean)
{
  struct galena_known_load known = {
    .reported = upstream->reported_at.ms != 0,
    .age_ms
    = (double)galena_clock_elapsed_ms (upstream->reported_at, plane->now),
    .pending_requests = upstream->load.pending_requests,
    .service_us = upstream->load.service_us,
    .utilisation
    = (double)upstream->load.utilisation / GALENA_UTILISATION_UNIT,
    .slots = upstream->slots,
    .sent = upstream->unanswered_opens,
  };
  struct galena_estimated_load estimate = galena_estimate_load (&known, mean);

  return galena_estimate_answer_us (estimate.pending_requests, upstream->slots,
                                    estimate.service_us)
         * warm_up_factor (plane, upstream);
}

static double
queue_cost (const struct galena_plane *plane,
            const struct upstream_row *upstream,
            const struct galena_service_mean *mean)
{
  (void)plane;
  (void)mean;
  return (double)upstream->load.pending_requests + upstream->unanswered_opens;
}

static double
no_cost (const struct galena_plane *plane, const struct upstream_row *upstream,
         const struct galena_service_mean *mean)
{
  (void)plane;
  (void)mean;
  (void)upstream;
  return 0;
}

/* Without load control the first one is the default, with it the last one.  */
static const struct choice_policy POLICIES[] = {
  { "least-wait", wait_cost, CANDIDATES, false },
  { "least-queue", queue_cost, CANDIDATES, false },
  { "random", no_cost, 1, false },
  { "estimated-wait", estimated_cost, CANDIDATES, true },
};

enum
{
  POLICY_COUNT = sizeof POLICIES / sizeof POLICIES[0]
};

const char *
galena_plane_choice_name (uint32_t index)
{
  return index < POLICY_COUNT ? POLICIES[index].name : NULL;
}

const struct choice_policy *
entry_choice_named (const struct galena_plane *plane, const char *name)
{
  if (name == NULL)
    return &POLICIES[plane->options.load_control ? POLICY_COUNT - 1 : 0];
  for (size_t i = 0; i < POLICY_COUNT; i++)
    if (strcmp (POLICIES[i].name, name) == 0)
      return &POLICIES[i];
  return NULL;
}

galena_service_key
entry_service_for (const struct galena_route *route,
                   struct galena_flow_key key)
{
  uint64_t caller = ((uint64_t)key.caller.ip << 16) | key.caller.port;
  uint64_t total = 0;
  uint64_t point;

  for (uint32_t i = 0; i < route->share_count; i++)
    total += route->shares[i].weight;
  if (total == 0)
    return 0;
  /* Retransmissions of an open get the same service at every entry.  */
  point = XXH64 (&caller, sizeof caller, key.service_address.port) % total;
  for (uint32_t i = 0; i < route->share_count; i++)
    {
      if (point < route->shares[i].weight)
        return route->shares[i].service;
      point -= route->shares[i].weight;
    }
  return 0;
}

uint64_t
entry_rank (const struct galena_plane *plane, struct galena_flow_key key,
            const struct upstream_row *upstream)
{
  uint64_t flow[2] = {
    ((uint64_t)key.caller.ip << 16) | key.caller.port,
    ((uint64_t)key.service_address.ip << 16) | key.service_address.port,
  };
  uint64_t hash = XXH3_64bits_withSeed (flow, sizeof flow, upstream->agent.ip);

  if (upstream->zone != plane->options.zone)
    return hash;
  return ~(~hash >> OWN_ZONE_BITS);
}

/* Exceptions from what keeps an upstream from being chosen.  */
enum admitted
{
  /* Upstreams that have handed the flow back.  */
  ADMIT_HANDED_BACK = 1,
  /* Upstreams that are chosen only when there is no other.  */
  ADMIT_LAST_RESORT = 2
};

/* Returns whether FLOW was sent to the upstream that HANDLE names and may not
   be sent there again.  */
static bool
was_attempted (const struct entry_flow *flow, struct galena_handle handle,
               unsigned admitted)
{
  for (uint32_t i = 0; i < flow->attempt_count; i++)
    if (galena_handle_pack (flow->attempts[i].upstream)
        == galena_handle_pack (handle))
      return (admitted & ADMIT_HANDED_BACK) == 0
             || !flow->attempts[i].handed_back;
  return false;
}

static bool
was_handed_back (const struct entry_flow *flow)
{
  for (uint32_t i = 0; i < flow->attempt_count; i++)
    if (flow->attempts[i].handed_back)
      return true;
  return false;
}

static bool
takes_flows (const struct upstream_row *upstream, galena_service_key service)
{
  return entry_is_ready (upstream) && entry_service_of (upstream) == service;
}

static bool
is_suspect (const struct galena_plane *plane,
            const struct upstream_row *upstream)
{
  return !galena_clock_reached (plane->now, upstream->suspect_until);
}

/* Cost factor of other availability zones.  It equals the largest random
   difference between two equal upstreams, so that among equals those of the
   own zone are preferred.  */
static const double OTHER_ZONE_FACTOR = 1.0625;

/* Returns the cost of UPSTREAM with that of the way there.  */
static double
cost_of (const struct galena_plane *plane, const struct upstream_row *upstream,
         const struct galena_service_mean *mean)
{
  const struct entry_tables *entry = plane->entry;
  double cost = entry->choice->cost (plane, upstream, mean);
  bool own_zone = upstream->zone == plane->options.zone;

  if (entry->choice->is_time)
    return cost
           + US_PER_MS
                 * (own_zone ? entry->own_zone_ms : entry->other_zone_ms);
  return own_zone ? cost : cost * OTHER_ZONE_FACTOR;
}

/* Returns COST with up to 1/16 added at random, so that entries with the same
   information do not all choose the same upstream.  */
static double
blur (struct galena_plane *plane, double cost)
{
  return cost * (1 + (double)galena_random_below (&plane->random, 64) / 1024);
}

/* Returns whether UPSTREAM is at its limit of requests: the opens that it has
   not answered to this entry reach its slots, or the total reaches the maximum
   per slot.  The opens count twice in the total, since other entries send it
   flows too and their unanswered opens are not known here.  */
static bool
is_busy (const struct galena_plane *plane, const struct upstream_row *upstream)
{
  double slots = entry_usable_slots (plane, upstream);
  uint32_t per_slot
      = entry_waiting_has_backlog (plane, entry_service_of (upstream))
            ? ENTRY_ORDERED_REQUESTS_PER_SLOT
            : REQUESTS_PER_SLOT;

  if (upstream->slots == 0)
    return false;
  return upstream->unanswered_opens >= slots
         || upstream->load.pending_requests + 2 * upstream->unanswered_opens
                >= per_slot * slots;
}

/* What keeps a ready upstream from being chosen.  */
struct exclusion
{
  const char *name;
  bool (*applies) (const struct galena_plane *plane,
                   const struct upstream_row *upstream);
  /* Whether flows wait for the upstream rather than being refused when all
     others are excluded too.  */
  bool passes;
  /* Whether the upstream is chosen all the same when there is no other.  */
  bool last_resort;
};

static const struct exclusion EXCLUSIONS[] = {
  { "evacuated", entry_is_evacuated, false, false },
  { "suspect", is_suspect, false, true },
  { "warming-up", entry_is_warming_up, true, false },
  { "ejected", entry_is_ejected, false, true },
  { "busy", is_busy, true, false },
};

enum
{
  EXCLUSION_COUNT = sizeof EXCLUSIONS / sizeof EXCLUSIONS[0]
};

/* Returns the first exclusion of UPSTREAM, or NULL.  With LAST_RESORT, those
   that have an exception for it do not count.  */
static const struct exclusion *
exclusion_of (const struct galena_plane *plane,
              const struct upstream_row *upstream, bool last_resort)
{
  for (size_t i = 0; i < EXCLUSION_COUNT; i++)
    if (!(last_resort && EXCLUSIONS[i].last_resort)
        && EXCLUSIONS[i].applies (plane, upstream))
      return &EXCLUSIONS[i];
  return NULL;
}

void
entry_rank_add (struct ranking *ranking, struct galena_handle handle,
                uint64_t rank)
{
  uint32_t at = ranking->count;

  if (ranking->count < ranking->limit)
    ranking->count++;
  else if (rank <= ranking->ranks[--at])
    return;
  for (; at > 0 && ranking->ranks[at - 1] < rank; at--)
    {
      ranking->ranks[at] = ranking->ranks[at - 1];
      ranking->rows[at] = ranking->rows[at - 1];
    }
  ranking->ranks[at] = rank;
  ranking->rows[at] = handle;
}

/* The upstreams that may be chosen.  */
struct eligible
{
  struct ranking ranking;
  /* Whether an upstream was left out for a reason that passes.  */
  bool busy;
  /* Sum of the known service times in microseconds, and their number.  */
  double service_us;
  uint32_t known_count;
  /* Sum of the reported utilisations, and their number.  */
  double utilisation;
  uint32_t reported_count;
};

static void
add_eligible (const struct galena_plane *plane, const struct entry_flow *flow,
              const struct upstream_row *upstream, struct galena_handle handle,
              struct eligible *eligible)
{
  eligible->service_us += upstream->load.service_us;
  eligible->known_count += upstream->load.service_us > 0;
  eligible->utilisation += upstream->load.utilisation;
  eligible->reported_count += upstream->reported_at.ms != 0;
  entry_rank_add (&eligible->ranking, handle,
                  entry_rank (plane, flow->key, upstream));
}

/* Finds the upstreams that may get FLOW.  ADMITTED has bits of enum
   admitted.  */
static void
find_eligible (const struct galena_plane *plane, const struct entry_flow *flow,
               unsigned admitted, struct eligible *eligible)
{
  const struct exclusion *exclusion;
  const struct upstream_row *upstream;
  struct galena_handle handle;
  uint32_t cursor = 0;

  *eligible
      = (struct eligible){ .ranking.limit = plane->entry->choice->candidates };
  while ((upstream
          = galena_table_next (plane->entry->upstreams, &cursor, &handle))
         != NULL)
    {
      if (!takes_flows (upstream, flow->service)
          || was_attempted (flow, handle, admitted))
        continue;
      exclusion = exclusion_of (plane, upstream,
                                (admitted & ADMIT_LAST_RESORT) != 0);
      if (exclusion != NULL)
        {
          eligible->busy |= exclusion->passes;
          continue;
        }
      add_eligible (plane, flow, upstream, handle, eligible);
    }
}

enum galena_result
entry_no_upstream_reason (const struct galena_plane *plane,
                          galena_service_key service)
{
  enum galena_result reason = GALENA_REFUSED_NO_UPSTREAM;
  const struct upstream_row *upstream;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((upstream
          = galena_table_next (plane->entry->upstreams, &cursor, &handle))
         != NULL)
    {
      if (!takes_flows (upstream, service))
        continue;
      if (!entry_is_evacuated (plane, upstream))
        return GALENA_REFUSED_NO_UPSTREAM;
      reason = GALENA_REFUSED_EVACUATED;
    }
  return reason;
}

static struct galena_service_mean
mean_of (const struct eligible *eligible)
{
  struct galena_service_mean mean = { .service_us = ASSUMED_SERVICE_US };

  if (eligible->known_count > 0)
    mean.service_us = eligible->service_us / eligible->known_count;
  if (eligible->reported_count > 0)
    mean.utilisation
        = eligible->utilisation
          / (GALENA_UTILISATION_UNIT * (double)eligible->reported_count);
  return mean;
}

/* Chooses the candidate with the lowest cost.  */
static void
choose_cheapest (struct galena_plane *plane, const struct eligible *eligible,
                 struct choice *choice)
{
  struct galena_service_mean mean = mean_of (eligible);
  double best = 0;
  double best_cost = 0;
  double alternative = UINT32_MAX;

  for (uint32_t i = 0; i < eligible->ranking.count; i++)
    {
      struct galena_handle row = eligible->ranking.rows[i];
      double cost = cost_of (plane, entry_upstream (plane, row), &mean);
      double blurred = blur (plane, cost);
      bool is_best = i == 0 || blurred < best;
      double other = is_best ? best_cost : cost;

      if (i > 0 && other < alternative)
        alternative = other;
      if (!is_best)
        continue;
      best = blurred;
      best_cost = cost;
      choice->upstream = row;
    }
  choice->alternative_us
      = plane->entry->choice->is_time ? (uint32_t)alternative : UINT32_MAX;
}

enum choice_outcome
entry_choose (struct galena_plane *plane, const struct entry_flow *flow,
              struct choice *choice)
{
  struct eligible eligible;

  find_eligible (plane, flow, 0, &eligible);
  if (eligible.ranking.count == 0 && was_handed_back (flow))
    find_eligible (plane, flow, ADMIT_HANDED_BACK, &eligible);
  if (eligible.ranking.count == 0 && !eligible.busy)
    find_eligible (plane, flow, ADMIT_HANDED_BACK | ADMIT_LAST_RESORT,
                   &eligible);
  if (eligible.ranking.count == 0)
    return eligible.busy ? CHOICE_BUSY : CHOICE_NONE;
  choose_cheapest (plane, &eligible, choice);
  return CHOICE_MADE;
}
