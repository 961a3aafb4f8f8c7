/* The link of an entry: the rate limit of bulk data, and whether the entry
   should stay in rotation.

   Packets that are full of data are dropped first, before the link itself
   would drop packets of all kinds.  An entry whose link is nearly full leaves
   the rotation if its availability zone carries more without it; see
   rotation.h.  */

#include <galenaford/rotation.h>

#include "entry_tables.h"

enum
{
  /* Utilisation of the link in percent above which packet queues grow.  To
     leave the rotation then helps, since a burst lasts longer than routers
     take to notice it.  */
  FULL_PERCENT = 70,
  /* Moving average of the rate: a new sample has a weight of one in this many,
     so that the average covers about 500 ms.  */
  RATE_SMOOTHING = 5,
  /* How long an entry stays out of rotation: as long as a burst usually lasts.
     The time doubles, up to the maximum, when the link is full again less than
     REPEAT_WINDOW_MS after the last change.  */
  OUT_OF_ROTATION_MIN_MS = 5000,
  OUT_OF_ROTATION_MAX_MS = 40000,
  REPEAT_WINDOW_MS = 10000,
  /* An entry counts as in rotation if its last message is younger than three
     periods of hello.  */
  ZONE_PEER_ALIVE_MS = 1500,
  /* Maximum number of other entries of the zone that are considered.  */
  ZONE_PEERS_MAX = 64,
  PERCENT = 100,
  BITS_PER_BYTE = 8,
  /* Bulk data may use what other packets leave of 90 % of the link; the rest
     is reserved for bursts.  The token bucket holds at most what this rate
     gives in BULK_BURST_MS.  */
  BULK_PERCENT = 90,
  BULK_BURST_MS = 50
};

/* Returns whether MEMBER, an entry of the own zone, takes part in the
   decision. Slower entries that are out of rotation for the same reason do, so
   that entries that decide at the same time come to the same result.  */
static bool
is_considered (const struct galena_plane *plane, const struct member *member)
{
  return (member->state.in_rotation
          || member->state.link_kbps < plane->options.link_kbps)
         && galena_clock_elapsed_ms (member->last_seen, plane->now)
                < ZONE_PEER_ALIVE_MS;
}

/* Returns whether the zone carries more without this entry.  */
static bool
can_leave_rotation (const struct galena_plane *plane)
{
  struct galena_rotation_row self
      = { plane->options.link_kbps, plane->options.self.ip };
  struct galena_rotation_row rows[ZONE_PEERS_MAX];
  const struct member *member;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint32_t count = 0;
  uint32_t all = 1;

  while (count < ZONE_PEERS_MAX
         && (member = galena_table_next (plane->members, &cursor, &handle))
                != NULL)
    {
      if (member->state.zone != plane->options.zone)
        continue;
      all++;
      if (is_considered (plane, member))
        rows[count++] = (struct galena_rotation_row){ member->state.link_kbps,
                                                      member->address.ip };
    }
  return galena_rotation_excludes (rows, count, self, all);
}

/* Measures the rate since the last call.  Returns the utilisation of the link
   in percent.  */
static uint32_t
measure_percent (struct galena_plane *plane)
{
  struct link_usage *link_usage = &plane->entry->link_usage;
  int64_t ms = galena_clock_elapsed_ms (link_usage->measured, plane->now);
  uint64_t in = plane->bytes_in - link_usage->bytes_in;
  uint64_t out = plane->bytes_out - link_usage->bytes_out;
  uint64_t bytes = in > out ? in : out;
  double kbps;

  link_usage->bytes_in = plane->bytes_in;
  link_usage->bytes_out = plane->bytes_out;
  link_usage->measured = plane->now;
  if (ms <= 0)
    return 0;
  kbps = (double)bytes * BITS_PER_BYTE / (double)ms;
  link_usage->kbps += (kbps - link_usage->kbps) / RATE_SMOOTHING;
  return (uint32_t)(link_usage->kbps * PERCENT / plane->options.link_kbps);
}

static void
log_change (struct galena_plane *plane, enum galena_plane_event event,
            uint32_t percent)
{
  plane_log_event (plane,
                   (struct galena_plane_logged_event){
                       .event = event,
                       .version = plane->entry->version,
                       .age_ms = galena_clock_elapsed_ms (
                           plane->entry->link_usage.changed, plane->now),
                       .detail = percent });
  plane->entry->link_usage.changed = plane->now;
}

static void
leave_rotation (struct galena_plane *plane, uint32_t percent)
{
  struct link_usage *link_usage = &plane->entry->link_usage;
  bool repeated = link_usage->out_of_rotation_ms != 0
                  && galena_clock_elapsed_ms (link_usage->changed, plane->now)
                         < REPEAT_WINDOW_MS;

  link_usage->out_of_rotation_ms
      = repeated ? link_usage->out_of_rotation_ms * 2 : OUT_OF_ROTATION_MIN_MS;
  if (link_usage->out_of_rotation_ms > OUT_OF_ROTATION_MAX_MS)
    link_usage->out_of_rotation_ms = OUT_OF_ROTATION_MAX_MS;
  log_change (plane, GALENA_EVENT_OUT_OF_ROTATION, percent);
  link_usage->out_of_rotation = true;
}

void
entry_run_capacity (struct galena_plane *plane)
{
  struct link_usage *link_usage = &plane->entry->link_usage;
  uint32_t percent;

  if (plane->options.link_kbps == 0)
    return;
  percent = measure_percent (plane);
  if (!link_usage->out_of_rotation)
    {
      if (percent >= FULL_PERCENT && can_leave_rotation (plane))
        leave_rotation (plane, percent);
      return;
    }
  if (can_leave_rotation (plane)
      && galena_clock_elapsed_ms (link_usage->changed, plane->now)
             < link_usage->out_of_rotation_ms)
    return;
  log_change (plane, GALENA_EVENT_IN_ROTATION, percent);
  link_usage->out_of_rotation = false;
}

void
entry_run_bulk_refill (struct galena_plane *plane)
{
  struct bulk_bucket *bucket = &plane->entry->bulk_bucket;
  double bytes_per_ms = (double)plane->options.link_kbps / BITS_PER_BYTE
                        * BULK_PERCENT / PERCENT;

  bucket->tokens
      += bytes_per_ms
         * (double)galena_clock_elapsed_ms (bucket->counted_at, plane->now);
  bucket->tokens -= (double)(plane->bytes_out - bucket->counted_bytes);
  if (bucket->tokens > bytes_per_ms * BULK_BURST_MS)
    bucket->tokens = bytes_per_ms * BULK_BURST_MS;
  bucket->counted_bytes = plane->bytes_out;
  bucket->counted_at = plane->now;
  bucket->bulk_bytes = 0;
}

/* Returns whether the caller of FLOW's request no longer waits for an answer.
   Load pattern: a burst of uploads through a link that can't carry all of
   them.  */
static bool
is_given_up (const struct galena_plane *plane, const struct entry_flow *flow)
{
  return flow->work.timeout_ms > 0
         && galena_clock_elapsed_ms (flow->request_began, plane->now)
                > flow->work.timeout_ms;
}

bool
entry_admits_bulk (struct galena_plane *plane, const struct entry_flow *flow,
                   uint32_t bytes)
{
  struct bulk_bucket *bucket = &plane->entry->bulk_bucket;

  if (plane->options.load_control && is_given_up (plane, flow))
    {
      plane_count (plane, GALENA_PLANE_TOO_LATE);
      return false;
    }
  if (plane->options.link_kbps == 0)
    return true;
  if (bucket->tokens < bucket->bulk_bytes)
    {
      plane_count (plane, GALENA_PLANE_SHED);
      return false;
    }
  bucket->bulk_bytes += bytes;
  return true;
}

bool
galena_plane_is_out_of_rotation (const struct galena_plane *plane)
{
  return plane->entry != NULL && plane->entry->link_usage.out_of_rotation;
}
