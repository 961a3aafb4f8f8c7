/* Evacuated availability zones at an entry: no flow is opened at an upstream
   of such a zone, and the agents there are told at once.  */

#include "entry_tables.h"

enum
{
  /* After an agent has refused an open because its zone is evacuated, which is
     not known here, the zone is avoided for this time: an entry that is cut
     off from the platform and its peers tries it once in a while.  */
  REFUSED_ZONE_MS = 1000
};

bool
entry_is_evacuated (const struct galena_plane *plane,
                    const struct upstream_row *upstream)
{
  return upstream->zone_state.evacuated
         || !galena_clock_reached (plane->now, upstream->evacuated_until);
}

static void
note_refusal (struct galena_plane *plane, struct upstream_row *upstream)
{
  upstream->evacuated_until
      = galena_clock_add_ms (plane->now, REFUSED_ZONE_MS);
  entry_start_slowly (upstream, upstream->evacuated_until);
}

void
entry_note_evacuated (struct galena_plane *plane,
                      struct upstream_row *refusing)
{
  struct upstream_row *upstream;
  struct galena_handle handle;
  uint32_t cursor = 0;

  note_refusal (plane, refusing);
  if (refusing->directory_number == 0)
    return;
  while ((upstream
          = galena_table_next (plane->entry->upstreams, &cursor, &handle))
         != NULL)
    if (upstream->directory_number != 0 && upstream->zone == refusing->zone)
      note_refusal (plane, upstream);
}

/* Applies what the directory says of the zone of UPSTREAM, which is known once
   it was published.  */
static void
apply_zone (struct galena_plane *plane, struct upstream_row *upstream)
{
  struct galena_zone_evacuation evacuation
      = galena_directory_evacuation (plane->directory, upstream->zone);

  if (upstream->directory_number == 0)
    return;
  if (evacuation.in_force != upstream->zone_state.evacuated)
    {
      upstream->zone_untold = true;
      plane->entry->hellos_due = true;
      if (!evacuation.in_force)
        entry_start_slowly (upstream, plane->now);
    }
  upstream->zone_state
      = (struct galena_zone_state){ evacuation.in_force, evacuation.position };
}

/* Logs EVENT of the zone of EVACUATION, with the agent of one of its
   upstreams, which tells the operator which zone it is.  */
static void
log_zone (struct galena_plane *plane, enum galena_plane_event event,
          struct galena_zone_evacuation evacuation)
{
  struct galena_plane_logged_event logged = {
    .event = event, .version = evacuation.position.revision, .age_ms = -1
  };
  const struct upstream_row *upstream;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((upstream
          = galena_table_next (plane->entry->upstreams, &cursor, &handle))
         != NULL)
    if (upstream->directory_number != 0 && upstream->zone == evacuation.zone)
      {
        logged.agent = upstream->agent;
        logged.detail++;
      }
  plane_log_event (plane, logged);
}

static bool
is_logged (const struct entry_tables *entry, uint64_t zone)
{
  for (uint32_t i = 0; i < entry->evacuated_count; i++)
    if (entry->evacuated_zones[i] == zone)
      return true;
  return false;
}

/* Logs the zones that were evacuated or returned since the last directory.  */
static void
log_zones (struct galena_plane *plane)
{
  struct entry_tables *entry = plane->entry;
  const struct galena_zone_evacuation *rows;
  uint32_t count;
  uint32_t kept = 0;

  rows = galena_directory_evacuations (plane->directory, &count);
  for (uint32_t i = 0; i < entry->evacuated_count; i++)
    {
      struct galena_zone_evacuation evacuation = galena_directory_evacuation (
          plane->directory, entry->evacuated_zones[i]);

      if (evacuation.in_force)
        entry->evacuated_zones[kept++] = evacuation.zone;
      else
        log_zone (plane, GALENA_EVENT_ZONE_RETURNED, evacuation);
    }
  entry->evacuated_count = kept;
  for (uint32_t i = 0;
       i < count && entry->evacuated_count < ENTRY_EVACUATED_MAX; i++)
    if (rows[i].in_force && !is_logged (entry, rows[i].zone))
      {
        entry->evacuated_zones[entry->evacuated_count++] = rows[i].zone;
        log_zone (plane, GALENA_EVENT_ZONE_EVACUATED, rows[i]);
      }
}

void
entry_apply_zones (struct galena_plane *plane)
{
  struct upstream_row *upstream;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((upstream
          = galena_table_next (plane->entry->upstreams, &cursor, &handle))
         != NULL)
    apply_zone (plane, upstream);
  log_zones (plane);
}

void
entry_tell_agent (struct galena_plane *plane, struct galena_endpoint peer)
{
  struct galena_handle handle;
  struct upstream_row *upstream = entry_upstream_at (plane, peer.ip, &handle);

  if (upstream != NULL
      && (upstream->zone_state.evacuated
          || (upstream->warm_up_per_s > 0
              && entry_warm_up_left_ms (plane, upstream) > 0)))
    entry_send_hello (plane, upstream);
}
