/* Fills worlds by messages, with a batch of them per tick.  */

#include <galenaford/tag.h>

#include "fill.h"
#include "fixture.h"
#include "sample.h"

enum
{
  BATCH = 256,
  PART_BYTES = 256
};

static const uint8_t part[PART_BYTES];
static const struct galena_endpoint ENTRY = { 0x7f000002, 9001 };
static const struct galena_endpoint CALLER = { 0x7f000001, 9000 };

bool
filled_world_create (struct filled_world *filled, enum galena_role role,
                     uint32_t flows, uint32_t requests, uint32_t services,
                     uint32_t upstreams)
{
  struct fixture_options fleet = { services, upstreams, { 1, 1 }, 1 };
  struct galena_world_options options = { .role = role,
                                          .seed = 1,
                                          .upstream = 1,
                                          .incarnation = 1,
                                          .flows = flows,
                                          .requests = requests,
                                          .messages = 4 * BATCH };

  *filled = (struct filled_world){ .random = { 1, 0 }, .now = { 1 } };
  if (fixture_config (&fleet, &filled->config) != GALENA_OK)
    return false;
  if (galena_world_create (&options, &filled->world) == GALENA_OK)
    return true;
  galena_config_destroy (filled->config);
  return false;
}

void
filled_world_destroy (struct filled_world *filled)
{
  galena_world_destroy (filled->world);
  galena_config_destroy (filled->config);
}

void
filled_world_tick (struct filled_world *filled)
{
  filled->now.ms++;
  galena_world_tick (filled->world, filled->now, filled->config);
}

double
filled_world_run_idle (struct filled_world *filled, int64_t span_ms)
{
  struct galena_clock end = galena_clock_add_ms (filled->now, span_ms);
  double start_ns = thread_cpu_ns ();

  for (;;)
    {
      filled->now = galena_world_due (filled->world);
      if (galena_clock_reached (filled->now, end))
        break;
      galena_world_tick (filled->world, filled->now, filled->config);
    }
  return thread_cpu_ns () - start_ns;
}

static void
push (struct filled_world *filled, const struct galena_message *message)
{
  galena_mailbox_push (galena_world_inbox (filled->world), message);
}

static struct galena_message
make_open (struct filled_world *filled, enum galena_side link)
{
  uint32_t services = galena_config_service_count (filled->config);
  uint32_t service = galena_random_below (&filled->random, services);
  struct galena_message open = { .type = GALENA_MESSAGE_OPEN, .side = link };

  open.peer = ENTRY;
  open.caller = CALLER;
  open.service = fixture_service_address (service);
  open.flow = fixture_flow (&filled->random);
  open.generation = 1;
  open.deadline_ms = 600000;
  return open;
}

/* Returns the caller's first packet on the flow that ACCEPT opened.  */
static struct galena_message
first_packet (const struct galena_message *accept, bool with_request)
{
  struct galena_message packet = *accept;

  packet.peer = ENTRY;
  packet.side = GALENA_SIDE_PEER;
  packet.deadline_ms = 600000;
  packet.type
      = with_request ? GALENA_MESSAGE_REQUEST : GALENA_MESSAGE_ACK_ANSWER;
  packet.request = 1;
  packet.part = 0;
  packet.total = 2;
  if (with_request)
    {
      packet.body = part;
      packet.body_size = PART_BYTES;
    }
  return packet;
}

/* Confirms the flows that the last tick accepted, by a packet on each.  */
static void
confirm_accepted (struct filled_world *filled, bool with_requests)
{
  const struct galena_mailbox *outbox = galena_world_outbox (filled->world);

  for (uint32_t i = 0; i < galena_mailbox_count (outbox); i++)
    {
      const struct galena_message *message = galena_mailbox_get (outbox, i);
      struct galena_message packet = first_packet (message, with_requests);

      if (message->type == GALENA_MESSAGE_ACCEPT)
        push (filled, &packet);
    }
  filled_world_tick (filled);
}

void
filled_world_add_flows (struct filled_world *filled, uint32_t count,
                        bool with_requests)
{
  for (uint32_t done = 0; done < count; done += BATCH)
    {
      for (uint32_t i = 0; i < BATCH && done + i < count; i++)
        {
          struct galena_message open = make_open (filled, GALENA_SIDE_PEER);

          push (filled, &open);
        }
      filled_world_tick (filled);
      confirm_accepted (filled, with_requests);
    }
}

void
filled_world_add_opens (struct filled_world *filled, uint32_t count)
{
  for (uint32_t done = 0; done < count; done += BATCH)
    {
      for (uint32_t i = 0; i < BATCH && done + i < count; i++)
        {
          struct galena_message open = make_open (filled, GALENA_SIDE_CALLER);

          push (filled, &open);
        }
      galena_world_tick (filled->world, filled->now, filled->config);
    }
}

void
filled_world_add_hints (struct filled_world *filled, uint32_t count)
{
  for (uint32_t done = 0; done < count; done += BATCH)
    {
      for (uint32_t i = 0; i < BATCH && done + i < count; i++)
        {
          struct galena_message answer
              = { .type = GALENA_MESSAGE_ANSWER, .side = GALENA_SIDE_PEER };

          answer.peer = ENTRY;
          answer.caller = CALLER;
          answer.tag = galena_tag_make (done + i + 1, 1, 1);
          push (filled, &answer);
        }
      galena_world_tick (filled->world, filled->now, filled->config);
    }
}
