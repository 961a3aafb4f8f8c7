/* TCP framing: each message is preceded by its length, four bytes in network
   byte order.

   A struct galena_framing holds the buffers of one connection on a
   non-blocking socket.  They grow with the bytes that have arrived or wait to
   be sent, never with the length that a peer announces.  The functions
   galena_tcp_* open and accept such sockets.  */

#ifndef GALENAFORD_FRAMING_H
#define GALENAFORD_FRAMING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <galenaford/message.h>

enum
{
  /* Size of the length field before each message.  */
  GALENA_FRAME_HEADER_BYTES = 4
};

struct galena_framing_options
{
  /* Most bytes of one received message, without its length field.  */
  uint32_t receive_max;
  /* Most bytes that wait to be sent, with their length fields.  */
  uint32_t send_max;
};

struct galena_framing;

/* Creates the state of one connection in *OUT; the caller owns it.
   Errors: GALENA_ERR_INVALID, GALENA_ERR_MEMORY.  */
enum galena_result
galena_framing_create (const struct galena_framing_options *options,
                       struct galena_framing **out);

/* Destroys FRAMING; accepts NULL.  Does not close the socket.  */
void galena_framing_destroy (struct galena_framing *framing);

/* Reads what has arrived on FD without waiting; buffers at most as many unread
   bytes as one message of the largest size.
   Errors: GALENA_ERR_IO when the peer has closed the connection or the socket
   failed, GALENA_ERR_TOO_LARGE for an announced length beyond the limit,
   GALENA_ERR_MEMORY.  The connection is unusable after an error.  */
enum galena_result galena_framing_receive (struct galena_framing *framing,
                                           int fd);

/* Returns the next complete message and its size in *SIZE, or NULL when there
   is none.  Valid until the next receive.  */
const uint8_t *galena_framing_next (struct galena_framing *framing,
                                    uint32_t *size);

/* Appends one message of SIZE bytes to the send buffer.
   Errors: GALENA_ERR_FULL, GALENA_ERR_MEMORY.  */
enum galena_result galena_framing_add (struct galena_framing *framing,
                                       const uint8_t *bytes, uint32_t size);

/* Sends as much of the send buffer as FD accepts without waiting.
   Errors: GALENA_ERR_IO.  */
enum galena_result galena_framing_send (struct galena_framing *framing,
                                        int fd);

/* Returns how many bytes wait to be sent.  */
uint32_t galena_framing_pending_bytes (const struct galena_framing *framing);

/* Stores in *FD a non-blocking TCP socket that listens on ADDRESS; the caller
   closes it.  Errors: GALENA_ERR_IO.  */
enum galena_result galena_tcp_listen (struct galena_endpoint address, int *fd);

/* Starts a non-blocking TCP connection to ADDRESS and stores its socket in
   *FD; the caller closes it.  The socket becomes writable once connected.
   Errors: GALENA_ERR_IO.  */
enum galena_result galena_tcp_connect (struct galena_endpoint address,
                                       int *fd);

/* Accepts one connection of LISTENER without waiting; returns its
   non-blocking socket, or -1 when there is none.  */
int galena_tcp_accept (int listener);

#endif
