/* Stand-in for an upstream.

   Usage: standin-upstream ADDRESS:PORT SERVICE SLOTS RUN_MS LOG [WARMUP_MS]

   POST /run holds one of SLOTS for RUN_MS and returns the request's body.  A
   body that begins with "feed" gets an endless answer and holds no slot; the
   answer starts at the event whose byte offset is in X-Galena-Resume.  Runs
   take WARMUP_FACTOR times as long in the first WARMUP_MS after the start.  A
   request that finds no free slot is refused with the header X-Galena-Not-Run.
   POST /cancel cancels a run; POST /drain makes the upstream refuse new runs.
   Any GET, such as /health or /load, returns the load, which is up to
   LOAD_LAG_MS old.  Each execution appends a line with SERVICE and the first
   word of the body to LOG.  */

#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <microhttpd.h>

#include <galenaford/monotonic.h>
#include <galenaford/record.h>

enum
{
  RUNS_MAX = 4096,
  ID_BYTES = 96,
  /* Interval at which a run checks whether it was cancelled.  */
  CANCEL_POLL_MS = 2,
  /* Interval between the events of an endless answer, and their size.  */
  EVENT_INTERVAL_MS = 250,
  EVENT_BYTES = 15,
  /* Interval at which the reported load is updated.  */
  LOAD_LAG_MS = 5000,
  WARMUP_FACTOR = 3,
  FIRST_WORD_BYTES = 64
};

struct run
{
  char id[ID_BYTES];
  bool used;
  bool cancelled;
  uint32_t events;
};

struct body
{
  char *bytes;
  size_t size;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct run runs[RUNS_MAX];
static unsigned slots;
static unsigned running;
static unsigned reported_running;
static struct galena_clock reported_at;
static unsigned run_ms;
static unsigned warmup_ms;
static struct galena_clock started;
static const char *service;
static FILE *log_file;
static bool draining;

static void
log_execution (const char *word)
{
  pthread_mutex_lock (&lock);
  fprintf (log_file, "%s %.*s\n", service, FIRST_WORD_BYTES, word);
  fflush (log_file);
  pthread_mutex_unlock (&lock);
}

/* Takes a row, and a slot if HOLDS_SLOT, for request ID.  Returns NULL if
   there is none or the upstream is draining.  */
static struct run *
begin_run (const char *id, bool holds_slot)
{
  struct run *run = NULL;

  pthread_mutex_lock (&lock);
  for (unsigned i = 0; i < RUNS_MAX && run == NULL && !draining; i++)
    if (!runs[i].used && (!holds_slot || running < slots))
      run = &runs[i];
  if (run != NULL)
    {
      *run = (struct run){ .used = true };
      snprintf (run->id, sizeof run->id, "%s", id == NULL ? "-" : id);
      running += holds_slot ? 1 : 0;
    }
  pthread_mutex_unlock (&lock);
  return run;
}

static void
end_run (struct run *run, bool holds_slot)
{
  pthread_mutex_lock (&lock);
  run->used = false;
  running -= holds_slot ? 1 : 0;
  pthread_mutex_unlock (&lock);
}

static bool
is_cancelled (const struct run *run)
{
  bool cancelled;

  pthread_mutex_lock (&lock);
  cancelled = run->cancelled;
  pthread_mutex_unlock (&lock);
  return cancelled;
}

static void
cancel (const char *id)
{
  pthread_mutex_lock (&lock);
  for (unsigned i = 0; i < RUNS_MAX; i++)
    if (runs[i].used && id != NULL && strcmp (runs[i].id, id) == 0)
      runs[i].cancelled = true;
  pthread_mutex_unlock (&lock);
}

/* Writes the next event of an endless answer after the interval.  */
static ssize_t
next_event (void *data, uint64_t at, char *bytes, size_t room)
{
  struct run *run = data;

  (void)at;
  usleep (EVENT_INTERVAL_MS * 1000);
  if (is_cancelled (run))
    return MHD_CONTENT_READER_END_OF_STREAM;
  return snprintf (bytes, room, "event=%08u\n", run->events++);
}

static void
end_feed (void *data)
{
  end_run (data, false);
}

static struct MHD_Response *
text_response (const char *text)
{
  return MHD_create_response_from_buffer (strlen (text), (void *)text,
                                          MHD_RESPMEM_MUST_COPY);
}

static enum MHD_Result
reply (struct MHD_Connection *connection, unsigned status,
       struct MHD_Response *response)
{
  enum MHD_Result result = MHD_queue_response (connection, status, response);

  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
refuse (struct MHD_Connection *connection)
{
  struct MHD_Response *response = text_response ("");

  MHD_add_response_header (response, "X-Galena-Not-Run", "1");
  return reply (connection, MHD_HTTP_SERVICE_UNAVAILABLE, response);
}

static unsigned
current_run_ms (void)
{
  int64_t age_ms = galena_clock_elapsed_ms (started, galena_monotonic_now ());

  return age_ms < warmup_ms ? run_ms * WARMUP_FACTOR : run_ms;
}

static void
simulate_work (const struct run *run)
{
  unsigned left = current_run_ms ();

  while (left > 0 && !is_cancelled (run))
    {
      unsigned step = left < CANCEL_POLL_MS ? left : CANCEL_POLL_MS;

      usleep (step * 1000);
      left -= step;
    }
}

/* Returns the number of the event at which an endless answer begins.  */
static uint32_t
resumed_event (struct MHD_Connection *connection)
{
  const char *at = MHD_lookup_connection_value (connection, MHD_HEADER_KIND,
                                                "X-Galena-Resume");

  return at == NULL ? 0 : (uint32_t)(strtoull (at, NULL, 10) / EVENT_BYTES);
}

static enum MHD_Result
execute (struct MHD_Connection *connection, const struct body *body)
{
  const char *id = MHD_lookup_connection_value (connection, MHD_HEADER_KIND,
                                                "X-Galena-Request");
  bool feed = body->size >= 4 && memcmp (body->bytes, "feed", 4) == 0;
  struct run *run = begin_run (id, !feed);
  char word[FIRST_WORD_BYTES + 1] = "";

  if (run == NULL)
    return refuse (connection);
  if (body->size > 0)
    sscanf (body->bytes, "%64s", word);
  log_execution (word);
  if (feed)
    run->events = resumed_event (connection);
  if (feed)
    return reply (connection, MHD_HTTP_OK,
                  MHD_create_response_from_callback (
                      MHD_SIZE_UNKNOWN, 1024, next_event, run, end_feed));
  simulate_work (run);
  end_run (run, true);
  return reply (connection, MHD_HTTP_OK,
                MHD_create_response_from_buffer (body->size, body->bytes,
                                                 MHD_RESPMEM_MUST_COPY));
}

static enum MHD_Result
send_load (struct MHD_Connection *connection)
{
  char text[64];
  struct galena_clock now = galena_monotonic_now ();

  pthread_mutex_lock (&lock);
  if (galena_clock_elapsed_ms (reported_at, now) >= LOAD_LAG_MS)
    {
      reported_running = running;
      reported_at = now;
    }
  snprintf (text, sizeof text, "running=%u slots=%u draining=%d\n",
            reported_running, slots, draining);
  pthread_mutex_unlock (&lock);
  return reply (connection, MHD_HTTP_OK, text_response (text));
}

static enum MHD_Result
finish_post (struct MHD_Connection *connection, const char *url,
             const struct body *body)
{
  if (strcmp (url, "/run") == 0)
    return execute (connection, body);
  if (strcmp (url, "/drain") == 0)
    draining = true;
  if (strcmp (url, "/cancel") == 0)
    cancel (MHD_lookup_connection_value (connection, MHD_HEADER_KIND,
                                         "X-Galena-Request"));
  return reply (connection, MHD_HTTP_OK, text_response ("ok\n"));
}

static enum MHD_Result
handle_request (void *data, struct MHD_Connection *connection, const char *url,
                const char *method, const char *version, const char *upload,
                size_t *upload_size, void **state)
{
  struct body *body = *state;

  (void)data, (void)version;
  if (strcmp (method, "GET") == 0)
    return send_load (connection);
  if (body == NULL)
    {
      *state = calloc (1, sizeof *body);
      return MHD_YES;
    }
  if (*upload_size > 0)
    {
      body->bytes = realloc (body->bytes, body->size + *upload_size + 1);
      memcpy (body->bytes + body->size, upload, *upload_size);
      body->size += *upload_size;
      body->bytes[body->size] = '\0';
      *upload_size = 0;
      return MHD_YES;
    }
  return finish_post (connection, url, body);
}

static void
completed (void *data, struct MHD_Connection *connection, void **state,
           enum MHD_RequestTerminationCode code)
{
  struct body *body = *state;

  (void)data, (void)connection, (void)code;
  if (body == NULL)
    return;
  free (body->bytes);
  free (body);
}

int
main (int argc, char **argv)
{
  struct galena_endpoint address;
  struct sockaddr_in bound = { .sin_family = AF_INET };

  if (argc < 6 || galena_endpoint_parse (argv[1], &address) != GALENA_OK)
    return 2;
  service = argv[2];
  slots = (unsigned)atoi (argv[3]);
  run_ms = (unsigned)atoi (argv[4]);
  log_file = fopen (argv[5], "a");
  warmup_ms = argc > 6 ? (unsigned)atoi (argv[6]) : 0;
  started = galena_monotonic_now ();
  bound.sin_addr.s_addr = htonl (address.ip);
  bound.sin_port = htons (address.port);
  if (log_file == NULL
      || MHD_start_daemon (
             MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
             address.port, NULL, NULL, handle_request, NULL,
             MHD_OPTION_SOCK_ADDR, &bound, MHD_OPTION_NOTIFY_COMPLETED,
             completed, NULL, MHD_OPTION_END)
             == NULL)
    return 1;
  for (;;)
    pause ();
}
