/* An entry's plane by itself: what one packet makes it send, before and after
   a pause.  */

#include <string.h>

#include <glib.h>

#include <galenaford/plane.h>

enum
{
  STEPS_MAX = 12,
  HEAD_BYTES = 32,
  ENTRY_IP = 0x0A010001,
  AGENT_IP = 0x0A020001,
  CALLER_IP = 0x64400001,
  ROUTE_IP = 0xC6120001,
  PORT = 443,
  PEER_PORT = 7000
};

enum step_kind
{
  END,
  /* A caller's opening packet of VALUE bytes; the same flow each time.  */
  OPEN,
  /* As OPEN, of another flow.  */
  OPEN_OTHER,
  /* A packet of the flow that OPEN opened.  */
  DATA,
  /* The agent accepted the flow that OPEN opened.  */
  ACCEPTED,
  /* The agent refused it.  */
  REFUSED,
  /* The front end has caught up with what was published.  */
  RENEWED,
  /* One more tick, then: opens, packets of open flows, and resets sent since
     the last such step.  */
  EXPECT_OPENS,
  EXPECT_FORWARDS,
  EXPECT_RESETS
};

struct step
{
  int64_t at_ms;
  enum step_kind kind;
  uint32_t value;
};

struct entry_case
{
  const char *name;
  struct step steps[STEPS_MAX];
};

static const struct entry_case CASES[] = {
  { "/entry/open", { { 10, OPEN, HEAD_BYTES }, { 10, EXPECT_OPENS, 1 } } },
  /* Too long to be kept: the caller's copies are the further tries.  */
  { "/entry/long-open",
    { { 10, OPEN, 200 },
      { 10, EXPECT_OPENS, 1 },
      { 210, OPEN, 200 },
      { 210, EXPECT_OPENS, 1 },
      { 220, ACCEPTED, 0 },
      { 230, DATA, 0 },
      { 230, EXPECT_FORWARDS, 1 },
      { 230, EXPECT_RESETS, 0 } } },
  { "/entry/long-open-refused",
    { { 10, OPEN, 200 },
      { 10, EXPECT_OPENS, 1 },
      { 20, REFUSED, 0 },
      { 20, EXPECT_RESETS, 1 } } },
  /* After a pause flows go on, and new ones wait for what was published
     meanwhile.  */
  { "/entry/pause-renewed",
    { { 10, OPEN, HEAD_BYTES },
      { 20, ACCEPTED, 0 },
      { 20, EXPECT_OPENS, 1 },
      { 30, DATA, 0 },
      { 30, EXPECT_FORWARDS, 1 },
      { 4000, OPEN_OTHER, HEAD_BYTES },
      { 4000, EXPECT_OPENS, 0 },
      { 4001, DATA, 0 },
      { 4001, EXPECT_FORWARDS, 1 },
      { 4010, RENEWED, 0 },
      { 4011, EXPECT_OPENS, 1 } } },
  { "/entry/pause-not-renewed",
    { { 10, OPEN, HEAD_BYTES },
      { 20, ACCEPTED, 0 },
      { 20, EXPECT_OPENS, 1 },
      { 4000, OPEN_OTHER, HEAD_BYTES },
      { 4300, EXPECT_OPENS, 0 },
      { 4401, EXPECT_OPENS, 1 } } },
};

struct run
{
  struct galena_plane *plane;
  struct galena_directory *directory;
  struct galena_clock now;
  uint8_t bytes[GALENA_KEPT_BYTES];
  uint32_t opens;
  uint32_t forwards;
  uint32_t resets;
};

static void
tick (struct run *run)
{
  galena_plane_tick (run->plane, run->now, run->directory);
  for (uint32_t i = 0; i < galena_plane_departure_count (run->plane); i++)
    {
      const struct galena_departure *departure
          = galena_plane_departure (run->plane, i);

      run->resets += departure->kind == GALENA_DEPARTURE_RESET;
      if (departure->kind != GALENA_DEPARTURE_MESSAGE)
        continue;
      run->opens += departure->message.type == GALENA_PEER_OPEN;
      run->forwards += departure->message.type == GALENA_PEER_FORWARD;
    }
}

static struct galena_flow_key
key_of (enum step_kind kind)
{
  return (struct galena_flow_key){ { CALLER_IP + (kind == OPEN_OTHER), 40001 },
                                   { ROUTE_IP, PORT } };
}

static void
run_packet (struct run *run, const struct step *step)
{
  struct galena_arrival *arrival = galena_plane_arrival (run->plane);
  struct galena_flow_key key = key_of (step->kind);

  arrival->link = GALENA_LINK_CALLER;
  arrival->packet = (struct galena_packet){
    .source = key.caller,
    .destination = key.service,
    .flags
    = step->kind == DATA ? GALENA_PACKET_ACKNOWLEDGES : GALENA_PACKET_OPENS,
    .bytes = run->bytes,
    .size = step->kind == DATA ? HEAD_BYTES : step->value,
  };
  galena_plane_push (run->plane);
  tick (run);
}

static void
run_reply (struct run *run, const struct step *step)
{
  struct galena_arrival *arrival = galena_plane_arrival (run->plane);

  arrival->link = GALENA_LINK_PEER;
  arrival->peer = (struct galena_endpoint){ AGENT_IP, PEER_PORT };
  arrival->message = (struct galena_peer_message){
    .type = step->kind == ACCEPTED ? GALENA_PEER_OPENED : GALENA_PEER_REFUSED,
    .role = GALENA_ROLE_AGENT,
    .flow = key_of (OPEN),
    .service = galena_service_key_of ("first"),
    .result = step->kind == ACCEPTED ? GALENA_OK : GALENA_REFUSED_BY_UPSTREAM,
  };
  galena_plane_push (run->plane);
  tick (run);
}

static void
run_renewed (struct run *run, const struct step *step)
{
  (void)step;
  galena_plane_renewed (run->plane);
}

static void
expect (struct run *run, uint32_t *count, uint32_t expected)
{
  tick (run);
  g_assert_cmpuint (*count, ==, expected);
  *count = 0;
}

static void
expect_opens (struct run *run, const struct step *step)
{
  expect (run, &run->opens, step->value);
}

static void
expect_forwards (struct run *run, const struct step *step)
{
  expect (run, &run->forwards, step->value);
}

static void
expect_resets (struct run *run, const struct step *step)
{
  expect (run, &run->resets, step->value);
}

static void (*const RUNNERS[]) (struct run *run, const struct step *step) = {
  [OPEN] = run_packet,
  [OPEN_OTHER] = run_packet,
  [DATA] = run_packet,
  [ACCEPTED] = run_reply,
  [REFUSED] = run_reply,
  [RENEWED] = run_renewed,
  [EXPECT_OPENS] = expect_opens,
  [EXPECT_FORWARDS] = expect_forwards,
  [EXPECT_RESETS] = expect_resets,
};

static struct galena_directory *
make_directory (void)
{
  galena_service_key service = galena_service_key_of ("first");
  struct galena_route route = { .address = { ROUTE_IP, PORT },
                                .share_count = 1,
                                .shares = { { service, 1 } } };
  struct galena_listed_upstream upstream = { .id = "u-1",
                                             .service = service,
                                             .address = { AGENT_IP, 8080 },
                                             .state = GALENA_LISTING_READY,
                                             .slots = 3 };
  struct galena_directory_options options = { .version = 1,
                                              .routes = &route,
                                              .route_count = 1,
                                              .upstreams = &upstream,
                                              .upstream_count = 1 };
  struct galena_directory *directory;

  g_assert_cmpint (galena_directory_create (&options, &directory), ==,
                   GALENA_OK);
  return directory;
}

static void
run_entry_case (gconstpointer data)
{
  const struct entry_case *test = data;
  struct galena_plane_options options = { .role = GALENA_ROLE_ENTRY,
                                          .seed = 1,
                                          .self = { ENTRY_IP, PEER_PORT },
                                          .flows = 64,
                                          .messages = 64,
                                          .flow_idle_ms = 60000 };
  struct run run = { .directory = make_directory () };

  g_assert_cmpint (galena_plane_create (&options, &run.plane), ==, GALENA_OK);
  for (const struct step *step = test->steps; step->kind != END; step++)
    {
      run.now.ms = step->at_ms;
      RUNNERS[step->kind](&run, step);
    }
  galena_plane_destroy (run.plane);
  galena_directory_destroy (run.directory);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    g_test_add_data_func (CASES[i].name, &CASES[i], run_entry_case);
  return g_test_run ();
}
