/* Reading and parsing of record files.  */

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "record_file.h"

enum galena_result
record_file_read (const char *path, size_t bytes_max, char **text,
                  size_t *size)
{
  FILE *file = fopen (path, "r");
  enum galena_result result = GALENA_OK;

  if (file == NULL)
    {
      fprintf (stderr, "galenactl: %s: %s\n", path, strerror (errno));
      return GALENA_ERR_IO;
    }
  *text = malloc (bytes_max + 1);
  if (*text == NULL)
    result = GALENA_ERR_MEMORY;
  else
    *size = fread (*text, 1, bytes_max + 1, file);
  /* A folder can be opened but not read.  */
  if (result == GALENA_OK && ferror (file))
    {
      fprintf (stderr, "galenactl: %s: %s\n", path, strerror (errno));
      free (*text);
      result = GALENA_ERR_IO;
    }
  fclose (file);
  return result;
}

enum galena_result
record_file_load (const char *path, struct galena_service_record *record,
                  struct galena_faults *faults)
{
  char *text;
  size_t size;
  enum galena_result result
      = record_file_read (path, GALENA_RECORD_BYTES_MAX, &text, &size);

  faults->count = 0;
  if (result != GALENA_OK)
    return result;
  result = galena_record_parse (text, size, record, faults);
  free (text);
  return result;
}

void
record_file_print_faults (const char *path, const struct galena_faults *faults,
                          FILE *out)
{
  for (uint32_t i = 0; i < faults->count; i++)
    fprintf (out, "%s: %s: %s; allowed: %s\n", path, faults->rows[i].path,
             galena_result_name (faults->rows[i].result),
             faults->rows[i].allowed);
}
