/* TCP framing: each message is its length in four bytes, most significant
   first, and then that many bytes.

   One framing serves one connection on a non-blocking socket.  Its buffers
   grow with what has arrived or waits to be sent, never with what a length
   announces.  */

#ifndef GALENAFORD_FRAMING_H
#define GALENAFORD_FRAMING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <galenaford/message.h>

enum
{
  /* Bytes of the length before each message.  */
  GALENA_FRAME_HEADER_BYTES = 4
};

struct galena_framing_options
{
  /* Most bytes of one received message.  */
  uint32_t receive_max;
  /* Most bytes that wait to be sent, their lengths too.  */
  uint32_t send_max;
};

struct galena_framing;

/* Creates the state of one connection in *OUT; the caller owns it.
   Errors: GALENA_ERR_INVALID, GALENA_ERR_MEMORY.  */
enum galena_result
galena_framing_create (const struct galena_framing_options *options,
                       struct galena_framing **out);

/* Destroys FRAMING; accepts NULL.  The socket stays open.  */
void galena_framing_destroy (struct galena_framing *framing);

/* Reads what has arrived on FD without waiting, up to one message beyond
   those taken.
   Errors: GALENA_ERR_IO when the other side has closed or the socket failed,
   GALENA_ERR_TOO_LARGE for an announced length beyond the limit,
   GALENA_ERR_MEMORY.  The connection is of no use after an error.  */
enum galena_result galena_framing_receive (struct galena_framing *framing,
                                           int fd);

/* Returns the next whole message and its size, or NULL when there is none.
   Valid until the next receive.  */
const uint8_t *galena_framing_next (struct galena_framing *framing,
                                    uint32_t *size);

/* Appends one message to what waits to be sent.
   Errors: GALENA_ERR_FULL, GALENA_ERR_MEMORY.  */
enum galena_result galena_framing_add (struct galena_framing *framing,
                                       const uint8_t *bytes, uint32_t size);

/* Sends what FD takes without waiting.  Errors: GALENA_ERR_IO.  */
enum galena_result galena_framing_send (struct galena_framing *framing,
                                        int fd);

/* Returns the bytes that wait to be sent.  */
uint32_t galena_framing_pending_bytes (const struct galena_framing *framing);

/* Opens a non-blocking TCP socket that listens on ADDRESS in *FD; the caller
   closes it.  Errors: GALENA_ERR_IO.  */
enum galena_result galena_tcp_listen (struct galena_endpoint address, int *fd);

/* Starts a non-blocking TCP connection to ADDRESS in *FD; the caller closes
   it.  The socket can be written once it is connected.
   Errors: GALENA_ERR_IO.  */
enum galena_result galena_tcp_connect (struct galena_endpoint address,
                                       int *fd);

/* Accepts one connection of LISTENER without waiting; returns its
   non-blocking socket, or -1 when there is none.  */
int galena_tcp_accept (int listener);

#endif
