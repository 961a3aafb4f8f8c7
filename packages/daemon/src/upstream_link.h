/* The link from an agent to its upstream: each run message becomes one HTTP
   request, and its answer comes back as run messages.  */

#ifndef GALENAFORD_UPSTREAM_LINK_H
#define GALENAFORD_UPSTREAM_LINK_H

#include <poll.h>

#include <galenaford/world.h>

struct upstream_client_options
{
  /* As in "http://192.0.2.1:8080"; borrowed.  */
  const char *url;
  /* Most requests in progress.  */
  uint32_t transfers;
  /* World whose inbox takes the answers; borrowed.  */
  struct galena_world *world;
};

struct upstream_client;

/* Creates a link in *OUT; the caller owns it.
   Errors: GALENA_ERR_MEMORY.  */
enum galena_result
upstream_client_create (const struct upstream_client_options *options,
                        struct upstream_client **out);

/* Ends all transfers; accepts NULL.  */
void upstream_client_destroy (struct upstream_client *client);

/* Waits up to TIMEOUT_MS for a transfer to move or an FD to be readable.  */
void upstream_client_wait (struct upstream_client *client, const int *fds,
                           uint32_t count, uint32_t timeout_ms);

/* Moves transfers and pushes what came into the world's inbox.  */
void upstream_client_receive (struct upstream_client *client);

/* Starts and cancels what the world's outbox asks for.  */
void upstream_client_send (struct upstream_client *client);

#endif
