/* The link of an entry: what it leaves to bulk data, and whether the entry
   should stay in rotation.

   Packets that are full of data give way to all others before the link itself
   would drop some of each.  An entry whose link is nearly full steps aside
   while stronger entries of its availability zone are there.

   Routers go on with all entries of a zone when fewer than half of them are in
   rotation, so at least half must stay.  The stronger half never steps aside:
   an entry needs that many stronger ones in rotation, so entries that decide
   at the same time can't leave too few.  */

#include "entry_tables.h"

enum
{
  /* Share of the link, in percent, from which on queues of packets grow: a
     burst lasts longer than routers take to notice.  */
  FULL_PERCENT = 70,
  /* Part of a new sample in the mean of the rate: one in so many, half a
     second.  */
  RATE_SHARE = 5,
  /* An entry stays aside for as long as a burst lasts; twice as long, up to
     the most, when its link was full again soon after.  */
  ASIDE_MIN_MS = 5000,
  ASIDE_MAX_MS = 40000,
  SOON_MS = 10000,
  /* An entry counts as in rotation while it was heard this lately: three
     hellos.  */
  MATE_HEARD_MS = 1500,
  PERCENT = 100,
  BITS = 8,
  /* Bulk data gets what others leave of so many percent of the link, and what
     was left in so many milliseconds before; the rest is for bursts.  */
  BULK_PERCENT = 90,
  BULK_SAVED_MS = 50
};

/* Entries of the own zone.  */
struct mates
{
  /* All that are remembered, this one too.  */
  uint32_t all;
  /* In rotation with a stronger link.  */
  uint32_t stronger;
};

static bool
is_stronger (const struct galena_plane *plane, const struct member *member)
{
  const struct galena_plane_options *self = &plane->options;

  if (member->state.link_kbps != self->link_kbps)
    return member->state.link_kbps > self->link_kbps;
  return member->address.ip < self->self.ip;
}

static struct mates
count_mates (const struct galena_plane *plane)
{
  struct mates mates = { 1, 0 };
  const struct member *member;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((member = galena_table_next (plane->members, &cursor, &handle))
         != NULL)
    {
      if (member->state.zone != plane->options.zone)
        continue;
      mates.all++;
      mates.stronger += member->state.ready && is_stronger (plane, member)
                        && galena_clock_elapsed_ms (member->heard, plane->now)
                               < MATE_HEARD_MS;
    }
  return mates;
}

/* Tells whether enough entries of the zone stay in rotation without this
   one.  */
static bool
is_spare (const struct galena_plane *plane)
{
  struct mates mates = count_mates (plane);

  return mates.stronger * 2 >= mates.all && mates.stronger > 0;
}

/* Returns the share of the link that is used, in percent.  */
static uint32_t
measure_percent (struct galena_plane *plane)
{
  struct capacity *capacity = &plane->entry->capacity;
  int64_t ms = galena_clock_elapsed_ms (capacity->measured, plane->now);
  uint64_t in = plane->bytes_in - capacity->bytes_in;
  uint64_t out = plane->bytes_out - capacity->bytes_out;
  uint64_t bytes = in > out ? in : out;
  double kbps;

  capacity->bytes_in = plane->bytes_in;
  capacity->bytes_out = plane->bytes_out;
  capacity->measured = plane->now;
  if (ms <= 0)
    return 0;
  kbps = (double)bytes * BITS / (double)ms;
  capacity->kbps += (kbps - capacity->kbps) / RATE_SHARE;
  return (uint32_t)(capacity->kbps * PERCENT / plane->options.link_kbps);
}

static void
note_change (struct galena_plane *plane, enum galena_plane_event event,
             uint32_t percent)
{
  plane_note (plane, (struct galena_plane_note){
                         .event = event,
                         .version = plane->entry->version,
                         .age_ms = galena_clock_elapsed_ms (
                             plane->entry->capacity.changed, plane->now),
                         .detail = percent });
  plane->entry->capacity.changed = plane->now;
}

static void
step_aside (struct galena_plane *plane, uint32_t percent)
{
  struct capacity *capacity = &plane->entry->capacity;
  bool soon
      = capacity->aside_ms != 0
        && galena_clock_elapsed_ms (capacity->changed, plane->now) < SOON_MS;

  capacity->aside_ms = soon ? capacity->aside_ms * 2 : ASIDE_MIN_MS;
  if (capacity->aside_ms > ASIDE_MAX_MS)
    capacity->aside_ms = ASIDE_MAX_MS;
  note_change (plane, GALENA_EVENT_ASIDE, percent);
  capacity->aside = true;
}

void
entry_run_capacity (struct galena_plane *plane)
{
  struct capacity *capacity = &plane->entry->capacity;
  uint32_t percent;

  if (plane->options.link_kbps == 0)
    return;
  percent = measure_percent (plane);
  if (!capacity->aside)
    {
      if (percent >= FULL_PERCENT && is_spare (plane))
        step_aside (plane, percent);
      return;
    }
  if (is_spare (plane)
      && galena_clock_elapsed_ms (capacity->changed, plane->now)
             < capacity->aside_ms)
    return;
  note_change (plane, GALENA_EVENT_BACK, percent);
  capacity->aside = false;
}

void
entry_run_link (struct galena_plane *plane)
{
  struct link_room *link = &plane->entry->link;
  double per_ms
      = (double)plane->options.link_kbps / BITS * BULK_PERCENT / PERCENT;

  link->bytes
      += per_ms
         * (double)galena_clock_elapsed_ms (link->counted_at, plane->now);
  link->bytes -= (double)(plane->bytes_out - link->counted);
  if (link->bytes > per_ms * BULK_SAVED_MS)
    link->bytes = per_ms * BULK_SAVED_MS;
  link->counted = plane->bytes_out;
  link->counted_at = plane->now;
  link->bulk = 0;
}

bool
entry_admits_bulk (struct galena_plane *plane, uint32_t bytes)
{
  struct link_room *link = &plane->entry->link;

  if (plane->options.link_kbps == 0)
    return true;
  if (link->bytes < link->bulk)
    {
      plane_count (plane, GALENA_PLANE_SHED);
      return false;
    }
  link->bulk += bytes;
  return true;
}

bool
galena_plane_is_aside (const struct galena_plane *plane)
{
  return plane->entry != NULL && plane->entry->capacity.aside;
}
