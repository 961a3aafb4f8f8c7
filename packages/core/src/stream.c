/* A ring buffer of parts that grows on demand up to GALENA_STREAM_PARTS_MAX
   and is freed when it becomes empty.  */

#include <stdlib.h>
#include <string.h>

#include <galenaford/stream.h>

enum
{
  /* Number of slots of the first allocation.  */
  FIRST_CAPACITY = 2
};

struct galena_part_slot
{
  /* Size of the part in bytes plus one; 0 marks an empty slot.  */
  uint32_t size_plus_one;
  uint8_t bytes[GALENA_PART_BYTES];
};

static struct galena_part_slot *
slot_of (const struct galena_stream *stream, uint32_t part)
{
  return &stream->slots[part & (stream->capacity - 1)];
}

static enum galena_result
grow (struct galena_stream *stream, uint32_t parts)
{
  struct galena_stream larger = *stream;

  larger.capacity = stream->capacity == 0 ? FIRST_CAPACITY : stream->capacity;
  while (larger.capacity < parts)
    larger.capacity *= 2;
  if (larger.capacity == stream->capacity)
    return GALENA_OK;
  larger.slots = calloc (larger.capacity, sizeof (struct galena_part_slot));
  if (larger.slots == NULL)
    return GALENA_ERR_MEMORY;
  for (uint32_t part = stream->base; part != stream->end; part++)
    *slot_of (&larger, part) = *slot_of (stream, part);
  free (stream->slots);
  *stream = larger;
  return GALENA_OK;
}

void
galena_stream_release (struct galena_stream *stream)
{
  free (stream->slots);
  stream->slots = NULL;
  stream->capacity = 0;
  stream->base = stream->end;
}

size_t
galena_stream_room (const struct galena_stream *stream)
{
  uint32_t kept = stream->end - stream->base;

  return (size_t)(GALENA_STREAM_PARTS_MAX - kept) * GALENA_PART_BYTES;
}

enum galena_result
galena_stream_append (struct galena_stream *stream, const uint8_t *bytes,
                      size_t size)
{
  uint32_t kept = stream->end - stream->base;
  uint32_t parts
      = (uint32_t)((size + GALENA_PART_BYTES - 1) / GALENA_PART_BYTES);
  enum galena_result result;

  if (size > galena_stream_room (stream))
    return GALENA_ERR_FULL;
  result = grow (stream, kept + parts);
  if (result != GALENA_OK)
    return result;
  while (size > 0)
    {
      struct galena_part_slot *slot = slot_of (stream, stream->end);
      size_t take = size < GALENA_PART_BYTES ? size : GALENA_PART_BYTES;

      memcpy (slot->bytes, bytes, take);
      slot->size_plus_one = (uint32_t)take + 1;
      stream->end++;
      bytes += take;
      size -= take;
    }
  return GALENA_OK;
}

void
galena_stream_finish (struct galena_stream *stream)
{
  stream->finished = true;
  stream->total = stream->end;
}

static void
drop_first (struct galena_stream *stream)
{
  slot_of (stream, stream->base)->size_plus_one = 0;
  stream->base++;
}

void
galena_stream_acknowledge (struct galena_stream *stream, uint32_t next)
{
  if (next - stream->base > stream->end - stream->base)
    return;
  while (stream->base != next)
    drop_first (stream);
  if (stream->unsent - stream->base > stream->end - stream->base)
    stream->unsent = stream->base;
  if (stream->base == stream->end)
    galena_stream_release (stream);
}

enum galena_result
galena_stream_store (struct galena_stream *stream, uint32_t part,
                     const uint8_t *bytes, uint32_t size)
{
  uint32_t ahead = part - stream->base;
  struct galena_part_slot *slot;
  enum galena_result result;

  if (size > GALENA_PART_BYTES)
    return GALENA_ERR_TOO_LARGE;
  if (ahead > UINT32_MAX / 2)
    return GALENA_ERR_EXISTS;
  if (ahead >= GALENA_STREAM_PARTS_MAX)
    return GALENA_ERR_FULL;
  result = grow (stream, ahead + 1);
  if (result != GALENA_OK)
    return result;
  slot = slot_of (stream, part);
  if (slot->size_plus_one != 0)
    return GALENA_ERR_EXISTS;
  if (size > 0)
    memcpy (slot->bytes, bytes, size);
  slot->size_plus_one = size + 1;
  if (ahead >= stream->end - stream->base)
    stream->end = part + 1;
  return GALENA_OK;
}

const uint8_t *
galena_stream_part (const struct galena_stream *stream, uint32_t part,
                    uint32_t *size)
{
  struct galena_part_slot *slot;

  if (stream->capacity == 0)
    return NULL;
  if (part - stream->base >= stream->end - stream->base)
    return NULL;
  slot = slot_of (stream, part);
  if (slot->size_plus_one == 0)
    return NULL;
  *size = slot->size_plus_one - 1;
  return slot->bytes;
}

bool
galena_stream_complete (const struct galena_stream *stream)
{
  return stream->finished && stream->base == stream->total;
}
