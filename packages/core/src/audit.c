/* The ring buffer of the audit trail, and the names of its events.  */

#include <stdlib.h>

#include <galenaford/audit.h>

struct galena_audit
{
  struct galena_audit_row *rows;
  uint32_t capacity;
  /* Number of rows appended since the creation.  */
  uint64_t appended;
};

struct event_text
{
  const char *name;
  const char *description;
};

static const struct event_text TEXTS[GALENA_AUDIT_EVENT_COUNT] = {
#define GALENA_AUDIT_TEXT(id, name, description) [id] = { name, description },
  GALENA_AUDIT_EVENTS (GALENA_AUDIT_TEXT)
#undef GALENA_AUDIT_TEXT
};

enum galena_result
galena_audit_create (const struct galena_audit_options *options,
                     struct galena_audit **out)
{
  struct galena_audit *audit;

  if (options->capacity == 0)
    return GALENA_ERR_INVALID;
  audit = calloc (1, sizeof *audit);
  if (audit == NULL)
    return GALENA_ERR_MEMORY;
  audit->capacity = options->capacity;
  audit->rows = calloc (options->capacity, sizeof *audit->rows);
  if (audit->rows == NULL)
    {
      free (audit);
      return GALENA_ERR_MEMORY;
    }
  *out = audit;
  return GALENA_OK;
}

void
galena_audit_destroy (struct galena_audit *audit)
{
  if (audit == NULL)
    return;
  free (audit->rows);
  free (audit);
}

void
galena_audit_append (struct galena_audit *audit,
                     const struct galena_audit_row *row)
{
  struct galena_audit_row *slot
      = &audit->rows[audit->appended % audit->capacity];

  audit->appended++;
  *slot = *row;
  slot->sequence = audit->appended;
}

const struct galena_audit_row *
galena_audit_find (const struct galena_audit *audit, uint64_t sequence)
{
  uint64_t oldest = 1;

  if (audit->appended > audit->capacity)
    oldest = audit->appended - audit->capacity + 1;
  if (sequence < oldest)
    sequence = oldest;
  if (sequence > audit->appended)
    return NULL;
  return &audit->rows[(sequence - 1) % audit->capacity];
}

uint64_t
galena_audit_newest (const struct galena_audit *audit)
{
  return audit->appended;
}

const char *
galena_audit_event_name (enum galena_audit_event event)
{
  return TEXTS[event].name;
}

const char *
galena_audit_event_description (enum galena_audit_event event)
{
  return TEXTS[event].description;
}
