/* The galenaford processes: their settings, start, signals and exit.  */

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include "soak.h"

enum
{
  /* Time from an exit to the restart.  */
  RESTART_MS = 500,
  /* Size of a name or an address as text.  */
  TEXT_BYTES = 32
};

struct child *
fleet_entry (struct soak *soak, uint32_t index)
{
  return &soak->children[index];
}

struct child *
fleet_agent (struct soak *soak, uint32_t index)
{
  return &soak->children[ENTRIES_MAX + index];
}

static void
name_child (const struct child *child, char *name, size_t size)
{
  snprintf (name, size, "%s-%u", child->entry ? "entry" : "agent",
            child->index);
}

static void
path_of (const struct soak *soak, const struct child *child,
         const char *extension, char *path)
{
  char name[TEXT_BYTES];

  name_child (child, name, sizeof name);
  snprintf (path, PATH_BYTES, "%s/%s.%s", soak->options.folder, name,
            extension);
}

/* Writes the settings that both roles have.  */
static void
write_common (struct soak *soak, const struct child *child, FILE *out)
{
  char name[TEXT_BYTES];
  char seeds[2][TEXT_BYTES];
  struct galena_endpoint (*address_of) (const struct soak *, uint32_t,
                                        uint16_t)
      = child->entry ? net_entry : net_host;
  char address[4][TEXT_BYTES];
  char zone[ZONE_BYTES];

  name_child (child, name, sizeof name);
  net_format_zone (
      child->entry ? child->index % ZONES : hosts_zone (child->index), zone);
  net_format (address_of (soak, child->index, PORT_PACKETS), address[0],
              TEXT_BYTES);
  net_format (address_of (soak, child->index, PORT_STATUS), address[1],
              TEXT_BYTES);
  net_format (address_of (soak, child->index, PORT_PEERS), address[2],
              TEXT_BYTES);
  net_format (net_entry (soak, child->entry ? child->index : 0, PORT_RELAY),
              address[3], TEXT_BYTES);
  for (uint32_t i = 0; i < 2; i++)
    net_format (net_entry (soak, i % soak->options.entries, PORT_PEERS),
                seeds[i], TEXT_BYTES);
  fprintf (out,
           "[process]\nname = %s\nrole = %s\nfront = packets\nzone = %s\n"
           "[peers]\naddress = %s\nseeds = %s,%s\n"
           "[platform]\nurl = http://%s\nwait_ms = 2500\n"
           "[shutdown]\nlimit_ms = %u\n"
           "[packets]\naddress = %s\nstatus = %s\nflow_max_s = 60\n",
           name, child->entry ? "entry" : "agent", zone, address[2], seeds[0],
           seeds[1], address[3], (unsigned)STOP_LIMIT_MS, address[0],
           address[1]);
  if (soak->options.load_control)
    fputs ("load_control = true\n", out);
}

void
fleet_write_settings (struct soak *soak, const struct child *child)
{
  char path[PATH_BYTES];
  char outbound[TEXT_BYTES];
  char host[TEXT_BYTES];
  FILE *out;

  path_of (soak, child, "ini", path);
  out = fopen (path, "w");
  if (out == NULL)
    {
      perror (path);
      return;
    }
  write_common (soak, child, out);
  if (!child->entry)
    {
      net_format (net_host (soak, child->index, PORT_OUTBOUND), outbound,
                  sizeof outbound);
      net_format (net_host (soak, child->index, PORT_HOST), host, sizeof host);
      fprintf (out, "outbound = %s\nupstream = %s\nservice = service-%u\n",
               outbound, host, soak->hosts[child->index].service);
    }
  if (soak->options.warm_up)
    fprintf (out, "[warm_up]\noverrun = 1.5\nslack = %u\n",
             (unsigned)WARM_UP_SLACK);
  fclose (out);
}

/* Replaces the forked process by the program, with its output appended to
   LOG.  */
static void
execute (const struct soak *soak, const char *settings, const char *log)
{
  int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);

  if (fd >= 0)
    {
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
    }
  execl (soak->options.program, soak->options.program, "--settings", settings,
         (char *)NULL);
  _exit (127);
}

static void
start (struct soak *soak, struct child *child)
{
  char settings[PATH_BYTES];
  char log[PATH_BYTES];

  child->start_at.ms = 0;
  child->started = soak->now;
  child->ending = false;
  child->paused = false;
  fleet_write_settings (soak, child);
  path_of (soak, child, "ini", settings);
  path_of (soak, child, "log", log);
  child->pid = fork ();
  if (child->pid == 0)
    execute (soak, settings, log);
  if (child->pid < 0)
    perror ("soak: fork");
}

bool
fleet_create (struct soak *soak)
{
  for (uint32_t i = 0; i < soak->options.entries + soak->options.hosts; i++)
    {
      bool entry = i < soak->options.entries;
      uint32_t index = entry ? i : i - soak->options.entries;
      struct child *child
          = entry ? fleet_entry (soak, index) : fleet_agent (soak, index);

      child->entry = entry;
      child->index = index;
      start (soak, child);
      if (child->pid < 0)
        return false;
    }
  return true;
}

static void
send_signal (const struct child *child, int number)
{
  if (child->pid > 0)
    kill (child->pid, number);
}

void
fleet_kill (struct soak *soak, struct child *child)
{
  child->last_fault = soak->now;
  child->ending = false;
  send_signal (child, SIGKILL);
}

void
fleet_end (struct soak *soak, struct child *child)
{
  if (child->ending || child->pid <= 0)
    return;
  child->ending = true;
  child->end_by
      = galena_clock_add_ms (soak->now, STOP_LIMIT_MS + STOP_SLACK_MS);
  send_signal (child, SIGTERM);
}

void
fleet_pause (struct soak *soak, struct child *child, bool paused)
{
  child->last_fault = soak->now;
  child->paused = paused;
  send_signal (child, paused ? SIGSTOP : SIGCONT);
  /* A paused process can not exit, so its limit begins anew.  */
  if (child->ending)
    child->end_by
        = galena_clock_add_ms (soak->now, STOP_LIMIT_MS + STOP_SLACK_MS);
}

/* Handles the exit of CHILD.  An exit that was not asked for, or was not
   clean, is a violation unless SIGKILL ended the process.  */
static void
handle_exit (struct soak *soak, struct child *child, int status)
{
  bool killed = WIFSIGNALED (status) && WTERMSIG (status) == SIGKILL;
  bool clean = WIFEXITED (status) && WEXITSTATUS (status) == 0;

  if (!killed && !(child->ending && clean))
    {
      soak->report.exits++;
      printf ("event=bad-exit entry=%d index=%u status=%d\n", child->entry,
              child->index, status);
    }
  child->pid = 0;
  child->ending = false;
  child->start_at = galena_clock_add_ms (soak->now, RESTART_MS);
}

/* Under sanitizers a process needs a multiple of the memory, so the limit is
   not checked.  */
#ifdef __SANITIZE_ADDRESS__
#define MEMORY_CHECKED false
#else
#define MEMORY_CHECKED true
#endif

static void
check_memory (struct soak *soak, const struct child *child)
{
  char path[PATH_BYTES];
  unsigned long pages = 0;
  FILE *in;

  snprintf (path, sizeof path, "/proc/%d/statm", (int)child->pid);
  in = fopen (path, "r");
  if (in == NULL)
    return;
  if (fscanf (in, "%*u %lu", &pages) == 1 && MEMORY_CHECKED
      && pages * (unsigned long)sysconf (_SC_PAGESIZE) / 1024
             > MEMORY_BOUND_KB)
    soak->report.memory++;
  fclose (in);
}

void
fleet_run (struct soak *soak)
{
  for (uint32_t i = 0; i < CHILDREN_MAX; i++)
    {
      struct child *child = &soak->children[i];
      int status;

      if (child->pid > 0 && waitpid (child->pid, &status, WNOHANG) > 0)
        handle_exit (soak, child, status);
      else if (child->ending && !child->paused
               && galena_clock_reached (soak->now, child->end_by))
        {
          soak->report.exits++;
          printf ("event=late-exit entry=%d index=%u\n", child->entry,
                  child->index);
          fleet_kill (soak, child);
        }
      if (child->pid == 0 && child->start_at.ms != 0
          && galena_clock_reached (soak->now, child->start_at))
        start (soak, child);
    }
}

void
fleet_destroy (struct soak *soak)
{
  for (uint32_t i = 0; i < CHILDREN_MAX; i++)
    {
      struct child *child = &soak->children[i];

      if (child->pid <= 0)
        continue;
      check_memory (soak, child);
      kill (child->pid, SIGKILL);
      while (waitpid (child->pid, NULL, 0) < 0 && errno == EINTR)
        ;
      child->pid = 0;
    }
}
