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
  BACKOFF_MAX_MS = 800,
  /* After a change the next watch waits this long, so that changes in quick
     succession are read together: a tenth of the shortest time in which a
     change must take effect.  */
  COALESCE_MS = 200,
  /* A peer is asked for its snapshot when the platform has not replied for
     this time, many times its usual 4 ms, and again each time that it has
     passed.  */
  PEER_SNAPSHOT_AFTER_MS = 200,
  /* An upstream that is no longer published may be published again within two
     seconds, so its removal is delayed.  */
  REMOVAL_DELAY_MS = 2000
};

/* Sources that list all upstreams at once.  */
enum source
{
  SOURCE_LIST,
  SOURCE_PEER,
  SOURCE_COUNT
};

/* An upstream as published.  */
struct item
{
  uint64_t key;
  struct galena_published_upstream upstream;
  /* Last round of each source that listed it.  */
  uint32_t rounds[SOURCE_COUNT];
  /* Revision of the store at which it was last seen or removed.  */
  uint64_t revision;
  /* When its removal is due; ms 0 while it is published.  */
  struct galena_clock removal_due;
};

/* The sequence of calls to the platform.  */
struct stream
{
  /* Kind of the call in progress or of the next one.  */
  enum galena_call_kind kind;
  /* Whether a call is in progress.  */
  bool busy;
  /* Whether a list was read to its end once.  */
  bool list_read;
  /* Revision up to which changes were applied.  */
  uint64_t revision;
  /* Revision of the first page of the current list.  */
  uint64_t list_revision;
  char after[GALENA_CATALOG_KEY_BYTES];
  bool changed;
  /* Whether the next watch only reads missed changes and does not wait.  */
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
  struct stream stream;
  struct galena_table *items;
  struct galena_map *items_by_key;
  uint32_t rounds[SOURCE_COUNT];
  uint64_t version;
  uint32_t route_count;
  struct galena_route *routes;
  bool changed;
  /* Revision of the last merged snapshot of a peer; 0 when there is none.  */
  uint64_t peer_revision;
  /* Since when the platform does not reply, and when a peer was last asked for
     its snapshot; ms 0 when neither.  */
  struct galena_clock unanswered_since;
  struct galena_clock peer_asked_at;
};

enum galena_result
galena_catalog_create (const struct galena_catalog_options *options,
                       struct galena_catalog **out)
{
  struct galena_table_options rows
      = { sizeof (struct item), options->upstreams };
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

bool
galena_catalog_next_call (struct galena_catalog *catalog,
                          struct galena_clock now,
                          struct galena_catalog_call *call)
{
  struct stream *stream = &catalog->stream;

  if (stream->busy || !galena_clock_reached (now, stream->due))
    return false;
  stream->busy = true;
  stream->changed = false;
  if (stream->kind == GALENA_CALL_LIST && catalog->unanswered_since.ms == 0)
    catalog->unanswered_since = now;
  memset (call, 0, sizeof *call);
  call->kind = stream->kind;
  call->timeout_ms = LIST_TIMEOUT_MS;
  if (stream->kind == GALENA_CALL_LIST)
    {
      if (stream->after[0] == '\0')
        catalog->rounds[SOURCE_LIST]++;
      memcpy (call->after, stream->after, sizeof call->after);
      return true;
    }
  call->revision = stream->revision;
  call->wait_ms = stream->refreshing ? 0 : catalog->options.wait_ms;
  call->timeout_ms = call->wait_ms + WATCH_MARGIN_MS;
  return true;
}

static struct item *
find_item (const struct galena_catalog *catalog, uint64_t key)
{
  uint64_t packed;

  if (!galena_map_find (catalog->items_by_key, key, &packed))
    return NULL;
  return galena_table_get (catalog->items, galena_handle_unpack (packed));
}

static struct item *
add_item (struct galena_catalog *catalog, uint64_t key)
{
  struct galena_handle handle;
  struct item *item = galena_table_insert (catalog->items, &handle);

  if (item == NULL)
    return NULL;
  item->key = key;
  galena_map_insert (catalog->items_by_key, key, galena_handle_pack (handle));
  return item;
}

static void
apply_config (struct galena_catalog *catalog,
              const struct galena_published_config *config)
{
  struct galena_route *routes;

  /* An older version never replaces a newer one, whatever the reply
     contains.  */
  if (config->version <= catalog->version)
    return;
  routes = calloc ((size_t)config->route_count + 1, sizeof *routes);
  if (routes == NULL)
    return;
  if (config->route_count > 0)
    memcpy (routes, config->routes, config->route_count * sizeof *routes);
  free (catalog->routes);
  catalog->routes = routes;
  catalog->route_count = config->route_count;
  catalog->version = config->version;
  catalog->changed = true;
}

/* Schedules the removal of ITEM: immediately when it was draining, else after
   the time in which it may be published again.  */
static void
schedule_removal (struct galena_catalog *catalog, struct item *item,
                  uint64_t revision, struct galena_clock now)
{
  if (revision < item->revision)
    return;
  item->revision = revision;
  if (item->removal_due.ms != 0)
    return;
  item->removal_due = now;
  if (item->upstream.state == GALENA_PUBLISHED_READY)
    item->removal_due = galena_clock_add_ms (now, REMOVAL_DELAY_MS);
  catalog->changed = true;
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

static void
apply_upstream (struct galena_catalog *catalog, enum source source,
                uint64_t revision,
                const struct galena_published_upstream *upstream)
{
  uint64_t key = XXH64 (upstream->id, strlen (upstream->id), 0);
  struct item *item = find_item (catalog, key);

  /* Ignores a reply that is older than a snapshot of a peer that was merged
     while the call was in progress.  */
  if (revision < (item != NULL ? item->revision : catalog->peer_revision))
    return;
  if (item == NULL)
    item = add_item (catalog, key);
  if (item == NULL)
    return;
  item->rounds[source] = catalog->rounds[source];
  item->revision = revision;
  item->removal_due = (struct galena_clock){ 0 };
  if (*item->upstream.id != '\0' && upstream_equal (&item->upstream, upstream))
    return;
  item->upstream = *upstream;
  catalog->changed = true;
}

void
galena_catalog_apply_change (struct galena_catalog *catalog,
                             struct galena_clock now,
                             const struct galena_change *change)
{
  struct stream *stream = &catalog->stream;
  struct item *item;

  stream->changed = true;
  if (change->kind == GALENA_CHANGE_CONFIG)
    {
      apply_config (catalog, &change->config);
      return;
    }
  if (change->kind == GALENA_CHANGE_UPSTREAM)
    {
      apply_upstream (catalog, SOURCE_LIST, change->revision,
                      &change->upstream);
      return;
    }
  item = find_item (catalog, XXH64 (change->key, strlen (change->key), 0));
  if (item != NULL)
    schedule_removal (catalog, item, change->revision, now);
}

/* Schedules the removal of the items that SOURCE did not list at REVISION.  */
static void
remove_unlisted (struct galena_catalog *catalog, enum source source,
                 uint64_t revision, struct galena_clock now)
{
  struct item *item;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((item = galena_table_next (catalog->items, &cursor, &handle)) != NULL)
    if (item->rounds[source] != catalog->rounds[source])
      schedule_removal (catalog, item, revision, now);
}

static void
end_list (struct galena_catalog *catalog, struct stream *stream,
          struct galena_clock now)
{
  remove_unlisted (catalog, SOURCE_LIST, stream->list_revision, now);
  if (!stream->list_read)
    catalog->changed = true;
  stream->list_read = true;
  stream->kind = GALENA_CALL_WATCH;
  stream->revision = stream->list_revision;
}

static void
restart_list (struct stream *stream)
{
  stream->kind = GALENA_CALL_LIST;
  stream->after[0] = '\0';
}

static void
on_failure (struct galena_catalog *catalog, struct stream *stream,
            struct galena_clock now)
{
  uint32_t backoff_ms = BACKOFF_MIN_MS
                        << (stream->failures < 3 ? stream->failures : 3);

  if (backoff_ms > BACKOFF_MAX_MS)
    backoff_ms = BACKOFF_MAX_MS;
  stream->failures++;
  if (catalog->unanswered_since.ms == 0)
    catalog->unanswered_since = now;
  backoff_ms += galena_random_below (&catalog->random, backoff_ms);
  stream->due = galena_clock_add_ms (now, backoff_ms);
  if (stream->kind == GALENA_CALL_LIST)
    restart_list (stream);
}

static void
apply_list_page (struct galena_catalog *catalog, struct stream *stream,
                 struct galena_clock now,
                 const struct galena_catalog_reply *reply)
{
  if (stream->after[0] == '\0')
    stream->list_revision = reply->revision;
  if (reply->more)
    memcpy (stream->after, reply->next, sizeof stream->after);
  else
    end_list (catalog, stream, now);
}

void
galena_catalog_refresh (struct galena_catalog *catalog,
                        struct galena_clock now)
{
  struct stream *stream = &catalog->stream;

  stream->busy = false;
  stream->refreshing = true;
  stream->due = now;
  if (stream->kind == GALENA_CALL_LIST)
    restart_list (stream);
}

void
galena_catalog_end_call (struct galena_catalog *catalog,
                         struct galena_clock now,
                         enum galena_call_result result,
                         const struct galena_catalog_reply *reply)
{
  struct stream *stream = &catalog->stream;

  stream->busy = false;
  stream->due = now;
  if (result == GALENA_CALL_FAILED)
    {
      on_failure (catalog, stream, now);
      return;
    }
  stream->last_reply = now;
  stream->failures = 0;
  stream->refreshing = false;
  catalog->unanswered_since = (struct galena_clock){ 0 };
  if (result == GALENA_CALL_HISTORY_GONE)
    restart_list (stream);
  else if (stream->kind == GALENA_CALL_LIST)
    apply_list_page (catalog, stream, now, reply);
  else
    {
      if (reply->revision > stream->revision)
        stream->revision = reply->revision;
      if (stream->changed)
        stream->due = galena_clock_add_ms (now, COALESCE_MS);
    }
}

bool
galena_catalog_needs_peer_snapshot (struct galena_catalog *catalog,
                                    struct galena_clock now)
{
  if (catalog->unanswered_since.ms == 0
      || galena_clock_elapsed_ms (catalog->unanswered_since, now)
             < PEER_SNAPSHOT_AFTER_MS
      || galena_clock_elapsed_ms (catalog->peer_asked_at, now)
             < PEER_SNAPSHOT_AFTER_MS)
    return false;
  catalog->peer_asked_at = now;
  return true;
}

void
galena_catalog_merge_snapshot (struct galena_catalog *catalog,
                               struct galena_clock now,
                               const struct galena_catalog_snapshot *snapshot)
{
  struct stream *stream = &catalog->stream;
  struct galena_published_config config
      = { snapshot->version, snapshot->route_count, snapshot->routes };

  apply_config (catalog, &config);
  if (snapshot->version == 0 || snapshot->revision <= stream->revision)
    return;
  /* The list or watch in progress continues; changes in its reply that are
     older than the snapshot are skipped.  */
  stream->revision = snapshot->revision;
  catalog->rounds[SOURCE_PEER]++;
  for (uint32_t i = 0; i < snapshot->upstream_count; i++)
    apply_upstream (catalog, SOURCE_PEER, snapshot->revision,
                    &snapshot->upstreams[i]);
  remove_unlisted (catalog, SOURCE_PEER, snapshot->revision, now);
  catalog->peer_revision = snapshot->revision;
}

void
galena_catalog_snapshot (const struct galena_catalog *catalog,
                         const struct galena_directory *directory,
                         struct galena_catalog_snapshot *snapshot)
{
  snapshot->version = galena_directory_version (directory);
  snapshot->revision = catalog->stream.revision;
  snapshot->routes
      = galena_directory_routes (directory, &snapshot->route_count);
  snapshot->upstreams
      = galena_directory_upstreams (directory, &snapshot->upstream_count);
}

struct galena_clock
galena_catalog_due (const struct galena_catalog *catalog)
{
  struct galena_clock first = { INT64_MAX };
  const struct item *item;
  struct galena_handle handle;
  uint32_t cursor = 0;

  if (catalog->unanswered_since.ms != 0)
    first = galena_clock_add_ms (catalog->unanswered_since.ms
                                         > catalog->peer_asked_at.ms
                                     ? catalog->unanswered_since
                                     : catalog->peer_asked_at,
                                 PEER_SNAPSHOT_AFTER_MS);
  if (!catalog->stream.busy && catalog->stream.due.ms < first.ms)
    first = catalog->stream.due;
  while ((item = galena_table_next (catalog->items, &cursor, &handle)) != NULL)
    if (item->removal_due.ms != 0 && item->removal_due.ms < first.ms)
      first = item->removal_due;
  return first;
}

/* Removes the items whose removal is due.  */
static void
remove_due (struct galena_catalog *catalog, struct galena_clock now)
{
  struct item *item;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((item = galena_table_next (catalog->items, &cursor, &handle)) != NULL)
    if (item->removal_due.ms != 0
        && galena_clock_reached (now, item->removal_due))
      {
        galena_map_remove (catalog->items_by_key, item->key);
        galena_table_remove (catalog->items, handle);
        catalog->changed = true;
      }
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
  const struct item *item;
  struct galena_handle handle;
  uint32_t cursor = 0;

  remove_due (catalog, now);
  if (!catalog->changed || !galena_catalog_has_contents (catalog))
    return false;
  upstreams = calloc ((size_t)count + 1, sizeof *upstreams);
  if (upstreams == NULL)
    return false;
  while ((item = galena_table_next (catalog->items, &cursor, &handle)) != NULL)
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
         && (catalog->peer_revision != 0 || catalog->stream.list_read);
}

int64_t
galena_catalog_age_ms (const struct galena_catalog *catalog,
                       struct galena_clock now)
{
  const struct stream *stream = &catalog->stream;

  return stream->last_reply.ms == 0
             ? -1
             : galena_clock_elapsed_ms (stream->last_reply, now);
}
