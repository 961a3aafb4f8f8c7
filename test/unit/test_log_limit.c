/* The rate limit of log lines, with simulated time.  */

#include <glib.h>

#include <galenaford/log_limit.h>

struct limit_case
{
  const char *name;
  /* Number of events, and lines of each.  */
  uint32_t events;
  uint32_t lines;
  /* Interval between two lines of an event.  */
  int64_t gap_ms;
  uint32_t written;
  /* Windows with suppressed lines, and suppressed lines in total.  */
  uint32_t reports;
  uint32_t suppressed;
};

static const struct limit_case CASES[] = {
  { "/log/few", 1, 10, 1, 10, 0, 0 },
  { "/log/at-limit", 1, GALENA_LOG_LINES_MAX, 1, GALENA_LOG_LINES_MAX, 0, 0 },
  { "/log/beyond", 1, 150, 1, GALENA_LOG_LINES_MAX, 1, 50 },
  { "/log/slow", 1, 500, GALENA_LOG_WINDOW_MS, 500, 0, 0 },
  { "/log/two-windows", 1, 500, 50, 300, 2, 200 },
  { "/log/each-event-alone", 3, 150, 1, 300, 3, 150 },
  /* 63 events have their own row and write one line each; the other 137 share
     the last row, which admits 100 lines.  */
  { "/log/more-events-than-rows", 200, 1, 0, 163, 1, 37 },
};

static void
run_limit_case (gconstpointer data)
{
  const struct limit_case *test = data;
  struct galena_log_limit *limit = g_new0 (struct galena_log_limit, 1);
  struct galena_log_window ended;
  struct galena_clock now = { 0 };
  uint32_t written = 0;
  uint32_t reports = 0;
  uint32_t suppressed = 0;

  for (uint32_t line = 0; line <= test->lines; line++)
    {
      while (galena_log_limit_next_ended (limit, now, &ended))
        {
          reports++;
          suppressed += ended.suppressed;
        }
      if (line == test->lines)
        break;
      for (uint32_t i = 0; i < test->events; i++)
        {
          char *event = g_strdup_printf ("event-%u", i);
          written += galena_log_limit_try_acquire (limit, event, now);
          g_free (event);
        }
      now = galena_clock_add_ms (now, test->gap_ms);
      if (line + 1 == test->lines)
        now = galena_clock_add_ms (now, GALENA_LOG_WINDOW_MS);
    }
  g_assert_cmpuint (written, ==, test->written);
  g_assert_cmpuint (reports, ==, test->reports);
  g_assert_cmpuint (suppressed, ==, test->suppressed);
  g_free (limit);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    g_test_add_data_func (CASES[i].name, &CASES[i], run_limit_case);
  return g_test_run ();
}
