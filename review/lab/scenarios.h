/* The scenarios.  */

#ifndef REVIEW_SCENARIOS_H
#define REVIEW_SCENARIOS_H

#include "lab.h"

enum outcome
{
  OUTCOME_HELD = 0,
  OUTCOME_BROKEN = 1,
  OUTCOME_NOT_RUN = 2
};

enum outcome scenario_foreign_entry (struct lab *lab);
enum outcome scenario_clock_step (struct lab *lab);
enum outcome scenario_search (struct lab *lab);
enum outcome scenario_same_port (struct lab *lab);
enum outcome scenario_large_values (struct lab *lab);
enum outcome scenario_address_again (struct lab *lab);

#endif
