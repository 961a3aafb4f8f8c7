/* One table of fields drives both directions of the datagram codec.  */

#include <stdlib.h>
#include <string.h>

#include <msgpack.h>

#include <galenaford/wire.h>

/* One integer field of a message.  */
struct wire_field
{
  size_t offset;
  size_t size;
};

#define WIRE_FIELD(member)                                                    \
  {                                                                           \
    offsetof (struct galena_message, member),                                 \
        sizeof (((struct galena_message *)0)->member)                         \
  }

/* In the order of the array, after the schema version and the type.  */
static const struct wire_field FIELDS[] = {
  WIRE_FIELD (service.ip), WIRE_FIELD (service.port), WIRE_FIELD (flow.high),
  WIRE_FIELD (flow.low),   WIRE_FIELD (tag),          WIRE_FIELD (generation),
  WIRE_FIELD (request),    WIRE_FIELD (kind),         WIRE_FIELD (part),
  WIRE_FIELD (total),      WIRE_FIELD (deadline_ms),  WIRE_FIELD (result),
  WIRE_FIELD (caller.ip),  WIRE_FIELD (caller.port),  WIRE_FIELD (entry.ip),
  WIRE_FIELD (entry.port), WIRE_FIELD (hops),         WIRE_FIELD (overload),
  WIRE_FIELD (wait_ms),
};

enum
{
  FIELD_COUNT = sizeof FIELDS / sizeof FIELDS[0],
  /* Schema version, type, the fields, and the body.  */
  ARRAY_SIZE = 2 + FIELD_COUNT + 1,
  /* First chunk of the decoder's memory; holds any valid datagram.  */
  ZONE_BYTES = 4096
};

struct galena_wire_decoder
{
  msgpack_zone zone;
};

enum galena_result
galena_wire_decoder_create (struct galena_wire_decoder **out)
{
  struct galena_wire_decoder *decoder = calloc (1, sizeof *decoder);

  if (decoder == NULL)
    return GALENA_ERR_MEMORY;
  if (!msgpack_zone_init (&decoder->zone, ZONE_BYTES))
    {
      free (decoder);
      return GALENA_ERR_MEMORY;
    }
  *out = decoder;
  return GALENA_OK;
}

void
galena_wire_decoder_destroy (struct galena_wire_decoder *decoder)
{
  if (decoder == NULL)
    return;
  msgpack_zone_destroy (&decoder->zone);
  free (decoder);
}

static enum galena_result
read_integer (const msgpack_object *object, uint64_t max, uint64_t *value)
{
  if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return GALENA_ERR_TYPE;
  if (object->via.u64 > max)
    return GALENA_ERR_RANGE;
  *value = object->via.u64;
  return GALENA_OK;
}

static uint64_t
field_max (const struct wire_field *field)
{
  return field->size == 8 ? UINT64_MAX
                          : (UINT64_C (1) << (8 * field->size)) - 1;
}

static void
store_field (struct galena_message *message, const struct wire_field *field,
             uint64_t value)
{
  unsigned char *at = (unsigned char *)message + field->offset;
  uint32_t value32 = (uint32_t)value;
  uint16_t value16 = (uint16_t)value;

  switch (field->size)
    {
    case 8:
      memcpy (at, &value, 8);
      break;
    case 4:
      memcpy (at, &value32, 4);
      break;
    case 2:
      memcpy (at, &value16, 2);
      break;
    default:
      *at = (unsigned char)value;
    }
}

static uint64_t
load_field (const struct galena_message *message,
            const struct wire_field *field)
{
  const unsigned char *at = (const unsigned char *)message + field->offset;
  uint64_t value = 0;
  uint32_t value32;
  uint16_t value16;

  switch (field->size)
    {
    case 8:
      memcpy (&value, at, 8);
      return value;
    case 4:
      memcpy (&value32, at, 4);
      return value32;
    case 2:
      memcpy (&value16, at, 2);
      return value16;
    default:
      return *at;
    }
}

static enum galena_result
read_head (const msgpack_object *items, struct galena_message *message)
{
  uint64_t schema;
  uint64_t type;
  enum galena_result result = read_integer (&items[0], UINT32_MAX, &schema);

  if (result != GALENA_OK)
    return result;
  if (schema != GALENA_WIRE_SCHEMA)
    return GALENA_ERR_SCHEMA;
  result = read_integer (&items[1], GALENA_MESSAGE_LOAD, &type);
  if (result != GALENA_OK)
    return result;
  if (type < GALENA_MESSAGE_OPEN)
    return GALENA_ERR_RANGE;
  message->type = (enum galena_message_type)type;
  return GALENA_OK;
}

static enum galena_result
read_body (const msgpack_object *item, struct galena_message *message)
{
  if (item->type != MSGPACK_OBJECT_BIN)
    return GALENA_ERR_TYPE;
  if (item->via.bin.size > GALENA_PART_BYTES)
    return GALENA_ERR_TOO_LARGE;
  message->body = (const uint8_t *)item->via.bin.ptr;
  message->body_size = item->via.bin.size;
  return GALENA_OK;
}

static enum galena_result
read_message (const msgpack_object *object, struct galena_message *message)
{
  const msgpack_object *items;
  enum galena_result result;

  if (object->type != MSGPACK_OBJECT_ARRAY)
    return GALENA_ERR_TYPE;
  if (object->via.array.size < 2)
    return GALENA_ERR_TRUNCATED;
  items = object->via.array.ptr;
  result = read_head (items, message);
  if (result != GALENA_OK)
    return result;
  if (object->via.array.size != ARRAY_SIZE)
    return GALENA_ERR_TRUNCATED;
  for (uint32_t i = 0; i < FIELD_COUNT; i++)
    {
      uint64_t value;

      result = read_integer (&items[2 + i], field_max (&FIELDS[i]), &value);
      if (result != GALENA_OK)
        return result;
      store_field (message, &FIELDS[i], value);
    }
  return read_body (&items[ARRAY_SIZE - 1], message);
}

enum galena_result
galena_wire_decode (struct galena_wire_decoder *decoder, const uint8_t *bytes,
                    size_t size, struct galena_message *message)
{
  msgpack_object object;
  size_t offset = 0;
  msgpack_unpack_return unpacked;

  if (size > GALENA_DATAGRAM_BYTES_MAX)
    return GALENA_ERR_TOO_LARGE;
  msgpack_zone_clear (&decoder->zone);
  unpacked = msgpack_unpack ((const char *)bytes, size, &offset,
                             &decoder->zone, &object);
  if (unpacked == MSGPACK_UNPACK_CONTINUE)
    return GALENA_ERR_TRUNCATED;
  if (unpacked == MSGPACK_UNPACK_EXTRA_BYTES)
    return GALENA_ERR_TOO_LARGE;
  if (unpacked != MSGPACK_UNPACK_SUCCESS)
    return GALENA_ERR_TYPE;
  memset (message, 0, sizeof *message);
  return read_message (&object, message);
}

/* A fixed buffer that the packer writes to.  */
struct wire_buffer
{
  uint8_t *bytes;
  size_t capacity;
  size_t size;
};

static int
write_bytes (void *data, const char *bytes, size_t size)
{
  struct wire_buffer *buffer = data;

  if (size > buffer->capacity - buffer->size)
    return -1;
  memcpy (buffer->bytes + buffer->size, bytes, size);
  buffer->size += size;
  return 0;
}

enum galena_result
galena_wire_encode (const struct galena_message *message, uint8_t *bytes,
                    size_t capacity, size_t *size)
{
  struct wire_buffer buffer = { bytes, capacity, 0 };
  msgpack_packer packer;
  int failed;

  msgpack_packer_init (&packer, &buffer, write_bytes);
  failed = msgpack_pack_array (&packer, ARRAY_SIZE);
  failed |= msgpack_pack_uint32 (&packer, GALENA_WIRE_SCHEMA);
  failed |= msgpack_pack_uint32 (&packer, message->type);
  for (uint32_t i = 0; i < FIELD_COUNT; i++)
    failed |= msgpack_pack_uint64 (&packer, load_field (message, &FIELDS[i]));
  failed |= msgpack_pack_bin (&packer, message->body_size);
  failed |= msgpack_pack_bin_body (&packer, message->body, message->body_size);
  if (failed)
    return GALENA_ERR_TOO_LARGE;
  *size = buffer.size;
  return GALENA_OK;
}
