/* Stand-in for the callers: opens flows, sends requests of every kind in a
   load file, and prints what became of them.

   Usage: standin-caller ADDRESS:PORT FABRIC:PORT SECONDS LOAD

   A section of LOAD is a kind of work: service, kind, rate (requests a
   second, 0 for feeds), feeds (endless requests kept open), body (bytes),
   idempotent, deadline_ms.  */

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
  BODY_MAX = 256 * 1024,
  WORD_BYTES = 48,
  /* Time left at the end for requests in progress.  */
  DRAIN_MS = 5000,
  TICK_MS = 5
};

/* A kind of work and what became of its requests.  */
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
  uint32_t sent, answered, refused, unknown, wrong, events;
  double owed;
  uint32_t *samples;
  uint32_t sample_count;
};

/* A request in progress, by the index of its row in the world.  */
struct started
{
  struct load *load;
  struct galena_flow_handle flow;
  struct galena_clock at;
  char word[WORD_BYTES];
  uint32_t word_seen;
  bool wrong;
};

static struct load loads[KINDS_MAX];
static uint32_t load_count;
static struct started table[REQUESTS_MAX];
static struct galena_world *world;
static uint32_t serial;
static uint64_t run_id;

static int
take_pair (void *data, const char *section, const char *key, const char *value)
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

/* Sends one request of LOAD on a flow of its own.  Its body begins with a
   word that no other request has; the answer must begin with the same.  */
static void
send_one (struct load *load, bool feed)
{
  static char body[BODY_MAX];
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
  struct started *started;

  load->sent++;
  if (galena_caller_open (world, &flow, &request.flow) != GALENA_OK)
    return;
  memset (body, '.', load->body_bytes);
  snprintf (body, sizeof body, "%s:%s:%s:%llx-%u ", feed ? "feed" : "work",
            load->idempotent ? "again" : "once", load->service_text,
            (unsigned long long)run_id, ++serial);
  request.body_size = load->body_bytes;
  if (request.body_size < strlen (body))
    request.body_size = (uint32_t)strlen (body);
  body[strlen (body)] = ' ';
  if (galena_caller_request (world, &request, &handle) != GALENA_OK)
    return;
  started = &table[handle.row.index];
  *started = (struct started){ .load = load,
                               .flow = request.flow,
                               .at = galena_monotonic_now () };
  memcpy (started->word, body, WORD_BYTES);
}

static void
take_data (struct started *started, const struct galena_message *data)
{
  started->load->events++;
  if (started->load->feeds > 0)
    return;
  for (uint32_t i = 0; i < data->body_size; i++)
    {
      if (started->word_seen == WORD_BYTES)
        return;
      if (started->word[started->word_seen++] != (char)data->body[i])
        started->wrong = true;
    }
}

static void
take_end (struct started *started, enum galena_result result)
{
  struct load *load = started->load;
  int64_t took
      = galena_clock_elapsed_ms (started->at, galena_monotonic_now ());

  if (result == GALENA_OK)
    load->answered++;
  else if (galena_result_is_refusal (result))
    load->refused++;
  else
    load->unknown++;
  if (result == GALENA_OK && (started->wrong || started->word_seen == 0))
    load->wrong++;
  if (result == GALENA_OK && load->sample_count < SAMPLES_MAX)
    load->samples[load->sample_count++] = (uint32_t)took;
  galena_caller_close (world, started->flow);
}

static void
take_results (void)
{
  const struct galena_mailbox *outbox = galena_world_outbox (world);

  for (uint32_t i = 0; i < galena_mailbox_count (outbox); i++)
    {
      const struct galena_message *message = galena_mailbox_get (outbox, i);
      struct started *started = &table[message->run.row.index];

      if (message->link != GALENA_LINK_APPLICATION)
        continue;
      if (message->type == GALENA_MESSAGE_RUN_DATA)
        take_data (started, message);
      else
        take_end (started, message->result);
    }
}

static void
send_due (double seconds)
{
  for (uint32_t i = 0; i < load_count; i++)
    {
      struct load *load = &loads[i];

      load->owed += load->rate * seconds;
      for (; load->owed >= 1; load->owed -= 1)
        send_one (load, false);
    }
}

static int
compare (const void *a, const void *b)
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

/* Prints the table; returns the number of wrong answers.  */
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
             compare);
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
  struct galena_link_ports ports[GALENA_LINK_COUNT] = { 0 };
  struct galena_link_ports *front = &ports[GALENA_LINK_CALLER];
  struct galena_world_options world_options = { .role = GALENA_ROLE_CALLER,
                                                .flows = REQUESTS_MAX,
                                                .requests = REQUESTS_MAX,
                                                .messages = 8192 };
  struct galena_clock now, before, end;

  if (argc != 5
      || galena_endpoint_parse (argv[1], &options.address) != GALENA_OK
      || galena_endpoint_parse (argv[2], &world_options.fabric) != GALENA_OK
      || ini_parse (argv[4], take_pair, NULL) != 0)
    return 2;
  getrandom (&run_id, sizeof run_id, 0);
  world_options.seed = run_id;
  run_id &= 0xffffff;
  front->count = 1;
  if (galena_datagrams_create (&options, &front->sockets[0]) != GALENA_OK
      || galena_world_create (&world_options, &world) != GALENA_OK)
    return 1;
  now = before = galena_monotonic_now ();
  end = galena_clock_add_ms (now, atoll (argv[3]) * 1000);
  galena_world_tick (world, now, NULL);
  for (uint32_t i = 0; i < load_count; i++)
    for (uint32_t j = 0; j < loads[i].feeds; j++)
      send_one (&loads[i], true);
  while (!galena_clock_reached (now, galena_clock_add_ms (end, DRAIN_MS)))
    {
      struct pollfd fd
          = { galena_datagrams_fd (front->sockets[0]), POLLIN, 0 };

      poll (&fd, 1, TICK_MS);
      galena_link_receive (front->sockets[0], world, GALENA_LINK_CALLER);
      now = galena_monotonic_now ();
      if (!galena_clock_reached (now, end))
        send_due ((double)galena_clock_elapsed_ms (before, now) / 1000);
      before = now;
      galena_world_tick (world, now, NULL);
      galena_link_send (ports, world);
      take_results ();
    }
  return report () == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
