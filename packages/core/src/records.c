/* A table of service records and what taking one changes.  */

#include <stdlib.h>
#include <string.h>

#include <galenaford/records.h>
#include <galenaford/table.h>

struct galena_records
{
  struct galena_table *services;
  struct galena_audit *audit;
};

enum galena_result
galena_records_create (const struct galena_records_options *options,
                       struct galena_records **out)
{
  struct galena_table_options table
      = { sizeof (struct galena_service_record), options->services };
  struct galena_records *records = calloc (1, sizeof *records);
  enum galena_result result;

  if (records == NULL)
    return GALENA_ERR_MEMORY;
  records->audit = options->audit;
  result = galena_table_create (&table, &records->services);
  if (result != GALENA_OK)
    {
      free (records);
      return result;
    }
  *out = records;
  return GALENA_OK;
}

void
galena_records_destroy (struct galena_records *records)
{
  struct galena_service_record *record;
  struct galena_handle handle;
  uint32_t cursor = 0;

  if (records == NULL)
    return;
  while ((record = galena_table_next (records->services, &cursor, &handle))
         != NULL)
    free (record->upstreams);
  galena_table_destroy (records->services);
  free (records);
}

const struct galena_service_record *
galena_records_next (const struct galena_records *records, uint32_t *cursor)
{
  struct galena_handle handle;

  return galena_table_next (records->services, cursor, &handle);
}

static struct galena_service_record *
find_record (const struct galena_records *records, uint32_t number)
{
  struct galena_service_record *record;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((record = galena_table_next (records->services, &cursor, &handle))
         != NULL)
    if (record->service.number == number)
      return record;
  return NULL;
}

const struct galena_service_record *
galena_records_find (const struct galena_records *records, uint32_t number)
{
  return find_record (records, number);
}

static struct galena_upstream *
find_upstream (const struct galena_service_record *record, uint32_t number)
{
  if (record == NULL)
    return NULL;
  for (uint32_t i = 0; i < record->service.upstream_count; i++)
    if (record->upstreams[i].number == number)
      return &record->upstreams[i];
  return NULL;
}

static bool
is_newer (const struct galena_service *present,
          const struct galena_service *next)
{
  if (next->generation != present->generation)
    return next->generation > present->generation;
  return next->digest > present->digest;
}

static bool
clashes (const struct galena_service_record *other,
         const struct galena_service_record *record)
{
  if (galena_endpoint_equal (other->service.address, record->service.address))
    return true;
  for (uint32_t i = 0; i < record->service.upstream_count; i++)
    if (find_upstream (other, record->upstreams[i].number) != NULL)
      return true;
  return false;
}

static enum galena_result
check_record (const struct galena_records *records,
              const struct galena_service_record *record)
{
  const struct galena_service_record *other;
  uint32_t cursor = 0;

  while ((other = galena_records_next (records, &cursor)) != NULL)
    {
      if (other->service.number == record->service.number)
        {
          if (!is_newer (&other->service, &record->service))
            return GALENA_ERR_GENERATION;
          continue;
        }
      if (clashes (other, record))
        return GALENA_ERR_EXISTS;
    }
  return GALENA_OK;
}

static void
note (const struct galena_records *records, enum galena_audit_event event,
      const struct galena_service *service, uint32_t upstream,
      struct galena_clock now, enum galena_result result)
{
  struct galena_audit_row row = { .at = now,
                                  .event = event,
                                  .service = service->number,
                                  .upstream = upstream,
                                  .generation = service->generation,
                                  .result = result };

  galena_audit_append (records->audit, &row);
}

static void
note_changes (const struct galena_records *records,
              const struct galena_service_record *before,
              const struct galena_service_record *after,
              struct galena_clock now)
{
  static const enum galena_audit_event EVENTS[] = {
    [GALENA_UPSTREAM_ACTIVE] = GALENA_AUDIT_UPSTREAM_ADDED,
    [GALENA_UPSTREAM_LEAVING] = GALENA_AUDIT_UPSTREAM_LEAVING,
    [GALENA_UPSTREAM_REMOVED] = GALENA_AUDIT_UPSTREAM_REMOVED,
  };

  note (records, GALENA_AUDIT_RECORD_TAKEN, &after->service, 0, now,
        GALENA_OK);
  for (uint32_t i = 0; i < after->service.upstream_count; i++)
    {
      const struct galena_upstream *upstream = &after->upstreams[i];
      const struct galena_upstream *known
          = find_upstream (before, upstream->number);

      if (known != NULL && known->state == upstream->state)
        continue;
      note (records, EVENTS[upstream->state], &after->service,
            upstream->number, now, GALENA_OK);
    }
}

static uint32_t
count_removed (const struct galena_service_record *before,
               const struct galena_service_record *record)
{
  uint32_t count = 0;

  if (before == NULL)
    return 0;
  for (uint32_t i = 0; i < before->service.upstream_count; i++)
    if (find_upstream (record, before->upstreams[i].number) == NULL)
      count++;
  return count;
}

/* Appends the upstreams of BEFORE that AFTER lacks, as removed.  */
static void
append_removed (const struct galena_service_record *before,
                struct galena_service_record *after)
{
  if (before == NULL)
    return;
  for (uint32_t i = 0; i < before->service.upstream_count; i++)
    {
      struct galena_upstream *removed;

      if (find_upstream (after, before->upstreams[i].number) != NULL)
        continue;
      removed = &after->upstreams[after->service.upstream_count++];
      *removed = before->upstreams[i];
      removed->state = GALENA_UPSTREAM_REMOVED;
    }
}

/* Notes for each upstream of AFTER whether it was active in BEFORE; in a first
   record, all that are active count as having been so.  */
static void
note_activity (const struct galena_service_record *before,
               struct galena_service_record *after)
{
  for (uint32_t i = 0; i < after->service.upstream_count; i++)
    {
      struct galena_upstream *upstream = &after->upstreams[i];
      const struct galena_upstream *known
          = before == NULL ? upstream
                           : find_upstream (before, upstream->number);

      upstream->was_active
          = known != NULL && known->state == GALENA_UPSTREAM_ACTIVE;
    }
}

/* Copies RECORD into *AFTER, with what BEFORE has and RECORD lacks.  */
static enum galena_result
merge (const struct galena_service_record *before,
       const struct galena_service_record *record,
       struct galena_service_record *after)
{
  uint32_t count = record->service.upstream_count;
  uint32_t room = count + count_removed (before, record);

  after->service = record->service;
  after->upstreams = calloc (room + 1, sizeof *after->upstreams);
  if (after->upstreams == NULL)
    return GALENA_ERR_MEMORY;
  if (count > 0)
    memcpy (after->upstreams, record->upstreams,
            count * sizeof *after->upstreams);
  append_removed (before, after);
  note_activity (before, after);
  return GALENA_OK;
}

static enum galena_result
put_record (struct galena_records *records,
            const struct galena_service_record *record,
            struct galena_clock now)
{
  struct galena_service_record *present
      = find_record (records, record->service.number);
  struct galena_service_record after;
  struct galena_handle handle;
  enum galena_result result = merge (present, record, &after);

  if (result != GALENA_OK)
    return result;
  note_changes (records, present, &after, now);
  if (present == NULL)
    present = galena_table_insert (records->services, &handle);
  if (present == NULL)
    {
      free (after.upstreams);
      return GALENA_ERR_FULL;
    }
  free (present->upstreams);
  *present = after;
  return GALENA_OK;
}

enum galena_result
galena_records_take (struct galena_records *records,
                     const struct galena_service_record *record,
                     struct galena_clock now)
{
  enum galena_result result = check_record (records, record);

  if (result == GALENA_OK)
    result = put_record (records, record, now);
  if (result != GALENA_OK)
    note (records, GALENA_AUDIT_RECORD_REFUSED, &record->service, 0, now,
          result);
  return result;
}

static uint32_t
count_upstreams (const struct galena_records *records)
{
  const struct galena_service_record *record;
  uint32_t cursor = 0;
  uint32_t count = 0;

  while ((record = galena_records_next (records, &cursor)) != NULL)
    count += record->service.upstream_count;
  return count;
}

static void
fill_snapshot (const struct galena_records *records,
               struct galena_service *services,
               struct galena_upstream *upstreams)
{
  const struct galena_service_record *record;
  uint32_t cursor = 0;
  uint32_t service = 0;
  uint32_t next = 0;

  while ((record = galena_records_next (records, &cursor)) != NULL)
    {
      services[service] = record->service;
      services[service].first_upstream = next;
      for (uint32_t i = 0; i < record->service.upstream_count; i++)
        {
          upstreams[next] = record->upstreams[i];
          upstreams[next++].service = service;
        }
      service++;
    }
}

enum galena_result
galena_records_snapshot (const struct galena_records *records,
                         struct galena_config **out)
{
  uint32_t service_count = galena_table_count (records->services);
  uint32_t upstream_count = count_upstreams (records);
  struct galena_service *services
      = calloc (service_count + 1, sizeof *services);
  struct galena_upstream *upstreams
      = calloc (upstream_count + 1, sizeof *upstreams);
  enum galena_result result = GALENA_ERR_MEMORY;

  if (services == NULL || upstreams == NULL)
    goto done;
  fill_snapshot (records, services, upstreams);
  result = galena_config_create (
      &(struct galena_config_options){ services, service_count, upstreams,
                                       upstream_count },
      out);

done:
  free (services);
  free (upstreams);
  return result;
}
