/* The records wanted: which are behind, and from where they come.  */

#include <string.h>

#include "sync_private.h"

enum
{
  /* A generation that only peers told of is forgotten after this time
     without one of them to fetch the record from.  */
  FLOOR_LIFE_MS = 10000,
  /* Wait before a record that was no valid one is read again.  */
  REFUSED_RETRY_MS = 30000,
  /* Wait after a read that brought an older record than announced.  */
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

/* Returns the newest generation of ROW that is known of.  */
static uint64_t
newest_generation (const struct sync_service *row)
{
  return row->peer_generation > row->index_generation ? row->peer_generation
                                                      : row->index_generation;
}

/* Tells whether RECORD, which may be NULL, is older than what peers hold. */
static bool
is_below_peers (const struct sync_service *row,
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
  const struct galena_service_record *held
      = galena_records_find (sync->records, row->number);

  if (is_below_peers (row, held))
    return true;
  return row->index_generation != row->refused_generation
         && row->index_generation
                > (held == NULL ? 0 : held->service.generation);
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
sync_fetch_failed (struct galena_sync *sync, struct sync_service *row,
                   uint32_t wait_ms)
{
  row->in_progress = false;
  row->holder = SYNC_NONE;
  row->due = galena_clock_after (sync->now, wait_ms);
}

void
sync_refuse_record (struct galena_sync *sync, struct sync_service *row)
{
  struct galena_audit_row note = { .at = sync->now,
                                   .event = GALENA_AUDIT_RECORD_REFUSED,
                                   .service = row->number,
                                   .generation = newest_generation (row),
                                   .result = GALENA_ERR_INVALID };

  galena_audit_append (sync->options.audit, &note);
  row->refused_generation = row->index_generation;
  sync_fetch_failed (sync, row, REFUSED_RETRY_MS);
}

static bool
is_older (const struct galena_service_record *record,
          const struct galena_service_record *held)
{
  return held != NULL && record->service.generation < held->service.generation;
}

static bool
is_same (const struct galena_service_record *record,
         const struct galena_service_record *held)
{
  return held != NULL && record->service.generation == held->service.generation
         && record->service.digest == held->service.digest;
}

/* Tells whether RECORD is the one of two records of a generation that does
   not come into force.  */
static bool
is_other_of_generation (const struct galena_service_record *record,
                        const struct galena_service_record *held)
{
  return held != NULL && record->service.generation == held->service.generation
         && record->service.digest < held->service.digest;
}

/* An agent learns the other agents of its service.  */
static void
know_agents (struct galena_sync *sync,
             const struct galena_service_record *record)
{
  if (sync->options.self.role != GALENA_ROLE_AGENT
      || sync->options.service == 0)
    return;
  for (uint32_t i = 0; i < record->service.upstream_count; i++)
    sync_know_peer (
        sync,
        (struct galena_peer){ record->upstreams[i].agent, GALENA_ROLE_AGENT },
        false);
}

void
sync_take_record (struct galena_sync *sync,
                  const struct galena_service_record *record,
                  struct galena_handle from)
{
  struct sync_service *row = sync_service_row (sync, record->service.number);
  const struct galena_service_record *held
      = galena_records_find (sync->records, record->service.number);

  if (row == NULL)
    return;
  memcpy (row->name, record->service.name, sizeof row->name);
  if (is_other_of_generation (record, held))
    galena_records_take (sync->records, record, sync->now);
  if (is_older (record, held) || is_same (record, held)
      || is_below_peers (row, record))
    {
      sync_fetch_failed (sync, row, STALE_RETRY_MS);
      return;
    }
  row->in_progress = false;
  row->due = sync->now;
  if (galena_records_take (sync->records, record, sync->now) != GALENA_OK)
    return;
  row->peer_generation = record->service.generation;
  row->peer_digest = record->service.digest;
  sync->changed = true;
  know_agents (sync, record);
  sync_announce (sync, &record->service, from);
}

/* Forgets what peers told of once none of them can be asked for it.  */
static void
forget_floor (struct galena_sync *sync, struct sync_service *row)
{
  const struct galena_service_record *held
      = galena_records_find (sync->records, row->number);

  if (!is_below_peers (row, held)
      || galena_table_get (sync->links, row->holder) != NULL)
    {
      row->peer_until = galena_clock_after (sync->now, FLOOR_LIFE_MS);
      return;
    }
  if (!galena_clock_reached (sync->now, row->peer_until))
    return;
  row->peer_generation = held == NULL ? 0 : held->service.generation;
  row->peer_digest = held == NULL ? 0 : held->service.digest;
}

static void
fetch_from_peer (struct galena_sync *sync, struct sync_service *row)
{
  struct galena_sync_message message
      = { .type = GALENA_SYNC_FETCH, .number = row->number };

  row->in_progress = true;
  row->due = galena_clock_after (sync->now, SYNC_FETCH_TIMEOUT_MS);
  sync_send (sync, row->holder, &message);
}

static void
read_from_platform (struct galena_sync *sync, struct sync_service *row)
{
  struct galena_sync_read what
      = { .type = GALENA_SYNC_READ_SERVICE, .service = row->number };
  struct galena_handle handle;

  if (row->name[0] == '\0')
    return;
  memcpy (what.name, row->name, sizeof what.name);
  if (!sync_start_read (sync, &what, &handle))
    return;
  row->compare = false;
  row->in_progress = true;
  row->due.ms = INT64_MAX;
}

/* Tells whether a peer is there that holds a newer record of ROW.  */
static bool
can_fetch (const struct galena_sync *sync, const struct sync_service *row)
{
  const struct galena_service_record *held
      = galena_records_find (sync->records, row->number);

  return !row->in_progress && galena_clock_reached (sync->now, row->due)
         && is_below_peers (row, held)
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

/* Gives up what has taken too long; counts the fetches on their way.  */
static void
count_fetches (struct galena_sync *sync)
{
  struct sync_service *row;
  struct galena_handle handle;
  uint32_t cursor = 0;

  sync->fetches = 0;
  while ((row = galena_table_next (sync->services, &cursor, &handle)) != NULL)
    {
      if (row->in_progress && galena_clock_reached (sync->now, row->due))
        sync_fetch_failed (sync, row, 0);
      forget_floor (sync, row);
      sync->fetches += row->in_progress && row->due.ms != INT64_MAX;
    }
}

/* Tells whether the platform's record of ROW should be read.  */
static bool
wants_read (const struct galena_sync *sync, const struct sync_service *row)
{
  return !row->in_progress && galena_clock_reached (sync->now, row->due)
         && (row->compare || sync_is_behind (sync, row))
         && !can_fetch (sync, row);
}

/* System: fetches from peers what they hold, as far as the bound allows, and
   reads one random other record from the platform.  Random, so that entries
   which start together read different ones and relay them.  */
void
sync_run_fetches (struct galena_sync *sync)
{
  struct sync_service *from_platform = NULL;
  struct sync_service *row;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint32_t seen = 0;

  count_fetches (sync);
  while ((row = galena_table_next (sync->services, &cursor, &handle)) != NULL)
    {
      sync_fetch (sync, row);
      if (!wants_read (sync, row))
        continue;
      seen++;
      if (galena_random_below (&sync->random, seen) == 0)
        from_platform = row;
    }
  if (from_platform != NULL)
    read_from_platform (sync, from_platform);
}
