/* The codecs of peer messages and of catalog snapshots: round trips, truncated
   input and mutated input.  */

#include <string.h>

#include <glib.h>

#include <galenaford/peer_wire.h>
#include <galenaford/probe_spread.h>
#include <galenaford/query_batch.h>
#include <galenaford/random.h>
#include <galenaford/snapshot_wire.h>
#include <galenaford/world.h>

enum
{
  ROUNDS = 20000,
  BYTES_MAX = 2048
};

struct message_case
{
  const char *name;
  struct galena_peer_message message;
  const char *packet;
};

static const struct message_case MESSAGES[] = {
  { "/peer/open",
    { .type = GALENA_PEER_OPEN,
      .role = GALENA_ROLE_ENTRY,
      .flow = { { 0x64400007, 40001 }, { 0xc6120001, 443 } },
      .service = UINT64_MAX,
      .slots = 3,
      .work = { GALENA_WORK_DOWNLOAD, UINT32_MAX, 250, UINT32_MAX },
      .zone_state = { true, { 2, UINT64_MAX } },
      .alternative_us = UINT32_MAX,
      .attempt = 2 },
    "packet" },
  { "/peer/opened",
    { .type = GALENA_PEER_OPENED,
      .uptime_ms = UINT32_MAX,
      .role = GALENA_ROLE_AGENT,
      .flow = { { UINT32_MAX, UINT16_MAX }, { 1, 1 } },
      .sequence = UINT32_MAX,
      .upstream_port = UINT16_MAX,
      .load = { 5, 60, 21000, true, 4, 1000, 9, 2 } },
    NULL },
  { "/peer/refused",
    { .type = GALENA_PEER_REFUSED,
      .role = GALENA_ROLE_AGENT,
      .result = GALENA_REFUSED_BY_UPSTREAM },
    NULL },
  { "/peer/hello",
    { .type = GALENA_PEER_HELLO,
      .role = GALENA_ROLE_ENTRY,
      .slots = 3,
      .published_state = GALENA_PUBLISHED_DRAINING,
      .started_unix_ms = UINT64_MAX,
      .state = { UINT64_MAX, UINT32_MAX, true },
      .zone_state = { false, { UINT64_MAX, 1 } },
      .warm_up_ms = 2000,
      .warm_up_per_s = UINT32_MAX,
      .start_known_ms = UINT32_MAX },
    NULL },
  { "/peer/members",
    { .type = GALENA_PEER_MEMBERS,
      .member_count = 3,
      .members = { 0x0a010001, UINT32_MAX, 1 } },
    NULL },
  { "/peer/agents",
    { .type = GALENA_PEER_AGENTS, .role = GALENA_ROLE_ENTRY, .sequence = 1 },
    "a list of agents" },
  { "/peer/query-many",
    { .type = GALENA_PEER_QUERY_MANY,
      .role = GALENA_ROLE_ENTRY,
      .flow = { { 0, 0 }, { 0xc6120001, 443 } },
      .slots = 2,
      .sequence = UINT32_MAX },
    "a batch of flows" },
  { "/peer/spread",
    { .type = GALENA_PEER_SPREAD, .role = GALENA_ROLE_ENTRY },
    "agents and a packet" },
};

/* Guards against a body that is read otherwise than it was written: an answer
   would count for another flow.  */
static void
test_query_body (void)
{
  uint8_t flows[GALENA_QUERY_BODY_BYTES];
  uint8_t answers[GALENA_ANSWER_BODY_BYTES] = { 0 };

  for (uint32_t i = 0; i < GALENA_QUERY_BATCH_MAX; i++)
    {
      galena_query_put_flow (
          flows, i,
          (struct galena_query_flow){ { UINT32_MAX - i, (uint16_t)~i },
                                      0x80000001 + i });
      galena_query_put_answer (answers, i, (enum galena_query_answer) (i % 4));
    }
  for (uint32_t i = 0; i < GALENA_QUERY_BATCH_MAX; i++)
    {
      struct galena_query_flow flow = galena_query_get_flow (flows, i);

      g_assert_cmpuint (flow.caller.ip, ==, UINT32_MAX - i);
      g_assert_cmpuint (flow.caller.port, ==, (uint16_t)~i);
      g_assert_cmpuint (flow.acknowledged, ==, 0x80000001 + i);
      g_assert_cmpint (galena_query_get_answer (answers, i), ==, i % 4);
    }
  g_assert_cmpuint (galena_query_answer_bytes (GALENA_QUERY_BATCH_MAX), ==,
                    sizeof answers);
}

/* Guards against reading beyond a body that is cut or claims more agents than
   it has.  */
static void
test_spread_body (void)
{
  static const uint8_t PACKET[] = "packet";
  struct galena_probe_spread spread = { .count = 2,
                                        .agents = { 0x0a020001, UINT32_MAX },
                                        .bytes = PACKET,
                                        .size = sizeof PACKET };
  struct galena_probe_spread read;
  uint8_t body[GALENA_SPREAD_BODY_BYTES];
  uint32_t size = galena_spread_write (body, &spread);

  g_assert_true (galena_spread_read (body, size, &read));
  g_assert_cmpuint (read.count, ==, 2);
  g_assert_cmpuint (read.agents[1], ==, UINT32_MAX);
  g_assert_cmpmem (read.bytes, read.size, PACKET, sizeof PACKET);
  for (uint32_t cut = 0; cut <= size - sizeof PACKET; cut++)
    g_assert_false (galena_spread_read (body, cut, &read));
  body[0] = GALENA_SPREAD_MAX + 1;
  g_assert_false (galena_spread_read (body, size, &read));
  g_assert_cmpuint (galena_spread_capacity (GALENA_SPREAD_BODY_BYTES), ==, 0);
  g_assert_cmpuint (galena_spread_capacity (100), ==, GALENA_SPREAD_MAX);
}

/* Compares the items that only some types of message have.  */
static void
assert_extension (const struct galena_peer_message *decoded,
                  const struct galena_peer_message *message)
{
  g_assert_cmpint (decoded->work.kind, ==, message->work.kind);
  g_assert_cmpuint (decoded->work.priority, ==, message->work.priority);
  g_assert_cmpuint (decoded->work.aim_ms, ==, message->work.aim_ms);
  g_assert_cmpuint (decoded->work.timeout_ms, ==, message->work.timeout_ms);
  g_assert_cmpint (decoded->zone_state.evacuated, ==,
                   message->zone_state.evacuated);
  g_assert_cmpuint (decoded->zone_state.position.era, ==,
                    message->zone_state.position.era);
  g_assert_cmpuint (decoded->zone_state.position.revision, ==,
                    message->zone_state.position.revision);
  g_assert_cmpuint (decoded->warm_up_ms, ==, message->warm_up_ms);
  g_assert_cmpuint (decoded->warm_up_per_s, ==, message->warm_up_per_s);
  g_assert_cmpuint (decoded->start_known_ms, ==, message->start_known_ms);
  g_assert_cmpuint (decoded->alternative_us, ==, message->alternative_us);
  g_assert_cmpuint (decoded->attempt, ==, message->attempt);
  g_assert_cmpuint (decoded->load.transfers, ==, message->load.transfers);
  g_assert_cmpuint (decoded->load.utilisation, ==, message->load.utilisation);
  g_assert_cmpuint (decoded->load.finished, ==, message->load.finished);
  g_assert_cmpuint (decoded->load.failed, ==, message->load.failed);
}

static void
run_message_case (gconstpointer data)
{
  const struct message_case *test = data;
  struct galena_peer_message message = test->message;
  struct galena_peer_message decoded = { 0 };
  uint8_t bytes[BYTES_MAX];
  size_t size;

  if (test->packet != NULL)
    {
      message.bytes = (const uint8_t *)test->packet;
      message.size = (uint32_t)strlen (test->packet);
    }
  g_assert_cmpint (galena_peer_encode (&message, bytes, sizeof bytes, &size),
                   ==, GALENA_OK);
  g_assert_cmpuint (size, <=, GALENA_PEER_HEADER_BYTES_MAX + message.size);
  g_assert_cmpint (galena_peer_decode (bytes, size, &decoded), ==, GALENA_OK);
  g_assert_cmpint (decoded.type, ==, message.type);
  g_assert_cmpuint (decoded.role, ==, message.role);
  g_assert_true (
      galena_endpoint_equal (decoded.flow.caller, message.flow.caller));
  g_assert_true (galena_endpoint_equal (decoded.flow.service_address,
                                        message.flow.service_address));
  g_assert_cmpuint (decoded.service, ==, message.service);
  g_assert_cmpuint (decoded.upstream_port, ==, message.upstream_port);
  g_assert_cmpuint (decoded.slots, ==, message.slots);
  g_assert_cmpint (decoded.published_state, ==, message.published_state);
  g_assert_cmpuint (decoded.started_unix_ms, ==, message.started_unix_ms);
  g_assert_cmpuint (decoded.state.zone, ==, message.state.zone);
  g_assert_cmpuint (decoded.state.link_kbps, ==, message.state.link_kbps);
  g_assert_cmpint (decoded.state.in_rotation, ==, message.state.in_rotation);
  g_assert_cmpuint (decoded.sequence, ==, message.sequence);
  g_assert_cmpuint (decoded.uptime_ms, ==, message.uptime_ms);
  g_assert_cmpint (decoded.result, ==, message.result);
  g_assert_cmpuint (decoded.load.pending_requests, ==,
                    message.load.pending_requests);
  g_assert_cmpuint (decoded.load.flows, ==, message.load.flows);
  g_assert_cmpuint (decoded.load.service_us, ==, message.load.service_us);
  g_assert_cmpint (decoded.load.refuses_flows, ==, message.load.refuses_flows);
  assert_extension (&decoded, &message);
  g_assert_cmpmem (decoded.bytes, decoded.size, message.bytes, message.size);
  g_assert_cmpmem (decoded.members, decoded.member_count * sizeof (uint32_t),
                   message.members, message.member_count * sizeof (uint32_t));
  for (size_t cut = 0; cut < size; cut++)
    g_assert_cmpint (galena_peer_decode (bytes, cut, &decoded), !=, GALENA_OK);
}

static const struct galena_route ROUTES[] = {
  { { 0xc6120001, 443 }, { 0 }, 1, { { 7, 1 } } },
  { { 0xc6120001, 8080 },
    { GALENA_WORK_NON_IDEMPOTENT, 1, 300, 1500 },
    2,
    { { 7, 90 }, { UINT64_MAX, UINT32_MAX } } },
};

#define TEN "0123456789"
#define LONGEST_ID                                                            \
  TEN TEN TEN TEN TEN TEN TEN TEN TEN TEN TEN TEN TEN TEN TEN TEN TEN TEN TEN \
      "012345678"

static const struct galena_published_upstream UPSTREAMS[] = {
  { LONGEST_ID,
    7,
    { 0x0a000001, 80 },
    GALENA_PUBLISHED_READY,
    77,
    3,
    500,
    1700000000,
    41 },
  { "i-2", 9, { 0x0a000002, 80 }, GALENA_PUBLISHED_DRAINING, 0, 1, 0, 0, 0 },
};

static const struct galena_service_limits SERVICES[]
    = { { 7, 15000, 40 }, { UINT64_MAX, INT32_MAX, INT32_MAX } };

static const struct galena_zone_evacuation EVACUATIONS[]
    = { { 77, true, { 3, 11 } }, { UINT64_MAX, false, { 2, UINT64_MAX } } };

static uint8_t *
encode_snapshot (size_t *size)
{
  struct galena_catalog_snapshot snapshot
      = { .version = UINT64_MAX,
          .position = { 3, 12 },
          .route_count = G_N_ELEMENTS (ROUTES),
          .upstream_count = G_N_ELEMENTS (UPSTREAMS),
          .routes = ROUTES,
          .upstreams = UPSTREAMS,
          .service_count = G_N_ELEMENTS (SERVICES),
          .services = SERVICES,
          .evacuation_count = G_N_ELEMENTS (EVACUATIONS),
          .evacuations = EVACUATIONS };
  uint8_t *bytes;

  g_assert_cmpint (galena_snapshot_encode (&snapshot, &bytes, size), ==,
                   GALENA_OK);
  return bytes;
}

/* A process that only peers can reach learns work classes, limits and
   evacuations from here.  */
static void
assert_operator_rows (const struct galena_catalog_snapshot *decoded)
{
  for (size_t i = 0; i < G_N_ELEMENTS (ROUTES); i++)
    {
      g_assert_cmpint (decoded->routes[i].work.kind, ==, ROUTES[i].work.kind);
      g_assert_cmpuint (decoded->routes[i].work.priority, ==,
                        ROUTES[i].work.priority);
      g_assert_cmpuint (decoded->routes[i].work.aim_ms, ==,
                        ROUTES[i].work.aim_ms);
      g_assert_cmpuint (decoded->routes[i].work.timeout_ms, ==,
                        ROUTES[i].work.timeout_ms);
    }
  g_assert_cmpuint (decoded->service_count, ==, G_N_ELEMENTS (SERVICES));
  for (size_t i = 0; i < G_N_ELEMENTS (SERVICES); i++)
    {
      g_assert_cmpuint (decoded->services[i].service, ==, SERVICES[i].service);
      g_assert_cmpuint (decoded->services[i].warm_up_ms, ==,
                        SERVICES[i].warm_up_ms);
      g_assert_cmpuint (decoded->services[i].warm_up_per_s, ==,
                        SERVICES[i].warm_up_per_s);
    }
  g_assert_cmpuint (decoded->evacuation_count, ==, G_N_ELEMENTS (EVACUATIONS));
  for (size_t i = 0; i < G_N_ELEMENTS (EVACUATIONS); i++)
    {
      const struct galena_zone_evacuation *row = &decoded->evacuations[i];

      g_assert_cmpuint (row->zone, ==, EVACUATIONS[i].zone);
      g_assert_cmpint (row->in_force, ==, EVACUATIONS[i].in_force);
      g_assert_cmpuint (row->position.era, ==, EVACUATIONS[i].position.era);
      g_assert_cmpuint (row->position.revision, ==,
                        EVACUATIONS[i].position.revision);
    }
}

static void
test_snapshot (void)
{
  struct galena_catalog_snapshot decoded;
  size_t size;
  uint8_t *bytes = encode_snapshot (&size);

  g_assert_cmpint (galena_snapshot_decode (bytes, size, &decoded), ==,
                   GALENA_OK);
  g_assert_cmpuint (decoded.version, ==, UINT64_MAX);
  g_assert_cmpuint (decoded.position.era, ==, 3);
  g_assert_cmpuint (decoded.position.revision, ==, 12);
  g_assert_cmpuint (decoded.route_count, ==, G_N_ELEMENTS (ROUTES));
  g_assert_cmpuint (decoded.routes[1].shares[1].weight, ==, UINT32_MAX);
  g_assert_cmpuint (decoded.routes[1].address.port, ==, 8080);
  g_assert_cmpuint (decoded.upstream_count, ==, G_N_ELEMENTS (UPSTREAMS));
  g_assert_cmpstr (decoded.upstreams[0].id, ==, LONGEST_ID);
  g_assert_cmpuint (strlen (LONGEST_ID) + 1, ==, GALENA_PUBLISHED_ID_BYTES);
  g_assert_cmpuint (decoded.upstreams[0].started_unix_ms, ==, 1700000000);
  g_assert_cmpuint (decoded.upstreams[0].zone, ==, 77);
  g_assert_cmpuint (decoded.upstreams[0].sequence, ==, 41);
  g_assert_cmpint (decoded.upstreams[1].state, ==, GALENA_PUBLISHED_DRAINING);
  assert_operator_rows (&decoded);
  galena_snapshot_release (&decoded);
  for (size_t cut = 0; cut < size; cut++)
    g_assert_cmpint (galena_snapshot_decode (bytes, cut, &decoded), !=,
                     GALENA_OK);
  g_free (bytes);
}

/* A snapshot without rows, as an older process encodes it.  */
static void
test_snapshot_schema_1 (void)
{
  static const uint8_t bytes[] = { 0, 0, 0, 6, 0x95, 1, 4, 12, 0, 0 };
  struct galena_catalog_snapshot decoded;

  g_assert_cmpint (galena_snapshot_decode (bytes, sizeof bytes, &decoded), ==,
                   GALENA_OK);
  g_assert_cmpuint (decoded.version, ==, 4);
  g_assert_cmpuint (decoded.position.era, ==, 0);
  g_assert_cmpuint (decoded.position.revision, ==, 12);
  galena_snapshot_release (&decoded);
}

/* The same with a route and an upstream of schema 2.  */
static void
test_snapshot_schema_2 (void)
{
  static const uint8_t bytes[]
      = { 0, 0, 0, 7, 0x96, 2, 4, 12, 1, 1, 6,
          /* Address 0.0.0.1:80, service 7 with weight 1.  */
          0, 0, 0, 8, 0x93, 0xce, 0, 1, 0, 80, 7, 1,
          /* "i", service 7, address 0.0.0.1:80, ready.  */
          0, 0, 0, 16, 0x99, 0xc4, 1, 'i', 7, 0xce, 0, 1, 0, 80, 1, 3, 0, 5, 6,
          41 };
  struct galena_catalog_snapshot decoded;

  g_assert_cmpint (galena_snapshot_decode (bytes, sizeof bytes, &decoded), ==,
                   GALENA_OK);
  g_assert_cmpuint (decoded.position.era, ==, 6);
  g_assert_cmpuint (decoded.routes[0].shares[0].service, ==, 7);
  g_assert_cmpint (decoded.routes[0].work.kind, ==, GALENA_WORK_UNKNOWN);
  g_assert_cmpuint (decoded.upstreams[0].sequence, ==, 41);
  g_assert_cmpuint (decoded.service_count, ==, 0);
  g_assert_cmpuint (decoded.evacuation_count, ==, 0);
  galena_snapshot_release (&decoded);
}

static void
test_random_bytes (void)
{
  struct galena_random random = { 5, 0 };
  struct galena_catalog_snapshot snapshot;
  struct galena_peer_message message;
  size_t size;
  uint8_t *bytes = encode_snapshot (&size);
  uint8_t *copy = g_malloc (size);

  for (uint32_t round = 0; round < ROUNDS; round++)
    {
      memcpy (copy, bytes, size);
      for (uint32_t i = galena_random_below (&random, 4); i < 4; i++)
        copy[galena_random_below (&random, (uint32_t)size)]
            = (uint8_t)galena_random_next (&random);
      if (galena_snapshot_decode (copy, size, &snapshot) == GALENA_OK)
        galena_snapshot_release (&snapshot);
      galena_peer_decode (copy, size, &message);
    }
  g_free (copy);
  g_free (bytes);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/peer/query-body", test_query_body);
  g_test_add_func ("/peer/spread-body", test_spread_body);
  for (size_t i = 0; i < G_N_ELEMENTS (MESSAGES); i++)
    g_test_add_data_func (MESSAGES[i].name, &MESSAGES[i], run_message_case);
  g_test_add_func ("/peer/snapshot", test_snapshot);
  g_test_add_func ("/peer/snapshot-schema-1", test_snapshot_schema_1);
  g_test_add_func ("/peer/snapshot-schema-2", test_snapshot_schema_2);
  g_test_add_func ("/peer/random-bytes", test_random_bytes);
  return g_test_run ();
}
