/* One rate limit window per event.  */

#include <stdio.h>
#include <string.h>

#include <galenaford/log_limit.h>

static void
begin_window (struct galena_log_window *window, struct galena_clock now)
{
  window->end = galena_clock_add_ms (now, GALENA_LOG_WINDOW_MS);
  window->written = 0;
  window->suppressed = 0;
}

static struct galena_log_window *
find_window (struct galena_log_limit *limit, const char *event,
             struct galena_clock now)
{
  struct galena_log_window *window;

  for (uint32_t i = 0; i < limit->count; i++)
    if (strncmp (limit->windows[i].event, event, GALENA_LOG_EVENT_BYTES - 1)
        == 0)
      return &limit->windows[i];
  if (limit->count == GALENA_LOG_EVENTS_MAX)
    return &limit->windows[GALENA_LOG_EVENTS_MAX - 1];
  window = &limit->windows[limit->count++];
  snprintf (window->event, sizeof window->event, "%s", event);
  begin_window (window, now);
  return window;
}

bool
galena_log_limit_try_acquire (struct galena_log_limit *limit,
                              const char *event, struct galena_clock now)
{
  struct galena_log_window *window = find_window (limit, event, now);

  /* A window with suppressed lines restarts only in
     galena_log_limit_next_ended, which reports them first.  */
  if (window->suppressed == 0 && galena_clock_reached (now, window->end))
    begin_window (window, now);
  if (window->written < GALENA_LOG_LINES_MAX)
    {
      window->written++;
      return true;
    }
  window->suppressed++;
  return false;
}

bool
galena_log_limit_next_ended (struct galena_log_limit *limit,
                             struct galena_clock now,
                             struct galena_log_window *ended)
{
  for (uint32_t i = 0; i < limit->count; i++)
    {
      struct galena_log_window *window = &limit->windows[i];

      if (window->suppressed == 0 || !galena_clock_reached (now, window->end))
        continue;
      *ended = *window;
      begin_window (window, now);
      return true;
    }
  return false;
}
