/* The tables of an entry's plane: upstreams, flows, pending opens, searches
   for the owners of flows, and parked packets.  */

#ifndef GALENAFORD_ENTRY_TABLES_H
#define GALENAFORD_ENTRY_TABLES_H

#include <galenaford/load_estimate.h>
#include <galenaford/open_order.h>
#include <galenaford/outlier.h>
#include <galenaford/query_batch.h>
#include <galenaford/rate_window.h>

#include "plane_private.h"

struct entry_waiting;

enum
{
  /* Maximum number of upstreams: those of the largest planned deployment, with
     room to replace a third of them at once.  */
  ENTRY_UPSTREAMS_MAX = 4096,
  ENTRY_OPENINGS_MAX = 4096,
  ENTRY_SEARCHES_MAX = 1024,
  /* Maximum number of parked packets: those that wait for a configuration or
     for the end of a search.  */
  ENTRY_PARKED_MAX = 512,
  /* Maximum number of upstreams that one open is sent to.  */
  ENTRY_ATTEMPTS_MAX = 8,
  /* Maximum number of requests per slot of an upstream while its service has a
     backlog: further ones would wait in the upstream's queue, in order of
     arrival, and not at the entry, in the order of need.  Without a backlog so
     low a limit would leave slots idle between two reports.  */
  ENTRY_ORDERED_REQUESTS_PER_SLOT = 2,
  SEARCH_BITMAP_WORDS = ENTRY_UPSTREAMS_MAX / 64,
  /* Maximum number of owner queries that wait to be sent together, and of
     agents that they are for.  They are sent when there are more.  */
  QUERIES_MAX = 8192,
  QUERY_AGENTS_MAX = 1024,
  /* Number of the latest batches whose replies are understood: at the largest
     fan-out of a service, 140 agents, two batches each and their repetition.
     An older one is repeated as if it had been lost.  */
  QUERY_BATCHES_MAX = 560,
  /* Maximum number of evacuated zones whose beginning and end is logged: as
     many as the catalog keeps.  */
  ENTRY_EVACUATED_MAX = 64,
  /* Maximum number of upstreams that warm up and for which opens are counted:
     all those of the largest deployment, in one megabyte.  */
  ENTRY_WARM_UPS_MAX = 256,
  /* Length of a slow start.  */
  ENTRY_SLOW_START_MS = 2000
};

/* An upstream and the agent on its instance.  */
struct upstream_row
{
  struct galena_endpoint agent;
  /* Service, and port of the upstream itself, as published, and as reported by
     the agent; 0 when unknown.  */
  galena_service_key published_service;
  galena_service_key reported_service;
  uint16_t published_port;
  uint16_t reported_port;
  /* Whether another entry has listed the agent, which has not reported to this
     one yet.  */
  bool listed;
  enum galena_published_state published_state;
  /* Pass over a directory that last found a registration of it, the index of
     that in the directory, and the number of further ones that may be its own
     as well.  */
  uint64_t directory_pass;
  uint32_t published_index;
  uint32_t rivals;
  /* Number of registrations at its instance that were not taken for its own,
     in this pass and in the one before.  */
  uint32_t ignored;
  uint32_t ignored_before;
  /* Number of the last directory that listed it, and since when none
     does.  */
  uint64_t directory_number;
  struct galena_clock absent_since;
  /* 0 when unknown.  */
  uint64_t started_unix_ms;
  /* Latest credible start of the registrations that may be its own, in this
     pass, and the one that its agent was told last.  */
  uint64_t newest_start_unix_ms;
  uint64_t told_start_unix_ms;
  /* Since when this entry has known the latest start.  */
  uint64_t known_start_unix_ms;
  struct galena_clock start_known_since;
  uint64_t zone;
  uint32_t slots;
  /* When it has warmed up, by the registration with this start, sequence
     number and time left.  */
  struct galena_clock warmed_up_at;
  bool warm_up_known;
  uint64_t warm_up_started;
  uint64_t warm_up_sequence;
  uint32_t warm_up_published_ms;
  /* New flows per second that it takes meanwhile, 0 for no limit; the row that
     counts the opens sent to it, or none; and until when its agent takes none,
     since it has refused one.  */
  uint32_t warm_up_per_s;
  struct galena_handle warm_up;
  struct galena_clock warm_up_held_until;
  /* When the last message of the agent came, ms 0 when none did, and when the
     agent started.  */
  struct galena_clock last_seen;
  struct galena_clock agent_started;
  /* Whether the agent reported last that the upstream has ended.  */
  bool ended;
  struct galena_load load;
  /* When that load was reported; ms 0 when it never was.  */
  struct galena_clock reported_at;
  /* Opens that this entry sent and that are not answered, and when it sent the
     last one.  */
  uint32_t unanswered_opens;
  struct galena_clock last_open_at;
  /* Number of the first and the last of the queries that wait for it in the
     queue, counted from 1; 0 for none.  */
  uint32_t first_query;
  uint32_t last_query;
  /* When it was last sent an owner query; ms 0 for never.  */
  struct galena_clock queried_at;
  /* Probes that its agent has not answered yet, and when half of them were
     last counted as lost.  */
  uint32_t probes_out;
  struct galena_clock probes_halved_at;
  /* Whether queries without an answer are due again, since the agent may
     answer them now, and the search up to which they were repeated.  */
  bool woken;
  uint32_t wake_cursor;
  /* Until then its agent is assumed not to know which flows it holds, because
     it has replied so.  */
  struct galena_clock unsure_until;
  /* Not chosen for new flows until then, because an open timed out.  */
  struct galena_clock suspect_until;
  /* Until then the share of its slots that is used grows from a tenth to all
     over ENTRY_SLOW_START_MS, since it gets flows again after a time without
     any.  */
  struct galena_clock slow_start_until;
  /* What the directory says of the evacuation of its zone, and whether its
     agent is to be told at once.  */
  struct galena_zone_state zone_state;
  bool zone_untold;
  /* Counts as evacuated until then, because an agent of its zone refused an
     open for this reason.  */
  struct galena_clock evacuated_until;
  /* When the last report with figures on outcomes came; ms 0 while there is
     none that counts.  */
  struct galena_clock outcomes_at;
  /* Its ejections, and the start in Unix milliseconds of the incarnation that
     they concern.  */
  struct galena_outlier_state outlier;
  uint64_t outlier_started_unix_ms;
};

enum flow_state
{
  /* An open was sent; no packet of the open flow has been seen.  */
  FLOW_OPENING,
  /* Packets are forwarded to the owner.  */
  FLOW_OPEN,
  /* A search for the owner is in progress.  */
  FLOW_SEARCHING,
  /* No upstream holds the flow, and its caller was sent a reset.  */
  FLOW_RESET
};

/* An attempt to open a flow at one upstream.  */
struct open_attempt
{
  struct galena_handle upstream;
  bool accepted;
  bool refused;
  /* Whether it was refused since another upstream was expected to answer
     sooner, so that it may be tried again.  */
  bool handed_back;
  /* The upstream's first sequence number, once accepted.  */
  uint32_t sequence;
};

struct entry_flow
{
  struct galena_flow_key key;
  enum flow_state state;
  /* Whether the caller has closed or reset it.  */
  bool ended;
  /* Service that the flow is opened at; 0 when this entry has not seen the
     open.  */
  galena_service_key service;
  /* Its requests, as the route describes them.  */
  struct galena_work_class work;
  /* Upstream that owns the flow; while it is being opened, the one that the
     open was sent to last.  */
  struct galena_handle owner;
  struct open_attempt attempts[ENTRY_ATTEMPTS_MAX];
  uint32_t attempt_count;
  /* Expected time in microseconds until the best other upstream would answer,
     as of the last attempt; UINT32_MAX when this one is to accept the flow. */
  uint32_t alternative_us;
  /* Sequence number that the caller acknowledged last.  */
  uint32_t acknowledged;
  /* Sequence numbers of the caller.  */
  struct galena_caller_numbers numbers;
  /* When the caller's current request began, ms 0 before the first one, and
     what its packets acknowledge: only the next request acknowledges more.  */
  struct galena_clock request_began;
  uint32_t request_acknowledged;
  struct galena_clock began;
  struct galena_clock last_active;
  /* Its rows in the tables of openings and searches, or none.  */
  struct galena_handle opening;
  struct galena_handle search;
};

/* A buffered open, for retransmission until the flow is open.  */
struct opening_row
{
  struct galena_handle flow;
  /* Whether it waits until an upstream is no longer busy.  */
  bool deferred;
  struct galena_clock sent;
  uint32_t size;
  uint8_t bytes[GALENA_OPEN_PACKET_BYTES];
};

/* A search for the owner of a flow.  */
struct search_row
{
  struct galena_handle flow;
  struct galena_clock began;
  /* Whether upstreams of all services are queried.  */
  bool all_services;
  /* One bit per row of an upstream: those that replied "disowned", those that
     were queried, those that were queried since the last repetition, and those
     that got a probe since their last query.  */
  uint64_t denied[SEARCH_BITMAP_WORDS];
  uint64_t queried[SEARCH_BITMAP_WORDS];
  uint64_t fresh[SEARCH_BITMAP_WORDS];
  uint64_t probed[SEARCH_BITMAP_WORDS];
  /* Number of "disowned" replies, and when the first one came.  */
  uint32_t denials;
  struct galena_clock denied_since;
  /* Maximum number of upstreams in the next batch of first queries, and when
     it is due if the last one is not answered before.  */
  uint32_t batch_size;
  struct galena_clock batch_due;
  /* Queried upstreams that have not denied the flow yet.  */
  uint32_t unanswered;
  /* Whether all upstreams are queried for the first time.  */
  bool first_pass;
  /* Whether the first batch of queries was the last one.  */
  bool first_batch;
  /* Whether agents have replied "unsure" that get a probe in the next run.  */
  bool probes_due;
  /* When queries without an answer are repeated, and the interval after
     that.  */
  struct galena_clock repeat_due;
  uint32_t repeat_ms;
  /* The packet that began the search, sent in probes and to the owner.  */
  uint32_t size;
  uint8_t bytes[GALENA_BUFFERED_PACKET_BYTES];
};

/* A packet that waits for a configuration, or for the end of the search for
   the owner of its flow.  */
struct parked_row
{
  /* Whether it was processed; the next tick then removes the row.  */
  bool processed;
  struct galena_clock since;
  struct galena_packet packet;
  uint8_t bytes[GALENA_BUFFERED_PACKET_BYTES];
};

/* A policy by which an upstream is chosen for a new flow.  */
struct choice_policy
{
  const char *name;
  /* Returns the cost of sending one more flow to UPSTREAM; the upstream with
     the lowest cost is chosen.  MEAN is assumed where nothing is known.  */
  double (*cost) (const struct galena_plane *plane,
                  const struct upstream_row *upstream,
                  const struct galena_service_mean *mean);
  /* Number of upstreams compared for each flow: those of the highest ranks in
     rendezvous hashing.  */
  uint32_t candidates;
  /* Whether costs are expected times in microseconds until an answer.  The
     measured ways to the upstreams are added to such costs, and agents may
     compare them with their own.  */
  bool is_time;
};

/* Utilisation of the link, and whether the entry is out of rotation because of
   it.  */
struct link_usage
{
  struct galena_clock measured;
  /* Byte counts of the plane at that time.  */
  uint64_t bytes_in;
  uint64_t bytes_out;
  /* Moving average of the rate.  */
  double kbps;
  bool out_of_rotation;
  /* When that changed last, and how long the entry stays out of rotation.  */
  struct galena_clock changed;
  int64_t out_of_rotation_ms;
};

/* Token bucket for bulk data on the link.  */
struct bulk_bucket
{
  /* Bytes that may be sent; below 0 when other packets took more.  */
  double tokens;
  /* Bytes of bulk data sent in this tick.  */
  double bulk_bytes;
  /* Bytes that the plane had sent at the last refill, and when that was.  */
  uint64_t counted_bytes;
  struct galena_clock counted_at;
};

/* Token bucket for searches on the link.  */
struct search_bucket
{
  /* Bytes that may be sent.  */
  double tokens;
  /* Bytes that searches have sent since the last refill.  */
  double search_bytes;
  /* Bytes that the plane had sent at the last refill, and when that was.  */
  uint64_t counted_bytes;
  struct galena_clock refilled_at;
};

/* An owner query that waits to be sent, and the next one for the same agent:
   its number from 1 on, or 0.  */
struct query_row
{
  struct galena_handle search;
  uint32_t next;
};

/* A batch query that was sent; its number is 0 once it was answered.  */
struct query_batch
{
  uint32_t number;
  struct galena_handle upstream;
  uint32_t count;
  struct galena_handle searches[GALENA_QUERY_BATCH_MAX];
};

struct query_queue
{
  uint32_t count;
  struct query_row rows[QUERIES_MAX];
  uint32_t agent_count;
  struct galena_handle agents[QUERY_AGENTS_MAX];
  uint32_t last_number;
  struct query_batch batches[QUERY_BATCHES_MAX];
};

/* The replies of other entries about agents whose upstreams are not
   published.  */
struct agent_knowledge
{
  /* Since when it asks them; ms 0 before the first tick.  */
  struct galena_clock since;
  /* Whether an entry that knows all agents has listed them.  */
  bool listed;
  /* One bit per seed that has just started as well.  */
  uint32_t partial_seeds;
  /* The list that is being put together: its sender, ip 0 for none, its
     number, when its first part came, and one bit per part that came.  */
  uint32_t parts_from;
  uint32_t parts_number;
  struct galena_clock parts_since;
  uint32_t parts_seen;
};

struct entry_tables
{
  struct agent_knowledge knowledge;
  /* Number of the list of agents that was sent last.  */
  uint32_t list_number;
  struct bulk_bucket bulk_bucket;
  struct link_usage link_usage;
  struct galena_table *upstreams;
  struct galena_map *upstreams_by_ip;
  struct galena_table *flows;
  struct galena_map *flows_by_key;
  struct galena_table *openings;
  struct galena_table *searches;
  struct galena_table *parked;
  /* Opens sent to upstreams that warm up, struct galena_rate_window.  */
  struct galena_table *warm_ups;
  /* When the parked packet that is being processed came, so that a caller's
     time is counted from its first packet; ms 0 outside of that, and without
     load control.  */
  struct galena_clock parked_since;
  /* NULL without load control.  */
  struct entry_waiting *waiting;
  const struct choice_policy *choice;
  /* Moving average of the time in milliseconds until agents reply to an
     open.  */
  double mean_reply_ms;
  /* The same of agents in the own zone, and in other zones: the ways there
     and back.  */
  double own_zone_ms;
  double other_zone_ms;
  struct search_bucket search_bucket;
  struct query_queue queries;
  /* Where the next pass over the searches begins.  */
  uint32_t search_cursor;
  /* Whether the token bucket was emptied.  The next pass over the searches
     then waits for the tokens of two messages to each agent: with fewer a pass
     gets to few searches, and each of their queries is a message of its
     own.  */
  bool searches_wait;
  /* Until then the queries of a few searches are collected too.  */
  struct galena_clock collects_until;
  /* Whether any upstream is woken.  */
  bool any_woken;
  /* Agent that handed a packet to others last, and the last of the searches
     that get probes after the first ones.  */
  uint32_t spread_cursor;
  uint32_t probe_cursor;
  /* Number of the directory that was applied last, 0 to apply it again, and
     the version of its configuration.  */
  uint64_t directory_number;
  uint64_t version;
  /* Number of passes over a directory.  */
  uint64_t directory_pass;
  /* Where the next round of hellos begins.  */
  uint32_t hello_cursor;
  /* Whether agents may not have been told a new start of their upstream, or a
     change of their zone.  */
  bool hellos_due;
  /* Number of live entries, with this one, and when it was counted.  */
  uint32_t live_entries;
  struct galena_clock live_counted_at;
  /* Zones that were evacuated in the last directory.  */
  uint32_t evacuated_count;
  uint64_t evacuated_zones[ENTRY_EVACUATED_MAX];
  /* Rows that are judged, one for each upstream at most; NULL without load
     control.  */
  struct galena_outlier_row *outlier_rows;
  /* Number of ejected upstreams.  */
  uint32_t ejected_count;
  /* No upstream is ejected before: reports that waited while the process was
     paused are old.  */
  struct galena_clock outliers_from;
};

/* entry_upstreams.c */

struct upstream_row *entry_upstream (const struct galena_plane *plane,
                                     struct galena_handle handle);

/* Returns the row of the agent at IP and its handle, or NULL.  */
struct upstream_row *entry_upstream_at (const struct galena_plane *plane,
                                        uint32_t ip,
                                        struct galena_handle *handle);

/* Adds a row for the agent at IP, of which there is none, and stores its
   handle.  Returns NULL when the table is full, which is counted.  */
struct upstream_row *entry_upstream_add (struct galena_plane *plane,
                                         uint32_t ip,
                                         struct galena_handle *handle);

/* Returns the service that UPSTREAM belongs to: the one that its agent reports
   if known, else the published one.  */
galena_service_key entry_service_of (const struct upstream_row *upstream);

/* Returns whether UPSTREAM accepts new flows.  */
bool entry_is_ready (const struct upstream_row *upstream);

/* Returns whether UPSTREAM certainly holds no flow any more.  */
bool entry_is_gone (const struct galena_plane *plane,
                    const struct upstream_row *upstream);

/* Returns whether UPSTREAM has ended together with its agent, which reported
   this when it was stopped.  */
bool entry_has_ended (const struct galena_plane *plane,
                      const struct upstream_row *upstream);

/* Returns whether the agent of UPSTREAM was not heard for longer than the
   period of its announcements.  */
bool entry_agent_is_away (const struct galena_plane *plane,
                          const struct upstream_row *upstream);

/* Updates the row of the agent at PEER from the load in MESSAGE.  Returns the
   row, which is added if needed, and its handle; NULL when the table is
   full.  */
struct upstream_row *entry_update_from_agent (
    struct galena_plane *plane, struct galena_endpoint peer,
    const struct galena_peer_message *message, struct galena_handle *handle);

/* Record that an open was sent to UPSTREAM, or that it replied to one.  */
void entry_note_open_sent (struct galena_plane *plane,
                           struct upstream_row *upstream);
void entry_note_open_reply (struct upstream_row *upstream);

/* Begins a slow start of UPSTREAM at FROM.  */
void entry_start_slowly (struct upstream_row *upstream,
                         struct galena_clock from);

/* Returns the slots of UPSTREAM that new flows may use: all of them, or fewer
   during a slow start.  */
double entry_usable_slots (const struct galena_plane *plane,
                           const struct upstream_row *upstream);

/* Marks the upstream that HANDLE names as suspect for a limited time.  */
void entry_suspect (struct galena_plane *plane, struct galena_handle handle);

/* System: sends heartbeats to agents, and removes upstreams that are gone.  */
void entry_run_hello (struct galena_plane *plane);

/* System: sends hellos to agents that were not told a new start of their
   upstream, or that their zone was evacuated or returned.  */
void entry_run_due_hellos (struct galena_plane *plane);
/* Sends a heartbeat to the agent of UPSTREAM.  */
void entry_send_hello (struct galena_plane *plane,
                       struct upstream_row *upstream);

/* entry_zones.c */

/* Returns whether UPSTREAM is in an evacuated zone, as far as is known.  */
bool entry_is_evacuated (const struct galena_plane *plane,
                         const struct upstream_row *upstream);

/* Records that the agent of REFUSING has refused an open because its zone is
   evacuated.  */
void entry_note_evacuated (struct galena_plane *plane,
                           struct upstream_row *refusing);

/* Applies the evacuations in the directory to the table of upstreams.  */
void entry_apply_zones (struct galena_plane *plane);

/* Replies to a heartbeat of the agent at PEER, which may have just started,
   with a hello if its zone is evacuated or its upstream warms up.  */
void entry_tell_agent (struct galena_plane *plane,
                       struct galena_endpoint peer);

/* entry_warm_up.c */

/* Returns the milliseconds until UPSTREAM has warmed up, as published.  */
uint32_t entry_warm_up_left_ms (const struct galena_plane *plane,
                                const struct upstream_row *upstream);

/* Returns whether UPSTREAM warms up and has got what this entry may send
   it.  */
bool entry_is_warming_up (const struct galena_plane *plane,
                          const struct upstream_row *upstream);

/* Record that an open was sent to UPSTREAM, or that its agent refused one
   because it warms up.  */
void entry_warm_up_note_open (struct galena_plane *plane,
                              struct upstream_row *upstream);
void entry_warm_up_note_refusal (struct galena_plane *plane,
                                 struct upstream_row *upstream);

/* Frees the row that counts the opens of UPSTREAM unless it warms up.  */
void entry_warm_up_release (struct galena_plane *plane,
                            struct upstream_row *upstream);

/* Applies what PUBLISHED, in the directory, says of the warm-up of
   UPSTREAM.  */
void entry_warm_up_apply (struct galena_plane *plane,
                          struct upstream_row *upstream,
                          const struct galena_published_upstream *published);
/* entry_outlier.c */

/* Returns whether UPSTREAM is ejected: it gets new flows only as a last
   resort.  */
bool entry_is_ejected (const struct galena_plane *plane,
                       const struct upstream_row *upstream);

/* System: ejects outliers and reinstates them.  */
void entry_run_outliers (struct galena_plane *plane);

/* entry_knowledge.c */

/* Makes the entry ask other entries for agents that it may lack, from now
   on.  */
void entry_ask_for_agents (struct galena_plane *plane);

/* System: asks from the first tick on, until enough is known.  */
void entry_run_knowledge (struct galena_plane *plane);

/* Returns whether the entry has asked everybody: an upstream of whose agent it
   does not know can't hold a flow.  */
bool entry_knows_agents (const struct galena_plane *plane);

/* Sends the entry at PEER a list of the agents that this one would ask.  */
void entry_send_agents (struct galena_plane *plane,
                        struct galena_endpoint peer);

/* Handler of such a list.  */
void entry_on_agents (struct galena_plane *plane, struct galena_endpoint peer,
                      const struct galena_peer_message *message);

/* entry_published.c */

/* System: applies a new directory to the table of upstreams.  */
void entry_run_directory (struct galena_plane *plane);

/* Applies that another entry has listed the agent of UPSTREAM.  */
void entry_apply_listed (struct galena_plane *plane,
                         struct upstream_row *upstream);

/* Records that the agent of UPSTREAM reports SERVICE and the PORT of its
   upstream, 0 for unknown.  The directory is applied again if that may show
   another of its entries to be that of the upstream.  */
void entry_apply_report (struct galena_plane *plane,
                         struct upstream_row *upstream,
                         galena_service_key service, uint16_t port);

/* entry_capacity.c */

/* System: refills the token bucket for bulk data.  */
void entry_run_bulk_refill (struct galena_plane *plane);

/* Takes the tokens for a packet of bulk data of FLOW with BYTES; returns false
   when the link has no room for it, or when its caller no longer waits.  */
bool entry_admits_bulk (struct galena_plane *plane,
                        const struct entry_flow *flow, uint32_t bytes);

/* System: measures the link, and takes the entry out of rotation or back.  */
void entry_run_capacity (struct galena_plane *plane);

/* entry_choice.c */

enum
{
  RANKING_MAX = 16
};

/* The upstreams of the highest ranks, highest first.  */
struct ranking
{
  /* Maximum number of upstreams, up to RANKING_MAX.  */
  uint32_t limit;
  uint32_t count;
  struct galena_handle rows[RANKING_MAX];
  uint64_t ranks[RANKING_MAX];
};

/* Adds the upstream that HANDLE names if RANK is high enough.  */
void entry_rank_add (struct ranking *ranking, struct galena_handle handle,
                     uint64_t rank);

/* Returns the policy with NAME, or the default one of PLANE if NAME is NULL.
   An unknown name returns NULL.  */
const struct choice_policy *
entry_choice_named (const struct galena_plane *plane, const char *name);

enum choice_outcome
{
  CHOICE_MADE,
  /* All upstreams that may be chosen are at their limit of requests.  */
  CHOICE_BUSY,
  CHOICE_NONE
};

struct choice
{
  struct galena_handle upstream;
  /* Expected time in microseconds until the best other upstream would answer,
     with the way there; UINT32_MAX if there is none.  */
  uint32_t alternative_us;
};

/* Chooses an upstream of FLOW's service that its open was not sent to yet, or
   if there is none, one that handed it back.  */
enum choice_outcome entry_choose (struct galena_plane *plane,
                                  const struct entry_flow *flow,
                                  struct choice *choice);

/* Returns why no upstream of SERVICE can be chosen: all that accept flows are
   in evacuated zones, or there are none.  */
enum galena_result entry_no_upstream_reason (const struct galena_plane *plane,
                                             galena_service_key service);

/* Returns the rank of UPSTREAM for flow KEY by rendezvous hashing; the highest
   one comes first.  All entries of a zone compute the same ranks, so that a
   search finds the owner where the flow was placed.  */
uint64_t entry_rank (const struct galena_plane *plane,
                     struct galena_flow_key key,
                     const struct upstream_row *upstream);

/* Returns the service that gets the new flow KEY on ROUTE; 0 when the route
   has no weights.  */
galena_service_key entry_service_for (const struct galena_route *route,
                                      struct galena_flow_key key);

/* entry_flows.c */

struct entry_flow *entry_flow (const struct galena_plane *plane,
                               struct galena_handle handle);
struct entry_flow *entry_flow_find (const struct galena_plane *plane,
                                    struct galena_flow_key key,
                                    struct galena_handle *handle);
void entry_flow_remove (struct galena_plane *plane,
                        struct galena_handle handle);

/* Sends a reset to the caller of the flow that HANDLE names and logs it with
   REASON.  Removes the flow, or keeps it as reset for a while if REASON is
   GALENA_UNKNOWN_FLOW.  */
void entry_flow_reset (struct galena_plane *plane, struct galena_handle handle,
                       enum galena_result reason);

/* Makes the upstream that OWNER names the owner of FLOW.  */
void entry_flow_set_owner (struct galena_plane *plane, struct entry_flow *flow,
                           struct galena_handle owner);

/* Sends the packet of SIZE BYTES of FLOW to the agent of the upstream that
   HANDLE names, in a message of TYPE.  BYTES are borrowed until the output of
   the tick has been sent.  */
void entry_flow_send (struct galena_plane *plane,
                      const struct entry_flow *flow,
                      struct galena_handle handle, enum galena_peer_type type,
                      const uint8_t *bytes, uint32_t size);

/* Same, but sends a copy of BYTES.  */
void entry_flow_send_copy (struct galena_plane *plane,
                           const struct entry_flow *flow,
                           struct galena_handle handle,
                           enum galena_peer_type type, const uint8_t *bytes,
                           uint32_t size);

/* Parks PACKET until a configuration or the owner of its flow is known.  */
void entry_park_packet (struct galena_plane *plane,
                        const struct galena_packet *packet);

/* System: processes parked packets that can go on, and drops those that have
   waited too long.  */
void entry_run_parked (struct galena_plane *plane);

/* Handler of packets from callers.  */
void entry_on_packet (struct galena_plane *plane,
                      const struct galena_packet *packet);

/* System: removes flows whose idle timeout has passed.  */
void entry_run_expire (struct galena_plane *plane);

/* entry_open.c */

/* Handles PACKET, which opens FLOW.  */
void entry_on_open_packet (struct galena_plane *plane, struct entry_flow *flow,
                           struct galena_handle handle,
                           const struct galena_packet *packet);

/* Removes the opening of FLOW, if any.  */
void entry_opening_remove (struct galena_plane *plane,
                           struct entry_flow *flow);

/* Handlers of replies to an open.  */
void entry_on_opened (struct galena_plane *plane, struct galena_endpoint peer,
                      const struct galena_peer_message *message);
void entry_on_refused (struct galena_plane *plane, struct galena_endpoint peer,
                       const struct galena_peer_message *message);

/* Sends the open of the flow that HANDLE names, which waits, to an upstream
   that is free.  Returns CHOICE_BUSY while it still waits, CHOICE_NONE when
   its caller was sent a reset because no upstream is left.  */
enum choice_outcome entry_open_try (struct galena_plane *plane,
                                    struct galena_handle handle);

/* System: sends opens that have timed out to another upstream.  */
void entry_run_openings (struct galena_plane *plane);

/* entry_search_bucket.c */

/* Refills the token bucket of searches.  */
void entry_search_refill_tokens (struct galena_plane *plane);

/* Takes the tokens for BYTES; returns false when the bucket is empty.  */
bool entry_search_take_tokens (struct galena_plane *plane, uint32_t bytes);

/* Returns whether at least half of the bucket is left.  */
bool entry_search_has_spare_tokens (const struct galena_plane *plane);

/* Returns whether BYTES, or half of the bucket if that is less, are left.  */
bool entry_search_has_tokens_for (const struct galena_plane *plane,
                                  uint32_t bytes);

/* entry_queries.c */

/* Queues a query of the search that SEARCH names to the agent of the upstream
   that HANDLE names; returns false when the token bucket is empty.  */
bool entry_query_add (struct galena_plane *plane, struct galena_handle search,
                      struct galena_handle handle);

/* Sends the queued queries.  */
void entry_queries_send (struct galena_plane *plane);

/* Handler of replies to batch queries.  */
void entry_on_answers (struct galena_plane *plane, struct galena_endpoint peer,
                       const struct galena_peer_message *message);

/* entry_probes.c */

/* System: sends the packets of searches to agents that are unsure, as far as
   these keep up with them.  */
void entry_run_probes (struct galena_plane *plane);

/* Record that the agent of UPSTREAM gets a probe of SEARCH, or that it has
   answered one.  */
void entry_probe_sent (struct galena_plane *plane, struct search_row *search,
                       struct galena_handle upstream);
void entry_probe_answered (struct galena_plane *plane,
                           struct galena_handle upstream);
/* entry_estimate.c */

/* Returns what is expected of the upstreams of SERVICE.  */
struct galena_service_estimate
entry_estimate (const struct galena_plane *plane, galena_service_key service);

/* entry_search.c */

/* Returns the search of FLOW, or NULL.  */
struct search_row *entry_search_of (const struct galena_plane *plane,
                                    const struct entry_flow *flow);

/* Logs EVENT of the search for FLOW; AGENT is the one concerned, if any.  */
void entry_search_log (struct galena_plane *plane,
                       enum galena_plane_event event,
                       const struct entry_flow *flow,
                       struct galena_endpoint agent);

/* Records that UPSTREAM does not hold the flow of SEARCH.  */
void entry_search_deny (const struct galena_plane *plane,
                        struct search_row *search,
                        struct galena_handle upstream);

/* Continues the search for the flow that FLOW names, whose queries are all
   answered: resets the flow or makes the next batch due.  */
void entry_search_advance (struct galena_plane *plane,
                           struct galena_handle flow);

/* Returns whether many searches are in progress, so that their queries are
   collected.  */
bool entry_search_is_collecting (const struct galena_plane *plane);

/* Returns whether the agent of UPSTREAM was queried by SEARCH, has not denied
   the flow and has got no probe since.  */
bool entry_search_needs_probe (const struct search_row *search,
                               struct galena_handle upstream);

/* Sends the agent of UPSTREAM the packet that began SEARCH; returns false when
   the token bucket is empty.  */
bool entry_search_send_probe (struct galena_plane *plane,
                              struct search_row *search,
                              struct galena_handle upstream);

/* Returns or sets whether the agent of UPSTREAM got a probe of SEARCH since it
   was queried last.  */
bool entry_search_is_probed (const struct search_row *search,
                             struct galena_handle upstream);
void entry_search_set_probed (struct search_row *search,
                              struct galena_handle upstream);

/* Starts a search for the owner of the flow that HANDLE names, with its packet
   of SIZE BYTES.  The upstream that NON_OWNER names, if any, is known not to
   hold the flow.  */
void entry_search_start (struct galena_plane *plane,
                         struct galena_handle handle,
                         struct galena_handle non_owner, const uint8_t *bytes,
                         uint32_t size);

/* System: continues the searches whose queries have timed out.  */
void entry_run_searches (struct galena_plane *plane);

/* Repeats the queries to UPSTREAM that have no answer at the next run of the
   searches, since its agent may answer them now.  */
void entry_search_wake (struct galena_plane *plane,
                        struct upstream_row *upstream);

/* Removes the search of FLOW, if any.  */
void entry_search_remove (struct galena_plane *plane, struct entry_flow *flow);

/* entry_search_replies.c */

/* Handles the ANSWER of the agent of UPSTREAM to a query of the search that
   HANDLE names, which may have ended.  */
void entry_search_on_answer (struct galena_plane *plane,
                             struct galena_handle handle,
                             struct galena_handle upstream,
                             enum galena_query_answer answer);

/* Handlers of replies to queries, probes and forwarded packets.  */
void entry_on_owned (struct galena_plane *plane, struct galena_endpoint peer,
                     const struct galena_peer_message *message);
void entry_on_unsure (struct galena_plane *plane, struct galena_endpoint peer,
                      const struct galena_peer_message *message);
void entry_on_disowned (struct galena_plane *plane,
                        struct galena_endpoint peer,
                        const struct galena_peer_message *message);
void entry_on_lost (struct galena_plane *plane, struct galena_endpoint peer,
                    const struct galena_peer_message *message);

#endif
