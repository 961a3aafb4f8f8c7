/* The search for the owner of a flow, at several sizes of the fleet: how soon
   the owner is queried, and how many queries the search takes, while upstreams
   are added and while agents don't answer.  */

#include <glib.h>

#include <galenaford/plane.h>

enum
{
  UPSTREAMS_MAX = 3200,
  ENTRY_IP = 0x0A010001,
  AGENT_IP = 0x0A020001,
  CALLER_IP = 0x64400001,
  ROUTE_IP = 0xC6120001,
  PORT = 443,
  PEER_PORT = 7000,
  /* Period at which the entry runs.  */
  TICK_MS = 5,
  /* Longest time until a query without an answer is repeated: the interval,
     and one period of the system.  */
  REPEAT_WITHIN_MS = 800 + 20 + TICK_MS,
  /* Time within which a flow that is gone is reset.  */
  RESET_WITHIN_MS = 300,
  PACKET_BYTES = 132
};

struct search_case
{
  const char *name;
  uint32_t upstreams;
  /* One more upstream is published in this many milliseconds; 0 for none.  */
  uint32_t added_every_ms;
  /* Agents that leave queries unanswered for SILENT_MS, the ones queried
     first.  The first of all is that of the owner.  */
  uint32_t silent;
  uint32_t silent_ms;
  /* Queries a listed upstream, in the mean, the search may take.  */
  uint32_t queries_each;
  /* Whether no upstream holds the flow, so that the search ends with a
     reset.  */
  bool gone;
};

static const struct search_case CASES[] = {
  /* The owner's agent starts again while upstreams are replaced: each timeout
     of the search sees another new one.  */
  { "/search/restarting-owner-20", 20, 40, 1, 600, 2, false },
  { "/search/restarting-owner-136", 136, 40, 1, 600, 2, false },
  { "/search/restarting-owner-1000", 1000, 40, 1, 600, 2, false },
  { "/search/restarting-owner-2900", 2900, 40, 1, 600, 2, false },
  { "/search/long-restart-136", 136, 100, 1, 2500, 2, false },
  /* All agents are away: the repetitions of a search of 2.5 s at intervals
     that double up to 800 ms.  */
  { "/search/all-silent-20", 20, 0, 20, 2500, 7, false },
  { "/search/all-silent-136", 136, 0, 136, 2500, 7, false },
  { "/search/all-silent-1000", 1000, 0, 1000, 2500, 7, false },
  /* The owner is queried first when nothing is away.  */
  { "/search/owner-first-1000", 1000, 0, 0, 0, 1, false },
  /* A flow that is gone: each agent is asked once.  */
  { "/search/gone-20", 20, 0, 0, 0, 1, true },
  { "/search/gone-300", 300, 0, 0, 0, 1, true },
  { "/search/gone-2900", 2900, 0, 0, 0, 1, true },
};

struct run
{
  const struct search_case *test;
  struct galena_plane *plane;
  struct galena_directory *directory;
  struct galena_clock now;
  uint32_t published;
  /* Agents in the order of their first query, and whether one was queried.  */
  uint32_t order_count;
  uint32_t order[UPSTREAMS_MAX];
  bool queried[UPSTREAMS_MAX];
  uint32_t queries;
  uint32_t resets;
  bool found;
  uint8_t bytes[PACKET_BYTES];
};

static const struct galena_flow_key FLOW
    = { { CALLER_IP, 40001 }, { ROUTE_IP, PORT } };

static void
publish (struct run *run, uint32_t count)
{
  static struct galena_published_upstream upstreams[UPSTREAMS_MAX];
  galena_service_key service = galena_service_key_of ("first");
  struct galena_route route = { .address = { ROUTE_IP, PORT },
                                .share_count = 1,
                                .shares = { { service, 1 } } };
  struct galena_directory_options options = { .version = 1,
                                              .routes = &route,
                                              .route_count = 1,
                                              .upstreams = upstreams,
                                              .upstream_count = count };

  for (uint32_t i = 0; i < count; i++)
    upstreams[i] = (struct galena_published_upstream){
      .service = service,
      .address = { AGENT_IP + i, 8080 },
      .state = GALENA_PUBLISHED_READY,
      .slots = 2,
    };
  galena_directory_destroy (run->directory);
  g_assert_cmpint (galena_directory_create (&options, &run->directory), ==,
                   GALENA_OK);
  run->published = count;
}

/* Returns whether AGENT leaves queries unanswered now.  */
static bool
is_silent (const struct run *run, uint32_t agent)
{
  if (run->now.ms >= run->test->silent_ms)
    return false;
  for (uint32_t i = 0; i < run->test->silent && i < run->order_count; i++)
    if (run->order[i] == agent)
      return true;
  return false;
}

static void
answer (struct run *run, uint32_t agent)
{
  struct galena_input *input = galena_plane_next_input (run->plane);
  bool owns = agent == run->order[0] && !run->test->gone;

  g_assert_nonnull (input);
  input->side = GALENA_SIDE_PEER;
  input->peer = (struct galena_endpoint){ AGENT_IP + agent, PEER_PORT };
  input->message = (struct galena_peer_message){
    .type = owns ? GALENA_PEER_OWNED : GALENA_PEER_DISOWNED,
    .role = GALENA_ROLE_AGENT,
    .flow = FLOW,
    .service = galena_service_key_of ("first"),
  };
  run->found = run->found || owns;
  galena_plane_push (run->plane);
}

static void
on_query (struct run *run, uint32_t agent)
{
  run->queries++;
  if (!run->queried[agent])
    run->order[run->order_count++] = agent;
  run->queried[agent] = true;
  if (!is_silent (run, agent))
    answer (run, agent);
}

static void
tick (struct run *run)
{
  galena_plane_tick (run->plane, run->now, run->directory);
  for (uint32_t i = 0; i < galena_plane_output_count (run->plane); i++)
    {
      const struct galena_output *output = galena_plane_output (run->plane, i);

      run->resets += output->kind == GALENA_OUTPUT_RESET;
      if (output->kind == GALENA_OUTPUT_MESSAGE
          && output->message.type == GALENA_PEER_QUERY)
        on_query (run, output->peer.ip - AGENT_IP);
    }
}

static void
push_packet (struct run *run)
{
  struct galena_input *input = galena_plane_next_input (run->plane);

  input->side = GALENA_SIDE_CALLER;
  input->packet = (struct galena_packet){
    .source = FLOW.caller,
    .destination = FLOW.service_address,
    .flags = GALENA_PACKET_ACKNOWLEDGES,
    .acknowledged = 7,
    .data_size = 100,
    .bytes = run->bytes,
    .size = PACKET_BYTES,
  };
  galena_plane_push (run->plane);
}

static void
run_search_case (gconstpointer data)
{
  const struct search_case *test = data;
  struct galena_plane_options options = { .role = GALENA_ROLE_ENTRY,
                                          .seed = 1,
                                          .self = { ENTRY_IP, PEER_PORT },
                                          .flows = 64,
                                          .messages = 4096,
                                          .flow_idle_ms = 60000,
                                          .link_kbps = 1000000 };
  struct run *run = g_new0 (struct run, 1);
  uint32_t limit_ms = test->silent_ms + REPEAT_WITHIN_MS;

  run->test = test;
  publish (run, test->upstreams);
  g_assert_cmpint (galena_plane_create (&options, &run->plane), ==, GALENA_OK);
  /* The first tick applies the directory, the next one starts the search.  */
  run->now.ms = 1;
  tick (run);
  if (test->gone)
    limit_ms = RESET_WITHIN_MS;
  while (!run->found && run->resets == 0 && run->now.ms < limit_ms)
    {
      run->now.ms += TICK_MS;
      /* The caller retransmits, so that the search goes on.  */
      if ((run->now.ms - 1) % 500 == TICK_MS)
        push_packet (run);
      if (test->added_every_ms != 0
          && run->now.ms % test->added_every_ms < TICK_MS)
        publish (run, run->published + 1);
      tick (run);
    }
  g_test_message ("queries=%u upstreams=%u ended_ms=%d", run->queries,
                  run->published, (int)run->now.ms);
  g_assert_cmpuint (run->resets, ==, test->gone);
  g_assert_true (run->found != test->gone);
  g_assert_cmpuint (run->queries, <=, test->queries_each * run->published);
  galena_plane_destroy (run->plane);
  galena_directory_destroy (run->directory);
  g_free (run);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    g_test_add_data_func (CASES[i].name, &CASES[i], run_search_case);
  return g_test_run ();
}
