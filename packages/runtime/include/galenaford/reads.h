/* Several reads of the platform at once over HTTP, on one thread.  */

#ifndef GALENAFORD_READS_H
#define GALENAFORD_READS_H

#include <poll.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <galenaford/result.h>

struct galena_reads_options
{
  /* Start of every address read, as in "http://192.0.2.1:8500".  Copied.  */
  const char *base_url;
  /* Most milliseconds until a connection stands.  */
  uint32_t connect_timeout_ms;
  /* Most bytes of one answer.  */
  size_t bytes_max;
  /* Most reads at once.  */
  uint32_t reads;
};

struct galena_reads;

/* One read that has ended.  */
struct galena_completed_read
{
  /* As given to galena_reads_start.  */
  uint64_t user_data;
  /* GALENA_ERR_IO, GALENA_ERR_TOO_LARGE, GALENA_ERR_NOT_FOUND for any status
     but 200, or GALENA_OK.  */
  enum galena_result result;
  /* HTTP status; 0 when there was no answer.  */
  uint32_t status;
  /* The answer; valid until the next call.  */
  const char *text;
  size_t size;
};

/* Creates readers in *OUT; the caller owns them; one thread uses them.
   Errors: GALENA_ERR_INVALID, GALENA_ERR_MEMORY.  */
enum galena_result
galena_reads_create (const struct galena_reads_options *options,
                     struct galena_reads **out);

/* Destroys READS and gives up what is in progress; accepts NULL.  */
void galena_reads_destroy (struct galena_reads *reads);

/* Starts to read PATH; it ends within TIMEOUT_MS.
   Errors: GALENA_ERR_FULL, GALENA_ERR_MEMORY.  */
enum galena_result galena_reads_start (struct galena_reads *reads,
                                       const char *path, uint32_t timeout_ms,
                                       uint64_t user);

/* Gives up all reads of USER; they do not end.  */
void galena_reads_cancel (struct galena_reads *reads, uint64_t user);

/* Ends the wait that another thread is in, or its next one.  */
void galena_reads_interrupt (struct galena_reads *reads);

/* Waits until a read moves on, one of the COUNT events of FDS comes, or
   TIMEOUT_MS have passed.  At most 64 events.  */
void galena_reads_wait (struct galena_reads *reads, const struct pollfd *fds,
                        uint32_t count, uint32_t timeout_ms);

/* Stores the next read that has ended in *END; false when there is none.  */
bool galena_reads_next (struct galena_reads *reads,
                        struct galena_completed_read *end);

#endif
