/* Single figures: bytes of messages, and costs of a sync.  */

#include <stdio.h>

#include <galenaford/audit.h>
#include <galenaford/relay.h>
#include <galenaford/sync.h>
#include <galenaford/tag.h>
#include <galenaford/wire.h>

#include "capacity.h"
#include "fixture.h"
#include "sample.h"

enum
{
  /* Links of the measured sync to peers.  */
  LINKS = 18,
  SYNC_SPAN_MS = 20000,
  AUDIT_ROWS = 1024
};

static double
datagram_bytes (const struct galena_message *message)
{
  uint8_t bytes[GALENA_DATAGRAM_BYTES_MAX];
  size_t size;

  if (galena_wire_encode (message, bytes, sizeof bytes, &size) != GALENA_OK)
    return -1;
  return (double)size;
}

static struct galena_message
make_message (enum galena_message_type type)
{
  struct galena_message message = { .type = type };

  message.service = fixture_service_address (7);
  message.caller = (struct galena_endpoint){ 0x7f000001, 40000 };
  message.flow = (struct galena_flow_id){ UINT64_MAX / 3, UINT64_MAX / 5 };
  message.generation = 1000;
  message.deadline_ms = 5000;
  return message;
}

static double
open_bytes (void)
{
  struct galena_message open = make_message (GALENA_MESSAGE_OPEN);

  return datagram_bytes (&open);
}

static double
accept_bytes (void)
{
  struct galena_message accept = make_message (GALENA_MESSAGE_ACCEPT);

  accept.tag = galena_tag_make (2000, 70000, 70000);
  accept.wait_ms = 300;
  return datagram_bytes (&accept);
}

static double
load_bytes (void)
{
  struct galena_message load = { .type = GALENA_MESSAGE_LOAD };

  load.service = fixture_service_address (7);
  load.tag = galena_tag_make (2000, 70000, 70000);
  load.generation = 1000;
  load.wait_ms = 300;
  return datagram_bytes (&load);
}

static double
relay_bytes (const struct galena_sync_message *message)
{
  uint8_t bytes[GALENA_RELAY_HEADER_BYTES_MAX];
  size_t size;

  if (galena_relay_encode (message, NULL, 0, bytes, sizeof bytes, &size)
      != GALENA_OK)
    return -1;
  return (double)size;
}

static double
heartbeat_bytes (void)
{
  struct galena_sync_message heartbeat
      = { .type = GALENA_SYNC_HEARTBEAT,
          .sender = { { 0x7f000001, 7300 }, GALENA_ROLE_ENTRY },
          .synced = true,
          .reply_requested = true,
          .number = UINT32_MAX,
          .digest = UINT64_MAX,
          .leaving_digest = UINT64_MAX };

  return relay_bytes (&heartbeat);
}

static double
announce_bytes (void)
{
  struct galena_sync_message announce = { .type = GALENA_SYNC_ANNOUNCE,
                                          .number = FLEET_SERVICES,
                                          .generation = 100000,
                                          .digest = UINT64_MAX };

  return relay_bytes (&announce);
}

static struct galena_sync *
make_sync (struct galena_audit *audit)
{
  struct galena_sync_options options
      = { .self = { { 0x7f000001, 7300 }, GALENA_ROLE_ENTRY },
          .seed = 1,
          .readers = 3460,
          .reads_per_second = 2000,
          .wait_ms = 20000,
          .has_instance_list = true,
          .audit = audit };
  struct galena_sync *sync;

  return galena_sync_create (&options, &sync) == GALENA_OK ? sync : NULL;
}

/* Returns what MEASURE returns for a new sync, or -1 when it can't be created.
   MEASURE also gets the bytes that were allocated before.  */
static double
with_sync (double (*measure) (struct galena_sync *sync, double before))
{
  struct galena_audit_options options = { AUDIT_ROWS };
  double before = allocated_bytes ();
  struct galena_audit *audit;
  struct galena_sync *sync;
  double figure;

  if (galena_audit_create (&options, &audit) != GALENA_OK)
    return -1;
  sync = make_sync (audit);
  figure = sync == NULL ? -1 : measure (sync, before);
  galena_sync_destroy (sync);
  galena_audit_destroy (audit);
  return figure;
}

static double
measure_sync_bytes (struct galena_sync *sync, double before)
{
  (void)sync;
  return allocated_bytes () - before;
}

static double
sync_bytes (void)
{
  return with_sync (measure_sync_bytes);
}

static void
discard_actions (struct galena_sync *sync)
{
  struct galena_sync_action action;

  while (galena_sync_next_action (sync, &action))
    continue;
}

/* Returns the nanoseconds per second of virtual time of a sync with LINKS
   links.  */
static double
measure_sync_ns (struct galena_sync *sync, double before)
{
  struct galena_clock now = { 1 };
  struct galena_peer_handle peer;
  double start_ns;

  (void)before;
  for (uint32_t i = 0; i < LINKS; i++)
    galena_sync_accept (sync, now, &peer);
  start_ns = thread_cpu_ns ();
  while (now.ms < SYNC_SPAN_MS)
    {
      galena_sync_tick (sync, now);
      discard_actions (sync);
      now = galena_sync_due (sync);
    }
  return (thread_cpu_ns () - start_ns) / (SYNC_SPAN_MS / 1000.0);
}

static double
sync_ns (void)
{
  return with_sync (measure_sync_ns);
}

const struct figure FIGURES[] = {
  { "datagram-open", "bytes", open_bytes },
  { "datagram-accept", "bytes", accept_bytes },
  { "datagram-load", "bytes", load_bytes },
  { "relay-heartbeat", "bytes", heartbeat_bytes },
  { "relay-announce", "bytes", announce_bytes },
  { "sync-and-audit-memory", "bytes", sync_bytes },
  { "sync-systems", "ns/s", sync_ns },
  { 0 },
};
