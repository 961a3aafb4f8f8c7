/* What the systems of the fake share.  */

#ifndef FLEET_PRIVATE_H
#define FLEET_PRIVATE_H

#include <string.h>

#include "fleet.h"

enum
{
  FLEET_WHEEL_MS = 16384,
  FLEET_TICK_MESSAGES = 4096,
  FLEET_SERVICE_PORT = 700,
  FLEET_NODE_PORT = 7000
};

/* First address of services and of nodes, and the fabric's address.  */
#define FLEET_SERVICE_IP 0x7f640000u
#define FLEET_NODE_IP 0x7f010000u
#define FLEET_FABRIC_IP 0x7f000001u

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
  uint32_t start_count;
  struct galena_request_handle handle;
  uint32_t job;
  uint32_t answer_left;
  uint64_t answer_at;
  struct galena_clock end;
  bool holds_slot;
  bool endless;
  bool cancelled;
};

/* fleet.c */

/* Tells whether NODE runs and is not frozen.  */
bool fleet_node_is_up (const struct fleet *fleet,
                       const struct fleet_node *node);

struct fleet_job *fleet_job_at (const struct fleet *fleet, uint32_t number);

/* fleet_lifecycle.c */

/* System: planned stops end when nothing is in progress.  */
void fleet_run_stops (struct fleet *fleet);

/* fleet_platform.c: what a node reads; its records live and die with it.  */
void fleet_platform_start (struct fleet *fleet, uint32_t index);
void fleet_platform_stop (struct fleet *fleet, uint32_t index);

/* Tells whether the list of instances calls NODE leaving.  */
bool fleet_is_listed_leaving (const struct fleet *fleet, uint32_t node);

/* System: nodes read what the platform has published.  */
void fleet_run_platform (struct fleet *fleet);

/* fleet_network.c */

/* Draws whether something of probability SHARE happens.  */
bool fleet_random_bool (struct fleet *fleet, double share);

void fleet_free_packets (GArray *packets);
void fleet_send_packet (struct fleet *fleet, uint32_t from,
                        const struct galena_message *message);
void fleet_run_deliver (struct fleet *fleet);

/* fleet_load.c */
void fleet_run_loads (struct fleet *fleet);
void fleet_run_thinking (struct fleet *fleet);

/* System: endless requests go on, and end when their time is over.  */
void fleet_run_feeds (struct fleet *fleet);
uint8_t fleet_answer_byte (uint32_t job, uint64_t at);
void fleet_on_data (struct fleet *fleet, const struct galena_message *message);
void fleet_on_end (struct fleet *fleet, struct fleet_node *caller,
                   const struct galena_message *message);

/* fleet_watch.c */

/* System: notes how far nodes are behind the platform.  */
void fleet_run_watch (struct fleet *fleet);

/* fleet_upstream.c */
void fleet_start_run (struct fleet *fleet, uint32_t index,
                      const struct galena_message *message);
void fleet_cancel_run (struct fleet *fleet, uint32_t node,
                       const struct galena_message *message);
void fleet_run_upstreams (struct fleet *fleet);

#endif
