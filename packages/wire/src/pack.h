/* Helpers of the codecs: a fixed output buffer; endpoints as integers.  */

#ifndef GALENAFORD_PACK_H
#define GALENAFORD_PACK_H

#include <stddef.h>
#include <stdint.h>

#include <galenaford/message.h>

enum
{
  /* Bits of a packed endpoint.  */
  PACK_ENDPOINT_BITS = 48
};

/* The fixed output buffer of a msgpack packer.  */
struct pack_buffer
{
  uint8_t *bytes;
  size_t capacity;
  size_t size;
};

/* Appends SIZE bytes to the pack_buffer at DATA; -1 when they do not fit.  */
int pack_write (void *data, const char *bytes, size_t size);

/* Converts between an endpoint and an integer of PACK_ENDPOINT_BITS.  */
uint64_t pack_endpoint (struct galena_endpoint endpoint);
struct galena_endpoint unpack_endpoint (uint64_t packed);

#endif
