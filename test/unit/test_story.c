/* galenactl story: selection and order of the lines on a caller's flow.  */

#include <glib.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <unistd.h>

#include <jansson.h>

#include "arguments.h"

enum
{
  EVENTS_MAX = 8
};

static const char CALLER[] = "100.64.0.7:40001";

#define FLOW(time, process, event, agent)                                     \
  "<6>event=" event " process=" process " time_ms=" time                      \
  " caller=100.64.0.7:40001 address=198.18.0.1:443 agent=" agent              \
  " version=3 result=ok age_ms=1 detail=0\n"
#define PROCESS_LINE(time, process, event, agent)                             \
  "<6>event=" event " process=" process " time_ms=" time                      \
  " caller=0.0.0.0:0 address=0.0.0.0:0 agent=" agent                          \
  " version=3 result=ok age_ms=1 detail=0\n"

struct story_case
{
  const char *name;
  const char *log;
  int status;
  /* The events of the lines that are printed, in order.  */
  const char *events[EVENTS_MAX];
};

static const struct story_case CASES[] = {
  { "/story/order-of-time",
    FLOW ("20000", "e-2", "flow-found", "10.2.0.1:7000")
        FLOW ("10000", "e-1", "flow-opened", "10.2.0.1:7000"),
    EXIT_SUCCESS,
    { "flow-opened", "flow-found" } },
  { "/story/prefix-and-noise",
    "  12.5 e-1 " FLOW ("10000", "e-1", "flow-opened",
                        "10.2.0.1:7000") "words of another program\n\nevent\n",
    EXIT_SUCCESS,
    { "flow-opened" } },
  { "/story/other-callers",
    FLOW ("10000", "e-1", "flow-opened",
          "10.2.0.1:7000") "<6>event=flow-reset process=e-1 time_ms=10001 "
                           "caller=100.64.0.7:4000 address=198.18.0.1:443\n",
    EXIT_SUCCESS,
    { "flow-opened" } },
  /* Events of the processes and agents that handled the flow are shown, those
     of others are not.  */
  { "/story/agent-and-process",
    PROCESS_LINE ("9000", "e-1", "upstream-state", "10.2.0.1:7000")
        PROCESS_LINE ("9001", "e-1", "upstream-state", "10.2.0.9:7000")
            PROCESS_LINE ("9002", "e-9", "upstream-state", "10.2.0.1:7000")
                FLOW ("10000", "e-1", "flow-opened", "10.2.0.1:7000")
                    PROCESS_LINE ("10500", "e-1", "paused", "0.0.0.0:0")
                        PROCESS_LINE ("10500", "e-9", "paused", "0.0.0.0:0"),
    EXIT_SUCCESS,
    { "upstream-state", "flow-opened", "paused" } },
  { "/story/agent-started",
    FLOW ("10000", "e-1", "flow-opened", "10.2.0.1:7000")
        FLOW ("15000", "e-1", "flow-lost",
              "10.2.0.1:7000") "<5>event=started process=a-1 time_ms=14000 "
                               "role=agent "
                               "address=10.2.0.1:7000\n"
                               "<5>event=started process=a-2 time_ms=14000 "
                               "role=agent "
                               "address=10.2.0.2:7000\n",
    EXIT_SUCCESS,
    { "flow-opened", "started", "flow-lost" } },
  { "/story/long-before",
    PROCESS_LINE ("1000", "e-1", "paused", "0.0.0.0:0")
        FLOW ("10000", "e-1", "flow-opened", "10.2.0.1:7000"),
    EXIT_SUCCESS,
    { "flow-opened" } },
  { "/story/no-line",
    PROCESS_LINE ("1000", "e-1", "paused", "0.0.0.0:0"),
    EXIT_FAILURE,
    { NULL } },
  { "/story/empty", "", EXIT_FAILURE, { NULL } },
};

/* Runs the command with --json and its output in a file; returns the parsed
   output.  */
static json_t *
run_json (const char *log, int *status)
{
  struct arguments arguments = { .positional = { "story", log, CALLER },
                                 .positional_count = 3,
                                 .json = true };
  char *path;
  int file = g_file_open_tmp ("story-XXXXXX", &path, NULL);
  int out = dup (STDOUT_FILENO);
  json_t *json;

  fflush (stdout);
  dup2 (file, STDOUT_FILENO);
  *status = run_story (&arguments);
  fflush (stdout);
  dup2 (out, STDOUT_FILENO);
  json = json_load_file (path, 0, NULL);
  close (out);
  close (file);
  g_unlink (path);
  g_free (path);
  return json;
}

static void
run_story_case (gconstpointer data)
{
  const struct story_case *test = data;
  char *path;
  int fd = g_file_open_tmp ("log-XXXXXX", &path, NULL);
  json_t *json;
  size_t count = 0;
  int status;

  close (fd);
  g_assert_true (g_file_set_contents (path, test->log, -1, NULL));
  json = run_json (path, &status);
  g_assert_cmpint (status, ==, test->status);
  for (; count < EVENTS_MAX && test->events[count] != NULL; count++)
    g_assert_cmpstr (json_string_value (json_object_get (
                         json_array_get (json, count), "event")),
                     ==, test->events[count]);
  g_assert_cmpuint (json_array_size (json), ==, count);
  json_decref (json);
  g_unlink (path);
  g_free (path);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    g_test_add_data_func (CASES[i].name, &CASES[i], run_story_case);
  return g_test_run ();
}
