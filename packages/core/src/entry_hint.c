/* Hints: what an entry has heard of each upstream.  */

#include <galenaford/tag.h>

#include "entry.h"

enum
{
  /* An upstream that left an open unanswered is avoided this long; then one
     open goes there, and the others wait for its answer.  */
  SUSPECT_MS = 2000,
  /* A hint not renewed for this long is dropped.  */
  HINT_LIFE_MS = 5000,
  /* The same for an upstream that leaves opens unanswered.  */
  LOST_HINT_LIFE_MS = 60000,
  /* A path that leaves a question unanswered for so long is given up.  */
  SILENT_PATH_MS = 500
};

const struct galena_hint *
galena_entry_hint (const struct galena_world *world, uint32_t upstream)
{
  const struct galena_entry *entry = world->entry;
  uint64_t packed;

  if (!galena_map_find (entry->hints_by_upstream, upstream, &packed))
    return NULL;
  return galena_table_get (entry->hints, galena_handle_unpack (packed));
}

struct galena_hint *
galena_entry_hint_for (struct galena_world *world, uint32_t upstream)
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
  hint->heard = world->now;
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
  const struct galena_hint *hint = galena_entry_hint (world, upstream);

  return hint != NULL
         && !galena_clock_reached (world->now, hint->suspect_until);
}

static void
note_heard (struct galena_world *world, struct galena_hint *hint)
{
  if (hint->lost)
    galena_world_append_audit (
        world, (struct galena_audit_row){ .event = GALENA_AUDIT_OWNER_BACK,
                                          .upstream = hint->upstream });
  hint->heard = world->now;
  hint->unanswered = 0;
  hint->lost = false;
  hint->suspect_until = world->now;
}

void
galena_entry_clear_suspicion (struct galena_world *world, uint32_t upstream)
{
  struct galena_hint *hint = galena_entry_hint_for (world, upstream);

  if (hint != NULL)
    note_heard (world, hint);
}

void
galena_entry_learn (struct galena_world *world,
                    const struct galena_message *message)
{
  struct galena_hint *hint
      = galena_entry_hint_for (world, galena_tag_upstream (message->tag));

  if (hint == NULL)
    return;
  note_heard (world, hint);
  hint->asked.ms = 0;
  hint->queue = message->queue;
  if (message->kind >= GALENA_KINDS_MAX)
    return;
  hint->overload[message->kind] = message->overload;
  hint->wait_ms[message->kind] = message->wait_ms;
  hint->told[message->kind] = world->now;
}

uint8_t
galena_entry_path_for_question (struct galena_world *world,
                                struct galena_hint *hint)
{
  if (hint->asked.ms == 0)
    hint->asked = world->now;
  else if (galena_clock_elapsed_ms (hint->asked, world->now) >= SILENT_PATH_MS)
    {
      hint->path++;
      hint->asked = world->now;
      galena_world_count (world, GALENA_COUNT_PATHS_LEFT);
    }
  return hint->path;
}

void
galena_entry_note_leaving (struct galena_world *world,
                           const struct galena_message *refusal)
{
  struct galena_hint *hint
      = galena_entry_hint_for (world, galena_tag_upstream (refusal->tag));

  if (hint != NULL)
    hint->leaving_until = galena_clock_add_ms (world->now, SUSPECT_MS);
}

void
galena_entry_probe (struct galena_world *world, struct galena_hint *hint)
{
  hint->unanswered++;
  if (hint->lost)
    hint->suspect_until = galena_clock_add_ms (world->now, SUSPECT_MS);
}

void
galena_entry_suspect (struct galena_world *world, uint32_t upstream)
{
  struct galena_hint *hint = galena_entry_hint_for (world, upstream);

  if (hint == NULL || hint->unanswered == 0)
    return;
  if (!hint->lost)
    galena_world_append_audit (
        world, (struct galena_audit_row){ .event = GALENA_AUDIT_OWNER_LOST,
                                          .upstream = upstream });
  hint->lost = true;
  hint->suspect_until = galena_clock_add_ms (world->now, SUSPECT_MS);
}

/* Whether HINT tells that an earlier path to a known agent was silent.  */
static bool
keeps_path (const struct galena_world *world, const struct galena_hint *hint)
{
  return hint->path != 0
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
      int64_t life_ms = hint->lost ? LOST_HINT_LIFE_MS : HINT_LIFE_MS;

      if (galena_clock_elapsed_ms (hint->heard, world->now) < life_ms
          || keeps_path (world, hint))
        continue;
      galena_map_remove (entry->hints_by_upstream, hint->upstream);
      galena_table_remove (entry->hints, handle);
    }
}
