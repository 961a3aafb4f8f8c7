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
  struct sync_fleet *fleet = g_new0 (struct sync_fleet, 1);

  fleet->options = *options;
  fleet->now.ms = 1;
  fleet->random.seed = options->seed;
  fleet->processes = g_new0 (struct sync_fleet_process, count);
  fleet->count = count;
  fleet->versions
      = g_array_new (FALSE, TRUE, sizeof (struct sync_fleet_version));
  fleet->instances
      = g_array_new (FALSE, TRUE, sizeof (struct galena_instance));
  fleet->conns = g_array_new (FALSE, TRUE, sizeof (struct conn));
  fleet->watches = g_array_new (FALSE, TRUE, sizeof (struct arrival));
  fleet->reads = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  fleet->wheel = g_new0 (GArray *, WHEEL_MS);
  for (uint32_t i = 0; i < WHEEL_MS; i++)
    fleet->wheel[i] = g_array_new (FALSE, TRUE, sizeof (struct arrival));
  for (uint32_t i = 0; i < SYNC_FLEET_REPLICAS; i++)
    fleet->visible_until[i].ms = INT64_MAX;
  return fleet;
}

void
sync_fleet_destroy (struct sync_fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->count; i++)
    sync_fleet_kill (fleet, i);
  for (guint i = 0; i < fleet->versions->len; i++)
    g_free (g_array_index (fleet->versions, struct sync_fleet_version, i)
                .record.upstreams);
  for (uint32_t i = 0; i < WHEEL_MS; i++)
    g_array_free (fleet->wheel[i], TRUE);
  for (uint32_t i = 0; i < SYNC_FLEET_REPLICAS; i++)
    g_free (fleet->indices[i].record.rows);
  g_free (fleet->wheel);
  g_array_free (fleet->versions, TRUE);
  g_array_free (fleet->instances, TRUE);
  g_array_free (fleet->conns, TRUE);
  g_array_free (fleet->watches, TRUE);
  g_array_free (fleet->reads, TRUE);
  g_free (fleet->processes);
  g_free (fleet);
}

static void
schedule (struct sync_fleet *fleet, const struct arrival *arrival,
          int64_t delay_ms)
{
  int64_t within = CLAMP (delay_ms, 1, WHEEL_MS - 1);

  g_array_append_val (fleet->wheel[(fleet->now.ms + within) % WHEEL_MS],
                      *arrival);
}

void
sync_fleet_start (struct sync_fleet *fleet, uint32_t index,
                  const struct galena_sync_options *options)
{
  struct galena_audit_options audit = { AUDIT_ROWS };
  struct sync_fleet_process *process = &fleet->processes[index];

  fleet->used = MAX (fleet->used, index + 1);
  process->incarnation++;
  process->options = *options;
  process->options.seed = galena_random_next (&fleet->random);
  process->due = galena_clock_add_ms (
      fleet->now, galena_random_below (&fleet->random, 100));
  process->links
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  g_assert_cmpint (galena_audit_create (&audit, &process->audit), ==,
                   GALENA_OK);
  process->options.audit = process->audit;
  g_assert_cmpint (galena_sync_create (&process->options, &process->sync), ==,
                   GALENA_OK);
}

static struct conn *
conn_at (const struct sync_fleet *fleet, uint32_t index)
{
  return &g_array_index (fleet->conns, struct conn, index);
}

/* Closes a connection and notifies the end opposite to SIDE.  */
static void
close_conn (struct sync_fleet *fleet, uint32_t index, uint32_t side)
{
  struct conn *conn = conn_at (fleet, index);
  struct arrival arrival = { .type = ARRIVAL_CLOSE,
                             .process = conn->ends[1 - side].process,
                             .incarnation = conn->ends[1 - side].incarnation,
                             .from = conn->ends[side].process,
                             .conn = index,
                             .side = 1 - side };

  if (!conn->open)
    return;
  conn->open = false;
  schedule (fleet, &arrival, fleet->options.link_ms);
}

void
sync_fleet_kill (struct sync_fleet *fleet, uint32_t index)
{
  struct sync_fleet_process *process = &fleet->processes[index];

  if (process->sync == NULL)
    return;
  for (guint i = 0; i < fleet->conns->len; i++)
    for (uint32_t side = 0; side < 2; side++)
      if (conn_at (fleet, i)->ends[side].process == index)
        close_conn (fleet, i, side);
  galena_sync_destroy (process->sync);
  galena_audit_destroy (process->audit);
  g_hash_table_destroy (process->links);
  process->sync = NULL;
  process->audit = NULL;
  process->links = NULL;
}

struct sync_fleet_version *
sync_fleet_publish (struct sync_fleet *fleet,
                    const struct galena_service_record *record, uint32_t size)
{
  struct sync_fleet_version version
      = { .record = *record,
          .published_at = fleet->now,
          .size = size,
          .replicas = (1U << SYNC_FLEET_REPLICAS) - 1 };

  version.record.upstreams
      = g_memdup2 (record->upstreams,
                   record->service.upstream_count * sizeof *record->upstreams);
  g_array_append_val (fleet->versions, version);
  return &g_array_index (fleet->versions, struct sync_fleet_version,
                         fleet->versions->len - 1);
}

static void
link_process (struct sync_fleet *fleet, uint32_t index, uint32_t side)
{
  struct conn_end *end = &conn_at (fleet, index)->ends[side];
  struct sync_fleet_process *process = &fleet->processes[end->process];
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
do_connect (struct sync_fleet *fleet, uint32_t index,
            const struct galena_sync_action *action)
{
  struct conn conn
      = { .ends = { { .process = index, .handle = action->peer } },
          .open = true };
  struct arrival arrival
      = { .type = ARRIVAL_CONNECT, .from = index, .conn = fleet->conns->len };
  uint32_t to = 0;

  while (to < fleet->used
         && (fleet->processes[to].sync == NULL
             || !galena_endpoint_equal (
                 fleet->processes[to].options.self.address, action->address)))
    to++;
  if (to < fleet->used)
    {
      conn.ends[1].process = to;
      conn.ends[1].incarnation = fleet->processes[to].incarnation;
    }
  g_array_append_val (fleet->conns, conn);
  link_process (fleet, arrival.conn, 0);
  if (to == fleet->used)
    {
      /* No process listens on the address: both ends are the opener's, which
         is told that the connection ended.  */
      conn_at (fleet, arrival.conn)->ends[1] = conn.ends[0];
      close_conn (fleet, arrival.conn, 1);
      return;
    }
  arrival.process = to;
  arrival.incarnation = fleet->processes[to].incarnation;
  schedule (fleet, &arrival, fleet->options.link_ms);
}

static const struct sync_fleet_version *
find_version (const struct sync_fleet *fleet,
              const struct galena_sync_message *message)
{
  for (guint i = 0; i < fleet->versions->len; i++)
    {
      const struct sync_fleet_version *version
          = &g_array_index (fleet->versions, struct sync_fleet_version, i);
      const struct galena_service *service = &version->record.service;

      if (service->number == message->number
          && service->generation == message->generation
          && service->digest == message->digest)
        return version;
    }
  return NULL;
}

static void
do_send (struct sync_fleet *fleet, uint32_t index,
         const struct galena_sync_action *action)
{
  struct sync_fleet_process *process = &fleet->processes[index];
  struct arrival arrival
      = { .type = ARRIVAL_MESSAGE, .from = index, .message = action->message };
  uint8_t bytes[GALENA_RELAY_HEADER_BYTES_MAX];
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
          = find_version (fleet, &action->message);

      g_assert_nonnull (version);
      arrival.message.record = &version->record;
      size += version->size;
    }
  arrival.size = (uint32_t)size + FRAME_BYTES + HEADER_BYTES;
  process->bytes_sent += arrival.size;
  arrival.side = 1 - side;
  end = &conn_at (fleet, arrival.conn)->ends[arrival.side];
  arrival.process = end->process;
  arrival.incarnation = end->incarnation;
  schedule (fleet, &arrival, fleet->options.link_ms);
}

static void
do_close (struct sync_fleet *fleet, uint32_t index,
          const struct galena_sync_action *action)
{
  uint32_t conn;
  uint32_t side;

  if (find_conn (&fleet->processes[index], action->peer, &conn, &side))
    close_conn (fleet, conn, side);
}

static void
do_read (struct sync_fleet *fleet, uint32_t index,
         const struct galena_sync_action *action)
{
  const struct sync_fleet_process *process = &fleet->processes[index];
  struct arrival arrival
      = { .type = ARRIVAL_READ,
          .process = index,
          .incarnation = process->incarnation,
          .from = index,
          .read = action->read,
          .query = action->query,
          .due = galena_clock_add_ms (fleet->now, action->query.wait_ms) };
  bool down = fleet->platform_down || process->cut_from_platform;

  while (fleet->reads->len <= fleet->now.ms)
    g_array_set_size (fleet->reads, (guint)fleet->now.ms + 1);
  if (!fleet->platform_down)
    g_array_index (fleet->reads, uint32_t, fleet->now.ms)++;
  if (!down && action->query.type == GALENA_SYNC_READ_INDEX)
    g_array_append_val (fleet->watches, arrival);
  else
    schedule (fleet, &arrival, down ? DOWN_MS : fleet->options.read_ms);
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
run_actions (struct sync_fleet *fleet, uint32_t index)
{
  struct sync_fleet_process *process = &fleet->processes[index];
  struct galena_sync_action action;

  while (galena_sync_next_action (process->sync, &action))
    ACTIONS[action.type](fleet, index, &action);
  process->changed |= galena_sync_changed (process->sync);
}

static bool
is_visible (const struct sync_fleet *fleet, uint32_t replica,
            const struct sync_fleet_version *version)
{
  return (version->replicas & (1U << replica)) != 0
         && version->published_at.ms <= fleet->visible_until[replica].ms;
}

void
sync_fleet_restore (struct sync_fleet *fleet, struct galena_clock copied_at,
                    uint64_t list_generation)
{
  for (guint i = 0; i < fleet->versions->len; i++)
    {
      struct sync_fleet_version *version
          = &g_array_index (fleet->versions, struct sync_fleet_version, i);

      if (version->published_at.ms > copied_at.ms)
        version->replicas = 0;
    }
  for (uint32_t i = 0; i < SYNC_FLEET_REPLICAS; i++)
    fleet->indices[i].versions = 0;
  fleet->list_generation = list_generation;
  fleet->era++;
}

/* Returns the last version of service NUMBER visible on REPLICA.  */
static const struct sync_fleet_version *
newest_version (const struct sync_fleet *fleet, uint32_t replica,
                uint32_t number)
{
  for (guint i = fleet->versions->len; i > 0; i--)
    {
      const struct sync_fleet_version *version
          = &g_array_index (fleet->versions, struct sync_fleet_version, i - 1);

      if (version->record.service.number == number
          && is_visible (fleet, replica, version))
        return version;
    }
  return NULL;
}

static void
make_index (const struct sync_fleet *fleet, uint32_t replica,
            struct galena_index_record *index)
{
  index->rows = g_renew (struct galena_index_row, index->rows,
                         fleet->versions->len + 1);
  index->count = 0;
  index->era = fleet->era;
  index->generation = 0;
  for (guint i = 0; i < fleet->versions->len; i++)
    {
      const struct sync_fleet_version *version
          = &g_array_index (fleet->versions, struct sync_fleet_version, i);
      const struct galena_service *service = &version->record.service;
      struct galena_index_row *row = &index->rows[index->count];

      if (newest_version (fleet, replica, service->number) != version)
        continue;
      memcpy (row->name, service->name, sizeof row->name);
      row->number = service->number;
      row->generation = service->generation;
      index->count++;
    }
  for (guint i = 0; i < fleet->versions->len; i++)
    if (is_visible (
            fleet, replica,
            &g_array_index (fleet->versions, struct sync_fleet_version, i)))
      index->generation++;
}

/* Returns the index of REPLICA.  */
static const struct galena_index_record *
visible_index (struct sync_fleet *fleet, uint32_t replica)
{
  struct sync_fleet_index *index = &fleet->indices[replica];

  if (index->record.rows == NULL || index->versions != fleet->versions->len
      || index->visible_until.ms != fleet->visible_until[replica].ms)
    make_index (fleet, replica, &index->record);
  index->versions = fleet->versions->len;
  index->visible_until = fleet->visible_until[replica];
  return &index->record;
}

static enum galena_result
read_service (const struct sync_fleet *fleet,
              const struct sync_fleet_process *process,
              const struct arrival *arrival, struct galena_sync_event *event)
{
  const struct sync_fleet_version *version
      = newest_version (fleet, process->replica, arrival->query.service);

  if (version == NULL)
    return GALENA_ERR_NOT_FOUND;
  if (version->invalid)
    return GALENA_ERR_INVALID;
  event->record = &version->record;
  return GALENA_OK;
}

static void
deliver_read (struct sync_fleet *fleet, struct sync_fleet_process *process,
              const struct arrival *arrival)
{
  struct galena_sync_event event
      = { .type = GALENA_SYNC_READ_ENDED, .read = arrival->read };
  struct galena_instance_list list
      = { .era = fleet->era,
          .generation = fleet->list_generation,
          .total = fleet->instances->len,
          .count = fleet->instances->len,
          .rows = (struct galena_instance *)(void *)fleet->instances->data };

  event.index = visible_index (fleet, process->replica);
  event.instances = &list;
  if (fleet->platform_down || process->cut_from_platform)
    event.result = GALENA_ERR_IO;
  else if (arrival->query.type == GALENA_SYNC_READ_SERVICE)
    event.result = read_service (fleet, process, arrival, &event);
  galena_sync_handle_event (process->sync, &event, fleet->now);
}

static void
deliver_connect (struct sync_fleet *fleet, struct sync_fleet_process *process,
                 const struct arrival *arrival)
{
  struct conn *conn = conn_at (fleet, arrival->conn);
  struct galena_peer_handle handle;

  if (!conn->open)
    return;
  if (galena_sync_accept (process->sync, fleet->now, &handle) != GALENA_OK)
    {
      close_conn (fleet, arrival->conn, 1);
      return;
    }
  conn->ends[1].handle = handle;
  link_process (fleet, arrival->conn, 1);
}

static void
deliver_message (struct sync_fleet *fleet, struct sync_fleet_process *process,
                 const struct arrival *arrival)
{
  struct galena_sync_event event
      = { .type = GALENA_SYNC_RECEIVED,
          .peer = conn_at (fleet, arrival->conn)->ends[arrival->side].handle,
          .message = &arrival->message };

  galena_sync_handle_event (process->sync, &event, fleet->now);
}

static void
deliver_close (struct sync_fleet *fleet, struct sync_fleet_process *process,
               const struct arrival *arrival)
{
  struct galena_sync_event event
      = { .type = GALENA_SYNC_LINK_ENDED,
          .peer = conn_at (fleet, arrival->conn)->ends[arrival->side].handle };

  galena_sync_handle_event (process->sync, &event, fleet->now);
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
deliver (struct sync_fleet *fleet, const struct arrival *arrival)
{
  struct sync_fleet_process *process = &fleet->processes[arrival->process];

  if (process->sync == NULL || process->incarnation != arrival->incarnation
      || process->group != fleet->processes[arrival->from].group)
    return;
  if (!galena_clock_reached (fleet->now, process->frozen_until))
    {
      schedule (fleet, arrival,
                galena_clock_elapsed_ms (fleet->now, process->frozen_until));
      return;
    }
  process->bytes_received += arrival->size;
  ARRIVALS[arrival->type](fleet, process, arrival);
  run_actions (fleet, arrival->process);
}

/* System: ends watches whose index has changed or that timed out.  */
static void
run_watches (struct sync_fleet *fleet)
{
  for (guint i = 0; i < fleet->watches->len;)
    {
      struct arrival watch = g_array_index (fleet->watches, struct arrival, i);
      const struct sync_fleet_process *process
          = &fleet->processes[watch.process];

      if (fleet->era == watch.query.after_era
          && visible_index (fleet, process->replica)->generation
                 <= watch.query.after
          && !galena_clock_reached (fleet->now, watch.due)
          && !fleet->platform_down)
        {
          i++;
          continue;
        }
      g_array_remove_index_fast (fleet->watches, i);
      schedule (fleet, &watch, fleet->options.read_ms);
    }
}

/* System: delivers the events that are due now.  */
static void
run_arrivals (struct sync_fleet *fleet)
{
  GArray *arrivals = fleet->wheel[fleet->now.ms % WHEEL_MS];

  for (guint i = 0; i < arrivals->len; i++)
    {
      struct arrival arrival = g_array_index (arrivals, struct arrival, i);

      deliver (fleet, &arrival);
    }
  g_array_set_size (arrivals, 0);
}

/* System: runs the ticks that are due.  */
static void
run_ticks (struct sync_fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->used; i++)
    {
      struct sync_fleet_process *process = &fleet->processes[i];

      if (process->sync == NULL
          || !galena_clock_reached (fleet->now, process->frozen_until)
          || !galena_clock_reached (fleet->now, process->due))
        continue;
      galena_sync_tick (process->sync, fleet->now);
      process->due = galena_sync_due (process->sync);
      run_actions (fleet, i);
    }
}

static void (*const SYSTEMS[]) (struct sync_fleet *)
    = { run_watches, run_arrivals, run_ticks };

void
sync_fleet_run (struct sync_fleet *fleet, int64_t until_ms)
{
  while (fleet->now.ms < until_ms)
    {
      for (size_t i = 0; i < G_N_ELEMENTS (SYSTEMS); i++)
        SYSTEMS[i](fleet);
      fleet->now.ms++;
    }
}

uint32_t
sync_fleet_count_behind (const struct sync_fleet *fleet, uint32_t number,
                         uint64_t generation, uint64_t digest)
{
  uint32_t behind = 0;

  for (uint32_t i = 0; i < fleet->used; i++)
    {
      const struct sync_fleet_process *process = &fleet->processes[i];
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
sync_fleet_max_reads_per_second (const struct sync_fleet *fleet,
                                 int64_t from_ms)
{
  uint32_t most = 0;
  uint32_t sum = 0;

  for (int64_t ms = from_ms; ms < (int64_t)fleet->reads->len; ms++)
    {
      sum += g_array_index (fleet->reads, uint32_t, ms);
      if (ms - 1000 >= from_ms)
        sum -= g_array_index (fleet->reads, uint32_t, ms - 1000);
      most = MAX (most, sum);
    }
  return most;
}
