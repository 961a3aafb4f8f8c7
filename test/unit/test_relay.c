/* The relay codec: round trips, truncated messages and mutated messages.  */

#include <string.h>

#include <glib.h>

#include <galenaford/random.h>
#include <galenaford/relay.h>

enum
{
  ROUNDS = 20000,
  BYTES_MAX = 512
};

struct relay_case
{
  const char *name;
  struct galena_sync_message message;
  const char *text;
};

static const struct relay_case CASES[] = {
  { "/relay/heartbeat",
    { .type = GALENA_SYNC_HEARTBEAT,
      .sender = { { 0x7f000001, 7000 }, GALENA_ROLE_AGENT },
      .subscribed_service = 3,
      .synced = true,
      .reply_requested = true,
      .digest = UINT64_MAX,
      .leaving_digest = 5 },
    "" },
  { "/relay/announce",
    { .type = GALENA_SYNC_ANNOUNCE,
      .number = 7,
      .generation = INT64_MAX,
      .digest = 9 },
    "" },
  { "/relay/fetch", { .type = GALENA_SYNC_FETCH, .number = 7 }, "" },
  { "/relay/record",
    { .type = GALENA_SYNC_RECORD, .number = 7, .generation = 1, .digest = 2 },
    "{\"schema\": 2}" },
  { "/relay/instance",
    { .type = GALENA_SYNC_INSTANCE,
      .number = 7,
      .generation = 4,
      .leaving = true },
    "" },
  { "/relay/peers",
    { .type = GALENA_SYNC_PEERS,
      .peer_count = 2,
      .peers = { { { 0x7f000001, 7000 }, GALENA_ROLE_ENTRY },
                 /* Unknown role.  */
                 { { 0x7f000002, 65535 }, GALENA_ROLE_COUNT } } },
    "" },
};

static void
check_equal (const struct galena_sync_message *a,
             const struct galena_sync_message *b)
{
  g_assert_cmpint (a->type, ==, b->type);
  g_assert_true (galena_endpoint_equal (a->sender.address, b->sender.address));
  g_assert_cmpint (a->sender.role, ==, b->sender.role);
  g_assert_cmpuint (a->subscribed_service, ==, b->subscribed_service);
  g_assert_cmpint (a->synced, ==, b->synced);
  g_assert_cmpint (a->reply_requested, ==, b->reply_requested);
  g_assert_cmpint (a->announced_all, ==, b->announced_all);
  g_assert_cmpint (a->leaving, ==, b->leaving);
  g_assert_cmpuint (a->number, ==, b->number);
  g_assert_cmpuint (a->generation, ==, b->generation);
  g_assert_cmpuint (a->digest, ==, b->digest);
  g_assert_cmpuint (a->leaving_digest, ==, b->leaving_digest);
  g_assert_cmpuint (a->peer_count, ==, b->peer_count);
  for (uint32_t i = 0; i < a->peer_count; i++)
    {
      g_assert_true (
          galena_endpoint_equal (a->peers[i].address, b->peers[i].address));
      g_assert_cmpint (a->peers[i].role, ==, b->peers[i].role);
    }
}

static void
run_case (gconstpointer data)
{
  const struct relay_case *test = data;
  struct galena_sync_message message;
  uint8_t bytes[BYTES_MAX];
  const char *text;
  size_t text_size;
  size_t size;

  g_assert_cmpint (galena_relay_encode (&test->message, test->text,
                                        strlen (test->text), bytes,
                                        sizeof bytes, &size),
                   ==, GALENA_OK);
  g_assert_cmpint (
      galena_relay_decode (bytes, size, &message, &text, &text_size), ==,
      GALENA_OK);
  check_equal (&message, &test->message);
  g_assert_cmpmem (text, text_size, test->text, strlen (test->text));
  for (size_t cut = 0; cut < size; cut++)
    g_assert_cmpint (
        galena_relay_decode (bytes, cut, &message, &text, &text_size), !=,
        GALENA_OK);
}

/* Mutates messages; those that still decode are within their bounds.  */
static void
run_mutated (gconstpointer data)
{
  const struct relay_case *test = data;
  struct galena_random random = { .seed = 1 };

  for (uint32_t round = 0; round < ROUNDS; round++)
    {
      struct galena_sync_message message;
      uint8_t bytes[BYTES_MAX];
      const char *text;
      size_t text_size;
      size_t size;

      galena_relay_encode (&test->message, test->text, strlen (test->text),
                           bytes, sizeof bytes, &size);
      for (uint32_t i = 0; i <= round % 4; i++)
        bytes[galena_random_below (&random, (uint32_t)size)]
            = (uint8_t)galena_random_next (&random);
      if (galena_relay_decode (bytes, size, &message, &text, &text_size)
          != GALENA_OK)
        continue;
      g_assert_cmpuint (message.type, <, GALENA_SYNC_MESSAGE_END);
      g_assert_cmpuint (message.peer_count, <=, GALENA_SYNC_PEERS_MAX);
      g_assert_cmpuint (message.sender.role, <=, GALENA_ROLE_COUNT);
      g_assert_cmpuint (text_size, <=, size);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    {
      char *mutated = g_strconcat (CASES[i].name, "-mutated", NULL);

      g_test_add_data_func (CASES[i].name, &CASES[i], run_case);
      g_test_add_data_func (mutated, &CASES[i], run_mutated);
      g_free (mutated);
    }
  return g_test_run ();
}
