/* The caller library: opens flows, sends requests and receives answers.

   WORLD has the role GALENA_ROLE_CALLER and has run a tick: deadlines count
   from the time of the last tick.  Answers appear in the outbox on the
   application link: RUN_DATA messages with the parts of the answer, in order,
   then one RUN_END message with the result.  */

#ifndef GALENAFORD_CALLER_H
#define GALENAFORD_CALLER_H

#include <galenaford/world.h>

struct galena_caller_flow_options
{
  struct galena_endpoint service;
  /* Kind of the flow's first request.  */
  uint16_t kind;
  /* Milliseconds until an open that was not accepted fails.  */
  uint32_t deadline_ms;
  /* Whether the flow's packets carry a tag without the upstream number, so
     that entries route them by the hash of the flow id; see tag.h.  */
  bool hash_routed;
};

struct galena_caller_request_options
{
  struct galena_flow_handle flow;
  uint16_t kind;
  /* Whether running the request twice does no harm, so that it may be retried
     after it may have run.  */
  bool idempotent;
  /* Whether the answer is an endless stream; the deadline then applies only
     until its first bytes.  */
  bool endless;
  /* Milliseconds until the request ends if its answer is not complete.  */
  uint32_t deadline_ms;
  /* Body of BODY_SIZE bytes, copied; NULL when it is empty.  */
  const uint8_t *body;
  uint32_t body_size;
};

/* Opens a flow and stores its handle in *FLOW.  Requests may be sent on it at
   once; they wait until it is open.
   Errors: GALENA_ERR_FULL.  */
enum galena_result
galena_caller_open (struct galena_world *world,
                    const struct galena_caller_flow_options *options,
                    struct galena_flow_handle *flow);

/* Closes FLOW.  Its unfinished requests are dropped without a RUN_END.
   Errors: GALENA_ERR_STALE.  */
enum galena_result galena_caller_close (struct galena_world *world,
                                        struct galena_flow_handle flow);

/* Sends a request on an open or opening flow and stores its handle in
   *REQUEST.
   Errors: GALENA_ERR_STALE, GALENA_ERR_FULL, GALENA_ERR_TOO_LARGE,
   GALENA_ERR_MEMORY.  */
enum galena_result
galena_caller_request (struct galena_world *world,
                       const struct galena_caller_request_options *options,
                       struct galena_request_handle *request);

/* Asks for REQUEST to be cancelled.  RUN_END reports the result; the request
   may still be answered.
   Errors: GALENA_ERR_STALE.  */
enum galena_result galena_caller_cancel (struct galena_world *world,
                                         struct galena_request_handle request);

/* Sets an opaque value of the application, which the member `user' of every
   later RUN_DATA and RUN_END message of REQUEST carries.
   Errors: GALENA_ERR_STALE.  */
enum galena_result
galena_caller_set_user (struct galena_world *world,
                        struct galena_request_handle request, uint64_t user);

/* Returns the tag of FLOW, or 0 while it has none.  */
uint64_t galena_caller_tag (const struct galena_world *world,
                            struct galena_flow_handle flow);

#endif
