/* Watches the index record and reads each service record that it announces
   as newer than the one in force.  */

#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <urcu.h>

#include <galenaford/http.h>
#include <galenaford/log.h>
#include <galenaford/monotonic.h>
#include <galenaford/random.h>
#include <galenaford/record.h>

#include "control.h"

enum
{
  SERVICES_MAX = 4096,
  AUDIT_ROWS = 1024,
  PATH_BYTES = 128,
  READ_TIMEOUT_MS = 2000,
  /* Least and most wait after a failed read.  */
  RETRY_MIN_MS = 200,
  RETRY_MAX_MS = 2000
};

struct control
{
  struct process *process;
  pthread_t thread;
  struct galena_http *http;
  struct galena_audit *audit;
  struct galena_records *records;
  struct galena_random random;
  /* Generation of the last index read in full.  */
  uint64_t index_generation;
  /* Wait after the next failed read.  */
  uint32_t retry_ms;
};

/* Hands the audit trail to the console, which logs it.  */
static void
report_audit (struct control *control)
{
  process_report_audit (control->process, control->audit);
}

static void
log_faults (const char *name, const struct galena_faults *faults)
{
  for (uint32_t i = 0; i < faults->count; i++)
    galena_log (
        LOG_ERR, "record-fault", "record=%s path=%s result=%s allowed=\"%s\"",
        name, faults->rows[i].path,
        galena_result_word (faults->rows[i].result), faults->rows[i].allowed);
}

static enum galena_result
read_service (struct control *control, const struct galena_index_row *row)
{
  struct galena_service_record record;
  struct galena_faults faults;
  char path[PATH_BYTES];
  const char *text;
  size_t size;
  enum galena_result result;

  snprintf (path, sizeof path, "/services/%s", row->name);
  result
      = galena_http_get (control->http, path, READ_TIMEOUT_MS, &text, &size);
  if (result != GALENA_OK)
    return result;
  result = galena_record_parse (text, size, &record, &faults);
  if (result != GALENA_OK)
    {
      log_faults (row->name, &faults);
      return GALENA_OK;
    }
  galena_records_take (control->records, &record, galena_monotonic_now ());
  galena_record_release (&record);
  report_audit (control);
  return GALENA_OK;
}

static bool
is_newer (const struct control *control, const struct galena_index_row *row)
{
  const struct galena_service_record *present
      = galena_records_find (control->records, row->number);

  return present == NULL || row->generation > present->service.generation;
}

static enum galena_result
read_newer_services (struct control *control,
                     const struct galena_index_record *index)
{
  enum galena_result first_error = GALENA_OK;

  for (uint32_t i = 0; i < index->count; i++)
    {
      enum galena_result result;

      if (!is_newer (control, &index->rows[i]))
        continue;
      result = read_service (control, &index->rows[i]);
      if (result != GALENA_OK && first_error == GALENA_OK)
        first_error = result;
    }
  return first_error;
}

static void
publish_snapshot (struct control *control)
{
  struct galena_config *config;

  if (galena_records_snapshot (control->records, &config) != GALENA_OK)
    return;
  snapshot_replace (control->process->snapshot, config);
}

/* Waits for a newer index and brings what it announces into force.  */
static enum galena_result
watch_once (struct control *control)
{
  uint32_t wait_ms = control->process->settings.platform_wait_ms;
  struct galena_index_record index;
  struct galena_faults faults;
  char path[PATH_BYTES];
  const char *text;
  size_t size;
  enum galena_result result;

  snprintf (path, sizeof path, "/index?after=%llu&wait_ms=%u",
            (unsigned long long)control->index_generation, wait_ms);
  result = galena_http_get (control->http, path, wait_ms + READ_TIMEOUT_MS,
                            &text, &size);
  if (result != GALENA_OK)
    return result;
  result = galena_index_parse (text, size, &index, &faults);
  if (result != GALENA_OK)
    {
      log_faults ("index", &faults);
      return result;
    }
  if (index.generation > control->index_generation)
    {
      result = read_newer_services (control, &index);
      publish_snapshot (control);
      if (result == GALENA_OK)
        control->index_generation = index.generation;
    }
  galena_index_release (&index);
  return result;
}

/* Waits a random part of the retry time; the time doubles up to its limit.  */
static void
wait_before_retry (struct control *control)
{
  uint32_t wait_ms
      = RETRY_MIN_MS
        + galena_random_below (&control->random, control->retry_ms);
  struct pollfd stop = { control->process->stop_fd, POLLIN, 0 };

  poll (&stop, 1, (int)wait_ms);
  control->retry_ms *= 2;
  if (control->retry_ms > RETRY_MAX_MS)
    control->retry_ms = RETRY_MAX_MS;
}

static void *
run_control (void *data)
{
  struct control *control = data;

  rcu_register_thread ();
  while (!atomic_load (&control->process->stopping))
    {
      enum galena_result result = watch_once (control);

      if (result == GALENA_OK)
        {
          control->retry_ms = RETRY_MIN_MS;
          continue;
        }
      if (atomic_load (&control->process->stopping))
        break;
      galena_log (LOG_WARNING, "platform-read-failed", "result=%s",
                  galena_result_word (result));
      wait_before_retry (control);
    }
  rcu_unregister_thread ();
  return NULL;
}

static void
destroy_control (struct control *control)
{
  galena_http_destroy (control->http);
  galena_records_destroy (control->records);
  galena_audit_destroy (control->audit);
  free (control);
}

static enum galena_result
create_parts (struct control *control)
{
  const struct galena_settings *settings = &control->process->settings;
  struct galena_http_options http
      = { settings->platform_url, GALENA_RECORD_BYTES_MAX };
  struct galena_audit_options audit = { AUDIT_ROWS };
  struct galena_records_options records = { SERVICES_MAX, NULL };
  enum galena_result result = galena_http_create (&http, &control->http);

  if (result != GALENA_OK)
    return result;
  result = galena_audit_create (&audit, &control->audit);
  if (result != GALENA_OK)
    return result;
  records.audit = control->audit;
  return galena_records_create (&records, &control->records);
}

enum galena_result
control_start (struct process *process, struct control **out)
{
  struct control *control = calloc (1, sizeof *control);
  enum galena_result result;

  if (control == NULL)
    return GALENA_ERR_MEMORY;
  control->process = process;
  control->random.seed = process->seed;
  control->retry_ms = RETRY_MIN_MS;
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
  galena_http_abort (control->http);
  pthread_join (control->thread, NULL);
  destroy_control (control);
}
