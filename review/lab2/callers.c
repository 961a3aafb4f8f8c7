/* Callers: they open flows, keep them open for many requests, and take
   answers and resets.  */

#include <string.h>

#include "lab2.h"

enum
{
  REQUEST_BYTES = 200,
  COPY_MS = 200,
  SECOND_COPY_MS = 400,
  OPEN_MS = 1400,
  COPIES_MAX = 2,
  RESEND_MS = 200,
  RESEND_MAX_MS = 1600,
  DEADLINE_MS = 10000
};

static void
send_out (struct lab *lab, const struct caller *caller,
          struct caller_flow *flow, uint8_t flags, uint32_t seq, uint16_t size)
{
  uint8_t data[REQUEST_BYTES];
  struct head head
      = { .seq = seq,
          .ack = flow->state == FLOW_OPENING ? flow->copies : flow->next,
          .size = size,
          .src = caller_address (lab, caller->index, flow->port),
          .dst = route_address (flow->route),
          .flags = flags };
  int entry = route_packet (lab, head.src, head.dst);

  flow->active_at = lab->now;
  memset (data, 'q', sizeof data);
  if (entry >= 0)
    send_packet (caller->fd,
                 entry_address (lab, (uint32_t)entry, PORT_PACKETS), &head,
                 data);
}

struct caller_flow *
caller_open (struct lab *lab, struct caller *caller, uint32_t route,
             int64_t pause_ms)
{
  for (uint32_t i = 0; i < CALLER_FLOWS_MAX; i++)
    {
      struct caller_flow *flow = &caller->flows[i];

      if (flow->state != FLOW_FREE && flow->state != FLOW_CLOSED)
        continue;
      *flow = (struct caller_flow){ .state = FLOW_OPENING,
                                    .route = route,
                                    .port = caller->next_port++,
                                    .seq = draw (lab, UINT32_MAX),
                                    .opened_at = lab->now,
                                    .resend_at = lab->now + COPY_MS,
                                    .pause_ms = pause_ms };
      note (lab, "caller %u port %u: opens a flow on route %u", caller->index,
            flow->port, route);
      send_out (lab, caller, flow, SYN, flow->seq, 0);
      return flow;
    }
  return NULL;
}

static void
send_request (struct lab *lab, const struct caller *caller,
              struct caller_flow *flow)
{
  send_out (lab, caller, flow, ACK, flow->seq, REQUEST_BYTES);
  flow->resend_at = lab->now + flow->resend_ms;
  if (flow->resend_ms < RESEND_MAX_MS)
    flow->resend_ms *= 2;
}

static void
begin_request (struct lab *lab, const struct caller *caller,
               struct caller_flow *flow)
{
  note (lab, "caller %u port %u: sends request %u", caller->index, flow->port,
        flow->requests + 1);
  flow->waiting = true;
  flow->request_at = lab->now;
  flow->resend_ms = RESEND_MS;
  send_request (lab, caller, flow);
}

static void
on_reset (struct lab *lab, const struct caller *caller,
          struct caller_flow *flow, const struct head *head)
{
  const struct host *host;

  if (flow->state == FLOW_OPENING)
    {
      lab->failed_opens++;
      note (lab, "caller %u port %u: reset before the flow was open",
            caller->index, flow->port);
    }
  else
    {
      host = flow_host (lab, head->dst, head->src);
      lab->resets++;
      if (head->sum == 0 && host != NULL)
        {
          lab->cut++;
          note (lab,
                "CUT caller %u port %u: a reset of galenaford's own, while "
                "host %u lives and holds the flow, open for %lld ms, after "
                "%u answers",
                caller->index, flow->port, host->index,
                (long long)(lab->now - flow->opened_at), flow->requests);
        }
      else
        note (lab, "caller %u port %u: reset of a flow that no host holds",
              caller->index, flow->port);
    }
  flow->state = FLOW_CLOSED;
}

static void
on_packet (struct lab *lab, const struct caller *caller,
           const struct head *head)
{
  struct caller_flow *flow = NULL;

  for (uint32_t i = 0; i < CALLER_FLOWS_MAX && flow == NULL; i++)
    if (caller->flows[i].port == head->dst.port
        && caller->flows[i].state != FLOW_FREE)
      flow = (struct caller_flow *)&caller->flows[i];
  if (flow == NULL || flow->state == FLOW_CLOSED)
    return;
  if ((head->flags & RST) != 0)
    on_reset (lab, caller, flow, head);
  else if ((head->flags & (SYN | ACK)) == (SYN | ACK))
    {
      if (flow->state != FLOW_OPENING)
        return;
      flow->state = FLOW_OPEN;
      flow->seq++;
      flow->next = head->seq + 1;
      lab->opened++;
      begin_request (lab, caller, flow);
    }
  else if (head->size > 0 && flow->state == FLOW_OPEN)
    {
      if (head->seq == flow->next && flow->waiting)
        {
          flow->next += head->size;
          flow->seq += REQUEST_BYTES;
          flow->waiting = false;
          flow->requests++;
          note (lab, "caller %u port %u: request %u is answered",
                caller->index, flow->port, flow->requests);
          flow->request_at = lab->now + flow->pause_ms / 2
                             + (int64_t)draw (lab, (uint32_t)flow->pause_ms);
          lab->answered++;
        }
      send_out (lab, caller, flow, ACK, flow->seq, 0);
    }
}

static void
run_opening (struct lab *lab, const struct caller *caller,
             struct caller_flow *flow)
{
  if (lab->now - flow->opened_at >= OPEN_MS)
    {
      lab->failed_opens++;
      flow->state = FLOW_CLOSED;
      note (lab, "caller %u port %u: no answer to the opening", caller->index,
            flow->port);
    }
  else if (lab->now >= flow->resend_at && flow->copies < COPIES_MAX)
    {
      flow->copies++;
      flow->resend_at = lab->now + SECOND_COPY_MS;
      send_out (lab, caller, flow, SYN, flow->seq, 0);
    }
}

static void
run_open (struct lab *lab, const struct caller *caller,
          struct caller_flow *flow)
{
  if (!flow->waiting)
    {
      if (lab->quiet && lab->now - flow->active_at >= IDLE_TIMEOUT_MS)
        {
          note (lab, "caller %u port %u: discards the idle flow",
                caller->index, flow->port);
          flow->state = FLOW_CLOSED;
        }
      else if (!lab->quiet && lab->now >= flow->request_at)
        begin_request (lab, caller, flow);
    }
  else if (lab->now - flow->request_at >= DEADLINE_MS)
    {
      note (lab, "caller %u port %u: gave up at its deadline", caller->index,
            flow->port);
      flow->state = FLOW_CLOSED;
    }
  else if (lab->now >= flow->resend_at)
    send_request (lab, caller, flow);
}

static void
run_caller (struct lab *lab, struct caller *caller)
{
  uint8_t bytes[PACKET_MAX];
  struct head head;

  while (receive_packet (caller->fd, bytes, &head) > 0)
    on_packet (lab, caller, &head);
  for (uint32_t i = 0; i < CALLER_FLOWS_MAX; i++)
    if (caller->flows[i].state == FLOW_OPENING)
      run_opening (lab, caller, &caller->flows[i]);
    else if (caller->flows[i].state == FLOW_OPEN)
      run_open (lab, caller, &caller->flows[i]);
}

void
callers_run (struct lab *lab)
{
  for (uint32_t i = 0; i < lab->callers_count; i++)
    run_caller (lab, &lab->callers[i]);
}
