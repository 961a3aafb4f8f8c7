/* The data plane of one process: tables of one role, and the systems that run
   over them, for flows of opaque packets.

   A front end pushes what has arrived, runs a tick, and sends what the plane
   then yields.  A plane reads no clock, opens no socket and starts no thread;
   one thread uses it at a time.  */

#ifndef GALENAFORD_PLANE_H
#define GALENAFORD_PLANE_H

#include <galenaford/clock.h>
#include <galenaford/directory.h>
#include <galenaford/packet.h>
#include <galenaford/peer.h>
#include <galenaford/world.h>

enum
{
  /* Most seeds of a process.  */
  GALENA_PLANE_SEEDS_MAX = 8,
  /* Longest opening packet that is kept to be sent again, in bytes.  */
  GALENA_OPENING_BYTES = 64,
  /* Longest packet that is kept while its flow's owner is looked for.  */
  GALENA_KEPT_BYTES = 1280
};

struct galena_plane_options
{
  /* GALENA_ROLE_ENTRY or GALENA_ROLE_AGENT.  */
  enum galena_role role;
  uint64_t seed;
  /* Where peers send messages to; all processes have the same port.  */
  struct galena_endpoint self;
  /* Entries to begin with.  */
  uint32_t seed_count;
  struct galena_endpoint seeds[GALENA_PLANE_SEEDS_MAX];
  /* Most flows at once.  */
  uint32_t flows;
  /* Most packets and messages in one tick, each way.  */
  uint32_t messages;
  /* Milliseconds after which a flow without packets may be forgotten.  */
  uint32_t flow_idle_ms;
  /* Agent only: service of the upstream beside it.  */
  galena_service_key service;
  /* Agent only: whether no flow can be older than this process.  */
  bool first_start;
  /* Agent only: Unix milliseconds of the process's start by the instance's
     time of day, which its upstream uses as well; 0 when unknown.  */
  uint64_t started_unix_ms;
  /* Entry only: key of the availability zone, made as a service's.  */
  uint64_t zone;
  /* Entry only: capacity of the instance's link; 0 when unknown.  */
  uint32_t link_kbps;
  /* Entry only: name of the choice policy, or NULL for the default.  */
  const char *choice;
};

/* What has arrived.  */
struct galena_arrival
{
  /* GALENA_LINK_CALLER and GALENA_LINK_APPLICATION bring packets,
     GALENA_LINK_PEER brings messages.  */
  enum galena_link link;
  struct galena_packet packet;
  /* Sender of MESSAGE.  */
  struct galena_endpoint peer;
  struct galena_peer_message message;
};

enum galena_departure_kind
{
  /* PACKET unchanged to the caller or the upstream.  */
  GALENA_DEPARTURE_PACKET,
  /* A reset of FLOW to its caller.  */
  GALENA_DEPARTURE_RESET,
  /* MESSAGE to PEER.  */
  GALENA_DEPARTURE_MESSAGE
};

/* What is to be sent.  */
struct galena_departure
{
  enum galena_departure_kind kind;
  enum galena_link link;
  struct galena_endpoint peer;
  /* Reset: the flow, and the sequence number that its caller expects.  */
  struct galena_flow_key flow;
  uint32_t sequence;
  /* Packet: its bytes; borrowed from the arrival.  */
  const uint8_t *bytes;
  uint32_t size;
  struct galena_peer_message message;
  /* Bytes of a kept packet, when MESSAGE names none.  */
  uint32_t kept_size;
  uint8_t kept[GALENA_KEPT_BYTES];
};

/* One row per event of a plane: name, short word, meaning.  */
#define GALENA_PLANE_EVENTS(X)                                                \
  X (GALENA_EVENT_OPENED, "flow-opened", "An upstream accepted a flow.")      \
  X (GALENA_EVENT_REFUSED, "flow-refused",                                    \
     "An upstream did not accept a flow; another one is tried.")              \
  X (GALENA_EVENT_UNANSWERED, "flow-unanswered",                              \
     "An agent left an opening packet unanswered; another one is tried.")     \
  X (GALENA_EVENT_RESET, "flow-reset", "A caller was sent a reset.")          \
  X (GALENA_EVENT_SOUGHT, "flow-sought",                                      \
     "The owner of a flow is not known here and is looked for.")              \
  X (GALENA_EVENT_FOUND, "flow-found", "The owner of a flow was found.")      \
  X (GALENA_EVENT_LOST, "flow-lost", "An upstream lost a flow it held.")      \
  X (GALENA_EVENT_UPSTREAM, "upstream-state",                                 \
     "The published state of an upstream changed.")                           \
  X (GALENA_EVENT_SUSPECT, "agent-suspect",                                   \
     "An agent is avoided since it left a packet unanswered.")                \
  X (GALENA_EVENT_HEARD, "agent-heard", "An avoided agent was heard again.")  \
  X (GALENA_EVENT_CONFIG, "config-taken", "A configuration is in force.")     \
  X (GALENA_EVENT_ASIDE, "entry-aside",                                       \
     "The link is nearly full; stronger entries take the flows.")             \
  X (GALENA_EVENT_BACK, "entry-back", "The entry is in rotation again.")      \
  X (GALENA_EVENT_WOKE, "paused", "No tick ran for a while.")

enum galena_plane_event
{
#define GALENA_EVENT_ENUM(name, word, meaning) name,
  GALENA_PLANE_EVENTS (GALENA_EVENT_ENUM)
#undef GALENA_EVENT_ENUM
      GALENA_PLANE_EVENT_COUNT
};

/* Returns the short word of EVENT, and one sentence on it.  */
const char *galena_plane_event_word (enum galena_plane_event event);
const char *galena_plane_event_meaning (enum galena_plane_event event);

/* A decision on a flow, or a change of what the plane believes.  */
struct galena_plane_note
{
  enum galena_plane_event event;
  struct galena_flow_key flow;
  /* Agent concerned; none when its address is 0.  */
  struct galena_endpoint agent;
  /* Version of the configuration that it was decided with; of an upstream's
     state, the Unix milliseconds of its start.  */
  uint64_t version;
  enum galena_result result;
  /* Milliseconds since the agent was last heard, the pause, or the time that
     the flow has waited; -1 when it does not apply.  */
  int64_t age_ms;
  /* Running requests at the upstream as known, upstreams asked, the listing of
     the upstream, or the share of the link that is used in percent.  */
  uint32_t detail;
};

/* One row per counter: name, short word, meaning.  */
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
  X (GALENA_PLANE_OPENS, "opens", "Flows whose opening was seen first.")      \
  X (GALENA_PLANE_OPENED, "opened", "Flows accepted by an upstream.")         \
  X (GALENA_PLANE_REFUSED, "refused", "Opens that an upstream refused.")      \
  X (GALENA_PLANE_RETRIED, "retried", "Opens sent to a further upstream.")    \
  X (GALENA_PLANE_SOUGHT, "sought", "Flows whose owner was looked for.")      \
  X (GALENA_PLANE_FOUND, "found", "Owners found.")                            \
  X (GALENA_PLANE_LOST, "lost", "Flows that their upstream lost.")            \
  X (GALENA_PLANE_RESETS, "resets", "Resets sent to callers.")                \
  X (GALENA_PLANE_NO_ROUTE, "no_route", "Packets without a route.")           \
  X (GALENA_PLANE_GIVEN_UP, "given_up",                                       \
     "Packets dropped that waited for a configuration or an owner.")          \
  X (GALENA_PLANE_FINDS, "finds", "Agents asked whether they own a flow.")    \
  X (GALENA_PLANE_RETURNED, "returned",                                       \
     "Packets that the upstream returned.")                                   \
  X (GALENA_PLANE_SHED, "shed",                                               \
     "Packets of bulk data dropped: the link is full.")                       \
  X (GALENA_PLANE_WITHHELD, "withheld",                                       \
     "Resets of upstreams that do not own the flow, not passed on.")          \
  X (GALENA_PLANE_PAUSES, "pauses", "Times that no tick ran for a while.")

enum galena_plane_counter
{
#define GALENA_PLANE_COUNTER_ENUM(name, word, meaning) name,
  GALENA_PLANE_COUNTERS (GALENA_PLANE_COUNTER_ENUM)
#undef GALENA_PLANE_COUNTER_ENUM
      GALENA_PLANE_COUNTER_COUNT
};

/* Returns the short word of COUNTER.  */
const char *galena_plane_counter_word (enum galena_plane_counter counter);

/* Returns one sentence on COUNTER.  */
const char *galena_plane_counter_meaning (enum galena_plane_counter counter);

/* One row per histogram of milliseconds: name, short word, meaning.  */
#define GALENA_PLANE_HISTOGRAMS(X)                                            \
  X (GALENA_PLANE_OPENING_MS, "opening_ms",                                   \
     "From a flow's opening packet to an upstream's acceptance.")             \
  X (GALENA_PLANE_SEARCH_MS, "search_ms",                                     \
     "From a packet of an unknown flow until its owner was found.")           \
  X (GALENA_PLANE_ANSWER_MS, "answer_ms",                                     \
     "From a request's first data until its answer began.")

enum galena_plane_histogram
{
#define GALENA_PLANE_HISTOGRAM_ENUM(name, word, meaning) name,
  GALENA_PLANE_HISTOGRAMS (GALENA_PLANE_HISTOGRAM_ENUM)
#undef GALENA_PLANE_HISTOGRAM_ENUM
      GALENA_PLANE_HISTOGRAM_COUNT
};

enum
{
  /* Bucket I holds times below 2 to the I milliseconds, the last one all
     longer ones too.  */
  GALENA_HISTOGRAM_BUCKETS = 13
};

struct galena_histogram
{
  uint64_t buckets[GALENA_HISTOGRAM_BUCKETS];
  uint64_t sum_ms;
};

/* Returns the short word of HISTOGRAM, and one sentence on it.  */
const char *
galena_plane_histogram_word (enum galena_plane_histogram histogram);
const char *
galena_plane_histogram_meaning (enum galena_plane_histogram histogram);

/* Returns the name of choice policy INDEX, or NULL past the last one.  */
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

/* Replaces the entries to begin with, and the choice policy of an entry.
   Errors: GALENA_ERR_INVALID, GALENA_ERR_NOT_FOUND; PLANE is as before.  */
enum galena_result galena_plane_configure (struct galena_plane *plane,
                                           const struct galena_endpoint *seeds,
                                           uint32_t seed_count,
                                           const char *choice);

/* Returns the next free arrival for the front end to fill in, NULL when the
   tick's share is used up.  Bytes that it names stay valid until the
   departures of the next tick were sent.  */
struct galena_arrival *galena_plane_arrival (struct galena_plane *plane);

/* Takes the arrival returned last.  */
void galena_plane_push (struct galena_plane *plane);

/* Runs the handlers of all arrivals and every system that is due at NOW.
   DIRECTORY is read during the call only; NULL while nothing is known.  */
void galena_plane_tick (struct galena_plane *plane, struct galena_clock now,
                        const struct galena_directory *directory);

/* What the last tick sends and notes; valid until the next one.  */
uint32_t galena_plane_departure_count (const struct galena_plane *plane);
const struct galena_departure *
galena_plane_departure (const struct galena_plane *plane, uint32_t index);
uint32_t galena_plane_note_count (const struct galena_plane *plane);
const struct galena_plane_note *
galena_plane_note_at (const struct galena_plane *plane, uint32_t index);

/* Returns when the next tick is due if nothing arrives.  */
struct galena_clock galena_plane_due (const struct galena_plane *plane);

/* Says that the directory has been brought up to date since the last pause; an
   entry places new flows again.  */
void galena_plane_renewed (struct galena_plane *plane);

/* Entry only: tells whether the entry should be out of rotation, since its
   link is nearly full and stronger entries of its zone can take its flows.  */
bool galena_plane_is_aside (const struct galena_plane *plane);

/* Asks the plane to take no new flows; it goes on with those it has.  */
void galena_plane_drain (struct galena_plane *plane);

/* Counts what the front end dropped.  */
void galena_plane_count_dropped (struct galena_plane *plane,
                                 enum galena_plane_counter counter,
                                 uint32_t count);

uint64_t galena_plane_counter_value (const struct galena_plane *plane,
                                     enum galena_plane_counter counter);

/* Returns HISTOGRAM; valid while PLANE is.  */
const struct galena_histogram *
galena_plane_histogram_of (const struct galena_plane *plane,
                           enum galena_plane_histogram histogram);

/* Stores the addresses of at most MAX entries that were heard lately in IPS;
   returns how many.  */
uint32_t galena_plane_peers (const struct galena_plane *plane, uint32_t *ips,
                             uint32_t max);

/* Agent only: returns the requests that run at the upstream or are about to
   come, as the agent sees them.  */
uint32_t galena_plane_running (const struct galena_plane *plane);

/* Returns the flows held.  */
uint32_t galena_plane_flow_count (const struct galena_plane *plane);

#endif
