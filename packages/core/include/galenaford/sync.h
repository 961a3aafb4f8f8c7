/* Keeps the service records of a process up to date, by reads of the platform
   and by messages on links to peers.

   The platform is the external service that publishes the service records, an
   index of their generations and, where it has one, a list of the running
   instances.  Peers are the other entries and agents of the fleet.

   The module itself does no I/O: it emits reads, connections and messages as
   actions.  The front end, the code that does the I/O of the process, carries
   them out and reports their results back as events.  The late result of an
   abandoned action is ignored, as its handle is stale.  */

#ifndef GALENAFORD_SYNC_H
#define GALENAFORD_SYNC_H

#include <galenaford/records.h>
#include <galenaford/table.h>
#include <galenaford/world.h>

enum
{
  /* Maximum number of addresses of peers in the settings.  */
  GALENA_SYNC_SEEDS_MAX = 8,
  /* Maximum number of addresses in one message between peers.  */
  GALENA_SYNC_PEERS_MAX = 8,
  /* Maximum era of the platform, and bits of a generation of the list of
     instances: together they are one number between peers.  */
  GALENA_ERA_MAX = 1023,
  GALENA_LIST_GENERATION_BITS = 53,
  /* Maximum number of links to peers, outgoing and accepted.  */
  GALENA_SYNC_LINKS_MAX = 32
};

/* Handle of a link to a peer.  */
struct galena_peer_handle
{
  struct galena_handle row;
};

struct galena_read_handle
{
  struct galena_handle row;
};

/* A process of the fleet.  */
struct galena_peer
{
  /* Address on which it listens for peers.  */
  struct galena_endpoint address;
  /* GALENA_ROLE_COUNT stands for an unknown role.  */
  enum galena_role role;
};

/* A row of the platform's index, which lists the generation of each service's
   record.  */
struct galena_index_row
{
  char name[GALENA_NAME_BYTES];
  uint32_t number;
  uint64_t generation;
};

struct galena_index_record
{
  /* Rises when the platform comes back from an older copy; generations go back
     then and are given out again.  */
  uint64_t era;
  /* Increases whenever the record of any service changes.  */
  uint64_t generation;
  uint32_t count;
  /* Owned; COUNT rows.  */
  struct galena_index_row *rows;
};

/* A row of the platform's list of instances.  */
struct galena_instance
{
  struct galena_peer peer;
  /* Number of the upstream beside an agent; 0 for an entry.  */
  uint32_t upstream;
  bool leaving;
};

struct galena_instance_list
{
  /* As in the index.  */
  uint64_t era;
  /* Increases whenever the list changes.  */
  uint64_t generation;
  /* Number of instances in the whole list; more than COUNT when only some
     rows are given.  */
  uint32_t total;
  uint32_t count;
  /* Owned; COUNT rows.  */
  struct galena_instance *rows;
};

/* One row per message between peers: identifier, number on the wire, name.  */
#define GALENA_SYNC_MESSAGES(X)                                               \
  X (GALENA_SYNC_HEARTBEAT, 1, "heartbeat")                                   \
  X (GALENA_SYNC_ANNOUNCE, 2, "announce")                                     \
  X (GALENA_SYNC_FETCH, 3, "fetch")                                           \
  X (GALENA_SYNC_RECORD, 4, "record")                                         \
  X (GALENA_SYNC_INSTANCE, 5, "instance")                                     \
  X (GALENA_SYNC_PEERS, 6, "peers")

enum galena_sync_message_type
{
#define GALENA_SYNC_ENUM(id, number, name) id = number,
  GALENA_SYNC_MESSAGES (GALENA_SYNC_ENUM)
#undef GALENA_SYNC_ENUM
      GALENA_SYNC_MESSAGE_END
};

struct galena_sync_message
{
  enum galena_sync_message_type type;
  /* Heartbeat: the sender, and the service whose record it keeps, 0 for
     all.  */
  struct galena_peer sender;
  uint32_t subscribed_service;
  /* Heartbeat: whether the sender is synced, see galena_sync_is_synced.  */
  bool synced;
  /* Heartbeat: whether the sender requests a heartbeat in reply, which reports
     `announced_all'.  */
  bool reply_requested;
  /* Heartbeat: whether the sender has announced every record that the receiver
     may lack.  */
  bool announced_all;
  /* Number of the service (announce, fetch, record) or of the upstream
     (instance).  In a heartbeat, a random number that identifies the request
     for a reply and is repeated in the reply.  */
  uint32_t number;
  /* Generation of the record or of the list of instances.  */
  uint64_t generation;
  /* Digest of the record; in a heartbeat, of all records that the sender
     keeps.  */
  uint64_t digest;
  /* Heartbeat: digest of the leaving instances.  */
  uint64_t leaving_digest;
  /* Instance: whether it is leaving.  */
  bool leaving;
  uint32_t peer_count;
  struct galena_peer peers[GALENA_SYNC_PEERS_MAX];
  /* Received record: borrowed; NULL when it was invalid.  */
  const struct galena_service_record *record;
};

enum galena_sync_read_type
{
  /* The index; waits up to WAIT_MS for a generation above AFTER.  */
  GALENA_SYNC_READ_INDEX,
  /* The record of the service NAME.  */
  GALENA_SYNC_READ_SERVICE,
  /* The leaving rows of the list of instances.  */
  GALENA_SYNC_READ_LEAVING,
  /* The whole list of instances.  */
  GALENA_SYNC_READ_INSTANCES,
  GALENA_SYNC_READ_COUNT
};

struct galena_sync_read
{
  enum galena_sync_read_type type;
  uint32_t service;
  char name[GALENA_NAME_BYTES];
  /* Index: the platform replies at once if its era is not AFTER_ERA or its
     generation is above AFTER, else after WAIT_MS.  */
  uint64_t after_era;
  uint64_t after;
  /* Maximum time for which the platform may hold the read open, in
     milliseconds.  */
  uint32_t wait_ms;
};

enum galena_sync_action_type
{
  /* Read QUERY from the platform; ends with one event for READ.  */
  GALENA_SYNC_DO_READ,
  /* Connect PEER to ADDRESS.  */
  GALENA_SYNC_DO_CONNECT,
  /* Close the connection of PEER.  */
  GALENA_SYNC_DO_CLOSE,
  /* Send MESSAGE to PEER.  To a record message, the front end adds the text of
     the service's current record.  */
  GALENA_SYNC_DO_SEND,
  GALENA_SYNC_ACTION_COUNT
};

struct galena_sync_action
{
  enum galena_sync_action_type type;
  struct galena_read_handle read;
  struct galena_sync_read query;
  struct galena_peer_handle peer;
  struct galena_endpoint address;
  struct galena_sync_message message;
};

enum galena_sync_event_type
{
  /* The read ended with RESULT; on success its pointer below is set.  */
  GALENA_SYNC_READ_ENDED,
  /* MESSAGE was received from PEER.  */
  GALENA_SYNC_RECEIVED,
  /* The connection of PEER failed or ended.  */
  GALENA_SYNC_LINK_ENDED,
  GALENA_SYNC_EVENT_COUNT
};

struct galena_sync_event
{
  enum galena_sync_event_type type;
  struct galena_read_handle read;
  enum galena_result result;
  /* Borrowed during the call; which one is set depends on the type of the
     read.  */
  const struct galena_index_record *index;
  const struct galena_service_record *record;
  const struct galena_instance_list *instances;
  struct galena_peer_handle peer;
  const struct galena_sync_message *message;
};

struct galena_sync_options
{
  /* Role of the process and the address on which it listens for peers.
     Without an address it opens no links.  */
  struct galena_peer self;
  /* Service whose record is kept, 0 for all.  */
  uint32_t service;
  /* Addresses of the first peers to connect to.  */
  struct galena_endpoint seeds[GALENA_SYNC_SEEDS_MAX];
  uint32_t seed_count;
  /* Seed of the random numbers.  */
  uint64_t seed;
  /* Expected number of processes that read the platform; a larger list of
     instances takes precedence.  */
  uint32_t readers;
  /* Rate limit of reads per second over all processes together.  */
  uint32_t reads_per_second;
  /* Maximum duration of one long-poll read of the index in milliseconds.  */
  uint32_t wait_ms;
  /* Whether the platform has a list of instances.  */
  bool has_instance_list;
  /* Audit trail to which changes are appended; borrowed.  */
  struct galena_audit *audit;
};

struct galena_sync;

/* Creates the sync of one process in *OUT; the caller owns it.
   Errors: GALENA_ERR_INVALID, GALENA_ERR_MEMORY.  */
enum galena_result
galena_sync_create (const struct galena_sync_options *options,
                    struct galena_sync **out);

/* Destroys SYNC; accepts NULL.  */
void galena_sync_destroy (struct galena_sync *sync);

/* Runs every system that is due at NOW.  */
void galena_sync_tick (struct galena_sync *sync, struct galena_clock now);

/* Returns when the next tick is due if no event arrives.  */
struct galena_clock galena_sync_due (const struct galena_sync *sync);

/* Removes the next action from the queue and stores it in *ACTION; returns
   false when there is none.  */
bool galena_sync_next_action (struct galena_sync *sync,
                              struct galena_sync_action *action);

/* Handles EVENT, which happened at NOW.  */
void galena_sync_handle_event (struct galena_sync *sync,
                               const struct galena_sync_event *event,
                               struct galena_clock now);

/* Adds a link for a connection that a peer opened; *PEER receives its handle.
   Errors: GALENA_ERR_FULL.  */
enum galena_result galena_sync_accept (struct galena_sync *sync,
                                       struct galena_clock now,
                                       struct galena_peer_handle *peer);

/* Returns whether the current records were changed or renewed since the last
   call that returned true, so that a new snapshot is due.  Returns false as
   long as the process is not synced.  */
bool galena_sync_changed (struct galena_sync *sync);

/* Returns whether the process is synced: its records are known to be no older
   than those that the fleet has accepted.  */
bool galena_sync_is_synced (const struct galena_sync *sync);

/* Creates a snapshot of the current records in *OUT; the caller owns it.
   Errors: GALENA_ERR_MEMORY.  */
enum galena_result galena_sync_snapshot (const struct galena_sync *sync,
                                         struct galena_config **out);

/* Returns the current records.  */
const struct galena_records *
galena_sync_records (const struct galena_sync *sync);

struct galena_sync_usage
{
  /* Number of links on which a heartbeat was received.  */
  uint32_t links;
  /* Number of services whose newest known record is not applied yet.  */
  uint32_t behind;
  uint32_t known_peers;
  /* Number of upstreams marked as leaving.  */
  uint32_t leaving;
  /* Number of reads of the platform started so far.  */
  uint64_t reads;
};

void galena_sync_usage (const struct galena_sync *sync,
                        struct galena_sync_usage *usage);

#endif
