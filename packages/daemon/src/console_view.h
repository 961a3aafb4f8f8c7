/* Rows of the views that operators can query.  */

#ifndef GALENAFORD_CONSOLE_VIEW_H
#define GALENAFORD_CONSOLE_VIEW_H

#include <galenaford/operator.h>

#include "collector.h"

/* Progress of the reply to one query.  */
struct view_cursor
{
  uint64_t view;
  /* Index of the next row; in the audit trail, the sequence number of the last
     row sent.  */
  uint64_t position;
};

/* Data that the rows are made from; borrowed.  */
struct view_source
{
  const struct collector *collector;
  const struct galena_config *config;
  struct galena_clock now;
};

/* Returns whether VIEW is the number of a view.  */
bool view_exists (uint64_t view);

/* Stores the next row of CURSOR's view, which exists, in *ROW and moves CURSOR
   past it; false at the end of the view.  */
bool view_next (const struct view_source *source, struct view_cursor *cursor,
                struct galena_operator_row *row);

#endif
