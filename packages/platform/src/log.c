/* Log lines on standard error.  */

#include <stdarg.h>
#include <stdio.h>
#include <unistd.h>

#include <galenaford/log.h>

enum
{
  LINE_BYTES = 1024,
  NAME_BYTES = 64
};

static char process_name[NAME_BYTES] = "-";

void
galena_log_name (const char *name)
{
  snprintf (process_name, sizeof process_name, "%s", name);
}

void
galena_log (int severity, const char *event, const char *format, ...)
{
  char line[LINE_BYTES];
  va_list arguments;
  int used;

  used = snprintf (line, sizeof line, "<%d>event=%s process=%s ", severity,
                   event, process_name);
  if (used < 0)
    return;
  va_start (arguments, format);
  vsnprintf (line + used, sizeof line - (size_t)used - 1, format, arguments);
  va_end (arguments);
  fprintf (stderr, "%s\n", line);
}
