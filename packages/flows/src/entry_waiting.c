/* The order in which an entry sends opens that wait until an upstream of their
   service is free.

   A run counts the waiting opens by service and caller, gives the first ones
   of each service to an order, and sends from it until all upstreams of the
   service are busy.  It takes a time in proportion to the number of waiting
   opens, whatever their order.  */

#include <stdlib.h>

#include "entry_waiting.h"

enum
{
  /* Factor and shift of a multiplicative hash to WAITING_CALLERS_MAX buckets,
     2 to the power of 13.  */
  HASH_FACTOR = 0x9E3779B1,
  HASH_SHIFT = 32 - 13,
  /* Longest time between runs, and the time that a run waits for further
     reports: agents send theirs at the same intervals of 25 ms.  */
  RUN_PERIOD_MS = 20,
  REPORT_DELAY_MS = 5,
  /* Opens of one service that are tried in a run although the upstreams that
     they may still go to are busy.  */
  BUSY_MAX = 8,
  /* A service has a backlog once its opens have waited without a break for
     this time: four intervals of reports, in which a short queue has passed.
     It ends when none has waited so long for BACKLOG_END_MS.  */
  BACKLOG_AFTER_MS = 100,
  BACKLOG_END_MS = 1000
};

enum galena_result
entry_waiting_create (struct galena_plane *plane)
{
  plane->entry->waiting = calloc (1, sizeof *plane->entry->waiting);
  return plane->entry->waiting != NULL ? GALENA_OK : GALENA_ERR_MEMORY;
}

static struct waiting_service *
find_service (struct entry_waiting *waiting, galena_service_key service)
{
  for (uint32_t i = 0; i < WAITING_SERVICES_MAX; i++)
    if (waiting->services[i].service == service)
      return &waiting->services[i];
  return NULL;
}

/* Returns the row of SERVICE, which is added if there is room.  */
static struct waiting_service *
find_or_add_service (struct entry_waiting *waiting, galena_service_key service)
{
  struct waiting_service *row = find_service (waiting, service);

  if (row == NULL)
    row = find_service (waiting, 0);
  if (row != NULL)
    row->service = service;
  return row;
}

/* Returns the row of the caller at IP; it has room, since there are more rows
   than waiting opens.  */
static struct waiting_caller *
find_caller (struct entry_waiting *waiting, uint32_t ip)
{
  uint32_t at = (ip * HASH_FACTOR) >> HASH_SHIFT;

  while (waiting->callers[at].run == waiting->run
         && waiting->callers[at].ip != ip)
    at = (at + 1) % WAITING_CALLERS_MAX;
  return &waiting->callers[at];
}

static void
count_caller (struct entry_waiting *waiting, uint32_t ip)
{
  struct waiting_caller *caller = find_caller (waiting, ip);

  if (caller->run != waiting->run)
    *caller = (struct waiting_caller){ .ip = ip, .run = waiting->run };
  caller->count++;
}

bool
entry_waiting_is_behind (const struct galena_plane *plane,
                         const struct entry_flow *flow)
{
  const struct waiting_service *row;

  if (plane->entry->waiting == NULL)
    return false;
  row = find_service (plane->entry->waiting, flow->service);
  return row != NULL && flow->service != 0 && row->waiting > 0;
}

/* Notes that the open of FLOW waits.  Returns the row of its service, NULL
   when there is no room for one.  */
static struct waiting_service *
note_waiting (struct galena_plane *plane, const struct entry_flow *flow)
{
  struct entry_waiting *waiting = plane->entry->waiting;
  struct waiting_service *row = find_or_add_service (waiting, flow->service);

  count_caller (waiting, flow->key.caller.ip);
  if (row == NULL)
    return NULL;
  if (row->since.ms == 0)
    row->since = plane->now;
  row->waiting++;
  return row;
}

static bool
is_empty (const struct entry_waiting *waiting)
{
  for (uint32_t i = 0; i < WAITING_SERVICES_MAX; i++)
    if (waiting->services[i].waiting > 0)
      return false;
  return true;
}

void
entry_waiting_wake (struct galena_plane *plane)
{
  struct entry_waiting *waiting = plane->entry->waiting;
  struct galena_clock due = galena_clock_add_ms (plane->now, REPORT_DELAY_MS);

  if (waiting != NULL && due.ms < waiting->due.ms && !is_empty (waiting))
    waiting->due = due;
}

static bool
has_backlog (const struct galena_plane *plane,
             const struct waiting_service *row)
{
  return !galena_clock_reached (plane->now, row->backlog_until);
}

bool
entry_waiting_has_backlog (const struct galena_plane *plane,
                           galena_service_key service)
{
  const struct waiting_service *row;

  if (plane->entry->waiting == NULL
      || galena_clock_reached (plane->now,
                               plane->entry->waiting->backlog_until))
    return false;
  row = find_service (plane->entry->waiting, service);
  return row != NULL && has_backlog (plane, row);
}

/* Begins a run.  Rows of services of which nothing waited in the last run
   become free.  */
static void
begin_run (const struct galena_plane *plane, struct entry_waiting *waiting)
{
  waiting->run++;
  waiting->count = 0;
  for (uint32_t i = 0; i < WAITING_SERVICES_MAX; i++)
    {
      struct waiting_service *row = &waiting->services[i];

      if (row->waiting == 0)
        row->since.ms = 0;
      if (row->waiting == 0 && !row->refusing && !has_backlog (plane, row))
        *row = (struct waiting_service){ 0 };
      row->waiting = 0;
      galena_open_order_clear (&row->order);
      galena_open_backlog_clear (&row->backlog);
    }
}

/* Collects the flows whose opens wait, and counts them by service and
   caller.  */
static void
collect (struct galena_plane *plane, struct entry_waiting *waiting)
{
  const struct opening_row *opening;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while (
      (opening = galena_table_next (plane->entry->openings, &cursor, &handle))
      != NULL)
    {
      const struct entry_flow *flow = entry_flow (plane, opening->flow);

      if (flow == NULL || !opening->deferred
          || entry_reject_given_up (plane, opening->flow))
        continue;
      waiting->flows[waiting->count++] = opening->flow;
      note_waiting (plane, flow);
    }
}

static struct galena_open_row
row_of (const struct galena_plane *plane, struct galena_handle handle,
        const struct entry_flow *flow, const struct waiting_service *row)
{
  return (struct galena_open_row){
    .handle = handle,
    .kind = flow->work.kind < GALENA_WORK_KIND_COUNT ? flow->work.kind
                                                     : GALENA_WORK_UNKNOWN,
    .priority = flow->work.priority,
    .late = galena_open_is_late (&flow->work, flow->began, plane->now,
                                 row->estimate.wait_us),
    .caller_waiting
    = find_caller (plane->entry->waiting, flow->key.caller.ip)->count,
    .first = flow->began,
  };
}

/* Gives the waiting opens to the orders of their services.  Those of services
   without an order are tried at once.  */
static void
put_in_order (struct galena_plane *plane, struct entry_waiting *waiting)
{
  for (uint32_t i = 0; i < waiting->count; i++)
    {
      const struct entry_flow *flow = entry_flow (plane, waiting->flows[i]);
      struct waiting_service *row = find_service (waiting, flow->service);
      struct galena_open_row open;

      if (row == NULL)
        {
          entry_open_try (plane, waiting->flows[i]);
          continue;
        }
      open = row_of (plane, waiting->flows[i], flow, row);
      /* How many are before it is judged once, when it arrives.  */
      if (entry_reject_hopeless (plane, row, &open, 0))
        {
          row->waiting--;
          continue;
        }
      galena_open_order_add (&row->order, &open);
      galena_open_backlog_add (&row->backlog, &open);
    }
}

/* Sends the first opens of the service in ROW until its upstreams are busy. */
static void
send_in_order (struct galena_plane *plane, struct waiting_service *row)
{
  const struct galena_open_row *open;
  uint32_t busy = 0;

  while (busy < BUSY_MAX
         && (open = galena_open_order_first (&row->order)) != NULL)
    {
      const struct entry_flow *flow = entry_flow (plane, open->handle);
      bool is_new = flow->attempt_count == 0;
      enum choice_outcome outcome = entry_open_try (plane, open->handle);

      if (outcome == CHOICE_BUSY && is_new)
        return;
      busy += outcome == CHOICE_BUSY;
      if (outcome != CHOICE_BUSY)
        {
          row->waiting--;
          galena_open_backlog_remove (&row->backlog, open);
        }
      row->sent += outcome == CHOICE_MADE;
      galena_open_order_take (&row->order, outcome == CHOICE_MADE);
    }
}

void
entry_waiting_arrived (struct galena_plane *plane, struct galena_handle handle)
{
  const struct entry_flow *flow = entry_flow (plane, handle);
  struct waiting_service *row;
  struct galena_open_row open;

  if (plane->entry->waiting == NULL)
    return;
  row = note_waiting (plane, flow);
  if (row == NULL)
    return;
  open = row_of (plane, handle, flow, row);
  if (entry_reject_hopeless (plane, row, &open,
                             galena_open_backlog_ahead (&row->backlog, &open)))
    row->waiting--;
  else
    galena_open_backlog_add (&row->backlog, &open);
}

/* Updates what is known of the upstreams of the service in ROW.  */
static void
update_service (struct galena_plane *plane, struct waiting_service *row)
{
  if (row->waiting > 0
      && galena_clock_elapsed_ms (row->since, plane->now) >= BACKLOG_AFTER_MS)
    {
      row->backlog_until = galena_clock_add_ms (plane->now, BACKLOG_END_MS);
      plane->entry->waiting->backlog_until = row->backlog_until;
    }
  if (row->waiting > 0)
    {
      row->estimate = entry_estimate (plane, row->service);
      entry_reject_measure (plane, row);
    }
  entry_reject_end (plane, row);
}

void
entry_run_waiting (struct galena_plane *plane)
{
  struct entry_waiting *waiting = plane->entry->waiting;

  if (waiting == NULL || !galena_clock_reached (plane->now, waiting->due))
    return;
  waiting->due = galena_clock_add_ms (plane->now, RUN_PERIOD_MS);
  begin_run (plane, waiting);
  collect (plane, waiting);
  for (uint32_t i = 0; i < WAITING_SERVICES_MAX; i++)
    update_service (plane, &waiting->services[i]);
  put_in_order (plane, waiting);
  for (uint32_t i = 0; i < WAITING_SERVICES_MAX; i++)
    send_in_order (plane, &waiting->services[i]);
}
