/* The scenarios of the review.  */

#ifndef REVIEW_SCENARIOS_H
#define REVIEW_SCENARIOS_H

#include "lab2.h"

/* Something that happens AT_MS after the start.  */
struct step
{
  int64_t at_ms;
  /* Left out with TROUBLE=0.  */
  bool is_trouble;
  void (*run) (struct lab *lab, uint32_t index);
  uint32_t index;
};

struct scenario
{
  const char *name;
  uint32_t entries;
  uint32_t hosts;
  uint32_t callers;
  const char *contracts;
  int64_t length_ms;
  const struct step *steps;
  uint32_t step_count;
  /* Returns 1 if the rule was broken, 0 if it held, 2 if nothing can be
     said.  */
  int (*judge) (const struct lab *lab);
};

const struct scenario *find_scenario (const char *name);

#endif
