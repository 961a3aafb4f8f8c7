/* One row a service.  */

#include <stdlib.h>
#include <string.h>

#include <galenaford/map.h>
#include <galenaford/table.h>

#include "texts.h"

struct text_row
{
  uint64_t digest;
  char *text;
  size_t size;
};

struct texts
{
  struct galena_table *rows;
  struct galena_map *by_service;
};

enum galena_result
texts_create (uint32_t services, struct texts **out)
{
  struct galena_table_options rows = { sizeof (struct text_row), services };
  struct galena_map_options by_service = { services, 0 };
  struct texts *texts = calloc (1, sizeof *texts);
  enum galena_result result;

  if (texts == NULL)
    return GALENA_ERR_MEMORY;
  result = galena_table_create (&rows, &texts->rows);
  if (result == GALENA_OK)
    result = galena_map_create (&by_service, &texts->by_service);
  if (result != GALENA_OK)
    {
      texts_destroy (texts);
      return result;
    }
  *out = texts;
  return GALENA_OK;
}

void
texts_destroy (struct texts *texts)
{
  struct text_row *row;
  struct galena_handle handle;
  uint32_t cursor = 0;

  if (texts == NULL)
    return;
  while (texts->rows != NULL
         && (row = galena_table_next (texts->rows, &cursor, &handle)) != NULL)
    free (row->text);
  galena_table_destroy (texts->rows);
  galena_map_destroy (texts->by_service);
  free (texts);
}

static struct text_row *
find_row (const struct texts *texts, uint32_t service)
{
  uint64_t packed;

  if (!galena_map_find (texts->by_service, service, &packed))
    return NULL;
  return galena_table_get (texts->rows, galena_handle_unpack (packed));
}

enum galena_result
texts_put (struct texts *texts, uint32_t service, uint64_t digest,
           const char *text, size_t size)
{
  struct text_row *row = find_row (texts, service);
  char *copy = malloc (size + 1);
  struct galena_handle handle;

  if (copy == NULL)
    return GALENA_ERR_MEMORY;
  if (row == NULL)
    {
      row = galena_table_insert (texts->rows, &handle);
      if (row == NULL)
        {
          free (copy);
          return GALENA_ERR_FULL;
        }
      galena_map_insert (texts->by_service, service,
                         galena_handle_pack (handle));
    }
  memcpy (copy, text, size);
  free (row->text);
  *row = (struct text_row){ digest, copy, size };
  return GALENA_OK;
}

const char *
texts_find (const struct texts *texts, uint32_t service, uint64_t digest,
            size_t *size)
{
  const struct text_row *row = find_row (texts, service);

  if (row == NULL || row->digest != digest)
    return NULL;
  *size = row->size;
  return row->text;
}
