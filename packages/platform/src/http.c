/* A reader on one libcurl handle.  */

#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include <galenaford/http.h>

enum
{
  ADDRESS_BYTES = 512,
  CONNECT_TIMEOUT_MS = 1000,
  STATUS_OK = 200
};

struct galena_http
{
  CURL *curl;
  char base[ADDRESS_BYTES / 2];
  size_t bytes_max;
  char *text;
  size_t size;
  atomic_int aborted;
};

static size_t
take_bytes (char *bytes, size_t unit, size_t count, void *data)
{
  struct galena_http *http = data;
  size_t size = unit * count;

  if (size > http->bytes_max - http->size)
    return 0;
  memcpy (http->text + http->size, bytes, size);
  http->size += size;
  return size;
}

static int
check_abort (void *data, curl_off_t a, curl_off_t b, curl_off_t c,
             curl_off_t d)
{
  struct galena_http *http = data;

  (void)a;
  (void)b;
  (void)c;
  (void)d;
  return atomic_load (&http->aborted);
}

static void
set_options (struct galena_http *http)
{
  CURL *curl = http->curl;

  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, take_bytes);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, http);
  curl_easy_setopt (curl, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt (curl, CURLOPT_XFERINFOFUNCTION, check_abort);
  curl_easy_setopt (curl, CURLOPT_XFERINFODATA, http);
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
}

enum galena_result
galena_http_create (const struct galena_http_options *options,
                    struct galena_http **out)
{
  struct galena_http *http = calloc (1, sizeof *http);

  if (http == NULL)
    return GALENA_ERR_MEMORY;
  snprintf (http->base, sizeof http->base, "%s", options->base);
  http->bytes_max = options->bytes_max;
  http->text = malloc (options->bytes_max);
  http->curl = curl_easy_init ();
  if (http->text == NULL || http->curl == NULL)
    {
      galena_http_destroy (http);
      return GALENA_ERR_MEMORY;
    }
  set_options (http);
  *out = http;
  return GALENA_OK;
}

void
galena_http_destroy (struct galena_http *http)
{
  if (http == NULL)
    return;
  if (http->curl != NULL)
    curl_easy_cleanup (http->curl);
  free (http->text);
  free (http);
}

enum galena_result
galena_http_get (struct galena_http *http, const char *path,
                 uint32_t timeout_ms, const char **text, size_t *size)
{
  char address[ADDRESS_BYTES];
  CURLcode code;
  long status = 0;

  snprintf (address, sizeof address, "%s%s", http->base, path);
  http->size = 0;
  curl_easy_setopt (http->curl, CURLOPT_URL, address);
  curl_easy_setopt (http->curl, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
  code = curl_easy_perform (http->curl);
  if (code == CURLE_WRITE_ERROR)
    return GALENA_ERR_TOO_LARGE;
  if (code != CURLE_OK)
    return GALENA_ERR_IO;
  curl_easy_getinfo (http->curl, CURLINFO_RESPONSE_CODE, &status);
  if (status != STATUS_OK)
    return GALENA_ERR_NOT_FOUND;
  *text = http->text;
  *size = http->size;
  return GALENA_OK;
}

void
galena_http_abort (struct galena_http *http)
{
  atomic_store (&http->aborted, 1);
}
