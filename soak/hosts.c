/* Simulated upstreams: they accept flows, run requests, and return the packets
   of flows that they do not have to the agent, with the flag BOUNCED set.  */

#include <string.h>
#include <unistd.h>

#include <galenaford/monotonic.h>
#include <galenaford/platform/packet_codec.h>

#include "soak.h"

enum
{
  /* Run time of a request.  */
  WORK_MIN_MS = 5,
  WORK_RANGE_MS = 30,
  /* An upstream that fails in part fails one request in this many.  */
  FAILED_ONE_IN = 3,
  /* The second in which new flows are counted, less what a busy machine may
     delay the first of them between agent and upstream.  */
  WARM_UP_WINDOW_MS = 900,
  /* First and longest interval of retransmissions.  */
  RESEND_MS = 200,
  RESEND_MAX_MS = 1600,
  /* A flow without packets for this long was abandoned by its caller and is
     removed.  */
  FLOW_IDLE_MS = 20000,
  /* Offset of the byte of flags in a packet, and its flag BOUNCED.  */
  FLAGS_OFFSET = 30,
  FLAG_BOUNCED = 16,
  ANSWER_TOTAL_BYTES = ANSWER_PACKETS * ANSWER_BYTES
};

bool
hosts_create (struct soak *soak)
{
  for (uint32_t i = 0; i < soak->options.hosts; i++)
    {
      struct host *host = &soak->hosts[i];

      host->service = i % SERVICES;
      host->fd = net_socket (net_host (soak, i, PORT_HOST));
      if (host->fd < 0)
        return false;
      hosts_start (soak, i);
    }
  return true;
}

void
hosts_destroy (struct soak *soak)
{
  for (uint32_t i = 0; i < soak->options.hosts; i++)
    if (soak->hosts[i].fd > 0)
      close (soak->hosts[i].fd);
}

uint32_t
hosts_zone (uint32_t index)
{
  return index / SERVICES % ZONES;
}

bool
hosts_may_refuse (const struct soak *soak, uint32_t service)
{
  bool refusing = false;

  for (uint32_t i = 0; i < soak->options.hosts; i++)
    {
      const struct host *host = &soak->hosts[i];

      if (host->service != service || !host->up)
        continue;
      if (!host->draining && soak->zones[hosts_zone (i)].evacuations == 0
          && galena_clock_reached (soak->now, host->warm_at))
        return false;
      refusing = true;
    }
  return refusing;
}

void
hosts_start (struct soak *soak, uint32_t index)
{
  struct host *host = &soak->hosts[index];

  memset (host->flows, 0, sizeof host->flows);
  host->incarnation++;
  host->started_unix_ms = galena_unix_ms ();
  host->sequence = 0;
  host->up = true;
  host->published = true;
  host->draining = false;
  host->start_at.ms = 0;
  host->opened_flows = 0;
  host->warm_at = galena_clock_add_ms (soak->now,
                                       soak->options.warm_up ? WARM_UP_MS : 0);
  publish_host (soak, index);
}

void
hosts_crash (struct soak *soak, uint32_t index)
{
  struct host *host = &soak->hosts[index];

  memset (host->flows, 0, sizeof host->flows);
  host->up = false;
  host->last_fault = soak->now;
}

static struct host_flow *
find_flow (struct host *host, struct galena_flow_key key)
{
  for (uint32_t i = 0; i < HOST_FLOWS_MAX; i++)
    {
      struct host_flow *flow = &host->flows[i];

      if (flow->state != HOST_FLOW_FREE
          && galena_endpoint_equal (flow->key.caller, key.caller)
          && galena_endpoint_equal (flow->key.service_address,
                                    key.service_address))
        return flow;
    }
  return NULL;
}

bool
hosts_find_flow (struct soak *soak, struct galena_flow_key key,
                 uint32_t *index)
{
  for (uint32_t i = 0; i < soak->options.hosts; i++)
    {
      const struct host_flow *flow = find_flow (&soak->hosts[i], key);

      if (soak->hosts[i].up && flow != NULL && flow->state == HOST_FLOW_OPEN)
        {
          *index = i;
          return true;
        }
    }
  return false;
}

void
hosts_discard_flow (struct soak *soak, struct galena_flow_key key)
{
  for (uint32_t i = 0; i < soak->options.hosts; i++)
    {
      struct host_flow *flow = find_flow (&soak->hosts[i], key);

      if (flow != NULL)
        *flow = (struct host_flow){ .state = HOST_FLOW_FREE };
    }
}

static void
send_packet (struct soak *soak, uint32_t index, const struct host_flow *flow,
             uint8_t flags, uint32_t sequence, const uint8_t *data,
             uint32_t size)
{
  struct galena_packet packet = { .source = flow->key.service_address,
                                  .destination = flow->key.caller,
                                  .flags = flags,
                                  .sequence = sequence,
                                  .acknowledged = flow->next_expected };
  uint8_t bytes[PACKET_BYTES_MAX];
  uint32_t length = wire_encode (&packet, data, size, bytes);

  net_send (soak, soak->hosts[index].fd, net_host (soak, index, PORT_OUTBOUND),
            bytes, length);
}

static void
bounce_packet (struct soak *soak, uint32_t index, uint8_t *bytes,
               const struct galena_packet *packet)
{
  bytes[FLAGS_OFFSET] |= FLAG_BOUNCED;
  net_send (soak, soak->hosts[index].fd, net_host (soak, index, PORT_OUTBOUND),
            bytes, packet->size);
}

/* Counts a new flow at HOST that warms up as a violation if as many as may
   come in a second came before it in one.  */
static void
check_warm_up (struct soak *soak, struct host *host)
{
  struct galena_clock *oldest
      = &host->opened_at[host->opened_flows % WARM_UP_FLOWS_MAX];

  if (!galena_clock_reached (soak->now, host->warm_at)
      && host->opened_flows >= WARM_UP_FLOWS_MAX
      && galena_clock_elapsed_ms (*oldest, soak->now) < WARM_UP_WINDOW_MS
      && soak_is_fault_free (soak, STABLE_MS))
    soak->report.warm_up++;
  *oldest = soak->now;
  host->opened_flows++;
}

/* Counts guarantees that are violated by the opening of a flow on ROUTE at
   host INDEX.  */
static void
check_open (struct soak *soak, uint32_t index, uint32_t route)
{
  const struct host *host = &soak->hosts[index];
  const struct zone *zone = &soak->zones[hosts_zone (index)];

  if (route >= ROUTES_MAX || soak->routes[route].service != host->service)
    soak->report.misrouted++;
  if (route < ROUTES_MAX && soak->routes[route].dropped
      && galena_clock_elapsed_ms (soak->routes[route].changed, soak->now)
             > CONFIG_BOUND_MS
      && soak_is_fault_free (soak, STABLE_MS + CONFIG_BOUND_MS))
    soak->report.stale++;
  if (host->draining
      && galena_clock_elapsed_ms (host->drained_since, soak->now)
             > DRAIN_BOUND_MS
      && soak_is_fault_free (soak, STABLE_MS + DRAIN_BOUND_MS))
    soak->report.opened_while_draining++;
  if (zone->evacuations > 0
      && galena_clock_elapsed_ms (zone->written_at, soak->now)
             > EVACUATION_BOUND_MS
      && soak_is_fault_free (soak, STABLE_MS + EVACUATION_BOUND_MS))
    soak->report.evacuated++;
}

static void
on_open (struct soak *soak, uint32_t index, uint8_t *bytes,
         const struct galena_packet *packet)
{
  struct host *host = &soak->hosts[index];
  struct galena_flow_key key = { packet->source, packet->destination };
  struct host_flow *flow = find_flow (host, key);

  for (uint32_t i = 0; flow == NULL && i < HOST_FLOWS_MAX; i++)
    if (host->flows[i].state == HOST_FLOW_FREE)
      {
        flow = &host->flows[i];
        *flow = (struct host_flow){ .state = HOST_FLOW_OPENING, .key = key };
        flow->sequence = (uint32_t)galena_random_next (&soak->random);
        flow->next_expected = packet->sequence + 1;
        flow->resend_at = soak->now;
        check_warm_up (soak, host);
        check_open (soak, index, key.service_address.ip - net_route (0).ip);
      }
  if (flow == NULL || flow->state == HOST_FLOW_OPEN)
    bounce_packet (soak, index, bytes, packet);
  else
    send_packet (soak, index, flow,
                 GALENA_PACKET_OPENS | GALENA_PACKET_ACKNOWLEDGES,
                 flow->sequence - 1, NULL, 0);
}

/* Returns whether host INDEX fails the request that it gets.  */
static bool
fails_request (struct soak *soak, uint32_t index)
{
  return soak->hosts[index].failure != HOST_FAILS_NONE
         && galena_random_below (&soak->random, FAILED_ONE_IN) == 0;
}

/* Starts the request in PACKET, unless it was started already.  */
static void
on_request (struct soak *soak, uint32_t index, struct host_flow *flow,
            const struct galena_packet *packet)
{
  const uint8_t *data = packet->bytes + GALENA_PLATFORM_HEADER_BYTES;
  uint64_t number = wire_decode_number (data);
  uint64_t *executed
      = &soak->executed_requests[number % EXECUTED_REQUESTS_MAX];

  if (packet->data_size != REQUEST_BYTES
      || packet->sequence != flow->next_expected)
    return;
  flow->next_expected += packet->data_size;
  if (fails_request (soak, index))
    {
      /* A hung request stays unanswered, since its copies are ignored.  */
      if (soak->hosts[index].failure != HOST_SHEDS)
        return;
      send_packet (soak, index, flow, GALENA_PACKET_RESETS, flow->sequence,
                   NULL, 0);
      flow->state = HOST_FLOW_FREE;
      return;
    }
  flow->request = number;
  flow->answer_at = galena_clock_add_ms (
      soak->now,
      WORK_MIN_MS + galena_random_below (&soak->random, WORK_RANGE_MS));
  /* The byte after the number marks requests that may run at most once.  */
  if (data[8] == 0)
    return;
  soak->report.doubled += *executed == number;
  *executed = number;
}

static void
on_flow_packet (struct soak *soak, uint32_t index, struct host_flow *flow,
                const struct galena_packet *packet)
{
  uint32_t acknowledged = packet->acknowledged - flow->sequence;

  flow->state = HOST_FLOW_OPEN;
  if ((packet->flags & (GALENA_PACKET_RESETS | GALENA_PACKET_ENDS)) != 0)
    {
      flow->state = HOST_FLOW_FREE;
      return;
    }
  if (acknowledged <= flow->unacknowledged)
    {
      flow->sequence += acknowledged;
      flow->unacknowledged -= acknowledged;
      flow->interval_ms = RESEND_MS;
    }
  if (packet->data_size > 0 && flow->unacknowledged == 0)
    on_request (soak, index, flow, packet);
  flow->resend_at = galena_clock_add_ms (soak->now, RESEND_MS);
}

void
hosts_receive (struct soak *soak, uint32_t index)
{
  struct host *host = &soak->hosts[index];
  struct galena_packet packet;
  uint8_t bytes[PACKET_BYTES_MAX];
  bool corrupted;

  while (wire_receive (host->fd, bytes, &packet, &corrupted))
    {
      struct galena_flow_key key = { packet.source, packet.destination };
      struct host_flow *flow;

      if (!host->up)
        continue;
      soak->report.corrupted += corrupted || galena_packet_is_accept (&packet);
      if (galena_packet_is_opening (&packet))
        {
          on_open (soak, index, bytes, &packet);
          continue;
        }
      flow = find_flow (host, key);
      if (flow == NULL)
        bounce_packet (soak, index, bytes, &packet);
      else if (flow->state == HOST_FLOW_OPENING
               && packet.acknowledged != flow->sequence)
        /* The caller opened the flow at another upstream: this reset must not
           reach the caller.  */
        send_packet (soak, index, flow, GALENA_PACKET_RESETS, flow->sequence,
                     NULL, 0);
      else
        on_flow_packet (soak, index, flow, &packet);
    }
}

/* Sends the part of the answer that the caller of FLOW has not
   acknowledged.  */
static void
send_answer (struct soak *soak, uint32_t index, struct host_flow *flow)
{
  uint32_t sent = ANSWER_TOTAL_BYTES - flow->unacknowledged;

  for (uint32_t at = sent; at < ANSWER_TOTAL_BYTES; at += ANSWER_BYTES)
    {
      uint8_t data[ANSWER_BYTES];

      memset (data, (int)(flow->request % FILL_MODULUS), sizeof data);
      wire_encode_number (data, flow->request);
      wire_encode_number (data + 8, at / ANSWER_BYTES);
      send_packet (soak, index, flow, GALENA_PACKET_ACKNOWLEDGES,
                   flow->sequence + at - sent, data, sizeof data);
    }
  flow->resend_at = galena_clock_add_ms (soak->now, flow->interval_ms);
  if (flow->interval_ms < RESEND_MAX_MS)
    flow->interval_ms *= 2;
}

static void
run_flow (struct soak *soak, uint32_t index, struct host_flow *flow)
{
  if (flow->request != 0 && galena_clock_reached (soak->now, flow->answer_at))
    {
      flow->unacknowledged = ANSWER_TOTAL_BYTES;
      flow->interval_ms = RESEND_MS;
      send_answer (soak, index, flow);
      flow->answer_at.ms = INT64_MAX;
    }
  else if (flow->unacknowledged > 0
           && galena_clock_reached (soak->now, flow->resend_at))
    send_answer (soak, index, flow);
  else if (galena_clock_elapsed_ms (flow->resend_at, soak->now) > FLOW_IDLE_MS)
    flow->state = HOST_FLOW_FREE;
}

void
hosts_run (struct soak *soak)
{
  for (uint32_t i = 0; i < soak->options.hosts; i++)
    {
      struct host *host = &soak->hosts[i];

      if (!host->up && host->start_at.ms != 0
          && galena_clock_reached (soak->now, host->start_at))
        hosts_start (soak, i);
      for (uint32_t j = 0; host->up && j < HOST_FLOWS_MAX; j++)
        if (host->flows[j].state != HOST_FLOW_FREE)
          run_flow (soak, i, &host->flows[j]);
    }
}
