/* Rate limit of log lines by event, with a count of what was left out.  */

#ifndef GALENAFORD_LOG_LIMIT_H
#define GALENAFORD_LOG_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include <galenaford/clock.h>

enum
{
  /* Most lines of one event in one window.  */
  GALENA_LOG_LINES_MAX = 100,
  GALENA_LOG_WINDOW_MS = 10000,
  /* Most events told apart; all further ones share a row.  */
  GALENA_LOG_EVENTS_MAX = 64,
  GALENA_LOG_EVENT_BYTES = 32
};

/* Lines of one event in its present window.  */
struct galena_log_window
{
  char event[GALENA_LOG_EVENT_BYTES];
  struct galena_clock end;
  uint32_t written;
  uint32_t suppressed;
};

/* Zero it before use; one thread uses it at a time.  */
struct galena_log_limit
{
  uint32_t count;
  struct galena_log_window windows[GALENA_LOG_EVENTS_MAX];
};

/* Tells whether a line of EVENT may be written at NOW, and counts it.  */
bool galena_log_limit_try_acquire (struct galena_log_limit *limit,
                                   const char *event, struct galena_clock now);

/* Stores in *ENDED a window that has ended at NOW with lines left out, and
   begins it anew; false when there is none.  */
bool galena_log_limit_next_ended (struct galena_log_limit *limit,
                                  struct galena_clock now,
                                  struct galena_log_window *ended);

#endif
