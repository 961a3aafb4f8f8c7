/* The tick of a plane: runs the systems that are due, which also apply a new
   directory, and then the handlers of received packets and messages.  */

#include <stdlib.h>
#include <string.h>

#include "plane_private.h"

enum
{
  /* A longer time without a tick counts as a pause of the process; the longest
     period of a system is 1000 ms.  */
  PAUSE_MS = 1500,
  /* Bytes of the IP and UDP headers, and of the header of a message between
     peers.  */
  DATAGRAM_HEADER_BYTES = 28,
  MESSAGE_HEADER_BYTES = 72
};

static const struct plane_role *const ROLES[GALENA_ROLE_COUNT] = {
  [GALENA_ROLE_ENTRY] = &entry_plane_role,
  [GALENA_ROLE_AGENT] = &agent_plane_role,
};

static const char *const EVENT_NAMES[] = {
#define EVENT_NAME(value, name, description) [value] = name,
  GALENA_PLANE_EVENTS (EVENT_NAME)
#undef EVENT_NAME
};

static const char *const EVENT_DESCRIPTIONS[] = {
#define EVENT_DESCRIPTION(value, name, description) [value] = description,
  GALENA_PLANE_EVENTS (EVENT_DESCRIPTION)
#undef EVENT_DESCRIPTION
};

static const char *const COUNTER_NAMES[] = {
#define COUNTER_NAME(value, name, description) [value] = name,
  GALENA_PLANE_COUNTERS (COUNTER_NAME)
#undef COUNTER_NAME
};

static const char *const COUNTER_DESCRIPTIONS[] = {
#define COUNTER_DESCRIPTION(value, name, description) [value] = description,
  GALENA_PLANE_COUNTERS (COUNTER_DESCRIPTION)
#undef COUNTER_DESCRIPTION
};

static const char *const HISTOGRAM_NAMES[] = {
#define HISTOGRAM_NAME(value, name, description) [value] = name,
  GALENA_PLANE_HISTOGRAMS (HISTOGRAM_NAME)
#undef HISTOGRAM_NAME
};

static const char *const HISTOGRAM_DESCRIPTIONS[] = {
#define HISTOGRAM_DESCRIPTION(value, name, description) [value] = description,
  GALENA_PLANE_HISTOGRAMS (HISTOGRAM_DESCRIPTION)
#undef HISTOGRAM_DESCRIPTION
};

static const char *const PEER_TYPE_NAMES[GALENA_PEER_TYPE_END] = {
#define PEER_TYPE_NAME(value, number, name) [value] = name,
  GALENA_PEER_TYPES (PEER_TYPE_NAME)
#undef PEER_TYPE_NAME
};

const char *
galena_plane_event_name (enum galena_plane_event event)
{
  return EVENT_NAMES[event];
}

const char *
galena_plane_event_description (enum galena_plane_event event)
{
  return EVENT_DESCRIPTIONS[event];
}

const char *
galena_plane_counter_name (enum galena_plane_counter counter)
{
  return COUNTER_NAMES[counter];
}

const char *
galena_plane_counter_description (enum galena_plane_counter counter)
{
  return COUNTER_DESCRIPTIONS[counter];
}

const char *
galena_plane_histogram_name (enum galena_plane_histogram histogram)
{
  return HISTOGRAM_NAMES[histogram];
}

const char *
galena_plane_histogram_description (enum galena_plane_histogram histogram)
{
  return HISTOGRAM_DESCRIPTIONS[histogram];
}

const char *
galena_peer_type_name (enum galena_peer_type type)
{
  if (type >= GALENA_PEER_TYPE_END || PEER_TYPE_NAMES[type] == NULL)
    return "unknown";
  return PEER_TYPE_NAMES[type];
}

enum galena_result
galena_plane_create (const struct galena_plane_options *options,
                     struct galena_plane **out)
{
  struct galena_table_options members
      = { sizeof (struct member), PLANE_MEMBERS_MAX };
  struct galena_plane *plane;
  enum galena_result result = GALENA_ERR_MEMORY;

  if (options->role >= GALENA_ROLE_COUNT || ROLES[options->role] == NULL
      || options->flows == 0 || options->messages == 0
      || options->seed_count > GALENA_PLANE_SEEDS_MAX)
    return GALENA_ERR_INVALID;
  plane = calloc (1, sizeof *plane);
  if (plane == NULL)
    return GALENA_ERR_MEMORY;
  plane->options = *options;
  plane->role = ROLES[options->role];
  plane->random = (struct galena_random){ options->seed, 0 };
  plane->inputs = calloc (options->messages, sizeof *plane->inputs);
  plane->outputs = calloc (options->messages, sizeof *plane->outputs);
  if (plane->inputs == NULL || plane->outputs == NULL)
    goto fail;
  result = galena_table_create (&members, &plane->members);
  if (result != GALENA_OK)
    goto fail;
  result = plane->role->create (plane);
  if (result != GALENA_OK)
    goto fail;
  *out = plane;
  return GALENA_OK;

fail:
  galena_plane_destroy (plane);
  return result;
}

void
galena_plane_destroy (struct galena_plane *plane)
{
  if (plane == NULL)
    return;
  plane->role->destroy (plane);
  galena_table_destroy (plane->members);
  free (plane->inputs);
  free (plane->outputs);
  free (plane);
}

enum galena_result
galena_plane_configure (struct galena_plane *plane,
                        const struct galena_endpoint *seeds,
                        uint32_t seed_count, const char *choice)
{
  enum galena_result result = GALENA_OK;

  if (seed_count > GALENA_PLANE_SEEDS_MAX)
    return GALENA_ERR_INVALID;
  if (plane->role->configure != NULL)
    result = plane->role->configure (plane, choice);
  if (result != GALENA_OK)
    return result;
  plane->options.seed_count = seed_count;
  memcpy (plane->options.seeds, seeds, seed_count * sizeof *seeds);
  return GALENA_OK;
}

struct galena_input *
galena_plane_next_input (struct galena_plane *plane)
{
  if (plane->input_count == plane->options.messages)
    return NULL;
  return &plane->inputs[plane->input_count];
}

void
galena_plane_push (struct galena_plane *plane)
{
  plane->input_count++;
}

struct galena_output *
plane_next_output (struct galena_plane *plane)
{
  struct galena_output *output;

  if (plane->output_count == plane->options.messages)
    {
      plane_count (plane, GALENA_PLANE_UNSENT);
      return NULL;
    }
  output = &plane->outputs[plane->output_count++];
  memset (output, 0, offsetof (struct galena_output, packet_copy));
  return output;
}

void
plane_send_packet (struct galena_plane *plane, enum galena_side side,
                   const struct galena_packet *packet)
{
  struct galena_output *output = plane_next_output (plane);

  if (output == NULL)
    return;
  output->kind = GALENA_OUTPUT_PACKET;
  output->side = side;
  output->peer = packet->destination;
  output->bytes = packet->bytes;
  output->size = packet->size;
}

struct galena_output *
plane_send_message (struct galena_plane *plane, struct galena_endpoint peer,
                    const struct galena_peer_message *message)
{
  struct galena_output *output = plane_next_output (plane);

  if (output == NULL)
    return NULL;
  output->kind = GALENA_OUTPUT_MESSAGE;
  output->side = GALENA_SIDE_PEER;
  output->peer = peer;
  output->message = *message;
  output->message.role = plane->options.role;
  return output;
}

void
plane_send_reset (struct galena_plane *plane, struct galena_flow_key flow,
                  uint32_t sequence)
{
  struct galena_output *output = plane_next_output (plane);

  if (output == NULL)
    return;
  output->kind = GALENA_OUTPUT_RESET;
  output->side = GALENA_SIDE_CALLER;
  output->peer = flow.caller;
  output->flow = flow;
  output->sequence = sequence;
  plane_count (plane, GALENA_PLANE_RESETS);
}

/* Reasons of refusals that have a counter of their own.  */
static const struct
{
  enum galena_result result;
  enum galena_plane_counter counter;
} REFUSAL_COUNTERS[] = {
  { GALENA_REFUSED_EVACUATED, GALENA_PLANE_REFUSED_EVACUATED },
  { GALENA_REFUSED_WARMING_UP, GALENA_PLANE_REFUSED_WARMING_UP },
  { GALENA_REFUSED_BUSY, GALENA_PLANE_HANDED_BACK },
};

void
plane_count_refusal (struct galena_plane *plane, enum galena_result result)
{
  plane_count (plane, GALENA_PLANE_REFUSED);
  for (size_t i = 0; i < sizeof REFUSAL_COUNTERS / sizeof REFUSAL_COUNTERS[0];
       i++)
    if (REFUSAL_COUNTERS[i].result == result)
      plane_count (plane, REFUSAL_COUNTERS[i].counter);
}

void
plane_measure (struct galena_plane *plane,
               enum galena_plane_histogram histogram,
               struct galena_clock since)
{
  struct galena_histogram *row = &plane->histograms[histogram];
  int64_t ms = galena_clock_elapsed_ms (since, plane->now);
  uint32_t bucket = 0;

  while (bucket + 1 < GALENA_HISTOGRAM_BUCKETS
         && ms >= (INT64_C (1) << bucket))
    bucket++;
  row->buckets[bucket]++;
  row->sum_ms += (uint64_t)ms;
}

const struct galena_histogram *
galena_plane_histogram_of (const struct galena_plane *plane,
                           enum galena_plane_histogram histogram)
{
  return &plane->histograms[histogram];
}

void
plane_log_event (struct galena_plane *plane,
                 struct galena_plane_logged_event event)
{
  if (plane->event_count < PLANE_EVENTS_MAX)
    plane->events[plane->event_count++] = event;
}

uint64_t
plane_flow_hash (const struct galena_map *map, struct galena_flow_key flow)
{
  uint64_t packed[2] = {
    ((uint64_t)flow.caller.ip << 16) | flow.caller.port,
    ((uint64_t)flow.service_address.ip << 16) | flow.service_address.port,
  };

  return galena_map_hash (map, packed, sizeof packed);
}

void *
plane_flow_find (const struct galena_table *table,
                 const struct galena_map *map, struct galena_flow_key flow,
                 struct galena_handle *handle)
{
  const struct galena_flow_key *row;
  uint64_t packed;

  if (!galena_map_find (map, plane_flow_hash (map, flow), &packed))
    return NULL;
  *handle = galena_handle_unpack (packed);
  row = galena_table_get (table, *handle);
  return row != NULL && plane_flow_equal (*row, flow) ? (void *)row : NULL;
}

void *
plane_flow_add (struct galena_plane *plane, struct galena_table *table,
                struct galena_map *map, struct galena_flow_key flow,
                struct galena_handle *handle)
{
  struct galena_flow_key *row = galena_table_insert (table, handle);

  if (row == NULL)
    goto full;
  *row = flow;
  if (galena_map_insert (map, plane_flow_hash (map, flow),
                         galena_handle_pack (*handle))
      == GALENA_OK)
    return row;
  galena_table_remove (table, *handle);

full:
  plane_count (plane, GALENA_PLANE_TABLE_FULL);
  return NULL;
}

void
plane_flow_remove (struct galena_table *table, struct galena_map *map,
                   struct galena_flow_key flow, struct galena_handle handle)
{
  galena_map_remove (map, plane_flow_hash (map, flow));
  galena_table_remove (table, handle);
}

static void
count_input (struct galena_plane *plane, const struct galena_input *input)
{
  plane->bytes_in += DATAGRAM_HEADER_BYTES;
  plane->bytes_in += input->side == GALENA_SIDE_PEER
                         ? MESSAGE_HEADER_BYTES + input->message.size
                         : input->packet.size;
}

static void
count_outputs (struct galena_plane *plane)
{
  for (uint32_t i = 0; i < plane->output_count; i++)
    {
      const struct galena_output *output = &plane->outputs[i];

      plane->bytes_out += DATAGRAM_HEADER_BYTES + output->size
                          + output->packet_copy_size + output->message.size;
      if (output->kind == GALENA_OUTPUT_MESSAGE)
        plane->bytes_out += MESSAGE_HEADER_BYTES;
    }
}

static void
dispatch_input (struct galena_plane *plane, const struct galena_input *input)
{
  count_input (plane, input);
  if (input->side == GALENA_SIDE_PEER)
    {
      plane_message_handler *handler
          = plane->role->messages[input->message.type];

      plane_count (plane, GALENA_PLANE_FROM_PEERS);
      if (handler != NULL)
        handler (plane, input->peer, &input->message);
      else
        plane_count (plane, GALENA_PLANE_UNEXPECTED);
      return;
    }
  if (plane->role->packets[input->side] != NULL)
    plane->role->packets[input->side](plane, &input->packet);
  else
    plane_count (plane, GALENA_PLANE_UNEXPECTED);
}

/* Sets the time of the tick, and handles a pause before it.  */
static void
advance_clock (struct galena_plane *plane, struct galena_clock now)
{
  int64_t gap_ms = galena_clock_elapsed_ms (plane->now, now);
  bool first = plane->now.ms == 0;

  plane->now = now;
  if (first || gap_ms < PAUSE_MS)
    return;
  plane_log_event (
      plane, (struct galena_plane_logged_event){ .event = GALENA_EVENT_PAUSED,
                                                 .age_ms = gap_ms });
  plane_count (plane, GALENA_PLANE_PAUSES);
  plane->role->after_pause (plane, gap_ms);
}

void
galena_plane_tick (struct galena_plane *plane, struct galena_clock now,
                   const struct galena_directory *directory)
{
  plane->output_count = 0;
  plane->event_count = 0;
  plane->directory = directory;
  plane->tick_again = false;
  advance_clock (plane, now);
  plane_count (plane, GALENA_PLANE_TICKS);
  for (uint32_t i = 0; i < plane->role->system_count; i++)
    {
      const struct plane_system *system = &plane->role->systems[i];

      if (!galena_clock_reached (now, plane->due[i]))
        continue;
      system->run (plane);
      plane->due[i] = galena_clock_add_ms (now, system->period_ms);
    }
  for (uint32_t i = 0; i < plane->input_count; i++)
    dispatch_input (plane, &plane->inputs[i]);
  count_outputs (plane);
  plane->input_count = 0;
  plane->directory = NULL;
}

uint32_t
galena_plane_output_count (const struct galena_plane *plane)
{
  return plane->output_count;
}

const struct galena_output *
galena_plane_output (const struct galena_plane *plane, uint32_t index)
{
  return &plane->outputs[index];
}

uint32_t
galena_plane_logged_event_count (const struct galena_plane *plane)
{
  return plane->event_count;
}

const struct galena_plane_logged_event *
galena_plane_logged_event_at (const struct galena_plane *plane, uint32_t index)
{
  return &plane->events[index];
}

struct galena_clock
galena_plane_due (const struct galena_plane *plane)
{
  struct galena_clock first = { INT64_MAX };

  if (plane->tick_again)
    return plane->now;
  for (uint32_t i = 0; i < plane->role->system_count; i++)
    if (plane->role->systems[i].period_ms != 0 && plane->due[i].ms < first.ms)
      first = plane->due[i];
  return first;
}

void
galena_plane_directory_refreshed (struct galena_plane *plane)
{
  plane->stale_until = plane->now;
}

void
galena_plane_drain (struct galena_plane *plane)
{
  plane->draining = true;
}

void
galena_plane_count_dropped (struct galena_plane *plane,
                            enum galena_plane_counter counter, uint32_t count)
{
  plane->counters[counter] += count;
}

uint64_t
galena_plane_counter_value (const struct galena_plane *plane,
                            enum galena_plane_counter counter)
{
  return plane->counters[counter];
}

uint32_t
galena_plane_flow_count (const struct galena_plane *plane)
{
  return plane->role->flow_count (plane);
}
