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
test_world_create (struct test_world *test, enum galena_role role,
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

  *test = (struct test_world){ .random = { 1, 0 }, .now = { 1 } };
  if (fixture_config (&fleet, &test->config) != GALENA_OK)
    return false;
  if (galena_world_create (&options, &test->world) == GALENA_OK)
    return true;
  galena_config_destroy (test->config);
  return false;
}

void
test_world_destroy (struct test_world *test)
{
  galena_world_destroy (test->world);
  galena_config_destroy (test->config);
}

void
test_world_tick (struct test_world *test)
{
  test->now.ms++;
  galena_world_tick (test->world, test->now, test->config);
}

double
test_world_run_idle (struct test_world *test, int64_t span_ms)
{
  struct galena_clock end = galena_clock_add_ms (test->now, span_ms);
  double start_ns = thread_cpu_ns ();

  for (;;)
    {
      test->now = galena_world_due (test->world);
      if (galena_clock_reached (test->now, end))
        break;
      galena_world_tick (test->world, test->now, test->config);
    }
  return thread_cpu_ns () - start_ns;
}

static void
push (struct test_world *test, const struct galena_message *message)
{
  galena_mailbox_push (galena_world_inbox (test->world), message);
}

static struct galena_message
make_open (struct test_world *test, enum galena_side link)
{
  uint32_t services = galena_config_service_count (test->config);
  uint32_t service = galena_random_below (&test->random, services);
  struct galena_message open = { .type = GALENA_MESSAGE_OPEN, .side = link };

  open.peer = ENTRY;
  open.caller = CALLER;
  open.service = fixture_service_address (service);
  open.flow = fixture_flow (&test->random);
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
confirm_accepted (struct test_world *test, bool with_requests)
{
  const struct galena_mailbox *outbox = galena_world_outbox (test->world);

  for (uint32_t i = 0; i < galena_mailbox_count (outbox); i++)
    {
      const struct galena_message *message = galena_mailbox_get (outbox, i);
      struct galena_message packet = first_packet (message, with_requests);

      if (message->type == GALENA_MESSAGE_ACCEPT)
        push (test, &packet);
    }
  test_world_tick (test);
}

void
test_world_add_flows (struct test_world *test, uint32_t count,
                      bool with_requests)
{
  for (uint32_t done = 0; done < count; done += BATCH)
    {
      for (uint32_t i = 0; i < BATCH && done + i < count; i++)
        {
          struct galena_message open = make_open (test, GALENA_SIDE_PEER);

          push (test, &open);
        }
      test_world_tick (test);
      confirm_accepted (test, with_requests);
    }
}

void
test_world_add_opens (struct test_world *test, uint32_t count)
{
  for (uint32_t done = 0; done < count; done += BATCH)
    {
      for (uint32_t i = 0; i < BATCH && done + i < count; i++)
        {
          struct galena_message open = make_open (test, GALENA_SIDE_CALLER);

          push (test, &open);
        }
      galena_world_tick (test->world, test->now, test->config);
    }
}

void
test_world_add_hints (struct test_world *test, uint32_t count)
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
          push (test, &answer);
        }
      galena_world_tick (test->world, test->now, test->config);
    }
}
