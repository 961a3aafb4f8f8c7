/* The simulated fleet: tables of callers, upstreams and messages in flight,
   and systems that run over them each virtual millisecond.  */

#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <galenaford/query_batch.h>
#include <galenaford/random.h>

#include "planes.h"

enum
{
  MESSAGES_MAX = 65536,
  UPSTREAM_FLOWS_MAX = 1024,
  PEER_PORT = 7000,
  ROUTE_IP = 0xC6120001,
  ROUTE_PORT = 443,
  ENTRY_IP = 0x0A010001,
  AGENT_IP = 0x0A020001,
  CALLER_IP = 0x64400001,
  /* Bytes of an answer, and of the answer to a request that is shed.  */
  ANSWER_BYTES = 50,
  SHED_BYTES = 7,
  /* Bytes of a request.  */
  REQUEST_BYTES = 100,
  LATE_MS = 100,
  SLOW_FACTOR = 10,
  PERCENT = 100,
  MISPLACED_MS = 3000,
  /* An open takes two hops from an entry to an upstream.  */
  IN_FLIGHT_MS = 2,
  UPSTREAM_PORT = 8080,
  /* Newest flows of an upstream whose times are kept: more than one opens in a
     second.  */
  OPENED_MAX = 1024,
  SECOND_MS = 1000,
  /* Unix time at which the simulation starts, in milliseconds.  */
  UNIX_START_MS = 1000000000,
  /* Slots that entries of other writers claim.  */
  FOREIGN_SLOTS = 500,
  PUBLISHED_MAX = PLANES_UPSTREAMS_MAX * (1 + PLANES_FOREIGN_MAX),
  /* When a caller retransmits an open, after the first transmission, and when
     it gives up.  */
  OPEN_RETRANSMIT_1_MS = 200,
  OPEN_RETRANSMIT_2_MS = 600,
  OPEN_TIMEOUT_MS = 1400,
  /* First and longest interval at which a request is retransmitted.  */
  RETRANSMIT_MS = 200,
  RETRANSMIT_MAX_MS = 1600,
  FULL_PACKET_BYTES = 1200,
  /* Callers of a kind of work open a flow again this many times.  */
  RETRIES_MAX = 2,
  /* Ports of the routes of kinds begin here, and those of callers are this far
     apart: without shared addresses, and with them.  */
  KIND_PORT = 16000,
  CALLER_PORTS = 64,
  SHARED_CALLER_PORTS = 250
};

/* Factor on the time of work at a cold upstream.  */
static const double COLD_FACTOR = 1.6;

/* A packet as it is sent; its bytes are this structure.  */
struct raw_packet
{
  struct galena_endpoint source;
  struct galena_endpoint destination;
  uint32_t sequence;
  uint32_t acknowledged;
  uint32_t checksum;
  uint16_t data_size;
  uint8_t flags;
};

enum receiver
{
  TO_NOBODY,
  TO_ENTRY,
  TO_AGENT_FROM_PEER,
  TO_AGENT_FROM_UPSTREAM,
  TO_UPSTREAM,
  TO_CALLER
};

/* A packet or message in flight.  */
struct sent_message
{
  enum receiver to;
  uint32_t index;
  uint32_t at_ms;
  struct galena_endpoint peer;
  struct galena_peer_message message;
  bool has_packet;
  bool is_message;
  struct raw_packet packet;
  /* Body of a message that is no packet.  */
  uint32_t body_size;
  uint8_t body[GALENA_QUERY_BODY_BYTES];
};

struct upstream_flow
{
  bool used;
  bool open;
  struct galena_flow_key key;
  uint32_t sequence;
  /* When the running or queued request will be answered; 0 for none.  */
  uint32_t ends_ms;
  /* Sequence number of that request, or of the last one.  */
  uint32_t request_sequence;
  /* Kind of work of the flow.  */
  uint32_t kind;
};

enum fake_fault
{
  FAULT_NONE,
  FAULT_HANG,
  FAULT_SHED,
  FAULT_RESET,
  FAULT_SLOW,
  FAULT_COUNT
};

struct fake_upstream
{
  enum fake_fault fault;
  bool agent_up;
  /* Whether its address has gone to an upstream of the second service.  */
  bool address_given;
  bool frozen;
  bool refuses_flows;
  enum galena_published_state published_state;
  uint32_t published_since;
  /* Start of the published incarnation.  */
  uint64_t started_ms;
  uint32_t answered;
  /* Flows opened since its zone returned, for a while.  */
  uint32_t opened_on_return;
  /* When it warms up until, the number of its starts that were published, and
     when the last flows were opened.  */
  uint32_t warms_up_until_ms;
  uint32_t starts;
  uint32_t opened_count;
  uint32_t opened_ms[OPENED_MAX];
  uint32_t warm_at_ms;
  struct galena_plane *agent;
  struct upstream_flow flows[UPSTREAM_FLOWS_MAX];
  /* When each slot becomes free.  */
  uint32_t slots[8];
};

enum caller_state
{
  CALLER_IDLE,
  CALLER_OPENING,
  CALLER_WAITING
};

struct fake_caller
{
  enum caller_state state;
  bool open;
  uint16_t port;
  uint32_t transmissions;
  uint32_t sequence;
  /* Number of the opening packet.  */
  uint32_t opening_sequence;
  uint32_t acknowledged;
  uint32_t request;
  /* When the request was first sent, when the last attempt to open its flow
     began, and when the next step is due.  */
  uint32_t began_ms;
  uint32_t opened_ms;
  uint32_t due_ms;
  uint32_t interval_ms;
  /* When the request was first sent on its flow.  */
  uint32_t sent_ms;
  /* Full packets of the request that were not sent yet.  */
  uint32_t full_left;
  /* Flows that were opened for the request again.  */
  uint32_t retries;
  /* Whether the next request opens a flow from the port of the last one.  */
  bool reuses_port;
};

struct fleet
{
  const struct planes_options *options;
  struct planes_report *report;
  struct galena_random random;
  uint32_t now_ms;
  uint64_t version;
  uint32_t route_service;
  /* Service of the route before it last changed, and when that was.  */
  uint32_t service_before;
  uint32_t rerouted_ms;
  bool route_dropped;
  bool foreign_published[PLANES_FOREIGN_MAX];
  /* Revision of the store, and what it says of the zones.  */
  uint64_t revision;
  struct galena_zone_evacuation evacuations[PLANES_ZONES];
  uint32_t evacuated_since[PLANES_ZONES];
  bool entry_up[PLANES_ENTRIES_MAX];
  bool entry_disconnected[PLANES_ENTRIES_MAX];
  struct galena_plane *entries[PLANES_ENTRIES_MAX];
  struct galena_directory *directories[PLANES_ENTRIES_MAX];
  struct fake_upstream upstreams[PLANES_UPSTREAMS_MAX];
  struct fake_caller callers[PLANES_CALLERS_MAX];
  uint32_t sent_count;
  struct sent_message sent_messages[MESSAGES_MAX];
};

static const char *const SERVICES[] = { "first", "second" };

static uint64_t
unix_ms (const struct fleet *fleet)
{
  return UNIX_START_MS + fleet->now_ms;
}

/* Returns the service that UPSTREAM has as long as its address is not given
   away.  */
static uint32_t
first_service_of (const struct fleet *fleet, uint32_t upstream)
{
  uint32_t second = fleet->options->second_service;

  return second != 0 && upstream >= second ? 1 : 0;
}

static uint32_t
service_of (const struct fleet *fleet, uint32_t upstream)
{
  return fleet->upstreams[upstream].address_given
             ? 1
             : first_service_of (fleet, upstream);
}

static uint32_t
checksum_of (const struct raw_packet *packet)
{
  return packet->source.ip * 31 + packet->source.port * 37
         + packet->destination.ip * 41 + packet->destination.port * 43
         + packet->sequence * 47 + packet->acknowledged * 53
         + packet->data_size * 59
         + (packet->flags & ~GALENA_PACKET_RETURNED) * 61U;
}

static struct raw_packet
make_packet (struct galena_endpoint source, struct galena_endpoint destination,
             uint8_t flags)
{
  struct raw_packet packet;

  memset (&packet, 0, sizeof packet);
  packet.source = source;
  packet.destination = destination;
  packet.flags = flags;
  return packet;
}

static struct sent_message *
enqueue (struct fleet *fleet, enum receiver to, uint32_t index,
         uint32_t delay_ms)
{
  struct sent_message *sent;
  uint32_t loss = fleet->options->loss;

  if (fleet->sent_count == MESSAGES_MAX)
    abort ();
  if (loss != 0 && galena_random_below (&fleet->random, loss) == 0)
    to = TO_NOBODY;
  sent = &fleet->sent_messages[fleet->sent_count++];
  memset (sent, 0, offsetof (struct sent_message, body));
  sent->to = to;
  sent->index = index;
  sent->at_ms = fleet->now_ms + delay_ms;
  return sent;
}

static struct galena_endpoint
caller_address (const struct fleet *fleet, uint32_t index)
{
  uint32_t host = index < fleet->options->shared_address ? 0 : index;

  return (struct galena_endpoint){ CALLER_IP + host,
                                   fleet->callers[index].port };
}

/* Returns the caller at ADDRESS; with a shared one, that at its port.  */
static uint32_t
caller_at (const struct fleet *fleet, struct galena_endpoint address)
{
  if (address.ip == CALLER_IP)
    for (uint32_t i = 0; i < fleet->options->shared_address; i++)
      if (fleet->callers[i].port == address.port)
        return i;
  return address.ip - CALLER_IP;
}

/* Returns the kind of work of caller INDEX; NULL when there are none.  */
static const struct planes_kind *
kind_of_caller (const struct fleet *fleet, uint32_t index)
{
  uint32_t count = fleet->options->kind_count;

  return count == 0 ? NULL : &fleet->options->kinds[index % count];
}

static const struct galena_endpoint ROUTE = { ROUTE_IP, ROUTE_PORT };
static const struct galena_endpoint SECOND_ROUTE
    = { ROUTE_IP, ROUTE_PORT + 1 };

/* Returns the address that caller INDEX sends to.  */
static struct galena_endpoint
route_of (const struct fleet *fleet, uint32_t index)
{
  uint32_t count = fleet->options->kind_count;

  if (count == 0)
    return ROUTE;
  return (struct galena_endpoint){ ROUTE_IP,
                                   (uint16_t)(KIND_PORT + index % count) };
}

/* Sends PACKET of a caller to the entry in rotation that its flow hashes
   to.  */
static void
send_from_caller (struct fleet *fleet, struct raw_packet packet)
{
  uint32_t up[PLANES_ENTRIES_MAX];
  uint32_t count = 0;
  struct sent_message *sent;
  uint32_t hash
      = (packet.source.ip * 2654435761U) ^ (packet.source.port * 40503U);

  for (uint32_t i = 0; i < fleet->options->entries; i++)
    if (fleet->entry_up[i])
      up[count++] = i;
  if (count == 0)
    return;
  packet.checksum = checksum_of (&packet);
  sent = enqueue (fleet, TO_ENTRY, up[(hash >> 8) % count], 1);
  sent->packet = packet;
  sent->has_packet = true;
}

static bool
is_in_burst (const struct fleet *fleet, uint32_t index)
{
  uint32_t kind = fleet->options->burst_kind;

  return index < fleet->options->burst_callers
         && (kind == 0 || index % fleet->options->kind_count == kind - 1)
         && fleet->now_ms >= fleet->options->burst_from_ms
         && fleet->now_ms < fleet->options->burst_to_ms;
}

static void
plan_request (struct fleet *fleet, uint32_t index)
{
  struct fake_caller *caller = &fleet->callers[index];
  uint32_t think_ms = is_in_burst (fleet, index)
                          ? fleet->options->burst_think_ms
                          : fleet->options->think_ms;

  caller->state = CALLER_IDLE;
  caller->due_ms = fleet->now_ms + think_ms / 2
                   + galena_random_below (&fleet->random, think_ms + 1);
}

/* Counts a request of caller INDEX that began in the measured time in FIELD of
   its rows of the report.  */
static void
count_share (struct fleet *fleet, uint32_t index, size_t field)
{
  uint32_t began_ms = fleet->callers[index].began_ms;
  struct planes_share *rows[] = {
    &fleet->report->kinds[fleet->options->kind_count == 0
                              ? 0
                              : index % fleet->options->kind_count],
    &fleet->report->shared[index >= fleet->options->shared_address],
  };

  if (began_ms < fleet->options->measure_from_ms
      || began_ms >= fleet->options->measure_to_ms)
    return;
  for (uint32_t i = 0; i < 2; i++)
    ++*(uint32_t *)((char *)rows[i] + field);
}

static void
send_open (struct fleet *fleet, uint32_t index)
{
  struct fake_caller *caller = &fleet->callers[index];
  struct raw_packet packet
      = make_packet (caller_address (fleet, index), route_of (fleet, index),
                     GALENA_PACKET_OPENS);

  packet.sequence = caller->opening_sequence;
  packet.acknowledged = caller->transmissions;
  send_from_caller (fleet, packet);
  caller->transmissions++;
  caller->due_ms = caller->opened_ms
                   + (caller->transmissions == 1   ? OPEN_RETRANSMIT_1_MS
                      : caller->transmissions == 2 ? OPEN_RETRANSMIT_2_MS
                                                   : OPEN_TIMEOUT_MS);
}

static void
begin_open (struct fleet *fleet, uint32_t index)
{
  struct fake_caller *caller = &fleet->callers[index];

  caller->port++;
  caller->state = CALLER_OPENING;
  caller->open = false;
  caller->transmissions = 0;
  caller->sequence = (uint32_t)galena_random_next (&fleet->random);
  caller->opening_sequence = caller->sequence - 1;
  caller->opened_ms = fleet->now_ms;
  send_open (fleet, index);
}

static void
send_request (struct fleet *fleet, uint32_t index)
{
  struct fake_caller *caller = &fleet->callers[index];
  struct raw_packet packet
      = make_packet (caller_address (fleet, index), route_of (fleet, index),
                     GALENA_PACKET_ACKNOWLEDGES);

  packet.sequence = caller->sequence;
  packet.acknowledged = caller->acknowledged;
  if (caller->full_left > 0)
    {
      packet.data_size = FULL_PACKET_BYTES;
      send_from_caller (fleet, packet);
      caller->full_left--;
      caller->sequence += FULL_PACKET_BYTES;
      caller->due_ms = fleet->now_ms + kind_of_caller (fleet, index)->gap_ms;
      return;
    }
  packet.data_size = REQUEST_BYTES;
  send_from_caller (fleet, packet);
  caller->due_ms = fleet->now_ms + caller->interval_ms;
  if (fleet->options->timeout_ms != 0
      && caller->due_ms > caller->sent_ms + fleet->options->timeout_ms)
    caller->due_ms = caller->sent_ms + fleet->options->timeout_ms;
  if (caller->interval_ms < RETRANSMIT_MAX_MS)
    caller->interval_ms *= 2;
}

/* Returns whether CALLER no longer waits for the answer.  */
static bool
has_given_up (const struct fleet *fleet, const struct fake_caller *caller)
{
  return fleet->options->timeout_ms != 0 && caller->state == CALLER_WAITING
         && fleet->now_ms - caller->sent_ms >= fleet->options->timeout_ms;
}

/* Makes caller INDEX give up its request and reset its flow.  */
static void
abandon_request (struct fleet *fleet, uint32_t index)
{
  struct raw_packet packet = make_packet (caller_address (fleet, index), ROUTE,
                                          GALENA_PACKET_RESETS);

  send_from_caller (fleet, packet);
  fleet->report->failed++;
  fleet->callers[index].open = false;
  plan_request (fleet, index);
}

static void
end_unanswered (struct fleet *fleet, uint32_t index)
{
  struct fake_caller *caller = &fleet->callers[index];

  caller->open = false;
  caller->full_left = 0;
  caller->port++;
  plan_request (fleet, index);
}

/* Makes caller INDEX give up a request whose timeout has passed.  Returns
   whether it did.  */
static bool
give_up_request (struct fleet *fleet, uint32_t index)
{
  const struct fake_caller *caller = &fleet->callers[index];
  const struct planes_kind *kind = kind_of_caller (fleet, index);

  if (kind == NULL || caller->state == CALLER_IDLE
      || fleet->now_ms - caller->began_ms < kind->work.timeout_ms)
    return false;
  end_unanswered (fleet, index);
  return true;
}

/* Opens a flow again for the request of caller INDEX.  */
static void
retry_open (struct fleet *fleet, uint32_t index)
{
  if (kind_of_caller (fleet, index) != NULL
      && fleet->callers[index].retries++ == RETRIES_MAX)
    end_unanswered (fleet, index);
  else
    begin_open (fleet, index);
}

/* Begins a request of caller INDEX on its open flow, or after it was
   opened.  */
static void
begin_request (struct fleet *fleet, uint32_t index)
{
  struct fake_caller *caller = &fleet->callers[index];
  const struct planes_kind *kind = kind_of_caller (fleet, index);

  caller->state = CALLER_WAITING;
  caller->interval_ms = RETRANSMIT_MS;
  caller->full_left = kind == NULL ? 0 : kind->full_packets;
  caller->sent_ms = fleet->now_ms;
  send_request (fleet, index);
}

static struct upstream_flow *find_flow (struct fake_upstream *upstream,
                                        struct galena_flow_key key);

/* Discards the flow of caller INDEX at both ends, so that the next one gets
   the same port.  */
static void
discard_flow (struct fleet *fleet, uint32_t index)
{
  struct fake_caller *caller = &fleet->callers[index];
  struct galena_flow_key key
      = { caller_address (fleet, index), route_of (fleet, index) };

  caller->reuses_port = false;
  if (!caller->open)
    return;
  for (uint32_t i = 0; i < fleet->options->upstreams; i++)
    {
      struct upstream_flow *flow = find_flow (&fleet->upstreams[i], key);

      if (flow != NULL)
        flow->used = false;
    }
  caller->open = false;
  caller->port--;
}

static void
run_callers (struct fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->options->callers; i++)
    {
      struct fake_caller *caller = &fleet->callers[i];

      if (give_up_request (fleet, i) || fleet->now_ms < caller->due_ms)
        continue;
      if (has_given_up (fleet, caller))
        {
          abandon_request (fleet, i);
          continue;
        }
      if (caller->state == CALLER_OPENING)
        {
          if (caller->transmissions == 3)
            retry_open (fleet, i);
          else
            send_open (fleet, i);
          continue;
        }
      if (caller->state == CALLER_IDLE)
        {
          caller->began_ms = fleet->now_ms;
          caller->retries = 0;
          fleet->report->requests++;
          count_share (fleet, i, offsetof (struct planes_share, requests));
          if (caller->reuses_port)
            discard_flow (fleet, i);
          if (!caller->open)
            {
              begin_open (fleet, i);
              continue;
            }
          begin_request (fleet, i);
          continue;
        }
      send_request (fleet, i);
    }
}

static struct upstream_flow *
find_flow (struct fake_upstream *upstream, struct galena_flow_key key)
{
  for (uint32_t i = 0; i < UPSTREAM_FLOWS_MAX; i++)
    {
      struct upstream_flow *flow = &upstream->flows[i];

      if (flow->used && galena_endpoint_equal (flow->key.caller, key.caller))
        return flow;
    }
  return NULL;
}

/* Returns whether an upstream holds the open flow of caller INDEX.  */
static bool
is_held (struct fleet *fleet, uint32_t index)
{
  struct galena_flow_key key
      = { caller_address (fleet, index), route_of (fleet, index) };

  for (uint32_t i = 0; i < fleet->options->upstreams; i++)
    {
      const struct upstream_flow *flow = find_flow (&fleet->upstreams[i], key);

      if (flow != NULL && flow->open)
        return true;
    }
  return false;
}

static void
finish_request (struct fleet *fleet, uint32_t index, bool shed)
{
  struct fake_caller *caller = &fleet->callers[index];
  uint32_t took_ms = fleet->now_ms - caller->began_ms;

  const struct planes_kind *kind = kind_of_caller (fleet, index);

  if (shed)
    fleet->report->shed++;
  else
    {
      fleet->report->answered++;
      count_share (fleet, index, offsetof (struct planes_share, answered));
      if (kind != NULL && took_ms <= kind->work.aim_ms)
        count_share (fleet, index, offsetof (struct planes_share, in_time));
    }
  if (took_ms > LATE_MS)
    fleet->report->late++;
  if (took_ms > fleet->report->worst_ms)
    fleet->report->worst_ms = took_ms;
  caller->sequence += REQUEST_BYTES;
  if (fleet->options->flow_per_request)
    {
      struct raw_packet packet = make_packet (
          caller_address (fleet, index), route_of (fleet, index),
          GALENA_PACKET_ACKNOWLEDGES | GALENA_PACKET_ENDS);

      packet.sequence = caller->sequence;
      packet.acknowledged = caller->acknowledged;
      send_from_caller (fleet, packet);
      caller->open = false;
    }
  plan_request (fleet, index);
}

static void
caller_on_packet (struct fleet *fleet, uint32_t index,
                  const struct raw_packet *packet)
{
  struct fake_caller *caller = &fleet->callers[index];

  if (packet->destination.port != caller->port)
    return;
  if ((packet->flags & GALENA_PACKET_RESETS) != 0)
    {
      fleet->report->resets++;
      if (caller->open && is_held (fleet, index) && !fleet->route_dropped)
        fleet->report->broken++;
      caller->open = false;
      if (caller->state != CALLER_IDLE)
        retry_open (fleet, index);
      return;
    }
  if ((packet->flags & GALENA_PACKET_OPENS) != 0)
    {
      if (caller->state != CALLER_OPENING)
        return;
      caller->open = true;
      caller->acknowledged = packet->sequence + 1;
      begin_request (fleet, index);
      return;
    }
  if (packet->data_size > 0 && caller->state == CALLER_WAITING
      && packet->acknowledged == caller->sequence + REQUEST_BYTES)
    {
      caller->acknowledged = packet->sequence + packet->data_size;
      finish_request (fleet, index, packet->data_size == SHED_BYTES);
    }
}

/* Sends PACKET from upstream INDEX to its agent.  */
static void
send_from_upstream (struct fleet *fleet, uint32_t index,
                    struct raw_packet packet)
{
  struct sent_message *sent
      = enqueue (fleet, TO_AGENT_FROM_UPSTREAM, index, 1);

  if ((packet.flags & GALENA_PACKET_RETURNED) == 0)
    packet.checksum = checksum_of (&packet);
  sent->packet = packet;
  sent->has_packet = true;
}

static void
return_packet (struct fleet *fleet, uint32_t index, struct raw_packet packet)
{
  packet.flags |= GALENA_PACKET_RETURNED;
  send_from_upstream (fleet, index, packet);
}

/* Notes that a flow is opened at upstream INDEX.  */
static void
note_zone (struct fleet *fleet, uint32_t index)
{
  uint32_t zone = index % PLANES_ZONES;
  const struct galena_zone_evacuation *evacuation = &fleet->evacuations[zone];
  uint32_t age_ms = fleet->now_ms - fleet->evacuated_since[zone];
  uint32_t *opened = &fleet->upstreams[index].opened_on_return;

  if (evacuation->in_force && age_ms > PLANES_EVACUATED_MS)
    fleet->report->evacuated++;
  if (evacuation->in_force || evacuation->position.revision == 0
      || age_ms > PLANES_RETURN_MS)
    return;
  if (++*opened > fleet->report->return_peak)
    fleet->report->return_peak = *opened;
}

/* Notes that a flow is opened at UPSTREAM, and counts those of the last second
   if it warms up.  */
static void
note_warm_up (struct fleet *fleet, struct fake_upstream *upstream)
{
  uint32_t in_second = 0;

  upstream->opened_ms[upstream->opened_count++ % OPENED_MAX] = fleet->now_ms;
  while (
      in_second < upstream->opened_count && in_second < OPENED_MAX
      && fleet->now_ms
                 - upstream->opened_ms[(upstream->opened_count - in_second - 1)
                                       % OPENED_MAX]
             <= SECOND_MS)
    in_second++;
  if (fleet->now_ms < upstream->warms_up_until_ms
      && in_second > fleet->report->warm_up_peak)
    fleet->report->warm_up_peak = in_second;
}

static void
open_at_upstream (struct fleet *fleet, uint32_t index,
                  const struct raw_packet *packet)
{
  struct fake_upstream *upstream = &fleet->upstreams[index];
  struct galena_flow_key key = { packet->source, packet->destination };
  struct upstream_flow *flow = find_flow (upstream, key);
  struct raw_packet accept;

  if (upstream->refuses_flows || (flow != NULL && flow->open))
    {
      return_packet (fleet, index, *packet);
      return;
    }
  for (uint32_t i = 0; flow == NULL && i < UPSTREAM_FLOWS_MAX; i++)
    if (!upstream->flows[i].used)
      {
        flow = &upstream->flows[i];
        *flow = (struct upstream_flow){ .used = true, .key = key };
        flow->sequence = (uint32_t)galena_random_next (&fleet->random);
        flow->kind = fleet->options->kind_count == 0
                         ? 0
                         : packet->destination.port - KIND_PORT;
        if (upstream->published_state != GALENA_PUBLISHED_READY
            && fleet->now_ms - upstream->published_since > MISPLACED_MS)
          fleet->report->misplaced++;
        note_zone (fleet, index);
        note_warm_up (fleet, upstream);
        if (service_of (fleet, index) != fleet->route_service
            && (fleet->now_ms - fleet->rerouted_ms > IN_FLIGHT_MS
                || service_of (fleet, index) != fleet->service_before))
          fleet->report->misrouted++;
      }
  if (flow == NULL)
    {
      return_packet (fleet, index, *packet);
      return;
    }
  accept = make_packet (packet->destination, packet->source,
                        GALENA_PACKET_OPENS | GALENA_PACKET_ACKNOWLEDGES);
  accept.sequence = flow->sequence;
  send_from_upstream (fleet, index, accept);
}

static uint32_t
work_ms (const struct fleet *fleet, uint32_t index,
         const struct upstream_flow *flow)
{
  static const uint32_t TENTHS[] = { 14, 14, 6 };
  uint32_t each = fleet->options->slow_every;
  uint32_t ms = fleet->options->kind_count == 0
                    ? fleet->options->service_ms
                    : fleet->options->kinds[flow->kind].service_ms;

  if (fleet->options->uneven)
    ms = ms * TENTHS[index % PLANES_ZONES] / 10;
  if (fleet->upstreams[index].fault == FAULT_SLOW)
    ms *= SLOW_FACTOR;
  if (fleet->now_ms < fleet->upstreams[index].warm_at_ms)
    ms = (uint32_t)(ms * COLD_FACTOR);
  return ms * (each != 0 && index % each == 0 ? 4 : 1);
}

/* Returns whether the queue of upstream INDEX is full.  */
static bool
is_queue_full (const struct fleet *fleet, uint32_t index)
{
  const struct fake_upstream *upstream = &fleet->upstreams[index];
  uint32_t held = 0;

  if (fleet->options->queue == 0)
    return false;
  for (uint32_t i = 0; i < UPSTREAM_FLOWS_MAX; i++)
    held += upstream->flows[i].used && upstream->flows[i].ends_ms != 0;
  return held >= fleet->options->slots + fleet->options->queue;
}

static void
shed_request (struct fleet *fleet, uint32_t index,
              const struct upstream_flow *flow, uint32_t request)
{
  struct raw_packet packet = make_packet (
      flow->key.service_address, flow->key.caller, GALENA_PACKET_ACKNOWLEDGES);

  packet.sequence = flow->sequence + 1;
  packet.acknowledged = request + REQUEST_BYTES;
  packet.data_size = SHED_BYTES;
  send_from_upstream (fleet, index, packet);
}

static void
hang_request (struct fleet *fleet, uint32_t index, struct upstream_flow *flow,
              uint32_t request)
{
  (void)fleet;
  (void)index;
  flow->ends_ms = UINT32_MAX;
  flow->request_sequence = request;
}

static void
shed_without_need (struct fleet *fleet, uint32_t index,
                   struct upstream_flow *flow, uint32_t request)
{
  shed_request (fleet, index, flow, request);
}

static void
reset_flow (struct fleet *fleet, uint32_t index, struct upstream_flow *flow,
            uint32_t request)
{
  (void)request;
  send_from_upstream (
      fleet, index,
      make_packet (ROUTE, flow->key.caller, GALENA_PACKET_RESETS));
  flow->used = false;
}

typedef void request_failer (struct fleet *fleet, uint32_t index,
                             struct upstream_flow *flow, uint32_t request);

static request_failer *const FAILERS[FAULT_COUNT] = {
  [FAULT_HANG] = hang_request,
  [FAULT_SHED] = shed_without_need,
  [FAULT_RESET] = reset_flow,
};

/* Lets upstream INDEX fail a request if it has a fault; returns whether it
   does.  */
static bool
fail_request (struct fleet *fleet, uint32_t index, struct upstream_flow *flow,
              uint32_t request)
{
  request_failer *failer = FAILERS[fleet->upstreams[index].fault];

  if (failer == NULL
      || galena_random_below (&fleet->random, PERCENT)
             >= fleet->options->fault_percent)
    return false;
  failer (fleet, index, flow, request);
  return true;
}

/* Assigns a request of FLOW to the slot that becomes free first.  */
static void
run_request (struct fleet *fleet, uint32_t index, struct upstream_flow *flow,
             uint32_t request)
{
  struct fake_upstream *upstream = &fleet->upstreams[index];
  uint32_t best = 0;

  if (flow->ends_ms != 0 && flow->request_sequence == request)
    return;
  if (fail_request (fleet, index, flow, request))
    return;
  if (is_queue_full (fleet, index))
    {
      shed_request (fleet, index, flow, request);
      return;
    }
  for (uint32_t i = 1; i < fleet->options->slots; i++)
    if (upstream->slots[i] < upstream->slots[best])
      best = i;
  if (upstream->slots[best] < fleet->now_ms)
    upstream->slots[best] = fleet->now_ms;
  upstream->slots[best] += work_ms (fleet, index, flow);
  flow->ends_ms = upstream->slots[best];
  flow->request_sequence = request;
}

static void
upstream_on_packet (struct fleet *fleet, uint32_t index,
                    const struct raw_packet *packet)
{
  struct fake_upstream *upstream = &fleet->upstreams[index];
  struct galena_flow_key key = { packet->source, packet->destination };
  struct upstream_flow *flow;

  if (upstream->frozen)
    return;
  if (packet->checksum != checksum_of (packet))
    fleet->report->altered++;
  if ((packet->flags & GALENA_PACKET_OPENS) != 0)
    {
      open_at_upstream (fleet, index, packet);
      return;
    }
  flow = find_flow (upstream, key);
  if ((packet->flags & GALENA_PACKET_RESETS) != 0)
    {
      if (flow != NULL)
        flow->used = false;
      return;
    }
  if (flow == NULL
      || (!flow->open && packet->acknowledged != flow->sequence + 1))
    {
      return_packet (fleet, index, *packet);
      return;
    }
  flow->open = true;
  if ((packet->flags & GALENA_PACKET_ENDS) != 0)
    flow->used = false;
  else if (packet->data_size == REQUEST_BYTES)
    run_request (fleet, index, flow, packet->sequence);
}

static void
answer_request (struct fleet *fleet, uint32_t index,
                struct upstream_flow *flow)
{
  uint32_t caller = caller_at (fleet, flow->key.caller);
  struct raw_packet packet = make_packet (
      flow->key.service_address, flow->key.caller, GALENA_PACKET_ACKNOWLEDGES);

  fleet->report->ran_in_vain
      += fleet->callers[caller].port != flow->key.caller.port;
  packet.sequence = flow->sequence + 1;
  packet.acknowledged = flow->request_sequence + REQUEST_BYTES;
  packet.data_size = ANSWER_BYTES;
  flow->ends_ms = 0;
  fleet->upstreams[index].answered++;
  send_from_upstream (fleet, index, packet);
}

static void
run_upstreams (struct fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->options->upstreams; i++)
    for (uint32_t j = 0; j < UPSTREAM_FLOWS_MAX; j++)
      {
        struct upstream_flow *flow = &fleet->upstreams[i].flows[j];

        if (flow->used && flow->ends_ms != 0 && flow->ends_ms <= fleet->now_ms
            && !fleet->upstreams[i].frozen)
          answer_request (fleet, i, flow);
      }
}

/* Adds the registrations of other writers that are LISTED_FIRST or not to
   ROWS, which has COUNT rows.  Returns the new number of rows.  */
static uint32_t
add_foreign_rows (const struct fleet *fleet, bool listed_first,
                  struct galena_published_upstream *rows, uint32_t count)
{
  for (uint32_t i = 0; i < PLANES_FOREIGN_MAX; i++)
    {
      const struct planes_foreign *foreign = &fleet->options->foreign[i];

      if (!fleet->foreign_published[i]
          || foreign->listed_first != listed_first)
        continue;
      for (uint32_t at = foreign->first; at <= foreign->last; at++)
        rows[count++] = (struct galena_published_upstream){
          .service = galena_service_key_of (
              foreign->service != NULL
                  ? foreign->service
                  : SERVICES[first_service_of (fleet, at)]),
          .address = { AGENT_IP + at,
                       foreign->port != 0 ? foreign->port : UPSTREAM_PORT },
          .state = foreign->state,
          .slots = FOREIGN_SLOTS,
          .started_unix_ms = fleet->upstreams[at].started_ms
                             + (uint64_t)foreign->started_after_ms,
        };
    }
  return count;
}

static struct galena_directory *
make_directory (const struct fleet *fleet)
{
  struct galena_published_upstream rows[PUBLISHED_MAX];
  struct galena_route routes[2 + PLANES_KINDS_MAX]
      = { { .address = ROUTE, .share_count = 1 },
          { .address = SECOND_ROUTE, .share_count = 1 } };
  struct galena_directory_options options
      = { .version = fleet->version,
          .routes = routes,
          .upstreams = rows,
          .evacuations = fleet->evacuations,
          .evacuation_count = PLANES_ZONES,
          .position = { 1, fleet->revision },
          .unix_ms = unix_ms (fleet) };
  struct galena_service_limits limits
      = { .service = galena_service_key_of (SERVICES[0]),
          .warm_up_ms = fleet->options->warm_up_ms,
          .warm_up_per_s = fleet->options->warm_up_per_s };
  struct galena_directory *directory;

  options.services = &limits;
  options.service_count = 1;
  memset (rows, 0, sizeof rows);
  options.route_count
      = fleet->route_dropped ? 0 : 1 + fleet->options->second_route;
  routes[0].work
      = (struct galena_work_class){ .aim_ms = fleet->options->aim_ms,
                                    .timeout_ms = fleet->options->timeout_ms };
  routes[0].shares[0] = (struct galena_route_share){
    galena_service_key_of (SERVICES[fleet->route_service]), 1
  };
  routes[1].shares[0]
      = (struct galena_route_share){ galena_service_key_of (SERVICES[1]), 1 };
  for (uint32_t i = 0; i < fleet->options->kind_count; i++)
    {
      struct galena_route *route = &routes[options.route_count++];

      *route = routes[0];
      route->address = route_of (fleet, i);
      route->work = fleet->options->kinds[i].work;
    }
  options.upstream_count = add_foreign_rows (fleet, true, rows, 0);
  for (uint32_t i = 0; i < fleet->options->upstreams; i++)
    {
      const struct fake_upstream *upstream = &fleet->upstreams[i];

      if (upstream->published_state == GALENA_PUBLISHED_ABSENT)
        continue;
      rows[options.upstream_count++] = (struct galena_published_upstream){
        .service = galena_service_key_of (SERVICES[service_of (fleet, i)]),
        .address = { AGENT_IP + i, UPSTREAM_PORT },
        .zone = i % PLANES_ZONES,
        .state = upstream->published_state,
        .slots = fleet->options->slots,
        .started_unix_ms = upstream->started_ms,
        .warm_up_ms = upstream->starts > 0 ? fleet->options->warm_up_ms : 0,
        .sequence = upstream->starts,
      };
    }
  options.upstream_count
      = add_foreign_rows (fleet, false, rows, options.upstream_count);
  if (galena_directory_create (&options, &directory) != GALENA_OK)
    abort ();
  return directory;
}

/* Publishes the current state to the connected ones of entries FIRST to
   LAST.  */
static void
update_directories (struct fleet *fleet, uint32_t first, uint32_t last)
{
  for (uint32_t i = first; i <= last && i < fleet->options->entries; i++)
    if (!fleet->entry_disconnected[i])
      {
        galena_directory_destroy (fleet->directories[i]);
        fleet->directories[i] = make_directory (fleet);
      }
}

static struct galena_plane *
make_plane (struct fleet *fleet, enum galena_role role, uint32_t index,
            bool first_start)
{
  struct galena_plane_options options = {
    .role = role,
    .seed = galena_random_next (&fleet->random),
    .self
    = { (role == GALENA_ROLE_ENTRY ? ENTRY_IP : AGENT_IP) + index, PEER_PORT },
    .seed_count = 2,
    .seeds = { { ENTRY_IP, PEER_PORT }, { ENTRY_IP + 1, PEER_PORT } },
    .flows = 4096,
    .messages = 4096,
    .flow_idle_ms = 60000,
    .zone = index % PLANES_ZONES,
    .first_start = first_start,
    .warm_up_overrun = fleet->options->warm_up_overrun,
    .warm_up_slack = fleet->options->warm_up_slack,
    .load_control = fleet->options->load_control,
  };
  struct galena_plane *plane;

  if (role == GALENA_ROLE_AGENT)
    {
      options.service
          = galena_service_key_of (SERVICES[service_of (fleet, index)]);
      options.upstream_port = UPSTREAM_PORT;
      options.started_unix_ms = unix_ms (fleet);
    }
  if (galena_plane_create (&options, &plane) != GALENA_OK)
    abort ();
  return plane;
}

static void
start_entry (struct fleet *fleet, uint32_t index, bool first_start)
{
  galena_plane_destroy (fleet->entries[index]);
  fleet->entries[index]
      = make_plane (fleet, GALENA_ROLE_ENTRY, index, first_start);
  galena_directory_destroy (fleet->directories[index]);
  fleet->directories[index] = NULL;
  update_directories (fleet, index, index);
}

static void
start_agent (struct fleet *fleet, uint32_t index, bool first_start)
{
  struct fake_upstream *upstream = &fleet->upstreams[index];

  galena_plane_destroy (upstream->agent);
  upstream->agent = make_plane (fleet, GALENA_ROLE_AGENT, index, first_start);
  upstream->agent_up = true;
  upstream->warm_at_ms = fleet->now_ms + fleet->options->cold_ms;
}

static void
publish_upstream (struct fleet *fleet, uint32_t index,
                  enum galena_published_state published_state)
{
  fleet->upstreams[index].published_state = published_state;
  fleet->upstreams[index].published_since = fleet->now_ms;
  fleet->version++;
}

typedef void action_runner (struct fleet *fleet, uint32_t index);

static void
restart_entry (struct fleet *fleet, uint32_t index)
{
  start_entry (fleet, index, false);
}

static void
leave_rotation (struct fleet *fleet, uint32_t index)
{
  fleet->entry_up[index] = false;
}

static void
join_rotation (struct fleet *fleet, uint32_t index)
{
  fleet->entry_up[index] = true;
}

static void
restart_agent (struct fleet *fleet, uint32_t index)
{
  start_agent (fleet, index, false);
}

static void
stop_agent (struct fleet *fleet, uint32_t index)
{
  fleet->upstreams[index].agent_up = false;
}

static void
restart_upstream (struct fleet *fleet, uint32_t index)
{
  struct fake_upstream *upstream = &fleet->upstreams[index];

  memset (upstream->flows, 0, sizeof upstream->flows);
}

static void
publish_restarted (struct fleet *fleet, uint32_t index)
{
  fleet->upstreams[index].started_ms = unix_ms (fleet);
  fleet->upstreams[index].starts++;
  fleet->upstreams[index].opened_count = 0;
  fleet->upstreams[index].warms_up_until_ms
      = fleet->now_ms + fleet->options->warm_up_ms;
  publish_upstream (fleet, index, GALENA_PUBLISHED_READY);
}

static void
give_address (struct fleet *fleet, uint32_t index)
{
  fleet->upstreams[index].address_given = true;
  restart_upstream (fleet, index);
  publish_restarted (fleet, index);
  start_agent (fleet, index, false);
}

static void
freeze_upstream (struct fleet *fleet, uint32_t index)
{
  fleet->upstreams[index].frozen = true;
}

static void
resume_upstream (struct fleet *fleet, uint32_t index)
{
  fleet->upstreams[index].frozen = false;
}

static void
begin_hang (struct fleet *fleet, uint32_t index)
{
  fleet->upstreams[index].fault = FAULT_HANG;
}

static void
begin_shed (struct fleet *fleet, uint32_t index)
{
  fleet->upstreams[index].fault = FAULT_SHED;
}

static void
begin_reset (struct fleet *fleet, uint32_t index)
{
  fleet->upstreams[index].fault = FAULT_RESET;
}

static void
begin_slow (struct fleet *fleet, uint32_t index)
{
  fleet->upstreams[index].fault = FAULT_SLOW;
}

static void
end_fault (struct fleet *fleet, uint32_t index)
{
  fleet->upstreams[index].fault = FAULT_NONE;
}

static void
publish_ready (struct fleet *fleet, uint32_t index)
{
  publish_upstream (fleet, index, GALENA_PUBLISHED_READY);
}

static void
publish_draining (struct fleet *fleet, uint32_t index)
{
  publish_upstream (fleet, index, GALENA_PUBLISHED_DRAINING);
}

static void
publish_absent (struct fleet *fleet, uint32_t index)
{
  publish_upstream (fleet, index, GALENA_PUBLISHED_ABSENT);
}

static void
refuse_flows (struct fleet *fleet, uint32_t index)
{
  fleet->upstreams[index].refuses_flows = true;
}

static void
accept_flows (struct fleet *fleet, uint32_t index)
{
  fleet->upstreams[index].refuses_flows = false;
}

static void
disconnect_entry (struct fleet *fleet, uint32_t index)
{
  fleet->entry_disconnected[index] = true;
}

static void
reconnect_entry (struct fleet *fleet, uint32_t index)
{
  fleet->entry_disconnected[index] = false;
}

static void
publish_foreign (struct fleet *fleet, uint32_t index)
{
  fleet->foreign_published[index] = true;
  fleet->version++;
}

static void
remove_foreign (struct fleet *fleet, uint32_t index)
{
  fleet->foreign_published[index] = false;
  fleet->version++;
}

static void
reroute (struct fleet *fleet, uint32_t index)
{
  (void)index;
  fleet->service_before = fleet->route_service;
  fleet->rerouted_ms = fleet->now_ms;
  fleet->route_service = 1;
  fleet->version++;
}

static void
drop_route (struct fleet *fleet, uint32_t index)
{
  (void)index;
  fleet->route_dropped = true;
  fleet->version++;
}

static void
set_evacuated (struct fleet *fleet, uint32_t zone, bool in_force)
{
  fleet->revision++;
  fleet->evacuations[zone] = (struct galena_zone_evacuation){
    zone, in_force, { 1, fleet->revision }
  };
  fleet->evacuated_since[zone] = fleet->now_ms;
}

static void
evacuate_zone (struct fleet *fleet, uint32_t zone)
{
  set_evacuated (fleet, zone, true);
}

static void
return_zone (struct fleet *fleet, uint32_t zone)
{
  set_evacuated (fleet, zone, false);
}

static void
reuse_port (struct fleet *fleet, uint32_t index)
{
  fleet->callers[index].reuses_port = true;
}

static void
copy_opening (struct fleet *fleet, uint32_t index)
{
  const struct fake_caller *caller = &fleet->callers[index];
  struct raw_packet packet
      = make_packet (caller_address (fleet, index), route_of (fleet, index),
                     GALENA_PACKET_OPENS);

  packet.sequence = caller->opening_sequence;
  if (caller->open)
    send_from_caller (fleet, packet);
}

static action_runner *const RUNNERS[PLANES_ACTION_COUNT] = {
  [PLANES_RESTART_ENTRIES] = restart_entry,
  [PLANES_RESTART_AGENTS] = restart_agent,
  [PLANES_ENTRIES_OUT_OF_ROTATION] = leave_rotation,
  [PLANES_ENTRIES_IN_ROTATION] = join_rotation,
  [PLANES_STOP_AGENTS] = stop_agent,
  [PLANES_START_AGENTS] = restart_agent,
  [PLANES_RESTART_UPSTREAMS] = restart_upstream,
  [PLANES_GIVE_ADDRESSES] = give_address,
  [PLANES_FREEZE_UPSTREAMS] = freeze_upstream,
  [PLANES_RESUME_UPSTREAMS] = resume_upstream,
  [PLANES_UPSTREAMS_HANG] = begin_hang,
  [PLANES_UPSTREAMS_SHED] = begin_shed,
  [PLANES_UPSTREAMS_RESET] = begin_reset,
  [PLANES_UPSTREAMS_SLOW] = begin_slow,
  [PLANES_UPSTREAMS_WELL] = end_fault,
  [PLANES_PUBLISH_READY] = publish_ready,
  [PLANES_PUBLISH_RESTARTED] = publish_restarted,
  [PLANES_PUBLISH_DRAINING] = publish_draining,
  [PLANES_PUBLISH_ABSENT] = publish_absent,
  [PLANES_REFUSE_FLOWS] = refuse_flows,
  [PLANES_ACCEPT_FLOWS] = accept_flows,
  [PLANES_DISCONNECT_ENTRIES] = disconnect_entry,
  [PLANES_RECONNECT_ENTRIES] = reconnect_entry,
  [PLANES_PUBLISH_FOREIGN] = publish_foreign,
  [PLANES_REMOVE_FOREIGN] = remove_foreign,
  [PLANES_REROUTE] = reroute,
  [PLANES_DROP_ROUTE] = drop_route,
  [PLANES_EVACUATE_ZONE] = evacuate_zone,
  [PLANES_RETURN_ZONE] = return_zone,
  [PLANES_REUSE_PORTS] = reuse_port,
  [PLANES_COPY_OPENINGS] = copy_opening,
};

static void
run_actions (struct fleet *fleet)
{
  for (uint32_t i = 0; i < PLANES_ACTIONS_MAX; i++)
    {
      const struct planes_action *action = &fleet->options->actions[i];

      if (action->kind == PLANES_NOTHING || action->at_ms != fleet->now_ms)
        continue;
      for (uint32_t index = action->first; index <= action->last; index++)
        RUNNERS[action->kind](fleet, index);
      update_directories (fleet, 0, fleet->options->entries - 1);
    }
}

static void
read_raw (const struct raw_packet *raw, struct galena_packet *packet)
{
  *packet = (struct galena_packet){
    .source = raw->source,
    .destination = raw->destination,
    .sequence = raw->sequence,
    .acknowledged = raw->acknowledged,
    .data_size = raw->data_size,
    .flags = raw->flags,
    .bytes = (const uint8_t *)raw,
    .size = sizeof *raw,
  };
}

/* Pushes a message in flight to PLANE as input from SIDE.  */
static void
push_input (struct galena_plane *plane, enum galena_side side,
            struct sent_message *sent)
{
  struct galena_input *input = galena_plane_next_input (plane);

  if (input == NULL)
    return;
  input->side = side;
  input->peer = sent->peer;
  if (side != GALENA_SIDE_PEER)
    {
      read_raw (&sent->packet, &input->packet);
      /* The bytes that the agent sends on are those of the caller's packet,
         without the flag of the upstream.  */
      sent->packet.flags &= (uint8_t)~GALENA_PACKET_RETURNED;
    }
  else
    {
      input->message = sent->message;
      input->message.bytes = NULL;
      input->message.size = 0;
      if (sent->has_packet)
        {
          read_raw (&sent->packet, &input->message.packet);
          input->message.bytes = (const uint8_t *)&sent->packet;
          input->message.size = sizeof sent->packet;
        }
      if (sent->body_size > 0)
        {
          input->message.bytes = sent->body;
          input->message.size = sent->body_size;
        }
    }
  galena_plane_push (plane);
}

static void
deliver (struct fleet *fleet, struct sent_message *sent)
{
  /* The index may also be that of a caller, which can be larger.  */
  const struct fake_upstream *upstream
      = &fleet->upstreams[sent->index % PLANES_UPSTREAMS_MAX];
  enum galena_side side
      = sent->is_message ? GALENA_SIDE_PEER : GALENA_SIDE_CALLER;

  switch (sent->to)
    {
    case TO_ENTRY:
      push_input (fleet->entries[sent->index], side, sent);
      break;
    case TO_AGENT_FROM_PEER:
      if (upstream->agent_up)
        push_input (upstream->agent, GALENA_SIDE_PEER, sent);
      break;
    case TO_AGENT_FROM_UPSTREAM:
      if (upstream->agent_up)
        push_input (upstream->agent, GALENA_SIDE_APPLICATION, sent);
      break;
    case TO_UPSTREAM:
      upstream_on_packet (fleet, sent->index, &sent->packet);
      break;
    case TO_CALLER:
      caller_on_packet (fleet, sent->index, &sent->packet);
      break;
    default:
      break;
    }
}

/* Sends the message of an output to the process at its address.  */
static void
send_output_message (struct fleet *fleet, struct galena_endpoint from,
                     const struct galena_output *output)
{
  bool to_entry = output->peer.ip < AGENT_IP;
  uint32_t index = output->peer.ip - (to_entry ? ENTRY_IP : AGENT_IP);
  const uint8_t *bytes = output->message.bytes;
  struct sent_message *sent;

  if (index
      >= (to_entry ? fleet->options->entries : fleet->options->upstreams))
    return;
  if (output->message.type == GALENA_PEER_OPEN)
    {
      fleet->report->opens++;
      fleet->report->cross_zone
          += (from.ip - ENTRY_IP) % PLANES_ZONES != index % PLANES_ZONES;
    }
  sent = enqueue (fleet, to_entry ? TO_ENTRY : TO_AGENT_FROM_PEER, index, 1);
  sent->is_message = true;
  sent->peer = from;
  sent->message = output->message;
  if (bytes == NULL && output->packet_copy_size > 0)
    bytes = output->packet_copy;
  if (bytes == NULL)
    return;
  if (!galena_peer_carries_packet (output->message.type))
    {
      sent->body_size = output->packet_copy_size;
      memcpy (sent->body, bytes, output->packet_copy_size);
      return;
    }
  sent->has_packet = true;
  memcpy (&sent->packet, bytes, sizeof sent->packet);
}

static void
send_output (struct fleet *fleet, struct galena_endpoint from, uint32_t index,
             const struct galena_output *output)
{
  struct sent_message *sent;

  if (output->kind == GALENA_OUTPUT_MESSAGE)
    {
      send_output_message (fleet, from, output);
      return;
    }
  if (output->side == GALENA_SIDE_APPLICATION)
    sent = enqueue (fleet, TO_UPSTREAM, index, 1);
  else
    sent = enqueue (fleet, TO_CALLER, caller_at (fleet, output->peer), 1);
  sent->has_packet = true;
  if (output->kind == GALENA_OUTPUT_PACKET)
    memcpy (&sent->packet, output->bytes, sizeof sent->packet);
  else
    sent->packet = make_packet (output->flow.service_address,
                                output->flow.caller, GALENA_PACKET_RESETS);
}

static void
tick (struct fleet *fleet, struct galena_plane *plane,
      struct galena_endpoint self, uint32_t index,
      const struct galena_directory *directory)
{
  /* To a plane, a time of 0 ms means "never".  */
  struct galena_clock now = { fleet->now_ms + 1 };

  galena_plane_tick (plane, now, directory);
  for (uint32_t i = 0; i < galena_plane_output_count (plane); i++)
    send_output (fleet, self, index, galena_plane_output (plane, i));
  for (uint32_t i = 0; i < galena_plane_logged_event_count (plane); i++)
    fleet->report->events[galena_plane_logged_event_at (plane, i)->event]++;
}

/* Delivers the messages that are due, and runs a tick of every process.
   Delivered messages stay in the table until the ticks have read them.  */
static void
run_processes (struct fleet *fleet)
{
  uint32_t count = fleet->sent_count;
  uint32_t kept = 0;

  for (uint32_t i = 0; i < count; i++)
    if (fleet->sent_messages[i].at_ms <= fleet->now_ms)
      deliver (fleet, &fleet->sent_messages[i]);
  for (uint32_t i = 0; i < fleet->options->entries; i++)
    tick (fleet, fleet->entries[i],
          (struct galena_endpoint){ ENTRY_IP + i, PEER_PORT }, i,
          fleet->directories[i]);
  for (uint32_t i = 0; i < fleet->options->upstreams; i++)
    if (fleet->upstreams[i].agent_up)
      tick (fleet, fleet->upstreams[i].agent,
            (struct galena_endpoint){ AGENT_IP + i, PEER_PORT }, i, NULL);
  for (uint32_t i = 0; i < fleet->sent_count; i++)
    if (fleet->sent_messages[i].at_ms > fleet->now_ms)
      fleet->sent_messages[kept++] = fleet->sent_messages[i];
  fleet->sent_count = kept;
}

/* Compares the running requests that agents report with those that run.  */
static void
check_loads (struct fleet *fleet)
{
  if (fleet->now_ms % 1000 != 0
      || fleet->now_ms > fleet->options->length_ms / 2)
    return;
  for (uint32_t i = 0; i < fleet->options->upstreams; i++)
    {
      const struct fake_upstream *upstream = &fleet->upstreams[i];
      uint32_t reported = galena_plane_pending_requests (upstream->agent);
      uint32_t running = 0;
      uint32_t difference;

      for (uint32_t j = 0; j < UPSTREAM_FLOWS_MAX; j++)
        running += upstream->flows[j].used && upstream->flows[j].ends_ms != 0;
      difference
          = reported > running ? reported - running : running - reported;
      if (difference > fleet->report->load_error)
        fleet->report->load_error = difference;
    }
}

/* Samples how many upstreams entries have ejected.  */
static void
check_ejected (struct fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->options->entries; i++)
    {
      uint32_t ejected = galena_plane_ejected_upstreams (fleet->entries[i]);

      if (ejected > fleet->report->ejected_max)
        fleet->report->ejected_max = ejected;
    }
}

static void
count_ejections (struct fleet *fleet, const struct galena_plane *entry)
{
  struct planes_report *report = fleet->report;

  report->ejections
      += galena_plane_counter_value (entry, GALENA_PLANE_EJECTED_FAILING)
         + galena_plane_counter_value (entry, GALENA_PLANE_EJECTED_SLOW)
         + galena_plane_counter_value (entry, GALENA_PLANE_EJECTED_QUICK);
  report->reinstated
      += galena_plane_counter_value (entry, GALENA_PLANE_REINSTATED);
}

static void
start_fleet (struct fleet *fleet)
{
  fleet->version = 1;
  for (uint32_t i = 0; i < PLANES_ZONES; i++)
    fleet->evacuations[i].zone = i;
  for (uint32_t i = 0; i < fleet->options->upstreams; i++)
    {
      fleet->upstreams[i].published_state = GALENA_PUBLISHED_READY;
      fleet->upstreams[i].started_ms = unix_ms (fleet);
      start_agent (fleet, i, true);
    }
  for (uint32_t i = 0; i < fleet->options->entries; i++)
    {
      fleet->entry_up[i] = true;
      start_entry (fleet, i, true);
    }
  for (uint32_t i = 0; i < fleet->options->callers; i++)
    {
      fleet->callers[i].port
          = (uint16_t)(1024
                       + i
                             * (fleet->options->shared_address != 0
                                    ? SHARED_CALLER_PORTS
                                    : CALLER_PORTS));
      fleet->callers[i].due_ms
          = 1000 + galena_random_below (&fleet->random, 1000);
    }
}

static void
add_counters (struct fleet *fleet, const struct galena_plane *plane)
{
  for (uint32_t i = 0; i < GALENA_PLANE_COUNTER_COUNT; i++)
    fleet->report->counters[i]
        += galena_plane_counter_value (plane, (enum galena_plane_counter)i);
}

static void
stop_fleet (struct fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->options->entries; i++)
    {
      count_ejections (fleet, fleet->entries[i]);
      add_counters (fleet, fleet->entries[i]);
      fleet->report->rows += galena_plane_flow_count (fleet->entries[i]);
      galena_plane_destroy (fleet->entries[i]);
      galena_directory_destroy (fleet->directories[i]);
    }
  for (uint32_t i = 0; i < fleet->options->upstreams; i++)
    {
      add_counters (fleet, fleet->upstreams[i].agent);
      fleet->report->rows
          += galena_plane_flow_count (fleet->upstreams[i].agent);
      fleet->report->handed_back += (uint32_t)galena_plane_counter_value (
          fleet->upstreams[i].agent, GALENA_PLANE_HANDED_BACK);
      if (fleet->upstreams[i].answered > fleet->report->busiest)
        fleet->report->busiest = fleet->upstreams[i].answered;
      galena_plane_destroy (fleet->upstreams[i].agent);
    }
}

void
planes_run (const struct planes_options *options, struct planes_report *report)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);

  if (fleet == NULL)
    abort ();
  *report = (struct planes_report){ 0 };
  fleet->options = options;
  fleet->report = report;
  fleet->random = (struct galena_random){ options->seed, 0 };
  start_fleet (fleet);
  for (; fleet->now_ms < options->length_ms; fleet->now_ms++)
    {
      run_actions (fleet);
      run_callers (fleet);
      run_upstreams (fleet);
      run_processes (fleet);
      check_loads (fleet);
      check_ejected (fleet);
    }
  stop_fleet (fleet);
  free (fleet);
}
