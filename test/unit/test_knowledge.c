/* Lists of agents between two entries: one that has started asks the other
   one, in fleets of several sizes.  */

#include <string.h>

#include <glib.h>

#include <galenaford/agent_list.h>
#include <galenaford/plane.h>

enum
{
  ENTRY_IP = 0x0A010001,
  AGENT_IP = 0x0A020001,
  PEER_PORT = 7000,
  MESSAGES = 8192,
  PARTS_MAX = 32,
  /* When the second entry starts, and when it asks again if need be.  */
  STARTED_MS = 10000,
  ASKS_AGAIN_MS = STARTED_MS + 500,
  NO_PART = 255
};

struct knowledge_case
{
  const char *name;
  uint32_t agents;
  /* How long the first entry has run when the second one starts.  */
  int64_t age_ms;
  /* Index of the message that is lost, or NO_PART.  */
  uint32_t lost;
  /* Expected messages of the list, and whether the second entry asks
     again.  */
  uint32_t messages;
  bool asks_again;
};

static const struct knowledge_case CASES[] = {
  { "/knowledge/agents-20", 20, 9000, NO_PART, 1, false },
  { "/knowledge/agents-300", 300, 9000, NO_PART, 2, false },
  { "/knowledge/agents-2900", 2900, 9000, NO_PART, 12, false },
  { "/knowledge/agents-4096", 4096, 9000, NO_PART, 16, false },
  { "/knowledge/no-agents", 0, 9000, NO_PART, 1, false },
  /* A part of the list is taken for all of it.  */
  { "/knowledge/lost-part", 2900, 9000, 7, 12, true },
  { "/knowledge/lost-last-part", 300, 9000, 1, 2, true },
  /* The list of an entry that has not heard all agents yet is taken for
     complete.  */
  { "/knowledge/started-lately", 20, 2900, NO_PART, 1, true },
  { "/knowledge/started-lately-2900", 2900, 2900, NO_PART, 1, true },
};

struct run
{
  struct galena_plane *asked;
  struct galena_plane *asking;
  /* Parts of the list until the tick that reads them is over.  */
  uint32_t count;
  uint32_t bytes;
  struct galena_peer_message parts[PARTS_MAX];
  uint8_t bodies[PARTS_MAX][GALENA_AGENT_LIST_BODY_BYTES];
};

static struct galena_plane *
make_entry (uint32_t index)
{
  struct galena_plane_options options
      = { .role = GALENA_ROLE_ENTRY,
          .seed = 1 + index,
          .self = { ENTRY_IP + index, PEER_PORT },
          .seed_count = 2,
          .seeds = { { ENTRY_IP, PEER_PORT }, { ENTRY_IP + 1, PEER_PORT } },
          .flows = 64,
          .messages = MESSAGES,
          .flow_idle_ms = 60000 };
  struct galena_plane *plane;

  g_assert_cmpint (galena_plane_create (&options, &plane), ==, GALENA_OK);
  return plane;
}

static void
tick (struct galena_plane *plane, int64_t at_ms)
{
  galena_plane_tick (plane, (struct galena_clock){ at_ms }, NULL);
}

static void
push (struct galena_plane *plane, struct galena_endpoint peer,
      const struct galena_peer_message *message)
{
  struct galena_input *input = galena_plane_next_input (plane);

  g_assert_nonnull (input);
  input->side = GALENA_SIDE_PEER;
  input->peer = peer;
  input->message = *message;
  galena_plane_push (plane);
}

static void
announce_agents (struct galena_plane *plane, uint32_t count)
{
  struct galena_peer_message load = { .type = GALENA_PEER_LOAD,
                                      .role = GALENA_ROLE_AGENT,
                                      .uptime_ms = 600000 };

  for (uint32_t i = 0; i < count; i++)
    push (plane, (struct galena_endpoint){ AGENT_IP + i, PEER_PORT }, &load);
}

/* Returns the last hello that PLANE sent to an entry in its last tick; its
   type is 0 if there is none.  */
static struct galena_peer_message
sent_hello (const struct galena_plane *plane)
{
  struct galena_peer_message hello = { 0 };

  for (uint32_t i = 0; i < galena_plane_output_count (plane); i++)
    {
      const struct galena_output *output = galena_plane_output (plane, i);

      if (output->message.type == GALENA_PEER_HELLO
          && output->peer.ip < AGENT_IP)
        hello = output->message;
    }
  return hello;
}

static void
collect_parts (struct run *run)
{
  for (uint32_t i = 0; i < galena_plane_output_count (run->asked); i++)
    {
      const struct galena_output *output = galena_plane_output (run->asked, i);
      struct galena_peer_message *part = &run->parts[run->count];

      if (output->message.type != GALENA_PEER_AGENTS)
        continue;
      g_assert_cmpuint (run->count, <, PARTS_MAX);
      *part = output->message;
      part->bytes = run->bodies[run->count];
      part->size = output->packet_copy_size;
      memcpy (run->bodies[run->count], output->packet_copy, part->size);
      run->count++;
      run->bytes += part->size;
    }
}

static void
run_knowledge_case (gconstpointer data)
{
  const struct knowledge_case *test = data;
  struct run *run = g_new0 (struct run, 1);
  struct galena_peer_message hello;

  run->asked = make_entry (0);
  run->asking = make_entry (1);
  tick (run->asked, STARTED_MS - test->age_ms);
  announce_agents (run->asked, test->agents);
  /* No gap is long enough to count as a pause.  */
  for (int64_t ms = STARTED_MS - test->age_ms + 100; ms < STARTED_MS;
       ms += 500)
    {
      announce_agents (run->asked, test->agents);
      tick (run->asked, ms);
    }
  tick (run->asking, STARTED_MS);
  hello = sent_hello (run->asking);
  g_assert_cmpint (hello.type, ==, GALENA_PEER_HELLO);
  g_assert_cmpuint (hello.sequence, ==, 1);
  push (run->asked, (struct galena_endpoint){ ENTRY_IP + 1, PEER_PORT },
        &hello);
  tick (run->asked, STARTED_MS + 1);
  collect_parts (run);
  g_test_message ("agents=%u messages=%u bytes=%u", test->agents, run->count,
                  run->bytes);
  g_assert_cmpuint (run->count, ==, test->messages);
  for (uint32_t i = 0; i < run->count; i++)
    if (i != test->lost)
      push (run->asking, (struct galena_endpoint){ ENTRY_IP, PEER_PORT },
            &run->parts[i]);
  /* One agent is heard that has not started after the same loss of power.  */
  announce_agents (run->asking, 1);
  tick (run->asking, STARTED_MS + 2);
  tick (run->asking, ASKS_AGAIN_MS);
  hello = sent_hello (run->asking);
  g_assert_cmpint (hello.type, ==, GALENA_PEER_HELLO);
  g_assert_cmpuint (hello.sequence, ==, test->asks_again);
  galena_plane_destroy (run->asked);
  galena_plane_destroy (run->asking);
  g_free (run);
}

/* Guards against a body that is read otherwise than it was written, and
   against parts that are none.  */
static void
test_list_body (void)
{
  struct galena_agent_list list = { .number = UINT32_MAX - 1,
                                    .part = 2,
                                    .parts = 3,
                                    .count = GALENA_AGENT_LIST_MAX };
  uint8_t body[GALENA_AGENT_LIST_BODY_BYTES + 4] = { 0 };
  struct galena_agent_list read;
  uint32_t size;

  for (uint32_t i = 0; i < list.count; i++)
    list.agents[i] = UINT32_MAX - i;
  size = galena_agent_list_write (body, &list);
  g_assert_cmpuint (size, ==, GALENA_AGENT_LIST_BODY_BYTES);
  g_assert_true (galena_agent_list_read (body, size, &read));
  g_assert_cmpmem (&list, sizeof list, &read, sizeof read);
  g_assert_false (galena_agent_list_read (NULL, 0, &read));
  g_assert_false (galena_agent_list_read (body, 7, &read));
  g_assert_false (galena_agent_list_read (body, size - 1, &read));
  g_assert_false (galena_agent_list_read (body, size + 4, &read));
  list.part = 3;
  size = galena_agent_list_write (body, &list);
  g_assert_false (galena_agent_list_read (body, size, &read));
  list.part = 0;
  list.parts = GALENA_AGENT_LIST_PARTS_MAX + 1;
  size = galena_agent_list_write (body, &list);
  g_assert_false (galena_agent_list_read (body, size, &read));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    g_test_add_data_func (CASES[i].name, &CASES[i], run_knowledge_case);
  g_test_add_func ("/knowledge/list-body", test_list_body);
  return g_test_run ();
}
