/* Rate limit of log lines per event, with a count of the suppressed lines.  */

#ifndef GALENAFORD_LOG_LIMIT_H
#define GALENAFORD_LOG_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include <galenaford/clock.h>

enum
{
  /* Most lines per event and window.  */
  GALENA_LOG_LINES_MAX = 100,
  GALENA_LOG_WINDOW_MS = 10000,
  /* Most events with a window of their own; all further events share the last
     one.  */
  GALENA_LOG_EVENTS_MAX = 64,
  GALENA_LOG_EVENT_BYTES = 32
};

/* Lines of one event in its current window.  */
struct galena_log_window
{
  char event[GALENA_LOG_EVENT_BYTES];
  struct galena_clock end;
  uint32_t written;
  uint32_t suppressed;
};

/* Zero-initialize it before use.  Not thread-safe.  */
struct galena_log_limit
{
  uint32_t count;
  struct galena_log_window windows[GALENA_LOG_EVENTS_MAX];
};

/* Returns whether a line of EVENT may be written at NOW, and counts it as
   written or suppressed.  */
bool galena_log_limit_try_acquire (struct galena_log_limit *limit,
                                   const char *event, struct galena_clock now);

/* Stores in *ENDED a window with suppressed lines that has ended by NOW, and
   starts a new window for its event; false when there is none.  */
bool galena_log_limit_next_ended (struct galena_log_limit *limit,
                                  struct galena_clock now,
                                  struct galena_log_window *ended);

#endif
