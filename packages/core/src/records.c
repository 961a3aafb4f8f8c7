/* The table of current service records, and how a record is applied.  */

#include <stdlib.h>
#include <string.h>

#include <galenaford/map.h>
#include <galenaford/records.h>
#include <galenaford/table.h>

enum
{
  /* Maximum number of upstreams that are marked as leaving.  */
  LEAVING_MAX = 4096
};

struct galena_records
{
  struct galena_table *services;
  uint32_t capacity;
  /* From the number of a service to its handle.  */
  struct galena_map *by_number;
  /* Numbers of the upstreams that the list of instances marks as leaving.  */
  struct galena_map *leaving;
  struct galena_audit *audit;
};

enum galena_result
galena_records_create (const struct galena_records_options *options,
                       struct galena_records **out)
{
  struct galena_table_options table
      = { sizeof (struct galena_service_record), options->services };
  struct galena_map_options by_number = { options->services, 0 };
  struct galena_map_options leaving = { LEAVING_MAX, 0 };
  struct galena_records *records = calloc (1, sizeof *records);
  enum galena_result result;

  if (records == NULL)
    return GALENA_ERR_MEMORY;
  records->audit = options->audit;
  records->capacity = options->services;
  result = galena_table_create (&table, &records->services);
  if (result != GALENA_OK)
    goto fail;
  result = galena_map_create (&by_number, &records->by_number);
  if (result != GALENA_OK)
    goto fail;
  result = galena_map_create (&leaving, &records->leaving);
  if (result != GALENA_OK)
    goto fail;
  *out = records;
  return GALENA_OK;

fail:
  galena_records_destroy (records);
  return result;
}

void
galena_records_destroy (struct galena_records *records)
{
  struct galena_service_record *record;
  struct galena_handle handle;
  uint32_t cursor = 0;

  if (records == NULL)
    return;
  while (records->services != NULL
         && (record = galena_table_next (records->services, &cursor, &handle))
                != NULL)
    free (record->upstreams);
  galena_table_destroy (records->services);
  galena_map_destroy (records->by_number);
  galena_map_destroy (records->leaving);
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
  uint64_t packed;

  if (!galena_map_find (records->by_number, number, &packed))
    return NULL;
  return galena_table_get (records->services, galena_handle_unpack (packed));
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
is_newer (const struct galena_service *current,
          const struct galena_service *next)
{
  if (next->generation != current->generation)
    return next->generation > current->generation;
  return next->digest > current->digest;
}

static bool
has_conflict (const struct galena_service *current,
              const struct galena_service *next)
{
  return next->generation == current->generation
         && next->digest != current->digest;
}

/* Returns whether OTHER has the same address as RECORD, or has an upstream of
   RECORD in another state than removed.  */
static bool
has_clash (const struct galena_service_record *other,
           const struct galena_service_record *record)
{
  if (galena_endpoint_equal (other->service.address, record->service.address))
    return true;
  for (uint32_t i = 0; i < record->service.upstream_count; i++)
    {
      const struct galena_upstream *known
          = find_upstream (other, record->upstreams[i].number);

      if (known != NULL && known->state != GALENA_UPSTREAM_REMOVED)
        return true;
    }
  return false;
}

static void
append_audit (const struct galena_records *records,
              enum galena_audit_event event,
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
audit_changes (const struct galena_records *records,
               const struct galena_service_record *before,
               const struct galena_service_record *after,
               struct galena_clock now)
{
  static const enum galena_audit_event EVENTS[] = {
    [GALENA_UPSTREAM_ACTIVE] = GALENA_AUDIT_UPSTREAM_ADDED,
    [GALENA_UPSTREAM_LEAVING] = GALENA_AUDIT_UPSTREAM_LEAVING,
    [GALENA_UPSTREAM_REMOVED] = GALENA_AUDIT_UPSTREAM_REMOVED,
  };

  append_audit (records, GALENA_AUDIT_RECORD_TAKEN, &after->service, 0, now,
                GALENA_OK);
  for (uint32_t i = 0; i < after->service.upstream_count; i++)
    {
      const struct galena_upstream *upstream = &after->upstreams[i];
      const struct galena_upstream *known
          = find_upstream (before, upstream->number);

      if (known != NULL && known->state == upstream->state)
        continue;
      append_audit (records, EVENTS[upstream->state], &after->service,
                    upstream->number, now, GALENA_OK);
    }
}

static void
audit_clashes (const struct galena_records *records,
               const struct galena_service_record *record,
               struct galena_clock now)
{
  const struct galena_service_record *other;
  uint32_t cursor = 0;

  while ((other = galena_records_next (records, &cursor)) != NULL)
    if (other->service.number != record->service.number
        && has_clash (other, record))
      append_audit (records, GALENA_AUDIT_RECORD_CLASH, &record->service, 0,
                    now, GALENA_ERR_EXISTS);
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

/* Appends to AFTER, as removed, the upstreams of BEFORE that it lacks.  */
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

/* Sets was_active of each upstream of AFTER from its state in BEFORE.  When
   there is no earlier record, it is set for all active upstreams.  */
static void
set_was_active (const struct galena_service_record *before,
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

/* Copies RECORD into *AFTER and adds the upstreams that only BEFORE has.  */
static enum galena_result
merge (const struct galena_service_record *before,
       const struct galena_service_record *record,
       struct galena_service_record *after)
{
  uint32_t count = record->service.upstream_count;
  uint32_t capacity = count + count_removed (before, record);

  after->service = record->service;
  after->upstreams = calloc (capacity + 1, sizeof *after->upstreams);
  if (after->upstreams == NULL)
    return GALENA_ERR_MEMORY;
  if (count > 0)
    memcpy (after->upstreams, record->upstreams,
            count * sizeof *after->upstreams);
  append_removed (before, after);
  set_was_active (before, after);
  return GALENA_OK;
}

static enum galena_result
replace_record (struct galena_records *records,
                const struct galena_service_record *record,
                struct galena_clock now)
{
  struct galena_service_record *current
      = find_record (records, record->service.number);
  struct galena_service_record after;
  struct galena_handle handle;
  enum galena_result result = merge (current, record, &after);

  if (result != GALENA_OK)
    return result;
  if (current == NULL
      && galena_table_count (records->services) == records->capacity)
    {
      free (after.upstreams);
      return GALENA_ERR_FULL;
    }
  audit_clashes (records, record, now);
  audit_changes (records, current, &after, now);
  if (current == NULL)
    {
      current = galena_table_insert (records->services, &handle);
      galena_map_insert (records->by_number, record->service.number,
                         galena_handle_pack (handle));
    }
  free (current->upstreams);
  *current = after;
  return GALENA_OK;
}

enum galena_result
galena_records_apply (struct galena_records *records,
                      const struct galena_service_record *record,
                      struct galena_clock now)
{
  const struct galena_service_record *current
      = find_record (records, record->service.number);
  enum galena_result result = GALENA_ERR_GENERATION;

  if (current != NULL && has_conflict (&current->service, &record->service))
    append_audit (records, GALENA_AUDIT_RECORD_CONFLICT, &record->service, 0,
                  now, GALENA_ERR_EXISTS);
  if (current == NULL || is_newer (&current->service, &record->service))
    result = replace_record (records, record, now);
  if (result != GALENA_OK)
    append_audit (records, GALENA_AUDIT_RECORD_REFUSED, &record->service, 0,
                  now, result);
  return result;
}

enum galena_result
galena_records_set_leaving (struct galena_records *records, uint32_t upstream,
                            bool leaving, struct galena_clock now)
{
  struct galena_service none = { 0 };
  uint64_t value;

  if (galena_map_find (records->leaving, upstream, &value) == leaving)
    return GALENA_OK;
  if (!leaving)
    galena_map_remove (records->leaving, upstream);
  else if (galena_map_insert (records->leaving, upstream, 1) != GALENA_OK)
    return GALENA_ERR_FULL;
  /* An upstream that is no longer leaving is recorded as added.  */
  append_audit (records,
                leaving ? GALENA_AUDIT_UPSTREAM_LEAVING
                        : GALENA_AUDIT_UPSTREAM_ADDED,
                &none, upstream, now, GALENA_OK);
  return GALENA_OK;
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

/* Returns whether a service with a lower number has the same address.  */
static bool
loses_address (const struct galena_records *records,
               const struct galena_service *service)
{
  const struct galena_service_record *other;
  uint32_t cursor = 0;

  while ((other = galena_records_next (records, &cursor)) != NULL)
    if (other->service.number < service->number
        && galena_endpoint_equal (other->service.address, service->address))
      return true;
  return false;
}

/* Returns the rank of a claim to an upstream number; the lowest rank wins.
   Claims of services that have removed the upstream rank last, the others by
   service number.  */
static uint64_t
claim_rank (const struct galena_service *service,
            const struct galena_upstream *upstream)
{
  uint64_t removed = upstream->state == GALENA_UPSTREAM_REMOVED;

  return (removed << 32) | service->number;
}

/* Stores the best claim to each upstream number in CLAIMS.  */
static void
rank_claims (const struct galena_records *records, struct galena_map *claims)
{
  const struct galena_service_record *record;
  uint32_t cursor = 0;

  while ((record = galena_records_next (records, &cursor)) != NULL)
    for (uint32_t i = 0; i < record->service.upstream_count; i++)
      {
        const struct galena_upstream *upstream = &record->upstreams[i];
        uint64_t rank = claim_rank (&record->service, upstream);
        uint64_t best;

        if (galena_map_find (claims, upstream->number, &best))
          {
            if (best <= rank)
              continue;
            galena_map_remove (claims, upstream->number);
          }
        galena_map_insert (claims, upstream->number, rank);
      }
}

/* Copies the upstreams of RECORD whose claim wins; returns their number.  */
static uint32_t
fill_upstreams (const struct galena_records *records,
                const struct galena_map *claims,
                const struct galena_service_record *record,
                struct galena_upstream *upstreams)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < record->service.upstream_count; i++)
    {
      struct galena_upstream *copy = &upstreams[count];
      uint64_t value = 0;

      *copy = record->upstreams[i];
      galena_map_find (claims, copy->number, &value);
      if (value != claim_rank (&record->service, copy))
        continue;
      if (copy->state == GALENA_UPSTREAM_ACTIVE
          && galena_map_find (records->leaving, copy->number, &value))
        copy->state = GALENA_UPSTREAM_LEAVING;
      count++;
    }
  return count;
}

/* Fills in the services and upstreams of a snapshot; returns the number of
   upstreams.  */
static uint32_t
fill_snapshot (const struct galena_records *records,
               const struct galena_map *claims,
               struct galena_service *services,
               struct galena_upstream *upstreams)
{
  const struct galena_service_record *record;
  uint32_t cursor = 0;
  uint32_t index = 0;
  uint32_t next = 0;

  while ((record = galena_records_next (records, &cursor)) != NULL)
    {
      struct galena_service *service = &services[index];

      *service = record->service;
      if (loses_address (records, &record->service))
        service->address = (struct galena_endpoint){ 0, 0 };
      service->first_upstream = next;
      service->upstream_count
          = fill_upstreams (records, claims, record, &upstreams[next]);
      for (uint32_t i = 0; i < service->upstream_count; i++)
        upstreams[next++].service = index;
      index++;
    }
  return next;
}

enum galena_result
galena_records_snapshot (const struct galena_records *records,
                         struct galena_config **out)
{
  uint32_t service_count = galena_table_count (records->services);
  uint32_t upstream_count = count_upstreams (records);
  struct galena_map_options options = { upstream_count + 1, 0 };
  struct galena_map *claims = NULL;
  struct galena_service *services
      = calloc (service_count + 1, sizeof *services);
  struct galena_upstream *upstreams
      = calloc (upstream_count + 1, sizeof *upstreams);
  enum galena_result result = galena_map_create (&options, &claims);

  if (services == NULL || upstreams == NULL)
    result = GALENA_ERR_MEMORY;
  if (result != GALENA_OK)
    goto done;
  rank_claims (records, claims);
  upstream_count = fill_snapshot (records, claims, services, upstreams);
  result = galena_config_create (
      &(struct galena_config_options){ services, service_count, upstreams,
                                       upstream_count },
      out);

done:
  galena_map_destroy (claims);
  free (services);
  free (upstreams);
  return result;
}
