/* The simulated fleet: its tables, and the loop that runs its systems.  */

#include <stdio.h>

#include "fleet_private.h"

struct fleet *
fleet_create (const struct fleet_options *options)
{
  struct fleet *fleet = g_new0 (struct fleet, 1);

  fleet->options = *options;
  fleet->now.ms = 1;
  fleet->random.seed = options->seed;
  fleet->jobs = g_array_new (FALSE, TRUE, sizeof (struct fleet_job));
  fleet->runs = g_array_new (FALSE, TRUE, sizeof (struct run));
  fleet->waiting_jobs = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  fleet->endless_jobs = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  fleet->versions = g_array_new (FALSE, TRUE, sizeof (struct fleet_version));
  fleet->ports = g_new0 (uint16_t, FLEET_NODES_MAX * (FLEET_NODES_MAX + 1));
  fleet->blocked_paths
      = g_array_new (FALSE, TRUE, sizeof (struct fleet_blocked_path));
  fleet->wheel = g_new0 (GArray *, FLEET_WHEEL_MS);
  for (int i = 0; i < FLEET_WHEEL_MS; i++)
    fleet->wheel[i] = g_array_new (FALSE, TRUE, sizeof (struct packet));
  return fleet;
}

struct fleet_job *
fleet_job_at (const struct fleet *fleet, uint32_t number)
{
  return &g_array_index (fleet->jobs, struct fleet_job, number);
}

void
fleet_destroy (struct fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->node_count; i++)
    fleet_kill (fleet, i);
  for (int i = 0; i < FLEET_WHEEL_MS; i++)
    {
      fleet_free_packets (fleet->wheel[i]);
      g_array_free (fleet->wheel[i], TRUE);
    }
  for (uint32_t i = 0; i < fleet->service_count; i++)
    g_free (fleet->services[i].upstreams);
  for (guint i = 0; i < fleet->versions->len; i++)
    g_free (g_array_index (fleet->versions, struct fleet_version, i)
                .record.upstreams);
  for (uint32_t i = 0; i < fleet->load_count; i++)
    g_array_free (fleet->loads[i].latencies, TRUE);
  g_free (fleet->wheel);
  g_free (fleet->ports);
  g_array_free (fleet->jobs, TRUE);
  g_array_free (fleet->runs, TRUE);
  g_array_free (fleet->waiting_jobs, TRUE);
  g_array_free (fleet->endless_jobs, TRUE);
  g_array_free (fleet->versions, TRUE);
  if (fleet->sync_fleet != NULL)
    sync_fleet_destroy (fleet->sync_fleet);
  g_array_free (fleet->blocked_paths, TRUE);
  g_free (fleet);
}

uint32_t
fleet_add_service (struct fleet *fleet, const char *name,
                   const struct galena_kind *kinds, uint32_t count)
{
  uint32_t index = fleet->service_count++;
  struct galena_service_record *record = &fleet->services[index];

  g_strlcpy (record->service.name, name, GALENA_NAME_BYTES);
  record->service.number = index + 1;
  record->service.schema = 2;
  record->service.address.ip = FLEET_SERVICE_IP + index;
  record->service.address.port = FLEET_SERVICE_PORT;
  record->service.kind_count = count;
  for (uint32_t i = 0; i < count; i++)
    record->service.kinds[i] = kinds[i];
  record->upstreams = g_new0 (struct galena_upstream, FLEET_NODES_MAX);
  return index;
}

static uint32_t
add_node (struct fleet *fleet, enum fleet_node_kind kind, const char *zone)
{
  static const char *const NAMES[] = { "entry", "agent", "caller" };
  uint32_t index = fleet->node_count++;
  struct fleet_node *node = &fleet->nodes[index];
  uint32_t number = 1;

  for (uint32_t i = 0; i < index; i++)
    number += fleet->nodes[i].kind == kind;
  node->kind = kind;
  snprintf (node->name, sizeof node->name, "%s-%u", NAMES[kind], number);
  g_strlcpy (node->zone, zone, sizeof node->zone);
  node->address.ip = FLEET_NODE_IP + index;
  node->address.port = FLEET_NODE_PORT;
  node->options.messages = FLEET_TICK_MESSAGES;
  node->leaving_at.ms = INT64_MAX;
  node->options.choice = fleet->options.choice;
  node->options.admission = fleet->options.admission;
  return index;
}

uint32_t
fleet_add_entry (struct fleet *fleet, const char *zone)
{
  uint32_t index = add_node (fleet, FLEET_ENTRY, zone);
  struct fleet_node *node = &fleet->nodes[index];

  node->options.role = GALENA_ROLE_ENTRY;
  node->options.flows = 4096;
  fleet_start (fleet, index);
  return index;
}

uint32_t
fleet_add_caller (struct fleet *fleet)
{
  uint32_t index = add_node (fleet, FLEET_CALLER, "outside");
  struct fleet_node *node = &fleet->nodes[index];

  node->options.role = GALENA_ROLE_CALLER;
  node->options.flows = 16384;
  node->options.requests = 16384;
  node->options.fabric
      = (struct galena_endpoint){ FLEET_FABRIC_IP, FLEET_NODE_PORT };
  fleet_start (fleet, index);
  return index;
}

uint32_t
fleet_add_agent (struct fleet *fleet, const char *zone, uint32_t service,
                 const struct fleet_upstream *upstream, uint32_t connections)
{
  uint32_t index = add_node (fleet, FLEET_AGENT, zone);
  struct fleet_node *node = &fleet->nodes[index];
  struct galena_service_record *record = &fleet->services[service];
  struct galena_upstream *row
      = &record->upstreams[record->service.upstream_count++];

  node->options.role = GALENA_ROLE_AGENT;
  node->options.flows = connections + 16;
  node->options.requests = 8192;
  node->options.upstream = index + 1;
  node->service = service;
  node->upstream = *upstream;
  row->number = index + 1;
  g_strlcpy (row->host, node->name, sizeof row->host);
  g_strlcpy (row->zone, zone, sizeof row->zone);
  row->agent = node->address;
  row->slots = upstream->slots;
  row->connections = connections;
  row->weight = 1;
  fleet_start (fleet, index);
  return index;
}

struct galena_upstream *
fleet_upstream_row (struct fleet *fleet, uint32_t node)
{
  struct galena_service_record *record
      = &fleet->services[fleet->nodes[node].service];

  for (uint32_t i = 0; i < record->service.upstream_count; i++)
    if (record->upstreams[i].number == node + 1)
      return &record->upstreams[i];
  return NULL;
}

void
fleet_set_address (struct fleet *fleet, uint32_t service, uint32_t number)
{
  fleet->services[service].service.address.ip = FLEET_SERVICE_IP + number - 1;
}

void
fleet_publish (struct fleet *fleet, uint32_t service)
{
  struct galena_service_record *record = &fleet->services[service];
  struct fleet_version version = { service, fleet->now, *record };

  record->service.generation++;
  version.record.service.generation = record->service.generation;
  version.record.upstreams
      = g_memdup2 (record->upstreams,
                   record->service.upstream_count * sizeof *record->upstreams);
  g_array_append_val (fleet->versions, version);
}

struct fleet_load *
fleet_add_load (struct fleet *fleet, const struct fleet_load *load)
{
  struct fleet_load *row = &fleet->loads[fleet->load_count++];

  *row = *load;
  row->latencies = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  if (row->flow_requests == 0)
    row->flow_requests = 1;
  return row;
}

int
fleet_find (const struct fleet *fleet, const char *name)
{
  for (uint32_t i = 0; i < fleet->node_count; i++)
    if (strcmp (fleet->nodes[i].name, name) == 0)
      return (int)i;
  return -1;
}

bool
fleet_node_is_up (const struct fleet *fleet, const struct fleet_node *node)
{
  return node->world != NULL
         && galena_clock_reached (fleet->now, node->frozen_until);
}

/* Handles a message from node INDEX's world to its upstream or caller.  */
static void
on_application_message (struct fleet *fleet, uint32_t index,
                        const struct galena_message *message)
{
  switch (message->type)
    {
    case GALENA_MESSAGE_RUN:
      fleet_start_run (fleet, index, message);
      break;
    case GALENA_MESSAGE_RUN_CANCEL:
      fleet_cancel_run (fleet, index, message);
      break;
    case GALENA_MESSAGE_RUN_DATA:
      fleet_on_data (fleet, message);
      break;
    default:
      fleet_on_end (fleet, &fleet->nodes[index], message);
    }
}

/* System: ticks the worlds that have input or are due, and sends their
   output.  */
static void
run_worlds (struct fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->node_count; i++)
    {
      struct fleet_node *node = &fleet->nodes[i];
      const struct galena_mailbox *outbox;

      if (!fleet_node_is_up (fleet, node))
        continue;
      if (galena_mailbox_count (galena_world_inbox (node->world)) == 0
          && !galena_clock_reached (fleet->now,
                                    galena_world_due (node->world)))
        continue;
      galena_world_tick (node->world, fleet->now, node->config);
      outbox = galena_world_outbox (node->world);
      for (uint32_t m = 0; m < galena_mailbox_count (outbox); m++)
        {
          const struct galena_message *message
              = galena_mailbox_get (outbox, m);

          if (message->side == GALENA_SIDE_APPLICATION)
            on_application_message (fleet, i, message);
          else
            fleet_send_packet (fleet, i, message);
        }
    }
}

/* The systems, run in this order each virtual millisecond.  */
static void (*const SYSTEMS[]) (struct fleet *) = { fleet_run_platform,
                                                    fleet_run_loads,
                                                    fleet_run_waiting_jobs,
                                                    fleet_run_endless_jobs,
                                                    fleet_run_deliver,
                                                    fleet_run_upstreams,
                                                    run_worlds,
                                                    fleet_run_stops,
                                                    fleet_run_watch };

void
fleet_run (struct fleet *fleet, int64_t until_ms)
{
  while (fleet->now.ms < until_ms)
    {
      for (size_t i = 0; i < G_N_ELEMENTS (SYSTEMS); i++)
        SYSTEMS[i](fleet);
      fleet->now.ms++;
    }
}
