/* Requests that arrive in several packets: which of these have come.  */

#ifndef GALENAFORD_AGENT_TRANSFER_H
#define GALENAFORD_AGENT_TRANSFER_H

#include <galenaford/packet.h>

enum
{
  /* Bytes of data of a full packet.  Callers fill all packets of a request but
     the last.  */
  AGENT_FULL_PACKET_BYTES = 1200
};

/* A request whose data is still arriving.  */
struct agent_transfer
{
  bool active;
  /* Whether the last packet has come, and the sequence number after it.  */
  bool end_known;
  uint32_t end;
  /* Sequence number of the first packet that has not come, and one bit for
     each packet from there on: whether it has come.  */
  uint32_t next;
  uint32_t arrived;
};

/* Returns whether PACKET is the last one of its request.  */
bool agent_transfer_is_last (const struct galena_packet *packet);

/* Begins TRANSFER with PACKET, the first one that has come.  The data of the
   request begins at EXPECTED, or one byte after it.  */
void agent_transfer_begin (struct agent_transfer *transfer,
                           const struct galena_packet *packet,
                           uint32_t expected);

/* Adds PACKET, which may have come before.  Returns whether all packets of the
   request have come; TRANSFER is inactive then.  */
bool agent_transfer_add (struct agent_transfer *transfer,
                         const struct galena_packet *packet);

#endif
