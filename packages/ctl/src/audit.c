/* galenactl audit: prints the audit trails of the processes, and with --follow
   new rows as they are appended.  */

#include <poll.h>
#include <stdlib.h>

#include "view.h"

enum
{
  FOLLOW_PERIOD_MS = 500
};

static void
print_report (const struct view_report *report, bool first)
{
  if (report->arguments->json)
    sheet_print_json (report->sheet, report->arguments->follow, stdout);
  else
    sheet_print (report->sheet, first, stdout);
  fflush (stdout);
}

int
run_audit (const struct arguments *arguments)
{
  struct view_report report;
  struct targets *targets;
  uint32_t failed = 0;
  bool first = true;

  if (view_report_create (arguments, &report) != GALENA_OK)
    return EXIT_USAGE;
  if (targets_create (arguments, &targets) != GALENA_OK)
    {
      sheet_destroy (report.sheet);
      return EXIT_USAGE;
    }
  do
    {
      if (!first)
        poll (NULL, 0, FOLLOW_PERIOD_MS);
      sheet_clear (report.sheet);
      targets_query (targets, report.type, view_report_add, &report);
      if (first)
        failed = targets_print_failed (targets);
      sheet_sort (report.sheet, sheet_column (report.sheet, "age_ms"));
      print_report (&report, first);
      first = false;
    }
  while (arguments->follow && !ferror (stdout));
  targets_destroy (targets);
  sheet_destroy (report.sheet);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
