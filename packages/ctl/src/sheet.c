/* Sheets: storage, sorting and printing of rows of cells.  */

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "sheet.h"

enum
{
  INITIAL_CAPACITY = 64,
  CELL_BYTES = GALENA_NAME_BYTES
};

struct cell
{
  bool is_text;
  uint64_t number;
  char text[CELL_BYTES];
};

struct sheet
{
  const char *names[SHEET_COLUMNS_MAX];
  uint32_t columns;
  /* Cells in row-major order; owned.  */
  struct cell *cells;
  size_t rows;
  size_t capacity;
  /* Row that the setters write to.  */
  size_t selected;
};

enum galena_result
sheet_create (const char *const *names, uint32_t count, struct sheet **out)
{
  struct sheet *sheet;

  if (count == 0 || count > SHEET_COLUMNS_MAX)
    return GALENA_ERR_INVALID;
  sheet = calloc (1, sizeof *sheet);
  if (sheet == NULL)
    return GALENA_ERR_MEMORY;
  memcpy (sheet->names, names, count * sizeof *names);
  sheet->columns = count;
  *out = sheet;
  return GALENA_OK;
}

void
sheet_destroy (struct sheet *sheet)
{
  if (sheet == NULL)
    return;
  free (sheet->cells);
  free (sheet);
}

static struct cell *
cell_at (const struct sheet *sheet, size_t row, uint32_t column)
{
  return &sheet->cells[row * sheet->columns + column];
}

enum galena_result
sheet_add_row (struct sheet *sheet)
{
  size_t capacity
      = sheet->capacity == 0 ? INITIAL_CAPACITY : 2 * sheet->capacity;
  struct cell *cells;

  if (sheet->rows == sheet->capacity)
    {
      cells = realloc (sheet->cells,
                       capacity * sheet->columns * sizeof *sheet->cells);
      if (cells == NULL)
        return GALENA_ERR_MEMORY;
      sheet->cells = cells;
      sheet->capacity = capacity;
    }
  memset (cell_at (sheet, sheet->rows, 0), 0,
          sheet->columns * sizeof *sheet->cells);
  sheet->selected = sheet->rows++;
  return GALENA_OK;
}

void
sheet_select_row (struct sheet *sheet, size_t row)
{
  sheet->selected = row;
}

size_t
sheet_rows (const struct sheet *sheet)
{
  return sheet->rows;
}

uint64_t
sheet_number (const struct sheet *sheet, size_t row, uint32_t column)
{
  return cell_at (sheet, row, column)->number;
}

void
sheet_set_text (struct sheet *sheet, uint32_t column, const char *text)
{
  struct cell *cell = cell_at (sheet, sheet->selected, column);

  cell->is_text = true;
  snprintf (cell->text, sizeof cell->text, "%s", text);
}

void
sheet_set_number (struct sheet *sheet, uint32_t column, uint64_t number)
{
  struct cell *cell = cell_at (sheet, sheet->selected, column);

  cell->number = number;
  snprintf (cell->text, sizeof cell->text, "%" PRIu64, number);
}

/* Returns the index of the column that FILTER, "COLUMN" or "COLUMN=VALUE",
   names, or the number of columns.  */
static uint32_t
column_of (const struct sheet *sheet, const char *filter)
{
  size_t length = strcspn (filter, "=");
  uint32_t column = 0;

  while (column < sheet->columns
         && (strlen (sheet->names[column]) != length
             || strncmp (sheet->names[column], filter, length) != 0))
    column++;
  return column;
}

void
sheet_filter_row (struct sheet *sheet, const char *const *filters, int count)
{
  for (int i = 0; i < count; i++)
    {
      uint32_t column = column_of (sheet, filters[i]);
      const char *value = strchr (filters[i], '=') + 1;

      if (column == sheet->columns
          || strcmp (cell_at (sheet, sheet->rows - 1, column)->text, value)
                 == 0)
        continue;
      sheet->rows--;
      return;
    }
}

const char *
sheet_unknown_filter (const struct sheet *sheet, const char *const *filters,
                      int count)
{
  for (int i = 0; i < count; i++)
    if (column_of (sheet, filters[i]) == sheet->columns)
      return filters[i];
  return NULL;
}

uint32_t
sheet_column (const struct sheet *sheet, const char *name)
{
  return column_of (sheet, name);
}

/* The cell that a row is sorted by, and the row's position before.  */
struct sort_key
{
  const struct cell *cell;
  size_t row;
};

static int
compare_keys (const void *left, const void *right)
{
  const struct sort_key *a = left;
  const struct sort_key *b = right;
  int order = 0;

  if (a->cell->is_text)
    order = strcmp (a->cell->text, b->cell->text);
  else if (a->cell->number != b->cell->number)
    order = a->cell->number > b->cell->number ? -1 : 1;
  return order != 0 ? order : (a->row > b->row) - (a->row < b->row);
}

enum galena_result
sheet_sort (struct sheet *sheet, uint32_t column)
{
  size_t row_size = sheet->columns * sizeof *sheet->cells;
  struct sort_key *keys;
  struct cell *cells;

  if (sheet->rows == 0)
    return GALENA_OK;
  keys = calloc (sheet->rows, sizeof *keys);
  cells = malloc (sheet->capacity * row_size);
  if (keys == NULL || cells == NULL)
    {
      free (keys);
      free (cells);
      return GALENA_ERR_MEMORY;
    }
  for (size_t row = 0; row < sheet->rows; row++)
    keys[row] = (struct sort_key){ cell_at (sheet, row, column), row };
  qsort (keys, sheet->rows, sizeof *keys, compare_keys);
  for (size_t row = 0; row < sheet->rows; row++)
    memcpy (cells + row * sheet->columns, cell_at (sheet, keys[row].row, 0),
            row_size);
  free (keys);
  free (sheet->cells);
  sheet->cells = cells;
  return GALENA_OK;
}

static int
width_of (const struct sheet *sheet, uint32_t column)
{
  size_t width = strlen (sheet->names[column]);

  for (size_t row = 0; row < sheet->rows; row++)
    {
      size_t length = strlen (cell_at (sheet, row, column)->text);
      if (length > width)
        width = length;
    }
  return (int)width;
}

static void
print_cell (FILE *out, const char *text, int width, bool left)
{
  fprintf (out, left ? "%-*s  " : "%*s  ", width, text);
}

static void
print_names (const struct sheet *sheet, const int *widths, FILE *out)
{
  for (uint32_t column = 0; column < sheet->columns; column++)
    print_cell (out, sheet->names[column], widths[column],
                sheet->rows == 0 || cell_at (sheet, 0, column)->is_text);
  fputc ('\n', out);
}

void
sheet_print (const struct sheet *sheet, bool with_names, FILE *out)
{
  int widths[SHEET_COLUMNS_MAX];

  for (uint32_t column = 0; column < sheet->columns; column++)
    widths[column] = width_of (sheet, column);
  if (with_names)
    print_names (sheet, widths, out);
  for (size_t row = 0; row < sheet->rows; row++)
    {
      for (uint32_t column = 0; column < sheet->columns; column++)
        {
          const struct cell *cell = cell_at (sheet, row, column);
          print_cell (out, cell->text, widths[column], cell->is_text);
        }
      fputc ('\n', out);
    }
}

static json_t *
row_as_json (const struct sheet *sheet, size_t row)
{
  json_t *object = json_object ();

  for (uint32_t column = 0; column < sheet->columns; column++)
    {
      const struct cell *cell = cell_at (sheet, row, column);
      json_t *value = cell->is_text ? json_string (cell->text)
                                    : json_integer ((json_int_t)cell->number);
      json_object_set_new (object, sheet->names[column], value);
    }
  return object;
}

void
sheet_print_json (const struct sheet *sheet, bool lines, FILE *out)
{
  fputs (lines ? "" : "[", out);
  for (size_t row = 0; row < sheet->rows; row++)
    {
      json_t *object = row_as_json (sheet, row);

      if (!lines)
        fputs (row == 0 ? "\n " : ",\n ", out);
      json_dumpf (object, out, JSON_COMPACT | JSON_PRESERVE_ORDER);
      fputs (lines ? "\n" : "", out);
      json_decref (object);
    }
  fputs (lines ? "" : "\n]\n", out);
}

void
sheet_clear (struct sheet *sheet)
{
  sheet->rows = 0;
}
