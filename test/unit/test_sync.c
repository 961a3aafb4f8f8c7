/* Propagation of records to the processes of a fleet, under failures.

   Each case is a list of steps on a fleet of entries and agents.  Every 50 ms
   of virtual time the test checks that no process becomes synced with a record
   older than one that the fleet has accepted; at the end it checks the current
   record of every process.  */

#include "sync_fleet.h"

enum
{
  ENTRIES = 6,
  AGENTS_EACH = 5,
  SERVICES = 2,
  PROCESSES = ENTRIES + AGENTS_EACH * SERVICES,
  STEPS_MAX = 10,
  CHECK_MS = 50,
  /* A process may become synced without a record that was accepted this
     recently.  */
  GRACE_MS = 1000,
  RECORD_BYTES = 2000
};

enum step_verb
{
  /* Publishes generation A of service 1, with digest B.  */
  STEP_PUBLISH = 1,
  /* The same on one replica of the platform only: replica B modulo 2.  */
  STEP_PUBLISH_ON_ONE,
  /* The same, with a record that fails validation.  */
  STEP_PUBLISH_INVALID,
  /* Kill and start process A.  */
  STEP_KILL,
  STEP_START,
  /* Stop and start the platform.  */
  STEP_DOWN,
  STEP_UP,
  /* Replica A hides all records published after the time B, or after the time
     of the step when B is 0.  */
  STEP_STALE,
  /* Replica A shows all records again.  */
  STEP_FRESH,
  /* Process A is paused for B ms.  */
  STEP_PAUSE,
  /* Processes other than A can't read the platform.  */
  STEP_CUT,
  /* Starts a network partition between the processes below A and the
     others.  */
  STEP_PARTITION,
  /* Ends the partition.  */
  STEP_HEAL,
  /* The list of instances marks the upstream of process A as leaving, or as
     live.  */
  STEP_LEAVING,
  STEP_LIVE,
  /* The platform comes back from a copy made at the time A, in a new era, with
     generation 1 of the list.  */
  STEP_RESTORE,
  STEP_COUNT
};

struct step
{
  int64_t at_ms;
  enum step_verb verb;
  uint32_t a;
  uint32_t b;
};

struct sync_case
{
  const char *name;
  struct step steps[STEPS_MAX];
  int64_t check_ms;
  /* Expected current record of service 1 at every process at CHECK_MS.  */
  uint64_t generation;
  uint64_t digest;
  /* Process whose upstream must be leaving at CHECK_MS, or 0.  */
  uint32_t leaving;
  /* Event that must be in the audit trail of some process; 0 for none.  */
  enum galena_audit_event event;
};

static const struct sync_case CASES[] = {
  /* The platform comes back from an older copy: generations of the index and
     of the list of instances go back and are given out again.  */
  { "/sync/restored-index",
    { { 10000, STEP_PUBLISH, 2, 5 },
      { 11000, STEP_PUBLISH, 3, 5 },
      { 12000, STEP_PUBLISH, 4, 5 },
      { 16000, STEP_RESTORE, 9000, 0 },
      { 17000, STEP_PUBLISH, 5, 6 } },
    22000,
    5,
    6,
    0,
    0 },
  { "/sync/restored-leaving",
    { { 10000, STEP_LEAVING, 9, 0 },
      { 10500, STEP_LIVE, 9, 0 },
      { 11000, STEP_LEAVING, 9, 0 },
      { 11500, STEP_LIVE, 9, 0 },
      { 16000, STEP_RESTORE, 10000, 0 },
      { 17000, STEP_LEAVING, 8, 0 } },
    22000,
    1,
    1,
    8,
    0 },
  { "/sync/restored-refused",
    { { 10000, STEP_PUBLISH_INVALID, 2, 5 },
      { 16000, STEP_RESTORE, 9000, 0 },
      { 17000, STEP_PUBLISH, 2, 6 } },
    22000,
    2,
    6,
    0,
    GALENA_AUDIT_RECORD_REFUSED },
  { "/sync/publish", { { 10000, STEP_PUBLISH, 2, 5 } }, 15000, 2, 5, 0, 0 },
  { "/sync/publish-twice",
    { { 10000, STEP_PUBLISH, 2, 5 }, { 10100, STEP_PUBLISH, 3, 4 } },
    15100,
    3,
    4,
    0,
    0 },
  { "/sync/older-published-late",
    { { 10000, STEP_PUBLISH, 5, 5 }, { 12000, STEP_PUBLISH, 4, 9 } },
    17000,
    5,
    5,
    0,
    0 },
  { "/sync/two-of-one-generation",
    { { 10000, STEP_PUBLISH_ON_ONE, 2, 5 },
      { 10000, STEP_PUBLISH_ON_ONE, 2, 8 } },
    15000,
    2,
    8,
    0,
    GALENA_AUDIT_RECORD_CONFLICT },
  { "/sync/invalid",
    { { 10000, STEP_PUBLISH_INVALID, 2, 5 } },
    15000,
    1,
    1,
    0,
    GALENA_AUDIT_RECORD_REFUSED },
  { "/sync/invalid-then-mended",
    { { 10000, STEP_PUBLISH_INVALID, 2, 5 }, { 12000, STEP_PUBLISH, 3, 6 } },
    17000,
    3,
    6,
    0,
    GALENA_AUDIT_RECORD_REFUSED },
  { "/sync/replaced-without-platform",
    { { 10000, STEP_PUBLISH, 2, 5 },
      { 16000, STEP_DOWN, 0, 0 },
      { 17000, STEP_KILL, 1, 0 },
      { 17000, STEP_KILL, 7, 0 },
      { 18000, STEP_START, 1, 0 },
      { 18000, STEP_START, 7, 0 } },
    23000,
    2,
    5,
    0,
    0 },
  { "/sync/all-entries-replaced-without-platform",
    { { 10000, STEP_PUBLISH, 2, 5 },
      { 16000, STEP_DOWN, 0, 0 },
      { 17000, STEP_KILL, 1, 0 },
      { 18000, STEP_START, 1, 0 },
      { 24000, STEP_KILL, 2, 0 },
      { 25000, STEP_START, 2, 0 },
      { 31000, STEP_KILL, 0, 0 },
      { 32000, STEP_START, 0, 0 } },
    37000,
    2,
    5,
    0,
    0 },
  { "/sync/restart-against-stale",
    { { 9000, STEP_STALE, 0, 0 },
      { 9000, STEP_STALE, 1, 0 },
      { 10000, STEP_FRESH, 1, 0 },
      { 10000, STEP_PUBLISH, 2, 5 },
      { 16000, STEP_KILL, 2, 0 },
      { 17000, STEP_START, 2, 0 } },
    22000,
    2,
    5,
    0,
    0 },
  /* Replica 0 shows the record from 9500 on, is stale again from 15500 on,
     when the fleet has accepted the record, and replica 1 stays stale.  A
     process that then restarts must take the record from its peers.  */
  { "/sync/fleet-turns-stale",
    { { 10000, STEP_PUBLISH, 2, 5 },
      { 9000, STEP_STALE, 0, 0 },
      { 9000, STEP_STALE, 1, 0 },
      { 9500, STEP_FRESH, 0, 0 },
      { 15500, STEP_STALE, 0, 9000 },
      { 16000, STEP_KILL, 2, 0 },
      { 17000, STEP_START, 2, 0 } },
    22000,
    2,
    5,
    0,
    0 },
  { "/sync/platform-returns",
    { { 9000, STEP_DOWN, 0, 0 },
      { 10000, STEP_PUBLISH, 2, 5 },
      { 40000, STEP_UP, 0, 0 } },
    45000,
    2,
    5,
    0,
    0 },
  { "/sync/published-before-outage",
    { { 10000, STEP_PUBLISH, 2, 5 },
      { 15000, STEP_PUBLISH, 3, 6 },
      { 15400, STEP_DOWN, 0, 0 } },
    20000,
    3,
    6,
    0,
    0 },
  { "/sync/most-cut-from-platform",
    { { 9000, STEP_CUT, 2, 0 }, { 10000, STEP_PUBLISH, 2, 5 } },
    15000,
    2,
    5,
    0,
    0 },
  { "/sync/parted-and-healed",
    { { 5000, STEP_CUT, 2, 0 },
      { 9000, STEP_PARTITION, 4, 0 },
      { 10000, STEP_PUBLISH, 2, 5 },
      { 40000, STEP_HEAL, 0, 0 } },
    50000,
    2,
    5,
    0,
    0 },
  { "/sync/slept",
    { { 9000, STEP_PAUSE, 2, 60000 }, { 10000, STEP_PUBLISH, 2, 5 } },
    74000,
    2,
    5,
    0,
    GALENA_AUDIT_PAUSED },
  { "/sync/slept-briefly",
    { { 9900, STEP_PAUSE, 2, 5000 }, { 10000, STEP_PUBLISH, 2, 5 } },
    19000,
    2,
    5,
    0,
    GALENA_AUDIT_PAUSED },
  { "/sync/leaving",
    { { 10000, STEP_LEAVING, 8, 0 } },
    13000,
    1,
    1,
    8,
    GALENA_AUDIT_UPSTREAM_LEAVING },
  { "/sync/leaving-while-cut",
    { { 9000, STEP_CUT, PROCESSES - 1, 0 }, { 10000, STEP_LEAVING, 8, 0 } },
    13000,
    1,
    1,
    8,
    GALENA_AUDIT_UPSTREAM_LEAVING },
  { "/sync/leaving-and-back",
    { { 10000, STEP_LEAVING, 8, 0 }, { 14000, STEP_LIVE, 8, 0 } },
    17000,
    1,
    1,
    0,
    GALENA_AUDIT_UPSTREAM_LEAVING },
};

/* The state of a running case.  */
struct fleet_state
{
  struct sync_fleet *fleet;
  /* Highest generation of service 1 that any synced process has had, and its
     value at each check of the last GRACE_MS.  */
  uint64_t accepted;
  uint64_t past[GRACE_MS / CHECK_MS];
  /* As of the last check, for each process.  */
  uint32_t incarnations[PROCESSES];
  bool synced[PROCESSES];
  /* Whether the expected audit event was found.  */
  bool event_found;
};

static struct galena_endpoint
address_of (uint32_t process)
{
  return (struct galena_endpoint){ 0x7f010000 + process, 7000 };
}

static uint32_t
service_of (uint32_t process)
{
  return process < ENTRIES ? 0 : 1 + (process - ENTRIES) / AGENTS_EACH;
}

static struct galena_service_record
make_record (uint32_t number, uint64_t generation, uint64_t digest,
             struct galena_upstream *upstreams)
{
  struct galena_service_record record
      = { .service = { .number = number,
                       .generation = generation,
                       .digest = digest,
                       .address = { 0x7f640000 + number, 700 },
                       .upstream_count = AGENTS_EACH },
          .upstreams = upstreams };

  g_snprintf (record.service.name, GALENA_NAME_BYTES, "service-%u", number);
  for (uint32_t i = 0; i < AGENTS_EACH; i++)
    {
      uint32_t process = ENTRIES + (number - 1) * AGENTS_EACH + i;

      upstreams[i] = (struct galena_upstream){ .number = process,
                                               .agent = address_of (process),
                                               .slots = 1,
                                               .connections = 1,
                                               .weight = 1 };
    }
  return record;
}

static struct sync_fleet_version *
publish (struct sync_fleet *fleet, uint32_t number, const struct step *step)
{
  struct galena_upstream upstreams[AGENTS_EACH];
  struct galena_service_record record
      = make_record (number, step->a, step->b, upstreams);

  return sync_fleet_publish (fleet, &record, RECORD_BYTES);
}

static void
start (struct sync_fleet *fleet, uint32_t process)
{
  struct galena_sync_options options
      = { .self
          = { address_of (process),
              process < ENTRIES ? GALENA_ROLE_ENTRY : GALENA_ROLE_AGENT },
          .service = service_of (process),
          .seeds = { address_of (0), address_of (3) },
          .seed_count = 2,
          .readers = PROCESSES,
          .reads_per_second = 100,
          .wait_ms = 20000,
          .has_instance_list = true };

  sync_fleet_start (fleet, process, &options);
}

static void
do_publish (struct sync_fleet *fleet, const struct step *step)
{
  publish (fleet, 1, step);
}

static void
do_publish_on_one (struct sync_fleet *fleet, const struct step *step)
{
  publish (fleet, 1, step)->replicas = 1U << (step->b % SYNC_FLEET_REPLICAS);
}

static void
do_publish_invalid (struct sync_fleet *fleet, const struct step *step)
{
  publish (fleet, 1, step)->invalid = true;
}

static void
do_kill (struct sync_fleet *fleet, const struct step *step)
{
  sync_fleet_kill (fleet, step->a);
}

static void
do_start (struct sync_fleet *fleet, const struct step *step)
{
  start (fleet, step->a);
}

static void
do_platform (struct sync_fleet *fleet, const struct step *step)
{
  fleet->platform_down = step->verb == STEP_DOWN;
}

static void
do_stale (struct sync_fleet *fleet, const struct step *step)
{
  fleet->visible_until[step->a].ms = step->b != 0 ? step->b : step->at_ms;
}

static void
do_fresh (struct sync_fleet *fleet, const struct step *step)
{
  fleet->visible_until[step->a].ms = INT64_MAX;
}

static void
do_pause (struct sync_fleet *fleet, const struct step *step)
{
  fleet->processes[step->a].frozen_until
      = galena_clock_add_ms (fleet->now, step->b);
}

static void
do_cut (struct sync_fleet *fleet, const struct step *step)
{
  for (uint32_t i = 0; i < PROCESSES; i++)
    fleet->processes[i].cut_from_platform = i != step->a;
}

static void
do_partition (struct sync_fleet *fleet, const struct step *step)
{
  for (uint32_t i = 0; i < PROCESSES; i++)
    fleet->processes[i].group = i < step->a;
}

static void
do_leaving (struct sync_fleet *fleet, const struct step *step)
{
  g_array_index (fleet->instances, struct galena_instance, step->a).leaving
      = step->verb == STEP_LEAVING;
  fleet->list_generation++;
}

static void
do_restore (struct sync_fleet *fleet, const struct step *step)
{
  sync_fleet_restore (fleet, (struct galena_clock){ step->a }, 1);
}

static void (*const VERBS[STEP_COUNT]) (struct sync_fleet *,
                                        const struct step *)
    = {
        [STEP_PUBLISH] = do_publish,
        [STEP_PUBLISH_ON_ONE] = do_publish_on_one,
        [STEP_PUBLISH_INVALID] = do_publish_invalid,
        [STEP_KILL] = do_kill,
        [STEP_START] = do_start,
        [STEP_DOWN] = do_platform,
        [STEP_UP] = do_platform,
        [STEP_STALE] = do_stale,
        [STEP_FRESH] = do_fresh,
        [STEP_PAUSE] = do_pause,
        [STEP_CUT] = do_cut,
        [STEP_PARTITION] = do_partition,
        [STEP_HEAL] = do_partition,
        [STEP_LEAVING] = do_leaving,
        [STEP_LIVE] = do_leaving,
        [STEP_RESTORE] = do_restore,
      };

static void
create_fleet (struct fleet_state *state, uint64_t seed)
{
  struct sync_fleet_options options = { seed, 2, 5 };
  struct step first = { .a = 1, .b = 1 };

  state->fleet = sync_fleet_create (&options, PROCESSES);
  state->fleet->list_generation = 1;
  for (uint32_t i = 0; i < PROCESSES; i++)
    {
      struct galena_instance instance
          = { .peer = { address_of (i),
                        i < ENTRIES ? GALENA_ROLE_ENTRY : GALENA_ROLE_AGENT },
              .upstream = i < ENTRIES ? 0 : i };

      g_array_append_val (state->fleet->instances, instance);
      state->fleet->processes[i].replica = i % SYNC_FLEET_REPLICAS;
    }
  for (uint32_t number = 1; number <= SERVICES; number++)
    publish (state->fleet, number, &first);
  for (uint32_t i = 0; i < PROCESSES; i++)
    start (state->fleet, i);
}

static void
find_event (struct fleet_state *state,
            const struct sync_fleet_process *process,
            enum galena_audit_event event)
{
  const struct galena_audit_row *row = galena_audit_find (process->audit, 1);

  for (; row != NULL;
       row = galena_audit_find (process->audit, row->sequence + 1))
    state->event_found |= row->event == event;
}

/* Returns the generation of PROCESS's record of service 1, 0 for none.  */
static uint64_t
current_generation (const struct sync_fleet_process *process)
{
  const struct galena_service_record *current
      = galena_records_find (galena_sync_records (process->sync), 1);

  return current == NULL ? 0 : current->service.generation;
}

/* Checks that processes that became synced since the last check have a record
   at least as new as any accepted GRACE_MS ago.  */
static void
check_synced (struct fleet_state *state, const struct sync_case *test)
{
  uint32_t slot = (uint32_t)(state->fleet->now.ms / CHECK_MS)
                  % G_N_ELEMENTS (state->past);

  for (uint32_t i = 0; i < PROCESSES; i++)
    {
      const struct sync_fleet_process *process = &state->fleet->processes[i];
      bool frozen = state->fleet->now.ms <= process->frozen_until.ms;
      bool synced = process->sync != NULL && !frozen
                    && galena_sync_is_synced (process->sync);
      bool before
          = state->synced[i] && state->incarnations[i] == process->incarnation;

      state->synced[i] = synced;
      state->incarnations[i] = process->incarnation;
      if (process->sync != NULL)
        find_event (state, process, test->event);
      if (!synced || service_of (i) > 1)
        continue;
      if (!before)
        g_assert_cmpuint (current_generation (process), >=, state->past[slot]);
      state->accepted = MAX (state->accepted, current_generation (process));
    }
  state->past[slot] = state->accepted;
}

static void
check_leaving (const struct fleet_state *state, uint32_t leaving)
{
  for (uint32_t i = 0; leaving != 0 && i < PROCESSES; i++)
    {
      const struct sync_fleet_process *process = &state->fleet->processes[i];
      const struct galena_upstream *upstream;
      struct galena_config *config = NULL;

      if (process->sync == NULL || service_of (i) > 1)
        continue;
      g_assert_cmpint (galena_sync_snapshot (process->sync, &config), ==,
                       GALENA_OK);
      upstream = galena_config_upstream_numbered (config, leaving);
      g_assert_nonnull (upstream);
      g_assert_cmpint (upstream->state, ==, GALENA_UPSTREAM_LEAVING);
      galena_config_destroy (config);
    }
}

static void
run_seed (const struct sync_case *test, uint64_t seed)
{
  struct fleet_state state = { 0 };
  uint32_t done = 0;

  create_fleet (&state, seed);
  while (state.fleet->now.ms < test->check_ms)
    {
      for (uint32_t i = 0; i < STEPS_MAX; i++)
        if (test->steps[i].verb != 0 && (done & (1U << i)) == 0
            && test->steps[i].at_ms <= state.fleet->now.ms)
          {
            VERBS[test->steps[i].verb](state.fleet, &test->steps[i]);
            done |= 1U << i;
          }
      sync_fleet_run (state.fleet, state.fleet->now.ms + CHECK_MS);
      check_synced (&state, test);
    }
  g_assert_cmpuint (
      sync_fleet_count_behind (state.fleet, 1, test->generation, test->digest),
      ==, 0);
  check_leaving (&state, test->leaving);
  if (test->event != 0)
    g_assert_true (state.event_found);
  sync_fleet_destroy (state.fleet);
}

static void
run_case (gconstpointer data)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    run_seed (data, seed);
}

/* Guards against peers that use up all links: a process must still be able to
   open links of its own, without which it may receive no records at all.  */
static void
run_crowded (void)
{
  struct galena_audit_options audit = { 8 };
  struct galena_sync_options options
      = { .self = { address_of (1), GALENA_ROLE_ENTRY },
          .readers = PROCESSES,
          .reads_per_second = 100 };
  struct galena_sync_message known
      = { .type = GALENA_SYNC_PEERS,
          .peer_count = 1,
          .peers = { { address_of (0), GALENA_ROLE_ENTRY } } };
  struct galena_sync_event event
      = { .type = GALENA_SYNC_RECEIVED, .message = &known };
  struct galena_sync_action action;
  struct galena_peer_handle peer;
  struct galena_sync *sync;
  uint32_t accepted = 0;
  uint32_t connects = 0;

  g_assert_cmpint (galena_audit_create (&audit, &options.audit), ==,
                   GALENA_OK);
  g_assert_cmpint (galena_sync_create (&options, &sync), ==, GALENA_OK);
  while (accepted < 2 * GALENA_SYNC_LINKS_MAX
         && galena_sync_accept (sync, (struct galena_clock){ 1 }, &peer)
                == GALENA_OK)
    {
      event.peer = peer;
      accepted++;
    }
  g_assert_cmpuint (accepted, <, GALENA_SYNC_LINKS_MAX);
  galena_sync_handle_event (sync, &event, (struct galena_clock){ 100 });
  galena_sync_tick (sync, (struct galena_clock){ 200 });
  while (galena_sync_next_action (sync, &action))
    connects += action.type == GALENA_SYNC_DO_CONNECT;
  g_assert_cmpuint (connects, ==, 1);
  galena_sync_destroy (sync);
  galena_audit_destroy (options.audit);
}

/* Takes all queued actions.  Returns the number of actions of TYPE whose query
   is of READ_TYPE, and stores the read of the last one in *READ.  */
static uint32_t
count_actions (struct galena_sync *sync, enum galena_sync_action_type type,
               enum galena_sync_read_type read_type,
               struct galena_read_handle *read)
{
  struct galena_sync_action action;
  uint32_t count = 0;

  while (galena_sync_next_action (sync, &action))
    if (action.type == type && action.query.type == read_type)
      {
        *read = action.read;
        count++;
      }
  return count;
}

/* Guards against a delay when the index lists a record newer than the one that
   a peer has announced: the record must be read from the platform at the next
   tick instead of being fetched from that peer.  */
static void
run_ahead_of_peers (void)
{
  struct galena_audit_options audit = { 32 };
  struct galena_sync_options options
      = { .self = { address_of (1), GALENA_ROLE_ENTRY },
          .readers = 1,
          .reads_per_second = 1000 };
  struct galena_upstream upstreams[AGENTS_EACH];
  struct galena_service_record record = make_record (1, 1, 1, upstreams);
  struct galena_index_row row = { "service-1", 1, 2 };
  struct galena_index_record index = { 0, 2, 1, &row };
  struct galena_sync_message message = {
    .type = GALENA_SYNC_ANNOUNCE, .number = 1, .generation = 1, .digest = 1
  };
  struct galena_sync_event received
      = { .type = GALENA_SYNC_RECEIVED, .message = &message };
  struct galena_sync_event ended
      = { .type = GALENA_SYNC_READ_ENDED, .index = &index };
  struct galena_sync *sync;

  g_assert_cmpint (galena_audit_create (&audit, &options.audit), ==,
                   GALENA_OK);
  g_assert_cmpint (galena_sync_create (&options, &sync), ==, GALENA_OK);
  g_assert_cmpint (
      galena_sync_accept (sync, (struct galena_clock){ 1 }, &received.peer),
      ==, GALENA_OK);
  galena_sync_handle_event (sync, &received, (struct galena_clock){ 10 });
  message.type = GALENA_SYNC_RECORD;
  message.record = &record;
  galena_sync_handle_event (sync, &received, (struct galena_clock){ 20 });
  galena_sync_tick (sync, (struct galena_clock){ 100 });
  g_assert_cmpuint (count_actions (sync, GALENA_SYNC_DO_READ,
                                   GALENA_SYNC_READ_INDEX, &ended.read),
                    ==, 1);
  galena_sync_handle_event (sync, &ended, (struct galena_clock){ 110 });
  galena_sync_tick (sync, (struct galena_clock){ 200 });
  g_assert_cmpuint (count_actions (sync, GALENA_SYNC_DO_READ,
                                   GALENA_SYNC_READ_SERVICE, &ended.read),
                    ==, 1);
  galena_sync_destroy (sync);
  galena_audit_destroy (options.audit);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    g_test_add_data_func (CASES[i].name, &CASES[i], run_case);
  g_test_add_func ("/sync/crowded", run_crowded);
  g_test_add_func ("/sync/ahead-of-peers", run_ahead_of_peers);
  return g_test_run ();
}
