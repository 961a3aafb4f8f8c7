/* Slopes: how one cost grows with one size.  */

#ifndef GALENAFORD_TEST_CAPACITY_H
#define GALENAFORD_TEST_CAPACITY_H

#include <stddef.h>
#include <stdint.h>

enum
{
  SLOPE_SIZES_MAX = 5
};

struct slope
{
  const char *name;
  /* What is varied, and the unit of what is measured.  */
  const char *per;
  const char *unit;
  /* Ends with 0 when there are fewer than SLOPE_SIZES_MAX.  */
  uint32_t sizes[SLOPE_SIZES_MAX];
  /* Returns the cost at SIZE; negative when it can't be measured.  */
  double (*measure) (uint32_t size);
};

/* Tables of slopes, each ending with an empty row.  */
extern const struct slope MEMORY_SLOPES[];
extern const struct slope AGENT_SLOPES[];
extern const struct slope ENTRY_SLOPES[];
extern const struct slope RECORD_SLOPES[];

struct figure
{
  const char *name;
  const char *unit;
  /* Negative when it can't be measured.  */
  double (*measure) (void);
};

/* Ends with an empty row.  */
extern const struct figure FIGURES[];

/* Bytes allocated by this process.  */
double allocated_bytes (void);

/* Bytes of memory that this process has touched.  */
double resident_bytes (void);

#endif
