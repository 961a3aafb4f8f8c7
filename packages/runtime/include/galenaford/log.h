/* Log lines: one line of key=value pairs per event on standard output,
   preceded by the syslog severity.  If standard output is a pipe or a socket
   that is full, the line is dropped and counted: logging never blocks.  */

#ifndef GALENAFORD_LOG_H
#define GALENAFORD_LOG_H

#include <stdbool.h>
#include <syslog.h>

/* Writes one line: "<SEVERITY>event=EVENT process=NAME time_ms=MS ...", where
   MS is the Unix time in milliseconds by the wall clock.  FORMAT gives the
   further pairs, as in "upstream=%u".  Lines of one event beyond the rate
   limit of log_limit.h are suppressed and counted.  Thread-safe.  */
void galena_log (int severity, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Returns whether the rate limit admits a line of EVENT now, and counts it as
   written or suppressed.  For callers for which it is expensive to format the
   pairs.  Thread-safe.  */
bool galena_log_try_acquire (const char *event);

/* Writes a line that galena_log_try_acquire has admitted.  Thread-safe.  */
void galena_log_write_admitted (int severity, const char *event,
                                const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Logs the number of suppressed lines of each window that has ended.
   Thread-safe.  */
void galena_log_report_suppressed (void);

/* Sets the process name for all later lines; copied.  Makes standard output
   non-blocking if it is a pipe or a socket.  */
void galena_log_set_process (const char *name);

#endif
