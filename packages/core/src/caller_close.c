/* Closes that are sent until the agent says that it holds the flow no more. */

#include <galenaford/tag.h>

#include "caller_tables.h"

enum
{
  FIRST_RESEND_MS = 250,
  LAST_RESEND_MS = 8000,
  TRIES_MAX = 9,
  CLOSINGS_MAX = 4096
};

struct closing_key
{
  struct galena_flow_id id;
  /* Without its route: an agent's tag has one and a caller's may not.  */
  uint64_t tag;
};

/* One flow id may be closed at two agents that both accepted it.  */
static uint64_t
closing_key (const struct galena_world *world, struct galena_flow_id id,
             uint64_t tag)
{
  struct closing_key key = { id, galena_tag_without_route (tag) };

  return galena_map_hash (world->caller->closings_by_id, &key, sizeof key);
}

enum galena_result
galena_caller_create_closings (struct galena_world *world)
{
  struct galena_caller *caller = world->caller;
  struct galena_table_options closings
      = { sizeof (struct galena_caller_closing), CLOSINGS_MAX };
  struct galena_map_options by_id = { CLOSINGS_MAX, world->options.seed };
  enum galena_result result
      = galena_table_create (&closings, &caller->closings);

  if (result != GALENA_OK)
    return result;
  return galena_map_create (&by_id, &caller->closings_by_id);
}

static void
send_close (struct galena_world *world,
            const struct galena_caller_closing *closing)
{
  struct galena_message close = { .type = GALENA_MESSAGE_CLOSE,
                                  .link = GALENA_LINK_CALLER,
                                  .peer = world->options.fabric,
                                  .path = world->caller->path,
                                  .service = closing->service,
                                  .service_number = closing->service_number,
                                  .flow = closing->id,
                                  .tag = closing->tag };

  galena_world_send (world, &close);
}

void
galena_caller_tell_close (struct galena_world *world,
                          const struct galena_message *what)
{
  struct galena_caller *caller = world->caller;
  struct galena_caller_closing closing
      = { .id = what->flow,
          .service = what->service,
          .service_number = what->service_number,
          .tag = what->tag,
          .resend = galena_clock_add_ms (world->now, FIRST_RESEND_MS) };
  struct galena_caller_closing *row;
  struct galena_handle handle;

  if (what->tag == 0)
    return;
  send_close (world, &closing);
  row = galena_table_insert (caller->closings, &handle);
  if (row == NULL)
    return;
  *row = closing;
  if (galena_map_insert (caller->closings_by_id,
                         closing_key (world, what->flow, what->tag),
                         galena_handle_pack (handle))
      != GALENA_OK)
    galena_table_remove (caller->closings, handle);
}

static void
remove_closing (struct galena_world *world, struct galena_handle handle)
{
  struct galena_caller *caller = world->caller;
  struct galena_caller_closing *closing
      = galena_table_get (caller->closings, handle);

  galena_map_remove (caller->closings_by_id,
                     closing_key (world, closing->id, closing->tag));
  galena_table_remove (caller->closings, handle);
}

void
galena_caller_on_closed (struct galena_world *world,
                         const struct galena_message *message)
{
  struct galena_caller *caller = world->caller;
  uint64_t key = closing_key (world, message->flow, message->tag);
  const struct galena_caller_closing *closing;
  uint64_t packed;

  if (!galena_map_find (caller->closings_by_id, key, &packed))
    return;
  closing = galena_table_get (caller->closings, galena_handle_unpack (packed));
  if (galena_flow_id_equal (closing->id, message->flow)
      && galena_tag_matches (message->tag, closing->tag))
    remove_closing (world, galena_handle_unpack (packed));
}

/* Returns the wait before try number TRIES plus one.  */
static uint32_t
resend_after_ms (uint32_t tries)
{
  uint32_t wait_ms = FIRST_RESEND_MS << tries;

  return wait_ms < LAST_RESEND_MS ? wait_ms : LAST_RESEND_MS;
}

void
galena_caller_run_closings (struct galena_world *world)
{
  struct galena_caller_closing *closing;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while (
      (closing = galena_table_next (world->caller->closings, &cursor, &handle))
      != NULL)
    {
      if (!galena_clock_reached (world->now, closing->resend))
        continue;
      if (++closing->tries == TRIES_MAX)
        {
          remove_closing (world, handle);
          continue;
        }
      closing->resend
          = galena_clock_add_ms (world->now, resend_after_ms (closing->tries));
      send_close (world, closing);
    }
}
