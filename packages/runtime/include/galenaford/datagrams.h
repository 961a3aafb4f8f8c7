/* Batched sending and receiving of datagrams on one UDP socket.  */

#ifndef GALENAFORD_DATAGRAMS_H
#define GALENAFORD_DATAGRAMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <galenaford/message.h>

enum
{
  /* Most datagrams sent or received by one system call.  */
  GALENA_BATCH_MAX = 64,
  /* Size of the buffer of one datagram.  A longer received datagram is
     truncated to it; the decoders reject it.  */
  GALENA_DATAGRAM_BUFFER_BYTES = 2048
};

struct galena_datagrams_options
{
  /* Address to bind to; port 0 lets the system choose.  */
  struct galena_endpoint address;
  /* Sets SO_REUSEPORT, so that several sockets can bind to the address.  */
  bool reuse_port;
};

struct galena_datagrams;

/* Opens a non-blocking socket in *OUT; the caller owns it.
   Errors: GALENA_ERR_IO, GALENA_ERR_MEMORY.  */
enum galena_result
galena_datagrams_create (const struct galena_datagrams_options *options,
                         struct galena_datagrams **out);

/* Closes the socket; accepts NULL.  */
void galena_datagrams_destroy (struct galena_datagrams *datagrams);

/* Returns the file descriptor to wait on.  */
int galena_datagrams_fd (const struct galena_datagrams *datagrams);

/* Returns the address that the socket is bound to.  */
struct galena_endpoint
galena_datagrams_address (const struct galena_datagrams *datagrams);

/* Receives up to GALENA_BATCH_MAX datagrams without waiting; returns how
   many.  */
uint32_t galena_datagrams_receive (struct galena_datagrams *datagrams);

/* Returns received datagram INDEX, its size and its sender.  Valid until
   the next receive.  */
const uint8_t *galena_datagrams_get (const struct galena_datagrams *datagrams,
                                     uint32_t index, size_t *size,
                                     struct galena_endpoint *source);

/* Returns a buffer of GALENA_DATAGRAM_BUFFER_BYTES for the next datagram to
   send; sends the batch first when it is full.  */
uint8_t *galena_datagrams_next_buffer (struct galena_datagrams *datagrams);

/* Adds to the batch the SIZE bytes that the caller wrote to the buffer of
   galena_datagrams_next_buffer.  */
void galena_datagrams_add (struct galena_datagrams *datagrams, size_t size,
                           struct galena_endpoint destination);

/* Sends the batch.  Returns how many datagrams could not be sent since the
   last call.  */
uint32_t galena_datagrams_flush (struct galena_datagrams *datagrams);

#endif
