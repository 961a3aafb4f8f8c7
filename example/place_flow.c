/* Reads a service record and prints the candidate upstreams of a flow.

   Usage: example-place_flow RECORD FLOW  */

#include <stdio.h>
#include <stdlib.h>

#include <galenaford/record.h>

static enum galena_result
read_record (const char *path, struct galena_service_record *record)
{
  static char text[GALENA_RECORD_BYTES_MAX + 1];
  struct galena_faults faults = { 0 };
  FILE *file = fopen (path, "r");
  enum galena_result result;
  size_t size;

  if (file == NULL)
    return GALENA_ERR_IO;
  size = fread (text, 1, sizeof text, file);
  fclose (file);
  result = galena_record_parse (text, size, record, &faults);
  for (uint32_t i = 0; i < faults.count; i++)
    fprintf (stderr, "%s: allowed: %s\n", faults.rows[i].path,
             faults.rows[i].allowed);
  return result;
}

static void
print_candidates (const struct galena_config *config,
                  struct galena_flow_id flow)
{
  const struct galena_service *service = galena_config_service (config, 0);
  uint32_t chosen[GALENA_CANDIDATES_MAX];
  uint32_t count = galena_config_candidates (config, service, flow, chosen);

  printf ("service=%s bucket=%u\n", service->name,
          galena_service_bucket (service, flow));
  for (uint32_t i = 0; i < count; i++)
    {
      const struct galena_upstream *upstream
          = galena_config_upstream (config, chosen[i]);
      printf ("candidate=%u upstream=%u host=%s zone=%s\n", i + 1,
              upstream->number, upstream->host, upstream->zone);
    }
}

int
main (int argc, char **argv)
{
  struct galena_service_record record;
  struct galena_config_options options = { .service_count = 1 };
  struct galena_config *config;
  struct galena_flow_id flow = { 0, 0 };
  enum galena_result result;

  if (argc != 3)
    {
      fputs ("usage: RECORD FLOW\n", stderr);
      return 2;
    }
  result = read_record (argv[1], &record);
  if (result != GALENA_OK)
    return EXIT_FAILURE;
  flow.low = strtoull (argv[2], NULL, 10);
  options.services = &record.service;
  options.upstreams = record.upstreams;
  options.upstream_count = record.service.upstream_count;
  result = galena_config_create (&options, &config);
  if (result == GALENA_OK)
    {
      print_candidates (config, flow);
      galena_config_destroy (config);
    }
  galena_record_release (&record);
  return result == GALENA_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}
