/* Hosts: they accept flows, answer requests and return the packets of flows
   that they do not hold.  */

#include <string.h>

#include "lab2.h"

enum
{
  BEAT_MS = 1200,
  DRAIN_MS = 3000,
  CONFIG_APPLY_MS = 3000,
  WORK_MIN_MS = 5,
  WORK_RANGE_MS = 20,
  ANSWER_BYTES = 400,
  RESEND_MS = 200,
  RESEND_MAX_MS = 1600,
  RESENDS_MAX = 8
};

static bool
same (struct address a, struct address b)
{
  return a.ip == b.ip && a.port == b.port;
}

static struct host_flow *
find_flow (struct host *host, struct address caller, struct address route)
{
  for (uint32_t i = 0; i < HOST_FLOWS_MAX; i++)
    if (host->flows[i].state != HOST_FLOW_FREE
        && same (host->flows[i].caller, caller)
        && same (host->flows[i].route, route))
      return &host->flows[i];
  return NULL;
}

const struct host *
flow_host (const struct lab *lab, struct address caller, struct address route)
{
  for (uint32_t i = 0; i < lab->hosts_count; i++)
    {
      struct host *host = (struct host *)&lab->hosts[i];
      const struct host_flow *flow = find_flow (host, caller, route);

      if (host->up && flow != NULL && flow->state == HOST_FLOW_OPEN)
        return host;
    }
  return NULL;
}

void
host_start (struct lab *lab, struct host *host)
{
  memset (host->flows, 0, sizeof host->flows);
  host->up = true;
  host->draining = false;
  host->drained_at = 0;
  host->incarnation++;
  host->sequence = 0;
  host->born = unix_ms ();
  host->beat_at = lab->now + BEAT_MS;
  publish_host (lab, host);
}

void
host_drain (struct lab *lab, struct host *host)
{
  host->draining = true;
  publish_host (lab, host);
  host->drained_at = lab->now;
  note (lab, "host %u reports draining, acknowledged", host->index);
}

static void
reply (struct lab *lab, const struct host *host, const struct host_flow *flow,
       uint8_t flags, uint32_t seq, uint16_t size)
{
  uint8_t data[ANSWER_BYTES];
  struct head head = { .seq = seq,
                       .ack = flow->next,
                       .size = size,
                       .src = flow->route,
                       .dst = flow->caller,
                       .flags = flags };

  memset (data, 'a', sizeof data);
  send_packet (host->fd, host_address (lab, host->index, PORT_OUTBOUND), &head,
               data);
}

/* Counts an opening of ROUTE that HOST took later than drainMs after its
   report that it drains, or later than configApplyMs after a configuration
   that sends the route to another service.  */
static void
note_late (struct lab *lab, const struct host *host, struct address route)
{
  uint32_t index = route.ip - route_address (0).ip;

  if (host->drained_at != 0 && lab->now - host->drained_at > DRAIN_MS)
    {
      lab->late_opens++;
      note (lab,
            "LATE host %u took it %lld ms after its report that it drains",
            host->index, (long long)(lab->now - host->drained_at));
    }
  if (index < SERVICES_MAX && lab->route_service[index] != host->service
      && lab->now - lab->config_at > CONFIG_APPLY_MS)
    {
      lab->stale_opens++;
      note (lab,
            "STALE host %u, of the old service, took it %lld ms after the "
            "configuration",
            host->index, (long long)(lab->now - lab->config_at));
    }
}

static void
on_syn (struct lab *lab, struct host *host, const struct head *head)
{
  struct host_flow *flow = find_flow (host, head->src, head->dst);

  if (flow != NULL && flow->next != head->seq + 1)
    flow->state = HOST_FLOW_FREE;
  if (flow == NULL || flow->state == HOST_FLOW_FREE)
    {
      flow = host->flows;
      while (flow < host->flows + HOST_FLOWS_MAX - 1
             && flow->state != HOST_FLOW_FREE)
        flow++;
      *flow = (struct host_flow){ .state = HOST_FLOW_HALF_OPEN,
                                  .caller = head->src,
                                  .route = head->dst,
                                  .seq = draw (lab, UINT32_MAX),
                                  .next = head->seq + 1 };
      note (lab, "host %u took the opening of port %u of caller %08x",
            host->index, head->src.port, head->src.ip);
      note_late (lab, host, head->dst);
    }
  flow->active_at = lab->now;
  if (flow->state == HOST_FLOW_HALF_OPEN)
    reply (lab, host, flow, SYN | ACK, flow->seq, 0);
}

/* Handles the data and acknowledgement in HEAD for FLOW, which is open.  */
static void
on_flow_packet (struct lab *lab, struct host *host, struct host_flow *flow,
                const struct head *head)
{
  flow->active_at = lab->now;
  if ((head->flags & RST) != 0)
    {
      flow->state = HOST_FLOW_FREE;
      return;
    }
  if (flow->unacknowledged > 0
      && head->ack == flow->seq + flow->unacknowledged)
    {
      flow->seq += flow->unacknowledged;
      flow->unacknowledged = 0;
      flow->resend_at = 0;
    }
  if (head->size > 0 && head->seq == flow->next)
    {
      flow->next += head->size;
      flow->answer_at
          = lab->now + WORK_MIN_MS + (int64_t)draw (lab, WORK_RANGE_MS);
      note (lab, "host %u runs a request of port %u of caller %08x",
            host->index, flow->caller.port, flow->caller.ip);
    }
  else if (head->size > 0)
    reply (lab, host, flow, ACK, flow->seq, 0);
  if ((head->flags & FIN) != 0)
    {
      flow->next++;
      reply (lab, host, flow, FIN | ACK, flow->seq, 0);
      flow->state = HOST_FLOW_ENDED;
    }
}

static void
on_packet (struct lab *lab, struct host *host, uint8_t *bytes, size_t size,
           const struct head *head)
{
  struct host_flow *flow;

  if (!is_genuine (bytes, size))
    {
      note (lab, "host %u got a packet that its sender did not write so",
            host->index);
      return;
    }
  if ((head->flags & (SYN | ACK)) == SYN)
    {
      on_syn (lab, host, head);
      return;
    }
  flow = find_flow (host, head->src, head->dst);
  if (flow != NULL && flow->state == HOST_FLOW_HALF_OPEN
      && head->ack == flow->seq + 1)
    {
      flow->state = HOST_FLOW_OPEN;
      flow->seq++;
    }
  if (flow == NULL || flow->state == HOST_FLOW_HALF_OPEN)
    {
      send_bounced (host->fd, host_address (lab, host->index, PORT_OUTBOUND),
                    bytes, size);
      return;
    }
  if (flow->state == HOST_FLOW_OPEN)
    on_flow_packet (lab, host, flow, head);
  else if ((head->flags & FIN) != 0)
    reply (lab, host, flow, ACK, flow->seq + 1, 0);
  else if (head->size > 0)
    reply (lab, host, flow, RST, flow->seq + 1, 0);
}

static void
run_flow (struct lab *lab, struct host *host, struct host_flow *flow)
{
  bool resend = flow->resend_at != 0 && lab->now >= flow->resend_at;

  if (lab->now - flow->active_at >= IDLE_TIMEOUT_MS)
    flow->state = HOST_FLOW_FREE;
  if (flow->state != HOST_FLOW_OPEN)
    return;
  if (flow->answer_at != 0 && lab->now >= flow->answer_at)
    {
      flow->answer_at = 0;
      flow->unacknowledged = ANSWER_BYTES;
      flow->resend_ms = RESEND_MS;
      flow->resends = 0;
    }
  else if (!resend)
    return;
  if (resend && ++flow->resends > RESENDS_MAX)
    {
      flow->state = HOST_FLOW_FREE;
      return;
    }
  reply (lab, host, flow, ACK, flow->seq, ANSWER_BYTES);
  flow->resend_at = lab->now + flow->resend_ms;
  if (flow->resend_ms < RESEND_MAX_MS)
    flow->resend_ms *= 2;
}

static void
run_host (struct lab *lab, struct host *host)
{
  uint8_t bytes[PACKET_MAX];
  struct head head;
  size_t size;

  while ((size = receive_packet (host->fd, bytes, &head)) > 0)
    if (host->up)
      on_packet (lab, host, bytes, size, &head);
  if (!host->up)
    return;
  if (lab->now >= host->beat_at)
    {
      host->beat_at += BEAT_MS;
      publish_host (lab, host);
    }
  for (uint32_t i = 0; i < HOST_FLOWS_MAX; i++)
    if (host->flows[i].state != HOST_FLOW_FREE)
      run_flow (lab, host, &host->flows[i]);
}

void
hosts_run (struct lab *lab)
{
  for (uint32_t i = 0; i < lab->hosts_count; i++)
    run_host (lab, &lab->hosts[i]);
}
