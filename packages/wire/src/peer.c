/* Peer messages are flat arrays of integers and one binary item: the packet,
   another body, or the addresses of entries.  Types whose messages need more
   than the common items have further integers after it.  */

#include <string.h>

#include <msgpack.h>

#include <galenaford/peer_wire.h>
#include <galenaford/world.h>

#include "pack.h"
#include "unpack.h"

/* Positions in the array.  */
enum peer_item
{
  ITEM_SCHEMA,
  ITEM_TYPE,
  ITEM_ROLE,
  ITEM_CALLER,
  ITEM_SERVICE_ADDRESS,
  ITEM_SERVICE_KEY,
  ITEM_SLOTS,
  ITEM_PUBLISHED_STATE,
  ITEM_STARTED_UNIX_MS,
  ITEM_SEQUENCE,
  ITEM_RESULT,
  ITEM_RUNNING,
  ITEM_FLOWS,
  ITEM_SERVICE_TIME_US,
  ITEM_LEAVING,
  ITEM_ZONE,
  ITEM_LINK_KBPS,
  ITEM_READY,
  ITEM_UPSTREAM_PORT,
  ITEM_UPTIME_MS,
  ITEM_BODY,
  /* The following ones are only in messages that begin or describe something,
     not in those that carry the packets of open flows.  First those of a full
     load report.  */
  ITEM_LOAD,
  ITEM_TRANSFERS = ITEM_LOAD,
  ITEM_UTILISATION,
  ITEM_FINISHED,
  ITEM_FAILED,
  /* Those of opens and hellos.  */
  ITEM_ENTRY,
  ITEM_WORK_KIND = ITEM_ENTRY,
  ITEM_PRIORITY,
  ITEM_AIM_MS,
  ITEM_TIMEOUT_MS,
  ITEM_EVACUATED,
  ITEM_STORE_ERA,
  ITEM_STORE_REVISION,
  ITEM_WARM_UP_MS,
  ITEM_WARM_UP_PER_S,
  ITEM_START_KNOWN_MS,
  ITEM_ALTERNATIVE_US,
  ITEM_ATTEMPT,
  ITEM_COUNT
};

enum
{
  ADDRESS_BYTES = 4,
  RESULT_MAX = 255
};

/* Largest value of each item.  */
static const uint64_t LIMITS[ITEM_COUNT] = {
  [ITEM_SCHEMA] = UINT32_MAX,
  [ITEM_TYPE] = GALENA_PEER_TYPE_END - 1,
  [ITEM_ROLE] = GALENA_ROLE_COUNT - 1,
  [ITEM_CALLER] = (UINT64_C (1) << PACK_ENDPOINT_BITS) - 1,
  [ITEM_SERVICE_ADDRESS] = (UINT64_C (1) << PACK_ENDPOINT_BITS) - 1,
  [ITEM_SERVICE_KEY] = UINT64_MAX,
  [ITEM_SLOTS] = UINT32_MAX,
  [ITEM_PUBLISHED_STATE] = GALENA_PUBLISHED_DRAINING,
  [ITEM_STARTED_UNIX_MS] = UINT64_MAX,
  [ITEM_SEQUENCE] = UINT32_MAX,
  [ITEM_RESULT] = RESULT_MAX,
  [ITEM_RUNNING] = UINT32_MAX,
  [ITEM_FLOWS] = UINT32_MAX,
  [ITEM_SERVICE_TIME_US] = UINT32_MAX,
  [ITEM_LEAVING] = 1,
  [ITEM_ZONE] = UINT64_MAX,
  [ITEM_LINK_KBPS] = UINT32_MAX,
  [ITEM_READY] = 1,
  [ITEM_UPSTREAM_PORT] = UINT16_MAX,
  [ITEM_UPTIME_MS] = UINT32_MAX,
  [ITEM_WORK_KIND] = GALENA_WORK_KIND_COUNT - 1,
  [ITEM_PRIORITY] = UINT32_MAX,
  [ITEM_AIM_MS] = UINT32_MAX,
  [ITEM_TIMEOUT_MS] = UINT32_MAX,
  [ITEM_EVACUATED] = 1,
  [ITEM_STORE_ERA] = UINT64_MAX,
  [ITEM_STORE_REVISION] = UINT64_MAX,
  [ITEM_WARM_UP_MS] = UINT32_MAX,
  [ITEM_WARM_UP_PER_S] = UINT32_MAX,
  [ITEM_START_KNOWN_MS] = UINT32_MAX,
  [ITEM_ALTERNATIVE_US] = UINT32_MAX,
  [ITEM_ATTEMPT] = UINT32_MAX,
  [ITEM_TRANSFERS] = UINT32_MAX,
  [ITEM_UTILISATION] = UINT32_MAX,
  [ITEM_FINISHED] = UINT32_MAX,
  [ITEM_FAILED] = UINT32_MAX,
};

/* Returns the number of items in messages of TYPE.  */
static uint32_t
item_count (enum galena_peer_type type)
{
  switch (type)
    {
    case GALENA_PEER_OPENED:
    case GALENA_PEER_REFUSED:
    case GALENA_PEER_LOAD:
      return ITEM_ENTRY;
    case GALENA_PEER_OPEN:
    case GALENA_PEER_HELLO:
      return ITEM_COUNT;
    default:
      return ITEM_LOAD;
    }
}

/* Decodes the IP addresses of entries.  */
static enum galena_result
decode_members (const struct unpack_item *body,
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
decode_body (const struct unpack_item *body,
             struct galena_peer_message *message)
{
  if (body->type != UNPACK_BINARY)
    return GALENA_ERR_TYPE;
  message->member_count = 0;
  message->bytes = NULL;
  message->size = 0;
  if (message->type == GALENA_PEER_MEMBERS)
    return decode_members (body, message);
  if (body->size == 0)
    return GALENA_OK;
  message->bytes = body->data;
  message->size = body->size;
  return GALENA_OK;
}

static void
decode_load (const struct unpack_item *rows,
             struct galena_peer_message *message)
{
  message->load.transfers = (uint32_t)rows[ITEM_TRANSFERS].value;
  message->load.utilisation = (uint32_t)rows[ITEM_UTILISATION].value;
  message->load.finished = (uint32_t)rows[ITEM_FINISHED].value;
  message->load.failed = (uint32_t)rows[ITEM_FAILED].value;
}

static void
decode_entry_items (const struct unpack_item *rows,
                    struct galena_peer_message *message)
{
  message->work.kind = (enum galena_work_kind)rows[ITEM_WORK_KIND].value;
  message->work.priority = (uint32_t)rows[ITEM_PRIORITY].value;
  message->work.aim_ms = (uint32_t)rows[ITEM_AIM_MS].value;
  message->work.timeout_ms = (uint32_t)rows[ITEM_TIMEOUT_MS].value;
  message->zone_state.evacuated = rows[ITEM_EVACUATED].value != 0;
  message->zone_state.position.era = rows[ITEM_STORE_ERA].value;
  message->zone_state.position.revision = rows[ITEM_STORE_REVISION].value;
  message->warm_up_ms = (uint32_t)rows[ITEM_WARM_UP_MS].value;
  message->warm_up_per_s = (uint32_t)rows[ITEM_WARM_UP_PER_S].value;
  message->start_known_ms = (uint32_t)rows[ITEM_START_KNOWN_MS].value;
  message->alternative_us = (uint32_t)rows[ITEM_ALTERNATIVE_US].value;
  message->attempt = (uint32_t)rows[ITEM_ATTEMPT].value;
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
  if (items.count < ITEM_LOAD)
    return GALENA_ERR_TYPE;
  for (uint32_t i = 0; i < items.count; i++)
    {
      if (i == ITEM_BODY)
        continue;
      if (rows[i].type != UNPACK_UNSIGNED)
        return GALENA_ERR_TYPE;
      if (i < ITEM_COUNT && rows[i].value > LIMITS[i])
        return GALENA_ERR_RANGE;
    }
  if (rows[ITEM_SCHEMA].value != GALENA_PEER_SCHEMA)
    return GALENA_ERR_SCHEMA;
  if (rows[ITEM_TYPE].value == 0)
    return GALENA_ERR_RANGE;
  message->type = (enum galena_peer_type)rows[ITEM_TYPE].value;
  if (items.count != item_count (message->type))
    return GALENA_ERR_TYPE;
  message->role = (uint32_t)rows[ITEM_ROLE].value;
  message->flow.caller = unpack_endpoint (rows[ITEM_CALLER].value);
  message->flow.service_address
      = unpack_endpoint (rows[ITEM_SERVICE_ADDRESS].value);
  message->service = rows[ITEM_SERVICE_KEY].value;
  message->slots = (uint32_t)rows[ITEM_SLOTS].value;
  message->published_state
      = (enum galena_published_state)rows[ITEM_PUBLISHED_STATE].value;
  message->started_unix_ms = rows[ITEM_STARTED_UNIX_MS].value;
  message->sequence = (uint32_t)rows[ITEM_SEQUENCE].value;
  message->result = (enum galena_result)rows[ITEM_RESULT].value;
  message->load.pending_requests = (uint32_t)rows[ITEM_RUNNING].value;
  message->load.flows = (uint32_t)rows[ITEM_FLOWS].value;
  message->load.service_us = (uint32_t)rows[ITEM_SERVICE_TIME_US].value;
  message->load.refuses_flows = rows[ITEM_LEAVING].value != 0;
  message->state.zone = rows[ITEM_ZONE].value;
  message->state.link_kbps = (uint32_t)rows[ITEM_LINK_KBPS].value;
  message->state.in_rotation = rows[ITEM_READY].value != 0;
  message->upstream_port = (uint16_t)rows[ITEM_UPSTREAM_PORT].value;
  message->uptime_ms = (uint32_t)rows[ITEM_UPTIME_MS].value;
  if (items.count > ITEM_LOAD)
    decode_load (rows, message);
  if (items.count > ITEM_ENTRY)
    decode_entry_items (rows, message);
  return decode_body (&rows[ITEM_BODY], message);
}

static int
encode_members (msgpack_packer *packer,
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
  const uint64_t values[ITEM_COUNT] = {
    [ITEM_SCHEMA] = GALENA_PEER_SCHEMA,
    [ITEM_TYPE] = message->type,
    [ITEM_ROLE] = message->role,
    [ITEM_CALLER] = pack_endpoint (message->flow.caller),
    [ITEM_SERVICE_ADDRESS] = pack_endpoint (message->flow.service_address),
    [ITEM_SERVICE_KEY] = message->service,
    [ITEM_SLOTS] = message->slots,
    [ITEM_PUBLISHED_STATE] = message->published_state,
    [ITEM_STARTED_UNIX_MS] = message->started_unix_ms,
    [ITEM_SEQUENCE] = message->sequence,
    [ITEM_RESULT] = message->result,
    [ITEM_RUNNING] = message->load.pending_requests,
    [ITEM_FLOWS] = message->load.flows,
    [ITEM_SERVICE_TIME_US] = message->load.service_us,
    [ITEM_LEAVING] = message->load.refuses_flows,
    [ITEM_ZONE] = message->state.zone,
    [ITEM_LINK_KBPS] = message->state.link_kbps,
    [ITEM_READY] = message->state.in_rotation,
    [ITEM_UPSTREAM_PORT] = message->upstream_port,
    [ITEM_UPTIME_MS] = message->uptime_ms,
    [ITEM_WORK_KIND] = message->work.kind,
    [ITEM_PRIORITY] = message->work.priority,
    [ITEM_AIM_MS] = message->work.aim_ms,
    [ITEM_TIMEOUT_MS] = message->work.timeout_ms,
    [ITEM_EVACUATED] = message->zone_state.evacuated,
    [ITEM_STORE_ERA] = message->zone_state.position.era,
    [ITEM_STORE_REVISION] = message->zone_state.position.revision,
    [ITEM_WARM_UP_MS] = message->warm_up_ms,
    [ITEM_WARM_UP_PER_S] = message->warm_up_per_s,
    [ITEM_START_KNOWN_MS] = message->start_known_ms,
    [ITEM_ALTERNATIVE_US] = message->alternative_us,
    [ITEM_ATTEMPT] = message->attempt,
    [ITEM_TRANSFERS] = message->load.transfers,
    [ITEM_UTILISATION] = message->load.utilisation,
    [ITEM_FINISHED] = message->load.finished,
    [ITEM_FAILED] = message->load.failed,
  };
  struct pack_buffer buffer = { bytes, capacity, 0 };
  uint32_t count = item_count (message->type);
  msgpack_packer packer;
  int failed;

  msgpack_packer_init (&packer, &buffer, pack_write);
  failed = msgpack_pack_array (&packer, count);
  for (uint32_t i = 0; i < ITEM_BODY; i++)
    failed |= msgpack_pack_uint64 (&packer, values[i]);
  if (message->type == GALENA_PEER_MEMBERS)
    failed |= encode_members (&packer, message);
  else
    {
      failed |= msgpack_pack_bin (&packer, message->size);
      failed |= msgpack_pack_bin_body (&packer, message->bytes, message->size);
    }
  for (uint32_t i = ITEM_LOAD; i < count; i++)
    failed |= msgpack_pack_uint64 (&packer, values[i]);
  if (failed != 0)
    return GALENA_ERR_TOO_LARGE;
  *size = buffer.size;
  return GALENA_OK;
}
