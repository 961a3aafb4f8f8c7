/* Runs a caller, an entry and an agent in one process and in virtual time.
   Messages are copied between the worlds as plain structs, without sockets or
   encoding.  Prints the answer to one request.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <galenaford/caller.h>

enum
{
  TICK_MS = 5,
  END_MS = 5000
};

enum node
{
  CALLER,
  ENTRY,
  AGENT,
  NODE_COUNT
};

/* Address of each node.  The entry uses the same one for its links to the
   caller and to the agent.  */
static const struct galena_endpoint ADDRESSES[NODE_COUNT]
    = { { 0x7f000001, 1 }, { 0x7f000001, 2 }, { 0x7f000001, 3 } };
static const struct galena_endpoint SERVICE = { 0x7f000009, 700 };

static enum galena_result
create_config (struct galena_config **config)
{
  struct galena_service service
      = { .number = 1, .address = SERVICE, .upstream_count = 1 };
  struct galena_upstream upstream = { .number = 1,
                                      .agent = ADDRESSES[AGENT],
                                      .slots = 1,
                                      .connections = 10,
                                      .weight = 1 };
  struct galena_config_options options = { &service, 1, &upstream, 1 };

  service.kind_count = 1;
  service.kinds[0].deadline_ms = END_MS;
  return galena_config_create (&options, config);
}

static enum galena_result
create_worlds (struct galena_world *worlds[NODE_COUNT])
{
  static const enum galena_role ROLES[NODE_COUNT]
      = { GALENA_ROLE_CALLER, GALENA_ROLE_ENTRY, GALENA_ROLE_AGENT };
  enum galena_result result = GALENA_OK;

  for (int i = 0; i < NODE_COUNT && result == GALENA_OK; i++)
    {
      struct galena_world_options options = { .role = ROLES[i],
                                              .seed = 1,
                                              .upstream = 1,
                                              .incarnation = 1,
                                              .fabric = ADDRESSES[ENTRY],
                                              .flows = 16,
                                              .requests = 16,
                                              .messages = 64 };
      result = galena_world_create (&options, &worlds[i]);
    }
  return result;
}

/* Acts as the upstream of the agent: answers at once the request in RUN, the
   message with which the agent runs it at its upstream.  */
static void
answer (struct galena_world *agent, const struct galena_message *run)
{
  static const char TEXT[] = "answer of the upstream";
  struct galena_message reply = *run;

  reply.type = GALENA_MESSAGE_RUN_DATA;
  reply.body = (const uint8_t *)TEXT;
  reply.body_size = sizeof TEXT - 1;
  galena_mailbox_push (galena_world_inbox (agent), &reply);
  reply.type = GALENA_MESSAGE_RUN_END;
  reply.result = GALENA_OK;
  reply.body_size = 0;
  galena_mailbox_push (galena_world_inbox (agent), &reply);
}

/* Copies MESSAGE, sent by node FROM, to the inbox of the world that it is
   addressed to.  */
static void
deliver (struct galena_world *worlds[NODE_COUNT], enum node from,
         const struct galena_message *message)
{
  struct galena_message arrived = *message;

  arrived.peer = ADDRESSES[from];
  for (int to = 0; to < NODE_COUNT; to++)
    {
      if (!galena_endpoint_equal (message->peer, ADDRESSES[to]))
        continue;
      arrived.side = from == CALLER || to == CALLER ? GALENA_SIDE_CALLER
                                                    : GALENA_SIDE_PEER;
      galena_mailbox_push (galena_world_inbox (worlds[to]), &arrived);
    }
}

/* Prints a message to the application of the caller; returns whether the
   request has ended.  */
static bool
print (const struct galena_message *message)
{
  if (message->type == GALENA_MESSAGE_RUN_DATA)
    printf ("%.*s\n", (int)message->body_size, (const char *)message->body);
  if (message->type != GALENA_MESSAGE_RUN_END)
    return false;
  printf ("result=%s\n", galena_result_name (message->result));
  return true;
}

/* Delivers the messages that node FROM sends; returns whether the request has
   ended.  */
static bool
move_messages (struct galena_world *worlds[NODE_COUNT], enum node from)
{
  const struct galena_mailbox *outbox = galena_world_outbox (worlds[from]);
  bool ended = false;

  for (uint32_t i = 0; i < galena_mailbox_count (outbox); i++)
    {
      const struct galena_message *message = galena_mailbox_get (outbox, i);

      if (message->side != GALENA_SIDE_APPLICATION)
        deliver (worlds, from, message);
      else if (from == CALLER)
        ended |= print (message);
      else if (message->type == GALENA_MESSAGE_RUN)
        answer (worlds[AGENT], message);
    }
  return ended;
}

static enum galena_result
send_request (struct galena_world *caller)
{
  static const char TEXT[] = "question";
  struct galena_caller_flow_options flow
      = { .service = SERVICE, .deadline_ms = END_MS };
  struct galena_caller_request_options request
      = { .deadline_ms = END_MS,
          .body = (const uint8_t *)TEXT,
          .body_size = sizeof TEXT - 1 };
  struct galena_request_handle handle;
  enum galena_result result
      = galena_caller_open (caller, &flow, &request.flow);

  if (result != GALENA_OK)
    return result;
  return galena_caller_request (caller, &request, &handle);
}

int
main (void)
{
  struct galena_world *worlds[NODE_COUNT] = { NULL };
  struct galena_config *config = NULL;
  bool ended = false;

  if (create_config (&config) != GALENA_OK
      || create_worlds (worlds) != GALENA_OK
      || send_request (worlds[CALLER]) != GALENA_OK)
    goto done;
  for (struct galena_clock now = { TICK_MS }; now.ms < END_MS && !ended;
       now = galena_clock_add_ms (now, TICK_MS))
    for (int node = 0; node < NODE_COUNT; node++)
      {
        galena_world_tick (worlds[node], now, config);
        ended |= move_messages (worlds, (enum node)node);
      }

done:
  for (int node = 0; node < NODE_COUNT; node++)
    galena_world_destroy (worlds[node]);
  galena_config_destroy (config);
  return ended ? EXIT_SUCCESS : EXIT_FAILURE;
}
