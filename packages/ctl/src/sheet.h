/* A sheet: rows of cells in named columns, printed as an aligned table or as
   JSON.  */

#ifndef GALENAFORD_SHEET_H
#define GALENAFORD_SHEET_H

#include <stdint.h>
#include <stdio.h>

#include <galenaford/operator.h>

enum
{
  SHEET_COLUMNS_MAX = 32
};

struct sheet;

/* Creates a sheet with COUNT columns of NAMES in *OUT; the caller owns it. The
   strings of NAMES are borrowed.  Errors: GALENA_ERR_INVALID,
   GALENA_ERR_MEMORY.  */
enum galena_result sheet_create (const char *const *names, uint32_t count,
                                 struct sheet **out);

/* Destroys SHEET; accepts NULL.  */
void sheet_destroy (struct sheet *sheet);

/* Appends a row of empty cells and selects it.
   Errors: GALENA_ERR_MEMORY.  */
enum galena_result sheet_add_row (struct sheet *sheet);

/* Set the cell in COLUMN of the selected row.  */
void sheet_set_text (struct sheet *sheet, uint32_t column, const char *text);
void sheet_set_number (struct sheet *sheet, uint32_t column, uint64_t number);

/* Selects ROW for the setters until the next row is added.  */
void sheet_select_row (struct sheet *sheet, size_t row);

/* Returns the number of rows.  */
size_t sheet_rows (const struct sheet *sheet);

/* Returns the number in COLUMN of ROW.  */
uint64_t sheet_number (const struct sheet *sheet, size_t row, uint32_t column);

/* Removes the last row unless it matches every filter "COLUMN=VALUE".  Filters
   that name no column are ignored.  */
void sheet_filter_row (struct sheet *sheet, const char *const *filters,
                       int count);

/* Sorts the rows by COLUMN: text ascending, numbers descending.  The sort is
   stable.  Errors: GALENA_ERR_MEMORY.  */
enum galena_result sheet_sort (struct sheet *sheet, uint32_t column);

/* Returns the index of the column NAME, or the number of columns.  */
uint32_t sheet_column (const struct sheet *sheet, const char *name);

/* Returns the first of FILTERS that names no column, or NULL.  */
const char *sheet_unknown_filter (const struct sheet *sheet,
                                  const char *const *filters, int count);

/* Prints the rows as an aligned table, with a header line if WITH_NAMES.  */
void sheet_print (const struct sheet *sheet, bool with_names, FILE *out);

/* Prints the rows as one JSON array of objects, or as one object per line if
   LINES.  */
void sheet_print_json (const struct sheet *sheet, bool lines, FILE *out);

/* Removes all rows.  */
void sheet_clear (struct sheet *sheet);

#endif
