/* TCP server for operators: a bounded table of connections, all of which one
   function serves without waiting.

   A connection has one query in progress.  Rows of the reply are produced as
   the connection's send buffer empties, so a slow reader doesn't make it
   grow.  */

#ifndef GALENAFORD_CONSOLE_SERVER_H
#define GALENAFORD_CONSOLE_SERVER_H

#include <poll.h>

#include "console_view.h"

enum
{
  CONSOLE_CONNECTIONS_MAX = 64,
  /* Idle timeout: a connection without progress for this long is closed.  */
  CONSOLE_IDLE_MS = 10000
};

struct console_server_options
{
  struct galena_endpoint address;
  /* Most connections, at most CONSOLE_CONNECTIONS_MAX.  */
  uint32_t connections;
};

struct console_server;

/* Creates a server that listens on the address in *OUT; the caller owns it.
   Errors: GALENA_ERR_IO, GALENA_ERR_MEMORY.  */
enum galena_result
console_server_create (const struct console_server_options *options,
                       struct console_server **out);

/* Closes all connections and destroys SERVER; accepts NULL.  */
void console_server_destroy (struct console_server *server);

/* Fills in FDS, which has room for CONSOLE_CONNECTIONS_MAX + 1, for poll;
   returns the number of descriptors.  */
uint32_t console_server_prepare (const struct console_server *server,
                                 struct pollfd *fds);

/* Receives queries, sends replies and accepts a new connection, all without
   waiting.  FDS are those of the last prepare, after poll.  */
void console_server_step (struct console_server *server,
                          const struct pollfd *fds,
                          const struct view_source *source);

#endif
