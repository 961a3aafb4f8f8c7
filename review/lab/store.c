/* The platform's store: items with revisions, ranges, and watches that wait.
 */

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <jansson.h>
#include <microhttpd.h>
#include <nettle/base64.h>

#include "lab.h"

enum
{
  MS_PER_S = 1000,
  NS_PER_MS = 1000000,
  /* Bytes of values after which a page of a range ends.  */
  PAGE_BYTES = 1024 * 1024,
  /* How long the history goes back.  */
  HISTORY_MS = 20000
};

static json_t *
describe (const struct item *item)
{
  size_t length = BASE64_ENCODE_RAW_LENGTH (item->size);
  char *text;
  json_t *row = json_pack ("{s:s, s:I}", "key", item->key, "revision",
                           (json_int_t)item->revision);

  if (item->removed)
    {
      json_object_set_new (row, "removed", json_true ());
      return row;
    }
  text = malloc (length + 1);
  if (text == NULL)
    abort ();
  base64_encode_raw (text, item->size, item->value);
  json_object_set_new (row, "value", json_stringn (text, length));
  free (text);
  json_object_set_new (row, "created", json_integer (1));
  json_object_set_new (row, "lease", json_integer (0));
  return row;
}

static enum MHD_Result
reply (struct MHD_Connection *connection, unsigned status, char *text)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result;

  MHD_add_response_header (response, "Store-Era", "1");
  result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static int
compare_keys (const void *a, const void *b)
{
  return strcmp ((*(const struct item *const *)a)->key,
                 (*(const struct item *const *)b)->key);
}

static int
compare_revisions (const void *a, const void *b)
{
  uint64_t first = (*(const struct item *const *)a)->revision;
  uint64_t second = (*(const struct item *const *)b)->revision;

  return first < second ? -1 : first > second;
}

/* Replies with the items that changed after REVISION: EVENTS, which include
   removals, in the order of their revisions; others in that of their keys, a
   page of those after the key AFTER.  */
static enum MHD_Result
reply_items (struct MHD_Connection *connection, const struct store *store,
             uint64_t revision, bool events, const char *after)
{
  const struct item *sorted[ITEMS_MAX] = { NULL };
  json_t *rows = json_array ();
  enum MHD_Result result;
  bool truncated = false;
  size_t count = 0;
  size_t bytes = 0;
  json_t *body;
  char *text;

  for (uint32_t i = 0; i < ITEMS_MAX; i++)
    if (store->items[i].used && store->items[i].revision > revision
        && (events
            || (!store->items[i].removed
                && strcmp (store->items[i].key, after) > 0)))
      sorted[count++] = &store->items[i];
  qsort (sorted, count, sizeof (const struct item *),
         events ? compare_revisions : compare_keys);
  for (size_t i = 0; i < count && !truncated; i++)
    {
      json_array_append_new (rows, describe (sorted[i]));
      bytes += sorted[i]->size;
      truncated = !events && bytes >= PAGE_BYTES && i + 1 < count;
    }
  body = json_pack ("{s:o, s:b, s:I}", events ? "events" : "items", rows,
                    "truncated", truncated ? 1 : 0, "storeRevision",
                    (json_int_t)store->revision);
  text = json_dumps (body, JSON_COMPACT);
  result = reply (connection, MHD_HTTP_OK, text);
  free (text);
  json_decref (body);
  return result;
}

/* Returns whether the history after REVISION is no longer available.  */
static bool
is_compacted (const struct store *store, uint64_t revision)
{
  int64_t now = lab_steady_ms ();

  for (uint32_t i = 0; i < ITEMS_MAX; i++)
    if (store->items[i].used && store->items[i].revision > revision
        && now - store->items[i].written_ms > HISTORY_MS)
      return true;
  return false;
}

static uint64_t
number_of (struct MHD_Connection *connection, const char *name)
{
  const char *text
      = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, name);

  return text == NULL ? 0 : strtoull (text, NULL, 10);
}

/* Waits until a revision after AFTER or for WAIT_MS.  The lock is held.  */
static void
wait_for_change (struct store *store, uint64_t after, uint64_t wait_ms)
{
  struct timespec until;

  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += (time_t)(wait_ms / MS_PER_S);
  until.tv_nsec += (long)(wait_ms % MS_PER_S) * NS_PER_MS;
  if (until.tv_nsec >= (long)MS_PER_S * NS_PER_MS)
    {
      until.tv_sec++;
      until.tv_nsec -= (long)MS_PER_S * NS_PER_MS;
    }
  while (store->revision <= after && !store->closing
         && pthread_cond_timedwait (&store->changed, &store->lock, &until)
                == 0)
    ;
}

static enum MHD_Result
answer (void *data, struct MHD_Connection *connection, const char *url,
        const char *method, const char *version, const char *upload,
        size_t *upload_size, void **request)
{
  struct store *store = data;
  enum MHD_Result result;

  (void)method;
  (void)version;
  (void)upload;
  (void)upload_size;
  (void)request;
  pthread_mutex_lock (&store->lock);
  if (strcmp (url, "/kv-watch") == 0)
    {
      uint64_t after = number_of (connection, "after");

      wait_for_change (store, after, number_of (connection, "waitMs"));
      result = is_compacted (store, after)
                   ? reply (connection, MHD_HTTP_GONE, "")
                   : reply_items (connection, store, after, true, "");
    }
  else if (strcmp (url, "/kv-range") == 0)
    {
      const char *after = MHD_lookup_connection_value (
          connection, MHD_GET_ARGUMENT_KIND, "after");

      result = reply_items (connection, store, 0, false,
                            after != NULL ? after : "");
    }
  else
    result = reply (connection, MHD_HTTP_NOT_FOUND, "");
  pthread_mutex_unlock (&store->lock);
  return result;
}

bool
store_open (struct lab *lab)
{
  struct endpoint endpoint = lab_endpoint (lab, lab_ip (0, 0), PORT_STORE);
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct store *store = &lab->store;

  address.sin_addr.s_addr = htonl (endpoint.ip);
  address.sin_port = htons (endpoint.port);
  pthread_mutex_init (&store->lock, NULL);
  pthread_cond_init (&store->changed, NULL);
  store->revision = 1;
  store->daemon = MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL_INTERNAL_THREAD,
      endpoint.port, NULL, NULL, answer, store, MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
  return store->daemon != NULL;
}

void
store_close (struct lab *lab)
{
  struct store *store = &lab->store;

  pthread_mutex_lock (&store->lock);
  store->closing = true;
  pthread_cond_broadcast (&store->changed);
  pthread_mutex_unlock (&store->lock);
  if (store->daemon != NULL)
    MHD_stop_daemon (store->daemon);
  for (uint32_t i = 0; i < ITEMS_MAX; i++)
    free (store->items[i].value);
}

static struct item *
find_or_add (struct store *store, const char *key)
{
  for (uint32_t i = 0; i < ITEMS_MAX; i++)
    if (!store->items[i].used || strcmp (store->items[i].key, key) == 0)
      {
        store->items[i].used = true;
        snprintf (store->items[i].key, KEY_BYTES, "%s", key);
        return &store->items[i];
      }
  abort ();
}

static void
write_item (struct lab *lab, const char *key, const uint8_t *bytes,
            size_t size, const char *text)
{
  struct store *store = &lab->store;
  struct item *item;

  pthread_mutex_lock (&store->lock);
  item = find_or_add (store, key);
  item->removed = bytes == NULL;
  free (item->value);
  item->value = NULL;
  item->size = 0;
  if (bytes != NULL)
    {
      item->value = malloc (size + 1);
      if (item->value == NULL)
        abort ();
      memcpy (item->value, bytes, size);
      item->size = size;
    }
  item->revision = ++store->revision;
  item->written_ms = lab_steady_ms ();
  lab_log (lab, "store revision=%llu %s %s",
           (unsigned long long)item->revision, key, text);
  pthread_cond_broadcast (&store->changed);
  pthread_mutex_unlock (&store->lock);
}

void
store_put (struct lab *lab, const char *key, const char *value)
{
  write_item (lab, key, (const uint8_t *)value, strlen (value), value);
}

void
store_put_bytes (struct lab *lab, const char *key, const uint8_t *bytes,
                 size_t size)
{
  char text[TEXT_BYTES];

  snprintf (text, sizeof text, "%zu bytes", size);
  write_item (lab, key, bytes, size, text);
}

void
store_remove (struct lab *lab, const char *key)
{
  write_item (lab, key, NULL, 0, "removed");
}
