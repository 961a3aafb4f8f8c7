/* The caller library: opens flows, sends requests, collects answers.

   Works on a world with GALENA_ROLE_CALLER that has run a tick: deadlines
   count from the time of the last one.  Answers come out on the
   application link: RUN_DATA in order, then one RUN_END with the result.  */

#ifndef GALENAFORD_CALLER_H
#define GALENAFORD_CALLER_H

#include <galenaford/world.h>

struct galena_caller_flow_options
{
  struct galena_endpoint service;
  /* Kind of the flow's first request.  */
  uint16_t kind;
  /* Milliseconds until an unanswered open is given up.  */
  uint32_t deadline_ms;
  /* Whether the flow's packets carry no route in their tag.  */
  bool unrouted;
};

struct galena_caller_request_options
{
  struct galena_flow_handle flow;
  uint16_t kind;
  /* Whether the request may be sent again on another flow.  */
  bool idempotent;
  /* Whether the answer has no end; no deadline applies after its start.  */
  bool endless;
  uint32_t deadline_ms;
  /* Copied.  */
  const uint8_t *body;
  uint32_t body_size;
};

/* Opens a flow; requests may be added at once.
   Errors: GALENA_ERR_FULL.  */
enum galena_result
galena_caller_open (struct galena_world *world,
                    const struct galena_caller_flow_options *options,
                    struct galena_flow_handle *flow);

/* Closes FLOW; its unfinished requests end without a further message.
   Errors: GALENA_ERR_STALE.  */
enum galena_result galena_caller_close (struct galena_world *world,
                                        struct galena_flow_handle flow);

/* Sends a request on an open or opening flow.
   Errors: GALENA_ERR_STALE, GALENA_ERR_FULL, GALENA_ERR_TOO_LARGE,
   GALENA_ERR_MEMORY.  */
enum galena_result
galena_caller_request (struct galena_world *world,
                       const struct galena_caller_request_options *options,
                       struct galena_request_handle *request);

/* Asks for REQUEST to be cancelled; RUN_END tells the result.
   Errors: GALENA_ERR_STALE.  */
enum galena_result galena_caller_cancel (struct galena_world *world,
                                         struct galena_request_handle request);

/* Has USER stand in every later run message of REQUEST.
   Errors: GALENA_ERR_STALE.  */
enum galena_result
galena_caller_set_user (struct galena_world *world,
                        struct galena_request_handle request, uint64_t user);

/* Returns the tag of FLOW, or 0 while it has none.  */
uint64_t galena_caller_tag (const struct galena_world *world,
                            struct galena_flow_handle flow);

#endif
