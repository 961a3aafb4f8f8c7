/* The rows of each view that operators may ask for.  */

#ifndef GALENAFORD_CONSOLE_VIEW_H
#define GALENAFORD_CONSOLE_VIEW_H

#include <galenaford/operator.h>

#include "collector.h"

/* How far the reply to one query has come.  */
struct view_cursor
{
  uint64_t view;
  /* Position in the view; of the audit trail, the last sequence sent.  */
  uint64_t position;
};

/* What the rows are made of.  */
struct view_source
{
  const struct collector *collector;
  const struct galena_config *config;
  struct galena_clock now;
};

/* Tells whether there is a view with the number VIEW.  */
bool view_exists (uint64_t view);

/* Stores the next row in *ROW and moves CURSOR past it; false at the end.  */
bool view_next (const struct view_source *source, struct view_cursor *cursor,
                struct galena_operator_row *row);

#endif
