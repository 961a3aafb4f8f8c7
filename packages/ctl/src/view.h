/* The rows of one view, collected and filtered for printing.  */

#ifndef GALENAFORD_VIEW_H
#define GALENAFORD_VIEW_H

#include "sheet.h"
#include "target.h"

struct view_report
{
  const struct arguments *arguments;
  enum galena_operator_type type;
  /* Fields shown in the columns after "process".  */
  const struct galena_operator_field *fields[SHEET_COLUMNS_MAX];
  uint32_t count;
  /* Owned.  */
  struct sheet *sheet;
};

/* Creates the sheet for the command in ARGUMENTS.  Errors are explained on
   standard error.  Errors: GALENA_ERR_INVALID, GALENA_ERR_MEMORY.  */
enum galena_result view_report_create (const struct arguments *arguments,
                                       struct view_report *report);

/* Appends a row of TARGET to the report at DATA unless the filters exclude it;
   a target_row_callback.  */
void view_report_add (void *data, const struct target *target,
                      const struct galena_operator_row *row);

#endif
