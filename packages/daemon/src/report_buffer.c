/* Triple buffer: three reports, one for each thread and one shared.  A thread
   swaps the index of its own report with the atomic index of the shared
   one.  */

#include <stdatomic.h>
#include <stdlib.h>

#include "report_buffer.h"

enum
{
  REPORT_COUNT = 3,
  INDEX_MASK = 3,
  /* Set in the shared index until the reading thread takes the report.  */
  UNREAD = 4
};

struct report_buffer
{
  struct galena_report *reports[REPORT_COUNT];
  /* Index of the report that neither thread uses, and UNREAD.  */
  atomic_uint shared;
  /* Index of the report that the writing thread fills in.  */
  unsigned write_index;
  /* When a report was last published.  */
  struct galena_clock published;
  /* Index of the report that the reading thread reads.  */
  unsigned read_index;
};

enum galena_result
report_buffer_create (const struct galena_report_options *options,
                      struct report_buffer **out)
{
  struct report_buffer *buffer = calloc (1, sizeof *buffer);

  if (buffer == NULL)
    return GALENA_ERR_MEMORY;
  for (unsigned i = 0; i < REPORT_COUNT; i++)
    if (galena_report_create (options, &buffer->reports[i]) != GALENA_OK)
      {
        report_buffer_destroy (buffer);
        return GALENA_ERR_MEMORY;
      }
  buffer->write_index = 0;
  atomic_init (&buffer->shared, 1);
  buffer->read_index = 2;
  *out = buffer;
  return GALENA_OK;
}

void
report_buffer_destroy (struct report_buffer *buffer)
{
  if (buffer == NULL)
    return;
  for (unsigned i = 0; i < REPORT_COUNT; i++)
    galena_report_destroy (buffer->reports[i]);
  free (buffer);
}

struct galena_report *
report_buffer_writable (struct report_buffer *buffer)
{
  return buffer->reports[buffer->write_index];
}

bool
report_buffer_is_due (const struct report_buffer *buffer,
                      struct galena_clock now, int64_t period_ms)
{
  return galena_clock_elapsed_ms (buffer->published, now) >= period_ms;
}

void
report_buffer_publish (struct report_buffer *buffer, struct galena_clock now)
{
  buffer->published = now;
  buffer->write_index
      = atomic_exchange (&buffer->shared, buffer->write_index | UNREAD)
        & INDEX_MASK;
}

const struct galena_report *
report_buffer_read (struct report_buffer *buffer)
{
  if (atomic_load (&buffer->shared) & UNREAD)
    buffer->read_index
        = atomic_exchange (&buffer->shared, buffer->read_index) & INDEX_MASK;
  return buffer->reports[buffer->read_index];
}
