/* An entry whose link is full: when it leaves the rotation, and when it joins
   it again.  */

#include <glib.h>

#include <galenaford/plane.h>

enum
{
  OTHERS_MAX = 6,
  ENTRY_IP = 0x0A010010,
  CALLER_IP = 0x64400001,
  PORT = 443,
  PEER_PORT = 7000,
  ZONE = 7,
  PACKET_BYTES = 1232,
  HELLO_MS = 500,
  SLOW_KBPS = 10000,
  FAST_KBPS = 200000
};

/* Another entry, which sends hellos to the one under test.  */
struct other_entry
{
  uint32_t link_kbps;
  uint64_t zone;
  bool ready;
  /* Sends no more hellos from this millisecond on; 0 for never.  */
  uint32_t silent_from_ms;
};

struct capacity_case
{
  const char *name;
  uint32_t link_kbps;
  struct other_entry others[OTHERS_MAX];
  /* Milliseconds between packets, until when that holds, and the milliseconds
     between packets from then on.  */
  uint32_t gap_ms;
  uint32_t busy_until_ms;
  uint32_t calm_gap_ms;
  /* When the entry is checked, and whether it is out of rotation then.  */
  uint32_t at_ms;
  bool out_of_rotation;
};

#define FAST                                                                  \
  {                                                                           \
    FAST_KBPS, ZONE, true, 0                                                  \
  }
#define SLOW                                                                  \
  {                                                                           \
    SLOW_KBPS, ZONE, true, 0                                                  \
  }

/* One packet per millisecond is 10 Mbit/s.  */
static const struct capacity_case CASES[] = {
  { "/capacity/calm", SLOW_KBPS, { FAST, FAST }, 5, 9000, 5, 9000, false },
  { "/capacity/full", SLOW_KBPS, { FAST, FAST }, 1, 9000, 5, 3000, true },
  { "/capacity/link-unknown", 0, { FAST, FAST }, 1, 9000, 5, 3000, false },
  { "/capacity/back-after-burst",
    SLOW_KBPS,
    { FAST, FAST },
    1,
    2000,
    1000,
    9000,
    false },
  { "/capacity/aside-through-burst",
    SLOW_KBPS,
    { FAST, FAST },
    1,
    2000,
    1000,
    5000,
    true },
  /* At least half of the zone's entries stay: those with the fastest
     links.  */
  { "/capacity/half-stays",
    SLOW_KBPS,
    { FAST, FAST, FAST, SLOW, SLOW },
    1,
    9000,
    5,
    3000,
    true },
  { "/capacity/too-few-stronger",
    SLOW_KBPS,
    { FAST, FAST, SLOW, SLOW, SLOW },
    1,
    9000,
    5,
    3000,
    false },
  { "/capacity/strongest",
    FAST_KBPS + 1,
    { FAST, FAST, FAST },
    1,
    9000,
    5,
    3000,
    false },
  { "/capacity/alone", SLOW_KBPS, { { 0 } }, 1, 9000, 5, 3000, false },
  { "/capacity/other-zone",
    SLOW_KBPS,
    { { FAST_KBPS, ZONE + 1, true, 0 }, { FAST_KBPS, ZONE + 1, true, 0 } },
    1,
    9000,
    5,
    3000,
    false },
  { "/capacity/stronger-not-ready",
    SLOW_KBPS,
    { FAST, { FAST_KBPS, ZONE, false, 0 }, SLOW },
    1,
    9000,
    5,
    3000,
    false },
  /* The entry joins the rotation at once when one with a faster link times
     out.  */
  { "/capacity/stronger-lost",
    SLOW_KBPS,
    { FAST, { FAST_KBPS, ZONE, true, 2500 }, SLOW },
    1,
    9000,
    5,
    2400,
    true },
  { "/capacity/back-since-stronger-lost",
    SLOW_KBPS,
    { FAST, { FAST_KBPS, ZONE, true, 2500 }, SLOW },
    1,
    9000,
    5,
    4200,
    false },
};

static void
push_hello (struct galena_plane *plane, uint32_t index,
            const struct other_entry *other_entry)
{
  struct galena_input *input = galena_plane_next_input (plane);

  input->side = GALENA_SIDE_PEER;
  input->peer = (struct galena_endpoint){ ENTRY_IP + 1 + index, PEER_PORT };
  input->message = (struct galena_peer_message){
    .type = GALENA_PEER_HELLO,
    .role = GALENA_ROLE_ENTRY,
    .state = { other_entry->zone, other_entry->link_kbps, other_entry->ready },
  };
  galena_plane_push (plane);
}

static void
push_packet (struct galena_plane *plane)
{
  static uint8_t bytes[PACKET_BYTES];
  struct galena_input *input = galena_plane_next_input (plane);

  input->side = GALENA_SIDE_CALLER;
  input->packet = (struct galena_packet){
    .source = { CALLER_IP, PORT },
    .destination = { CALLER_IP, PORT },
    .flags = GALENA_PACKET_ACKNOWLEDGES,
    .bytes = bytes,
    .size = PACKET_BYTES,
  };
  galena_plane_push (plane);
}

static void
run_capacity_case (gconstpointer data)
{
  const struct capacity_case *test = data;
  struct galena_plane_options options = { .role = GALENA_ROLE_ENTRY,
                                          .seed = 1,
                                          .self = { ENTRY_IP, PEER_PORT },
                                          .flows = 64,
                                          .messages = 64,
                                          .flow_idle_ms = 60000,
                                          .zone = ZONE,
                                          .link_kbps = test->link_kbps };
  struct galena_plane *plane;

  g_assert_cmpint (galena_plane_create (&options, &plane), ==, GALENA_OK);
  for (uint32_t ms = 1; ms <= test->at_ms; ms++)
    {
      uint32_t gap_ms
          = ms < test->busy_until_ms ? test->gap_ms : test->calm_gap_ms;

      for (uint32_t i = 0; ms % HELLO_MS == 0 && i < OTHERS_MAX; i++)
        if (test->others[i].link_kbps != 0
            && (test->others[i].silent_from_ms == 0
                || ms < test->others[i].silent_from_ms))
          push_hello (plane, i, &test->others[i]);
      if (ms % gap_ms == 0)
        push_packet (plane);
      galena_plane_tick (plane, (struct galena_clock){ ms }, NULL);
    }
  g_assert_cmpint (galena_plane_is_out_of_rotation (plane), ==,
                   test->out_of_rotation);
  galena_plane_destroy (plane);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    g_test_add_data_func (CASES[i].name, &CASES[i], run_capacity_case);
  return g_test_run ();
}
