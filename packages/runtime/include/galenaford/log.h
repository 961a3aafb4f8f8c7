/* Log lines: one line of key=value pairs per event on standard output, with
   the severity of syslog in front.  A line that a pipe has no room for is left
   out and counted: writing never waits for a reader.  */

#ifndef GALENAFORD_LOG_H
#define GALENAFORD_LOG_H

#include <stdbool.h>
#include <syslog.h>

/* Writes one line: "<severity>event=EVENT process=NAME time_ms=MS ...", MS the
   Unix milliseconds by the instance's time of day.  FORMAT gives
   the further pairs, as in "upstream=%u".  Lines of one event beyond the limit
   of log_limit.h are left out and counted.  Any thread may call it.  */
void galena_log (int severity, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Tells whether a line of EVENT may be written now, and counts it as written
   or left out; for callers to whom the pairs cost much.  */
bool galena_log_try_acquire (const char *event);

/* Writes a line that galena_log_try_acquire has let through.  */
void galena_log_write_acquired (int severity, const char *event,
                                const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Writes how many lines were left out of windows that have ended.  */
void galena_log_report_suppressed (void);

/* Sets the name of the process for all later lines; copied.  A pipe at
   standard output is set not to block.  */
void galena_log_set_process (const char *name);

#endif
