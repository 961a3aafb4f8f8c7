/* Opens: to one upstream, and to another when it refuses or is silent.  */

#include <string.h>

#include "entry_tables.h"

enum
{
  /* An open without a reply goes to another upstream after so long: forty
     times the way between two availability zones, and before the caller's
     first copy.  */
  OPEN_PATIENCE_MS = 60,
  /* Where replies take longer, a multiple of their mean, still before the
     caller's first copy.  */
  OPEN_PATIENCE_MAX_MS = 180,
  PATIENCE_REPLIES = 4,
  /* Part of a new sample in the mean: one in so many.  */
  REPLY_SHARE = 8
};

/* Keeps PACKET to be sent again; false when there is no room.  */
static bool
keep_open (struct galena_plane *plane, struct entry_flow *flow,
           struct galena_handle handle, const struct galena_packet *packet)
{
  struct opening_row *opening;

  if (packet->size > GALENA_OPENING_BYTES)
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
entry_opening_end (struct galena_plane *plane, struct entry_flow *flow)
{
  if (!galena_handle_is_none (flow->opening))
    galena_table_remove (plane->entry->openings, flow->opening);
  flow->opening = (struct galena_handle){ 0, 0 };
}

/* Sends the kept open of FLOW to the upstream that HANDLE names.  */
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

/* Chooses an upstream that the open of FLOW was not sent to.  */
static enum choice_outcome
choose_next (struct galena_plane *plane, const struct entry_flow *flow,
             struct galena_handle *chosen)
{
  if (flow->try_count == ENTRY_TRIES_MAX)
    return CHOICE_NONE;
  return entry_choose (plane, flow, chosen);
}

/* Notes that the open of FLOW goes to the upstream that CHOSEN names.  */
static void
note_try (struct galena_plane *plane, struct entry_flow *flow,
          struct galena_handle chosen)
{
  if (flow->try_count > 0)
    plane_count (plane, GALENA_PLANE_RETRIED);
  flow->tries[flow->try_count++] = (struct flow_try){ .upstream = chosen };
  flow->owner = chosen;
  entry_note_placed (plane, entry_upstream (plane, chosen));
}

/* Sends the open of FLOW to an upstream that it was not sent to, or holds it
   while all of these are busy; false when there is none.  */
static bool
try_another (struct galena_plane *plane, struct entry_flow *flow)
{
  struct opening_row *opening
      = galena_table_get (plane->entry->openings, flow->opening);
  enum choice_outcome outcome;
  struct galena_handle chosen;

  if (opening == NULL)
    return false;
  outcome = choose_next (plane, flow, &chosen);
  opening->held = outcome == CHOICE_BUSY;
  if (outcome != CHOICE_MADE)
    return outcome == CHOICE_BUSY;
  note_try (plane, flow, chosen);
  send_open (plane, flow, chosen);
  return true;
}

/* Takes the time that the reply to the open of FLOW took.  */
static void
note_reply_time (struct galena_plane *plane, const struct entry_flow *flow,
                 struct galena_handle upstream)
{
  const struct opening_row *opening
      = galena_table_get (plane->entry->openings, flow->opening);
  double *mean = &plane->entry->reply_ms;

  if (opening == NULL
      || galena_handle_pack (flow->owner) != galena_handle_pack (upstream))
    return;
  *mean
      += ((double)galena_clock_elapsed_ms (opening->sent, plane->now) - *mean)
         / REPLY_SHARE;
}

static int64_t
open_patience_ms (const struct galena_plane *plane)
{
  int64_t ms = (int64_t)(plane->entry->reply_ms * PATIENCE_REPLIES);

  if (ms < OPEN_PATIENCE_MS)
    return OPEN_PATIENCE_MS;
  return ms < OPEN_PATIENCE_MAX_MS ? ms : OPEN_PATIENCE_MAX_MS;
}

/* Tells whether an upstream of FLOW has accepted it.  */
static bool
is_accepted (const struct entry_flow *flow)
{
  for (uint32_t i = 0; i < flow->try_count; i++)
    if (flow->tries[i].accepted)
      return true;
  return false;
}

/* Tells whether the upstream that HANDLE names still takes new flows.  */
static bool
takes_opens (const struct galena_plane *plane, struct galena_handle handle)
{
  const struct upstream_row *upstream = entry_upstream (plane, handle);

  return upstream != NULL && entry_is_ready (upstream);
}

/* Sends the open of FLOW again to the upstream that it was sent to longest ago
   and that has not refused it; false when all have.  */
static bool
try_again (struct galena_plane *plane, struct entry_flow *flow)
{
  uint32_t last = 0;

  while (last < flow->try_count
         && galena_handle_pack (flow->tries[last].upstream)
                != galena_handle_pack (flow->owner))
    last++;
  for (uint32_t i = 1; i <= flow->try_count; i++)
    {
      const struct flow_try *try = &flow->tries[(last + i) % flow->try_count];

      if (try->refused || !takes_opens (plane, try->upstream))
        continue;
      flow->owner = try->upstream;
      send_open (plane, flow, flow->owner);
      return true;
    }
  return false;
}

/* Sends PACKET, which can't be kept, to an upstream; the caller's copies are
   the only further tries.  */
static void
open_unkept (struct galena_plane *plane, struct entry_flow *flow,
             struct galena_handle handle, const struct galena_packet *packet)
{
  struct galena_handle chosen;
  enum choice_outcome outcome = choose_next (plane, flow, &chosen);

  if (outcome == CHOICE_MADE)
    note_try (plane, flow, chosen);
  else if (outcome == CHOICE_NONE && flow->try_count == 0)
    entry_flow_reset (plane, handle, GALENA_REFUSED_NO_UPSTREAM);
  if (entry_flow (plane, handle) != NULL && flow->try_count > 0)
    entry_flow_send (plane, flow, flow->owner, GALENA_PEER_OPEN, packet->bytes,
                     packet->size);
}

void
entry_take_open (struct galena_plane *plane, struct entry_flow *flow,
                 struct galena_handle handle,
                 const struct galena_packet *packet)
{
  const struct galena_route *route;

  flow->active = plane->now;
  if (flow->state == FLOW_OPENING && !galena_handle_is_none (flow->opening))
    {
      /* A copy: openings without a reply are tried elsewhere by the system,
         and this one's reply may be lost.  */
      if (is_accepted (flow) || takes_opens (plane, flow->owner))
        send_open (plane, flow, flow->owner);
      return;
    }
  if (flow->state == FLOW_OPEN)
    {
      entry_flow_send (plane, flow, flow->owner, GALENA_PEER_FORWARD,
                       packet->bytes, packet->size);
      return;
    }
  route = galena_directory_route (plane->directory, flow->key.service);
  flow->service = entry_share_of (route, flow->key);
  if (!keep_open (plane, flow, handle, packet))
    open_unkept (plane, flow, handle, packet);
  else if (!try_another (plane, flow))
    entry_flow_reset (plane, handle, GALENA_REFUSED_NO_UPSTREAM);
}

static struct flow_try *
find_try (struct entry_flow *flow, struct galena_handle upstream)
{
  for (uint32_t i = 0; i < flow->try_count; i++)
    if (galena_handle_pack (flow->tries[i].upstream)
        == galena_handle_pack (upstream))
      return &flow->tries[i];
  return NULL;
}

static struct galena_plane_note
note_of (const struct galena_plane *plane, enum galena_plane_event event,
         const struct entry_flow *flow, const struct upstream_row *upstream)
{
  return (struct galena_plane_note){
    .event = event,
    .flow = flow->key,
    .agent = upstream->agent,
    .version = plane->entry->version,
    .age_ms = galena_clock_elapsed_ms (flow->began, plane->now),
    .detail = upstream->load.running,
  };
}

void
entry_take_opened (struct galena_plane *plane, struct galena_endpoint peer,
                   const struct galena_peer_message *message)
{
  struct galena_handle at;
  struct galena_handle handle;
  struct upstream_row *upstream = entry_hear (plane, peer, message, &at);
  struct entry_flow *flow = entry_flow_find (plane, message->flow, &handle);
  struct flow_try *try;

  if (upstream == NULL || flow == NULL)
    return;
  try = find_try (flow, at);
  if (try == NULL || try->accepted)
    return;
  entry_note_reply (upstream);
  note_reply_time (plane, flow, at);
  try->accepted = true;
  try->sequence = message->sequence;
  plane_count (plane, GALENA_PLANE_OPENED);
  plane_measure (plane, GALENA_PLANE_OPENING_MS, flow->began);
  plane_note (plane, note_of (plane, GALENA_EVENT_OPENED, flow, upstream));
}

void
entry_take_refused (struct galena_plane *plane, struct galena_endpoint peer,
                    const struct galena_peer_message *message)
{
  struct galena_handle at;
  struct galena_handle handle;
  struct upstream_row *upstream = entry_hear (plane, peer, message, &at);
  struct entry_flow *flow = entry_flow_find (plane, message->flow, &handle);
  struct galena_plane_note note;

  if (upstream == NULL || flow == NULL || flow->state != FLOW_OPENING
      || find_try (flow, at) == NULL)
    return;
  plane_count (plane, GALENA_PLANE_REFUSED);
  entry_note_reply (upstream);
  find_try (flow, at)->refused = true;
  note = note_of (plane, GALENA_EVENT_REFUSED, flow, upstream);
  note.result = message->result;
  plane_note (plane, note);
  if (galena_handle_pack (flow->owner) != galena_handle_pack (at)
      || is_accepted (flow) || try_another (plane, flow))
    return;
  if (!try_again (plane, flow))
    entry_flow_reset (plane, handle, message->result);
}

/* The agent that OPENING was sent to is silent.  */
static void
leave_silent (struct galena_plane *plane, struct entry_flow *flow,
              struct opening_row *opening)
{
  const struct upstream_row *upstream = entry_upstream (plane, flow->owner);

  if (upstream != NULL)
    plane_note (plane,
                note_of (plane, GALENA_EVENT_UNANSWERED, flow, upstream));
  entry_suspect (plane, flow->owner);
  if (!try_another (plane, flow) && !try_again (plane, flow))
    opening->sent = plane->now;
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
      if (is_accepted (flow))
        continue;
      if (opening->held)
        {
          if (!try_another (plane, flow) && !try_again (plane, flow))
            entry_flow_reset (plane, opening->flow,
                              GALENA_REFUSED_NO_UPSTREAM);
        }
      else if (galena_clock_elapsed_ms (opening->sent, plane->now)
               >= open_patience_ms (plane))
        leave_silent (plane, flow, opening);
    }
}
