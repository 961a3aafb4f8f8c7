/* Policies that choose the upstream for an open.  */

#include <galenaford/policies.h>

#include "entry.h"
#include "policy.h"

enum
{
  /* A reported wait of more than this age is lowered by 1 ms for each further
     millisecond.  */
  HINT_FRESH_MS = 1000
};

static uint32_t
choose_random (struct galena_world *world, uint16_t kind,
               const uint32_t *candidates, uint32_t count)
{
  (void)kind;
  (void)candidates;
  return galena_random_below (&world->random, count);
}

static uint32_t
choose_first (struct galena_world *world, uint16_t kind,
              const uint32_t *candidates, uint32_t count)
{
  (void)world;
  (void)kind;
  (void)candidates;
  (void)count;
  return 0;
}

/* Returns the cost of sending an open of KIND to the upstream of HINT; the
   upstream with the lower cost is chosen.  */
typedef uint64_t cost_function (const struct galena_world *world,
                                const struct galena_hint *hint, uint16_t kind);

static uint64_t
wait_cost (const struct galena_world *world, const struct galena_hint *hint,
           uint16_t kind)
{
  uint32_t wait_ms;
  int64_t stale_ms;

  if (kind >= GALENA_KINDS_MAX)
    return 0;
  wait_ms = hint->wait_ms[kind];
  stale_ms = galena_clock_elapsed_ms (hint->wait_reported[kind], world->now)
             - HINT_FRESH_MS;
  if (stale_ms <= 0)
    return wait_ms;
  return stale_ms < wait_ms ? wait_ms - (uint64_t)stale_ms : 0;
}

static uint64_t
queue_cost (const struct galena_world *world, const struct galena_hint *hint,
            uint16_t kind)
{
  (void)world;
  (void)kind;
  return hint->queue;
}

static uint64_t
cost_of (const struct galena_world *world, uint16_t kind, uint32_t candidate,
         cost_function *cost)
{
  const struct galena_upstream *upstream
      = galena_config_upstream (world->config, candidate);
  const struct galena_hint *hint
      = galena_entry_find_hint (world, upstream->number);

  if (hint == NULL)
    return 0;
  if (galena_entry_avoids (world, hint))
    return UINT64_MAX;
  return cost (world, hint, kind);
}

/* Returns the position of the cheaper of the first two candidates, or of the
   cheapest of all when the first one is avoided.  */
static uint32_t
choose_lower_cost (const struct galena_world *world, uint16_t kind,
                   const uint32_t *candidates, uint32_t count,
                   cost_function *cost)
{
  uint32_t best = 0;
  uint64_t best_cost = cost_of (world, kind, candidates[0], cost);
  uint32_t considered = count < 2 ? count : 2;

  if (count > 2 && best_cost == UINT64_MAX)
    considered = count;
  for (uint32_t i = 1; i < considered; i++)
    {
      uint64_t next = cost_of (world, kind, candidates[i], cost);
      if (next >= best_cost)
        continue;
      best = i;
      best_cost = next;
    }
  return best;
}

static uint32_t
choose_two_wait (struct galena_world *world, uint16_t kind,
                 const uint32_t *candidates, uint32_t count)
{
  return choose_lower_cost (world, kind, candidates, count, wait_cost);
}

static uint32_t
choose_two_queue (struct galena_world *world, uint16_t kind,
                  const uint32_t *candidates, uint32_t count)
{
  return choose_lower_cost (world, kind, candidates, count, queue_cost);
}

static const struct galena_choice_policy POLICIES[] = {
  { "two-wait", choose_two_wait, false },
  { "two-queue", choose_two_queue, false },
  { "hash", choose_first, false },
  { "random", choose_random, true },
};

const struct galena_choice_policy *
galena_choice_policy (const char *name)
{
  int index = galena_policy_index (name, galena_choice_name);

  return index < 0 ? NULL : &POLICIES[index];
}

const char *
galena_choice_name (uint32_t index)
{
  if (index >= sizeof POLICIES / sizeof POLICIES[0])
    return NULL;
  return POLICIES[index].name;
}
