/* Flows of one service in virtual time: a queue of events, upstreams that work
   in the order of arrival, callers with long and short flows.  */

#include <string.h>

#include <glib.h>

#include <galenaford/peer_wire.h>
#include <galenaford/random.h>

#include "placement.h"

enum
{
  ZONES = 3,
  SLOTS = 2,
  QUEUE = 8,
  US_PER_MS = 1000,
  US_PER_S = 1000000,
  /* One-way delays.  */
  IN_ZONE_US = 200,
  BETWEEN_ZONES_US = 1400,
  TO_CALLER_US = 3000,
  TO_UPSTREAM_US = 20,
  WARM_UP_MS = 5000,
  /* Mean service time at an upstream of mean speed.  */
  LONG_WORK_US = 30000,
  SHORT_WORK_US = 39000,
  /* Requests of a long flow, which it sends a second apart on average.  */
  LONG_REQUESTS = 20,
  /* Bytes of headers of a message.  */
  HEADER_BYTES = 100,
  MESSAGE_BYTES_MAX = 2048,
  REQUEST_BYTES = 100,
  WAIT_BUCKET_US = 100,
  WAIT_BUCKETS = 20000,
  PEER_PORT = 7000,
  ROUTE_IP = 0xC6120001,
  ROUTE_PORT = 443,
  ENTRY_IP = 0x0A010001,
  AGENT_IP = 0x0A020001,
  CALLER_IP = 0x64400001
};

/* Share of the requests that come on long flows, as in deployment A.  */
static const double LONG_SHARE = 0.78;

/* Speeds of upstreams in turn.  */
static const double SPEEDS[] = { 0.7, 0.7, 1.7 };

enum event_kind
{
  /* Short flows begin one after another.  */
  SHORT_BEGINS,
  /* A packet or message reaches a process, an upstream or a caller.  */
  TO_ENTRY,
  TO_AGENT,
  TO_UPSTREAM,
  TO_CALLER,
  /* A long flow sends its next request; an upstream finishes one.  */
  NEXT_REQUEST,
  FINISHED,
  EVENT_KINDS
};

/* The bytes of a packet are this structure.  */
struct raw_packet
{
  struct galena_endpoint source;
  struct galena_endpoint destination;
  uint32_t sequence;
  uint32_t acknowledged;
  uint16_t data_size;
  uint8_t flags;
};

struct event
{
  uint64_t at_us;
  enum event_kind kind;
  /* Entry, upstream or flow.  */
  uint32_t index;
  enum galena_side side;
  struct galena_endpoint peer;
  struct galena_peer_message message;
  bool has_packet;
  struct raw_packet packet;
  /* Body of a message that is no packet; owned.  */
  GBytes *body;
};

struct flow
{
  uint32_t entry;
  uint32_t requests_left;
  bool is_long;
  uint32_t acknowledged;
  uint64_t began_us;
};

struct queued
{
  uint32_t flow;
  uint64_t since_us;
};

struct upstream
{
  struct galena_plane *agent;
  uint32_t running;
  uint32_t waiting;
  struct queued queue[QUEUE];
};

struct fleet
{
  const struct placement_options *options;
  struct placement_report *report;
  struct galena_random random;
  uint64_t now_us;
  uint64_t end_us;
  /* Of struct event, by their time.  */
  GSequence *events;
  struct galena_directory *directory;
  struct galena_plane **entries;
  struct upstream *upstreams;
  struct flow *flows;
  uint32_t flow_count;
  uint32_t flow_size;
  uint64_t integrated_us;
  double uneven_us;
  uint32_t opens;
  uint32_t cross_opens;
  uint32_t waits[WAIT_BUCKETS];
  uint32_t short_times[WAIT_BUCKETS];
};

static const struct galena_endpoint ROUTE = { ROUTE_IP, ROUTE_PORT };

static bool
is_measured (const struct fleet *fleet)
{
  return fleet->now_us >= (uint64_t)WARM_UP_MS * US_PER_MS;
}

static gint
compare_events (gconstpointer a, gconstpointer b, gpointer user)
{
  const struct event *first = a;
  const struct event *second = b;

  (void)user;
  return first->at_us < second->at_us ? -1 : first->at_us > second->at_us;
}

static void
free_event (gpointer data)
{
  struct event *event = data;

  g_bytes_unref (event->body);
  g_free (event);
}

static void
push_event (struct fleet *fleet, struct event event, uint32_t delay_us)
{
  event.at_us = fleet->now_us + delay_us;
  g_sequence_insert_sorted (fleet->events, g_memdup2 (&event, sizeof event),
                            compare_events, NULL);
}

/* Adds the time since the last call, in which the upstreams stayed as they
   are, to the figures.  */
static void
integrate (struct fleet *fleet)
{
  uint32_t waiting = 0;
  uint32_t free_slots = 0;

  for (uint32_t i = 0; i < fleet->options->upstreams; i++)
    {
      waiting += fleet->upstreams[i].waiting > 0;
      free_slots += SLOTS - fleet->upstreams[i].running;
    }
  if (is_measured (fleet) && free_slots > 0)
    fleet->uneven_us += (double)waiting / fleet->options->upstreams
                        * (double)(fleet->now_us - fleet->integrated_us);
  fleet->integrated_us = fleet->now_us;
}

static void
note_time (const struct fleet *fleet, uint32_t *buckets, uint64_t since_us)
{
  uint64_t bucket = (fleet->now_us - since_us) / WAIT_BUCKET_US;

  if (is_measured (fleet))
    buckets[bucket < WAIT_BUCKETS ? bucket : WAIT_BUCKETS - 1]++;
}

/* Returns the time in milliseconds that a SHARE of those in BUCKETS is
   below.  */
static double
percentile (const uint32_t *buckets, double share)
{
  double total = 0;
  double below = 0;
  uint32_t i = 0;

  for (uint32_t at = 0; at < WAIT_BUCKETS; at++)
    total += buckets[at];
  for (; i < WAIT_BUCKETS - 1 && below + buckets[i] < share * total; i++)
    below += buckets[i];
  return (double)i * WAIT_BUCKET_US / US_PER_MS;
}

static uint32_t
random_us (struct fleet *fleet, double mean_us)
{
  return (uint32_t)(mean_us * (0.5 + galena_random_unit (&fleet->random)));
}

static uint32_t
flow_of (struct galena_endpoint caller)
{
  return caller.ip - CALLER_IP;
}

static void
send_to_caller (struct fleet *fleet, struct raw_packet packet)
{
  push_event (fleet,
              (struct event){ .kind = TO_CALLER,
                              .index = flow_of (packet.destination),
                              .packet = packet },
              TO_CALLER_US);
}

static void
send_from_caller (struct fleet *fleet, uint32_t index, uint8_t flags,
                  uint16_t data_size)
{
  const struct flow *flow = &fleet->flows[index];
  struct event event = { .kind = TO_ENTRY,
                         .index = flow->entry,
                         .side = GALENA_SIDE_CALLER,
                         .has_packet = true };

  event.packet.source = (struct galena_endpoint){ CALLER_IP + index, 1024 };
  event.packet.destination = ROUTE;
  event.packet.sequence
      = (LONG_REQUESTS - flow->requests_left) * REQUEST_BYTES;
  event.packet.acknowledged = flow->acknowledged;
  event.packet.flags = flags;
  event.packet.data_size = data_size;
  push_event (fleet, event, TO_CALLER_US);
}

static void
begin_flow (struct fleet *fleet, bool is_long)
{
  struct flow *flow;

  g_assert_cmpuint (fleet->flow_count, <, fleet->flow_size);
  flow = &fleet->flows[fleet->flow_count];
  flow->entry = galena_random_below (&fleet->random, fleet->options->entries);
  flow->is_long = is_long;
  flow->requests_left = is_long ? LONG_REQUESTS : 1;
  flow->began_us = fleet->now_us;
  send_from_caller (fleet, fleet->flow_count++, GALENA_PACKET_OPENS, 0);
}

/* Returns the number of slots of mean speed that requests take.  */
static double
offered_slots (const struct fleet *fleet)
{
  return fleet->options->load * fleet->options->upstreams * SLOTS
         * (SPEEDS[0] + SPEEDS[1] + SPEEDS[2]) / 3;
}

/* Returns the requests per second on long flows, or on short ones.  */
static double
requests_per_s (const struct fleet *fleet, bool is_long)
{
  double long_share = fleet->options->flow_per_request ? 0 : LONG_SHARE;
  double work_us
      = long_share * LONG_WORK_US + (1 - long_share) * SHORT_WORK_US;

  return offered_slots (fleet) * US_PER_S / work_us
         * (is_long ? long_share : 1 - long_share);
}

static void
on_short_begins (struct fleet *fleet, const struct event *event)
{
  (void)event;
  begin_flow (fleet, false);
  push_event (fleet, (struct event){ .kind = SHORT_BEGINS },
              (uint32_t)(2 * galena_random_unit (&fleet->random) * US_PER_S
                         / requests_per_s (fleet, false)));
}

static void
on_next_request (struct fleet *fleet, const struct event *event)
{
  struct flow *flow = &fleet->flows[event->index];

  flow->requests_left--;
  send_from_caller (fleet, event->index, GALENA_PACKET_ACKNOWLEDGES,
                    REQUEST_BYTES);
}

static void
on_caller_packet (struct fleet *fleet, const struct event *event)
{
  struct flow *flow = &fleet->flows[event->index];

  if ((event->packet.flags & GALENA_PACKET_OPENS) != 0)
    {
      flow->acknowledged = event->packet.sequence + 1;
      on_next_request (fleet, event);
      return;
    }
  if (!flow->is_long)
    note_time (fleet, fleet->short_times, flow->began_us);
  if (flow->requests_left > 0)
    push_event (fleet,
                (struct event){ .kind = NEXT_REQUEST, .index = event->index },
                random_us (fleet, US_PER_S));
  else if (flow->is_long)
    begin_flow (fleet, true);
}

static uint32_t
work_us (struct fleet *fleet, uint32_t upstream, uint32_t flow)
{
  uint32_t turn = fleet->options->speed_by_zone ? upstream : upstream / ZONES;

  return random_us (fleet,
                    (fleet->flows[flow].is_long ? LONG_WORK_US : SHORT_WORK_US)
                        / SPEEDS[turn % 3]);
}

static void
answer (struct fleet *fleet, uint32_t index, uint32_t flow)
{
  struct event event = { .kind = TO_AGENT,
                         .index = index,
                         .side = GALENA_SIDE_APPLICATION,
                         .has_packet = true };

  event.packet.source = ROUTE;
  event.packet.destination
      = (struct galena_endpoint){ CALLER_IP + flow, 1024 };
  event.packet.sequence = fleet->flows[flow].acknowledged;
  event.packet.data_size = REQUEST_BYTES;
  event.packet.flags = GALENA_PACKET_ACKNOWLEDGES;
  if (fleet->flows[flow].requests_left == 0)
    event.packet.flags |= GALENA_PACKET_ENDS;
  push_event (fleet, event, TO_UPSTREAM_US);
}

static void
start_request (struct fleet *fleet, uint32_t index, struct queued request)
{
  fleet->upstreams[index].running++;
  note_time (fleet, fleet->waits, request.since_us);
  push_event (fleet,
              (struct event){ .kind = FINISHED,
                              .index = index,
                              .packet.sequence = request.flow },
              work_us (fleet, index, request.flow));
}

static void
on_finished (struct fleet *fleet, const struct event *event)
{
  struct upstream *upstream = &fleet->upstreams[event->index];
  struct queued next = upstream->queue[0];

  integrate (fleet);
  fleet->report->answered++;
  upstream->running--;
  answer (fleet, event->index, event->packet.sequence);
  if (upstream->waiting == 0)
    return;
  upstream->waiting--;
  memmove (upstream->queue, upstream->queue + 1,
           upstream->waiting * sizeof *upstream->queue);
  start_request (fleet, event->index, next);
}

static void
on_upstream_packet (struct fleet *fleet, const struct event *event)
{
  struct upstream *upstream = &fleet->upstreams[event->index];
  struct queued request = { flow_of (event->packet.source), fleet->now_us };
  struct event accept = { .kind = TO_AGENT,
                          .index = event->index,
                          .side = GALENA_SIDE_APPLICATION,
                          .has_packet = true };

  if ((event->packet.flags & GALENA_PACKET_OPENS) != 0)
    {
      accept.packet.source = ROUTE;
      accept.packet.destination = event->packet.source;
      accept.packet.sequence
          = 1 + galena_random_below (&fleet->random, 1 << 30);
      accept.packet.flags = GALENA_PACKET_OPENS | GALENA_PACKET_ACKNOWLEDGES;
      push_event (fleet, accept, TO_UPSTREAM_US);
      return;
    }
  integrate (fleet);
  if (upstream->running < SLOTS)
    start_request (fleet, event->index, request);
  else if (upstream->waiting < QUEUE)
    upstream->queue[upstream->waiting++] = request;
  else
    {
      fleet->report->shed++;
      answer (fleet, event->index, request.flow);
    }
}

static void
count_message (struct fleet *fleet, const struct galena_output *output,
               uint32_t from, uint32_t to)
{
  struct placement_report *report = fleet->report;
  struct galena_peer_message message = output->message;
  uint8_t bytes[MESSAGE_BYTES_MAX];
  size_t size = 0;

  if (!is_measured (fleet))
    return;
  if (message.bytes == NULL && output->packet_copy_size > 0)
    {
      message.bytes = output->packet_copy;
      message.size = output->packet_copy_size;
    }
  g_assert_cmpint (galena_peer_encode (&message, bytes, sizeof bytes, &size),
                   ==, GALENA_OK);
  report->messages_per_s++;
  report->bytes_per_s += (double)size + HEADER_BYTES;
  report->loads_per_s += message.type == GALENA_PEER_LOAD;
  report->refusals_per_s += message.type == GALENA_PEER_REFUSED;
  if (message.type != GALENA_PEER_OPEN)
    return;
  fleet->opens++;
  fleet->cross_opens += from % ZONES != to % ZONES;
}

static void
send_message (struct fleet *fleet, bool from_entry, uint32_t from,
              const struct galena_output *output)
{
  bool to_entry = output->peer.ip < AGENT_IP;
  uint32_t to = output->peer.ip - (to_entry ? ENTRY_IP : AGENT_IP);
  struct event event = {
    .kind = to_entry ? TO_ENTRY : TO_AGENT,
    .index = to,
    .side = GALENA_SIDE_PEER,
    .peer = { (from_entry ? ENTRY_IP : AGENT_IP) + from, PEER_PORT },
    .message = output->message,
  };
  const uint8_t *bytes = output->message.bytes;

  if (bytes == NULL && output->packet_copy_size > 0)
    bytes = output->packet_copy;
  event.has_packet
      = bytes != NULL && galena_peer_carries_packet (output->message.type);
  if (bytes != NULL && !event.has_packet)
    event.body = g_bytes_new (bytes, output->packet_copy_size);
  if (event.has_packet)
    memcpy (&event.packet, bytes, sizeof event.packet);
  count_message (fleet, output, from, to);
  push_event (fleet, event,
              from % ZONES == to % ZONES ? IN_ZONE_US : BETWEEN_ZONES_US);
}

static void
tick (struct fleet *fleet, struct galena_plane *plane, bool is_entry,
      uint32_t index)
{
  /* To a plane, a time of 0 ms means "never".  */
  struct galena_clock now = { (int64_t)(fleet->now_us / US_PER_MS) + 1 };

  galena_plane_tick (plane, now, is_entry ? fleet->directory : NULL);
  for (uint32_t i = 0; i < galena_plane_output_count (plane); i++)
    {
      const struct galena_output *output = galena_plane_output (plane, i);
      struct event event
          = { .kind = TO_UPSTREAM, .index = index, .has_packet = true };

      if (output->kind == GALENA_OUTPUT_MESSAGE)
        {
          send_message (fleet, is_entry, index, output);
          continue;
        }
      if (output->kind != GALENA_OUTPUT_PACKET)
        continue;
      memcpy (&event.packet, output->bytes, sizeof event.packet);
      if (output->side == GALENA_SIDE_APPLICATION)
        push_event (fleet, event, TO_UPSTREAM_US);
      else
        send_to_caller (fleet, event.packet);
    }
}

static struct galena_packet
read_raw (const struct raw_packet *raw)
{
  return (struct galena_packet){
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

static void
on_process_input (struct fleet *fleet, const struct event *event)
{
  bool is_entry = event->kind == TO_ENTRY;
  struct galena_plane *plane = is_entry ? fleet->entries[event->index]
                                        : fleet->upstreams[event->index].agent;
  struct galena_input *input = galena_plane_next_input (plane);
  gsize body_size = 0;

  input->side = event->side;
  input->peer = event->peer;
  if (event->side != GALENA_SIDE_PEER)
    input->packet = read_raw (&event->packet);
  else
    {
      input->message = event->message;
      input->message.bytes = NULL;
      input->message.size = 0;
      if (event->has_packet)
        {
          input->message.packet = read_raw (&event->packet);
          input->message.bytes = (const uint8_t *)&event->packet;
          input->message.size = sizeof event->packet;
        }
      if (event->body != NULL)
        input->message.bytes = g_bytes_get_data (event->body, &body_size);
      input->message.size += (uint32_t)body_size;
    }
  galena_plane_push (plane);
  tick (fleet, plane, is_entry, event->index);
}

static void (*const HANDLERS[EVENT_KINDS]) (struct fleet *fleet,
                                            const struct event *event)
    = {
        [SHORT_BEGINS] = on_short_begins, [TO_ENTRY] = on_process_input,
        [TO_AGENT] = on_process_input,    [TO_UPSTREAM] = on_upstream_packet,
        [TO_CALLER] = on_caller_packet,   [NEXT_REQUEST] = on_next_request,
        [FINISHED] = on_finished,
      };

static struct galena_plane *
make_plane (struct fleet *fleet, enum galena_role role, uint32_t index)
{
  struct galena_plane_options options = {
    .role = role,
    .seed = galena_random_next (&fleet->random),
    .self
    = { (role == GALENA_ROLE_ENTRY ? ENTRY_IP : AGENT_IP) + index, PEER_PORT },
    .seed_count = 2,
    .seeds = { { ENTRY_IP, PEER_PORT }, { ENTRY_IP + 1, PEER_PORT } },
    .flows = 16384,
    .messages = 256,
    .flow_idle_ms = 60000,
    .zone = index % ZONES,
    .first_start = true,
    .load_control = fleet->options->load_control,
  };
  struct galena_plane *plane;

  if (role == GALENA_ROLE_AGENT)
    options.service = galena_service_key_of ("first");
  g_assert_cmpint (galena_plane_create (&options, &plane), ==, GALENA_OK);
  return plane;
}

static void
make_directory (struct fleet *fleet)
{
  uint32_t count = fleet->options->upstreams;
  struct galena_published_upstream *rows
      = g_new0 (struct galena_published_upstream, count);
  struct galena_route route
      = { .address = ROUTE,
          .share_count = 1,
          .shares = { { galena_service_key_of ("first"), 1 } } };
  struct galena_directory_options options = { .version = 1,
                                              .routes = &route,
                                              .route_count = 1,
                                              .upstreams = rows,
                                              .upstream_count = count };

  for (uint32_t i = 0; i < count; i++)
    rows[i] = (struct galena_published_upstream){
      .service = galena_service_key_of ("first"),
      .address = { AGENT_IP + i, 0 },
      .zone = i % ZONES,
      .state = GALENA_PUBLISHED_READY,
      .slots = SLOTS,
    };
  g_assert_cmpint (galena_directory_create (&options, &fleet->directory), ==,
                   GALENA_OK);
  g_free (rows);
}

static void
start_fleet (struct fleet *fleet)
{
  const struct placement_options *options = fleet->options;
  uint32_t long_flows = (uint32_t)requests_per_s (fleet, true);

  fleet->end_us = (uint64_t)(WARM_UP_MS + options->length_ms) * US_PER_MS;
  fleet->flow_size
      = long_flows
        + (uint32_t)(2 * offered_slots (fleet) * US_PER_S / LONG_WORK_US)
              * (uint32_t)(1 + fleet->end_us / US_PER_S);
  fleet->events = g_sequence_new (free_event);
  fleet->flows = g_new0 (struct flow, fleet->flow_size);
  fleet->entries = g_new0 (struct galena_plane *, options->entries);
  fleet->upstreams = g_new0 (struct upstream, options->upstreams);
  make_directory (fleet);
  for (uint32_t i = 0; i < options->entries; i++)
    fleet->entries[i] = make_plane (fleet, GALENA_ROLE_ENTRY, i);
  for (uint32_t i = 0; i < options->upstreams; i++)
    fleet->upstreams[i].agent = make_plane (fleet, GALENA_ROLE_AGENT, i);
  for (uint32_t i = 0; i < long_flows; i++)
    {
      /* Within two seconds, once the entries know the upstreams.  */
      fleet->now_us
          = US_PER_S + galena_random_below (&fleet->random, 2 * US_PER_S);
      begin_flow (fleet, true);
    }
  fleet->now_us = 0;
  push_event (fleet, (struct event){ .kind = SHORT_BEGINS }, US_PER_S);
}

static void
stop_fleet (struct fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->options->entries; i++)
    galena_plane_destroy (fleet->entries[i]);
  for (uint32_t i = 0; i < fleet->options->upstreams; i++)
    galena_plane_destroy (fleet->upstreams[i].agent);
  galena_directory_destroy (fleet->directory);
  g_sequence_free (fleet->events);
  g_free (fleet->entries);
  g_free (fleet->upstreams);
  g_free (fleet->flows);
}

static void
fill_report (const struct fleet *fleet)
{
  struct placement_report *report = fleet->report;
  double seconds = (double)fleet->options->length_ms / 1000;

  report->uneven = fleet->uneven_us / (seconds * US_PER_S);
  report->wait_p50_ms = percentile (fleet->waits, 0.5);
  report->wait_p99_ms = percentile (fleet->waits, 0.99);
  report->short_p50_ms = percentile (fleet->short_times, 0.5);
  report->short_p99_ms = percentile (fleet->short_times, 0.99);
  report->messages_per_s /= seconds;
  report->loads_per_s /= seconds;
  report->refusals_per_s /= seconds;
  report->bytes_per_s /= seconds;
  report->cross_zone = (double)fleet->cross_opens / fleet->opens;
}

/* Handles the events of the next millisecond, and runs the ticks that are
   due.  */
static void
run_ms (struct fleet *fleet)
{
  uint64_t end_us = fleet->now_us + US_PER_MS;
  struct galena_clock next = { (int64_t)(end_us / US_PER_MS) + 1 };
  GSequenceIter *first;

  while (!g_sequence_iter_is_end (first
                                  = g_sequence_get_begin_iter (fleet->events)))
    {
      struct event event = *(const struct event *)g_sequence_get (first);

      if (event.at_us >= end_us)
        break;
      if (event.body != NULL)
        g_bytes_ref (event.body);
      g_sequence_remove (first);
      fleet->now_us = event.at_us;
      HANDLERS[event.kind](fleet, &event);
      g_bytes_unref (event.body);
    }
  fleet->now_us = end_us;
  for (uint32_t i = 0; i < fleet->options->entries; i++)
    if (galena_clock_reached (next, galena_plane_due (fleet->entries[i])))
      tick (fleet, fleet->entries[i], true, i);
  for (uint32_t i = 0; i < fleet->options->upstreams; i++)
    if (galena_clock_reached (next,
                              galena_plane_due (fleet->upstreams[i].agent)))
      tick (fleet, fleet->upstreams[i].agent, false, i);
}

void
placement_run (const struct placement_options *options,
               struct placement_report *report)
{
  struct fleet *fleet = g_new0 (struct fleet, 1);

  *report = (struct placement_report){ 0 };
  fleet->options = options;
  fleet->report = report;
  fleet->random = (struct galena_random){ options->seed, 0 };
  start_fleet (fleet);
  while (fleet->now_us < fleet->end_us)
    run_ms (fleet);
  fill_report (fleet);
  stop_fleet (fleet);
  g_free (fleet);
}
