/* Hints: what an entry last learned about each upstream, by which it avoids
   upstreams that do not reply or are leaving.  */

#include <galenaford/tag.h>

#include "entry.h"

enum
{
  /* An upstream that did not reply to an open is avoided for this long.  Then
     one open probes it, and other opens avoid it for another such period
     unless it replies.  */
  SUSPECT_MS = 2000,
  /* A hint that was not updated for this long is removed.  */
  HINT_LIFETIME_MS = 5000,
  /* The same for an unresponsive upstream.  */
  UNRESPONSIVE_HINT_LIFETIME_MS = 60000,
  /* Time without a required reply after which the source port changes.  */
  SOURCE_PORT_TIMEOUT_MS = 500
};

const struct galena_hint *
galena_entry_find_hint (const struct galena_world *world, uint32_t upstream)
{
  const struct galena_entry *entry = world->entry;
  uint64_t packed;

  if (!galena_map_find (entry->hints_by_upstream, upstream, &packed))
    return NULL;
  return galena_table_get (entry->hints, galena_handle_unpack (packed));
}

struct galena_hint *
galena_entry_find_or_add_hint (struct galena_world *world, uint32_t upstream)
{
  struct galena_entry *entry = world->entry;
  struct galena_handle handle;
  struct galena_hint *hint;
  uint64_t packed;

  if (galena_map_find (entry->hints_by_upstream, upstream, &packed))
    return galena_table_get (entry->hints, galena_handle_unpack (packed));
  hint = galena_table_insert (entry->hints, &handle);
  if (hint == NULL)
    return NULL;
  hint->upstream = upstream;
  hint->last_seen = world->now;
  galena_map_insert (entry->hints_by_upstream, upstream,
                     galena_handle_pack (handle));
  return hint;
}

bool
galena_entry_avoids (const struct galena_world *world,
                     const struct galena_hint *hint)
{
  return !galena_clock_reached (world->now, hint->suspect_until)
         || !galena_clock_reached (world->now, hint->leaving_until);
}

bool
galena_entry_is_suspect (const struct galena_world *world, uint32_t upstream)
{
  const struct galena_hint *hint = galena_entry_find_hint (world, upstream);

  return hint != NULL
         && !galena_clock_reached (world->now, hint->suspect_until);
}

static void
note_seen (struct galena_world *world, struct galena_hint *hint)
{
  if (hint->unresponsive)
    galena_world_append_audit (
        world, (struct galena_audit_row){ .event = GALENA_AUDIT_OWNER_BACK,
                                          .upstream = hint->upstream });
  hint->last_seen = world->now;
  hint->unanswered = 0;
  hint->unresponsive = false;
  hint->suspect_until = world->now;
}

void
galena_entry_clear_suspicion (struct galena_world *world, uint32_t upstream)
{
  struct galena_hint *hint = galena_entry_find_or_add_hint (world, upstream);

  if (hint != NULL)
    note_seen (world, hint);
}

void
galena_entry_update_hint (struct galena_world *world,
                          const struct galena_message *message)
{
  struct galena_hint *hint = galena_entry_find_or_add_hint (
      world, galena_tag_upstream (message->tag));

  if (hint == NULL)
    return;
  note_seen (world, hint);
  hint->awaiting_reply_since.ms = 0;
  hint->queue = message->queue;
  if (message->kind >= GALENA_KINDS_MAX)
    return;
  hint->overload[message->kind] = message->overload;
  hint->wait_ms[message->kind] = message->wait_ms;
  hint->wait_reported[message->kind] = world->now;
}

uint8_t
galena_entry_select_source_port (struct galena_world *world,
                                 struct galena_hint *hint)
{
  if (hint->awaiting_reply_since.ms == 0)
    hint->awaiting_reply_since = world->now;
  else if (galena_clock_elapsed_ms (hint->awaiting_reply_since, world->now)
           >= SOURCE_PORT_TIMEOUT_MS)
    {
      hint->source_port_index++;
      hint->awaiting_reply_since = world->now;
      galena_world_count (world, GALENA_COUNT_PATHS_LEFT);
    }
  return hint->source_port_index;
}

void
galena_entry_note_leaving (struct galena_world *world,
                           const struct galena_message *refusal)
{
  struct galena_hint *hint = galena_entry_find_or_add_hint (
      world, galena_tag_upstream (refusal->tag));

  if (hint != NULL)
    hint->leaving_until = galena_clock_add_ms (world->now, SUSPECT_MS);
}

void
galena_entry_note_open_sent (struct galena_world *world,
                             struct galena_hint *hint)
{
  hint->unanswered++;
  if (hint->unresponsive)
    hint->suspect_until = galena_clock_add_ms (world->now, SUSPECT_MS);
}

void
galena_entry_mark_suspect (struct galena_world *world, uint32_t upstream)
{
  struct galena_hint *hint = galena_entry_find_or_add_hint (world, upstream);

  if (hint == NULL || hint->unanswered == 0)
    return;
  if (!hint->unresponsive)
    galena_world_append_audit (
        world, (struct galena_audit_row){ .event = GALENA_AUDIT_OWNER_LOST,
                                          .upstream = upstream });
  hint->unresponsive = true;
  hint->suspect_until = galena_clock_add_ms (world->now, SUSPECT_MS);
}

/* Returns whether the path to a known agent was changed.  Such a hint is kept,
   since the initial path timed out.  */
static bool
has_replaced_path (const struct galena_world *world,
                   const struct galena_hint *hint)
{
  return hint->source_port_index != 0
         && galena_config_upstream_numbered (world->config, hint->upstream)
                != NULL;
}

void
galena_entry_run_expire_hints (struct galena_world *world)
{
  struct galena_entry *entry = world->entry;
  struct galena_hint *hint;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((hint = galena_table_next (entry->hints, &cursor, &handle)) != NULL)
    {
      int64_t lifetime_ms = hint->unresponsive ? UNRESPONSIVE_HINT_LIFETIME_MS
                                               : HINT_LIFETIME_MS;

      if (galena_clock_elapsed_ms (hint->last_seen, world->now) < lifetime_ms
          || has_replaced_path (world, hint))
        continue;
      galena_map_remove (entry->hints_by_upstream, hint->upstream);
      galena_table_remove (entry->hints, handle);
    }
}
