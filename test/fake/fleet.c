/* The fake around real worlds.  */

#include <stdio.h>
#include <string.h>

#include <galenaford/random.h>

#include "fleet.h"

enum
{
  WHEEL_MS = 16384,
  TICK_MESSAGES = 4096,
  AUDIT_ROWS = 256,
  SERVICE_PORT = 700,
  JOB_WORD_BYTES = 16,
  BODY_MAX = 256 * 1024
};

static const uint32_t SERVICE_IP = 0x7f640000;
static const uint32_t NODE_IP = 0x7f010000;
static const uint32_t FABRIC_IP = 0x7f000001;

struct packet
{
  uint32_t from;
  uint32_t to;
  struct galena_message message;
  uint8_t *body;
};

/* One request at an upstream.  */
struct run
{
  uint32_t node;
  uint32_t life;
  struct galena_request_handle handle;
  uint32_t job;
  uint32_t answer_left;
  uint32_t answer_at;
  struct galena_clock end;
  bool holds_slot;
  bool endless;
  bool cancelled;
};

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
  fleet->wheel = g_new0 (GArray *, WHEEL_MS);
  for (int i = 0; i < WHEEL_MS; i++)
    fleet->wheel[i] = g_array_new (FALSE, TRUE, sizeof (struct packet));
  return fleet;
}

static struct fleet_job *
job_at (const struct fleet *fleet, uint32_t number)
{
  return &g_array_index (fleet->jobs, struct fleet_job, number);
}

void
fleet_kill (struct fleet *fleet, uint32_t index)
{
  struct fleet_node *node = &fleet->nodes[index];

  galena_world_destroy (node->world);
  galena_records_destroy (node->records);
  galena_audit_destroy (node->audit);
  galena_config_destroy (node->config);
  node->world = NULL;
  node->records = NULL;
  node->audit = NULL;
  node->config = NULL;
  node->upstream.running = 0;
}

static void
renew_config (struct fleet_node *node)
{
  galena_config_destroy (node->config);
  galena_records_snapshot (node->records, &node->config);
}

void
fleet_start (struct fleet *fleet, uint32_t index)
{
  struct fleet_node *node = &fleet->nodes[index];
  struct galena_audit_options audit = { AUDIT_ROWS };
  struct galena_records_options records = { FLEET_SERVICES_MAX, NULL };

  node->lives++;
  node->options.seed = galena_random_next (&fleet->random);
  node->options.incarnation = (uint32_t)node->options.seed;
  node->read_at.ms = -1;
  g_assert_cmpint (galena_world_create (&node->options, &node->world), ==,
                   GALENA_OK);
  galena_audit_create (&audit, &node->audit);
  records.audit = node->audit;
  galena_records_create (&records, &node->records);
  renew_config (node);
}

static void
free_packets (GArray *packets)
{
  for (guint i = 0; i < packets->len; i++)
    g_free (g_array_index (packets, struct packet, i).body);
  g_array_set_size (packets, 0);
}

void
fleet_destroy (struct fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->node_count; i++)
    fleet_kill (fleet, i);
  for (int i = 0; i < WHEEL_MS; i++)
    {
      free_packets (fleet->wheel[i]);
      g_array_free (fleet->wheel[i], TRUE);
    }
  for (uint32_t i = 0; i < fleet->service_count; i++)
    g_free (fleet->services[i].upstreams);
  for (uint32_t i = 0; i < fleet->load_count; i++)
    g_array_free (fleet->loads[i].latencies, TRUE);
  g_free (fleet->wheel);
  g_array_free (fleet->jobs, TRUE);
  g_array_free (fleet->runs, TRUE);
  g_array_free (fleet->thinking, TRUE);
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
  record->service.address.ip = SERVICE_IP + index;
  record->service.address.port = SERVICE_PORT;
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
  node->address.ip = NODE_IP + index;
  node->address.port = 7000;
  node->options.messages = TICK_MESSAGES;
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
  node->listed = true;
  fleet_start (fleet, index);
  return index;
}

uint32_t
fleet_add_caller (struct fleet *fleet)
{
  uint32_t index = add_node (fleet, FLEET_CALLER, "outside");
  struct fleet_node *node = &fleet->nodes[index];

  node->options.role = GALENA_ROLE_CALLER;
  node->options.flows = 65536;
  node->options.requests = 65536;
  node->options.fabric = (struct galena_endpoint){ FABRIC_IP, 7000 };
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
  fleet->services[service].service.generation++;
  fleet->published_at[service] = fleet->now;
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

static bool
is_up (const struct fleet *fleet, const struct fleet_node *node)
{
  return node->world != NULL
         && galena_clock_reached (fleet->now, node->frozen_until);
}

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

static void
take_application (struct fleet *fleet, uint32_t index,
                  const struct galena_message *message)
{
  switch (message->type)
    {
    case GALENA_MESSAGE_RUN:
      start_run (fleet, index, message);
      break;
    case GALENA_MESSAGE_RUN_CANCEL:
      cancel_run (fleet, index, message);
      break;
    case GALENA_MESSAGE_RUN_DATA:
      take_data (fleet, message);
      break;
    default:
      take_end (fleet, &fleet->nodes[index], message);
    }
}

/* Pushes answer bytes as far as the agent has room; true when all are out. */
static bool
push_answer (struct fleet_node *node, struct run *run)
{
  uint8_t bytes[GALENA_PART_BYTES];
  struct galena_message data = { .type = GALENA_MESSAGE_RUN_DATA,
                                 .link = GALENA_LINK_APPLICATION,
                                 .run = run->handle,
                                 .body = bytes };
  size_t room = galena_world_run_room (node->world, run->handle);

  while (run->answer_left > 0)
    {
      uint32_t size = MIN (run->answer_left, GALENA_PART_BYTES);

      if (room < size
          || galena_mailbox_room (galena_world_inbox (node->world)) < 2)
        return false;
      for (uint32_t i = 0; i < size; i++)
        bytes[i] = answer_byte (run->job, run->answer_at++);
      data.body_size = size;
      room -= size;
      run->answer_left -= size;
      galena_mailbox_push (galena_world_inbox (node->world), &data);
    }
  return true;
}

static void
end_run (struct fleet_node *node, const struct run *run)
{
  struct galena_message end = { .type = GALENA_MESSAGE_RUN_END,
                                .link = GALENA_LINK_APPLICATION,
                                .run = run->handle };

  if (run->cancelled)
    end.result = GALENA_UNKNOWN_OUTCOME;
  node->upstream.running -= run->holds_slot;
  galena_mailbox_push (galena_world_inbox (node->world), &end);
}

enum
{
  /* An endless answer brings a byte this often.  */
  FEED_MS = 200
};

/* System: runs at upstreams bring answers and ends.  */
static void
run_upstreams (struct fleet *fleet)
{
  for (guint i = 0; i < fleet->runs->len;)
    {
      struct run *run = &g_array_index (fleet->runs, struct run, i);
      struct fleet_node *node = &fleet->nodes[run->node];
      bool gone = node->world == NULL || node->lives != run->life;

      if (!gone
          && (node->upstream.silent || !is_up (fleet, node)
              || (!run->cancelled
                  && !galena_clock_reached (fleet->now, run->end))))
        {
          i++;
          continue;
        }
      if (!gone && run->endless && !run->cancelled)
        {
          run->answer_left = 1;
          push_answer (node, run);
          run->end = galena_clock_after (fleet->now, FEED_MS);
          i++;
          continue;
        }
      if (!gone && !run->cancelled && !push_answer (node, run))
        {
          i++;
          continue;
        }
      if (!gone)
        end_run (node, run);
      g_array_remove_index_fast (fleet->runs, i);
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

      if (!is_up (fleet, node))
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
            send_packet (fleet, i, message);
        }
    }
}

/* The systems of the fake, run in this order each millisecond.  */
static void (*const SYSTEMS[]) (struct fleet *)
    = { run_platform, run_loads,     run_thinking,
        run_deliver,  run_upstreams, run_worlds };

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

static void
add_jobs (const struct fleet *fleet, struct fleet_totals *totals)
{
  for (guint i = 0; i < fleet->jobs->len; i++)
    {
      const struct fleet_job *job = job_at (fleet, i);
      const struct fleet_load *load = &fleet->loads[job->load];

      totals->doubled += !load->idempotent && job->executed > 1;
      totals->misrouted += job->misrouted;
      totals->open += !job->ended;
      totals->false_refusals += job->ended
                                && galena_result_is_refusal (job->result)
                                && job->executed > 0;
    }
}

static void
add_nodes (const struct fleet *fleet, struct fleet_totals *totals)
{
  double sum = 0;
  double most = 0;
  uint32_t agents = 0;

  for (uint32_t i = 0; i < fleet->node_count; i++)
    {
      const struct fleet_node *node = &fleet->nodes[i];
      struct galena_world_usage usage;

      if (node->kind == FLEET_AGENT)
        {
          double share = (double)node->upstream.busy_ms / node->upstream.slots;
          sum += share;
          most = MAX (most, share);
          agents++;
        }
      if (node->world == NULL)
        continue;
      galena_world_usage (node->world, &usage);
      totals->rows += usage.flows + usage.requests + usage.pending_opens;
      if (node->kind == FLEET_CALLER)
        totals->broken += galena_world_counters (node->world)
                              ->values[GALENA_COUNT_REOPENED];
    }
  totals->imbalance = sum > 0 ? most * agents / sum : 1;
}

void
fleet_totals (const struct fleet *fleet, struct fleet_totals *totals)
{
  *totals = (struct fleet_totals){ 0 };
  for (uint32_t i = 0; i < fleet->load_count; i++)
    {
      totals->sent += fleet->loads[i].sent;
      totals->answered += fleet->loads[i].answered;
      totals->refused += fleet->loads[i].refused;
      totals->unknown += fleet->loads[i].unknown;
      totals->wrong += fleet->loads[i].wrong;
    }
  add_jobs (fleet, totals);
  add_nodes (fleet, totals);
}

static gint
compare (gconstpointer a, gconstpointer b)
{
  uint32_t first = *(const uint32_t *)a;
  uint32_t second = *(const uint32_t *)b;

  return (first > second) - (first < second);
}

uint32_t
fleet_latency (struct fleet_load *load, double share)
{
  if (load->latencies->len == 0)
    return 0;
  g_array_sort (load->latencies, compare);
  return g_array_index (load->latencies, uint32_t,
                        (guint)((load->latencies->len - 1) * share));
}
