/* The processes under test: their settings, start, signals and end, and the
   routers' probes of the entries.  */

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include "lab.h"

enum
{
  TEMPLATE_BYTES = 8192,
  PROBE_PERIOD_US = 500000,
  PROBE_TIMEOUT_US = 400000,
  MISSES_MAX = 2,
  POLL_MS = 20,
  HTTP_STATUS_AT = 9
};

/* Appends the value of the placeholder NAME to OUT.  */
static void
write_value (const struct lab *lab, const struct process *process,
             const char *service, const char *name, FILE *out)
{
  char text[TEXT_BYTES];
  static const struct
  {
    const char *name;
    enum port port;
  } ADDRESSES[] = {
    { "listen.datagramAddr", PORT_PACKETS },
    { "listen.readyAddr", PORT_READY },
    { "listen.outbound", PORT_OUTBOUND },
    { "app", PORT_APP },
  };

  for (size_t i = 0; i < sizeof ADDRESSES / sizeof ADDRESSES[0]; i++)
    if (strcmp (name, ADDRESSES[i].name) == 0)
      fputs (
          lab_text (lab_endpoint (lab, process->ip, ADDRESSES[i].port), text),
          out);
  if (strcmp (name, "node") == 0)
    fputs (process->name, out);
  else if (strcmp (name, "zone") == 0)
    fputs ("zone-a", out);
  else if (strcmp (name, "ip") == 0)
    {
      lab_text ((struct endpoint){ process->ip, 0 }, text);
      *strchr (text, ':') = '\0';
      fputs (text, out);
    }
  else if (strcmp (name, "portRange.0") == 0)
    fprintf (out, "%u", (unsigned)lab->first_port + PORT_PEERS);
  else if (strcmp (name, "service") == 0)
    fputs (service, out);
  else if (strcmp (name, "bounds.maxFlowS") == 0)
    fputs ("60", out);
  else if (strcmp (name, "limits.linkMbps") == 0)
    fputs ("1000", out);
  else if (strcmp (name, "bootstrap") == 0)
    fputs (process->started ? "false" : "true", out);
  else if (strcmp (name, "platform.address") == 0)
    fputs (lab_text (lab_endpoint (lab, lab_ip (0, 0), PORT_STORE), text),
           out);
  else if (strcmp (name, "seeds") == 0)
    for (uint32_t i = 0; i < lab->entry_count && i < 3; i++)
      fprintf (
          out, "%s%s", i > 0 ? "," : "",
          lab_text (lab_endpoint (lab, lab_ip (1, i), PORT_CONTROL), text));
}

/* Fills in the template of the role, as the platform does.  */
static bool
write_settings (struct lab *lab, const struct process *process,
                const char *service, const char *path)
{
  char template[TEMPLATE_BYTES];
  const char *at = template;
  FILE *in = fopen (
      process->entry ? "platform/entry.ini" : "platform/agent.ini", "r");
  FILE *out = fopen (path, "w");
  size_t size;

  if (in == NULL || out == NULL)
    {
      perror (path);
      if (in != NULL)
        fclose (in);
      if (out != NULL)
        fclose (out);
      return false;
    }
  size = fread (template, 1, sizeof template - 1, in);
  template[size] = '\0';
  fclose (in);
  while (*at != '\0')
    {
      const char *begin = strstr (at, "{{");
      const char *end = begin == NULL ? NULL : strstr (begin, "}}");
      char name[TEXT_BYTES];

      if (end == NULL)
        {
          fputs (at, out);
          break;
        }
      fwrite (at, 1, (size_t)(begin - at), out);
      snprintf (name, sizeof name, "%.*s", (int)(end - begin - 2), begin + 2);
      write_value (lab, process, service, name, out);
      at = end + 2;
    }
  fclose (out);
  return true;
}

bool
process_start (struct lab *lab, struct process *process, const char *service)
{
  char settings[PATH_BYTES + TEXT_BYTES + 8];
  char log[PATH_BYTES + TEXT_BYTES + 8];

  snprintf (settings, sizeof settings, "%s/%s.ini", lab->folder,
            process->name);
  snprintf (log, sizeof log, "%s/%s.log", lab->folder, process->name);
  if (!write_settings (lab, process, service, settings))
    return false;
  process->started = true;
  process->pid = fork ();
  if (process->pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);

      if (fd >= 0)
        {
          dup2 (fd, STDOUT_FILENO);
          dup2 (fd, STDERR_FILENO);
        }
      /* It ends with the run, however that ends.  */
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      setenv ("GALENAFORD_BOOT", settings, 1);
      execl ("target/galenaford", "target/galenaford", (char *)NULL);
      _exit (127);
    }
  lab_log (lab, "start %s pid=%d", process->name, (int)process->pid);
  return process->pid > 0;
}

void
process_signal (struct lab *lab, struct process *process, int number)
{
  if (process->pid <= 0)
    return;
  lab_log (lab, "signal %d to %s", number, process->name);
  kill (process->pid, number);
}

bool
process_wait (struct lab *lab, struct process *process, int64_t ms)
{
  int64_t end = lab_now (lab) + ms;

  while (process->pid > 0)
    {
      int status;

      if (waitpid (process->pid, &status, WNOHANG) != 0)
        {
          lab_log (lab, "end %s status=%d", process->name, status);
          process->pid = 0;
          return true;
        }
      if (lab_now (lab) >= end)
        return false;
      lab_run (lab, POLL_MS);
    }
  return true;
}

bool
process_is_ready (const struct lab *lab, const struct process *process)
{
  static const char REQUEST[]
      = "GET /readyz HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n";
  struct endpoint endpoint = lab_endpoint (lab, process->ip, PORT_READY);
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct timeval timeout = { 0, PROBE_TIMEOUT_US };
  char text[TEXT_BYTES] = "";
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bool ready;

  if (fd < 0)
    return false;
  address.sin_addr.s_addr = htonl (endpoint.ip);
  address.sin_port = htons (endpoint.port);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  ready = connect (fd, (struct sockaddr *)&address, sizeof address) == 0
          && send (fd, REQUEST, sizeof REQUEST - 1, MSG_NOSIGNAL) > 0
          && recv (fd, text, sizeof text - 1, 0) > HTTP_STATUS_AT
          && strncmp (text + HTTP_STATUS_AT, "200", 3) == 0;
  close (fd);
  return ready;
}

/* Probes the entries as the routers do: two misses take an entry out of
   rotation, and a reply with status 200 takes it back.  */
void *
process_probe (void *data)
{
  struct lab *lab = data;
  uint32_t misses[ENTRIES_MAX] = { 0 };

  while (!atomic_load (&lab->stopping))
    {
      for (uint32_t i = 0; i < lab->entry_count; i++)
        {
          if (process_is_ready (lab, &lab->entries[i]))
            misses[i] = 0;
          else
            misses[i]++;
          if (misses[i] == 0 || misses[i] >= MISSES_MAX)
            atomic_store (&lab->in_rotation[i], misses[i] == 0);
        }
      usleep (PROBE_PERIOD_US);
    }
  return NULL;
}
