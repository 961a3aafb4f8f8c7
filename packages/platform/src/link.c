/* Datagrams into messages and back.  */

#include <galenaford/link.h>
#include <galenaford/stats.h>

uint32_t
galena_link_receive (struct galena_datagrams *socket,
                     struct galena_world *world, enum galena_link link)
{
  uint32_t count = galena_datagrams_receive (socket);
  uint32_t malformed = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      struct galena_message message;
      struct galena_endpoint source;
      size_t size;
      const uint8_t *bytes = galena_datagrams_get (socket, i, &size, &source);

      enum galena_result result = galena_wire_decode (bytes, size, &message);

      if (result != GALENA_OK)
        {
          galena_world_count_malformed (world, result);
          malformed++;
          continue;
        }
      message.link = link;
      message.peer = source;
      galena_mailbox_push (galena_world_inbox (world), &message);
    }
  return malformed;
}

static void
send_one (struct galena_datagrams *socket,
          const struct galena_message *message)
{
  uint8_t *room = galena_datagrams_next (socket);
  size_t size;

  if (galena_wire_encode (message, room, GALENA_DATAGRAM_BYTES_MAX, &size)
      == GALENA_OK)
    galena_datagrams_add (socket, size, message->peer);
}

void
galena_link_send (struct galena_datagrams *const sockets[],
                  const struct galena_world *world)
{
  const struct galena_mailbox *outbox = galena_world_outbox (world);
  uint32_t count = galena_mailbox_count (outbox);

  for (uint32_t i = 0; i < count; i++)
    {
      const struct galena_message *message = galena_mailbox_get (outbox, i);

      if (sockets[message->link] != NULL)
        send_one (sockets[message->link], message);
    }
  for (uint32_t link = 0; link < GALENA_LINK_COUNT; link++)
    if (sockets[link] != NULL)
      galena_datagrams_flush (sockets[link]);
}
