/* Codec of the messages that entries and agents with the front end "packets"
   send each other: one msgpack array per datagram.  */

#ifndef GALENAFORD_PEER_WIRE_H
#define GALENAFORD_PEER_WIRE_H

#include <stddef.h>
#include <stdint.h>

#include <galenaford/peer.h>

enum
{
  /* Schema version of the messages.  */
  GALENA_PEER_SCHEMA = 5,
  /* Most bytes of one message, without its packet.  */
  GALENA_PEER_HEADER_BYTES_MAX = 256
};

/* Decodes SIZE bytes into *MESSAGE, whose packet points into BYTES and is not
   itself decoded.  Allocates nothing.
   Errors: GALENA_ERR_TRUNCATED, GALENA_ERR_TOO_LARGE, GALENA_ERR_SCHEMA,
   GALENA_ERR_TYPE, GALENA_ERR_RANGE.  */
enum galena_result galena_peer_decode (const uint8_t *bytes, size_t size,
                                       struct galena_peer_message *message);

/* Encodes MESSAGE into BYTES of size CAPACITY and stores the length in *SIZE.
   Errors: GALENA_ERR_TOO_LARGE when CAPACITY does not suffice.  */
enum galena_result
galena_peer_encode (const struct galena_peer_message *message, uint8_t *bytes,
                    size_t capacity, size_t *size);

#endif
