/* I/O for the process's sync (struct galena_sync), which does none itself:
   reads from the platform over HTTP, connections to peers over TCP, parsing of
   what they send, and the configuration snapshot.  */

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#include <urcu.h>

#include <galenaford/instances.h>
#include <galenaford/log.h>
#include <galenaford/monotonic.h>
#include <galenaford/reads.h>
#include <galenaford/record.h>

#include "control.h"
#include "sync_transport.h"

enum
{
  /* Most services whose record text is cached.  */
  SERVICES_MAX = 4096,
  AUDIT_ROWS = 1024,
  PATH_BYTES = 128,
  READ_TIMEOUT_MS = 2000,
  CONNECT_TIMEOUT_MS = 1000,
  READS_MAX = 8,
  WAIT_FDS_MAX = 64
};

struct control
{
  struct process *process;
  pthread_t thread;
  struct galena_reads *reads;
  struct galena_audit *audit;
  struct galena_sync *sync;
  struct record_cache *record_cache;
  struct sync_transport *transport;
  /* Type of each read in progress, by the index of its handle.  */
  enum galena_sync_read_type types[READS_MAX];
  /* Sequence number of the last audit row reported.  */
  uint64_t reported_audit;
};

/* Logs FAULTS of a text; SOURCE tells how the text arrived.  */
static void
log_faults (const char *source, const struct galena_faults *faults)
{
  for (uint32_t i = 0; i < faults->count; i++)
    galena_log (
        LOG_ERR, "record-fault", "record=%s path=%s result=%s allowed=\"%s\"",
        source, faults->rows[i].path,
        galena_result_name (faults->rows[i].result), faults->rows[i].allowed);
}

/* Caches TEXT for peers if RECORD, which was parsed from it, is the current
   record of its service.  */
static void
cache_record (struct control *control,
              const struct galena_service_record *record, const char *text,
              size_t size)
{
  const struct galena_service_record *current = galena_records_find (
      galena_sync_records (control->sync), record->service.number);

  if (current != NULL && current->service.digest == record->service.digest)
    record_cache_put (control->record_cache, record->service.number,
                      record->service.digest, text, size);
}

/* Parses a record that a peer sent and passes it on to the sync.  */
static void
deliver_relayed_record (void *data, const struct galena_sync_event *event,
                        const char *text, size_t size)
{
  struct control *control = data;
  struct galena_sync_message message = *event->message;
  struct galena_sync_event parsed = *event;
  struct galena_service_record record;
  struct galena_faults faults;
  bool valid = galena_record_parse (text, size, &record, &faults) == GALENA_OK;

  if (valid)
    message.record = &record;
  else
    log_faults ("relayed", &faults);
  parsed.message = &message;
  galena_sync_handle_event (control->sync, &parsed, galena_monotonic_now ());
  if (!valid)
    return;
  cache_record (control, &record, text, size);
  galena_record_release (&record);
}

static void
deliver_index (struct control *control, const struct galena_sync_event *event,
               const struct galena_completed_read *completed)
{
  struct galena_sync_event parsed = *event;
  struct galena_index_record index;
  struct galena_faults faults;

  parsed.result
      = galena_index_parse (completed->text, completed->size, &index, &faults);
  if (parsed.result != GALENA_OK)
    log_faults ("index", &faults);
  parsed.index = &index;
  galena_sync_handle_event (control->sync, &parsed, galena_monotonic_now ());
  galena_index_release (&index);
}

static void
deliver_record (struct control *control, const struct galena_sync_event *event,
                const struct galena_completed_read *completed)
{
  struct galena_sync_event parsed = *event;
  struct galena_service_record record;
  struct galena_faults faults;

  parsed.result = galena_record_parse (completed->text, completed->size,
                                       &record, &faults);
  if (parsed.result != GALENA_OK)
    log_faults ("read", &faults);
  parsed.record = &record;
  galena_sync_handle_event (control->sync, &parsed, galena_monotonic_now ());
  if (parsed.result != GALENA_OK)
    return;
  cache_record (control, &record, completed->text, completed->size);
  galena_record_release (&record);
}

static void
deliver_instances (struct control *control,
                   const struct galena_sync_event *event,
                   const struct galena_completed_read *completed)
{
  struct galena_sync_event parsed = *event;
  struct galena_instance_list list;

  parsed.result
      = galena_instances_parse (completed->text, completed->size, &list);
  parsed.instances = &list;
  galena_sync_handle_event (control->sync, &parsed, galena_monotonic_now ());
  galena_instances_release (&list);
}

struct read_kind
{
  /* Start of the path; make_path appends the rest.  */
  const char *path;
  void (*deliver) (struct control *, const struct galena_sync_event *,
                   const struct galena_completed_read *);
};

static const struct read_kind READ_KINDS[GALENA_SYNC_READ_COUNT] = {
  [GALENA_SYNC_READ_INDEX] = { "/index", deliver_index },
  [GALENA_SYNC_READ_SERVICE] = { "/services/", deliver_record },
  [GALENA_SYNC_READ_LEAVING]
  = { "/instances?state=leaving", deliver_instances },
  [GALENA_SYNC_READ_INSTANCES] = { "/instances", deliver_instances },
};

static void
make_path (const struct galena_sync_read *query, char *path)
{
  const char *start = READ_KINDS[query->type].path;

  if (query->type == GALENA_SYNC_READ_INDEX)
    snprintf (path, PATH_BYTES, "%s?after=%llu&wait_ms=%u&era=%llu", start,
              (unsigned long long)query->after, query->wait_ms,
              (unsigned long long)query->after_era);
  else
    snprintf (path, PATH_BYTES, "%s%s", start, query->name);
}

static void
deliver_failure (struct control *control,
                 const struct galena_sync_event *event,
                 enum galena_sync_read_type type)
{
  bool is_instance_list
      = type == GALENA_SYNC_READ_LEAVING || type == GALENA_SYNC_READ_INSTANCES;

  /* A platform without a list of instances is no failure.  */
  if (!is_instance_list || event->result != GALENA_ERR_NOT_FOUND)
    galena_log (LOG_WARNING, "platform-read-failed", "result=%s",
                galena_result_name (event->result));
  galena_sync_handle_event (control->sync, event, galena_monotonic_now ());
}

static void
deliver_ended_reads (struct control *control)
{
  struct galena_completed_read completed;

  while (galena_reads_next (control->reads, &completed))
    {
      struct galena_sync_event event
          = { .type = GALENA_SYNC_READ_ENDED, .result = completed.result };
      enum galena_sync_read_type type;

      event.read.row = galena_handle_unpack (completed.user_data);
      type = control->types[event.read.row.index % READS_MAX];
      if (completed.result == GALENA_OK)
        READ_KINDS[type].deliver (control, &event, &completed);
      else
        deliver_failure (control, &event, type);
    }
}

static void
start_read (struct control *control, const struct galena_sync_action *action)
{
  struct galena_sync_event event
      = { .type = GALENA_SYNC_READ_ENDED, .read = action->read };
  char path[PATH_BYTES];

  make_path (&action->query, path);
  control->types[action->read.row.index % READS_MAX] = action->query.type;
  event.result = galena_reads_start (control->reads, path,
                                     action->query.wait_ms + READ_TIMEOUT_MS,
                                     galena_handle_pack (action->read.row));
  if (event.result != GALENA_OK)
    galena_sync_handle_event (control->sync, &event, galena_monotonic_now ());
}

static void
perform_actions (struct control *control)
{
  struct galena_sync_action action;

  while (galena_sync_next_action (control->sync, &action))
    if (action.type == GALENA_SYNC_DO_READ)
      start_read (control, &action);
    else
      sync_transport_perform (control->transport, &action);
}

static void
publish_snapshot (struct control *control)
{
  struct galena_config *config;

  if (galena_sync_snapshot (control->sync, &config) == GALENA_OK)
    snapshot_replace (control->process->snapshot, config);
}

/* Publishes new rows of the audit trail to the operator thread, which logs
   them.  */
static void
report_audit (struct control *control)
{
  uint64_t newest = galena_audit_newest (control->audit);

  if (newest == control->reported_audit)
    return;
  control->reported_audit = newest;
  process_report_audit (control->process, control->audit);
}

static void
wait_for_work (struct control *control)
{
  struct pollfd fds[WAIT_FDS_MAX]
      = { { control->process->stop_fd, POLLIN, 0 } };
  uint32_t count
      = 1 + sync_transport_fds (control->transport, fds + 1, WAIT_FDS_MAX - 1);
  uint32_t left_ms = galena_clock_remaining_ms (
      galena_monotonic_now (), galena_sync_due (control->sync));

  galena_reads_wait (control->reads, fds, count, left_ms);
}

static void
run_once (struct control *control)
{
  struct galena_clock now = galena_monotonic_now ();

  if (galena_clock_reached (now, galena_sync_due (control->sync)))
    galena_sync_tick (control->sync, now);
  deliver_ended_reads (control);
  sync_transport_run (control->transport, now);
  perform_actions (control);
  if (galena_sync_changed (control->sync))
    publish_snapshot (control);
  report_audit (control);
}

static void *
run_control (void *data)
{
  struct control *control = data;

  rcu_register_thread ();
  galena_sync_tick (control->sync, galena_monotonic_now ());
  while (!atomic_load (&control->process->stopping))
    {
      run_once (control);
      wait_for_work (control);
    }
  rcu_unregister_thread ();
  return NULL;
}

static void
destroy_control (struct control *control)
{
  sync_transport_destroy (control->transport);
  galena_sync_destroy (control->sync);
  record_cache_destroy (control->record_cache);
  galena_reads_destroy (control->reads);
  galena_audit_destroy (control->audit);
  free (control);
}

static enum galena_result
create_sync (struct control *control)
{
  const struct galena_settings *settings = &control->process->settings;
  struct galena_sync_options options
      = { .self = { settings->peers_address, settings->role },
          .service = settings->agent_service,
          .seed = control->process->seed,
          .readers = settings->platform_readers,
          .reads_per_second = settings->platform_reads_per_second,
          .wait_ms = settings->platform_wait_ms,
          .has_instance_list = true,
          .audit = control->audit };

  options.seed_count = settings->peers_seeds.count;
  for (uint32_t i = 0; i < options.seed_count; i++)
    options.seeds[i] = settings->peers_seeds.rows[i];
  return galena_sync_create (&options, &control->sync);
}

static enum galena_result
create_parts (struct control *control)
{
  const struct galena_settings *settings = &control->process->settings;
  struct galena_reads_options reads
      = { .base_url = settings->platform_url,
          .connect_timeout_ms = CONNECT_TIMEOUT_MS,
          .bytes_max = GALENA_RECORD_BYTES_MAX,
          .reads_max = READS_MAX };
  struct galena_audit_options audit = { AUDIT_ROWS };
  struct sync_transport_options transport
      = { .address = settings->peers_address,
          .on_record = deliver_relayed_record,
          .data = control };
  enum galena_result result = galena_reads_create (&reads, &control->reads);

  if (result != GALENA_OK)
    return result;
  result = galena_audit_create (&audit, &control->audit);
  if (result != GALENA_OK)
    return result;
  result = record_cache_create (SERVICES_MAX, &control->record_cache);
  if (result != GALENA_OK)
    return result;
  result = create_sync (control);
  if (result != GALENA_OK)
    return result;
  transport.sync = control->sync;
  transport.record_cache = control->record_cache;
  return sync_transport_create (&transport, &control->transport);
}

enum galena_result
control_start (struct process *process, struct control **out)
{
  struct control *control = calloc (1, sizeof *control);
  enum galena_result result;

  if (control == NULL)
    return GALENA_ERR_MEMORY;
  control->process = process;
  result = create_parts (control);
  if (result != GALENA_OK)
    goto fail;
  if (pthread_create (&control->thread, NULL, run_control, control) != 0)
    {
      result = GALENA_ERR_IO;
      goto fail;
    }
  *out = control;
  return GALENA_OK;

fail:
  destroy_control (control);
  return result;
}

void
control_stop (struct control *control)
{
  if (control == NULL)
    return;
  pthread_join (control->thread, NULL);
  destroy_control (control);
}
