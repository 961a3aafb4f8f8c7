/* Runs one scenario of the review.  Usage: lab2 SCENARIO PROGRAM TEMPLATES
   FOLDER RECORD TROUBLE.  Exits with 1 if the rule was broken, 0 if it held,
   and 2 if the scenario could not run.  */

#include <signal.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "scenarios.h"

enum
{
  NET_FIRST = 40,
  NETS = 180,
  NS_PER_MS = 1000000
};

static volatile sig_atomic_t stopped;

static void
on_signal (int number)
{
  (void)number;
  stopped = 1;
}

/* Takes a free net of loopback addresses.  */
static bool
take_net (struct lab *lab)
{
  uint32_t first = (uint32_t)getpid () % NETS;

  for (uint32_t i = 0; i < NETS; i++)
    {
      struct address address;
      int fd;

      lab->net = NET_FIRST + (first + i) % NETS;
      address = store_address (lab);
      if (store_create (address.ip, address.port, &lab->store))
        {
          fd = open_socket (entry_address (lab, 0, PORT_PACKETS));
          if (fd >= 0)
            {
              close (fd);
              return true;
            }
        }
      store_destroy (lab->store);
      lab->store = NULL;
    }
  return false;
}

static bool
set_up (struct lab *lab, const struct scenario *scenario)
{
  lab->entries = scenario->entries;
  lab->hosts_count = scenario->hosts;
  lab->callers_count = scenario->callers;
  lab->contracts = scenario->contracts;
  if (!take_net (lab))
    return false;
  lab->route_service[1] = 1;
  publish_config (lab);
  for (uint32_t i = 0; i < lab->hosts_count; i++)
    {
      struct host *host = &lab->hosts[i];

      host->index = i;
      host->service = i % SERVICES_MAX;
      host->fd = open_socket (host_address (lab, i, PORT_APP));
      if (host->fd < 0)
        return false;
      host_start (lab, host);
      agent_process (lab, i)->index = i;
      process_start (lab, agent_process (lab, i));
    }
  for (uint32_t i = 0; i < lab->entries; i++)
    {
      entry_process (lab, i)->index = i;
      entry_process (lab, i)->entry = true;
      process_start (lab, entry_process (lab, i));
    }
  for (uint32_t i = 0; i < lab->callers_count; i++)
    {
      lab->callers[i].index = i;
      lab->callers[i].next_port = CALLER_FIRST_PORT;
      lab->callers[i].fd = open_socket (caller_address (lab, i, PORT_PACKETS));
      if (lab->callers[i].fd < 0)
        return false;
    }
  rotation_start (lab);
  return true;
}

static void
tear_down (struct lab *lab)
{
  rotation_end ();
  fleet_end (lab);
  store_destroy (lab->store);
}

static void
run (struct lab *lab, const struct scenario *scenario)
{
  struct timespec pause = { 0, NS_PER_MS };
  uint32_t done = 0;

  while (!stopped && lab->now - lab->began < scenario->length_ms)
    {
      lab->now = clock_ms ();
      while (done < scenario->step_count
             && lab->now - lab->began >= scenario->steps[done].at_ms)
        {
          const struct step *step = &scenario->steps[done++];

          if (lab->trouble || !step->is_trouble)
            step->run (lab, step->index);
        }
      fleet_run (lab);
      hosts_run (lab);
      callers_run (lab);
      nanosleep (&pause, NULL);
    }
}

int
main (int argc, char **argv)
{
  static struct lab state;
  struct lab *lab = &state;
  const struct scenario *scenario;
  int result;

  if (argc != 7)
    return 2;
  scenario = find_scenario (argv[1]);
  lab->program = argv[2];
  lab->templates = argv[3];
  lab->folder = argv[4];
  lab->record = fopen (argv[5], "w");
  lab->trouble = strcmp (argv[6], "0") != 0;
  lab->random = (uint32_t)unix_ms ();
  if (scenario == NULL || lab->record == NULL)
    return 2;
  signal (SIGINT, on_signal);
  signal (SIGTERM, on_signal);
  lab->began = lab->now = clock_ms ();
  if (!set_up (lab, scenario))
    {
      tear_down (lab);
      return 2;
    }
  run (lab, scenario);
  tear_down (lab);
  result = stopped ? 2 : scenario->judge (lab);
  note (lab,
        "flows opened %u, openings failed %u, requests answered %u, resets "
        "of open flows %u, of which the host lived and held the flow %u, "
        "openings at a draining host %u, at a host of the old service %u, bad "
        "exits %u: result %d",
        lab->opened, lab->failed_opens, lab->answered, lab->resets, lab->cut,
        lab->late_opens, lab->stale_opens, lab->bad_exits, result);
  fclose (lab->record);
  return result;
}
