/* Reads of the platform.

   The reads of a process are spaced so that all processes together stay within
   the rate limit of the options; a long-poll read, or watch, counts as one.
   After an event that many processes see at the same time, each of them delays
   its next read by a random part of that interval.  */

#include <string.h>

#include "sync_private.h"

enum
{
  /* Minimum interval between two reads of one process.  */
  READ_INTERVAL_MIN_MS = 20,
  /* Exponential backoff after failed reads: the additional wait is a random
     part of a time that doubles with each consecutive failure, up to the
     limit.  */
  BACKOFF_MIN_MS = 200,
  BACKOFF_DOUBLINGS_MAX = 4,
  /* Rate of reads of the leaving instances by all processes together.  */
  LEAVING_READS_PER_SECOND = 400,
  /* Minimum period of reads of the leaving instances, and maximum period in a
     process without links.  */
  LEAVING_PERIOD_MIN_MS = 1000,
  LEAVING_UNLINKED_MAX_MS = 2000,
  /* Mean period of reads of the whole list of instances, and the wait after a
     failed one.  */
  INSTANCES_PERIOD_MS = 600000,
  INSTANCES_RETRY_MS = 10000
};

static uint32_t
count_readers (const struct galena_sync *sync)
{
  uint32_t readers = sync->options.readers > sync->list_total
                         ? sync->options.readers
                         : sync->list_total;

  return readers == 0 ? 1 : readers;
}

uint32_t
sync_read_interval_ms (const struct galena_sync *sync)
{
  uint64_t interval_ms
      = (uint64_t)count_readers (sync) * 1000 / sync->options.reads_per_second;

  return interval_ms < READ_INTERVAL_MIN_MS ? READ_INTERVAL_MIN_MS
                                            : (uint32_t)interval_ms;
}

void
sync_add_read_jitter (struct galena_sync *sync)
{
  struct galena_clock earliest = galena_clock_add_ms (
      sync->now,
      galena_random_below (&sync->random, sync_read_interval_ms (sync)));

  if (earliest.ms > sync->platform_due.ms)
    sync->platform_due = earliest;
}

bool
sync_start_read (struct galena_sync *sync,
                 const struct galena_sync_read *query,
                 struct galena_handle *handle)
{
  struct galena_sync_action *action;
  struct sync_read *row;

  if (!galena_clock_reached (sync->now, sync->platform_due))
    return false;
  row = galena_table_insert (sync->reads, handle);
  if (row == NULL)
    return false;
  row->type = query->type;
  row->service = query->service;
  action = sync_append_action (sync, GALENA_SYNC_DO_READ);
  if (action == NULL)
    {
      galena_table_remove (sync->reads, *handle);
      return false;
    }
  action->read.row = *handle;
  action->query = *query;
  sync->platform_reads++;
  sync->platform_due
      = galena_clock_add_ms (sync->now, sync_read_interval_ms (sync));
  return true;
}

/* Decides at random whether this process watches the index next.  Processes
   that are not synced or have no links always do.  */
static bool
should_watch (struct galena_sync *sync)
{
  if (!sync->synced || sync_count_links (sync) == 0)
    return true;
  return galena_random_below (&sync->random, count_readers (sync))
         < SYNC_WATCHERS;
}

static uint32_t
leaving_period_ms (struct galena_sync *sync)
{
  uint32_t period_ms = count_readers (sync) * 1000 / LEAVING_READS_PER_SECOND;

  if (sync_count_links (sync) == 0 && period_ms > LEAVING_UNLINKED_MAX_MS)
    period_ms = LEAVING_UNLINKED_MAX_MS;
  return period_ms < LEAVING_PERIOD_MIN_MS ? LEAVING_PERIOD_MIN_MS : period_ms;
}

static bool
is_poll_due (const struct galena_sync *sync, const struct sync_poll *poll)
{
  return galena_clock_reached (sync->now, poll->due)
         && galena_table_get (sync->reads, poll->read) == NULL;
}

static void
poll_index (struct galena_sync *sync, struct sync_poll *poll)
{
  struct galena_sync_read query
      = { .type = GALENA_SYNC_READ_INDEX,
          .after_era = sync->synced ? sync->index_era : 0,
          .after = sync->synced ? sync->index_generation : 0,
          .wait_ms = sync->synced ? sync->options.wait_ms : 0 };

  if (!galena_clock_reached (sync->now, sync->platform_due)
      || (!sync->synced && poll->succeeded))
    return;
  if (should_watch (sync))
    {
      sync_start_read (sync, &query, &poll->read);
      return;
    }
  poll->due = galena_clock_add_ms (
      sync->now,
      sync->options.wait_ms / 2
          + galena_random_below (&sync->random, sync->options.wait_ms + 1));
}

static void
poll_list (struct galena_sync *sync, struct sync_poll *poll,
           enum galena_sync_read_type type, uint32_t period_ms)
{
  struct galena_sync_read query = { .type = type };

  if (!sync->options.has_instance_list)
    return;
  if (sync_start_read (sync, &query, &poll->read))
    poll->due = galena_clock_add_ms (sync->now, period_ms);
}

static void
poll_leaving (struct galena_sync *sync, struct sync_poll *poll)
{
  poll_list (sync, poll, GALENA_SYNC_READ_LEAVING, leaving_period_ms (sync));
}

static void
poll_instances (struct galena_sync *sync, struct sync_poll *poll)
{
  poll_list (sync, poll, GALENA_SYNC_READ_INSTANCES,
             INSTANCES_PERIOD_MS / 2
                 + galena_random_below (&sync->random, INSTANCES_PERIOD_MS));
}

struct poll_row
{
  enum galena_sync_read_type type;
  void (*start) (struct galena_sync *, struct sync_poll *);
};

/* Periodic reads, the most important first.  */
static const struct poll_row POLLS[] = {
  { GALENA_SYNC_READ_INDEX, poll_index },
  { GALENA_SYNC_READ_INSTANCES, poll_instances },
  { GALENA_SYNC_READ_LEAVING, poll_leaving },
};

static void
run_polls (struct galena_sync *sync)
{
  for (size_t i = 0; i < sizeof POLLS / sizeof POLLS[0]; i++)
    {
      struct sync_poll *poll = &sync->polls[POLLS[i].type];

      if (is_poll_due (sync, poll))
        POLLS[i].start (sync, poll);
    }
}

enum
{
  /* One in this many reads is reserved for a periodic read that is due, even
     while records are behind.  */
  READS_PER_POLL = 4,
  /* Approximate number of processes that compare a record relayed by peers
     with that of the platform.  */
  COMPARING_PROCESSES = 16
};

/* System: starts reads, of records that are behind first, but regularly also
   periodic ones.  */
void
sync_run_reads (struct galena_sync *sync)
{
  if (sync->platform_reads % READS_PER_POLL == 0)
    run_polls (sync);
  sync_run_fetches (sync);
  run_polls (sync);
}

/* Decides at random whether this process reads the platform's record even when
   a peer relays one of the same generation, because replicas of the platform
   may hold different records of one generation.  */
static bool
should_compare (struct galena_sync *sync)
{
  return galena_random_below (&sync->random, count_readers (sync))
         < COMPARING_PROCESSES;
}

/* Forgets what the lost history listed of ROW: a record that can't be read any
   more, and a refused one whose generation may be given out again.  */
static void
forget_listed (struct sync_service *row)
{
  row->listed_generation = 0;
  row->refused_generation = 0;
}

static void
on_index_read (struct galena_sync *sync, const struct sync_read *read,
               const struct galena_sync_event *event)
{
  bool any_newer = false;
  bool new_era;

  (void)read;
  if (event->result != GALENA_OK || event->index->era < sync->index_era)
    return;
  new_era = event->index->era > sync->index_era;
  if (new_era)
    sync->index_generation = 0;
  sync->index_era = event->index->era;
  for (uint32_t i = 0; i < event->index->count; i++)
    {
      const struct galena_index_row *listed = &event->index->rows[i];
      struct sync_service *row = sync_service_row (sync, listed->number);

      if (row == NULL)
        continue;
      memcpy (row->name, listed->name, sizeof row->name);
      if (new_era)
        forget_listed (row);
      if (listed->generation <= row->listed_generation)
        continue;
      row->listed_generation = listed->generation;
      if (!row->in_progress)
        row->due = sync->now;
      row->compare = should_compare (sync);
      any_newer = true;
    }
  if (event->index->generation > sync->index_generation)
    sync->index_generation = event->index->generation;
  if (any_newer)
    sync_add_read_jitter (sync);
}

static void
on_service_read (struct galena_sync *sync, const struct sync_read *read,
                 const struct galena_sync_event *event)
{
  struct sync_service *row = sync_service_row (sync, read->service);

  if (row == NULL)
    return;
  if (event->result == GALENA_ERR_INVALID)
    sync_refuse_record (sync, row);
  else if (event->result != GALENA_OK
           || event->record->service.number != read->service)
    sync_end_fetch (sync, row, BACKOFF_MIN_MS);
  else
    sync_handle_record (sync, event->record, SYNC_NO_LINK);
}

static void
on_leaving_read (struct galena_sync *sync, const struct sync_read *read,
                 const struct galena_sync_event *event)
{
  (void)read;
  if (event->result == GALENA_OK)
    sync_handle_leaving_list (sync, event->instances);
}

static void
on_instances_read (struct galena_sync *sync, const struct sync_read *read,
                   const struct galena_sync_event *event)
{
  const struct galena_instance_list *list = event->instances;
  uint32_t first;

  (void)read;
  if (event->result != GALENA_OK)
    {
      sync->polls[GALENA_SYNC_READ_INSTANCES].due
          = galena_clock_add_ms (sync->now, INSTANCES_RETRY_MS);
      return;
    }
  sync_handle_leaving_list (sync, list);
  first = galena_random_below (&sync->random, list->count);
  for (uint32_t i = 0; i < list->count; i++)
    {
      const struct galena_instance *instance
          = &list->rows[(first + i) % list->count];
      bool useful = instance->peer.role == GALENA_ROLE_ENTRY
                    || list->count <= SYNC_KNOWN_PEERS_MAX;

      if (!instance->leaving && useful)
        sync_add_peer (sync, instance->peer, false);
    }
}

/* Handlers of the end of a read, by its type.  */
static void (*const READ_HANDLERS[GALENA_SYNC_READ_COUNT]) (
    struct galena_sync *, const struct sync_read *,
    const struct galena_sync_event *)
    = {
        [GALENA_SYNC_READ_INDEX] = on_index_read,
        [GALENA_SYNC_READ_SERVICE] = on_service_read,
        [GALENA_SYNC_READ_LEAVING] = on_leaving_read,
        [GALENA_SYNC_READ_INSTANCES] = on_instances_read,
      };

static void
update_backoff (struct galena_sync *sync, enum galena_result result)
{
  uint32_t limit_ms;

  if (result == GALENA_OK || result == GALENA_ERR_INVALID
      || result == GALENA_ERR_NOT_FOUND)
    {
      sync->platform_failures = 0;
      return;
    }
  limit_ms = (uint32_t)BACKOFF_MIN_MS << sync->platform_failures;
  if (sync->platform_failures < BACKOFF_DOUBLINGS_MAX)
    sync->platform_failures++;
  sync->platform_due = galena_clock_add_ms (
      sync->now, sync_read_interval_ms (sync)
                     + galena_random_below (&sync->random, limit_ms));
}

void
sync_read_ended (struct galena_sync *sync,
                 const struct galena_sync_event *event)
{
  const struct sync_read *row
      = galena_table_get (sync->reads, event->read.row);
  struct sync_read read;

  if (row == NULL)
    return;
  read = *row;
  galena_table_remove (sync->reads, event->read.row);
  sync->polls[read.type].ended = true;
  sync->polls[read.type].succeeded |= event->result == GALENA_OK;
  update_backoff (sync, event->result);
  READ_HANDLERS[read.type](sync, &read, event);
}
