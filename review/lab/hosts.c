/* Hosts: each accepts flows, answers a request with one packet, and returns
   packets of flows that it does not hold.  */

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lab.h"

enum
{
  RESEND_MIN_MS = 200,
  RESEND_MAX_MS = 1600,
  RESENDS_MAX = 8,
  /* A request takes from WORK_MS to twice as long.  */
  WORK_MS = 15
};

bool
host_start (struct lab *lab, uint32_t index, const char *service)
{
  struct host *host = &lab->hosts[index];
  static uint32_t starts;

  host->fd = lab_udp_socket (lab_endpoint (lab, host->ip, PORT_APP));
  if (host->fd < 0)
    return false;
  host->up = true;
  host->born = lab_unix_ms ();
  host->sequence = 0;
  snprintf (host->id, sizeof host->id, "i-%04x%u", 0xa100 + ++starts,
            index + 1);
  snprintf (host->service, sizeof host->service, "%s", service);
  return true;
}

void
host_publish (struct lab *lab, uint32_t index, const char *state)
{
  struct host *host = &lab->hosts[index];
  char key[KEY_BYTES + TEXT_BYTES];
  char value[VALUE_BYTES];
  char address[TEXT_BYTES];

  snprintf (host->state, sizeof host->state, "%s", state);
  snprintf (key, sizeof key, "servers/%s", host->id);
  snprintf (value, sizeof value,
            "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"zone-a\","
            "\"version\":\"v1\",\"capacity\":%u,\"state\":\"%s\","
            "\"warmupLeftMs\":0,\"sequence\":%u,\"born\":%llu}",
            host->service,
            lab_text (lab_endpoint (lab, host->ip, PORT_APP), address),
            (unsigned)HOST_SLOTS, state, ++host->sequence,
            (unsigned long long)host->born);
  store_put (lab, key, value);
  if (strcmp (state, "draining") == 0)
    host->drains_since = lab_now (lab);
}

static struct host_flow *
find_flow (struct host *host, const struct packet *packet, bool add)
{
  struct host_flow *free_row = NULL;

  for (uint32_t i = 0; i < HOST_FLOWS_MAX; i++)
    {
      struct host_flow *flow = &host->flows[i];

      if (flow->used && flow->caller.ip == packet->source.ip
          && flow->caller.port == packet->source.port)
        return flow;
      if (!flow->used && free_row == NULL)
        free_row = flow;
    }
  if (!add || free_row == NULL)
    return NULL;
  memset (free_row, 0, sizeof *free_row);
  free_row->used = true;
  free_row->caller = packet->source;
  free_row->address = packet->destination;
  return free_row;
}

static void
send_out (struct lab *lab, const struct host *host, const uint8_t *bytes,
          size_t size)
{
  packet_send (host->fd, lab_endpoint (lab, host->ip, PORT_OUTBOUND), bytes,
               size);
}

/* Sends a packet of FLOW; one that takes sequence numbers is sent again until
   it is acknowledged.  */
static void
send_packet (struct lab *lab, struct host *host, struct host_flow *flow,
             uint8_t flags, const char *data)
{
  struct packet packet = { .seq = flow->seq,
                           .ack = flow->next,
                           .source = flow->address,
                           .destination = flow->caller,
                           .flags = flags,
                           .data = (const uint8_t *)data,
                           .data_size = (uint16_t)strlen (data) };
  uint8_t bytes[PACKET_BYTES];
  size_t size = packet_encode (&packet, bytes);
  uint32_t length
      = packet.data_size + ((flags & (FLAG_SYN | FLAG_FIN)) != 0 ? 1U : 0U);

  send_out (lab, host, bytes, size);
  if (length == 0)
    return;
  memcpy (flow->unacked, bytes, size);
  flow->unacked_size = size;
  flow->unacked_end = flow->seq + length;
  flow->resend_at = lab_now (lab) + RESEND_MIN_MS;
  flow->interval_ms = RESEND_MIN_MS;
  flow->resends = 0;
}

/* Returns when a request is answered that arrives at NOW and runs in the slot
   that is free first.  */
static int64_t
take_slot (struct host *host, int64_t now)
{
  int64_t *first = &host->slots[0];

  for (uint32_t i = 1; i < HOST_SLOTS; i++)
    if (host->slots[i] < *first)
      first = &host->slots[i];
  *first = (*first > now ? *first : now) + WORK_MS + random () % WORK_MS;
  return *first;
}

static void
on_request (struct lab *lab, uint32_t index, struct host_flow *flow,
            const struct packet *packet)
{
  struct host *host = &lab->hosts[index];
  char text[PACKET_BYTES];
  const char *at;

  snprintf (text, sizeof text, "%.*s", (int)packet->data_size,
            (const char *)packet->data);
  at = strstr (text, "Request-Id: ");
  if (at != NULL)
    sscanf (at + strlen ("Request-Id: "), "%31s", flow->request);
  lab_log (lab, "run host=%u id=%s state=%s flow=%u", index + 1, flow->request,
           host->state, flow->caller.port);
  flow->answer_at = take_slot (host, lab_now (lab));
}

static void
answer (struct lab *lab, struct host *host, struct host_flow *flow)
{
  char text[PACKET_BYTES];

  flow->answer_at = 0;
  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: %s\r\n"
            "Content-Length: 0\r\n\r\n",
            flow->request, host->id);
  flow->finished = lab->hosts_end_flows;
  send_packet (lab, host, flow,
               flow->finished ? FLAG_ACK | FLAG_FIN : FLAG_ACK, text);
}

static void
on_flow_packet (struct lab *lab, uint32_t index, struct host_flow *flow,
                const struct packet *packet)
{
  struct host *host = &lab->hosts[index];

  if ((packet->flags & FLAG_RST) != 0)
    {
      flow->used = false;
      return;
    }
  if (!flow->open)
    {
      if (packet->ack != flow->first_seq + 1)
        return;
      flow->open = true;
    }
  if (flow->unacked_size > 0
      && (int32_t)(packet->ack - flow->unacked_end) >= 0)
    {
      flow->seq = flow->unacked_end;
      flow->unacked_size = 0;
    }
  if (packet->data_size > 0 && packet->seq == flow->next)
    {
      flow->next += packet->data_size;
      on_request (lab, index, flow, packet);
    }
  else if (packet->data_size > 0 && flow->unacked_size > 0)
    send_out (lab, host, flow->unacked, flow->unacked_size);
  if ((packet->flags & FLAG_FIN) != 0)
    {
      flow->next = packet->seq + packet->data_size + 1;
      send_packet (lab, host, flow,
                   flow->finished ? FLAG_ACK : FLAG_ACK | FLAG_FIN, "");
      flow->used = false;
    }
}

static void
on_packet (struct lab *lab, uint32_t index, uint8_t *bytes, size_t size)
{
  struct host *host = &lab->hosts[index];
  struct packet packet;
  struct host_flow *flow;
  bool opening;

  if (!packet_decode (bytes, size, &packet))
    return;
  opening = (packet.flags & (FLAG_SYN | FLAG_ACK)) == FLAG_SYN;
  flow = find_flow (host, &packet, opening);
  if (lab->on_host_packet != NULL)
    lab->on_host_packet (lab, (int)index, &packet, flow != NULL);
  if (flow == NULL)
    {
      bytes[30] |= FLAG_BOUNCED;
      bytes[31] = 0;
      send_out (lab, host, bytes, size);
      return;
    }
  if (!opening)
    {
      on_flow_packet (lab, index, flow, &packet);
      return;
    }
  if (flow->first_seq != 0)
    {
      if (flow->unacked_size > 0)
        send_out (lab, host, flow->unacked, flow->unacked_size);
      return;
    }
  host->opens++;
  flow->first_seq = (uint32_t)random () | 1;
  flow->seq = flow->first_seq;
  flow->next = packet.seq + 1;
  lab_log (lab, "syn host=%u state=%s flow=%u", index + 1, host->state,
           flow->caller.port);
  send_packet (lab, host, flow, FLAG_SYN | FLAG_ACK, "");
}

void
host_receive (struct lab *lab, uint32_t index)
{
  struct host *host = &lab->hosts[index];
  uint8_t bytes[PACKET_BYTES];
  ssize_t size;

  while ((size = recv (host->fd, bytes, sizeof bytes, 0)) > 0)
    on_packet (lab, index, bytes, (size_t)size);
}

void
host_tick (struct lab *lab, uint32_t index)
{
  struct host *host = &lab->hosts[index];
  int64_t now = lab_now (lab);

  for (uint32_t i = 0; i < HOST_FLOWS_MAX; i++)
    {
      struct host_flow *flow = &host->flows[i];

      if (flow->used && flow->answer_at != 0 && now >= flow->answer_at)
        answer (lab, host, flow);
      if (!flow->used || flow->unacked_size == 0 || now < flow->resend_at)
        continue;
      if (flow->resends++ == RESENDS_MAX)
        {
          flow->used = false;
          continue;
        }
      send_out (lab, host, flow->unacked, flow->unacked_size);
      flow->interval_ms = flow->interval_ms * 2 < RESEND_MAX_MS
                              ? flow->interval_ms * 2
                              : RESEND_MAX_MS;
      flow->resend_at = now + flow->interval_ms;
    }
}

void
host_crash (struct lab *lab, uint32_t index)
{
  struct host *host = &lab->hosts[index];
  uint32_t ip = host->ip;

  lab_log (lab, "crash host=%u", index + 1);
  close (host->fd);
  memset (host, 0, sizeof *host);
  host->fd = -1;
  host->ip = ip;
}
