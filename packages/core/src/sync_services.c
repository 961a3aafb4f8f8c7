/* The services whose records are kept: which records are behind, and fetches
   of newer ones from peers or the platform.  */

#include <string.h>

#include "sync_private.h"

enum
{
  /* Time after which a generation that only peers announced expires, when no
     link remains from which to fetch its record.  */
  PEER_GENERATION_TTL_MS = 10000,
  /* Wait before an invalid record is read again.  */
  REFUSED_RETRY_MS = 30000,
  /* Wait after a read that returned a record older than announced.  */
  STALE_RETRY_MS = 500
};

struct sync_service *
sync_service_row (struct galena_sync *sync, uint32_t number)
{
  struct galena_handle handle;
  struct sync_service *row;
  uint64_t packed;

  if (sync->options.service != 0 && sync->options.service != number)
    return NULL;
  if (galena_map_find (sync->services_by_number, number, &packed))
    return galena_table_get (sync->services, galena_handle_unpack (packed));
  row = galena_table_insert (sync->services, &handle);
  if (row == NULL)
    return NULL;
  row->number = number;
  galena_map_insert (sync->services_by_number, number,
                     galena_handle_pack (handle));
  return row;
}

/* Returns the newest known generation of ROW.  */
static uint64_t
newest_generation (const struct sync_service *row)
{
  return row->peer_generation > row->listed_generation
             ? row->peer_generation
             : row->listed_generation;
}

/* Returns whether RECORD, which may be NULL, is older than the one that peers
   hold.  */
static bool
is_older_than_peers (const struct sync_service *row,
                     const struct galena_service_record *record)
{
  if (record == NULL)
    return row->peer_generation > 0;
  if (record->service.generation != row->peer_generation)
    return record->service.generation < row->peer_generation;
  return record->service.digest < row->peer_digest;
}

bool
sync_is_behind (const struct galena_sync *sync, const struct sync_service *row)
{
  const struct galena_service_record *current
      = galena_records_find (sync->records, row->number);

  if (is_older_than_peers (row, current))
    return true;
  return row->listed_generation != row->refused_generation
         && row->listed_generation
                > (current == NULL ? 0 : current->service.generation);
}

uint32_t
sync_count_behind (const struct galena_sync *sync)
{
  const struct sync_service *row;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint32_t count = 0;

  while ((row = galena_table_next (sync->services, &cursor, &handle)) != NULL)
    count += sync_is_behind (sync, row);
  return count;
}

void
sync_end_fetch (struct galena_sync *sync, struct sync_service *row,
                uint32_t wait_ms)
{
  row->in_progress = false;
  row->holder = SYNC_NO_LINK;
  row->due = galena_clock_add_ms (sync->now, wait_ms);
}

void
sync_refuse_record (struct galena_sync *sync, struct sync_service *row)
{
  struct galena_audit_row audit_row = { .at = sync->now,
                                        .event = GALENA_AUDIT_RECORD_REFUSED,
                                        .service = row->number,
                                        .generation = newest_generation (row),
                                        .result = GALENA_ERR_INVALID };

  galena_audit_append (sync->options.audit, &audit_row);
  row->refused_generation = row->listed_generation;
  sync_end_fetch (sync, row, REFUSED_RETRY_MS);
}

static bool
is_older (const struct galena_service_record *record,
          const struct galena_service_record *current)
{
  return current != NULL
         && record->service.generation < current->service.generation;
}

static bool
is_same (const struct galena_service_record *record,
         const struct galena_service_record *current)
{
  return current != NULL
         && record->service.generation == current->service.generation
         && record->service.digest == current->service.digest;
}

/* Returns whether RECORD has the same generation as CURRENT but loses against
   it because of its lower digest.  */
static bool
loses_conflict (const struct galena_service_record *record,
                const struct galena_service_record *current)
{
  return current != NULL
         && record->service.generation == current->service.generation
         && record->service.digest < current->service.digest;
}

/* In an agent, adds the other agents of its service to the known peers.  */
static void
add_agents_as_peers (struct galena_sync *sync,
                     const struct galena_service_record *record)
{
  if (sync->options.self.role != GALENA_ROLE_AGENT
      || sync->options.service == 0)
    return;
  for (uint32_t i = 0; i < record->service.upstream_count; i++)
    sync_add_peer (
        sync,
        (struct galena_peer){ record->upstreams[i].agent, GALENA_ROLE_AGENT },
        false);
}

void
sync_handle_record (struct galena_sync *sync,
                    const struct galena_service_record *record,
                    struct galena_handle from)
{
  struct sync_service *row = sync_service_row (sync, record->service.number);
  const struct galena_service_record *current
      = galena_records_find (sync->records, record->service.number);

  if (row == NULL)
    return;
  memcpy (row->name, record->service.name, sizeof row->name);
  /* The call does not apply the record, but appends the conflict to the audit
     trail.  */
  if (loses_conflict (record, current))
    galena_records_apply (sync->records, record, sync->now);
  if (is_older (record, current) || is_same (record, current)
      || is_older_than_peers (row, record))
    {
      sync_end_fetch (sync, row, STALE_RETRY_MS);
      return;
    }
  row->in_progress = false;
  row->due = sync->now;
  if (galena_records_apply (sync->records, record, sync->now) != GALENA_OK)
    return;
  row->peer_generation = record->service.generation;
  row->peer_digest = record->service.digest;
  sync->changed = true;
  add_agents_as_peers (sync, record);
  sync_announce (sync, &record->service, from);
}

/* Expires the generation announced by peers when its record has not been
   fetched and no link to a peer that holds it has existed for
   PEER_GENERATION_TTL_MS.  */
static void
expire_peer_generation (struct galena_sync *sync, struct sync_service *row)
{
  const struct galena_service_record *current
      = galena_records_find (sync->records, row->number);

  if (!is_older_than_peers (row, current)
      || galena_table_get (sync->links, row->holder) != NULL)
    {
      row->peer_expires
          = galena_clock_add_ms (sync->now, PEER_GENERATION_TTL_MS);
      return;
    }
  if (!galena_clock_reached (sync->now, row->peer_expires))
    return;
  row->peer_generation = current == NULL ? 0 : current->service.generation;
  row->peer_digest = current == NULL ? 0 : current->service.digest;
}

static void
fetch_from_peer (struct galena_sync *sync, struct sync_service *row)
{
  struct galena_sync_message message
      = { .type = GALENA_SYNC_FETCH, .number = row->number };

  row->in_progress = true;
  row->due = galena_clock_add_ms (sync->now, SYNC_FETCH_TIMEOUT_MS);
  sync_send (sync, row->holder, &message);
}

static void
read_from_platform (struct galena_sync *sync, struct sync_service *row)
{
  struct galena_sync_read query
      = { .type = GALENA_SYNC_READ_SERVICE, .service = row->number };
  struct galena_handle handle;

  if (row->name[0] == '\0')
    return;
  memcpy (query.name, row->name, sizeof query.name);
  if (!sync_start_read (sync, &query, &handle))
    return;
  row->compare = false;
  row->in_progress = true;
  /* No timeout here: the read always ends with an event.  */
  row->due.ms = INT64_MAX;
}

/* Returns whether a newer record of ROW may be fetched from a peer now.  */
static bool
can_fetch (const struct galena_sync *sync, const struct sync_service *row)
{
  const struct galena_service_record *current
      = galena_records_find (sync->records, row->number);

  return !row->in_progress && galena_clock_reached (sync->now, row->due)
         && is_older_than_peers (row, current)
         && galena_table_get (sync->links, row->holder) != NULL;
}

void
sync_fetch (struct galena_sync *sync, struct sync_service *row)
{
  if (sync->fetches >= SYNC_FETCHES_MAX || !can_fetch (sync, row))
    return;
  sync->fetches++;
  fetch_from_peer (sync, row);
}

/* Ends fetches that timed out, expires generations announced by peers, and
   counts the fetches in progress.  */
static void
update_fetches (struct galena_sync *sync)
{
  struct sync_service *row;
  struct galena_handle handle;
  uint32_t cursor = 0;

  sync->fetches = 0;
  while ((row = galena_table_next (sync->services, &cursor, &handle)) != NULL)
    {
      if (row->in_progress && galena_clock_reached (sync->now, row->due))
        sync_end_fetch (sync, row, 0);
      expire_peer_generation (sync, row);
      /* Reads from the platform have no timeout and are not counted.  */
      sync->fetches += row->in_progress && row->due.ms != INT64_MAX;
    }
}

/* Returns whether the record of ROW should be read from the platform.  */
static bool
needs_platform_read (const struct galena_sync *sync,
                     const struct sync_service *row)
{
  return !row->in_progress && galena_clock_reached (sync->now, row->due)
         && (row->compare || sync_is_behind (sync, row))
         && !can_fetch (sync, row);
}

/* System: fetches newer records from peers, up to the limit of concurrent
   fetches, and reads one other record from the platform.  That record is
   chosen at random so that entries which start at the same time read different
   ones and relay them to each other.  */
void
sync_run_fetches (struct galena_sync *sync)
{
  struct sync_service *from_platform = NULL;
  struct sync_service *row;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint32_t seen = 0;

  update_fetches (sync);
  while ((row = galena_table_next (sync->services, &cursor, &handle)) != NULL)
    {
      sync_fetch (sync, row);
      if (!needs_platform_read (sync, row))
        continue;
      seen++;
      if (galena_random_below (&sync->random, seen) == 0)
        from_platform = row;
    }
  if (from_platform != NULL)
    read_from_platform (sync, from_platform);
}
