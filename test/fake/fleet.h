/* A simulated fleet: real worlds of entries, agents and callers, connected by
   a simulated network, fabric, platform and upstreams under a generated load.
   It runs in virtual time, and one seed determines the whole run.

   The tables are nodes, loads and jobs; the systems in fleet.c run over them
   once per virtual millisecond.  All decisions on load balancing are made by
   the worlds; the simulation makes none.  */

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
  /* In place of a node's index: any entry, to which the fabric may send.  */
  FLEET_ANY_ENTRY = FLEET_NODES_MAX
};

enum fleet_node_kind
{
  FLEET_ENTRY,
  FLEET_AGENT,
  FLEET_CALLER
};

/* The simulated upstream behind an agent.  */
struct fleet_upstream
{
  /* Run times are divided by it; 1 is the normal speed.  */
  double speed;
  uint32_t slots;
  /* Requests that hold a slot at present.  */
  uint32_t running;
  /* Slot time used so far, without the slowdown beyond the slots.  */
  uint64_t busy_ms;
  /* Requests executed so far.  */
  uint64_t executed;
  /* Run times are multiplied by WARMUP_FACTOR until this time.  */
  struct galena_clock warmup_until;
  double warmup_factor;
  /* Whether it refuses requests that find no free slot, so that they are not
     executed; if not, runs that start beyond the slots take longer.  */
  bool sheds;
  /* Accepts requests and never answers.  */
  bool silent;
  /* Cannot be connected to: every request is refused and not executed.  */
  bool down;
};

/* A process: an entry, an agent with its upstream, or a caller.  */
struct fleet_node
{
  enum fleet_node_kind kind;
  char name[GALENA_NAME_BYTES];
  char zone[GALENA_NAME_BYTES];
  struct galena_endpoint address;
  /* NULL while the node is down.  */
  struct galena_world *world;
  struct galena_world_options options;
  struct galena_audit *audit;
  /* Records that the node has applied, of its sync or DIRECT_RECORDS.  */
  const struct galena_records *records;
  /* Records that the node reads without a sync; empty when it has one.  */
  struct galena_records *direct_records;
  /* Snapshot of the records.  */
  struct galena_config *config;
  /* The node does not tick before this time; its inbox keeps what
     arrives.  */
  struct galena_clock frozen_until;
  /* Network partition, 0 to FLEET_GROUPS_MAX - 1: packets pass only between
     nodes of the same group.  */
  uint32_t group;
  /* Whether every packet of the agent reports a wait of 0.  */
  bool reports_no_wait;
  /* When the node was killed or began to stop; INT64_MAX while it serves.  */
  struct galena_clock stopped_at;
  /* Time limit of a planned stop, after which the node is killed; INT64_MAX
     when no stop is in progress.  */
  struct galena_clock stop_limit;
  /* Whether the node is started again after its planned stop.  */
  bool replace;
  /* Whether the node cannot read the platform.  */
  bool cut_from_platform;
  /* Set to -1 at each start, otherwise not used.  */
  struct galena_clock read_at;
  /* When the node last started, resumed from a freeze, or changed its
     group.  */
  struct galena_clock reachable_at;
  /* Since when the node's upstream is published as leaving; INT64_MAX if it
     is not.  */
  struct galena_clock leaving_at;
  /* Value of the counter of accepted flows at the last check.  */
  uint64_t accepted_seen;
  /* Generation of each service's record at the last check.  */
  uint64_t generations_seen[FLEET_SERVICES_MAX];
  /* Number of times that the node was started.  */
  uint32_t start_count;
  /* Index of the agent's service.  */
  uint32_t service;
  struct fleet_upstream upstream;
};

/* Properties of the network between nodes; shares are in [0, 1].  */
struct fleet_network
{
  uint32_t delay_ms;
  /* Upper bound of a random delay that is added to DELAY_MS.  */
  uint32_t jitter_ms;
  /* Shares of packets that are lost and that arrive twice.  */
  double drop;
  double duplicate;
  /* Share of packets that are delayed by a further REORDER_MS.  */
  double reorder;
  uint32_t reorder_ms;
};

/* A stream of similar requests, sent at a given rate.  */
struct fleet_load
{
  char name[GALENA_NAME_BYTES];
  /* Index of the service and number of its kind.  */
  uint32_t service;
  uint16_t kind;
  /* Requests per second.  */
  double rate;
  /* Number of sequential requests on a flow, which is then closed.  */
  uint32_t flow_requests;
  /* Think time between the requests of one flow.  */
  uint32_t think_ms;
  uint32_t body_bytes;
  uint32_t answer_bytes;
  /* Run time on an upstream of speed 1.  */
  uint32_t work_ms;
  uint32_t deadline_ms;
  bool idempotent;
  bool endless;
  /* Whether the tags of its flows carry no upstream number.  */
  bool unrouted;
  /* Time after which the caller ends an endless request.  */
  uint32_t lasts_ms;
  /* Flows are opened from FROM on and before UNTIL.  */
  struct galena_clock from;
  struct galena_clock until;
  /* Index of the caller node that sends it.  */
  uint32_t caller;

  /* Requests by outcome.  */
  uint64_t sent, answered, refused, unknown;
  /* Answers that differ from what the upstream sent for the request.  */
  uint64_t wrong;
  /* Longest time that an endless answer took until its first data, and
     between two pieces of data after that.  */
  uint32_t first_ms;
  uint32_t gap_ms;
  /* Latencies of answered requests in milliseconds, as uint32_t.  */
  GArray *latencies;
  /* Flows, with a fraction, that the rate has made due and that have not been
     opened.  */
  double flows_due;
};

/* One request of a load and its executions; the row is kept after the request
   has ended.  */
struct fleet_job
{
  uint32_t load;
  struct galena_flow_handle flow;
  /* When it was submitted; after its end, when the next request of the flow
     is due.  */
  struct galena_clock sent_at;
  struct galena_clock submitted_at;
  /* Requests that are still to come on the flow after this one.  */
  uint32_t left_on_flow;
  /* When the last data of the answer arrived; the submission before that.  */
  struct galena_clock last_data_at;
  /* Number of executions, and of those at an upstream of another service.  */
  uint32_t executed;
  uint32_t misrouted;
  /* Bytes of the answer received so far, and whether one of them differed
     from fleet_answer_byte.  */
  uint64_t answer_received;
  bool wrong;
  bool ended;
  enum galena_result result;
};

struct fleet_options
{
  uint64_t seed;
  struct fleet_network network;
  /* Names of policies; NULL for the default.  */
  const char *choice;
  const char *admission;
  /* Time until a node can read what the platform has published.  */
  uint32_t platform_lag_ms;
  /* Whether nodes get records through a galena_sync, as processes do; if not,
     they read the platform directly every millisecond.  */
  bool synced;
  /* Time until the fabric stops sending to an entry that has stopped.  */
  uint32_t fabric_lag_ms;
};

/* A published version of a service's record.  Versions are immutable.  */
struct fleet_version
{
  uint32_t service;
  struct galena_clock at;
  struct galena_service_record record;
};

/* A blocked path: packets between two nodes from or to the ports that were in
   use when the path was blocked are lost; packets on new ports pass.  */
struct fleet_blocked_path
{
  /* Index of each node, or FLEET_ANY_ENTRY.  */
  uint32_t nodes[2];
  /* Highest blocked port of each node.  */
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
  /* All published versions, as struct fleet_version, in order of
     publication.  */
  GArray *versions;
  bool platform_down;
  /* The syncs of the nodes, by their index; NULL when not synced.  */
  struct sync_fleet *sync_fleet;
  struct fleet_load loads[FLEET_LOADS_MAX];
  uint32_t load_count;
  /* All jobs so far, as struct fleet_job; the index is the job's number.  */
  GArray *jobs;
  /* Numbers (uint32_t) of ended jobs whose flow sends its next request after
     the think time.  */
  GArray *waiting_jobs;
  /* Timing wheel of the packets in transit, as struct packet: the slot is the
     arrival time modulo FLEET_WHEEL_MS.  */
  GArray **wheel;
  /* Runs in progress on all upstreams, as struct run.  */
  GArray *runs;
  /* Highest source port that each node has used towards each other node and
     towards the fabric (FLEET_ANY_ENTRY); 0 when it has sent nothing.  */
  uint16_t *ports;
  /* As struct fleet_blocked_path.  */
  GArray *blocked_paths;
  /* Numbers (uint32_t) of endless jobs in progress.  */
  GArray *endless_jobs;
  /* Longest time that a reachable node had an older record than the newest
     one published.  */
  uint32_t force_ms;
  /* Longest time from the publication of an upstream as leaving to a new flow
     that it accepted.  */
  uint32_t new_work_ms;
  /* Number of times that a node's record was replaced by an older one.  */
  uint32_t reverts;
};

/* Creates a fleet without nodes.  The caller frees it with fleet_destroy.  */
struct fleet *fleet_create (const struct fleet_options *options);
void fleet_destroy (struct fleet *fleet);

/* Adds a service with COUNT KINDS and returns its index.  Its record is not
   published until fleet_publish.  */
uint32_t fleet_add_service (struct fleet *fleet, const char *name,
                            const struct galena_kind *kinds, uint32_t count);

/* Each adds a node, starts it and returns its index.  An agent's upstream is
   published with the next fleet_publish of its service.  */
uint32_t fleet_add_entry (struct fleet *fleet, const char *zone);
uint32_t fleet_add_agent (struct fleet *fleet, const char *zone,
                          uint32_t service,
                          const struct fleet_upstream *upstream,
                          uint32_t connections);
uint32_t fleet_add_caller (struct fleet *fleet);

/* Returns the row of agent NODE's upstream in the record of its service, or
   NULL if it has none.  Changes to the row take effect with the next
   fleet_publish.  */
struct galena_upstream *fleet_upstream_row (struct fleet *fleet,
                                            uint32_t node);

/* Sets the address of SERVICE to number NUMBER, from 1, of the service
   addresses, with effect from the next fleet_publish.  The Nth service starts
   with address N.  */
void fleet_set_address (struct fleet *fleet, uint32_t service,
                        uint32_t number);

/* Marks a node as leaving, or as live, in the platform's list of instances.
   Does nothing when the nodes have no sync.  */
void fleet_set_listed_leaving (struct fleet *fleet, uint32_t node,
                               bool leaving);

/* Publishes the record of SERVICE with the next generation.  */
void fleet_publish (struct fleet *fleet, uint32_t service);

/* Adds a copy of LOAD and returns it; its counters are updated during the run.
   FLOW_REQUESTS of 0 means 1.  */
struct fleet_load *fleet_add_load (struct fleet *fleet,
                                   const struct fleet_load *load);

/* Runs until the virtual time UNTIL_MS.  */
void fleet_run (struct fleet *fleet, int64_t until_ms);

/* Kills a node without a shutdown, and starts it as a new process.  */
void fleet_kill (struct fleet *fleet, uint32_t node);
void fleet_start (struct fleet *fleet, uint32_t node);

/* Begins a graceful shutdown of a node, which is killed after LIMIT_MS if it
   has not finished.  Starts the node again afterwards if REPLACE.  */
void fleet_stop (struct fleet *fleet, uint32_t node, uint32_t limit_ms,
                 bool replace);

/* Pauses a node for LENGTH_MS: it does not tick, and packets to it wait in its
   inbox.  */
void fleet_freeze (struct fleet *fleet, uint32_t node, uint32_t length_ms);

/* Moves a node to the network partition GROUP: packets pass only within a
   group.  A node in a group other than 0 cannot read the platform.  */
void fleet_cut (struct fleet *fleet, uint32_t node, uint32_t group);

/* Drops from now on all packets on the ports in use between FROM and TO; TO
   may be FLEET_ANY_ENTRY.  */
void fleet_block_path (struct fleet *fleet, uint32_t from, uint32_t to);

/* Returns the index of the node named NAME, or -1.  Nodes of a kind are
   numbered in the order of their creation: entry-1, entry-2, agent-1,
   caller-1.  */
int fleet_find (const struct fleet *fleet, const char *name);

/* Totals over all jobs and nodes, which scenarios and measurements check.  */
struct fleet_totals
{
  uint64_t sent, answered, refused, unknown;
  /* Non-idempotent requests that were executed more than once.  */
  uint64_t doubled;
  /* Executions at an upstream of another service.  */
  uint64_t misrouted;
  /* Requests that were refused although they had been executed.  */
  uint64_t false_refusals;
  /* Answers with wrong content.  */
  uint64_t wrong;
  /* Flows that callers had to reopen.  */
  uint64_t broken;
  /* Flows that callers moved from a leaving upstream.  */
  uint64_t moved;
  /* Jobs that have not ended.  */
  uint64_t open;
  /* Rows in use in the tables of all running nodes.  */
  uint64_t rows;
  /* Slot time per slot of the busiest upstream, divided by the mean of all
     upstreams.  */
  double imbalance;
};

/* Returns the share, from 0 to 1, of LOAD's requests submitted from FROM on
   and before UNTIL that were answered; 1 when there were none.  */
double fleet_answered_share (const struct fleet *fleet,
                             const struct fleet_load *load,
                             struct galena_clock from,
                             struct galena_clock until);

/* Fills TOTALS.  */
void fleet_totals (const struct fleet *fleet, struct fleet_totals *totals);

/* Returns the quantile SHARE, from 0 to 1, of the latency of LOAD's answers in
   milliseconds; 0 when there are none.  */
uint32_t fleet_latency (struct fleet_load *load, double share);

#endif
