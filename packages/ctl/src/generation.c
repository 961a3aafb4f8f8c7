/* galenactl generation: which processes lag behind the newest record that any
   process has applied, and by how many generations.  */

#include <stdlib.h>
#include <string.h>

#include "sheet.h"
#include "target.h"

/* The record of one service that one process has applied.  */
struct applied_record
{
  const struct target *target;
  struct galena_generation_row row;
};

struct applied_records
{
  struct applied_record *rows;
  size_t count;
  size_t capacity;
  const struct targets *targets;
  /* By index of target: number of the service if the target keeps the records
     of only one, or 0 if it keeps those of all; owned.  */
  uint64_t *only_services;
};

static const char *const COLUMNS[]
    = { "process", "number", "service",   "generation", "behind",
        "digest",  "schema", "upstreams", "leaving",    "state" };

enum
{
  COLUMN_COUNT = sizeof COLUMNS / sizeof COLUMNS[0],
  INITIAL_CAPACITY = 64
};

static size_t
index_of (const struct applied_records *records, const struct target *target)
{
  return (size_t)(target - targets_get (records->targets, 0));
}

static void
on_status (void *data, const struct target *target,
           const struct galena_operator_row *row)
{
  struct applied_records *records = data;

  records->only_services[index_of (records, target)] = row->as.status.keeps;
}

static void
on_generation (void *data, const struct target *target,
               const struct galena_operator_row *row)
{
  struct applied_records *records = data;
  size_t capacity
      = records->capacity == 0 ? INITIAL_CAPACITY : 2 * records->capacity;
  struct applied_record *rows;

  if (records->count == records->capacity)
    {
      rows = realloc (records->rows, capacity * sizeof *rows);
      if (rows == NULL)
        return;
      records->rows = rows;
      records->capacity = capacity;
    }
  records->rows[records->count].target = target;
  records->rows[records->count].row = row->as.generation;
  records->count++;
}

/* Orders by service, then by target.  */
static int
compare_applied (const void *left, const void *right)
{
  const struct applied_record *a = left;
  const struct applied_record *b = right;

  if (a->row.number != b->row.number)
    return a->row.number < b->row.number ? -1 : 1;
  return (a->target > b->target) - (a->target < b->target);
}

/* Returns whether A is newer than B.  Of two digests of one generation the
   higher one wins, the same rule by which processes choose.  */
static bool
is_newer (const struct applied_record *a, const struct applied_record *b)
{
  if (a->row.generation != b->row.generation)
    return a->row.generation > b->row.generation;
  return strcmp (a->row.digest, b->row.digest) > 0;
}

/* The rows of one service, and the newest of them.  */
struct group
{
  const struct applied_record *rows;
  size_t count;
  const struct applied_record *newest;
};

/* Returns the group that begins at row FIRST.  */
static struct group
group_at (const struct applied_records *records, size_t first)
{
  struct group group = { .rows = &records->rows[first] };

  group.newest = group.rows;
  while (first + group.count < records->count
         && group.rows[group.count].row.number == group.rows->row.number)
    {
      if (is_newer (&group.rows[group.count], group.newest))
        group.newest = &group.rows[group.count];
      group.count++;
    }
  return group;
}

static const char *
state_of (const struct applied_record *applied,
          const struct applied_record *newest)
{
  if (applied->row.generation == 0)
    return "missing";
  if (applied->row.generation < newest->row.generation)
    return "lags";
  if (strcmp (applied->row.digest, newest->row.digest) != 0)
    return "differs";
  return "newest";
}

static void
add_applied (struct sheet *sheet, const struct applied_record *applied,
             const struct applied_record *newest)
{
  uint32_t column = 0;

  if (sheet_add_row (sheet) != GALENA_OK)
    return;
  sheet_set_text (sheet, column++, applied->target->name);
  sheet_set_number (sheet, column++, applied->row.number);
  sheet_set_text (sheet, column++, applied->row.service);
  sheet_set_number (sheet, column++, applied->row.generation);
  sheet_set_number (sheet, column++,
                    newest->row.generation - applied->row.generation);
  sheet_set_text (sheet, column++, applied->row.digest);
  sheet_set_number (sheet, column++, applied->row.schema);
  sheet_set_number (sheet, column++, applied->row.upstreams);
  sheet_set_number (sheet, column++, applied->row.leaving);
  sheet_set_text (sheet, column, state_of (applied, newest));
}

/* Adds a row for TARGET, which replied and has not applied any record of the
   service of NEWEST.  */
static void
add_missing (struct sheet *sheet, const struct target *target,
             const struct applied_record *newest)
{
  struct applied_record none = { .target = target };

  none.row.number = newest->row.number;
  memcpy (none.row.service, newest->row.service, sizeof none.row.service);
  add_applied (sheet, &none, newest);
}

/* Returns whether TARGET is expected to apply records of the service
   NUMBER.  */
static bool
should_apply (const struct applied_records *records,
              const struct target *target, uint64_t number)
{
  uint64_t only = records->only_services[index_of (records, target)];

  return only == 0 || only == number;
}

static void
add_group (struct sheet *sheet, const struct applied_records *records,
           const struct group *group, const struct arguments *arguments)
{
  const struct targets *targets = records->targets;
  size_t next = 0;

  for (uint32_t i = 0; i < targets_count (targets); i++)
    {
      const struct target *target = targets_get (targets, i);
      const struct applied_record *applied = NULL;

      if (next < group->count && group->rows[next].target == target)
        applied = &group->rows[next++];
      if (target->result != GALENA_OK)
        continue;
      if (applied != NULL)
        add_applied (sheet, applied, group->newest);
      else if (!should_apply (records, target, group->rows->row.number))
        continue;
      else
        add_missing (sheet, target, group->newest);
      sheet_filter_row (sheet, arguments->filters, arguments->filter_count);
    }
}

static void
fill_sheet (struct sheet *sheet, struct applied_records *records,
            const struct arguments *arguments)
{
  struct group group;

  if (records->count > 0)
    qsort (records->rows, records->count, sizeof *records->rows,
           compare_applied);
  for (size_t first = 0; first < records->count; first += group.count)
    {
      group = group_at (records, first);
      add_group (sheet, records, &group, arguments);
    }
}

int
run_generation (const struct arguments *arguments)
{
  struct applied_records records = { 0 };
  struct targets *targets = NULL;
  struct sheet *sheet = NULL;
  int status = EXIT_USAGE;
  const char *unknown;
  uint32_t failed;

  if (sheet_create (COLUMNS, COLUMN_COUNT, &sheet) != GALENA_OK)
    return EXIT_FAILURE;
  unknown = sheet_unknown_filter (sheet, arguments->filters,
                                  arguments->filter_count);
  if (unknown != NULL)
    {
      fprintf (stderr, "galenactl: '%s' names no column of 'generation'\n",
               unknown);
      goto done;
    }
  if (targets_create (arguments, &targets) != GALENA_OK)
    goto done;
  records.targets = targets;
  records.only_services
      = calloc (targets_count (targets) + 1, sizeof *records.only_services);
  if (records.only_services == NULL)
    goto done;
  targets_query (targets, GALENA_ROW_STATUS, on_status, &records);
  targets_query (targets, GALENA_ROW_GENERATION, on_generation, &records);
  failed = targets_print_failed (targets);
  fill_sheet (sheet, &records, arguments);
  if (arguments->json)
    sheet_print_json (sheet, false, stdout);
  else
    sheet_print (sheet, true, stdout);
  status = failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;

done:
  targets_destroy (targets);
  free (records.rows);
  free (records.only_services);
  sheet_destroy (sheet);
  return status;
}
