/* A snapshot is a sequence of msgpack arrays, each preceded by its length in
   four bytes, most significant first: a header, the routes, the upstreams.  */

#include <stdlib.h>
#include <string.h>

#include <msgpack.h>

#include <galenaford/snapshot_wire.h>

#include "pack.h"
#include "unpack.h"

enum
{
  LENGTH_BYTES = 4,
  HEADER_ITEMS = 6,
  ROUTE_ITEMS = 1,
  SHARE_ITEMS = 2,
  UPSTREAM_ITEMS = 9,
  /* Items that schema 1 lacks at the end of the header and of an upstream.  */
  ITEMS_SINCE_SCHEMA_2 = 1
};

/* Appends the array in ITEM to OUT, preceded by its length, and clears
   ITEM.  */
static int
append_item (msgpack_sbuffer *out, msgpack_sbuffer *item)
{
  uint8_t length[LENGTH_BYTES];
  int failed;

  for (uint32_t i = 0; i < LENGTH_BYTES; i++)
    length[i] = (uint8_t)(item->size >> (24 - 8 * i));
  failed = msgpack_sbuffer_write (out, (const char *)length, sizeof length)
           | msgpack_sbuffer_write (out, item->data, item->size);
  msgpack_sbuffer_clear (item);
  return failed;
}

static int
pack_numbers (msgpack_packer *packer, const uint64_t *numbers, uint32_t count)
{
  int failed = 0;

  for (uint32_t i = 0; i < count; i++)
    failed |= msgpack_pack_uint64 (packer, numbers[i]);
  return failed;
}

static int
pack_header (msgpack_packer *packer,
             const struct galena_catalog_snapshot *snapshot)
{
  const uint64_t numbers[HEADER_ITEMS]
      = { GALENA_SNAPSHOT_SCHEMA,      snapshot->version,
          snapshot->position.revision, snapshot->route_count,
          snapshot->upstream_count,    snapshot->position.era };

  return msgpack_pack_array (packer, HEADER_ITEMS)
         | pack_numbers (packer, numbers, HEADER_ITEMS);
}

static int
pack_route (msgpack_packer *packer, const struct galena_route *route)
{
  uint64_t address = pack_endpoint (route->address);
  int failed = msgpack_pack_array (
      packer, ROUTE_ITEMS + SHARE_ITEMS * (size_t)route->share_count);

  failed |= pack_numbers (packer, &address, 1);
  for (uint32_t i = 0; i < route->share_count; i++)
    {
      const uint64_t share[SHARE_ITEMS]
          = { route->shares[i].service, route->shares[i].weight };

      failed |= pack_numbers (packer, share, SHARE_ITEMS);
    }
  return failed;
}

static int
pack_upstream (msgpack_packer *packer,
               const struct galena_published_upstream *upstream)
{
  const uint64_t numbers[UPSTREAM_ITEMS - 1]
      = { upstream->service,    pack_endpoint (upstream->address),
          upstream->state,      upstream->slots,
          upstream->warm_up_ms, upstream->started_unix_ms,
          upstream->zone,       upstream->sequence };
  size_t length = strlen (upstream->id);

  return msgpack_pack_array (packer, UPSTREAM_ITEMS)
         | msgpack_pack_bin (packer, length)
         | msgpack_pack_bin_body (packer, upstream->id, length)
         | pack_numbers (packer, numbers, UPSTREAM_ITEMS - 1);
}

enum galena_result
galena_snapshot_encode (const struct galena_catalog_snapshot *snapshot,
                        uint8_t **bytes, size_t *size)
{
  msgpack_sbuffer out;
  msgpack_sbuffer item;
  msgpack_packer packer;
  int failed;

  msgpack_sbuffer_init (&out);
  msgpack_sbuffer_init (&item);
  msgpack_packer_init (&packer, &item, msgpack_sbuffer_write);
  failed = pack_header (&packer, snapshot) | append_item (&out, &item);
  for (uint32_t i = 0; i < snapshot->route_count; i++)
    failed |= pack_route (&packer, &snapshot->routes[i])
              | append_item (&out, &item);
  for (uint32_t i = 0; i < snapshot->upstream_count; i++)
    failed |= pack_upstream (&packer, &snapshot->upstreams[i])
              | append_item (&out, &item);
  msgpack_sbuffer_destroy (&item);
  if (failed != 0)
    {
      msgpack_sbuffer_destroy (&out);
      return GALENA_ERR_MEMORY;
    }
  *size = out.size;
  *bytes = (uint8_t *)msgpack_sbuffer_release (&out);
  return GALENA_OK;
}

/* The bytes not yet decoded.  */
struct source
{
  const uint8_t *bytes;
  size_t left;
  /* Number of items that the schema of the snapshot lacks.  */
  uint32_t missing;
};

/* Decodes the next array into *ITEMS.  */
static enum galena_result
decode_item (struct source *source, struct unpack_items *items)
{
  enum galena_result result;
  size_t length = 0;

  if (source->left < LENGTH_BYTES)
    return GALENA_ERR_TRUNCATED;
  for (uint32_t i = 0; i < LENGTH_BYTES; i++)
    length = (length << 8) | source->bytes[i];
  if (length > source->left - LENGTH_BYTES)
    return GALENA_ERR_TRUNCATED;
  result = unpack_array (source->bytes + LENGTH_BYTES, length, items);
  source->bytes += LENGTH_BYTES + length;
  source->left -= LENGTH_BYTES + length;
  return result;
}

/* Returns whether the items from FIRST on are numbers.  */
static bool
are_numbers (const struct unpack_items *items, uint32_t first)
{
  for (uint32_t i = first; i < items->count; i++)
    if (items->rows[i].type != UNPACK_UNSIGNED)
      return false;
  return true;
}

static bool
decode_endpoint (uint64_t packed, struct galena_endpoint *endpoint)
{
  *endpoint = unpack_endpoint (packed);
  return packed >> PACK_ENDPOINT_BITS == 0;
}

static enum galena_result
decode_route (struct source *source, struct galena_route *route)
{
  struct unpack_items items;
  enum galena_result result = decode_item (source, &items);

  if (result != GALENA_OK)
    return result;
  if (items.count < ROUTE_ITEMS || !are_numbers (&items, 0)
      || (items.count - ROUTE_ITEMS) % SHARE_ITEMS != 0)
    return GALENA_ERR_TYPE;
  route->share_count = (items.count - ROUTE_ITEMS) / SHARE_ITEMS;
  if (route->share_count > GALENA_ROUTE_SHARES_MAX)
    return GALENA_ERR_TOO_LARGE;
  for (uint32_t i = 0; i < route->share_count; i++)
    {
      const struct unpack_item *share
          = &items.rows[ROUTE_ITEMS + (size_t)SHARE_ITEMS * i];

      if (share[1].value > UINT32_MAX)
        return GALENA_ERR_RANGE;
      route->shares[i]
          = (struct galena_route_share){ share[0].value,
                                         (uint32_t)share[1].value };
    }
  return decode_endpoint (items.rows[0].value, &route->address)
             ? GALENA_OK
             : GALENA_ERR_RANGE;
}

static enum galena_result
decode_upstream (struct source *source,
                 struct galena_published_upstream *upstream)
{
  struct unpack_items items;
  enum galena_result result = decode_item (source, &items);
  const struct unpack_item *rows = items.rows;

  if (result != GALENA_OK)
    return result;
  if (items.count + source->missing != UPSTREAM_ITEMS
      || rows[0].type != UNPACK_BINARY || !are_numbers (&items, 1))
    return GALENA_ERR_TYPE;
  if (rows[0].size >= sizeof upstream->id)
    return GALENA_ERR_TOO_LARGE;
  if (!decode_endpoint (rows[2].value, &upstream->address)
      || rows[3].value > GALENA_PUBLISHED_DRAINING
      || rows[4].value > UINT32_MAX || rows[5].value > INT32_MAX)
    return GALENA_ERR_RANGE;
  memcpy (upstream->id, rows[0].data, rows[0].size);
  upstream->service = rows[1].value;
  upstream->state = (enum galena_published_state)rows[3].value;
  upstream->slots = (uint32_t)rows[4].value;
  upstream->warm_up_ms = (uint32_t)rows[5].value;
  upstream->started_unix_ms = rows[6].value;
  upstream->zone = rows[7].value;
  if (source->missing == 0)
    upstream->sequence = rows[8].value;
  return GALENA_OK;
}

/* Decodes the header into *SNAPSHOT.  */
static enum galena_result
decode_header (struct source *source, struct galena_catalog_snapshot *snapshot)
{
  struct unpack_items items;
  enum galena_result result = decode_item (source, &items);

  if (result != GALENA_OK)
    return result;
  if (items.count == 0 || !are_numbers (&items, 0))
    return GALENA_ERR_TYPE;
  if (items.rows[0].value == 0 || items.rows[0].value > GALENA_SNAPSHOT_SCHEMA)
    return GALENA_ERR_SCHEMA;
  source->missing = items.rows[0].value == 1 ? ITEMS_SINCE_SCHEMA_2 : 0;
  if (items.count + source->missing != HEADER_ITEMS)
    return GALENA_ERR_TYPE;
  if (items.rows[3].value > GALENA_SNAPSHOT_ROWS_MAX
      || items.rows[4].value > GALENA_SNAPSHOT_ROWS_MAX)
    return GALENA_ERR_TOO_LARGE;
  snapshot->version = items.rows[1].value;
  snapshot->position.revision = items.rows[2].value;
  snapshot->route_count = (uint32_t)items.rows[3].value;
  snapshot->upstream_count = (uint32_t)items.rows[4].value;
  if (source->missing == 0)
    snapshot->position.era = items.rows[5].value;
  /* Each row takes at least the bytes of its length field.  Checking this
     first avoids allocating more rows than the input can contain.  */
  if (((size_t)snapshot->route_count + snapshot->upstream_count) * LENGTH_BYTES
      > source->left)
    return GALENA_ERR_TRUNCATED;
  return GALENA_OK;
}

enum galena_result
galena_snapshot_decode (const uint8_t *bytes, size_t size,
                        struct galena_catalog_snapshot *snapshot)
{
  struct source source = { bytes, size, 0 };
  struct galena_route *routes = NULL;
  struct galena_published_upstream *upstreams = NULL;
  enum galena_result result;

  *snapshot = (struct galena_catalog_snapshot){ 0 };
  result = decode_header (&source, snapshot);
  if (result != GALENA_OK)
    goto fail;
  routes = calloc ((size_t)snapshot->route_count + 1, sizeof *routes);
  upstreams = calloc ((size_t)snapshot->upstream_count + 1, sizeof *upstreams);
  result = routes == NULL || upstreams == NULL ? GALENA_ERR_MEMORY : GALENA_OK;
  for (uint32_t i = 0; result == GALENA_OK && i < snapshot->route_count; i++)
    result = decode_route (&source, &routes[i]);
  for (uint32_t i = 0; result == GALENA_OK && i < snapshot->upstream_count;
       i++)
    result = decode_upstream (&source, &upstreams[i]);
  if (result == GALENA_OK && source.left != 0)
    result = GALENA_ERR_TOO_LARGE;
  if (result != GALENA_OK)
    goto fail;
  snapshot->routes = routes;
  snapshot->upstreams = upstreams;
  return GALENA_OK;

fail:
  free (routes);
  free (upstreams);
  *snapshot = (struct galena_catalog_snapshot){ 0 };
  return result;
}

void
galena_snapshot_release (struct galena_catalog_snapshot *snapshot)
{
  free ((void *)snapshot->routes);
  free ((void *)snapshot->upstreams);
  *snapshot = (struct galena_catalog_snapshot){ 0 };
}
