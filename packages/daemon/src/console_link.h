/* Connections of operators: a bounded table, and one step over it.

   A connection sends one query at a time and takes its reply at its own pace;
   rows are made as its buffer empties.  */

#ifndef GALENAFORD_CONSOLE_LINK_H
#define GALENAFORD_CONSOLE_LINK_H

#include <poll.h>

#include "console_view.h"

enum
{
  CONSOLE_CONNECTIONS_MAX = 64,
  /* A connection without progress is closed after this long.  */
  CONSOLE_IDLE_MS = 10000
};

struct console_server_options
{
  struct galena_endpoint address;
  /* Most connections, at most CONSOLE_CONNECTIONS_MAX.  */
  uint32_t connections;
};

struct console_server;

/* Listens on the address in *OUT; the caller owns it.
   Errors: GALENA_ERR_IO, GALENA_ERR_MEMORY.  */
enum galena_result
console_server_create (const struct console_server_options *options,
                       struct console_server **out);

/* Closes all connections; accepts NULL.  */
void console_server_destroy (struct console_server *server);

/* Stores what to wait for in FDS, which has room for
   CONSOLE_CONNECTIONS_MAX + 1; returns how many.  */
uint32_t console_server_prepare (const struct console_server *server,
                                 struct pollfd *fds);

/* Moves every connection as far as it goes without waiting.  FDS are those
   of the last prepare, after a poll.  */
void console_server_step (struct console_server *server,
                          const struct pollfd *fds,
                          const struct view_source *source);

#endif
