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
static uint64_t
expected_cost (const struct galena_world *world, uint32_t candidate)
{
  const struct galena_upstream *upstream
      = galena_config_upstream (world->config, candidate);
  const struct galena_hint *hint = galena_entry_hint (world, upstream->number);

  if (hint == NULL)
    return 0;
  if (!galena_clock_reached (world->now, hint->suspect_until))
    return UINT64_MAX;
  return hint->wait_ms;
}

static uint32_t
choose_two_wait (struct galena_world *world, const uint32_t *candidates,
                 uint32_t count)
{
  uint32_t best = 0;
  uint64_t best_cost = expected_cost (world, candidates[0]);
  uint32_t considered = count < 2 ? count : 2;

  if (count > 2 && best_cost == UINT64_MAX)
    considered = count;
  for (uint32_t i = 1; i < considered; i++)
    {
      uint64_t cost = expected_cost (world, candidates[i]);
      if (cost >= best_cost)
        continue;
      best = i;
      best_cost = cost;
    }
  return best;
}

static const struct galena_choice_policy POLICIES[] = {
  { "two-wait", choose_two_wait, false },
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
