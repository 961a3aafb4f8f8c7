/* One function for each view; it makes one row from the reports and the
   configuration.  */

#include <stdio.h>
#include <string.h>

#include "console_view.h"

/* Stores the row at CURSOR and moves past it; false at the end.  */
typedef bool view_reader (const struct view_source *source,
                          struct view_cursor *cursor,
                          struct galena_operator_row *row);

static void
set_text (char *field, const char *text)
{
  snprintf (field, GALENA_NAME_BYTES, "%s", text);
}

static void
set_address (char *field, struct galena_endpoint address)
{
  snprintf (field, GALENA_NAME_BYTES, "%u.%u.%u.%u:%u", address.ip >> 24,
            (address.ip >> 16) & 255, (address.ip >> 8) & 255,
            address.ip & 255, address.port);
}

static const char *
state_name (enum galena_upstream_state state)
{
  static const char *const NAMES[] = {
    [GALENA_UPSTREAM_ACTIVE] = "active",
    [GALENA_UPSTREAM_LEAVING] = "leaving",
    [GALENA_UPSTREAM_REMOVED] = "removed",
  };

  return NAMES[state];
}

static const char *
role_name (enum galena_role role)
{
  return role == GALENA_ROLE_ENTRY ? "entry" : "agent";
}

static uint32_t
thread_count (const struct view_source *source)
{
  return process_threads (collector_process (source->collector));
}

static void
add_usage (struct galena_status_row *status,
           const struct galena_world_usage *usage)
{
  status->flows += usage->flows;
  status->requests += usage->requests;
  status->running += usage->running;
  status->queued += usage->queued;
  status->pending_opens += usage->pending_opens;
  status->hints += usage->hints;
  status->body_bytes += usage->body_bytes;
}

static void
add_reports (const struct view_source *source,
             struct galena_status_row *status)
{
  for (uint32_t i = 0; i < thread_count (source); i++)
    {
      const struct galena_report *report
          = collector_report (source->collector, i);
      int64_t age_ms = galena_clock_elapsed_ms (report->at, source->now);

      add_usage (status, &report->usage);
      if (age_ms > (int64_t)status->report_age_ms)
        status->report_age_ms = (uint64_t)age_ms;
    }
}

static void
set_shutdown (const struct view_source *source,
              struct galena_status_row *status)
{
  const struct process *process = collector_process (source->collector);
  struct galena_clock end = { atomic_load (&process->drain_end_ms) };
  bool draining = atomic_load (&process->draining);

  set_text (status->state, draining ? "stopping" : "running");
  if (draining)
    status->stop_left_ms = galena_clock_remaining_ms (source->now, end);
}

static void
set_records (const struct view_source *source,
             struct galena_status_row *status)
{
  const struct galena_upstream *self = galena_config_upstream_numbered (
      source->config, (uint32_t)status->upstream);

  status->services = galena_config_service_count (source->config);
  status->upstreams = galena_config_upstream_count (source->config);
  set_text (status->record, self == NULL ? "none" : state_name (self->state));
}

static bool
read_status (const struct view_source *source, struct view_cursor *cursor,
             struct galena_operator_row *row)
{
  const struct process *process = collector_process (source->collector);
  const struct galena_settings *settings = &process->settings;
  struct galena_status_row *status = &row->as.status;
  int64_t uptime_ms = galena_clock_elapsed_ms (process->started, source->now);

  if (cursor->position++ > 0)
    return false;
  set_text (status->process, settings->name);
  set_text (status->role, role_name (settings->role));
  set_text (status->zone, settings->zone);
  set_text (status->version, GALENA_VERSION);
  snprintf (status->incarnation, sizeof status->incarnation, "%08x",
            process_incarnation (process));
  status->upstream = settings->agent_upstream;
  status->keeps = settings->agent_service;
  status->uptime_ms = (uint64_t)uptime_ms;
  status->threads = thread_count (source);
  status->audit_rows
      = galena_audit_newest (collector_audit (source->collector));
  set_shutdown (source, status);
  set_records (source, status);
  add_reports (source, status);
  return true;
}

/* A group of counters, and functions for the name and value of each.  */
struct counter_group
{
  const char *name;
  uint32_t count;
  const char *(*name_at) (uint32_t index);
  uint64_t (*value_at) (const struct galena_report *report, uint32_t index);
  /* Whether counters with value 0 are shown.  */
  bool show_zero;
};

static const char *
event_name (uint32_t index)
{
  return galena_counter_name ((enum galena_counter)index);
}

static const char *
result_name (uint32_t index)
{
  return galena_result_name ((enum galena_result)index);
}

static uint64_t
event_value (const struct galena_report *report, uint32_t index)
{
  return report->counters.values[index];
}

static uint64_t
refused_value (const struct galena_report *report, uint32_t index)
{
  return report->refused[index];
}

static uint64_t
malformed_value (const struct galena_report *report, uint32_t index)
{
  return report->malformed[index];
}

static const struct counter_group COUNTER_GROUPS[] = {
  { "event", GALENA_COUNTER_COUNT, event_name, event_value, true },
  { "refused", GALENA_RESULT_LIMIT, result_name, refused_value, false },
  { "malformed", GALENA_RESULT_LIMIT, result_name, malformed_value, false },
};

/* Returns the group that contains counter *INDEX of all groups, and changes
   the index to that within the group; NULL past the last group.  */
static const struct counter_group *
counter_group_at (uint64_t *index)
{
  for (size_t i = 0; i < sizeof COUNTER_GROUPS / sizeof COUNTER_GROUPS[0]; i++)
    {
      if (*index < COUNTER_GROUPS[i].count)
        return &COUNTER_GROUPS[i];
      *index -= COUNTER_GROUPS[i].count;
    }
  return NULL;
}

static bool
read_counter (const struct view_source *source, struct view_cursor *cursor,
              struct galena_operator_row *row)
{
  struct galena_counter_row *counter = &row->as.counter;
  const struct counter_group *group;
  uint64_t index = cursor->position;

  while ((group = counter_group_at (&index)) != NULL)
    {
      counter->value = 0;
      for (uint32_t i = 0; i < thread_count (source); i++)
        counter->value += group->value_at (
            collector_report (source->collector, i), (uint32_t)index);
      cursor->position++;
      if (counter->value > 0 || group->show_zero)
        break;
      index = cursor->position;
    }
  if (group == NULL)
    return false;
  set_text (counter->group, group->name);
  set_text (counter->counter, group->name_at ((uint32_t)index));
  return true;
}

static bool
read_generation (const struct view_source *source, struct view_cursor *cursor,
                 struct galena_operator_row *row)
{
  struct galena_generation_row *generation = &row->as.generation;
  const struct galena_service *service;

  if (cursor->position >= galena_config_service_count (source->config))
    return false;
  service
      = galena_config_service (source->config, (uint32_t)cursor->position++);
  generation->number = service->number;
  set_text (generation->service, service->name);
  generation->generation = service->generation;
  snprintf (generation->digest, sizeof generation->digest, "%016llx",
            (unsigned long long)service->digest);
  generation->schema = service->schema;
  generation->upstreams = service->upstream_count;
  for (uint32_t i = 0; i < service->upstream_count; i++)
    if (galena_config_upstream (source->config, service->first_upstream + i)
            ->state
        != GALENA_UPSTREAM_ACTIVE)
      generation->leaving++;
  return true;
}

static const struct galena_upstream_stats *
find_upstream (const struct galena_report *report, uint32_t upstream)
{
  for (uint32_t i = 0; i < report->upstream_count; i++)
    if (report->upstreams[i].upstream == upstream)
      return &report->upstreams[i];
  return NULL;
}

static void
add_upstream_stats (const struct view_source *source,
                    struct galena_upstream_row *row)
{
  set_text (row->reach, "unused");
  for (uint32_t i = 0; i < thread_count (source); i++)
    {
      const struct galena_upstream_stats *stats = find_upstream (
          collector_report (source->collector, i), (uint32_t)row->upstream);
      if (stats == NULL)
        continue;
      if (stats->suspect || strcmp (row->reach, "unused") == 0)
        set_text (row->reach, stats->suspect ? "suspect" : "ok");
      if (stats->wait_ms > row->wait_ms)
        row->wait_ms = stats->wait_ms;
      row->opens += stats->opens;
      row->accepted += stats->accepted;
      row->refused += stats->refused;
      row->unanswered += stats->unanswered;
    }
}

static bool
read_upstream (const struct view_source *source, struct view_cursor *cursor,
               struct galena_operator_row *row)
{
  struct galena_upstream_row *upstream_row = &row->as.upstream;
  const struct galena_upstream *upstream;

  if (cursor->position >= galena_config_upstream_count (source->config))
    return false;
  upstream
      = galena_config_upstream (source->config, (uint32_t)cursor->position++);
  upstream_row->upstream = upstream->number;
  set_text (upstream_row->service,
            galena_config_service (source->config, upstream->service)->name);
  set_text (upstream_row->host, upstream->host);
  set_text (upstream_row->zone, upstream->zone);
  set_address (upstream_row->agent, upstream->agent);
  set_text (upstream_row->state, state_name (upstream->state));
  upstream_row->weight = upstream->weight;
  upstream_row->slots = upstream->slots;
  upstream_row->connections = upstream->connections;
  add_upstream_stats (source, upstream_row);
  return true;
}

static const struct galena_kind_stats *
find_kind (const struct galena_report *report, uint32_t service, uint16_t kind)
{
  for (uint32_t i = 0; i < report->kind_count; i++)
    if (report->kinds[i].service == service && report->kinds[i].kind == kind)
      return &report->kinds[i];
  return NULL;
}

static void
add_kind_stats (struct galena_kind_row *row,
                const struct galena_kind_stats *stats)
{
  if (stats->overloaded)
    set_text (row->overload, "yes");
  row->opens += stats->values[GALENA_KIND_OPENS];
  row->accepted += stats->values[GALENA_KIND_ACCEPTED];
  row->requests += stats->values[GALENA_KIND_REQUESTS];
  row->queued += stats->queued;
  row->running += stats->running;
  row->answered += stats->values[GALENA_KIND_ANSWERED];
  row->refused += stats->values[GALENA_KIND_REFUSED];
  row->overloads += stats->values[GALENA_KIND_OVERLOADS];
  row->unknown += stats->values[GALENA_KIND_UNKNOWN];
}

/* Fills in ROW with the sums over all threads that have statistics of the kind
   of work; false when none has.  */
static bool
sum_kind (const struct view_source *source, uint32_t service, uint16_t kind,
          struct galena_kind_row *row)
{
  struct galena_latency latency = { { 0 } };
  bool seen = false;

  for (uint32_t i = 0; i < thread_count (source); i++)
    {
      const struct galena_kind_stats *stats
          = find_kind (collector_report (source->collector, i), service, kind);
      if (stats == NULL)
        continue;
      add_kind_stats (row, stats);
      galena_latency_merge (&latency, &stats->latency);
      seen = true;
    }
  row->p50_ms = galena_latency_percentile (&latency, 50);
  row->p99_ms = galena_latency_percentile (&latency, 99);
  return seen;
}

static bool
read_kind (const struct view_source *source, struct view_cursor *cursor,
           struct galena_operator_row *row)
{
  uint64_t end = (uint64_t)galena_config_service_count (source->config)
                 * GALENA_KINDS_MAX;

  while (cursor->position < end)
    {
      const struct galena_service *service = galena_config_service (
          source->config, (uint32_t)(cursor->position / GALENA_KINDS_MAX));
      uint32_t index = (uint32_t)(cursor->position++ % GALENA_KINDS_MAX);

      if (index >= service->kind_count)
        continue;
      set_text (row->as.kind.service, service->name);
      set_text (row->as.kind.kind, service->kinds[index].name);
      set_text (row->as.kind.overload, "no");
      if (sum_kind (source, service->number, service->kinds[index].number,
                    &row->as.kind))
        return true;
    }
  return false;
}

static bool
read_audit (const struct view_source *source, struct view_cursor *cursor,
            struct galena_operator_row *row)
{
  const struct galena_audit_row *event = galena_audit_find (
      collector_audit (source->collector), cursor->position + 1);

  if (event == NULL)
    return false;
  cursor->position = event->sequence;
  row->as.event.sequence = event->sequence;
  row->as.event.age_ms
      = (uint64_t)galena_clock_elapsed_ms (event->at, source->now);
  set_text (row->as.event.event, galena_audit_event_name (event->event));
  row->as.event.service = event->service;
  row->as.event.upstream = event->upstream;
  row->as.event.kind = event->kind;
  row->as.event.generation = event->generation;
  set_text (row->as.event.result, galena_result_name (event->result));
  return true;
}

/* Function that fills in the rows of each view.  The number of a view is the
   type of its rows.  */
static view_reader *const READERS[GALENA_ROW_TYPE_END] = {
  [GALENA_ROW_STATUS] = read_status,
  [GALENA_ROW_COUNTER] = read_counter,
  [GALENA_ROW_GENERATION] = read_generation,
  [GALENA_ROW_UPSTREAM] = read_upstream,
  [GALENA_ROW_KIND] = read_kind,
  [GALENA_ROW_AUDIT] = read_audit,
};

bool
view_exists (uint64_t view)
{
  return view < GALENA_ROW_TYPE_END && READERS[view] != NULL;
}

bool
view_next (const struct view_source *source, struct view_cursor *cursor,
           struct galena_operator_row *row)
{
  memset (row, 0, sizeof *row);
  row->type = (enum galena_operator_type)cursor->view;
  return READERS[cursor->view](source, cursor, row);
}
