/* Pseudo-random numbers: the seeded hash of a counter.  */

#include <xxhash.h>

#include <galenaford/random.h>

uint64_t
galena_random_next (struct galena_random *random)
{
  random->counter++;
  return XXH3_64bits_withSeed (&random->counter, sizeof random->counter,
                               random->seed);
}

uint32_t
galena_random_below (struct galena_random *random, uint32_t limit)
{
  return (uint32_t)(((galena_random_next (random) >> 32) * limit) >> 32);
}

double
galena_random_unit (struct galena_random *random)
{
  return (double)(galena_random_next (random) >> 11) * 0x1.0p-53;
}
