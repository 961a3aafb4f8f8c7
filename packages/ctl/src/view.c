/* Commands that query every target for one view and print its rows.  */

#include <stdlib.h>
#include <string.h>

#include "sheet.h"
#include "target.h"
#include "view.h"

/* Columns of the commands that show a part of a view, ended by NULL.  */
static const char *const STATUS_COLUMNS[]
    = { "role",          "zone",          "state",    "record",
        "incarnation",   "uptime_ms",     "services", "upstreams",
        "flows",         "requests",      "running",  "queued",
        "pending_opens", "report_age_ms", NULL };
static const char *const DRAIN_COLUMNS[]
    = { "state",   "record", "stop_left_ms",  "flows", "requests",
        "running", "queued", "pending_opens", NULL };

struct view
{
  const char *command;
  enum galena_operator_type type;
  /* NULL for all fields.  */
  const char *const *columns;
};

static const struct view VIEWS[] = {
  { "status", GALENA_ROW_STATUS, STATUS_COLUMNS },
  { "upstreams", GALENA_ROW_UPSTREAM, NULL },
  { "flows", GALENA_ROW_KIND, NULL },
  { "counters", GALENA_ROW_COUNTER, NULL },
  { "audit", GALENA_ROW_AUDIT, NULL },
  { "drain-progress", GALENA_ROW_STATUS, DRAIN_COLUMNS },
};

static const struct view *
find_view (const char *command)
{
  for (size_t i = 0; i < sizeof VIEWS / sizeof VIEWS[0]; i++)
    if (strcmp (VIEWS[i].command, command) == 0)
      return &VIEWS[i];
  return NULL;
}

static bool
is_shown (const struct view *view, const char *name)
{
  if (view->columns == NULL)
    return true;
  for (size_t i = 0; view->columns[i] != NULL; i++)
    if (strcmp (view->columns[i], name) == 0)
      return true;
  return false;
}

enum galena_result
view_report_create (const struct arguments *arguments,
                    struct view_report *report)
{
  const struct view *view = find_view (arguments->positional[0]);
  const struct galena_operator_field *field;
  const char *names[SHEET_COLUMNS_MAX] = { "process" };
  const char *unknown;

  *report = (struct view_report){ .arguments = arguments };
  report->type = view->type;
  for (uint32_t i = 0; (field = galena_operator_field (view->type, i)) != NULL;
       i++)
    {
      if (!is_shown (view, field->name) || strcmp (field->name, names[0]) == 0)
        continue;
      report->fields[report->count++] = field;
      names[report->count] = field->name;
    }
  if (sheet_create (names, report->count + 1, &report->sheet) != GALENA_OK)
    return GALENA_ERR_MEMORY;
  unknown = sheet_unknown_filter (report->sheet, arguments->filters,
                                  arguments->filter_count);
  if (unknown == NULL)
    return GALENA_OK;
  fprintf (stderr, "galenactl: '%s' names no column of '%s'\n", unknown,
           arguments->positional[0]);
  sheet_destroy (report->sheet);
  return GALENA_ERR_INVALID;
}

void
view_report_add (void *data, const struct target *target,
                 const struct galena_operator_row *row)
{
  struct view_report *report = data;
  const struct arguments *arguments = report->arguments;

  if (sheet_add_row (report->sheet) != GALENA_OK)
    return;
  sheet_set_text (report->sheet, 0, target->name);
  for (uint32_t i = 0; i < report->count; i++)
    {
      const struct galena_operator_field *field = report->fields[i];

      if (field->is_text)
        sheet_set_text (report->sheet, i + 1,
                        galena_operator_text (row, field));
      else
        sheet_set_number (report->sheet, i + 1,
                          galena_operator_number (row, field));
    }
  sheet_filter_row (report->sheet, arguments->filters,
                    arguments->filter_count);
}

int
run_view (const struct arguments *arguments)
{
  struct view_report report;
  struct targets *targets;
  uint32_t failed;

  if (view_report_create (arguments, &report) != GALENA_OK)
    return EXIT_USAGE;
  if (targets_create (arguments, &targets) != GALENA_OK)
    {
      sheet_destroy (report.sheet);
      return EXIT_USAGE;
    }
  targets_query (targets, report.type, view_report_add, &report);
  failed = targets_print_failed (targets);
  sheet_sort (report.sheet, 0);
  if (arguments->json)
    sheet_print_json (report.sheet, false, stdout);
  else
    sheet_print (report.sheet, true, stdout);
  targets_destroy (targets);
  sheet_destroy (report.sheet);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
