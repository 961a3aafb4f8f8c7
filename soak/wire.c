/* Addresses, sockets and packets of the soak.  */

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <xxhash.h>

#include <galenaford/platform/packet_codec.h>

#include "soak.h"

enum
{
  LOOPBACK = 127U << 24,
  NET_SHIFT = 16,
  ENTRY_NET = 1 << 8,
  HOST_NET = 2 << 8,
  CALLER_NET = 64 << 8,
  GUARD_NET = 255 << 8,
  ROUTE_PORT = 443,
  SUM_SEED = 0x5eed,
  AT_ECHO = 26,
  AT_FLAGS = 30,
  AT_PAD = 31,
  FLAG_BOUNCED = 16,
  BUFFER_BYTES = 1 << 20,
  LATE_MIN_MS = 40,
  LATE_RANGE_MS = 700
};

/* Routes are 198.18.0.1 and following.  */
static const uint32_t ROUTE_IP = (198U << 24) + (18U << 16);

static struct galena_endpoint
make_address (const struct soak *soak, uint32_t net, uint32_t index,
              uint16_t port)
{
  return (struct galena_endpoint){
    LOOPBACK + (soak->net << NET_SHIFT) + net + index + 1, port
  };
}

struct galena_endpoint
net_entry (const struct soak *soak, uint32_t index, uint16_t port)
{
  return make_address (soak, ENTRY_NET, index, port);
}

struct galena_endpoint
net_host (const struct soak *soak, uint32_t index, uint16_t port)
{
  return make_address (soak, HOST_NET, index, port);
}

struct galena_endpoint
net_caller (const struct soak *soak, uint32_t index, uint16_t port)
{
  return make_address (soak, CALLER_NET, index, port);
}

struct galena_endpoint
net_route (uint32_t index)
{
  return (struct galena_endpoint){ ROUTE_IP + index + 1, ROUTE_PORT };
}

struct sockaddr_in
net_sockaddr (struct galena_endpoint endpoint)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_addr.s_addr = htonl (endpoint.ip);
  address.sin_port = htons (endpoint.port);
  return address;
}

int
net_socket (struct galena_endpoint endpoint)
{
  struct sockaddr_in address = net_sockaddr (endpoint);
  int bytes = BUFFER_BYTES;
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  perror ("soak: bind");
  return -1;
}

int
net_guard (const struct soak *soak)
{
  struct sockaddr_in address
      = net_sockaddr (make_address (soak, GUARD_NET, 0, PORT_STORE));
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

  if (fd >= 0 && bind (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

void
net_text (struct galena_endpoint address, char *text, size_t size)
{
  snprintf (text, size, "%u.%u.%u.%u:%u", address.ip >> 24,
            (address.ip >> 16) & 255, (address.ip >> 8) & 255,
            address.ip & 255, address.port);
}

static void
send_now (int fd, struct galena_endpoint to, const uint8_t *bytes,
          uint32_t size)
{
  struct sockaddr_in address = net_sockaddr (to);

  /* A datagram that does not go out is one that the network lost.  */
  (void)!sendto (fd, bytes, size, 0, (struct sockaddr *)&address,
                 sizeof address);
}

/* Keeps a packet back for a while; false when there is no room.  */
static bool
keep_late (struct soak *soak, int fd, struct galena_endpoint to,
           const uint8_t *bytes, uint32_t size)
{
  for (uint32_t i = 0; i < LATE_PACKETS_MAX; i++)
    {
      struct late_packet *packet = &soak->late_packets[i];

      if (packet->used)
        continue;
      *packet = (struct late_packet){
        .used = true,
        .fd = fd,
        .to = to,
        .size = size,
        .due = galena_clock_add_ms (
            soak->now,
            LATE_MIN_MS + galena_random_below (&soak->random, LATE_RANGE_MS)),
      };
      memcpy (packet->bytes, bytes, size);
      return true;
    }
  return false;
}

void
net_send (struct soak *soak, int fd, struct galena_endpoint to,
          const uint8_t *bytes, uint32_t size)
{
  if (soak->loss != 0 && galena_random_below (&soak->random, soak->loss) == 0)
    return;
  if (soak->late == 0 || galena_random_below (&soak->random, soak->late) != 0
      || !keep_late (soak, fd, to, bytes, size))
    send_now (fd, to, bytes, size);
}

void
net_run_late (struct soak *soak)
{
  for (uint32_t i = 0; i < LATE_PACKETS_MAX; i++)
    {
      struct late_packet *packet = &soak->late_packets[i];

      if (!packet->used || !galena_clock_reached (soak->now, packet->due))
        continue;
      packet->used = false;
      send_now (packet->fd, packet->to, packet->bytes, packet->size);
    }
}

static void
write_big (uint8_t *bytes, uint32_t count, uint32_t number)
{
  for (uint32_t i = 0; i < count; i++)
    bytes[i] = (uint8_t)(number >> (8 * (count - 1 - i)));
}

/* Returns the sum over what nobody on the way may change.  */
static uint32_t
sum_of (const uint8_t *bytes, uint32_t size)
{
  uint8_t copy[PACKET_BYTES_MAX];

  memcpy (copy, bytes, size);
  memset (copy, 0, 4);
  memset (copy + AT_ECHO, 0, 4);
  copy[AT_PAD] = 0;
  copy[AT_FLAGS] &= (uint8_t)~FLAG_BOUNCED;
  return XXH32 (copy, size, SUM_SEED);
}

static uint8_t
flag_bits (uint8_t flags)
{
  uint8_t bits = 0;

  bits |= (flags & GALENA_PACKET_OPENS) != 0 ? 128 : 0;
  bits |= (flags & GALENA_PACKET_ACKNOWLEDGES) != 0 ? 64 : 0;
  bits |= (flags & GALENA_PACKET_ENDS) != 0 ? 2 : 0;
  bits |= (flags & GALENA_PACKET_RESETS) != 0 ? 8 : 0;
  return bits;
}

uint32_t
wire_write (const struct galena_packet *packet, const uint8_t *data,
            uint32_t size, uint8_t *bytes)
{
  memset (bytes, 0, GALENA_PLATFORM_HEADER_BYTES);
  write_big (bytes + 4, 4, packet->sequence);
  write_big (bytes + 8, 4, packet->acknowledged);
  write_big (bytes + 12, 2, size);
  write_big (bytes + 14, 4, packet->source.ip);
  write_big (bytes + 18, 2, packet->source.port);
  write_big (bytes + 20, 2, packet->destination.port);
  write_big (bytes + 22, 4, packet->destination.ip);
  bytes[AT_FLAGS] = flag_bits (packet->flags);
  if (size > 0)
    memcpy (bytes + GALENA_PLATFORM_HEADER_BYTES, data, size);
  size += GALENA_PLATFORM_HEADER_BYTES;
  write_big (bytes, 4, sum_of (bytes, size));
  return size;
}

bool
wire_receive (int fd, uint8_t *bytes, struct galena_packet *packet,
              bool *forged)
{
  ssize_t size = recv (fd, bytes, PACKET_BYTES_MAX, 0);
  uint8_t sum[4];
  bool reset;

  if (size < 0
      || galena_platform_decode_packet (bytes, (size_t)size, packet)
             != GALENA_OK)
    return false;
  write_big (sum, 4, sum_of (bytes, (uint32_t)size));
  /* The product's own resets have no sum.  */
  reset = packet->flags == GALENA_PACKET_RESETS && packet->data_size == 0
          && memcmp (bytes, "\0\0\0\0", 4) == 0;
  *forged = !reset && memcmp (bytes, sum, 4) != 0;
  return true;
}

void
wire_write_number (uint8_t *bytes, uint64_t number)
{
  write_big (bytes, 4, (uint32_t)(number >> 32));
  write_big (bytes + 4, 4, (uint32_t)number);
}

uint64_t
wire_read_number (const uint8_t *bytes)
{
  uint64_t number = 0;

  for (int i = 0; i < 8; i++)
    number = (number << 8) | bytes[i];
  return number;
}
