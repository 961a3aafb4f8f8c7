/* Callers: each flow is opened, carries requests, and ends; all share one
   address and have ports of their own.  */

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "lab.h"

enum
{
  SYN_COPY_1_MS = 200,
  SYN_COPY_2_MS = 600,
  SYN_LIMIT_MS = 1400,
  RESEND_MIN_MS = 200,
  RESEND_MAX_MS = 1600,
  DEADLINE_MS = 5000,
  MS_PER_S = 1000
};

static const struct endpoint ROUTE
    = { (127U << 24) | (77U << 16) | (9U << 8) | 1, 443 };

/* Returns the entry that the routers choose for CALL: the one with the highest
   hash among those in rotation; all if none is.  */
static uint32_t
entry_of (struct lab *lab, const struct call *call)
{
  uint32_t best = 0;
  uint32_t best_rank = 0;
  bool any = false;

  if (lab->pinned_entry >= 0)
    return (uint32_t)lab->pinned_entry;
  for (uint32_t i = 0; i < lab->entry_count; i++)
    any |= atomic_load (&lab->in_rotation[i]);
  for (uint32_t i = 0; i < lab->entry_count; i++)
    {
      uint32_t rank
          = ((call->caller.port * 2654435761U) ^ (i * 0x9e3779b9U)) * 40503U;

      if ((any && !atomic_load (&lab->in_rotation[i])) || rank < best_rank)
        continue;
      best = i;
      best_rank = rank;
    }
  return best;
}

static void
send_packet (struct lab *lab, const struct call *call, uint8_t flags,
             uint32_t ack, const char *data)
{
  struct packet packet = { .seq = call->seq,
                           .ack = ack,
                           .source = call->caller,
                           .destination = ROUTE,
                           .flags = flags,
                           .data = (const uint8_t *)data,
                           .data_size = (uint16_t)strlen (data) };
  uint8_t bytes[PACKET_BYTES];
  size_t size = packet_encode (&packet, bytes);

  packet_send (
      lab->caller_fd,
      lab_endpoint (lab, lab_ip (1, entry_of (lab, call)), PORT_PACKETS),
      bytes, size);
}

static void
write_request (const struct call *call, char *text)
{
  snprintf (text, PACKET_BYTES,
            "GET / HTTP/1.1\r\nHost: desk\r\nRequest-Id: r%u-%u\r\n\r\n",
            call->caller.port, call->request);
}

static void
end (struct lab *lab, struct call *call, const char *outcome)
{
  snprintf (call->outcome, sizeof call->outcome, "%s", outcome);
  lab_log (lab, "flow=%u ends: %s", call->caller.port, outcome);
  call->state = CALL_ENDED;
}

/* Opens a flow from PORT.  */
static void
open_flow (struct lab *lab, struct call *call, uint16_t port, bool single)
{
  int64_t now = lab_now (lab);

  memset (call, 0, sizeof *call);
  call->state = CALL_OPENING;
  call->caller = (struct endpoint){ lab_ip (3, 0), port };
  call->seq = (uint32_t)random ();
  call->single = single;
  call->host = -1;
  call->began = now;
  call->request = 1;
  call->due = now + SYN_COPY_1_MS;
  lab->begun++;
  lab_log (lab, "flow=%u opens through edge-%u", call->caller.port,
           entry_of (lab, call) + 1);
  send_packet (lab, call, FLAG_SYN, 0, "");
}

struct call *
call_begin (struct lab *lab, bool single)
{
  struct call *call = &lab->calls[lab->call_count++ % CALL_FLOWS_MAX];

  open_flow (lab, call, lab->next_port++, single);
  return call;
}

void
call_again (struct lab *lab, struct call *call)
{
  if (call->state == CALL_ENDED)
    open_flow (lab, call, call->caller.port, true);
}

static void
send_request (struct lab *lab, struct call *call)
{
  char text[PACKET_BYTES];

  write_request (call, text);
  lab_log (lab, "send id=r%u-%u through edge-%u", call->caller.port,
           call->request, entry_of (lab, call) + 1);
  send_packet (lab, call, FLAG_ACK, call->ack, text);
}

static void
start_request (struct lab *lab, struct call *call)
{
  int64_t now = lab_now (lab);

  call->state = CALL_WAITING;
  call->interval_ms = RESEND_MIN_MS;
  call->due = now + RESEND_MIN_MS;
  call->deadline = now + DEADLINE_MS;
  send_request (lab, call);
}

void
call_request (struct lab *lab, struct call *call)
{
  if (call->state != CALL_IDLE)
    return;
  call->request++;
  lab->begun++;
  start_request (lab, call);
}

static struct call *
find (struct lab *lab, uint16_t port)
{
  for (uint32_t i = 0; i < CALL_FLOWS_MAX; i++)
    if (lab->calls[i].state != CALL_FREE && lab->calls[i].caller.port == port)
      return &lab->calls[i];
  return NULL;
}

static void
on_reset (struct lab *lab, struct call *call, const struct packet *packet)
{
  bool open = call->state == CALL_WAITING || call->state == CALL_IDLE;

  lab_log (lab, "reset flow=%u open=%d by=%s", call->caller.port, open,
           packet->sum == 0 ? "system" : "host");
  if (open && packet->sum == 0)
    call->resets++;
  if (call->state != CALL_ENDED)
    end (lab, call, open ? "reset while open" : "not opened");
}

static void
on_answer (struct lab *lab, struct call *call, const struct packet *packet)
{
  char text[PACKET_BYTES];

  if (packet->seq != call->ack)
    {
      send_packet (lab, call, FLAG_ACK, call->ack, "");
      return;
    }
  write_request (call, text);
  call->seq += (uint32_t)strlen (text);
  call->ack += packet->data_size + ((packet->flags & FLAG_FIN) != 0 ? 1U : 0U);
  call->answered++;
  lab->answered++;
  lab_log (lab, "answer id=r%u-%u", call->caller.port, call->request);
  if (call->single || (packet->flags & FLAG_FIN) != 0)
    {
      send_packet (lab, call, FLAG_ACK | FLAG_FIN, call->ack, "");
      end (lab, call, "answered");
      return;
    }
  call->state = CALL_IDLE;
  send_packet (lab, call, FLAG_ACK, call->ack, "");
}

static void
on_packet (struct lab *lab, const struct packet *packet)
{
  struct call *call = find (lab, packet->destination.port);

  if (call == NULL)
    return;
  if ((packet->flags & FLAG_RST) != 0)
    on_reset (lab, call, packet);
  else if ((packet->flags & FLAG_SYN) != 0)
    {
      if (call->state != CALL_OPENING)
        return;
      call->ack = packet->seq + 1;
      call->seq++;
      call->opened_at = lab_now (lab);
      start_request (lab, call);
    }
  else if (packet->data_size > 0
           && (call->state == CALL_WAITING || call->state == CALL_IDLE))
    on_answer (lab, call, packet);
}

void
call_receive (struct lab *lab)
{
  uint8_t bytes[PACKET_BYTES];
  struct packet packet;
  ssize_t size;

  while ((size = recv (lab->caller_fd, bytes, sizeof bytes, 0)) > 0)
    if (packet_decode (bytes, (size_t)size, &packet))
      on_packet (lab, &packet);
}

static void
tick_opening (struct lab *lab, struct call *call, int64_t now)
{
  if (now - call->began >= SYN_LIMIT_MS)
    {
      end (lab, call, "not opened");
      return;
    }
  call->copies++;
  call->due = call->began + (call->copies == 1 ? SYN_COPY_2_MS : SYN_LIMIT_MS);
  if (call->copies <= 2)
    send_packet (lab, call, FLAG_SYN, call->copies, "");
}

static void
tick_waiting (struct lab *lab, struct call *call, int64_t now)
{
  if (now >= call->deadline)
    {
      char text[PACKET_BYTES];

      write_request (call, text);
      call->seq += (uint32_t)strlen (text);
      send_packet (lab, call, FLAG_ACK | FLAG_FIN, call->ack, "");
      end (lab, call, "no answer before the deadline");
      return;
    }
  send_request (lab, call);
  call->interval_ms = call->interval_ms * 2 < RESEND_MAX_MS
                          ? call->interval_ms * 2
                          : RESEND_MAX_MS;
  call->due = now + call->interval_ms;
}

void
call_tick (struct lab *lab)
{
  int64_t now = lab_now (lab);

  if (lab->rate > 0 && now >= lab->next_call_ms)
    {
      lab->next_call_ms = now + MS_PER_S / lab->rate;
      call_begin (lab, true);
    }
  for (uint32_t i = 0; i < CALL_FLOWS_MAX; i++)
    {
      struct call *call = &lab->calls[i];

      if (call->state == CALL_OPENING && now >= call->due)
        tick_opening (lab, call, now);
      else if (call->state == CALL_WAITING && now >= call->due)
        tick_waiting (lab, call, now);
    }
}
