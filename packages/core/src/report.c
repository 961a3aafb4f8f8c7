/* Reports: copies of the statistics and the audit trail of a world.  */

#include <stdlib.h>

#include <galenaford/stats.h>

enum galena_result
galena_report_create (const struct galena_report_options *options,
                      struct galena_report **out)
{
  struct galena_report *report = calloc (1, sizeof *report);

  if (report == NULL)
    return GALENA_ERR_MEMORY;
  report->capacity = *options;
  report->kinds = calloc (options->kinds + 1, sizeof *report->kinds);
  report->upstreams
      = calloc (options->upstreams + 1, sizeof *report->upstreams);
  if (report->kinds == NULL || report->upstreams == NULL)
    {
      galena_report_destroy (report);
      return GALENA_ERR_MEMORY;
    }
  *out = report;
  return GALENA_OK;
}

void
galena_report_destroy (struct galena_report *report)
{
  if (report == NULL)
    return;
  free (report->kinds);
  free (report->upstreams);
  free (report);
}

void
galena_report_copy_audit (struct galena_report *report,
                          const struct galena_audit *audit)
{
  uint64_t newest = galena_audit_newest (audit);
  uint64_t next = 1;
  const struct galena_audit_row *row;

  if (newest > GALENA_REPORT_AUDIT_ROWS)
    next = newest - GALENA_REPORT_AUDIT_ROWS + 1;
  report->audit_count = 0;
  while ((row = galena_audit_find (audit, next)) != NULL)
    {
      report->audit[report->audit_count++] = *row;
      next = row->sequence + 1;
    }
}
