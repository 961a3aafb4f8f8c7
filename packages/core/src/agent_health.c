/* Whether the upstream takes work, judged by what it did with the last.

   An upstream that is down refuses at once, so its agent never has a queue
   and would look like the best choice.  After a few refusals in a row the
   agent accepts no flows for a while, then one flow on trial.  */

#include "agent.h"

enum
{
  /* Refusals in a row before the agent closes.  */
  REFUSALS_MAX = 3,
  CLOSED_MIN_MS = 500,
  CLOSED_MAX_MS = 8000
};

static void
close_upstream (struct galena_world *world)
{
  struct galena_upstream_health *health = &world->agent->health;

  if (health->backoff_ms == 0)
    {
      health->backoff_ms = CLOSED_MIN_MS;
      galena_world_note (world, (struct galena_audit_row){
                                    .event = GALENA_AUDIT_UPSTREAM_DOWN,
                                    .upstream = world->options.upstream });
    }
  health->backoff_until = galena_clock_after (world->now, health->backoff_ms);
  health->backoff_ms *= 2;
  if (health->backoff_ms > CLOSED_MAX_MS)
    health->backoff_ms = CLOSED_MAX_MS;
}

static void
open_upstream (struct galena_world *world)
{
  struct galena_upstream_health *health = &world->agent->health;

  if (health->backoff_ms != 0)
    galena_world_note (world, (struct galena_audit_row){
                                  .event = GALENA_AUDIT_UPSTREAM_UP,
                                  .upstream = world->options.upstream });
  *health = (struct galena_upstream_health){ 0 };
}

void
galena_agent_update_health (struct galena_world *world,
                            enum galena_result result)
{
  struct galena_upstream_health *health = &world->agent->health;

  if (result == GALENA_OK)
    {
      open_upstream (world);
      return;
    }
  if (result != GALENA_REFUSED_BY_UPSTREAM)
    return;
  health->refusals++;
  if (health->refusals >= REFUSALS_MAX
      && galena_clock_reached (world->now, health->backoff_until))
    close_upstream (world);
}

bool
galena_agent_upstream_is_available (const struct galena_world *world)
{
  return galena_clock_reached (world->now, world->agent->health.backoff_until);
}

void
galena_agent_begin_trial (struct galena_world *world)
{
  struct galena_upstream_health *health = &world->agent->health;

  if (health->backoff_ms != 0)
    health->backoff_until
        = galena_clock_after (world->now, health->backoff_ms);
}
