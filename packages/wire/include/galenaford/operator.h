/* The protocol between operators and a process: typed rows, each encoded as
   one flat msgpack array and sent as one framed message.

   A query selects a view by its row type.  The reply is the rows of that view,
   followed by one end row.  */

#ifndef GALENAFORD_OPERATOR_H
#define GALENAFORD_OPERATOR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <galenaford/config.h>
#include <galenaford/result.h>

enum
{
  /* Schema version of the rows.  */
  GALENA_OPERATOR_SCHEMA = 1,
  /* Most bytes of one encoded row.  */
  GALENA_OPERATOR_ROW_BYTES_MAX = 1024
};

/* One row per type: enum value, number, name, struct type, field macro.  Views
   are the types from "status" on.  The view "flows" has one row for each kind
   of work of a service, the view "audit" one for each event.  */
#define GALENA_OPERATOR_ROWS(X)                                               \
  X (GALENA_ROW_QUERY, 1, "query", query, GALENA_QUERY_FIELDS)                \
  X (GALENA_ROW_END, 2, "end", end, GALENA_END_FIELDS)                        \
  X (GALENA_ROW_STATUS, 3, "status", status, GALENA_STATUS_FIELDS)            \
  X (GALENA_ROW_COUNTER, 4, "counters", counter, GALENA_COUNTER_FIELDS)       \
  X (GALENA_ROW_GENERATION, 5, "generation", generation,                      \
     GALENA_GENERATION_FIELDS)                                                \
  X (GALENA_ROW_UPSTREAM, 6, "upstreams", upstream, GALENA_UPSTREAM_FIELDS)   \
  X (GALENA_ROW_KIND, 7, "flows", kind, GALENA_KIND_FIELDS)                   \
  X (GALENA_ROW_AUDIT, 8, "audit", event, GALENA_EVENT_FIELDS)

/* Fields of row type R: T is a text, N a number; name, description.  */
#define GALENA_QUERY_FIELDS(R, T, N)                                          \
  N (R, view, "Number of the requested row type.")                            \
  N (R, after, "Audit rows up to this sequence are left out.")

#define GALENA_END_FIELDS(R, T, N) N (R, result, "Result code of the query.")

#define GALENA_STATUS_FIELDS(R, T, N)                                         \
  T (R, process, "Name of the process.")                                      \
  T (R, role, "Role of the process.")                                         \
  T (R, zone, "Availability zone.")                                           \
  T (R, version, "Version of the program.")                                   \
  T (R, state, "running or stopping.")                                        \
  T (R, record, "Agent: state of its upstream in the record, or none.")       \
  T (R, incarnation, "Random number drawn at each start.")                    \
  N (R, upstream, "Agent: number of its upstream.")                           \
  N (R, keeps,                                                                \
     "Agent: number of the service whose record it keeps; 0 for all.")        \
  N (R, uptime_ms, "Milliseconds since the start.")                           \
  N (R, stop_left_ms, "Milliseconds left of a graceful shutdown.")            \
  N (R, report_age_ms, "Age of the oldest report of any thread.")             \
  N (R, threads, "Threads that process packets.")                             \
  N (R, services, "Services in the current records.")                         \
  N (R, upstreams, "Upstreams in the current records.")                       \
  N (R, flows, "Flows held.")                                                 \
  N (R, requests,                                                             \
     "Requests held, including ended ones not yet acknowledged.")             \
  N (R, running, "Requests that hold a slot of the upstream.")                \
  N (R, queued, "Requests that wait for a slot.")                             \
  N (R, pending_opens, "Opens without a reply.")                              \
  N (R, hints, "Upstreams with a fresh hint.")                                \
  N (R, body_bytes, "Bytes of bodies and retained answers.")                  \
  N (R, audit_rows, "Rows of the audit trail since the start.")

#define GALENA_COUNTER_FIELDS(R, T, N)                                        \
  T (R, group, "event, refused or malformed.")                                \
  T (R, counter, "Name of the counter or reason.")                            \
  N (R, value, "Count since the start.")

#define GALENA_GENERATION_FIELDS(R, T, N)                                     \
  N (R, number, "Number of the service.")                                     \
  T (R, service, "Name of the service.")                                      \
  N (R, generation, "Generation of the current record.")                      \
  T (R, digest, "Digest of that record.")                                     \
  N (R, schema, "Schema version of that record.")                             \
  N (R, upstreams, "Upstreams of the service.")                               \
  N (R, leaving, "Upstreams that are leaving or removed.")

#define GALENA_UPSTREAM_FIELDS(R, T, N)                                       \
  N (R, upstream, "Number of the upstream.")                                  \
  T (R, service, "Name of its service.")                                      \
  T (R, host, "Host of the upstream.")                                        \
  T (R, zone, "Availability zone.")                                           \
  T (R, agent, "Address of its agent.")                                       \
  T (R, state, "active, leaving or removed, as in the record.")               \
  T (R, reach, "Entry: ok, suspect or unused.")                               \
  N (R, weight, "Relative share of new flows.")                               \
  N (R, slots, "Most requests that run at once.")                             \
  N (R, connections, "Most flows open at once.")                              \
  N (R, wait_ms, "Entry: expected wait as last reported by the agent.")       \
  N (R, opens, "Entry: opens sent.")                                          \
  N (R, accepted, "Entry: opens accepted.")                                   \
  N (R, refused, "Entry: opens refused.")                                     \
  N (R, unanswered, "Entry: opens that timed out.")

#define GALENA_KIND_FIELDS(R, T, N)                                           \
  T (R, service, "Name of the service.")                                      \
  T (R, kind, "Name of the kind of work.")                                    \
  T (R, overload, "yes while the kind is refused for lack of room or time.")  \
  N (R, opens, "Entry: opens received, without repeats.")                     \
  N (R, accepted, "Flows accepted.")                                          \
  N (R, requests, "Agent: requests received, without repeats.")               \
  N (R, queued, "Agent: requests that wait now.")                             \
  N (R, running, "Agent: requests that run now.")                             \
  N (R, answered, "Agent: requests answered in full.")                        \
  N (R, refused, "Opens and requests refused.")                               \
  N (R, overloads, "Refusals for lack of room or time.")                      \
  N (R, unknown, "Agent: requests whose outcome is unknown.")                 \
  N (R, p50_ms,                                                               \
     "Median time; entry: until acceptance, agent: until the end.")           \
  N (R, p99_ms, "99th percentile of the same time.")

#define GALENA_EVENT_FIELDS(R, T, N)                                          \
  N (R, sequence, "Position in the trail since the start.")                   \
  N (R, age_ms, "Milliseconds since the event.")                              \
  T (R, event, "Name of the event.")                                          \
  N (R, service, "Number of the service, or 0.")                              \
  N (R, upstream, "Number of the upstream, or 0.")                            \
  N (R, kind, "Number of the kind of work, or 0.")                            \
  N (R, generation,                                                           \
     "Generation; of paused: milliseconds; of started: incarnation.")         \
  T (R, result, "Name of the result.")

enum galena_operator_type
{
#define GALENA_ROW_ENUM(value, number, name, type, fields) value = number,
  GALENA_OPERATOR_ROWS (GALENA_ROW_ENUM)
#undef GALENA_ROW_ENUM
      GALENA_ROW_TYPE_END
};

#define GALENA_ROW_TEXT(row, name, description) char name[GALENA_NAME_BYTES];
#define GALENA_ROW_NUMBER(row, name, description) uint64_t name;
#define GALENA_ROW_STRUCT(value, number, name, type, fields)                  \
  struct galena_##type##_row                                                  \
  {                                                                           \
    fields (type, GALENA_ROW_TEXT, GALENA_ROW_NUMBER)                         \
  };
GALENA_OPERATOR_ROWS (GALENA_ROW_STRUCT)
#undef GALENA_ROW_STRUCT
#undef GALENA_ROW_NUMBER
#undef GALENA_ROW_TEXT

struct galena_operator_row
{
  enum galena_operator_type type;
  /* The member that belongs to TYPE is valid.  */
  union
  {
#define GALENA_ROW_MEMBER(value, number, name, type, fields)                  \
  struct galena_##type##_row type;
    GALENA_OPERATOR_ROWS (GALENA_ROW_MEMBER)
#undef GALENA_ROW_MEMBER
  } as;
};

/* One field of a row type.  */
struct galena_operator_field
{
  const char *name;
  const char *description;
  /* Offset in struct galena_operator_row.  */
  size_t offset;
  /* Whether the field is a text of GALENA_NAME_BYTES, with its terminating
     NUL; otherwise it is a 64-bit number.  */
  bool is_text;
};

/* Returns field INDEX of rows of TYPE, or NULL past the last one.  */
const struct galena_operator_field *
galena_operator_field (enum galena_operator_type type, uint32_t index);

/* Returns the name of TYPE, or NULL when there is no such type.  */
const char *galena_operator_type_name (enum galena_operator_type type);

/* Returns the value of FIELD, a text, in ROW.  */
const char *galena_operator_text (const struct galena_operator_row *row,
                                  const struct galena_operator_field *field);

/* Returns the value of FIELD, a number, in ROW.  */
uint64_t galena_operator_number (const struct galena_operator_row *row,
                                 const struct galena_operator_field *field);

/* Encodes ROW into BYTES of size CAPACITY and stores the length in *SIZE.
   Errors: GALENA_ERR_TYPE, GALENA_ERR_TOO_LARGE when CAPACITY does not
   suffice.  */
enum galena_result
galena_operator_encode (const struct galena_operator_row *row, uint8_t *bytes,
                        size_t capacity, size_t *size);

/* Decodes SIZE bytes into *ROW.  Allocates nothing.
   Errors: GALENA_ERR_TRUNCATED, GALENA_ERR_TOO_LARGE, GALENA_ERR_SCHEMA,
   GALENA_ERR_TYPE, GALENA_ERR_RANGE.  */
enum galena_result galena_operator_decode (const uint8_t *bytes, size_t size,
                                           struct galena_operator_row *row);

#endif
