/* How the records reach a process: reads of the platform, links to peers,
   and what is taken into force.

   Typed reads, connections and messages come out as actions; a front end
   carries them out and hands the results back as events.  No call here does
   I/O, and a late result of an abandoned action is ignored by its handle.  */

#ifndef GALENAFORD_SYNC_H
#define GALENAFORD_SYNC_H

#include <galenaford/records.h>
#include <galenaford/table.h>
#include <galenaford/world.h>

enum
{
  GALENA_SYNC_SEEDS_MAX = 8,
  /* Most addresses in one message between peers.  */
  GALENA_SYNC_PEERS_MAX = 8,
  /* Most links to peers at once, those that peers opened too.  */
  GALENA_SYNC_LINKS_MAX = 32
};

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
  /* Where it listens for peers.  */
  struct galena_endpoint address;
  /* GALENA_ROLE_COUNT when unknown.  */
  enum galena_role role;
};

struct galena_index_row
{
  char name[GALENA_NAME_BYTES];
  uint32_t number;
  uint64_t generation;
};

struct galena_index_record
{
  /* Rises whenever any service's record changes.  */
  uint64_t generation;
  uint32_t count;
  /* Owned; COUNT rows.  */
  struct galena_index_row *rows;
};

/* One row of the platform's list of instances.  */
struct galena_instance
{
  struct galena_peer peer;
  /* Number of the upstream beside an agent; 0 for an entry.  */
  uint32_t upstream;
  bool leaving;
};

struct galena_instance_list
{
  /* Rises whenever the list changes.  */
  uint64_t generation;
  /* Instances in the whole list, also when only some rows are given.  */
  uint32_t total;
  uint32_t count;
  /* Owned; COUNT rows.  */
  struct galena_instance *rows;
};

/* One row per message between peers: name, number, short word.  */
#define GALENA_SYNC_MESSAGES(X)                                               \
  X (GALENA_SYNC_HEARTBEAT, 1, "heartbeat")                                   \
  X (GALENA_SYNC_ANNOUNCE, 2, "announce")                                     \
  X (GALENA_SYNC_FETCH, 3, "fetch")                                           \
  X (GALENA_SYNC_RECORD, 4, "record")                                         \
  X (GALENA_SYNC_INSTANCE, 5, "instance")                                     \
  X (GALENA_SYNC_PEERS, 6, "peers")

enum galena_sync_message_type
{
#define GALENA_SYNC_ENUM(name, number, word) name = number,
  GALENA_SYNC_MESSAGES (GALENA_SYNC_ENUM)
#undef GALENA_SYNC_ENUM
      GALENA_SYNC_MESSAGE_END
};

struct galena_sync_message
{
  enum galena_sync_message_type type;
  /* Heartbeat: who sends, and the service it keeps, 0 for all.  */
  struct galena_peer sender;
  uint32_t wanted;
  /* Heartbeat: whether the sender's records are in force there.  */
  bool settled;
  /* Heartbeat: whether the sender wants an answer with `listed'.  */
  bool asks;
  /* Heartbeat: whether all that the receiver may lack was announced.  */
  bool listed;
  /* Service (announce, fetch, record) or upstream (instance); in a heartbeat
     a number drawn by who asks, and the same in the answer.  */
  uint32_t number;
  /* Of the record, or of the list of instances.  */
  uint64_t generation;
  /* Of the record; in a heartbeat, of all that the sender keeps.  */
  uint64_t digest;
  /* Heartbeat: digest of the leaving instances.  */
  uint64_t leaving_digest;
  /* Instance: whether it is leaving.  */
  bool leaving;
  uint32_t peer_count;
  struct galena_peer peers[GALENA_SYNC_PEERS_MAX];
  /* Record, when received: borrowed; NULL when it did not parse.  */
  const struct galena_service_record *record;
};

enum galena_sync_read_type
{
  /* The index, waiting for a generation above AFTER.  */
  GALENA_SYNC_READ_INDEX,
  /* The record of the service called NAME.  */
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
  uint64_t after;
  /* Longest wait of a watch in milliseconds.  */
  uint32_t wait_ms;
};

enum galena_sync_action_type
{
  /* Read from the platform; ends with one event that names READ.  */
  GALENA_SYNC_DO_READ,
  /* Connect PEER to ADDRESS.  */
  GALENA_SYNC_DO_CONNECT,
  /* Close the connection of PEER.  */
  GALENA_SYNC_DO_CLOSE,
  /* Send MESSAGE to PEER; a record message goes with the text in force.  */
  GALENA_SYNC_DO_SEND,
  GALENA_SYNC_ACTION_COUNT
};

struct galena_sync_action
{
  enum galena_sync_action_type type;
  struct galena_read_handle read;
  struct galena_sync_read what;
  struct galena_peer_handle peer;
  struct galena_endpoint address;
  struct galena_sync_message message;
};

enum galena_sync_event_type
{
  /* The read ended, in RESULT and the pointer for its type.  */
  GALENA_SYNC_READ_ENDED,
  /* MESSAGE came from PEER.  */
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
  /* Borrowed for the call; one for each type of read.  */
  const struct galena_index_record *index;
  const struct galena_service_record *record;
  const struct galena_instance_list *instances;
  struct galena_peer_handle peer;
  const struct galena_sync_message *message;
};

struct galena_sync_options
{
  /* Role and address for peers; no address means no links at all.  */
  struct galena_peer self;
  /* Service whose record is kept, 0 for all.  */
  uint32_t service;
  /* Peers to begin with.  */
  struct galena_endpoint seeds[GALENA_SYNC_SEEDS_MAX];
  uint32_t seed_count;
  /* Seed of the random numbers.  */
  uint64_t seed;
  /* Processes that read the platform, as far as known beforehand.  */
  uint32_t readers;
  /* Reads a second that all processes together may make.  */
  uint32_t reads_per_second;
  /* Longest wait of one watch in milliseconds.  */
  uint32_t wait_ms;
  /* Whether the platform has a list of instances.  */
  bool instances;
  /* Where changes are noted; borrowed.  */
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

/* Takes the next action into *ACTION; false when there is none.  */
bool galena_sync_next (struct galena_sync *sync,
                       struct galena_sync_action *action);

/* Takes EVENT in.  */
void galena_sync_take (struct galena_sync *sync,
                       const struct galena_sync_event *event,
                       struct galena_clock now);

/* Takes a connection that a peer opened.  Errors: GALENA_ERR_FULL.  */
enum galena_result galena_sync_accept (struct galena_sync *sync,
                                       struct galena_clock now,
                                       struct galena_peer_handle *peer);

/* Tells once, after each change, that the records in force have changed or
   were renewed, so that a new snapshot is due.  False until the process
   knows what the fleet has accepted.  */
bool galena_sync_changed (struct galena_sync *sync);

/* Tells whether the records are known to be no older than the fleet's.  */
bool galena_sync_settled (const struct galena_sync *sync);

/* Makes a snapshot of what is in force in *OUT; the caller owns it.
   Errors: GALENA_ERR_MEMORY.  */
enum galena_result galena_sync_snapshot (const struct galena_sync *sync,
                                         struct galena_config **out);

/* Returns the records in force.  */
const struct galena_records *
galena_sync_records (const struct galena_sync *sync);

struct galena_sync_usage
{
  /* Links to peers that have been heard.  */
  uint32_t links;
  /* Services whose newest known record is not in force yet.  */
  uint32_t behind;
  uint32_t known_peers;
  uint32_t leaving;
  /* Reads of the platform started so far.  */
  uint64_t reads;
};

void galena_sync_usage (const struct galena_sync *sync,
                        struct galena_sync_usage *usage);

#endif
