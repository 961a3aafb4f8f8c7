/* Lists and watches what the platform publishes, and builds directories from
   it.  */

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include <galenaford/catalog.h>
#include <galenaford/map.h>
#include <galenaford/random.h>
#include <galenaford/table.h>

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
  COMPARISONS_MAX = 3,
  /* An upstream that is no longer published may be published again within two
     seconds, so its removal is delayed.  */
  REMOVAL_DELAY_MS = 2000,
  /* An upstream that only an older copy of the store still lists is alive if
     its entry is there after this time; otherwise the entry expires, after
     three heartbeats.  */
  RESTORED_EXPIRY_MS = 6000,
  /* The row of a removed upstream is kept for this time, since the store may
     come back from a copy that lists it.  */
  KEEP_REMOVED_MS = 600000
};

/* Sources of upstreams: the lists and watches of the platform, and snapshots
   of peers.  */
enum source
{
  SOURCE_PLATFORM,
  SOURCE_PEER,
  SOURCE_COUNT
};

/* An upstream as published.  */
struct catalog_upstream
{
  uint64_t key;
  struct galena_published_upstream upstream;
  /* Last round of each source that listed it.  */
  uint32_t rounds[SOURCE_COUNT];
  /* Position of the store at which it was last seen or removed.  */
  struct galena_store_position position;
  /* Era in which it got its state or was removed; an older copy may list it in
     a later one.  */
  uint64_t state_era;
  /* When its removal is due; ms 0 while it is published.  */
  struct galena_clock removal_due;
  /* Whether it has been removed; its row is kept.  */
  bool removed;
  /* When it counts as published again because its entry in an older copy has
     not expired; ms 0 when no copy lists it.  */
  struct galena_clock confirmed_due;
};

/* The sequence of calls to the platform.  */
struct call_state
{
  /* Kind of the call in progress or of the next one.  */
  enum galena_call_kind kind;
  /* Whether a call is in progress.  */
  bool busy;
  /* Whether a list was read to its end once.  */
  bool list_read;
  /* Position up to which changes were applied.  */
  struct galena_store_position position;
  /* Position of the first page of the current list.  */
  struct galena_store_position list_position;
  /* Era that the reply to the current call must have, and the one that it
     has; the first page of a list may have any that is not older than
     POSITION.  */
  uint64_t call_era;
  uint64_t reply_era;
  /* Last key of the pages that were read of the current list; empty before
     the first one.  */
  char after[GALENA_CATALOG_KEY_BYTES];
  /* Whether the reply to the current call has brought a change.  */
  bool reply_has_changes;
  /* Whether the next watch only reads the era and missed changes and does not
     wait.  */
  bool refreshing;
  uint32_t failures;
  struct galena_clock due;
  /* When the last reply came; ms 0 when none did.  */
  struct galena_clock last_reply;
};

struct galena_catalog
{
  struct galena_catalog_options options;
  struct galena_random random;
  struct call_state calls;
  struct galena_table *items;
  struct galena_map *items_by_key;
  uint32_t rounds[SOURCE_COUNT];
  uint64_t version;
  /* Position of the store at which that version was last seen.  */
  struct galena_store_position version_position;
  uint32_t route_count;
  struct galena_route *routes;
  /* Whether something has changed since the last directory was built.  */
  bool changed;
  /* Position of the last merged snapshot of a peer; revision 0 when there is
     none.  */
  struct galena_store_position peer_position;
  /* Since when a list has been in progress or calls have failed without a
     reply of the platform; ms 0 after a reply.  */
  struct galena_clock unanswered_since;
  /* When a peer was last asked for its snapshot; ms 0 when none was.  */
  struct galena_clock peer_asked_at;
  /* Number of peers asked after the first list; COMPARISONS_MAX once one has
     replied.  */
  uint32_t comparisons;
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
        catalog->rounds[SOURCE_PLATFORM]++;
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

static struct catalog_upstream *
find_item (const struct galena_catalog *catalog, uint64_t key)
{
  uint64_t packed;

  if (!galena_map_find (catalog->items_by_key, key, &packed))
    return NULL;
  return galena_table_get (catalog->items, galena_handle_unpack (packed));
}

static void
delete_item (struct galena_catalog *catalog,
             const struct catalog_upstream *item, struct galena_handle handle)
{
  galena_map_remove (catalog->items_by_key, item->key);
  galena_table_remove (catalog->items, handle);
}

/* Deletes the rows of removed items if ALL, else of those that have been kept
   long enough.  */
static void
delete_removed (struct galena_catalog *catalog, struct galena_clock now,
                bool all)
{
  const struct catalog_upstream *item;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((item = galena_table_next (catalog->items, &cursor, &handle)) != NULL)
    if (item->removed
        && (all
            || galena_clock_elapsed_ms (item->removal_due, now)
                   >= KEEP_REMOVED_MS))
      delete_item (catalog, item, handle);
}

static struct catalog_upstream *
add_item (struct galena_catalog *catalog, uint64_t key,
          struct galena_clock now)
{
  struct galena_handle handle;
  struct catalog_upstream *item
      = galena_table_insert (catalog->items, &handle);

  if (item == NULL)
    {
      delete_removed (catalog, now, true);
      item = galena_table_insert (catalog->items, &handle);
    }
  if (item == NULL)
    return NULL;
  item->key = key;
  galena_map_insert (catalog->items_by_key, key, galena_handle_pack (handle));
  return item;
}

static bool
is_before (struct galena_store_position a, struct galena_store_position b)
{
  return a.era != b.era ? a.era < b.era : a.revision < b.revision;
}

/* Returns false when a newer version than that of CONFIG is known.  */
static bool
apply_config (struct galena_catalog *catalog,
              struct galena_store_position position,
              const struct galena_published_config *config)
{
  struct galena_route *routes;

  /* An older version never replaces a newer one, whatever the reply contains.
     The same one does at a later position: a version that the store has lost
     may be given out again.  */
  if (config->version < catalog->version)
    return false;
  if (config->version == catalog->version
      && !is_before (catalog->version_position, position))
    return true;
  routes = calloc ((size_t)config->route_count + 1, sizeof *routes);
  if (routes == NULL)
    return true;
  if (config->route_count > 0)
    memcpy (routes, config->routes, config->route_count * sizeof *routes);
  free (catalog->routes);
  catalog->routes = routes;
  catalog->route_count = config->route_count;
  catalog->version = config->version;
  catalog->version_position = position;
  catalog->changed = true;
  return true;
}

/* Schedules the removal of ITEM: immediately when it was draining, else after
   the time in which it may be published again.  Returns false when it has
   changed after POSITION.  */
static bool
schedule_removal (struct galena_catalog *catalog,
                  struct catalog_upstream *item,
                  struct galena_store_position position,
                  struct galena_clock now)
{
  if (is_before (position, item->position))
    return false;
  item->position = position;
  item->state_era = position.era;
  item->confirmed_due = (struct galena_clock){ 0 };
  if (item->removal_due.ms != 0)
    return true;
  item->removal_due = now;
  if (item->upstream.state == GALENA_PUBLISHED_READY)
    item->removal_due = galena_clock_add_ms (now, REMOVAL_DELAY_MS);
  catalog->changed = true;
  return true;
}

static bool
upstream_equal (const struct galena_published_upstream *a,
                const struct galena_published_upstream *b)
{
  return a->service == b->service
         && galena_endpoint_equal (a->address, b->address)
         && a->state == b->state && a->zone == b->zone && a->slots == b->slots
         && a->warm_up_ms == b->warm_up_ms
         && a->started_unix_ms == b->started_unix_ms;
}

/* Returns the position of the newest information on ITEM, which may be
   NULL.  */
static struct galena_store_position
known_position (const struct galena_catalog *catalog,
                const struct catalog_upstream *item)
{
  return item != NULL ? item->position : catalog->peer_position;
}

/* Cancels the removal of ITEM.  */
static void
publish_again (struct galena_catalog *catalog, struct catalog_upstream *item)
{
  catalog->changed |= item->removed;
  item->removed = false;
  item->removal_due = (struct galena_clock){ 0 };
  item->confirmed_due = (struct galena_clock){ 0 };
}

/* Returns whether UPSTREAM, seen at POSITION, is an older state of ITEM, which
   an older copy of the store has brought back.  An upstream counts its own
   states, so that those of one start can be compared in any reply.  LISTED is
   false for a change, which is written after the copy came back: its start may
   be earlier only by the clock of the instance.  */
static bool
is_restored_state (const struct catalog_upstream *item,
                   struct galena_store_position position, bool listed,
                   const struct galena_published_upstream *upstream)
{
  const struct galena_published_upstream *known = &item->upstream;
  bool after_copy = listed && position.era > item->state_era;

  if (upstream->started_unix_ms == 0 || known->started_unix_ms == 0)
    return false;
  if (upstream->started_unix_ms != known->started_unix_ms)
    return after_copy && upstream->started_unix_ms < known->started_unix_ms;
  if (upstream->sequence == known->sequence)
    return after_copy && item->removal_due.ms != 0;
  return upstream->sequence < known->sequence;
}

/* Notes that SOURCE listed a state of ITEM at POSITION that is older than the
   known one.  */
static void
note_restored_state (struct galena_catalog *catalog,
                     struct catalog_upstream *item, enum source source,
                     struct galena_store_position position,
                     struct galena_clock now)
{
  item->rounds[source] = catalog->rounds[source];
  item->position = position;
  if (item->removal_due.ms != 0 && item->confirmed_due.ms == 0)
    item->confirmed_due = galena_clock_add_ms (now, RESTORED_EXPIRY_MS);
}

/* Returns false when something newer than POSITION, or a newer state of the
   upstream, is known.  LISTED tells a row of a list from a change.  */
static bool
apply_upstream (struct galena_catalog *catalog, enum source source,
                struct galena_store_position position, bool listed,
                struct galena_clock now,
                const struct galena_published_upstream *upstream)
{
  uint64_t key = XXH64 (upstream->id, strlen (upstream->id), 0);
  struct catalog_upstream *item = find_item (catalog, key);

  /* Ignores a reply that is older than a snapshot of a peer that was merged
     while the call was in progress.  */
  if (is_before (position, known_position (catalog, item)))
    return false;
  if (item != NULL && is_restored_state (item, position, listed, upstream))
    {
      note_restored_state (catalog, item, source, position, now);
      return false;
    }
  if (item == NULL)
    item = add_item (catalog, key, now);
  if (item == NULL)
    return true;
  item->rounds[source] = catalog->rounds[source];
  item->position = position;
  item->state_era = position.era;
  publish_again (catalog, item);
  if (*item->upstream.id != '\0' && upstream_equal (&item->upstream, upstream))
    return true;
  item->upstream = *upstream;
  catalog->changed = true;
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
  item = find_item (catalog, XXH64 (change->key, strlen (change->key), 0));
  *known = known_position (catalog, item);
  if (change->kind == GALENA_CHANGE_UPSTREAM)
    return apply_upstream (catalog, SOURCE_PLATFORM, position,
                           catalog->calls.kind == GALENA_CALL_LIST, now,
                           &change->upstream);
  return item == NULL || schedule_removal (catalog, item, position, now);
}

/* Schedules the removal of the items that SOURCE did not list at POSITION.  */
static void
remove_unlisted (struct galena_catalog *catalog, enum source source,
                 struct galena_store_position position,
                 struct galena_clock now)
{
  struct catalog_upstream *item;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((item = galena_table_next (catalog->items, &cursor, &handle)) != NULL)
    if (item->rounds[source] != catalog->rounds[source])
      schedule_removal (catalog, item, position, now);
}

static void
end_list (struct galena_catalog *catalog, struct call_state *calls,
          struct galena_clock now)
{
  remove_unlisted (catalog, SOURCE_PLATFORM, calls->list_position, now);
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
      if (calls->reply_has_changes)
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

/* Adopts the states in SNAPSHOT, which is not newer as a whole, that are newer
   by the count of their upstream than what an older copy of the store has
   listed.  */
static void
adopt_newer_states (struct galena_catalog *catalog,
                    const struct galena_catalog_snapshot *snapshot)
{
  for (uint32_t i = 0; i < snapshot->upstream_count; i++)
    {
      const struct galena_published_upstream *upstream
          = &snapshot->upstreams[i];
      struct catalog_upstream *item = find_item (
          catalog, XXH64 (upstream->id, strlen (upstream->id), 0));

      if (item == NULL || upstream->started_unix_ms == 0
          || upstream->started_unix_ms != item->upstream.started_unix_ms
          || upstream->sequence <= item->upstream.sequence)
        continue;
      item->upstream = *upstream;
      catalog->changed = true;
    }
}

void
galena_catalog_merge_snapshot (struct galena_catalog *catalog,
                               struct galena_clock now,
                               const struct galena_catalog_snapshot *snapshot)
{
  struct call_state *calls = &catalog->calls;
  struct galena_published_config config
      = { snapshot->version, snapshot->route_count, snapshot->routes };

  apply_config (catalog, snapshot->position, &config);
  if (snapshot->version == 0)
    return;
  catalog->comparisons = COMPARISONS_MAX;
  if (!is_before (calls->position, snapshot->position))
    {
      adopt_newer_states (catalog, snapshot);
      return;
    }
  /* The list or watch in progress continues; changes in its reply that are
     older than the snapshot are skipped.  */
  calls->position = snapshot->position;
  catalog->rounds[SOURCE_PEER]++;
  for (uint32_t i = 0; i < snapshot->upstream_count; i++)
    apply_upstream (catalog, SOURCE_PEER, snapshot->position, true, now,
                    &snapshot->upstreams[i]);
  remove_unlisted (catalog, SOURCE_PEER, snapshot->position, now);
  catalog->peer_position = snapshot->position;
}

void
galena_catalog_snapshot (const struct galena_catalog *catalog,
                         const struct galena_directory *directory,
                         struct galena_catalog_snapshot *snapshot)
{
  snapshot->version = galena_directory_version (directory);
  snapshot->position = catalog->calls.position;
  snapshot->routes
      = galena_directory_routes (directory, &snapshot->route_count);
  snapshot->upstreams
      = galena_directory_upstreams (directory, &snapshot->upstream_count);
}

/* Returns when the removal of ITEM, or its return, is due; INT64_MAX when
   neither is.  */
static struct galena_clock
item_due (const struct catalog_upstream *item)
{
  if (item->removal_due.ms != 0 && !item->removed)
    return item->removal_due;
  if (item->confirmed_due.ms != 0)
    return item->confirmed_due;
  return (struct galena_clock){ INT64_MAX };
}

struct galena_clock
galena_catalog_due (const struct galena_catalog *catalog)
{
  struct galena_clock first = peer_due (catalog);
  const struct catalog_upstream *item;
  struct galena_handle handle;
  uint32_t cursor = 0;

  if (!catalog->calls.busy && catalog->calls.due.ms < first.ms)
    first = catalog->calls.due;
  while ((item = galena_table_next (catalog->items, &cursor, &handle)) != NULL)
    if (item_due (item).ms < first.ms)
      first = item_due (item);
  return first;
}

/* Removes the items whose removal is due, and publishes those again whose
   return is due.  */
static void
update_due (struct galena_catalog *catalog, struct galena_clock now)
{
  struct catalog_upstream *item;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((item = galena_table_next (catalog->items, &cursor, &handle)) != NULL)
    {
      if (!galena_clock_reached (now, item_due (item)))
        continue;
      if (item->removed)
        publish_again (catalog, item);
      else
        item->removed = true;
      catalog->changed = true;
    }
  delete_removed (catalog, now, false);
}

bool
galena_catalog_build (struct galena_catalog *catalog, struct galena_clock now,
                      struct galena_directory **out)
{
  struct galena_directory_options options
      = { .version = catalog->version,
          .routes = catalog->routes,
          .route_count = catalog->route_count };
  uint32_t count = galena_table_count (catalog->items);
  struct galena_published_upstream *upstreams;
  const struct catalog_upstream *item;
  struct galena_handle handle;
  uint32_t cursor = 0;

  update_due (catalog, now);
  if (!catalog->changed || !galena_catalog_has_contents (catalog))
    return false;
  upstreams = calloc ((size_t)count + 1, sizeof *upstreams);
  if (upstreams == NULL)
    return false;
  while ((item = galena_table_next (catalog->items, &cursor, &handle)) != NULL)
    if (!item->removed)
      upstreams[options.upstream_count++] = item->upstream;
  options.upstreams = upstreams;
  catalog->changed = galena_directory_create (&options, out) != GALENA_OK;
  free (upstreams);
  return !catalog->changed;
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
