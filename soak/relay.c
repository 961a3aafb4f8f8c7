/* A relay between each entry and the store: its connections are delayed,
   reset, cut one way, or go silent.  */

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include "soak.h"

enum
{
  BACKLOG = 16,
  BUFFER_BYTES = 16384
};

bool
relay_create (struct soak *soak)
{
  for (uint32_t i = 0; i < soak->options.entries; i++)
    {
      struct sockaddr_in address
          = net_sockaddr (net_entry (soak, i, PORT_RELAY));
      int on = 1;
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

      soak->relays[i].fd = fd;
      setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
      if (fd < 0 || bind (fd, (struct sockaddr *)&address, sizeof address) != 0
          || listen (fd, BACKLOG) != 0)
        return false;
    }
  return true;
}

static void
close_connection (struct relay_connection *connection)
{
  close (connection->near);
  close (connection->far);
  connection->used = false;
}

void
relay_destroy (struct soak *soak)
{
  for (uint32_t i = 0; i < RELAY_CONNECTIONS_MAX; i++)
    if (soak->connections[i].used)
      close_connection (&soak->connections[i]);
  for (uint32_t i = 0; i < soak->options.entries; i++)
    if (soak->relays[i].fd > 0)
      close (soak->relays[i].fd);
}

void
relay_reset (struct soak *soak, uint32_t entry)
{
  /* Closing with no time to linger sends a reset.  */
  struct linger linger = { 1, 0 };

  for (uint32_t i = 0; i < RELAY_CONNECTIONS_MAX; i++)
    {
      struct relay_connection *connection = &soak->connections[i];

      if (!connection->used || connection->entry != entry)
        continue;
      setsockopt (connection->near, SOL_SOCKET, SO_LINGER, &linger,
                  sizeof linger);
      close_connection (connection);
    }
}

uint32_t
relay_poll (const struct soak *soak, struct pollfd *fds)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < soak->options.entries; i++)
    fds[count++] = (struct pollfd){ soak->relays[i].fd, POLLIN, 0 };
  for (uint32_t i = 0; i < RELAY_CONNECTIONS_MAX; i++)
    if (soak->connections[i].used)
      {
        const struct relay_connection *connection = &soak->connections[i];
        /* Bytes that are delayed stay in the socket until the fault ends.  */
        short events = soak->relays[connection->entry].fault == RELAY_DELAY
                           ? 0
                           : POLLIN;

        fds[count++] = (struct pollfd){ connection->near, events, 0 };
        fds[count++] = (struct pollfd){ connection->far, events, 0 };
      }
  return count;
}

static void
accept_one (struct soak *soak, uint32_t entry)
{
  /* The store listens at the address of the first entry.  */
  struct sockaddr_in address = net_sockaddr (net_entry (soak, 0, PORT_STORE));
  struct relay_connection *connection = NULL;
  int near = accept4 (soak->relays[entry].fd, NULL, NULL, SOCK_CLOEXEC);
  int far;

  for (uint32_t i = 0; connection == NULL && i < RELAY_CONNECTIONS_MAX; i++)
    if (!soak->connections[i].used)
      connection = &soak->connections[i];
  if (near < 0)
    return;
  far = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connection == NULL
      || connect (far, (struct sockaddr *)&address, sizeof address) != 0)
    {
      close (near);
      close (far);
      return;
    }
  *connection = (struct relay_connection){ true, entry, near, far };
}

/* Moves what has come on one side to the other; false when that ended.  */
static bool
move (int from, int to, enum relay_fault fault, bool answers)
{
  char bytes[BUFFER_BYTES];
  ssize_t size = recv (from, bytes, sizeof bytes, MSG_DONTWAIT);

  if (size <= 0)
    return size < 0 && (errno == EAGAIN || errno == EINTR);
  if (fault == RELAY_SILENT || (fault == RELAY_ONE_WAY && answers))
    return true;
  return send (to, bytes, (size_t)size, MSG_NOSIGNAL) == size;
}

static struct relay_connection *
connection_of (struct soak *soak, int fd)
{
  for (uint32_t i = 0; i < RELAY_CONNECTIONS_MAX; i++)
    if (soak->connections[i].used
        && (soak->connections[i].near == fd || soak->connections[i].far == fd))
      return &soak->connections[i];
  return NULL;
}

void
relay_move (struct soak *soak, const struct pollfd *fds, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      struct relay_connection *connection;
      enum relay_fault fault;
      bool answers;

      if (fds[i].revents == 0)
        continue;
      if (i < soak->options.entries)
        {
          accept_one (soak, i);
          continue;
        }
      connection = connection_of (soak, fds[i].fd);
      if (connection == NULL)
        continue;
      fault = soak->relays[connection->entry].fault;
      answers = connection->far == fds[i].fd;
      if (!move (fds[i].fd, answers ? connection->near : connection->far,
                 fault, answers))
        close_connection (connection);
    }
}
