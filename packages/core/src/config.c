/* Snapshots of the records, with maps to look up services by address and
   upstreams by number.  */

#include <stdlib.h>
#include <string.h>

#include <galenaford/config.h>
#include <galenaford/map.h>

struct galena_config
{
  struct galena_service *services;
  uint32_t service_count;
  struct galena_upstream *upstreams;
  uint32_t upstream_count;
  /* From the address of a service to its index.  */
  struct galena_map *by_address;
  /* From the number of an upstream to its index.  */
  struct galena_map *by_number;
  /* When the process last became synced; 0 when not set.  */
  struct galena_clock renewed;
};

static uint64_t
address_key (struct galena_endpoint address)
{
  return ((uint64_t)address.ip << 16) | address.port;
}

static void *
copy_rows (const void *rows, uint32_t count, size_t row_size)
{
  void *copy = calloc (count == 0 ? 1 : count, row_size);

  if (copy != NULL && count > 0)
    memcpy (copy, rows, count * row_size);
  return copy;
}

static enum galena_result
index_services (struct galena_config *config)
{
  for (uint32_t i = 0; i < config->service_count; i++)
    {
      uint64_t key = address_key (config->services[i].address);
      enum galena_result result;

      if (key == 0)
        continue;
      result = galena_map_insert (config->by_address, key, i);
      if (result != GALENA_OK)
        return result;
    }
  return GALENA_OK;
}

static enum galena_result
index_upstreams (struct galena_config *config)
{
  for (uint32_t i = 0; i < config->upstream_count; i++)
    {
      uint64_t key = config->upstreams[i].number;
      enum galena_result result
          = galena_map_insert (config->by_number, key, i);
      if (result != GALENA_OK)
        return result;
    }
  return GALENA_OK;
}

static enum galena_result
create_map (uint32_t count, struct galena_map **out)
{
  struct galena_map_options options = { count + 1, 0 };

  return galena_map_create (&options, out);
}

enum galena_result
galena_config_create (const struct galena_config_options *options,
                      struct galena_config **out)
{
  struct galena_config *config = calloc (1, sizeof *config);
  enum galena_result result = GALENA_ERR_MEMORY;

  if (config == NULL)
    return GALENA_ERR_MEMORY;
  config->service_count = options->service_count;
  config->upstream_count = options->upstream_count;
  config->services = copy_rows (options->services, options->service_count,
                                sizeof *config->services);
  config->upstreams = copy_rows (options->upstreams, options->upstream_count,
                                 sizeof *config->upstreams);
  if (config->services == NULL || config->upstreams == NULL)
    goto fail;
  result = create_map (options->service_count, &config->by_address);
  if (result != GALENA_OK)
    goto fail;
  result = create_map (options->upstream_count, &config->by_number);
  if (result != GALENA_OK)
    goto fail;
  result = index_services (config);
  if (result != GALENA_OK)
    goto fail;
  result = index_upstreams (config);
  if (result != GALENA_OK)
    goto fail;
  *out = config;
  return GALENA_OK;

fail:
  galena_config_destroy (config);
  return result;
}

void
galena_config_destroy (struct galena_config *config)
{
  if (config == NULL)
    return;
  galena_map_destroy (config->by_address);
  galena_map_destroy (config->by_number);
  free (config->services);
  free (config->upstreams);
  free (config);
}

uint32_t
galena_config_service_count (const struct galena_config *config)
{
  return config->service_count;
}

uint32_t
galena_config_upstream_count (const struct galena_config *config)
{
  return config->upstream_count;
}

const struct galena_service *
galena_config_service (const struct galena_config *config, uint32_t index)
{
  return &config->services[index];
}

const struct galena_upstream *
galena_config_upstream (const struct galena_config *config, uint32_t index)
{
  return &config->upstreams[index];
}

const struct galena_service *
galena_config_service_at (const struct galena_config *config,
                          struct galena_endpoint address)
{
  uint64_t index;

  if (!galena_map_find (config->by_address, address_key (address), &index))
    return NULL;
  return &config->services[index];
}

const struct galena_service *
galena_config_service_numbered (const struct galena_config *config,
                                uint32_t number)
{
  for (uint32_t i = 0; i < config->service_count; i++)
    if (config->services[i].number == number)
      return &config->services[i];
  return NULL;
}

const struct galena_upstream *
galena_config_upstream_numbered (const struct galena_config *config,
                                 uint32_t number)
{
  uint64_t index;

  if (!galena_map_find (config->by_number, number, &index))
    return NULL;
  return &config->upstreams[index];
}

const struct galena_kind *
galena_service_kind (const struct galena_service *service, uint16_t number)
{
  for (uint32_t i = 0; i < service->kind_count; i++)
    if (service->kinds[i].number == number)
      return &service->kinds[i];
  return NULL;
}

void
galena_config_set_renewed (struct galena_config *config,
                           struct galena_clock now)
{
  config->renewed = now;
}

struct galena_clock
galena_config_renewed (const struct galena_config *config)
{
  return config->renewed;
}
