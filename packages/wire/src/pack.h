/* What the encoders share: a fixed buffer, and endpoints as numbers.  */

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

/* A fixed buffer that a packer writes to.  */
struct pack_buffer
{
  uint8_t *bytes;
  size_t capacity;
  size_t size;
};

/* Appends SIZE BYTES to the pack_buffer at DATA; -1 when there is no room.  */
int pack_write (void *data, const char *bytes, size_t size);

/* Packs ENDPOINT into a number, and undoes it.  */
uint64_t pack_endpoint (struct galena_endpoint endpoint);
struct galena_endpoint unpack_endpoint (uint64_t packed);

#endif
