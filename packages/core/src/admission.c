/* Policies that decide which queued request runs next.  */

#include <galenaford/policies.h>

#include "agent.h"

/* Slots that a kind without a minimum share is assumed to get when all are in
   use.  */
static const double MIN_SLOTS = 0.1;

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

/* Returns the run time in milliseconds of all queued and reserved requests of
   kinds that are at least as urgent as URGENCY (a lower number is more
   urgent), divided by the slots.  */
static double
queued_work_ms (const struct galena_world *world, uint32_t urgency)
{
  const struct galena_service *service = galena_agent_service (world);
  double work_ms = 0;

  for (uint32_t i = 0; i < service->kind_count; i++)
    {
      const struct galena_kind *kind = &service->kinds[i];
      const struct galena_kind_queue *queue
          = galena_agent_queue (world, kind->number);

      if (kind->urgency <= urgency)
        work_ms += (queue->queued + queue->reserved)
                   * galena_agent_mean_run_ms (queue);
    }
  return work_ms / galena_agent_slots (world);
}

static double
queue_ms_first_come (const struct galena_world *world, uint16_t kind)
{
  (void)kind;
  return queued_work_ms (world, UINT32_MAX);
}

static double
queue_ms_urgency (const struct galena_world *world, uint16_t kind)
{
  const struct galena_kind *row
      = galena_service_kind (galena_agent_service (world), kind);

  return queued_work_ms (world, row == NULL ? UINT32_MAX : row->urgency);
}

/* Returns whether FIRST runs before SECOND: the lower urgency value first,
   then the kind that is owed more slot time under its minimum share.  */
static bool
runs_before (const struct galena_world *world, const struct galena_kind *first,
             const struct galena_kind *second)
{
  if (second == NULL)
    return true;
  if (first->urgency != second->urgency)
    return first->urgency < second->urgency;
  return galena_agent_queue (world, first->number)->credit_ms
         > galena_agent_queue (world, second->number)->credit_ms;
}

/* Returns the kind that runs first of those with queued requests, or -1; when
   OWED, only of those that are owed slot time under their minimum share.  */
static int
pick_urgent (const struct galena_world *world, bool owed)
{
  const struct galena_service *service = galena_agent_service (world);
  const struct galena_kind *best = NULL;

  for (uint32_t i = 0; i < service->kind_count; i++)
    {
      const struct galena_kind *kind = &service->kinds[i];
      const struct galena_kind_queue *queue
          = galena_agent_queue (world, kind->number);

      if (queue->queued == 0 || (owed && queue->credit_ms <= 0))
        continue;
      if (runs_before (world, kind, best))
        best = kind;
    }
  return best == NULL ? -1 : best->number;
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

/* Returns the slots that a kind of URGENCY cannot get because OTHER uses them:
   all that OTHER uses when it is more urgent, else those within OTHER's
   minimum share.  */
static double
claimed_slots (const struct galena_world *world,
               const struct galena_kind *other, uint32_t urgency, double slots)
{
  double used = galena_agent_queue (world, other->number)->slots_used;
  double share = slots * other->minimum_share_percent / 100;

  if (other->urgency < urgency)
    return used;
  return used < share ? used : share;
}

/* The slots available to a kind are its minimum share, or what the other kinds
   leave when that is more.  */
static double
queue_ms_shares (const struct galena_world *world, uint16_t number)
{
  const struct galena_service *service = galena_agent_service (world);
  const struct galena_kind *kind = galena_service_kind (service, number);
  const struct galena_kind_queue *queue = galena_agent_queue (world, number);
  double slots = galena_agent_slots (world);
  double available = slots;
  double share;

  if (kind == NULL || queue->queued + queue->reserved == 0)
    return 0;
  for (uint32_t i = 0; i < service->kind_count; i++)
    if (service->kinds[i].number != number)
      available
          -= claimed_slots (world, &service->kinds[i], kind->urgency, slots);
  share = slots * kind->minimum_share_percent / 100;
  if (available < share)
    available = share;
  if (available < MIN_SLOTS)
    available = MIN_SLOTS;
  return (queue->queued + queue->reserved) * galena_agent_mean_run_ms (queue)
         / available;
}

static const struct galena_admission_policy POLICIES[] = {
  { "shares", pick_shares, queue_ms_shares },
  { "urgency", pick_strict_urgency, queue_ms_urgency },
  { "first-come", pick_first_come, queue_ms_first_come },
};

const struct galena_admission_policy *
galena_admission_policy (const char *name)
{
  int index = galena_policy_index (name, galena_admission_name);

  return index < 0 ? NULL : &POLICIES[index];
}

const char *
galena_admission_name (uint32_t index)
{
  if (index >= sizeof POLICIES / sizeof POLICIES[0])
    return NULL;
  return POLICIES[index].name;
}
