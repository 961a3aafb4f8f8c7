/* Upstreams that warm up, at an entry: it sends each of them its own share of
   the limit, so that agents seldom have to refuse.  */

#include <galenaford/warm_up.h>

#include "entry_tables.h"

enum
{
  /* After an agent has refused an open because its upstream warms up, no open
     is sent there for this time: a fifth of the second over which it counts.
     Until then most of its window is still full.  */
  HELD_MS = 200
};

uint32_t
entry_warm_up_left_ms (const struct galena_plane *plane,
                       const struct upstream_row *upstream)
{
  int64_t left = galena_clock_elapsed_ms (plane->now, upstream->warmed_up_at);

  if (left <= 0 || upstream->published_state == GALENA_PUBLISHED_ABSENT)
    return 0;
  return left < UINT32_MAX ? (uint32_t)left : UINT32_MAX;
}

/* Returns the limit of UPSTREAM over all entries; 0 for none.  */
static uint32_t
limit_of (const struct galena_plane *plane,
          const struct upstream_row *upstream)
{
  if (entry_warm_up_left_ms (plane, upstream) == 0)
    return 0;
  return galena_warm_up_limit (&plane->options, upstream->warm_up_per_s);
}

/* Returns the number of live entries, which is counted once a tick.  */
static uint32_t
live_entries (const struct galena_plane *plane)
{
  struct entry_tables *entry = plane->entry;

  if (entry->live_counted_at.ms != plane->now.ms)
    entry->live_entries = 1 + members_live_count (plane);
  entry->live_counted_at = plane->now;
  return entry->live_entries;
}

bool
entry_is_warming_up (const struct galena_plane *plane,
                     const struct upstream_row *upstream)
{
  uint32_t limit = limit_of (plane, upstream);
  struct galena_rate_window *window;

  if (!galena_clock_reached (plane->now, upstream->warm_up_held_until))
    return true;
  if (limit == 0)
    return false;
  window = galena_table_get (plane->entry->warm_ups, upstream->warm_up);
  return window != NULL
         && galena_rate_window_count (window, plane->now)
                >= galena_warm_up_share (limit, live_entries (plane));
}

void
entry_warm_up_note_open (struct galena_plane *plane,
                         struct upstream_row *upstream)
{
  struct galena_rate_window *window;

  if (limit_of (plane, upstream) == 0)
    return;
  window = galena_table_get (plane->entry->warm_ups, upstream->warm_up);
  if (window == NULL)
    window = galena_table_insert (plane->entry->warm_ups, &upstream->warm_up);
  /* In a full table the agent alone holds to the limit.  */
  if (window != NULL)
    galena_rate_window_add (window, plane->now);
}

void
entry_warm_up_note_refusal (struct galena_plane *plane,
                            struct upstream_row *upstream)
{
  upstream->warm_up_held_until = galena_clock_add_ms (plane->now, HELD_MS);
}

void
entry_warm_up_release (struct galena_plane *plane,
                       struct upstream_row *upstream)
{
  if (galena_handle_is_none (upstream->warm_up)
      || limit_of (plane, upstream) != 0)
    return;
  galena_table_remove (plane->entry->warm_ups, upstream->warm_up);
  upstream->warm_up = (struct galena_handle){ 0, 0 };
}

void
entry_warm_up_apply (struct galena_plane *plane, struct upstream_row *upstream,
                     const struct galena_published_upstream *published)
{
  upstream->warm_up_per_s
      = galena_directory_service_limits (plane->directory, published->service)
            .warm_up_per_s;
  /* A registration that stands in further directories does not begin its
     warm-up again.  */
  if (upstream->warm_up_known
      && upstream->warm_up_started == published->started_unix_ms
      && upstream->warm_up_sequence == published->sequence
      && upstream->warm_up_published_ms == published->warm_up_ms)
    return;
  upstream->warm_up_known = true;
  upstream->warm_up_started = published->started_unix_ms;
  upstream->warm_up_sequence = published->sequence;
  upstream->warm_up_published_ms = published->warm_up_ms;
  upstream->warmed_up_at
      = galena_clock_add_ms (plane->now, published->warm_up_ms);
}
