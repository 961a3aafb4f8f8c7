/* Stand-ins for a small deployment on loopback addresses: the platform's
   store, its routers, callers and hosts, and the processes under test.

   A scenario is linear code: it changes something, and then lets time pass
   with lab_run.  All events are written to a record, from which the scenario
   judges.  */

#ifndef REVIEW_LAB_H
#define REVIEW_LAB_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

enum
{
  ENTRIES_MAX = 4,
  HOSTS_MAX = 40,
  CALL_FLOWS_MAX = 4096,
  HOST_FLOWS_MAX = 4096,
  HOST_SLOTS = 2,
  ITEMS_MAX = 128,
  KEY_BYTES = 208,
  VALUE_BYTES = 4096,
  TEXT_BYTES = 64,
  PATH_BYTES = 512,
  PACKET_HEADER_BYTES = 32,
  PACKET_BYTES = 1232,
  /* Bounds of the settings.  */
  DRAIN_MS = 3000,
  STABLE_MS = 4000,
  REORDER_MS = 2000,
  HEARTBEAT_MS = 1200
};

/* Ports, the same on all machines of a run: offsets from the first one.  */
enum port
{
  PORT_PACKETS,
  PORT_READY,
  PORT_OUTBOUND,
  PORT_APP,
  PORT_PEERS,
  PORT_CONTROL,
  PORT_STORE,
  PORT_COUNT
};

/* Bits of the flags of a packet.  */
enum
{
  FLAG_SYN = 128,
  FLAG_ACK = 64,
  FLAG_BOUNCED = 16,
  FLAG_RST = 8,
  FLAG_FIN = 2
};

struct endpoint
{
  uint32_t ip;
  uint16_t port;
};

struct packet
{
  uint32_t sum;
  uint32_t seq;
  uint32_t ack;
  struct endpoint source;
  struct endpoint destination;
  uint8_t flags;
  uint16_t data_size;
  const uint8_t *data;
};

struct item
{
  bool used;
  bool removed;
  char key[KEY_BYTES];
  uint8_t *value;
  size_t size;
  uint64_t revision;
  /* When it was written, by the steady clock.  */
  int64_t written_ms;
};

struct store
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  bool closing;
  uint64_t revision;
  struct item items[ITEMS_MAX];
  struct MHD_Daemon *daemon;
};

/* A process under test.  */
struct process
{
  char name[TEXT_BYTES];
  bool entry;
  uint32_t index;
  uint32_t ip;
  pid_t pid;
  /* Whether it has been started before.  */
  bool started;
};

struct host_flow
{
  struct endpoint caller;
  struct endpoint address;
  bool used;
  bool open;
  /* Whether the host has sent its FIN.  */
  bool finished;
  uint32_t seq;
  uint32_t next;
  uint32_t first_seq;
  /* When the request in progress is answered; 0 for none.  */
  int64_t answer_at;
  char request[TEXT_BYTES];
  /* The last packet, until it is acknowledged.  */
  uint8_t unacked[PACKET_BYTES];
  size_t unacked_size;
  uint32_t unacked_end;
  int64_t resend_at;
  int64_t interval_ms;
  uint32_t resends;
};

struct host
{
  bool up;
  int fd;
  char id[KEY_BYTES];
  char service[TEXT_BYTES];
  char state[TEXT_BYTES];
  uint64_t born;
  uint32_t sequence;
  uint32_t ip;
  /* When the store accepted that it drains; 0 before.  */
  int64_t drains_since;
  /* Opening packets that it took.  */
  uint32_t opens;
  /* When each slot is free again.  */
  int64_t slots[HOST_SLOTS];
  struct host_flow flows[HOST_FLOWS_MAX];
};

enum call_state
{
  CALL_FREE,
  CALL_OPENING,
  CALL_WAITING,
  CALL_IDLE,
  CALL_ENDED
};

/* A flow of a caller.  */
struct call
{
  enum call_state state;
  struct endpoint caller;
  uint32_t seq;
  uint32_t ack;
  int64_t opened_at;
  int64_t began;
  int64_t due;
  int64_t interval_ms;
  int64_t deadline;
  uint32_t copies;
  uint32_t request;
  uint32_t answered;
  /* Host that has the flow, or -1.  */
  int host;
  /* Whether it ends after its answer.  */
  bool single;
  /* Resets by the system while the flow was open.  */
  uint32_t resets;
  char outcome[TEXT_BYTES];
};

struct lab
{
  FILE *record;
  char folder[PATH_BYTES];
  int64_t start_ms;
  uint16_t first_port;
  bool trouble;
  uint32_t entry_count;
  uint32_t host_count;
  /* Requests begun, answered, and not answered.  */
  uint32_t begun;
  uint32_t answered;
  struct store store;
  struct process entries[ENTRIES_MAX];
  struct process agents[HOSTS_MAX];
  atomic_bool in_rotation[ENTRIES_MAX];
  /* Entry that the routers use, or -1 for a hash over those in rotation.  */
  int pinned_entry;
  atomic_bool stopping;
  pthread_t prober;
  struct host hosts[HOSTS_MAX];
  int caller_fd;
  uint16_t next_port;
  struct call calls[CALL_FLOWS_MAX];
  uint32_t call_count;
  /* Whether hosts end a flow with their answer.  */
  bool hosts_end_flows;
  /* New single requests a second; 0 for none.  */
  uint32_t rate;
  int64_t next_call_ms;
  /* Called for each packet that a host takes or returns.  */
  void (*on_host_packet) (struct lab *lab, int host,
                          const struct packet *packet, bool taken);
};

/* lab.c */

int64_t lab_now (const struct lab *lab);
int64_t lab_steady_ms (void);
uint64_t lab_unix_ms (void);
void lab_log (struct lab *lab, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
uint32_t lab_ip (uint32_t group, uint32_t index);
struct endpoint lab_endpoint (const struct lab *lab, uint32_t ip,
                              enum port port);
const char *lab_text (struct endpoint endpoint, char *text);
bool lab_open (struct lab *lab, uint32_t entries, uint32_t hosts);
void lab_close (struct lab *lab);
/* Lets MS milliseconds pass.  */
void lab_run (struct lab *lab, int64_t ms);
int lab_udp_socket (struct endpoint endpoint);

/* processes.c */

bool process_start (struct lab *lab, struct process *process,
                    const char *service);
void process_signal (struct lab *lab, struct process *process, int number);
/* Waits for its end for MS milliseconds while the run goes on.  */
bool process_wait (struct lab *lab, struct process *process, int64_t ms);
void *process_probe (void *data);
bool process_is_ready (const struct lab *lab, const struct process *process);

/* store.c */

bool store_open (struct lab *lab);
void store_close (struct lab *lab);
void store_put (struct lab *lab, const char *key, const char *value);
void store_put_bytes (struct lab *lab, const char *key, const uint8_t *bytes,
                      size_t size);
void store_remove (struct lab *lab, const char *key);

/* hosts.c */

bool host_start (struct lab *lab, uint32_t index, const char *service);
/* Writes the state of the host to the store.  */
void host_publish (struct lab *lab, uint32_t index, const char *state);
void host_receive (struct lab *lab, uint32_t index);
void host_tick (struct lab *lab, uint32_t index);
/* Ends the host without a word.  */
void host_crash (struct lab *lab, uint32_t index);

/* callers.c */

struct call *call_begin (struct lab *lab, bool single);
/* Opens a new flow for one request from the port of CALL, which has ended.  */
void call_again (struct lab *lab, struct call *call);
/* Sends another request on the open flow CALL.  */
void call_request (struct lab *lab, struct call *call);
void call_receive (struct lab *lab);
void call_tick (struct lab *lab);

/* packets */

size_t packet_encode (const struct packet *packet, uint8_t *bytes);
bool packet_decode (const uint8_t *bytes, size_t size, struct packet *packet);
void packet_send (int fd, struct endpoint to, const uint8_t *bytes,
                  size_t size);

#endif
