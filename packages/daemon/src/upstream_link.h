/* The link from an agent to its upstream: each run message becomes one HTTP
   request, and its answer comes back as run messages.  */

#ifndef GALENAFORD_UPSTREAM_LINK_H
#define GALENAFORD_UPSTREAM_LINK_H

#include <poll.h>

#include <galenaford/world.h>

struct upstream_link_options
{
  /* As in "http://192.0.2.1:8080"; borrowed.  */
  const char *url;
  /* Most requests in progress.  */
  uint32_t transfers;
  /* World whose inbox takes the answers; borrowed.  */
  struct galena_world *world;
};

struct upstream_link;

/* Creates a link in *OUT; the caller owns it.
   Errors: GALENA_ERR_MEMORY.  */
enum galena_result
upstream_link_create (const struct upstream_link_options *options,
                      struct upstream_link **out);

/* Ends all transfers; accepts NULL.  */
void upstream_link_destroy (struct upstream_link *link);

/* Waits up to TIMEOUT_MS for a transfer to move or an FD to be readable.  */
void upstream_link_wait (struct upstream_link *link, const int *fds,
                         uint32_t count, uint32_t timeout_ms);

/* Moves transfers and pushes what came into the world's inbox.  */
void upstream_link_receive (struct upstream_link *link);

/* Starts and cancels what the world's outbox asks for.  */
void upstream_link_send (struct upstream_link *link);

#endif
