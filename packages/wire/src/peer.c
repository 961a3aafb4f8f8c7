/* Peer messages as flat arrays of integers and one binary item: the packet,
   or the addresses of entries.  */

#include <string.h>

#include <msgpack.h>

#include <galenaford/peer_wire.h>
#include <galenaford/world.h>

#include "pack.h"
#include "unpack.h"

/* Places in the array.  */
enum peer_place
{
  PLACE_SCHEMA,
  PLACE_TYPE,
  PLACE_ROLE,
  PLACE_CALLER,
  PLACE_ADDRESS,
  PLACE_SERVICE,
  PLACE_SLOTS,
  PLACE_LISTING,
  PLACE_BORN,
  PLACE_SEQUENCE,
  PLACE_RESULT,
  PLACE_RUNNING,
  PLACE_FLOWS,
  PLACE_SERVICE_US,
  PLACE_LEAVING,
  PLACE_ZONE,
  PLACE_LINK,
  PLACE_READY,
  PLACE_BODY,
  PLACE_COUNT
};

enum
{
  ADDRESS_BYTES = 4,
  RESULT_MAX = 255
};

/* Largest value in each place.  */
static const uint64_t LIMITS[PLACE_BODY] = {
  [PLACE_SCHEMA] = UINT32_MAX,
  [PLACE_TYPE] = GALENA_PEER_TYPE_END - 1,
  [PLACE_ROLE] = GALENA_ROLE_COUNT - 1,
  [PLACE_CALLER] = (UINT64_C (1) << PACK_ENDPOINT_BITS) - 1,
  [PLACE_ADDRESS] = (UINT64_C (1) << PACK_ENDPOINT_BITS) - 1,
  [PLACE_SERVICE] = UINT64_MAX,
  [PLACE_SLOTS] = UINT32_MAX,
  [PLACE_LISTING] = GALENA_PUBLISHED_DRAINING,
  [PLACE_BORN] = UINT64_MAX,
  [PLACE_SEQUENCE] = UINT32_MAX,
  [PLACE_RESULT] = RESULT_MAX,
  [PLACE_RUNNING] = UINT32_MAX,
  [PLACE_FLOWS] = UINT32_MAX,
  [PLACE_SERVICE_US] = UINT32_MAX,
  [PLACE_LEAVING] = 1,
  [PLACE_ZONE] = UINT64_MAX,
  [PLACE_LINK] = UINT32_MAX,
  [PLACE_READY] = 1,
};

static enum galena_result
read_members (const struct unpack_item *body,
              struct galena_peer_message *message)
{
  if (body->size % ADDRESS_BYTES != 0)
    return GALENA_ERR_TYPE;
  message->member_count = body->size / ADDRESS_BYTES;
  if (message->member_count > GALENA_PEER_MEMBERS_MAX)
    return GALENA_ERR_TOO_LARGE;
  for (uint32_t i = 0; i < message->member_count; i++)
    {
      const uint8_t *at = body->data + (size_t)i * ADDRESS_BYTES;

      message->members[i] = ((uint32_t)at[0] << 24) | ((uint32_t)at[1] << 16)
                            | ((uint32_t)at[2] << 8) | at[3];
    }
  return GALENA_OK;
}

static enum galena_result
read_body (const struct unpack_item *body, struct galena_peer_message *message)
{
  if (body->type != UNPACK_BINARY)
    return GALENA_ERR_TYPE;
  message->member_count = 0;
  message->bytes = NULL;
  message->size = 0;
  if (message->type == GALENA_PEER_MEMBERS)
    return read_members (body, message);
  if (body->size == 0)
    return GALENA_OK;
  message->bytes = body->data;
  message->size = body->size;
  return GALENA_OK;
}

enum galena_result
galena_peer_decode (const uint8_t *bytes, size_t size,
                    struct galena_peer_message *message)
{
  struct unpack_items items;
  enum galena_result result = unpack_array (bytes, size, &items);
  const struct unpack_item *rows = items.rows;

  if (result != GALENA_OK)
    return result;
  if (items.count != PLACE_COUNT)
    return GALENA_ERR_TYPE;
  for (uint32_t i = 0; i < PLACE_BODY; i++)
    {
      if (rows[i].type != UNPACK_UNSIGNED)
        return GALENA_ERR_TYPE;
      if (rows[i].value > LIMITS[i])
        return GALENA_ERR_RANGE;
    }
  if (rows[PLACE_SCHEMA].value != GALENA_PEER_SCHEMA)
    return GALENA_ERR_SCHEMA;
  if (rows[PLACE_TYPE].value == 0)
    return GALENA_ERR_RANGE;
  message->type = (enum galena_peer_type)rows[PLACE_TYPE].value;
  message->role = (uint32_t)rows[PLACE_ROLE].value;
  message->flow.caller = unpack_endpoint (rows[PLACE_CALLER].value);
  message->flow.service = unpack_endpoint (rows[PLACE_ADDRESS].value);
  message->service = rows[PLACE_SERVICE].value;
  message->slots = (uint32_t)rows[PLACE_SLOTS].value;
  message->published_state
      = (enum galena_published_state)rows[PLACE_LISTING].value;
  message->started_unix_ms = rows[PLACE_BORN].value;
  message->sequence = (uint32_t)rows[PLACE_SEQUENCE].value;
  message->result = (enum galena_result)rows[PLACE_RESULT].value;
  message->load.running = (uint32_t)rows[PLACE_RUNNING].value;
  message->load.flows = (uint32_t)rows[PLACE_FLOWS].value;
  message->load.service_us = (uint32_t)rows[PLACE_SERVICE_US].value;
  message->load.leaving = rows[PLACE_LEAVING].value != 0;
  message->state.zone = rows[PLACE_ZONE].value;
  message->state.link_kbps = (uint32_t)rows[PLACE_LINK].value;
  message->state.ready = rows[PLACE_READY].value != 0;
  return read_body (&rows[PLACE_BODY], message);
}

static int
write_members (msgpack_packer *packer,
               const struct galena_peer_message *message)
{
  uint8_t body[GALENA_PEER_MEMBERS_MAX * ADDRESS_BYTES];
  size_t size = (size_t)message->member_count * ADDRESS_BYTES;

  for (uint32_t i = 0; i < message->member_count; i++)
    for (uint32_t byte = 0; byte < ADDRESS_BYTES; byte++)
      body[i * ADDRESS_BYTES + byte]
          = (uint8_t)(message->members[i] >> (24 - 8 * byte));
  return msgpack_pack_bin (packer, size)
         | msgpack_pack_bin_body (packer, body, size);
}

enum galena_result
galena_peer_encode (const struct galena_peer_message *message, uint8_t *bytes,
                    size_t capacity, size_t *size)
{
  const uint64_t values[PLACE_BODY] = {
    [PLACE_SCHEMA] = GALENA_PEER_SCHEMA,
    [PLACE_TYPE] = message->type,
    [PLACE_ROLE] = message->role,
    [PLACE_CALLER] = pack_endpoint (message->flow.caller),
    [PLACE_ADDRESS] = pack_endpoint (message->flow.service),
    [PLACE_SERVICE] = message->service,
    [PLACE_SLOTS] = message->slots,
    [PLACE_LISTING] = message->published_state,
    [PLACE_BORN] = message->started_unix_ms,
    [PLACE_SEQUENCE] = message->sequence,
    [PLACE_RESULT] = message->result,
    [PLACE_RUNNING] = message->load.running,
    [PLACE_FLOWS] = message->load.flows,
    [PLACE_SERVICE_US] = message->load.service_us,
    [PLACE_LEAVING] = message->load.leaving,
    [PLACE_ZONE] = message->state.zone,
    [PLACE_LINK] = message->state.link_kbps,
    [PLACE_READY] = message->state.ready,
  };
  struct pack_buffer buffer = { bytes, capacity, 0 };
  msgpack_packer packer;
  int failed;

  msgpack_packer_init (&packer, &buffer, pack_write);
  failed = msgpack_pack_array (&packer, PLACE_COUNT);
  for (uint32_t i = 0; i < PLACE_BODY; i++)
    failed |= msgpack_pack_uint64 (&packer, values[i]);
  if (message->type == GALENA_PEER_MEMBERS)
    failed |= write_members (&packer, message);
  else
    {
      failed |= msgpack_pack_bin (&packer, message->size);
      failed |= msgpack_pack_bin_body (&packer, message->bytes, message->size);
    }
  if (failed != 0)
    return GALENA_ERR_TOO_LARGE;
  *size = buffer.size;
  return GALENA_OK;
}
