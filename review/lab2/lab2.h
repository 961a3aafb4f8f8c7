/* Stand-ins for the review scripts: hosts, callers, routers and the platform
   around real galenaford processes on loopback addresses and the real
   clock.  */

#ifndef REVIEW_LAB2_H
#define REVIEW_LAB2_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#include "../../test/standins/store.h"

enum
{
  ENTRIES_MAX = 4,
  HOSTS_MAX = 8,
  SERVICES_MAX = 2,
  CALLERS_MAX = 32,
  CALLER_FLOWS_MAX = 64,
  HOST_FLOWS_MAX = 4096,
  TEXT_BYTES = 64,
  PATH_BYTES = 512,
  HEAD_BYTES = 32,
  PACKET_MAX = 1232,
  PORT_PACKETS = 8172,
  PORT_STATUS = 8167,
  PORT_CONTROL = 8166,
  PORT_OUTBOUND = 8162,
  PORT_APP = 8165,
  PORT_PEERS = 7720,
  PORT_STORE = 8169,
  ROUTE_PORT = 8443,
  /* The limit of the configuration after which either end may discard an idle
     flow.  */
  IDLE_TIMEOUT_MS = 15000,
  CALLER_FIRST_PORT = 20000
};

/* Bits of the flags of a packet.  */
enum
{
  SYN = 128,
  ACK = 64,
  BOUNCED = 16,
  RST = 8,
  FIN = 2
};

struct address
{
  uint32_t ip;
  uint16_t port;
};

/* The head of a packet.  */
struct head
{
  uint32_t seq;
  uint32_t ack;
  uint16_t size;
  struct address src;
  struct address dst;
  uint8_t flags;
  /* All zero in a reset of galenaford's own.  */
  uint32_t sum;
};

/* A galenaford process.  */
struct process
{
  pid_t pid;
  bool entry;
  uint32_t index;
  bool started_before;
  /* When it is started again; 0 when it is not due.  */
  int64_t start_at;
};

enum host_flow_state
{
  HOST_FLOW_FREE,
  HOST_FLOW_HALF_OPEN,
  HOST_FLOW_OPEN,
  HOST_FLOW_ENDED
};

struct host_flow
{
  enum host_flow_state state;
  struct address caller;
  struct address route;
  uint32_t seq;
  /* Next byte that is expected of the caller.  */
  uint32_t next;
  /* When the answer to the request in progress is sent; 0 without one.  */
  int64_t answer_at;
  /* Bytes that the caller has not acknowledged, and their retransmission.  */
  uint32_t unacknowledged;
  int64_t resend_at;
  int64_t resend_ms;
  uint32_t resends;
  int64_t active_at;
};

struct host
{
  uint32_t index;
  uint32_t service;
  int fd;
  bool up;
  bool draining;
  uint32_t incarnation;
  uint64_t sequence;
  int64_t born;
  int64_t beat_at;
  /* When the platform acknowledged that it drains; 0 if it does not.  */
  int64_t drained_at;
  struct host_flow flows[HOST_FLOWS_MAX];
};

enum caller_flow_state
{
  FLOW_FREE,
  FLOW_OPENING,
  FLOW_OPEN,
  FLOW_CLOSED
};

struct caller_flow
{
  enum caller_flow_state state;
  uint32_t route;
  uint16_t port;
  uint32_t seq;
  /* Next byte that is expected of the host.  */
  uint32_t next;
  int64_t opened_at;
  /* Copies of the opening packet, or of the request.  */
  uint32_t copies;
  int64_t resend_at;
  int64_t resend_ms;
  bool waiting;
  int64_t request_at;
  /* When the last packet of the flow was sent.  */
  int64_t active_at;
  uint32_t requests;
  int64_t pause_ms;
};

struct caller
{
  uint32_t index;
  int fd;
  uint16_t next_port;
  struct caller_flow flows[CALLER_FLOWS_MAX];
};

struct lab
{
  const char *program;
  const char *templates;
  const char *folder;
  FILE *record;
  bool trouble;
  uint32_t net;
  uint32_t entries;
  uint32_t hosts_count;
  uint32_t callers_count;
  const char *contracts;
  int64_t began;
  int64_t now;
  uint32_t random;
  struct store *store;
  uint64_t config_version;
  /* When the store acknowledged the last configuration.  */
  int64_t config_at;
  /* Service of each route; SERVICES_MAX for a route that is not there.  */
  uint32_t route_service[SERVICES_MAX];
  struct process processes[ENTRIES_MAX + HOSTS_MAX];
  /* What the routers know of each entry.  */
  bool in_rotation[ENTRIES_MAX];
  struct host hosts[HOSTS_MAX];
  struct caller callers[CALLERS_MAX];
  /* Whether the callers send no further requests.  */
  bool quiet;
  /* Results.  */
  uint32_t opened;
  uint32_t answered;
  uint32_t failed_opens;
  uint32_t resets;
  uint32_t cut;
  uint32_t late_opens;
  uint32_t stale_opens;
  uint32_t bad_exits;
};

/* net.c */
int64_t clock_ms (void);
int64_t unix_ms (void);
uint32_t draw (struct lab *lab, uint32_t below);
struct address entry_address (const struct lab *lab, uint32_t index,
                              uint16_t port);
struct address host_address (const struct lab *lab, uint32_t index,
                             uint16_t port);
struct address caller_address (const struct lab *lab, uint32_t index,
                               uint16_t port);
struct address store_address (const struct lab *lab);
struct address route_address (uint32_t index);
void format_address (struct address address, char *text);
int open_socket (struct address address);
void send_packet (int fd, struct address to, const struct head *head,
                  const uint8_t *data);
/* Sends the SIZE bytes of a packet as they were received, with the flag
   BOUNCED.  */
void send_bounced (int fd, struct address to, uint8_t *bytes, size_t size);
/* Receives a packet with all of its bytes; returns its size, 0 for none.  */
size_t receive_packet (int fd, uint8_t *bytes, struct head *head);
/* Returns whether the sum of the packet in BYTES is that of its sender.  */
bool is_genuine (const uint8_t *bytes, size_t size);
void note (struct lab *lab, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* fleet.c */
void process_start (struct lab *lab, struct process *process);
struct process *entry_process (struct lab *lab, uint32_t index);
struct process *agent_process (struct lab *lab, uint32_t index);
void process_signal (struct process *process, int number);
void fleet_run (struct lab *lab);
void fleet_end (struct lab *lab);
void rotation_start (struct lab *lab);
void rotation_end (void);
int route_packet (const struct lab *lab, struct address caller,
                  struct address route);

/* publish.c */
void publish_config (struct lab *lab);
void publish_host (struct lab *lab, struct host *host);

/* hosts.c */
void host_start (struct lab *lab, struct host *host);
void host_drain (struct lab *lab, struct host *host);
void hosts_run (struct lab *lab);
/* Returns the host that holds the flow and is not draining; NULL when none
   does.  */
const struct host *flow_host (const struct lab *lab, struct address caller,
                              struct address route);

/* callers.c */
struct caller_flow *caller_open (struct lab *lab, struct caller *caller,
                                 uint32_t route, int64_t pause_ms);
void callers_run (struct lab *lab);

#endif
