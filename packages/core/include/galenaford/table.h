/* A bounded table of fixed-size rows named by small handles.

   A handle holds the index of a row and the row's generation.  A removed
   row gets a new generation, so an old handle never reaches a new row.  */

#ifndef GALENAFORD_TABLE_H
#define GALENAFORD_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <galenaford/result.h>

struct galena_handle
{
  /* Position of the row.  */
  uint32_t index;
  /* Generation of the row; odd while the row is in use, 0 names no row.  */
  uint32_t generation;
};

/* Typed handles, one for each table that other rows refer to.  */
struct galena_flow_handle
{
  struct galena_handle row;
};

struct galena_request_handle
{
  struct galena_handle row;
};

/* Tells whether HANDLE names no row at all.  */
static inline bool
galena_handle_is_none (struct galena_handle handle)
{
  return handle.generation == 0;
}

/* Packs HANDLE into a number for maps and messages.  */
static inline uint64_t
galena_handle_pack (struct galena_handle handle)
{
  return ((uint64_t)handle.generation << 32) | handle.index;
}

/* Undoes galena_handle_pack.  */
static inline struct galena_handle
galena_handle_unpack (uint64_t packed)
{
  return (struct galena_handle){ (uint32_t)packed, (uint32_t)(packed >> 32) };
}

struct galena_table_options
{
  /* Bytes of one row.  */
  size_t row_size;
  /* Most rows in use at once.  */
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

/* Takes a zeroed row into use and returns it, its handle in *HANDLE.
   Returns NULL when the table is full.  */
void *galena_table_insert (struct galena_table *table,
                           struct galena_handle *handle);

/* Returns the row that HANDLE names, or NULL when it was removed.  */
void *galena_table_get (const struct galena_table *table,
                        struct galena_handle handle);

/* Removes the row that HANDLE names.  Errors: GALENA_ERR_STALE.  */
enum galena_result galena_table_remove (struct galena_table *table,
                                        struct galena_handle handle);

/* Returns the first row in use at or after *CURSOR and moves *CURSOR past
   it; NULL at the end.  The returned row may be removed meanwhile.  */
void *galena_table_next (const struct galena_table *table, uint32_t *cursor,
                         struct galena_handle *handle);

/* Returns the number of rows in use.  */
uint32_t galena_table_count (const struct galena_table *table);

/* Returns the bytes of memory that one row costs, its bookkeeping too.  */
size_t galena_table_row_cost (const struct galena_table *table);

#endif
