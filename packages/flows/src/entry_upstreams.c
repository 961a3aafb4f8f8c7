/* The table of upstreams, and the reports of their agents.  */

#include "entry_waiting.h"

enum
{
  /* Time in which agents reply to an open; after it, the open or its reply
     counts as lost.  */
  REPLY_EXPECTED_MS = 250,
  /* An agent that left an open unanswered is suspect for this time, or until
     its next message.  */
  SUSPECT_MS = 1000,
  /* An upstream is gone when the platform has not published it for this time
     (one that is alive is published again within
     two seconds) ...  */
  GONE_ABSENT_MS = 2000,
  /* ... and no message of its agent has come for this time: four periods of
     its announcements, or longer where many entries share them.  */
  GONE_UNSEEN_MS = 2000,
  /* The agent of an upstream that has ended is away if it has not replied for
     this time: twice the interval of the first repeated queries.  */
  ENDED_UNSEEN_MS = 250,
  /* Queries to an agent that was not heard for this time, longer than the
     period of its announcements, may have been lost: those without an answer
     are repeated when it is heard again.  */
  AGENT_AWAY_MS = 600,
  /* The row of an upstream that is gone is kept for this time, since the
     oldest flows may still refer to it.  */
  REMOVE_AFTER_MS = 60000,
  /* Maximum number of hellos to agents per round.  */
  HELLOS_MAX = 16,
  /* Maximum number of agents that are told a new start or a change of their
     zone in one tick.  After a loss of all power their registrations come
     within some hundred milliseconds.  */
  DUE_HELLOS_MAX = 16
};

/* Share of the slots that is used when a slow start begins.  */
static const double SLOW_START_MIN_SHARE = 0.1;

struct upstream_row *
entry_upstream (const struct galena_plane *plane, struct galena_handle handle)
{
  return galena_table_get (plane->entry->upstreams, handle);
}

struct upstream_row *
entry_upstream_at (const struct galena_plane *plane, uint32_t ip,
                   struct galena_handle *handle)
{
  uint64_t packed;

  if (!galena_map_find (plane->entry->upstreams_by_ip, ip, &packed))
    return NULL;
  *handle = galena_handle_unpack (packed);
  return entry_upstream (plane, *handle);
}

galena_service_key
entry_service_of (const struct upstream_row *upstream)
{
  if (upstream->reported_service != 0)
    return upstream->reported_service;
  return upstream->published_service;
}

bool
entry_is_ready (const struct upstream_row *upstream)
{
  return upstream->published_state == GALENA_PUBLISHED_READY
         && !upstream->load.refuses_flows;
}

/* Returns the time without a message of an agent after which its upstream may
   count as gone: at least that of two announcements, one of which may be lost,
   and a period besides.  */
static int64_t
gone_unseen_ms (const struct galena_plane *plane)
{
  int64_t ms = 2 * members_report_interval_ms (plane) + PLANE_REPORT_PERIOD_MS;

  return ms > GONE_UNSEEN_MS ? ms : GONE_UNSEEN_MS;
}

bool
entry_is_gone (const struct galena_plane *plane,
               const struct upstream_row *upstream)
{
  return upstream->published_state == GALENA_PUBLISHED_ABSENT
         && galena_clock_elapsed_ms (upstream->absent_since, plane->now)
                >= GONE_ABSENT_MS
         && galena_clock_elapsed_ms (upstream->last_seen, plane->now)
                >= gone_unseen_ms (plane);
}

bool
entry_has_ended (const struct galena_plane *plane,
                 const struct upstream_row *upstream)
{
  return upstream->published_state == GALENA_PUBLISHED_ABSENT
         && upstream->ended
         && galena_clock_elapsed_ms (upstream->last_seen, plane->now)
                >= ENDED_UNSEEN_MS;
}

bool
entry_agent_is_away (const struct galena_plane *plane,
                     const struct upstream_row *upstream)
{
  return upstream->last_seen.ms == 0
         || galena_clock_elapsed_ms (upstream->last_seen, plane->now)
                > AGENT_AWAY_MS;
}

static void
remove_row (struct galena_plane *plane, const struct upstream_row *upstream,
            struct galena_handle handle)
{
  galena_map_remove (plane->entry->upstreams_by_ip, upstream->agent.ip);
  galena_table_remove (plane->entry->upstreams, handle);
}

struct upstream_row *
entry_upstream_add (struct galena_plane *plane, uint32_t ip,
                    struct galena_handle *handle)
{
  struct upstream_row *upstream
      = galena_table_insert (plane->entry->upstreams, handle);

  if (upstream == NULL)
    {
      plane_count (plane, GALENA_PLANE_TABLE_FULL);
      return NULL;
    }
  upstream->agent = (struct galena_endpoint){ ip, plane->options.self.port };
  upstream->absent_since = plane->now;
  galena_map_insert (plane->entry->upstreams_by_ip, ip,
                     galena_handle_pack (*handle));
  return upstream;
}

/* Returns whether MESSAGE carries all of a load report.  */
static bool
is_full_report (const struct galena_peer_message *message)
{
  return message->type == GALENA_PEER_LOAD
         || message->type == GALENA_PEER_OPENED
         || message->type == GALENA_PEER_REFUSED;
}

/* Applies the load in MESSAGE; what it does not carry stays as it was.  */
static void
apply_load (struct galena_plane *plane, struct upstream_row *upstream,
            const struct galena_peer_message *message)
{
  struct galena_load load = message->load;

  if (!is_full_report (message))
    {
      load = upstream->load;
      load.pending_requests = message->load.pending_requests;
      load.flows = message->load.flows;
      load.service_us = message->load.service_us;
      load.refuses_flows = message->load.refuses_flows;
    }
  else
    upstream->outcomes_at = plane->now;
  upstream->load = load;
  upstream->reported_at = plane->now;
}

struct upstream_row *
entry_update_from_agent (struct galena_plane *plane,
                         struct galena_endpoint peer,
                         const struct galena_peer_message *message,
                         struct galena_handle *handle)
{
  struct upstream_row *upstream = entry_upstream_at (plane, peer.ip, handle);

  if (upstream == NULL)
    upstream = entry_upstream_add (plane, peer.ip, handle);
  if (upstream == NULL)
    return NULL;
  if (!galena_clock_reached (plane->now, upstream->suspect_until))
    plane_log_event (plane, (struct galena_plane_logged_event){
                                .event = GALENA_EVENT_REACHABLE,
                                .agent = upstream->agent,
                                .age_ms = galena_clock_elapsed_ms (
                                    upstream->last_seen, plane->now) });
  if (entry_agent_is_away (plane, upstream)
      && (message->type == GALENA_PEER_LOAD
          || entry_search_is_collecting (plane)))
    entry_search_wake (plane, upstream);
  upstream->suspect_until = plane->now;
  upstream->last_seen = plane->now;
  upstream->listed = false;
  upstream->agent_started
      = galena_clock_add_ms (plane->now, -(int64_t)message->uptime_ms);
  entry_apply_report (plane, upstream, message->service,
                      message->upstream_port);
  apply_load (plane, upstream, message);
  entry_waiting_wake (plane);
  if (message->type == GALENA_PEER_LOAD)
    upstream->ended = message->sequence != 0;
  if (galena_clock_elapsed_ms (upstream->last_open_at, plane->now)
      > REPLY_EXPECTED_MS)
    upstream->unanswered_opens = 0;
  return upstream;
}

void
entry_note_open_sent (struct galena_plane *plane,
                      struct upstream_row *upstream)
{
  entry_warm_up_note_open (plane, upstream);
  upstream->unanswered_opens++;
  upstream->last_open_at = plane->now;
}

void
entry_note_open_reply (struct upstream_row *upstream)
{
  if (upstream->unanswered_opens > 0)
    upstream->unanswered_opens--;
}

void
entry_start_slowly (struct upstream_row *upstream, struct galena_clock from)
{
  upstream->slow_start_until = galena_clock_add_ms (from, ENTRY_SLOW_START_MS);
}

double
entry_usable_slots (const struct galena_plane *plane,
                    const struct upstream_row *upstream)
{
  int64_t left_ms
      = galena_clock_elapsed_ms (plane->now, upstream->slow_start_until);
  double share = 1 - (double)left_ms / ENTRY_SLOW_START_MS;

  if (left_ms <= 0)
    return upstream->slots;
  return upstream->slots
         * (share > SLOW_START_MIN_SHARE ? share : SLOW_START_MIN_SHARE);
}

void
entry_suspect (struct galena_plane *plane, struct galena_handle handle)
{
  struct upstream_row *upstream = entry_upstream (plane, handle);

  if (upstream == NULL)
    return;
  if (galena_clock_reached (plane->now, upstream->suspect_until))
    plane_log_event (plane,
                     (struct galena_plane_logged_event){
                         .event = GALENA_EVENT_SUSPECT,
                         .agent = upstream->agent,
                         .age_ms = upstream->last_seen.ms == 0
                                       ? -1
                                       : galena_clock_elapsed_ms (
                                           upstream->last_seen, plane->now) });
  upstream->suspect_until = galena_clock_add_ms (plane->now, SUSPECT_MS);
}

/* Returns whether the agent of UPSTREAM may not know its last start.  */
static bool
is_start_untold (const struct upstream_row *upstream)
{
  return upstream->published_state != GALENA_PUBLISHED_ABSENT
         && upstream->newest_start_unix_ms != upstream->told_start_unix_ms;
}

/* Notes that the agent of UPSTREAM is told of its last start and of its zone.
   It knows its flows once it has read this.  */
static void
note_told (struct galena_plane *plane, struct upstream_row *upstream)
{
  if (is_start_untold (upstream))
    {
      upstream->unsure_until = plane->now;
      entry_search_wake (plane, upstream);
    }
  upstream->told_start_unix_ms = upstream->newest_start_unix_ms;
  upstream->zone_untold = false;
}

void
entry_send_hello (struct galena_plane *plane, struct upstream_row *upstream)
{
  struct galena_peer_message hello = { .type = GALENA_PEER_HELLO };

  hello.service = upstream->published_service;
  hello.upstream_port = upstream->published_port;
  hello.slots = upstream->slots;
  hello.published_state = upstream->published_state;
  hello.started_unix_ms = upstream->rivals == 0
                              ? upstream->started_unix_ms
                              : upstream->newest_start_unix_ms;
  hello.sequence = upstream->rivals;
  hello.start_known_ms = (uint32_t)galena_clock_elapsed_ms (
      upstream->start_known_since, plane->now);
  hello.zone_state = upstream->zone_state;
  hello.warm_up_ms = entry_warm_up_left_ms (plane, upstream);
  hello.warm_up_per_s = upstream->warm_up_per_s;
  plane_send_message (plane, upstream->agent, &hello);
  note_told (plane, upstream);
}

void
entry_run_due_hellos (struct galena_plane *plane)
{
  struct entry_tables *entry = plane->entry;
  struct upstream_row *upstream;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint32_t left = DUE_HELLOS_MAX;

  if (!entry->hellos_due)
    return;
  while (left > 0
         && (upstream = galena_table_next (entry->upstreams, &cursor, &handle))
                != NULL)
    if (upstream->zone_untold || is_start_untold (upstream))
      {
        entry_send_hello (plane, upstream);
        left--;
      }
  entry->hellos_due = left == 0;
  plane->tick_again |= entry->hellos_due;
}

void
entry_run_hello (struct galena_plane *plane)
{
  struct entry_tables *entry = plane->entry;
  uint32_t left = galena_table_count (entry->upstreams);

  if (left > HELLOS_MAX)
    left = HELLOS_MAX;
  while (left > 0)
    {
      struct galena_handle handle;
      struct upstream_row *upstream = galena_table_next (
          entry->upstreams, &entry->hello_cursor, &handle);

      if (upstream == NULL)
        {
          entry->hello_cursor = 0;
          continue;
        }
      left--;
      entry_warm_up_release (plane, upstream);
      if (!entry_is_gone (plane, upstream))
        {
          entry_send_hello (plane, upstream);
          continue;
        }
      /* Another instance may have got its address.  */
      upstream->listed = false;
      entry_apply_report (plane, upstream, 0, 0);
      if (galena_clock_elapsed_ms (upstream->absent_since, plane->now)
              > REMOVE_AFTER_MS
          && galena_clock_elapsed_ms (upstream->last_seen, plane->now)
                 > REMOVE_AFTER_MS)
        remove_row (plane, upstream, handle);
    }
}
