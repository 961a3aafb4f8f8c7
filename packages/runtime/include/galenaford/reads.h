/* Concurrent HTTP GET requests ("reads") to the platform's configuration
   service, on one thread.  */

#ifndef GALENAFORD_READS_H
#define GALENAFORD_READS_H

#include <poll.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <galenaford/result.h>

struct galena_reads_options
{
  /* Prefix of every URL, as in "http://192.0.2.1:8500".  Copied.  */
  const char *base_url;
  /* Timeout for establishing a connection, in milliseconds.  */
  uint32_t connect_timeout_ms;
  /* Most bytes of one response body.  */
  size_t bytes_max;
  /* Most concurrent reads.  */
  uint32_t reads_max;
  /* Name of the header whose value each completed read has; NULL for none.
     Borrowed.  */
  const char *header;
};

enum
{
  /* Size of the value of a header in bytes, with its terminating zero; a
     longer one is cut off.  */
  GALENA_READS_HEADER_BYTES = 32
};

struct galena_reads;

/* The outcome of one read.  */
struct galena_completed_read
{
  /* As given to galena_reads_start.  */
  uint64_t user_data;
  /* GALENA_ERR_IO, GALENA_ERR_TOO_LARGE, GALENA_ERR_NOT_FOUND for any status
     but 200, or GALENA_OK.  */
  enum galena_result result;
  /* HTTP status; 0 if there was no complete response.  */
  uint32_t status;
  /* Value of the header of the options; empty when the response has none.  */
  char header[GALENA_READS_HEADER_BYTES];
  /* The response body, not NUL-terminated; valid until the next call of
     galena_reads_next.  */
  const char *text;
  size_t size;
};

/* Creates the state of the reads in *OUT; the caller owns it.  Only one thread
   may use it, except for galena_reads_interrupt.
   Errors: GALENA_ERR_INVALID, GALENA_ERR_MEMORY.  */
enum galena_result
galena_reads_create (const struct galena_reads_options *options,
                     struct galena_reads **out);

/* Destroys READS and cancels the reads in progress; accepts NULL.  */
void galena_reads_destroy (struct galena_reads *reads);

/* Starts a GET request of PATH, which ends within TIMEOUT_MS.
   Errors: GALENA_ERR_FULL, GALENA_ERR_MEMORY.  */
enum galena_result galena_reads_start (struct galena_reads *reads,
                                       const char *path, uint32_t timeout_ms,
                                       uint64_t user_data);

/* Cancels all reads with USER_DATA; galena_reads_next will not return
   them.  */
void galena_reads_cancel (struct galena_reads *reads, uint64_t user_data);

/* Makes the current galena_reads_wait of another thread return, or its next
   one.  */
void galena_reads_interrupt (struct galena_reads *reads);

/* Waits until there is progress on a read, one of the COUNT descriptors in FDS
   is ready, or TIMEOUT_MS have passed.  Ignores descriptors beyond the
   first 64.  */
void galena_reads_wait (struct galena_reads *reads, const struct pollfd *fds,
                        uint32_t count, uint32_t timeout_ms);

/* Stores the next read that has ended in *COMPLETED; false when there is
   none.  */
bool galena_reads_next (struct galena_reads *reads,
                        struct galena_completed_read *completed);

#endif
