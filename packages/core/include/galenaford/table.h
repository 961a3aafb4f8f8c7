/* A bounded table of fixed-size rows that are referenced by small handles.

   A handle holds the index of a row and the row's generation.  Removing a row
   changes its generation, so a stale handle never resolves to a new row.  */

#ifndef GALENAFORD_TABLE_H
#define GALENAFORD_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <galenaford/result.h>

struct galena_handle
{
  uint32_t index;
  /* Generation of the row; odd while the row is in use, 0 for no row.  */
  uint32_t generation;
};

/* Typed handles, one type per table that is referenced by other rows.  */
struct galena_flow_handle
{
  struct galena_handle row;
};

struct galena_request_handle
{
  struct galena_handle row;
};

/* Returns whether HANDLE refers to no row.  */
static inline bool
galena_handle_is_none (struct galena_handle handle)
{
  return handle.generation == 0;
}

/* Packs HANDLE into an integer for maps and messages.  */
static inline uint64_t
galena_handle_pack (struct galena_handle handle)
{
  return ((uint64_t)handle.generation << 32) | handle.index;
}

/* Inverse of galena_handle_pack.  */
static inline struct galena_handle
galena_handle_unpack (uint64_t packed)
{
  return (struct galena_handle){ (uint32_t)packed, (uint32_t)(packed >> 32) };
}

struct galena_table_options
{
  /* Size of one row in bytes.  */
  size_t row_size;
  /* Maximum number of rows in use.  */
  uint32_t capacity;
};

struct galena_table;

/* Creates an empty table in *OUT; the caller owns it.
   Errors: GALENA_ERR_INVALID, GALENA_ERR_MEMORY.  */
enum galena_result
galena_table_create (const struct galena_table_options *options,
                     struct galena_table **out);

/* Destroys TABLE; accepts NULL.  */
void galena_table_destroy (struct galena_table *table);

/* Adds a zeroed row and returns it, with its handle in *HANDLE.  Returns NULL
   when the table is full.  */
void *galena_table_insert (struct galena_table *table,
                           struct galena_handle *handle);

/* Returns the row that HANDLE refers to, or NULL when it was removed.  */
void *galena_table_get (const struct galena_table *table,
                        struct galena_handle handle);

/* Removes the row that HANDLE refers to.  Errors: GALENA_ERR_STALE.  */
enum galena_result galena_table_remove (struct galena_table *table,
                                        struct galena_handle handle);

/* Returns the first row in use at or after *CURSOR, with its handle in
   *HANDLE, and moves *CURSOR past it; NULL at the end.  The returned row may
   be removed during the iteration.  */
void *galena_table_next (const struct galena_table *table, uint32_t *cursor,
                         struct galena_handle *handle);

/* Returns the number of rows in use.  */
uint32_t galena_table_count (const struct galena_table *table);

/* Returns the bytes of memory per row, including the table's overhead.  */
size_t galena_table_bytes_per_row (const struct galena_table *table);

#endif
