/* Decodes received datagrams into messages and encodes messages to send.  */

#include <galenaford/link.h>
#include <galenaford/stats.h>

void
galena_link_receive (struct galena_datagrams *socket,
                     struct galena_world *world, enum galena_side link)
{
  struct galena_mailbox *inbox = galena_world_inbox (world);
  uint32_t count = galena_datagrams_receive (socket);

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
          continue;
        }
      message.side = link;
      message.peer = source;
      galena_mailbox_push (inbox, &message);
    }
}

static bool
send_one (struct galena_datagrams *socket,
          const struct galena_message *message)
{
  uint8_t *buffer = galena_datagrams_next_buffer (socket);
  size_t size;

  if (galena_wire_encode (message, buffer, GALENA_DATAGRAM_BYTES_MAX, &size)
      != GALENA_OK)
    return false;
  galena_datagrams_add (socket, size, message->peer);
  return true;
}

static uint32_t
flush_ports (const struct galena_link_ports *ports)
{
  uint32_t unsent = 0;

  for (uint32_t i = 0; i < ports->count; i++)
    unsent += galena_datagrams_flush (ports->sockets[i]);
  return unsent;
}

void
galena_link_send (struct galena_link_ports *ports, struct galena_world *world)
{
  const struct galena_mailbox *outbox = galena_world_outbox (world);
  uint32_t count = galena_mailbox_count (outbox);
  uint32_t unsent = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      const struct galena_message *message = galena_mailbox_get (outbox, i);
      struct galena_link_ports *link_ports = &ports[message->side];
      uint32_t port;

      if (link_ports->count == 0)
        continue;
      port = message->source_port_index % link_ports->count;
      if (port > link_ports->highest_used)
        link_ports->highest_used = port;
      if (!send_one (link_ports->sockets[port], message))
        unsent++;
    }
  for (uint32_t link = 0; link < GALENA_SIDE_COUNT; link++)
    unsent += flush_ports (&ports[link]);
  galena_world_count_unsent (world, unsent);
}
