/* Tables behind sync.h.  The systems and the queue of actions are in sync.c,
   links to peers in sync_links.c, messages between peers in sync_messages.c,
   the state of each service's record in sync_services.c, the state of
   instances in sync_instances.c, and reads of the platform in
   sync_platform.c.  */

#ifndef GALENAFORD_SYNC_PRIVATE_H
#define GALENAFORD_SYNC_PRIVATE_H

#include <galenaford/map.h>
#include <galenaford/random.h>
#include <galenaford/sync.h>

enum
{
  /* Period of the ticks when no events arrive.  */
  SYNC_TICK_MS = 100,
  /* A gap between two ticks longer than this counts as a pause of the
     process.  */
  SYNC_PAUSE_MS = 1000,
  /* Maximum wait for the peers' records, at a start or after a pause; twice
     the interval between reads of the platform is added.  */
  SYNC_PEERS_WAIT_MS = 1000,
  /* Added to that maximum while newer records are known but not applied.  */
  SYNC_WAIT_BEHIND_MS = 5000,
  SYNC_HEARTBEAT_MS = 4000,
  /* Heartbeat periods without a message after which a link is closed.  */
  SYNC_HEARTBEATS_MISSED = 3,
  /* Maximum wait for the first heartbeat on a link.  */
  SYNC_FIRST_HEARTBEAT_MS = 2000,
  SYNC_FETCH_TIMEOUT_MS = 1000,
  /* Maximum number of concurrent fetches from peers.  */
  SYNC_FETCHES_MAX = 16,
  /* Approximate number of processes of the fleet that watch the index at any
     time.  */
  SYNC_WATCHERS = 256,
  SYNC_KNOWN_PEERS_MAX = 64,
  SYNC_SERVICES_MAX = 4096,
  SYNC_INSTANCES_MAX = 4096,
  SYNC_READS_MAX = 8,
  /* First and maximum capacity of the queue of actions.  */
  SYNC_ACTIONS_INITIAL = 64,
  SYNC_ACTIONS_MAX = 65536
};

struct sync_link
{
  /* Address on which the peer listens, known on outgoing links only, and its
     role; GALENA_ROLE_COUNT stands for an unknown role.  */
  struct galena_peer peer;
  bool outgoing;
  /* Whether a heartbeat was received.  */
  bool heartbeat_received;
  /* From the peer's last heartbeat.  */
  uint32_t subscribed_service;
  bool synced;
  /* Whether the peer has announced all its records since the last call of
     sync_request_announcement.  */
  bool announced_all;
  /* Random number of that request.  A reply with another number belongs to an
     earlier request and may be out of date.  */
  uint32_t request_number;
  struct galena_clock opened;
  struct galena_clock last_seen;
  struct galena_clock heartbeat_due;
};

struct sync_peer
{
  struct galena_peer peer;
  /* Seeds are never removed, however often they fail.  */
  bool seed;
  uint32_t failures;
  struct galena_clock retry_at;
};

/* A service whose record is kept here, and the newest record known to
   exist.  */
struct sync_service
{
  uint32_t number;
  /* Empty until it is known from the index or a record.  */
  char name[GALENA_NAME_BYTES];
  /* Generation of the record that the platform's index lists.  */
  uint64_t listed_generation;
  /* Newest record announced by peers, and when it expires; see
     expire_peer_generation.  */
  uint64_t peer_generation;
  uint64_t peer_digest;
  struct galena_clock peer_expires;
  /* Link of a peer that holds it, or none.  */
  struct galena_handle holder;
  /* Whether a read from the platform or a fetch from a peer is in progress.
     Then DUE is the timeout of the fetch, or INT64_MAX for a read, which
     always ends with an event; else the time from which the next one may
     start.  */
  bool in_progress;
  struct galena_clock due;
  /* Value of listed_generation when the record was found invalid.  */
  uint64_t refused_generation;
  /* Whether the platform's record is read for comparison even when a peer
     relays one.  */
  bool compare;
};

/* The state of an instance, from the list of instances.  */
struct sync_instance
{
  uint32_t number;
  /* Of the list that the state is from, see sync_instances.c.  */
  uint64_t position;
  bool leaving;
  /* When the state was last received.  */
  struct galena_clock updated;
};

struct sync_read
{
  enum galena_sync_read_type type;
  uint32_t service;
};

/* A periodic read; see sync_platform.c.  */
struct sync_poll
{
  struct galena_clock due;
  /* The read in progress, or a stale handle.  */
  struct galena_handle read;
  /* Whether a read has ended since the start of the process.  */
  bool ended;
  /* Whether a read has succeeded.  For the index, it is reset when the process
     is marked as not synced.  */
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
  /* Ring buffer of the actions that the front end has not taken yet.  */
  struct galena_sync_action *actions;
  uint32_t action_capacity;
  uint32_t action_head;
  uint32_t action_count;
  /* When the next read of the platform may start.  */
  struct galena_clock platform_due;
  uint32_t platform_failures;
  uint64_t platform_reads;
  /* Era and highest generation of the index that was read.  */
  uint64_t index_era;
  uint64_t index_generation;
  /* Position, see sync_instances.c, and size of the newest list of instances
     that was read, and when it is known to be complete after a change of the
     era.  */
  uint64_t list_position;
  struct galena_clock list_complete_at;
  uint32_t list_total;
  /* Number of fetches from peers in progress.  */
  uint32_t fetches;
  /* See galena_sync_is_synced.  While it is false, UNSYNCED_SINCE is the time
     of the first tick or of the end of the last pause.  */
  bool synced;
  struct galena_clock unsynced_since;
  /* When the process last became synced.  */
  struct galena_clock renewed;
  /* See galena_sync_changed.  */
  bool changed;
};

/* sync.c */

/* Appends an action of TYPE for the caller to fill in.  Returns NULL when the
   queue is full because the front end is far behind; what is lost then is
   repeated after later heartbeats.  */
struct galena_sync_action *
sync_append_action (struct galena_sync *sync,
                    enum galena_sync_action_type type);
/* Marks the process as not synced, so that it waits for the records of peers
   and the platform again.  */
void sync_mark_unsynced (struct galena_sync *sync);

/* sync_links.c */

void sync_run_link_timeouts (struct galena_sync *sync);
void sync_run_connects (struct galena_sync *sync);
void sync_run_heartbeats (struct galena_sync *sync);
/* Adds PEER to the known peers, or updates its role.  */
void sync_add_peer (struct galena_sync *sync, struct galena_peer peer,
                    bool seed);
/* Removes a link and, if CLOSE, closes its connection.  */
void sync_end_link (struct galena_sync *sync, struct galena_handle handle,
                    bool close);
/* Returns the number of links on which a heartbeat was received.  */
uint32_t sync_count_links (const struct galena_sync *sync);
/* Requests from every peer that it announces its records.  */
void sync_request_announcements (struct galena_sync *sync);

/* sync_messages.c */

/* Sends MESSAGE on the link HANDLE, if it still exists.  */
void sync_send (struct galena_sync *sync, struct galena_handle handle,
                const struct galena_sync_message *message);
void sync_send_heartbeat (struct galena_sync *sync,
                          struct galena_handle handle);
/* Requests on a link that the peer announces the records that may be missing
   here.  */
void sync_request_announcement (struct galena_sync *sync,
                                struct galena_handle handle);
void sync_receive (struct galena_sync *sync, struct galena_handle handle,
                   const struct galena_sync_message *message);
/* Announces the record of SERVICE to all peers that keep it, except to the one
   on the link EXCEPT.  */
void sync_announce (struct galena_sync *sync,
                    const struct galena_service *service,
                    struct galena_handle except);

/* sync_services.c */

void sync_run_fetches (struct galena_sync *sync);
/* Fetches the record of ROW from the peer that holds it, if it is newer than
   the current one and fewer than SYNC_FETCHES_MAX fetches are in progress.  */
void sync_fetch (struct galena_sync *sync, struct sync_service *row);
/* Returns the row of service NUMBER and creates it when there is none; NULL
   when the service is not kept here or the table is full.  */
struct sync_service *sync_service_row (struct galena_sync *sync,
                                       uint32_t number);
/* Returns whether a record of ROW newer than the current one is known to
   exist.  */
bool sync_is_behind (const struct galena_sync *sync,
                     const struct sync_service *row);
/* Handles RECORD, received on the link FROM, or read from the platform when
   FROM is SYNC_NO_LINK.  */
void sync_handle_record (struct galena_sync *sync,
                         const struct galena_service_record *record,
                         struct galena_handle from);
/* Ends the read or fetch of ROW without a record; the next one may start after
   WAIT_MS.  */
void sync_end_fetch (struct galena_sync *sync, struct sync_service *row,
                     uint32_t wait_ms);
/* Records that the newest known record of ROW is invalid.  */
void sync_refuse_record (struct galena_sync *sync, struct sync_service *row);
/* Returns the number of services that are behind.  */
uint32_t sync_count_behind (const struct galena_sync *sync);

/* sync_instances.c */

/* Handles the state of UPSTREAM in the list of instances of GENERATION,
   received on the link FROM, or read from the platform when FROM is
   SYNC_NO_LINK.  */
void sync_handle_instance (struct galena_sync *sync, uint32_t upstream,
                           uint64_t position, bool leaving,
                           struct galena_handle from);
void sync_handle_leaving_list (struct galena_sync *sync,
                               const struct galena_instance_list *list);
uint64_t sync_leaving_digest (const struct galena_sync *sync);
uint32_t sync_count_leaving (const struct galena_sync *sync);
void sync_send_leaving (struct galena_sync *sync, struct galena_handle link);
void sync_run_instances (struct galena_sync *sync);

/* sync_platform.c */

void sync_run_reads (struct galena_sync *sync);
/* Starts a read and stores its handle in *HANDLE; returns false when the rate
   limit or a full table does not allow one now.  */
bool sync_start_read (struct galena_sync *sync,
                      const struct galena_sync_read *query,
                      struct galena_handle *handle);
void sync_read_ended (struct galena_sync *sync,
                      const struct galena_sync_event *event);
/* Returns the minimum interval between two reads of one process, at which all
   processes together stay within reads_per_second.  */
uint32_t sync_read_interval_ms (const struct galena_sync *sync);
/* Delays the next read by a random part of that interval, after an event that
   many processes see at the same time.  */
void sync_add_read_jitter (struct galena_sync *sync);

static const struct galena_handle SYNC_NO_LINK = { 0, 0 };

#endif
