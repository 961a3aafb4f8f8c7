/* The server for operators: replies, limits, and clients that read slowly,
   send nothing or send malformed queries.  The sockets are real, the time is
   virtual.  */

#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <galenaford/framing.h>

#include "console_server.h"

enum
{
  CONNECTIONS = 2,
  STEPS_MAX = 2000,
  AUDIT_ROWS = 4000,
  /* Queries whose replies exceed the buffers of both sockets.  */
  SLOW_QUERIES = 400,
  SLOW_READS_MAX = 1000000,
  ADDRESS_IP = 0x7f4d0001
};

/* A server over a process without threads.  */
struct fixture
{
  struct process process;
  struct collector *collector;
  struct galena_config *config;
  struct console_server *server;
  struct view_source source;
  struct galena_endpoint address;
};

static void
fill_audit (struct fixture *fixture)
{
  struct galena_audit_options options = { AUDIT_ROWS };
  struct galena_audit_row row = { .event = GALENA_AUDIT_PAUSED };
  struct galena_audit *audit;

  g_assert_cmpint (galena_audit_create (&options, &audit), ==, GALENA_OK);
  for (uint32_t i = 0; i < AUDIT_ROWS; i++)
    {
      galena_audit_append (audit, &row);
      if (i % GALENA_REPORT_AUDIT_ROWS != GALENA_REPORT_AUDIT_ROWS - 1)
        continue;
      process_report_audit (&fixture->process, audit);
      collector_refresh (fixture->collector, fixture->source.now);
    }
  galena_audit_destroy (audit);
}

static void
create_process (struct fixture *fixture)
{
  struct galena_report_options options = { 16, 16 };
  struct process *process = &fixture->process;

  process->settings.role = GALENA_ROLE_AGENT;
  strcpy (process->settings.name, "agent-1");
  g_assert_cmpint (process_init (process), ==, GALENA_OK);
  process->report_buffer_count = 2;
  for (uint32_t i = 0; i < process->report_buffer_count; i++)
    g_assert_cmpint (
        report_buffer_create (&options, &process->report_buffers[i]), ==,
        GALENA_OK);
}

/* Listens on the first free port of a loopback address that only this test
   uses.  */
static void
create_server (struct fixture *fixture)
{
  enum galena_result result = GALENA_ERR_IO;

  for (uint16_t port = 7900; port < 8000 && result != GALENA_OK; port++)
    {
      struct console_server_options options
          = { { ADDRESS_IP, port }, CONNECTIONS };

      fixture->address = options.address;
      result = console_server_create (&options, &fixture->server);
    }
  g_assert_cmpint (result, ==, GALENA_OK);
}

static struct fixture *
create_fixture (void)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);
  struct galena_config_options empty = { NULL, 0, NULL, 0 };

  create_process (fixture);
  g_assert_cmpint (collector_create (&fixture->process, &fixture->collector),
                   ==, GALENA_OK);
  g_assert_cmpint (galena_config_create (&empty, &fixture->config), ==,
                   GALENA_OK);
  create_server (fixture);
  fixture->source.collector = fixture->collector;
  fixture->source.config = fixture->config;
  fixture->source.now = fixture->process.started;
  collector_refresh (fixture->collector, fixture->source.now);
  return fixture;
}

static void
destroy_fixture (struct fixture *fixture)
{
  console_server_destroy (fixture->server);
  galena_config_destroy (fixture->config);
  collector_destroy (fixture->collector);
  for (uint32_t i = 0; i < fixture->process.report_buffer_count; i++)
    report_buffer_destroy (fixture->process.report_buffers[i]);
  process_release (&fixture->process);
  g_free (fixture);
}

static void
step (struct fixture *fixture)
{
  struct pollfd fds[CONSOLE_CONNECTIONS_MAX + 1];
  uint32_t count = console_server_prepare (fixture->server, fds);

  poll (fds, count, 1);
  console_server_step (fixture->server, fds, &fixture->source);
}

/* The operator's end of one connection.  */
struct client
{
  int fd;
  struct galena_framing *framing;
  uint32_t rows;
  bool ended;
  bool closed;
  uint64_t result;
};

static struct client
open_client (const struct fixture *fixture)
{
  struct galena_framing_options options = { 4096, 4096 };
  struct client client = { .fd = -1 };

  g_assert_cmpint (galena_framing_create (&options, &client.framing), ==,
                   GALENA_OK);
  g_assert_cmpint (galena_tcp_connect (fixture->address, &client.fd), ==,
                   GALENA_OK);
  return client;
}

static void
close_client (struct client *client)
{
  galena_framing_destroy (client->framing);
  close (client->fd);
}

static void
send_query (struct client *client, uint64_t view)
{
  struct galena_operator_row query
      = { .type = GALENA_ROW_QUERY, .as.query.view = view };
  uint8_t bytes[GALENA_OPERATOR_ROW_BYTES_MAX];
  size_t size;

  galena_operator_encode (&query, bytes, sizeof bytes, &size);
  galena_framing_add (client->framing, bytes, (uint32_t)size);
}

/* Sends and receives without waiting.  */
static void
step_client (struct client *client)
{
  struct galena_operator_row row;
  const uint8_t *bytes;
  uint32_t size;

  if (client->closed
      || galena_framing_send (client->framing, client->fd) != GALENA_OK)
    return;
  if (galena_framing_receive (client->framing, client->fd) != GALENA_OK)
    client->closed = true;
  while ((bytes = galena_framing_next (client->framing, &size)) != NULL)
    {
      g_assert_cmpint (galena_operator_decode (bytes, size, &row), ==,
                       GALENA_OK);
      client->ended = row.type == GALENA_ROW_END;
      client->result = row.as.end.result;
      client->rows += !client->ended;
    }
}

/* Runs both sides until the reply has ended or the connection is closed.  */
static void
finish_client (struct fixture *fixture, struct client *client)
{
  for (int i = 0; i < STEPS_MAX && !client->ended && !client->closed; i++)
    {
      step (fixture);
      for (int n = 0; n < 64 && !client->ended && !client->closed; n++)
        step_client (client);
    }
}

struct query_case
{
  const char *name;
  uint64_t view;
  enum galena_result expect;
  uint32_t rows_min;
};

static const struct query_case QUERY_CASES[] = {
  { "/console/status", GALENA_ROW_STATUS, GALENA_OK, 1 },
  { "/console/counters", GALENA_ROW_COUNTER, GALENA_OK, GALENA_COUNTER_COUNT },
  { "/console/generation", GALENA_ROW_GENERATION, GALENA_OK, 0 },
  { "/console/upstreams", GALENA_ROW_UPSTREAM, GALENA_OK, 0 },
  { "/console/flows", GALENA_ROW_KIND, GALENA_OK, 0 },
  { "/console/audit", GALENA_ROW_AUDIT, GALENA_OK, 1 },
  { "/console/no-view", GALENA_ROW_END, GALENA_ERR_NOT_FOUND, 0 },
  { "/console/unknown-view", UINT64_MAX, GALENA_ERR_NOT_FOUND, 0 },
};

static void
run_query_case (gconstpointer data)
{
  const struct query_case *test = data;
  struct fixture *fixture = create_fixture ();
  struct client client = open_client (fixture);

  send_query (&client, test->view);
  finish_client (fixture, &client);
  g_assert_true (client.ended);
  g_assert_cmpuint (client.result, ==, test->expect);
  g_assert_cmpuint (client.rows, >=, test->rows_min);
  close_client (&client);
  destroy_fixture (fixture);
}

struct bytes_case
{
  const char *name;
  const char *bytes;
  size_t size;
  /* Whether the server closes the connection; if not, the result in its
     reply.  */
  bool closed;
  enum galena_result expect;
};

static const struct bytes_case BYTES_CASES[] = {
  { "/console/empty-frame", "\0\0\0\0", 4, false, GALENA_ERR_TRUNCATED },
  { "/console/not-msgpack", "\0\0\0\1\xc1", 5, false, GALENA_ERR_TYPE },
  { "/console/not-a-query", "\0\0\0\4\x93\1\2\0", 8, false, GALENA_ERR_TYPE },
  { "/console/frame-too-large", "\0\0\1\0", 4, true, GALENA_OK },
  { "/console/frame-huge", "\xff\xff\xff\xff", 4, true, GALENA_OK },
};

static void
run_bytes_case (gconstpointer data)
{
  const struct bytes_case *test = data;
  struct fixture *fixture = create_fixture ();
  struct client client = open_client (fixture);

  g_assert_cmpint (send (client.fd, test->bytes, test->size, 0), ==,
                   test->size);
  finish_client (fixture, &client);
  g_assert_cmpint (client.closed, ==, test->closed);
  if (!test->closed)
    g_assert_cmpuint (client.result, ==, test->expect);
  close_client (&client);
  destroy_fixture (fixture);
}

/* A connection that sends nothing is closed after the idle timeout.  */
static void
check_idle_client (void)
{
  struct fixture *fixture = create_fixture ();
  struct client client = open_client (fixture);

  step (fixture);
  step (fixture);
  step_client (&client);
  g_assert_false (client.closed);
  fixture->source.now
      = galena_clock_add_ms (fixture->source.now, CONSOLE_IDLE_MS);
  finish_client (fixture, &client);
  g_assert_true (client.closed);
  close_client (&client);
  destroy_fixture (fixture);
}

/* A connection that does not read its reply delays no other one, and is closed
   after the idle timeout.  */
static void
check_slow_reader (void)
{
  struct fixture *fixture = create_fixture ();
  struct client slow = open_client (fixture);
  struct client other;

  fill_audit (fixture);
  for (int i = 0; i < SLOW_QUERIES; i++)
    {
      send_query (&slow, GALENA_ROW_AUDIT);
      galena_framing_send (slow.framing, slow.fd);
      step (fixture);
    }
  other = open_client (fixture);
  send_query (&other, GALENA_ROW_STATUS);
  finish_client (fixture, &other);
  g_assert_true (other.ended);
  g_assert_cmpuint (other.rows, ==, 1);
  fixture->source.now
      = galena_clock_add_ms (fixture->source.now, CONSOLE_IDLE_MS);
  step (fixture);
  for (int i = 0; i < SLOW_READS_MAX && !slow.closed; i++)
    step_client (&slow);
  g_assert_true (slow.closed);
  g_assert_cmpuint (slow.rows, <, SLOW_QUERIES * AUDIT_ROWS);
  close_client (&slow);
  close_client (&other);
  destroy_fixture (fixture);
}

/* A connection beyond the limit is closed; the earlier ones are served.  */
static void
check_connection_limit (void)
{
  struct fixture *fixture = create_fixture ();
  struct client clients[CONNECTIONS + 1];

  for (int i = 0; i <= CONNECTIONS; i++)
    {
      clients[i] = open_client (fixture);
      step (fixture);
    }
  finish_client (fixture, &clients[CONNECTIONS]);
  g_assert_true (clients[CONNECTIONS].closed);
  for (int i = 0; i < CONNECTIONS; i++)
    {
      send_query (&clients[i], GALENA_ROW_STATUS);
      finish_client (fixture, &clients[i]);
      g_assert_true (clients[i].ended);
    }
  for (int i = 0; i <= CONNECTIONS; i++)
    close_client (&clients[i]);
  destroy_fixture (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (QUERY_CASES); i++)
    g_test_add_data_func (QUERY_CASES[i].name, &QUERY_CASES[i],
                          run_query_case);
  for (size_t i = 0; i < G_N_ELEMENTS (BYTES_CASES); i++)
    g_test_add_data_func (BYTES_CASES[i].name, &BYTES_CASES[i],
                          run_bytes_case);
  g_test_add_func ("/console/silent", check_idle_client);
  g_test_add_func ("/console/slow", check_slow_reader);
  g_test_add_func ("/console/limit", check_connection_limit);
  return g_test_run ();
}
