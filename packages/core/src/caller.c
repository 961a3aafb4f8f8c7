/* The caller role: its tables and the functions that applications call.  */

#include <stdlib.h>
#include <string.h>

#include "caller_tables.h"

enum
{
  SEND_PERIOD_MS = 5,
  CLOSE_RESEND_PERIOD_MS = 50
};

void
galena_caller_generate_flow_id (struct galena_world *world,
                                struct galena_flow_id *id)
{
  id->high = galena_random_next (&world->random);
  id->low = galena_random_next (&world->random);
}

enum galena_result
galena_caller_index_flow (struct galena_world *world, struct galena_flow_id id,
                          struct galena_flow_handle handle)
{
  struct galena_caller *caller = world->caller;

  return galena_map_insert (caller->flows_by_id,
                            galena_flow_key (caller->flows_by_id, id),
                            galena_handle_pack (handle.row));
}

void
galena_caller_unindex_flow (struct galena_world *world,
                            struct galena_flow_id id)
{
  struct galena_caller *caller = world->caller;

  galena_map_remove (caller->flows_by_id,
                     galena_flow_key (caller->flows_by_id, id));
}

enum galena_result
galena_caller_open (struct galena_world *world,
                    const struct galena_caller_flow_options *options,
                    struct galena_flow_handle *flow)
{
  struct galena_caller_flow *row
      = galena_table_insert (world->caller->flows, &flow->row);

  if (row == NULL)
    return GALENA_ERR_FULL;
  galena_caller_generate_flow_id (world, &row->id);
  row->service = options->service;
  row->kind = options->kind;
  row->hash_routed = options->hash_routed;
  row->deadline_ms = options->deadline_ms;
  row->deadline = galena_clock_add_ms (world->now, options->deadline_ms);
  row->resend_at = world->now;
  row->last_seen = world->now;
  row->source_port_index = world->caller->source_port_index;
  return galena_caller_index_flow (world, row->id, *flow);
}

static uint64_t
number_key (const struct galena_world *world, struct galena_flow_handle flow,
            uint32_t number)
{
  return galena_request_key (world->caller->requests_by_number, flow, number);
}

void
galena_caller_assign_number (struct galena_world *world,
                             struct galena_request_handle handle)
{
  struct galena_caller_request *request
      = galena_caller_request_row (world, handle);
  struct galena_caller_flow *flow = galena_caller_flow (world, request->flow);

  request->number = ++flow->last_request;
  galena_map_insert (world->caller->requests_by_number,
                     number_key (world, request->flow, request->number),
                     galena_handle_pack (handle.row));
}

static void
clear_number (struct galena_world *world,
              struct galena_caller_request *request)
{
  if (request->number == 0)
    return;
  galena_map_remove (world->caller->requests_by_number,
                     number_key (world, request->flow, request->number));
  request->number = 0;
}

void
galena_caller_transfer_request (struct galena_world *world,
                                struct galena_request_handle handle,
                                struct galena_flow_handle flow)
{
  struct galena_caller_request *request
      = galena_caller_request_row (world, handle);
  uint32_t number = request->number;

  clear_number (world, request);
  galena_caller_flow (world, request->flow)->open_requests--;
  galena_caller_flow (world, flow)->open_requests++;
  request->flow = flow;
  request->number = number;
  if (number != 0)
    galena_map_insert (world->caller->requests_by_number,
                       number_key (world, flow, number),
                       galena_handle_pack (handle.row));
}

struct galena_caller_request *
galena_caller_find_request (const struct galena_world *world,
                            const struct galena_message *message,
                            struct galena_request_handle *handle)
{
  struct galena_flow_handle flow_handle;
  struct galena_caller_flow *flow
      = galena_caller_find_flow (world, message, &flow_handle);
  uint64_t packed;

  if (flow == NULL || !galena_tag_matches (message->tag, flow->tag))
    return NULL;
  flow->last_seen = world->now;
  if (!galena_map_find (world->caller->requests_by_number,
                        number_key (world, flow_handle, message->request),
                        &packed))
    return NULL;
  handle->row = galena_handle_unpack (packed);
  return galena_caller_request_row (world, *handle);
}

static void
remove_request (struct galena_world *world,
                struct galena_request_handle handle)
{
  struct galena_caller_request *request
      = galena_caller_request_row (world, handle);
  struct galena_caller_flow *flow = galena_caller_flow (world, request->flow);

  if (flow != NULL)
    flow->open_requests--;
  clear_number (world, request);
  galena_stream_release (&request->answer);
  free (request->body);
  galena_table_remove (world->caller->requests, handle.row);
}

void
galena_caller_for_each_request (struct galena_world *world,
                                struct galena_flow_handle flow,
                                galena_caller_request_visitor *visit,
                                enum galena_result result)
{
  struct galena_caller_request *request;
  struct galena_request_handle handle;
  uint32_t cursor = 0;

  while ((request
          = galena_table_next (world->caller->requests, &cursor, &handle.row))
         != NULL)
    if (galena_handle_pack (request->flow.row)
        == galena_handle_pack (flow.row))
      visit (world, handle, result);
}

void
galena_caller_end_request (struct galena_world *world,
                           struct galena_request_handle handle,
                           enum galena_result result)
{
  const struct galena_caller_request *request
      = galena_caller_request_row (world, handle);
  struct galena_message end = { .type = GALENA_MESSAGE_RUN_END,
                                .side = GALENA_SIDE_APPLICATION,
                                .run = handle,
                                .kind = request->kind,
                                .user = request->user,
                                .result = result };

  if (request->earlier_run_possible && galena_result_is_refusal (result))
    end.result = GALENA_UNKNOWN_OUTCOME;
  galena_world_send (world, &end);
  remove_request (world, handle);
}

void
galena_caller_end_flow (struct galena_world *world,
                        struct galena_flow_handle handle,
                        enum galena_result result)
{
  struct galena_caller_flow *flow = galena_caller_flow (world, handle);

  galena_caller_for_each_request (world, handle, galena_caller_end_request,
                                  result);
  galena_caller_abandon_move (world, handle);
  galena_caller_unindex_flow (world, flow->id);
  galena_table_remove (world->caller->flows, handle.row);
}

static void
drop_request (struct galena_world *world, struct galena_request_handle handle,
              enum galena_result result)
{
  (void)result;
  remove_request (world, handle);
}

/* Drops the requests that are still running at upstreams that FLOW was moved
   from.  */
static void
drop_predecessor_requests (struct galena_world *world,
                           struct galena_flow_handle flow)
{
  const struct galena_caller_flow *row;
  struct galena_flow_handle handle;
  uint32_t cursor = 0;

  while ((row = galena_table_next (world->caller->flows, &cursor, &handle.row))
         != NULL)
    if (galena_handle_pack (row->successor.row)
        == galena_handle_pack (flow.row))
      galena_caller_for_each_request (world, handle, drop_request, GALENA_OK);
}

enum galena_result
galena_caller_close (struct galena_world *world,
                     struct galena_flow_handle handle)
{
  struct galena_caller_flow *flow = galena_caller_flow (world, handle);

  if (flow == NULL || flow->state == GALENA_CALLER_FLOW_CLOSING)
    return GALENA_ERR_STALE;
  galena_caller_for_each_request (world, handle, drop_request, GALENA_OK);
  if (!galena_handle_is_none (flow->predecessor.row))
    drop_predecessor_requests (world, handle);
  flow->state = GALENA_CALLER_FLOW_CLOSING;
  return GALENA_OK;
}

void
galena_caller_finish_close (struct galena_world *world,
                            struct galena_flow_handle handle)
{
  struct galena_caller_flow *flow = galena_caller_flow (world, handle);
  struct galena_message close
      = galena_caller_make_message (world, flow, GALENA_MESSAGE_CLOSE);
  galena_caller_close_at_agent (world, &close);
  galena_caller_abandon_move (world, handle);
  galena_caller_unindex_flow (world, flow->id);
  galena_table_remove (world->caller->flows, handle.row);
}

/* Returns whether the agent that owns the request's flow may have received all
   parts of REQUEST, and so may have run it.  */
static bool
may_have_run (const struct galena_caller_request *request)
{
  return request->sent == request->total;
}

void
galena_caller_restart_request (struct galena_world *world,
                               struct galena_request_handle handle)
{
  struct galena_caller_request *request
      = galena_caller_request_row (world, handle);

  request->earlier_run_possible |= may_have_run (request);
  clear_number (world, request);
  request->sent = 0;
  request->acknowledged = 0;
  request->recovery_end = 0;
  if (request->endless)
    {
      request->resume = request->delivered;
      request->deadline
          = galena_clock_add_ms (world->now, request->deadline_ms);
    }
  else
    request->delivered_parts = 0;
  galena_stream_release (&request->answer);
  request->answer = (struct galena_stream){ 0 };
}

/* Restarts a request of a flow that is being reopened, or ends it with RESULT
   if it must not run twice.  */
static void
restart_or_end (struct galena_world *world,
                struct galena_request_handle handle, enum galena_result result)
{
  const struct galena_caller_request *request
      = galena_caller_request_row (world, handle);

  if (may_have_run (request) && !request->idempotent)
    galena_caller_end_request (world, handle, result);
  else
    galena_caller_restart_request (world, handle);
}

/* Restarts a request of a predecessor on the successor, or ends it with RESULT
   if it must not run twice or there is no successor any more.  */
static void
restart_on_successor_or_end (struct galena_world *world,
                             struct galena_request_handle handle,
                             enum galena_result result)
{
  const struct galena_caller_request *request
      = galena_caller_request_row (world, handle);
  struct galena_flow_handle successor
      = galena_caller_flow (world, request->flow)->successor;

  if (galena_caller_flow (world, successor) == NULL
      || (may_have_run (request) && !request->idempotent))
    {
      galena_caller_end_request (world, handle, result);
      return;
    }
  galena_caller_restart_request (world, handle);
  galena_caller_transfer_request (world, handle, successor);
}

static void
abandon_predecessor (struct galena_world *world,
                     struct galena_flow_handle handle)
{
  galena_caller_for_each_request (world, handle, restart_on_successor_or_end,
                                  GALENA_UNKNOWN_OUTCOME);
  galena_caller_finish_close (world, handle);
}

void
galena_caller_reopen (struct galena_world *world,
                      struct galena_flow_handle handle)
{
  struct galena_caller_flow *flow = galena_caller_flow (world, handle);
  struct galena_message close;

  if (!galena_handle_is_none (flow->successor.row))
    {
      abandon_predecessor (world, handle);
      return;
    }
  galena_caller_abandon_move (world, handle);
  galena_caller_for_each_request (world, handle, restart_or_end,
                                  GALENA_UNKNOWN_OUTCOME);
  close = galena_caller_make_message (world, flow, GALENA_MESSAGE_CLOSE);
  galena_caller_close_at_agent (world, &close);
  galena_caller_unindex_flow (world, flow->id);
  galena_caller_generate_flow_id (world, &flow->id);
  flow->state = GALENA_CALLER_FLOW_OPENING;
  flow->tag = 0;
  flow->last_request = 0;
  flow->deadline = galena_clock_add_ms (world->now, flow->deadline_ms);
  flow->resend_at = world->now;
  flow->last_seen = world->now;
  galena_caller_index_flow (world, flow->id, handle);
}

static enum galena_result
copy_body (struct galena_caller_request *request,
           const struct galena_caller_request_options *options)
{
  uint32_t parts
      = (options->body_size + GALENA_PART_BYTES - 1) / GALENA_PART_BYTES;

  request->total = parts == 0 ? 1 : parts;
  request->body_size = options->body_size;
  if (options->body_size == 0)
    return GALENA_OK;
  request->body = malloc (options->body_size);
  if (request->body == NULL)
    return GALENA_ERR_MEMORY;
  memcpy (request->body, options->body, options->body_size);
  return GALENA_OK;
}

enum galena_result
galena_caller_request (struct galena_world *world,
                       const struct galena_caller_request_options *options,
                       struct galena_request_handle *handle)
{
  struct galena_caller_flow *flow = galena_caller_flow (world, options->flow);
  struct galena_caller_request *request;

  if (flow == NULL || flow->state == GALENA_CALLER_FLOW_CLOSING)
    return GALENA_ERR_STALE;
  if (options->body_size > UINT32_MAX / 2)
    return GALENA_ERR_TOO_LARGE;
  request = galena_table_insert (world->caller->requests, &handle->row);
  if (request == NULL)
    return GALENA_ERR_FULL;
  request->flow = options->flow;
  request->kind = options->kind;
  request->idempotent = options->idempotent;
  request->endless = options->endless;
  request->deadline_ms = options->deadline_ms;
  request->deadline = galena_clock_add_ms (world->now, options->deadline_ms);
  request->resend_at = world->now;
  if (copy_body (request, options) != GALENA_OK)
    {
      galena_table_remove (world->caller->requests, handle->row);
      return GALENA_ERR_MEMORY;
    }
  flow->open_requests++;
  return GALENA_OK;
}

enum galena_result
galena_caller_cancel (struct galena_world *world,
                      struct galena_request_handle handle)
{
  struct galena_caller_request *request
      = galena_caller_request_row (world, handle);

  if (request == NULL)
    return GALENA_ERR_STALE;
  request->cancelled = true;
  request->resend_at = world->now;
  return GALENA_OK;
}

enum galena_result
galena_caller_set_user (struct galena_world *world,
                        struct galena_request_handle handle, uint64_t user)
{
  struct galena_caller_request *request
      = galena_caller_request_row (world, handle);

  if (request == NULL)
    return GALENA_ERR_STALE;
  request->user = user;
  return GALENA_OK;
}

uint64_t
galena_caller_tag (const struct galena_world *world,
                   struct galena_flow_handle handle)
{
  const struct galena_caller_flow *flow = galena_caller_flow (world, handle);

  return flow == NULL ? 0 : flow->tag;
}

/* Excludes a pause of GAP_MS, in which this caller could not receive, from the
   time since each flow's owner was last seen.  */
static void
on_pause (struct galena_world *world, int64_t gap_ms)
{
  struct galena_caller_flow *flow;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((flow = galena_table_next (world->caller->flows, &cursor, &handle))
         != NULL)
    flow->last_seen = galena_clock_add_ms (flow->last_seen, gap_ms);
}

static const struct galena_system SYSTEMS[] = {
  { "receive", 0, galena_caller_run_receive },
  { "send", SEND_PERIOD_MS, galena_caller_run_send },
  { "close", CLOSE_RESEND_PERIOD_MS, galena_caller_run_resend_closes },
};

static enum galena_result
create_caller (struct galena_world *world)
{
  struct galena_table_options flows
      = { sizeof (struct galena_caller_flow), world->options.flows };
  struct galena_table_options requests
      = { sizeof (struct galena_caller_request), world->options.requests };
  struct galena_map_options by_id
      = { world->options.flows, world->options.seed };
  struct galena_map_options by_number
      = { world->options.requests, world->options.seed };
  struct galena_caller *caller = calloc (1, sizeof *caller);
  enum galena_result result;

  if (caller == NULL)
    return GALENA_ERR_MEMORY;
  world->caller = caller;
  result = galena_table_create (&flows, &caller->flows);
  if (result != GALENA_OK)
    return result;
  result = galena_table_create (&requests, &caller->requests);
  if (result != GALENA_OK)
    return result;
  result = galena_map_create (&by_id, &caller->flows_by_id);
  if (result != GALENA_OK)
    return result;
  result = galena_caller_create_pending_closes (world);
  if (result != GALENA_OK)
    return result;
  return galena_map_create (&by_number, &caller->requests_by_number);
}

static void
destroy_caller (struct galena_world *world)
{
  struct galena_caller *caller = world->caller;
  struct galena_caller_request *request;
  struct galena_handle handle;
  uint32_t cursor = 0;

  if (caller == NULL)
    return;
  while (caller->requests != NULL
         && (request = galena_table_next (caller->requests, &cursor, &handle))
                != NULL)
    {
      galena_stream_release (&request->answer);
      free (request->body);
    }
  galena_table_destroy (caller->flows);
  galena_table_destroy (caller->requests);
  galena_map_destroy (caller->flows_by_id);
  galena_table_destroy (caller->pending_closes);
  galena_map_destroy (caller->pending_closes_by_id);
  galena_map_destroy (caller->requests_by_number);
  free (caller);
}

static void
report_usage (const struct galena_world *world,
              struct galena_world_usage *usage)
{
  usage->flows = galena_table_count (world->caller->flows);
  usage->requests = galena_table_count (world->caller->requests);
  usage->pending_closes = galena_table_count (world->caller->pending_closes);
}

const struct galena_role_operations galena_caller_role = {
  .name = "caller",
  .create = create_caller,
  .destroy = destroy_caller,
  .on_pause = on_pause,
  .usage = report_usage,
  .systems = SYSTEMS,
  .system_count = sizeof SYSTEMS / sizeof SYSTEMS[0],
};
