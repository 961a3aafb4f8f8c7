/* Tests the scenario language: errors in scripts, failed expectations, and
   whether docs/SCENARIOS.md lists every verb and measure.  */

#include <string.h>

#include <glib/gstdio.h>

#include "scenario.h"

struct error_case
{
  const char *name;
  const char *text;
  /* Error message after the file's name; NULL if the script is valid.  */
  const char *error;
};

static const struct error_case ERROR_CASES[] = {
  { "/scenario/good", "service desk\nat 1s end\n", NULL },
  { "/scenario/comment", "# words\n\n  # more\n", NULL },
  { "/scenario/quoted", "service 'desk'\n", NULL },
  { "/scenario/unknown-verb", "\nflood desk\n", ":2: unknown verb \"flood\"" },
  { "/scenario/missing", "service\n", ":1: \"NAME\" is missing" },
  { "/scenario/unknown-argument", "network speed 1ms\n",
    ":1: unknown argument \"speed\"" },
  { "/scenario/no-value", "network delay\n", ":1: \"delay\" has no value" },
  { "/scenario/no-unit", "network delay 5\n",
    ":1: bad value \"5\" of \"delay\"" },
  { "/scenario/negative", "callers -1\n",
    ":1: bad value \"-1\" of \"COUNT\"" },
  { "/scenario/fraction", "callers 1.5\n",
    ":1: bad value \"1.5\" of \"COUNT\"" },
  { "/scenario/bad-time", "at soon end\n", ":1: bad time \"soon\"" },
  { "/scenario/bad-range", "at 2s..1s end\n", ":1: bad time \"2s..1s\"" },
  { "/scenario/at-alone", "at 1s\n", ":1: \"at\" needs a verb" },
  { "/scenario/unknown-node", "kill entry-7\n",
    ":1: unknown node \"entry-7\"" },
  { "/scenario/unknown-service", "publish desk\n",
    ":1: unknown service \"desk\"" },
  { "/scenario/unknown-kind",
    "service desk\ncallers 1\nload l service desk kind k rate 1 until 1s\n",
    ":3: unknown kind \"k\"" },
  { "/scenario/unknown-measure", "expect joy = 0\n",
    ":1: no measure \"joy\" of load \"\"" },
  { "/scenario/unknown-load", "expect sent events = 0\n",
    ":1: no measure \"sent\" of load \"events\"" },
  { "/scenario/unknown-comparison", "expect sent < 1\n",
    ":1: unknown comparison \"<\"" },
  { "/scenario/platform-state", "platform away\n",
    ":1: \"away\" is neither up nor down" },
};

/* Reads and runs the script TEXT from a file at PATH.  Returns the error,
   which the caller frees, or NULL.  */
static GError *
run_text (const char *path, const char *text)
{
  struct scenario_script *script;
  struct scenario scenario;
  GError *error = NULL;

  g_assert_true (g_file_set_contents (path, text, -1, NULL));
  script = scenario_read (path, &error);
  if (script == NULL)
    return error;
  scenario_run (&scenario, script, 1, &error);
  scenario_end (&scenario);
  scenario_free (script);
  return error;
}

static char *
script_path (void)
{
  char *path = NULL;
  int fd = g_file_open_tmp ("galena-XXXXXX.scn", &path, NULL);

  g_assert_true (fd >= 0);
  g_close (fd, NULL);
  return path;
}

static void
run_error_case (gconstpointer data)
{
  const struct error_case *test = data;
  char *path = script_path ();
  GError *error = run_text (path, test->text);

  if (test->error == NULL)
    g_assert_no_error (error);
  else
    {
      char *expect = g_strconcat (path, test->error, NULL);

      g_assert_nonnull (error);
      g_assert_cmpstr (error->message, ==, expect);
      g_free (expect);
    }
  g_clear_error (&error);
  g_unlink (path);
  g_free (path);
}

static void
check_failed_expectation (void)
{
  char *path = script_path ();
  char *expect = g_strconcat (
      path, ":2: seed=7: expect sent  >= 1: the figure is 0\n", NULL);
  struct scenario_script *script;
  struct scenario scenario;

  g_file_set_contents (path, "at 1s end\nat 1s expect sent >= 1\n", -1, NULL);
  script = scenario_read (path, NULL);
  g_assert_true (scenario_run (&scenario, script, 7, NULL));
  g_assert_cmpstr (scenario.failures->str, ==, expect);
  scenario_end (&scenario);
  scenario_free (script);
  g_unlink (path);
  g_free (expect);
  g_free (path);
}

static char *
read_page (void)
{
  char *page;

  g_assert_true (g_file_get_contents (GALENA_SOURCE_DIR "/docs/SCENARIOS.md",
                                      &page, NULL, NULL));
  return page;
}

static void
check_page_verbs (void)
{
  char *page = read_page ();

  for (uint32_t i = 0; i < SCENARIO_VERB_COUNT; i++)
    {
      GString *row = g_string_new ("| `");

      scenario_describe (&SCENARIO_VERBS[i], row);
      g_string_append (row, "` | ");
      if (strstr (page, row->str) == NULL)
        g_error ("docs/SCENARIOS.md lacks: %s", row->str);
      g_string_free (row, TRUE);
    }
  g_free (page);
}

static void
check_page_measures (void)
{
  char *page = read_page ();
  const char *name;
  bool of_run;
  bool of_load;

  for (uint32_t i = 0;
       (name = scenario_measure_name (i, &of_run, &of_load)) != NULL; i++)
    {
      char *row = g_strdup_printf (
          "| `%s` | %s%s%s | ", name, of_run ? "run" : "",
          of_run && of_load ? ", load" : "", of_load && !of_run ? "load" : "");

      if (strstr (page, row) == NULL)
        g_error ("docs/SCENARIOS.md lacks: %s", row);
      g_free (row);
    }
  g_free (page);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (ERROR_CASES); i++)
    g_test_add_data_func (ERROR_CASES[i].name, &ERROR_CASES[i],
                          run_error_case);
  g_test_add_func ("/scenario/failed-expectation", check_failed_expectation);
  g_test_add_func ("/scenario/page/verbs", check_page_verbs);
  g_test_add_func ("/scenario/page/measures", check_page_measures);
  return g_test_run ();
}
