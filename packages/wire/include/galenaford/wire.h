/* Codec of the messages between callers, entries and agents with the front end
   "messages": one msgpack array per datagram.  */

#ifndef GALENAFORD_WIRE_H
#define GALENAFORD_WIRE_H

#include <stddef.h>
#include <stdint.h>

#include <galenaford/message.h>

enum
{
  /* Schema version of the datagrams.  */
  GALENA_WIRE_SCHEMA = 1,
  /* Most bytes of one datagram.  */
  GALENA_DATAGRAM_BYTES_MAX = 1280
};

/* Decodes SIZE bytes into *MESSAGE, whose body points into BYTES.  The caller
   sets the link and the peer.  Allocates nothing.
   Errors: GALENA_ERR_TRUNCATED, GALENA_ERR_TOO_LARGE, GALENA_ERR_SCHEMA,
   GALENA_ERR_TYPE, GALENA_ERR_RANGE.  */
enum galena_result galena_wire_decode (const uint8_t *bytes, size_t size,
                                       struct galena_message *message);

/* Encodes MESSAGE into BYTES of size CAPACITY and stores the length in *SIZE.
   Errors: GALENA_ERR_TOO_LARGE when CAPACITY does not suffice.  */
enum galena_result galena_wire_encode (const struct galena_message *message,
                                       uint8_t *bytes, size_t capacity,
                                       size_t *size);

#endif
