/* Closes of flows, resent with exponential backoff until the agent replies
   that it no longer holds the flow.  */

#include <galenaford/tag.h>

#include "caller_tables.h"

enum
{
  MIN_RESEND_MS = 250,
  MAX_RESEND_MS = 8000,
  CLOSE_ATTEMPTS_MAX = 9,
  PENDING_CLOSES_MAX = 4096
};

struct pending_close_key
{
  struct galena_flow_id id;
  /* The tag without its upstream number, since an agent's tag has one and a
     caller's may not.  */
  uint64_t tag;
};

/* The key includes the tag: two agents may have accepted one flow id, and the
   flow may have to be closed at both.  */
static uint64_t
pending_close_key (const struct galena_world *world, struct galena_flow_id id,
                   uint64_t tag)
{
  struct pending_close_key key = { id, galena_tag_without_upstream (tag) };

  return galena_map_hash (world->caller->pending_closes_by_id, &key,
                          sizeof key);
}

enum galena_result
galena_caller_create_pending_closes (struct galena_world *world)
{
  struct galena_caller *caller = world->caller;
  struct galena_table_options pending_closes
      = { sizeof (struct galena_caller_pending_close), PENDING_CLOSES_MAX };
  struct galena_map_options by_id
      = { PENDING_CLOSES_MAX, world->options.seed };
  enum galena_result result
      = galena_table_create (&pending_closes, &caller->pending_closes);

  if (result != GALENA_OK)
    return result;
  return galena_map_create (&by_id, &caller->pending_closes_by_id);
}

static void
send_close (struct galena_world *world,
            const struct galena_caller_pending_close *pending_close)
{
  struct galena_message close
      = { .type = GALENA_MESSAGE_CLOSE,
          .side = GALENA_SIDE_CALLER,
          .peer = world->options.fabric,
          .source_port_index = world->caller->source_port_index,
          .service = pending_close->service,
          .service_number = pending_close->service_number,
          .flow = pending_close->id,
          .tag = pending_close->tag };

  galena_world_send (world, &close);
}

void
galena_caller_close_at_agent (struct galena_world *world,
                              const struct galena_message *message)
{
  struct galena_caller *caller = world->caller;
  struct galena_caller_pending_close pending_close
      = { .id = message->flow,
          .service = message->service,
          .service_number = message->service_number,
          .tag = message->tag,
          .resend_at = galena_clock_add_ms (world->now, MIN_RESEND_MS) };
  struct galena_caller_pending_close *row;
  struct galena_handle handle;

  if (message->tag == 0)
    return;
  send_close (world, &pending_close);
  row = galena_table_insert (caller->pending_closes, &handle);
  if (row == NULL)
    return;
  *row = pending_close;
  if (galena_map_insert (
          caller->pending_closes_by_id,
          pending_close_key (world, message->flow, message->tag),
          galena_handle_pack (handle))
      != GALENA_OK)
    galena_table_remove (caller->pending_closes, handle);
}

static void
remove_pending_close (struct galena_world *world, struct galena_handle handle)
{
  struct galena_caller *caller = world->caller;
  struct galena_caller_pending_close *pending_close
      = galena_table_get (caller->pending_closes, handle);

  galena_map_remove (
      caller->pending_closes_by_id,
      pending_close_key (world, pending_close->id, pending_close->tag));
  galena_table_remove (caller->pending_closes, handle);
}

void
galena_caller_on_closed (struct galena_world *world,
                         const struct galena_message *message)
{
  struct galena_caller *caller = world->caller;
  uint64_t key = pending_close_key (world, message->flow, message->tag);
  const struct galena_caller_pending_close *pending_close;
  uint64_t packed;

  if (!galena_map_find (caller->pending_closes_by_id, key, &packed))
    return;
  pending_close = galena_table_get (caller->pending_closes,
                                    galena_handle_unpack (packed));
  if (galena_flow_id_equal (pending_close->id, message->flow)
      && galena_tag_matches (message->tag, pending_close->tag))
    remove_pending_close (world, galena_handle_unpack (packed));
}

/* Returns the wait before resend number ATTEMPTS plus one.  */
static uint32_t
resend_after_ms (uint32_t attempts)
{
  uint32_t wait_ms = MIN_RESEND_MS << attempts;

  return wait_ms < MAX_RESEND_MS ? wait_ms : MAX_RESEND_MS;
}

void
galena_caller_run_resend_closes (struct galena_world *world)
{
  struct galena_caller_pending_close *pending_close;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((pending_close = galena_table_next (world->caller->pending_closes,
                                             &cursor, &handle))
         != NULL)
    {
      if (!galena_clock_reached (world->now, pending_close->resend_at))
        continue;
      if (++pending_close->attempts == CLOSE_ATTEMPTS_MAX)
        {
          remove_pending_close (world, handle);
          continue;
        }
      pending_close->resend_at = galena_clock_add_ms (
          world->now, resend_after_ms (pending_close->attempts));
      send_close (world, pending_close);
    }
}
