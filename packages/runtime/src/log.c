/* Log lines on standard output.  */

#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include <galenaford/log.h>
#include <galenaford/log_limit.h>
#include <galenaford/monotonic.h>

enum
{
  LINE_BYTES = 1024,
  NAME_BYTES = 64,
  /* The control character above the printable ones.  */
  DELETE = 127
};

static char process_name[NAME_BYTES] = "-";
/* Guards the limit, the count of dropped lines, and the writing.  */
static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;
static struct galena_log_limit limit;
/* Lines dropped since the last line that was written.  */
static unsigned dropped;

void
galena_log_set_process (const char *name)
{
  struct stat status;

  snprintf (process_name, sizeof process_name, "%s", name);
  /* A reader that stops reading must not block the process.  */
  if (fstat (STDOUT_FILENO, &status) == 0
      && (S_ISFIFO (status.st_mode) || S_ISSOCK (status.st_mode)))
    fcntl (STDOUT_FILENO, F_SETFL,
           fcntl (STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
}

/* Writes a line of SIZE bytes in one call; false when it was not written in
   full.  */
static bool
write_bytes (const char *line, size_t size)
{
  ssize_t written;

  do
    written = write (STDOUT_FILENO, line, size);
  while (written < 0 && errno == EINTR);
  return written == (ssize_t)size;
}

/* Writes a line, preceded by the number of dropped lines, if any.  */
static void
emit (const char *line, size_t size)
{
  char note[LINE_BYTES];
  int length;

  if (dropped > 0)
    {
      length = snprintf (note, sizeof note,
                         "<%d>event=log-untaken process=%s lines=%u\n",
                         LOG_WARNING, process_name, dropped);
      if (length < 0 || !write_bytes (note, (size_t)length))
        {
          dropped++;
          return;
        }
      dropped = 0;
    }
  if (!write_bytes (line, size))
    dropped++;
}

/* Replaces control characters, which would break the line or the terminal that
   shows it.  */
static void
clean_line (char *line)
{
  for (; *line != '\0'; line++)
    if ((unsigned char)*line < ' ' || *line == DELETE)
      *line = '?';
}

static void
write_line (int severity, const char *event, const char *format,
            va_list arguments)
{
  char line[LINE_BYTES];
  int used = snprintf (
      line, sizeof line, "<%d>event=%s process=%s time_ms=%llu ", severity,
      event, process_name, (unsigned long long)galena_unix_ms ());

  if (used < 0)
    return;
  vsnprintf (line + used, sizeof line - (size_t)used - 1, format, arguments);
  clean_line (line);
  used = (int)strlen (line);
  line[used] = '\n';
  emit (line, (size_t)used + 1);
}

static void write_pairs (int severity, const char *event, const char *format,
                         ...) __attribute__ ((format (printf, 3, 4)));

static void
write_pairs (int severity, const char *event, const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  write_line (severity, event, format, arguments);
  va_end (arguments);
}

static void
write_suppressed (struct galena_clock now)
{
  struct galena_log_window ended;

  while (galena_log_limit_next_ended (&limit, now, &ended))
    write_pairs (LOG_WARNING, "log-left-out", "of=%s lines=%u", ended.event,
                 ended.suppressed);
}

bool
galena_log_try_acquire (const char *event)
{
  struct galena_clock now = galena_monotonic_now ();
  bool admitted;

  pthread_mutex_lock (&log_lock);
  write_suppressed (now);
  admitted = galena_log_limit_try_acquire (&limit, event, now);
  pthread_mutex_unlock (&log_lock);
  return admitted;
}

void
galena_log_write_admitted (int severity, const char *event, const char *format,
                           ...)
{
  va_list arguments;

  va_start (arguments, format);
  pthread_mutex_lock (&log_lock);
  write_line (severity, event, format, arguments);
  pthread_mutex_unlock (&log_lock);
  va_end (arguments);
}

void
galena_log (int severity, const char *event, const char *format, ...)
{
  va_list arguments;

  if (!galena_log_try_acquire (event))
    return;
  va_start (arguments, format);
  pthread_mutex_lock (&log_lock);
  write_line (severity, event, format, arguments);
  pthread_mutex_unlock (&log_lock);
  va_end (arguments);
}

void
galena_log_report_suppressed (void)
{
  pthread_mutex_lock (&log_lock);
  write_suppressed (galena_monotonic_now ());
  pthread_mutex_unlock (&log_lock);
}
