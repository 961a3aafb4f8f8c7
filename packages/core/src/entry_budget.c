/* Retries and shedding of each kind of work at an entry: a token bucket for
   retries of opens, and the share of opens that is shed before it reaches an
   agent.

   An entry counts the opens of a kind and, from the overload levels that
   agents report, how many of them are accepted.  Opens beyond OFFERED_RATIO
   times the accepted ones are shed.  Agents accept at least the minimum share
   of a kind, so that share is never shed.  */

#include "entry.h"

enum
{
  /* Capacity of the token bucket of one kind.  */
  RETRY_TOKENS_MAX = 10,
  /* Fewest recent opens of a kind at which any is shed.  */
  SHED_MIN_OPENS = 20,
  OVERLOAD_LEVEL_MAX = 255
};

/* Retry tokens added for each new open.  */
static const double RETRY_SHARE = 0.1;

/* Retry tokens added each second, however few new opens there are.  */
static const double RETRIES_PER_SECOND = 1;

/* Opens sent to agents for each one that they accept, under overload.  */
static const double OFFERED_RATIO = 1.5;

/* Largest share of a kind that is shed.  Some opens must still reach the
   agents, so that the entry sees when the overload ends.  */
static const double SHED_MAX = 0.99;

/* Factor by which the counts decay in each period.  */
static const double COUNT_DECAY = 0.5;

static struct galena_kind_budget *
insert_budget (struct galena_world *world, uint64_t key)
{
  struct galena_entry *entry = world->entry;
  struct galena_handle handle;
  struct galena_kind_budget *budget
      = galena_table_insert (entry->budgets, &handle);

  if (budget == NULL)
    return NULL;
  budget->retry_tokens = RETRY_TOKENS_MAX;
  galena_map_insert (entry->budgets_by_kind, key, galena_handle_pack (handle));
  return budget;
}

/* Returns the budget of OPEN's kind, added when there is none; NULL for an
   unknown service or kind, or when the table is full.  */
static struct galena_kind_budget *
budget_for (struct galena_world *world, const struct galena_message *open)
{
  struct galena_entry *entry = world->entry;
  const struct galena_service *service = galena_entry_service_of (world, open);
  uint64_t packed;
  uint64_t key;

  if (service == NULL || galena_service_kind (service, open->kind) == NULL)
    return NULL;
  key = ((uint64_t)service->number << 16) | open->kind;
  if (galena_map_find (entry->budgets_by_kind, key, &packed))
    return galena_table_get (entry->budgets, galena_handle_unpack (packed));
  return insert_budget (world, key);
}

static double
shed_share (const struct galena_kind_budget *budget)
{
  double share;

  if (budget->opens < SHED_MIN_OPENS)
    return 0;
  share = 1 - OFFERED_RATIO * budget->accepted / budget->opens;
  if (share < 0)
    return 0;
  return share > SHED_MAX ? SHED_MAX : share;
}

static void
add_tokens (struct galena_kind_budget *budget, double tokens)
{
  budget->retry_tokens += tokens;
  if (budget->retry_tokens > RETRY_TOKENS_MAX)
    budget->retry_tokens = RETRY_TOKENS_MAX;
}

bool
galena_budget_should_shed (struct galena_world *world,
                           const struct galena_message *open)
{
  struct galena_kind_budget *budget = budget_for (world, open);
  double share;

  if (budget == NULL)
    return false;
  share = shed_share (budget);
  budget->opens += 1;
  add_tokens (budget, RETRY_SHARE);
  return share > 0 && galena_random_unit (&world->random) < share;
}

void
galena_budget_note_reply (struct galena_world *world,
                          const struct galena_message *open,
                          const struct galena_message *reply)
{
  struct galena_kind_budget *budget = budget_for (world, open);

  if (budget != NULL)
    budget->accepted += 1 - (double)reply->overload / OVERLOAD_LEVEL_MAX;
}

/* Returns whether RESULT means that agents are overloaded with the kind.  */
static bool
is_overload (enum galena_result result)
{
  return result == GALENA_REFUSED_OVERLOAD
         || result == GALENA_REFUSED_CONNECTIONS;
}

bool
galena_budget_take_retry_token (struct galena_world *world,
                                const struct galena_message *open,
                                enum galena_result result)
{
  struct galena_kind_budget *budget = budget_for (world, open);

  if (budget == NULL || budget->retry_tokens < 1
      || (is_overload (result) && shed_share (budget) > 0))
    {
      galena_world_count (world, GALENA_COUNT_RETRIES_DENIED);
      return false;
    }
  budget->retry_tokens -= 1;
  galena_world_count (world, GALENA_COUNT_RETRIES);
  return true;
}

void
galena_entry_run_budgets (struct galena_world *world)
{
  struct galena_kind_budget *budget;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((budget = galena_table_next (world->entry->budgets, &cursor, &handle))
         != NULL)
    {
      add_tokens (budget, RETRIES_PER_SECOND);
      budget->opens *= COUNT_DECAY;
      budget->accepted *= COUNT_DECAY;
    }
}
