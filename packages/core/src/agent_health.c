/* Passive health check of the upstream, by the results of its requests.

   An upstream that is down refuses at once, so its agent never has a queue and
   would look like the best choice.  After a few consecutive refusals the agent
   accepts no flows during a backoff, then one flow as a trial.  */

#include "agent.h"

enum
{
  /* Consecutive refusals that start a backoff.  */
  REFUSALS_MAX = 3,
  /* Length of the first backoff; each further one is twice as long, up to the
     maximum.  */
  BACKOFF_MIN_MS = 500,
  BACKOFF_MAX_MS = 8000
};

static void
start_backoff (struct galena_world *world)
{
  struct galena_upstream_health *health = &world->agent->health;

  if (health->backoff_ms == 0)
    {
      health->backoff_ms = BACKOFF_MIN_MS;
      galena_world_append_audit (
          world,
          (struct galena_audit_row){ .event = GALENA_AUDIT_UPSTREAM_DOWN,
                                     .upstream = world->options.upstream });
    }
  health->backoff_until = galena_clock_add_ms (world->now, health->backoff_ms);
  health->backoff_ms *= 2;
  if (health->backoff_ms > BACKOFF_MAX_MS)
    health->backoff_ms = BACKOFF_MAX_MS;
}

static void
mark_up (struct galena_world *world)
{
  struct galena_upstream_health *health = &world->agent->health;

  if (health->backoff_ms != 0)
    galena_world_append_audit (
        world,
        (struct galena_audit_row){ .event = GALENA_AUDIT_UPSTREAM_UP,
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
      mark_up (world);
      return;
    }
  if (result != GALENA_REFUSED_BY_UPSTREAM)
    return;
  health->refusals++;
  if (health->refusals >= REFUSALS_MAX
      && galena_clock_reached (world->now, health->backoff_until))
    start_backoff (world);
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
        = galena_clock_add_ms (world->now, health->backoff_ms);
}
