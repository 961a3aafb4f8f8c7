/* Event loop of the packet thread: wait, receive, tick the plane, send.  */

#include <poll.h>
#include <stdlib.h>
#include <string.h>

#include <urcu.h>

#include <galenaford/datagrams.h>
#include <galenaford/log.h>
#include <galenaford/monotonic.h>
#include <galenaford/peer_wire.h>
#include <galenaford/platform/contracts.h>
#include <galenaford/platform/packet_codec.h>

#include "packet_frontend.h"

enum
{
  /* Most messages in a tick, in each direction.  At most one batch from each
     of the two sockets is received.  Up to six times as many are sent, because
     a packet may go to several agents and there are announcements.  */
  TICK_MESSAGES = 12 * GALENA_BATCH_MAX,
  PUBLISH_PERIOD_MS = 500,
  MS_PER_S = 1000,
  KBPS_PER_MBPS = 1000
};

/* Indexes of the loop's sockets.  */
enum loop_socket
{
  /* Receives from callers in an entry and from the upstream in an agent; sends
     to both.  */
  SOCKET_PACKETS,
  SOCKET_PEERS,
  SOCKET_COUNT
};

struct packet_loop
{
  struct packet_frontend *frontend;
  const struct galena_settings *settings;
  struct galena_plane *plane;
  struct galena_datagrams *sockets[SOCKET_COUNT];
  /* Link of the packets that SOCKET_PACKETS receives.  */
  enum galena_side packet_link;
  struct galena_clock publish_due;
  /* Revision of the live settings that were last passed to the plane.  */
  uint64_t settings_revision;
  /* Value of the plane's counter of pauses when it was last checked.  */
  uint64_t pauses;
};

static enum galena_result
create_sockets (struct packet_loop *loop)
{
  const struct galena_settings *settings = loop->settings;
  struct galena_datagrams_options packets
      = { settings->role == GALENA_ROLE_ENTRY ? settings->packets_address
                                              : settings->packets_outbound,
          false };
  struct galena_datagrams_options peers = { settings->peers_address, false };
  enum galena_result result
      = galena_datagrams_create (&packets, &loop->sockets[SOCKET_PACKETS]);

  if (result != GALENA_OK)
    return result;
  return galena_datagrams_create (&peers, &loop->sockets[SOCKET_PEERS]);
}

/* Returns the policy of choice that SETTINGS name, or NULL.  */
static const char *
choice_of (const struct galena_settings *settings)
{
  return settings->packets_choice_set ? settings->packets_choice : NULL;
}

static enum galena_result
create_plane (struct packet_loop *loop)
{
  const struct galena_settings *settings = loop->settings;
  struct galena_plane_options options = {
    .role = settings->role,
    .seed = loop->frontend->process->seed,
    .self = settings->peers_address,
    .flows = settings->packets_flows,
    .messages = TICK_MESSAGES,
    .link_kbps = settings->packets_link_mbps * KBPS_PER_MBPS,
    /* In spite of its name, the setting is an idle timeout.  */
    .flow_idle_ms = settings->packets_flow_max_s * MS_PER_S,
    .choice = choice_of (settings),
    .zone = galena_service_key_of (settings->zone),
    .first_start = settings->packets_first_start,
    .load_control
    = settings->packets_load_control
      || galena_platform_health_may_mislead (settings->platform_contracts),
    .warm_up_overrun = settings->warm_up_overrun,
    .warm_up_slack = settings->warm_up_slack,
    .started_unix_ms = loop->frontend->process->started_unix_ms,
  };

  if (settings->role == GALENA_ROLE_AGENT)
    {
      options.service = galena_service_key_of (settings->packets_service);
      options.upstream_port = settings->packets_upstream.port;
    }
  return galena_plane_create (&options, &loop->plane);
}

static void
count_malformed (struct packet_loop *loop)
{
  galena_plane_count_dropped (loop->plane, GALENA_PLANE_MALFORMED, 1);
}

/* Decodes one packet of a caller or the upstream, and clears its flag
   GALENA_PACKET_RETURNED in the socket's buffer; false when it is
   malformed.  */
static bool
decode_packet (struct packet_loop *loop, const uint8_t *bytes, size_t size,
               struct galena_input *input)
{
  input->side = loop->packet_link;
  if (galena_platform_decode_packet (bytes, size, &input->packet) != GALENA_OK)
    return false;
  if ((input->packet.flags & GALENA_PACKET_RETURNED) != 0)
    galena_platform_clear_bounced ((uint8_t *)bytes);
  return true;
}

/* Decodes one message of a peer and the packet in it, if there is one; false
   when either is malformed.  */
static bool
decode_message (const uint8_t *bytes, size_t size, struct galena_input *input)
{
  struct galena_peer_message *message = &input->message;

  input->side = GALENA_SIDE_PEER;
  if (galena_peer_decode (bytes, size, message) != GALENA_OK)
    return false;
  return message->bytes == NULL || !galena_peer_carries_packet (message->type)
         || galena_platform_decode_packet (message->bytes, message->size,
                                           &message->packet)
                == GALENA_OK;
}

static void
receive (struct packet_loop *loop, enum loop_socket index)
{
  struct galena_datagrams *socket = loop->sockets[index];
  uint32_t count = galena_datagrams_receive (socket);

  for (uint32_t i = 0; i < count; i++)
    {
      struct galena_input *input = galena_plane_next_input (loop->plane);
      const uint8_t *bytes;
      size_t size;
      bool decoded;

      if (input == NULL)
        return;
      bytes = galena_datagrams_get (socket, i, &size, &input->peer);
      decoded = index == SOCKET_PEERS
                    ? decode_message (bytes, size, input)
                    : decode_packet (loop, bytes, size, input);
      if (decoded)
        galena_plane_push (loop->plane);
      else
        count_malformed (loop);
    }
}

static void
send_bytes (struct packet_loop *loop, struct galena_endpoint destination,
            const uint8_t *bytes, uint32_t size)
{
  struct galena_datagrams *socket = loop->sockets[SOCKET_PACKETS];

  memcpy (galena_datagrams_next_buffer (socket), bytes, size);
  galena_datagrams_add (socket, size, destination);
}

/* Callers receive at their own IP address and at the port of the entries'
   packet address.  */
static struct galena_endpoint
caller_address (const struct packet_loop *loop, struct galena_endpoint caller)
{
  return (struct galena_endpoint){ caller.ip,
                                   loop->settings->packets_address.port };
}

static void
send_packet (struct packet_loop *loop, const struct galena_output *output)
{
  struct galena_endpoint destination
      = output->side == GALENA_SIDE_CALLER
            ? caller_address (loop, output->peer)
            : loop->settings->packets_upstream;

  send_bytes (loop, destination, output->bytes, output->size);
}

static void
send_reset (struct packet_loop *loop, const struct galena_output *output)
{
  uint8_t bytes[GALENA_PLATFORM_HEADER_BYTES];

  galena_platform_encode_reset (output->flow, output->sequence, bytes);
  send_bytes (loop, caller_address (loop, output->peer), bytes, sizeof bytes);
}

static void
send_message (struct packet_loop *loop, const struct galena_output *output)
{
  struct galena_datagrams *socket = loop->sockets[SOCKET_PEERS];
  struct galena_peer_message message = output->message;
  size_t size;

  if (message.bytes == NULL)
    {
      message.bytes = output->packet_copy;
      message.size = output->packet_copy_size;
    }
  if (galena_peer_encode (&message, galena_datagrams_next_buffer (socket),
                          GALENA_DATAGRAM_BUFFER_BYTES, &size)
      == GALENA_OK)
    galena_datagrams_add (socket, size, output->peer);
  else
    galena_plane_count_dropped (loop->plane, GALENA_PLANE_UNSENT, 1);
}

/* Function that sends each kind of output.  */
static void (*const SENDERS[]) (struct packet_loop *,
                                const struct galena_output *)
    = {
        [GALENA_OUTPUT_PACKET] = send_packet,
        [GALENA_OUTPUT_RESET] = send_reset,
        [GALENA_OUTPUT_MESSAGE] = send_message,
      };

static void
send_outputs (struct packet_loop *loop)
{
  uint32_t count = galena_plane_output_count (loop->plane);
  uint32_t lost = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      const struct galena_output *output
          = galena_plane_output (loop->plane, i);

      SENDERS[output->kind](loop, output);
    }
  for (uint32_t i = 0; i < SOCKET_COUNT; i++)
    lost += galena_datagrams_flush (loop->sockets[i]);
  galena_plane_count_dropped (loop->plane, GALENA_PLANE_UNSENT, lost);
}

/* Waits until a packet arrives, a system is due or a shutdown begins.  */
static void
wait_for_work (struct packet_loop *loop, struct pollfd fds[SOCKET_COUNT + 1])
{
  uint32_t left_ms = galena_clock_remaining_ms (
      galena_monotonic_now (), galena_plane_due (loop->plane));

  for (uint32_t i = 0; i < SOCKET_COUNT; i++)
    fds[i]
        = (struct pollfd){ galena_datagrams_fd (loop->sockets[i]), POLLIN, 0 };
  fds[SOCKET_COUNT]
      = (struct pollfd){ process_wake_fd (loop->frontend->process), POLLIN,
                         0 };
  poll (fds, SOCKET_COUNT + 1, (int)left_ms);
}

static void
publish_histogram (struct packet_loop *loop, int index)
{
  const struct galena_histogram *row
      = galena_plane_histogram_of (loop->plane, index);

  for (uint32_t i = 0; i < GALENA_HISTOGRAM_BUCKETS; i++)
    atomic_store_explicit (&loop->frontend->buckets[index][i], row->buckets[i],
                           memory_order_relaxed);
  atomic_store_explicit (&loop->frontend->sums_ms[index], row->sum_ms,
                         memory_order_relaxed);
}

/* Copies counters and peers for the other threads, once per period.  */
static void
publish_state (struct packet_loop *loop, struct galena_clock now)
{
  uint32_t peers[PACKET_PEERS_MAX];
  uint32_t peer_count;

  if (!galena_clock_reached (now, loop->publish_due))
    return;
  loop->publish_due = galena_clock_add_ms (now, PUBLISH_PERIOD_MS);
  for (int i = 0; i < GALENA_PLANE_COUNTER_COUNT; i++)
    atomic_store_explicit (&loop->frontend->counters[i],
                           galena_plane_counter_value (loop->plane, i),
                           memory_order_relaxed);
  for (int i = 0; i < GALENA_PLANE_HISTOGRAM_COUNT; i++)
    publish_histogram (loop, i);
  atomic_store (&loop->frontend->flows, galena_plane_flow_count (loop->plane));
  atomic_store (&loop->frontend->ejected_upstreams,
                galena_plane_ejected_upstreams (loop->plane));
  peer_count
      = galena_plane_live_entries (loop->plane, peers, PACKET_PEERS_MAX);
  for (uint32_t i = 0; i < PACKET_PEERS_MAX; i++)
    atomic_store (&loop->frontend->peers[i], i < peer_count ? peers[i] : 0);
}

/* After a pause of the process, makes the platform reader refresh the
   directory, and tells the plane when the directory is up to date.  */
static void
track_pauses (struct packet_loop *loop)
{
  uint64_t pauses
      = galena_plane_counter_value (loop->plane, GALENA_PLANE_PAUSES);

  if (pauses != loop->pauses)
    {
      loop->pauses = pauses;
      atomic_store (&loop->frontend->pauses, pauses);
      platform_reader_wake (loop->frontend->reader);
    }
  else if (atomic_load (&loop->frontend->pauses_refreshed) == pauses)
    galena_plane_directory_refreshed (loop->plane);
}

/* Passes reloaded settings on to the plane.  The caller is inside an RCU
   read-side critical section.  */
static void
apply_settings (struct packet_loop *loop)
{
  const struct live_settings *live = reload_live (loop->frontend->process);
  const struct galena_addresses *rows = &live->settings.peers_seeds;
  struct galena_endpoint seeds[GALENA_PLANE_SEEDS_MAX];
  uint32_t count = 0;
  enum galena_result result;

  if (live->revision == loop->settings_revision)
    return;
  loop->settings_revision = live->revision;
  /* Seeds are given by their control address; the port for peer messages is
     the same in all processes.  */
  for (; count < rows->count && count < GALENA_PLANE_SEEDS_MAX; count++)
    seeds[count]
        = (struct galena_endpoint){ rows->rows[count].ip,
                                    loop->settings->peers_address.port };
  result = galena_plane_configure (loop->plane, seeds, count,
                                   choice_of (&live->settings));
  if (result != GALENA_OK)
    galena_log (LOG_ERR, "settings-not-taken", "result=%s",
                galena_result_name (result));
}

static void
run_tick (struct packet_loop *loop)
{
  struct galena_clock now = galena_monotonic_now ();

  if (atomic_load (&loop->frontend->process->draining))
    galena_plane_drain (loop->plane);
  rcu_read_lock ();
  apply_settings (loop);
  galena_plane_tick (loop->plane, now,
                     rcu_dereference (loop->frontend->directory));
  rcu_read_unlock ();
  track_pauses (loop);
  atomic_store_explicit (&loop->frontend->out_of_rotation,
                         galena_plane_is_out_of_rotation (loop->plane),
                         memory_order_relaxed);
  send_outputs (loop);
  packet_log_events (loop->plane);
  publish_state (loop, now);
}

static void
run_until_stopped (struct packet_loop *loop)
{
  struct pollfd fds[SOCKET_COUNT + 1];

  rcu_register_thread ();
  while (!atomic_load (&loop->frontend->process->stopping))
    {
      wait_for_work (loop, fds);
      for (uint32_t i = 0; i < SOCKET_COUNT; i++)
        if (fds[i].revents != 0)
          receive (loop, (enum loop_socket)i);
      run_tick (loop);
    }
  rcu_unregister_thread ();
}

enum galena_result
packet_loop_run (struct packet_frontend *frontend)
{
  struct packet_loop loop
      = { .frontend = frontend, .settings = &frontend->process->settings };
  enum galena_result result;

  loop.packet_link = loop.settings->role == GALENA_ROLE_ENTRY
                         ? GALENA_SIDE_CALLER
                         : GALENA_SIDE_APPLICATION;
  result = create_sockets (&loop);
  if (result == GALENA_OK)
    result = create_plane (&loop);
  if (result == GALENA_OK)
    run_until_stopped (&loop);
  galena_plane_destroy (loop.plane);
  for (uint32_t i = 0; i < SOCKET_COUNT; i++)
    galena_datagrams_destroy (loop.sockets[i]);
  return result;
}
