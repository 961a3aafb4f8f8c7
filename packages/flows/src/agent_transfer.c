/* Requests that arrive in several packets: which of these have come.

   Packets are lost and retransmitted, so the last packet of a request may come
   before others.  The upstream can begin its work only when none is missing,
   which a bitmap of the packets after the first missing one shows.  */

#include "agent_transfer.h"

enum
{
  /* Packets that the bitmap covers: twice what a caller may have in flight. */
  WINDOW_PACKETS = 32
};

bool
agent_transfer_is_last (const struct galena_packet *packet)
{
  return packet->data_size < AGENT_FULL_PACKET_BYTES
         || (packet->flags & GALENA_PACKET_ENDS) != 0;
}

void
agent_transfer_begin (struct agent_transfer *transfer,
                      const struct galena_packet *packet, uint32_t expected)
{
  uint32_t missing = (packet->sequence - expected) / AGENT_FULL_PACKET_BYTES;

  /* A distance above the window means that this agent has not seen the
     beginning of the request.  */
  if (missing >= WINDOW_PACKETS)
    missing = 0;
  *transfer = (struct agent_transfer){
    .active = true,
    .next = packet->sequence - missing * AGENT_FULL_PACKET_BYTES,
  };
}

bool
agent_transfer_add (struct agent_transfer *transfer,
                    const struct galena_packet *packet)
{
  int32_t offset = (int32_t)(packet->sequence - transfer->next);
  uint32_t index = (uint32_t)offset / AGENT_FULL_PACKET_BYTES;

  if (offset < 0)
    return false;
  if (index >= WINDOW_PACKETS)
    {
      /* What is missing before it came by another way.  */
      transfer->next = packet->sequence;
      transfer->arrived = 0;
      index = 0;
    }
  if (agent_transfer_is_last (packet))
    {
      transfer->end_known = true;
      transfer->end = packet->sequence + packet->data_size;
    }
  transfer->arrived |= UINT32_C (1) << index;
  for (; (transfer->arrived & 1) != 0; transfer->arrived >>= 1)
    transfer->next += AGENT_FULL_PACKET_BYTES;
  if (transfer->end_known && (int32_t)(transfer->next - transfer->end) >= 0)
    transfer->active = false;
  return !transfer->active;
}
