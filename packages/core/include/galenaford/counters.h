/* The counters of a process, as shown to operators.  */

#ifndef GALENAFORD_COUNTERS_H
#define GALENAFORD_COUNTERS_H

#include <stdint.h>

/* One row per counter: identifier, name, description.  */
#define GALENA_COUNTERS(X)                                                    \
  X (GALENA_COUNT_TICKS, "ticks", "Ticks run.")                               \
  X (GALENA_COUNT_RECEIVED, "received", "Messages received.")                 \
  X (GALENA_COUNT_SENT, "sent", "Messages sent.")                             \
  X (GALENA_COUNT_UNSENT, "unsent",                                           \
     "Messages dropped: the outbox or the socket was full.")                  \
  X (GALENA_COUNT_UNEXPECTED, "unexpected", "Messages of a wrong type.")      \
  X (GALENA_COUNT_MALFORMED, "malformed", "Datagrams that did not decode.")   \
  X (GALENA_COUNT_NO_ROUTE, "no_route",                                       \
     "Packets for which no upstream was found.")                              \
  X (GALENA_COUNT_WRONG_SERVICE, "wrong_service",                             \
     "Packets whose service is not the flow's own.")                          \
  X (GALENA_COUNT_OPENS, "opens", "Opens received, without repeats.")         \
  X (GALENA_COUNT_RETRIES, "retries", "Opens sent to a further candidate.")   \
  X (GALENA_COUNT_RETRIES_DENIED, "retries_denied",                           \
     "Opens not retried: the budget was spent.")                              \
  X (GALENA_COUNT_ACCEPTED, "accepted", "Flows accepted.")                    \
  X (GALENA_COUNT_REFUSED, "refused", "Opens and requests refused.")          \
  X (GALENA_COUNT_SHED, "shed", "Opens shed at the entry.")                   \
  X (GALENA_COUNT_HANDED_ON, "handed_on", "Opens handed to another agent.")   \
  X (GALENA_COUNT_FORWARDED, "forwarded",                                     \
     "Packets without an upstream number forwarded to another agent.")        \
  X (GALENA_COUNT_LEASES, "leases", "Leases on buckets taken or renewed.")    \
  X (GALENA_COUNT_LOST, "lost", "Packets of unknown flows.")                  \
  X (GALENA_COUNT_EXPIRED_FLOWS, "expired_flows", "Flows that timed out.")    \
  X (GALENA_COUNT_REQUESTS, "requests",                                       \
     "Requests received, without repeats.")                                   \
  X (GALENA_COUNT_DUPLICATES, "duplicates", "Duplicate request parts.")       \
  X (GALENA_COUNT_RUNS, "runs", "Requests handed to the upstream.")           \
  X (GALENA_COUNT_ANSWERED, "answered", "Requests answered in full.")         \
  X (GALENA_COUNT_UNKNOWN, "unknown", "Requests whose outcome is unknown.")   \
  X (GALENA_COUNT_CANCELLED, "cancelled", "Requests cancelled.")              \
  X (GALENA_COUNT_TRIED_ELSEWHERE, "tried_elsewhere",                         \
     "Refused requests that a caller sent to another upstream.")              \
  X (GALENA_COUNT_REOPENED, "reopened", "Flows opened again by a caller.")    \
  X (GALENA_COUNT_PATHS_LEFT, "paths_left",                                   \
     "Source ports abandoned because no reply came to them.")                 \
  X (GALENA_COUNT_MOVED, "moved", "Flows moved from a leaving upstream.")     \
  X (GALENA_COUNT_RESENT, "resent", "Retransmissions of parts.")

enum galena_counter
{
#define GALENA_COUNTER_ENUM(id, name, description) id,
  GALENA_COUNTERS (GALENA_COUNTER_ENUM)
#undef GALENA_COUNTER_ENUM
      GALENA_COUNTER_COUNT
};

struct galena_counters
{
  uint64_t values[GALENA_COUNTER_COUNT];
};

/* Returns the name of COUNTER, as written out.  */
const char *galena_counter_name (enum galena_counter counter);

/* Returns a one-sentence description of COUNTER.  */
const char *galena_counter_description (enum galena_counter counter);

#endif
