/* A snapshot is a sequence of msgpack arrays, each preceded by its length in
   four bytes, most significant first: a header, the routes, the upstreams, the
   services, the evacuations.  */

#include <stdlib.h>
#include <string.h>

#include <msgpack.h>

#include <galenaford/snapshot_wire.h>

#include "pack.h"
#include "unpack.h"

enum
{
  LENGTH_BYTES = 4,
  SHARE_ITEMS = 2,
  SERVICE_ITEMS = 3,
  EVACUATION_ITEMS = 4
};

/* Number of items of the arrays whose length depends on the schema: of a
   header, of a route before its shares, and of an upstream.  Newer schemas
   append items to these.  */
static const struct schema
{
  uint32_t header_items;
  uint32_t route_items;
  uint32_t upstream_items;
} SCHEMAS[GALENA_SNAPSHOT_SCHEMA + 1] = {
  [1] = { 5, 1, 8 },
  [2] = { 6, 1, 9 },
  [3] = { 8, 5, 9 },
};

enum
{
  HEADER_ITEMS = 8,
  ROUTE_ITEMS = 5,
  UPSTREAM_ITEMS = 9
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
          snapshot->upstream_count,    snapshot->position.era,
          snapshot->service_count,     snapshot->evacuation_count };

  return msgpack_pack_array (packer, HEADER_ITEMS)
         | pack_numbers (packer, numbers, HEADER_ITEMS);
}

static int
pack_route (msgpack_packer *packer, const struct galena_route *route)
{
  const uint64_t numbers[ROUTE_ITEMS]
      = { pack_endpoint (route->address), route->work.kind,
          route->work.priority, route->work.aim_ms, route->work.timeout_ms };
  int failed = msgpack_pack_array (
      packer, ROUTE_ITEMS + SHARE_ITEMS * (size_t)route->share_count);

  failed |= pack_numbers (packer, numbers, ROUTE_ITEMS);
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

static int
pack_service (msgpack_packer *packer,
              const struct galena_service_limits *limits)
{
  const uint64_t numbers[SERVICE_ITEMS]
      = { limits->service, limits->warm_up_ms, limits->warm_up_per_s };

  return msgpack_pack_array (packer, SERVICE_ITEMS)
         | pack_numbers (packer, numbers, SERVICE_ITEMS);
}

static int
pack_evacuation (msgpack_packer *packer,
                 const struct galena_zone_evacuation *evacuation)
{
  const uint64_t numbers[EVACUATION_ITEMS]
      = { evacuation->zone, evacuation->in_force, evacuation->position.era,
          evacuation->position.revision };

  return msgpack_pack_array (packer, EVACUATION_ITEMS)
         | pack_numbers (packer, numbers, EVACUATION_ITEMS);
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
  for (uint32_t i = 0; i < snapshot->service_count; i++)
    failed |= pack_service (&packer, &snapshot->services[i])
              | append_item (&out, &item);
  for (uint32_t i = 0; i < snapshot->evacuation_count; i++)
    failed |= pack_evacuation (&packer, &snapshot->evacuations[i])
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
  /* Version of the snapshot's schema.  */
  uint64_t schema;
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

/* Decodes the items of a work class that follow the address of a route.  */
static enum galena_result
decode_work (const struct unpack_item *rows, struct galena_work_class *work)
{
  if (rows[0].value >= GALENA_WORK_KIND_COUNT || rows[1].value > UINT32_MAX
      || rows[2].value > UINT32_MAX || rows[3].value > UINT32_MAX)
    return GALENA_ERR_RANGE;
  work->kind = (enum galena_work_kind)rows[0].value;
  work->priority = (uint32_t)rows[1].value;
  work->aim_ms = (uint32_t)rows[2].value;
  work->timeout_ms = (uint32_t)rows[3].value;
  return GALENA_OK;
}

static enum galena_result
decode_route (struct source *source, struct galena_route *route)
{
  uint32_t first_share = SCHEMAS[source->schema].route_items;
  struct unpack_items items;
  enum galena_result result = decode_item (source, &items);

  if (result != GALENA_OK)
    return result;
  if (items.count < first_share || !are_numbers (&items, 0)
      || (items.count - first_share) % SHARE_ITEMS != 0)
    return GALENA_ERR_TYPE;
  route->share_count = (items.count - first_share) / SHARE_ITEMS;
  if (route->share_count > GALENA_ROUTE_SHARES_MAX)
    return GALENA_ERR_TOO_LARGE;
  if (first_share == ROUTE_ITEMS)
    result = decode_work (&items.rows[1], &route->work);
  if (result != GALENA_OK)
    return result;
  for (uint32_t i = 0; i < route->share_count; i++)
    {
      const struct unpack_item *share
          = &items.rows[first_share + (size_t)SHARE_ITEMS * i];

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
  if (items.count != SCHEMAS[source->schema].upstream_items
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
  if (items.count == UPSTREAM_ITEMS)
    upstream->sequence = rows[8].value;
  return GALENA_OK;
}

/* Decodes the next array, of COUNT numbers, into *ITEMS.  */
static enum galena_result
decode_numbers (struct source *source, uint32_t count,
                struct unpack_items *items)
{
  enum galena_result result = decode_item (source, items);

  if (result != GALENA_OK)
    return result;
  return items->count == count && are_numbers (items, 0) ? GALENA_OK
                                                         : GALENA_ERR_TYPE;
}

static enum galena_result
decode_service (struct source *source, struct galena_service_limits *limits)
{
  struct unpack_items items;
  enum galena_result result = decode_numbers (source, SERVICE_ITEMS, &items);

  if (result != GALENA_OK)
    return result;
  if (items.rows[1].value > INT32_MAX || items.rows[2].value > INT32_MAX)
    return GALENA_ERR_RANGE;
  limits->service = items.rows[0].value;
  limits->warm_up_ms = (uint32_t)items.rows[1].value;
  limits->warm_up_per_s = (uint32_t)items.rows[2].value;
  return GALENA_OK;
}

static enum galena_result
decode_evacuation (struct source *source,
                   struct galena_zone_evacuation *evacuation)
{
  struct unpack_items items;
  enum galena_result result
      = decode_numbers (source, EVACUATION_ITEMS, &items);

  if (result != GALENA_OK)
    return result;
  if (items.rows[1].value > 1)
    return GALENA_ERR_RANGE;
  evacuation->zone = items.rows[0].value;
  evacuation->in_force = items.rows[1].value != 0;
  evacuation->position = (struct galena_store_position){ items.rows[2].value,
                                                         items.rows[3].value };
  return GALENA_OK;
}

/* Returns whether each array that SNAPSHOT announces may be in the bytes left;
   checking this first avoids allocating more rows than the input can
   contain.  */
static bool
may_contain_rows (const struct source *source,
                  const struct galena_catalog_snapshot *snapshot)
{
  size_t rows = (size_t)snapshot->route_count + snapshot->upstream_count
                + snapshot->service_count + snapshot->evacuation_count;

  return rows * LENGTH_BYTES <= source->left;
}

/* Decodes the header into *SNAPSHOT.  */
static enum galena_result
decode_header (struct source *source, struct galena_catalog_snapshot *snapshot)
{
  struct unpack_items items = { 0 };
  enum galena_result result = decode_item (source, &items);
  const struct unpack_item *rows = items.rows;

  if (result != GALENA_OK)
    return result;
  if (items.count == 0 || !are_numbers (&items, 0))
    return GALENA_ERR_TYPE;
  source->schema = rows[0].value;
  if (source->schema == 0 || source->schema > GALENA_SNAPSHOT_SCHEMA)
    return GALENA_ERR_SCHEMA;
  if (items.count != SCHEMAS[source->schema].header_items)
    return GALENA_ERR_TYPE;
  /* The counts of an older schema's missing rows are 0.  */
  for (uint32_t i = items.count; i < HEADER_ITEMS; i++)
    items.rows[i].value = 0;
  if (rows[3].value > GALENA_SNAPSHOT_ROWS_MAX
      || rows[4].value > GALENA_SNAPSHOT_ROWS_MAX
      || rows[6].value > GALENA_SNAPSHOT_ROWS_MAX
      || rows[7].value > GALENA_SNAPSHOT_ROWS_MAX)
    return GALENA_ERR_TOO_LARGE;
  snapshot->version = rows[1].value;
  snapshot->position
      = (struct galena_store_position){ rows[5].value, rows[2].value };
  snapshot->route_count = (uint32_t)rows[3].value;
  snapshot->upstream_count = (uint32_t)rows[4].value;
  snapshot->service_count = (uint32_t)rows[6].value;
  snapshot->evacuation_count = (uint32_t)rows[7].value;
  return may_contain_rows (source, snapshot) ? GALENA_OK
                                             : GALENA_ERR_TRUNCATED;
}

/* Allocates the rows that the header of SNAPSHOT announces; false when memory
   is short.  */
static bool
allocate_rows (struct galena_catalog_snapshot *snapshot)
{
  snapshot->routes
      = calloc ((size_t)snapshot->route_count + 1, sizeof *snapshot->routes);
  snapshot->upstreams = calloc ((size_t)snapshot->upstream_count + 1,
                                sizeof *snapshot->upstreams);
  snapshot->services = calloc ((size_t)snapshot->service_count + 1,
                               sizeof *snapshot->services);
  snapshot->evacuations = calloc ((size_t)snapshot->evacuation_count + 1,
                                  sizeof *snapshot->evacuations);
  return snapshot->routes != NULL && snapshot->upstreams != NULL
         && snapshot->services != NULL && snapshot->evacuations != NULL;
}

/* Decodes the rows of SNAPSHOT, which are its own until it is passed on.  */
static enum galena_result
decode_rows (struct source *source,
             const struct galena_catalog_snapshot *snapshot)
{
  struct galena_route *routes = (struct galena_route *)snapshot->routes;
  struct galena_published_upstream *upstreams
      = (struct galena_published_upstream *)snapshot->upstreams;
  struct galena_service_limits *services
      = (struct galena_service_limits *)snapshot->services;
  struct galena_zone_evacuation *evacuations
      = (struct galena_zone_evacuation *)snapshot->evacuations;
  enum galena_result result = GALENA_OK;

  for (uint32_t i = 0; result == GALENA_OK && i < snapshot->route_count; i++)
    result = decode_route (source, &routes[i]);
  for (uint32_t i = 0; result == GALENA_OK && i < snapshot->upstream_count;
       i++)
    result = decode_upstream (source, &upstreams[i]);
  for (uint32_t i = 0; result == GALENA_OK && i < snapshot->service_count; i++)
    result = decode_service (source, &services[i]);
  for (uint32_t i = 0; result == GALENA_OK && i < snapshot->evacuation_count;
       i++)
    result = decode_evacuation (source, &evacuations[i]);
  if (result == GALENA_OK && source->left != 0)
    result = GALENA_ERR_TOO_LARGE;
  return result;
}

enum galena_result
galena_snapshot_decode (const uint8_t *bytes, size_t size,
                        struct galena_catalog_snapshot *snapshot)
{
  struct source source = { bytes, size, 0 };
  enum galena_result result;

  *snapshot = (struct galena_catalog_snapshot){ 0 };
  result = decode_header (&source, snapshot);
  if (result == GALENA_OK && !allocate_rows (snapshot))
    result = GALENA_ERR_MEMORY;
  if (result == GALENA_OK)
    result = decode_rows (&source, snapshot);
  if (result != GALENA_OK)
    galena_snapshot_release (snapshot);
  return result;
}

void
galena_snapshot_release (struct galena_catalog_snapshot *snapshot)
{
  free ((void *)snapshot->routes);
  free ((void *)snapshot->upstreams);
  free ((void *)snapshot->services);
  free ((void *)snapshot->evacuations);
  *snapshot = (struct galena_catalog_snapshot){ 0 };
}
