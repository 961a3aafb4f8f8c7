/* Measures the figures and the sized costs whose names contain NAME, or all of
   them, and prints them.  A sized cost is printed with its fitted line.
   Usage: capacity [NAME]  */

#include <malloc.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "capacity.h"
#include "sample.h"

static const struct sized_cost *const TABLES[]
    = { MEMORY_COSTS, AGENT_COSTS, ENTRY_COSTS, RECORD_COSTS };

double
allocated_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return (double)(info.uordblks + info.hblkhd);
}

double
resident_bytes (void)
{
  FILE *file = fopen ("/proc/self/statm", "r");
  long size = 0;
  long resident = 0;

  if (file == NULL)
    return 0;
  if (fscanf (file, "%ld %ld", &size, &resident) != 2)
    resident = 0;
  fclose (file);
  return (double)resident * (double)sysconf (_SC_PAGESIZE);
}

static bool
run_cost (const struct sized_cost *sized)
{
  struct point points[COST_SIZES_MAX];
  struct line line;
  uint32_t count = 0;

  printf ("slope: %s unit=%s points=", sized->name, sized->unit);
  while (count < COST_SIZES_MAX && sized->sizes[count] != 0)
    {
      uint32_t size = sized->sizes[count];
      double cost = sized->measure (size);

      if (cost < 0)
        return false;
      points[count] = (struct point){ size, cost };
      printf ("%s%u:%.0f", count == 0 ? "" : ",", size, cost);
      count++;
    }
  line = line_fit (points, count);
  printf (" base=%.0f slope=%.4g per %s error=%.0f%%\n", line.base, line.slope,
          sized->varied, line.error * 100);
  return true;
}

static bool
run_figure (const struct figure *figure)
{
  double value = figure->measure ();

  printf ("figure: %s %s=%.0f\n", figure->name, figure->unit, value);
  return value >= 0;
}

static bool
is_chosen (const char *name, int argc, char **argv)
{
  return argc < 2 || strstr (name, argv[1]) != NULL;
}

int
main (int argc, char **argv)
{
  bool good = true;

  setvbuf (stdout, NULL, _IOLBF, 0);
  /* Return freed memory to the system at once, so that the measurement of a
     size does not reuse the memory of an earlier one.  */
  mallopt (M_MMAP_THRESHOLD, 64 * 1024);
  mallopt (M_TRIM_THRESHOLD, 64 * 1024);
  for (const struct figure *figure = FIGURES; figure->name != NULL; figure++)
    if (is_chosen (figure->name, argc, argv))
      good &= run_figure (figure);
  for (size_t i = 0; i < sizeof TABLES / sizeof TABLES[0]; i++)
    for (const struct sized_cost *sized = TABLES[i]; sized->name != NULL;
         sized++)
      if (is_chosen (sized->name, argc, argv))
        good &= run_cost (sized);
  return good ? EXIT_SUCCESS : EXIT_FAILURE;
}
