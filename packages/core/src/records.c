/* A table of service records and what taking one changes.  */

#include <stdlib.h>
#include <string.h>

#include <galenaford/map.h>
#include <galenaford/records.h>
#include <galenaford/table.h>

enum
{
  /* Most upstreams that the list of instances calls leaving.  */
  LEAVING_MAX = 4096
};

struct galena_records
{
  struct galena_table *services;
  uint32_t capacity;
  /* Number to handle of the service.  */
  struct galena_map *by_number;
  /* Numbers of the upstreams that the list of instances calls leaving.  */
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
is_newer (const struct galena_service *present,
          const struct galena_service *next)
{
  if (next->generation != present->generation)
    return next->generation > present->generation;
  return next->digest > present->digest;
}

static bool
conflicts (const struct galena_service *present,
           const struct galena_service *next)
{
  return next->generation == present->generation
         && next->digest != present->digest;
}

/* Tells whether OTHER has the address of RECORD, or one of its upstreams and
   has not removed it.  */
static bool
clashes (const struct galena_service_record *other,
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

static void
note_clashes (const struct galena_records *records,
              const struct galena_service_record *record,
              struct galena_clock now)
{
  const struct galena_service_record *other;
  uint32_t cursor = 0;

  while ((other = galena_records_next (records, &cursor)) != NULL)
    if (other->service.number != record->service.number
        && clashes (other, record))
      note (records, GALENA_AUDIT_RECORD_CLASH, &record->service, 0, now,
            GALENA_ERR_EXISTS);
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
  if (present == NULL
      && galena_table_count (records->services) == records->capacity)
    {
      free (after.upstreams);
      return GALENA_ERR_FULL;
    }
  note_clashes (records, record, now);
  note_changes (records, present, &after, now);
  if (present == NULL)
    {
      present = galena_table_insert (records->services, &handle);
      galena_map_insert (records->by_number, record->service.number,
                         galena_handle_pack (handle));
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
  const struct galena_service_record *present
      = find_record (records, record->service.number);
  enum galena_result result = GALENA_ERR_GENERATION;

  if (present != NULL && conflicts (&present->service, &record->service))
    note (records, GALENA_AUDIT_RECORD_CONFLICT, &record->service, 0, now,
          GALENA_ERR_EXISTS);
  if (present == NULL || is_newer (&present->service, &record->service))
    result = put_record (records, record, now);
  if (result != GALENA_OK)
    note (records, GALENA_AUDIT_RECORD_REFUSED, &record->service, 0, now,
          result);
  return result;
}

enum galena_result
galena_records_mark (struct galena_records *records, uint32_t upstream,
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
  note (records,
        leaving ? GALENA_AUDIT_UPSTREAM_LEAVING : GALENA_AUDIT_UPSTREAM_ADDED,
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

/* Tells whether a service with a lower number claims the address too.  */
static bool
is_outranked (const struct galena_records *records,
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

/* Rank of a claim to an upstream number, low is better: services that have
   removed it come last, then the lower service number wins.  */
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

/* Copies the upstreams of RECORD whose claim is the best; returns how many. */
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

/* Returns the number of upstreams filled in.  */
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
      if (is_outranked (records, &record->service))
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
