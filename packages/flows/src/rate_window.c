/* A window that slides over the milliseconds: those that leave it are cleared
   when they are reused.  */

#include <string.h>

#include <galenaford/rate_window.h>

/* Moves the end of WINDOW to NOW; a time before its end does not move it.  */
static void
advance (struct galena_rate_window *window, struct galena_clock now)
{
  if (now.ms - window->newest_ms >= GALENA_RATE_WINDOW_MS)
    {
      memset (window->counts, 0, sizeof window->counts);
      window->total = 0;
      window->newest_ms = now.ms;
    }
  while (window->newest_ms < now.ms)
    {
      uint32_t *count
          = &window->counts[++window->newest_ms % GALENA_RATE_WINDOW_MS];

      window->total -= *count;
      *count = 0;
    }
}

void
galena_rate_window_add (struct galena_rate_window *window,
                        struct galena_clock now)
{
  advance (window, now);
  window->counts[window->newest_ms % GALENA_RATE_WINDOW_MS]++;
  window->total++;
}

uint32_t
galena_rate_window_count (struct galena_rate_window *window,
                          struct galena_clock now)
{
  advance (window, now);
  return window->total;
}
