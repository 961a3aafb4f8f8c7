/* Runs the soak with one or more seeds and prints which guarantees were
   violated.  */

#include <argp.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <curl/curl.h>

#include <galenaford/monotonic.h>

#include "soak.h"

enum
{
  /* Longest wait for packets in one tick; well below every time that is
     checked.  */
  POLL_MS = 2,
  /* Nets that runs use: 127.16.0.0/16 and following.  */
  FIRST_NET = 16,
  NETS = 200,
  PROBE_CONNECT_TIMEOUT_MS = 300,
  PROBE_BODY_BYTES_MAX = 4096,
  /* Least percentage of the requests near the end of the calm period that must
     be answered.  */
  RECOVERED_PERCENT = 95,
  POLLS_MAX = CALLERS_MAX + HOSTS_MAX + ENTRIES_MAX + 2 * RELAY_CONNECTIONS_MAX
};

static const struct soak_system SYSTEMS[] = {
  { "fleet", fleet_run },      { "hosts", hosts_run },
  { "callers", callers_run },  { "rotation", rotation_run },
  { "faults", faults_run },    { "publish", publish_run },
  { "late", net_run_delayed },
};

bool
soak_is_fault_free (const struct soak *soak, uint32_t bound_ms)
{
  return galena_clock_elapsed_ms (soak->last_fault, soak->now) > bound_ms;
}

/* Waits for packets and connections, and handles those that arrived.  */
static void
poll_sockets (struct soak *soak)
{
  static struct pollfd fds[POLLS_MAX];
  uint32_t callers = soak->options.callers;
  uint32_t hosts = soak->options.hosts;
  uint32_t count = 0;

  for (uint32_t i = 0; i < callers; i++)
    fds[count++] = (struct pollfd){ soak->callers[i].fd, POLLIN, 0 };
  for (uint32_t i = 0; i < hosts; i++)
    fds[count++] = (struct pollfd){ soak->hosts[i].fd, POLLIN, 0 };
  count += relay_poll (soak, fds + count);
  poll (fds, count, POLL_MS);
  soak->now = galena_monotonic_now ();
  for (uint32_t i = 0; i < callers; i++)
    if (fds[i].revents != 0)
      callers_receive (soak, i);
  for (uint32_t i = 0; i < hosts; i++)
    if (fds[callers + i].revents != 0)
      hosts_receive (soak, i);
  relay_move (soak, fds + callers + hosts, count - callers - hosts);
}

static void
run_ticks (struct soak *soak)
{
  uint32_t length_ms = soak->options.faults_ms + soak->options.calm_ms;

  while (galena_clock_elapsed_ms (soak->started, soak->now) < length_ms)
    {
      poll_sockets (soak);
      for (size_t i = 0; i < sizeof SYSTEMS / sizeof SYSTEMS[0]; i++)
        SYSTEMS[i].run (soak);
    }
}

static bool
create (struct soak *soak)
{
  struct galena_reads_options reads
      = { "", PROBE_CONNECT_TIMEOUT_MS, PROBE_BODY_BYTES_MAX, 2 * ENTRIES_MAX,
          NULL };

  soak->now = galena_monotonic_now ();
  soak->started = soak->now;
  soak->last_fault = soak->now;
  soak->random = (struct galena_random){ soak->options.seed, 0 };
  /* Another run may use the net of this seed; then take the next free one.  */
  for (uint32_t i = 0; i < NETS && soak->net_lock <= 0; i++)
    {
      soak->net = FIRST_NET + (uint32_t)((soak->options.seed + i) % NETS);
      soak->net_lock = net_reserve (soak);
    }
  for (uint32_t i = 0; i < SERVICES + 1; i++)
    soak->routes[i] = (struct route){ .used = true,
                                      .service = i % SERVICES,
                                      .changed = soak->now };
  if (!store_create (net_entry (soak, 0, PORT_STORE).ip, PORT_STORE,
                     &soak->store)
      || galena_reads_create (&reads, &soak->probes) != GALENA_OK)
    return false;
  publish_config (soak);
  if (!hosts_create (soak) || !callers_create (soak) || !relay_create (soak)
      || !fleet_create (soak))
    return false;
  faults_schedule (soak);
  return true;
}

static void
destroy (struct soak *soak)
{
  fleet_destroy (soak);
  relay_destroy (soak);
  callers_destroy (soak);
  hosts_destroy (soak);
  galena_reads_destroy (soak->probes);
  store_destroy (soak->store);
  if (soak->net_lock > 0)
    close (soak->net_lock);
}

static uint32_t
count_violations (const struct report *report)
{
  return report->doubled + report->misrouted + report->corrupted
         + report->wrong_answers + report->cut + report->opened_while_draining
         + report->evacuated + report->warm_up + report->stale + report->exits
         + report->memory + report->unrecovered;
}

static void
print_report (const struct soak *soak)
{
  const struct report *report = &soak->report;

  printf ("event=soak seed=%llu requests=%u answered=%u failed=%u faults=%u "
          "late=%u late_answered=%u doubled=%u misrouted=%u forged=%u "
          "mixed=%u cut=%u drained=%u evacuated=%u warm_up=%u stale=%u "
          "exits=%u memory=%u unrecovered=%u verdict=%s\n",
          (unsigned long long)soak->options.seed, report->requests,
          report->answered, report->failed, report->faults,
          report->recovery_requests, report->recovery_answered,
          report->doubled, report->misrouted, report->corrupted,
          report->wrong_answers, report->cut, report->opened_while_draining,
          report->evacuated, report->warm_up, report->stale, report->exits,
          report->memory, report->unrecovered,
          count_violations (report) == 0 ? "held" : "BROKEN");
  for (uint32_t i = 0; count_violations (report) > 0 && i < soak->fault_count;
       i++)
    printf (
        "event=fault seed=%llu kind=%s target=%u at_ms=%lld until_ms=%lld\n",
        (unsigned long long)soak->options.seed, soak->faults[i].kind->name,
        soak->faults[i].target,
        (long long)galena_clock_elapsed_ms (soak->started, soak->faults[i].at),
        (long long)galena_clock_elapsed_ms (soak->started,
                                            soak->faults[i].until));
  fflush (stdout);
}

/* Runs one seed; returns the exit code.  */
static int
run_seed (const struct soak_options *options)
{
  struct soak *soak = calloc (1, sizeof *soak);
  char folder[PATH_BYTES];
  bool held = false;

  if (soak == NULL)
    return EXIT_FAILURE;
  soak->options = *options;
  soak->options.load_control = options->seed % 2 == 1;
  soak->options.warm_up = options->seed / 2 % 2 == 1;
  snprintf (folder, sizeof folder, "%s/seed-%llu", options->folder,
            (unsigned long long)options->seed);
  mkdir (folder, 0700);
  soak->options.folder = folder;
  if (create (soak))
    {
      run_ticks (soak);
      soak->report.unrecovered
          = soak->report.recovery_answered * 100
            < soak->report.recovery_requests * RECOVERED_PERCENT;
      held = count_violations (&soak->report) == 0;
    }
  else
    printf ("event=soak-failed seed=%llu reason=start\n",
            (unsigned long long)options->seed);
  destroy (soak);
  held = held && count_violations (&soak->report) == 0;
  print_report (soak);
  free (soak);
  return held ? EXIT_SUCCESS : EXIT_FAILURE;
}

struct arguments
{
  struct soak_options options;
  uint32_t seeds;
  uint32_t jobs;
};

/* Runs all seeds, some of them in parallel; returns how many failed.  */
static uint32_t
run_seeds (const struct arguments *arguments)
{
  uint32_t running = 0;
  uint32_t next = 0;
  uint32_t failed = 0;
  int status;

  while (next < arguments->seeds || running > 0)
    {
      struct soak_options options = arguments->options;
      pid_t pid;

      if (next == arguments->seeds || running == arguments->jobs)
        {
          if (wait (&status) > 0)
            {
              running--;
              failed += !WIFEXITED (status) || WEXITSTATUS (status) != 0;
            }
          continue;
        }
      options.seed += next++;
      pid = fork ();
      if (pid == 0)
        exit (run_seed (&options));
      if (pid < 0)
        failed++;
      else
        running++;
    }
  return failed;
}

static const struct argp_option OPTIONS[] = {
  { "seed", 's', "N", 0, "First seed", 0 },
  { "seeds", 'n', "N", 0, "Number of consecutive seeds to run", 0 },
  { "jobs", 'j', "N", 0, "Number of seeds to run in parallel", 0 },
  { "entries", 'e', "N", 0, "Number of entries", 0 },
  { "hosts", 'h', "N", 0, "Number of upstreams, each with an agent", 0 },
  { "callers", 'c', "N", 0, "Number of callers", 0 },
  { "faults", 'f', "N", 0, "Number of faults, including planned work", 0 },
  { "faults-ms", 'm', "MS", 0, "Length of the period in which faults begin",
    0 },
  { "folder", 'd', "FOLDER", 0, "Folder for settings and logs", 0 },
  { 0 },
};

static error_t
parse_option (int key, char *text, struct argp_state *state)
{
  struct arguments *arguments = state->input;
  struct soak_options *options = &arguments->options;
  unsigned long number = text == NULL ? 0 : strtoul (text, NULL, 10);
  const struct
  {
    int key;
    uint32_t *at;
    uint32_t min;
    uint32_t max;
  } numbers[] = {
    { 'n', &arguments->seeds, 1, 100000 },
    { 'j', &arguments->jobs, 1, 32 },
    { 'e', &options->entries, 1, ENTRIES_MAX },
    { 'h', &options->hosts, SERVICES, HOSTS_MAX },
    { 'c', &options->callers, 1, CALLERS_MAX },
    { 'f', &options->faults, 0, FAULTS_MAX - CALM_FAULTS },
    { 'm', &options->faults_ms, 2000, 600000 },
  };

  for (size_t i = 0; i < sizeof numbers / sizeof numbers[0]; i++)
    if (numbers[i].key == key)
      {
        if (number < numbers[i].min || number > numbers[i].max)
          argp_error (state, "-%c takes %u to %u", key, numbers[i].min,
                      numbers[i].max);
        *numbers[i].at = (uint32_t)number;
        return 0;
      }
  if (key == 's')
    options->seed = number;
  else if (key == 'd')
    options->folder = text;
  else if (key == ARGP_KEY_ARG && state->arg_num == 0)
    options->program = text;
  else if (key == ARGP_KEY_END && options->program == NULL)
    argp_error (state, "no program given");
  else
    return ARGP_ERR_UNKNOWN;
  return 0;
}

static const struct argp ARGP = {
  OPTIONS,   parse_option,
  "PROGRAM", "Runs PROGRAM as entries and agents on loopback under faults.",
  NULL,      NULL,
  NULL
};

int
main (int argc, char **argv)
{
  struct arguments arguments = { .options = { .seed = 1,
                                              .entries = 3,
                                              .hosts = 6,
                                              .callers = 40,
                                              .faults = 10,
                                              .faults_ms = 8000,
                                              .calm_ms = RECOVERY_MS + 2000,
                                              .folder = "." },
                                 .seeds = 1,
                                 .jobs = 1 };
  uint32_t failed;

  argp_parse (&ARGP, argc, argv, 0, NULL, &arguments);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  failed = run_seeds (&arguments);
  printf ("event=soak-ended seeds=%u broken=%u\n", arguments.seeds, failed);
  curl_global_cleanup ();
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
