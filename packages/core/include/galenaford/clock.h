/* The project's one time type: a monotonic instant in milliseconds.  */

#ifndef GALENAFORD_CLOCK_H
#define GALENAFORD_CLOCK_H

#include <stdbool.h>
#include <stdint.h>

struct galena_clock
{
  /* Milliseconds since an arbitrary start; never goes back.  */
  int64_t ms;
};

/* Returns CLOCK moved on by DELAY_MS.  */
static inline struct galena_clock
galena_clock_after (struct galena_clock clock, int64_t delay_ms)
{
  return (struct galena_clock){ clock.ms + delay_ms };
}

/* Tells whether DUE has been reached at NOW.  */
static inline bool
galena_clock_reached (struct galena_clock now, struct galena_clock due)
{
  return now.ms >= due.ms;
}

/* Returns the milliseconds from EARLIER to LATER; may be negative.  */
static inline int64_t
galena_clock_between (struct galena_clock earlier, struct galena_clock later)
{
  return later.ms - earlier.ms;
}

/* Returns the milliseconds left at NOW until DUE, at least 0 and at most
   INT32_MAX, so that it fits the time-out of a wait.  */
static inline uint32_t
galena_clock_left (struct galena_clock now, struct galena_clock due)
{
  if (due.ms <= now.ms)
    return 0;
  return due.ms - now.ms < INT32_MAX ? (uint32_t)(due.ms - now.ms) : INT32_MAX;
}

#endif
