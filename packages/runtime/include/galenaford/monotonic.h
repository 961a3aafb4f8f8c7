/* The monotonic clock and the wall clock of the instance.  */

#ifndef GALENAFORD_MONOTONIC_H
#define GALENAFORD_MONOTONIC_H

#include <galenaford/clock.h>

/* Returns the monotonic time, which also counts the time for which the
   instance was suspended.  Never fails.  */
struct galena_clock galena_monotonic_now (void);

/* Returns the Unix time in milliseconds by the wall clock, which can jump.  */
uint64_t galena_unix_ms (void);

#endif
