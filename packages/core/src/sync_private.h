/* Tables behind sync.h.  sync.c holds the order of the systems,
   sync_links.c the links to peers, sync_messages.c what peers say,
   sync_services.c the records wanted, sync_instances.c what the list of
   instances says, sync_platform.c the reads.  */

#ifndef GALENAFORD_SYNC_PRIVATE_H
#define GALENAFORD_SYNC_PRIVATE_H

#include <galenaford/map.h>
#include <galenaford/random.h>
#include <galenaford/sync.h>

enum
{
  /* Period of the ticks without events.  */
  SYNC_TICK_MS = 100,
  /* A tick that comes this much later than the one before it is a pause. */
  SYNC_PAUSE_MS = 1000,
  /* Longest wait for what peers have accepted, at a start or after a pause;
     the time that two reads of the platform may take is added.  */
  SYNC_SETTLE_MS = 1000,
  /* The same, while records that peers hold are on their way.  */
  SYNC_SETTLE_LIMIT_MS = 5000,
  SYNC_HEARTBEAT_MS = 4000,
  /* Heartbeats that may be missed before a link is replaced.  */
  SYNC_HEARTBEATS_MISSED = 3,
  SYNC_GREETING_MS = 2000,
  SYNC_FETCH_TIMEOUT_MS = 1000,
  SYNC_FETCHES_MAX = 16,
  /* Processes that watch the index at any time, about.  */
  SYNC_WATCHERS = 256,
  SYNC_KNOWN_PEERS_MAX = 64,
  SYNC_SERVICES_MAX = 4096,
  SYNC_INSTANCES_MAX = 4096,
  SYNC_READS_MAX = 8,
  SYNC_ACTIONS_FIRST = 64,
  SYNC_ACTIONS_MAX = 65536
};

struct sync_link
{
  /* Where the peer listens; none until it says so on a link of its own.  */
  struct galena_peer peer;
  bool outgoing;
  /* Whether a heartbeat was heard.  */
  bool greeted;
  /* What the last heartbeat said.  */
  uint32_t wanted;
  bool settled;
  /* Whether the peer has announced all that it has since the last ask, and
     the number of that ask; an answer to an earlier one may be old.  */
  bool listed;
  uint32_t ask;
  struct galena_clock opened;
  struct galena_clock heard;
  struct galena_clock beat_due;
};

struct sync_peer
{
  struct galena_peer peer;
  /* Seeds stay, however often they fail.  */
  bool seed;
  uint32_t failures;
  struct galena_clock retry_at;
};

/* A service whose record is wanted, and the newest one that is known of.  */
struct sync_service
{
  uint32_t number;
  /* Empty until the index or the record said it.  */
  char name[GALENA_NAME_BYTES];
  uint64_t index_generation;
  /* What peers hold; forgotten at the instant below.  */
  uint64_t peer_generation;
  uint64_t peer_digest;
  struct galena_clock peer_until;
  /* Link of a peer that holds it, or none.  */
  struct galena_handle holder;
  /* Whether a read or fetch is on its way, and when it is given up; else
     when the next one may start.  */
  bool in_progress;
  struct galena_clock due;
  /* Generation whose record was no valid one.  */
  uint64_t refused_generation;
  /* Whether the platform's record is read even when a peer relays one.  */
  bool compare;
};

/* What is known of an instance from the list.  */
struct sync_instance
{
  uint32_t number;
  uint64_t generation;
  bool leaving;
  struct galena_clock at;
};

struct sync_read
{
  enum galena_sync_read_type type;
  uint32_t service;
};

/* A read that is repeated; see sync_platform.c.  */
struct sync_poll
{
  struct galena_clock due;
  struct galena_handle read;
  /* Whether one has ended since the start, and whether well.  */
  bool ended;
  bool succeeded;
};

struct galena_sync
{
  struct galena_sync_options options;
  struct galena_clock now;
  struct galena_random random;
  struct galena_records *records;
  struct galena_table *links;
  struct galena_table *peers;
  struct galena_table *services;
  struct galena_map *services_by_number;
  struct galena_table *instances;
  struct galena_map *instances_by_number;
  struct galena_table *reads;
  struct sync_poll polls[GALENA_SYNC_READ_COUNT];
  /* A ring of what the front end has to do.  */
  struct galena_sync_action *actions;
  uint32_t action_room;
  uint32_t action_head;
  uint32_t action_count;
  /* When the next read of the platform may start.  */
  struct galena_clock platform_due;
  uint32_t platform_failures;
  uint64_t platform_reads;
  uint64_t index_generation;
  /* Of the newest list of instances read here, and its size.  */
  uint64_t list_generation;
  uint32_t list_total;
  /* Fetches from peers on their way, as last counted.  */
  uint32_t fetches;
  bool settled;
  struct galena_clock unsettled_at;
  struct galena_clock renewed;
  bool changed;
};

/* sync.c */

/* Appends an action to be filled in; NULL when the front end is far behind,
   which later heartbeats make up for.  */
struct galena_sync_action *sync_act (struct galena_sync *sync,
                                     enum galena_sync_action_type type);
/* Starts again to learn what the fleet has accepted.  */
void sync_unsettle (struct galena_sync *sync);

/* sync_links.c */

void sync_run_link_timeouts (struct galena_sync *sync);
void sync_run_connects (struct galena_sync *sync);
void sync_run_heartbeats (struct galena_sync *sync);
/* Adds PEER to the known ones, or learns its role.  */
void sync_know_peer (struct galena_sync *sync, struct galena_peer peer,
                     bool seed);
void sync_end_link (struct galena_sync *sync, struct galena_handle handle,
                    bool close);
/* Returns the number of links on which a peer was heard.  */
uint32_t sync_count_links (const struct galena_sync *sync);
/* Asks every peer what it has accepted.  */
void sync_ask_peers (struct galena_sync *sync);

/* sync_messages.c */

/* Sends MESSAGE on the link that HANDLE names.  */
void sync_send (struct galena_sync *sync, struct galena_handle handle,
                const struct galena_sync_message *message);
void sync_send_heartbeat (struct galena_sync *sync,
                          struct galena_handle handle);
/* Asks the peer on a link to announce what may be missing here.  */
void sync_ask_peer (struct galena_sync *sync, struct galena_handle handle);
void sync_receive (struct galena_sync *sync, struct galena_handle handle,
                   const struct galena_sync_message *message);
/* Announces the record of SERVICE in force to all peers that keep it, but
   for the one on the link EXCEPT.  */
void sync_announce (struct galena_sync *sync,
                    const struct galena_service *service,
                    struct galena_handle except);

/* sync_services.c */

void sync_run_fetches (struct galena_sync *sync);
/* Fetches the record of ROW from the peer that holds it, if it is behind and
   the bound on fetches allows.  */
void sync_fetch (struct galena_sync *sync, struct sync_service *row);
/* Returns the row of service NUMBER, made when there is none; NULL when the
   service is not wanted or the table is full.  */
struct sync_service *sync_service_row (struct galena_sync *sync,
                                       uint32_t number);
/* Tells whether a newer record of ROW than the one in force is known of.  */
bool sync_is_behind (const struct galena_sync *sync,
                     const struct sync_service *row);
/* Takes RECORD, which came on the link FROM or from the platform.  */
void sync_take_record (struct galena_sync *sync,
                       const struct galena_service_record *record,
                       struct galena_handle from);
/* Ends the read or fetch of ROW without a record; the next one starts after
   WAIT_MS.  */
void sync_fetch_failed (struct galena_sync *sync, struct sync_service *row,
                        uint32_t wait_ms);
/* Notes that the newest known record of ROW is no valid one.  */
void sync_refuse_record (struct galena_sync *sync, struct sync_service *row);
uint32_t sync_count_behind (const struct galena_sync *sync);

/* sync_instances.c */

/* Takes in that UPSTREAM was leaving or not in list GENERATION.  */
void sync_take_instance (struct galena_sync *sync, uint32_t upstream,
                         uint64_t generation, bool leaving,
                         struct galena_handle from);
void sync_take_leaving_list (struct galena_sync *sync,
                             const struct galena_instance_list *list);
uint64_t sync_leaving_digest (const struct galena_sync *sync);
uint32_t sync_count_leaving (const struct galena_sync *sync);
void sync_send_leaving (struct galena_sync *sync, struct galena_handle link);
void sync_run_instances (struct galena_sync *sync);

/* sync_platform.c */

void sync_run_reads (struct galena_sync *sync);
/* Starts a read when one may start now; false when not.  */
bool sync_start_read (struct galena_sync *sync,
                      const struct galena_sync_read *what,
                      struct galena_handle *handle);
void sync_read_ended (struct galena_sync *sync,
                      const struct galena_sync_event *event);
/* Returns the time over which all processes spread one read each.  */
uint32_t sync_spread_ms (const struct galena_sync *sync);
/* Draws when the next read may start, after something that many processes
   see at once.  */
void sync_spread_reads (struct galena_sync *sync);

static const struct galena_handle SYNC_NONE = { 0, 0 };

#endif
