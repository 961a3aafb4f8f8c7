/* Opening of flows: an open is sent to one upstream, and to another one when
   that refuses it or times out.  */

#include <string.h>

#include "entry_waiting.h"

enum
{
  /* An open without a reply is sent to another upstream after this time: forty
     times the latency between two availability zones, and before the caller's
     first retransmission.  */
  OPEN_TIMEOUT_MS = 60,
  /* Where replies take longer, the timeout is TIMEOUT_FACTOR times their
     average time, up to this maximum, which is still before the caller's first
     retransmission.  */
  OPEN_TIMEOUT_MAX_MS = 180,
  TIMEOUT_FACTOR = 4,
  /* Moving average of the reply time: a new sample has a weight of one in this
     many.  */
  REPLY_SMOOTHING = 8,
  /* Moving average of the reply time of a zone, which stands for the way
     there: the clock counts whole milliseconds, so more samples are needed.
     Longer replies are those of upstreams that are late to accept.  */
  WAY_SMOOTHING = 32,
  WAY_MAX_MS = 20
};

/* Buffers PACKET for retransmission; returns false when it is too long or the
   table is full.  */
static bool
buffer_open (struct galena_plane *plane, struct entry_flow *flow,
             struct galena_handle handle, const struct galena_packet *packet)
{
  struct opening_row *opening;

  if (packet->size > GALENA_OPEN_PACKET_BYTES)
    return false;
  opening = galena_table_insert (plane->entry->openings, &flow->opening);
  if (opening == NULL)
    {
      plane_count (plane, GALENA_PLANE_TABLE_FULL);
      return false;
    }
  opening->flow = handle;
  opening->size = packet->size;
  memcpy (opening->bytes, packet->bytes, packet->size);
  return true;
}

void
entry_opening_remove (struct galena_plane *plane, struct entry_flow *flow)
{
  if (!galena_handle_is_none (flow->opening))
    galena_table_remove (plane->entry->openings, flow->opening);
  flow->opening = (struct galena_handle){ 0, 0 };
}

/* Sends the buffered open of FLOW to the upstream that HANDLE names.  */
static void
send_open (struct galena_plane *plane, const struct entry_flow *flow,
           struct galena_handle handle)
{
  struct opening_row *opening
      = galena_table_get (plane->entry->openings, flow->opening);

  if (opening == NULL)
    return;
  entry_flow_send_copy (plane, flow, handle, GALENA_PEER_OPEN, opening->bytes,
                        opening->size);
  opening->sent = plane->now;
}

/* Chooses an upstream that the open of FLOW was not sent to yet.  */
static enum choice_outcome
choose_next (struct galena_plane *plane, const struct entry_flow *flow,
             struct choice *choice)
{
  if (flow->attempt_count == ENTRY_ATTEMPTS_MAX)
    return CHOICE_NONE;
  return entry_choose (plane, flow, choice);
}

static struct open_attempt *
find_attempt (struct entry_flow *flow, struct galena_handle upstream)
{
  for (uint32_t i = 0; i < flow->attempt_count; i++)
    if (galena_handle_pack (flow->attempts[i].upstream)
        == galena_handle_pack (upstream))
      return &flow->attempts[i];
  return NULL;
}

/* Records an attempt to open FLOW at the upstream of CHOICE.  */
static void
add_attempt (struct galena_plane *plane, struct entry_flow *flow,
             const struct choice *choice)
{
  struct open_attempt *before = find_attempt (flow, choice->upstream);

  if (flow->attempt_count > 0)
    plane_count (plane, GALENA_PLANE_RETRIED);
  flow->alternative_us = choice->alternative_us;
  if (before == NULL)
    flow->attempts[flow->attempt_count++]
        = (struct open_attempt){ .upstream = choice->upstream };
  else
    {
      /* It handed the flow back, and no other upstream may be chosen.  */
      before->refused = false;
      flow->alternative_us = UINT32_MAX;
    }
  flow->owner = choice->upstream;
  entry_note_open_sent (plane, entry_upstream (plane, choice->upstream));
}

/* Sends the open of FLOW to an upstream that it was not sent to yet, or defers
   it while all of these are busy.  Returns false when there is none.  */
static bool
attempt_next (struct galena_plane *plane, struct entry_flow *flow)
{
  struct opening_row *opening
      = galena_table_get (plane->entry->openings, flow->opening);
  enum choice_outcome outcome;
  struct choice choice;

  if (opening == NULL)
    return false;
  outcome = choose_next (plane, flow, &choice);
  opening->deferred = outcome == CHOICE_BUSY;
  if (outcome != CHOICE_MADE)
    return outcome == CHOICE_BUSY;
  add_attempt (plane, flow, &choice);
  send_open (plane, flow, choice.upstream);
  return true;
}

/* Same for a new open, which waits too if others of its service do.  */
static bool
attempt_first (struct galena_plane *plane, struct entry_flow *flow,
               struct galena_handle handle)
{
  struct opening_row *opening
      = galena_table_get (plane->entry->openings, flow->opening);

  opening->deferred = entry_waiting_is_behind (plane, flow);
  if (!opening->deferred && !attempt_next (plane, flow))
    return false;
  if (opening->deferred)
    entry_waiting_arrived (plane, handle);
  return true;
}

/* Adds the time until UPSTREAM replied to the open of FLOW to the average.  */
static void
note_reply_time (struct galena_plane *plane, const struct entry_flow *flow,
                 struct galena_handle upstream)
{
  const struct opening_row *opening
      = galena_table_get (plane->entry->openings, flow->opening);
  const struct upstream_row *row = entry_upstream (plane, upstream);
  double *mean = &plane->entry->mean_reply_ms;
  double ms;

  if (opening == NULL
      || galena_handle_pack (flow->owner) != galena_handle_pack (upstream))
    return;
  ms = (double)galena_clock_elapsed_ms (opening->sent, plane->now);
  *mean += (ms - *mean) / REPLY_SMOOTHING;
  if (row == NULL || ms > WAY_MAX_MS)
    return;
  mean = row->zone == plane->options.zone ? &plane->entry->own_zone_ms
                                          : &plane->entry->other_zone_ms;
  *mean += (ms - *mean) / WAY_SMOOTHING;
}

static int64_t
open_timeout_ms (const struct galena_plane *plane)
{
  int64_t ms = (int64_t)(plane->entry->mean_reply_ms * TIMEOUT_FACTOR);

  if (ms < OPEN_TIMEOUT_MS)
    return OPEN_TIMEOUT_MS;
  return ms < OPEN_TIMEOUT_MAX_MS ? ms : OPEN_TIMEOUT_MAX_MS;
}

/* Returns whether an upstream has accepted FLOW.  */
static bool
is_accepted (const struct entry_flow *flow)
{
  for (uint32_t i = 0; i < flow->attempt_count; i++)
    if (flow->attempts[i].accepted)
      return true;
  return false;
}

/* Returns whether the upstream that FLOW was sent to last has refused it.  */
static bool
is_refused_by_owner (struct entry_flow *flow)
{
  const struct open_attempt *attempt = find_attempt (flow, flow->owner);

  return attempt != NULL && attempt->refused;
}

/* Ends the wait of the open of FLOW for a free upstream, if it waits.  */
static void
end_wait (struct galena_plane *plane, const struct entry_flow *flow)
{
  struct opening_row *opening
      = galena_table_get (plane->entry->openings, flow->opening);

  if (opening != NULL)
    opening->deferred = false;
}

/* Returns whether the upstream that HANDLE names still accepts new flows.  */
static bool
takes_opens (const struct galena_plane *plane, struct galena_handle handle)
{
  const struct upstream_row *upstream = entry_upstream (plane, handle);

  return upstream != NULL && entry_is_ready (upstream)
         && !entry_is_evacuated (plane, upstream);
}

/* Returns whether the open of FLOW was sent last to an upstream whose zone is
   evacuated now.  */
static bool
is_at_evacuated (const struct galena_plane *plane,
                 const struct entry_flow *flow)
{
  const struct upstream_row *upstream = entry_upstream (plane, flow->owner);

  return upstream != NULL && entry_is_evacuated (plane, upstream);
}

/* Resets the flow that HANDLE names, for which no upstream can be chosen.  */
static void
reset_unplaced (struct galena_plane *plane, struct galena_handle handle)
{
  enum galena_result reason
      = entry_no_upstream_reason (plane, entry_flow (plane, handle)->service);

  if (reason == GALENA_REFUSED_EVACUATED)
    plane_count_refusal (plane, reason);
  entry_flow_reset (plane, handle, reason);
}

/* Sends the open of FLOW again to one of the upstreams that it was sent to, in
   turn after the last one; skips those that have refused it or no longer
   accept flows.  Returns false when none is left.  */
static bool
resend_open (struct galena_plane *plane, struct entry_flow *flow)
{
  uint32_t last = 0;

  while (last < flow->attempt_count
         && galena_handle_pack (flow->attempts[last].upstream)
                != galena_handle_pack (flow->owner))
    last++;
  for (uint32_t i = 1; i <= flow->attempt_count; i++)
    {
      const struct open_attempt *attempt
          = &flow->attempts[(last + i) % flow->attempt_count];

      if (attempt->refused || !takes_opens (plane, attempt->upstream))
        continue;
      flow->owner = attempt->upstream;
      send_open (plane, flow, flow->owner);
      return true;
    }
  return false;
}

/* Sends PACKET, which could not be buffered, to an upstream.  Further attempts
   are made only when the caller retransmits it.  */
static void
open_unbuffered (struct galena_plane *plane, struct entry_flow *flow,
                 struct galena_handle handle,
                 const struct galena_packet *packet)
{
  struct choice choice;
  enum choice_outcome outcome = choose_next (plane, flow, &choice);

  /* Without a copy of the packet it can't go to another upstream.  */
  choice.alternative_us = UINT32_MAX;
  if (outcome == CHOICE_MADE)
    add_attempt (plane, flow, &choice);
  else if (outcome == CHOICE_NONE && !is_accepted (flow)
           && (flow->attempt_count == 0 || is_at_evacuated (plane, flow)))
    {
      reset_unplaced (plane, handle);
      return;
    }
  if (flow->attempt_count > 0
      && (is_accepted (flow) || !is_at_evacuated (plane, flow)))
    entry_flow_send (plane, flow, flow->owner, GALENA_PEER_OPEN, packet->bytes,
                     packet->size);
}

void
entry_on_open_packet (struct galena_plane *plane, struct entry_flow *flow,
                      struct galena_handle handle,
                      const struct galena_packet *packet)
{
  const struct galena_route *route;

  flow->last_active = plane->now;
  if (flow->state == FLOW_OPENING && !galena_handle_is_none (flow->opening))
    {
      /* A retransmission of the caller: the reply may have been lost, so the
         open is sent again.  The system sends it to other upstreams once it
         has timed out.  An upstream that has refused it is sent no copy: it
         would be one more request there, which nothing here counts.  */
      if (is_accepted (flow)
          || (takes_opens (plane, flow->owner) && !is_refused_by_owner (flow)))
        send_open (plane, flow, flow->owner);
      return;
    }
  if (flow->state == FLOW_OPEN)
    {
      entry_flow_send (plane, flow, flow->owner, GALENA_PEER_FORWARD,
                       packet->bytes, packet->size);
      return;
    }
  flow->numbers = (struct galena_caller_numbers){ packet->sequence, true };
  route = galena_directory_route (plane->directory, flow->key.service_address);
  flow->service = entry_service_for (route, flow->key);
  flow->work = route->work;
  if (!buffer_open (plane, flow, handle, packet))
    open_unbuffered (plane, flow, handle, packet);
  else if (!attempt_first (plane, flow, handle))
    reset_unplaced (plane, handle);
}

static struct galena_plane_logged_event
event_of (const struct galena_plane *plane, enum galena_plane_event event,
          const struct entry_flow *flow, const struct upstream_row *upstream)
{
  return (struct galena_plane_logged_event){
    .event = event,
    .flow = flow->key,
    .agent = upstream->agent,
    .version = plane->entry->version,
    .age_ms = galena_clock_elapsed_ms (flow->began, plane->now),
    .detail = upstream->load.pending_requests,
  };
}

void
entry_on_opened (struct galena_plane *plane, struct galena_endpoint peer,
                 const struct galena_peer_message *message)
{
  struct galena_handle upstream_handle;
  struct galena_handle handle;
  struct upstream_row *upstream
      = entry_update_from_agent (plane, peer, message, &upstream_handle);
  struct entry_flow *flow = entry_flow_find (plane, message->flow, &handle);
  struct open_attempt *attempt;

  if (upstream == NULL || flow == NULL)
    return;
  attempt = find_attempt (flow, upstream_handle);
  if (attempt == NULL || attempt->accepted)
    return;
  entry_note_open_reply (upstream);
  note_reply_time (plane, flow, upstream_handle);
  attempt->accepted = true;
  attempt->sequence = message->sequence;
  end_wait (plane, flow);
  plane_count (plane, GALENA_PLANE_OPENED);
  plane_measure (plane, GALENA_PLANE_OPENING_MS, flow->began);
  plane_log_event (plane,
                   event_of (plane, GALENA_EVENT_OPENED, flow, upstream));
}

/* Removes the attempt to open FLOW at the upstream that HANDLE names, which
   may be tried again.  */
static void
remove_attempt (struct entry_flow *flow, struct galena_handle handle)
{
  struct open_attempt *attempt = find_attempt (flow, handle);

  *attempt = flow->attempts[--flow->attempt_count];
  if (galena_handle_pack (flow->owner) == galena_handle_pack (handle))
    flow->owner = (struct galena_handle){ 0, 0 };
}

/* Applies the REASON of the agent of UPSTREAM, which HANDLE names, to the
   attempt to open FLOW there.  */
static void
apply_refusal (struct galena_plane *plane, struct entry_flow *flow,
               struct upstream_row *upstream, struct galena_handle handle,
               enum galena_result reason)
{
  entry_note_open_reply (upstream);
  find_attempt (flow, handle)->refused = true;
  find_attempt (flow, handle)->handed_back = reason == GALENA_REFUSED_BUSY;
  if (reason == GALENA_REFUSED_EVACUATED)
    entry_note_evacuated (plane, upstream);
  if (reason != GALENA_REFUSED_WARMING_UP)
    return;
  entry_warm_up_note_refusal (plane, upstream);
  remove_attempt (flow, handle);
}

void
entry_on_refused (struct galena_plane *plane, struct galena_endpoint peer,
                  const struct galena_peer_message *message)
{
  struct galena_handle upstream_handle;
  struct galena_handle handle;
  struct upstream_row *upstream
      = entry_update_from_agent (plane, peer, message, &upstream_handle);
  struct entry_flow *flow = entry_flow_find (plane, message->flow, &handle);
  struct galena_plane_logged_event event;
  bool last;

  if (upstream == NULL || flow == NULL || flow->state != FLOW_OPENING
      || find_attempt (flow, upstream_handle) == NULL)
    return;
  plane_count_refusal (plane, message->result);
  last = galena_handle_pack (flow->owner)
         == galena_handle_pack (upstream_handle);
  apply_refusal (plane, flow, upstream, upstream_handle, message->result);
  event = event_of (plane, GALENA_EVENT_REFUSED, flow, upstream);
  event.result = message->result;
  /* Flows that are handed back are no fault, and so many that lines about them
     would suppress those about others.  */
  if (message->result != GALENA_REFUSED_BUSY)
    plane_log_event (plane, event);
  if (!last || is_accepted (flow) || attempt_next (plane, flow))
    return;
  /* The caller sends an open that is not buffered again, and the upstream may
     take it then.  */
  if (message->result == GALENA_REFUSED_WARMING_UP
      && galena_handle_is_none (flow->opening))
    return;
  if (!resend_open (plane, flow))
    entry_flow_reset (plane, handle, message->result);
}

/* Handles the timeout of OPENING, to which the agent has not replied.  */
static void
on_open_timeout (struct galena_plane *plane, struct entry_flow *flow,
                 struct opening_row *opening)
{
  const struct upstream_row *upstream = entry_upstream (plane, flow->owner);

  if (upstream != NULL)
    plane_log_event (
        plane, event_of (plane, GALENA_EVENT_UNANSWERED, flow, upstream));
  entry_suspect (plane, flow->owner);
  if (!attempt_next (plane, flow) && !resend_open (plane, flow))
    opening->sent = plane->now;
}

enum choice_outcome
entry_open_try (struct galena_plane *plane, struct galena_handle handle)
{
  struct entry_flow *flow = entry_flow (plane, handle);
  const struct opening_row *opening;

  if (flow == NULL)
    return CHOICE_NONE;
  if (!attempt_next (plane, flow) && !resend_open (plane, flow))
    {
      reset_unplaced (plane, handle);
      return CHOICE_NONE;
    }
  opening = galena_table_get (plane->entry->openings, flow->opening);
  return opening != NULL && opening->deferred ? CHOICE_BUSY : CHOICE_MADE;
}

void
entry_run_openings (struct galena_plane *plane)
{
  struct opening_row *opening;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while (
      (opening = galena_table_next (plane->entry->openings, &cursor, &handle))
      != NULL)
    {
      struct entry_flow *flow = entry_flow (plane, opening->flow);

      if (flow == NULL)
        {
          galena_table_remove (plane->entry->openings, handle);
          continue;
        }
      if (is_accepted (flow) || entry_reject_given_up (plane, opening->flow))
        continue;
      if (opening->deferred)
        {
          if (plane->entry->waiting == NULL)
            entry_open_try (plane, opening->flow);
        }
      else if (is_at_evacuated (plane, flow))
        entry_open_try (plane, opening->flow);
      else if (galena_clock_elapsed_ms (opening->sent, plane->now)
               >= open_timeout_ms (plane))
        on_open_timeout (plane, flow, opening);
    }
}
