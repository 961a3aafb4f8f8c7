/* A small fake around real worlds: a network, a fabric, upstreams and a load
   in virtual time, all from one seed.

   The tables are nodes, loads and jobs; the systems of fleet.c run over them
   once for each millisecond.  It decides nothing that galenaford decides.  */

#ifndef FLEET_H
#define FLEET_H

#include <glib.h>

#include <galenaford/caller.h>
#include <galenaford/random.h>
#include <galenaford/records.h>

#include "sync_fleet.h"

enum
{
  FLEET_NODES_MAX = 1024,
  FLEET_LOADS_MAX = 32,
  FLEET_SERVICES_MAX = 16,
  FLEET_GROUPS_MAX = 8,
  /* Stands for whichever entry the fabric draws.  */
  FLEET_ANY_ENTRY = FLEET_NODES_MAX
};

enum fleet_node_kind
{
  FLEET_ENTRY,
  FLEET_AGENT,
  FLEET_CALLER
};

/* The upstream beside an agent.  */
struct fleet_upstream
{
  /* How much faster than 1 it runs; 2 halves each run time.  */
  double speed;
  uint32_t slots;
  /* Requests that hold a slot now.  */
  uint32_t running;
  /* Slot milliseconds used so far.  */
  uint64_t busy_ms;
  /* Requests executed so far.  */
  uint64_t executed;
  /* Runs take COLD_FACTOR as long before this instant.  */
  struct galena_clock warm_at;
  double cold_factor;
  /* Refuses work beyond its slots, as not run; otherwise work beyond them
     slows each run that starts.  */
  bool sheds;
  /* Takes requests and never answers.  */
  bool silent;
  /* Can't be connected to: refuses everything, as not run.  */
  bool down;
};

struct fleet_node
{
  enum fleet_node_kind kind;
  char name[GALENA_NAME_BYTES];
  char zone[GALENA_NAME_BYTES];
  struct galena_endpoint address;
  /* NULL while the node is down.  */
  struct galena_world *world;
  struct galena_world_options options;
  /* Records in force at the node and the snapshot made of them.  */
  struct galena_audit *audit;
  const struct galena_records *records;
  /* The node's own ones when it is not synced; else they stay empty.  */
  struct galena_records *direct_records;
  struct galena_config *config;
  /* The node neither ticks nor receives before this instant.  */
  struct galena_clock frozen_until;
  /* Packets pass between nodes of one group only; 0 to FLEET_GROUPS_MAX-1. */
  uint32_t group;
  /* The agent tells a wait of 0 in all it sends.  */
  bool reports_no_wait;
  /* When the node stopped serving; INT64_MAX while it serves.  */
  struct galena_clock withdrawn_at;
  /* When a planned stop ends the node all the same; INT64_MAX when none.  */
  struct galena_clock stop_limit;
  /* Whether the node starts again after its planned stop.  */
  bool replace;
  /* Whether the node can't read the platform.  */
  bool cut_from_platform;
  /* Records published at this instant or before have reached the node.  */
  struct galena_clock read_at;
  /* When the node last began to run, woke up, or came back from a cut.  */
  struct galena_clock reachable_at;
  /* Since when its upstream is published as leaving; INT64_MAX if not.  */
  struct galena_clock leaving_at;
  /* Flows accepted and generations in force when last looked at.  */
  uint64_t accepted_seen;
  uint64_t generations_seen[FLEET_SERVICES_MAX];
  /* Number of starts.  */
  uint32_t start_count;
  uint32_t service;
  struct fleet_upstream upstream;
};

/* Packets between nodes; shares are in [0, 1].  */
struct fleet_network
{
  uint32_t delay_ms;
  uint32_t jitter_ms;
  double drop;
  double duplicate;
  /* Share of packets delayed by REORDER_MS more.  */
  double reorder;
  uint32_t reorder_ms;
};

struct fleet_load
{
  char name[GALENA_NAME_BYTES];
  /* Index of the service and number of its kind.  */
  uint32_t service;
  uint16_t kind;
  /* Requests a second.  */
  double rate;
  /* Requests on one flow, one after the other; then it is closed.  */
  uint32_t flow_requests;
  /* Pause between the requests of one flow.  */
  uint32_t think_ms;
  uint32_t body_bytes;
  uint32_t answer_bytes;
  /* Run time at an upstream of speed 1.  */
  uint32_t work_ms;
  uint32_t deadline_ms;
  bool idempotent;
  bool endless;
  /* Whether its flows' packets carry no route.  */
  bool unrouted;
  /* An endless request is over after this long.  */
  uint32_t lasts_ms;
  struct galena_clock from;
  struct galena_clock until;
  /* Caller node that sends it.  */
  uint32_t caller;

  /* What became of it.  */
  uint64_t sent, answered, refused, unknown;
  /* Answers that differ from what the upstream made for this request.  */
  uint64_t wrong;
  /* Longest wait of an endless answer for its first byte, and for a later
     one.  */
  uint32_t first_ms;
  uint32_t gap_ms;
  /* Latencies of answered requests in milliseconds, as uint32_t.  */
  GArray *latencies;
  double flows_due;
};

/* One request, from its submission to its end and beyond.  */
struct fleet_job
{
  uint32_t load;
  struct galena_flow_handle flow;
  /* When it was submitted; after its end, when the next one is due.  */
  struct galena_clock sent_at;
  struct galena_clock submitted_at;
  uint32_t left_on_flow;
  struct galena_clock last_data_at;
  uint32_t executed;
  uint32_t misrouted;
  uint64_t answer_received;
  bool wrong;
  bool ended;
  enum galena_result result;
};

struct fleet_options
{
  uint64_t seed;
  struct fleet_network network;
  /* Policies by name, or NULL.  */
  const char *choice;
  const char *admission;
  /* Milliseconds until a node has read what the platform published.  */
  uint32_t platform_lag_ms;
  /* Whether nodes get the records by the sync of a process; else they have
     at once what the platform shows.  */
  bool synced;
  /* Milliseconds until the fabric no longer sends to a stopped entry.  */
  uint32_t fabric_lag_ms;
};

/* What was published at one time; never changed afterwards.  */
struct fleet_version
{
  uint32_t service;
  struct galena_clock at;
  struct galena_service_record record;
};

/* A path that went silent: packets between two nodes whose ports were in
   use by then are lost; a new port works.  */
struct fleet_silence
{
  /* Index of each node, or FLEET_ANY_ENTRY.  */
  uint32_t nodes[2];
  uint16_t ports[2];
};

struct fleet
{
  struct fleet_options options;
  struct galena_clock now;
  struct galena_random random;
  struct fleet_node nodes[FLEET_NODES_MAX];
  uint32_t node_count;
  struct galena_service_record services[FLEET_SERVICES_MAX];
  uint32_t service_count;
  /* Everything published so far, as struct fleet_version.  */
  GArray *versions;
  bool platform_down;
  /* The syncs of the nodes, by their index; NULL when not synced.  */
  struct sync_fleet *sync_fleet;
  struct fleet_load loads[FLEET_LOADS_MAX];
  uint32_t load_count;
  /* Every job so far, as struct fleet_job; its index is its number.  */
  GArray *jobs;
  /* Numbers of ended jobs whose flow thinks before its next request.  */
  GArray *thinking;
  /* Packets on their way by the millisecond of their arrival.  */
  GArray **wheel;
  /* Runs in progress at all upstreams.  */
  GArray *runs;
  /* Highest port from which each node has sent to each other node or to the
     fabric; 0 when it never did.  */
  uint16_t *ports;
  /* Silent paths, as struct fleet_silence.  */
  GArray *silences;
  /* Numbers of endless jobs that go on.  */
  GArray *feeds;
  /* Longest time that a reachable node was behind what was published.  */
  uint32_t force_ms;
  /* Longest time after which a leaving upstream took a new flow.  */
  uint32_t new_work_ms;
  /* Records that a node replaced by an older one.  */
  uint32_t reverts;
};

struct fleet *fleet_create (const struct fleet_options *options);
void fleet_destroy (struct fleet *fleet);

/* Adds a service with KINDS; returns its index.  Its record is not published
   before fleet_publish.  */
uint32_t fleet_add_service (struct fleet *fleet, const char *name,
                            const struct galena_kind *kinds, uint32_t count);

/* Adds a node; each returns its index.  An agent's upstream stands in its
   service's record from the next fleet_publish on.  */
uint32_t fleet_add_entry (struct fleet *fleet, const char *zone);
uint32_t fleet_add_agent (struct fleet *fleet, const char *zone,
                          uint32_t service,
                          const struct fleet_upstream *upstream,
                          uint32_t connections);
uint32_t fleet_add_caller (struct fleet *fleet);

/* Returns the record row of the upstream beside agent NODE, for changes that
   the next fleet_publish brings out.  */
struct galena_upstream *fleet_upstream_row (struct fleet *fleet,
                                            uint32_t node);

/* Gives SERVICE address NUMBER, from 1, with its next fleet_publish; service
   N begins at address N.  */
void fleet_set_address (struct fleet *fleet, uint32_t service,
                        uint32_t number);

/* Says in the list of instances that a node is leaving, or not.  */
void fleet_set_listed_leaving (struct fleet *fleet, uint32_t node,
                               bool leaving);

/* Publishes the record of SERVICE under the next generation.  */
void fleet_publish (struct fleet *fleet, uint32_t service);

/* Adds a load; returns it for its figures.  */
struct fleet_load *fleet_add_load (struct fleet *fleet,
                                   const struct fleet_load *load);

/* Runs until UNTIL_MS after the start.  */
void fleet_run (struct fleet *fleet, int64_t until_ms);

/* Ends a node at once, and starts it again as a new process.  */
void fleet_kill (struct fleet *fleet, uint32_t node);
void fleet_start (struct fleet *fleet, uint32_t node);

/* Begins a planned stop that ends within LIMIT_MS; starts the node again
   afterwards when REPLACE.  */
void fleet_stop (struct fleet *fleet, uint32_t node, uint32_t limit_ms,
                 bool replace);

/* Has a node neither tick nor answer for LENGTH_MS; what arrives waits.  */
void fleet_freeze (struct fleet *fleet, uint32_t node, uint32_t length_ms);

/* Puts a node into GROUP: packets pass within a group only.  A node in a
   group other than 0 can't read the platform.  */
void fleet_cut (struct fleet *fleet, uint32_t node, uint32_t group);

/* Silences the paths in use between FROM and TO, which may be
   FLEET_ANY_ENTRY.  */
void fleet_silence (struct fleet *fleet, uint32_t from, uint32_t to);

/* Returns the node called NAME, or -1.  Nodes are called entry-1, agent-1,
   caller-1 and so on, in the order of their creation.  */
int fleet_find (const struct fleet *fleet, const char *name);

/* What the promises are checked by, over all jobs so far.  */
struct fleet_totals
{
  uint64_t sent, answered, refused, unknown;
  /* Non-idempotent requests that ran more than once.  */
  uint64_t doubled;
  /* Runs at an upstream of another service.  */
  uint64_t misrouted;
  /* Requests refused as not run that had run.  */
  uint64_t false_refusals;
  uint64_t wrong;
  /* Flows that callers had to open again, and those asked to move.  */
  uint64_t broken;
  uint64_t moved;
  /* Jobs without an end.  */
  uint64_t open;
  /* Rows still in use in the tables of all nodes.  */
  uint64_t rows;
  /* Busiest upstream over the mean, by share of slot time.  */
  double imbalance;
};

/* Returns what LOAD got answered of the requests sent from FROM on and
   before UNTIL, from 0 to 1.  */
double fleet_answered_share (const struct fleet *fleet,
                             const struct fleet_load *load,
                             struct galena_clock from,
                             struct galena_clock until);

void fleet_totals (const struct fleet *fleet, struct fleet_totals *totals);

/* Returns the latency below which SHARE of LOAD's answers came.  */
uint32_t fleet_latency (struct fleet_load *load, double share);

#endif
