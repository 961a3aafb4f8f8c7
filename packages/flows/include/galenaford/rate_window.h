/* Counts events of the last second, exactly, in bounded memory.  */

#ifndef GALENAFORD_RATE_WINDOW_H
#define GALENAFORD_RATE_WINDOW_H

#include <stdint.h>

#include <galenaford/clock.h>

enum
{
  /* Length of the window.  Two events whose times in whole milliseconds differ
     by 1000 may lie within one second, so that it has one more.  */
  GALENA_RATE_WINDOW_MS = 1001
};

/* A ring with the number of events in each millisecond; a zeroed one is
   empty.  */
struct galena_rate_window
{
  /* Time of the newest millisecond in the ring.  */
  int64_t newest_ms;
  /* Sum of COUNTS.  */
  uint32_t total;
  uint32_t counts[GALENA_RATE_WINDOW_MS];
};

/* Adds an event at NOW.  */
void galena_rate_window_add (struct galena_rate_window *window,
                             struct galena_clock now);

/* Returns the number of events in the window that ends at NOW.  */
uint32_t galena_rate_window_count (struct galena_rate_window *window,
                                   struct galena_clock now);

#endif
