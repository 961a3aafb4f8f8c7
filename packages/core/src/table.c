/* Tables of fixed-size rows.  Free rows form a linked list in
   `next_free'.  */

#include <stdlib.h>
#include <string.h>

#include <galenaford/table.h>

struct galena_table
{
  unsigned char *rows;
  /* Odd while the row is in use, even while it is free.  */
  uint32_t *generations;
  /* For free rows, the index of the next free row.  */
  uint32_t *next_free;
  size_t row_size;
  uint32_t capacity;
  /* All rows from this index on were never in use.  */
  uint32_t first_unused;
  uint32_t count;
  uint32_t free_head;
};

static const uint32_t NO_ROW = UINT32_MAX;

enum galena_result
galena_table_create (const struct galena_table_options *options,
                     struct galena_table **out)
{
  struct galena_table *table;

  if (options->row_size == 0 || options->capacity == 0)
    return GALENA_ERR_INVALID;
  table = calloc (1, sizeof *table);
  if (table == NULL)
    return GALENA_ERR_MEMORY;
  table->row_size = options->row_size;
  table->capacity = options->capacity;
  table->free_head = NO_ROW;
  table->rows = calloc (options->capacity, options->row_size);
  table->generations = calloc (options->capacity, sizeof (uint32_t));
  table->next_free = calloc (options->capacity, sizeof (uint32_t));
  if (table->rows == NULL || table->generations == NULL
      || table->next_free == NULL)
    goto fail;
  *out = table;
  return GALENA_OK;

fail:
  galena_table_destroy (table);
  return GALENA_ERR_MEMORY;
}

void
galena_table_destroy (struct galena_table *table)
{
  if (table == NULL)
    return;
  free (table->rows);
  free (table->generations);
  free (table->next_free);
  free (table);
}

static uint32_t
take_free_index (struct galena_table *table)
{
  uint32_t index = table->free_head;

  if (index != NO_ROW)
    {
      table->free_head = table->next_free[index];
      return index;
    }
  if (table->first_unused == table->capacity)
    return NO_ROW;
  return table->first_unused++;
}

void *
galena_table_insert (struct galena_table *table, struct galena_handle *handle)
{
  uint32_t index = take_free_index (table);
  unsigned char *row;

  if (index == NO_ROW)
    return NULL;
  table->generations[index]++;
  table->count++;
  row = table->rows + (size_t)index * table->row_size;
  memset (row, 0, table->row_size);
  *handle = (struct galena_handle){ index, table->generations[index] };
  return row;
}

void *
galena_table_get (const struct galena_table *table,
                  struct galena_handle handle)
{
  if (handle.index >= table->first_unused || (handle.generation & 1) == 0)
    return NULL;
  if (table->generations[handle.index] != handle.generation)
    return NULL;
  return table->rows + (size_t)handle.index * table->row_size;
}

enum galena_result
galena_table_remove (struct galena_table *table, struct galena_handle handle)
{
  if (galena_table_get (table, handle) == NULL)
    return GALENA_ERR_STALE;
  table->generations[handle.index]++;
  table->next_free[handle.index] = table->free_head;
  table->free_head = handle.index;
  table->count--;
  return GALENA_OK;
}

void *
galena_table_next (const struct galena_table *table, uint32_t *cursor,
                   struct galena_handle *handle)
{
  while (*cursor < table->first_unused)
    {
      uint32_t index = (*cursor)++;
      if ((table->generations[index] & 1) == 0)
        continue;
      *handle = (struct galena_handle){ index, table->generations[index] };
      return table->rows + (size_t)index * table->row_size;
    }
  return NULL;
}

uint32_t
galena_table_count (const struct galena_table *table)
{
  return table->count;
}

size_t
galena_table_bytes_per_row (const struct galena_table *table)
{
  return table->row_size + 2 * sizeof (uint32_t);
}
