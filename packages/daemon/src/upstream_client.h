/* HTTP client of an agent for its upstream: each run message of the world
   becomes one HTTP request, whose answer is returned as run messages.  */

#ifndef GALENAFORD_UPSTREAM_CLIENT_H
#define GALENAFORD_UPSTREAM_CLIENT_H

#include <poll.h>

#include <galenaford/world.h>

struct upstream_client_options
{
  /* Start of each URL, as in "http://192.0.2.1:8080"; copied.  */
  const char *url;
  /* Most requests in progress.  */
  uint32_t transfers;
  /* World whose outbox holds the requests and whose inbox receives the
     answers; borrowed.  */
  struct galena_world *world;
};

struct upstream_client;

/* Creates a client in *OUT; the caller owns it.
   Errors: GALENA_ERR_MEMORY.  */
enum galena_result
upstream_client_create (const struct upstream_client_options *options,
                        struct upstream_client **out);

/* Aborts all transfers and destroys CLIENT; accepts NULL.  */
void upstream_client_destroy (struct upstream_client *client);

/* Waits up to TIMEOUT_MS until a transfer can make progress or one of the
   COUNT descriptors of FDS, at most 4, is readable.  */
void upstream_client_wait (struct upstream_client *client, const int *fds,
                           uint32_t count, uint32_t timeout_ms);

/* Lets transfers make progress without waiting and pushes what was received
   into the world's inbox.  */
void upstream_client_receive (struct upstream_client *client);

/* Starts and cancels requests as the messages in the world's outbox say.  */
void upstream_client_send (struct upstream_client *client);

#endif
