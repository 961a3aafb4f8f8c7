/* Stand-in for the platform's configuration service.

   Usage: standin-platform ADDRESS:PORT FOLDER

   GET /services/NAME returns FOLDER/NAME.json.  GET /index returns an index of
   all services; with after=G, wait_ms=W and era=E it waits up to W ms for a
   generation of the index above G, or for another era than E.  The era is the
   number in FOLDER/era, 0 without that file: raise it when the folder is
   replaced by an older copy.  GET /instances returns FOLDER/instances,
   the list of instances, if the file exists.  */

#include <dirent.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <jansson.h>
#include <microhttpd.h>

#include <galenaford/record.h>

enum
{
  PATH_BYTES = 512,
  /* Interval at which a waiting request reads the folder again.  */
  WATCH_POLL_MS = 50
};

static const char *folder;
static atomic_ullong reads;

static void
sleep_ms (unsigned ms)
{
  struct timespec time = { ms / 1000, (long)(ms % 1000) * 1000000 };

  nanosleep (&time, NULL);
}

static json_t *
load_record (const char *name)
{
  char path[PATH_BYTES];

  snprintf (path, sizeof path, "%s/%s.json", folder, name);
  return json_load_file (path, 0, NULL);
}

/* Adds the record in FILE to ROWS, and its generation to GENERATION.  */
static void
add_row (json_t *rows, const char *file, json_int_t *generation)
{
  char name[GALENA_NAME_BYTES];
  json_t *record;

  if (strlen (file) <= 5 || strlen (file) - 5 >= sizeof name
      || strcmp (file + strlen (file) - 5, ".json") != 0)
    return;
  snprintf (name, sizeof name, "%.*s", (int)(strlen (file) - 5), file);
  record = load_record (name);
  if (record == NULL)
    return;
  *generation += json_integer_value (json_object_get (record, "generation"));
  json_array_append_new (
      rows, json_pack ("{s:s,s:O,s:O}", "name", name, "number",
                       json_object_get (record, "number"), "generation",
                       json_object_get (record, "generation")));
  json_decref (record);
}

static json_int_t
read_era (void)
{
  char path[PATH_BYTES];
  long long era = 0;
  FILE *file;

  snprintf (path, sizeof path, "%s/era", folder);
  file = fopen (path, "r");
  if (file == NULL)
    return 0;
  if (fscanf (file, "%lld", &era) != 1)
    era = 0;
  fclose (file);
  return era;
}

/* Returns the text of the index, which the caller frees, and sets GENERATION
   to the sum of the generations of all records.  */
static char *
make_index (json_int_t *generation)
{
  json_t *rows = json_array ();
  DIR *directory = opendir (folder);
  struct dirent *file;
  json_t *index;
  char *text;

  *generation = 0;
  while (directory != NULL && (file = readdir (directory)) != NULL)
    add_row (rows, file->d_name, generation);
  if (directory != NULL)
    closedir (directory);
  index = json_pack ("{s:i,s:I,s:I,s:o}", "schema", 1, "era", read_era (),
                     "generation", *generation, "services", rows);
  text = json_dumps (index, JSON_COMPACT);
  json_decref (index);
  return text;
}

static long long
query_argument (struct MHD_Connection *connection, const char *name)
{
  const char *text
      = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, name);

  return text == NULL ? 0 : atoll (text);
}

/* Returns the index, which the caller frees, after the wait that the request
   asks for.  */
static char *
watch_index (struct MHD_Connection *connection)
{
  long long after = query_argument (connection, "after");
  long long left_ms = query_argument (connection, "wait_ms");
  json_int_t generation;
  char *text = make_index (&generation);

  while (generation <= after && left_ms > 0
         && read_era () == query_argument (connection, "era"))
    {
      sleep_ms (WATCH_POLL_MS);
      left_ms -= WATCH_POLL_MS;
      free (text);
      text = make_index (&generation);
    }
  return text;
}

/* Returns the content of the file at PATH, or NULL.  The caller frees it.  */
static char *
read_text (const char *path)
{
  char *text = calloc (1, GALENA_RECORD_BYTES_MAX);
  FILE *file = fopen (path, "r");

  if (file == NULL || text == NULL)
    {
      if (file != NULL)
        fclose (file);
      free (text);
      return NULL;
    }
  fread (text, 1, GALENA_RECORD_BYTES_MAX - 1, file);
  fclose (file);
  return text;
}

static char *
read_service (const char *name)
{
  char path[PATH_BYTES];

  snprintf (path, sizeof path, "%s/%s.json", folder, name);
  return strchr (name, '/') == NULL ? read_text (path) : NULL;
}

static char *
read_instances (void)
{
  char path[PATH_BYTES];

  snprintf (path, sizeof path, "%s/instances", folder);
  return read_text (path);
}

static enum MHD_Result
handle_request (void *data, struct MHD_Connection *connection, const char *url,
                const char *method, const char *version, const char *upload,
                size_t *upload_size, void **state)
{
  static char empty[] = "";
  char *text = NULL;
  unsigned status = MHD_HTTP_OK;
  struct MHD_Response *response;
  enum MHD_Result result;

  (void)data, (void)method, (void)version, (void)upload, (void)upload_size;
  (void)state;
  atomic_fetch_add (&reads, 1);
  if (strcmp (url, "/index") == 0)
    text = watch_index (connection);
  else if (strcmp (url, "/instances") == 0)
    text = read_instances ();
  else if (strncmp (url, "/services/", 10) == 0)
    text = read_service (url + 10);
  if (text == NULL)
    status = MHD_HTTP_NOT_FOUND;
  response = MHD_create_response_from_buffer (
      text == NULL ? 0 : strlen (text), text == NULL ? empty : text,
      text == NULL ? MHD_RESPMEM_PERSISTENT : MHD_RESPMEM_MUST_FREE);
  result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

int
main (int argc, char **argv)
{
  struct galena_endpoint address;
  struct sockaddr_in bound = { .sin_family = AF_INET };

  if (argc != 3 || galena_endpoint_parse (argv[1], &address) != GALENA_OK)
    return 2;
  folder = argv[2];
  bound.sin_addr.s_addr = htonl (address.ip);
  bound.sin_port = htons (address.port);
  if (MHD_start_daemon (MHD_USE_THREAD_PER_CONNECTION
                            | MHD_USE_INTERNAL_POLLING_THREAD,
                        address.port, NULL, NULL, handle_request, NULL,
                        MHD_OPTION_SOCK_ADDR, &bound, MHD_OPTION_END)
      == NULL)
    return 1;
  for (;;)
    pause ();
}
