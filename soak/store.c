/* A simulated key-value store of the platform: items with revisions, range
   queries, long-poll watches, a history that can be compacted, and a copy from
   which it can be restored.  */

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <arpa/inet.h>
#include <jansson.h>
#include <microhttpd.h>
#include <nettle/base64.h>

#include "soak.h"

enum
{
  ITEMS_MAX = 1024,
  KEY_BYTES = 64,
  VALUE_BYTES = 4096,
  NUMBER_BYTES = 24,
  MS_PER_S = 1000,
  NS_PER_MS = 1000000
};

struct item
{
  bool used;
  bool removed;
  char key[KEY_BYTES];
  char value[VALUE_BYTES];
  uint64_t revision;
};

struct store
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  bool closing;
  uint64_t revision;
  /* Watches from an older revision fail with status 410.  */
  uint64_t compacted_revision;
  /* Rises each time the store is restored from its copy.  */
  uint64_t era;
  struct store_faults faults;
  struct item items[ITEMS_MAX];
  struct item copied_items[ITEMS_MAX];
  uint64_t copied_revision;
  struct MHD_Daemon *daemon;
};

static json_t *
describe (const struct item *item)
{
  char text[BASE64_ENCODE_RAW_LENGTH (VALUE_BYTES) + 1];
  size_t size = strlen (item->value);
  json_t *row = json_pack ("{s:s, s:I}", "key", item->key, "revision",
                           (json_int_t)item->revision);

  if (item->removed)
    {
      json_object_set_new (row, "removed", json_true ());
      return row;
    }
  base64_encode_raw (text, size, (const uint8_t *)item->value);
  text[BASE64_ENCODE_RAW_LENGTH (size)] = '\0';
  json_object_set_new (row, "value", json_string (text));
  return row;
}

/* Returns the items that changed after REVISION; includes removed items if
   EVENTS.  */
static json_t *
collect (const struct store *store, uint64_t revision, bool events)
{
  json_t *rows = json_array ();

  for (uint32_t i = 0; i < ITEMS_MAX; i++)
    if (store->items[i].used && store->items[i].revision > revision
        && (events || !store->items[i].removed))
      json_array_append_new (rows, describe (&store->items[i]));
  return rows;
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
            const char *name, json_t *rows)
{
  json_t *body = json_pack ("{s:o, s:b, s:I}", name, rows, "truncated", 0,
                            "storeRevision", (json_int_t)store->revision);
  char *text = json_dumps (body, JSON_COMPACT);
  enum MHD_Result result = reply (connection, store, MHD_HTTP_OK, text);

  free (text);
  json_decref (body);
  return result;
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

  if (after < store->compacted_revision || after > store->revision)
    return reply (connection, store, MHD_HTTP_GONE, "");
  while (store->era == era && store->revision <= after && !store->closing
         && wait_until (store, &until))
    ;
  if (store->era != era)
    return reply (connection, store, MHD_HTTP_SERVICE_UNAVAILABLE, "");
  return reply_rows (connection, store, "events",
                     collect (store, after, true));
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
    result
        = reply_rows (connection, store, "items", collect (store, 0, false));
  else
    result = reply (connection, store, MHD_HTTP_NOT_FOUND, "");
  pthread_mutex_unlock (&store->lock);
  return result;
}

bool
store_create (uint32_t ip, struct store **out)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct store *store = calloc (1, sizeof *store);

  if (store == NULL)
    return false;
  address.sin_addr.s_addr = htonl (ip);
  address.sin_port = htons (PORT_STORE);
  pthread_mutex_init (&store->lock, NULL);
  pthread_cond_init (&store->changed, NULL);
  store->revision = 1;
  store->era = 1;
  store->daemon = MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL_INTERNAL_THREAD, PORT_STORE,
      NULL, NULL, answer, store, MHD_OPTION_SOCK_ADDR, &address,
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
  free (store);
}

static struct item *
find_or_add (struct store *store, const char *key)
{
  struct item *free_row = NULL;

  for (uint32_t i = 0; i < ITEMS_MAX; i++)
    {
      struct item *item = &store->items[i];

      if (item->used && strcmp (item->key, key) == 0)
        return item;
      if (!item->used && free_row == NULL)
        free_row = item;
    }
  if (free_row == NULL)
    abort ();
  free_row->used = true;
  snprintf (free_row->key, sizeof free_row->key, "%s", key);
  return free_row;
}

static void
write_item (struct store *store, const char *key, const char *value)
{
  struct item *item;

  pthread_mutex_lock (&store->lock);
  item = find_or_add (store, key);
  item->removed = value == NULL;
  snprintf (item->value, sizeof item->value, "%s", value == NULL ? "" : value);
  item->revision = ++store->revision;
  pthread_cond_broadcast (&store->changed);
  pthread_mutex_unlock (&store->lock);
}

void
store_put (struct store *store, const char *key, const char *value)
{
  write_item (store, key, value);
}

void
store_remove (struct store *store, const char *key)
{
  write_item (store, key, NULL);
}

void
store_compact (struct store *store)
{
  pthread_mutex_lock (&store->lock);
  /* Removed items are discarded with the history.  */
  for (uint32_t i = 0; i < ITEMS_MAX; i++)
    if (store->items[i].removed)
      store->items[i].used = false;
  store->compacted_revision = ++store->revision;
  pthread_cond_broadcast (&store->changed);
  pthread_mutex_unlock (&store->lock);
}

void
store_copy (struct store *store)
{
  pthread_mutex_lock (&store->lock);
  memcpy (store->copied_items, store->items, sizeof store->items);
  store->copied_revision = store->revision;
  pthread_mutex_unlock (&store->lock);
}

void
store_restore (struct store *store)
{
  pthread_mutex_lock (&store->lock);
  memcpy (store->items, store->copied_items, sizeof store->items);
  store->revision = store->copied_revision;
  if (store->compacted_revision > store->revision)
    store->compacted_revision = store->revision;
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
