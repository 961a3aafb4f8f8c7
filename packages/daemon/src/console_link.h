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

struct console_link_options
{
  struct galena_endpoint address;
  /* Most connections, at most CONSOLE_CONNECTIONS_MAX.  */
  uint32_t connections;
};

struct console_link;

/* Listens on the address in *OUT; the caller owns it.
   Errors: GALENA_ERR_IO, GALENA_ERR_MEMORY.  */
enum galena_result
console_link_create (const struct console_link_options *options,
                     struct console_link **out);

/* Closes all connections; accepts NULL.  */
void console_link_destroy (struct console_link *link);

/* Stores what to wait for in FDS, which has room for
   CONSOLE_CONNECTIONS_MAX + 1; returns how many.  */
uint32_t console_link_prepare (const struct console_link *link,
                               struct pollfd *fds);

/* Moves every connection as far as it goes without waiting.  FDS are those
   of the last prepare, after a poll.  */
void console_link_step (struct console_link *link, const struct pollfd *fds,
                        const struct view_source *source);

#endif
