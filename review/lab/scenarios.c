/* The scenarios.  */

#include <signal.h>
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
