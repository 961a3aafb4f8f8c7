/* The tables of an entry's plane: upstreams, flows, opens without a reply and
   searches for owners.  */

#ifndef GALENAFORD_ENTRY_TABLES_H
#define GALENAFORD_ENTRY_TABLES_H

#include "plane_private.h"

enum
{
  /* Most upstreams that an entry knows: those of the largest deployment
     planned for, with room for a replacement of a third of them.  */
  ENTRY_UPSTREAMS_MAX = 4096,
  ENTRY_OPENINGS_MAX = 4096,
  ENTRY_SEARCHES_MAX = 1024,
  /* Packets kept while no configuration is known.  */
  ENTRY_PARKED_MAX = 512,
  /* Most upstreams that one open is sent to.  */
  ENTRY_TRIES_MAX = 8,
  SEARCH_WORDS = ENTRY_UPSTREAMS_MAX / 64
};

/* What an entry knows of one upstream and the agent beside it.  */
struct upstream_row
{
  struct galena_endpoint agent;
  /* Service as published, and as the agent itself says; 0 when unknown.  */
  galena_service_key listed_service;
  galena_service_key announced_service;
  enum galena_listing listing;
  /* Directory that named it last, and since when none does.  */
  uint64_t directory;
  struct galena_clock absent_since;
  uint64_t born_ms;
  uint64_t zone;
  uint32_t slots;
  struct galena_clock warm_at;
  /* When the agent was last heard; ms 0 when never.  */
  struct galena_clock heard;
  struct galena_load load;
  /* Opens sent to it that it has not replied to, and when the last was.  */
  uint32_t placed;
  struct galena_clock placed_at;
  /* Avoided until then, since an open was left unanswered.  */
  struct galena_clock suspect_until;
};

enum flow_state
{
  /* An open was sent, and no packet of the open flow was seen.  */
  FLOW_OPENING,
  /* Packets go to the owner.  */
  FLOW_OPEN,
  /* The owner is looked for.  */
  FLOW_SOUGHT
};

/* An upstream that a flow's open was sent to.  */
struct flow_try
{
  struct galena_handle upstream;
  bool accepted;
  bool refused;
  /* The upstream's first sequence number, once accepted.  */
  uint32_t sequence;
};

struct entry_flow
{
  struct galena_flow_key key;
  enum flow_state state;
  /* Caller closed or reset it.  */
  bool ended;
  /* Service that the open was meant for; 0 when it was not seen here.  */
  galena_service_key service;
  struct galena_handle owner;
  struct flow_try tries[ENTRY_TRIES_MAX];
  uint32_t try_count;
  /* What the caller acknowledged last.  */
  uint32_t acknowledged;
  struct galena_clock began;
  struct galena_clock active;
  /* Rows of the other tables, or none.  */
  struct galena_handle opening;
  struct galena_handle search;
};

/* An open that no agent has answered yet.  */
struct opening_row
{
  struct galena_handle flow;
  /* Whether it waits for an upstream that is not busy.  */
  bool held;
  struct galena_clock sent;
  uint32_t size;
  uint8_t bytes[GALENA_OPENING_BYTES];
};

/* A search for a flow's owner.  */
struct search_row
{
  struct galena_handle flow;
  struct galena_clock began;
  /* Whether upstreams of all services are asked.  */
  bool wide;
  /* Bits of upstreams by their rows: those that do not hold the flow, those
     that were asked in this round, and those that were given the packet.  */
  uint64_t denied[SEARCH_WORDS];
  uint64_t asked[SEARCH_WORDS];
  uint64_t given[SEARCH_WORDS];
  /* Denials taken, and since when.  */
  uint32_t denials;
  struct galena_clock denied_since;
  /* Rounds that have ended.  */
  uint32_t rounds;
  /* Upstreams that the next wave of the round asks at most.  */
  uint32_t wave;
  /* Upstreams that were asked and have not replied.  */
  uint32_t awaited;
  /* When upstreams were last asked, and how long to wait for them.  */
  struct galena_clock asked_at;
  uint32_t patience_ms;
  /* The newest packet, to ask with again.  */
  uint32_t size;
  uint8_t bytes[GALENA_KEPT_BYTES];
};

/* A packet that waits for a configuration, or for its flow's owner.  */
struct parked_row
{
  /* Whether it was taken; the row goes with the next tick.  */
  bool taken;
  struct galena_clock since;
  struct galena_packet packet;
  uint8_t bytes[GALENA_KEPT_BYTES];
};

/* How an upstream is chosen for a new flow.  */
struct choice_policy
{
  const char *name;
  /* Returns the cost of sending one more flow to UPSTREAM; the least one
     wins.  USUAL_US is the service time where none was told.  */
  double (*cost) (const struct galena_plane *plane,
                  const struct upstream_row *upstream, double usual_us);
  /* Upstreams compared for each flow: those that come first for it.  */
  uint32_t draws;
};

/* How full the link is, and whether the entry is out of rotation for it.  */
struct capacity
{
  struct galena_clock measured;
  /* Counts of the plane then.  */
  uint64_t bytes_in;
  uint64_t bytes_out;
  /* Moving mean.  */
  double kbps;
  bool aside;
  /* When that changed last, and how long the entry is aside.  */
  struct galena_clock changed;
  int64_t aside_ms;
};

/* What bulk data may take of the link.  */
struct link_room
{
  /* May be below 0 when others took more.  */
  double bytes;
  /* Bulk data of this tick.  */
  double bulk;
  uint64_t counted;
  struct galena_clock counted_at;
};

struct entry_tables
{
  struct link_room link;
  struct capacity capacity;
  struct galena_table *upstreams;
  struct galena_map *upstreams_by_ip;
  struct galena_table *flows;
  struct galena_map *flows_by_key;
  struct galena_table *openings;
  struct galena_table *searches;
  struct galena_table *parked;
  const struct choice_policy *choice;
  /* Moving mean of the time that agents take to reply to an open.  */
  double reply_ms;
  /* Bytes that searches may send, and when that was last brought up to
     date.  */
  double search_bytes;
  struct galena_clock search_saved;
  /* Directory that the rows were last compared with.  */
  uint64_t directory;
  uint64_t version;
  /* Where the next round of hellos begins.  */
  uint32_t hello_cursor;
};

/* entry_upstreams.c */

struct upstream_row *entry_upstream (const struct galena_plane *plane,
                                     struct galena_handle handle);

/* Returns the row of the agent at PEER and its handle, or NULL.  */
struct upstream_row *entry_upstream_at (const struct galena_plane *plane,
                                        uint32_t ip,
                                        struct galena_handle *handle);

/* Returns the service that UPSTREAM belongs to; its agent's word goes before
   the published one.  */
galena_service_key entry_service_of (const struct upstream_row *upstream);

/* Tells whether UPSTREAM takes new flows.  */
bool entry_is_ready (const struct upstream_row *upstream);

/* Tells whether UPSTREAM is certain to hold no flow any more.  */
bool entry_is_gone (const struct galena_plane *plane,
                    const struct upstream_row *upstream);

/* Takes the load in MESSAGE and notes that its agent was heard.  Returns the
   agent's row, made when there was none; NULL when the table is full.  */
struct upstream_row *entry_hear (struct galena_plane *plane,
                                 struct galena_endpoint peer,
                                 const struct galena_peer_message *message,
                                 struct galena_handle *handle);

/* Notes that an open was sent to UPSTREAM, and that it replied to one.  */
void entry_note_placed (struct galena_plane *plane,
                        struct upstream_row *upstream);
void entry_note_reply (struct upstream_row *upstream);

/* Avoids the upstream that HANDLE names for a while.  */
void entry_suspect (struct galena_plane *plane, struct galena_handle handle);

/* Systems.  */
void entry_run_directory (struct galena_plane *plane);
void entry_run_hello (struct galena_plane *plane);

/* entry_capacity.c */

/* System: counts what others left of the link.  */
void entry_run_link (struct galena_plane *plane);

/* Tells whether the link has room for a packet of bulk data of BYTES, and
   takes that.  */
bool entry_admits_bulk (struct galena_plane *plane, uint32_t bytes);

/* System: measures the link, and steps aside or comes back.  */
void entry_run_capacity (struct galena_plane *plane);

/* entry_choice.c */

enum
{
  RANKING_MAX = 16
};

/* The upstreams of the highest ranks, in their order.  */
struct ranking
{
  /* Most of them, up to RANKING_MAX.  */
  uint32_t limit;
  uint32_t count;
  struct galena_handle rows[RANKING_MAX];
  uint64_t ranks[RANKING_MAX];
};

/* Adds the upstream that HANDLE names, if its rank is high enough.  */
void entry_rank_add (struct ranking *ranking, struct galena_handle handle,
                     uint64_t rank);

/* Returns the policy with NAME, the default for NULL; NULL when unknown.  */
const struct choice_policy *entry_choice_named (const char *name);

enum choice_outcome
{
  CHOICE_MADE,
  /* All upstreams that may be chosen have as much as they can answer soon.  */
  CHOICE_BUSY,
  CHOICE_NONE
};

/* Chooses an upstream of FLOW's service, none of those that it has tried.  */
enum choice_outcome entry_choose (struct galena_plane *plane,
                                  const struct entry_flow *flow,
                                  struct galena_handle *chosen);

/* Returns how early UPSTREAM comes among those that may take or hold flow KEY:
   the greatest value first.  It is the same at all entries of a zone, so that
   a flow's owner is found where it was placed.  */
uint64_t entry_rank (const struct galena_plane *plane,
                     struct galena_flow_key key,
                     const struct upstream_row *upstream);

/* Returns the service that takes new flow KEY on ROUTE.  */
galena_service_key entry_share_of (const struct galena_route *route,
                                   struct galena_flow_key key);

/* entry_flows.c */

struct entry_flow *entry_flow (const struct galena_plane *plane,
                               struct galena_handle handle);
struct entry_flow *entry_flow_find (const struct galena_plane *plane,
                                    struct galena_flow_key key,
                                    struct galena_handle *handle);
void entry_flow_remove (struct galena_plane *plane,
                        struct galena_handle handle);

/* Sends a reset to the caller of the flow that HANDLE names and forgets it. */
void entry_flow_reset (struct galena_plane *plane, struct galena_handle handle,
                       enum galena_result reason);

/* Makes the upstream that OWNER names the owner of FLOW.  */
void entry_flow_settle (struct galena_plane *plane, struct entry_flow *flow,
                        struct galena_handle owner);

/* Sends BYTES of FLOW to the upstream that HANDLE names as TYPE.  */
void entry_flow_send (struct galena_plane *plane,
                      const struct entry_flow *flow,
                      struct galena_handle handle, enum galena_peer_type type,
                      const uint8_t *bytes, uint32_t size);

/* Sends a copy of BYTES, which may change before they are sent.  */
void entry_flow_send_copy (struct galena_plane *plane,
                           const struct entry_flow *flow,
                           struct galena_handle handle,
                           enum galena_peer_type type, const uint8_t *bytes,
                           uint32_t size);

/* Keeps PACKET until a configuration or its flow's owner is known.  */
void entry_park_packet (struct galena_plane *plane,
                        const struct galena_packet *packet);

/* System: takes the packets whose wait has ended.  */
void entry_run_parked (struct galena_plane *plane);

/* Handler of packets from callers.  */
void entry_take_packet (struct galena_plane *plane,
                        const struct galena_packet *packet);

/* System: forgets flows without packets.  */
void entry_run_expire (struct galena_plane *plane);

/* entry_open.c */

/* Takes a packet that opens a flow; FLOW is its row or NULL.  */
void entry_take_open (struct galena_plane *plane, struct entry_flow *flow,
                      struct galena_handle handle,
                      const struct galena_packet *packet);

/* Forgets the opening of FLOW, if any.  */
void entry_opening_end (struct galena_plane *plane, struct entry_flow *flow);

/* Handlers.  */
void entry_take_opened (struct galena_plane *plane,
                        struct galena_endpoint peer,
                        const struct galena_peer_message *message);
void entry_take_refused (struct galena_plane *plane,
                         struct galena_endpoint peer,
                         const struct galena_peer_message *message);

/* System: tries another upstream for opens without a reply.  */
void entry_run_openings (struct galena_plane *plane);

/* entry_search.c */

/* Begins to look for the owner of FLOW with the packet of SIZE BYTES; the
   upstream that DENIER names, if any, does not hold it.  */
void entry_seek (struct galena_plane *plane, struct galena_handle handle,
                 struct galena_handle denier, const uint8_t *bytes,
                 uint32_t size);

/* System: asks again those that have not replied.  */
void entry_run_searches (struct galena_plane *plane);

/* Forgets the search of FLOW, if any.  */
void entry_search_end (struct galena_plane *plane, struct entry_flow *flow);

/* Handlers.  */
void entry_take_owned (struct galena_plane *plane, struct galena_endpoint peer,
                       const struct galena_peer_message *message);
void entry_take_unsure (struct galena_plane *plane,
                        struct galena_endpoint peer,
                        const struct galena_peer_message *message);
void entry_take_disowned (struct galena_plane *plane,
                          struct galena_endpoint peer,
                          const struct galena_peer_message *message);
void entry_take_lost (struct galena_plane *plane, struct galena_endpoint peer,
                      const struct galena_peer_message *message);

#endif
