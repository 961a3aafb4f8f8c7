/* Stand-in for the callers: sends the requests described in a load file for
   SECONDS, prints a table of their outcomes, and exits with 1 if an answer was
   wrong.

   Usage: standin-caller ADDRESS:PORT FABRIC:PORT SECONDS LOAD

   Each section of LOAD is a kind of work, with the keys service (address),
   kind (number), rate (requests per second, 0 for feeds), feeds (number of
   endless requests, opened at the start), body (bytes), idempotent and
   deadline_ms.  */

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include <ini.h>

#include <galenaford/caller.h>
#include <galenaford/link.h>
#include <galenaford/monotonic.h>
#include <galenaford/record.h>

enum
{
  KINDS_MAX = 8,
  REQUESTS_MAX = 65536,
  SAMPLES_MAX = 1 << 18,
  BODY_BYTES_MAX = 256 * 1024,
  /* Bytes at the start of a body that are compared with the answer.  */
  MARKER_BYTES = 48,
  /* Time at the end in which requests in progress may still complete.  */
  DRAIN_MS = 5000,
  TICK_MS = 5
};

/* A kind of work and the outcomes of its requests.  */
struct load
{
  char name[GALENA_NAME_BYTES];
  struct galena_endpoint service;
  char service_text[GALENA_NAME_BYTES];
  uint16_t kind;
  double rate;
  uint32_t feeds;
  uint32_t body_bytes;
  bool idempotent;
  uint32_t deadline_ms;
  uint32_t sent, answered, refused, unknown, wrong;
  /* Pieces of answers received.  */
  uint32_t events;
  /* Requests, with a fraction, that the rate has made due and that have not
     been sent.  */
  double requests_due;
  /* Latencies of answered requests in milliseconds.  */
  uint32_t *samples;
  uint32_t sample_count;
};

/* A request in progress.  */
struct pending_request
{
  struct load *load;
  struct galena_flow_handle flow;
  struct galena_clock at;
  char marker[MARKER_BYTES];
  uint32_t marker_received;
  bool wrong;
};

static struct load loads[KINDS_MAX];
static uint32_t load_count;
/* Requests in progress by the index of their row in the world.  */
static struct pending_request table[REQUESTS_MAX];
static struct galena_world *world;
static uint32_t request_count;
static uint64_t run_id;

static int
on_setting (void *data, const char *section, const char *key,
            const char *value)
{
  struct load *load = NULL;

  (void)data;
  for (uint32_t i = 0; i < load_count; i++)
    if (strcmp (loads[i].name, section) == 0)
      load = &loads[i];
  if (load == NULL && load_count < KINDS_MAX)
    {
      load = &loads[load_count++];
      snprintf (load->name, sizeof load->name, "%s", section);
      load->samples = calloc (SAMPLES_MAX, sizeof *load->samples);
    }
  if (load == NULL)
    return 0;
  if (strcmp (key, "service") == 0)
    {
      snprintf (load->service_text, sizeof load->service_text, "%s", value);
      return galena_endpoint_parse (value, &load->service) == GALENA_OK;
    }
  if (strcmp (key, "kind") == 0)
    load->kind = (uint16_t)atoi (value);
  else if (strcmp (key, "rate") == 0)
    load->rate = atof (value);
  else if (strcmp (key, "feeds") == 0)
    load->feeds = (uint32_t)atoi (value);
  else if (strcmp (key, "body") == 0)
    load->body_bytes = (uint32_t)atoi (value);
  else if (strcmp (key, "idempotent") == 0)
    load->idempotent = atoi (value) != 0;
  else if (strcmp (key, "deadline_ms") == 0)
    load->deadline_ms = (uint32_t)atoi (value);
  else
    return 0;
  return 1;
}

/* Sends a request of LOAD on a new flow.  Its body begins with a marker that
   is unique to the request; the answer must begin with the same bytes.  */
static void
send_request (struct load *load, bool feed)
{
  static char body[BODY_BYTES_MAX];
  struct galena_caller_flow_options flow
      = { .service = load->service,
          .kind = load->kind,
          .deadline_ms = load->deadline_ms };
  struct galena_caller_request_options request
      = { .kind = load->kind,
          .idempotent = load->idempotent,
          .endless = feed,
          .deadline_ms = load->deadline_ms,
          .body = (const uint8_t *)body };
  struct galena_request_handle handle;
  struct pending_request *pending;

  load->sent++;
  if (galena_caller_open (world, &flow, &request.flow) != GALENA_OK)
    return;
  memset (body, '.', load->body_bytes);
  snprintf (body, sizeof body, "%s:%s:%s:%llx-%u ", feed ? "feed" : "work",
            load->idempotent ? "again" : "once", load->service_text,
            (unsigned long long)run_id, ++request_count);
  request.body_size = load->body_bytes;
  if (request.body_size < strlen (body))
    request.body_size = (uint32_t)strlen (body);
  body[strlen (body)] = ' ';
  if (galena_caller_request (world, &request, &handle) != GALENA_OK)
    return;
  pending = &table[handle.row.index];
  *pending = (struct pending_request){ .load = load,
                                       .flow = request.flow,
                                       .at = galena_monotonic_now () };
  memcpy (pending->marker, body, MARKER_BYTES);
}

static void
on_data (struct pending_request *pending, const struct galena_message *data)
{
  pending->load->events++;
  if (pending->load->feeds > 0)
    return;
  for (uint32_t i = 0; i < data->body_size; i++)
    {
      if (pending->marker_received == MARKER_BYTES)
        return;
      if (pending->marker[pending->marker_received++] != (char)data->body[i])
        pending->wrong = true;
    }
}

static void
on_end (struct pending_request *pending, enum galena_result result)
{
  struct load *load = pending->load;
  int64_t latency_ms
      = galena_clock_elapsed_ms (pending->at, galena_monotonic_now ());

  if (result == GALENA_OK)
    load->answered++;
  else if (galena_result_is_refusal (result))
    load->refused++;
  else
    load->unknown++;
  if (result == GALENA_OK && (pending->wrong || pending->marker_received == 0))
    load->wrong++;
  if (result == GALENA_OK && load->sample_count < SAMPLES_MAX)
    load->samples[load->sample_count++] = (uint32_t)latency_ms;
  galena_caller_close (world, pending->flow);
}

static void
handle_outbox (void)
{
  const struct galena_mailbox *outbox = galena_world_outbox (world);

  for (uint32_t i = 0; i < galena_mailbox_count (outbox); i++)
    {
      const struct galena_message *message = galena_mailbox_get (outbox, i);
      struct pending_request *pending = &table[message->run.row.index];

      if (message->side != GALENA_SIDE_APPLICATION)
        continue;
      if (message->type == GALENA_MESSAGE_RUN_DATA)
        on_data (pending, message);
      else
        on_end (pending, message->result);
    }
}

static void
send_due (double seconds)
{
  for (uint32_t i = 0; i < load_count; i++)
    {
      struct load *load = &loads[i];

      load->requests_due += load->rate * seconds;
      for (; load->requests_due >= 1; load->requests_due -= 1)
        send_request (load, false);
    }
}

static int
compare_samples (const void *a, const void *b)
{
  uint32_t first = *(const uint32_t *)a;
  uint32_t second = *(const uint32_t *)b;

  return (first > second) - (first < second);
}

static uint32_t
quantile (const struct load *load, double share)
{
  if (load->sample_count == 0)
    return 0;
  return load->samples[(uint32_t)((load->sample_count - 1) * share)];
}

/* Prints the table of outcomes; returns the number of wrong answers.  */
static uint32_t
report (void)
{
  const struct galena_counters *counters = galena_world_counters (world);
  uint32_t sent = 0, answered = 0, refused = 0, unknown = 0, wrong = 0;

  printf ("%-12s %9s %9s %9s %9s %9s %9s\n", "kind", "requests", "answered",
          "refused", "unknown", "p50_ms", "p99_ms");
  for (uint32_t i = 0; i < load_count; i++)
    {
      struct load *load = &loads[i];

      qsort (load->samples, load->sample_count, sizeof *load->samples,
             compare_samples);
      printf ("%-12s %9u %9u %9u %9u %9u %9u\n", load->name, load->sent,
              load->answered, load->refused, load->unknown,
              quantile (load, 0.5), quantile (load, 0.99));
      sent += load->sent;
      answered += load->answered;
      refused += load->refused;
      unknown += load->unknown;
      wrong += load->wrong;
      if (load->feeds > 0)
        printf ("%-12s %u endless answers, %u events\n", "", load->feeds,
                load->events);
    }
  printf ("caller: requests=%u answered=%u refused=%u unknown=%u wrong=%u "
          "reopened=%llu\n",
          sent, answered, refused, unknown, wrong,
          (unsigned long long)counters->values[GALENA_COUNT_REOPENED]);
  return wrong;
}

int
main (int argc, char **argv)
{
  struct galena_datagrams_options options = { .reuse_port = false };
  struct galena_link_ports ports[GALENA_SIDE_COUNT] = { 0 };
  struct galena_link_ports *caller_ports = &ports[GALENA_SIDE_CALLER];
  struct galena_world_options world_options = { .role = GALENA_ROLE_CALLER,
                                                .flows = REQUESTS_MAX,
                                                .requests = REQUESTS_MAX,
                                                .messages = 8192 };
  struct galena_clock now, before, end;

  if (argc != 5
      || galena_endpoint_parse (argv[1], &options.address) != GALENA_OK
      || galena_endpoint_parse (argv[2], &world_options.fabric) != GALENA_OK
      || ini_parse (argv[4], on_setting, NULL) != 0)
    return 2;
  getrandom (&run_id, sizeof run_id, 0);
  world_options.seed = run_id;
  run_id &= 0xffffff;
  caller_ports->count = 1;
  if (galena_datagrams_create (&options, &caller_ports->sockets[0])
          != GALENA_OK
      || galena_world_create (&world_options, &world) != GALENA_OK)
    return 1;
  now = before = galena_monotonic_now ();
  end = galena_clock_add_ms (now, atoll (argv[3]) * 1000);
  galena_world_tick (world, now, NULL);
  for (uint32_t i = 0; i < load_count; i++)
    for (uint32_t j = 0; j < loads[i].feeds; j++)
      send_request (&loads[i], true);
  while (!galena_clock_reached (now, galena_clock_add_ms (end, DRAIN_MS)))
    {
      struct pollfd fd
          = { galena_datagrams_fd (caller_ports->sockets[0]), POLLIN, 0 };

      poll (&fd, 1, TICK_MS);
      galena_link_receive (caller_ports->sockets[0], world,
                           GALENA_SIDE_CALLER);
      now = galena_monotonic_now ();
      if (!galena_clock_reached (now, end))
        send_due ((double)galena_clock_elapsed_ms (before, now) / 1000);
      before = now;
      galena_world_tick (world, now, NULL);
      galena_link_send (ports, world);
      handle_outbox ();
    }
  return report () == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
