/* Signals that reach galenaford while it starts: SIGHUP must not end it.  The
   settings file is a named pipe, so that the signal arrives while the process
   waits to read its settings.  */

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>

static const char SETTINGS[]
    = "[process]\nname = e\nrole = entry\nfront = packets\n"
      "[packets]\naddress = 127.0.0.1:1\nstatus = 127.0.0.1:2\n"
      "[platform]\nurl = http://127.0.0.1:8500\n";

struct signal_case
{
  const char *name;
  int number;
  /* Whether the process survives and checks its settings.  */
  bool survives;
};

static const struct signal_case CASES[] = {
  { "/signals/reload-at-start", SIGHUP, true },
  /* Shows that the test notices a process that ends.  */
  { "/signals/kill-at-start", SIGKILL, false },
};

static pid_t
start (const char *settings)
{
  pid_t pid = fork ();

  if (pid == 0)
    {
      execl (GALENAFORD_PROGRAM, GALENAFORD_PROGRAM, "--check", "--settings",
             settings, (char *)NULL);
      _exit (127);
    }
  return pid;
}

static void
run_signal_case (gconstpointer data)
{
  const struct signal_case *test = data;
  char *folder = g_dir_make_tmp ("signals-XXXXXX", NULL);
  char *path = g_build_filename (folder, "settings.ini", NULL);
  pid_t pid;
  int status;
  int fd;

  g_assert_cmpint (mkfifo (path, 0600), ==, 0);
  pid = start (path);
  g_assert_cmpint (pid, >, 0);
  /* Returns once the process has opened the pipe as well.  */
  fd = open (path, O_WRONLY);
  g_assert_cmpint (fd, >=, 0);
  signal (SIGPIPE, SIG_IGN);
  g_assert_cmpint (kill (pid, test->number), ==, 0);
  (void)!write (fd, SETTINGS, strlen (SETTINGS));
  close (fd);
  while (waitpid (pid, &status, 0) < 0 && errno == EINTR)
    ;
  g_assert_cmpint (WIFEXITED (status) && WEXITSTATUS (status) == EXIT_SUCCESS,
                   ==, test->survives);
  g_unlink (path);
  g_rmdir (folder);
  g_free (path);
  g_free (folder);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    g_test_add_data_func (CASES[i].name, &CASES[i], run_signal_case);
  return g_test_run ();
}
