/* The fake around real worlds.  */

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
  fleet->thinking = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  fleet->feeds = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  fleet->versions = g_array_new (FALSE, TRUE, sizeof (struct fleet_version));
  fleet->silences = g_array_new (FALSE, TRUE, sizeof (struct fleet_silence));
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
  g_array_free (fleet->jobs, TRUE);
  g_array_free (fleet->runs, TRUE);
  g_array_free (fleet->thinking, TRUE);
  g_array_free (fleet->feeds, TRUE);
  g_array_free (fleet->versions, TRUE);
  g_array_free (fleet->silences, TRUE);
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
  memcpy (record->service.kinds, kinds, count * sizeof *kinds);
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

<<<<<<< HEAD
/* System: nodes read what the platform has published.  */
static void
run_platform (struct fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->node_count; i++)
    {
      struct fleet_node *node = &fleet->nodes[i];
      bool changed = false;

      if (!is_up (fleet, node) || node->kind == FLEET_CALLER
          || fleet->platform_down || node->cut_from_platform)
        continue;
      for (uint32_t s = 0; s < fleet->service_count; s++)
        {
          int64_t visible
              = fleet->published_at[s].ms + fleet->options.platform_lag_ms;
          const struct galena_service_record *present
              = galena_records_find (node->records, s + 1);

          if (fleet->services[s].service.generation == 0
              || visible > fleet->now.ms)
            continue;
          if (present != NULL
              && present->service.generation
                     >= fleet->services[s].service.generation)
            continue;
          changed |= galena_records_take (node->records, &fleet->services[s],
                                          fleet->now)
                     == GALENA_OK;
        }
      if (changed)
        renew_config (node);
    }
}

static int
node_at (const struct fleet *fleet, struct galena_endpoint address)
{
  uint32_t index = address.ip - NODE_IP;

  return index < fleet->node_count ? (int)index : -1;
}

/* Draws an entry that the fabric knows; -1 when there is none.  */
static int
draw_entry (struct fleet *fleet)
{
  uint32_t count = 0;
  uint32_t drawn;

  for (uint32_t i = 0; i < fleet->node_count; i++)
    count += fleet->nodes[i].kind == FLEET_ENTRY && fleet->nodes[i].listed;
  drawn = galena_random_below (&fleet->random, count);
  for (uint32_t i = 0; i < fleet->node_count; i++)
    if (fleet->nodes[i].kind == FLEET_ENTRY && fleet->nodes[i].listed
        && drawn-- == 0)
      return (int)i;
  return -1;
}

static bool
happens (struct fleet *fleet, double share)
{
  return share > 0 && galena_random_unit (&fleet->random) < share;
}

static void
put_on_wheel (struct fleet *fleet, uint32_t from, uint32_t to,
              const struct galena_message *message)
{
  const struct fleet_network *network = &fleet->options.network;
  struct packet packet = { .from = from, .to = to, .message = *message };
  uint32_t delay_ms = network->delay_ms;

  if (network->jitter_ms > 0)
    delay_ms += galena_random_below (&fleet->random, network->jitter_ms + 1);
  if (happens (fleet, network->reorder))
    delay_ms += network->reorder_ms;
  if (delay_ms == 0)
    delay_ms = 1;
  packet.body = g_memdup2 (message->body, message->body_size);
  packet.message.peer = fleet->nodes[from].address;
  if (fleet->nodes[from].tells_no_wait)
    packet.message.wait_ms = 0;
  g_array_append_val (fleet->wheel[(fleet->now.ms + delay_ms) % WHEEL_MS],
                      packet);
}

static void
send_packet (struct fleet *fleet, uint32_t from,
             const struct galena_message *message)
{
  int to = message->peer.ip == FABRIC_IP ? draw_entry (fleet)
                                         : node_at (fleet, message->peer);

  if (to < 0 || fleet->nodes[from].group != fleet->nodes[to].group)
    return;
  if (happens (fleet, fleet->options.network.drop))
    return;
  put_on_wheel (fleet, from, (uint32_t)to, message);
  if (happens (fleet, fleet->options.network.duplicate))
    put_on_wheel (fleet, from, (uint32_t)to, message);
}

/* System: packets that arrive now go into inboxes.  */
static void
run_deliver (struct fleet *fleet)
{
  GArray *packets = fleet->wheel[fleet->now.ms % WHEEL_MS];

  for (guint i = 0; i < packets->len; i++)
    {
      struct packet *packet = &g_array_index (packets, struct packet, i);
      struct fleet_node *node = &fleet->nodes[packet->to];
      bool from_caller = fleet->nodes[packet->from].kind == FLEET_CALLER;

      if (!is_up (fleet, node)
          || node->group != fleet->nodes[packet->from].group)
        continue;
      packet->message.body = packet->body;
      packet->message.link = from_caller || node->kind == FLEET_CALLER
                                 ? GALENA_LINK_CALLER
                                 : GALENA_LINK_PEER;
      galena_mailbox_push (galena_world_inbox (node->world), &packet->message);
    }
  free_packets (packets);
}

/* The body of a job begins with its number.  */
static void
submit (struct fleet *fleet, uint32_t number)
{
  static uint8_t body[BODY_MAX];
  struct fleet_job *job = job_at (fleet, number);
  struct fleet_load *load = &fleet->loads[job->load];
  struct fleet_node *caller = &fleet->nodes[load->caller];
  struct galena_caller_request_options options
      = { .flow = job->flow,
          .kind = load->kind,
          .idempotent = load->idempotent,
          .endless = load->endless,
          .deadline_ms = load->deadline_ms,
          .body = body,
          .body_size = MAX (load->body_bytes, JOB_WORD_BYTES) };
  struct galena_request_handle handle;

  snprintf ((char *)body, JOB_WORD_BYTES, "%u", number);
  load->sent++;
  if (galena_caller_request (caller->world, &options, &handle) != GALENA_OK)
    {
      job->ended = true;
      job->result = GALENA_ERR_FULL;
      return;
    }
  galena_caller_set_user (caller->world, handle, number);
}

static void
start_job (struct fleet *fleet, uint32_t load_index,
           struct galena_flow_handle flow, uint32_t left_on_flow)
{
  struct fleet_job job = { .load = load_index,
                           .flow = flow,
                           .sent_at = fleet->now,
                           .left_on_flow = left_on_flow };

  g_array_append_val (fleet->jobs, job);
  submit (fleet, fleet->jobs->len - 1);
}

static void
open_flow (struct fleet *fleet, uint32_t load_index)
{
  struct fleet_load *load = &fleet->loads[load_index];
  struct galena_caller_flow_options options
      = { fleet->services[load->service].service.address, load->kind,
          load->deadline_ms };
  struct galena_flow_handle flow;

  if (galena_caller_open (fleet->nodes[load->caller].world, &options, &flow)
      == GALENA_OK)
    start_job (fleet, load_index, flow, load->flow_requests - 1);
}

/* System: loads open the flows that are due.  */
static void
run_loads (struct fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->load_count; i++)
    {
      struct fleet_load *load = &fleet->loads[i];

      if (!galena_clock_reached (fleet->now, load->from)
          || galena_clock_reached (fleet->now, load->until)
          || !is_up (fleet, &fleet->nodes[load->caller]))
        continue;
      load->owed += load->rate / load->flow_requests / 1000;
      if (load->owed > 0 && happens (fleet, load->owed))
        {
          load->owed -= 1;
          open_flow (fleet, i);
        }
      for (; load->owed >= 1; load->owed -= 1)
        open_flow (fleet, i);
    }
}

/* System: flows that have thought send their next request.  */
static void
run_thinking (struct fleet *fleet)
{
  for (guint i = 0; i < fleet->thinking->len;)
    {
      uint32_t number = g_array_index (fleet->thinking, uint32_t, i);
      struct fleet_job job = *job_at (fleet, number);

      if (!galena_clock_reached (fleet->now, job.sent_at))
        {
          i++;
          continue;
        }
      g_array_remove_index_fast (fleet->thinking, i);
      start_job (fleet, job.load, job.flow, job.left_on_flow - 1);
    }
}

static uint8_t
answer_byte (uint32_t job, uint64_t at)
{
  return (uint8_t)(job * 31 + at * 7 + (at >> 8));
}

static void
take_data (struct fleet *fleet, const struct galena_message *message)
{
  struct fleet_job *job = job_at (fleet, (uint32_t)message->user);

  for (uint32_t i = 0; i < message->body_size; i++)
    if (message->body[i]
        != answer_byte ((uint32_t)message->user, job->answer_seen++))
      job->wrong = true;
}

static void
take_end (struct fleet *fleet, struct fleet_node *caller,
          const struct galena_message *message)
{
  struct fleet_job *job = job_at (fleet, (uint32_t)message->user);
  struct fleet_load *load = &fleet->loads[job->load];
  uint32_t took = (uint32_t)galena_clock_between (job->sent_at, fleet->now);

  job->ended = true;
  job->result = message->result;
  job->sent_at = galena_clock_after (fleet->now, load->think_ms);
  if (message->result == GALENA_OK)
    {
      load->answered++;
      load->wrong += job->wrong || job->answer_seen != load->answer_bytes;
      g_array_append_val (load->latencies, took);
    }
  else if (galena_result_is_refusal (message->result))
    load->refused++;
  else
    load->unknown++;
  if (job->left_on_flow == 0)
    galena_caller_close (caller->world, job->flow);
  else
    {
      uint32_t number = (uint32_t)message->user;
      g_array_append_val (fleet->thinking, number);
    }
}

static void
start_run (struct fleet *fleet, uint32_t index,
           const struct galena_message *message)
{
  struct fleet_node *node = &fleet->nodes[index];
  struct fleet_upstream *upstream = &node->upstream;
  uint32_t size = 0;
  const uint8_t *body
      = galena_world_run_body (node->world, message->run, &size);
  uint32_t number = (uint32_t)g_ascii_strtoull ((const char *)body, NULL, 10);
  struct fleet_job *job = job_at (fleet, number);
  const struct fleet_load *load = &fleet->loads[job->load];
  double ms = load->work_ms / upstream->speed;
  struct run run = { .node = index,
                     .life = node->lives,
                     .handle = message->run,
                     .job = number,
                     .answer_left = load->answer_bytes,
                     .holds_slot = !load->endless,
                     .endless = load->endless };

  if (upstream->sheds && run.holds_slot
      && upstream->running >= upstream->slots)
    {
      struct galena_message end = { .type = GALENA_MESSAGE_RUN_END,
                                    .link = GALENA_LINK_APPLICATION,
                                    .run = message->run,
                                    .result = GALENA_REFUSED_BY_UPSTREAM };
      galena_mailbox_push (galena_world_inbox (node->world), &end);
      return;
    }
  if (!galena_clock_reached (fleet->now, upstream->warm_at))
    ms *= upstream->cold_factor;
  upstream->busy_ms += run.holds_slot ? (uint64_t)ms : 0;
  if (run.holds_slot && upstream->running >= upstream->slots)
    ms *= (double)(upstream->running + 1) / upstream->slots;
  run.end = galena_clock_after (fleet->now, (int64_t)ms + 1);
  job->executed++;
  job->misrouted += load->service != node->service;
  upstream->executed++;
  upstream->running += run.holds_slot;
  g_array_append_val (fleet->runs, run);
}

static void
cancel_run (struct fleet *fleet, uint32_t node,
            const struct galena_message *message)
{
  for (guint i = 0; i < fleet->runs->len; i++)
    {
      struct run *run = &g_array_index (fleet->runs, struct run, i);

      if (run->node == node
          && galena_handle_pack (run->handle.row)
                 == galena_handle_pack (message->run.row))
        run->cancelled = true;
    }
}

=======
>>>>>>> main
static void
take_application (struct fleet *fleet, uint32_t index,
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
      fleet_take_data (fleet, message);
      break;
    default:
      fleet_take_end (fleet, &fleet->nodes[index], message);
    }
}

/* System: worlds tick, and what they send goes out.  */
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

          if (message->link == GALENA_LINK_APPLICATION)
            take_application (fleet, i, message);
          else
            fleet_send_packet (fleet, i, message);
        }
    }
}

/* The systems of the fake, run in this order each millisecond.  */
static void (*const SYSTEMS[]) (struct fleet *)
    = { fleet_run_platform, fleet_run_loads,   fleet_run_thinking,
        fleet_run_feeds,    fleet_run_deliver, fleet_run_upstreams,
        run_worlds,         fleet_run_stops };

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
