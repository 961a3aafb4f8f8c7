/* galenactl check: validates a service record and prints every fault.  */

#include <stdlib.h>

#include <jansson.h>

#include "arguments.h"
#include "record_file.h"

static void
print_service (const char *path, const struct galena_service *service)
{
  printf ("%s: service=%s generation=%llu schema=%u upstreams=%u kinds=%u\n",
          path, service->name, (unsigned long long)service->generation,
          service->schema, service->upstream_count, service->kind_count);
}

static void
print_json (const char *path, enum galena_result result,
            const struct galena_faults *faults)
{
  json_t *rows = json_array ();
  json_t *object;

  for (uint32_t i = 0; i < faults->count; i++)
    json_array_append_new (
        rows, json_pack ("{s:s, s:s, s:s}", "path", faults->rows[i].path,
                         "result", galena_result_name (faults->rows[i].result),
                         "allowed", faults->rows[i].allowed));
  object = json_pack ("{s:s, s:s, s:o}", "record", path, "result",
                      galena_result_name (result), "faults", rows);
  json_dumpf (object, stdout, JSON_COMPACT | JSON_PRESERVE_ORDER);
  putchar ('\n');
  json_decref (object);
}

int
run_check (const struct arguments *arguments)
{
  const char *path = arguments->positional[1];
  struct galena_service_record record;
  struct galena_faults faults;
  enum galena_result result = record_file_load (path, &record, &faults);

  if (arguments->json)
    print_json (path, result, &faults);
  else
    record_file_print_faults (path, &faults, stdout);
  if (result != GALENA_OK)
    return EXIT_FAILURE;
  if (!arguments->json)
    print_service (path, &record.service);
  galena_record_release (&record);
  return EXIT_SUCCESS;
}
