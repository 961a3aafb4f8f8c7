/* Hands reports from the thread of a world to the operator thread.

   Three reports go round: one is filled, one is read, and one lies between
   them.  Neither side waits for the other.  */

#ifndef GALENAFORD_EXCHANGE_H
#define GALENAFORD_EXCHANGE_H

#include <galenaford/stats.h>

struct report_buffer;

/* Creates an exchange of empty reports in *OUT; the caller owns it.
   Errors: GALENA_ERR_MEMORY.  */
enum galena_result
report_buffer_create (const struct galena_report_options *options,
                      struct report_buffer **out);

/* Destroys EXCHANGE; accepts NULL.  */
void report_buffer_destroy (struct report_buffer *buffer);

/* Writing thread: tells whether PERIOD_MS have passed at NOW since a report
   was last handed over.  */
bool report_buffer_is_due (const struct report_buffer *buffer,
                           struct galena_clock now, int64_t period_ms);

/* Writing thread: returns the report to fill next.  */
struct galena_report *report_buffer_writable (struct report_buffer *buffer);

/* Writing thread: hands over at NOW the report that was filled.  */
void report_buffer_publish (struct report_buffer *buffer,
                            struct galena_clock now);

/* Reading thread: returns the newest report handed over; valid until the next
   call.  */
const struct galena_report *report_buffer_read (struct report_buffer *buffer);

#endif
