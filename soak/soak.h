/* The fault soak: the real programs as separate processes on loopback, between
   callers, upstreams and a platform that are made up here, while faults come
   from outside.

   Everything is a row in a table; systems run over the tables each tick.  */

#ifndef GALENAFORD_SOAK_H
#define GALENAFORD_SOAK_H

#include <netinet/in.h>
#include <poll.h>
#include <sys/types.h>

#include <galenaford/clock.h>
#include <galenaford/packet.h>
#include <galenaford/random.h>
#include <galenaford/reads.h>

enum
{
  ENTRIES_MAX = 64,
  HOSTS_MAX = 192,
  CHILDREN_MAX = ENTRIES_MAX + HOSTS_MAX,
  CALLERS_MAX = 512,
  ROUTES_MAX = 8,
  SERVICES = 2,
  HOST_FLOWS_MAX = 512,
  RUNS_MAX = 65536,
  FAULTS_MAX = 32,
  LATE_PACKETS_MAX = 1024,
  RELAY_CONNECTIONS_MAX = 512,
  PATH_BYTES = 256,
  PACKET_BYTES_MAX = 1232,
  /* Ports, the same at each address.  */
  PORT_PACKETS = 7101,
  PORT_STATUS = 7102,
  PORT_OUTBOUND = 7103,
  PORT_HOST = 7104,
  PORT_PEERS = 7105,
  PORT_STORE = 7106,
  PORT_RELAY = 7107,
  /* Bounds of the promises that are checked.  */
  CONFIG_BOUND_MS = 3000,
  DRAIN_BOUND_MS = 3000,
  STABLE_MS = 4000,
  RECOVERY_MS = 12000,
  MEMORY_BOUND_KB = 60 * 1024,
  STOP_LIMIT_MS = 1600,
  /* Beyond the limit, for a machine that is busy.  */
  STOP_SLACK_MS = 4000
};

struct soak_options
{
  uint64_t seed;
  uint32_t entries;
  uint32_t hosts;
  uint32_t callers;
  uint32_t faults;
  /* Milliseconds with faults, and without, in which promises with a bound in
     time are checked.  */
  uint32_t faults_ms;
  uint32_t calm_ms;
  /* Program that is run, and a folder for its settings and logs.  */
  const char *program;
  const char *folder;
};

/* One process of the product.  */
struct child
{
  bool entry;
  /* Entry or host that it stands for.  */
  uint32_t index;
  pid_t pid;
  struct galena_clock started;
  bool paused;
  /* Asked to end, and by when it must have.  */
  bool ending;
  struct galena_clock end_by;
  /* When it is started next; ms 0 for never.  */
  struct galena_clock start_at;
  /* When a fault touched it last.  */
  struct galena_clock disturbed;
};

enum host_flow_state
{
  HOST_FLOW_FREE,
  HOST_FLOW_HALF,
  HOST_FLOW_OPEN
};

struct host_flow
{
  enum host_flow_state state;
  struct galena_flow_key key;
  uint32_t sequence;
  uint32_t caller_next;
  /* Request in progress; 0 for none.  */
  uint64_t request;
  struct galena_clock answer_at;
  /* Answer under way: bytes from SEQUENCE on that are not acknowledged.  */
  uint32_t unacknowledged;
  struct galena_clock resend_at;
  uint32_t interval_ms;
};

/* An upstream: what listens beside an agent.  */
struct host
{
  int fd;
  uint32_t service;
  /* Rises with each start; the published name holds it.  */
  uint32_t life;
  uint64_t born_ms;
  bool up;
  bool listed;
  bool draining;
  struct galena_clock drained_since;
  struct galena_clock start_at;
  struct galena_clock disturbed;
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
  bool open;
  /* Opens a flow for each request; such requests run at most once.  */
  bool fresh;
  uint32_t copies;
  uint32_t tries;
  /* Whether an answer is owed: the route is published.  */
  bool owed;
  uint32_t sequence;
  uint32_t acknowledged;
  uint64_t request;
  uint32_t received;
  struct galena_clock began;
  struct galena_clock opened;
  struct galena_clock due;
  uint32_t interval_ms;
};

struct route
{
  bool used;
  uint32_t service;
  bool dropped;
  struct galena_clock changed;
};

/* A TCP connection between an entry and the store.  */
struct relay_connection
{
  bool used;
  uint32_t entry;
  int near;
  int far;
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

struct rotation
{
  bool in;
  uint32_t misses;
};

/* A packet that is late.  */
struct late_packet
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
  /* In the last part of the calm.  */
  uint32_t late_requests;
  uint32_t late_answered;
  uint32_t faults;
  /* Broken promises.  */
  uint32_t doubled;
  uint32_t misrouted;
  uint32_t forged;
  uint32_t mixed;
  uint32_t cut;
  uint32_t drained;
  uint32_t stale;
  uint32_t exits;
  uint32_t memory;
  uint32_t unrecovered;
};

struct soak;
struct store;

/* A kind of fault.  */
struct fault_kind
{
  const char *name;
  /* Whether it is planned work, which may not cut a flow.  */
  bool planned;
  uint32_t min_ms;
  uint32_t max_ms;
  void (*begin) (struct soak *soak, uint32_t target);
  /* NULL when it ends by itself.  */
  void (*end) (struct soak *soak, uint32_t target);
};

struct fault
{
  const struct fault_kind *kind;
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
  uint32_t net;
  /* Held while the run uses the addresses of its net.  */
  int guard;
  uint64_t next_request;
  /* When a fault that is not planned last began or ended.  */
  struct galena_clock disturbed;
  /* One in so many packets of callers and hosts is lost; 0 for none.  */
  uint32_t loss;
  /* One in so many is late; 0 for none.  */
  uint32_t late;
  struct late_packet late_packets[LATE_PACKETS_MAX];
  struct child children[CHILDREN_MAX];
  struct host hosts[HOSTS_MAX];
  struct caller callers[CALLERS_MAX];
  struct route routes[ROUTES_MAX];
  struct rotation rotations[ENTRIES_MAX];
  struct relay relays[ENTRIES_MAX];
  struct relay_connection connections[RELAY_CONNECTIONS_MAX];
  uint32_t fault_count;
  struct fault faults[FAULTS_MAX];
  struct galena_clock probe_at;
  struct galena_reads *reads;
  struct store *store;
  /* Requests that ran, by number modulo RUNS_MAX: unsafe ones only.  */
  uint64_t runs[RUNS_MAX];
  struct report report;
};

/* A system: runs over its tables once a tick.  */
struct soak_system
{
  const char *name;
  void (*run) (struct soak *soak);
};

/* fleet.c: processes of the product */
bool fleet_create (struct soak *soak);
void fleet_destroy (struct soak *soak);
void fleet_run (struct soak *soak);
void fleet_kill (struct soak *soak, struct child *child);
void fleet_end (struct soak *soak, struct child *child);
void fleet_pause (struct soak *soak, struct child *child, bool paused);
void fleet_write_settings (struct soak *soak, const struct child *child);
struct child *fleet_entry (struct soak *soak, uint32_t index);
struct child *fleet_agent (struct soak *soak, uint32_t index);

/* hosts.c */
bool hosts_create (struct soak *soak);
void hosts_destroy (struct soak *soak);
void hosts_run (struct soak *soak);
void hosts_receive (struct soak *soak, uint32_t index);
void hosts_start (struct soak *soak, uint32_t index);
void hosts_crash (struct soak *soak, uint32_t index);
bool hosts_hold (struct soak *soak, struct galena_flow_key key,
                 uint32_t *index);

/* callers.c */
bool callers_create (struct soak *soak);
void callers_destroy (struct soak *soak);
void callers_run (struct soak *soak);
void callers_receive (struct soak *soak, uint32_t index);

/* rotation.c */
void rotation_run (struct soak *soak);
/* Returns the entry that a packet of KEY goes to, or -1.  */
int rotation_entry (const struct soak *soak, struct galena_flow_key key);

/* relay.c */
bool relay_create (struct soak *soak);
void relay_destroy (struct soak *soak);
/* Adds the relay's descriptors; returns how many.  */
uint32_t relay_poll (const struct soak *soak, struct pollfd *fds);
void relay_move (struct soak *soak, const struct pollfd *fds, uint32_t count);
void relay_reset (struct soak *soak, uint32_t entry);

/* store.c: a stand-in for the platform's store on a thread of its own */
struct store_faults
{
  bool down;
  uint32_t slow_ms;
};
bool store_create (uint32_t ip, struct store **out);
void store_destroy (struct store *store);
void store_put (struct store *store, const char *key, const char *value);
void store_remove (struct store *store, const char *key);
void store_forget (struct store *store);
void store_set_faults (struct store *store, struct store_faults faults);

/* publish.c: what the operator and the upstreams write */
void publish_config (struct soak *soak);
void publish_host (struct soak *soak, uint32_t index);

/* faults.c */
void faults_plan (struct soak *soak);
void faults_run (struct soak *soak);

/* wire.c: packets of callers and upstreams */
enum
{
  REQUEST_BYTES = 16,
  ANSWER_BYTES = 600,
  ANSWER_PACKETS = 3
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
/* Returns a socket that keeps the net of SOAK from other runs, or -1 when one
   of these has it.  */
int net_guard (const struct soak *soak);
void net_text (struct galena_endpoint address, char *text, size_t size);
void net_send (struct soak *soak, int fd, struct galena_endpoint to,
               const uint8_t *bytes, uint32_t size);
/* System: sends late packets whose time has come.  */
void net_run_late (struct soak *soak);
/* Writes PACKET with SIZE bytes of DATA to BYTES; returns the packet's size.
 */
uint32_t wire_write (const struct galena_packet *packet, const uint8_t *data,
                     uint32_t size, uint8_t *bytes);
/* Receives one packet; false when there is none or it is not one.  *FORGED
   tells whether its contents were changed on the way.  */
bool wire_receive (int fd, uint8_t *bytes, struct galena_packet *packet,
                   bool *forged);
void wire_write_number (uint8_t *bytes, uint64_t number);
uint64_t wire_read_number (const uint8_t *bytes);

/* Tells whether no fault that is not planned was near for BOUND_MS.  */
bool soak_is_calm (const struct soak *soak, uint32_t bound_ms);

#endif
