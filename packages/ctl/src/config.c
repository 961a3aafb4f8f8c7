/* galenactl config: validates a configuration of the front end `packets'
   before the operator sends it, and shows what differs from the version in
   force.  */

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include <galenaford/platform/config.h>

#include "arguments.h"
#include "record_file.h"

static const char *const SEVERITIES[GALENA_FINDING_SEVERITY_COUNT] = {
  [GALENA_FINDING_ERROR] = "error",
  [GALENA_FINDING_WARNING] = "warning",
  [GALENA_FINDING_CHANGE] = "change",
};

/* Decodes the file at PATH.  Errors: GALENA_ERR_IO, and those of
   galena_platform_config_parse.  */
static enum galena_result
load_config (const char *path, struct galena_config_findings *findings,
             struct galena_platform_config *config)
{
  char *text;
  size_t size;
  enum galena_result result = record_file_read (
      path, GALENA_PLATFORM_CONFIG_BYTES_MAX, &text, &size);

  if (result != GALENA_OK)
    return result;
  result = galena_platform_config_parse (text, size, findings, config);
  free (text);
  return result;
}

/* Prints the text of a finding; names may hold any character, and a line break
   would pretend to be another finding.  */
static void
print_clean (const char *text)
{
  for (; *text != '\0'; text++)
    putchar (iscntrl ((unsigned char)*text) ? '?' : *text);
}

/* Prints FINDING of the file at PATH on one line.  */
static void
print_finding (const char *path, const struct galena_config_finding *finding)
{
  const struct galena_config_place *at = &finding->at;
  bool line = strcmp (at->list, "line") == 0;

  fputs (path, stdout);
  if (line)
    printf (":%u", at->index);
  printf (": %s: ", SEVERITIES[finding->severity]);
  if (!line && at->list[0] != '\0')
    {
      printf ("%s[%u] \"", at->list, at->index);
      print_clean (at->name);
      fputs ("\" ", stdout);
    }
  if (finding->field[0] != '\0')
    printf ("%s: ", finding->field);
  print_clean (finding->reason);
  putchar ('\n');
}

static void
print_text (const char *path, const struct galena_config_rows *rows,
            const struct galena_config_findings *findings)
{
  for (uint32_t i = 0; i < findings->count; i++)
    print_finding (path, &findings->rows[i]);
  printf ("%s: version=%llu routes=%u services=%u errors=%u warnings=%u\n",
          path, (unsigned long long)rows->version, rows->route_count,
          rows->service_count, findings->by_severity[GALENA_FINDING_ERROR],
          findings->by_severity[GALENA_FINDING_WARNING]);
}

static void
print_json (const char *path, const struct galena_config_rows *rows,
            const struct galena_config_findings *findings)
{
  json_t *items = json_array ();
  json_t *object;

  for (uint32_t i = 0; i < findings->count; i++)
    {
      const struct galena_config_finding *finding = &findings->rows[i];

      json_array_append_new (
          items,
          json_pack ("{s:s, s:s, s:i, s:s, s:s, s:s}", "severity",
                     SEVERITIES[finding->severity], "place", finding->at.list,
                     "index", (int)finding->at.index, "name", finding->at.name,
                     "field", finding->field, "reason", finding->reason));
    }
  object = json_pack (
      "{s:s, s:I, s:I, s:I, s:I, s:I, s:o}", "file", path, "version",
      (json_int_t)rows->version, "routes", (json_int_t)rows->route_count,
      "services", (json_int_t)rows->service_count, "errors",
      (json_int_t)findings->by_severity[GALENA_FINDING_ERROR], "warnings",
      (json_int_t)findings->by_severity[GALENA_FINDING_WARNING], "findings",
      items);
  json_dumpf (object, stdout, JSON_COMPACT | JSON_PRESERVE_ORDER);
  putchar ('\n');
  json_decref (object);
}

/* Checks CONFIG and compares it with OLD as ARGUMENTS say.  Returns the exit
   code.  */
static int
check (const struct arguments *arguments,
       struct galena_platform_config *config,
       struct galena_platform_config *old,
       struct galena_config_findings *findings)
{
  enum galena_result result
      = load_config (arguments->positional[1], findings, config);

  if (result == GALENA_ERR_IO || result == GALENA_ERR_MEMORY)
    return EXIT_USAGE;
  if (result != GALENA_OK)
    return EXIT_FAILURE;
  galena_config_check (&config->rows, findings);
  if (arguments->against != NULL)
    {
      result = load_config (arguments->against, NULL, old);
      if (result != GALENA_OK && result != GALENA_ERR_IO)
        fprintf (stderr, "galenactl: %s: not a configuration: %s\n",
                 arguments->against, galena_result_name (result));
      if (result != GALENA_OK)
        return EXIT_USAGE;
      galena_config_compare (&old->rows, &config->rows, findings);
    }
  return findings->by_severity[GALENA_FINDING_ERROR] > 0 ? EXIT_FAILURE
                                                         : EXIT_SUCCESS;
}

int
run_config (const struct arguments *arguments)
{
  const char *path = arguments->positional[1];
  struct galena_config_findings findings = { 0 };
  struct galena_platform_config config = { 0 };
  struct galena_platform_config old = { 0 };
  int status = check (arguments, &config, &old, &findings);

  if (status != EXIT_USAGE && arguments->json)
    print_json (path, &config.rows, &findings);
  else if (status != EXIT_USAGE)
    print_text (path, &config.rows, &findings);
  galena_config_findings_release (&findings);
  galena_platform_config_release (&config);
  galena_platform_config_release (&old);
  return status;
}
