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
  /* Addresses are 127.N.x.y: N is the net of the run, and each kind of
     endpoint has an offset in x.y.  */
  LOOPBACK = 127U << 24,
  NET_SHIFT = 16,
  ENTRY_OFFSET = 1 << 8,
  HOST_OFFSET = 2 << 8,
  CALLER_OFFSET = 64 << 8,
  RESERVE_OFFSET = 255 << 8,
  ROUTE_PORT = 443,
  CHECKSUM_SEED = 0x5eed,
  /* Offsets in a packet.  The checksum covers neither the fields ECHO and PAD
     nor the flag BOUNCED: galenaford and the upstreams may change these on
     the way.  */
  ECHO_OFFSET = 26,
  FLAGS_OFFSET = 30,
  PAD_OFFSET = 31,
  FLAG_SYN = 128,
  FLAG_ACK = 64,
  FLAG_BOUNCED = 16,
  FLAG_RST = 8,
  FLAG_FIN = 2,
  /* Receive buffer of a socket.  */
  BUFFER_BYTES = 1 << 20,
  /* Range of the delay of a delayed packet.  */
  DELAY_MIN_MS = 40,
  DELAY_RANGE_MS = 700
};

/* Routes have the addresses 198.18.0.1 and following.  */
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
  return make_address (soak, ENTRY_OFFSET, index, port);
}

struct galena_endpoint
net_host (const struct soak *soak, uint32_t index, uint16_t port)
{
  return make_address (soak, HOST_OFFSET, index, port);
}

struct galena_endpoint
net_caller (const struct soak *soak, uint32_t index, uint16_t port)
{
  return make_address (soak, CALLER_OFFSET, index, port);
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
net_reserve (const struct soak *soak)
{
  struct sockaddr_in address
      = net_sockaddr (make_address (soak, RESERVE_OFFSET, 0, PORT_STORE));
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

  if (fd >= 0 && bind (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

void
net_format (struct galena_endpoint address, char *text, size_t size)
{
  snprintf (text, size, "%u.%u.%u.%u:%u", address.ip >> 24,
            (address.ip >> 16) & 255, (address.ip >> 8) & 255,
            address.ip & 255, address.port);
}

void
net_format_zone (uint32_t zone, char *text)
{
  snprintf (text, ZONE_BYTES, "z-%u", zone);
}

static void
send_now (int fd, struct galena_endpoint to, const uint8_t *bytes,
          uint32_t size)
{
  struct sockaddr_in address = net_sockaddr (to);

  /* A datagram that can't be sent counts as lost by the network.  */
  (void)!sendto (fd, bytes, size, 0, (struct sockaddr *)&address,
                 sizeof address);
}

/* Holds a packet back for a random time; returns false if the table is
   full.  */
static bool
delay_packet (struct soak *soak, int fd, struct galena_endpoint to,
              const uint8_t *bytes, uint32_t size)
{
  for (uint32_t i = 0; i < DELAYED_PACKETS_MAX; i++)
    {
      struct delayed_packet *packet = &soak->delayed_packets[i];

      if (packet->used)
        continue;
      *packet = (struct delayed_packet){
        .used = true,
        .fd = fd,
        .to = to,
        .size = size,
        .due = galena_clock_add_ms (
            soak->now,
            DELAY_MIN_MS
                + galena_random_below (&soak->random, DELAY_RANGE_MS)),
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
  if (soak->loss_one_in != 0
      && galena_random_below (&soak->random, soak->loss_one_in) == 0)
    return;
  if (soak->delay_one_in == 0
      || galena_random_below (&soak->random, soak->delay_one_in) != 0
      || !delay_packet (soak, fd, to, bytes, size))
    send_now (fd, to, bytes, size);
}

void
net_run_delayed (struct soak *soak)
{
  for (uint32_t i = 0; i < DELAYED_PACKETS_MAX; i++)
    {
      struct delayed_packet *packet = &soak->delayed_packets[i];

      if (!packet->used || !galena_clock_reached (soak->now, packet->due))
        continue;
      packet->used = false;
      send_now (packet->fd, packet->to, packet->bytes, packet->size);
    }
}

static void
encode_big_endian (uint8_t *bytes, uint32_t count, uint32_t number)
{
  for (uint32_t i = 0; i < count; i++)
    bytes[i] = (uint8_t)(number >> (8 * (count - 1 - i)));
}

/* Returns the checksum of a packet, over all fields that must not be changed
   on the way.  */
static uint32_t
checksum (const uint8_t *bytes, uint32_t size)
{
  uint8_t copy[PACKET_BYTES_MAX];

  memcpy (copy, bytes, size);
  memset (copy, 0, 4);
  memset (copy + ECHO_OFFSET, 0, 4);
  copy[PAD_OFFSET] = 0;
  copy[FLAGS_OFFSET] &= (uint8_t)~FLAG_BOUNCED;
  return XXH32 (copy, size, CHECKSUM_SEED);
}

static uint8_t
flag_bits (uint8_t flags)
{
  uint8_t bits = 0;

  bits |= (flags & GALENA_PACKET_OPENS) != 0 ? FLAG_SYN : 0;
  bits |= (flags & GALENA_PACKET_ACKNOWLEDGES) != 0 ? FLAG_ACK : 0;
  bits |= (flags & GALENA_PACKET_ENDS) != 0 ? FLAG_FIN : 0;
  bits |= (flags & GALENA_PACKET_RESETS) != 0 ? FLAG_RST : 0;
  return bits;
}

uint32_t
wire_encode (const struct galena_packet *packet, const uint8_t *data,
             uint32_t size, uint8_t *bytes)
{
  memset (bytes, 0, GALENA_PLATFORM_HEADER_BYTES);
  encode_big_endian (bytes + 4, 4, packet->sequence);
  encode_big_endian (bytes + 8, 4, packet->acknowledged);
  encode_big_endian (bytes + 12, 2, size);
  encode_big_endian (bytes + 14, 4, packet->source.ip);
  encode_big_endian (bytes + 18, 2, packet->source.port);
  encode_big_endian (bytes + 20, 2, packet->destination.port);
  encode_big_endian (bytes + 22, 4, packet->destination.ip);
  bytes[FLAGS_OFFSET] = flag_bits (packet->flags);
  if (size > 0)
    memcpy (bytes + GALENA_PLATFORM_HEADER_BYTES, data, size);
  size += GALENA_PLATFORM_HEADER_BYTES;
  encode_big_endian (bytes, 4, checksum (bytes, size));
  return size;
}

bool
wire_receive (int fd, uint8_t *bytes, struct galena_packet *packet,
              bool *corrupted)
{
  ssize_t size = recv (fd, bytes, PACKET_BYTES_MAX, 0);
  uint8_t sum[4];
  bool reset;

  if (size < 0
      || galena_platform_decode_packet (bytes, (size_t)size, packet)
             != GALENA_OK)
    return false;
  encode_big_endian (sum, 4, checksum (bytes, (uint32_t)size));
  /* Resets that galenaford makes have no checksum.  */
  reset = packet->flags == GALENA_PACKET_RESETS && packet->data_size == 0
          && memcmp (bytes, "\0\0\0\0", 4) == 0;
  *corrupted = !reset && memcmp (bytes, sum, 4) != 0;
  return true;
}

void
wire_encode_number (uint8_t *bytes, uint64_t number)
{
  encode_big_endian (bytes, 4, (uint32_t)(number >> 32));
  encode_big_endian (bytes + 4, 4, (uint32_t)number);
}

uint64_t
wire_decode_number (const uint8_t *bytes)
{
  uint64_t number = 0;

  for (int i = 0; i < 8; i++)
    number = (number << 8) | bytes[i];
  return number;
}
