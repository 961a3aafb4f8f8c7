/* Time, addresses, packets, the record and the loop of a run.  */

#include <arpa/inet.h>
#include <poll.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "lab.h"

enum
{
  MS_PER_S = 1000,
  NS_PER_MS = 1000000,
  TICK_MS = 5,
  PORTS_FIRST = 21000,
  PORTS_SPAN = 20000
};

static int64_t
clock_ms (clockid_t clock)
{
  struct timespec time;

  clock_gettime (clock, &time);
  return (int64_t)time.tv_sec * MS_PER_S + time.tv_nsec / NS_PER_MS;
}

int64_t
lab_steady_ms (void)
{
  return clock_ms (CLOCK_MONOTONIC);
}

int64_t
lab_now (const struct lab *lab)
{
  return lab_steady_ms () - lab->start_ms;
}

uint64_t
lab_unix_ms (void)
{
  return (uint64_t)clock_ms (CLOCK_REALTIME);
}

void
lab_log (struct lab *lab, const char *format, ...)
{
  va_list arguments;
  int64_t now = lab_now (lab);

  fprintf (lab->record, "%7lld.%03d ", (long long)(now / MS_PER_S),
           (int)(now % MS_PER_S));
  va_start (arguments, format);
  vfprintf (lab->record, format, arguments);
  va_end (arguments);
  fputc ('\n', lab->record);
}

uint32_t
lab_ip (uint32_t group, uint32_t index)
{
  return (127U << 24) | (77U << 16) | (group << 8) | (index + 1);
}

struct endpoint
lab_endpoint (const struct lab *lab, uint32_t ip, enum port port)
{
  return (struct endpoint){ ip, (uint16_t)(lab->first_port + port) };
}

const char *
lab_text (struct endpoint endpoint, char *text)
{
  snprintf (text, TEXT_BYTES, "%u.%u.%u.%u:%u", endpoint.ip >> 24,
            (endpoint.ip >> 16) & 255, (endpoint.ip >> 8) & 255,
            endpoint.ip & 255, endpoint.port);
  return text;
}

static struct sockaddr_in
to_sockaddr (struct endpoint endpoint)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_addr.s_addr = htonl (endpoint.ip);
  address.sin_port = htons (endpoint.port);
  return address;
}

int
lab_udp_socket (struct endpoint endpoint)
{
  struct sockaddr_in address = to_sockaddr (endpoint);
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd >= 0 && bind (fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

/* Returns whether all ports from FIRST on are free.  */
static bool
ports_are_free (uint16_t first)
{
  for (uint32_t i = 0; i < PORT_COUNT; i++)
    for (int type = SOCK_STREAM; type <= SOCK_DGRAM; type++)
      {
        struct sockaddr_in address = to_sockaddr (
            (struct endpoint){ INADDR_ANY, (uint16_t)(first + i) });
        int fd = socket (AF_INET, type | SOCK_CLOEXEC, 0);
        bool bound
            = fd >= 0
              && bind (fd, (struct sockaddr *)&address, sizeof address) == 0;

        if (fd >= 0)
          close (fd);
        if (!bound)
          return false;
      }
  return true;
}

static bool
find_ports (struct lab *lab)
{
  for (uint32_t i = 0; i < 100; i++)
    {
      uint32_t at = ((uint32_t)getpid () + i) * PORT_COUNT % PORTS_SPAN;

      lab->first_port = (uint16_t)(PORTS_FIRST + at);
      if (ports_are_free (lab->first_port))
        return true;
    }
  return false;
}

static void
write_16 (uint8_t *bytes, uint16_t value)
{
  bytes[0] = (uint8_t)(value >> 8);
  bytes[1] = (uint8_t)value;
}

static void
write_32 (uint8_t *bytes, uint32_t value)
{
  write_16 (bytes, (uint16_t)(value >> 16));
  write_16 (bytes + 2, (uint16_t)value);
}

static uint16_t
read_16 (const uint8_t *bytes)
{
  return (uint16_t)((bytes[0] << 8) | bytes[1]);
}

static uint32_t
read_32 (const uint8_t *bytes)
{
  return ((uint32_t)read_16 (bytes) << 16) | read_16 (bytes + 2);
}

/* A checksum in place of the keyed one of the two ends; never 0.  */
static uint32_t
sum_of (const uint8_t *bytes, size_t size)
{
  uint32_t sum = 2166136261U;

  for (size_t i = 4; i < size; i++)
    sum = (sum ^ (i >= 26 && i < PACKET_HEADER_BYTES ? 0 : bytes[i]))
          * 16777619U;
  return sum | 1;
}

size_t
packet_encode (const struct packet *packet, uint8_t *bytes)
{
  size_t size = PACKET_HEADER_BYTES + (size_t)packet->data_size;

  memset (bytes, 0, PACKET_HEADER_BYTES);
  write_32 (bytes + 4, packet->seq);
  write_32 (bytes + 8, packet->ack);
  write_16 (bytes + 12, packet->data_size);
  write_32 (bytes + 14, packet->source.ip);
  write_16 (bytes + 18, packet->source.port);
  write_16 (bytes + 20, packet->destination.port);
  write_32 (bytes + 22, packet->destination.ip);
  bytes[30] = packet->flags;
  if (packet->data_size > 0)
    memcpy (bytes + PACKET_HEADER_BYTES, packet->data, packet->data_size);
  write_32 (bytes, sum_of (bytes, size));
  return size;
}

bool
packet_decode (const uint8_t *bytes, size_t size, struct packet *packet)
{
  if (size < PACKET_HEADER_BYTES)
    return false;
  packet->sum = read_32 (bytes);
  packet->seq = read_32 (bytes + 4);
  packet->ack = read_32 (bytes + 8);
  packet->data_size = read_16 (bytes + 12);
  packet->source.ip = read_32 (bytes + 14);
  packet->source.port = read_16 (bytes + 18);
  packet->destination.port = read_16 (bytes + 20);
  packet->destination.ip = read_32 (bytes + 22);
  packet->flags = bytes[30];
  packet->data = bytes + PACKET_HEADER_BYTES;
  return size == PACKET_HEADER_BYTES + (size_t)packet->data_size;
}

void
packet_send (int fd, struct endpoint to, const uint8_t *bytes, size_t size)
{
  struct sockaddr_in address = to_sockaddr (to);

  /* A packet that can't be sent counts as lost.  */
  (void)sendto (fd, bytes, size, 0, (struct sockaddr *)&address,
                sizeof address);
}

bool
lab_open (struct lab *lab, uint32_t entries, uint32_t hosts)
{
  char text[PATH_BYTES];

  lab->start_ms = clock_ms (CLOCK_MONOTONIC);
  lab->pinned_entry = -1;
  lab->entry_count = entries;
  lab->host_count = hosts;
  lab->next_port = 1025;
  snprintf (lab->folder, sizeof lab->folder, "/tmp/galena-review-XXXXXX");
  if (mkdtemp (lab->folder) == NULL || !find_ports (lab) || !store_open (lab))
    return false;
  lab->caller_fd
      = lab_udp_socket (lab_endpoint (lab, lab_ip (3, 0), PORT_PACKETS));
  if (lab->caller_fd < 0)
    return false;
  snprintf (text, sizeof text,
            "{\"version\":3,\"routes\":["
            "{\"host\":\"127.77.9.1\",\"prefix\":\"/443/\","
            "\"service\":\"desk\",\"type\":\"safe\"},"
            "{\"host\":\"127.77.9.2\",\"prefix\":\"/443/\","
            "\"service\":\"photo\",\"type\":\"safe\"}],"
            "\"services\":[{\"name\":\"desk\"},{\"name\":\"photo\"}],"
            "\"limits\":{\"idleTimeoutMs\":60000}}");
  store_put (lab, "op/config", text);
  for (uint32_t i = 0; i < entries; i++)
    {
      struct process *entry = &lab->entries[i];

      snprintf (entry->name, sizeof entry->name, "edge-%u", i + 1);
      entry->entry = true;
      entry->index = i;
      entry->ip = lab_ip (1, i);
      if (!process_start (lab, entry, ""))
        return false;
    }
  for (uint32_t i = 0; i < HOSTS_MAX; i++)
    {
      struct process *agent = &lab->agents[i];

      snprintf (agent->name, sizeof agent->name, "side-%u", i + 1);
      agent->index = i;
      agent->ip = lab_ip (2, i);
      lab->hosts[i].fd = -1;
      lab->hosts[i].ip = agent->ip;
    }
  for (uint32_t i = 0; i < hosts; i++)
    if (!process_start (lab, &lab->agents[i], "desk")
        || !host_start (lab, i, "desk"))
      return false;
  return pthread_create (&lab->prober, NULL, process_probe, lab) == 0;
}

void
lab_close (struct lab *lab)
{
  char command[PATH_BYTES + TEXT_BYTES];

  atomic_store (&lab->stopping, true);
  if (lab->prober != 0)
    pthread_join (lab->prober, NULL);
  for (uint32_t i = 0; i < ENTRIES_MAX; i++)
    process_signal (lab, &lab->entries[i], 9);
  for (uint32_t i = 0; i < HOSTS_MAX; i++)
    process_signal (lab, &lab->agents[i], 9);
  for (uint32_t i = 0; i < ENTRIES_MAX; i++)
    process_wait (lab, &lab->entries[i], MS_PER_S);
  for (uint32_t i = 0; i < HOSTS_MAX; i++)
    process_wait (lab, &lab->agents[i], MS_PER_S);
  store_close (lab);
  if (getenv ("KEEP") != NULL)
    return;
  snprintf (command, sizeof command, "rm -rf '%s'", lab->folder);
  if (system (command) != 0)
    perror (lab->folder);
}

void
lab_run (struct lab *lab, int64_t ms)
{
  int64_t end = lab_now (lab) + ms;

  while (lab_now (lab) < end)
    {
      struct pollfd fds[HOSTS_MAX + 1];

      for (uint32_t i = 0; i < HOSTS_MAX; i++)
        fds[i] = (struct pollfd){ lab->hosts[i].fd, POLLIN, 0 };
      fds[HOSTS_MAX] = (struct pollfd){ lab->caller_fd, POLLIN, 0 };
      poll (fds, HOSTS_MAX + 1, TICK_MS);
      for (uint32_t i = 0; i < HOSTS_MAX; i++)
        if (lab->hosts[i].fd >= 0)
          {
            host_receive (lab, i);
            host_tick (lab, i);
          }
      call_receive (lab);
      call_tick (lab);
    }
}
