/* Items are kept in the order of their keys.  */

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <arpa/inet.h>
#include <jansson.h>
#include <microhttpd.h>
#include <nettle/base64.h>

#include "store.h"

enum
{
  /* A page of a range ends after this many items or bytes of values.  */
  PAGE_ITEMS = 500,
  PAGE_BYTES = 1024 * 1024,
  ITEMS_MIN = 64,
  NUMBER_BYTES = 24,
  MS_PER_S = 1000,
  NS_PER_MS = 1000000
};

struct item
{
  char *key;
  /* NULL if it was removed.  */
  uint8_t *value;
  size_t size;
  uint64_t revision;
};

struct items
{
  struct item *rows;
  size_t count;
  size_t capacity;
  uint64_t revision;
};

struct store
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  bool closing;
  struct items items;
  struct items copy;
  /* Watches from an older revision fail with status 410.  */
  uint64_t compacted_revision;
  /* Rises each time the store is restored from its copy.  */
  uint64_t era;
  struct store_faults faults;
  struct MHD_Daemon *daemon;
};

static void *
check_memory (void *memory)
{
  if (memory == NULL)
    abort ();
  return memory;
}

static uint8_t *
copy_bytes (const uint8_t *bytes, size_t size)
{
  uint8_t *copy = check_memory (malloc (size + 1));

  if (size > 0)
    memcpy (copy, bytes, size);
  return copy;
}

static void
clear_items (struct items *items)
{
  for (size_t i = 0; i < items->count; i++)
    {
      free (items->rows[i].key);
      free (items->rows[i].value);
    }
  free (items->rows);
  *items = (struct items){ 0 };
}

static void
copy_items (const struct items *from, struct items *to)
{
  clear_items (to);
  *to = *from;
  to->capacity = from->count + 1;
  to->rows = check_memory (calloc (to->capacity, sizeof *to->rows));
  for (size_t i = 0; i < from->count; i++)
    {
      const struct item *row = &from->rows[i];

      to->rows[i] = *row;
      to->rows[i].key = check_memory (strdup (row->key));
      if (row->value != NULL)
        to->rows[i].value = copy_bytes (row->value, row->size);
    }
}

/* Returns the index of the first item whose key is not before KEY.  */
static size_t
find (const struct items *items, const char *key)
{
  size_t from = 0;
  size_t to = items->count;

  while (from < to)
    {
      size_t middle = (from + to) / 2;

      if (strcmp (items->rows[middle].key, key) < 0)
        from = middle + 1;
      else
        to = middle;
    }
  return from;
}

static struct item *
find_or_add (struct items *items, const char *key)
{
  size_t at = find (items, key);

  if (at < items->count && strcmp (items->rows[at].key, key) == 0)
    return &items->rows[at];
  if (items->count == items->capacity)
    {
      items->capacity = items->capacity * 2 + ITEMS_MIN;
      items->rows = check_memory (
          realloc (items->rows, items->capacity * sizeof *items->rows));
    }
  memmove (&items->rows[at + 1], &items->rows[at],
           (items->count - at) * sizeof *items->rows);
  items->count++;
  items->rows[at] = (struct item){ .key = check_memory (strdup (key)) };
  return &items->rows[at];
}

static json_t *
describe (const struct item *item)
{
  json_t *row = json_pack ("{s:s, s:I}", "key", item->key, "revision",
                           (json_int_t)item->revision);
  size_t length = BASE64_ENCODE_RAW_LENGTH (item->size);
  char *text;

  if (item->value == NULL)
    {
      json_object_set_new (row, "removed", json_true ());
      return row;
    }
  text = check_memory (malloc (length + 1));
  base64_encode_raw (text, item->size, item->value);
  json_object_set_new (row, "value", json_stringn (text, length));
  free (text);
  return row;
}

static enum MHD_Result
reply (struct MHD_Connection *connection, const struct store *store,
       unsigned status, char *text)
{
  char era[NUMBER_BYTES];
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result;

  snprintf (era, sizeof era, "%llu", (unsigned long long)store->era);
  MHD_add_response_header (response, "Store-Era", era);
  result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
reply_rows (struct MHD_Connection *connection, const struct store *store,
            const char *name, json_t *rows, bool truncated)
{
  json_t *body = json_pack ("{s:o, s:b, s:I}", name, rows, "truncated",
                            truncated ? 1 : 0, "storeRevision",
                            (json_int_t)store->items.revision);
  char *text = check_memory (json_dumps (body, JSON_COMPACT));
  enum MHD_Result result = reply (connection, store, MHD_HTTP_OK, text);

  free (text);
  json_decref (body);
  return result;
}

/* Replies with a page of the items after the key AFTER.  */
static enum MHD_Result
answer_range (const struct store *store, struct MHD_Connection *connection)
{
  const char *after = MHD_lookup_connection_value (
      connection, MHD_GET_ARGUMENT_KIND, "after");
  const struct items *items = &store->items;
  size_t at = after == NULL ? 0 : find (items, after);
  size_t bytes = 0;
  json_t *rows = json_array ();

  if (at < items->count && after != NULL
      && strcmp (items->rows[at].key, after) == 0)
    at++;
  for (; at < items->count && json_array_size (rows) < PAGE_ITEMS
         && bytes < PAGE_BYTES;
       at++)
    if (items->rows[at].value != NULL)
      {
        bytes += items->rows[at].size;
        json_array_append_new (rows, describe (&items->rows[at]));
      }
  return reply_rows (connection, store, "items", rows, at < items->count);
}

static int
compare_revisions (const void *a, const void *b)
{
  uint64_t first = (*(const struct item *const *)a)->revision;
  uint64_t second = (*(const struct item *const *)b)->revision;

  return (first > second) - (first < second);
}

/* Returns the items that changed after REVISION, in that order.  */
static json_t *
collect_events (const struct items *items, uint64_t revision)
{
  const struct item **sorted
      = check_memory (calloc (items->count + 1, sizeof (const struct item *)));
  json_t *rows = json_array ();
  size_t count = 0;

  for (size_t i = 0; i < items->count; i++)
    if (items->rows[i].revision > revision)
      sorted[count++] = &items->rows[i];
  qsort (sorted, count, sizeof (const struct item *), compare_revisions);
  for (size_t i = 0; i < count; i++)
    json_array_append_new (rows, describe (sorted[i]));
  free (sorted);
  return rows;
}

static uint64_t
number_of (struct MHD_Connection *connection, const char *name)
{
  const char *text
      = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, name);

  return text == NULL ? 0 : strtoull (text, NULL, 10);
}

/* Waits until a change or the time UNTIL; returns false at the latter.  The
   lock must be held.  */
static bool
wait_until (struct store *store, const struct timespec *until)
{
  return pthread_cond_timedwait (&store->changed, &store->lock, until) == 0;
}

static struct timespec
after_ms (uint64_t ms)
{
  struct timespec time;

  clock_gettime (CLOCK_REALTIME, &time);
  time.tv_sec += (time_t)(ms / MS_PER_S);
  time.tv_nsec += (long)(ms % MS_PER_S) * NS_PER_MS;
  if (time.tv_nsec >= MS_PER_S * NS_PER_MS)
    {
      time.tv_sec++;
      time.tv_nsec -= MS_PER_S * NS_PER_MS;
    }
  return time;
}

static enum MHD_Result
answer_watch (struct store *store, struct MHD_Connection *connection)
{
  uint64_t after = number_of (connection, "after");
  struct timespec until = after_ms (number_of (connection, "waitMs"));

  uint64_t era = store->era;

  if (after < store->compacted_revision || after > store->items.revision)
    return reply (connection, store, MHD_HTTP_GONE, "");
  while (store->era == era && store->items.revision <= after && !store->closing
         && wait_until (store, &until))
    ;
  if (store->era != era)
    return reply (connection, store, MHD_HTTP_SERVICE_UNAVAILABLE, "");
  return reply_rows (connection, store, "events",
                     collect_events (&store->items, after), false);
}

static enum MHD_Result
answer (void *data, struct MHD_Connection *connection, const char *url,
        const char *method, const char *version, const char *upload,
        size_t *upload_size, void **request)
{
  struct store *store = data;
  struct timespec until;
  enum MHD_Result result;

  (void)method;
  (void)version;
  (void)upload;
  (void)upload_size;
  (void)request;
  pthread_mutex_lock (&store->lock);
  until = after_ms (store->faults.slow_ms);
  while (store->faults.slow_ms > 0 && !store->closing
         && wait_until (store, &until))
    ;
  if (store->faults.down)
    result = reply (connection, store, MHD_HTTP_SERVICE_UNAVAILABLE, "");
  else if (strcmp (url, "/kv-watch") == 0)
    result = answer_watch (store, connection);
  else if (strcmp (url, "/kv-range") == 0)
    result = answer_range (store, connection);
  else
    result = reply (connection, store, MHD_HTTP_NOT_FOUND, "");
  pthread_mutex_unlock (&store->lock);
  return result;
}

bool
store_create (uint32_t ip, uint16_t port, struct store **out)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct store *store = check_memory (calloc (1, sizeof *store));

  address.sin_addr.s_addr = htonl (ip);
  address.sin_port = htons (port);
  pthread_mutex_init (&store->lock, NULL);
  pthread_cond_init (&store->changed, NULL);
  store->items.revision = 1;
  store->era = 1;
  store->daemon = MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL_INTERNAL_THREAD, port, NULL,
      NULL, answer, store, MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
  *out = store;
  return store->daemon != NULL;
}

void
store_destroy (struct store *store)
{
  if (store == NULL)
    return;
  pthread_mutex_lock (&store->lock);
  store->closing = true;
  pthread_cond_broadcast (&store->changed);
  pthread_mutex_unlock (&store->lock);
  if (store->daemon != NULL)
    MHD_stop_daemon (store->daemon);
  clear_items (&store->items);
  clear_items (&store->copy);
  free (store);
}

/* Writes KEY with VALUE of SIZE bytes; NULL removes it.  */
static void
write_item (struct store *store, const char *key, const uint8_t *value,
            size_t size)
{
  struct item *item;

  pthread_mutex_lock (&store->lock);
  item = find_or_add (&store->items, key);
  free (item->value);
  item->value = value == NULL ? NULL : copy_bytes (value, size);
  item->size = size;
  item->revision = ++store->items.revision;
  pthread_cond_broadcast (&store->changed);
  pthread_mutex_unlock (&store->lock);
}

void
store_put_bytes (struct store *store, const char *key, const uint8_t *value,
                 size_t size)
{
  write_item (store, key, value, size);
}

void
store_put (struct store *store, const char *key, const char *value)
{
  write_item (store, key, (const uint8_t *)value, strlen (value));
}

void
store_remove (struct store *store, const char *key)
{
  write_item (store, key, NULL, 0);
}

void
store_compact (struct store *store)
{
  struct items *items = &store->items;
  size_t kept = 0;

  pthread_mutex_lock (&store->lock);
  /* Removed items are discarded with the history.  */
  for (size_t i = 0; i < items->count; i++)
    if (items->rows[i].value != NULL)
      items->rows[kept++] = items->rows[i];
    else
      free (items->rows[i].key);
  items->count = kept;
  store->compacted_revision = ++items->revision;
  pthread_cond_broadcast (&store->changed);
  pthread_mutex_unlock (&store->lock);
}

void
store_copy (struct store *store)
{
  pthread_mutex_lock (&store->lock);
  copy_items (&store->items, &store->copy);
  pthread_mutex_unlock (&store->lock);
}

void
store_restore (struct store *store)
{
  pthread_mutex_lock (&store->lock);
  copy_items (&store->copy, &store->items);
  if (store->compacted_revision > store->items.revision)
    store->compacted_revision = store->items.revision;
  store->era++;
  pthread_cond_broadcast (&store->changed);
  pthread_mutex_unlock (&store->lock);
}

void
store_set_faults (struct store *store, struct store_faults faults)
{
  pthread_mutex_lock (&store->lock);
  store->faults = faults;
  pthread_cond_broadcast (&store->changed);
  pthread_mutex_unlock (&store->lock);
}
