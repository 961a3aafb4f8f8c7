/* Addresses, clocks, packets and the record.  */

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdarg.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "lab2.h"

enum
{
  LOOPBACK = 127U << 24,
  ENTRY_OFFSET = 1 << 8,
  HOST_OFFSET = 2 << 8,
  STORE_OFFSET = 3 << 8,
  CALLER_OFFSET = 64 << 8,
  ROUTE_NET = (198U << 24) + (18U << 16),
  BUFFER_BYTES = 1 << 20,
  ECHO_AT = 26,
  FLAGS_AT = 30,
  PAD_AT = 31
};

static int64_t
read_clock (clockid_t id)
{
  struct timespec time;

  clock_gettime (id, &time);
  return (int64_t)time.tv_sec * 1000 + time.tv_nsec / 1000000;
}

int64_t
clock_ms (void)
{
  return read_clock (CLOCK_MONOTONIC);
}

int64_t
unix_ms (void)
{
  return read_clock (CLOCK_REALTIME);
}

uint32_t
draw (struct lab *lab, uint32_t below)
{
  lab->random = lab->random * 1664525U + 1013904223U;
  return (uint32_t)(((uint64_t)lab->random * below) >> 32);
}

static struct address
make_address (const struct lab *lab, uint32_t offset, uint32_t index,
              uint16_t port)
{
  return (struct address){
    (uint32_t)LOOPBACK + (lab->net << 16) + offset + index + 1, port
  };
}

struct address
entry_address (const struct lab *lab, uint32_t index, uint16_t port)
{
  return make_address (lab, ENTRY_OFFSET, index, port);
}

struct address
host_address (const struct lab *lab, uint32_t index, uint16_t port)
{
  return make_address (lab, HOST_OFFSET, index, port);
}

struct address
caller_address (const struct lab *lab, uint32_t index, uint16_t port)
{
  return make_address (lab, CALLER_OFFSET, index, port);
}

struct address
store_address (const struct lab *lab)
{
  return make_address (lab, STORE_OFFSET, 0, PORT_STORE);
}

struct address
route_address (uint32_t index)
{
  return (struct address){ (uint32_t)ROUTE_NET + index + 1, ROUTE_PORT };
}

void
format_address (struct address address, char *text)
{
  snprintf (text, TEXT_BYTES, "%u.%u.%u.%u:%u", address.ip >> 24,
            (address.ip >> 16) & 255, (address.ip >> 8) & 255,
            address.ip & 255, address.port);
}

int
open_socket (struct address address)
{
  struct sockaddr_in name = { .sin_family = AF_INET };
  int bytes = BUFFER_BYTES;
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  name.sin_addr.s_addr = htonl (address.ip);
  name.sin_port = htons (address.port);
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  if (bind (fd, (struct sockaddr *)&name, sizeof name) == 0)
    return fd;
  close (fd);
  return -1;
}

static void
put (uint8_t *bytes, uint32_t count, uint32_t number)
{
  for (uint32_t i = 0; i < count; i++)
    bytes[i] = (uint8_t)(number >> (8 * (count - 1 - i)));
}

static uint32_t
get (const uint8_t *bytes, uint32_t count)
{
  uint32_t number = 0;

  for (uint32_t i = 0; i < count; i++)
    number = (number << 8) | bytes[i];
  return number;
}

/* The keyed sum over everything but the sum itself, echo, pad and BOUNCED. */
static uint32_t
sum_of (const uint8_t *bytes, size_t size)
{
  uint32_t sum = 0x5eed1234U;

  for (size_t i = 4; i < size; i++)
    {
      uint8_t byte = bytes[i];

      if ((i >= ECHO_AT && i < ECHO_AT + 4) || i == PAD_AT)
        continue;
      if (i == FLAGS_AT)
        byte &= (uint8_t)~BOUNCED;
      sum = (sum ^ byte) * 16777619U;
    }
  return sum == 0 ? 1 : sum;
}

static void
send_bytes (int fd, struct address to, const uint8_t *bytes, size_t size)
{
  struct sockaddr_in name = { .sin_family = AF_INET };

  name.sin_addr.s_addr = htonl (to.ip);
  name.sin_port = htons (to.port);
  /* A datagram that can't be sent is lost.  */
  (void)!sendto (fd, bytes, size, 0, (struct sockaddr *)&name, sizeof name);
}

void
send_packet (int fd, struct address to, const struct head *head,
             const uint8_t *data)
{
  uint8_t bytes[PACKET_MAX] = { 0 };
  size_t size = HEAD_BYTES + (size_t)head->size;

  put (bytes + 4, 4, head->seq);
  put (bytes + 8, 4, head->ack);
  put (bytes + 12, 2, head->size);
  put (bytes + 14, 4, head->src.ip);
  put (bytes + 18, 2, head->src.port);
  put (bytes + 20, 2, head->dst.port);
  put (bytes + 22, 4, head->dst.ip);
  bytes[FLAGS_AT] = head->flags;
  if (head->size > 0)
    memcpy (bytes + HEAD_BYTES, data, head->size);
  put (bytes, 4, sum_of (bytes, size));
  send_bytes (fd, to, bytes, size);
}

void
send_bounced (int fd, struct address to, uint8_t *bytes, size_t size)
{
  bytes[FLAGS_AT] |= BOUNCED;
  bytes[PAD_AT] = 0;
  send_bytes (fd, to, bytes, size);
}

size_t
receive_packet (int fd, uint8_t *bytes, struct head *head)
{
  ssize_t size = recv (fd, bytes, PACKET_MAX, 0);

  if (size < HEAD_BYTES)
    return 0;
  head->sum = get (bytes, 4);
  head->seq = get (bytes + 4, 4);
  head->ack = get (bytes + 8, 4);
  head->size = (uint16_t)get (bytes + 12, 2);
  head->src
      = (struct address){ get (bytes + 14, 4), (uint16_t)get (bytes + 18, 2) };
  head->dst
      = (struct address){ get (bytes + 22, 4), (uint16_t)get (bytes + 20, 2) };
  head->flags = bytes[FLAGS_AT];
  return head->size == (size_t)size - HEAD_BYTES ? (size_t)size : 0;
}

bool
is_genuine (const uint8_t *bytes, size_t size)
{
  return get (bytes, 4) == sum_of (bytes, size);
}

void
note (struct lab *lab, const char *format, ...)
{
  va_list arguments;

  fprintf (lab->record, "%9.3f ", (double)(lab->now - lab->began) / 1000);
  va_start (arguments, format);
  vfprintf (lab->record, format, arguments);
  va_end (arguments);
  fputc ('\n', lab->record);
}
