/* Transmits packets between nodes, through the fabric or directly, with delay,
   loss, duplication and partitions.  */

#include "fleet_private.h"

void
fleet_free_packets (GArray *packets)
{
  for (guint i = 0; i < packets->len; i++)
    g_free (g_array_index (packets, struct packet, i).body);
  g_array_set_size (packets, 0);
}

static int
node_at (const struct fleet *fleet, struct galena_endpoint address)
{
  uint32_t index = address.ip - FLEET_NODE_IP;

  return index < fleet->node_count ? (int)index : -1;
}

/* Returns whether the fabric sends to NODE: an entry that serves, or that
   stopped no longer than the lag of the fabric ago.  */
static bool
fabric_sends_to (const struct fleet *fleet, const struct fleet_node *node)
{
  int64_t since_ms = galena_clock_elapsed_ms (node->stopped_at, fleet->now);

  return node->kind == FLEET_ENTRY && node->start_count > 0
         && since_ms <= (int64_t)fleet->options.fabric_lag_ms;
}

/* Returns the index of a random entry to which the fabric sends, or -1.  */
static int
pick_entry (struct fleet *fleet)
{
  uint32_t count = 0;
  uint32_t drawn;

  for (uint32_t i = 0; i < fleet->node_count; i++)
    count += fabric_sends_to (fleet, &fleet->nodes[i]);
  drawn = galena_random_below (&fleet->random, count);
  for (uint32_t i = 0; i < fleet->node_count; i++)
    if (fabric_sends_to (fleet, &fleet->nodes[i]) && drawn-- == 0)
      return (int)i;
  return -1;
}

bool
fleet_random_bool (struct fleet *fleet, double share)
{
  return share > 0 && galena_random_unit (&fleet->random) < share;
}

/* Adds a copy of MESSAGE to the timing wheel at its arrival time.  */
static void
schedule_packet (struct fleet *fleet, uint32_t from, uint16_t source,
                 uint32_t to, const struct galena_message *message)
{
  const struct fleet_network *network = &fleet->options.network;
  struct packet packet = { .from = from, .to = to, .message = *message };
  uint32_t delay_ms = network->delay_ms;

  if (network->jitter_ms > 0)
    delay_ms += galena_random_below (&fleet->random, network->jitter_ms + 1);
  if (fleet_random_bool (fleet, network->reorder))
    delay_ms += network->reorder_ms;
  if (delay_ms == 0)
    delay_ms = 1;
  packet.body = g_memdup2 (message->body, message->body_size);
  packet.message.peer = fleet->nodes[from].address;
  packet.message.peer.port = source;
  packet.message.source_port_index = 0;
  if (fleet->nodes[from].reports_no_wait)
    packet.message.wait_ms = 0;
  g_array_append_val (
      fleet->wheel[(fleet->now.ms + delay_ms) % FLEET_WHEEL_MS], packet);
}

/* Returns a pointer to the highest source port from which FROM has sent to
   TO.  */
static uint16_t *
port_between (struct fleet *fleet, uint32_t from, uint32_t to)
{
  return &fleet->ports[from * (FLEET_NODES_MAX + 1) + to];
}

void
fleet_block_path (struct fleet *fleet, uint32_t from, uint32_t to)
{
  struct fleet_blocked_path path = { { from, to }, { 0, UINT16_MAX } };

  path.ports[0] = *port_between (fleet, from, to);
  if (to != FLEET_ANY_ENTRY)
    path.ports[1] = *port_between (fleet, to, from);
  g_array_append_val (fleet->blocked_paths, path);
}

/* Returns whether NODE is the node WANTED of a blocked path.  */
static bool
matches_node (const struct fleet *fleet, uint32_t wanted, uint32_t node)
{
  if (wanted == FLEET_ANY_ENTRY)
    return fleet->nodes[node].kind == FLEET_ENTRY;
  return wanted == node;
}

/* Returns whether the path from port P of node A to port Q of node B is
   blocked.  */
static bool
is_blocked (const struct fleet *fleet, uint32_t a, uint16_t p, uint32_t b,
            uint16_t q)
{
  for (guint i = 0; i < fleet->blocked_paths->len; i++)
    {
      const struct fleet_blocked_path *path = &g_array_index (
          fleet->blocked_paths, struct fleet_blocked_path, i);

      if (matches_node (fleet, path->nodes[0], a)
          && matches_node (fleet, path->nodes[1], b) && p <= path->ports[0]
          && q <= path->ports[1])
        return true;
    }
  return false;
}

static bool
can_pass (struct fleet *fleet, uint32_t from, uint16_t source, uint32_t to,
          uint16_t target)
{
  return fleet->nodes[from].group == fleet->nodes[to].group
         && !is_blocked (fleet, from, source, to, target)
         && !is_blocked (fleet, to, target, from, source);
}

void
fleet_send_packet (struct fleet *fleet, uint32_t from,
                   const struct galena_message *message)
{
  uint16_t source = (uint16_t)(FLEET_NODE_PORT + message->source_port_index);
  bool by_fabric = message->peer.ip == FLEET_FABRIC_IP;
  int to = by_fabric ? pick_entry (fleet) : node_at (fleet, message->peer);
  uint16_t *used;

  if (to < 0)
    return;
  used
      = port_between (fleet, from, by_fabric ? FLEET_ANY_ENTRY : (uint32_t)to);
  *used = MAX (*used, source);
  if (!can_pass (fleet, from, source, (uint32_t)to, message->peer.port))
    return;
  if (fleet_random_bool (fleet, fleet->options.network.drop))
    return;
  schedule_packet (fleet, from, source, (uint32_t)to, message);
  if (fleet_random_bool (fleet, fleet->options.network.duplicate))
    schedule_packet (fleet, from, source, (uint32_t)to, message);
}

void
fleet_run_deliver (struct fleet *fleet)
{
  GArray *packets = fleet->wheel[fleet->now.ms % FLEET_WHEEL_MS];

  for (guint i = 0; i < packets->len; i++)
    {
      struct packet *packet = &g_array_index (packets, struct packet, i);
      struct fleet_node *node = &fleet->nodes[packet->to];
      bool from_caller = fleet->nodes[packet->from].kind == FLEET_CALLER;

      if (node->world == NULL
          || node->group != fleet->nodes[packet->from].group)
        continue;
      packet->message.body = packet->body;
      packet->message.side = from_caller || node->kind == FLEET_CALLER
                                 ? GALENA_SIDE_CALLER
                                 : GALENA_SIDE_PEER;
      galena_mailbox_push (galena_world_inbox (node->world), &packet->message);
    }
  fleet_free_packets (packets);
}
