/* Requests that an agent holds until its upstream has room for them.  */

#ifndef GALENAFORD_AGENT_REQUESTS_H
#define GALENAFORD_AGENT_REQUESTS_H

#include <galenaford/open_order.h>

#include "agent_tables.h"

enum
{
  HELD_REQUESTS_MAX = 64,
  HELD_PACKETS_MAX = 4
};

struct held_packet
{
  /* Its bytes are those below.  */
  struct galena_packet packet;
  uint8_t bytes[GALENA_BUFFERED_PACKET_BYTES];
};

/* A request of which the upstream has seen nothing yet.  */
struct held_request
{
  struct galena_handle flow;
  struct galena_clock since;
  /* Whether its packets were sent or dropped.  The row stays until the next
     tick, since the output of this one borrows the bytes.  */
  bool ended;
  uint32_t packet_count;
  struct held_packet packets[HELD_PACKETS_MAX];
};

struct agent_requests
{
  struct galena_table *held;
  /* Rows that have not ended.  */
  uint32_t count;
  /* Requests that run for so long that they hold no slot, and when these are
     counted again.  */
  uint32_t hung;
  struct galena_clock count_hung_at;
  struct galena_open_order order;
};

/* Creates the tables of held requests of PLANE, an agent.  */
enum galena_result agent_requests_create (struct galena_plane *plane);

/* Destroys them; accepts that there are none.  */
void agent_requests_destroy (struct galena_plane *plane);

/* Holds or absorbs the packet of FLOW, which HANDLE names, in MESSAGE. Returns
   false when it is to be given to the upstream now.  */
bool agent_requests_take (struct galena_plane *plane, struct agent_flow *flow,
                          struct galena_handle handle,
                          const struct galena_peer_message *message);

/* Drops what is held of FLOW.  */
void agent_requests_drop (struct galena_plane *plane, struct agent_flow *flow);

/* Returns the number of held requests.  */
uint32_t agent_requests_held (const struct galena_plane *plane);

/* Makes the next tick due at once if a request waits for a slot.  */
void agent_requests_wake (struct galena_plane *plane);

/* System: gives the upstream held requests, in order, while it has room, and
   drops those that have waited too long.  */
void agent_run_requests (struct galena_plane *plane);

#endif
