/* Lists and watches what the platform publishes, and builds directories from
   it.  */

#include <stdlib.h>
#include <string.h>

#include "catalog_private.h"

enum
{
  /* A list usually takes a few milliseconds; a slow store takes a hundred
     times as long.  */
  LIST_TIMEOUT_MS = 1200,
  /* Timeout of a watch beyond its wait: a slow store replies in a hundred
     times the usual 4 ms, plus a margin.  */
  WATCH_MARGIN_MS = 700,
  /* Backoff before a failed call is retried: doubles up to the maximum, with a
     random part of up to as much again.  */
  BACKOFF_MIN_MS = 100,
  BACKOFF_DOUBLINGS_MAX = 3,
  BACKOFF_MAX_MS = 800,
  /* After a change, the next watch begins only this much later, so that it
     returns changes in quick succession together: a tenth of the shortest time
     in which a change must take effect.  */
  COALESCE_MS = 200,
  /* A peer is asked for its snapshot when the platform has not replied for
     this time, many times its usual 4 ms, and again each time that it has
     passed.  */
  PEER_SNAPSHOT_AFTER_MS = 200,
  /* After the first list, up to this many peers are asked for their snapshots
     until one replies: the store may have come back from an older copy just
     before.  */
  COMPARISONS_MAX = 3
};

enum galena_result
galena_catalog_create (const struct galena_catalog_options *options,
                       struct galena_catalog **out)
{
  struct galena_table_options rows
      = { sizeof (struct catalog_upstream), options->upstreams };
  struct galena_map_options keys = { options->upstreams, options->seed };
  struct galena_catalog *catalog = calloc (1, sizeof *catalog);
  enum galena_result result;

  if (catalog == NULL)
    return GALENA_ERR_MEMORY;
  catalog->options = *options;
  catalog->random = (struct galena_random){ options->seed, 0 };
  result = galena_table_create (&rows, &catalog->items);
  if (result == GALENA_OK)
    result = galena_map_create (&keys, &catalog->items_by_key);
  if (result != GALENA_OK)
    {
      galena_catalog_destroy (catalog);
      return result;
    }
  *out = catalog;
  return GALENA_OK;
}

void
galena_catalog_destroy (struct galena_catalog *catalog)
{
  if (catalog == NULL)
    return;
  galena_table_destroy (catalog->items);
  galena_map_destroy (catalog->items_by_key);
  free (catalog->routes);
  free (catalog->services);
  free (catalog->snapshot_rows);
  free (catalog);
}

static bool
is_first_page (const struct call_state *calls)
{
  return calls->kind == GALENA_CALL_LIST && calls->after[0] == '\0';
}

bool
galena_catalog_next_call (struct galena_catalog *catalog,
                          struct galena_clock now,
                          struct galena_catalog_call *call)
{
  struct call_state *calls = &catalog->calls;

  if (calls->busy || !galena_clock_reached (now, calls->due))
    return false;
  calls->busy = true;
  calls->reply_has_changes = false;
  if (calls->kind == GALENA_CALL_LIST && catalog->unanswered_since.ms == 0)
    catalog->unanswered_since = now;
  memset (call, 0, sizeof *call);
  call->kind = calls->kind;
  call->timeout_ms = LIST_TIMEOUT_MS;
  calls->call_era = calls->position.era;
  if (calls->kind == GALENA_CALL_LIST)
    {
      if (is_first_page (calls))
        {
          catalog->rounds[SOURCE_PLATFORM]++;
          catalog->list_again = false;
        }
      else
        calls->call_era = calls->list_position.era;
      memcpy (call->after, calls->after, sizeof call->after);
      return true;
    }
  call->revision = calls->position.revision;
  call->wait_ms = calls->refreshing ? 0 : catalog->options.wait_ms;
  call->timeout_ms = call->wait_ms + WATCH_MARGIN_MS;
  return true;
}

bool
catalog_routes_to (const struct galena_catalog *catalog,
                   galena_service_key service)
{
  for (uint32_t i = 0; i < catalog->route_count; i++)
    for (uint32_t k = 0; k < catalog->routes[i].share_count; k++)
      if (catalog->routes[i].shares[k].service == service)
        return true;
  return false;
}

/* Returns a copy of the COUNT rows of SIZE bytes at ROWS; NULL when memory is
   short.  */
static void *
copy_rows (const void *rows, uint32_t count, size_t size)
{
  void *copy = calloc ((size_t)count + 1, size);

  if (copy != NULL && count > 0)
    memcpy (copy, rows, count * size);
  return copy;
}

/* Returns false when a newer version than that of CONFIG is known.  */
static bool
apply_config (struct galena_catalog *catalog,
              struct galena_store_position position,
              const struct galena_published_config *config)
{
  struct galena_service_limits *services;
  struct galena_route *routes;

  /* An older version never replaces a newer one, whatever the reply contains.
     The same one does at a later position: a version that the store has lost
     may be given out again.  */
  if (config->version < catalog->version)
    return false;
  if (config->version == catalog->version
      && !galena_store_position_is_before (catalog->version_position,
                                           position))
    return true;
  routes = copy_rows (config->routes, config->route_count, sizeof *routes);
  services
      = copy_rows (config->services, config->service_count, sizeof *services);
  if (routes == NULL || services == NULL)
    {
      free (routes);
      free (services);
      return true;
    }
  free (catalog->routes);
  free (catalog->services);
  catalog->routes = routes;
  catalog->route_count = config->route_count;
  catalog->services = services;
  catalog->service_count = config->service_count;
  catalog->version = config->version;
  catalog->version_position = position;
  catalog->changed = true;
  catalog->list_again = catalog->left_out;
  return true;
}

enum galena_call_result
galena_catalog_begin_reply (struct galena_catalog *catalog, uint64_t era)
{
  struct call_state *calls = &catalog->calls;

  calls->reply_era = era != 0 ? era : calls->call_era;
  if (calls->reply_era < calls->position.era)
    return GALENA_CALL_FAILED;
  /* The store has lost what the call refers to, whatever its status: the
     revision of a watch, or the earlier pages of a list, are of a history that
     has ended.  */
  if (calls->reply_era > calls->call_era && !is_first_page (calls))
    return GALENA_CALL_HISTORY_GONE;
  return GALENA_CALL_OK;
}

bool
galena_catalog_apply_change (struct galena_catalog *catalog,
                             struct galena_clock now,
                             const struct galena_change *change,
                             struct galena_store_position *known)
{
  struct galena_store_position position
      = { catalog->calls.reply_era, change->revision };
  struct catalog_upstream *item;

  catalog->calls.reply_has_changes = true;
  if (change->kind == GALENA_CHANGE_CONFIG)
    {
      *known = catalog->version_position;
      return apply_config (catalog, position, &change->config);
    }
  if (change->kind == GALENA_CHANGE_EVACUATION)
    return catalog_apply_evacuation (catalog, SOURCE_PLATFORM, position,
                                     change->key, change->evacuated, known);
  item = catalog_find_upstream (catalog, change->key);
  *known = catalog_known_position (catalog, item);
  if (change->kind == GALENA_CHANGE_UPSTREAM)
    return catalog_apply_upstream (catalog, SOURCE_PLATFORM, position,
                                   catalog->calls.kind == GALENA_CALL_LIST,
                                   now, &change->upstream);
  return item == NULL
         || catalog_schedule_removal (catalog, item, position, now);
}

static void
end_list (struct galena_catalog *catalog, struct call_state *calls,
          struct galena_clock now)
{
  catalog_remove_unlisted (catalog, SOURCE_PLATFORM, calls->list_position,
                           now);
  catalog_end_unlisted (catalog, SOURCE_PLATFORM, calls->list_position, now);
  if (catalog->left_out_round != catalog->rounds[SOURCE_PLATFORM])
    catalog->left_out = false;
  if (!calls->list_read)
    catalog->changed = true;
  calls->list_read = true;
  calls->kind = GALENA_CALL_WATCH;
  calls->position = calls->list_position;
}

static void
restart_list (struct call_state *calls)
{
  calls->kind = GALENA_CALL_LIST;
  calls->after[0] = '\0';
}

static void
on_failure (struct galena_catalog *catalog, struct call_state *calls,
            struct galena_clock now)
{
  uint32_t backoff_ms = BACKOFF_MIN_MS
                        << (calls->failures < BACKOFF_DOUBLINGS_MAX
                                ? calls->failures
                                : BACKOFF_DOUBLINGS_MAX);

  if (backoff_ms > BACKOFF_MAX_MS)
    backoff_ms = BACKOFF_MAX_MS;
  calls->failures++;
  /* Without a change, the next reply may still have another era.  */
  calls->refreshing = true;
  if (catalog->unanswered_since.ms == 0)
    catalog->unanswered_since = now;
  backoff_ms += galena_random_below (&catalog->random, backoff_ms);
  calls->due = galena_clock_add_ms (now, backoff_ms);
  if (calls->kind == GALENA_CALL_LIST)
    restart_list (calls);
}

static void
apply_list_page (struct galena_catalog *catalog, struct call_state *calls,
                 struct galena_clock now,
                 const struct galena_catalog_reply *reply)
{
  if (is_first_page (calls))
    calls->list_position
        = (struct galena_store_position){ calls->reply_era, reply->revision };
  if (reply->more)
    memcpy (calls->after, reply->next, sizeof calls->after);
  else
    end_list (catalog, calls, now);
}

void
galena_catalog_refresh (struct galena_catalog *catalog,
                        struct galena_clock now)
{
  struct call_state *calls = &catalog->calls;

  calls->busy = false;
  calls->refreshing = true;
  calls->due = now;
  if (calls->kind == GALENA_CALL_LIST)
    restart_list (calls);
}

void
galena_catalog_end_call (struct galena_catalog *catalog,
                         struct galena_clock now,
                         enum galena_call_result result,
                         const struct galena_catalog_reply *reply)
{
  struct call_state *calls = &catalog->calls;

  calls->busy = false;
  calls->due = now;
  if (result == GALENA_CALL_FAILED)
    {
      on_failure (catalog, calls, now);
      return;
    }
  calls->last_reply = now;
  calls->failures = 0;
  calls->refreshing = false;
  catalog->unanswered_since = (struct galena_clock){ 0 };
  if (result == GALENA_CALL_HISTORY_GONE)
    restart_list (calls);
  else if (calls->kind == GALENA_CALL_LIST)
    apply_list_page (catalog, calls, now, reply);
  else
    {
      if (reply->revision > calls->position.revision)
        calls->position.revision = reply->revision;
      if (catalog->list_again)
        restart_list (calls);
      else if (calls->reply_has_changes)
        calls->due = galena_clock_add_ms (now, COALESCE_MS);
    }
}

/* Returns whether the first list is to be compared with a peer's snapshot.  */
static bool
needs_comparison (const struct galena_catalog *catalog)
{
  return catalog->calls.list_read && catalog->comparisons < COMPARISONS_MAX;
}

/* Returns when a peer is to be asked next; INT64_MAX when none is.  */
static struct galena_clock
peer_due (const struct galena_catalog *catalog)
{
  bool unanswered = catalog->unanswered_since.ms != 0;
  struct galena_clock since = catalog->peer_asked_at;

  if (!unanswered && !needs_comparison (catalog))
    return (struct galena_clock){ INT64_MAX };
  if (since.ms == 0 && needs_comparison (catalog))
    return since;
  if (unanswered && catalog->unanswered_since.ms > since.ms)
    since = catalog->unanswered_since;
  return galena_clock_add_ms (since, PEER_SNAPSHOT_AFTER_MS);
}

bool
galena_catalog_needs_peer_snapshot (struct galena_catalog *catalog,
                                    struct galena_clock now)
{
  if (!galena_clock_reached (now, peer_due (catalog)))
    return false;
  if (needs_comparison (catalog))
    catalog->comparisons++;
  catalog->peer_asked_at = now;
  return true;
}

void
galena_catalog_merge_snapshot (struct galena_catalog *catalog,
                               struct galena_clock now,
                               const struct galena_catalog_snapshot *snapshot)
{
  struct call_state *calls = &catalog->calls;
  struct galena_published_config config
      = { .version = snapshot->version,
          .route_count = snapshot->route_count,
          .routes = snapshot->routes,
          .service_count = snapshot->service_count,
          .services = snapshot->services };
  bool newer;

  apply_config (catalog, snapshot->position, &config);
  if (snapshot->version == 0)
    return;
  catalog->comparisons = COMPARISONS_MAX;
  newer
      = galena_store_position_is_before (calls->position, snapshot->position);
  if (newer)
    catalog->rounds[SOURCE_PEER]++;
  catalog_merge_evacuations (catalog, now, snapshot);
  if (!newer)
    {
      catalog_adopt_newer_states (catalog, snapshot, now);
      return;
    }
  /* The list or watch in progress continues; changes in its reply that are
     older than the snapshot are skipped.  */
  calls->position = snapshot->position;
  for (uint32_t i = 0; i < snapshot->upstream_count; i++)
    catalog_apply_upstream (catalog, SOURCE_PEER, snapshot->position, true,
                            now, &snapshot->upstreams[i]);
  catalog_remove_unlisted (catalog, SOURCE_PEER, snapshot->position, now);
  catalog_end_unlisted (catalog, SOURCE_PEER, snapshot->position, now);
  catalog->peer_position = snapshot->position;
}

void
galena_catalog_snapshot (struct galena_catalog *catalog,
                         struct galena_clock now,
                         const struct galena_directory *directory,
                         struct galena_catalog_snapshot *snapshot)
{
  size_t count = galena_table_count (catalog->items);
  struct galena_published_upstream *rows
      = realloc (catalog->snapshot_rows, (count + 1) * sizeof *rows);

  snapshot->version = galena_directory_version (directory);
  snapshot->position = catalog->calls.position;
  snapshot->routes
      = galena_directory_routes (directory, &snapshot->route_count);
  snapshot->upstreams
      = galena_directory_upstreams (directory, &snapshot->upstream_count);
  snapshot->services = catalog->services;
  snapshot->service_count = catalog->service_count;
  snapshot->evacuations = catalog->zones.rows;
  snapshot->evacuation_count = catalog->zones.count;
  if (rows == NULL)
    return;
  catalog->snapshot_rows = rows;
  snapshot->upstream_count = catalog_copy_published (catalog, rows);
  snapshot->upstream_count
      += catalog_copy_removed (catalog, now, rows + snapshot->upstream_count);
  snapshot->upstreams = rows;
}

struct galena_clock
galena_catalog_due (const struct galena_catalog *catalog, bool peer_busy)
{
  struct galena_clock first = catalog_zones_due (catalog);
  const struct catalog_upstream *item;
  struct galena_handle handle;
  uint32_t cursor = 0;

  if (!peer_busy && peer_due (catalog).ms < first.ms)
    first = peer_due (catalog);
  if (!catalog->calls.busy && catalog->calls.due.ms < first.ms)
    first = catalog->calls.due;
  while ((item = galena_table_next (catalog->items, &cursor, &handle)) != NULL)
    if (catalog_upstream_due (item).ms < first.ms)
      first = catalog_upstream_due (item);
  return first;
}

bool
galena_catalog_build (struct galena_catalog *catalog, struct galena_clock now,
                      uint64_t unix_ms, struct galena_directory **out)
{
  struct galena_directory_options options
      = { .version = catalog->version,
          .routes = catalog->routes,
          .route_count = catalog->route_count,
          .services = catalog->services,
          .service_count = catalog->service_count,
          .evacuations = catalog->zones.rows,
          .position = catalog->calls.position,
          .unix_ms = unix_ms };
  uint32_t count = galena_table_count (catalog->items);
  struct galena_published_upstream *upstreams;

  catalog_update_due (catalog, now);
  catalog_update_zones (catalog, now);
  options.evacuation_count = catalog->zones.count;
  if (!catalog->changed || !galena_catalog_has_contents (catalog))
    return false;
  upstreams = calloc ((size_t)count + 1, sizeof *upstreams);
  if (upstreams == NULL)
    return false;
  options.upstream_count = catalog_copy_published (catalog, upstreams);
  options.upstreams = upstreams;
  catalog->changed = galena_directory_create (&options, out) != GALENA_OK;
  free (upstreams);
  return !catalog->changed;
}

bool
galena_catalog_left_out (const struct galena_catalog *catalog)
{
  return catalog->left_out;
}

bool
galena_catalog_has_contents (const struct galena_catalog *catalog)
{
  return catalog->version != 0
         && (catalog->peer_position.revision != 0 || catalog->calls.list_read);
}

int64_t
galena_catalog_age_ms (const struct galena_catalog *catalog,
                       struct galena_clock now)
{
  const struct call_state *calls = &catalog->calls;

  return calls->last_reply.ms == 0
             ? -1
             : galena_clock_elapsed_ms (calls->last_reply, now);
}
