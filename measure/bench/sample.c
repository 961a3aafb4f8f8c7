/* Medians, ranges, line fits, and clocks.  */

#include <math.h>
#include <stdlib.h>
#include <time.h>

#include "sample.h"

void
samples_add (struct samples *samples, double value)
{
  if (samples->count < SAMPLES_MAX)
    samples->values[samples->count++] = value;
}

static int
compare_values (const void *left, const void *right)
{
  double a = *(const double *)left;
  double b = *(const double *)right;

  return (a > b) - (a < b);
}

/* Returns the quantile SHARE of the samples, from 0 to 1.  */
static double
quantile (const struct samples *samples, double share)
{
  struct samples sorted = *samples;

  if (sorted.count == 0)
    return 0;
  qsort (sorted.values, sorted.count, sizeof sorted.values[0], compare_values);
  return sorted.values[(uint32_t)(share * (sorted.count - 1))];
}

double
samples_median (const struct samples *samples)
{
  return quantile (samples, 0.5);
}

double
samples_min (const struct samples *samples)
{
  return quantile (samples, 0);
}

double
samples_max (const struct samples *samples)
{
  return quantile (samples, 1);
}

static double
largest_error (const struct line *line, const struct point *points,
               uint32_t count)
{
  double largest = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      double fitted = line->base + line->slope * points[i].x;
      double error = fabs (fitted - points[i].y);

      if (points[i].y != 0 && error / fabs (points[i].y) > largest)
        largest = error / fabs (points[i].y);
    }
  return largest;
}

struct line
line_fit (const struct point *points, uint32_t count)
{
  double sum = 0;
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  struct line line = { 0 };
  double determinant;

  for (uint32_t i = 0; i < count; i++)
    {
      double weight = 1 / (points[i].y * points[i].y);

      sum += weight;
      sum_x += weight * points[i].x;
      sum_y += weight * points[i].y;
      sum_xx += weight * points[i].x * points[i].x;
      sum_xy += weight * points[i].x * points[i].y;
    }
  determinant = sum * sum_xx - sum_x * sum_x;
  if (determinant != 0)
    line.slope = (sum * sum_xy - sum_x * sum_y) / determinant;
  if (sum > 0)
    line.base = (sum_y - line.slope * sum_x) / sum;
  line.error = largest_error (&line, points, count);
  return line;
}

static double
read_clock_ns (clockid_t clock)
{
  struct timespec time;

  clock_gettime (clock, &time);
  return (double)time.tv_sec * 1e9 + (double)time.tv_nsec;
}

double
thread_cpu_ns (void)
{
  return read_clock_ns (CLOCK_THREAD_CPUTIME_ID);
}

double
process_cpu_ns (void)
{
  return read_clock_ns (CLOCK_PROCESS_CPUTIME_ID);
}

double
wall_ns (void)
{
  return read_clock_ns (CLOCK_MONOTONIC);
}
