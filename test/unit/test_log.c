/* Logging to a pipe that is full: writing does not block, and the dropped
   lines are counted.  A line stays one line, whatever its values hold.  */

#include <fcntl.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include <galenaford/log.h>

enum
{
  PIPE_BYTES = 4096,
  TEXT_BYTES = 32 * 1024,
  NAME_BYTES = 32
};

struct log_case
{
  const char *name;
  /* Lines of about 100 bytes that are written before the pipe is read.  */
  uint32_t lines;
  /* Whether some of them are dropped.  */
  bool dropped;
};

static const struct log_case CASES[] = {
  { "/log/room", 10, false },
  { "/log/no-room", 80, true },
};

/* Reads the contents of the pipe into TEXT.  */
static void
drain (int fd, char *text)
{
  ssize_t size = read (fd, text, TEXT_BYTES - 1);

  text[size > 0 ? size : 0] = '\0';
}

static void
run_log_case (gconstpointer data)
{
  const struct log_case *test = data;
  char *first = g_malloc0 (TEXT_BYTES);
  char *second = g_malloc0 (TEXT_BYTES);
  char event[NAME_BYTES];
  int saved_stdout = dup (STDOUT_FILENO);
  int ends[2];

  g_assert_cmpint (pipe (ends), ==, 0);
  fcntl (ends[1], F_SETPIPE_SZ, PIPE_BYTES);
  fcntl (ends[0], F_SETFL, O_NONBLOCK);
  fflush (stdout);
  dup2 (ends[1], STDOUT_FILENO);
  galena_log_set_process ("test");
  g_snprintf (event, sizeof event, "%s", strrchr (test->name, '/') + 1);
  for (uint32_t i = 0; i < test->lines; i++)
    galena_log (LOG_INFO, event, "line=%u filler=%070u", i, i);
  drain (ends[0], first);
  galena_log (LOG_INFO, event, "line=%u", test->lines);
  drain (ends[0], second);
  dup2 (saved_stdout, STDOUT_FILENO);
  close (saved_stdout);
  close (ends[0]);
  close (ends[1]);
  g_assert_nonnull (strstr (first, "line=0 "));
  g_assert_cmpint (strstr (second, "event=log-untaken") != NULL, ==,
                   test->dropped);
  /* No line is truncated.  */
  g_assert_true (g_str_has_suffix (first, "\n"));
  g_free (first);
  g_free (second);
}

/* A value with a line break would forge a second event.  */
static void
test_control_characters (void)
{
  char *text = g_malloc0 (TEXT_BYTES);
  int saved_stdout = dup (STDOUT_FILENO);
  int ends[2];

  g_assert_cmpint (pipe (ends), ==, 0);
  fcntl (ends[0], F_SETFL, O_NONBLOCK);
  fflush (stdout);
  dup2 (ends[1], STDOUT_FILENO);
  galena_log (LOG_INFO, "control", "key=%s", "a\n<1>event=b\r\x1b[2J\x7f");
  drain (ends[0], text);
  dup2 (saved_stdout, STDOUT_FILENO);
  close (saved_stdout);
  close (ends[0]);
  close (ends[1]);
  g_assert_true (g_str_has_suffix (text, " key=a?<1>event=b??[2J?\n"));
  g_assert_cmpuint (strcspn (text, "\n") + 1, ==, strlen (text));
  g_free (text);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    g_test_add_data_func (CASES[i].name, &CASES[i], run_log_case);
  g_test_add_func ("/log/control-characters", test_control_characters);
  return g_test_run ();
}
