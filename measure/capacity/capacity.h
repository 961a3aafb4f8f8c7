/* Costs that grow with a size, and single figures.  */

#ifndef GALENAFORD_TEST_CAPACITY_H
#define GALENAFORD_TEST_CAPACITY_H

#include <stddef.h>
#include <stdint.h>

enum
{
  COST_SIZES_MAX = 5
};

/* A cost that is measured at several sizes; a line is fitted to the
   measurements.  */
struct sized_cost
{
  const char *name;
  /* Singular name of the rows whose number is varied, and unit of the
     cost.  */
  const char *varied;
  const char *unit;
  /* Terminated by 0 when there are fewer than COST_SIZES_MAX.  */
  uint32_t sizes[COST_SIZES_MAX];
  /* Returns the cost at SIZE; negative when the measurement failed.  */
  double (*measure) (uint32_t size);
};

/* Tables of sized costs, each terminated by an empty row.  */
extern const struct sized_cost MEMORY_COSTS[];
extern const struct sized_cost AGENT_COSTS[];
extern const struct sized_cost ENTRY_COSTS[];
extern const struct sized_cost RECORD_COSTS[];

struct figure
{
  const char *name;
  const char *unit;
  /* Returns the figure; negative when the measurement failed.  */
  double (*measure) (void);
};

/* Terminated by an empty row.  */
extern const struct figure FIGURES[];

/* Returns the bytes that this process has allocated.  */
double allocated_bytes (void);

/* Returns the resident bytes of this process; 0 when they can't be read.  */
double resident_bytes (void);

#endif
