/* Three reports and one atomic index.  */

#include <stdatomic.h>
#include <stdlib.h>

#include "exchange.h"

enum
{
  REPORTS = 3,
  INDEX_MASK = 3,
  /* Set in the shared index while its report was not read.  */
  FRESH = 4
};

struct exchange
{
  struct galena_report *reports[REPORTS];
  /* Index of the report between the threads, and FRESH.  */
  atomic_uint between;
  /* Index of the report that the writing thread fills.  */
  unsigned filling;
  /* When a report was last handed over.  */
  struct galena_clock published;
  /* Index of the report that the reading thread reads.  */
  unsigned reading;
};

enum galena_result
exchange_create (const struct galena_report_options *options,
                 struct exchange **out)
{
  struct exchange *exchange = calloc (1, sizeof *exchange);

  if (exchange == NULL)
    return GALENA_ERR_MEMORY;
  for (unsigned i = 0; i < REPORTS; i++)
    if (galena_report_create (options, &exchange->reports[i]) != GALENA_OK)
      {
        exchange_destroy (exchange);
        return GALENA_ERR_MEMORY;
      }
  exchange->filling = 0;
  atomic_init (&exchange->between, 1);
  exchange->reading = 2;
  *out = exchange;
  return GALENA_OK;
}

void
exchange_destroy (struct exchange *exchange)
{
  if (exchange == NULL)
    return;
  for (unsigned i = 0; i < REPORTS; i++)
    galena_report_destroy (exchange->reports[i]);
  free (exchange);
}

struct galena_report *
exchange_fill (struct exchange *exchange)
{
  return exchange->reports[exchange->filling];
}

bool
exchange_due (const struct exchange *exchange, struct galena_clock now,
              int64_t period_ms)
{
  return galena_clock_elapsed_ms (exchange->published, now) >= period_ms;
}

void
exchange_publish (struct exchange *exchange, struct galena_clock now)
{
  exchange->published = now;
  exchange->filling
      = atomic_exchange (&exchange->between, exchange->filling | FRESH)
        & INDEX_MASK;
}

const struct galena_report *
exchange_read (struct exchange *exchange)
{
  if (atomic_load (&exchange->between) & FRESH)
    exchange->reading
        = atomic_exchange (&exchange->between, exchange->reading) & INDEX_MASK;
  return exchange->reports[exchange->reading];
}
