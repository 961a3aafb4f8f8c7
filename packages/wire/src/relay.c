/* Relay messages are flat arrays of integers and the text of a record.  */

#include <string.h>

#include <msgpack.h>

#include <galenaford/relay.h>

#include "pack.h"
#include "unpack.h"

/* Positions in the array.  */
enum relay_item
{
  ITEM_SCHEMA,
  ITEM_TYPE,
  ITEM_SENDER_ROLE,
  ITEM_SENDER_IP,
  ITEM_SENDER_PORT,
  ITEM_SUBSCRIBED_SERVICE,
  ITEM_FLAGS,
  /* Meaning depends on the type, see struct galena_sync_message.  */
  ITEM_NUMBER,
  ITEM_GENERATION,
  ITEM_DIGEST,
  ITEM_LEAVING_DIGEST,
  ITEM_PEERS,
  ITEM_TEXT = ITEM_PEERS + GALENA_SYNC_PEERS_MAX,
  ITEM_COUNT
};

/* Bits of the flags: members of struct galena_sync_message.  */
enum
{
  FLAG_SYNCED = 1,
  FLAG_REPLY_REQUESTED = 2,
  FLAG_ANNOUNCED_ALL = 4,
  FLAG_LEAVING = 8,
  FLAGS_MAX = 15
};

enum
{
  ROLE_SHIFT = 48,
  IP_SHIFT = 16
};

/* Largest value of each item.  GALENA_ROLE_COUNT is an unknown role.  */
static const uint64_t LIMITS[ITEM_TEXT] = {
  [ITEM_SCHEMA] = UINT32_MAX,
  [ITEM_TYPE] = GALENA_SYNC_MESSAGE_END - 1,
  [ITEM_SENDER_ROLE] = GALENA_ROLE_COUNT,
  [ITEM_SENDER_IP] = UINT32_MAX,
  [ITEM_SENDER_PORT] = UINT16_MAX,
  [ITEM_SUBSCRIBED_SERVICE] = UINT32_MAX,
  [ITEM_FLAGS] = FLAGS_MAX,
  [ITEM_NUMBER] = UINT32_MAX,
  [ITEM_GENERATION] = INT64_MAX,
  [ITEM_DIGEST] = UINT64_MAX,
  [ITEM_LEAVING_DIGEST] = UINT64_MAX,
  [ITEM_PEERS] = ((uint64_t)GALENA_ROLE_COUNT << ROLE_SHIFT)
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
  return (message->synced ? FLAG_SYNCED : 0)
         | (message->reply_requested ? FLAG_REPLY_REQUESTED : 0)
         | (message->announced_all ? FLAG_ANNOUNCED_ALL : 0)
         | (message->leaving ? FLAG_LEAVING : 0);
}

static enum galena_result
check_items (const struct unpack_items *items)
{
  if (items->count == 0)
    return GALENA_ERR_TRUNCATED;
  if (items->rows[ITEM_SCHEMA].type != UNPACK_UNSIGNED)
    return GALENA_ERR_TYPE;
  if (items->rows[ITEM_SCHEMA].value != GALENA_RELAY_SCHEMA)
    return GALENA_ERR_SCHEMA;
  if (items->count != ITEM_COUNT)
    return GALENA_ERR_TRUNCATED;
  for (uint32_t i = 0; i < ITEM_TEXT; i++)
    {
      uint64_t limit = LIMITS[i < ITEM_PEERS ? i : ITEM_PEERS];

      if (items->rows[i].type != UNPACK_UNSIGNED)
        return GALENA_ERR_TYPE;
      if (items->rows[i].value > limit)
        return GALENA_ERR_RANGE;
    }
  if (items->rows[ITEM_TYPE].value < GALENA_SYNC_HEARTBEAT)
    return GALENA_ERR_RANGE;
  if (items->rows[ITEM_TEXT].type != UNPACK_BINARY)
    return GALENA_ERR_TYPE;
  return items->rows[ITEM_TEXT].size > GALENA_RECORD_BYTES_MAX
             ? GALENA_ERR_TOO_LARGE
             : GALENA_OK;
}

static void
decode_peers (const struct unpack_item *rows,
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
  flags = rows[ITEM_FLAGS].value;
  *message = (struct galena_sync_message){
    .type = (enum galena_sync_message_type)rows[ITEM_TYPE].value,
    .sender = { { (uint32_t)rows[ITEM_SENDER_IP].value,
                  (uint16_t)rows[ITEM_SENDER_PORT].value },
                (enum galena_role)rows[ITEM_SENDER_ROLE].value },
    .subscribed_service = (uint32_t)rows[ITEM_SUBSCRIBED_SERVICE].value,
    .synced = (flags & FLAG_SYNCED) != 0,
    .reply_requested = (flags & FLAG_REPLY_REQUESTED) != 0,
    .announced_all = (flags & FLAG_ANNOUNCED_ALL) != 0,
    .leaving = (flags & FLAG_LEAVING) != 0,
    .number = (uint32_t)rows[ITEM_NUMBER].value,
    .generation = rows[ITEM_GENERATION].value,
    .digest = rows[ITEM_DIGEST].value,
    .leaving_digest = rows[ITEM_LEAVING_DIGEST].value,
  };
  decode_peers (&rows[ITEM_PEERS], message);
  *text = (const char *)rows[ITEM_TEXT].data;
  *text_size = rows[ITEM_TEXT].size;
  return GALENA_OK;
}

static void
collect_items (const struct galena_sync_message *message,
               uint64_t items[ITEM_TEXT])
{
  items[ITEM_SCHEMA] = GALENA_RELAY_SCHEMA;
  items[ITEM_TYPE] = message->type;
  items[ITEM_SENDER_ROLE] = message->sender.role;
  items[ITEM_SENDER_IP] = message->sender.address.ip;
  items[ITEM_SENDER_PORT] = message->sender.address.port;
  items[ITEM_SUBSCRIBED_SERVICE] = message->subscribed_service;
  items[ITEM_FLAGS] = pack_flags (message);
  items[ITEM_NUMBER] = message->number;
  items[ITEM_GENERATION] = message->generation;
  items[ITEM_DIGEST] = message->digest;
  items[ITEM_LEAVING_DIGEST] = message->leaving_digest;
  for (uint32_t i = 0; i < message->peer_count; i++)
    items[ITEM_PEERS + i] = pack_peer (&message->peers[i]);
}

enum galena_result
galena_relay_encode (const struct galena_sync_message *message,
                     const char *text, size_t text_size, uint8_t *bytes,
                     size_t capacity, size_t *size)
{
  struct pack_buffer buffer = { bytes, capacity, 0 };
  uint64_t items[ITEM_TEXT] = { 0 };
  msgpack_packer packer;
  int failed;

  collect_items (message, items);
  msgpack_packer_init (&packer, &buffer, pack_write);
  failed = msgpack_pack_array (&packer, ITEM_COUNT);
  for (uint32_t i = 0; i < ITEM_TEXT; i++)
    failed |= msgpack_pack_uint64 (&packer, items[i]);
  failed |= msgpack_pack_bin (&packer, text_size);
  failed |= msgpack_pack_bin_body (&packer, text, text_size);
  if (failed)
    return GALENA_ERR_TOO_LARGE;
  *size = buffer.size;
  return GALENA_OK;
}
