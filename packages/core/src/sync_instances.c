/* The upstreams that the list of instances marks as leaving.

   The state of each instance carries the position of the list that it was read
   from, its era above its generation in one number; the higher position wins.
   Changes of the state are relayed from peer to peer.  */

#include <xxhash.h>

#include "sync_private.h"

enum
{
  /* Time for which the row of an upstream that is no longer leaving is
     kept.  */
  LIVE_TTL_MS = 600000,
  /* In a new era, the list may lack instances that were marked as leaving
     until they are marked again; they stay leaving for this time.  */
  RESTORED_LEAVING_MS = 5000
};

static struct sync_instance *
find_instance (const struct galena_sync *sync, uint32_t number)
{
  uint64_t packed;

  if (!galena_map_find (sync->instances_by_number, number, &packed))
    return NULL;
  return galena_table_get (sync->instances, galena_handle_unpack (packed));
}

static struct sync_instance *
add_instance (struct galena_sync *sync, uint32_t number)
{
  struct galena_handle handle;
  struct sync_instance *row = galena_table_insert (sync->instances, &handle);

  if (row == NULL)
    return NULL;
  row->number = number;
  galena_map_insert (sync->instances_by_number, number,
                     galena_handle_pack (handle));
  return row;
}

static void
send_instance (struct galena_sync *sync, struct galena_handle link,
               uint32_t number, uint64_t position, bool leaving)
{
  struct galena_sync_message message = { .type = GALENA_SYNC_INSTANCE,
                                         .number = number,
                                         .generation = position,
                                         .leaving = leaving };

  sync_send (sync, link, &message);
}

static void
relay_instance (struct galena_sync *sync, const struct sync_instance *row,
                struct galena_handle except)
{
  struct galena_handle handle;
  uint32_t cursor = 0;

  while (galena_table_next (sync->links, &cursor, &handle) != NULL)
    if (galena_handle_pack (handle) != galena_handle_pack (except))
      send_instance (sync, handle, row->number, row->position, row->leaving);
}

void
sync_handle_instance (struct galena_sync *sync, uint32_t upstream,
                      uint64_t position, bool leaving,
                      struct galena_handle from)
{
  struct sync_instance *row = find_instance (sync, upstream);

  if (row == NULL && !leaving)
    return;
  if (row == NULL && position < sync->list_position)
    {
      /* The list read here is newer and does not mark the upstream as leaving:
         corrects the peer.  */
      send_instance (sync, from, upstream, sync->list_position, false);
      return;
    }
  if (row == NULL)
    row = add_instance (sync, upstream);
  if (row == NULL || position < row->position)
    return;
  row->position = position;
  row->updated = sync->now;
  if (row->leaving == leaving)
    return;
  row->leaving = leaving;
  sync->changed = true;
  galena_records_set_leaving (sync->records, upstream, leaving, sync->now);
  relay_instance (sync, row, from);
}

static bool
is_leaving_in_list (const struct galena_instance_list *list, uint32_t upstream)
{
  for (uint32_t i = 0; i < list->count; i++)
    if (list->rows[i].upstream == upstream && list->rows[i].leaving)
      return true;
  return false;
}

/* Marks the instances as live that LIST, read at POSITION, does not mark as
   leaving.  */
static void
end_leaving (struct galena_sync *sync, const struct galena_instance_list *list,
             uint64_t position)
{
  struct sync_instance *row;
  struct galena_handle handle;
  uint32_t cursor = 0;

  if (!galena_clock_reached (sync->now, sync->list_complete_at))
    return;
  while ((row = galena_table_next (sync->instances, &cursor, &handle)) != NULL)
    if (row->leaving && !is_leaving_in_list (list, row->number))
      sync_handle_instance (sync, row->number, position, false, SYNC_NO_LINK);
}

void
sync_handle_leaving_list (struct galena_sync *sync,
                          const struct galena_instance_list *list)
{
  uint64_t position
      = (list->era << GALENA_LIST_GENERATION_BITS) | list->generation;

  if (position < sync->list_position)
    return;
  if (sync->list_position != 0
      && position >> GALENA_LIST_GENERATION_BITS
             != sync->list_position >> GALENA_LIST_GENERATION_BITS)
    sync->list_complete_at
        = galena_clock_add_ms (sync->now, RESTORED_LEAVING_MS);
  sync->list_position = position;
  sync->list_total = list->total;
  for (uint32_t i = 0; i < list->count; i++)
    if (list->rows[i].leaving && list->rows[i].upstream != 0)
      sync_handle_instance (sync, list->rows[i].upstream, position, true,
                            SYNC_NO_LINK);
  end_leaving (sync, list, position);
}

uint64_t
sync_leaving_digest (const struct galena_sync *sync)
{
  const struct sync_instance *row;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint64_t digest = 0;

  while ((row = galena_table_next (sync->instances, &cursor, &handle)) != NULL)
    if (row->leaving)
      digest ^= XXH3_64bits (&row->number, sizeof row->number);
  return digest;
}

uint32_t
sync_count_leaving (const struct galena_sync *sync)
{
  const struct sync_instance *row;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint32_t count = 0;

  while ((row = galena_table_next (sync->instances, &cursor, &handle)) != NULL)
    count += row->leaving;
  return count;
}

void
sync_send_leaving (struct galena_sync *sync, struct galena_handle link)
{
  const struct sync_instance *row;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((row = galena_table_next (sync->instances, &cursor, &handle)) != NULL)
    send_instance (sync, link, row->number, row->position, row->leaving);
}

/* System: removes the rows of upstreams that are no longer leaving, after
   LIVE_TTL_MS without an update.  */
void
sync_run_instances (struct galena_sync *sync)
{
  const struct sync_instance *row;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((row = galena_table_next (sync->instances, &cursor, &handle)) != NULL)
    {
      if (row->leaving
          || galena_clock_elapsed_ms (row->updated, sync->now) < LIVE_TTL_MS)
        continue;
      galena_map_remove (sync->instances_by_number, row->number);
      galena_table_remove (sync->instances, handle);
    }
}
