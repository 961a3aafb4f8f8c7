/* Ejection of outliers: the table of upstreams is judged several times a
   second by what their agents report.  */

#include <stdlib.h>

#include "entry_tables.h"

enum
{
  /* Reports that are older are not judged: a round of an agent's reports to 64
     entries takes 2 s.  */
  OUTCOMES_VALID_MS = 2500
};

static const enum galena_plane_counter EJECTION_COUNTERS[] = {
  [GALENA_OUTLIER_FAILING] = GALENA_PLANE_EJECTED_FAILING,
  [GALENA_OUTLIER_SLOW] = GALENA_PLANE_EJECTED_SLOW,
  [GALENA_OUTLIER_QUICK] = GALENA_PLANE_EJECTED_QUICK,
};

bool
entry_is_ejected (const struct galena_plane *plane,
                  const struct upstream_row *upstream)
{
  (void)plane;
  return galena_outlier_is_ejected (&upstream->outlier);
}

uint32_t
galena_plane_ejected_upstreams (const struct galena_plane *plane)
{
  return plane->entry == NULL ? 0 : plane->entry->ejected_count;
}

/* Returns the shortest aim of the routes to SERVICE; 0 when unknown.  */
static uint32_t
aim_of (const void *data, galena_service_key service)
{
  const struct galena_directory *directory = data;
  const struct galena_route *routes;
  uint32_t aim_ms = 0;
  uint32_t count;

  if (directory == NULL)
    return 0;
  routes = galena_directory_routes (directory, &count);
  for (uint32_t i = 0; i < count; i++)
    for (uint32_t j = 0; j < routes[i].share_count; j++)
      if (routes[i].shares[j].service == service && routes[i].work.aim_ms != 0
          && (aim_ms == 0 || routes[i].work.aim_ms < aim_ms))
        aim_ms = routes[i].work.aim_ms;
  return aim_ms;
}

static int
compare_services (const void *a, const void *b)
{
  const struct galena_outlier_row *x = a;
  const struct galena_outlier_row *y = b;

  return (x->service > y->service) - (x->service < y->service);
}

static void
log_change (struct galena_plane *plane, const struct upstream_row *upstream,
            const struct galena_outlier_row *row)
{
  bool ejected = row->change == GALENA_OUTLIER_EJECTED;

  plane_log_event (
      plane,
      (struct galena_plane_logged_event){
          .event = ejected ? GALENA_EVENT_EJECTED : GALENA_EVENT_REINSTATED,
          .agent = upstream->agent,
          .version = upstream->started_unix_ms,
          .age_ms = galena_clock_elapsed_ms (upstream->last_seen, plane->now),
          .detail = ejected ? (uint32_t)galena_clock_elapsed_ms (
                        plane->now, row->state.ejected_until)
                            : row->state.ejections,
          .outlier = { .reason = galena_outlier_reason_name (row->reason),
                       .finished = row->finished,
                       .failed = row->failed,
                       .service_us = row->service_us,
                       .median_us = row->median_us } });
}

/* Applies what was decided on ROW.  */
static void
apply_row (struct galena_plane *plane, const struct galena_outlier_row *row)
{
  struct upstream_row *upstream = entry_upstream (plane, row->handle);

  upstream->outlier = row->state;
  plane->entry->ejected_count += galena_outlier_is_ejected (&row->state);
  if (row->change == GALENA_OUTLIER_UNCHANGED)
    return;
  log_change (plane, upstream, row);
  if (row->change == GALENA_OUTLIER_EJECTED)
    {
      plane_count (plane, EJECTION_COUNTERS[row->reason]);
      return;
    }
  plane_count (plane, GALENA_PLANE_REINSTATED);
  entry_start_slowly (upstream, plane->now);
  /* What was reported during the ejection has been judged.  */
  upstream->outcomes_at = (struct galena_clock){ 0 };
}

/* Ends the ejection of an upstream that has been started again: what was seen
   of the earlier incarnation says nothing of it.  */
static void
forget_earlier_incarnation (struct galena_plane *plane,
                            struct upstream_row *upstream)
{
  uint64_t before = upstream->outlier_started_unix_ms;
  struct galena_outlier_row row = { .change = GALENA_OUTLIER_REINSTATED,
                                    .reason = GALENA_OUTLIER_STARTED_AGAIN };

  if (upstream->started_unix_ms == 0 || upstream->started_unix_ms == before)
    return;
  upstream->outlier_started_unix_ms = upstream->started_unix_ms;
  if (before == 0)
    return;
  if (galena_outlier_is_ejected (&upstream->outlier))
    {
      log_change (plane, upstream, &row);
      plane_count (plane, GALENA_PLANE_REINSTATED);
      entry_start_slowly (upstream, plane->now);
    }
  upstream->outlier = (struct galena_outlier_state){ 0 };
  upstream->outcomes_at = (struct galena_clock){ 0 };
}

static struct galena_outlier_row
make_row (const struct galena_plane *plane,
          const struct upstream_row *upstream, struct galena_handle handle)
{
  return (struct galena_outlier_row){
    .handle = handle,
    .service = entry_service_of (upstream),
    .answering = entry_is_ready (upstream) && upstream->outcomes_at.ms != 0
                 && galena_clock_elapsed_ms (upstream->outcomes_at, plane->now)
                        <= OUTCOMES_VALID_MS,
    .finished = upstream->load.finished,
    .failed = upstream->load.failed,
    .service_us = upstream->load.service_us,
    .state = upstream->outlier,
  };
}

void
entry_run_outliers (struct galena_plane *plane)
{
  struct entry_tables *entry = plane->entry;
  struct upstream_row *upstream;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint32_t count = 0;

  if (!plane->options.load_control
      || !galena_clock_reached (plane->now, entry->outliers_from))
    return;
  while ((upstream = galena_table_next (entry->upstreams, &cursor, &handle))
         != NULL)
    {
      forget_earlier_incarnation (plane, upstream);
      entry->outlier_rows[count++] = make_row (plane, upstream, handle);
    }
  qsort (entry->outlier_rows, count, sizeof *entry->outlier_rows,
         compare_services);
  galena_outlier_run (entry->outlier_rows, count, aim_of, plane->directory,
                      plane->now);
  entry->ejected_count = 0;
  for (uint32_t i = 0; i < count; i++)
    apply_row (plane, &entry->outlier_rows[i]);
}
