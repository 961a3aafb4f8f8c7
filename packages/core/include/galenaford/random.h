/* A seeded pseudo-random number generator; the same seed gives the same
   numbers on every machine.  */

#ifndef GALENAFORD_RANDOM_H
#define GALENAFORD_RANDOM_H

#include <stdint.h>

struct galena_random
{
  uint64_t seed;
  uint64_t counter;
};

/* Returns the next 64-bit number of RANDOM.  */
uint64_t galena_random_next (struct galena_random *random);

/* Returns the next number of RANDOM in [0, LIMIT); 0 when LIMIT is 0.  */
uint32_t galena_random_below (struct galena_random *random, uint32_t limit);

/* Returns the next number of RANDOM in [0, 1).  */
double galena_random_unit (struct galena_random *random);

#endif
