/* galenactl generation: which process lags behind the newest record that any
   process has in force, and by how much.  */

#include <stdlib.h>
#include <string.h>

#include "sheet.h"
#include "target.h"

/* A service in force at one process.  */
struct held
{
  const struct target *target;
  struct galena_generation_row row;
};

struct holdings
{
  struct held *rows;
  size_t count;
  size_t capacity;
  const struct targets *targets;
  /* Number of the only service that each target keeps, or 0; owned.  */
  uint64_t *keeps;
};

static const char *const COLUMNS[]
    = { "process", "number", "service",   "generation", "behind",
        "digest",  "schema", "upstreams", "leaving",    "state" };

enum
{
  COLUMN_COUNT = sizeof COLUMNS / sizeof COLUMNS[0],
  FIRST_ROWS = 64
};

static size_t
index_of (const struct holdings *holdings, const struct target *target)
{
  return (size_t)(target - targets_get (holdings->targets, 0));
}

static void
take_status (void *data, const struct target *target,
             const struct galena_operator_row *row)
{
  struct holdings *holdings = data;

  holdings->keeps[index_of (holdings, target)] = row->as.status.keeps;
}

static void
take_row (void *data, const struct target *target,
          const struct galena_operator_row *row)
{
  struct holdings *holdings = data;
  size_t capacity
      = holdings->capacity == 0 ? FIRST_ROWS : 2 * holdings->capacity;
  struct held *rows;

  if (holdings->count == holdings->capacity)
    {
      rows = realloc (holdings->rows, capacity * sizeof *rows);
      if (rows == NULL)
        return;
      holdings->rows = rows;
      holdings->capacity = capacity;
    }
  holdings->rows[holdings->count].target = target;
  holdings->rows[holdings->count].row = row->as.generation;
  holdings->count++;
}

/* Orders by service, then by target.  */
static int
compare_held (const void *left, const void *right)
{
  const struct held *a = left;
  const struct held *b = right;

  if (a->row.number != b->row.number)
    return a->row.number < b->row.number ? -1 : 1;
  return (a->target > b->target) - (a->target < b->target);
}

/* Tells whether A is newer than B; of two digests of one generation the
   higher one wins, as processes choose.  */
static bool
is_newer (const struct held *a, const struct held *b)
{
  if (a->row.generation != b->row.generation)
    return a->row.generation > b->row.generation;
  return strcmp (a->row.digest, b->row.digest) > 0;
}

/* The rows of one service, and the newest of them.  */
struct group
{
  const struct held *rows;
  size_t count;
  const struct held *newest;
};

/* Stores the group that begins at FIRST.  */
static struct group
group_at (const struct holdings *holdings, size_t first)
{
  struct group group = { .rows = &holdings->rows[first] };

  group.newest = group.rows;
  while (first + group.count < holdings->count
         && group.rows[group.count].row.number == group.rows->row.number)
    {
      if (is_newer (&group.rows[group.count], group.newest))
        group.newest = &group.rows[group.count];
      group.count++;
    }
  return group;
}

static const char *
state_of (const struct held *held, const struct held *newest)
{
  if (held->row.generation == 0)
    return "missing";
  if (held->row.generation < newest->row.generation)
    return "lags";
  if (strcmp (held->row.digest, newest->row.digest) != 0)
    return "differs";
  return "newest";
}

static void
add_held (struct sheet *sheet, const struct held *held,
          const struct held *newest)
{
  uint32_t column = 0;

  if (sheet_add_row (sheet) != GALENA_OK)
    return;
  sheet_set_text (sheet, column++, held->target->name);
  sheet_set_number (sheet, column++, held->row.number);
  sheet_set_text (sheet, column++, held->row.service);
  sheet_set_number (sheet, column++, held->row.generation);
  sheet_set_number (sheet, column++,
                    newest->row.generation - held->row.generation);
  sheet_set_text (sheet, column++, held->row.digest);
  sheet_set_number (sheet, column++, held->row.schema);
  sheet_set_number (sheet, column++, held->row.upstreams);
  sheet_set_number (sheet, column++, held->row.leaving);
  sheet_set_text (sheet, column, state_of (held, newest));
}

/* A target that replied and does not hold the service of NEWEST.  */
static void
add_missing (struct sheet *sheet, const struct target *target,
             const struct held *newest)
{
  struct held none = { .target = target };

  none.row.number = newest->row.number;
  memcpy (none.row.service, newest->row.service, sizeof none.row.service);
  add_held (sheet, &none, newest);
}

/* Tells whether TARGET should hold the service NUMBER.  */
static bool
should_hold (const struct holdings *holdings, const struct target *target,
             uint64_t number)
{
  uint64_t keeps = holdings->keeps[index_of (holdings, target)];

  return keeps == 0 || keeps == number;
}

static void
add_group (struct sheet *sheet, const struct holdings *holdings,
           const struct group *group, const struct arguments *arguments)
{
  const struct targets *targets = holdings->targets;
  size_t next = 0;

  for (uint32_t i = 0; i < targets_count (targets); i++)
    {
      const struct target *target = targets_get (targets, i);
      const struct held *held = NULL;

      if (next < group->count && group->rows[next].target == target)
        held = &group->rows[next++];
      if (target->result != GALENA_OK)
        continue;
      if (held != NULL)
        add_held (sheet, held, group->newest);
      else if (!should_hold (holdings, target, group->rows->row.number))
        continue;
      else
        add_missing (sheet, target, group->newest);
      sheet_filter_row (sheet, arguments->filters, arguments->filter_count);
    }
}

static void
fill_sheet (struct sheet *sheet, struct holdings *holdings,
            const struct arguments *arguments)
{
  struct group group;

  if (holdings->count > 0)
    qsort (holdings->rows, holdings->count, sizeof *holdings->rows,
           compare_held);
  for (size_t first = 0; first < holdings->count; first += group.count)
    {
      group = group_at (holdings, first);
      add_group (sheet, holdings, &group, arguments);
    }
}

int
run_generation (const struct arguments *arguments)
{
  struct holdings holdings = { 0 };
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
  holdings.targets = targets;
  holdings.keeps
      = calloc (targets_count (targets) + 1, sizeof *holdings.keeps);
  if (holdings.keeps == NULL)
    goto done;
  targets_ask (targets, GALENA_ROW_STATUS, take_status, &holdings);
  targets_ask (targets, GALENA_ROW_GENERATION, take_row, &holdings);
  failed = targets_print_failed (targets);
  fill_sheet (sheet, &holdings, arguments);
  if (arguments->json)
    sheet_print_json (sheet, false, stdout);
  else
    sheet_print (sheet, true, stdout);
  status = failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;

done:
  targets_destroy (targets);
  free (holdings.rows);
  free (holdings.keeps);
  sheet_destroy (sheet);
  return status;
}
