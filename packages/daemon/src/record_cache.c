/* A table with one row for each service, indexed by service number.  */

#include <stdlib.h>
#include <string.h>

#include <galenaford/map.h>
#include <galenaford/table.h>

#include "record_cache.h"

struct cached_record
{
  uint64_t digest;
  char *text;
  size_t size;
};

struct record_cache
{
  struct galena_table *rows;
  struct galena_map *by_service;
};

enum galena_result
record_cache_create (uint32_t services, struct record_cache **out)
{
  struct galena_table_options rows
      = { sizeof (struct cached_record), services };
  struct galena_map_options by_service = { services, 0 };
  struct record_cache *cache = calloc (1, sizeof *cache);
  enum galena_result result;

  if (cache == NULL)
    return GALENA_ERR_MEMORY;
  result = galena_table_create (&rows, &cache->rows);
  if (result == GALENA_OK)
    result = galena_map_create (&by_service, &cache->by_service);
  if (result != GALENA_OK)
    {
      record_cache_destroy (cache);
      return result;
    }
  *out = cache;
  return GALENA_OK;
}

void
record_cache_destroy (struct record_cache *cache)
{
  struct cached_record *record;
  struct galena_handle handle;
  uint32_t cursor = 0;

  if (cache == NULL)
    return;
  while (cache->rows != NULL
         && (record = galena_table_next (cache->rows, &cursor, &handle))
                != NULL)
    free (record->text);
  galena_table_destroy (cache->rows);
  galena_map_destroy (cache->by_service);
  free (cache);
}

static struct cached_record *
find_record (const struct record_cache *cache, uint32_t service)
{
  uint64_t packed;

  if (!galena_map_find (cache->by_service, service, &packed))
    return NULL;
  return galena_table_get (cache->rows, galena_handle_unpack (packed));
}

enum galena_result
record_cache_put (struct record_cache *cache, uint32_t service,
                  uint64_t digest, const char *text, size_t size)
{
  struct cached_record *record = find_record (cache, service);
  char *copy = malloc (size + 1);
  struct galena_handle handle;

  if (copy == NULL)
    return GALENA_ERR_MEMORY;
  if (record == NULL)
    {
      record = galena_table_insert (cache->rows, &handle);
      if (record == NULL)
        {
          free (copy);
          return GALENA_ERR_FULL;
        }
      galena_map_insert (cache->by_service, service,
                         galena_handle_pack (handle));
    }
  memcpy (copy, text, size);
  free (record->text);
  *record = (struct cached_record){ digest, copy, size };
  return GALENA_OK;
}

const char *
record_cache_find (const struct record_cache *cache, uint32_t service,
                   uint64_t digest, size_t *size)
{
  const struct cached_record *record = find_record (cache, service);

  if (record == NULL || record->digest != digest)
    return NULL;
  *size = record->size;
  return record->text;
}
