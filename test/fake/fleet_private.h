/* Types and functions shared by the systems of the simulated fleet.  */

#ifndef FLEET_PRIVATE_H
#define FLEET_PRIVATE_H

#include <string.h>

#include "fleet.h"

enum
{
  /* Slots of the timing wheel, one per millisecond; the delay of a packet must
     be shorter.  */
  FLEET_WHEEL_MS = 16384,
  /* Capacity of a world's mailboxes in messages.  */
  FLEET_TICK_MESSAGES = 4096,
  FLEET_SERVICE_PORT = 700,
  FLEET_NODE_PORT = 7000
};

/* IPv4 address of the first service, of the first node, and of the fabric.  */
#define FLEET_SERVICE_IP 0x7f640000u
#define FLEET_NODE_IP 0x7f010000u
#define FLEET_FABRIC_IP 0x7f000001u

/* A packet in transit between two nodes, given by index.  */
struct packet
{
  uint32_t from;
  uint32_t to;
  struct galena_message message;
  /* Owned copy of the message's body.  */
  uint8_t *body;
};

/* A request that runs on an upstream.  */
struct run
{
  /* Agent node of the upstream, and its start count when the run began.  */
  uint32_t node;
  uint32_t start_count;
  struct galena_request_handle handle;
  uint32_t job;
  /* Bytes of the answer still to send, and offset of the next one.  */
  uint32_t answer_left;
  uint64_t answer_at;
  /* When the run ends, or an endless one sends its next byte.  */
  struct galena_clock end;
  bool holds_slot;
  bool endless;
  bool cancelled;
};

/* fleet.c */

/* Returns whether NODE is running and not frozen.  */
bool fleet_node_is_up (const struct fleet *fleet,
                       const struct fleet_node *node);

struct fleet_job *fleet_job_at (const struct fleet *fleet, uint32_t number);

/* fleet_lifecycle.c */

/* System: completes planned stops of nodes that are idle or whose limit has
   passed.  */
void fleet_run_stops (struct fleet *fleet);

/* fleet_platform.c */

/* Create and destroy the records of a node at its start and end.  */
void fleet_platform_start (struct fleet *fleet, uint32_t index);
void fleet_platform_stop (struct fleet *fleet, uint32_t index);

/* Returns whether NODE is marked as leaving in the list of instances.  */
bool fleet_is_listed_leaving (const struct fleet *fleet, uint32_t node);

/* System: updates the records and configuration of nodes from the
   platform.  */
void fleet_run_platform (struct fleet *fleet);

/* fleet_network.c */

/* Returns true with probability SHARE.  */
bool fleet_random_bool (struct fleet *fleet, double share);

/* Frees the bodies of PACKETS and empties the array.  */
void fleet_free_packets (GArray *packets);

/* Sends MESSAGE from node FROM to its peer, or, if the peer is the fabric, to
   an entry at random.  */
void fleet_send_packet (struct fleet *fleet, uint32_t from,
                        const struct galena_message *message);

/* System: delivers the packets that arrive now.  */
void fleet_run_deliver (struct fleet *fleet);

/* fleet_load.c */

/* System: opens the flows that are due.  */
void fleet_run_loads (struct fleet *fleet);

/* System: sends the next request of flows whose think time has passed.  */
void fleet_run_waiting_jobs (struct fleet *fleet);

/* System: ends endless requests whose time has passed.  */
void fleet_run_endless_jobs (struct fleet *fleet);

/* Returns the byte at offset AT of the answer to JOB.  */
uint8_t fleet_answer_byte (uint32_t job, uint64_t at);

/* Handle data and the end of an answer at its caller.  */
void fleet_on_data (struct fleet *fleet, const struct galena_message *message);
void fleet_on_end (struct fleet *fleet, struct fleet_node *caller,
                   const struct galena_message *message);

/* fleet_watch.c */

/* System: updates force_ms, new_work_ms and reverts.  */
void fleet_run_watch (struct fleet *fleet);

/* fleet_upstream.c */

/* Handle the start and the cancellation of a run that agent INDEX requests. */
void fleet_start_run (struct fleet *fleet, uint32_t index,
                      const struct galena_message *message);
void fleet_cancel_run (struct fleet *fleet, uint32_t index,
                       const struct galena_message *message);

/* System: sends answers and ends of runs to agents.  */
void fleet_run_upstreams (struct fleet *fleet);

#endif
