/* Log lines: one line of key=value pairs per event on standard error, with
   the severity of syslog in front.  */

#ifndef GALENAFORD_LOG_H
#define GALENAFORD_LOG_H

#include <syslog.h>

/* Writes one line: "<severity>event=EVENT process=NAME ...".  FORMAT gives
   the further pairs, as in "upstream=%u".  Any thread may call it.  */
void galena_log (int severity, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Sets the name of the process for all later lines; copied.  */
void galena_log_name (const char *name);

#endif
