/* Connections to peers, one row for each link of the sync.  */

#include <stdlib.h>
#include <unistd.h>

#include <galenaford/framing.h>
#include <galenaford/relay.h>
#include <galenaford/table.h>

#include "sync_transport.h"

enum
{
  /* Most bytes buffered for sending to one peer.  */
  SEND_BYTES_MAX = GALENA_RELAY_BYTES_MAX + 256 * 1024
};

struct connection
{
  struct galena_peer_handle peer;
  int fd;
  struct galena_framing *framing;
  /* Whether the connection has failed; the next run reports and closes it.  */
  bool failed;
};

struct sync_transport
{
  struct sync_transport_options options;
  int listener;
  struct galena_table *connections;
  /* Buffer for encoding one message with a record.  */
  uint8_t *bytes;
};

enum galena_result
sync_transport_create (const struct sync_transport_options *options,
                       struct sync_transport **out)
{
  /* The sync may accept a link before the connection of one that it has
     removed is closed, so there can be more connections than links.  */
  struct galena_table_options connections
      = { sizeof (struct connection), 2 * GALENA_SYNC_LINKS_MAX };
  struct sync_transport *transport = calloc (1, sizeof *transport);
  enum galena_result result = GALENA_ERR_MEMORY;

  if (transport == NULL)
    return GALENA_ERR_MEMORY;
  transport->options = *options;
  transport->listener = -1;
  transport->bytes = malloc (GALENA_RELAY_BYTES_MAX);
  if (transport->bytes == NULL)
    goto fail;
  result = galena_table_create (&connections, &transport->connections);
  if (result != GALENA_OK)
    goto fail;
  if (options->address.ip != 0)
    result = galena_tcp_listen (options->address, &transport->listener);
  if (result != GALENA_OK)
    goto fail;
  *out = transport;
  return GALENA_OK;

fail:
  sync_transport_destroy (transport);
  return result;
}

static void
close_connection (struct sync_transport *transport,
                  struct connection *connection, struct galena_handle handle)
{
  close (connection->fd);
  galena_framing_destroy (connection->framing);
  galena_table_remove (transport->connections, handle);
}

void
sync_transport_destroy (struct sync_transport *transport)
{
  struct connection *connection;
  struct galena_handle handle;
  uint32_t cursor = 0;

  if (transport == NULL)
    return;
  while (transport->connections != NULL
         && (connection
             = galena_table_next (transport->connections, &cursor, &handle))
                != NULL)
    close_connection (transport, connection, handle);
  galena_table_destroy (transport->connections);
  if (transport->listener >= 0)
    close (transport->listener);
  free (transport->bytes);
  free (transport);
}

static struct connection *
find_connection (const struct sync_transport *transport,
                 struct galena_peer_handle peer, struct galena_handle *handle)
{
  uint64_t packed = galena_handle_pack (peer.row);
  struct connection *connection;
  uint32_t cursor = 0;

  while ((connection
          = galena_table_next (transport->connections, &cursor, handle))
         != NULL)
    if (galena_handle_pack (connection->peer.row) == packed)
      return connection;
  return NULL;
}

static void
report_link_ended (struct sync_transport *transport,
                   struct galena_peer_handle peer, struct galena_clock now)
{
  struct galena_sync_event event
      = { .type = GALENA_SYNC_LINK_ENDED, .peer = peer };

  galena_sync_handle_event (transport->options.sync, &event, now);
}

/* Adds a connection on FD; closes FD when the table is full.  Without a socket
   (FD < 0) it adds a row marked as failed, so that the sync is told of the
   failure.  */
static void
add_connection (struct sync_transport *transport,
                struct galena_peer_handle peer, int fd)
{
  struct galena_framing_options options
      = { GALENA_RELAY_BYTES_MAX, SEND_BYTES_MAX };
  struct galena_handle handle;
  struct connection *connection
      = galena_table_insert (transport->connections, &handle);

  if (connection == NULL)
    {
      if (fd >= 0)
        close (fd);
      return;
    }
  connection->peer = peer;
  connection->fd = fd;
  connection->failed
      = fd < 0
        || galena_framing_create (&options, &connection->framing) != GALENA_OK;
}

static void
perform_connect (struct sync_transport *transport,
                 const struct galena_sync_action *action)
{
  int fd = -1;

  if (galena_tcp_connect (action->address, &fd) != GALENA_OK)
    fd = -1;
  add_connection (transport, action->peer, fd);
}

static void
perform_close (struct sync_transport *transport,
               const struct galena_sync_action *action)
{
  struct galena_handle handle;
  struct connection *connection
      = find_connection (transport, action->peer, &handle);

  if (connection != NULL)
    close_connection (transport, connection, handle);
}

static void
perform_send (struct sync_transport *transport,
              const struct galena_sync_action *action)
{
  const struct galena_sync_message *message = &action->message;
  struct galena_handle handle;
  struct connection *connection
      = find_connection (transport, action->peer, &handle);
  const char *text = NULL;
  size_t text_size = 0;
  size_t size;

  if (connection == NULL || connection->failed)
    return;
  if (message->type == GALENA_SYNC_RECORD)
    {
      text = record_cache_find (transport->options.record_cache,
                                message->number, message->digest, &text_size);
      if (text == NULL)
        return;
    }
  if (galena_relay_encode (message, text, text_size, transport->bytes,
                           GALENA_RELAY_BYTES_MAX, &size)
          != GALENA_OK
      || galena_framing_add (connection->framing, transport->bytes,
                             (uint32_t)size)
             != GALENA_OK)
    connection->failed = true;
}

/* Function for each action that concerns a peer; NULL for others.  */
static void (*const ACTIONS[GALENA_SYNC_ACTION_COUNT]) (
    struct sync_transport *, const struct galena_sync_action *)
    = {
        [GALENA_SYNC_DO_CONNECT] = perform_connect,
        [GALENA_SYNC_DO_CLOSE] = perform_close,
        [GALENA_SYNC_DO_SEND] = perform_send,
      };

void
sync_transport_perform (struct sync_transport *transport,
                        const struct galena_sync_action *action)
{
  if (ACTIONS[action->type] != NULL)
    ACTIONS[action->type](transport, action);
}

uint32_t
sync_transport_fds (const struct sync_transport *transport, struct pollfd *fds,
                    uint32_t max)
{
  const struct connection *connection;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint32_t count = 0;

  if (transport->listener >= 0)
    fds[count++] = (struct pollfd){ transport->listener, POLLIN, 0 };
  while (count < max
         && (connection
             = galena_table_next (transport->connections, &cursor, &handle))
                != NULL)
    {
      bool sends = !connection->failed
                   && galena_framing_pending_bytes (connection->framing) > 0;

      if (connection->fd < 0)
        continue;
      fds[count++]
          = (struct pollfd){ connection->fd,
                             (short)(POLLIN | (sends ? POLLOUT : 0)), 0 };
    }
  return count;
}

static void
accept_peers (struct sync_transport *transport, struct galena_clock now)
{
  struct galena_peer_handle peer;
  int fd;

  while (transport->listener >= 0
         && (fd = galena_tcp_accept (transport->listener)) >= 0)
    if (galena_sync_accept (transport->options.sync, now, &peer) == GALENA_OK)
      add_connection (transport, peer, fd);
    else
      close (fd);
}

static void
deliver_message (struct sync_transport *transport,
                 struct connection *connection, const uint8_t *bytes,
                 uint32_t size, struct galena_clock now)
{
  struct galena_sync_message message;
  struct galena_sync_event event = { .type = GALENA_SYNC_RECEIVED,
                                     .peer = connection->peer,
                                     .message = &message };
  const char *text;
  size_t text_size;

  if (galena_relay_decode (bytes, size, &message, &text, &text_size)
      != GALENA_OK)
    connection->failed = true;
  else if (message.type == GALENA_SYNC_RECORD)
    transport->options.on_record (transport->options.data, &event, text,
                                  text_size);
  else
    galena_sync_handle_event (transport->options.sync, &event, now);
}

static void
receive (struct sync_transport *transport, struct connection *connection,
         struct galena_clock now)
{
  const uint8_t *bytes;
  uint32_t size;

  if (galena_framing_receive (connection->framing, connection->fd)
      != GALENA_OK)
    connection->failed = true;
  while (!connection->failed
         && (bytes = galena_framing_next (connection->framing, &size)) != NULL)
    deliver_message (transport, connection, bytes, size, now);
}

void
sync_transport_run (struct sync_transport *transport, struct galena_clock now)
{
  struct connection *connection;
  struct galena_handle handle;
  uint32_t cursor = 0;

  accept_peers (transport, now);
  while ((connection
          = galena_table_next (transport->connections, &cursor, &handle))
         != NULL)
    {
      if (!connection->failed)
        receive (transport, connection, now);
      if (!connection->failed
          && galena_framing_send (connection->framing, connection->fd)
                 != GALENA_OK)
        connection->failed = true;
      if (!connection->failed)
        continue;
      report_link_ended (transport, connection->peer, now);
      close_connection (transport, connection, handle);
    }
}
