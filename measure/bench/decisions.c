/* Processor time of the core for one message at an entry, without sockets and
   encoding.  */

#include <stdio.h>

#include <galenaford/random.h>
#include <galenaford/tag.h>
#include <galenaford/world.h>

#include "bench.h"
#include "fixture.h"
#include "sample.h"

enum
{
  BATCH = 64,
  ROUNDS = 2000,
  REPEATS = 9,
  BODY_BYTES = 256,
  /* The default of the daemon.  */
  PENDING_OPENS = 4096
};

struct decision_world
{
  struct galena_world *world;
  struct galena_config *config;
  struct galena_random random;
  struct galena_clock now;
};

static uint8_t body[BODY_BYTES];

static struct galena_message
make_message (struct decision_world *bench, enum galena_message_type type,
              enum galena_side link)
{
  uint32_t index = galena_random_below (
      &bench->random, galena_config_upstream_count (bench->config));
  const struct galena_upstream *upstream
      = galena_config_upstream (bench->config, index);
  struct galena_message message = { .type = type, .side = link };

  message.peer = (struct galena_endpoint){ 0x7f000001, 9000 };
  message.caller = message.peer;
  message.service
      = galena_config_service (bench->config, upstream->service)->address;
  message.flow = fixture_flow (&bench->random);
  message.tag = galena_tag_make (upstream->number, 1, 1);
  message.deadline_ms = 10000;
  message.wait_ms = 5;
  return message;
}

static void
make_open (struct decision_world *bench, struct galena_message *rows)
{
  for (uint32_t i = 0; i < BATCH; i++)
    {
      rows[i] = make_message (bench, GALENA_MESSAGE_OPEN, GALENA_SIDE_CALLER);
      rows[i].tag = 0;
    }
}

static void
make_request (struct decision_world *bench, struct galena_message *rows)
{
  for (uint32_t i = 0; i < BATCH; i++)
    {
      rows[i]
          = make_message (bench, GALENA_MESSAGE_REQUEST, GALENA_SIDE_CALLER);
      rows[i].request = 1;
      rows[i].total = 1;
      rows[i].body = body;
      rows[i].body_size = BODY_BYTES;
    }
}

static void
make_answer (struct decision_world *bench, struct galena_message *rows)
{
  make_request (bench, rows);
  for (uint32_t i = 0; i < BATCH; i++)
    {
      rows[i].type = GALENA_MESSAGE_ANSWER;
      rows[i].side = GALENA_SIDE_PEER;
    }
}

/* Accepts the opens of the last tick, so that none stays pending.  */
static void
accept_opens (struct decision_world *bench, const struct galena_message *rows)
{
  for (uint32_t i = 0; i < BATCH; i++)
    {
      struct galena_message accept = rows[i];

      accept.type = GALENA_MESSAGE_ACCEPT;
      accept.side = GALENA_SIDE_PEER;
      accept.tag = galena_tag_make (1, 1, 1);
      galena_mailbox_push (galena_world_inbox (bench->world), &accept);
    }
  galena_world_tick (bench->world, bench->now, bench->config);
}

struct decision_case
{
  const char *name;
  void (*make) (struct decision_world *bench, struct galena_message *rows);
  /* Whether the messages are opens, which must be accepted after each tick. */
  bool are_opens;
  double target_ns;
};

static const struct decision_case CASES[] = {
  { "data packet, caller to agent", make_request, false, 200 },
  { "data packet, agent to caller", make_answer, false, 200 },
  { "open", make_open, true, 1000 },
};

/* Returns the nanoseconds per message.  */
static double
run_once (struct decision_world *bench, const struct decision_case *bench_case)
{
  struct galena_message rows[BATCH];
  double spent_ns = 0;

  for (uint32_t round = 0; round < ROUNDS; round++)
    {
      double start_ns;

      bench_case->make (bench, rows);
      bench->now.ms++;
      start_ns = thread_cpu_ns ();
      for (uint32_t i = 0; i < BATCH; i++)
        galena_mailbox_push (galena_world_inbox (bench->world), &rows[i]);
      galena_world_tick (bench->world, bench->now, bench->config);
      spent_ns += thread_cpu_ns () - start_ns;
      if (bench_case->are_opens)
        accept_opens (bench, rows);
    }
  return spent_ns / ((double)ROUNDS * BATCH);
}

static bool
create_world (struct decision_world *bench)
{
  struct fixture_options fleet
      = { FLEET_SERVICES, FLEET_UPSTREAMS, { 1, 1 }, 1 };
  struct galena_world_options options = { .role = GALENA_ROLE_ENTRY,
                                          .seed = 1,
                                          .flows = PENDING_OPENS,
                                          .messages = 4 * BATCH,
                                          .borrow_bodies = true };

  if (fixture_config (&fleet, &bench->config) != GALENA_OK)
    return false;
  return galena_world_create (&options, &bench->world) == GALENA_OK;
}

static void
print_case (const struct decision_case *bench_case,
            const struct samples *samples)
{
  double median = samples_median (samples);

  printf ("decision: %-30s ns=%.0f min=%.0f max=%.0f target_ns=%.0f %s\n",
          bench_case->name, median, samples_min (samples),
          samples_max (samples), bench_case->target_ns,
          median < bench_case->target_ns ? "met" : "missed");
}

bool
bench_decisions (void)
{
  struct decision_world bench = { .random = { 1, 0 }, .now = { 1 } };
  struct samples samples[sizeof CASES / sizeof CASES[0]] = { 0 };
  bool good = create_world (&bench);

  for (uint32_t repeat = 0; good && repeat < REPEATS; repeat++)
    for (size_t i = 0; i < sizeof CASES / sizeof CASES[0]; i++)
      samples_add (&samples[i], run_once (&bench, &CASES[i]));
  for (size_t i = 0; good && i < sizeof CASES / sizeof CASES[0]; i++)
    print_case (&CASES[i], &samples[i]);
  galena_world_destroy (bench.world);
  galena_config_destroy (bench.config);
  return good;
}
