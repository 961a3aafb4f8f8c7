/* Non-blocking TCP sockets.  */

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <galenaford/framing.h>

enum
{
  LISTEN_BACKLOG = 16
};

static struct sockaddr_in
socket_address (struct galena_endpoint endpoint)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons (endpoint.port),
                               .sin_addr.s_addr = htonl (endpoint.ip) };
}

static int
open_socket (void)
{
  return socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

enum galena_result
galena_tcp_listen (struct galena_endpoint address, int *fd)
{
  struct sockaddr_in name = socket_address (address);
  int listener = open_socket ();
  int on = 1;

  if (listener < 0)
    return GALENA_ERR_IO;
  if (setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) < 0
      || bind (listener, (const struct sockaddr *)&name, sizeof name) < 0
      || listen (listener, LISTEN_BACKLOG) < 0)
    {
      close (listener);
      return GALENA_ERR_IO;
    }
  *fd = listener;
  return GALENA_OK;
}

enum galena_result
galena_tcp_connect (struct galena_endpoint address, int *fd)
{
  struct sockaddr_in name = socket_address (address);
  int connection = open_socket ();

  if (connection < 0)
    return GALENA_ERR_IO;
  if (connect (connection, (const struct sockaddr *)&name, sizeof name) < 0
      && errno != EINPROGRESS)
    {
      close (connection);
      return GALENA_ERR_IO;
    }
  *fd = connection;
  return GALENA_OK;
}

int
galena_tcp_accept (int listener)
{
  return accept4 (listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
}
