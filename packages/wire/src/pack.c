/* Helpers of the encoders.  */

#include <string.h>

#include "pack.h"

enum
{
  IP_SHIFT = 16
};

int
pack_write (void *data, const char *bytes, size_t size)
{
  struct pack_buffer *buffer = data;

  if (size > buffer->capacity - buffer->size)
    return -1;
  if (size > 0)
    memcpy (buffer->bytes + buffer->size, bytes, size);
  buffer->size += size;
  return 0;
}

uint64_t
pack_endpoint (struct galena_endpoint endpoint)
{
  return ((uint64_t)endpoint.ip << IP_SHIFT) | endpoint.port;
}

struct galena_endpoint
unpack_endpoint (uint64_t packed)
{
  return (struct galena_endpoint){ (uint32_t)(packed >> IP_SHIFT),
                                   (uint16_t)packed };
}
