/* Time per packet of the entry beside that of a bare relay, over loopback.

   Each thread sends a batch to the subject, times the step that passes it on,
   and drains it on the far side; then the same for the way back.  The figure
   is the processor time of the subject's steps alone, so other load on the
   machine counts only through shared caches.  */

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <urcu.h>

#include <galenaford/datagrams.h>
#include <galenaford/random.h>
#include <galenaford/tag.h>
#include <galenaford/wire.h>

#include "bench.h"
#include "fixture.h"
#include "sample.h"
#include "subject.h"

enum
{
  ROUNDS = 1500,
  REPEATS = 9,
  THREADS_MAX = 4,
  PENDING_OPENS = 4096,
  ENTRY_PORT = 47000,
  AGENT_PORT = 48000
};

struct path_case
{
  const char *name;
  uint32_t threads;
  uint32_t body_bytes;
};

static const struct path_case CASES[] = {
  { "64 B bodies", 1, 64 },     { "256 B bodies", 1, 256 },
  { "1024 B bodies", 1, 1024 }, { "256 B bodies", 2, 256 },
  { "256 B bodies", 4, 256 },
};

static const struct subject_operations *const SUBJECTS[]
    = { &subject_relay, &subject_entry };

enum
{
  CASE_COUNT = sizeof CASES / sizeof CASES[0],
  SUBJECT_COUNT = sizeof SUBJECTS / sizeof SUBJECTS[0]
};

/* One thread with a subject of its own.  */
struct path_thread
{
  const struct path_case *test;
  const struct subject_operations *operations;
  void *subject;
  /* Shares the snapshot with the other threads; the port is its own.  */
  struct process process;
  const struct galena_config *config;
  uint32_t index;
  pthread_t thread;
  struct galena_random random;
  struct galena_datagrams *caller;
  struct galena_datagrams *agent;
  /* Peer address of the subject that last reached the agent.  */
  struct galena_endpoint peer;
  double busy_ns;
  uint64_t packets;
};

/* Least rate of the entry as a share of the relay's.  */
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
  uint8_t *room = galena_datagrams_next (from);
  size_t size;

  message.service = fixture_service_address (upstream->service);
  message.caller = galena_datagrams_address (thread->caller);
  message.flow = fixture_flow (&thread->random);
  message.tag = galena_tag_make (upstream->number, 1, 1);
  message.generation = 1;
  message.deadline_ms = 5000;
  message.body = body;
  message.body_size = thread->test->body_bytes;
  galena_wire_encode (&message, room, GALENA_DATAGRAM_BYTES_MAX, &size);
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

/* Sends one batch to the subject and times its way through.  */
static void
run_batch (struct path_thread *thread, struct galena_datagrams *from,
           enum galena_message_type type, struct galena_endpoint to,
           struct galena_datagrams *far, struct galena_endpoint *source)
{
  double start_ns;

  send_batch (thread, from, type, to);
  start_ns = thread_cpu_ns ();
  thread->operations->step (thread->subject);
  thread->busy_ns += thread_cpu_ns () - start_ns;
  thread->packets += drain (far, source);
}

static void *
run_thread (void *data)
{
  struct path_thread *thread = data;
  struct galena_endpoint entry = thread->process.settings.entry_address;
  struct galena_endpoint ignored;

  rcu_register_thread ();
  for (uint32_t round = 0; round < ROUNDS; round++)
    {
      run_batch (thread, thread->caller, GALENA_MESSAGE_REQUEST, entry,
                 thread->agent, &thread->peer);
      if (thread->peer.ip != 0)
        run_batch (thread, thread->agent, GALENA_MESSAGE_ANSWER, thread->peer,
                   thread->caller, &ignored);
    }
  rcu_unregister_thread ();
  return NULL;
}

/* An address of this process alone, so that runs side by side don't meet.  */
static uint32_t
bench_ip (void)
{
  return 0x7f5b0000 | ((uint32_t)getpid () & 0xffff);
}

static enum galena_result
create_ends (struct path_thread *thread)
{
  uint32_t ip = bench_ip ();
  uint16_t port = (uint16_t)(AGENT_PORT + thread->index);
  struct galena_datagrams_options caller = { { ip, 0 }, false };
  struct galena_datagrams_options agent = { { ip, port }, false };
  struct subject_options subject
      = { &thread->process, thread->index, agent.address };
  enum galena_result result
      = galena_datagrams_create (&caller, &thread->caller);

  if (result != GALENA_OK)
    return result;
  result = galena_datagrams_create (&agent, &thread->agent);
  if (result != GALENA_OK)
    return result;
  return thread->operations->create (&subject, &thread->subject);
}

static void
fill_process (struct process *process, struct snapshot *snapshot,
              uint32_t index)
{
  struct galena_settings *settings = &process->settings;

  process->snapshot = snapshot;
  process->seed = index;
  process_init (process);
  settings->entry_address.ip = bench_ip ();
  settings->entry_address.port = (uint16_t)(ENTRY_PORT + index);
  settings->entry_pending_opens = PENDING_OPENS;
  snprintf (settings->choice, sizeof settings->choice, "two-wait");
}

static void
destroy_thread (struct path_thread *thread)
{
  if (thread->subject != NULL)
    thread->operations->destroy (thread->subject);
  galena_datagrams_destroy (thread->caller);
  galena_datagrams_destroy (thread->agent);
  process_release (&thread->process);
}

/* Figures of one run of a case with one subject.  */
struct path_run
{
  double ns_per_packet;
  /* Sum over the threads, each at its own busy time.  */
  double packets_per_s;
  /* Share of the packets that came out.  */
  double passed;
};

static void
sum_run (const struct path_thread *threads, uint32_t count,
         struct path_run *run)
{
  double busy_ns = 0;
  double packets = 0;

  *run = (struct path_run){ 0 };
  for (uint32_t i = 0; i < count; i++)
    {
      busy_ns += threads[i].busy_ns;
      packets += (double)threads[i].packets;
      run->packets_per_s
          += (double)threads[i].packets * 1e9 / threads[i].busy_ns;
    }
  run->ns_per_packet = busy_ns / packets;
  run->passed = packets / (2.0 * ROUNDS * GALENA_BATCH_MAX * count);
}

static bool
run_case (const struct path_case *test,
          const struct subject_operations *operations,
          struct snapshot *snapshot, struct path_run *run)
{
  struct path_thread threads[THREADS_MAX] = { 0 };
  uint32_t started = 0;
  bool good = true;

  for (uint32_t i = 0; i < test->threads; i++)
    {
      threads[i].test = test;
      threads[i].operations = operations;
      threads[i].index = i;
      threads[i].random.seed = i;
      threads[i].config = snapshot_read (snapshot);
      fill_process (&threads[i].process, snapshot, i);
      good = good && create_ends (&threads[i]) == GALENA_OK;
    }
  while (good && started < test->threads
         && pthread_create (&threads[started].thread, NULL, run_thread,
                            &threads[started])
                == 0)
    started++;
  for (uint32_t i = 0; i < started; i++)
    pthread_join (threads[i].thread, NULL);
  sum_run (threads, started, run);
  for (uint32_t i = 0; i < test->threads; i++)
    destroy_thread (&threads[i]);
  return good && started == test->threads;
}

static void
print_subject (const struct path_case *test, const char *name,
               const struct samples *ns, const struct samples *rate)
{
  printf ("path: subject=%-5s threads=%u bodies=\"%s\" ns_per_packet=%.0f "
          "min=%.0f max=%.0f packets_per_busy_s=%.0f\n",
          name, test->threads, test->name, samples_median (ns),
          samples_min (ns), samples_max (ns), samples_median (rate));
}

static bool
run_repeats (const struct path_case *test, struct snapshot *snapshot)
{
  struct samples ns[SUBJECT_COUNT] = { 0 };
  struct samples rate[SUBJECT_COUNT] = { 0 };
  struct samples ratio = { 0 };
  double passed = 1;

  for (uint32_t repeat = 0; repeat < REPEATS; repeat++)
    {
      struct path_run runs[SUBJECT_COUNT];

      for (uint32_t i = 0; i < SUBJECT_COUNT; i++)
        {
          if (!run_case (test, SUBJECTS[i], snapshot, &runs[i]))
            return false;
          samples_add (&ns[i], runs[i].ns_per_packet);
          samples_add (&rate[i], runs[i].packets_per_s);
          passed = runs[i].passed < passed ? runs[i].passed : passed;
        }
      samples_add (&ratio, runs[1].packets_per_s / runs[0].packets_per_s);
    }
  for (uint32_t i = 0; i < SUBJECT_COUNT; i++)
    print_subject (test, SUBJECTS[i]->name, &ns[i], &rate[i]);
  printf ("path: entry/relay=%.2f min=%.2f max=%.2f passed=%.4f target=%.2f "
          "%s\n",
          samples_median (&ratio), samples_min (&ratio), samples_max (&ratio),
          passed, TARGET_RATIO,
          samples_median (&ratio) >= TARGET_RATIO ? "met" : "missed");
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
