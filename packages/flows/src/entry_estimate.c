/* What an entry expects of the upstreams of a service, from the reports of
   their agents.  */

#include "entry_tables.h"

enum
{
  /* A report that is older confirms nothing: four periods of load reports.  */
  CONFIRMED_MS = 2000,
  /* An open and its reply take the way between entry and upstream twice, and
     so does the request that follows.  */
  HOPS = 2,
  US_PER_MS = 1000
};

static const double US_PER_S = 1e6;

static bool
is_confirmed (const struct galena_plane *plane,
              const struct upstream_row *upstream)
{
  return upstream->load.service_us > 0 && upstream->last_seen.ms != 0
         && galena_clock_elapsed_ms (upstream->last_seen, plane->now)
                <= CONFIRMED_MS;
}

/* Returns the time in microseconds in which UPSTREAM answers a request that is
   sent when it is nearly busy.  It may have more than its maximum of requests,
   since other entries send to it at the same time.  */
static double
answer_us (const struct upstream_row *upstream)
{
  double slots = upstream->slots > 0 ? upstream->slots : 1;
  double requests = (double)upstream->load.pending_requests
                    + upstream->unanswered_opens + 1;
  double turns = requests / slots;

  if (turns < ENTRY_ORDERED_REQUESTS_PER_SLOT)
    turns = ENTRY_ORDERED_REQUESTS_PER_SLOT;
  return upstream->load.service_us * turns;
}

struct galena_service_estimate
entry_estimate (const struct galena_plane *plane, galena_service_key service)
{
  struct galena_service_estimate estimate = { .confirmed = true };
  const struct upstream_row *upstream;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint32_t known = 0;

  while ((upstream
          = galena_table_next (plane->entry->upstreams, &cursor, &handle))
         != NULL)
    {
      if (!entry_is_ready (upstream) || entry_service_of (upstream) != service)
        continue;
      estimate.confirmed &= is_confirmed (plane, upstream);
      if (upstream->load.service_us == 0)
        continue;
      known++;
      estimate.wait_us += answer_us (upstream);
      estimate.per_s += entry_usable_slots (plane, upstream) * US_PER_S
                        / upstream->load.service_us;
    }
  estimate.confirmed &= known > 0;
  if (known > 0)
    estimate.wait_us = estimate.wait_us / known
                       + HOPS * plane->entry->mean_reply_ms * US_PER_MS;
  return estimate;
}
