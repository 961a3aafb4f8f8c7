/* Policies that choose the upstream for an open.  */

#include <string.h>

#include <galenaford/policies.h>

#include "entry.h"
#include "policy.h"

static uint32_t
choose_random (struct galena_world *world, const uint32_t *candidates,
               uint32_t count)
{
  (void)candidates;
  return galena_random_below (&world->random, count);
}

static uint32_t
choose_first (struct galena_world *world, const uint32_t *candidates,
              uint32_t count)
{
  (void)world;
  (void)candidates;
  (void)count;
  return 0;
}

/* Returns the cost of sending an open to an upstream, lower is better.  */
typedef uint64_t cost_function (const struct galena_hint *hint);

static uint64_t
wait_cost (const struct galena_hint *hint)
{
  return hint->wait_ms;
}

static uint64_t
queue_cost (const struct galena_hint *hint)
{
  return hint->queue;
}

static uint64_t
cost_of (const struct galena_world *world, uint32_t candidate,
         cost_function *cost)
{
  const struct galena_upstream *upstream
      = galena_config_upstream (world->config, candidate);
  const struct galena_hint *hint = galena_entry_hint (world, upstream->number);

  if (hint == NULL)
    return 0;
  if (!galena_clock_reached (world->now, hint->suspect_until))
    return UINT64_MAX;
  return cost (hint);
}

/* Takes the cheaper of the first two; of all when the first is suspect.  */
static uint32_t
choose_cheaper (const struct galena_world *world, const uint32_t *candidates,
                uint32_t count, cost_function *cost)
{
  uint32_t best = 0;
  uint64_t best_cost = cost_of (world, candidates[0], cost);
  uint32_t considered = count < 2 ? count : 2;

  if (count > 2 && best_cost == UINT64_MAX)
    considered = count;
  for (uint32_t i = 1; i < considered; i++)
    {
      uint64_t next = cost_of (world, candidates[i], cost);
      if (next >= best_cost)
        continue;
      best = i;
      best_cost = next;
    }
  return best;
}

static uint32_t
choose_two_wait (struct galena_world *world, const uint32_t *candidates,
                 uint32_t count)
{
  return choose_cheaper (world, candidates, count, wait_cost);
}

static uint32_t
choose_two_queue (struct galena_world *world, const uint32_t *candidates,
                  uint32_t count)
{
  return choose_cheaper (world, candidates, count, queue_cost);
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
  if (name == NULL)
    return &POLICIES[0];
  for (size_t i = 0; i < sizeof POLICIES / sizeof POLICIES[0]; i++)
    if (strcmp (POLICIES[i].name, name) == 0)
      return &POLICIES[i];
  return NULL;
}

const char *
galena_choice_name (uint32_t index)
{
  if (index >= sizeof POLICIES / sizeof POLICIES[0])
    return NULL;
  return POLICIES[index].name;
}
