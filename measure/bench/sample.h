/* Samples of one figure: their median and spread, and fits of a line.  */

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

/* Adds VALUE; values beyond SAMPLES_MAX are dropped.  */
void samples_add (struct samples *samples, double value);

double samples_median (const struct samples *samples);
double samples_min (const struct samples *samples);
double samples_max (const struct samples *samples);

/* A point of a measured curve.  */
struct point
{
  double x;
  double y;
};

/* y = base + slope * x, by least squares of the errors as shares of y.  */
struct line
{
  double base;
  double slope;
  /* Largest distance of a point from the line, as a share of its y.  */
  double error;
};

struct line line_fit (const struct point *points, uint32_t count);

/* Processor time of this thread, and of the process, in nanoseconds.  */
double thread_cpu_ns (void);
double process_cpu_ns (void);

/* Wall time in nanoseconds.  */
double wall_ns (void);

#endif
