/* Rows of services and upstreams for snapshots.  */

#include <stdio.h>
#include <stdlib.h>

#include <galenaford/random.h>

#include "fixture.h"

static const uint32_t SERVICES_IP = 0x7f0a0000;

struct galena_endpoint
fixture_service_address (uint32_t index)
{
  return (struct galena_endpoint){ SERVICES_IP + index, 700 };
}

static void
fill_service (struct galena_service *service, uint32_t index,
              const struct fixture_options *options)
{
  uint64_t end = (uint64_t)(index + 1) * options->upstreams;

  service->number = index + 1;
  snprintf (service->name, sizeof service->name, "service-%u", index);
  service->address = fixture_service_address (index);
  service->generation = 1;
  service->schema = 2;
  service->first_upstream
      = (uint32_t)((uint64_t)index * options->upstreams / options->services);
  service->upstream_count
      = (uint32_t)(end / options->services) - service->first_upstream;
  service->kind_count = 1;
  service->kinds[0] = (struct galena_kind){ .name = "event",
                                            .deadline_ms = 10000,
                                            .minimum_share_percent = 50 };
}

static void
fill_upstream (struct galena_upstream *upstream, uint32_t index,
               uint32_t service, const struct fixture_options *options)
{
  upstream->number = index + 1;
  snprintf (upstream->host, sizeof upstream->host, "host-%u", index);
  snprintf (upstream->zone, sizeof upstream->zone, "zone-%u", index % 10);
  upstream->agent = options->agent;
  upstream->agent.port += (uint16_t)(index % options->agent_ports);
  upstream->slots = 3;
  upstream->connections = 1u << 20;
  upstream->weight = 1;
  upstream->service = service;
}

static void
fill_rows (const struct fixture_options *options,
           struct galena_service *services, struct galena_upstream *upstreams)
{
  for (uint32_t i = 0; i < options->services; i++)
    {
      uint32_t first;

      fill_service (&services[i], i, options);
      first = services[i].first_upstream;
      for (uint32_t j = 0; j < services[i].upstream_count; j++)
        fill_upstream (&upstreams[first + j], first + j, i, options);
    }
}

enum galena_result
fixture_config (const struct fixture_options *options,
                struct galena_config **out)
{
  struct galena_service *services
      = calloc (options->services, sizeof *services);
  struct galena_upstream *upstreams
      = calloc (options->upstreams, sizeof *upstreams);
  struct galena_config_options config
      = { services, options->services, upstreams, options->upstreams };
  enum galena_result result = GALENA_ERR_MEMORY;

  if (services != NULL && upstreams != NULL)
    {
      fill_rows (options, services, upstreams);
      result = galena_config_create (&config, out);
    }
  free (services);
  free (upstreams);
  return result;
}

struct galena_flow_id
fixture_flow (struct galena_random *random)
{
  struct galena_flow_id flow;

  flow.high = galena_random_next (random);
  flow.low = galena_random_next (random);
  return flow;
}
