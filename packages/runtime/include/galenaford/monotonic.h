/* The monotonic clock of the instance as a galena_clock.  */

#ifndef GALENAFORD_MONOTONIC_H
#define GALENAFORD_MONOTONIC_H

#include <galenaford/clock.h>

/* Returns the present instant.  Never fails.  */
struct galena_clock galena_monotonic_now (void);

/* Returns the Unix milliseconds by the instance's time of day, which may
   jump.  */
uint64_t galena_unix_ms (void);

#endif
