/* galenactl plan: shows what would change if NEW were published over OLD.

   Both are applied by the code that processes use, so that a record that a
   process would refuse is refused here too.  */

#include <dirent.h>
#include <stdlib.h>
#include <string.h>

#include "arguments.h"
#include "record_file.h"
#include "sheet.h"

enum
{
  SERVICES_MAX = 4096,
  AUDIT_ROWS = 16,
  PATH_BYTES = 4096
};

/* The records of one side, OLD or NEW, and the snapshot built from them.  */
struct plan_side
{
  struct galena_audit *audit;
  struct galena_records *records;
  struct galena_config *config;
};

struct plan
{
  struct plan_side before;
  struct plan_side after;
  struct sheet *services;
  struct sheet *upstreams;
  /* Whether any record has a fault or was refused.  */
  bool refused;
};

/* Called for each record file.  */
typedef void record_callback (struct plan *plan, const char *path);

static const char *const SERVICE_COLUMNS[]
    = { "service",       "number",        "generation",       "new_generation",
        "result",        "added",         "leaving",          "removed",
        "moved_buckets", "moved_percent", "displaced_percent" };
static const char *const UPSTREAM_COLUMNS[]
    = { "service", "upstream", "host", "zone", "change", "before", "after" };

enum
{
  SERVICE_COLUMN_COUNT = sizeof SERVICE_COLUMNS / sizeof SERVICE_COLUMNS[0],
  UPSTREAM_COLUMN_COUNT = sizeof UPSTREAM_COLUMNS / sizeof UPSTREAM_COLUMNS[0]
};

static enum galena_result
create_side (struct plan_side *side)
{
  struct galena_audit_options audit = { AUDIT_ROWS };
  struct galena_records_options records = { .services = SERVICES_MAX };
  enum galena_result result = galena_audit_create (&audit, &side->audit);

  if (result != GALENA_OK)
    return result;
  records.audit = side->audit;
  return galena_records_create (&records, &side->records);
}

static void
destroy_side (struct plan_side *side)
{
  galena_config_destroy (side->config);
  galena_records_destroy (side->records);
  galena_audit_destroy (side->audit);
}

static enum galena_result
create_plan (struct plan *plan)
{
  enum galena_result result = create_side (&plan->before);

  if (result != GALENA_OK)
    return result;
  result = create_side (&plan->after);
  if (result != GALENA_OK)
    return result;
  result
      = sheet_create (SERVICE_COLUMNS, SERVICE_COLUMN_COUNT, &plan->services);
  if (result != GALENA_OK)
    return result;
  return sheet_create (UPSTREAM_COLUMNS, UPSTREAM_COLUMN_COUNT,
                       &plan->upstreams);
}

static void
destroy_plan (struct plan *plan)
{
  destroy_side (&plan->before);
  destroy_side (&plan->after);
  sheet_destroy (plan->services);
  sheet_destroy (plan->upstreams);
}

static int
is_record_file (const struct dirent *entry)
{
  size_t length = strlen (entry->d_name);

  return length > 5 && strcmp (entry->d_name + length - 5, ".json") == 0;
}

/* Calls APPLY for the file at PATH, or for each record in the folder PATH in
   the order of names.  */
static void
for_each_record (struct plan *plan, const char *path, record_callback *apply)
{
  struct dirent **entries;
  int count = scandir (path, &entries, is_record_file, alphasort);

  if (count < 0)
    {
      apply (plan, path);
      return;
    }
  for (int i = 0; i < count; i++)
    {
      char file[PATH_BYTES];

      snprintf (file, sizeof file, "%s/%s", path, entries[i]->d_name);
      apply (plan, file);
      free (entries[i]);
    }
  free (entries);
}

/* Loads the record at PATH, or prints its faults and returns false.  */
static bool
load_record (struct plan *plan, const char *path,
             struct galena_service_record *record)
{
  struct galena_faults faults;
  enum galena_result result = record_file_load (path, record, &faults);

  record_file_print_faults (path, &faults, stderr);
  if (result != GALENA_OK)
    plan->refused = true;
  return result == GALENA_OK;
}

static void
apply_old (struct plan *plan, const char *path)
{
  struct galena_service_record record;
  /* Any time before that of apply_new.  */
  struct galena_clock now = { 1 };

  if (!load_record (plan, path, &record))
    return;
  galena_records_apply (plan->before.records, &record, now);
  galena_records_apply (plan->after.records, &record, now);
  galena_record_release (&record);
}

static void
add_service_row (struct plan *plan, const struct galena_service_record *record,
                 const char *result)
{
  const struct galena_service_record *before
      = galena_records_find (plan->before.records, record->service.number);
  uint32_t column = 0;

  if (sheet_add_row (plan->services) != GALENA_OK)
    return;
  sheet_set_text (plan->services, column++, record->service.name);
  sheet_set_number (plan->services, column++, record->service.number);
  sheet_set_number (plan->services, column++,
                    before == NULL ? 0 : before->service.generation);
  sheet_set_number (plan->services, column++, record->service.generation);
  sheet_set_text (plan->services, column++, result);
  for (; column < SERVICE_COLUMN_COUNT; column++)
    sheet_set_number (plan->services, column, 0);
}

static bool
is_unchanged (const struct plan *plan,
              const struct galena_service_record *record)
{
  const struct galena_service_record *before
      = galena_records_find (plan->before.records, record->service.number);

  return before != NULL
         && before->service.generation == record->service.generation
         && before->service.digest == record->service.digest;
}

static bool
has_service (const struct galena_config *config, uint32_t number)
{
  for (uint32_t i = 0; i < galena_config_service_count (config); i++)
    if (galena_config_service (config, i)->number == number)
      return true;
  return false;
}

/* Checks that the service NUMBER is in a snapshot of the new records.  Two
   services may not share an address or the number of an upstream: a record
   that breaks this rule is applied, but snapshots omit its service.
   Errors: GALENA_ERR_EXISTS, and those of galena_records_snapshot.  */
static enum galena_result
check_snapshot (struct plan *plan, uint32_t number)
{
  struct galena_config *config;
  enum galena_result result
      = galena_records_snapshot (plan->after.records, &config);

  if (result != GALENA_OK)
    return result;
  if (!has_service (config, number))
    result = GALENA_ERR_EXISTS;
  galena_config_destroy (config);
  return result;
}

static void
apply_new (struct plan *plan, const char *path)
{
  struct galena_service_record record;
  /* Any time after that of apply_old.  */
  struct galena_clock now = { 2 };
  enum galena_result result;

  if (!load_record (plan, path, &record))
    return;
  if (is_unchanged (plan, &record))
    {
      add_service_row (plan, &record, "unchanged");
      galena_record_release (&record);
      return;
    }
  result = galena_records_apply (plan->after.records, &record, now);
  if (result == GALENA_OK)
    result = check_snapshot (plan, record.service.number);
  if (result != GALENA_OK)
    plan->refused = true;
  add_service_row (plan, &record,
                   result == GALENA_OK ? "taken"
                                       : galena_result_name (result));
  galena_record_release (&record);
}

/* Counts of what a record changes in one service.  */
struct service_change
{
  uint32_t added;
  uint32_t leaving;
  uint32_t removed;
  /* Buckets whose first candidate changes.  */
  uint32_t moved;
  /* Buckets whose former first candidate is not a candidate any more.  */
  uint32_t displaced;
};

static const struct galena_service *
service_numbered (const struct galena_config *config, uint32_t number)
{
  for (uint32_t i = 0; i < galena_config_service_count (config); i++)
    if (galena_config_service (config, i)->number == number)
      return galena_config_service (config, i);
  return NULL;
}

static bool
is_candidate (const struct galena_config *config, const uint32_t *chosen,
              uint32_t count, uint32_t upstream)
{
  for (uint32_t i = 0; i < count; i++)
    if (galena_config_upstream (config, chosen[i])->number == upstream)
      return true;
  return false;
}

static void
count_bucket (const struct plan *plan, const struct galena_service *before,
              const struct galena_service *after, uint32_t bucket,
              struct service_change *change)
{
  const struct galena_config *old = plan->before.config;
  const struct galena_config *new = plan->after.config;
  uint32_t old_chosen[GALENA_CANDIDATES_MAX];
  uint32_t new_chosen[GALENA_CANDIDATES_MAX];
  uint32_t old_count
      = galena_config_bucket_candidates (old, before, bucket, old_chosen);
  uint32_t new_count
      = galena_config_bucket_candidates (new, after, bucket, new_chosen);
  uint32_t first;

  if (old_count == 0)
    return;
  first = galena_config_upstream (old, old_chosen[0])->number;
  if (is_candidate (new, new_chosen, new_count < 1 ? 0 : 1, first))
    return;
  change->moved++;
  if (!is_candidate (new, new_chosen, new_count, first))
    change->displaced++;
}

static void
add_upstream_row (struct plan *plan, const struct galena_service *service,
                  const struct galena_upstream *upstream, const char *change,
                  const char *before, const char *after)
{
  const char *cells[]
      = { service->name, NULL,   upstream->host, upstream->zone,
          change,        before, after };

  if (sheet_add_row (plan->upstreams) != GALENA_OK)
    return;
  for (uint32_t i = 0; i < UPSTREAM_COLUMN_COUNT; i++)
    if (cells[i] != NULL)
      sheet_set_text (plan->upstreams, i, cells[i]);
  sheet_set_number (plan->upstreams, 1, upstream->number);
}

static const char *
state_name (enum galena_upstream_state state)
{
  static const char *const NAMES[] = {
    [GALENA_UPSTREAM_ACTIVE] = "active",
    [GALENA_UPSTREAM_LEAVING] = "leaving",
    [GALENA_UPSTREAM_REMOVED] = "removed",
  };

  return NAMES[state];
}

static void
compare_state (struct plan *plan, const struct galena_service *service,
               const struct galena_upstream *old,
               const struct galena_upstream *new,
               struct service_change *change)
{
  if (old->state == new->state)
    return;
  if (new->state == GALENA_UPSTREAM_LEAVING)
    change->leaving++;
  if (new->state == GALENA_UPSTREAM_REMOVED)
    change->removed++;
  add_upstream_row (plan, service, new, "state", state_name (old->state),
                    state_name (new->state));
}

/* A numeric property of an upstream that a record may change.  */
struct upstream_property
{
  const char *name;
  uint32_t (*get) (const struct galena_upstream *upstream);
};

static uint32_t
get_weight (const struct galena_upstream *upstream)
{
  return upstream->weight;
}

static uint32_t
get_slots (const struct galena_upstream *upstream)
{
  return upstream->slots;
}

static uint32_t
get_connections (const struct galena_upstream *upstream)
{
  return upstream->connections;
}

static const struct upstream_property PROPERTIES[] = {
  { "weight", get_weight },
  { "slots", get_slots },
  { "connections", get_connections },
};

static void
compare_properties (struct plan *plan, const struct galena_service *service,
                    const struct galena_upstream *old,
                    const struct galena_upstream *new)
{
  for (size_t i = 0; i < sizeof PROPERTIES / sizeof PROPERTIES[0]; i++)
    {
      char before[16];
      char after[16];

      if (PROPERTIES[i].get (old) == PROPERTIES[i].get (new))
        continue;
      snprintf (before, sizeof before, "%u", PROPERTIES[i].get (old));
      snprintf (after, sizeof after, "%u", PROPERTIES[i].get (new));
      add_upstream_row (plan, service, new, PROPERTIES[i].name, before, after);
    }
}

static void
compare_upstreams (struct plan *plan, const struct galena_service *service,
                   struct service_change *change)
{
  for (uint32_t i = 0; i < service->upstream_count; i++)
    {
      const struct galena_upstream *new = galena_config_upstream (
          plan->after.config, service->first_upstream + i);
      const struct galena_upstream *old
          = galena_config_upstream_numbered (plan->before.config, new->number);

      if (old == NULL)
        {
          change->added++;
          add_upstream_row (plan, service, new, "added", "-",
                            state_name (new->state));
          continue;
        }
      compare_state (plan, service, old, new, change);
      compare_properties (plan, service, old, new);
    }
}

static void
compare_service (struct plan *plan, const struct galena_service *after,
                 struct service_change *change)
{
  const struct galena_service *before
      = service_numbered (plan->before.config, after->number);

  compare_upstreams (plan, after, change);
  if (before == NULL)
    return;
  for (uint32_t bucket = 0; bucket < GALENA_BUCKETS; bucket++)
    count_bucket (plan, before, after, bucket, change);
}

/* Writes BUCKETS as a percentage of all buckets, with two decimals, to TEXT;
   returns TEXT.  */
static const char *
percent_text (uint32_t buckets, char *text, size_t size)
{
  snprintf (text, size, "%.2f", 100.0 * buckets / GALENA_BUCKETS);
  return text;
}

static void
set_change (struct plan *plan, size_t row, const struct service_change *change)
{
  enum
  {
    FIRST_COLUMN = 5
  };
  char text[GALENA_NAME_BYTES];
  struct sheet *sheet = plan->services;
  uint32_t column = FIRST_COLUMN;

  sheet_select_row (sheet, row);
  sheet_set_number (sheet, column++, change->added);
  sheet_set_number (sheet, column++, change->leaving);
  sheet_set_number (sheet, column++, change->removed);
  sheet_set_number (sheet, column++, change->moved);
  sheet_set_text (sheet, column++,
                  percent_text (change->moved, text, sizeof text));
  sheet_set_text (sheet, column,
                  percent_text (change->displaced, text, sizeof text));
}

static void
compare_services (struct plan *plan)
{
  for (size_t row = 0; row < sheet_rows (plan->services); row++)
    {
      uint32_t number = (uint32_t)sheet_number (plan->services, row, 1);
      const struct galena_service *after
          = service_numbered (plan->after.config, number);
      struct service_change change = { 0 };

      if (after != NULL)
        compare_service (plan, after, &change);
      set_change (plan, row, &change);
    }
}

static void
print_plan (const struct plan *plan, bool json)
{
  if (!json)
    {
      sheet_print (plan->services, true, stdout);
      putchar ('\n');
      sheet_print (plan->upstreams, true, stdout);
      return;
    }
  fputs ("{\"services\":", stdout);
  sheet_print_json (plan->services, false, stdout);
  fputs (",\"upstreams\":", stdout);
  sheet_print_json (plan->upstreams, false, stdout);
  fputs ("}\n", stdout);
}

int
run_plan (const struct arguments *arguments)
{
  struct plan plan = { 0 };
  enum galena_result result = create_plan (&plan);

  if (result != GALENA_OK)
    goto done;
  for_each_record (&plan, arguments->positional[1], apply_old);
  for_each_record (&plan, arguments->positional[2], apply_new);
  result = galena_records_snapshot (plan.before.records, &plan.before.config);
  if (result != GALENA_OK)
    goto done;
  result = galena_records_snapshot (plan.after.records, &plan.after.config);
  if (result != GALENA_OK)
    goto done;
  compare_services (&plan);
  print_plan (&plan, arguments->json);

done:
  if (result != GALENA_OK)
    fprintf (stderr, "galenactl: %s\n", galena_result_description (result));
  destroy_plan (&plan);
  return result == GALENA_OK && !plan.refused ? EXIT_SUCCESS : EXIT_FAILURE;
}
