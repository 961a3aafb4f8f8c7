/* Upstreams as published, and what their agents say.  */

#include "entry_tables.h"

enum
{
  /* An open that was not replied to by then won't be: it or the reply was
     lost.  */
  REPLY_EXPECTED_MS = 250,
  /* An open that is unanswered makes its agent avoided for so long; a reply
     ends it at once.  */
  SUSPECT_MS = 1000,
  /* An upstream that is not published is gone once neither the platform names
     it for so long (platform: a live one is back within two seconds), */
  GONE_ABSENT_MS = 2000,
  /* nor its agent was heard for so long (four announcements).  */
  GONE_SILENT_MS = 2000,
  /* A row is kept for flows of the greatest age after that.  */
  FORGET_MS = 60000,
  /* Hellos to agents in one round.  */
  HELLOS_MAX = 16
};

struct upstream_row *
entry_upstream (const struct galena_plane *plane, struct galena_handle handle)
{
  return galena_table_get (plane->entry->upstreams, handle);
}

struct upstream_row *
entry_upstream_at (const struct galena_plane *plane, uint32_t ip,
                   struct galena_handle *handle)
{
  uint64_t packed;

  if (!galena_map_find (plane->entry->upstreams_by_ip, ip, &packed))
    return NULL;
  *handle = galena_handle_unpack (packed);
  return entry_upstream (plane, *handle);
}

galena_service_key
entry_service_of (const struct upstream_row *upstream)
{
  if (upstream->announced_service != 0)
    return upstream->announced_service;
  return upstream->listed_service;
}

bool
entry_is_ready (const struct upstream_row *upstream)
{
  return upstream->listing == GALENA_LISTING_READY && !upstream->load.leaving;
}

bool
entry_is_gone (const struct galena_plane *plane,
               const struct upstream_row *upstream)
{
  return upstream->listing == GALENA_LISTING_ABSENT
         && galena_clock_elapsed_ms (upstream->absent_since, plane->now)
                >= GONE_ABSENT_MS
         && galena_clock_elapsed_ms (upstream->heard, plane->now)
                >= GONE_SILENT_MS;
}

static void
remove_row (struct galena_plane *plane, const struct upstream_row *upstream,
            struct galena_handle handle)
{
  galena_map_remove (plane->entry->upstreams_by_ip, upstream->agent.ip);
  galena_table_remove (plane->entry->upstreams, handle);
}

static struct upstream_row *
add_row (struct galena_plane *plane, uint32_t ip, struct galena_handle *handle)
{
  struct upstream_row *upstream
      = galena_table_insert (plane->entry->upstreams, handle);

  if (upstream == NULL)
    return NULL;
  upstream->agent = (struct galena_endpoint){ ip, plane->options.self.port };
  upstream->absent_since = plane->now;
  galena_map_insert (plane->entry->upstreams_by_ip, ip,
                     galena_handle_pack (*handle));
  return upstream;
}

static void
note_listing (struct galena_plane *plane, const struct upstream_row *upstream)
{
  plane_note (plane, (struct galena_plane_note){
                         .event = GALENA_EVENT_UPSTREAM,
                         .agent = upstream->agent,
                         .version = upstream->born_ms,
                         .age_ms = upstream->heard.ms == 0
                                       ? -1
                                       : galena_clock_elapsed_ms (
                                           upstream->heard, plane->now),
                         .detail = upstream->listing });
}

/* Tells whether LISTED is a later life at the address of UPSTREAM.  */
static bool
is_later_life (const struct upstream_row *upstream,
               const struct galena_listed_upstream *listed)
{
  return upstream->born_ms != 0 && listed->born_ms > upstream->born_ms;
}

static void
take_listed (struct galena_plane *plane,
             const struct galena_listed_upstream *listed, uint64_t directory)
{
  struct galena_handle handle;
  struct upstream_row *upstream
      = entry_upstream_at (plane, listed->address.ip, &handle);

  if (upstream != NULL && upstream->directory == directory
      && !is_later_life (upstream, listed))
    return;
  /* A later life keeps its row: flows may have been opened at it before it
     was published, and those of the earlier one are returned to its agent. */
  if (upstream == NULL)
    upstream = add_row (plane, listed->address.ip, &handle);
  if (upstream == NULL)
    return;
  upstream->directory = directory;
  upstream->listed_service = listed->service;
  upstream->born_ms = listed->born_ms;
  upstream->zone = listed->zone;
  upstream->slots = listed->slots;
  upstream->warm_at = galena_clock_add_ms (plane->now, listed->warm_up_ms);
  if (upstream->listing == listed->state)
    return;
  upstream->listing = listed->state;
  note_listing (plane, upstream);
}

/* Marks the rows that DIRECTORY does not name.  */
static void
mark_absent (struct galena_plane *plane, uint64_t directory)
{
  struct upstream_row *upstream;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((upstream
          = galena_table_next (plane->entry->upstreams, &cursor, &handle))
         != NULL)
    {
      if (upstream->directory == directory
          || upstream->listing == GALENA_LISTING_ABSENT)
        continue;
      upstream->listing = GALENA_LISTING_ABSENT;
      upstream->absent_since = plane->now;
      note_listing (plane, upstream);
    }
}

void
entry_run_directory (struct galena_plane *plane)
{
  const struct galena_directory *directory = plane->directory;
  const struct galena_listed_upstream *upstreams;
  uint64_t number;
  uint32_t count;

  if (directory == NULL)
    return;
  number = galena_directory_number (directory);
  if (number == plane->entry->directory)
    return;
  plane->entry->directory = number;
  upstreams = galena_directory_upstreams (directory, &count);
  for (uint32_t i = 0; i < count; i++)
    take_listed (plane, &upstreams[i], number);
  mark_absent (plane, number);
  if (galena_directory_version (directory) == plane->entry->version)
    return;
  plane->entry->version = galena_directory_version (directory);
  plane_note (plane,
              (struct galena_plane_note){ .event = GALENA_EVENT_CONFIG,
                                          .version = plane->entry->version,
                                          .age_ms = -1 });
}

struct upstream_row *
entry_hear (struct galena_plane *plane, struct galena_endpoint peer,
            const struct galena_peer_message *message,
            struct galena_handle *handle)
{
  struct upstream_row *upstream = entry_upstream_at (plane, peer.ip, handle);

  if (upstream == NULL)
    upstream = add_row (plane, peer.ip, handle);
  if (upstream == NULL)
    return NULL;
  if (!galena_clock_reached (plane->now, upstream->suspect_until))
    plane_note (
        plane, (struct galena_plane_note){ .event = GALENA_EVENT_HEARD,
                                           .agent = upstream->agent,
                                           .age_ms = galena_clock_elapsed_ms (
                                               upstream->heard, plane->now) });
  upstream->suspect_until = plane->now;
  upstream->heard = plane->now;
  upstream->announced_service = message->service;
  upstream->load = message->load;
  if (galena_clock_elapsed_ms (upstream->placed_at, plane->now)
      > REPLY_EXPECTED_MS)
    upstream->placed = 0;
  return upstream;
}

void
entry_note_placed (struct galena_plane *plane, struct upstream_row *upstream)
{
  upstream->placed++;
  upstream->placed_at = plane->now;
}

void
entry_note_reply (struct upstream_row *upstream)
{
  if (upstream->placed > 0)
    upstream->placed--;
}

void
entry_suspect (struct galena_plane *plane, struct galena_handle handle)
{
  struct upstream_row *upstream = entry_upstream (plane, handle);

  if (upstream == NULL)
    return;
  if (galena_clock_reached (plane->now, upstream->suspect_until))
    plane_note (plane, (struct galena_plane_note){
                           .event = GALENA_EVENT_SUSPECT,
                           .agent = upstream->agent,
                           .age_ms = upstream->heard.ms == 0
                                         ? -1
                                         : galena_clock_elapsed_ms (
                                             upstream->heard, plane->now) });
  upstream->suspect_until = galena_clock_add_ms (plane->now, SUSPECT_MS);
}

static void
say_hello (struct galena_plane *plane, const struct upstream_row *upstream)
{
  struct galena_peer_message hello = { .type = GALENA_PEER_HELLO };

  hello.slots = upstream->slots;
  hello.listing = upstream->listing;
  hello.born_ms = upstream->born_ms;
  plane_send_message (plane, upstream->agent, &hello);
}

void
entry_run_hello (struct galena_plane *plane)
{
  struct entry_tables *entry = plane->entry;
  uint32_t left = galena_table_count (entry->upstreams);

  if (left > HELLOS_MAX)
    left = HELLOS_MAX;
  while (left > 0)
    {
      struct galena_handle handle;
      struct upstream_row *upstream = galena_table_next (
          entry->upstreams, &entry->hello_cursor, &handle);

      if (upstream == NULL)
        {
          entry->hello_cursor = 0;
          continue;
        }
      left--;
      if (!entry_is_gone (plane, upstream))
        say_hello (plane, upstream);
      else if (galena_clock_elapsed_ms (upstream->absent_since, plane->now)
                   > FORGET_MS
               && galena_clock_elapsed_ms (upstream->heard, plane->now)
                      > FORGET_MS)
        remove_row (plane, upstream, handle);
    }
}
