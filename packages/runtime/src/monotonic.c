/* Reads the machine's clock; includes the time that it was suspended.  */

#include <time.h>

#include <galenaford/monotonic.h>

struct galena_clock
galena_monotonic_now (void)
{
  struct timespec time;

  clock_gettime (CLOCK_BOOTTIME, &time);
  return (struct galena_clock){ (int64_t)time.tv_sec * 1000
                                + time.tv_nsec / 1000000 };
}
