/* Merges the audit trails in the threads' reports into one and logs it.  */

#include <stdlib.h>

#include <galenaford/log.h>

#include "collector.h"

enum
{
  AUDIT_ROWS = 4096
};

struct collector
{
  struct process *process;
  struct galena_audit *audit;
  /* Newest report of each thread.  */
  const struct galena_report *reports[PROCESS_THREADS_MAX + 1];
  /* Sequence number of the last row merged from each thread's trail.  */
  uint64_t merged[PROCESS_THREADS_MAX + 1];
  /* Sequence number of the last row of the merged trail that was logged.  */
  uint64_t logged;
  bool stopping_recorded;
};

/* Events that are logged as warnings; the others are notices.  */
static const bool IS_WARNING[GALENA_AUDIT_EVENT_COUNT] = {
  [GALENA_AUDIT_RECORD_REFUSED] = true, [GALENA_AUDIT_RECORD_CONFLICT] = true,
  [GALENA_AUDIT_RECORD_CLASH] = true,   [GALENA_AUDIT_OVERLOAD_ENTERED] = true,
  [GALENA_AUDIT_OWNER_LOST] = true,     [GALENA_AUDIT_UPSTREAM_DOWN] = true,
  [GALENA_AUDIT_PAUSED] = true,
};

static void
append_process_event (struct collector *collector,
                      enum galena_audit_event event, struct galena_clock now)
{
  const struct process *process = collector->process;
  struct galena_audit_row row
      = { .at = now,
          .event = event,
          .upstream = process->settings.agent_upstream,
          /* The rows of process events have the incarnation here.  */
          .generation = process_incarnation (process) };

  galena_audit_append (collector->audit, &row);
}

enum galena_result
collector_create (struct process *process, struct collector **out)
{
  struct galena_audit_options options = { AUDIT_ROWS };
  struct collector *collector = calloc (1, sizeof *collector);
  enum galena_result result;

  if (collector == NULL)
    return GALENA_ERR_MEMORY;
  collector->process = process;
  result = galena_audit_create (&options, &collector->audit);
  if (result != GALENA_OK)
    {
      free (collector);
      return result;
    }
  append_process_event (collector, GALENA_AUDIT_STARTED, process->started);
  *out = collector;
  return GALENA_OK;
}

void
collector_destroy (struct collector *collector)
{
  if (collector == NULL)
    return;
  galena_audit_destroy (collector->audit);
  free (collector);
}

/* Appends the rows of thread INDEX that have not been merged yet.  */
static void
merge_audit (struct collector *collector, uint32_t index)
{
  const struct galena_report *report = collector->reports[index];
  uint64_t *merged = &collector->merged[index];

  for (uint32_t i = 0; i < report->audit_count; i++)
    {
      const struct galena_audit_row *row = &report->audit[i];

      if (row->sequence <= *merged)
        continue;
      if (row->sequence > *merged + 1)
        galena_log (LOG_WARNING, "audit-rows-missed", "thread=%u rows=%llu",
                    index, (unsigned long long)(row->sequence - *merged - 1));
      galena_audit_append (collector->audit, row);
      *merged = row->sequence;
    }
}

static void
log_audit (struct collector *collector)
{
  const struct galena_audit_row *row;

  while ((row = galena_audit_find (collector->audit, collector->logged + 1))
         != NULL)
    {
      int severity = IS_WARNING[row->event] ? LOG_WARNING : LOG_NOTICE;

      galena_log (severity, galena_audit_event_name (row->event),
                  "service=%u upstream=%u kind=%u generation=%llu result=%s",
                  row->service, row->upstream, row->kind,
                  (unsigned long long)row->generation,
                  galena_result_name (row->result));
      collector->logged = row->sequence;
    }
}

static bool
shutdown_has_begun (const struct process *process)
{
  return atomic_load (&process->draining) || atomic_load (&process->stopping);
}

void
collector_refresh (struct collector *collector, struct galena_clock now)
{
  struct process *process = collector->process;

  for (uint32_t i = 0; i < process->report_buffer_count; i++)
    {
      collector->reports[i] = report_buffer_read (process->report_buffers[i]);
      merge_audit (collector, i);
    }
  if (!collector->stopping_recorded && shutdown_has_begun (process))
    {
      collector->stopping_recorded = true;
      append_process_event (collector, GALENA_AUDIT_STOPPING, now);
    }
  log_audit (collector);
  galena_log_report_suppressed ();
}

const struct process *
collector_process (const struct collector *collector)
{
  return collector->process;
}

const struct galena_report *
collector_report (const struct collector *collector, uint32_t index)
{
  return collector->reports[index];
}

const struct galena_audit *
collector_audit (const struct collector *collector)
{
  return collector->audit;
}
