/* The fake links and the fake platform of a simulated fleet.  */

#include <string.h>

#include <galenaford/relay.h>

#include "sync_fleet.h"

enum
{
  /* Size of the timing wheel, and upper limit of delays.  */
  WHEEL_MS = 4096,
  AUDIT_ROWS = 64,
  /* Headers of a TCP segment and of its acknowledgement.  */
  HEADER_BYTES = 80,
  /* Length prefix of a message.  */
  FRAME_BYTES = 4,
  /* Time after which a read fails while the platform is down.  */
  DOWN_MS = 50
};

struct conn_end
{
  uint32_t process;
  /* Nothing is delivered to a later incarnation of the process.  */
  uint32_t incarnation;
  struct galena_peer_handle handle;
};

/* A connection between two processes; the first end opened it.  */
struct conn
{
  struct conn_end ends[2];
  bool open;
};

enum arrival_type
{
  ARRIVAL_CONNECT,
  ARRIVAL_MESSAGE,
  ARRIVAL_CLOSE,
  ARRIVAL_READ
};

/* An event that reaches PROCESS after a delay.  */
struct arrival
{
  enum arrival_type type;
  uint32_t process;
  uint32_t incarnation;
  uint32_t from;
  uint32_t conn;
  uint32_t side;
  struct galena_sync_message message;
  struct galena_read_handle read;
  struct galena_sync_read query;
  struct galena_clock due;
  /* Size of a message in bytes.  */
  uint32_t size;
};

struct syncs *
syncs_create (const struct syncs_options *options, uint32_t count)
{
  struct syncs *syncs = g_new0 (struct syncs, 1);

  syncs->options = *options;
  syncs->now.ms = 1;
  syncs->random.seed = options->seed;
  syncs->processes = g_new0 (struct syncs_process, count);
  syncs->count = count;
  syncs->versions = g_array_new (FALSE, TRUE, sizeof (struct syncs_version));
  syncs->instances
      = g_array_new (FALSE, TRUE, sizeof (struct galena_instance));
  syncs->conns = g_array_new (FALSE, TRUE, sizeof (struct conn));
  syncs->watches = g_array_new (FALSE, TRUE, sizeof (struct arrival));
  syncs->reads = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  syncs->wheel = g_new0 (GArray *, WHEEL_MS);
  for (uint32_t i = 0; i < WHEEL_MS; i++)
    syncs->wheel[i] = g_array_new (FALSE, TRUE, sizeof (struct arrival));
  for (uint32_t i = 0; i < SYNCS_REPLICAS; i++)
    syncs->stale_at[i].ms = INT64_MAX;
  return syncs;
}

void
syncs_destroy (struct syncs *syncs)
{
  for (uint32_t i = 0; i < syncs->count; i++)
    syncs_kill (syncs, i);
  for (guint i = 0; i < syncs->versions->len; i++)
    g_free (g_array_index (syncs->versions, struct syncs_version, i)
                .record.upstreams);
  for (uint32_t i = 0; i < WHEEL_MS; i++)
    g_array_free (syncs->wheel[i], TRUE);
  for (uint32_t i = 0; i < SYNCS_REPLICAS; i++)
    g_free (syncs->indices[i].record.rows);
  g_free (syncs->wheel);
  g_array_free (syncs->versions, TRUE);
  g_array_free (syncs->instances, TRUE);
  g_array_free (syncs->conns, TRUE);
  g_array_free (syncs->watches, TRUE);
  g_array_free (syncs->reads, TRUE);
  g_free (syncs->processes);
  g_free (syncs);
}

static void
schedule (struct syncs *syncs, const struct arrival *arrival, int64_t delay_ms)
{
  int64_t within = CLAMP (delay_ms, 1, WHEEL_MS - 1);

  g_array_append_val (syncs->wheel[(syncs->now.ms + within) % WHEEL_MS],
                      *arrival);
}

void
syncs_start (struct syncs *syncs, uint32_t index,
             const struct galena_sync_options *options)
{
  struct galena_audit_options audit = { AUDIT_ROWS };
  struct syncs_process *process = &syncs->processes[index];

  syncs->used = MAX (syncs->used, index + 1);
  process->lives++;
  process->options = *options;
  process->options.seed = galena_random_next (&syncs->random);
  process->due = galena_clock_after (
      syncs->now, galena_random_below (&syncs->random, 100));
  process->links
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  g_assert_cmpint (galena_audit_create (&audit, &process->audit), ==,
                   GALENA_OK);
  process->options.audit = process->audit;
  g_assert_cmpint (galena_sync_create (&process->options, &process->sync), ==,
                   GALENA_OK);
}

static struct conn *
conn_at (const struct syncs *syncs, uint32_t index)
{
  return &g_array_index (syncs->conns, struct conn, index);
}

/* Closes a connection and notifies the end opposite to SIDE.  */
static void
close_conn (struct syncs *syncs, uint32_t index, uint32_t side)
{
  struct conn *conn = conn_at (syncs, index);
  struct arrival arrival = { .type = ARRIVAL_CLOSE,
                             .process = conn->ends[1 - side].process,
                             .incarnation = conn->ends[1 - side].incarnation,
                             .from = conn->ends[side].process,
                             .conn = index,
                             .side = 1 - side };

  if (!conn->open)
    return;
  conn->open = false;
  schedule (syncs, &arrival, syncs->options.link_ms);
}

void
syncs_kill (struct syncs *syncs, uint32_t index)
{
  struct syncs_process *process = &syncs->processes[index];

  if (process->sync == NULL)
    return;
  for (guint i = 0; i < syncs->conns->len; i++)
    for (uint32_t side = 0; side < 2; side++)
      if (conn_at (syncs, i)->ends[side].process == index)
        close_conn (syncs, i, side);
  galena_sync_destroy (process->sync);
  galena_audit_destroy (process->audit);
  g_hash_table_destroy (process->links);
  process->sync = NULL;
  process->audit = NULL;
  process->links = NULL;
}

struct syncs_version *
syncs_publish (struct syncs *syncs, const struct galena_service_record *record,
               uint32_t size)
{
  struct syncs_version version = { .record = *record,
                                   .at = syncs->now,
                                   .size = size,
                                   .replicas = (1U << SYNCS_REPLICAS) - 1 };

  version.record.upstreams
      = g_memdup2 (record->upstreams,
                   record->service.upstream_count * sizeof *record->upstreams);
  g_array_append_val (syncs->versions, version);
  return &g_array_index (syncs->versions, struct syncs_version,
                         syncs->versions->len - 1);
}

static void
link_process (struct syncs *syncs, uint32_t index, uint32_t side)
{
  struct conn_end *end = &conn_at (syncs, index)->ends[side];
  struct syncs_process *process = &syncs->processes[end->process];
  gint64 *key = g_new (gint64, 1);

  *key = (gint64)galena_handle_pack (end->handle.row);
  end->incarnation = process->lives;
  g_hash_table_insert (process->links, key,
                       GUINT_TO_POINTER (index * 2 + side + 1));
}

/* Finds the connection and side of a link; false when it has none.  */
static bool
find_conn (const struct syncs_process *process,
           struct galena_peer_handle handle, uint32_t *conn, uint32_t *side)
{
  gint64 key = (gint64)galena_handle_pack (handle.row);
  guint value = GPOINTER_TO_UINT (g_hash_table_lookup (process->links, &key));

  if (value == 0)
    return false;
  *conn = (value - 1) / 2;
  *side = (value - 1) % 2;
  return true;
}

static void
do_connect (struct syncs *syncs, uint32_t index,
            const struct galena_sync_action *action)
{
  struct conn conn
      = { .ends = { { .process = index, .handle = action->peer } },
          .open = true };
  struct arrival arrival
      = { .type = ARRIVAL_CONNECT, .from = index, .conn = syncs->conns->len };
  uint32_t to = 0;

  while (to < syncs->used
         && (syncs->processes[to].sync == NULL
             || !galena_endpoint_equal (
                 syncs->processes[to].options.self.address, action->address)))
    to++;
  if (to < syncs->used)
    {
      conn.ends[1].process = to;
      conn.ends[1].incarnation = syncs->processes[to].lives;
    }
  g_array_append_val (syncs->conns, conn);
  link_process (syncs, arrival.conn, 0);
  if (to == syncs->used)
    {
      conn_at (syncs, arrival.conn)->ends[1] = conn.ends[0];
      close_conn (syncs, arrival.conn, 1);
      return;
    }
  arrival.process = to;
  arrival.incarnation = syncs->processes[to].lives;
  schedule (syncs, &arrival, syncs->options.link_ms);
}

static const struct syncs_version *
find_version (const struct syncs *syncs,
              const struct galena_sync_message *message)
{
  for (guint i = 0; i < syncs->versions->len; i++)
    {
      const struct syncs_version *version
          = &g_array_index (syncs->versions, struct syncs_version, i);
      const struct galena_service *service = &version->record.service;

      if (service->number == message->number
          && service->generation == message->generation
          && service->digest == message->digest)
        return version;
    }
  return NULL;
}

static void
do_send (struct syncs *syncs, uint32_t index,
         const struct galena_sync_action *action)
{
  struct syncs_process *process = &syncs->processes[index];
  struct arrival arrival
      = { .type = ARRIVAL_MESSAGE, .from = index, .message = action->message };
  uint8_t bytes[GALENA_RELAY_HEAD_BYTES_MAX];
  const struct conn_end *end;
  uint32_t side;
  size_t size;

  if (!find_conn (process, action->peer, &arrival.conn, &side))
    return;
  g_assert_cmpint (galena_relay_encode (&action->message, NULL, 0, bytes,
                                        sizeof bytes, &size),
                   ==, GALENA_OK);
  if (action->message.type == GALENA_SYNC_RECORD)
    {
      const struct syncs_version *version
          = find_version (syncs, &action->message);

      g_assert_nonnull (version);
      arrival.message.record = &version->record;
      size += version->size;
    }
  arrival.size = (uint32_t)size + FRAME_BYTES + HEADER_BYTES;
  process->bytes += arrival.size;
  arrival.side = 1 - side;
  end = &conn_at (syncs, arrival.conn)->ends[arrival.side];
  arrival.process = end->process;
  arrival.incarnation = end->incarnation;
  schedule (syncs, &arrival, syncs->options.link_ms);
}

static void
do_close (struct syncs *syncs, uint32_t index,
          const struct galena_sync_action *action)
{
  uint32_t conn;
  uint32_t side;

  if (find_conn (&syncs->processes[index], action->peer, &conn, &side))
    close_conn (syncs, conn, side);
}

static void
do_read (struct syncs *syncs, uint32_t index,
         const struct galena_sync_action *action)
{
  const struct syncs_process *process = &syncs->processes[index];
  struct arrival arrival
      = { .type = ARRIVAL_READ,
          .process = index,
          .incarnation = process->lives,
          .from = index,
          .read = action->read,
          .query = action->what,
          .due = galena_clock_after (syncs->now, action->what.wait_ms) };
  bool down = syncs->platform_down || process->cut_from_platform;

  while (syncs->reads->len <= syncs->now.ms)
    g_array_set_size (syncs->reads, (guint)syncs->now.ms + 1);
  if (!syncs->platform_down)
    g_array_index (syncs->reads, uint32_t, syncs->now.ms)++;
  if (!down && action->what.type == GALENA_SYNC_READ_INDEX)
    g_array_append_val (syncs->watches, arrival);
  else
    schedule (syncs, &arrival, down ? DOWN_MS : syncs->options.read_ms);
}

static void (*const ACTIONS[GALENA_SYNC_ACTION_COUNT]) (
    struct syncs *, uint32_t, const struct galena_sync_action *)
    = {
        [GALENA_SYNC_DO_READ] = do_read,
        [GALENA_SYNC_DO_CONNECT] = do_connect,
        [GALENA_SYNC_DO_CLOSE] = do_close,
        [GALENA_SYNC_DO_SEND] = do_send,
      };

static void
run_actions (struct syncs *syncs, uint32_t index)
{
  struct syncs_process *process = &syncs->processes[index];
  struct galena_sync_action action;

  while (galena_sync_next (process->sync, &action))
    ACTIONS[action.type](syncs, index, &action);
  process->changed |= galena_sync_changed (process->sync);
}

static bool
is_visible (const struct syncs *syncs, uint32_t replica,
            const struct syncs_version *version)
{
  return (version->replicas & (1U << replica)) != 0
         && version->at.ms <= syncs->stale_at[replica].ms;
}

/* Returns the last version of service NUMBER visible on REPLICA.  */
static const struct syncs_version *
newest_version (const struct syncs *syncs, uint32_t replica, uint32_t number)
{
  for (guint i = syncs->versions->len; i > 0; i--)
    {
      const struct syncs_version *version
          = &g_array_index (syncs->versions, struct syncs_version, i - 1);

      if (version->record.service.number == number
          && is_visible (syncs, replica, version))
        return version;
    }
  return NULL;
}

static void
make_index (const struct syncs *syncs, uint32_t replica,
            struct galena_index_record *index)
{
  index->rows = g_renew (struct galena_index_row, index->rows,
                         syncs->versions->len + 1);
  index->count = 0;
  index->generation = 0;
  for (guint i = 0; i < syncs->versions->len; i++)
    {
      const struct syncs_version *version
          = &g_array_index (syncs->versions, struct syncs_version, i);
      const struct galena_service *service = &version->record.service;
      struct galena_index_row *row = &index->rows[index->count];

      if (newest_version (syncs, replica, service->number) != version)
        continue;
      memcpy (row->name, service->name, sizeof row->name);
      row->number = service->number;
      row->generation = service->generation;
      index->generation += service->generation;
      index->count++;
    }
}

/* Returns the index of REPLICA.  */
static const struct galena_index_record *
visible_index (struct syncs *syncs, uint32_t replica)
{
  struct syncs_index *index = &syncs->indices[replica];

  if (index->record.rows == NULL || index->versions != syncs->versions->len
      || index->stale_at.ms != syncs->stale_at[replica].ms)
    make_index (syncs, replica, &index->record);
  index->versions = syncs->versions->len;
  index->stale_at = syncs->stale_at[replica];
  return &index->record;
}

static enum galena_result
read_service (const struct syncs *syncs, const struct syncs_process *process,
              const struct arrival *arrival, struct galena_sync_event *event)
{
  const struct syncs_version *version
      = newest_version (syncs, process->replica, arrival->query.service);

  if (version == NULL)
    return GALENA_ERR_NOT_FOUND;
  if (version->invalid)
    return GALENA_ERR_INVALID;
  event->record = &version->record;
  return GALENA_OK;
}

static void
deliver_read (struct syncs *syncs, struct syncs_process *process,
              const struct arrival *arrival)
{
  struct galena_sync_event event
      = { .type = GALENA_SYNC_READ_ENDED, .read = arrival->read };
  struct galena_instance_list list
      = { .generation = syncs->list_generation,
          .total = syncs->instances->len,
          .count = syncs->instances->len,
          .rows = (struct galena_instance *)(void *)syncs->instances->data };

  event.index = visible_index (syncs, process->replica);
  event.instances = &list;
  if (syncs->platform_down || process->cut_from_platform)
    event.result = GALENA_ERR_IO;
  else if (arrival->query.type == GALENA_SYNC_READ_SERVICE)
    event.result = read_service (syncs, process, arrival, &event);
  galena_sync_take (process->sync, &event, syncs->now);
}

static void
deliver_connect (struct syncs *syncs, struct syncs_process *process,
                 const struct arrival *arrival)
{
  struct conn *conn = conn_at (syncs, arrival->conn);
  struct galena_peer_handle handle;

  if (!conn->open)
    return;
  if (galena_sync_accept (process->sync, syncs->now, &handle) != GALENA_OK)
    {
      close_conn (syncs, arrival->conn, 1);
      return;
    }
  conn->ends[1].handle = handle;
  link_process (syncs, arrival->conn, 1);
}

static void
deliver_message (struct syncs *syncs, struct syncs_process *process,
                 const struct arrival *arrival)
{
  struct galena_sync_event event
      = { .type = GALENA_SYNC_RECEIVED,
          .peer = conn_at (syncs, arrival->conn)->ends[arrival->side].handle,
          .message = &arrival->message };

  galena_sync_take (process->sync, &event, syncs->now);
}

static void
deliver_close (struct syncs *syncs, struct syncs_process *process,
               const struct arrival *arrival)
{
  struct galena_sync_event event
      = { .type = GALENA_SYNC_LINK_ENDED,
          .peer = conn_at (syncs, arrival->conn)->ends[arrival->side].handle };

  galena_sync_take (process->sync, &event, syncs->now);
}

static void (*const ARRIVALS[]) (struct syncs *, struct syncs_process *,
                                 const struct arrival *)
    = {
        [ARRIVAL_CONNECT] = deliver_connect,
        [ARRIVAL_MESSAGE] = deliver_message,
        [ARRIVAL_CLOSE] = deliver_close,
        [ARRIVAL_READ] = deliver_read,
      };

static void
deliver (struct syncs *syncs, const struct arrival *arrival)
{
  struct syncs_process *process = &syncs->processes[arrival->process];

  if (process->sync == NULL || process->lives != arrival->incarnation
      || process->group != syncs->processes[arrival->from].group)
    return;
  if (!galena_clock_reached (syncs->now, process->frozen_until))
    {
      schedule (syncs, arrival,
                galena_clock_between (syncs->now, process->frozen_until));
      return;
    }
  process->received += arrival->size;
  ARRIVALS[arrival->type](syncs, process, arrival);
  run_actions (syncs, arrival->process);
}

/* System: ends watches whose index has changed or that timed out.  */
static void
run_watches (struct syncs *syncs)
{
  for (guint i = 0; i < syncs->watches->len;)
    {
      struct arrival watch = g_array_index (syncs->watches, struct arrival, i);
      const struct syncs_process *process = &syncs->processes[watch.process];

      if (visible_index (syncs, process->replica)->generation
              <= watch.query.after
          && !galena_clock_reached (syncs->now, watch.due)
          && !syncs->platform_down)
        {
          i++;
          continue;
        }
      g_array_remove_index_fast (syncs->watches, i);
      schedule (syncs, &watch, syncs->options.read_ms);
    }
}

/* System: delivers the events that are due now.  */
static void
run_arrivals (struct syncs *syncs)
{
  GArray *arrivals = syncs->wheel[syncs->now.ms % WHEEL_MS];

  for (guint i = 0; i < arrivals->len; i++)
    {
      struct arrival arrival = g_array_index (arrivals, struct arrival, i);

      deliver (syncs, &arrival);
    }
  g_array_set_size (arrivals, 0);
}

/* System: runs the ticks that are due.  */
static void
run_ticks (struct syncs *syncs)
{
  for (uint32_t i = 0; i < syncs->used; i++)
    {
      struct syncs_process *process = &syncs->processes[i];

      if (process->sync == NULL
          || !galena_clock_reached (syncs->now, process->frozen_until)
          || !galena_clock_reached (syncs->now, process->due))
        continue;
      galena_sync_tick (process->sync, syncs->now);
      process->due = galena_sync_due (process->sync);
      run_actions (syncs, i);
    }
}

static void (*const SYSTEMS[]) (struct syncs *)
    = { run_watches, run_arrivals, run_ticks };

void
syncs_run (struct syncs *syncs, int64_t until_ms)
{
  while (syncs->now.ms < until_ms)
    {
      for (size_t i = 0; i < G_N_ELEMENTS (SYSTEMS); i++)
        SYSTEMS[i](syncs);
      syncs->now.ms++;
    }
}

uint32_t
syncs_count_behind (const struct syncs *syncs, uint32_t number,
                    uint64_t generation, uint64_t digest)
{
  uint32_t behind = 0;

  for (uint32_t i = 0; i < syncs->used; i++)
    {
      const struct syncs_process *process = &syncs->processes[i];
      const struct galena_service_record *current;

      if (process->sync == NULL
          || (process->options.service != 0
              && process->options.service != number))
        continue;
      current
          = galena_records_find (galena_sync_records (process->sync), number);
      behind += current == NULL || current->service.generation != generation
                || current->service.digest != digest
                || !galena_sync_settled (process->sync);
    }
  return behind;
}

uint32_t
syncs_most_reads (const struct syncs *syncs, int64_t from_ms)
{
  uint32_t most = 0;
  uint32_t sum = 0;

  for (int64_t ms = from_ms; ms < (int64_t)syncs->reads->len; ms++)
    {
      sum += g_array_index (syncs->reads, uint32_t, ms);
      if (ms - 1000 >= from_ms)
        sum -= g_array_index (syncs->reads, uint32_t, ms - 1000);
      most = MAX (most, sum);
    }
  return most;
}
