/* The datagram codec.  One table of fields serves encoding and decoding.  */

#include <string.h>

#include <msgpack.h>

#include <galenaford/wire.h>

#include "pack.h"
#include "unpack.h"

/* One field of a message; an endpoint is encoded as one integer.  */
struct wire_field
{
  size_t offset;
  /* Bytes of the value: the size of an integer, or WIRE_ENDPOINT_BYTES.  */
  size_t size;
};

enum
{
  /* An address of 4 bytes and a port of 2.  */
  WIRE_ENDPOINT_BYTES = 6
};

#define WIRE_FIELD(member)                                                    \
  {                                                                           \
    offsetof (struct galena_message, member),                                 \
        sizeof (((struct galena_message *)0)->member)                         \
  }

#define WIRE_ENDPOINT(member)                                                 \
  {                                                                           \
    offsetof (struct galena_message, member), WIRE_ENDPOINT_BYTES             \
  }

/* The fields in the order of the array, in which they follow the schema
   version, the type and the bit set of the fields present.  An absent field
   is 0.  */
static const struct wire_field FIELDS[] = {
  WIRE_ENDPOINT (service), WIRE_FIELD (flow.high),
  WIRE_FIELD (flow.low),   WIRE_FIELD (tag),
  WIRE_FIELD (generation), WIRE_FIELD (request),
  WIRE_FIELD (kind),       WIRE_FIELD (part),
  WIRE_FIELD (total),      WIRE_FIELD (deadline_ms),
  WIRE_FIELD (result),     WIRE_ENDPOINT (caller),
  WIRE_ENDPOINT (entry),   WIRE_FIELD (hops),
  WIRE_FIELD (overload),   WIRE_FIELD (wait_ms),
  WIRE_FIELD (queue),      WIRE_FIELD (hash_routed),
  WIRE_FIELD (resume),     WIRE_FIELD (service_number),
};

enum
{
  FIELD_COUNT = sizeof FIELDS / sizeof FIELDS[0],
  /* Schema version, type, and bit set of the fields present.  */
  HEADER_ITEMS = 3,
  /* The header and the body.  */
  ITEMS_MIN = HEADER_ITEMS + 1
};

/* One bit per field; the first field has the lowest bit.  */
static const uint64_t ALL_FIELDS = (UINT64_C (1) << FIELD_COUNT) - 1;

static enum galena_result
decode_integer (const struct unpack_item *item, uint64_t max, uint64_t *value)
{
  if (item->type != UNPACK_UNSIGNED)
    return GALENA_ERR_TYPE;
  if (item->value > max)
    return GALENA_ERR_RANGE;
  *value = item->value;
  return GALENA_OK;
}

static inline uint64_t
field_max (const struct wire_field *field)
{
  return field->size == 8 ? UINT64_MAX
                          : (UINT64_C (1) << (8 * field->size)) - 1;
}

static inline void
store_endpoint (unsigned char *at, uint64_t value)
{
  struct galena_endpoint endpoint
      = { (uint32_t)(value >> 16), (uint16_t)value };

  memcpy (at, &endpoint, sizeof endpoint);
}

static inline uint64_t
load_endpoint (const unsigned char *at)
{
  struct galena_endpoint endpoint;

  memcpy (&endpoint, at, sizeof endpoint);
  return ((uint64_t)endpoint.ip << 16) | endpoint.port;
}

static inline void
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
    case WIRE_ENDPOINT_BYTES:
      store_endpoint (at, value);
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

static inline uint64_t
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
    case WIRE_ENDPOINT_BYTES:
      return load_endpoint (at);
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
decode_header (const struct unpack_item *items, struct galena_message *message)
{
  uint64_t schema;
  uint64_t type;
  enum galena_result result = decode_integer (&items[0], UINT32_MAX, &schema);

  if (result != GALENA_OK)
    return result;
  if (schema != GALENA_WIRE_SCHEMA)
    return GALENA_ERR_SCHEMA;
  /* GALENA_MESSAGE_LEASE is the last type that is sent in datagrams; the types
     after it stay inside a process.  */
  result = decode_integer (&items[1], GALENA_MESSAGE_LEASE, &type);
  if (result != GALENA_OK)
    return result;
  if (type < GALENA_MESSAGE_OPEN)
    return GALENA_ERR_RANGE;
  message->type = (enum galena_message_type)type;
  return GALENA_OK;
}

static enum galena_result
decode_body (const struct unpack_item *item, struct galena_message *message)
{
  if (item->type != UNPACK_BINARY)
    return GALENA_ERR_TYPE;
  if (item->size > GALENA_PART_BYTES)
    return GALENA_ERR_TOO_LARGE;
  message->body = item->data;
  message->body_size = item->size;
  return GALENA_OK;
}

/* Decodes the bit set of the fields present.  */
static enum galena_result
decode_present (const struct unpack_items *items, uint64_t *present)
{
  enum galena_result result
      = decode_integer (&items->rows[HEADER_ITEMS - 1], ALL_FIELDS, present);

  if (result != GALENA_OK)
    return result;
  if (items->count < ITEMS_MIN + (uint32_t)__builtin_popcountll (*present))
    return GALENA_ERR_TRUNCATED;
  if (items->count > ITEMS_MIN + (uint32_t)__builtin_popcountll (*present))
    return GALENA_ERR_TOO_LARGE;
  return GALENA_OK;
}

static enum galena_result
decode_message (const struct unpack_items *items,
                struct galena_message *message)
{
  const struct unpack_item *item = &items->rows[HEADER_ITEMS];
  uint64_t present;
  enum galena_result result;

  if (items->count < HEADER_ITEMS)
    return GALENA_ERR_TRUNCATED;
  result = decode_header (items->rows, message);
  if (result != GALENA_OK)
    return result;
  result = decode_present (items, &present);
  if (result != GALENA_OK)
    return result;
/* In the unrolled loop, each field's offset and size are constants.  The
   factor must be at least FIELD_COUNT.  */
#pragma GCC unroll 24
  for (uint32_t i = 0; i < FIELD_COUNT; i++)
    {
      uint64_t value;

      if ((present >> i & 1) == 0)
        continue;
      result = decode_integer (item++, field_max (&FIELDS[i]), &value);
      if (result != GALENA_OK)
        return result;
      store_field (message, &FIELDS[i], value);
    }
  return decode_body (item, message);
}

enum galena_result
galena_wire_decode (const uint8_t *bytes, size_t size,
                    struct galena_message *message)
{
  struct unpack_items items;
  enum galena_result result;

  if (size > GALENA_DATAGRAM_BYTES_MAX)
    return GALENA_ERR_TOO_LARGE;
  result = unpack_array (bytes, size, &items);
  if (result != GALENA_OK)
    return result;
  memset (message, 0, sizeof *message);
  return decode_message (&items, message);
}

/* Stores the values of the fields that are not 0 in order; returns the bit set
   of these fields.  */
static uint64_t
collect_fields (const struct galena_message *message,
                uint64_t values[FIELD_COUNT])
{
  uint64_t present = 0;
  uint32_t count = 0;

#pragma GCC unroll 24
  for (uint32_t i = 0; i < FIELD_COUNT; i++)
    {
      uint64_t value = load_field (message, &FIELDS[i]);

      if (value == 0)
        continue;
      present |= UINT64_C (1) << i;
      values[count++] = value;
    }
  return present;
}

enum galena_result
galena_wire_encode (const struct galena_message *message, uint8_t *bytes,
                    size_t capacity, size_t *size)
{
  struct pack_buffer buffer = { bytes, capacity, 0 };
  uint64_t values[FIELD_COUNT];
  uint64_t present = collect_fields (message, values);
  uint32_t count = (uint32_t)__builtin_popcountll (present);
  msgpack_packer packer;
  int failed;

  msgpack_packer_init (&packer, &buffer, pack_write);
  failed = msgpack_pack_array (&packer, ITEMS_MIN + count);
  failed |= msgpack_pack_uint32 (&packer, GALENA_WIRE_SCHEMA);
  failed |= msgpack_pack_uint32 (&packer, message->type);
  failed |= msgpack_pack_uint64 (&packer, present);
  for (uint32_t i = 0; i < count; i++)
    failed |= msgpack_pack_uint64 (&packer, values[i]);
  failed |= msgpack_pack_bin (&packer, message->body_size);
  if (message->body_size > 0)
    failed
        |= msgpack_pack_bin_body (&packer, message->body, message->body_size);
  if (failed)
    return GALENA_ERR_TOO_LARGE;
  *size = buffer.size;
  return GALENA_OK;
}
