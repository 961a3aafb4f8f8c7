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

struct sync_fleet *
sync_fleet_create (const struct sync_fleet_options *options, uint32_t count)
{
  struct sync_fleet *sync_fleet = g_new0 (struct sync_fleet, 1);

  sync_fleet->options = *options;
  sync_fleet->now.ms = 1;
  sync_fleet->random.seed = options->seed;
  sync_fleet->processes = g_new0 (struct sync_fleet_process, count);
  sync_fleet->count = count;
  sync_fleet->versions
      = g_array_new (FALSE, TRUE, sizeof (struct sync_fleet_version));
  sync_fleet->instances
      = g_array_new (FALSE, TRUE, sizeof (struct galena_instance));
  sync_fleet->conns = g_array_new (FALSE, TRUE, sizeof (struct conn));
  sync_fleet->watches = g_array_new (FALSE, TRUE, sizeof (struct arrival));
  sync_fleet->reads = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  sync_fleet->wheel = g_new0 (GArray *, WHEEL_MS);
  for (uint32_t i = 0; i < WHEEL_MS; i++)
    sync_fleet->wheel[i] = g_array_new (FALSE, TRUE, sizeof (struct arrival));
  for (uint32_t i = 0; i < SYNC_FLEET_REPLICAS; i++)
    sync_fleet->visible_until[i].ms = INT64_MAX;
  return sync_fleet;
}

void
sync_fleet_destroy (struct sync_fleet *sync_fleet)
{
  for (uint32_t i = 0; i < sync_fleet->count; i++)
    sync_fleet_kill (sync_fleet, i);
  for (guint i = 0; i < sync_fleet->versions->len; i++)
    g_free (g_array_index (sync_fleet->versions, struct sync_fleet_version, i)
                .record.upstreams);
  for (uint32_t i = 0; i < WHEEL_MS; i++)
    g_array_free (sync_fleet->wheel[i], TRUE);
  for (uint32_t i = 0; i < SYNC_FLEET_REPLICAS; i++)
    g_free (sync_fleet->indices[i].record.rows);
  g_free (sync_fleet->wheel);
  g_array_free (sync_fleet->versions, TRUE);
  g_array_free (sync_fleet->instances, TRUE);
  g_array_free (sync_fleet->conns, TRUE);
  g_array_free (sync_fleet->watches, TRUE);
  g_array_free (sync_fleet->reads, TRUE);
  g_free (sync_fleet->processes);
  g_free (sync_fleet);
}

static void
schedule (struct sync_fleet *sync_fleet, const struct arrival *arrival,
          int64_t delay_ms)
{
  int64_t within = CLAMP (delay_ms, 1, WHEEL_MS - 1);

  g_array_append_val (
      sync_fleet->wheel[(sync_fleet->now.ms + within) % WHEEL_MS], *arrival);
}

void
sync_fleet_start (struct sync_fleet *sync_fleet, uint32_t index,
                  const struct galena_sync_options *options)
{
  struct galena_audit_options audit = { AUDIT_ROWS };
  struct sync_fleet_process *process = &sync_fleet->processes[index];

  sync_fleet->used = MAX (sync_fleet->used, index + 1);
  process->incarnation++;
  process->options = *options;
  process->options.seed = galena_random_next (&sync_fleet->random);
  process->due = galena_clock_add_ms (
      sync_fleet->now, galena_random_below (&sync_fleet->random, 100));
  process->links
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  g_assert_cmpint (galena_audit_create (&audit, &process->audit), ==,
                   GALENA_OK);
  process->options.audit = process->audit;
  g_assert_cmpint (galena_sync_create (&process->options, &process->sync), ==,
                   GALENA_OK);
}

static struct conn *
conn_at (const struct sync_fleet *sync_fleet, uint32_t index)
{
  return &g_array_index (sync_fleet->conns, struct conn, index);
}

/* Closes a connection and notifies the end opposite to SIDE.  */
static void
close_conn (struct sync_fleet *sync_fleet, uint32_t index, uint32_t side)
{
  struct conn *conn = conn_at (sync_fleet, index);
  struct arrival arrival = { .type = ARRIVAL_CLOSE,
                             .process = conn->ends[1 - side].process,
                             .incarnation = conn->ends[1 - side].incarnation,
                             .from = conn->ends[side].process,
                             .conn = index,
                             .side = 1 - side };

  if (!conn->open)
    return;
  conn->open = false;
  schedule (sync_fleet, &arrival, sync_fleet->options.link_ms);
}

void
sync_fleet_kill (struct sync_fleet *sync_fleet, uint32_t index)
{
  struct sync_fleet_process *process = &sync_fleet->processes[index];

  if (process->sync == NULL)
    return;
  for (guint i = 0; i < sync_fleet->conns->len; i++)
    for (uint32_t side = 0; side < 2; side++)
      if (conn_at (sync_fleet, i)->ends[side].process == index)
        close_conn (sync_fleet, i, side);
  galena_sync_destroy (process->sync);
  galena_audit_destroy (process->audit);
  g_hash_table_destroy (process->links);
  process->sync = NULL;
  process->audit = NULL;
  process->links = NULL;
}

struct sync_fleet_version *
sync_fleet_publish (struct sync_fleet *sync_fleet,
                    const struct galena_service_record *record, uint32_t size)
{
  struct sync_fleet_version version
      = { .record = *record,
          .published_at = sync_fleet->now,
          .size = size,
          .replicas = (1U << SYNC_FLEET_REPLICAS) - 1 };

  version.record.upstreams
      = g_memdup2 (record->upstreams,
                   record->service.upstream_count * sizeof *record->upstreams);
  g_array_append_val (sync_fleet->versions, version);
  return &g_array_index (sync_fleet->versions, struct sync_fleet_version,
                         sync_fleet->versions->len - 1);
}

static void
link_process (struct sync_fleet *sync_fleet, uint32_t index, uint32_t side)
{
  struct conn_end *end = &conn_at (sync_fleet, index)->ends[side];
  struct sync_fleet_process *process = &sync_fleet->processes[end->process];
  gint64 *key = g_new (gint64, 1);

  *key = (gint64)galena_handle_pack (end->handle.row);
  end->incarnation = process->incarnation;
  g_hash_table_insert (process->links, key,
                       GUINT_TO_POINTER (index * 2 + side + 1));
}

/* Finds the connection and side of a link; false when it has none.  */
static bool
find_conn (const struct sync_fleet_process *process,
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
do_connect (struct sync_fleet *sync_fleet, uint32_t index,
            const struct galena_sync_action *action)
{
  struct conn conn
      = { .ends = { { .process = index, .handle = action->peer } },
          .open = true };
  struct arrival arrival = { .type = ARRIVAL_CONNECT,
                             .from = index,
                             .conn = sync_fleet->conns->len };
  uint32_t to = 0;

  while (to < sync_fleet->used
         && (sync_fleet->processes[to].sync == NULL
             || !galena_endpoint_equal (
                 sync_fleet->processes[to].options.self.address,
                 action->address)))
    to++;
  if (to < sync_fleet->used)
    {
      conn.ends[1].process = to;
      conn.ends[1].incarnation = sync_fleet->processes[to].incarnation;
    }
  g_array_append_val (sync_fleet->conns, conn);
  link_process (sync_fleet, arrival.conn, 0);
  if (to == sync_fleet->used)
    {
      conn_at (sync_fleet, arrival.conn)->ends[1] = conn.ends[0];
      close_conn (sync_fleet, arrival.conn, 1);
      return;
    }
  arrival.process = to;
  arrival.incarnation = sync_fleet->processes[to].incarnation;
  schedule (sync_fleet, &arrival, sync_fleet->options.link_ms);
}

static const struct sync_fleet_version *
find_version (const struct sync_fleet *sync_fleet,
              const struct galena_sync_message *message)
{
  for (guint i = 0; i < sync_fleet->versions->len; i++)
    {
      const struct sync_fleet_version *version = &g_array_index (
          sync_fleet->versions, struct sync_fleet_version, i);
      const struct galena_service *service = &version->record.service;

      if (service->number == message->number
          && service->generation == message->generation
          && service->digest == message->digest)
        return version;
    }
  return NULL;
}

static void
do_send (struct sync_fleet *sync_fleet, uint32_t index,
         const struct galena_sync_action *action)
{
  struct sync_fleet_process *process = &sync_fleet->processes[index];
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
      const struct sync_fleet_version *version
          = find_version (sync_fleet, &action->message);

      g_assert_nonnull (version);
      arrival.message.record = &version->record;
      size += version->size;
    }
  arrival.size = (uint32_t)size + FRAME_BYTES + HEADER_BYTES;
  process->bytes_sent += arrival.size;
  arrival.side = 1 - side;
  end = &conn_at (sync_fleet, arrival.conn)->ends[arrival.side];
  arrival.process = end->process;
  arrival.incarnation = end->incarnation;
  schedule (sync_fleet, &arrival, sync_fleet->options.link_ms);
}

static void
do_close (struct sync_fleet *sync_fleet, uint32_t index,
          const struct galena_sync_action *action)
{
  uint32_t conn;
  uint32_t side;

  if (find_conn (&sync_fleet->processes[index], action->peer, &conn, &side))
    close_conn (sync_fleet, conn, side);
}

static void
do_read (struct sync_fleet *sync_fleet, uint32_t index,
         const struct galena_sync_action *action)
{
  const struct sync_fleet_process *process = &sync_fleet->processes[index];
  struct arrival arrival = { .type = ARRIVAL_READ,
                             .process = index,
                             .incarnation = process->incarnation,
                             .from = index,
                             .read = action->read,
                             .query = action->query,
                             .due = galena_clock_add_ms (
                                 sync_fleet->now, action->query.wait_ms) };
  bool down = sync_fleet->platform_down || process->cut_from_platform;

  while (sync_fleet->reads->len <= sync_fleet->now.ms)
    g_array_set_size (sync_fleet->reads, (guint)sync_fleet->now.ms + 1);
  if (!sync_fleet->platform_down)
    g_array_index (sync_fleet->reads, uint32_t, sync_fleet->now.ms)++;
  if (!down && action->query.type == GALENA_SYNC_READ_INDEX)
    g_array_append_val (sync_fleet->watches, arrival);
  else
    schedule (sync_fleet, &arrival,
              down ? DOWN_MS : sync_fleet->options.read_ms);
}

static void (*const ACTIONS[GALENA_SYNC_ACTION_COUNT]) (
    struct sync_fleet *, uint32_t, const struct galena_sync_action *)
    = {
        [GALENA_SYNC_DO_READ] = do_read,
        [GALENA_SYNC_DO_CONNECT] = do_connect,
        [GALENA_SYNC_DO_CLOSE] = do_close,
        [GALENA_SYNC_DO_SEND] = do_send,
      };

static void
run_actions (struct sync_fleet *sync_fleet, uint32_t index)
{
  struct sync_fleet_process *process = &sync_fleet->processes[index];
  struct galena_sync_action action;

  while (galena_sync_next_action (process->sync, &action))
    ACTIONS[action.type](sync_fleet, index, &action);
  process->changed |= galena_sync_changed (process->sync);
}

static bool
is_visible (const struct sync_fleet *sync_fleet, uint32_t replica,
            const struct sync_fleet_version *version)
{
  return (version->replicas & (1U << replica)) != 0
         && version->published_at.ms <= sync_fleet->visible_until[replica].ms;
}

/* Returns the last version of service NUMBER visible on REPLICA.  */
static const struct sync_fleet_version *
newest_version (const struct sync_fleet *sync_fleet, uint32_t replica,
                uint32_t number)
{
  for (guint i = sync_fleet->versions->len; i > 0; i--)
    {
      const struct sync_fleet_version *version = &g_array_index (
          sync_fleet->versions, struct sync_fleet_version, i - 1);

      if (version->record.service.number == number
          && is_visible (sync_fleet, replica, version))
        return version;
    }
  return NULL;
}

static void
make_index (const struct sync_fleet *sync_fleet, uint32_t replica,
            struct galena_index_record *index)
{
  index->rows = g_renew (struct galena_index_row, index->rows,
                         sync_fleet->versions->len + 1);
  index->count = 0;
  index->generation = 0;
  for (guint i = 0; i < sync_fleet->versions->len; i++)
    {
      const struct sync_fleet_version *version = &g_array_index (
          sync_fleet->versions, struct sync_fleet_version, i);
      const struct galena_service *service = &version->record.service;
      struct galena_index_row *row = &index->rows[index->count];

      if (newest_version (sync_fleet, replica, service->number) != version)
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
visible_index (struct sync_fleet *sync_fleet, uint32_t replica)
{
  struct sync_fleet_index *index = &sync_fleet->indices[replica];

  if (index->record.rows == NULL
      || index->versions != sync_fleet->versions->len
      || index->visible_until.ms != sync_fleet->visible_until[replica].ms)
    make_index (sync_fleet, replica, &index->record);
  index->versions = sync_fleet->versions->len;
  index->visible_until = sync_fleet->visible_until[replica];
  return &index->record;
}

static enum galena_result
read_service (const struct sync_fleet *sync_fleet,
              const struct sync_fleet_process *process,
              const struct arrival *arrival, struct galena_sync_event *event)
{
  const struct sync_fleet_version *version
      = newest_version (sync_fleet, process->replica, arrival->query.service);

  if (version == NULL)
    return GALENA_ERR_NOT_FOUND;
  if (version->invalid)
    return GALENA_ERR_INVALID;
  event->record = &version->record;
  return GALENA_OK;
}

static void
deliver_read (struct sync_fleet *sync_fleet,
              struct sync_fleet_process *process,
              const struct arrival *arrival)
{
  struct galena_sync_event event
      = { .type = GALENA_SYNC_READ_ENDED, .read = arrival->read };
  struct galena_instance_list list
      = { .generation = sync_fleet->list_generation,
          .total = sync_fleet->instances->len,
          .count = sync_fleet->instances->len,
          .rows
          = (struct galena_instance *)(void *)sync_fleet->instances->data };

  event.index = visible_index (sync_fleet, process->replica);
  event.instances = &list;
  if (sync_fleet->platform_down || process->cut_from_platform)
    event.result = GALENA_ERR_IO;
  else if (arrival->query.type == GALENA_SYNC_READ_SERVICE)
    event.result = read_service (sync_fleet, process, arrival, &event);
  galena_sync_handle_event (process->sync, &event, sync_fleet->now);
}

static void
deliver_connect (struct sync_fleet *sync_fleet,
                 struct sync_fleet_process *process,
                 const struct arrival *arrival)
{
  struct conn *conn = conn_at (sync_fleet, arrival->conn);
  struct galena_peer_handle handle;

  if (!conn->open)
    return;
  if (galena_sync_accept (process->sync, sync_fleet->now, &handle)
      != GALENA_OK)
    {
      close_conn (sync_fleet, arrival->conn, 1);
      return;
    }
  conn->ends[1].handle = handle;
  link_process (sync_fleet, arrival->conn, 1);
}

static void
deliver_message (struct sync_fleet *sync_fleet,
                 struct sync_fleet_process *process,
                 const struct arrival *arrival)
{
  struct galena_sync_event event
      = { .type = GALENA_SYNC_RECEIVED,
          .peer
          = conn_at (sync_fleet, arrival->conn)->ends[arrival->side].handle,
          .message = &arrival->message };

  galena_sync_handle_event (process->sync, &event, sync_fleet->now);
}

static void
deliver_close (struct sync_fleet *sync_fleet,
               struct sync_fleet_process *process,
               const struct arrival *arrival)
{
  struct galena_sync_event event
      = { .type = GALENA_SYNC_LINK_ENDED,
          .peer
          = conn_at (sync_fleet, arrival->conn)->ends[arrival->side].handle };

  galena_sync_handle_event (process->sync, &event, sync_fleet->now);
}

static void (*const ARRIVALS[]) (struct sync_fleet *,
                                 struct sync_fleet_process *,
                                 const struct arrival *)
    = {
        [ARRIVAL_CONNECT] = deliver_connect,
        [ARRIVAL_MESSAGE] = deliver_message,
        [ARRIVAL_CLOSE] = deliver_close,
        [ARRIVAL_READ] = deliver_read,
      };

static void
deliver (struct sync_fleet *sync_fleet, const struct arrival *arrival)
{
  struct sync_fleet_process *process
      = &sync_fleet->processes[arrival->process];

  if (process->sync == NULL || process->incarnation != arrival->incarnation
      || process->group != sync_fleet->processes[arrival->from].group)
    return;
  if (!galena_clock_reached (sync_fleet->now, process->frozen_until))
    {
      schedule (
          sync_fleet, arrival,
          galena_clock_elapsed_ms (sync_fleet->now, process->frozen_until));
      return;
    }
  process->bytes_received += arrival->size;
  ARRIVALS[arrival->type](sync_fleet, process, arrival);
  run_actions (sync_fleet, arrival->process);
}

/* System: ends watches whose index has changed or that timed out.  */
static void
run_watches (struct sync_fleet *sync_fleet)
{
  for (guint i = 0; i < sync_fleet->watches->len;)
    {
      struct arrival watch
          = g_array_index (sync_fleet->watches, struct arrival, i);
      const struct sync_fleet_process *process
          = &sync_fleet->processes[watch.process];

      if (visible_index (sync_fleet, process->replica)->generation
              <= watch.query.after
          && !galena_clock_reached (sync_fleet->now, watch.due)
          && !sync_fleet->platform_down)
        {
          i++;
          continue;
        }
      g_array_remove_index_fast (sync_fleet->watches, i);
      schedule (sync_fleet, &watch, sync_fleet->options.read_ms);
    }
}

/* System: delivers the events that are due now.  */
static void
run_arrivals (struct sync_fleet *sync_fleet)
{
  GArray *arrivals = sync_fleet->wheel[sync_fleet->now.ms % WHEEL_MS];

  for (guint i = 0; i < arrivals->len; i++)
    {
      struct arrival arrival = g_array_index (arrivals, struct arrival, i);

      deliver (sync_fleet, &arrival);
    }
  g_array_set_size (arrivals, 0);
}

/* System: runs the ticks that are due.  */
static void
run_ticks (struct sync_fleet *sync_fleet)
{
  for (uint32_t i = 0; i < sync_fleet->used; i++)
    {
      struct sync_fleet_process *process = &sync_fleet->processes[i];

      if (process->sync == NULL
          || !galena_clock_reached (sync_fleet->now, process->frozen_until)
          || !galena_clock_reached (sync_fleet->now, process->due))
        continue;
      galena_sync_tick (process->sync, sync_fleet->now);
      process->due = galena_sync_due (process->sync);
      run_actions (sync_fleet, i);
    }
}

static void (*const SYSTEMS[]) (struct sync_fleet *)
    = { run_watches, run_arrivals, run_ticks };

void
sync_fleet_run (struct sync_fleet *sync_fleet, int64_t until_ms)
{
  while (sync_fleet->now.ms < until_ms)
    {
      for (size_t i = 0; i < G_N_ELEMENTS (SYSTEMS); i++)
        SYSTEMS[i](sync_fleet);
      sync_fleet->now.ms++;
    }
}

uint32_t
sync_fleet_count_behind (const struct sync_fleet *sync_fleet, uint32_t number,
                         uint64_t generation, uint64_t digest)
{
  uint32_t behind = 0;

  for (uint32_t i = 0; i < sync_fleet->used; i++)
    {
      const struct sync_fleet_process *process = &sync_fleet->processes[i];
      const struct galena_service_record *current;

      if (process->sync == NULL
          || (process->options.service != 0
              && process->options.service != number))
        continue;
      current
          = galena_records_find (galena_sync_records (process->sync), number);
      behind += current == NULL || current->service.generation != generation
                || current->service.digest != digest
                || !galena_sync_is_synced (process->sync);
    }
  return behind;
}

uint32_t
sync_fleet_max_reads_per_second (const struct sync_fleet *sync_fleet,
                                 int64_t from_ms)
{
  uint32_t most = 0;
  uint32_t sum = 0;

  for (int64_t ms = from_ms; ms < (int64_t)sync_fleet->reads->len; ms++)
    {
      sum += g_array_index (sync_fleet->reads, uint32_t, ms);
      if (ms - 1000 >= from_ms)
        sum -= g_array_index (sync_fleet->reads, uint32_t, ms - 1000);
      most = MAX (most, sum);
    }
  return most;
}
