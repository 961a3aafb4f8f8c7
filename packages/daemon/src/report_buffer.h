/* Triple buffer that passes reports from the thread of a world to the operator
   thread.

   Of its three reports one is written, one is read, and one holds the newest
   complete report.  Neither thread waits for the other.  */

#ifndef GALENAFORD_REPORT_BUFFER_H
#define GALENAFORD_REPORT_BUFFER_H

#include <galenaford/stats.h>

struct report_buffer;

/* Creates a buffer of empty reports in *OUT; the caller owns it.
   Errors: GALENA_ERR_MEMORY.  */
enum galena_result
report_buffer_create (const struct galena_report_options *options,
                      struct report_buffer **out);

/* Destroys BUFFER; accepts NULL.  */
void report_buffer_destroy (struct report_buffer *buffer);

/* Writing thread: returns whether at NOW at least PERIOD_MS have passed since
   a report was last published.  */
bool report_buffer_is_due (const struct report_buffer *buffer,
                           struct galena_clock now, int64_t period_ms);

/* Writing thread: returns the report to fill in next; valid until it is
   published.  */
struct galena_report *report_buffer_writable (struct report_buffer *buffer);

/* Writing thread: publishes at NOW the report that was filled in.  */
void report_buffer_publish (struct report_buffer *buffer,
                            struct galena_clock now);

/* Reading thread: returns the newest published report; valid until the next
   call.  */
const struct galena_report *report_buffer_read (struct report_buffer *buffer);

#endif
