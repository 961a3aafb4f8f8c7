/* Concurrent HTTP reads with libcurl's multi interface.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include <galenaford/reads.h>
#include <galenaford/table.h>

enum
{
  URL_BYTES = 1024,
  BASE_URL_BYTES = URL_BYTES / 4,
  HTTP_STATUS_OK = 200,
  INITIAL_CAPACITY_BYTES = 4096,
  WAIT_FDS_MAX = 64
};

struct read_row
{
  struct galena_handle self;
  CURL *curl;
  uint64_t user_data;
  char *text;
  size_t size;
  size_t capacity;
  size_t bytes_max;
};

struct galena_reads
{
  CURLM *multi;
  struct galena_table *rows;
  char base_url[BASE_URL_BYTES];
  uint32_t connect_timeout_ms;
  size_t bytes_max;
  const char *header;
  /* Response of the read that galena_reads_next returned last.  */
  char *text;
};

static bool
grow (struct read_row *row, size_t needed)
{
  size_t capacity
      = row->capacity == 0 ? INITIAL_CAPACITY_BYTES : row->capacity;
  char *text;

  if (needed > row->bytes_max)
    return false;
  while (capacity < needed)
    capacity *= 2;
  if (capacity == row->capacity)
    return true;
  text = realloc (row->text, capacity);
  if (text == NULL)
    return false;
  row->text = text;
  row->capacity = capacity;
  return true;
}

static size_t
on_bytes (char *bytes, size_t unit, size_t count, void *data)
{
  struct read_row *row = data;
  size_t size = unit * count;

  if (!grow (row, row->size + size))
    return 0;
  memcpy (row->text + row->size, bytes, size);
  row->size += size;
  return size;
}

enum galena_result
galena_reads_create (const struct galena_reads_options *options,
                     struct galena_reads **out)
{
  struct galena_table_options rows
      = { sizeof (struct read_row), options->reads_max };
  struct galena_reads *reads = calloc (1, sizeof *reads);
  enum galena_result result;

  if (reads == NULL)
    return GALENA_ERR_MEMORY;
  snprintf (reads->base_url, sizeof reads->base_url, "%s", options->base_url);
  reads->connect_timeout_ms = options->connect_timeout_ms;
  reads->bytes_max = options->bytes_max;
  reads->header = options->header;
  result = galena_table_create (&rows, &reads->rows);
  if (result != GALENA_OK)
    goto fail;
  reads->multi = curl_multi_init ();
  if (reads->multi == NULL)
    {
      result = GALENA_ERR_MEMORY;
      goto fail;
    }
  *out = reads;
  return GALENA_OK;

fail:
  galena_reads_destroy (reads);
  return result;
}

/* Removes ROW; its text is not freed.  */
static void
end_read (struct galena_reads *reads, struct read_row *row)
{
  curl_multi_remove_handle (reads->multi, row->curl);
  curl_easy_cleanup (row->curl);
  galena_table_remove (reads->rows, row->self);
}

void
galena_reads_destroy (struct galena_reads *reads)
{
  struct read_row *row;
  struct galena_handle handle;
  uint32_t cursor = 0;

  if (reads == NULL)
    return;
  while (reads->rows != NULL
         && (row = galena_table_next (reads->rows, &cursor, &handle)) != NULL)
    {
      free (row->text);
      end_read (reads, row);
    }
  galena_table_destroy (reads->rows);
  if (reads->multi != NULL)
    curl_multi_cleanup (reads->multi);
  free (reads->text);
  free (reads);
}

static void
set_options (const struct galena_reads *reads, struct read_row *row,
             const char *url, uint32_t timeout_ms)
{
  CURL *curl = row->curl;

  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, on_bytes);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, row);
  curl_easy_setopt (curl, CURLOPT_PRIVATE, row);
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)reads->connect_timeout_ms);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
}

enum galena_result
galena_reads_start (struct galena_reads *reads, const char *path,
                    uint32_t timeout_ms, uint64_t user_data)
{
  char url[URL_BYTES];
  struct galena_handle handle;
  struct read_row *row = galena_table_insert (reads->rows, &handle);

  if (row == NULL)
    return GALENA_ERR_FULL;
  row->self = handle;
  row->user_data = user_data;
  row->bytes_max = reads->bytes_max;
  row->curl = curl_easy_init ();
  if (row->curl == NULL)
    {
      galena_table_remove (reads->rows, handle);
      return GALENA_ERR_MEMORY;
    }
  snprintf (url, sizeof url, "%s%s", reads->base_url, path);
  set_options (reads, row, url, timeout_ms);
  if (curl_multi_add_handle (reads->multi, row->curl) != CURLM_OK)
    {
      end_read (reads, row);
      return GALENA_ERR_MEMORY;
    }
  return GALENA_OK;
}

void
galena_reads_cancel (struct galena_reads *reads, uint64_t user_data)
{
  struct read_row *row;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((row = galena_table_next (reads->rows, &cursor, &handle)) != NULL)
    if (row->user_data == user_data)
      {
        free (row->text);
        end_read (reads, row);
      }
}

void
galena_reads_interrupt (struct galena_reads *reads)
{
  curl_multi_wakeup (reads->multi);
}

void
galena_reads_wait (struct galena_reads *reads, const struct pollfd *fds,
                   uint32_t count, uint32_t timeout_ms)
{
  struct curl_waitfd waits[WAIT_FDS_MAX] = { 0 };
  int running;

  if (count > WAIT_FDS_MAX)
    count = WAIT_FDS_MAX;
  for (uint32_t i = 0; i < count; i++)
    {
      waits[i].fd = fds[i].fd;
      if ((fds[i].events & POLLIN) != 0)
        waits[i].events |= CURL_WAIT_POLLIN;
      if ((fds[i].events & POLLOUT) != 0)
        waits[i].events |= CURL_WAIT_POLLOUT;
    }
  curl_multi_perform (reads->multi, &running);
  /* Fewer transfers run than there are rows: a read has ended that
     galena_reads_next has not returned yet.  curl_multi_poll would not return
     for it, so don't wait.  */
  if ((uint32_t)running < galena_table_count (reads->rows))
    timeout_ms = 0;
  curl_multi_poll (reads->multi, waits, count, (int)timeout_ms, NULL);
  curl_multi_perform (reads->multi, &running);
}

static enum galena_result
result_of (CURLcode code, uint32_t status)
{
  if (code == CURLE_WRITE_ERROR)
    return GALENA_ERR_TOO_LARGE;
  if (code != CURLE_OK)
    return GALENA_ERR_IO;
  return status == HTTP_STATUS_OK ? GALENA_OK : GALENA_ERR_NOT_FOUND;
}

/* Returns the HTTP status of a read that ended with CODE, or 0.  */
static uint32_t
status_of (CURL *curl, CURLcode code)
{
  long status = 0;

  if (code == CURLE_OK)
    curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  return (uint32_t)status;
}

/* Copies the header of READS in the response of CURL to VALUE.  */
static void
copy_header (const struct galena_reads *reads, CURL *curl, char *value)
{
  struct curl_header *header;

  *value = '\0';
  if (reads->header != NULL
      && curl_easy_header (curl, reads->header, 0, CURLH_HEADER, -1, &header)
             == CURLHE_OK)
    snprintf (value, GALENA_READS_HEADER_BYTES, "%s", header->value);
}

bool
galena_reads_next (struct galena_reads *reads,
                   struct galena_completed_read *completed)
{
  struct read_row *row = NULL;
  CURLMsg *message;
  uint32_t status;
  int left;

  do
    message = curl_multi_info_read (reads->multi, &left);
  while (message != NULL && message->msg != CURLMSG_DONE);
  if (message == NULL)
    return false;
  curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, (char **)&row);
  free (reads->text);
  reads->text = row->text;
  status = status_of (message->easy_handle, message->data.result);
  *completed = (struct galena_completed_read){
    .user_data = row->user_data,
    .result = result_of (message->data.result, status),
    .status = status,
    .text = row->text,
    .size = row->size,
  };
  copy_header (reads, message->easy_handle, completed->header);
  end_read (reads, row);
  return true;
}
