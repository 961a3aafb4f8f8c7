/* Which upstream gets a new flow.  */

#include <string.h>

#include <xxhash.h>

#include "entry_tables.h"

enum
{
  /* Service time that is assumed before any agent of a service has told one,
     the same for all, so that only queues count.  */
  ASSUMED_SERVICE_US = 20000,
  /* Requests a slot that an upstream is given at most: the last one waits for
     three others, about as long as callers aim at for the whole request.  */
  REQUESTS_PER_SLOT = 4,
  /* Upstreams that the default policy compares.  */
  DRAWS = 4,
  /* An upstream of the own availability zone comes first this many bits more
     often: four times, so that of four candidates about two are own ones
     where a zone is one of four.  */
  OWN_ZONE_BITS = 2
};

/* A warming upstream takes so many times as long, until it is known better. */
static const double WARM_UP_FACTOR = 1.6;

/* Expected time from now until one more request would be answered, in
   microseconds.  */
static double
wait_cost (const struct galena_plane *plane,
           const struct upstream_row *upstream, double usual_us)
{
  double slots = upstream->slots > 0 ? upstream->slots : 1;
  bool known = upstream->load.service_us > 0;
  double service = known ? upstream->load.service_us : usual_us;
  double ahead = (double)upstream->load.running + upstream->placed;
  double rounds = (ahead + 1) / slots;
  /* Among idle upstreams the one with more free slots.  */
  double cost = service * (rounds > 1 ? rounds : 1 + rounds / 8);

  /* A service time that was told has the warming in it.  */
  if (!known && !galena_clock_reached (plane->now, upstream->warm_at))
    cost *= WARM_UP_FACTOR;
  return cost;
}

static double
queue_cost (const struct galena_plane *plane,
            const struct upstream_row *upstream, double usual_us)
{
  (void)plane;
  (void)usual_us;
  return (double)upstream->load.running + upstream->placed;
}

static double
no_cost (const struct galena_plane *plane, const struct upstream_row *upstream,
         double usual_us)
{
  (void)plane;
  (void)usual_us;
  (void)upstream;
  return 0;
}

static const struct choice_policy POLICIES[] = {
  { "least-wait", wait_cost, DRAWS },
  { "least-queue", queue_cost, DRAWS },
  { "random", no_cost, 1 },
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
entry_choice_named (const char *name)
{
  if (name == NULL)
    return &POLICIES[0];
  for (size_t i = 0; i < POLICY_COUNT; i++)
    if (strcmp (POLICIES[i].name, name) == 0)
      return &POLICIES[i];
  return NULL;
}

galena_service_key
entry_share_of (const struct galena_route *route, struct galena_flow_key key)
{
  uint64_t caller = ((uint64_t)key.caller.ip << 16) | key.caller.port;
  uint64_t total = 0;
  uint64_t draw;

  for (uint32_t i = 0; i < route->share_count; i++)
    total += route->shares[i].weight;
  if (total == 0)
    return 0;
  /* Copies of an open, at any entry, draw the same.  */
  draw = XXH64 (&caller, sizeof caller, key.service.port) % total;
  for (uint32_t i = 0; i < route->share_count; i++)
    {
      if (draw < route->shares[i].weight)
        return route->shares[i].service;
      draw -= route->shares[i].weight;
    }
  return 0;
}

uint64_t
entry_rank (const struct galena_plane *plane, struct galena_flow_key key,
            const struct upstream_row *upstream)
{
  uint64_t flow[2] = {
    ((uint64_t)key.caller.ip << 16) | key.caller.port,
    ((uint64_t)key.service.ip << 16) | key.service.port,
  };
  uint64_t drawn
      = XXH3_64bits_withSeed (flow, sizeof flow, upstream->agent.ip);

  if (upstream->zone != plane->options.zone)
    return drawn;
  return ~(~drawn >> OWN_ZONE_BITS);
}

static bool
was_tried (const struct entry_flow *flow, struct galena_handle handle)
{
  for (uint32_t i = 0; i < flow->try_count; i++)
    if (galena_handle_pack (flow->tries[i].upstream)
        == galena_handle_pack (handle))
      return true;
  return false;
}

static bool
takes_flows (const struct upstream_row *upstream, galena_service_key service)
{
  return entry_is_ready (upstream) && entry_service_of (upstream) == service;
}

/* Another availability zone costs as much more as two equal upstreams may
   differ by chance: own ones go first among equals.  */
static const double OTHER_ZONE_FACTOR = 1.0625;

static double
cost_of (struct galena_plane *plane, const struct upstream_row *upstream,
         double usual_us)
{
  double cost = plane->entry->choice->cost (plane, upstream, usual_us);

  /* Up to a sixteenth at random, so that entries that know the same don't all
     choose the same.  */
  if (upstream->zone != plane->options.zone)
    cost *= OTHER_ZONE_FACTOR;
  cost *= 1 + (double)galena_random_below (&plane->random, 64) / 1024;
  return cost;
}

/* Tells whether UPSTREAM has as much as it can answer soon.  Unanswered opens
   of one entry are no more than it runs at once and count twice, since other
   entries send it flows as well and their unanswered opens are not known.  */
static bool
is_busy (const struct upstream_row *upstream)
{
  if (upstream->slots == 0)
    return false;
  return upstream->placed >= upstream->slots
         || upstream->load.running + 2 * upstream->placed
                >= REQUESTS_PER_SLOT * upstream->slots;
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

/* Upstreams that may be chosen.  */
struct fit
{
  struct ranking first;
  bool busy;
  /* Service times told by all that fit, and how many told one.  */
  double service_us;
  uint32_t known;
};

/* Finds the upstreams that may take FLOW: those that are avoided, or else the
   others.  */
static void
find_fit (const struct galena_plane *plane, const struct entry_flow *flow,
          bool suspect, struct fit *fit)
{
  const struct upstream_row *upstream;
  struct galena_handle handle;
  uint32_t cursor = 0;

  *fit = (struct fit){ .first.limit = plane->entry->choice->draws };
  while ((upstream
          = galena_table_next (plane->entry->upstreams, &cursor, &handle))
         != NULL)
    {
      if (!takes_flows (upstream, flow->service) || was_tried (flow, handle)
          || galena_clock_reached (plane->now, upstream->suspect_until)
                 == suspect)
        continue;
      if (is_busy (upstream))
        {
          fit->busy = true;
          continue;
        }
      fit->service_us += upstream->load.service_us;
      fit->known += upstream->load.service_us > 0;
      entry_rank_add (&fit->first, handle,
                      entry_rank (plane, flow->key, upstream));
    }
}

enum choice_outcome
entry_choose (struct galena_plane *plane, const struct entry_flow *flow,
              struct galena_handle *chosen)
{
  struct fit fit;
  double best = 0;
  double usual_us;

  find_fit (plane, flow, false, &fit);
  if (fit.first.count == 0 && !fit.busy)
    find_fit (plane, flow, true, &fit);
  if (fit.first.count == 0)
    return fit.busy ? CHOICE_BUSY : CHOICE_NONE;
  usual_us = fit.known > 0 ? fit.service_us / fit.known : ASSUMED_SERVICE_US;
  for (uint32_t i = 0; i < fit.first.count; i++)
    {
      double cost = cost_of (plane, entry_upstream (plane, fit.first.rows[i]),
                             usual_us);

      if (i == 0 || cost < best)
        {
          best = cost;
          *chosen = fit.first.rows[i];
        }
    }
  return CHOICE_MADE;
}
