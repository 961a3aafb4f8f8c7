/* The scenarios.  */

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "scenarios.h"

enum
{
  START_MS = 10000,
  POLL_MS = 100,
  RESTART_MS = 500,
  STOP_MS = 6000
};

/* Starts the deployment and waits until a request is answered through each
   entry.  */
static bool
start (struct lab *lab, uint32_t entries, uint32_t hosts)
{
  if (!lab_open (lab, entries, hosts))
    return false;
  for (uint32_t i = 0; i < hosts; i++)
    host_publish (lab, i, "ready");
  while (lab_now (lab) < START_MS)
    {
      bool ready = true;

      lab_run (lab, POLL_MS);
      for (uint32_t i = 0; i < entries; i++)
        ready &= atomic_load (&lab->in_rotation[i]);
      if (ready)
        break;
    }
  /* Longer than the time after which a start counts as over.  */
  lab_run (lab, STABLE_MS + RESTART_MS);
  for (uint32_t i = 0; i < entries; i++)
    {
      struct call *call;

      lab->pinned_entry = (int)i;
      call = call_begin (lab, true);
      lab_run (lab, RESTART_MS);
      if (call->answered != 1)
        return false;
    }
  lab->pinned_entry = -1;
  return true;
}

/* Opening packets that a host took more than DRAIN_MS after the store had
   accepted that it drains.  */
static uint32_t late_opens;

static void
count_late_open (struct lab *lab, int host, const struct packet *packet,
                 bool taken)
{
  int64_t since = lab->hosts[host].drains_since;

  if (!taken || (packet->flags & (FLAG_SYN | FLAG_ACK)) != FLAG_SYN
      || since == 0 || lab_now (lab) - since <= DRAIN_MS)
    return;
  late_opens++;
  lab_log (lab, "late open host=%d flow=%u %lld ms after the drain", host + 1,
           packet->source.port, (long long)(lab_now (lab) - since));
}

/* A host drains on whose machine another program has an entry in the store,
   with a service that the configuration does not name.  */
enum outcome
scenario_foreign_entry (struct lab *lab)
{
  enum
  {
    RATE = 80,
    BEFORE_MS = 5000,
    AFTER_MS = 12000
  };
  char value[VALUE_BYTES];
  char address[TEXT_BYTES];
  struct endpoint exporter
      = { lab_ip (2, 0), (uint16_t)(9100 + lab->first_port % 100) };
  uint32_t answered;

  if (!start (lab, 2, 3))
    return OUTCOME_NOT_RUN;
  lab->on_host_packet = count_late_open;
  lab->rate = RATE;
  snprintf (value, sizeof value,
            "{\"service\":\"node-exporter\",\"address\":\"%s\","
            "\"zone\":\"zone-a\",\"version\":\"1.8\",\"capacity\":2,"
            "\"state\":\"ready\",\"warmupLeftMs\":0,\"sequence\":1,"
            "\"born\":%llu}",
            lab_text (exporter, address), (unsigned long long)lab_unix_ms ());
  if (lab->trouble)
    store_put (lab, "servers/node-exporter-1", value);
  lab_run (lab, BEFORE_MS);
  host_publish (lab, 0, "draining");
  lab_run (lab, AFTER_MS);
  lab->rate = 0;
  lab_run (lab, RESTART_MS);
  answered = lab->answered;
  lab_log (lab, "late opens: %u; begun %u, answered %u", late_opens,
           lab->begun, answered);
  if (answered < lab->begun / 2)
    return OUTCOME_NOT_RUN;
  return late_opens > 0 ? OUTCOME_BROKEN : OUTCOME_HELD;
}

/* Returns the number of flows that the system has reset while they were
   open.  */
static uint32_t
count_resets (const struct lab *lab)
{
  uint32_t resets = 0;

  for (uint32_t i = 0; i < CALL_FLOWS_MAX; i++)
    resets += lab->calls[i].resets;
  return resets;
}

/* Restarts PROCESS as the platform does.  */
static bool
restart (struct lab *lab, struct process *process, const char *service)
{
  process_signal (lab, process, SIGTERM);
  if (!process_wait (lab, process, STOP_MS))
    return false;
  lab_run (lab, RESTART_MS);
  return process_start (lab, process, service);
}

/* The time of day of a machine is ahead when its host starts, and is right
   again when its agent is restarted.  Later an entry is restarted, and other
   entries get the packets of its flows.  */
enum outcome
scenario_clock_step (struct lab *lab)
{
  enum
  {
    STEP_MS = 3360,
    FLOWS = 24,
    PUBLISHED_MS = 50,
    FLOWS_MS = 800,
    QUIET_MS = 9000,
    ANSWER_MS = 6000,
    NEW_HOST = 2
  };
  struct call *calls[FLOWS];
  uint32_t answered = 0;
  uint32_t resets;

  if (!start (lab, 2, 2))
    return OUTCOME_NOT_RUN;
  lab->pinned_entry = 0;
  if (!process_start (lab, &lab->agents[NEW_HOST], "desk")
      || !host_start (lab, NEW_HOST, "desk"))
    return OUTCOME_NOT_RUN;
  if (lab->trouble)
    lab->hosts[NEW_HOST].born += STEP_MS;
  host_publish (lab, NEW_HOST, "ready");
  lab_run (lab, PUBLISHED_MS);
  for (uint32_t i = 0; i < FLOWS; i++)
    {
      calls[i] = call_begin (lab, false);
      lab_run (lab, FLOWS_MS / FLOWS);
    }
  if (!restart (lab, &lab->agents[NEW_HOST], "desk"))
    return OUTCOME_NOT_RUN;
  lab_run (lab, QUIET_MS);
  lab->pinned_entry = -1;
  process_signal (lab, &lab->entries[0], SIGTERM);
  if (!process_wait (lab, &lab->entries[0], STOP_MS))
    return OUTCOME_NOT_RUN;
  for (uint32_t i = 0; i < FLOWS; i++)
    call_request (lab, calls[i]);
  lab_run (lab, ANSWER_MS);
  for (uint32_t i = 0; i < FLOWS; i++)
    answered += calls[i]->answered == 2;
  resets = count_resets (lab);
  lab_log (lab, "second requests answered: %u of %u; open flows reset: %u",
           answered, (unsigned)FLOWS, resets);
  if (answered + resets < FLOWS / 2)
    return OUTCOME_NOT_RUN;
  return resets > 0 ? OUTCOME_BROKEN : OUTCOME_HELD;
}

enum
{
  WATCHED_MAX = 64,
  FOREIGN_MAX = 256
};

/* Packets of one caller's flow that hosts have seen.  */
struct watched
{
  uint16_t port;
  uint32_t foreign_count;
  int64_t foreign[FOREIGN_MAX];
  uint32_t own_count;
  int64_t own[FOREIGN_MAX];
};

static struct watched watched[WATCHED_MAX];
static uint32_t watched_count;

/* Only the host that has a flow takes its packets; the others return them.  */
static void
watch_packet (struct lab *lab, int host, const struct packet *packet,
              bool taken)
{
  for (uint32_t i = 0; i < watched_count; i++)
    {
      struct watched *row = &watched[i];

      if (row->port != packet->source.port)
        continue;
      lab_log (lab, "packet flow=%u host=%d %s", row->port, host + 1,
               taken ? "own" : "foreign");
      if (taken && row->own_count < FOREIGN_MAX)
        row->own[row->own_count++] = lab_now (lab);
      else if (!taken && row->foreign_count < FOREIGN_MAX)
        row->foreign[row->foreign_count++] = lab_now (lab);
    }
}

/* Returns whether three packets of the flow reached other hosts, and none its
   own, for REORDER_MS after FROM.  */
static bool
is_misled (const struct watched *row, int64_t from)
{
  uint32_t foreign = 0;

  for (uint32_t i = 0; i < row->own_count; i++)
    if (row->own[i] >= from && row->own[i] <= from + REORDER_MS)
      return false;
  for (uint32_t i = 0; i < row->foreign_count; i++)
    foreign += row->foreign[i] >= from && row->foreign[i] <= from + REORDER_MS;
  return foreign >= 3;
}

/* Returns the host with the most open flows.  */
static uint32_t
busiest_host (const struct lab *lab)
{
  uint32_t best = 0;
  uint32_t most = 0;

  for (uint32_t i = 0; i < HOSTS_MAX; i++)
    {
      uint32_t count = 0;

      for (uint32_t k = 0; k < HOST_FLOWS_MAX; k++)
        count += lab->hosts[i].flows[k].used && lab->hosts[i].flows[k].open;
      if (count > most)
        {
          best = i;
          most = count;
        }
    }
  return best;
}

static bool
add_host (struct lab *lab, uint32_t index)
{
  if (!process_start (lab, &lab->agents[index], "desk")
      || !host_start (lab, index, "desk"))
    return false;
  host_publish (lab, index, "ready");
  return true;
}

/* The agents are restarted in turn, and then one agent and an entry again,
   while hosts are replaced.  The agent is away for half a second just when
   the other entry looks for the owner of flows.  */
enum outcome
scenario_search (struct lab *lab)
{
  enum
  {
    HOSTS = 6,
    FLOWS = 30,
    NEW_HOSTS = 3,
    FIRST_MS = 250,
    GAP_MS = 500,
    ANSWER_MS = 6000
  };
  struct call *calls[FLOWS];
  struct process *agent;
  uint32_t misled = 0;
  uint32_t answered = 0;
  uint32_t owner;

  if (!start (lab, 2, HOSTS))
    return OUTCOME_NOT_RUN;
  lab->pinned_entry = 0;
  for (uint32_t i = 0; i < FLOWS; i++)
    {
      calls[i] = call_begin (lab, false);
      lab_run (lab, POLL_MS);
    }
  for (uint32_t i = 0; i < HOSTS; i++)
    if (!restart (lab, &lab->agents[i], "desk"))
      return OUTCOME_NOT_RUN;
  lab->pinned_entry = -1;
  process_signal (lab, &lab->entries[0], SIGTERM);
  if (!process_wait (lab, &lab->entries[0], STOP_MS))
    return OUTCOME_NOT_RUN;
  lab_run (lab, STABLE_MS);
  owner = busiest_host (lab);
  agent = &lab->agents[owner];
  process_signal (lab, agent, SIGTERM);
  if (!process_wait (lab, agent, STOP_MS))
    return OUTCOME_NOT_RUN;
  lab->on_host_packet = watch_packet;
  for (uint32_t i = 0; i < FLOWS; i++)
    {
      watched[watched_count++].port = calls[i]->caller.port;
      call_request (lab, calls[i]);
    }
  lab_run (lab, FIRST_MS);
  for (uint32_t i = 0; i < NEW_HOSTS; i++)
    {
      /* A new host starts first; then an old one drains.  */
      if (lab->trouble)
        {
          if (!add_host (lab, HOSTS + i))
            return OUTCOME_NOT_RUN;
          host_publish (lab, (owner + 1 + i) % HOSTS, "draining");
        }
      lab_run (lab, GAP_MS / 2);
      if (i == 0 && !process_start (lab, agent, "desk"))
        return OUTCOME_NOT_RUN;
      lab_run (lab, GAP_MS / 2);
    }
  lab_run (lab, ANSWER_MS);
  for (uint32_t i = 0; i < FLOWS; i++)
    {
      const struct watched *row = &watched[i];
      bool broken = false;

      for (uint32_t k = 0; k < row->foreign_count; k++)
        broken |= is_misled (row, row->foreign[k]);
      misled += broken;
      answered += calls[i]->answered == 2;
      if (broken)
        lab_log (lab, "flow=%u reached other hosts only", row->port);
    }
  lab_log (lab, "second requests answered: %u of %u; flows misled: %u",
           answered, (unsigned)FLOWS, misled);
  return misled > 0 ? OUTCOME_BROKEN : OUTCOME_HELD;
}

/* Returns the host that took the most opening packets.  */
static uint32_t
most_opened_host (const struct lab *lab)
{
  uint32_t best = 0;

  for (uint32_t i = 1; i < HOSTS_MAX; i++)
    if (lab->hosts[i].opens > lab->hosts[best].opens)
      best = i;
  return best;
}

/* Opening packets of the first route that a host of the second service
   took.  */
static uint32_t wrong_opens;

static void
count_wrong_open (struct lab *lab, int host, const struct packet *packet,
                  bool taken)
{
  const char *service = lab->hosts[host].service;

  if (!taken || (packet->flags & (FLAG_SYN | FLAG_ACK)) != FLAG_SYN
      || strcmp (service, "desk") == 0)
    return;
  wrong_opens++;
  lab_log (lab, "open of the route of desk taken by a host of %s flow=%u",
           service, packet->source.port);
}

enum
{
  CALLERS = 30,
  CALL_PERIOD_MS = 1000
};

/* Lets each caller open a flow for its next request, from the port that it
   always uses; a request whose flow did not open is tried once more from a new
   port.  */
static void
run_round (struct lab *lab, struct call **calls)
{
  for (uint32_t i = 0; i < CALLERS; i++)
    {
      if (calls[i]->state == CALL_ENDED
          && strcmp (calls[i]->outcome, "not opened") == 0)
        call_begin (lab, true);
      call_again (lab, calls[i]);
      lab_run (lab, CALL_PERIOD_MS / CALLERS);
    }
}

static void
begin_calls (struct lab *lab, struct call **calls)
{
  lab->hosts_end_flows = true;
  for (uint32_t i = 0; i < CALLERS; i++)
    {
      calls[i] = call_begin (lab, true);
      lab_run (lab, CALL_PERIOD_MS / CALLERS);
    }
}

/* Callers open a flow for each request, always from the same port, and hosts
   end it.  A host crashes for good with its machine, whose address then goes
   to a host of another service.  */
enum outcome
scenario_address_again (struct lab *lab)
{
  enum
  {
    HOSTS = 3,
    ROUNDS_BEFORE = 4,
    ROUNDS = 12,
    REUSE_MS = 2000,
    EXPIRY_MS = 3 * HEARTBEAT_MS
  };
  struct call *calls[CALLERS];
  char key[KEY_BYTES + TEXT_BYTES] = "";
  int64_t crashed_at = 0;
  uint32_t owner = 0;

  if (!start (lab, 2, HOSTS))
    return OUTCOME_NOT_RUN;
  lab->on_host_packet = count_wrong_open;
  begin_calls (lab, calls);
  for (uint32_t round = 0; round < ROUNDS; round++)
    {
      if (round == ROUNDS_BEFORE && lab->trouble)
        {
          owner = most_opened_host (lab);
          snprintf (key, sizeof key, "servers/%s", lab->hosts[owner].id);
          process_signal (lab, &lab->agents[owner], SIGKILL);
          host_crash (lab, owner);
          crashed_at = lab_now (lab);
          if (!process_wait (lab, &lab->agents[owner], STOP_MS))
            return OUTCOME_NOT_RUN;
        }
      if (crashed_at != 0 && !lab->hosts[owner].up
          && lab_now (lab) - crashed_at >= REUSE_MS)
        {
          if (!process_start (lab, &lab->agents[owner], "photo")
              || !host_start (lab, owner, "photo"))
            return OUTCOME_NOT_RUN;
          host_publish (lab, owner, "ready");
        }
      if (key[0] != '\0' && lab_now (lab) - crashed_at >= EXPIRY_MS)
        {
          store_remove (lab, key);
          key[0] = '\0';
        }
      run_round (lab, calls);
    }
  lab_run (lab, RESTART_MS);
  lab_log (lab, "opens at the wrong service: %u; begun %u, answered %u",
           wrong_opens, lab->begun, lab->answered);
  if (lab->answered < lab->begun / 2)
    return OUTCOME_NOT_RUN;
  return wrong_opens > 0 ? OUTCOME_BROKEN : OUTCOME_HELD;
}

/* The same callers; a host drains.  */
enum outcome
scenario_same_port (struct lab *lab)
{
  enum
  {
    ROUNDS_BEFORE = 4,
    ROUNDS = 16
  };
  struct call *calls[CALLERS];

  if (!start (lab, 2, 3))
    return OUTCOME_NOT_RUN;
  lab->on_host_packet = count_late_open;
  begin_calls (lab, calls);
  for (uint32_t round = 0; round < ROUNDS; round++)
    {
      if (round == ROUNDS_BEFORE && lab->trouble)
        host_publish (lab, most_opened_host (lab), "draining");
      run_round (lab, calls);
    }
  lab_run (lab, RESTART_MS);
  lab_log (lab, "late opens: %u; begun %u, answered %u", late_opens,
           lab->begun, lab->answered);
  if (lab->answered < lab->begun / 2)
    return OUTCOME_NOT_RUN;
  return late_opens > 0 ? OUTCOME_BROKEN : OUTCOME_HELD;
}

/* Another writer writes a few large values that can't be read, and then a host
   drains.  */
enum outcome
scenario_large_values (struct lab *lab)
{
  enum
  {
    RATE = 80,
    BEFORE_MS = 3000,
    AFTER_WRITES_MS = 1000,
    AFTER_MS = 12000,
    VALUES = 3,
    VALUE_SIZE = 1048576
  };
  static uint8_t bytes[VALUE_SIZE];

  if (!start (lab, 2, 3))
    return OUTCOME_NOT_RUN;
  lab->on_host_packet = count_late_open;
  lab->rate = RATE;
  lab_run (lab, BEFORE_MS);
  for (size_t i = 0; i < sizeof bytes; i++)
    bytes[i] = (uint8_t)random ();
  for (uint32_t i = 0; i < VALUES && lab->trouble; i++)
    {
      char key[TEXT_BYTES];

      snprintf (key, sizeof key, "servers/blob-%u", i + 1);
      store_put_bytes (lab, key, bytes, sizeof bytes);
    }
  lab_run (lab, AFTER_WRITES_MS);
  host_publish (lab, most_opened_host (lab), "draining");
  lab_run (lab, AFTER_MS);
  lab->rate = 0;
  lab_run (lab, RESTART_MS);
  lab_log (lab, "late opens: %u; begun %u, answered %u", late_opens,
           lab->begun, lab->answered);
  if (lab->answered < lab->begun / 2)
    return OUTCOME_NOT_RUN;
  return late_opens > 0 ? OUTCOME_BROKEN : OUTCOME_HELD;
}
