/* Processor time per packet of the entry, compared with a bare relay, over
   loopback.

   Each thread sends a batch to a forwarder, times the step that forwards it,
   and receives it on the other side; then the same in the other direction.
   Forwarders take turns each round.  Only the processor time of their steps is
   counted, so that other load on the machine affects the figures only through
   shared caches.  */

#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <urcu.h>

#include <galenaford/datagrams.h>
#include <galenaford/random.h>
#include <galenaford/tag.h>
#include <galenaford/wire.h>

#include "bench.h"
#include "fixture.h"
#include "sample.h"
#include "forwarder.h"

enum
{
  ROUNDS = 400,
  REPEATS = 9,
  THREADS_MAX = 4,
  PENDING_OPENS = 4096,
  ENTRY_PORT = 47000,
  AGENT_PORT = 48000
};

struct path_case
{
  uint32_t threads;
  uint32_t body_bytes;
};

static const struct path_case CASES[] = {
  { 1, 64 }, { 1, 256 }, { 1, 1024 }, { 2, 256 }, { 4, 256 },
};

static const struct forwarder_operations *const FORWARDERS[]
    = { &forwarder_relay, &forwarder_entry };

enum
{
  CASE_COUNT = sizeof CASES / sizeof CASES[0],
  FORWARDER_COUNT = sizeof FORWARDERS / sizeof FORWARDERS[0]
};

/* One forwarder of a thread, with its figures.  */
struct path_forwarder
{
  const struct forwarder_operations *operations;
  void *data;
  /* The snapshot is shared with the other forwarders, the port is not.  */
  struct process process;
  /* Address from which the forwarder last sent to the agent.  */
  struct galena_endpoint peer;
  /* Processor time of the steps.  */
  double busy_ns;
  /* Packets that it forwarded.  */
  uint64_t packets;
};

/* One thread, which runs its own copy of each forwarder in turn.  */
struct path_thread
{
  const struct path_case *bench_case;
  const struct galena_config *config;
  uint32_t index;
  pthread_t thread;
  struct galena_random random;
  struct galena_datagrams *caller;
  struct galena_datagrams *agent;
  struct path_forwarder forwarders[FORWARDER_COUNT];
};

/* Minimum rate of the entry, as a share of the relay's.  */
static const double TARGET_RATIO = 0.85;

static const uint8_t body[GALENA_PART_BYTES];

static void
add_datagram (struct path_thread *thread, struct galena_datagrams *from,
              enum galena_message_type type, struct galena_endpoint to)
{
  uint32_t index
      = galena_random_below (&thread->random, FLEET_UPSTREAMS / THREADS_MAX)
            * THREADS_MAX
        + thread->index;
  const struct galena_upstream *upstream
      = galena_config_upstream (thread->config, index);
  struct galena_message message = { .type = type, .request = 1, .total = 1 };
  uint8_t *buffer = galena_datagrams_next_buffer (from);
  size_t size;

  message.service = fixture_service_address (upstream->service);
  message.caller = galena_datagrams_address (thread->caller);
  message.flow = fixture_flow (&thread->random);
  message.tag = galena_tag_make (upstream->number, 1, 1);
  message.generation = 1;
  message.deadline_ms = 5000;
  message.body = body;
  message.body_size = thread->bench_case->body_bytes;
  galena_wire_encode (&message, buffer, GALENA_DATAGRAM_BYTES_MAX, &size);
  galena_datagrams_add (from, size, to);
}

static void
send_batch (struct path_thread *thread, struct galena_datagrams *from,
            enum galena_message_type type, struct galena_endpoint to)
{
  for (uint32_t i = 0; i < GALENA_BATCH_MAX; i++)
    add_datagram (thread, from, type, to);
  galena_datagrams_flush (from);
}

/* Receives all datagrams that wait on SOCKET and returns their number.  Sets
   SOURCE to the source of the last one.  */
static uint32_t
drain (struct galena_datagrams *socket, struct galena_endpoint *source)
{
  uint32_t total = 0;
  uint32_t count;
  size_t size;

  while ((count = galena_datagrams_receive (socket)) > 0)
    {
      total += count;
      galena_datagrams_get (socket, count - 1, &size, source);
    }
  return total;
}

/* Where a batch is sent from and to, and where it is received.  */
struct path_direction
{
  enum galena_message_type type;
  struct galena_datagrams *from;
  struct galena_endpoint to;
  struct galena_datagrams *receiver;
};

/* Sends one batch through a forwarder and times its step.  Returns the address
   from which the forwarder sent the batch; all zero when nothing was
   received.  */
static struct galena_endpoint
run_batch (struct path_thread *thread, struct path_forwarder *forwarder,
           const struct path_direction *direction)
{
  struct galena_endpoint source = { 0 };
  double start_ns;

  send_batch (thread, direction->from, direction->type, direction->to);
  start_ns = thread_cpu_ns ();
  forwarder->operations->step (forwarder->data);
  forwarder->busy_ns += thread_cpu_ns () - start_ns;
  forwarder->packets += drain (direction->receiver, &source);
  return source;
}

static void
run_round (struct path_thread *thread, struct path_forwarder *forwarder)
{
  struct path_direction to_agent
      = { GALENA_MESSAGE_REQUEST, thread->caller,
          forwarder->process.settings.entry_address, thread->agent };
  struct path_direction to_caller
      = { GALENA_MESSAGE_ANSWER, thread->agent, { 0 }, thread->caller };

  to_caller.to = run_batch (thread, forwarder, &to_agent);
  if (to_caller.to.ip != 0)
    run_batch (thread, forwarder, &to_caller);
}

static void *
run_thread (void *data)
{
  struct path_thread *thread = data;

  rcu_register_thread ();
  for (uint32_t round = 0; round < ROUNDS; round++)
    for (uint32_t i = 0; i < FORWARDER_COUNT; i++)
      run_round (thread, &thread->forwarders[i]);
  rcu_unregister_thread ();
  return NULL;
}

/* Returns a loopback address derived from the process id, so that runs side by
   side use different ones.  */
static uint32_t
bench_ip (void)
{
  return 0x7f5b0000 | ((uint32_t)getpid () & 0xffff);
}

static void
fill_process (struct process *process, struct snapshot *snapshot,
              uint32_t number)
{
  struct galena_settings *settings = &process->settings;

  process->snapshot = snapshot;
  process->seed = number;
  process_init (process);
  settings->entry_address.ip = bench_ip ();
  settings->entry_address.port = (uint16_t)(ENTRY_PORT + number);
  settings->entry_pending_opens = PENDING_OPENS;
  snprintf (settings->choice, sizeof settings->choice, "two-wait");
}

static enum galena_result
create_forwarder (struct path_thread *thread, uint32_t number,
                  struct snapshot *snapshot)
{
  struct path_forwarder *forwarder = &thread->forwarders[number];
  struct forwarder_options options
      = { &forwarder->process, thread->index,
          galena_datagrams_address (thread->agent) };

  forwarder->operations = FORWARDERS[number];
  fill_process (&forwarder->process, snapshot,
                thread->index * FORWARDER_COUNT + number);
  return forwarder->operations->create (&options, &forwarder->data);
}

static enum galena_result
create_thread (struct path_thread *thread, const struct path_case *bench_case,
               uint32_t index, struct snapshot *snapshot)
{
  struct galena_datagrams_options caller = { { bench_ip (), 0 }, false };
  struct galena_datagrams_options agent
      = { { bench_ip (), (uint16_t)(AGENT_PORT + index) }, false };
  enum galena_result result;

  thread->bench_case = bench_case;
  thread->index = index;
  thread->random.seed = index;
  thread->config = snapshot_read (snapshot);
  result = galena_datagrams_create (&caller, &thread->caller);
  if (result == GALENA_OK)
    result = galena_datagrams_create (&agent, &thread->agent);
  for (uint32_t i = 0; result == GALENA_OK && i < FORWARDER_COUNT; i++)
    result = create_forwarder (thread, i, snapshot);
  return result;
}

static void
destroy_thread (struct path_thread *thread)
{
  for (uint32_t i = 0; i < FORWARDER_COUNT; i++)
    {
      struct path_forwarder *forwarder = &thread->forwarders[i];

      if (forwarder->data == NULL)
        continue;
      forwarder->operations->destroy (forwarder->data);
      process_release (&forwarder->process);
    }
  galena_datagrams_destroy (thread->caller);
  galena_datagrams_destroy (thread->agent);
}

/* Figures of one forwarder in one run of a case.  */
struct path_run
{
  double ns_per_packet;
  /* Sum over the threads of packets per second of processor time.  */
  double packets_per_s;
  /* Share of the packets that were received, from 0 to 1.  */
  double received_share;
};

static struct path_run
sum_run (const struct path_thread *threads, uint32_t count, uint32_t number)
{
  struct path_run run = { 0 };
  double busy_ns = 0;
  double packets = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      const struct path_forwarder *forwarder = &threads[i].forwarders[number];

      busy_ns += forwarder->busy_ns;
      packets += (double)forwarder->packets;
      run.packets_per_s
          += (double)forwarder->packets * 1e9 / forwarder->busy_ns;
    }
  run.ns_per_packet = busy_ns / packets;
  run.received_share = packets / (2.0 * ROUNDS * GALENA_BATCH_MAX * count);
  return run;
}

static bool
run_case (const struct path_case *bench_case, struct snapshot *snapshot,
          struct path_run runs[FORWARDER_COUNT])
{
  struct path_thread threads[THREADS_MAX] = { 0 };
  uint32_t started = 0;
  bool good = true;

  for (uint32_t i = 0; good && i < bench_case->threads; i++)
    good = create_thread (&threads[i], bench_case, i, snapshot) == GALENA_OK;
  while (good && started < bench_case->threads
         && pthread_create (&threads[started].thread, NULL, run_thread,
                            &threads[started])
                == 0)
    started++;
  for (uint32_t i = 0; i < started; i++)
    pthread_join (threads[i].thread, NULL);
  for (uint32_t i = 0; i < FORWARDER_COUNT; i++)
    runs[i] = sum_run (threads, started, i);
  for (uint32_t i = 0; i < bench_case->threads; i++)
    destroy_thread (&threads[i]);
  return good && started == bench_case->threads;
}

static void
print_forwarder (const struct path_case *bench_case, const char *name,
                 const struct samples *ns, const struct samples *rate)
{
  printf ("path: subject=%-5s threads=%u body_bytes=%u ns_per_packet=%.0f "
          "min=%.0f max=%.0f packets_per_busy_s=%.0f\n",
          name, bench_case->threads, bench_case->body_bytes,
          samples_median (ns), samples_min (ns), samples_max (ns),
          samples_median (rate));
}

static void
print_ratio (const struct samples *ratio, double received_share)
{
  double median = samples_median (ratio);

  printf ("path: entry/relay=%.2f min=%.2f max=%.2f passed=%.4f target=%.2f "
          "%s\n",
          median, samples_min (ratio), samples_max (ratio), received_share,
          TARGET_RATIO, median >= TARGET_RATIO ? "met" : "missed");
}

static bool
run_repeats (const struct path_case *bench_case, struct snapshot *snapshot)
{
  struct samples ns[FORWARDER_COUNT] = { 0 };
  struct samples rate[FORWARDER_COUNT] = { 0 };
  struct samples ratio = { 0 };
  double received_share = 1;

  for (uint32_t repeat = 0; repeat < REPEATS; repeat++)
    {
      struct path_run runs[FORWARDER_COUNT];

      if (!run_case (bench_case, snapshot, runs))
        return false;
      for (uint32_t i = 0; i < FORWARDER_COUNT; i++)
        {
          samples_add (&ns[i], runs[i].ns_per_packet);
          samples_add (&rate[i], runs[i].packets_per_s);
          received_share = runs[i].received_share < received_share
                               ? runs[i].received_share
                               : received_share;
        }
      samples_add (&ratio, runs[1].packets_per_s / runs[0].packets_per_s);
    }
  for (uint32_t i = 0; i < FORWARDER_COUNT; i++)
    print_forwarder (bench_case, FORWARDERS[i]->name, &ns[i], &rate[i]);
  print_ratio (&ratio, received_share);
  return true;
}

bool
bench_path (void)
{
  struct fixture_options fleet = {
    FLEET_SERVICES, FLEET_UPSTREAMS, { bench_ip (), AGENT_PORT }, THREADS_MAX
  };
  struct galena_config *config;
  struct snapshot *snapshot;
  bool good = true;

  rcu_register_thread ();
  if (snapshot_create (&snapshot) != GALENA_OK)
    return false;
  if (fixture_config (&fleet, &config) != GALENA_OK)
    return false;
  snapshot_replace (snapshot, config);
  for (uint32_t i = 0; good && i < CASE_COUNT; i++)
    good = run_repeats (&CASES[i], snapshot);
  snapshot_destroy (snapshot);
  rcu_unregister_thread ();
  return good;
}
