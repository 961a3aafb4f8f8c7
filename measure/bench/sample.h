/* Samples of a figure with their median and range, line fits, and clocks.  */

#ifndef GALENAFORD_TEST_SAMPLE_H
#define GALENAFORD_TEST_SAMPLE_H

#include <stdint.h>

enum
{
  SAMPLES_MAX = 32
};

struct samples
{
  double values[SAMPLES_MAX];
  uint32_t count;
};

/* Adds VALUE; ignores it when there are SAMPLES_MAX samples already.  */
void samples_add (struct samples *samples, double value);

/* Each returns 0 when there are no samples.  */
double samples_median (const struct samples *samples);
double samples_min (const struct samples *samples);
double samples_max (const struct samples *samples);

/* A point of a measured curve.  */
struct point
{
  double x;
  double y;
};

/* The line y = base + slope * x.  */
struct line
{
  double base;
  double slope;
  /* Largest relative error of a point's y.  */
  double error;
};

/* Fits a line to the points by least squares of their relative errors in y. */
struct line line_fit (const struct point *points, uint32_t count);

/* Processor time of the calling thread and of the process, in nanoseconds.  */
double thread_cpu_ns (void);
double process_cpu_ns (void);

/* Monotonic time, in nanoseconds.  */
double wall_ns (void);

#endif
