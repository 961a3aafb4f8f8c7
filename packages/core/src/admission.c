/* Policies that decide which queued request runs next.  */

#include <string.h>

#include <galenaford/policies.h>

#include "agent.h"

static const struct galena_request *
head_of (const struct galena_world *world, uint32_t kind)
{
  return galena_agent_request (world, world->agent->queues[kind].head);
}

static int
pick_first_come (struct galena_world *world)
{
  int best = -1;
  int64_t best_ms = INT64_MAX;

  for (uint32_t kind = 0; kind < GALENA_KINDS_MAX; kind++)
    {
      const struct galena_request *head = head_of (world, kind);
      if (head == NULL || head->queued.ms >= best_ms)
        continue;
      best = (int)kind;
      best_ms = head->queued.ms;
    }
  return best;
}

/* Returns the most urgent kind with queued work, of all kinds or of those
   that run less than their minimum share.  */
static int
pick_urgent (const struct galena_world *world, bool below_share)
{
  const struct galena_service *service = galena_agent_service (world);
  const struct galena_upstream *self = galena_agent_self (world);
  int best = -1;
  uint32_t best_urgency = UINT32_MAX;

  for (uint32_t i = 0; i < service->kind_count; i++)
    {
      const struct galena_kind *kind = &service->kinds[i];
      const struct galena_kind_queue *queue
          = &world->agent->queues[kind->number];
      uint32_t share = self->slots * kind->minimum_share_percent;

      if (queue->queued == 0 || kind->urgency >= best_urgency)
        continue;
      if (below_share && queue->running * 100 >= share)
        continue;
      best = kind->number;
      best_urgency = kind->urgency;
    }
  return best;
}

static int
pick_strict_urgency (struct galena_world *world)
{
  return pick_urgent (world, false);
}

static int
pick_shares (struct galena_world *world)
{
  int kind = pick_urgent (world, true);

  return kind >= 0 ? kind : pick_urgent (world, false);
}

static const struct galena_admission_policy POLICIES[] = {
  { "shares", pick_shares },
  { "urgency", pick_strict_urgency },
  { "first-come", pick_first_come },
};

const struct galena_admission_policy *
galena_admission_policy (const char *name)
{
  if (name == NULL)
    return &POLICIES[0];
  for (size_t i = 0; i < sizeof POLICIES / sizeof POLICIES[0]; i++)
    if (strcmp (POLICIES[i].name, name) == 0)
      return &POLICIES[i];
  return NULL;
}

const char *
galena_admission_name (uint32_t index)
{
  if (index >= sizeof POLICIES / sizeof POLICIES[0])
    return NULL;
  return POLICIES[index].name;
}
