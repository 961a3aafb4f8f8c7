/* Reads of the platform.

   All reads of a process keep a distance that, over all processes, stays
   within the reads a second allowed; a watch is one read.  What many
   processes see at once makes each draw a random time within that distance
   first.  */

#include <string.h>

#include "sync_private.h"

enum
{
  /* Least distance of two reads of one process.  */
  DISTANCE_MIN_MS = 20,
  /* Extra wait after a failed read: a random part of a time that doubles
     with each failure in a row, up to the limit.  */
  FAILURE_MIN_MS = 200,
  FAILURE_DOUBLINGS_MAX = 4,
  /* Reads a second of the leaving instances by all processes.  */
  LEAVING_READS_PER_SECOND = 400,
  /* Period of reads of the leaving instances: at least, and at most for a
     process without links.  */
  LEAVING_MIN_MS = 1000,
  LEAVING_ALONE_MS = 2000,
  /* Period of reads of the whole list of instances.  */
  INSTANCES_MS = 600000,
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
sync_spread_ms (const struct galena_sync *sync)
{
  uint64_t spread_ms
      = (uint64_t)count_readers (sync) * 1000 / sync->options.reads_per_second;

  return spread_ms < DISTANCE_MIN_MS ? DISTANCE_MIN_MS : (uint32_t)spread_ms;
}

void
sync_spread_reads (struct galena_sync *sync)
{
  struct galena_clock drawn = galena_clock_after (
      sync->now, galena_random_below (&sync->random, sync_spread_ms (sync)));

  if (drawn.ms > sync->platform_due.ms)
    sync->platform_due = drawn;
}

bool
sync_start_read (struct galena_sync *sync, const struct galena_sync_read *what,
                 struct galena_handle *handle)
{
  struct galena_sync_action *action;
  struct sync_read *row;

  if (!galena_clock_reached (sync->now, sync->platform_due))
    return false;
  row = galena_table_insert (sync->reads, handle);
  if (row == NULL)
    return false;
  row->type = what->type;
  row->service = what->service;
  action = sync_act (sync, GALENA_SYNC_DO_READ);
  if (action == NULL)
    {
      galena_table_remove (sync->reads, *handle);
      return false;
    }
  action->read.row = *handle;
  action->what = *what;
  sync->platform_reads++;
  sync->platform_due = galena_clock_after (sync->now, sync_spread_ms (sync));
  return true;
}

/* Draws whether this process watches next.  */
static bool
draws_watch (struct galena_sync *sync)
{
  if (!sync->settled || sync_count_links (sync) == 0)
    return true;
  return galena_random_below (&sync->random, count_readers (sync))
         < SYNC_WATCHERS;
}

static uint32_t
leaving_period_ms (struct galena_sync *sync)
{
  uint32_t period_ms = count_readers (sync) * 1000 / LEAVING_READS_PER_SECOND;

  if (sync_count_links (sync) == 0 && period_ms > LEAVING_ALONE_MS)
    period_ms = LEAVING_ALONE_MS;
  return period_ms < LEAVING_MIN_MS ? LEAVING_MIN_MS : period_ms;
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
  struct galena_sync_read what
      = { .type = GALENA_SYNC_READ_INDEX,
          .after = sync->settled ? sync->index_generation : 0,
          .wait_ms = sync->settled ? sync->options.wait_ms : 0 };

  if (!galena_clock_reached (sync->now, sync->platform_due)
      || (!sync->settled && poll->succeeded))
    return;
  if (draws_watch (sync))
    {
      sync_start_read (sync, &what, &poll->read);
      return;
    }
  poll->due = galena_clock_after (
      sync->now,
      sync->options.wait_ms / 2
          + galena_random_below (&sync->random, sync->options.wait_ms + 1));
}

static void
poll_list (struct galena_sync *sync, struct sync_poll *poll,
           enum galena_sync_read_type type, uint32_t period_ms)
{
  struct galena_sync_read what = { .type = type };

  if (!sync->options.instances)
    return;
  if (sync_start_read (sync, &what, &poll->read))
    poll->due = galena_clock_after (sync->now, period_ms);
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
             INSTANCES_MS / 2
                 + galena_random_below (&sync->random, INSTANCES_MS));
}

struct poll_row
{
  enum galena_sync_read_type type;
  void (*start) (struct galena_sync *, struct sync_poll *);
};

/* Reads that are repeated, the most important first.  */
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
  /* One read in this many is for a poll that is due, even while records are
     behind.  */
  POLL_TURN = 4,
  /* Processes that compare a record that peers relayed, about.  */
  COMPARISONS = 16
};

/* System: starts the read that goes first: of a record that is behind, or
   now and then of what is polled.  */
void
sync_run_reads (struct galena_sync *sync)
{
  if (sync->platform_reads % POLL_TURN == 0)
    run_polls (sync);
  sync_run_fetches (sync);
  run_polls (sync);
}

/* Draws whether this process reads the platform's record even when a peer
   relays one of the same generation: replicas may hold two different ones. */
static bool
draws_comparison (struct galena_sync *sync)
{
  return galena_random_below (&sync->random, count_readers (sync))
         < COMPARISONS;
}

static void
index_ended (struct galena_sync *sync, const struct sync_read *read,
             const struct galena_sync_event *event)
{
  bool news = false;

  (void)read;
  if (event->result != GALENA_OK)
    return;
  for (uint32_t i = 0; i < event->index->count; i++)
    {
      const struct galena_index_row *listed = &event->index->rows[i];
      struct sync_service *row = sync_service_row (sync, listed->number);

      if (row == NULL)
        continue;
      memcpy (row->name, listed->name, sizeof row->name);
      if (listed->generation <= row->index_generation)
        continue;
      row->index_generation = listed->generation;
      if (!row->in_progress)
        row->due = sync->now;
      row->compare = draws_comparison (sync);
      news = true;
    }
  if (event->index->generation > sync->index_generation)
    sync->index_generation = event->index->generation;
  if (news)
    sync_spread_reads (sync);
}

static void
service_ended (struct galena_sync *sync, const struct sync_read *read,
               const struct galena_sync_event *event)
{
  struct sync_service *row = sync_service_row (sync, read->service);

  if (row == NULL)
    return;
  if (event->result == GALENA_ERR_INVALID)
    sync_refuse_record (sync, row);
  else if (event->result != GALENA_OK
           || event->record->service.number != read->service)
    sync_fetch_failed (sync, row, FAILURE_MIN_MS);
  else
    sync_take_record (sync, event->record, SYNC_NONE);
}

static void
leaving_ended (struct galena_sync *sync, const struct sync_read *read,
               const struct galena_sync_event *event)
{
  (void)read;
  if (event->result == GALENA_OK)
    sync_take_leaving_list (sync, event->instances);
}

static void
instances_ended (struct galena_sync *sync, const struct sync_read *read,
                 const struct galena_sync_event *event)
{
  const struct galena_instance_list *list = event->instances;
  uint32_t first;

  (void)read;
  if (event->result != GALENA_OK)
    {
      sync->polls[GALENA_SYNC_READ_INSTANCES].due
          = galena_clock_after (sync->now, INSTANCES_RETRY_MS);
      return;
    }
  sync_take_leaving_list (sync, list);
  first = galena_random_below (&sync->random, list->count);
  for (uint32_t i = 0; i < list->count; i++)
    {
      const struct galena_instance *instance
          = &list->rows[(first + i) % list->count];
      bool useful = instance->peer.role == GALENA_ROLE_ENTRY
                    || list->count <= SYNC_KNOWN_PEERS_MAX;

      if (!instance->leaving && useful)
        sync_know_peer (sync, instance->peer, false);
    }
}

static void (*const ENDED[GALENA_SYNC_READ_COUNT]) (
    struct galena_sync *, const struct sync_read *,
    const struct galena_sync_event *)
    = {
        [GALENA_SYNC_READ_INDEX] = index_ended,
        [GALENA_SYNC_READ_SERVICE] = service_ended,
        [GALENA_SYNC_READ_LEAVING] = leaving_ended,
        [GALENA_SYNC_READ_INSTANCES] = instances_ended,
      };

static void
note_outcome (struct galena_sync *sync, enum galena_result result)
{
  uint32_t limit_ms;

  if (result == GALENA_OK || result == GALENA_ERR_INVALID
      || result == GALENA_ERR_NOT_FOUND)
    {
      sync->platform_failures = 0;
      return;
    }
  limit_ms = (uint32_t)FAILURE_MIN_MS << sync->platform_failures;
  if (sync->platform_failures < FAILURE_DOUBLINGS_MAX)
    sync->platform_failures++;
  sync->platform_due = galena_clock_after (
      sync->now,
      sync_spread_ms (sync) + galena_random_below (&sync->random, limit_ms));
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
  note_outcome (sync, event->result);
  ENDED[read.type](sync, &read, event);
}
