/* Hands reports from the thread of a world to the operator thread.

   Three reports go round: one is filled, one is read, and one lies between
   them.  Neither side waits for the other.  */

#ifndef GALENAFORD_EXCHANGE_H
#define GALENAFORD_EXCHANGE_H

#include <galenaford/stats.h>

struct exchange;

/* Creates an exchange of empty reports in *OUT; the caller owns it.
   Errors: GALENA_ERR_MEMORY.  */
enum galena_result
exchange_create (const struct galena_report_options *options,
                 struct exchange **out);

/* Destroys EXCHANGE; accepts NULL.  */
void exchange_destroy (struct exchange *exchange);

/* Writing thread: tells whether PERIOD_MS have passed at NOW since a report
   was last handed over.  */
bool exchange_due (const struct exchange *exchange, struct galena_clock now,
                   int64_t period_ms);

/* Writing thread: returns the report to fill next.  */
struct galena_report *exchange_fill (struct exchange *exchange);

/* Writing thread: hands over at NOW the report that was filled.  */
void exchange_publish (struct exchange *exchange, struct galena_clock now);

/* Reading thread: returns the newest report handed over; valid until the next
   call.  */
const struct galena_report *exchange_read (struct exchange *exchange);

#endif
