/* Costs that grow with a size, and single figures.  */

#ifndef GALENAFORD_TEST_CAPACITY_H
#define GALENAFORD_TEST_CAPACITY_H

#include <stddef.h>
#include <stdint.h>

enum
{
  SLOPE_SIZES_MAX = 5
};

/* A cost measured at several sizes, through which a line is fitted.  */
struct slope
{
  const char *name;
  /* Name of what is varied, and unit of the cost.  */
  const char *per;
  const char *unit;
  /* Terminated by 0 when there are fewer than SLOPE_SIZES_MAX.  */
  uint32_t sizes[SLOPE_SIZES_MAX];
  /* Returns the cost at SIZE; negative when the measurement failed.  */
  double (*measure) (uint32_t size);
};

/* Tables of slopes, each terminated by an empty row.  */
extern const struct slope MEMORY_SLOPES[];
extern const struct slope AGENT_SLOPES[];
extern const struct slope ENTRY_SLOPES[];
extern const struct slope RECORD_SLOPES[];

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
