/* Targets: a table of processes, and queries to all of them over TCP.  */

#include <errno.h>
#include <dirent.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <galenaford/framing.h>
#include <galenaford/monotonic.h>
#include <galenaford/record.h>
#include <galenaford/settings.h>

#include "target.h"

enum
{
  PATH_BYTES = 4096,
  SEND_BYTES_MAX = 256,
  /* Most targets that are queried at the same time.  */
  BATCH = 64,
  /* Most rows of one reply; a longer reply is an error.  */
  ROWS_MAX = 65536
};

/* A connection that carries one query and its reply.  */
struct connection
{
  int fd;
  struct galena_framing *framing;
  /* When the query times out; extended whenever data arrive.  */
  struct galena_clock timeout_at;
  /* Rows read so far.  */
  uint32_t rows;
  struct target *target;
};

struct targets
{
  uint32_t count;
  struct target rows[TARGETS_MAX];
};

static enum galena_result
add_target (struct targets *targets, const char *name,
            struct galena_endpoint address)
{
  struct target *target;

  if (targets->count == TARGETS_MAX)
    return GALENA_ERR_FULL;
  target = &targets->rows[targets->count++];
  snprintf (target->name, sizeof target->name, "%s", name);
  target->address = address;
  return GALENA_OK;
}

static enum galena_result
add_settings (struct targets *targets, const char *path)
{
  struct galena_settings settings;
  enum galena_result result = galena_settings_load (path, &settings, stderr);

  if (result != GALENA_OK)
    return result;
  if (settings.operator_address.ip == 0)
    {
      fprintf (stderr, "galenactl: %s: [operator] address is missing\n", path);
      return GALENA_ERR_INVALID;
    }
  return add_target (targets, settings.name, settings.operator_address);
}

static int
is_settings_file (const struct dirent *entry)
{
  size_t length = strlen (entry->d_name);

  return length > 4 && strcmp (entry->d_name + length - 4, ".ini") == 0;
}

/* Adds every *.ini file of the folder at PATH in the order of names.  */
static enum galena_result
add_folder (struct targets *targets, const char *path)
{
  struct dirent **entries;
  int count = scandir (path, &entries, is_settings_file, alphasort);
  enum galena_result result = GALENA_OK;

  for (int i = 0; i < count; i++)
    {
      char file[PATH_BYTES];

      snprintf (file, sizeof file, "%s/%s", path, entries[i]->d_name);
      if (result == GALENA_OK)
        result = add_settings (targets, file);
      free (entries[i]);
    }
  if (count >= 0)
    free (entries);
  return result;
}

static enum galena_result
add_source (struct targets *targets, const char *path)
{
  DIR *folder = opendir (path);

  if (folder == NULL)
    return add_settings (targets, path);
  closedir (folder);
  return add_folder (targets, path);
}

static enum galena_result
add_address (struct targets *targets, const char *text)
{
  struct galena_endpoint address;

  if (galena_endpoint_parse (text, &address) == GALENA_OK)
    return add_target (targets, text, address);
  fprintf (stderr, "galenactl: '%s' is not an address A.B.C.D:PORT\n", text);
  return GALENA_ERR_INVALID;
}

enum galena_result
targets_create (const struct arguments *arguments, struct targets **out)
{
  struct targets *targets = calloc (1, sizeof *targets);
  enum galena_result result = GALENA_OK;

  if (targets == NULL)
    return GALENA_ERR_MEMORY;
  for (int i = 0; i < arguments->settings_count && result == GALENA_OK; i++)
    result = add_source (targets, arguments->settings[i]);
  for (int i = 0; i < arguments->address_count && result == GALENA_OK; i++)
    result = add_address (targets, arguments->addresses[i]);
  if (result != GALENA_OK)
    {
      targets_destroy (targets);
      return result;
    }
  *out = targets;
  return GALENA_OK;
}

void
targets_destroy (struct targets *targets)
{
  free (targets);
}

uint32_t
targets_count (const struct targets *targets)
{
  return targets->count;
}

const struct target *
targets_get (const struct targets *targets, uint32_t index)
{
  return &targets->rows[index];
}

static void
close_connection (struct connection *connection, enum galena_result result)
{
  connection->target->result = result;
  galena_framing_destroy (connection->framing);
  if (connection->fd >= 0)
    close (connection->fd);
  *connection = (struct connection){ .fd = -1 };
}

static enum galena_result
queue_query (struct connection *connection, enum galena_operator_type row_type)
{
  struct galena_operator_row query
      = { .type = GALENA_ROW_QUERY, .as.query.view = row_type };
  uint8_t bytes[GALENA_OPERATOR_ROW_BYTES_MAX];
  size_t size;
  enum galena_result result;

  query.as.query.after = connection->target->after;
  result = galena_operator_encode (&query, bytes, sizeof bytes, &size);
  if (result != GALENA_OK)
    return result;
  return galena_framing_add (connection->framing, bytes, (uint32_t)size);
}

static void
open_connection (struct connection *connection, struct target *target,
                 enum galena_operator_type row_type)
{
  struct galena_framing_options options
      = { GALENA_OPERATOR_ROW_BYTES_MAX, SEND_BYTES_MAX };
  enum galena_result result;

  *connection = (struct connection){ .fd = -1, .target = target };
  connection->timeout_at
      = galena_clock_add_ms (galena_monotonic_now (), TARGET_TIMEOUT_MS);
  result = galena_framing_create (&options, &connection->framing);
  if (result == GALENA_OK)
    result = galena_tcp_connect (target->address, &connection->fd);
  if (result == GALENA_OK)
    result = queue_query (connection, row_type);
  if (result != GALENA_OK)
    close_connection (connection, result);
}

/* Passes the rows received to ON_ROW; sets *END if the end of the reply is
   among them.  */
static enum galena_result
read_rows (struct connection *connection, enum galena_operator_type row_type,
           target_row_callback *on_row, void *data, bool *end)
{
  struct galena_operator_row row;
  const uint8_t *bytes;
  uint32_t size;

  while ((bytes = galena_framing_next (connection->framing, &size)) != NULL)
    {
      enum galena_result result = galena_operator_decode (bytes, size, &row);

      if (result != GALENA_OK)
        return result;
      *end = row.type == GALENA_ROW_END;
      if (*end)
        return (enum galena_result)row.as.end.result;
      if (row.type != row_type)
        return GALENA_ERR_TYPE;
      if (connection->rows++ == ROWS_MAX)
        return GALENA_ERR_TOO_LARGE;
      if (row.type == GALENA_ROW_AUDIT)
        connection->target->after = row.as.event.sequence;
      on_row (data, connection->target, &row);
    }
  return GALENA_OK;
}

static void
advance_connection (struct connection *connection,
                    enum galena_operator_type row_type,
                    target_row_callback *on_row, void *data)
{
  struct galena_clock now = galena_monotonic_now ();
  enum galena_result result;
  bool end = false;

  result = galena_framing_send (connection->framing, connection->fd);
  if (result == GALENA_OK)
    result = galena_framing_receive (connection->framing, connection->fd);
  if (result == GALENA_OK)
    result = read_rows (connection, row_type, on_row, data, &end);
  if (end || result != GALENA_OK)
    {
      close_connection (connection, result);
      return;
    }
  connection->timeout_at = galena_clock_add_ms (now, TARGET_TIMEOUT_MS);
}

/* Waits for the connections and advances those that are ready; returns how
   many were open.  */
static uint32_t
advance_connections (struct connection *connections, uint32_t count,
                     enum galena_operator_type row_type,
                     target_row_callback *on_row, void *data)
{
  struct pollfd fds[BATCH];
  uint32_t open = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      fds[i] = (struct pollfd){ connections[i].fd, POLLIN, 0 };
      if (connections[i].fd < 0)
        continue;
      open++;
      if (galena_framing_pending_bytes (connections[i].framing) > 0)
        fds[i].events |= POLLOUT;
    }
  if (open == 0)
    return 0;
  poll (fds, count, TARGET_TIMEOUT_MS);
  for (uint32_t i = 0; i < count; i++)
    {
      if (connections[i].fd < 0)
        continue;
      if (fds[i].revents != 0)
        advance_connection (&connections[i], row_type, on_row, data);
      else if (galena_clock_reached (galena_monotonic_now (),
                                     connections[i].timeout_at))
        close_connection (&connections[i], GALENA_ERR_IO);
    }
  return open;
}

static void
query_batch (struct target *targets, uint32_t count,
             enum galena_operator_type row_type, target_row_callback *on_row,
             void *data)
{
  struct connection connections[BATCH];

  for (uint32_t i = 0; i < count; i++)
    open_connection (&connections[i], &targets[i], row_type);
  while (advance_connections (connections, count, row_type, on_row, data) > 0)
    continue;
}

void
targets_query (struct targets *targets, enum galena_operator_type row_type,
               target_row_callback *on_row, void *data)
{
  for (uint32_t i = 0; i < targets->count; i += BATCH)
    {
      uint32_t left = targets->count - i;
      query_batch (&targets->rows[i], left < BATCH ? left : BATCH, row_type,
                   on_row, data);
    }
}

uint32_t
targets_print_failed (const struct targets *targets)
{
  uint32_t failed = 0;

  for (uint32_t i = 0; i < targets->count; i++)
    {
      const struct target *target = &targets->rows[i];

      if (target->result == GALENA_OK)
        continue;
      failed++;
      fprintf (stderr, "galenactl: %s: no complete reply: %s\n", target->name,
               galena_result_name (target->result));
    }
  return failed;
}
