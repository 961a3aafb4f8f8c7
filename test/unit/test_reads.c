/* HTTP reads from a server in this process.  A wait must return when a read
   ends, also when the end is noticed before the wait starts to poll.  */

#include <string.h>
#include <time.h>

#include <glib.h>

#include <microhttpd.h>

#include <galenaford/monotonic.h>
#include <galenaford/reads.h>

enum
{
  ADDRESS_BYTES = 64,
  /* Enough calls of galena_reads_wait to connect and send the request.  */
  POLLS = 20,
  POLL_MS = 5,
  /* Duration that no wait may reach: many times a round trip on loopback.  */
  WAIT_MAX_MS = 10000
};

struct reads_case
{
  const char *name;
  const char *path;
  /* Pause without a call of galena_reads_wait, during which the response
     arrives.  */
  uint32_t pause_ms;
  uint32_t timeout_ms;
  /* Whether the read is cancelled before the wait.  */
  bool cancel;
  enum galena_result result;
  /* Value of the header X-Test.  */
  const char *header;
};

static const struct reads_case CASES[] = {
  { "/reads/answered", "/now", 0, WAIT_MAX_MS, false, GALENA_OK, "" },
  { "/reads/answered-unnoticed", "/now", 200, WAIT_MAX_MS, false, GALENA_OK,
    "" },
  { "/reads/not-found", "/none", 0, WAIT_MAX_MS, false, GALENA_ERR_NOT_FOUND,
    "" },
  { "/reads/timeout", "/never", 0, 300, false, GALENA_ERR_IO, "" },
  { "/reads/timeout-unnoticed", "/never", 500, 300, false, GALENA_ERR_IO, "" },
  { "/reads/cancelled", "/never", 0, WAIT_MAX_MS, true, GALENA_OK, "" },
  { "/reads/header", "/header", 0, WAIT_MAX_MS, false, GALENA_ERR_NOT_FOUND,
    "7" },
};

static enum MHD_Result
answer (void *data, struct MHD_Connection *connection, const char *url,
        const char *method, const char *version, const char *upload,
        size_t *upload_size, void **request)
{
  struct MHD_Response *response;
  enum MHD_Result result;

  (void)data;
  (void)method;
  (void)version;
  (void)upload;
  (void)upload_size;
  (void)request;
  if (strcmp (url, "/never") == 0)
    {
      MHD_suspend_connection (connection);
      return MHD_YES;
    }
  response = MHD_create_response_from_buffer (2, "ok", MHD_RESPMEM_PERSISTENT);
  if (strcmp (url, "/header") == 0)
    MHD_add_response_header (response, "x-test", "7");
  result = MHD_queue_response (
      connection, strcmp (url, "/now") == 0 ? MHD_HTTP_OK : MHD_HTTP_NOT_FOUND,
      response);
  MHD_destroy_response (response);
  return result;
}

static void
sleep_ms (uint32_t ms)
{
  struct timespec time = { ms / 1000, (long)(ms % 1000) * 1000000 };

  nanosleep (&time, NULL);
}

/* Waits until the read has ended; false when a wait timed out.  */
static bool
wait_for_end (struct galena_reads *reads, struct galena_completed_read *end)
{
  do
    {
      struct galena_clock started_at = galena_monotonic_now ();

      galena_reads_wait (reads, NULL, 0, WAIT_MAX_MS);
      if (galena_clock_elapsed_ms (started_at, galena_monotonic_now ())
          >= WAIT_MAX_MS)
        return false;
    }
  while (!galena_reads_next (reads, end));
  return true;
}

static void
run_reads_case (gconstpointer data)
{
  const struct reads_case *test = data;
  struct MHD_Daemon *server = MHD_start_daemon (
      MHD_USE_INTERNAL_POLLING_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL,
      NULL, answer, NULL, MHD_OPTION_END);
  struct galena_reads_options options = { "", 1000, 1024, 4, "X-Test" };
  struct galena_completed_read end;
  struct galena_reads *reads;
  char address[ADDRESS_BYTES];

  g_assert_nonnull (server);
  g_snprintf (address, sizeof address, "http://127.0.0.1:%u%s",
              MHD_get_daemon_info (server, MHD_DAEMON_INFO_BIND_PORT)->port,
              test->path);
  g_assert_cmpint (galena_reads_create (&options, &reads), ==, GALENA_OK);
  g_assert_cmpint (galena_reads_start (reads, address, test->timeout_ms, 7),
                   ==, GALENA_OK);
  if (test->pause_ms > 0)
    {
      for (uint32_t i = 0; i < POLLS; i++)
        galena_reads_wait (reads, NULL, 0, POLL_MS);
      sleep_ms (test->pause_ms);
    }
  if (test->cancel)
    {
      galena_reads_cancel (reads, 7);
      galena_reads_interrupt (reads);
      galena_reads_wait (reads, NULL, 0, WAIT_MAX_MS);
      g_assert_false (galena_reads_next (reads, &end));
    }
  else
    {
      g_assert_true (wait_for_end (reads, &end));
      g_assert_cmpint (end.result, ==, test->result);
      g_assert_cmpstr (end.header, ==, test->header);
      g_assert_cmpuint (end.user_data, ==, 7);
    }
  galena_reads_destroy (reads);
  /* Stops listening.  The daemon is not stopped: suspended connections stay
     open until the test exits.  */
  MHD_quiesce_daemon (server);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    g_test_add_data_func (CASES[i].name, &CASES[i], run_reads_case);
  return g_test_run ();
}
