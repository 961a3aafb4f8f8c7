/* Framed messages over a socket pair, written at once and in pieces.  */

#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <galenaford/framing.h>

enum
{
  RECEIVE_MAX = 4096,
  SEND_MAX = 8192
};

struct framing_case
{
  const char *name;
  /* Bytes written to the socket: a length, then BODY_SIZE bytes.  */
  uint32_t length;
  uint32_t body_size;
  /* Bytes of each write.  */
  uint32_t piece;
  /* Result of receiving, and whether a complete message is available then.  */
  enum galena_result expect;
  bool complete;
};

static const struct framing_case CASES[] = {
  { "/framing/empty", 0, 0, 4, GALENA_OK, true },
  { "/framing/whole", 100, 100, 104, GALENA_OK, true },
  { "/framing/byte-by-byte", 100, 100, 1, GALENA_OK, true },
  { "/framing/largest", RECEIVE_MAX, RECEIVE_MAX, 1000, GALENA_OK, true },
  { "/framing/cut", 100, 99, 10, GALENA_OK, false },
  { "/framing/too-large", RECEIVE_MAX + 1, 10, 14, GALENA_ERR_TOO_LARGE,
    false },
  { "/framing/claims-all", UINT32_MAX, 10, 14, GALENA_ERR_TOO_LARGE, false },
};

static struct galena_framing *
make_framing (void)
{
  struct galena_framing_options options = { RECEIVE_MAX, SEND_MAX };
  struct galena_framing *framing;

  g_assert_cmpint (galena_framing_create (&options, &framing), ==, GALENA_OK);
  return framing;
}

static void
run_framing_case (gconstpointer data)
{
  const struct framing_case *test = data;
  struct galena_framing *framing = make_framing ();
  uint32_t total = GALENA_FRAME_HEADER_BYTES + test->body_size;
  uint8_t *bytes = g_malloc0 (total);
  enum galena_result result = GALENA_OK;
  uint32_t size = 0;
  int pair[2];

  bytes[0] = (uint8_t)(test->length >> 24);
  bytes[1] = (uint8_t)(test->length >> 16);
  bytes[2] = (uint8_t)(test->length >> 8);
  bytes[3] = (uint8_t)test->length;
  g_assert_cmpint (socketpair (AF_UNIX, SOCK_STREAM, 0, pair), ==, 0);
  for (uint32_t sent = 0; sent < total && result == GALENA_OK;)
    {
      uint32_t piece = MIN (test->piece, total - sent);
      g_assert_cmpint (write (pair[0], bytes + sent, piece), ==, piece);
      sent += piece;
      /* One call may read only a part of the available bytes.  */
      for (int i = 0; i < 4 && result == GALENA_OK; i++)
        result = galena_framing_receive (framing, pair[1]);
    }
  g_assert_cmpint (result, ==, test->expect);
  g_assert_cmpint (galena_framing_next (framing, &size) != NULL, ==,
                   test->complete);
  if (test->complete)
    g_assert_cmpuint (size, ==, test->length);
  close (pair[0]);
  close (pair[1]);
  g_free (bytes);
  galena_framing_destroy (framing);
}

/* Messages arrive complete and in order.  */
static void
check_exchange (void)
{
  struct galena_framing *sender = make_framing ();
  struct galena_framing *receiver = make_framing ();
  const uint8_t *message;
  uint32_t next = 0;
  uint32_t size;
  int pair[2];

  g_assert_cmpint (socketpair (AF_UNIX, SOCK_STREAM, 0, pair), ==, 0);
  for (uint32_t i = 0; i < 500; i++)
    {
      g_assert_cmpint (
          galena_framing_add (sender, (const uint8_t *)&i, sizeof i), ==,
          GALENA_OK);
      g_assert_cmpint (galena_framing_send (sender, pair[0]), ==, GALENA_OK);
      g_assert_cmpint (galena_framing_receive (receiver, pair[1]), ==,
                       GALENA_OK);
      while ((message = galena_framing_next (receiver, &size)) != NULL)
        {
          g_assert_cmpmem (message, size, &next, sizeof next);
          next++;
        }
    }
  g_assert_cmpuint (next, ==, 500);
  close (pair[0]);
  g_assert_cmpint (galena_framing_receive (receiver, pair[1]), ==,
                   GALENA_ERR_IO);
  close (pair[1]);
  galena_framing_destroy (sender);
  galena_framing_destroy (receiver);
}

/* The send buffer of a peer that does not read stays within its limit.  */
static void
check_full (void)
{
  struct galena_framing *framing = make_framing ();
  uint8_t bytes[1000] = { 0 };
  enum galena_result result = GALENA_OK;

  while (result == GALENA_OK)
    result = galena_framing_add (framing, bytes, sizeof bytes);
  g_assert_cmpint (result, ==, GALENA_ERR_FULL);
  g_assert_cmpuint (galena_framing_pending_bytes (framing), <=, SEND_MAX);
  galena_framing_destroy (framing);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    g_test_add_data_func (CASES[i].name, &CASES[i], run_framing_case);
  g_test_add_func ("/framing/exchange", check_exchange);
  g_test_add_func ("/framing/full", check_full);
  return g_test_run ();
}
