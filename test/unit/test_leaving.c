/* Whether an entry avoids an upstream after its agent refused an open: for a
   while if it refused because the upstream is leaving, not if it refused for
   overload.  */

#include <glib.h>

#include <galenaford/tag.h>
#include <galenaford/world.h>

enum
{
  OPENS = 40,
  UPSTREAMS = 2
};

static const struct galena_endpoint SERVICE = { 0x7f000001, 700 };

struct refusal_case
{
  const char *name;
  enum galena_result result;
  /* Time from the refusal to the next opens.  */
  int64_t delay_ms;
  /* Whether none of those goes to the upstream that refused.  */
  bool avoided;
};

static const struct refusal_case CASES[] = {
  { "/refusal/leaving", GALENA_REFUSED_LEAVING, 100, true },
  { "/refusal/leaving-long-ago", GALENA_REFUSED_LEAVING, 4000, false },
  { "/refusal/overload", GALENA_REFUSED_OVERLOAD, 100, false },
};

static struct galena_config *
make_config (void)
{
  struct galena_service service
      = { .number = 1, .address = SERVICE, .upstream_count = UPSTREAMS };
  struct galena_upstream upstreams[UPSTREAMS] = { 0 };
  struct galena_config_options options = { &service, 1, upstreams, UPSTREAMS };
  struct galena_config *config;

  service.kind_count = 1;
  service.kinds[0].deadline_ms = 10000;
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    {
      upstreams[i].number = i + 1;
      upstreams[i].agent = (struct galena_endpoint){ 0x7f000002 + i, 7100 };
      upstreams[i].slots = 1;
      upstreams[i].connections = 1000;
      upstreams[i].weight = 1;
    }
  g_assert_cmpint (galena_config_create (&options, &config), ==, GALENA_OK);
  return config;
}

static void
push_open (struct galena_world *world, uint64_t flow)
{
  struct galena_message open = { .type = GALENA_MESSAGE_OPEN,
                                 .side = GALENA_SIDE_CALLER,
                                 .service = SERVICE,
                                 .flow = { 1, flow },
                                 .deadline_ms = 10000 };

  galena_mailbox_push (galena_world_inbox (world), &open);
}

/* Refuses the first open of the outbox with RESULT.  Returns the address of
   the agent that it was sent to.  */
static struct galena_endpoint
refuse_first (struct galena_world *world, enum galena_result result)
{
  struct galena_message refusal
      = *galena_mailbox_get (galena_world_outbox (world), 0);

  refusal.type = GALENA_MESSAGE_REFUSE;
  refusal.tag = galena_tag_make (refusal.peer.ip - 0x7f000002 + 1, 1, 0);
  refusal.result = result;
  galena_mailbox_push (galena_world_inbox (world), &refusal);
  return refusal.peer;
}

static uint32_t
count_to (const struct galena_world *world, struct galena_endpoint peer)
{
  const struct galena_mailbox *outbox = galena_world_outbox (world);
  uint32_t count = 0;

  for (uint32_t i = 0; i < galena_mailbox_count (outbox); i++)
    count
        += galena_endpoint_equal (galena_mailbox_get (outbox, i)->peer, peer);
  return count;
}

static void
run_case (gconstpointer data)
{
  const struct refusal_case *test = data;
  struct galena_world_options options
      = { .role = GALENA_ROLE_ENTRY, .flows = 100, .messages = 100 };
  struct galena_config *config = make_config ();
  struct galena_endpoint refused;
  struct galena_world *world;

  g_assert_cmpint (galena_world_create (&options, &world), ==, GALENA_OK);
  push_open (world, 1);
  galena_world_tick (world, (struct galena_clock){ 1000 }, config);
  refused = refuse_first (world, test->result);
  galena_world_tick (world, (struct galena_clock){ 1005 }, config);
  for (uint64_t flow = 2; flow < 2 + OPENS; flow++)
    push_open (world, flow);
  galena_world_tick (world, (struct galena_clock){ 1005 + test->delay_ms },
                     config);
  g_assert_cmpint (count_to (world, refused) == 0, ==, test->avoided);
  galena_world_destroy (world);
  galena_config_destroy (config);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    g_test_add_data_func (CASES[i].name, &CASES[i], run_case);
  return g_test_run ();
}
