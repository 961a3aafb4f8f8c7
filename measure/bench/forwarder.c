/* The two forwarders that the path benchmark compares.  */

#include <poll.h>
#include <stdlib.h>
#include <string.h>

#include <galenaford/datagrams.h>
#include <galenaford/monotonic.h>

#include "entry_thread.h"
#include "forwarder.h"

static enum galena_result
create_entry (const struct forwarder_options *options, void **out)
{
  return entry_thread_create (options->process, options->index,
                              (struct entry_thread **)out);
}

static void
step_entry (void *forwarder)
{
  entry_thread_step (forwarder);
}

static void
destroy_entry (void *forwarder)
{
  entry_thread_destroy (forwarder);
}

struct relay
{
  struct forwarder_options options;
  struct galena_datagrams *callers;
  struct galena_datagrams *agents;
  /* Source of the last packet from a caller; packets of agents go there.  */
  struct galena_endpoint caller;
};

static void
destroy_relay (void *forwarder)
{
  struct relay *relay = forwarder;

  galena_datagrams_destroy (relay->callers);
  galena_datagrams_destroy (relay->agents);
  free (relay);
}

static enum galena_result
create_relay (const struct forwarder_options *options, void **out)
{
  struct galena_endpoint address = options->process->settings.entry_address;
  struct galena_datagrams_options callers = { address, true };
  struct galena_datagrams_options agents = { { address.ip, 0 }, false };
  struct relay *relay = calloc (1, sizeof *relay);
  enum galena_result result = GALENA_ERR_MEMORY;

  if (relay == NULL)
    return result;
  relay->options = *options;
  result = galena_datagrams_create (&callers, &relay->callers);
  if (result == GALENA_OK)
    result = galena_datagrams_create (&agents, &relay->agents);
  if (result != GALENA_OK)
    {
      destroy_relay (relay);
      return result;
    }
  *out = relay;
  return GALENA_OK;
}

/* Forwards the datagrams received on FROM to DESTINATION through TO.  Returns
   the source of the last one; all zero when there was none.  */
static struct galena_endpoint
forward_batch (struct galena_datagrams *from, struct galena_datagrams *to,
               struct galena_endpoint destination)
{
  struct galena_endpoint source = { 0 };
  uint32_t count = galena_datagrams_receive (from);

  for (uint32_t i = 0; i < count; i++)
    {
      size_t size;
      const uint8_t *bytes = galena_datagrams_get (from, i, &size, &source);

      memcpy (galena_datagrams_next_buffer (to), bytes, size);
      galena_datagrams_add (to, size, destination);
    }
  galena_datagrams_flush (to);
  return source;
}

static void
step_relay (void *forwarder)
{
  struct relay *relay = forwarder;
  struct galena_endpoint source;
  struct pollfd fds[] = {
    { galena_datagrams_fd (relay->callers), POLLIN, 0 },
    { galena_datagrams_fd (relay->agents), POLLIN, 0 },
    { relay->options.process->stop_fd, POLLIN, 0 },
  };

  poll (fds, sizeof fds / sizeof fds[0], 1000);
  source = forward_batch (relay->callers, relay->agents, relay->options.agent);
  if (source.ip != 0)
    relay->caller = source;
  forward_batch (relay->agents, relay->callers, relay->caller);
}

const struct forwarder_operations forwarder_relay = {
  .name = "relay",
  .create = create_relay,
  .step = step_relay,
  .destroy = destroy_relay,
};

const struct forwarder_operations forwarder_entry = {
  .name = "entry",
  .create = create_entry,
  .step = step_entry,
  .destroy = destroy_entry,
};
