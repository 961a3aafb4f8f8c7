/* The data plane of one process for flows of opaque packets: the tables of one
   role, and the systems that run over them each tick.

   A front end pushes received packets and messages, runs a tick, and sends the
   output of the tick.  A plane reads no clock, opens no socket and starts no
   thread; only one thread at a time may use it.  */

#ifndef GALENAFORD_PLANE_H
#define GALENAFORD_PLANE_H

#include <galenaford/clock.h>
#include <galenaford/directory.h>
#include <galenaford/packet.h>
#include <galenaford/peer.h>
#include <galenaford/world.h>

enum
{
  /* Maximum number of seeds of a process.  */
  GALENA_PLANE_SEEDS_MAX = 8,
  /* Longest opening packet in bytes that is buffered for retransmission to
     further upstreams; longer ones are sent once only.  */
  GALENA_OPEN_PACKET_BYTES = 64,
  /* Longest packet in bytes that is buffered during a search for the owner of
     its flow.  */
  GALENA_BUFFERED_PACKET_BYTES = 1280
};

struct galena_plane_options
{
  /* GALENA_ROLE_ENTRY or GALENA_ROLE_AGENT.  */
  enum galena_role role;
  /* Seed of random numbers and hash tables.  */
  uint64_t seed;
  /* Address at which peers reach this process; all processes use the same
     port.  */
  struct galena_endpoint self;
  /* Addresses of entries through which the others are discovered.  */
  uint32_t seed_count;
  struct galena_endpoint seeds[GALENA_PLANE_SEEDS_MAX];
  /* Maximum number of flows.  */
  uint32_t flows;
  /* Maximum number of packets and messages per tick, in each direction.  */
  uint32_t messages;
  /* Idle timeout of open flows in milliseconds.  */
  uint32_t flow_idle_ms;
  /* Agent only: service of the upstream on its instance.  */
  galena_service_key service;
  /* Agent only: port at which that upstream listens.  */
  uint16_t upstream_port;
  /* Agent only: whether no flow of the upstream can be older than this
     process, so that the agent sees all of its flows.  */
  bool first_start;
  /* Agent only: start of the process in Unix milliseconds by the clock of the
     instance, which its upstream uses as well; 0 when unknown.  */
  uint64_t started_unix_ms;
  /* Entry only: hash of the name of its availability zone, as
     galena_service_key_of returns it.  */
  uint64_t zone;
  /* Entry only: capacity of the instance's link in kbit/s; 0 when unknown.  */
  uint32_t link_kbps;
  /* Whether upstreams may be unlike each other, overloaded, or fail part of
     their work while they look healthy: switches on admission by kinds of work
     and the ejection of outliers.  */
  bool load_control;
  /* While an upstream warms up, it gets at most WARM_UP_OVERRUN times the
     published rate plus WARM_UP_SLACK new flows in any second; both 0 for no
     limit.  */
  double warm_up_overrun;
  double warm_up_slack;
  /* Entry only: name of the policy that chooses the upstream of a new flow, or
     NULL for the default.  */
  const char *choice;
};

/* A received packet or message.  */
struct galena_input
{
  /* GALENA_SIDE_CALLER and GALENA_SIDE_APPLICATION (the upstream) give
     packets, GALENA_SIDE_PEER gives messages.  */
  enum galena_side side;
  struct galena_packet packet;
  /* Sender of MESSAGE.  */
  struct galena_endpoint peer;
  struct galena_peer_message message;
};

enum galena_output_kind
{
  /* BYTES, a packet, unchanged to the caller or the upstream.  */
  GALENA_OUTPUT_PACKET,
  /* A reset of FLOW to its caller.  */
  GALENA_OUTPUT_RESET,
  /* MESSAGE to PEER.  */
  GALENA_OUTPUT_MESSAGE
};

/* A packet or message to be sent.  */
struct galena_output
{
  enum galena_output_kind kind;
  enum galena_side side;
  struct galena_endpoint peer;
  /* Reset: the flow, and the sequence number that its caller expects.  */
  struct galena_flow_key flow;
  uint32_t sequence;
  /* Packet: its SIZE bytes; borrowed from the input.  */
  const uint8_t *bytes;
  uint32_t size;
  struct galena_peer_message message;
  /* Message: copy of a buffered packet that it carries when MESSAGE.bytes is
     NULL.  */
  uint32_t packet_copy_size;
  uint8_t packet_copy[GALENA_BUFFERED_PACKET_BYTES];
};

/* One row per event of a plane: enum value, name, description.  */
#define GALENA_PLANE_EVENTS(X)                                                \
  X (GALENA_EVENT_OPENED, "flow-opened", "An upstream accepted a flow.")      \
  X (GALENA_EVENT_REFUSED, "flow-refused",                                    \
     "An upstream did not accept a flow; another one is tried.")              \
  X (GALENA_EVENT_UNANSWERED, "flow-unanswered",                              \
     "An agent left an opening packet unanswered; another one is tried.")     \
  X (GALENA_EVENT_RESET, "flow-reset", "A caller was sent a reset.")          \
  X (GALENA_EVENT_SEARCHING, "flow-sought",                                   \
     "The owner of a flow is not known here; a search begins.")               \
  X (GALENA_EVENT_FOUND, "flow-found", "The owner of a flow was found.")      \
  X (GALENA_EVENT_LOST, "flow-lost", "An upstream lost a flow it held.")      \
  X (GALENA_EVENT_UPSTREAM, "upstream-state",                                 \
     "The published state of an upstream changed.")                           \
  X (GALENA_EVENT_IGNORED, "registrations-ignored",                           \
     "Registrations at the instance of an upstream are not its own.")         \
  X (GALENA_EVENT_SUSPECT, "agent-suspect",                                   \
     "An agent is avoided since it left a packet unanswered.")                \
  X (GALENA_EVENT_REACHABLE, "agent-heard",                                   \
     "An avoided agent replied again.")                                       \
  X (GALENA_EVENT_CONFIG, "config-taken", "A configuration is in force.")     \
  X (GALENA_EVENT_OUT_OF_ROTATION, "entry-aside",                             \
     "The link is nearly full; entries with faster links take the flows.")    \
  X (GALENA_EVENT_IN_ROTATION, "entry-back",                                  \
     "The entry is in rotation again.")                                       \
  X (GALENA_EVENT_ZONE_EVACUATED, "zone-evacuated",                           \
     "No flow is opened in an availability zone any more.")                   \
  X (GALENA_EVENT_ZONE_RETURNED, "zone-returned",                             \
     "Flows are opened in an availability zone again.")                       \
  X (GALENA_EVENT_REFUSING, "opens-refused",                                  \
     "Opens that can't be answered in time are refused from now on.")         \
  X (GALENA_EVENT_ADMITTING, "opens-admitted",                                \
     "No open was refused for a second.")                                     \
  X (GALENA_EVENT_PAUSED, "paused", "No tick ran for a while.")               \
  X (GALENA_EVENT_EJECTED, "upstream-ejected",                                \
     "An outlier gets no new flows for a while.")                             \
  X (GALENA_EVENT_REINSTATED, "upstream-reinstated",                          \
     "An ejected upstream gets new flows again.")

enum galena_plane_event
{
#define GALENA_EVENT_ENUM(value, name, description) value,
  GALENA_PLANE_EVENTS (GALENA_EVENT_ENUM)
#undef GALENA_EVENT_ENUM
      GALENA_PLANE_EVENT_COUNT
};

/* Return the name of EVENT, and a one-sentence description.  */
const char *galena_plane_event_name (enum galena_plane_event event);
const char *galena_plane_event_description (enum galena_plane_event event);

/* Why an upstream is ejected or reinstated, and what was known then.  */
struct galena_outlier_figures
{
  /* NULL with other events.  */
  const char *reason;
  /* Requests of a second that ended, those of them that failed, and the
     service times of the upstream and of the median of its service in
     microseconds, as last reported.  */
  uint32_t finished;
  uint32_t failed;
  uint32_t service_us;
  uint32_t median_us;
};

/* An event for the log: a decision on a flow, or a change of what is known of
   upstreams, agents or the configuration.  */
struct galena_plane_logged_event
{
  enum galena_plane_event event;
  struct galena_flow_key flow;
  /* Agent concerned; its address is 0 when there is none.  */
  struct galena_endpoint agent;
  /* Version of the current configuration; with GALENA_EVENT_UPSTREAM and
     GALENA_EVENT_IGNORED, the start of the upstream in Unix milliseconds,
     0 when unknown; with GALENA_EVENT_ZONE_EVACUATED, _RETURNED, the revision
     of the store at which that is known.  */
  uint64_t version;
  enum galena_result result;
  /* In milliseconds.  Events of a flow: since its first packet.  Events of an
     agent or upstream: since the last message of the agent.
     GALENA_EVENT_PAUSED: length of the pause.  GALENA_EVENT_OUT_OF_ROTATION,
     GALENA_EVENT_IN_ROTATION, GALENA_EVENT_REFUSING, GALENA_EVENT_ADMITTING:
     since the previous of these events.  -1 when it does not apply.  */
  int64_t age_ms;
  /* GALENA_EVENT_OPENED, _REFUSED, _UNANSWERED: pending requests at the
     upstream as last reported.  GALENA_EVENT_RESET: attempts to open the flow.
     GALENA_EVENT_SEARCHING, _FOUND: number of known upstreams.
     GALENA_EVENT_UPSTREAM: its published state.  GALENA_EVENT_IGNORED:
     number of these registrations.  GALENA_EVENT_ZONE_EVACUATED, _RETURNED:
     number of upstreams in the zone.  GALENA_EVENT_OUT_OF_ROTATION,
     _IN_ROTATION: utilisation of the link in percent.  GALENA_EVENT_EJECTED:
     length of the ejection in milliseconds.  GALENA_EVENT_REINSTATED: number
     of ejections that are not forgotten yet.  GALENA_EVENT_REFUSING: opens
     that wait.  GALENA_EVENT_ADMITTING: opens that were refused.  */
  uint32_t detail;
  /* GALENA_EVENT_EJECTED, _REINSTATED only.  */
  struct galena_outlier_figures outlier;
};

/* One row per counter: enum value, name, description.  */
#define GALENA_PLANE_COUNTERS(X)                                              \
  X (GALENA_PLANE_TICKS, "ticks", "Ticks run.")                               \
  X (GALENA_PLANE_FROM_CALLERS, "from_callers", "Packets from callers.")      \
  X (GALENA_PLANE_FROM_UPSTREAM, "from_upstream",                             \
     "Packets from the upstream.")                                            \
  X (GALENA_PLANE_FROM_PEERS, "from_peers", "Messages from peers.")           \
  X (GALENA_PLANE_MALFORMED, "malformed", "Datagrams that did not decode.")   \
  X (GALENA_PLANE_UNEXPECTED, "unexpected",                                   \
     "Packets or messages that this role does not take.")                     \
  X (GALENA_PLANE_UNSENT, "unsent", "Packets and messages not sent.")         \
  X (GALENA_PLANE_TABLE_FULL, "table_full", "Packets dropped: no free row.")  \
  X (GALENA_PLANE_OPENS, "opens", "Flows whose opening packet arrived.")      \
  X (GALENA_PLANE_OPENED, "opened", "Flows accepted by an upstream.")         \
  X (GALENA_PLANE_REFUSED, "refused", "Opens that an upstream refused.")      \
  X (GALENA_PLANE_RETRIED, "retried", "Opens sent to a further upstream.")    \
  X (GALENA_PLANE_HANDED_BACK, "handed_back",                                 \
     "Opens that an agent refused as another upstream would answer sooner.")  \
  X (GALENA_PLANE_SEARCHES, "sought", "Searches for the owner of a flow.")    \
  X (GALENA_PLANE_FOUND, "found", "Owners found.")                            \
  X (GALENA_PLANE_LOST, "lost", "Flows that their upstream lost.")            \
  X (GALENA_PLANE_RESETS, "resets", "Resets sent to callers.")                \
  X (GALENA_PLANE_NO_ROUTE, "no_route", "Packets without a route.")           \
  X (GALENA_PLANE_GIVEN_UP, "given_up",                                       \
     "Packets dropped that waited for a configuration or an owner.")          \
  X (GALENA_PLANE_OWNER_QUERIES, "finds",                                     \
     "Agents asked whether they own a flow.")                                 \
  X (GALENA_PLANE_QUERY_BATCHES, "find_batches",                              \
     "Messages that asked an agent about several flows.")                     \
  X (GALENA_PLANE_RETURNED, "returned",                                       \
     "Packets that the upstream returned.")                                   \
  X (GALENA_PLANE_SHED, "shed",                                               \
     "Packets of bulk data dropped: the link is full.")                       \
  X (GALENA_PLANE_TOO_LATE, "too_late",                                       \
     "Packets of bulk data dropped: the timeout of their route has passed.")  \
  X (GALENA_PLANE_WITHHELD, "withheld",                                       \
     "Resets of upstreams that do not own the flow, not forwarded.")          \
  X (GALENA_PLANE_REFUSED_EVACUATED, "refused_evacuated",                     \
     "Opens refused because the availability zone is evacuated.")             \
  X (GALENA_PLANE_REFUSED_WARMING_UP, "refused_warming_up",                   \
     "Opens refused because the upstream warms up.")                          \
  X (GALENA_PLANE_ABANDONED_UNKNOWN, "abandoned_unknown",                     \
     "Waiting opens dropped, given up by the caller: unknown.")               \
  X (GALENA_PLANE_ABANDONED_IDEMPOTENT, "abandoned_idempotent",               \
     "Waiting opens dropped, given up by the caller: idempotent.")            \
  X (GALENA_PLANE_ABANDONED_NON_IDEMPOTENT, "abandoned_non_idempotent",       \
     "Waiting opens dropped, given up by the caller: non-idempotent.")        \
  X (GALENA_PLANE_ABANDONED_UPLOAD, "abandoned_upload",                       \
     "Waiting opens dropped, given up by the caller: upload.")                \
  X (GALENA_PLANE_ABANDONED_DOWNLOAD, "abandoned_download",                   \
     "Waiting opens dropped, given up by the caller: download.")              \
  X (GALENA_PLANE_DEADLINE_UNKNOWN, "deadline_unknown",                       \
     "Opens refused, no answer in time expected: unknown.")                   \
  X (GALENA_PLANE_DEADLINE_IDEMPOTENT, "deadline_idempotent",                 \
     "Opens refused, no answer in time expected: idempotent.")                \
  X (GALENA_PLANE_DEADLINE_NON_IDEMPOTENT, "deadline_non_idempotent",         \
     "Opens refused, no answer in time expected: non-idempotent.")            \
  X (GALENA_PLANE_DEADLINE_UPLOAD, "deadline_upload",                         \
     "Opens refused, no answer in time expected: upload.")                    \
  X (GALENA_PLANE_DEADLINE_DOWNLOAD, "deadline_download",                     \
     "Opens refused, no answer in time expected: download.")                  \
  X (GALENA_PLANE_HELD_UNKNOWN, "held_unknown",                               \
     "Requests held until the upstream has room: unknown.")                   \
  X (GALENA_PLANE_HELD_IDEMPOTENT, "held_idempotent",                         \
     "Requests held until the upstream has room: idempotent.")                \
  X (GALENA_PLANE_HELD_NON_IDEMPOTENT, "held_non_idempotent",                 \
     "Requests held until the upstream has room: non-idempotent.")            \
  X (GALENA_PLANE_EXPIRED_UNKNOWN, "expired_unknown",                         \
     "Held requests dropped after their timeout: unknown.")                   \
  X (GALENA_PLANE_EXPIRED_IDEMPOTENT, "expired_idempotent",                   \
     "Held requests dropped after their timeout: idempotent.")                \
  X (GALENA_PLANE_EXPIRED_NON_IDEMPOTENT, "expired_non_idempotent",           \
     "Held requests dropped after their timeout: non-idempotent.")            \
  X (GALENA_PLANE_HELD_AGAIN, "held_again",                                   \
     "Retransmissions of held packets absorbed.")                             \
  X (GALENA_PLANE_HELD_FULL, "held_full",                                     \
     "Requests not held: the table of held ones is full.")                    \
  X (GALENA_PLANE_PAUSES, "pauses", "Times that no tick ran for a while.")    \
  X (GALENA_PLANE_OVERDUE_REQUESTS, "overdue_requests",                       \
     "Requests without the first byte of an answer for too long.")            \
  X (GALENA_PLANE_UNACCEPTED_OPENS, "unaccepted_opens",                       \
     "Opens that the upstream neither accepted nor returned in time.")        \
  X (GALENA_PLANE_RETURNED_OPENS, "returned_opens",                           \
     "Opens that an upstream returned while it was not full.")                \
  X (GALENA_PLANE_RESET_REQUESTS, "reset_requests",                           \
     "Requests whose flow the upstream reset.")                               \
  X (GALENA_PLANE_QUICK_ANSWERS, "quick_answers",                             \
     "Answers sooner than the work can take: requests that were shed.")       \
  X (GALENA_PLANE_EJECTED_FAILING, "ejected_failing",                         \
     "Ejections of upstreams that fail requests.")                            \
  X (GALENA_PLANE_EJECTED_SLOW, "ejected_slow",                               \
     "Ejections of upstreams that are too slow.")                             \
  X (GALENA_PLANE_EJECTED_QUICK, "ejected_quick",                             \
     "Ejections of upstreams that are too quick to do the work.")             \
  X (GALENA_PLANE_REINSTATED, "reinstated", "Ejections that ended.")

enum galena_plane_counter
{
#define GALENA_PLANE_COUNTER_ENUM(value, name, description) value,
  GALENA_PLANE_COUNTERS (GALENA_PLANE_COUNTER_ENUM)
#undef GALENA_PLANE_COUNTER_ENUM
      GALENA_PLANE_COUNTER_COUNT
};

/* Return the name of COUNTER, and a one-sentence description.  */
const char *galena_plane_counter_name (enum galena_plane_counter counter);
const char *
galena_plane_counter_description (enum galena_plane_counter counter);

/* One row per histogram, all in milliseconds: enum value, name,
   description.  */
#define GALENA_PLANE_HISTOGRAMS(X)                                            \
  X (GALENA_PLANE_OPENING_MS, "opening_ms",                                   \
     "From a flow's opening packet to an upstream's acceptance.")             \
  X (GALENA_PLANE_SEARCH_MS, "search_ms",                                     \
     "From a packet of an unknown flow until its owner was found.")           \
  X (GALENA_PLANE_ANSWER_MS, "answer_ms",                                     \
     "From a request's first data until its answer began.")

enum galena_plane_histogram
{
#define GALENA_PLANE_HISTOGRAM_ENUM(value, name, description) value,
  GALENA_PLANE_HISTOGRAMS (GALENA_PLANE_HISTOGRAM_ENUM)
#undef GALENA_PLANE_HISTOGRAM_ENUM
      GALENA_PLANE_HISTOGRAM_COUNT
};

enum
{
  /* Bucket I counts times below 2^I milliseconds that fit in no lower bucket;
     the last one counts all longer times too.  */
  GALENA_HISTOGRAM_BUCKETS = 13
};

struct galena_histogram
{
  uint64_t buckets[GALENA_HISTOGRAM_BUCKETS];
  uint64_t sum_ms;
};

/* Return the name of HISTOGRAM, and a one-sentence description.  */
const char *
galena_plane_histogram_name (enum galena_plane_histogram histogram);
const char *
galena_plane_histogram_description (enum galena_plane_histogram histogram);

/* Returns the name of choice policy INDEX; NULL when INDEX is past the last
   one.  */
const char *galena_plane_choice_name (uint32_t index);

struct galena_plane;

/* Creates a plane in *OUT; the caller owns it.
   Errors: GALENA_ERR_INVALID, GALENA_ERR_NOT_FOUND for an unknown policy,
   GALENA_ERR_MEMORY.  */
enum galena_result
galena_plane_create (const struct galena_plane_options *options,
                     struct galena_plane **out);

/* Destroys PLANE; accepts NULL.  */
void galena_plane_destroy (struct galena_plane *plane);

/* Replaces the seeds of PLANE and, at an entry, the choice policy.
   Errors: GALENA_ERR_INVALID for too many seeds, GALENA_ERR_NOT_FOUND for an
   unknown policy; PLANE is then unchanged.  */
enum galena_result galena_plane_configure (struct galena_plane *plane,
                                           const struct galena_endpoint *seeds,
                                           uint32_t seed_count,
                                           const char *choice);

/* Returns the next free input for the front end to fill in; NULL when the
   maximum per tick is reached.  Bytes that it refers to must stay valid until
   the output of the next tick has been sent.  */
struct galena_input *galena_plane_next_input (struct galena_plane *plane);

/* Adds the input that was returned last to the next tick.  */
void galena_plane_push (struct galena_plane *plane);

/* Runs every system that is due at NOW, then the handlers of all input.
   DIRECTORY is read during the call only; NULL while none is known.  */
void galena_plane_tick (struct galena_plane *plane, struct galena_clock now,
                        const struct galena_directory *directory);

/* The output of the last tick, and the events that it logs; both are valid
   until the next tick.  */
uint32_t galena_plane_output_count (const struct galena_plane *plane);
const struct galena_output *
galena_plane_output (const struct galena_plane *plane, uint32_t index);
uint32_t galena_plane_logged_event_count (const struct galena_plane *plane);
const struct galena_plane_logged_event *
galena_plane_logged_event_at (const struct galena_plane *plane,
                              uint32_t index);

/* Returns when the next tick is due if no input arrives.  */
struct galena_clock galena_plane_due (const struct galena_plane *plane);

/* Tells PLANE that the directory now includes all that was published during
   the last pause (a time in which no tick ran).  After a pause, an entry holds
   back new flows until this call or a timeout.  */
void galena_plane_directory_refreshed (struct galena_plane *plane);

/* Entry only: returns whether the entry should be out of rotation, because its
   link is nearly full and entries of its zone with faster links can take its
   flows.  */
bool galena_plane_is_out_of_rotation (const struct galena_plane *plane);

/* Entry only: returns the number of upstreams that are ejected.  */
uint32_t galena_plane_ejected_upstreams (const struct galena_plane *plane);

/* Begins a graceful shutdown: an agent refuses new flows, an entry reports to
   others that it is out of rotation.  Both continue to serve their flows.  */
void galena_plane_drain (struct galena_plane *plane);

/* Adds COUNT packets or messages that the front end dropped to COUNTER.  */
void galena_plane_count_dropped (struct galena_plane *plane,
                                 enum galena_plane_counter counter,
                                 uint32_t count);

uint64_t galena_plane_counter_value (const struct galena_plane *plane,
                                     enum galena_plane_counter counter);

/* Returns the values of HISTOGRAM; valid while PLANE is.  */
const struct galena_histogram *
galena_plane_histogram_of (const struct galena_plane *plane,
                           enum galena_plane_histogram histogram);

/* Stores in IPS the addresses of at most MAX entries from which a message came
   within the last 2 s; returns how many.  */
uint32_t galena_plane_live_entries (const struct galena_plane *plane,
                                    uint32_t *ips, uint32_t max);

/* Agent only: returns the number of requests that are queued or run at the
   upstream or are expected soon, as seen by the agent.  */
uint32_t galena_plane_pending_requests (const struct galena_plane *plane);

/* Returns the number of flows in the table.  */
uint32_t galena_plane_flow_count (const struct galena_plane *plane);

#endif
