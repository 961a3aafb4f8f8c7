/* The evacuated zones of a catalog: which knowledge is the newest, and when an
   evacuation ends.

   A zone has a row once an evacuation of it was seen.  Its position is that of
   the newest knowledge; all older knowledge is ignored, wherever it comes
   from.  */

#include "catalog_private.h"

enum
{
  /* After the store has come back from an older copy, an evacuation that the
     copy lacks stays in force for this time, in which the operator's records
     are written again.  */
  REWRITTEN_WITHIN_MS = 6000
};

static struct catalog_zone *
find_zone (struct catalog_zones *zones, uint64_t zone)
{
  for (uint32_t i = 0; i < zones->count; i++)
    if (zones->rows[i].zone == zone)
      return &zones->states[i];
  return NULL;
}

static struct galena_zone_evacuation *
row_of (struct catalog_zones *zones, const struct catalog_zone *state)
{
  return &zones->rows[state - zones->states];
}

/* Returns a row for ZONE, which has none.  In a full table it takes the row of
   the evacuation that ended first; NULL when all are in force.  */
static struct catalog_zone *
add_zone (struct catalog_zones *zones, uint64_t zone)
{
  uint32_t at = zones->count;

  if (at < CATALOG_ZONES_MAX)
    zones->count++;
  else
    for (uint32_t i = 0; i < zones->count; i++)
      if (!zones->rows[i].in_force
          && (at == zones->count
              || galena_store_position_is_before (zones->rows[i].position,
                                                  zones->rows[at].position)))
        at = i;
  if (at == CATALOG_ZONES_MAX)
    return NULL;
  zones->rows[at] = (struct galena_zone_evacuation){ .zone = zone };
  zones->states[at] = (struct catalog_zone){ { 0 }, { 0 }, { 0 } };
  return &zones->states[at];
}

static void
set_evacuated (struct galena_catalog *catalog, struct catalog_zone *state,
               bool in_force, struct galena_store_position position)
{
  struct galena_zone_evacuation *row = row_of (&catalog->zones, state);

  /* Peers must learn that the record has been written again in a new era.  */
  catalog->changed
      |= row->in_force != in_force || row->position.era != position.era;
  row->in_force = in_force;
  row->position = position;
  state->lacked_at = (struct galena_store_position){ 0 };
  state->end_due = (struct galena_clock){ 0 };
}

bool
catalog_apply_evacuation (struct galena_catalog *catalog,
                          enum catalog_source source,
                          struct galena_store_position position,
                          const char *name, bool evacuated,
                          struct galena_store_position *known)
{
  uint64_t zone = galena_service_key_of (name);
  struct catalog_zone *state = find_zone (&catalog->zones, zone);

  *known = state != NULL ? row_of (&catalog->zones, state)->position
                         : catalog->peer_position;
  if (galena_store_position_is_before (position, *known))
    return false;
  if (state == NULL && evacuated)
    state = add_zone (&catalog->zones, zone);
  if (state == NULL)
    return true;
  state->rounds[source] = catalog->rounds[source];
  set_evacuated (catalog, state, evacuated, position);
  return true;
}

/* Ends the evacuation of STATE, which the store lacked at POSITION: at once if
   it was known in the same era, else later, because the record may have been
   lost with the history of the earlier era.  */
static void
end_evacuation (struct galena_catalog *catalog, struct catalog_zone *state,
                struct galena_store_position position, struct galena_clock now)
{
  const struct galena_zone_evacuation *row = row_of (&catalog->zones, state);

  if (!row->in_force
      || galena_store_position_is_before (position, row->position))
    return;
  if (row->position.era == position.era)
    {
      set_evacuated (catalog, state, false, position);
      return;
    }
  if (state->end_due.ms == 0 || state->lacked_at.era < position.era)
    state->end_due = galena_clock_add_ms (now, REWRITTEN_WITHIN_MS);
  state->lacked_at = position;
}

void
catalog_end_unlisted (struct galena_catalog *catalog,
                      enum catalog_source source,
                      struct galena_store_position position,
                      struct galena_clock now)
{
  struct catalog_zones *zones = &catalog->zones;

  for (uint32_t i = 0; i < zones->count; i++)
    if (zones->states[i].rounds[source] != catalog->rounds[source])
      end_evacuation (catalog, &zones->states[i], position, now);
}

/* Returns whether the evacuation in ROW of a peer, of a zone that has no row
   here, tells more than the absence of the row.  */
static bool
is_news (const struct galena_catalog *catalog,
         const struct galena_zone_evacuation *row)
{
  struct galena_store_position known = catalog->calls.position;

  return row->in_force
         && (row->position.era != known.era
             || galena_store_position_is_before (known, row->position));
}

static void
merge_row (struct galena_catalog *catalog, struct galena_clock now,
           const struct galena_zone_evacuation *row)
{
  struct catalog_zones *zones = &catalog->zones;
  struct catalog_zone *state = find_zone (zones, row->zone);
  struct galena_store_position known = catalog->calls.position;

  if (state == NULL && is_news (catalog, row))
    state = add_zone (zones, row->zone);
  if (state == NULL)
    return;
  state->rounds[SOURCE_PEER] = catalog->rounds[SOURCE_PEER];
  if (!galena_store_position_is_before (row_of (zones, state)->position,
                                        row->position))
    return;
  set_evacuated (catalog, state, row->in_force, row->position);
  if (catalog->calls.list_read && row->position.era < known.era)
    end_evacuation (catalog, state, known, now);
}

void
catalog_merge_evacuations (struct galena_catalog *catalog,
                           struct galena_clock now,
                           const struct galena_catalog_snapshot *snapshot)
{
  for (uint32_t i = 0; i < snapshot->evacuation_count; i++)
    merge_row (catalog, now, &snapshot->evacuations[i]);
}

/* Returns when the end of STATE's evacuation is due; INT64_MAX when none
   is.  */
static struct galena_clock
end_due (const struct catalog_zone *state)
{
  return state->end_due.ms != 0 ? state->end_due
                                : (struct galena_clock){ INT64_MAX };
}

struct galena_clock
catalog_zones_due (const struct galena_catalog *catalog)
{
  struct galena_clock first = { INT64_MAX };

  for (uint32_t i = 0; i < catalog->zones.count; i++)
    if (end_due (&catalog->zones.states[i]).ms < first.ms)
      first = end_due (&catalog->zones.states[i]);
  return first;
}

void
catalog_update_zones (struct galena_catalog *catalog, struct galena_clock now)
{
  struct catalog_zones *zones = &catalog->zones;

  for (uint32_t i = 0; i < zones->count; i++)
    if (galena_clock_reached (now, end_due (&zones->states[i])))
      set_evacuated (catalog, &zones->states[i], false,
                     zones->states[i].lacked_at);
}
