/* Opens a flow over UDP, sends one request, and prints the answer.

   Usage: example-open_flow ADDRESS:PORT FABRIC:PORT SERVICE:PORT KIND TEXT

   With the demo in example/coteau running:
   example-open_flow 127.10.0.9:7000 127.10.0.2:7000 127.10.0.10:700 1 \
     hello  */

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include <galenaford/caller.h>
#include <galenaford/link.h>
#include <galenaford/monotonic.h>
#include <galenaford/record.h>

enum
{
  DEADLINE_MS = 5000,
  MESSAGES = 64
};

/* Waits for packets, or until a system is due, then runs one tick and sends
   the messages in the outbox.  */
static void
run_tick (struct galena_world *world, struct galena_datagrams *socket)
{
  struct galena_link_ports ports[GALENA_SIDE_COUNT]
      = { [GALENA_SIDE_CALLER] = { .sockets = { socket }, .count = 1 } };
  struct pollfd wait = { galena_datagrams_fd (socket), POLLIN, 0 };
  struct galena_clock now = galena_monotonic_now ();

  poll (&wait, 1,
        (int)galena_clock_remaining_ms (now, galena_world_due (world)));
  galena_link_receive (socket, world, GALENA_SIDE_CALLER);
  galena_world_tick (world, galena_monotonic_now (), NULL);
  galena_link_send (ports, world);
}

/* Prints the data received for the request; returns whether it has ended.  */
static bool
print_answer (const struct galena_world *world)
{
  const struct galena_mailbox *outbox = galena_world_outbox (world);

  for (uint32_t i = 0; i < galena_mailbox_count (outbox); i++)
    {
      const struct galena_message *message = galena_mailbox_get (outbox, i);

      if (message->type == GALENA_MESSAGE_RUN_DATA)
        fwrite (message->body, 1, message->body_size, stdout);
      if (message->type != GALENA_MESSAGE_RUN_END)
        continue;
      printf ("\nresult=%s\n", galena_result_name (message->result));
      return true;
    }
  return false;
}

static enum galena_result
send_request (struct galena_world *world, struct galena_endpoint service,
              uint16_t kind, const char *text)
{
  struct galena_caller_flow_options flow
      = { .service = service, .kind = kind, .deadline_ms = DEADLINE_MS };
  struct galena_caller_request_options request
      = { .kind = kind,
          .deadline_ms = DEADLINE_MS,
          .body = (const uint8_t *)text,
          .body_size = (uint32_t)strlen (text) };
  struct galena_request_handle handle;
  enum galena_result result = galena_caller_open (world, &flow, &request.flow);

  if (result != GALENA_OK)
    return result;
  return galena_caller_request (world, &request, &handle);
}

int
main (int argc, char **argv)
{
  struct galena_world_options options = {
    .role = GALENA_ROLE_CALLER, .flows = 1, .requests = 1, .messages = MESSAGES
  };
  struct galena_datagrams_options socket_options = { .reuse_port = false };
  struct galena_endpoint service;
  struct galena_datagrams *socket = NULL;
  struct galena_world *world = NULL;
  int status = EXIT_FAILURE;

  if (argc != 6
      || galena_endpoint_parse (argv[1], &socket_options.address) != GALENA_OK
      || galena_endpoint_parse (argv[2], &options.fabric) != GALENA_OK
      || galena_endpoint_parse (argv[3], &service) != GALENA_OK)
    {
      fputs ("usage: ADDRESS:PORT FABRIC:PORT SERVICE:PORT KIND TEXT\n",
             stderr);
      return 2;
    }
  if (getrandom (&options.seed, sizeof options.seed, 0) < 0
      || galena_datagrams_create (&socket_options, &socket) != GALENA_OK
      || galena_world_create (&options, &world) != GALENA_OK)
    goto done;
  /* Deadlines count from the last tick, so run one first.  */
  galena_world_tick (world, galena_monotonic_now (), NULL);
  if (send_request (world, service, (uint16_t)strtoul (argv[4], NULL, 10),
                    argv[5])
      != GALENA_OK)
    goto done;
  do
    run_tick (world, socket);
  while (!print_answer (world));
  status = EXIT_SUCCESS;

done:
  galena_world_destroy (world);
  galena_datagrams_destroy (socket);
  return status;
}
