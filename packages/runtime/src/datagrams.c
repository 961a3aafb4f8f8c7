/* Batched UDP I/O: recvmmsg and sendmmsg on fixed batches of buffers.  */

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <galenaford/datagrams.h>

enum
{
  /* Requested size of the socket's send buffer and of its receive buffer; the
     system may grant less.  */
  SOCKET_BUFFER_BYTES = 4 * 1024 * 1024
};

/* The buffers of one direction.  */
struct batch
{
  struct mmsghdr headers[GALENA_BATCH_MAX];
  struct iovec vectors[GALENA_BATCH_MAX];
  struct sockaddr_in addresses[GALENA_BATCH_MAX];
  uint8_t bytes[GALENA_BATCH_MAX][GALENA_DATAGRAM_BUFFER_BYTES];
  uint32_t count;
};

struct galena_datagrams
{
  int fd;
  struct galena_endpoint address;
  struct batch in;
  struct batch out;
  /* Datagrams that could not be sent since the last flush.  */
  uint32_t unsent;
};

static struct sockaddr_in
to_sockaddr (struct galena_endpoint endpoint)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_addr.s_addr = htonl (endpoint.ip);
  address.sin_port = htons (endpoint.port);
  return address;
}

static struct galena_endpoint
from_sockaddr (const struct sockaddr_in *address)
{
  return (struct galena_endpoint){ ntohl (address->sin_addr.s_addr),
                                   ntohs (address->sin_port) };
}

static void
prepare_batch (struct batch *batch)
{
  for (uint32_t i = 0; i < GALENA_BATCH_MAX; i++)
    {
      struct msghdr *header = &batch->headers[i].msg_hdr;

      batch->vectors[i].iov_base = batch->bytes[i];
      batch->vectors[i].iov_len = GALENA_DATAGRAM_BUFFER_BYTES;
      header->msg_iov = &batch->vectors[i];
      header->msg_iovlen = 1;
      header->msg_name = &batch->addresses[i];
      header->msg_namelen = sizeof batch->addresses[i];
    }
}

static int
open_socket (const struct galena_datagrams_options *options)
{
  struct sockaddr_in address = to_sockaddr (options->address);
  int bytes = SOCKET_BUFFER_BYTES;
  int on = 1;
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes);
  if (options->reuse_port
      && setsockopt (fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on) != 0)
    goto fail;
  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0)
    goto fail;
  return fd;

fail:
  close (fd);
  return -1;
}

enum galena_result
galena_datagrams_create (const struct galena_datagrams_options *options,
                         struct galena_datagrams **out)
{
  struct galena_datagrams *datagrams = calloc (1, sizeof *datagrams);
  struct sockaddr_in address = { 0 };
  socklen_t length = sizeof address;

  if (datagrams == NULL)
    return GALENA_ERR_MEMORY;
  prepare_batch (&datagrams->in);
  prepare_batch (&datagrams->out);
  datagrams->fd = open_socket (options);
  if (datagrams->fd < 0)
    goto fail;
  if (getsockname (datagrams->fd, (struct sockaddr *)&address, &length) != 0)
    goto fail;
  datagrams->address = from_sockaddr (&address);
  *out = datagrams;
  return GALENA_OK;

fail:
  galena_datagrams_destroy (datagrams);
  return GALENA_ERR_IO;
}

void
galena_datagrams_destroy (struct galena_datagrams *datagrams)
{
  if (datagrams == NULL)
    return;
  if (datagrams->fd >= 0)
    close (datagrams->fd);
  free (datagrams);
}

int
galena_datagrams_fd (const struct galena_datagrams *datagrams)
{
  return datagrams->fd;
}

struct galena_endpoint
galena_datagrams_address (const struct galena_datagrams *datagrams)
{
  return datagrams->address;
}

uint32_t
galena_datagrams_receive (struct galena_datagrams *datagrams)
{
  struct batch *in = &datagrams->in;
  int received;

  for (uint32_t i = 0; i < in->count; i++)
    in->headers[i].msg_hdr.msg_namelen = sizeof in->addresses[i];
  received = recvmmsg (datagrams->fd, in->headers, GALENA_BATCH_MAX, 0, NULL);
  in->count = received > 0 ? (uint32_t)received : 0;
  return in->count;
}

const uint8_t *
galena_datagrams_get (const struct galena_datagrams *datagrams, uint32_t index,
                      size_t *size, struct galena_endpoint *source)
{
  const struct batch *in = &datagrams->in;

  *size = in->headers[index].msg_len;
  *source = from_sockaddr (&in->addresses[index]);
  return in->bytes[index];
}

/* Sends the batch and counts the datagrams that could not be sent.  */
static void
send_batch (struct galena_datagrams *datagrams)
{
  struct batch *out = &datagrams->out;
  uint32_t done = 0;

  while (done < out->count)
    {
      int sent = sendmmsg (datagrams->fd, out->headers + done,
                           out->count - done, 0);
      if (sent > 0)
        {
          done += (uint32_t)sent;
          continue;
        }
      if (errno == EINTR)
        continue;
      /* The first datagram can't be sent; continue with the next one.  */
      done++;
      datagrams->unsent++;
    }
  out->count = 0;
}

uint8_t *
galena_datagrams_next_buffer (struct galena_datagrams *datagrams)
{
  if (datagrams->out.count == GALENA_BATCH_MAX)
    send_batch (datagrams);
  return datagrams->out.bytes[datagrams->out.count];
}

void
galena_datagrams_add (struct galena_datagrams *datagrams, size_t size,
                      struct galena_endpoint destination)
{
  struct batch *out = &datagrams->out;

  out->vectors[out->count].iov_len = size;
  out->addresses[out->count] = to_sockaddr (destination);
  out->count++;
}

uint32_t
galena_datagrams_flush (struct galena_datagrams *datagrams)
{
  uint32_t unsent;

  send_batch (datagrams);
  unsent = datagrams->unsent;
  datagrams->unsent = 0;
  return unsent;
}
