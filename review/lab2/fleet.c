/* The galenaford processes, and the routers in front of the entries.  */

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "lab2.h"

enum
{
  RESTART_MS = 500,
  PROBE_MS = 500,
  PROBE_TIMEOUT_MS = 400,
  MISSES_MAX = 2,
  TEMPLATE_BYTES = 4096,
  SETTINGS_ENTRIES = 24
};

struct process *
entry_process (struct lab *lab, uint32_t index)
{
  return &lab->processes[index];
}

struct process *
agent_process (struct lab *lab, uint32_t index)
{
  return &lab->processes[ENTRIES_MAX + index];
}

struct filling
{
  const char *name;
  char value[4 * TEXT_BYTES];
};

static void
set_value (struct filling *row, const char *value)
{
  snprintf (row->value, sizeof row->value, "%s", value);
}

static void
format_ip (struct address address, char *text)
{
  format_address (address, text);
  text[strcspn (text, ":")] = '\0';
}

/* Stores what the platform fills into the templates.  */
static void
fill (const struct lab *lab, const struct process *process,
      struct filling *rows)
{
  static const char *const NAMES[] = { "node",
                                       "zone",
                                       "listen.datagramAddr",
                                       "listen.readyAddr",
                                       "listen.outbound",
                                       "app",
                                       "service",
                                       "bounds.maxFlowS",
                                       "bootstrap",
                                       "platform.address",
                                       "contracts",
                                       "ip",
                                       "portRange.0",
                                       "seeds",
                                       "limits.linkMbps",
                                       "bounds.warmupOverrun",
                                       "bounds.warmupSlack" };
  struct address (*address_of) (const struct lab *, uint32_t, uint16_t)
      = process->entry ? entry_address : host_address;
  uint32_t index = process->index;
  size_t used = 0;

  for (uint32_t i = 0; i < sizeof NAMES / sizeof *NAMES; i++)
    rows[i] = (struct filling){ .name = NAMES[i] };
  snprintf (rows[0].value, TEXT_BYTES, "%s-zone-a-%u",
            process->entry ? "edge" : "side", index + 1);
  set_value (&rows[1], "zone-a");
  format_address (address_of (lab, index, PORT_PACKETS), rows[2].value);
  format_address (address_of (lab, index, PORT_STATUS), rows[3].value);
  format_address (address_of (lab, index, PORT_OUTBOUND), rows[4].value);
  format_address (address_of (lab, index, PORT_APP), rows[5].value);
  set_value (&rows[6], lab->hosts[process->entry ? 0 : index].service == 0
                           ? "alpha"
                           : "beta");
  set_value (&rows[7], "60");
  set_value (&rows[8], process->started_before ? "false" : "true");
  format_address (store_address (lab), rows[9].value);
  snprintf (rows[10].value, sizeof rows[10].value, "%s", lab->contracts);
  format_ip (address_of (lab, index, 0), rows[11].value);
  snprintf (rows[12].value, TEXT_BYTES, "%u", (unsigned)PORT_PEERS);
  for (uint32_t i = 0; i < lab->entries && i < 3; i++)
    {
      char text[TEXT_BYTES];

      format_address (entry_address (lab, i, PORT_CONTROL), text);
      used += (size_t)snprintf (rows[13].value + used,
                                sizeof rows[13].value - used, "%s%s",
                                i > 0 ? "," : "", text);
    }
  set_value (&rows[14], "1000.0");
}

/* Writes the template of PROCESS to PATH with its placeholders filled in.  */
static bool
write_settings (const struct lab *lab, const struct process *process,
                const char *path)
{
  struct filling rows[SETTINGS_ENTRIES] = { 0 };
  char text[TEMPLATE_BYTES] = { 0 };
  char source[PATH_BYTES];
  const char *at = text;
  const char *open;
  FILE *file;

  snprintf (source, sizeof source, "%s/%s.ini", lab->templates,
            process->entry ? "entry" : "agent");
  file = fopen (source, "r");
  if (file == NULL)
    return false;
  (void)!fread (text, 1, sizeof text - 1, file);
  fclose (file);
  file = fopen (path, "w");
  if (file == NULL)
    return false;
  fill (lab, process, rows);
  while ((open = strstr (at, "{{")) != NULL)
    {
      const char *close = strstr (open, "}}");

      if (close == NULL)
        break;
      fwrite (at, 1, (size_t)(open - at), file);
      for (uint32_t i = 0; i < SETTINGS_ENTRIES && rows[i].name != NULL; i++)
        if (strlen (rows[i].name) == (size_t)(close - open - 2)
            && strncmp (rows[i].name, open + 2, (size_t)(close - open - 2))
                   == 0)
          fputs (rows[i].value, file);
      at = close + 2;
    }
  fputs (at, file);
  fclose (file);
  return true;
}

void
process_start (struct lab *lab, struct process *process)
{
  const char *role = process->entry ? "entry" : "agent";
  char path[PATH_BYTES];
  char log[PATH_BYTES];
  char variable[PATH_BYTES + TEXT_BYTES];

  snprintf (path, sizeof path, "%s/%s-%u.ini", lab->folder, role,
            process->index);
  snprintf (log, sizeof log, "%s/%s-%u.log", lab->folder, role,
            process->index);
  snprintf (variable, sizeof variable, "GALENAFORD_BOOT=%s", path);
  process->start_at = 0;
  if (!write_settings (lab, process, path))
    return;
  process->started_before = true;
  process->pid = fork ();
  if (process->pid == 0)
    {
      char *arguments[] = { (char *)lab->program, NULL };
      char *environment[] = { variable, NULL };
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      if (fd >= 0)
        {
          dup2 (fd, STDOUT_FILENO);
          dup2 (fd, STDERR_FILENO);
        }
      execve (lab->program, arguments, environment);
      _exit (127);
    }
  note (lab, "%s %u starts", role, process->index);
}

void
process_signal (struct process *process, int number)
{
  if (process->pid > 0)
    kill (process->pid, number);
}

void
fleet_run (struct lab *lab)
{
  for (uint32_t i = 0; i < ENTRIES_MAX + HOSTS_MAX; i++)
    {
      struct process *process = &lab->processes[i];
      int status;

      if (process->pid > 0 && waitpid (process->pid, &status, WNOHANG) > 0)
        {
          bool killed = WIFSIGNALED (status) && WTERMSIG (status) == SIGKILL;
          bool clean = WIFEXITED (status) && WEXITSTATUS (status) == 0;

          note (lab, "%s %u ended, status %d",
                process->entry ? "entry" : "agent", process->index, status);
          lab->bad_exits += !killed && !clean;
          process->pid = 0;
          process->start_at = lab->now + RESTART_MS;
        }
      if (process->pid == 0 && process->start_at != 0
          && lab->now >= process->start_at)
        process_start (lab, process);
    }
}

void
fleet_end (struct lab *lab)
{
  for (uint32_t i = 0; i < ENTRIES_MAX + HOSTS_MAX; i++)
    {
      struct process *process = &lab->processes[i];

      if (process->pid <= 0)
        continue;
      kill (process->pid, SIGCONT);
      kill (process->pid, SIGKILL);
      while (waitpid (process->pid, NULL, 0) < 0 && errno == EINTR)
        ;
      process->pid = 0;
    }
}

/* The health checks of the routers: a thread for each entry.  */
struct prober
{
  pthread_t thread;
  struct address address;
  atomic_bool *in_rotation;
};

static atomic_bool rotation[ENTRIES_MAX];
static atomic_bool probing;
static struct prober probers[ENTRIES_MAX];
static uint32_t prober_count;

static bool
probe (struct address address)
{
  static const char REQUEST[]
      = "GET /readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
  static const char ANSWER[] = "HTTP/1.1 200";
  struct timeval limit = { 0, PROBE_TIMEOUT_MS * 1000 };
  struct sockaddr_in name = { .sin_family = AF_INET };
  char text[sizeof ANSWER] = { 0 };
  bool ready = false;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return false;
  name.sin_addr.s_addr = htonl (address.ip);
  name.sin_port = htons (address.port);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  if (connect (fd, (struct sockaddr *)&name, sizeof name) == 0
      && send (fd, REQUEST, sizeof REQUEST - 1, MSG_NOSIGNAL) > 0
      && recv (fd, text, sizeof text - 1, MSG_WAITALL) > 0)
    ready = strcmp (text, ANSWER) == 0;
  close (fd);
  return ready;
}

static void *
run_prober (void *data)
{
  struct prober *prober = data;
  uint32_t misses = 0;
  int64_t due = clock_ms ();

  while (atomic_load (&probing))
    {
      struct timespec pause = { 0, 5000000 };

      if (clock_ms () < due)
        {
          nanosleep (&pause, NULL);
          continue;
        }
      due += PROBE_MS;
      misses = probe (prober->address) ? 0 : misses + 1;
      if (misses == 0)
        atomic_store (prober->in_rotation, true);
      else if (misses >= MISSES_MAX)
        atomic_store (prober->in_rotation, false);
    }
  return NULL;
}

void
rotation_start (struct lab *lab)
{
  atomic_store (&probing, true);
  for (uint32_t i = 0; i < lab->entries; i++)
    {
      probers[i].address = entry_address (lab, i, PORT_STATUS);
      probers[i].in_rotation = &rotation[i];
      if (pthread_create (&probers[i].thread, NULL, run_prober, &probers[i])
          != 0)
        break;
      prober_count++;
    }
}

void
rotation_end (void)
{
  atomic_store (&probing, false);
  for (uint32_t i = 0; i < prober_count; i++)
    pthread_join (probers[i].thread, NULL);
  prober_count = 0;
}

int
route_packet (const struct lab *lab, struct address caller,
              struct address route)
{
  uint32_t ready = 0;
  uint64_t best = 0;
  int chosen = -1;

  for (uint32_t i = 0; i < lab->entries; i++)
    ready += atomic_load (&rotation[i]);
  for (uint32_t i = 0; i < lab->entries; i++)
    {
      /* FNV over both ends and the entry: only the flows of an entry that
         leaves move.  */
      uint64_t hash = 14695981039346656037U;
      uint32_t words[]
          = { caller.ip, caller.port, route.ip, route.port, i * 7919 };

      for (uint32_t k = 0; k < sizeof words / sizeof *words; k++)
        for (uint32_t byte = 0; byte < 4; byte++)
          hash = (hash ^ ((words[k] >> (8 * byte)) & 255)) * 1099511628211U;
      hash ^= hash >> 29;
      if (!atomic_load (&rotation[i]) && ready * 2 >= lab->entries)
        continue;
      if (chosen < 0 || hash > best)
        {
          best = hash;
          chosen = (int)i;
        }
    }
  return chosen;
}
