/* The routes, with an index by address, and the published upstreams.  */

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include <galenaford/directory.h>
#include <galenaford/map.h>

enum
{
  /* Services for which memory is allocated first.  */
  SERVICES_MIN = 8
};

struct galena_directory
{
  uint64_t version;
  uint64_t number;
  uint64_t unix_ms;
  uint32_t route_count;
  uint32_t upstream_count;
  uint32_t limits_count;
  uint32_t evacuation_count;
  struct galena_route *routes;
  struct galena_published_upstream *upstreams;
  struct galena_service_limits *limits;
  struct galena_zone_evacuation *evacuations;
  struct galena_store_position position;
  /* Indices of the routes by their addresses.  */
  struct galena_map *by_address;
  /* The services that routes name, each once.  */
  uint32_t service_count;
  uint32_t service_capacity;
  galena_service_key *services;
};

static const char *const WORK_KIND_NAMES[] = {
  [GALENA_WORK_UNKNOWN] = "unknown",
  [GALENA_WORK_IDEMPOTENT] = "idempotent",
  [GALENA_WORK_NON_IDEMPOTENT] = "non-idempotent",
  [GALENA_WORK_UPLOAD] = "upload",
  [GALENA_WORK_DOWNLOAD] = "download",
};

const char *
galena_work_kind_name (enum galena_work_kind kind)
{
  return WORK_KIND_NAMES[kind < GALENA_WORK_KIND_COUNT ? kind
                                                       : GALENA_WORK_UNKNOWN];
}

static uint64_t
address_key (struct galena_endpoint address)
{
  return ((uint64_t)address.ip << 16) | address.port;
}

galena_service_key
galena_service_key_of (const char *name)
{
  /* 0 stands for no service.  */
  return XXH64 (name, strlen (name), 0) | 1;
}

/* Returns a copy of COUNT rows of SIZE bytes; NULL only when memory is
   short.  */
static void *
copy_rows (const void *rows, uint32_t count, size_t size)
{
  void *copy = calloc ((size_t)count + 1, size);

  if (copy != NULL && count > 0)
    memcpy (copy, rows, count * size);
  return copy;
}

bool
galena_directory_routes_to (const struct galena_directory *directory,
                            galena_service_key service)
{
  for (uint32_t i = 0; i < directory->service_count; i++)
    if (directory->services[i] == service)
      return true;
  return false;
}

/* Adds SERVICE to the services of DIRECTORY, unless it is one of them; false
   when memory is short.  */
static bool
add_service (struct galena_directory *directory, galena_service_key service)
{
  if (galena_directory_routes_to (directory, service))
    return true;
  if (directory->service_count == directory->service_capacity)
    {
      uint32_t capacity = directory->service_capacity * 2 + SERVICES_MIN;
      galena_service_key *services
          = realloc (directory->services, capacity * sizeof *services);

      if (services == NULL)
        return false;
      directory->services = services;
      directory->service_capacity = capacity;
    }
  directory->services[directory->service_count++] = service;
  return true;
}

/* Indexes the routes of DIRECTORY and collects their services; false when
   memory is short.  */
static bool
index_routes (struct galena_directory *directory)
{
  for (uint32_t i = 0; i < directory->route_count; i++)
    {
      const struct galena_route *route = &directory->routes[i];

      if (galena_map_insert (directory->by_address,
                             address_key (route->address), i)
          == GALENA_ERR_FULL)
        return false;
      for (uint32_t k = 0; k < route->share_count; k++)
        if (!add_service (directory, route->shares[k].service))
          return false;
    }
  return true;
}

enum galena_result
galena_directory_create (const struct galena_directory_options *options,
                         struct galena_directory **out)
{
  static uint64_t numbers;
  struct galena_map_options map = { options->route_count + 1, 0 };
  struct galena_directory *directory = calloc (1, sizeof *directory);

  if (directory == NULL)
    return GALENA_ERR_MEMORY;
  directory->version = options->version;
  directory->number = __atomic_add_fetch (&numbers, 1, __ATOMIC_RELAXED);
  directory->unix_ms = options->unix_ms;
  directory->route_count = options->route_count;
  directory->upstream_count = options->upstream_count;
  directory->routes = copy_rows (options->routes, options->route_count,
                                 sizeof *options->routes);
  directory->upstreams = copy_rows (
      options->upstreams, options->upstream_count, sizeof *options->upstreams);
  directory->limits_count = options->service_count;
  directory->limits = copy_rows (options->services, options->service_count,
                                 sizeof *options->services);
  directory->evacuation_count = options->evacuation_count;
  directory->evacuations
      = copy_rows (options->evacuations, options->evacuation_count,
                   sizeof *options->evacuations);
  directory->position = options->position;
  if (directory->routes == NULL || directory->upstreams == NULL
      || directory->limits == NULL || directory->evacuations == NULL
      || galena_map_create (&map, &directory->by_address) != GALENA_OK
      || !index_routes (directory))
    goto fail;
  *out = directory;
  return GALENA_OK;

fail:
  galena_directory_destroy (directory);
  return GALENA_ERR_MEMORY;
}

void
galena_directory_destroy (struct galena_directory *directory)
{
  if (directory == NULL)
    return;
  galena_map_destroy (directory->by_address);
  free (directory->services);
  free (directory->routes);
  free (directory->upstreams);
  free (directory->limits);
  free (directory->evacuations);
  free (directory);
}

uint64_t
galena_directory_version (const struct galena_directory *directory)
{
  return directory->version;
}

uint64_t
galena_directory_number (const struct galena_directory *directory)
{
  return directory->number;
}

uint64_t
galena_directory_unix_ms (const struct galena_directory *directory)
{
  return directory->unix_ms;
}

struct galena_service_limits
galena_directory_service_limits (const struct galena_directory *directory,
                                 galena_service_key service)
{
  for (uint32_t i = 0; i < directory->limits_count; i++)
    if (directory->limits[i].service == service)
      return directory->limits[i];
  return (struct galena_service_limits){ .service = service };
}

struct galena_zone_evacuation
galena_directory_evacuation (const struct galena_directory *directory,
                             uint64_t zone)
{
  for (uint32_t i = 0; i < directory->evacuation_count; i++)
    if (directory->evacuations[i].zone == zone)
      return directory->evacuations[i];
  return (struct galena_zone_evacuation){ .zone = zone,
                                          .position = directory->position };
}

const struct galena_zone_evacuation *
galena_directory_evacuations (const struct galena_directory *directory,
                              uint32_t *count)
{
  *count = directory->evacuation_count;
  return directory->evacuations;
}

uint32_t
galena_directory_evacuated_zones (const struct galena_directory *directory)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < directory->evacuation_count; i++)
    count += directory->evacuations[i].in_force;
  return count;
}

const struct galena_route *
galena_directory_route (const struct galena_directory *directory,
                        struct galena_endpoint address)
{
  uint64_t index;

  if (!galena_map_find (directory->by_address, address_key (address), &index))
    return NULL;
  return &directory->routes[index];
}

const struct galena_route *
galena_directory_routes (const struct galena_directory *directory,
                         uint32_t *count)
{
  *count = directory->route_count;
  return directory->routes;
}

const struct galena_published_upstream *
galena_directory_upstreams (const struct galena_directory *directory,
                            uint32_t *count)
{
  *count = directory->upstream_count;
  return directory->upstreams;
}
