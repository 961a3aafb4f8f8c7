/* The upstreams of a catalog: which published state is the newest, and when
   one is removed.  */

#include <string.h>

#include <xxhash.h>

#include "catalog_private.h"

enum
{
  /* An upstream that is no longer published may be published again within two
     seconds, so its removal is delayed.  */
  REMOVAL_DELAY_MS = 2000,
  /* An upstream that only an older copy of the store still lists is alive if
     its entry is there after this time; otherwise the entry expires, after
     three heartbeats.  */
  RESTORED_EXPIRY_MS = 6000,
  /* The row of a removed upstream is kept for this time, since the store may
     come back from a copy that lists it.  */
  KEEP_REMOVED_MS = 600000,
  /* Peers are told of a removed upstream for this time: longer than it takes
     until a store has expired what an older copy lists.  */
  REPORT_REMOVED_MS = 60000
};

static uint64_t
key_of (const char *id)
{
  return XXH64 (id, strlen (id), 0);
}

struct catalog_upstream *
catalog_find_upstream (const struct galena_catalog *catalog, const char *id)
{
  uint64_t packed;

  if (!galena_map_find (catalog->items_by_key, key_of (id), &packed))
    return NULL;
  return galena_table_get (catalog->items, galena_handle_unpack (packed));
}

static void
delete_item (struct galena_catalog *catalog,
             const struct catalog_upstream *item, struct galena_handle handle)
{
  galena_map_remove (catalog->items_by_key, item->key);
  galena_table_remove (catalog->items, handle);
}

/* Deletes the rows of removed items if ALL, else of those that have been kept
   long enough.  */
static void
delete_removed (struct galena_catalog *catalog, struct galena_clock now,
                bool all)
{
  const struct catalog_upstream *item;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((item = galena_table_next (catalog->items, &cursor, &handle)) != NULL)
    if (item->removed
        && (all
            || galena_clock_elapsed_ms (item->removal_due, now)
                   >= KEEP_REMOVED_MS))
      delete_item (catalog, item, handle);
}

/* Deletes the row of an upstream whose service has no route; false when there
   is none.  */
static bool
delete_unrouted (struct galena_catalog *catalog)
{
  const struct catalog_upstream *item;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((item = galena_table_next (catalog->items, &cursor, &handle)) != NULL)
    if (!catalog_routes_to (catalog, item->upstream.service))
      {
        delete_item (catalog, item, handle);
        return true;
      }
  return false;
}

/* Adds a row for UPSTREAM.  In a full table, an upstream whose service has a
   route takes the row of one whose service has none.  Returns NULL when there
   is no room.  */
static struct catalog_upstream *
add_item (struct galena_catalog *catalog,
          const struct galena_published_upstream *upstream,
          struct galena_clock now)
{
  struct galena_handle handle;
  struct catalog_upstream *item
      = galena_table_insert (catalog->items, &handle);

  /* A search of the whole table for each upstream that does not fit would take
     long.  */
  if (item == NULL && catalog->deleted_removals != catalog->removals)
    {
      delete_removed (catalog, now, true);
      catalog->deleted_removals = catalog->removals;
      item = galena_table_insert (catalog->items, &handle);
    }
  if (item == NULL)
    {
      catalog->left_out = true;
      catalog->left_out_round = catalog->rounds[SOURCE_PLATFORM];
      if (catalog_routes_to (catalog, upstream->service)
          && delete_unrouted (catalog))
        item = galena_table_insert (catalog->items, &handle);
    }
  if (item == NULL)
    return NULL;
  item->key = key_of (upstream->id);
  galena_map_insert (catalog->items_by_key, item->key,
                     galena_handle_pack (handle));
  return item;
}

bool
catalog_schedule_removal (struct galena_catalog *catalog,
                          struct catalog_upstream *item,
                          struct galena_store_position position,
                          struct galena_clock now)
{
  if (galena_store_position_is_before (position, item->position))
    return false;
  item->position = position;
  item->state_era = position.era;
  item->confirmed_due = (struct galena_clock){ 0 };
  if (item->removal_due.ms != 0)
    return true;
  item->removal_due = now;
  if (item->upstream.state == GALENA_PUBLISHED_READY)
    item->removal_due = galena_clock_add_ms (now, REMOVAL_DELAY_MS);
  catalog->changed = true;
  return true;
}

/* Returns whether A and B differ at most in their sequence numbers.  */
static bool
upstream_equal (const struct galena_published_upstream *a,
                const struct galena_published_upstream *b)
{
  return a->service == b->service
         && galena_endpoint_equal (a->address, b->address)
         && a->state == b->state && a->zone == b->zone && a->slots == b->slots
         && a->warm_up_ms == b->warm_up_ms
         && a->started_unix_ms == b->started_unix_ms;
}

struct galena_store_position
catalog_known_position (const struct galena_catalog *catalog,
                        const struct catalog_upstream *item)
{
  return item != NULL ? item->position : catalog->peer_position;
}

/* Cancels the removal of ITEM.  */
static void
publish_again (struct galena_catalog *catalog, struct catalog_upstream *item)
{
  catalog->changed |= item->removed;
  item->removed = false;
  item->removal_due = (struct galena_clock){ 0 };
  item->confirmed_due = (struct galena_clock){ 0 };
}

static void
set_removed (struct galena_catalog *catalog, struct catalog_upstream *item)
{
  catalog->removals += !item->removed;
  item->removed = true;
}

/* Removes ITEM, of which a peer reports that UPSTREAM was removed.  */
static void
remove_at_once (struct galena_catalog *catalog, struct catalog_upstream *item,
                const struct galena_published_upstream *upstream,
                struct galena_clock now)
{
  if (*item->upstream.id == '\0')
    item->upstream = *upstream;
  if (item->removal_due.ms == 0)
    item->removal_due = now;
  catalog->changed |= !item->removed;
  set_removed (catalog, item);
}

/* Returns whether UPSTREAM, seen at POSITION, is an older state of ITEM, which
   an older copy of the store has brought back.  An upstream counts its own
   states, so that those of one start can be compared over eras.  Within an era
   the later position is right, whatever another writer may have put under the
   upstream's id before.  LISTED is false for a change, which is written after
   the copy came back.  */
static bool
is_restored_state (const struct catalog_upstream *item,
                   struct galena_store_position position, bool listed,
                   const struct galena_published_upstream *upstream)
{
  const struct galena_published_upstream *known = &item->upstream;

  if (!listed || position.era <= item->state_era
      || upstream->started_unix_ms == 0 || known->started_unix_ms == 0)
    return false;
  if (upstream->started_unix_ms != known->started_unix_ms)
    return upstream->started_unix_ms < known->started_unix_ms;
  if (upstream->sequence == known->sequence)
    return item->removal_due.ms != 0;
  return upstream->sequence < known->sequence;
}

/* Notes that SOURCE listed a state of ITEM at POSITION that is older than the
   known one.  */
static void
note_restored_state (struct galena_catalog *catalog,
                     struct catalog_upstream *item, enum catalog_source source,
                     struct galena_store_position position,
                     struct galena_clock now,
                     const struct galena_published_upstream *upstream)
{
  item->rounds[source] = catalog->rounds[source];
  item->position = position;
  /* A peer that told of the removal did not know the last state.  */
  if (item->upstream.state == GALENA_PUBLISHED_ABSENT)
    item->upstream.state = upstream->state;
  if (item->removal_due.ms != 0 && item->confirmed_due.ms == 0)
    item->confirmed_due = galena_clock_add_ms (now, RESTORED_EXPIRY_MS);
}

bool
catalog_apply_upstream (struct galena_catalog *catalog,
                        enum catalog_source source,
                        struct galena_store_position position, bool listed,
                        struct galena_clock now,
                        const struct galena_published_upstream *upstream)
{
  struct catalog_upstream *item
      = catalog_find_upstream (catalog, upstream->id);

  /* Ignores a reply that is older than a snapshot of a peer that was merged
     while the call was in progress.  */
  if (galena_store_position_is_before (position,
                                       catalog_known_position (catalog, item)))
    return false;
  if (item != NULL && is_restored_state (item, position, listed, upstream))
    {
      note_restored_state (catalog, item, source, position, now, upstream);
      return false;
    }
  if (item == NULL)
    item = add_item (catalog, upstream, now);
  if (item == NULL)
    return true;
  item->rounds[source] = catalog->rounds[source];
  item->position = position;
  item->state_era = position.era;
  if (upstream->state == GALENA_PUBLISHED_ABSENT)
    {
      remove_at_once (catalog, item, upstream, now);
      return true;
    }
  publish_again (catalog, item);
  if (*item->upstream.id == '\0'
      || !upstream_equal (&item->upstream, upstream))
    catalog->changed = true;
  item->upstream = *upstream;
  return true;
}

void
catalog_remove_unlisted (struct galena_catalog *catalog,
                         enum catalog_source source,
                         struct galena_store_position position,
                         struct galena_clock now)
{
  struct catalog_upstream *item;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((item = galena_table_next (catalog->items, &cursor, &handle)) != NULL)
    if (item->rounds[source] != catalog->rounds[source])
      catalog_schedule_removal (catalog, item, position, now);
}

/* Replaces the state of ITEM, which the store lists, by the newer UPSTREAM of
   a peer, known since ERA at the latest.  */
static void
adopt_state (struct galena_catalog *catalog, struct catalog_upstream *item,
             const struct galena_published_upstream *upstream, uint64_t era,
             struct galena_clock now)
{
  if (era < item->state_era)
    item->state_era = era;
  if (upstream->state != GALENA_PUBLISHED_ABSENT)
    {
      item->upstream = *upstream;
      catalog->changed = true;
    }
  else if (item->removal_due.ms == 0)
    {
      remove_at_once (catalog, item, upstream, now);
      item->confirmed_due = galena_clock_add_ms (now, RESTORED_EXPIRY_MS);
    }
}

/* Returns whether UPSTREAM of a peer, whose snapshot has an earlier position
   in ERA, is a newer state of ITEM.  Only what an older copy of the store has
   lost can be: within an era the later position knows more.  */
static bool
is_newer_state (const struct galena_catalog *catalog,
                const struct catalog_upstream *item,
                const struct galena_published_upstream *upstream, uint64_t era)
{
  if (upstream->started_unix_ms == 0
      || upstream->started_unix_ms != item->upstream.started_unix_ms
      || (era >= item->state_era
          && item->state_era == catalog->calls.position.era))
    return false;
  if (upstream->sequence == item->upstream.sequence)
    return upstream->state == GALENA_PUBLISHED_ABSENT && era < item->state_era;
  return upstream->sequence > item->upstream.sequence;
}

/* Adds the upstreams of SNAPSHOT that a full table lacks, if it has the same
   position.  The peer may have left them out itself before.  */
static void
adopt_left_out (struct galena_catalog *catalog,
                const struct galena_catalog_snapshot *snapshot,
                struct galena_clock now)
{
  if (galena_table_count (catalog->items) < catalog->options.upstreams
      || galena_store_position_is_before (snapshot->position,
                                          catalog->calls.position))
    return;
  for (uint32_t i = 0; i < snapshot->upstream_count; i++)
    if (catalog_find_upstream (catalog, snapshot->upstreams[i].id) == NULL
        && catalog_routes_to (catalog, snapshot->upstreams[i].service))
      catalog_apply_upstream (catalog, SOURCE_PEER, snapshot->position, true,
                              now, &snapshot->upstreams[i]);
}

void
catalog_adopt_newer_states (struct galena_catalog *catalog,
                            const struct galena_catalog_snapshot *snapshot,
                            struct galena_clock now)
{
  uint64_t era = snapshot->position.era;

  adopt_left_out (catalog, snapshot, now);
  for (uint32_t i = 0; i < snapshot->upstream_count; i++)
    {
      const struct galena_published_upstream *upstream
          = &snapshot->upstreams[i];
      struct catalog_upstream *item
          = catalog_find_upstream (catalog, upstream->id);

      if (item != NULL && is_newer_state (catalog, item, upstream, era))
        adopt_state (catalog, item, upstream, era, now);
    }
}

uint32_t
catalog_copy_published (const struct galena_catalog *catalog,
                        struct galena_published_upstream *rows)
{
  const struct catalog_upstream *item;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint32_t count = 0;

  while ((item = galena_table_next (catalog->items, &cursor, &handle)) != NULL)
    if (!item->removed)
      rows[count++] = item->upstream;
  return count;
}

uint32_t
catalog_copy_removed (const struct galena_catalog *catalog,
                      struct galena_clock now,
                      struct galena_published_upstream *rows)
{
  const struct catalog_upstream *item;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint32_t count = 0;

  while ((item = galena_table_next (catalog->items, &cursor, &handle)) != NULL)
    if (item->removed
        && galena_clock_elapsed_ms (item->removal_due, now)
               < REPORT_REMOVED_MS)
      {
        rows[count] = item->upstream;
        rows[count++].state = GALENA_PUBLISHED_ABSENT;
      }
  return count;
}

struct galena_clock
catalog_upstream_due (const struct catalog_upstream *item)
{
  if (item->removal_due.ms != 0 && !item->removed)
    return item->removal_due;
  if (item->confirmed_due.ms != 0)
    return item->confirmed_due;
  return (struct galena_clock){ INT64_MAX };
}

void
catalog_update_due (struct galena_catalog *catalog, struct galena_clock now)
{
  struct catalog_upstream *item;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((item = galena_table_next (catalog->items, &cursor, &handle)) != NULL)
    {
      if (!galena_clock_reached (now, catalog_upstream_due (item)))
        continue;
      if (item->removed)
        publish_again (catalog, item);
      else
        set_removed (catalog, item);
      catalog->changed = true;
    }
  delete_removed (catalog, now, false);
}
