/* Latency buckets, and statistics of a world by kind, upstream and reason. */

#include <glib.h>

#include <galenaford/stats.h>

struct latency_case
{
  const char *name;
  /* Times added: COUNT of FAST_MS and one of SLOW_MS.  */
  uint32_t count;
  uint64_t fast_ms;
  uint64_t slow_ms;
  uint64_t p50_ms;
  uint64_t p99_ms;
};

static const struct latency_case LATENCY_CASES[] = {
  { "/latency/one", 0, 0, 3, 3, 3 },
  { "/latency/exact", 200, 2, 3, 2, 2 },
  { "/latency/bucket-end", 200, 20, 4000, 23, 23 },
  { "/latency/tail", 50, 20, 4000, 23, 4095 },
  { "/latency/beyond-all", 0, 0, UINT64_MAX, 131071, 131071 },
};

static void
run_latency_case (gconstpointer data)
{
  const struct latency_case *test = data;
  struct galena_latency latency = { { 0 } };
  struct galena_latency sum = { { 0 } };

  g_assert_cmpuint (galena_latency_percentile (&latency, 50), ==, 0);
  for (uint32_t i = 0; i < test->count; i++)
    galena_latency_add (&latency, test->fast_ms);
  galena_latency_add (&latency, test->slow_ms);
  galena_latency_merge (&sum, &latency);
  g_assert_cmpuint (galena_latency_percentile (&sum, 50), ==, test->p50_ms);
  g_assert_cmpuint (galena_latency_percentile (&sum, 99), ==, test->p99_ms);
}

/* Opens at an agent, which accepts all of them or refuses all of them.  */
struct refusal_case
{
  const char *name;
  uint32_t connections;
  uint32_t deadline_ms;
  /* Seconds with one open each, then seconds without any.  */
  uint32_t busy_s;
  uint32_t quiet_s;
  enum galena_result expect;
  /* Last audit event that is expected, and how many there are.  */
  enum galena_audit_event event;
  uint64_t events;
};

static const struct refusal_case REFUSAL_CASES[] = {
  { "/stats/accepted", 100, 1000, 3, 2, GALENA_OK, GALENA_AUDIT_STARTED, 0 },
  { "/stats/overload-entered", 0, 1000, 3, 2, GALENA_REFUSED_CONNECTIONS,
    GALENA_AUDIT_OVERLOAD_ENTERED, 1 },
  { "/stats/overload-left", 0, 1000, 3, 10, GALENA_REFUSED_CONNECTIONS,
    GALENA_AUDIT_OVERLOAD_LEFT, 2 },
  { "/stats/deadline", 100, 0, 3, 2, GALENA_REFUSED_DEADLINE,
    GALENA_AUDIT_OVERLOAD_ENTERED, 1 },
};

static const struct galena_endpoint SERVICE = { 0x7f000001, 700 };

static struct galena_config *
make_config (uint32_t connections)
{
  struct galena_service service
      = { .number = 4, .address = SERVICE, .upstream_count = 1 };
  struct galena_upstream upstream
      = { .number = 9, .slots = 1, .connections = connections, .weight = 1 };
  struct galena_config_options options = { &service, 1, &upstream, 1 };
  struct galena_config *config;

  service.kind_count = 1;
  service.kinds[0].number = 2;
  service.kinds[0].deadline_ms = 1000;
  g_assert_cmpint (galena_config_create (&options, &config), ==, GALENA_OK);
  return config;
}

static void
run_seconds (struct galena_world *world, const struct galena_config *config,
             struct galena_clock *now, uint32_t seconds,
             const struct galena_message *open)
{
  for (uint32_t i = 0; i < seconds; i++)
    {
      *now = galena_clock_add_ms (*now, 1000);
      if (open != NULL)
        {
          struct galena_message message = *open;
          message.flow.low = (uint64_t)now->ms;
          galena_mailbox_push (galena_world_inbox (world), &message);
        }
      galena_world_tick (world, *now, config);
    }
}

static void
run_refusal_case (gconstpointer data)
{
  const struct refusal_case *test = data;
  struct galena_world_options options = { .role = GALENA_ROLE_AGENT,
                                          .upstream = 9,
                                          .flows = 100,
                                          .requests = 16,
                                          .messages = 16 };
  struct galena_report_options capacity = { 8, 8 };
  struct galena_message open = { .type = GALENA_MESSAGE_OPEN,
                                 .side = GALENA_SIDE_PEER,
                                 .service = SERVICE,
                                 .kind = 2,
                                 .deadline_ms = test->deadline_ms };
  struct galena_config *config = make_config (test->connections);
  struct galena_clock now = { 0 };
  struct galena_world *world;
  struct galena_report *report;

  g_assert_cmpint (galena_world_create (&options, &world), ==, GALENA_OK);
  g_assert_cmpint (galena_report_create (&capacity, &report), ==, GALENA_OK);
  run_seconds (world, config, &now, test->busy_s, &open);
  run_seconds (world, config, &now, test->quiet_s, NULL);
  galena_world_report (world, report);
  g_assert_cmpuint (report->kind_count, ==, 1);
  g_assert_cmpuint (report->kinds[0].service, ==, 4);
  g_assert_cmpuint (report->kinds[0].kind, ==, 2);
  if (test->expect == GALENA_OK)
    g_assert_cmpuint (report->kinds[0].values[GALENA_KIND_ACCEPTED], ==,
                      test->busy_s);
  else
    g_assert_cmpuint (report->refused[test->expect], ==, test->busy_s);
  g_assert_cmpuint (report->audit_count, ==, test->events);
  if (test->events > 0)
    g_assert_cmpint (report->audit[report->audit_count - 1].event, ==,
                     test->event);
  galena_report_destroy (report);
  galena_world_destroy (world);
  galena_config_destroy (config);
}

/* Pushes MESSAGE into WORLD, runs a tick, and returns the first message sent
   of TYPE.  */
static const struct galena_message *
exchange_message (struct galena_world *world,
                  const struct galena_config *config,
                  const struct galena_message *message,
                  enum galena_message_type type)
{
  const struct galena_mailbox *outbox = galena_world_outbox (world);

  galena_mailbox_push (galena_world_inbox (world), message);
  galena_world_tick (world, galena_clock_add_ms (galena_world_now (world), 10),
                     config);
  for (uint32_t i = 0; i < galena_mailbox_count (outbox); i++)
    if (galena_mailbox_get (outbox, i)->type == type)
      return galena_mailbox_get (outbox, i);
  return NULL;
}

/* A late packet of a request that is done counts as a duplicate and not as a
   refusal, although the reply says that the outcome is unknown.  */
static void
check_late_request (void)
{
  struct galena_world_options options = { .role = GALENA_ROLE_AGENT,
                                          .upstream = 9,
                                          .flows = 100,
                                          .requests = 16,
                                          .messages = 16 };
  struct galena_report_options capacity = { 8, 8 };
  struct galena_message message = { .type = GALENA_MESSAGE_OPEN,
                                    .side = GALENA_SIDE_PEER,
                                    .service = SERVICE,
                                    .kind = 2,
                                    .flow = { 1, 1 },
                                    .deadline_ms = 1000 };
  struct galena_message end
      = { .type = GALENA_MESSAGE_RUN_END, .side = GALENA_SIDE_APPLICATION };
  struct galena_config *config = make_config (10);
  const struct galena_message *sent;
  struct galena_world *world;
  struct galena_report *report;

  g_assert_cmpint (galena_world_create (&options, &world), ==, GALENA_OK);
  g_assert_cmpint (galena_report_create (&capacity, &report), ==, GALENA_OK);
  sent = exchange_message (world, config, &message, GALENA_MESSAGE_ACCEPT);
  message.tag = sent->tag;
  message.type = GALENA_MESSAGE_REQUEST;
  message.request = 1;
  message.total = 1;
  sent = exchange_message (world, config, &message, GALENA_MESSAGE_RUN);
  end.run = sent->run;
  exchange_message (world, config, &end, GALENA_MESSAGE_ANSWER);
  message.type = GALENA_MESSAGE_ACK_ANSWER;
  message.part = 1;
  exchange_message (world, config, &message, GALENA_MESSAGE_ANSWER);
  message.type = GALENA_MESSAGE_REQUEST;
  message.part = 0;
  sent = exchange_message (world, config, &message, GALENA_MESSAGE_REFUSE);
  g_assert_cmpint (sent->result, ==, GALENA_UNKNOWN_OUTCOME);
  galena_world_report (world, report);
  g_assert_cmpuint (report->counters.values[GALENA_COUNT_REFUSED], ==, 0);
  g_assert_cmpuint (report->counters.values[GALENA_COUNT_DUPLICATES], ==, 1);
  g_assert_cmpuint (report->refused[GALENA_UNKNOWN_OUTCOME], ==, 0);
  galena_report_destroy (report);
  galena_world_destroy (world);
  galena_config_destroy (config);
}

/* A pause is recorded when the process resumes, with its length.  */
static void
check_pause (void)
{
  struct galena_world_options options
      = { .role = GALENA_ROLE_ENTRY, .flows = 16, .messages = 16 };
  struct galena_config *config = make_config (10);
  struct galena_world *world;
  const struct galena_audit_row *row;

  g_assert_cmpint (galena_world_create (&options, &world), ==, GALENA_OK);
  galena_world_tick (world, (struct galena_clock){ 1000 }, config);
  galena_world_tick (world, (struct galena_clock){ 9000 }, config);
  row = galena_audit_find (galena_world_audit (world), 1);
  g_assert_nonnull (row);
  g_assert_cmpint (row->event, ==, GALENA_AUDIT_PAUSED);
  g_assert_cmpint (row->at.ms, ==, 9000);
  /* In this event the member holds the length of the pause in ms.  */
  g_assert_cmpuint (row->generation, ==, 8000);
  galena_world_destroy (world);
  galena_config_destroy (config);
}

/* A report holds the newest rows of an audit trail that has more rows.  */
static void
check_audit_copy (void)
{
  struct galena_audit_options options = { 300 };
  struct galena_report_options capacity = { 1, 1 };
  struct galena_audit_row row = { .event = GALENA_AUDIT_PAUSED };
  struct galena_report *report;
  struct galena_audit *audit;

  g_assert_cmpint (galena_audit_create (&options, &audit), ==, GALENA_OK);
  g_assert_cmpint (galena_report_create (&capacity, &report), ==, GALENA_OK);
  for (int i = 0; i < 1000; i++)
    galena_audit_append (audit, &row);
  galena_report_copy_audit (report, audit);
  g_assert_cmpuint (report->audit_count, ==, GALENA_REPORT_AUDIT_ROWS);
  g_assert_cmpuint (report->audit[GALENA_REPORT_AUDIT_ROWS - 1].sequence, ==,
                    1000);
  galena_report_destroy (report);
  galena_audit_destroy (audit);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (LATENCY_CASES); i++)
    g_test_add_data_func (LATENCY_CASES[i].name, &LATENCY_CASES[i],
                          run_latency_case);
  for (size_t i = 0; i < G_N_ELEMENTS (REFUSAL_CASES); i++)
    g_test_add_data_func (REFUSAL_CASES[i].name, &REFUSAL_CASES[i],
                          run_refusal_case);
  g_test_add_func ("/stats/late-request", check_late_request);
  g_test_add_func ("/stats/pause", check_pause);
  g_test_add_func ("/stats/audit-copy", check_audit_copy);
  return g_test_run ();
}
