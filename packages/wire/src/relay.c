/* Relay messages as flat arrays of integers and the text of a record.  */

#include <string.h>

#include <msgpack.h>

#include <galenaford/relay.h>

#include "pack.h"
#include "unpack.h"

/* Places in the array.  */
enum relay_place
{
  PLACE_SCHEMA,
  PLACE_TYPE,
  PLACE_ROLE,
  PLACE_IP,
  PLACE_PORT,
  PLACE_WANTED,
  PLACE_FLAGS,
  PLACE_NUMBER,
  PLACE_GENERATION,
  PLACE_DIGEST,
  PLACE_LEAVING_DIGEST,
  PLACE_PEERS,
  PLACE_TEXT = PLACE_PEERS + GALENA_SYNC_PEERS_MAX,
  PLACE_COUNT
};

/* Bits of the flags.  */
enum
{
  FLAG_SETTLED = 1,
  FLAG_ASKS = 2,
  FLAG_LISTED = 4,
  FLAG_LEAVING = 8,
  FLAGS_MAX = 15
};

enum
{
  ROLE_SHIFT = 48,
  IP_SHIFT = 16
};

/* Largest value in each place.  */
static const uint64_t LIMITS[PLACE_TEXT] = {
  [PLACE_SCHEMA] = UINT32_MAX,
  [PLACE_TYPE] = GALENA_SYNC_MESSAGE_END - 1,
  [PLACE_ROLE] = GALENA_ROLE_COUNT,
  [PLACE_IP] = UINT32_MAX,
  [PLACE_PORT] = UINT16_MAX,
  [PLACE_WANTED] = UINT32_MAX,
  [PLACE_FLAGS] = FLAGS_MAX,
  [PLACE_NUMBER] = UINT32_MAX,
  [PLACE_GENERATION] = INT64_MAX,
  [PLACE_DIGEST] = UINT64_MAX,
  [PLACE_LEAVING_DIGEST] = UINT64_MAX,
  [PLACE_PEERS] = ((uint64_t)GALENA_ROLE_COUNT << ROLE_SHIFT)
                  | ((UINT64_C (1) << ROLE_SHIFT) - 1),
};

static uint64_t
pack_peer (const struct galena_peer *peer)
{
  return ((uint64_t)peer->role << ROLE_SHIFT)
         | ((uint64_t)peer->address.ip << IP_SHIFT) | peer->address.port;
}

static struct galena_peer
unpack_peer (uint64_t packed)
{
  struct galena_peer peer = {
    .address = { (uint32_t)(packed >> IP_SHIFT), (uint16_t)packed },
    .role = (enum galena_role) (packed >> ROLE_SHIFT),
  };

  return peer;
}

static uint32_t
pack_flags (const struct galena_sync_message *message)
{
  return (message->synced ? FLAG_SETTLED : 0)
         | (message->reply_requested ? FLAG_ASKS : 0)
         | (message->announced_all ? FLAG_LISTED : 0)
         | (message->leaving ? FLAG_LEAVING : 0);
}

static enum galena_result
check_items (const struct unpack_items *items)
{
  if (items->count == 0)
    return GALENA_ERR_TRUNCATED;
  if (items->rows[PLACE_SCHEMA].type != UNPACK_UNSIGNED)
    return GALENA_ERR_TYPE;
  if (items->rows[PLACE_SCHEMA].value != GALENA_RELAY_SCHEMA)
    return GALENA_ERR_SCHEMA;
  if (items->count != PLACE_COUNT)
    return GALENA_ERR_TRUNCATED;
  for (uint32_t i = 0; i < PLACE_TEXT; i++)
    {
      uint64_t limit = LIMITS[i < PLACE_PEERS ? i : PLACE_PEERS];

      if (items->rows[i].type != UNPACK_UNSIGNED)
        return GALENA_ERR_TYPE;
      if (items->rows[i].value > limit)
        return GALENA_ERR_RANGE;
    }
  if (items->rows[PLACE_TYPE].value < GALENA_SYNC_HEARTBEAT)
    return GALENA_ERR_RANGE;
  if (items->rows[PLACE_TEXT].type != UNPACK_BINARY)
    return GALENA_ERR_TYPE;
  return items->rows[PLACE_TEXT].size > GALENA_RECORD_BYTES_MAX
             ? GALENA_ERR_TOO_LARGE
             : GALENA_OK;
}

static void
read_peers (const struct unpack_item *rows,
            struct galena_sync_message *message)
{
  for (uint32_t i = 0; i < GALENA_SYNC_PEERS_MAX; i++)
    if (rows[i].value != 0)
      message->peers[message->peer_count++] = unpack_peer (rows[i].value);
}

enum galena_result
galena_relay_decode (const uint8_t *bytes, size_t size,
                     struct galena_sync_message *message, const char **text,
                     size_t *text_size)
{
  struct unpack_items items;
  const struct unpack_item *rows = items.rows;
  enum galena_result result;
  uint64_t flags;

  if (size > GALENA_RELAY_BYTES_MAX)
    return GALENA_ERR_TOO_LARGE;
  result = unpack_array (bytes, size, &items);
  if (result == GALENA_OK)
    result = check_items (&items);
  if (result != GALENA_OK)
    return result;
  flags = rows[PLACE_FLAGS].value;
  *message = (struct galena_sync_message){
    .type = (enum galena_sync_message_type)rows[PLACE_TYPE].value,
    .sender
    = { { (uint32_t)rows[PLACE_IP].value, (uint16_t)rows[PLACE_PORT].value },
        (enum galena_role)rows[PLACE_ROLE].value },
    .subscribed_service = (uint32_t)rows[PLACE_WANTED].value,
    .synced = (flags & FLAG_SETTLED) != 0,
    .reply_requested = (flags & FLAG_ASKS) != 0,
    .announced_all = (flags & FLAG_LISTED) != 0,
    .leaving = (flags & FLAG_LEAVING) != 0,
    .number = (uint32_t)rows[PLACE_NUMBER].value,
    .generation = rows[PLACE_GENERATION].value,
    .digest = rows[PLACE_DIGEST].value,
    .leaving_digest = rows[PLACE_LEAVING_DIGEST].value,
  };
  read_peers (&rows[PLACE_PEERS], message);
  *text = (const char *)rows[PLACE_TEXT].data;
  *text_size = rows[PLACE_TEXT].size;
  return GALENA_OK;
}

static void
fill_places (const struct galena_sync_message *message,
             uint64_t places[PLACE_TEXT])
{
  places[PLACE_SCHEMA] = GALENA_RELAY_SCHEMA;
  places[PLACE_TYPE] = message->type;
  places[PLACE_ROLE] = message->sender.role;
  places[PLACE_IP] = message->sender.address.ip;
  places[PLACE_PORT] = message->sender.address.port;
  places[PLACE_WANTED] = message->subscribed_service;
  places[PLACE_FLAGS] = pack_flags (message);
  places[PLACE_NUMBER] = message->number;
  places[PLACE_GENERATION] = message->generation;
  places[PLACE_DIGEST] = message->digest;
  places[PLACE_LEAVING_DIGEST] = message->leaving_digest;
  for (uint32_t i = 0; i < message->peer_count; i++)
    places[PLACE_PEERS + i] = pack_peer (&message->peers[i]);
}

enum galena_result
galena_relay_encode (const struct galena_sync_message *message,
                     const char *text, size_t text_size, uint8_t *bytes,
                     size_t capacity, size_t *size)
{
  struct pack_buffer buffer = { bytes, capacity, 0 };
  uint64_t places[PLACE_TEXT] = { 0 };
  msgpack_packer packer;
  int failed;

  fill_places (message, places);
  msgpack_packer_init (&packer, &buffer, pack_write);
  failed = msgpack_pack_array (&packer, PLACE_COUNT);
  for (uint32_t i = 0; i < PLACE_TEXT; i++)
    failed |= msgpack_pack_uint64 (&packer, places[i]);
  failed |= msgpack_pack_bin (&packer, text_size);
  failed |= msgpack_pack_bin_body (&packer, text, text_size);
  if (failed)
    return GALENA_ERR_TOO_LARGE;
  *size = buffer.size;
  return GALENA_OK;
}
