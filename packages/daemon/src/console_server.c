/* Connections of operators: accepting, queries and replies.  */

#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <galenaford/framing.h>
#include <galenaford/log.h>

#include "console_server.h"

enum
{
  QUERY_BYTES_MAX = 64,
  SEND_BYTES_MAX = 64 * 1024
};

struct connection
{
  /* -1 when the row is free.  */
  int fd;
  struct galena_framing *framing;
  /* When a query was last received or a part of a reply last sent.  */
  struct galena_clock last_progress;
  bool replying;
  struct view_cursor cursor;
};

struct console_server
{
  int listener;
  uint32_t count;
  struct connection connections[CONSOLE_CONNECTIONS_MAX];
};

enum galena_result
console_server_create (const struct console_server_options *options,
                       struct console_server **out)
{
  struct console_server *server = calloc (1, sizeof *server);
  enum galena_result result;

  if (server == NULL)
    return GALENA_ERR_MEMORY;
  server->count = options->connections;
  if (server->count > CONSOLE_CONNECTIONS_MAX)
    server->count = CONSOLE_CONNECTIONS_MAX;
  for (uint32_t i = 0; i < server->count; i++)
    server->connections[i].fd = -1;
  result = galena_tcp_listen (options->address, &server->listener);
  if (result != GALENA_OK)
    {
      free (server);
      return result;
    }
  *out = server;
  return GALENA_OK;
}

static void
close_connection (struct connection *connection)
{
  if (connection->fd < 0)
    return;
  close (connection->fd);
  galena_framing_destroy (connection->framing);
  *connection = (struct connection){ .fd = -1 };
}

void
console_server_destroy (struct console_server *server)
{
  if (server == NULL)
    return;
  for (uint32_t i = 0; i < server->count; i++)
    close_connection (&server->connections[i]);
  close (server->listener);
  free (server);
}

static short
wanted_events (const struct connection *connection)
{
  return connection->replying
                 || galena_framing_pending_bytes (connection->framing) > 0
             ? POLLOUT
             : POLLIN;
}

uint32_t
console_server_prepare (const struct console_server *server,
                        struct pollfd *fds)
{
  fds[0] = (struct pollfd){ server->listener, POLLIN, 0 };
  for (uint32_t i = 0; i < server->count; i++)
    {
      const struct connection *connection = &server->connections[i];

      fds[i + 1] = (struct pollfd){ connection->fd, 0, 0 };
      if (connection->fd >= 0)
        fds[i + 1].events = wanted_events (connection);
    }
  return server->count + 1;
}

static struct connection *
free_connection (struct console_server *server)
{
  for (uint32_t i = 0; i < server->count; i++)
    if (server->connections[i].fd < 0)
      return &server->connections[i];
  return NULL;
}

/* Accepts one connection; closes it at once if the table is full.  */
static void
accept_connection (struct console_server *server, struct galena_clock now)
{
  struct galena_framing_options options = { QUERY_BYTES_MAX, SEND_BYTES_MAX };
  struct connection *connection = free_connection (server);
  int fd = galena_tcp_accept (server->listener);

  if (fd < 0)
    return;
  if (connection == NULL
      || galena_framing_create (&options, &connection->framing) != GALENA_OK)
    {
      galena_log (LOG_WARNING, "operator-refused", "result=full");
      close (fd);
      return;
    }
  connection->fd = fd;
  connection->last_progress = now;
}

static enum galena_result
add_row (struct connection *connection, const struct galena_operator_row *row)
{
  uint8_t bytes[GALENA_OPERATOR_ROW_BYTES_MAX];
  size_t size;
  enum galena_result result
      = galena_operator_encode (row, bytes, sizeof bytes, &size);

  if (result != GALENA_OK)
    return result;
  return galena_framing_add (connection->framing, bytes, (uint32_t)size);
}

static enum galena_result
add_end (struct connection *connection, enum galena_result query_result)
{
  struct galena_operator_row end
      = { .type = GALENA_ROW_END, .as.end.result = query_result };

  connection->replying = false;
  return add_row (connection, &end);
}

/* Adds rows to the send buffer while it has room for a row and the end row. */
static enum galena_result
add_rows (struct connection *connection, const struct view_source *source)
{
  struct galena_operator_row row;
  enum galena_result result = GALENA_OK;

  while (connection->replying && result == GALENA_OK
         && galena_framing_pending_bytes (connection->framing)
                < SEND_BYTES_MAX - 2 * GALENA_OPERATOR_ROW_BYTES_MAX)
    {
      if (view_next (source, &connection->cursor, &row))
        result = add_row (connection, &row);
      else
        result = add_end (connection, GALENA_OK);
    }
  return result;
}

static enum galena_result
start_reply (struct connection *connection, const uint8_t *bytes,
             uint32_t size)
{
  struct galena_operator_row query;
  enum galena_result result = galena_operator_decode (bytes, size, &query);

  if (result == GALENA_OK && query.type != GALENA_ROW_QUERY)
    result = GALENA_ERR_TYPE;
  if (result == GALENA_OK && !view_exists (query.as.query.view))
    result = GALENA_ERR_NOT_FOUND;
  if (result != GALENA_OK)
    return add_end (connection, result);
  connection->replying = true;
  connection->cursor.view = query.as.query.view;
  connection->cursor.position = 0;
  if (query.as.query.view == GALENA_ROW_AUDIT)
    connection->cursor.position = query.as.query.after;
  return GALENA_OK;
}

static enum galena_result
receive_query (struct connection *connection, struct galena_clock now)
{
  enum galena_result result
      = galena_framing_receive (connection->framing, connection->fd);
  const uint8_t *bytes;
  uint32_t size;

  if (result != GALENA_OK)
    return result;
  bytes = galena_framing_next (connection->framing, &size);
  if (bytes == NULL)
    return GALENA_OK;
  connection->last_progress = now;
  return start_reply (connection, bytes, size);
}

static enum galena_result
send_reply (struct connection *connection, struct galena_clock now)
{
  uint32_t before = galena_framing_pending_bytes (connection->framing);
  enum galena_result result
      = galena_framing_send (connection->framing, connection->fd);

  if (galena_framing_pending_bytes (connection->framing) != before)
    connection->last_progress = now;
  return result;
}

/* Receives a query or sends a part of the reply.  After an error CONNECTION
   should be closed.  */
static enum galena_result
step_connection (struct connection *connection, short events,
                 const struct view_source *source)
{
  enum galena_result result = GALENA_OK;

  if (events & (POLLERR | POLLNVAL))
    return GALENA_ERR_IO;
  if (galena_clock_elapsed_ms (connection->last_progress, source->now)
      >= CONSOLE_IDLE_MS)
    return GALENA_ERR_IO;
  if (events & (POLLIN | POLLHUP) && !connection->replying)
    result = receive_query (connection, source->now);
  if (result == GALENA_OK)
    result = add_rows (connection, source);
  if (result == GALENA_OK)
    result = send_reply (connection, source->now);
  return result;
}

void
console_server_step (struct console_server *server, const struct pollfd *fds,
                     const struct view_source *source)
{
  for (uint32_t i = 0; i < server->count; i++)
    {
      struct connection *connection = &server->connections[i];

      if (connection->fd >= 0
          && step_connection (connection, fds[i + 1].revents, source)
                 != GALENA_OK)
        close_connection (connection);
    }
  if (fds[0].revents & POLLIN)
    accept_connection (server, source->now);
}
