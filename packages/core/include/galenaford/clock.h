/* The common time type: a monotonic point in time in milliseconds.  */

#ifndef GALENAFORD_CLOCK_H
#define GALENAFORD_CLOCK_H

#include <stdbool.h>
#include <stdint.h>

struct galena_clock
{
  /* Milliseconds since an arbitrary start; never decreases.  */
  int64_t ms;
};

/* Returns the time DELAY_MS after START.  */
static inline struct galena_clock
galena_clock_add_ms (struct galena_clock start, int64_t delay_ms)
{
  return (struct galena_clock){ start.ms + delay_ms };
}

/* Returns whether NOW is at or after DUE.  */
static inline bool
galena_clock_reached (struct galena_clock now, struct galena_clock due)
{
  return now.ms >= due.ms;
}

/* Returns the milliseconds from EARLIER to LATER; negative when LATER is the
   earlier one.  */
static inline int64_t
galena_clock_elapsed_ms (struct galena_clock earlier,
                         struct galena_clock later)
{
  return later.ms - earlier.ms;
}

/* Returns the milliseconds from NOW until DUE, clamped to 0..INT32_MAX so
   that the result fits the timeout argument of poll and similar calls.  */
static inline uint32_t
galena_clock_remaining_ms (struct galena_clock now, struct galena_clock due)
{
  if (due.ms <= now.ms)
    return 0;
  return due.ms - now.ms < INT32_MAX ? (uint32_t)(due.ms - now.ms) : INT32_MAX;
}

#endif
