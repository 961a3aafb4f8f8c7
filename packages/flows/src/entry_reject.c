/* Opens that an entry drops or refuses while they wait, and the rate at which
   it sends others.  */

#include "entry_waiting.h"

enum
{
  /* Opens of a service count as refused until none was for this time.  */
  REFUSING_MS = 1000,
  /* The rate of sends is measured in windows of this length.  It is valid once
     opens have waited for two of them, so that it is not the demand that was
     measured.  */
  WINDOW_MS = 500,
  MS_PER_S = 1000
};

bool
entry_reject_given_up (struct galena_plane *plane, struct galena_handle handle)
{
  struct entry_flow *flow = entry_flow (plane, handle);

  if (plane->entry->waiting == NULL
      || !galena_open_is_given_up (flow->began, plane->now))
    return false;
  plane_count_kind (plane, GALENA_PLANE_ABANDONED_UNKNOWN, flow->work.kind);
  /* An upstream that was sent the open may have accepted it.  */
  if (flow->attempt_count > 0)
    entry_opening_remove (plane, flow);
  else
    entry_flow_remove (plane, handle);
  return true;
}

/* Returns whether an upstream that was sent the open of FLOW may still accept
   it, or has accepted it.  */
static bool
may_be_accepted (const struct entry_flow *flow)
{
  for (uint32_t i = 0; i < flow->attempt_count; i++)
    if (!flow->attempts[i].refused)
      return true;
  return false;
}

static void
log_change (struct galena_plane *plane, struct waiting_service *row,
            struct galena_flow_key flow, uint32_t detail)
{
  struct galena_plane_logged_event event = {
    .event = row->refusing ? GALENA_EVENT_REFUSING : GALENA_EVENT_ADMITTING,
    .flow = flow,
    .version = plane->entry->version,
    .result = GALENA_REFUSED_DEADLINE,
    .age_ms = row->changed.ms == 0
                  ? -1
                  : galena_clock_elapsed_ms (row->changed, plane->now),
    .detail = detail,
  };

  plane_log_event (plane, event);
  row->changed = plane->now;
}

bool
entry_reject_hopeless (struct galena_plane *plane, struct waiting_service *row,
                       const struct galena_open_row *open, uint32_t ahead)
{
  const struct entry_flow *flow = entry_flow (plane, open->handle);

  /* A reset would end a flow that the caller may already use.  */
  if (may_be_accepted (flow)
      || !galena_open_is_hopeless (&flow->work, flow->began, plane->now,
                                   &row->estimate, row->per_s, ahead,
                                   row->refusing))
    return false;
  if (!row->refusing)
    {
      row->refusing = true;
      row->refused = 0;
      log_change (plane, row, flow->key, row->waiting);
    }
  row->refused++;
  row->refused_at = plane->now;
  plane_count_kind (plane, GALENA_PLANE_DEADLINE_UNKNOWN, flow->work.kind);
  entry_flow_reset (plane, open->handle, GALENA_REFUSED_DEADLINE);
  return true;
}

void
entry_reject_end (struct galena_plane *plane, struct waiting_service *row)
{
  if (!row->refusing
      || galena_clock_elapsed_ms (row->refused_at, plane->now) < REFUSING_MS)
    return;
  row->refusing = false;
  log_change (plane, row, (struct galena_flow_key){ 0 }, row->refused);
}

static uint32_t
greatest (uint32_t a, uint32_t b)
{
  return a > b ? a : b;
}

static void
end_window (const struct galena_plane *plane, struct waiting_service *row)
{
  if (galena_clock_elapsed_ms (row->window_began, plane->now) < WINDOW_MS)
    return;
  row->sent_before[1] = row->sent_before[0];
  row->sent_before[0] = row->sent;
  row->sent = 0;
  row->window_began = plane->now;
}

void
entry_reject_measure (const struct galena_plane *plane,
                      struct waiting_service *row)
{
  double share;

  end_window (plane, row);
  /* Nothing is faster than all upstreams for this entry alone.  */
  row->per_s = row->estimate.per_s;
  if (galena_clock_elapsed_ms (row->since, plane->now) < 2 * WINDOW_MS)
    return;
  share = row->estimate.per_s / (1 + members_live_count (plane));
  row->per_s = (double)greatest (row->sent_before[0], row->sent_before[1])
               * MS_PER_S / WINDOW_MS;
  if (row->per_s < share)
    row->per_s = share;
}
