/* The agent role: its tables, its systems, and its replies.  */

#include <stdlib.h>

#include <galenaford/tag.h>

#include "agent.h"
#include "stats.h"

enum
{
  EXPIRE_REQUESTS_PERIOD_MS = 20,
  EXPIRE_FLOWS_PERIOD_MS = 1000,
  SEND_LOAD_PERIOD_MS = 1000,
  EXPIRE_PEERS_PERIOD_MS = 1000,
  /* Most agents whose load reports are kept.  */
  LOAD_REPORTS_MAX = 256,
  RESEND_PERIOD_MS = 50,
  MOVE_PERIOD_MS = 100,
  RENEW_LEASES_PERIOD_MS = 100,
  EXPIRE_LEASES_PERIOD_MS = 1000
};

const struct galena_upstream *
galena_agent_upstream (const struct galena_world *world)
{
  return galena_config_upstream_numbered (world->config,
                                          world->options.upstream);
}

const struct galena_service *
galena_agent_service (const struct galena_world *world)
{
  const struct galena_upstream *upstream = galena_agent_upstream (world);

  if (upstream == NULL)
    return NULL;
  return galena_config_service (world->config, upstream->service);
}

uint32_t
galena_agent_service_number (const struct galena_world *world, uint16_t kind)
{
  const struct galena_service *service = galena_agent_service (world);

  if (service == NULL || galena_service_kind (service, kind) == NULL)
    return 0;
  return service->number;
}

struct galena_message
galena_agent_reply (const struct galena_world *world,
                    const struct galena_message *message,
                    enum galena_message_type type)
{
  struct galena_message reply = { 0 };

  reply.type = type;
  reply.side = GALENA_SIDE_PEER;
  reply.peer = message->entry.ip != 0 ? message->entry : message->peer;
  reply.caller = message->caller;
  reply.service = message->service;
  reply.service_number = message->service_number;
  reply.flow = message->flow;
  reply.request = message->request;
  reply.kind = message->kind;
  reply.tag = galena_tag_make (world->options.upstream,
                               world->options.incarnation, 0);
  galena_agent_fill_load (world, &reply);
  return reply;
}

static galena_message_handler *const
    HANDLERS[GALENA_SIDE_COUNT][GALENA_MESSAGE_TYPE_END]
    = {
        [GALENA_SIDE_PEER] = {
          [GALENA_MESSAGE_OPEN] = galena_agent_on_open,
          [GALENA_MESSAGE_REQUEST] = galena_agent_on_request,
          [GALENA_MESSAGE_ACK_ANSWER] = galena_agent_on_ack_answer,
          [GALENA_MESSAGE_CANCEL] = galena_agent_on_cancel,
          [GALENA_MESSAGE_CLOSE] = galena_agent_on_close,
          [GALENA_MESSAGE_LEASE] = galena_agent_on_lease,
          [GALENA_MESSAGE_LOAD] = galena_agent_on_load,
        },
        [GALENA_SIDE_APPLICATION] = {
          [GALENA_MESSAGE_RUN_DATA] = galena_agent_on_run_data,
          [GALENA_MESSAGE_RUN_END] = galena_agent_on_run_end,
        },
      };

static void
run_receive (struct galena_world *world)
{
  galena_world_dispatch (world, HANDLERS);
}

/* Requests have deadlines and timers, and a round of move requests takes
   several calls of its system.  */
static bool
is_busy (const struct galena_world *world)
{
  return galena_table_count (world->agent->requests) > 0
         || world->agent->move_cursor > 0;
}

static const struct galena_system SYSTEMS[] = {
  { "account", 0, galena_agent_run_account },
  { "receive", 0, run_receive },
  { "expire-requests", EXPIRE_REQUESTS_PERIOD_MS,
    galena_agent_run_expire_requests },
  { "expire-flows", EXPIRE_FLOWS_PERIOD_MS, galena_agent_run_expire_flows },
  { "renew-leases", RENEW_LEASES_PERIOD_MS, galena_agent_run_renew_leases },
  { "expire-leases", EXPIRE_LEASES_PERIOD_MS, galena_agent_run_expire_leases },
  { "moves", MOVE_PERIOD_MS, galena_agent_run_moves },
  { "admit", 0, galena_agent_run_admit },
  { "resend", RESEND_PERIOD_MS, galena_agent_run_resend },
  { "answer", 0, galena_agent_run_answer },
  { "tell-load", SEND_LOAD_PERIOD_MS, galena_agent_run_send_load },
  { "expire-peers", EXPIRE_PEERS_PERIOD_MS, galena_agent_run_expire_peers },
  { "stats", GALENA_STATS_PERIOD_MS, galena_stats_run },
};

static enum galena_result
create_flow_tables (struct galena_world *world)
{
  struct galena_agent *agent = world->agent;
  struct galena_table_options flows
      = { sizeof (struct galena_flow), world->options.flows };
  struct galena_map_options by_id
      = { world->options.flows, world->options.seed };
  enum galena_result result = galena_table_create (&flows, &agent->flows);

  if (result != GALENA_OK)
    return result;
  result = galena_map_create (&by_id, &agent->flows_by_id);
  if (result != GALENA_OK)
    return result;
  return galena_agent_create_leases (world);
}

static enum galena_result
create_request_tables (struct galena_world *world)
{
  struct galena_agent *agent = world->agent;
  struct galena_table_options requests
      = { sizeof (struct galena_request), world->options.requests };
  struct galena_map_options by_number
      = { world->options.requests, world->options.seed };
  enum galena_result result
      = galena_table_create (&requests, &agent->requests);

  if (result != GALENA_OK)
    return result;
  agent->send_list
      = calloc (world->options.requests, sizeof *agent->send_list);
  if (agent->send_list == NULL)
    return GALENA_ERR_MEMORY;
  return galena_map_create (&by_number, &agent->requests_by_number);
}

static enum galena_result
create_load_report_table (struct galena_world *world)
{
  struct galena_agent *agent = world->agent;
  struct galena_table_options reports
      = { sizeof (struct galena_load_report), LOAD_REPORTS_MAX };
  struct galena_map_options by_upstream
      = { LOAD_REPORTS_MAX, world->options.seed };
  enum galena_result result
      = galena_table_create (&reports, &agent->load_reports);

  if (result != GALENA_OK)
    return result;
  return galena_map_create (&by_upstream, &agent->load_reports_by_upstream);
}

static enum galena_result
create_agent (struct galena_world *world)
{
  enum galena_result result;

  world->agent = calloc (1, sizeof *world->agent);
  if (world->agent == NULL)
    return GALENA_ERR_MEMORY;
  world->agent->admission = galena_admission_policy (world->options.admission);
  if (world->agent->admission == NULL)
    return GALENA_ERR_NOT_FOUND;
  result = create_flow_tables (world);
  if (result != GALENA_OK)
    return result;
  result = create_load_report_table (world);
  if (result != GALENA_OK)
    return result;
  return create_request_tables (world);
}

static void
release_requests (struct galena_agent *agent)
{
  struct galena_request *request;
  struct galena_handle handle;
  uint32_t cursor = 0;

  if (agent->requests == NULL)
    return;
  while ((request = galena_table_next (agent->requests, &cursor, &handle))
         != NULL)
    {
      galena_stream_release (&request->received);
      galena_stream_release (&request->answer);
      free (request->body);
    }
}

static void
destroy_agent (struct galena_world *world)
{
  struct galena_agent *agent = world->agent;

  if (agent == NULL)
    return;
  release_requests (agent);
  galena_agent_destroy_leases (agent);
  galena_table_destroy (agent->load_reports);
  galena_map_destroy (agent->load_reports_by_upstream);
  galena_table_destroy (agent->flows);
  galena_table_destroy (agent->requests);
  galena_map_destroy (agent->flows_by_id);
  galena_map_destroy (agent->requests_by_number);
  free (agent->send_list);
  free (agent);
}

static void
report_usage (const struct galena_world *world,
              struct galena_world_usage *usage)
{
  const struct galena_agent *agent = world->agent;

  usage->flows = galena_table_count (agent->flows);
  usage->requests = galena_table_count (agent->requests);
  usage->running = agent->running;
  for (uint32_t i = 0; i < GALENA_KINDS_MAX; i++)
    usage->queued += agent->queues[i].queued;
  usage->body_bytes = agent->body_bytes;
}

static void
report_kind (const struct galena_world *world, struct galena_kind_stats *row)
{
  const struct galena_kind_queue *queue;

  if (row->kind >= GALENA_KINDS_MAX)
    return;
  queue = &world->agent->queues[row->kind];
  row->queued = queue->queued;
  row->running = queue->running;
}

const uint8_t *
galena_world_run_body (const struct galena_world *world,
                       struct galena_request_handle run, uint32_t *size)
{
  static const uint8_t EMPTY = 0;
  const struct galena_request *request = galena_agent_request (world, run);

  if (request == NULL)
    return NULL;
  *size = request->body_size;
  return request->body == NULL ? &EMPTY : request->body;
}

size_t
galena_world_run_room (const struct galena_world *world,
                       struct galena_request_handle run)
{
  const struct galena_request *request = galena_agent_request (world, run);

  if (request == NULL)
    return SIZE_MAX;
  return galena_stream_room (&request->answer);
}

const struct galena_role_operations galena_agent_role = {
  .name = "agent",
  .create = create_agent,
  .destroy = destroy_agent,
  .on_pause = galena_agent_on_pause,
  .usage = report_usage,
  .report_kind = report_kind,
  .needs_frequent_ticks = is_busy,
  .systems = SYSTEMS,
  .system_count = sizeof SYSTEMS / sizeof SYSTEMS[0],
};
