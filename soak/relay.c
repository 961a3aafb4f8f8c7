/* A TCP relay between each entry and the store.  Faults delay or reset its
   connections, or drop the data of one or of both directions.  */

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
  close (connection->entry_fd);
  close (connection->store_fd);
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
  /* Closing with a linger time of 0 sends a reset.  */
  struct linger linger = { 1, 0 };

  for (uint32_t i = 0; i < RELAY_CONNECTIONS_MAX; i++)
    {
      struct relay_connection *connection = &soak->connections[i];

      if (!connection->used || connection->entry != entry)
        continue;
      setsockopt (connection->entry_fd, SOL_SOCKET, SO_LINGER, &linger,
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
        /* Delayed data stay in the socket until the fault ends.  */
        short events = soak->relays[connection->entry].fault == RELAY_DELAY
                           ? 0
                           : POLLIN;

        fds[count++] = (struct pollfd){ connection->entry_fd, events, 0 };
        fds[count++] = (struct pollfd){ connection->store_fd, events, 0 };
      }
  return count;
}

static void
accept_one (struct soak *soak, uint32_t entry)
{
  /* The store listens at the address of the first entry.  */
  struct sockaddr_in address = net_sockaddr (net_entry (soak, 0, PORT_STORE));
  struct relay_connection *connection = NULL;
  int entry_fd = accept4 (soak->relays[entry].fd, NULL, NULL, SOCK_CLOEXEC);
  int store_fd;

  for (uint32_t i = 0; connection == NULL && i < RELAY_CONNECTIONS_MAX; i++)
    if (!soak->connections[i].used)
      connection = &soak->connections[i];
  if (entry_fd < 0)
    return;
  store_fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connection == NULL
      || connect (store_fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      close (entry_fd);
      close (store_fd);
      return;
    }
  *connection = (struct relay_connection){ true, entry, entry_fd, store_fd };
}

/* Forwards the received data of one side to the other; returns false when the
   connection is closed.  */
static bool
move (int from, int to, enum relay_fault fault, bool from_store)
{
  char bytes[BUFFER_BYTES];
  ssize_t size = recv (from, bytes, sizeof bytes, MSG_DONTWAIT);

  if (size <= 0)
    return size < 0 && (errno == EAGAIN || errno == EINTR);
  if (fault == RELAY_SILENT || (fault == RELAY_ONE_WAY && from_store))
    return true;
  return send (to, bytes, (size_t)size, MSG_NOSIGNAL) == size;
}

static struct relay_connection *
connection_of (struct soak *soak, int fd)
{
  for (uint32_t i = 0; i < RELAY_CONNECTIONS_MAX; i++)
    if (soak->connections[i].used
        && (soak->connections[i].entry_fd == fd
            || soak->connections[i].store_fd == fd))
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
      bool from_store;

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
      from_store = connection->store_fd == fds[i].fd;
      if (!move (fds[i].fd,
                 from_store ? connection->entry_fd : connection->store_fd,
                 fault, from_store))
        close_connection (connection);
    }
}
