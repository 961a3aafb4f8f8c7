/* Simulated callers: half of them send request after request, with pauses, on
   one flow, the others open a flow for each request.  */

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <galenaford/monotonic.h>
#include <galenaford/platform/packet_codec.h>

#include "soak.h"

enum
{
  /* Pause between two requests.  */
  THINK_MIN_MS = 100,
  THINK_RANGE_MS = 300,
  /* The same in a burst.  */
  BURST_THINK_MS = 2,
  /* Times, after the first copy of an opening packet, of the second and third
     copy, and when the caller gives up.  */
  SECOND_OPEN_MS = 200,
  THIRD_OPEN_MS = 600,
  OPEN_LIMIT_MS = 1400,
  /* First and longest interval of retransmissions.  */
  RESEND_MS = 200,
  RESEND_MAX_MS = 1600,
  /* A request fails after this time, or after this many failed flows.  */
  DEADLINE_MS = 3000,
  ATTEMPTS_MAX = 3,
  /* Source ports with which the callers begin.  */
  FIRST_PORT = 1024,
  PORTS = 200,
  /* After one request in this many, a long flow is idle for IDLE_MS, until no
     packet of it is under way any more.  Both ends then discard it, and the
     next one is opened from its port.  */
  REUSE_EVERY = 16,
  IDLE_MS = 1500,
  /* Requests that begin between these times before the end of the run count
     for the recovery; later ones may not be answered in time.  */
  RECOVERY_WINDOW_BEGIN_MS = 4000,
  RECOVERY_WINDOW_END_MS = 1000,
  ADDRESS_BYTES = 32,
  ANSWER_TOTAL_BYTES = ANSWER_PACKETS * ANSWER_BYTES
};

static void
schedule_request (struct soak *soak, struct caller *caller)
{
  caller->state = CALLER_IDLE;
  caller->due = galena_clock_add_ms (
      soak->now,
      THINK_MIN_MS + galena_random_below (&soak->random, THINK_RANGE_MS));
}

bool
callers_create (struct soak *soak)
{
  for (uint32_t i = 0; i < soak->options.callers; i++)
    {
      struct caller *caller = &soak->callers[i];

      caller->fd = net_socket (net_caller (soak, i, PORT_PACKETS));
      if (caller->fd < 0)
        return false;
      caller->flow_per_request = i % 2 == 0;
      caller->port = (uint16_t)(FIRST_PORT + i % PORTS);
      caller->route = i % (SERVICES + 1);
      schedule_request (soak, caller);
    }
  return true;
}

void
callers_destroy (struct soak *soak)
{
  for (uint32_t i = 0; i < soak->options.callers; i++)
    if (soak->callers[i].fd > 0)
      close (soak->callers[i].fd);
}

static struct galena_flow_key
key_of (const struct soak *soak, uint32_t index)
{
  const struct caller *caller = &soak->callers[index];

  return (struct galena_flow_key){ net_caller (soak, index, caller->port),
                                   net_route (caller->route) };
}

static void
send_packet (struct soak *soak, uint32_t index, uint8_t flags,
             uint32_t sequence, uint32_t acknowledged, const uint8_t *data,
             uint32_t size)
{
  struct galena_flow_key key = key_of (soak, index);
  struct galena_packet packet = { .source = key.caller,
                                  .destination = key.service_address,
                                  .flags = flags,
                                  .sequence = sequence,
                                  .acknowledged = acknowledged };
  uint8_t bytes[PACKET_BYTES_MAX];
  uint32_t length = wire_encode (&packet, data, size, bytes);
  int entry = rotation_entry (soak, key);

  if (entry >= 0)
    net_send (soak, soak->callers[index].fd,
              net_entry (soak, (uint32_t)entry, PORT_PACKETS), bytes, length);
}

static void
send_open (struct soak *soak, uint32_t index)
{
  struct caller *caller = &soak->callers[index];
  static const uint32_t NEXT_OPEN_MS[]
      = { SECOND_OPEN_MS, THIRD_OPEN_MS, OPEN_LIMIT_MS };

  send_packet (soak, index, GALENA_PACKET_OPENS, caller->sequence - 1,
               caller->opens_sent, NULL, 0);
  caller->due = galena_clock_add_ms (caller->open_started,
                                     NEXT_OPEN_MS[caller->opens_sent]);
  caller->opens_sent++;
}

static void
begin_open (struct soak *soak, uint32_t index)
{
  struct caller *caller = &soak->callers[index];

  caller->port++;
  caller->open = false;
  caller->state = CALLER_OPENING;
  caller->opens_sent = 0;
  caller->open_started = soak->now;
  caller->sequence = (uint32_t)galena_random_next (&soak->random);
  send_open (soak, index);
}

static void
send_request (struct soak *soak, uint32_t index)
{
  struct caller *caller = &soak->callers[index];
  uint8_t data[REQUEST_BYTES] = { 0 };

  wire_encode_number (data, caller->request);
  data[8] = caller->flow_per_request;
  send_packet (soak, index, GALENA_PACKET_ACKNOWLEDGES, caller->sequence,
               caller->acknowledged, data, sizeof data);
  caller->due = galena_clock_add_ms (soak->now, caller->interval_ms);
  if (caller->interval_ms < RESEND_MAX_MS)
    caller->interval_ms *= 2;
}

/* Prints EVENT of the flow and the request of caller INDEX.  */
static void
print_flow (struct soak *soak, uint32_t index, const char *event)
{
  const struct caller *caller = &soak->callers[index];
  char address[ADDRESS_BYTES];
  uint32_t host = 0;
  bool held = hosts_find_flow (soak, key_of (soak, index), &host);

  net_format (key_of (soak, index).caller, address, sizeof address);
  printf (
      "event=%s seed=%llu at_ms=%lld time_ms=%llu caller=%s route=%u "
      "state=%d attempts=%u opened_ms=%lld request_ms=%lld host=%d\n",
      event, (unsigned long long)soak->options.seed,
      (long long)galena_clock_elapsed_ms (soak->started, soak->now),
      (unsigned long long)galena_unix_ms (), address, caller->route,
      (int)caller->state, caller->attempts,
      (long long)galena_clock_elapsed_ms (soak->started, caller->open_started),
      (long long)galena_clock_elapsed_ms (soak->started,
                                          caller->request_started),
      held ? (int)host : -1);
}

/* Returns whether the request of CALLER counts for the recovery.  */
static bool
counts_for_recovery (const struct soak *soak, const struct caller *caller)
{
  int64_t end_ms = (int64_t)soak->options.faults_ms + soak->options.calm_ms;
  int64_t at_ms
      = galena_clock_elapsed_ms (soak->started, caller->request_started);

  return at_ms > end_ms - RECOVERY_WINDOW_BEGIN_MS
         && at_ms < end_ms - RECOVERY_WINDOW_END_MS;
}

static void
finish_request (struct soak *soak, uint32_t index, bool answered)
{
  struct caller *caller = &soak->callers[index];

  soak->report.answered += answered;
  soak->report.failed += !answered && caller->answer_expected;
  if (caller->answer_expected && counts_for_recovery (soak, caller))
    {
      soak->report.recovery_requests++;
      soak->report.recovery_answered += answered;
      if (!answered)
        print_flow (soak, index, "unanswered");
    }
  if (caller->flow_per_request || !answered)
    {
      if (caller->open)
        send_packet (soak, index,
                     GALENA_PACKET_ACKNOWLEDGES | GALENA_PACKET_ENDS,
                     caller->sequence, caller->acknowledged, NULL, 0);
      caller->open = false;
    }
  schedule_request (soak, caller);
  /* After a failure a caller pauses in a burst too: at a route that is dropped
     it would send hundreds of requests a second.  */
  if (answered && soak->bursts > 0 && caller->route == soak->burst_route)
    caller->due = galena_clock_add_ms (soak->now, BURST_THINK_MS);
  caller->reuses_port = caller->open && caller->request % REUSE_EVERY == 0;
  if (caller->reuses_port)
    caller->due = galena_clock_add_ms (soak->now, IDLE_MS);
}

/* Opens another flow after one was lost, if the request may be repeated, or
   else lets the request fail.  */
static void
retry_request (struct soak *soak, uint32_t index)
{
  struct caller *caller = &soak->callers[index];
  bool opened = caller->state == CALLER_WAITING;

  caller->attempts++;
  caller->open = false;
  caller->received = 0;
  if (caller->attempts == ATTEMPTS_MAX || (caller->flow_per_request && opened))
    finish_request (soak, index, false);
  else
    begin_open (soak, index);
}

/* Discards the flow of caller INDEX at both ends without a packet, so that the
   next flow gets the same port.  */
static void
reuse_port (struct soak *soak, uint32_t index)
{
  struct caller *caller = &soak->callers[index];

  hosts_discard_flow (soak, key_of (soak, index));
  caller->open = false;
  caller->port--;
}

static void
begin_request (struct soak *soak, uint32_t index)
{
  struct caller *caller = &soak->callers[index];

  caller->request = ++soak->next_request;
  caller->request_started = soak->now;
  caller->attempts = 0;
  caller->received = 0;
  /* A request may fail around a change of its route, and while new flows of
     its service may be refused.  */
  caller->answer_expected
      = !soak->routes[caller->route].dropped
        && !hosts_may_refuse (soak, soak->routes[caller->route].service)
        && galena_clock_elapsed_ms (soak->routes[caller->route].changed,
                                    soak->now)
               > CONFIG_BOUND_MS;
  soak->report.requests++;
  if (caller->open && caller->reuses_port)
    reuse_port (soak, index);
  caller->reuses_port = false;
  if (!caller->open)
    {
      begin_open (soak, index);
      return;
    }
  caller->state = CALLER_WAITING;
  caller->interval_ms = RESEND_MS;
  send_request (soak, index);
}

void
callers_run (struct soak *soak)
{
  for (uint32_t i = 0; i < soak->options.callers; i++)
    {
      struct caller *caller = &soak->callers[i];

      if (!galena_clock_reached (soak->now, caller->due))
        continue;
      if (caller->state == CALLER_IDLE)
        begin_request (soak, i);
      else if (galena_clock_elapsed_ms (caller->request_started, soak->now)
               > DEADLINE_MS)
        finish_request (soak, i, false);
      else if (caller->state == CALLER_WAITING)
        send_request (soak, i);
      else if (caller->opens_sent < 3)
        send_open (soak, i);
      else
        retry_request (soak, i);
    }
}

/* Returns whether a configuration has dropped the route of CALLER's flow.  It
   may have brought the route back within the time that the entries have to
   apply each of the two.  */
static bool
is_route_dropped (const struct soak *soak, const struct caller *caller)
{
  const struct route *route = &soak->routes[caller->route];

  return route->dropped
         || (galena_clock_elapsed_ms (caller->open_started, route->dropped_at)
                 > 0
             && galena_clock_elapsed_ms (route->dropped_at, soak->now)
                    <= CONFIG_BOUND_MS);
}

/* Counts a reset of an open flow as a violation if its upstream is up and, for
   STABLE_MS, no fault affected it and no unplanned fault was active
   anywhere.  */
static void
check_reset (struct soak *soak, uint32_t index)
{
  const struct caller *caller = &soak->callers[index];
  uint32_t host;

  if (!caller->open || is_route_dropped (soak, caller)
      || !hosts_find_flow (soak, key_of (soak, index), &host)
      || !soak_is_fault_free (soak, STABLE_MS)
      || galena_clock_elapsed_ms (soak->hosts[host].last_fault, soak->now)
             <= STABLE_MS)
    return;
  soak->report.cut++;
  print_flow (soak, index, "cut");
}

/* Handles one packet of an answer; checks that it is complete, in order and to
   the current request.  */
static void
on_answer (struct soak *soak, uint32_t index,
           const struct galena_packet *packet)
{
  struct caller *caller = &soak->callers[index];
  const uint8_t *data = packet->bytes + GALENA_PLATFORM_HEADER_BYTES;

  if (packet->sequence == caller->acknowledged
      && caller->state == CALLER_WAITING)
    {
      if (wire_decode_number (data) != caller->request
          || wire_decode_number (data + 8) != caller->received / ANSWER_BYTES
          || data[ANSWER_BYTES - 1] != caller->request % FILL_MODULUS)
        soak->report.wrong_answers++;
      caller->acknowledged += packet->data_size;
      caller->received += packet->data_size;
    }
  send_packet (soak, index, GALENA_PACKET_ACKNOWLEDGES,
               caller->sequence + REQUEST_BYTES, caller->acknowledged, NULL,
               0);
  if (caller->state != CALLER_WAITING || caller->received < ANSWER_TOTAL_BYTES)
    return;
  caller->sequence += REQUEST_BYTES;
  finish_request (soak, index, true);
}

static void
on_packet (struct soak *soak, uint32_t index,
           const struct galena_packet *packet)
{
  struct caller *caller = &soak->callers[index];

  if (packet->destination.port != caller->port)
    return;
  if ((packet->flags & GALENA_PACKET_RESETS) != 0)
    {
      check_reset (soak, index);
      if (caller->state == CALLER_IDLE)
        caller->open = false;
      else
        retry_request (soak, index);
    }
  else if (galena_packet_is_accept (packet))
    {
      if (caller->state != CALLER_OPENING)
        return;
      caller->open = true;
      caller->acknowledged = packet->sequence + 1;
      caller->state = CALLER_WAITING;
      caller->interval_ms = RESEND_MS;
      send_request (soak, index);
    }
  else if (packet->data_size == ANSWER_BYTES)
    on_answer (soak, index, packet);
}

void
callers_receive (struct soak *soak, uint32_t index)
{
  struct galena_packet packet;
  uint8_t bytes[PACKET_BYTES_MAX];
  bool corrupted;

  while (wire_receive (soak->callers[index].fd, bytes, &packet, &corrupted))
    {
      soak->report.corrupted += corrupted;
      if (!corrupted)
        on_packet (soak, index, &packet);
    }
}
