/* The audit trail: a bounded ring buffer of changes that took effect.  */

#ifndef GALENAFORD_AUDIT_H
#define GALENAFORD_AUDIT_H

#include <stdint.h>

#include <galenaford/clock.h>
#include <galenaford/result.h>

/* One row per event: identifier, name, description.  */
#define GALENA_AUDIT_EVENTS(X)                                                \
  X (GALENA_AUDIT_STARTED, "started", "The process began an incarnation.")    \
  X (GALENA_AUDIT_STOPPING, "stopping", "The process began to stop.")         \
  X (GALENA_AUDIT_RECORD_TAKEN, "record-taken", "A record was applied.")      \
  X (GALENA_AUDIT_RECORD_REFUSED, "record-refused",                           \
     "A record was rejected; the last valid one stays current.")              \
  X (GALENA_AUDIT_RECORD_CONFLICT, "record-conflict",                         \
     "Two records of one generation: the one with the higher digest wins.")   \
  X (GALENA_AUDIT_RECORD_CLASH, "record-clash",                               \
     "Two services claim one address or upstream: the lower number wins.")    \
  X (GALENA_AUDIT_UPSTREAM_ADDED, "upstream-added", "An upstream joined.")    \
  X (GALENA_AUDIT_UPSTREAM_LEAVING, "upstream-leaving",                       \
     "An upstream takes no new flows.")                                       \
  X (GALENA_AUDIT_UPSTREAM_REMOVED, "upstream-removed",                       \
     "An upstream is no longer in the record.")                               \
  X (GALENA_AUDIT_OVERLOAD_ENTERED, "overload-entered",                       \
     "A kind of work began to be refused.")                                   \
  X (GALENA_AUDIT_OVERLOAD_LEFT, "overload-left",                             \
     "A kind of work is no longer refused.")                                  \
  X (GALENA_AUDIT_OWNER_LOST, "owner-lost", "An agent stopped replying.")     \
  X (GALENA_AUDIT_OWNER_BACK, "owner-back", "An agent replies again.")        \
  X (GALENA_AUDIT_UPSTREAM_DOWN, "upstream-down",                             \
     "The upstream refused several requests in a row.")                       \
  X (GALENA_AUDIT_UPSTREAM_UP, "upstream-up", "The upstream answers again.")  \
  X (GALENA_AUDIT_PAUSED, "paused", "The process was paused and has resumed.")

enum galena_audit_event
{
#define GALENA_AUDIT_ENUM(id, name, description) id,
  GALENA_AUDIT_EVENTS (GALENA_AUDIT_ENUM)
#undef GALENA_AUDIT_ENUM
      GALENA_AUDIT_EVENT_COUNT
};

struct galena_audit_row
{
  /* Sequence number since the process started, from 1.  */
  uint64_t sequence;
  struct galena_clock at;
  enum galena_audit_event event;
  /* Numbers of the service, upstream and kind concerned; 0 for none.  */
  uint32_t service;
  uint32_t upstream;
  uint32_t kind;
  /* Generation concerned, or 0.  For a pause of a world, its length in
     milliseconds.  */
  uint64_t generation;
  enum galena_result result;
};

struct galena_audit_options
{
  /* Rows kept; older ones are overwritten.  */
  uint32_t capacity;
};

struct galena_audit;

/* Creates an empty trail in *OUT; the caller owns it.
   Errors: GALENA_ERR_INVALID, GALENA_ERR_MEMORY.  */
enum galena_result
galena_audit_create (const struct galena_audit_options *options,
                     struct galena_audit **out);

/* Destroys AUDIT; accepts NULL.  */
void galena_audit_destroy (struct galena_audit *audit);

/* Appends ROW with the next sequence number.  */
void galena_audit_append (struct galena_audit *audit,
                          const struct galena_audit_row *row);

/* Returns the oldest row still held whose sequence number is at least
   SEQUENCE, or NULL; valid until the next append.  */
const struct galena_audit_row *
galena_audit_find (const struct galena_audit *audit, uint64_t sequence);

/* Returns the sequence number of the last row appended, or 0.  */
uint64_t galena_audit_newest (const struct galena_audit *audit);

/* Returns the name of EVENT, as written out.  */
const char *galena_audit_event_name (enum galena_audit_event event);

/* Returns a one-sentence description of EVENT.  */
const char *galena_audit_event_description (enum galena_audit_event event);

#endif
