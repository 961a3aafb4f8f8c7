/* The system clocks: CLOCK_BOOTTIME, which also counts the time for which the
   instance was suspended, and the wall clock.  */

#include <time.h>

#include <galenaford/monotonic.h>

enum
{
  MS_PER_S = 1000,
  NS_PER_MS = 1000000
};

static int64_t
clock_ms (clockid_t clock)
{
  struct timespec time;

  clock_gettime (clock, &time);
  return (int64_t)time.tv_sec * MS_PER_S + time.tv_nsec / NS_PER_MS;
}

struct galena_clock
galena_monotonic_now (void)
{
  return (struct galena_clock){ clock_ms (CLOCK_BOOTTIME) };
}

uint64_t
galena_unix_ms (void)
{
  return (uint64_t)clock_ms (CLOCK_REALTIME);
}
