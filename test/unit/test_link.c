/* Message I/O over sockets.  Datagrams that do not decode are counted by their
   reason and dropped.  */

#include <glib.h>
#include <string.h>
#include <unistd.h>

#include <galenaford/link.h>
#include <galenaford/random.h>
#include <galenaford/stats.h>

enum
{
  TICK_MESSAGES = 4 * GALENA_BATCH_MAX,
  MUTATED = 20000,
  /* Stands for the size of the valid datagram.  */
  FULL_SIZE = GALENA_DATAGRAM_BUFFER_BYTES + 1
};

/* A world with one socket per link, and a sender.  */
struct fixture
{
  struct galena_world *world;
  struct galena_config *config;
  struct galena_link_ports ports[GALENA_SIDE_COUNT];
  struct galena_datagrams *sender;
  struct galena_clock now;
};

/* Returns a loopback address derived from the process ID, so that tests that
   run in parallel do not collide.  */
static struct galena_endpoint
own_address (void)
{
  return (struct galena_endpoint){ 0x7f5c0000 | (uint32_t)(getpid () & 0xffff),
                                   0 };
}

static void
open_fixture (struct fixture *fixture)
{
  struct galena_config_options config = { NULL, 0, NULL, 0 };
  struct galena_datagrams_options socket = { own_address (), false };
  struct galena_world_options world = { .role = GALENA_ROLE_ENTRY,
                                        .seed = 1,
                                        .flows = 64,
                                        .messages = TICK_MESSAGES,
                                        .borrow_bodies = true };

  *fixture = (struct fixture){ .now = { 1 } };
  g_assert_cmpint (galena_config_create (&config, &fixture->config), ==,
                   GALENA_OK);
  g_assert_cmpint (galena_world_create (&world, &fixture->world), ==,
                   GALENA_OK);
  for (int link = GALENA_SIDE_CALLER; link <= GALENA_SIDE_PEER; link++)
    fixture->ports[link].count = 1;
  for (int link = GALENA_SIDE_CALLER; link <= GALENA_SIDE_PEER; link++)
    g_assert_cmpint (
        galena_datagrams_create (&socket, &fixture->ports[link].sockets[0]),
        ==, GALENA_OK);
  g_assert_cmpint (galena_datagrams_create (&socket, &fixture->sender), ==,
                   GALENA_OK);
}

static void
close_fixture (struct fixture *fixture)
{
  galena_datagrams_destroy (fixture->sender);
  for (int link = 0; link < GALENA_SIDE_COUNT; link++)
    galena_datagrams_destroy (fixture->ports[link].sockets[0]);
  galena_world_destroy (fixture->world);
  galena_config_destroy (fixture->config);
}

static void
send_bytes (struct fixture *fixture, enum galena_side link,
            const uint8_t *bytes, size_t size)
{
  memcpy (galena_datagrams_next_buffer (fixture->sender), bytes, size);
  galena_datagrams_add (
      fixture->sender, size,
      galena_datagrams_address (fixture->ports[link].sockets[0]));
}

static void
run_tick (struct fixture *fixture)
{
  for (int link = GALENA_SIDE_CALLER; link <= GALENA_SIDE_PEER; link++)
    galena_link_receive (fixture->ports[link].sockets[0], fixture->world,
                         (enum galena_side)link);
  fixture->now.ms++;
  galena_world_tick (fixture->world, fixture->now, fixture->config);
  galena_link_send (fixture->ports, fixture->world);
}

static size_t
encode (enum galena_message_type type, uint8_t *bytes)
{
  struct galena_message message
      = { .type = type, .service = { 0x7f0a0001, 700 }, .tag = 1 };
  size_t size;

  message.flow = (struct galena_flow_id){ 1, 2 };
  g_assert_cmpint (
      galena_wire_encode (&message, bytes, GALENA_DATAGRAM_BYTES_MAX, &size),
      ==, GALENA_OK);
  return size;
}

static void
get_report (const struct fixture *fixture, struct galena_report **report)
{
  struct galena_report_options options = { 1, 1 };

  g_assert_cmpint (galena_report_create (&options, report), ==, GALENA_OK);
  galena_world_report (fixture->world, *report);
}

struct bad_case
{
  const char *name;
  /* Bytes sent of a valid datagram padded with zeros; FULL_SIZE sends it
     without padding.  */
  size_t size;
  /* Byte AT becomes VALUE.  */
  size_t at;
  uint8_t value;
  enum galena_result reason;
};

static const struct bad_case BAD_CASES[] = {
  { "/link/bad/empty", 0, 0, 0, GALENA_ERR_TRUNCATED },
  { "/link/bad/cut", 10, 0, 0x98, GALENA_ERR_TRUNCATED },
  { "/link/bad/schema", FULL_SIZE, 1, 99, GALENA_ERR_SCHEMA },
  { "/link/bad/type", FULL_SIZE, 2, 99, GALENA_ERR_RANGE },
  { "/link/bad/over-the-limit", GALENA_DATAGRAM_BYTES_MAX + 1, 0, 0,
    GALENA_ERR_TOO_LARGE },
  { "/link/bad/over-the-room", GALENA_DATAGRAM_BUFFER_BYTES, 0, 0,
    GALENA_ERR_TOO_LARGE },
};

static void
run_bad_case (gconstpointer data)
{
  const struct bad_case *test = data;
  uint8_t bytes[GALENA_DATAGRAM_BUFFER_BYTES] = { 0 };
  struct galena_report *report;
  struct fixture fixture;
  size_t size;

  open_fixture (&fixture);
  size = encode (GALENA_MESSAGE_REQUEST, bytes);
  bytes[test->at] = test->value;
  send_bytes (&fixture, GALENA_SIDE_CALLER, bytes,
              test->size == FULL_SIZE ? size : test->size);
  galena_datagrams_flush (fixture.sender);
  run_tick (&fixture);
  get_report (&fixture, &report);
  g_assert_cmpuint (report->malformed[test->reason], ==, 1);
  g_assert_cmpuint (report->counters.values[GALENA_COUNT_RECEIVED], ==, 0);
  g_assert_cmpuint (report->counters.values[GALENA_COUNT_SENT], ==, 0);
  galena_report_destroy (report);
  close_fixture (&fixture);
}

static size_t
mutate (struct galena_random *random, uint8_t *bytes, size_t size)
{
  uint32_t changes = galena_random_below (random, 4);

  for (uint32_t i = 0; i < changes; i++)
    bytes[galena_random_below (random, (uint32_t)size)]
        = (uint8_t)galena_random_next (random);
  if (galena_random_below (random, 4) == 0)
    size = galena_random_below (random, GALENA_DATAGRAM_BUFFER_BYTES);
  return size;
}

static void
check_mutated (void)
{
  struct galena_random random = { 11, 0 };
  struct galena_report *report;
  struct fixture fixture;

  open_fixture (&fixture);
  for (uint32_t i = 0; i < MUTATED; i++)
    {
      uint8_t bytes[GALENA_DATAGRAM_BUFFER_BYTES] = { 0 };
      uint32_t type = 1 + galena_random_below (&random, GALENA_MESSAGE_LOAD);
      enum galena_side link
          = (enum galena_side)galena_random_below (&random, 2);
      size_t size = encode ((enum galena_message_type)type, bytes);

      size = mutate (&random, bytes, size);
      send_bytes (&fixture, link, bytes, size);
      galena_datagrams_flush (fixture.sender);
      run_tick (&fixture);
    }
  get_report (&fixture, &report);
  g_assert_cmpuint (report->counters.values[GALENA_COUNT_RECEIVED]
                        + report->counters.values[GALENA_COUNT_MALFORMED],
                    ==, MUTATED);
  g_assert_cmpuint (report->counters.values[GALENA_COUNT_MALFORMED], >, 0);
  g_assert_cmpuint (report->usage.pending_opens, ==, 0);
  galena_report_destroy (report);
  close_fixture (&fixture);
}

/* A flood from callers does not delay the replies of agents: each tick
   receives at most one batch from each link.  */
static void
check_flood (void)
{
  uint8_t request[GALENA_DATAGRAM_BYTES_MAX];
  uint8_t answer[GALENA_DATAGRAM_BYTES_MAX];
  size_t request_size = encode (GALENA_MESSAGE_REQUEST, request);
  size_t answer_size = encode (GALENA_MESSAGE_ANSWER, answer);
  const struct galena_counters *counters;
  struct fixture fixture;

  open_fixture (&fixture);
  counters = galena_world_counters (fixture.world);
  for (int i = 0; i < 4 * GALENA_BATCH_MAX; i++)
    send_bytes (&fixture, GALENA_SIDE_CALLER, request, request_size);
  galena_datagrams_flush (fixture.sender);
  for (int i = 0; i < GALENA_BATCH_MAX; i++)
    send_bytes (&fixture, GALENA_SIDE_PEER, answer, answer_size);
  galena_datagrams_flush (fixture.sender);
  run_tick (&fixture);
  g_assert_cmpuint (counters->values[GALENA_COUNT_RECEIVED], ==,
                    2 * GALENA_BATCH_MAX);
  close_fixture (&fixture);
}

/* A datagram that the system refuses to send is counted.  */
static void
check_unsent (void)
{
  uint8_t bytes[GALENA_DATAGRAM_BYTES_MAX];
  size_t size;
  struct galena_message answer = { .type = GALENA_MESSAGE_ANSWER,
                                   .tag = 1,
                                   .caller = { 0x7f000001, 0 } };
  const struct galena_counters *counters;
  struct fixture fixture;

  open_fixture (&fixture);
  counters = galena_world_counters (fixture.world);
  galena_wire_encode (&answer, bytes, sizeof bytes, &size);
  send_bytes (&fixture, GALENA_SIDE_PEER, bytes, size);
  galena_datagrams_flush (fixture.sender);
  run_tick (&fixture);
  g_assert_cmpuint (counters->values[GALENA_COUNT_SENT], ==, 1);
  g_assert_cmpuint (counters->values[GALENA_COUNT_UNSENT], ==, 1);
  close_fixture (&fixture);
}

/* The source port index of a message selects the source port: an upstream is
   reached over another source port when an earlier one times out.  */
static void
check_ports (void)
{
  struct galena_datagrams_options socket = { own_address (), false };
  struct galena_link_ports *caller_ports;
  struct galena_message message
      = { .type = GALENA_MESSAGE_ANSWER, .tag = 1, .source_port_index = 1 };
  struct galena_endpoint source;
  struct fixture fixture;
  size_t size;

  open_fixture (&fixture);
  caller_ports = &fixture.ports[GALENA_SIDE_CALLER];
  g_assert_cmpint (
      galena_datagrams_create (&socket, &caller_ports->sockets[1]), ==,
      GALENA_OK);
  caller_ports->count = 2;
  message.side = GALENA_SIDE_PEER;
  message.caller = galena_datagrams_address (fixture.sender);
  galena_mailbox_push (galena_world_inbox (fixture.world), &message);
  run_tick (&fixture);
  g_assert_cmpuint (galena_datagrams_receive (fixture.sender), ==, 1);
  galena_datagrams_get (fixture.sender, 0, &size, &source);
  g_assert_true (galena_endpoint_equal (
      source, galena_datagrams_address (caller_ports->sockets[1])));
  galena_datagrams_destroy (caller_ports->sockets[1]);
  close_fixture (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (BAD_CASES); i++)
    g_test_add_data_func (BAD_CASES[i].name, &BAD_CASES[i], run_bad_case);
  g_test_add_func ("/link/mutated", check_mutated);
  g_test_add_func ("/link/flood", check_flood);
  g_test_add_func ("/link/unsent", check_unsent);
  g_test_add_func ("/link/ports", check_ports);
  return g_test_run ();
}
