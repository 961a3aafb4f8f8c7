/* The lists by which processes learn of entries: each entry is listed within a
   few replies, however many there are.  */

#include <glib.h>

#include <galenaford/plane.h>

enum
{
  ENTRIES_MAX = 300,
  ENTRY_IP = 0x0A010001,
  AGENT_IP = 0x0A020001,
  PEER_PORT = 7000
};

struct members_case
{
  const char *name;
  uint32_t entries;
  /* Replies within which all are listed: all entries, by as many as one
     message lists beside its sender, rounded up.  */
  uint32_t replies;
};

static const struct members_case CASES[] = {
  { "/members/listed-10", 10, 1 },
  { "/members/listed-59", 59, 2 },
  { "/members/listed-300", 300, 10 },
};

static void
push_hello (struct galena_plane *plane, enum galena_role role, uint32_t ip)
{
  struct galena_input *input = galena_plane_next_input (plane);

  g_assert_nonnull (input);
  input->side = GALENA_SIDE_PEER;
  input->peer = (struct galena_endpoint){ ip, PEER_PORT };
  input->message = (struct galena_peer_message){ .type = GALENA_PEER_HELLO,
                                                 .role = role };
  galena_plane_push (plane);
}

/* Marks the entries of the list that PLANE sends to the agent; returns how
   many are new.  */
static uint32_t
mark_listed (const struct galena_plane *plane, bool *listed)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < galena_plane_output_count (plane); i++)
    {
      const struct galena_output *output = galena_plane_output (plane, i);

      if (output->message.type != GALENA_PEER_MEMBERS
          || output->peer.ip != AGENT_IP)
        continue;
      for (uint32_t j = 0; j < output->message.member_count; j++)
        {
          uint32_t index = output->message.members[j] - ENTRY_IP;

          count += !listed[index];
          listed[index] = true;
        }
    }
  return count;
}

static void
run_members_case (gconstpointer data)
{
  const struct members_case *test = data;
  struct galena_plane_options options = { .role = GALENA_ROLE_ENTRY,
                                          .seed = 1,
                                          .self = { ENTRY_IP, PEER_PORT },
                                          .flows = 64,
                                          .messages = 1024,
                                          .flow_idle_ms = 60000 };
  bool listed[ENTRIES_MAX] = { false };
  struct galena_plane *plane;
  uint32_t count = 0;

  g_assert_cmpint (galena_plane_create (&options, &plane), ==, GALENA_OK);
  for (uint32_t i = 1; i < test->entries; i++)
    push_hello (plane, GALENA_ROLE_ENTRY, ENTRY_IP + i);
  galena_plane_tick (plane, (struct galena_clock){ 10 }, NULL);
  for (uint32_t i = 0; i < test->replies; i++)
    {
      push_hello (plane, GALENA_ROLE_AGENT, AGENT_IP);
      galena_plane_tick (plane, (struct galena_clock){ 20 + i }, NULL);
      count += mark_listed (plane, listed);
    }
  g_assert_cmpuint (count, ==, test->entries);
  galena_plane_destroy (plane);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    g_test_add_data_func (CASES[i].name, &CASES[i], run_members_case);
  return g_test_run ();
}
