/* Rows of one view, filtered and collected for printing.  */

#ifndef GALENAFORD_VIEW_H
#define GALENAFORD_VIEW_H

#include "sheet.h"
#include "target.h"

struct view_report
{
  const struct arguments *arguments;
  enum galena_operator_type type;
  /* Fields of the columns after that of the process.  */
  const struct galena_operator_field *fields[SHEET_COLUMNS_MAX];
  uint32_t count;
  /* Owned.  */
  struct sheet *sheet;
};

/* Prepares the sheet of the command in ARGUMENTS; faults are printed on
   standard error.  Errors: GALENA_ERR_INVALID, GALENA_ERR_MEMORY.  */
enum galena_result view_report_create (const struct arguments *arguments,
                                       struct view_report *report);

/* Adds a row of TARGET to the report at DATA; a target_reader.  */
void view_report_take (void *data, const struct target *target,
                       const struct galena_operator_row *row);

#endif
