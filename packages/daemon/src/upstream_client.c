/* HTTP client for the upstream on libcurl's multi interface.

   Each request has its own connection: on a reused connection libcurl may
   resend a request, and no request may be run twice.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include <galenaford/table.h>

#include "upstream_client.h"

enum
{
  URL_BYTES = 512,
  HEADER_BYTES = 128,
  CONNECT_TIMEOUT_MS = 1000,
  STATUS_OK = 200,
  WAIT_FDS_MAX = 4
};

/* Header with which the upstream marks the answer to a request that it did not
   run.  */
static const char NOT_RUN_HEADER[] = "X-Galena-Not-Run:";

/* One HTTP call to the upstream: "/run", which runs a request, or "/cancel",
   which cancels one.  */
struct transfer
{
  struct upstream_client *client;
  struct galena_handle self;
  CURL *curl;
  struct curl_slist *headers;
  /* The request in the world; none for a cancel.  */
  struct galena_request_handle request;
  char id[HEADER_BYTES];
  /* Bytes pushed into the inbox since the last tick.  */
  size_t pushed;
  bool paused;
  bool not_run;
};

struct upstream_client
{
  CURLM *multi;
  struct galena_world *world;
  struct galena_table *transfers;
  char url[URL_BYTES / 2];
};

enum galena_result
upstream_client_create (const struct upstream_client_options *options,
                        struct upstream_client **out)
{
  struct galena_table_options table
      = { sizeof (struct transfer), options->transfers };
  struct upstream_client *client = calloc (1, sizeof *client);
  enum galena_result result = GALENA_ERR_MEMORY;

  if (client == NULL)
    return GALENA_ERR_MEMORY;
  client->world = options->world;
  snprintf (client->url, sizeof client->url, "%s", options->url);
  client->multi = curl_multi_init ();
  if (client->multi == NULL)
    goto fail;
  result = galena_table_create (&table, &client->transfers);
  if (result != GALENA_OK)
    goto fail;
  *out = client;
  return GALENA_OK;

fail:
  upstream_client_destroy (client);
  return result;
}

static void
end_transfer (struct upstream_client *client, struct transfer *transfer)
{
  curl_multi_remove_handle (client->multi, transfer->curl);
  curl_easy_cleanup (transfer->curl);
  curl_slist_free_all (transfer->headers);
  galena_table_remove (client->transfers, transfer->self);
}

void
upstream_client_destroy (struct upstream_client *client)
{
  struct transfer *transfer;
  struct galena_handle handle;
  uint32_t cursor = 0;

  if (client == NULL)
    return;
  while (
      client->transfers != NULL
      && (transfer = galena_table_next (client->transfers, &cursor, &handle))
             != NULL)
    end_transfer (client, transfer);
  galena_table_destroy (client->transfers);
  if (client->multi != NULL)
    curl_multi_cleanup (client->multi);
  free (client);
}

/* Returns whether SIZE more bytes of the answer fit into the inbox and the
   request's buffer.  */
static bool
has_room (const struct transfer *transfer, size_t size)
{
  struct upstream_client *client = transfer->client;
  size_t parts = size / GALENA_PART_BYTES + 1;

  if (galena_mailbox_room (galena_world_inbox (client->world)) <= parts)
    return false;
  return galena_world_run_room (client->world, transfer->request)
         >= transfer->pushed + size + GALENA_PART_BYTES;
}

static void
push_data (struct transfer *transfer, const char *bytes, size_t size)
{
  struct galena_mailbox *inbox = galena_world_inbox (transfer->client->world);

  transfer->pushed += size;
  while (size > 0)
    {
      struct galena_message data = { .type = GALENA_MESSAGE_RUN_DATA,
                                     .side = GALENA_SIDE_APPLICATION,
                                     .run = transfer->request };
      size_t take = size < GALENA_PART_BYTES ? size : GALENA_PART_BYTES;

      data.body = (const uint8_t *)bytes;
      data.body_size = (uint32_t)take;
      galena_mailbox_push (inbox, &data);
      bytes += take;
      size -= take;
    }
}

static size_t
receive_body (char *bytes, size_t unit, size_t count, void *data)
{
  struct transfer *transfer = data;
  size_t size = unit * count;

  if (galena_handle_is_none (transfer->request.row) || transfer->not_run)
    return size;
  if (!has_room (transfer, size))
    {
      transfer->paused = true;
      return CURL_WRITEFUNC_PAUSE;
    }
  push_data (transfer, bytes, size);
  return size;
}

static size_t
receive_header (char *bytes, size_t unit, size_t count, void *data)
{
  struct transfer *transfer = data;
  size_t size = unit * count;
  size_t length = sizeof NOT_RUN_HEADER - 1;

  if (size >= length && strncasecmp (bytes, NOT_RUN_HEADER, length) == 0)
    transfer->not_run = true;
  return size;
}

static void
add_header (struct transfer *transfer, const char *text)
{
  struct curl_slist *longer = curl_slist_append (transfer->headers, text);

  if (longer != NULL)
    transfer->headers = longer;
}

static void
add_run_headers (struct transfer *transfer,
                 const struct galena_message *message)
{
  char text[HEADER_BYTES * 2];

  snprintf (text, sizeof text, "X-Galena-Request: %s", transfer->id);
  add_header (transfer, text);
  snprintf (text, sizeof text, "X-Galena-Service: %u.%u.%u.%u:%u",
            message->service.ip >> 24, (message->service.ip >> 16) & 255,
            (message->service.ip >> 8) & 255, message->service.ip & 255,
            message->service.port);
  add_header (transfer, text);
  snprintf (text, sizeof text, "X-Galena-Kind: %u", message->kind);
  add_header (transfer, text);
  snprintf (text, sizeof text, "X-Galena-Deadline-Ms: %u",
            message->deadline_ms);
  add_header (transfer, text);
  if (message->resume > 0)
    {
      /* Offset at which the upstream resumes an endless answer.  */
      snprintf (text, sizeof text, "X-Galena-Resume: %llu",
                (unsigned long long)message->resume);
      add_header (transfer, text);
    }
  add_header (transfer, "Expect:");
}

/* Returns a new transfer to PATH of the upstream, which is not started yet;
   NULL when the table or memory is full.  */
static struct transfer *
create_transfer (struct upstream_client *client, const char *path)
{
  struct galena_handle handle;
  struct transfer *transfer = galena_table_insert (client->transfers, &handle);
  char url[URL_BYTES];

  if (transfer == NULL)
    return NULL;
  transfer->client = client;
  transfer->self = handle;
  transfer->curl = curl_easy_init ();
  if (transfer->curl == NULL)
    {
      galena_table_remove (client->transfers, handle);
      return NULL;
    }
  snprintf (url, sizeof url, "%s%s", client->url, path);
  curl_easy_setopt (transfer->curl, CURLOPT_URL, url);
  curl_easy_setopt (transfer->curl, CURLOPT_PRIVATE, transfer);
  curl_easy_setopt (transfer->curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (transfer->curl, CURLOPT_PROXY, "");
  curl_easy_setopt (transfer->curl, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (transfer->curl, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt (transfer->curl, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)CONNECT_TIMEOUT_MS);
  curl_easy_setopt (transfer->curl, CURLOPT_WRITEFUNCTION, receive_body);
  curl_easy_setopt (transfer->curl, CURLOPT_WRITEDATA, transfer);
  curl_easy_setopt (transfer->curl, CURLOPT_HEADERFUNCTION, receive_header);
  curl_easy_setopt (transfer->curl, CURLOPT_HEADERDATA, transfer);
  return transfer;
}

static void
start_transfer (struct transfer *transfer, const uint8_t *body, uint32_t size)
{
  curl_easy_setopt (transfer->curl, CURLOPT_HTTPHEADER, transfer->headers);
  curl_easy_setopt (transfer->curl, CURLOPT_POST, 1L);
  curl_easy_setopt (transfer->curl, CURLOPT_POSTFIELDSIZE, (long)size);
  curl_easy_setopt (transfer->curl, CURLOPT_COPYPOSTFIELDS,
                    (const char *)body);
  curl_multi_add_handle (transfer->client->multi, transfer->curl);
}

static void
push_end (struct upstream_client *client, struct galena_request_handle request,
          enum galena_result result)
{
  struct galena_message end = { .type = GALENA_MESSAGE_RUN_END,
                                .side = GALENA_SIDE_APPLICATION,
                                .run = request,
                                .result = result };

  galena_mailbox_push (galena_world_inbox (client->world), &end);
}

static void
start_run (struct upstream_client *client,
           const struct galena_message *message)
{
  uint32_t size = 0;
  const uint8_t *body
      = galena_world_run_body (client->world, message->run, &size);
  struct transfer *transfer;

  if (body == NULL)
    return;
  transfer = create_transfer (client, "/run");
  if (transfer == NULL)
    {
      push_end (client, message->run, GALENA_REFUSED_BY_UPSTREAM);
      return;
    }
  transfer->request = message->run;
  snprintf (transfer->id, sizeof transfer->id, "%016llx%016llx-%u",
            (unsigned long long)message->flow.high,
            (unsigned long long)message->flow.low, message->request);
  add_run_headers (transfer, message);
  start_transfer (transfer, body, size);
}

static struct transfer *
find_transfer (const struct upstream_client *client,
               struct galena_request_handle request)
{
  struct transfer *transfer;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((transfer = galena_table_next (client->transfers, &cursor, &handle))
         != NULL)
    if (galena_handle_pack (transfer->request.row)
        == galena_handle_pack (request.row))
      return transfer;
  return NULL;
}

static void
start_cancel (struct upstream_client *client,
              const struct galena_message *message)
{
  const struct transfer *running = find_transfer (client, message->run);
  struct transfer *cancel;
  char text[HEADER_BYTES * 2];

  if (running == NULL)
    return;
  cancel = create_transfer (client, "/cancel");
  if (cancel == NULL)
    return;
  snprintf (text, sizeof text, "X-Galena-Request: %s", running->id);
  add_header (cancel, text);
  start_transfer (cancel, (const uint8_t *)"", 0);
}

void
upstream_client_wait (struct upstream_client *client, const int *fds,
                      uint32_t count, uint32_t timeout_ms)
{
  struct curl_waitfd waits[WAIT_FDS_MAX] = { 0 };

  for (uint32_t i = 0; i < count && i < WAIT_FDS_MAX; i++)
    waits[i] = (struct curl_waitfd){ fds[i], CURL_WAIT_POLLIN, 0 };
  curl_multi_poll (client->multi, waits, count, (int)timeout_ms, NULL);
}

static void
resume_paused (struct upstream_client *client)
{
  struct transfer *transfer;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((transfer = galena_table_next (client->transfers, &cursor, &handle))
         != NULL)
    {
      transfer->pushed = 0;
      if (!transfer->paused || !has_room (transfer, CURL_MAX_WRITE_SIZE))
        continue;
      transfer->paused = false;
      curl_easy_pause (transfer->curl, CURLPAUSE_CONT);
    }
}

/* Returns the result of a request.  Only a failed connect or the upstream's
   header proves that the request was not run.  */
static enum galena_result
transfer_result (const struct transfer *transfer, CURLcode code)
{
  long status = 0;

  curl_easy_getinfo (transfer->curl, CURLINFO_RESPONSE_CODE, &status);
  if (code == CURLE_COULDNT_CONNECT || transfer->not_run)
    return GALENA_REFUSED_BY_UPSTREAM;
  if (code == CURLE_OK && status == STATUS_OK)
    return GALENA_OK;
  return GALENA_UNKNOWN_OUTCOME;
}

static void
finish_transfer (struct upstream_client *client, const CURLMsg *done)
{
  struct transfer *transfer;
  void *private_data;

  curl_easy_getinfo (done->easy_handle, CURLINFO_PRIVATE, &private_data);
  transfer = private_data;
  if (!galena_handle_is_none (transfer->request.row))
    push_end (client, transfer->request,
              transfer_result (transfer, done->data.result));
  end_transfer (client, transfer);
}

void
upstream_client_receive (struct upstream_client *client)
{
  struct galena_mailbox *inbox = galena_world_inbox (client->world);
  CURLMsg *message;
  int left;

  resume_paused (client);
  curl_multi_perform (client->multi, &left);
  while (galena_mailbox_room (inbox) > 0
         && (message = curl_multi_info_read (client->multi, &left)) != NULL)
    if (message->msg == CURLMSG_DONE)
      finish_transfer (client, message);
}

void
upstream_client_send (struct upstream_client *client)
{
  const struct galena_mailbox *outbox = galena_world_outbox (client->world);
  uint32_t count = galena_mailbox_count (outbox);

  for (uint32_t i = 0; i < count; i++)
    {
      const struct galena_message *message = galena_mailbox_get (outbox, i);

      if (message->side != GALENA_SIDE_APPLICATION)
        continue;
      if (message->type == GALENA_MESSAGE_RUN)
        start_run (client, message);
      else if (message->type == GALENA_MESSAGE_RUN_CANCEL)
        start_cancel (client, message);
    }
}
