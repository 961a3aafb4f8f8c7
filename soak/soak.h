/* The soak: a fault-injection test.  It runs galenaford entries and agents as
   separate processes on loopback, simulates the callers, the upstreams and the
   platform, and injects faults while it checks the guarantees in struct
   report.

   Entities are rows in tables; systems run over the tables each tick.  */

#ifndef GALENAFORD_SOAK_H
#define GALENAFORD_SOAK_H

#include <netinet/in.h>
#include <poll.h>
#include <sys/types.h>

#include <galenaford/clock.h>
#include <galenaford/packet.h>
#include <galenaford/random.h>
#include <galenaford/reads.h>

#include "store.h"

enum
{
  ENTRIES_MAX = 64,
  HOSTS_MAX = 192,
  CHILDREN_MAX = ENTRIES_MAX + HOSTS_MAX,
  CALLERS_MAX = 512,
  ROUTES_MAX = 8,
  SERVICES = 2,
  ZONES = 3,
  /* Size of the name of a zone.  */
  ZONE_BYTES = 16,
  HOST_FLOWS_MAX = 512,
  EXECUTED_REQUESTS_MAX = 65536,
  FAULTS_MAX = 32,
  /* Number of planned faults in the calm period, included in FAULTS_MAX.  */
  CALM_FAULTS = 4,
  /* Maximum number of times that the store is restored from its copy, beside
     the other faults.  */
  RESTORES_MAX = 2,
  /* Number of times that another writer puts entries into the store, beside
     the other faults.  */
  OTHER_WRITES = 3,
  /* Number of evacuations of a zone: one beside the other faults, one in the
     calm period.  */
  EVACUATIONS = 2,
  /* Number of faults on seeds with load control, beside the other ones.  */
  LOAD_FAULTS = 2,
  /* A drained upstream and a burst in the calm period on seeds with
     warm-up.  */
  WARM_UP_FAULTS = 2,
  DELAYED_PACKETS_MAX = 1024,
  RELAY_CONNECTIONS_MAX = 512,
  PATH_BYTES = 256,
  PACKET_BYTES_MAX = 1232,
  /* Ports, the same on each address.  */
  PORT_PACKETS = 7101,
  PORT_STATUS = 7102,
  PORT_OUTBOUND = 7103,
  PORT_HOST = 7104,
  PORT_PEERS = 7105,
  PORT_STORE = 7106,
  PORT_RELAY = 7107,
  /* Time after which a change of the configuration must be in effect.  */
  CONFIG_BOUND_MS = 3000,
  /* Time after which a draining upstream must get no new flows.  */
  DRAIN_BOUND_MS = 3000,
  /* Time after which upstreams of an evacuated zone must get no new flows.  */
  EVACUATION_BOUND_MS = 5000,
  /* Planned work may not cut open flows: a reset of one is a violation if
     there was no unplanned fault for this long.  */
  STABLE_MS = 4000,
  /* Warm-up of an upstream, and the new flows that one may get in a second
     meanwhile: 1 published, times the overrun of 1.5, plus the slack of 5.  */
  WARM_UP_MS = 3000,
  WARM_UP_PER_S = 1,
  WARM_UP_SLACK = 5,
  WARM_UP_FLOWS_MAX = 6,
  /* Time for recovery in the calm period.  */
  RECOVERY_MS = 12000,
  /* Limit of the resident memory of a process, in KiB.  */
  MEMORY_BOUND_KB = 60 * 1024,
  /* Limit of a graceful shutdown in the settings of the processes.  */
  STOP_LIMIT_MS = 1600,
  /* Allowance beyond the limit for a busy machine.  */
  STOP_SLACK_MS = 4000
};

struct soak_options
{
  uint64_t seed;
  uint32_t entries;
  uint32_t hosts;
  uint32_t callers;
  uint32_t faults;
  /* Length of the period with faults, and of the calm period after it, in
     which recovery is checked and only planned work happens.  */
  uint32_t faults_ms;
  uint32_t calm_ms;
  /* Whether the processes have load_control set and routes have kinds of
     work.  */
  bool load_control;
  /* Whether upstreams warm up and services limit new flows meanwhile.  */
  bool warm_up;
  /* Path of galenaford, and a folder for its settings and logs.  */
  const char *program;
  const char *folder;
};

/* A galenaford process.  */
struct child
{
  /* Entry or agent.  */
  bool entry;
  /* Index of the entry, or of the host that the agent serves.  */
  uint32_t index;
  /* 0 while no process runs.  */
  pid_t pid;
  struct galena_clock started;
  bool paused;
  /* Was sent SIGTERM, and must exit before end_by.  */
  bool ending;
  struct galena_clock end_by;
  /* When it is restarted; ms 0 for never.  */
  struct galena_clock start_at;
  /* When a fault last affected it.  */
  struct galena_clock last_fault;
};

enum host_flow_state
{
  HOST_FLOW_FREE,
  HOST_FLOW_OPENING,
  HOST_FLOW_OPEN
};

struct host_flow
{
  enum host_flow_state state;
  struct galena_flow_key key;
  /* Sequence number of the first unacknowledged byte.  */
  uint32_t sequence;
  /* Sequence number at which the next data of the caller begins.  */
  uint32_t next_expected;
  /* Request in progress; 0 for none.  */
  uint64_t request;
  struct galena_clock answer_at;
  /* Bytes of the answer, from sequence on, that are not acknowledged.  */
  uint32_t unacknowledged;
  struct galena_clock resend_at;
  uint32_t interval_ms;
};

/* What an upstream does with a share of its requests.  */
enum host_failure
{
  HOST_FAILS_NONE,
  /* Never answers.  */
  HOST_HANGS,
  /* Resets the flow and does not run the request.  */
  HOST_SHEDS
};

/* A simulated upstream behind an agent of its own.  */
struct host
{
  int fd;
  uint32_t service;
  /* Incremented at each start; part of the published key.  */
  uint32_t incarnation;
  uint64_t started_unix_ms;
  /* Incremented each time that its record is written; 0 at each start.  */
  uint32_t sequence;
  /* When its record was last written or removed.  */
  struct galena_clock written_at;
  bool up;
  bool published;
  bool draining;
  enum host_failure failure;
  /* When draining began.  */
  struct galena_clock drained_since;
  /* When it has warmed up.  */
  struct galena_clock warm_at;
  /* Times of its last new flows, at the index of their number modulo
     WARM_UP_FLOWS_MAX.  */
  struct galena_clock opened_at[WARM_UP_FLOWS_MAX];
  uint32_t opened_flows;
  /* When it is restarted; ms 0 for never.  */
  struct galena_clock start_at;
  /* When a fault last affected it.  */
  struct galena_clock last_fault;
  struct host_flow flows[HOST_FLOWS_MAX];
};

enum caller_state
{
  CALLER_IDLE,
  CALLER_OPENING,
  CALLER_WAITING
};

struct caller
{
  int fd;
  enum caller_state state;
  uint16_t port;
  uint32_t route;
  /* Has an open flow.  */
  bool open;
  /* Opens a new flow for each request.  Such requests are not idempotent and
     may run at most once.  */
  bool flow_per_request;
  /* Whether the next flow is opened from the port of this one.  */
  bool reuses_port;
  /* Copies of the opening packet sent for the current flow.  */
  uint32_t opens_sent;
  /* Flows that failed for the current request.  */
  uint32_t attempts;
  /* Whether a missing answer counts as a failure: only when the route was
     published, for long enough, when the request began.  */
  bool answer_expected;
  uint32_t sequence;
  uint32_t acknowledged;
  /* Number of the current request.  */
  uint64_t request;
  /* Bytes of the answer.  */
  uint32_t received;
  struct galena_clock request_started;
  struct galena_clock open_started;
  /* When the caller sends, resends or gives up next.  */
  struct galena_clock due;
  /* Current interval of retransmissions.  */
  uint32_t interval_ms;
};

/* An address that leads to a service.  The first service has two: a fault
   drops and restores the second one.  */
struct route
{
  bool used;
  uint32_t service;
  /* Left out of the published configuration.  */
  bool dropped;
  /* When dropped last changed, and last became true.  */
  struct galena_clock changed;
  struct galena_clock dropped_at;
};

/* An availability zone.  */
struct zone
{
  /* Evacuations in force; its key stands in the store while there is one.  */
  uint32_t evacuations;
  /* When the key was last written or removed.  */
  struct galena_clock written_at;
};

/* A relayed TCP connection from an entry to the store: the accepted socket and
   the one connected to the store.  */
struct relay_connection
{
  bool used;
  uint32_t entry;
  int entry_fd;
  int store_fd;
};

enum relay_fault
{
  RELAY_NONE,
  RELAY_DELAY,
  RELAY_RESET,
  RELAY_ONE_WAY,
  RELAY_SILENT
};

struct relay
{
  int fd;
  enum relay_fault fault;
};

/* Result of the health checks of one entry.  */
struct rotation
{
  bool in_rotation;
  /* In succession.  */
  uint32_t failed_probes;
};

/* A packet held back until due.  */
struct delayed_packet
{
  bool used;
  int fd;
  struct galena_endpoint to;
  struct galena_clock due;
  uint32_t size;
  uint8_t bytes[PACKET_BYTES_MAX];
};

struct report
{
  uint32_t requests;
  uint32_t answered;
  uint32_t failed;
  /* Requests that began near the end of the calm period, by which recovery is
     checked; and how many of them were answered.  */
  uint32_t recovery_requests;
  uint32_t recovery_answered;
  uint32_t faults;
  /* Violations of guarantees, one counter for each guarantee.  */
  /* Requests that may run at most once and ran twice.  */
  uint32_t doubled;
  /* Flows opened at an upstream of another service.  */
  uint32_t misrouted;
  /* Packets whose contents were changed on the way, and packets that accept a
     flow but reached an upstream.  */
  uint32_t corrupted;
  /* Packets of an answer to another request or out of order.  */
  uint32_t wrong_answers;
  /* Open flows that were reset although their upstream is up and, for
     STABLE_MS, no fault affected it and no unplanned fault was active
     anywhere.  */
  uint32_t cut;
  /* Flows opened at an upstream that was draining.  */
  uint32_t opened_while_draining;
  /* Flows opened at an upstream of an evacuated zone.  */
  uint32_t evacuated;
  /* Flows beyond those that an upstream may get while it warms up.  */
  uint32_t warm_up;
  /* Flows opened on a route that was dropped.  */
  uint32_t stale;
  /* Processes that exited unasked, uncleanly or too late.  */
  uint32_t exits;
  /* Processes that exceeded MEMORY_BOUND_KB.  */
  uint32_t memory;
  /* 1 if too few requests were answered near the end of the calm period.  */
  uint32_t unrecovered;
};

struct soak;

/* A kind of fault; lasts min_ms to max_ms.  */
struct fault_kind
{
  const char *name;
  /* Whether it is planned work, such as a graceful shutdown, which must not
     cut open flows.  */
  bool planned;
  uint32_t min_ms;
  uint32_t max_ms;
  void (*begin) (struct soak *soak, uint32_t target);
  /* NULL when the fault needs no end.  */
  void (*end) (struct soak *soak, uint32_t target);
};

/* A scheduled fault.  */
struct fault
{
  const struct fault_kind *kind;
  /* Random number, which selects the entry or host that is affected.  */
  uint32_t target;
  struct galena_clock at;
  struct galena_clock until;
  bool begun;
  bool ended;
};

struct soak
{
  struct soak_options options;
  struct galena_clock now;
  struct galena_clock started;
  struct galena_random random;
  /* The run uses addresses in 127.NET.0.0/16.  */
  uint32_t net;
  /* Socket that reserves the net for this run.  */
  int net_lock;
  uint64_t next_request;
  /* Last time at which an unplanned fault was active.  */
  struct galena_clock last_fault;
  /* One in this many packets of callers and upstreams is lost; 0 for none.  */
  uint32_t loss_one_in;
  /* One in this many is delayed; 0 for none.  */
  uint32_t delay_one_in;
  /* The route whose callers pause only after failures, while BURSTS are
     active.  */
  uint32_t burst_route;
  uint32_t bursts;
  struct delayed_packet delayed_packets[DELAYED_PACKETS_MAX];
  struct child children[CHILDREN_MAX];
  struct host hosts[HOSTS_MAX];
  struct caller callers[CALLERS_MAX];
  struct route routes[ROUTES_MAX];
  struct zone zones[ZONES];
  struct rotation rotations[ENTRIES_MAX];
  struct relay relays[ENTRIES_MAX];
  struct relay_connection connections[RELAY_CONNECTIONS_MAX];
  uint32_t fault_count;
  struct fault faults[FAULTS_MAX + RESTORES_MAX + OTHER_WRITES + EVACUATIONS
                      + LOAD_FAULTS + WARM_UP_FAULTS];
  /* When the next health checks of entries are sent.  */
  struct galena_clock probe_at;
  /* Health checks in progress.  */
  struct galena_reads *probes;
  struct store *store;
  /* Version of the configuration.  */
  uint32_t config_version;
  /* When the store was copied, and when the records that were written since
     then are written to the restored store again; ms 0 for never.  */
  struct galena_clock copied_at;
  struct galena_clock publish_again_at;
  /* Numbers of executed requests that may run at most once, at the index
     number modulo EXECUTED_REQUESTS_MAX.  */
  uint64_t executed_requests[EXECUTED_REQUESTS_MAX];
  struct report report;
};

/* A system, which runs over its tables each tick.  */
struct soak_system
{
  const char *name;
  void (*run) (struct soak *soak);
};

/* fleet.c: the galenaford processes */
bool fleet_create (struct soak *soak);
void fleet_destroy (struct soak *soak);
void fleet_run (struct soak *soak);
/* Sends SIGKILL.  */
void fleet_kill (struct soak *soak, struct child *child);
/* Sends SIGTERM and expects a clean exit.  */
void fleet_end (struct soak *soak, struct child *child);
/* Sends SIGSTOP or SIGCONT.  */
void fleet_pause (struct soak *soak, struct child *child, bool paused);
void fleet_write_settings (struct soak *soak, const struct child *child);
struct child *fleet_entry (struct soak *soak, uint32_t index);
struct child *fleet_agent (struct soak *soak, uint32_t index);

/* hosts.c: the simulated upstreams */
bool hosts_create (struct soak *soak);
void hosts_destroy (struct soak *soak);
void hosts_run (struct soak *soak);
void hosts_receive (struct soak *soak, uint32_t index);
void hosts_start (struct soak *soak, uint32_t index);
void hosts_crash (struct soak *soak, uint32_t index);
/* Returns the zone of host INDEX: each service has hosts in all zones.  */
uint32_t hosts_zone (uint32_t index);
/* Returns whether all upstreams of SERVICE that are up leave, are in evacuated
   zones or warm up, so that new flows may be refused.  */
bool hosts_may_refuse (const struct soak *soak, uint32_t service);
/* Stores the host that has the flow KEY open in *INDEX; returns false if none
   has.  */
bool hosts_find_flow (struct soak *soak, struct galena_flow_key key,
                      uint32_t *index);
/* Makes the hosts discard the flow KEY without a packet.  */
void hosts_discard_flow (struct soak *soak, struct galena_flow_key key);

/* callers.c: the simulated callers */
bool callers_create (struct soak *soak);
void callers_destroy (struct soak *soak);
void callers_run (struct soak *soak);
void callers_receive (struct soak *soak, uint32_t index);

/* rotation.c: health checks of entries, and the choice of an entry */
void rotation_run (struct soak *soak);
/* Returns the index of the entry that a packet of KEY goes to, or -1 if there
   is no entry.  */
int rotation_entry (const struct soak *soak, struct galena_flow_key key);

/* relay.c: the TCP relays between the entries and the store */
bool relay_create (struct soak *soak);
void relay_destroy (struct soak *soak);
/* Writes the relay's descriptors to FDS; returns how many.  */
uint32_t relay_poll (const struct soak *soak, struct pollfd *fds);
/* Accepts connections and forwards data for the COUNT descriptors in FDS,
   which relay_poll filled.  */
void relay_move (struct soak *soak, const struct pollfd *fds, uint32_t count);
/* Resets the connections of ENTRY.  */
void relay_reset (struct soak *soak, uint32_t entry);

/* publish.c: writes to the store by the operator and the upstreams */
void publish_config (struct soak *soak);
void publish_host (struct soak *soak, uint32_t index);
/* Writes or removes the operator's key that evacuates ZONE.  */
void publish_evacuation (struct soak *soak, uint32_t zone);
/* Writes entries of another writer that share the instance of host INDEX, or
   removes them.  */
void publish_others (struct soak *soak, uint32_t index);
void remove_others (struct soak *soak, uint32_t index);
/* System: writes what a restored store has lost again, after some time.  */
void publish_run (struct soak *soak);

/* faults.c: the schedule of faults, drawn at random from the seed */
void faults_schedule (struct soak *soak);
void faults_run (struct soak *soak);

/* wire.c: packets of callers and upstreams */
enum
{
  REQUEST_BYTES = 16,
  ANSWER_BYTES = 600,
  ANSWER_PACKETS = 3,
  /* Each packet of an answer is filled with the number of its request modulo
     this, which the caller checks.  */
  FILL_MODULUS = 251
};
struct galena_endpoint net_entry (const struct soak *soak, uint32_t index,
                                  uint16_t port);
struct galena_endpoint net_host (const struct soak *soak, uint32_t index,
                                 uint16_t port);
struct galena_endpoint net_caller (const struct soak *soak, uint32_t index,
                                   uint16_t port);
struct galena_endpoint net_route (uint32_t index);
struct sockaddr_in net_sockaddr (struct galena_endpoint endpoint);
int net_socket (struct galena_endpoint address);
/* Reserves the net of SOAK against other runs on this machine.  Returns a
   socket that holds it, or -1 if another run has it.  */
int net_reserve (const struct soak *soak);
/* Writes the name of ZONE, of at most ZONE_BYTES.  */
void net_format_zone (uint32_t zone, char *text);
/* Writes ADDRESS as A.B.C.D:PORT.  */
void net_format (struct galena_endpoint address, char *text, size_t size);
/* Sends a packet, unless the current faults lose or delay it.  */
void net_send (struct soak *soak, int fd, struct galena_endpoint to,
               const uint8_t *bytes, uint32_t size);
/* System: sends delayed packets that are due.  */
void net_run_delayed (struct soak *soak);
/* Encodes PACKET with SIZE bytes of DATA into BYTES; returns the size of the
   packet.  */
uint32_t wire_encode (const struct galena_packet *packet, const uint8_t *data,
                      uint32_t size, uint8_t *bytes);
/* Receives one packet; returns false if there is none or it is malformed.
 *CORRUPTED is set to whether its contents were changed on the way.  */
bool wire_receive (int fd, uint8_t *bytes, struct galena_packet *packet,
                   bool *corrupted);
void wire_encode_number (uint8_t *bytes, uint64_t number);
uint64_t wire_decode_number (const uint8_t *bytes);

/* Returns whether no unplanned fault was active in the last BOUND_MS.  */
bool soak_is_fault_free (const struct soak *soak, uint32_t bound_ms);

#endif
