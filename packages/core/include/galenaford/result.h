/* Numbered result codes of calls and messages.

   docs/ERRORS.md has the same table for operators.  */

#ifndef GALENAFORD_RESULT_H
#define GALENAFORD_RESULT_H

/* One row per code: identifier, number, name, description.  */
#define GALENA_RESULTS(X)                                                     \
  X (GALENA_OK, 0, "ok", "The call or request succeeded.")                    \
  X (GALENA_ERR_MEMORY, 1, "memory", "Memory could not be allocated.")        \
  X (GALENA_ERR_FULL, 2, "full", "A bounded table or queue has no room.")     \
  X (GALENA_ERR_STALE, 3, "stale", "A handle names a row that was removed.")  \
  X (GALENA_ERR_INVALID, 4, "invalid", "An argument or option is invalid.")   \
  X (GALENA_ERR_IO, 5, "io", "A system call or transfer failed.")             \
  X (GALENA_ERR_EXISTS, 6, "exists", "The key is already present.")           \
  X (GALENA_ERR_NOT_FOUND, 7, "not-found", "The name or key is unknown.")     \
  X (GALENA_ERR_TRUNCATED, 20, "truncated", "A message ends too early.")      \
  X (GALENA_ERR_SCHEMA, 21, "schema", "The schema version is unknown.")       \
  X (GALENA_ERR_TYPE, 22, "type", "A field or message has a wrong type.")     \
  X (GALENA_ERR_TOO_LARGE, 23, "too-large", "A size exceeds its limit.")      \
  X (GALENA_ERR_RANGE, 24, "range", "A value is out of its range.")           \
  X (GALENA_ERR_GENERATION, 25, "generation",                                 \
     "A record is not newer than the current one.")                           \
  X (GALENA_REFUSED_NO_SERVICE, 40, "no-service",                             \
     "Not run: no service has this address.")                                 \
  X (GALENA_REFUSED_NO_UPSTREAM, 41, "no-upstream",                           \
     "Not run: no upstream of the service takes new flows.")                  \
  X (GALENA_REFUSED_LEAVING, 42, "leaving",                                   \
     "Not run: the upstream is leaving.")                                     \
  X (GALENA_REFUSED_OVERLOAD, 43, "overload",                                 \
     "Not run: the queue of this kind is full.")                              \
  X (GALENA_REFUSED_DEADLINE, 44, "deadline",                                 \
     "Not run: the deadline can't be met or has passed.")                     \
  X (GALENA_REFUSED_CONNECTIONS, 45, "connections",                           \
     "Not run: the upstream holds its limit of flows.")                       \
  X (GALENA_REFUSED_KIND, 46, "kind",                                         \
     "Not run: the kind of work is unknown.")                                 \
  X (GALENA_REFUSED_CANCELLED, 47, "cancelled",                               \
     "Not run: the caller cancelled before the upstream received it.")        \
  X (GALENA_REFUSED_SHED, 48, "shed",                                         \
     "Not run: the entry shed this kind early.")                              \
  X (GALENA_REFUSED_BY_UPSTREAM, 49, "by-upstream",                           \
     "Not run: the upstream itself refused the request.")                     \
  X (GALENA_REFUSED_WRONG_SERVICE, 50, "wrong-service",                       \
     "Not run: the message is meant for another service.")                    \
  X (GALENA_REFUSED_BODY, 51, "body", "Not run: the body exceeds its limit.") \
  X (GALENA_REFUSED_NOT_CANDIDATE, 52, "not-candidate",                       \
     "Not run: the flow's packets would not be routed to this upstream.")     \
  X (GALENA_REFUSED_RENEWING, 53, "renewing",                                 \
     "Not run: the agent was paused and is renewing its records.")            \
  X (GALENA_REFUSED_EVACUATED, 54, "evacuated",                               \
     "Not run: the availability zone is evacuated.")                          \
  X (GALENA_REFUSED_WARMING_UP, 55, "warming-up",                             \
     "Not run: the upstream warms up and takes no more new flows now.")       \
  X (GALENA_REFUSED_BUSY, 56, "busy",                                         \
     "Not run: another upstream will probably answer sooner.")                \
  X (GALENA_UNKNOWN_OUTCOME, 60, "outcome-unknown",                           \
     "The request may have run; its answer is lost.")                         \
  X (GALENA_UNKNOWN_FLOW, 61, "flow-lost",                                    \
     "The agent no longer knows this flow.")                                  \
  X (GALENA_FLOW_MOVE, 62, "move",                                            \
     "The flow should be opened again elsewhere.")

enum galena_result
{
#define GALENA_RESULT_ENUM(id, number, name, description) id = number,
  GALENA_RESULTS (GALENA_RESULT_ENUM)
#undef GALENA_RESULT_ENUM
};

/* Returns the name of RESULT, or "unknown".  Never fails.  */
const char *galena_result_name (enum galena_result result);

/* Returns a one-sentence description of RESULT, or an empty string.  Never
   fails.  */
const char *galena_result_description (enum galena_result result);

/* Returns non-zero if RESULT guarantees that the request was not run.  */
int galena_result_is_refusal (enum galena_result result);

#endif
