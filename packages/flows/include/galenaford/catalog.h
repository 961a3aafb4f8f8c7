/* The catalog: a cache of the configuration and the upstreams that the
   platform publishes.  A list, read page by page, fills it; watch calls then
   bring the changes.

   The catalog decides which call is due and processes the replies.  Its user
   makes the calls: the catalog opens no socket and reads no clock.  */

#ifndef GALENAFORD_CATALOG_H
#define GALENAFORD_CATALOG_H

#include <galenaford/clock.h>
#include <galenaford/directory.h>

enum
{
  /* Size of a key of the platform's store, with its terminating zero.  */
  GALENA_CATALOG_KEY_BYTES = 208
};

enum galena_call_kind
{
  /* Reads all items, one page per call.  */
  GALENA_CALL_LIST,
  /* Long poll: returns the changes after a revision as soon as there is
     one.  */
  GALENA_CALL_WATCH
};

struct galena_catalog_call
{
  enum galena_call_kind kind;
  /* Watch: changes after this revision are wanted.  */
  uint64_t revision;
  /* Watch: milliseconds that the platform waits for a change before it replies
     without one; 0 to reply at once.  */
  uint32_t wait_ms;
  /* List: the page begins after this key; empty for the first page.  */
  char after[GALENA_CATALOG_KEY_BYTES];
  /* Milliseconds after which the call times out.  */
  uint32_t timeout_ms;
};

struct galena_catalog_reply
{
  /* Revision of the platform's store when it replied.  */
  uint64_t revision;
  /* List: whether another page follows; it begins after the key NEXT.  */
  bool more;
  char next[GALENA_CATALOG_KEY_BYTES];
};

enum galena_change_kind
{
  GALENA_CHANGE_CONFIG,
  GALENA_CHANGE_UPSTREAM,
  /* The evacuation of an availability zone begins or ends.  */
  GALENA_CHANGE_EVACUATION,
  GALENA_CHANGE_REMOVED,
  /* An item that could not be decoded; handled as a removed one.  */
  GALENA_CHANGE_UNREADABLE
};

/* A complete configuration as published.  */
struct galena_published_config
{
  /* Increases with each change.  */
  uint64_t version;
  uint32_t route_count;
  /* Borrowed.  */
  const struct galena_route *routes;
  uint32_t service_count;
  /* Borrowed.  */
  const struct galena_service_limits *services;
};

struct galena_change
{
  enum galena_change_kind kind;
  /* Name of the item, such as the published id of an upstream or the name of a
     zone; borrowed.  Empty if it names none.  */
  const char *key;
  /* Revision of the store: in a watch that of the change, in a list that of
     the store at the time of the reply.  */
  uint64_t revision;
  struct galena_published_config config;
  struct galena_published_upstream upstream;
  /* Evacuation: whether it begins.  */
  bool evacuated;
};

enum galena_call_result
{
  GALENA_CALL_OK,
  /* The platform no longer has the changes after the revision; a new list is
     needed.  */
  GALENA_CALL_HISTORY_GONE,
  /* The call timed out, failed, or its reply could not be decoded.  */
  GALENA_CALL_FAILED
};

struct galena_catalog_options
{
  /* Seed of random numbers and hash tables.  */
  uint64_t seed;
  /* Longest wait of a watch in milliseconds.  */
  uint32_t wait_ms;
  /* Maximum number of upstreams.  */
  uint32_t upstreams;
};

struct galena_catalog;

/* Creates an empty catalog in *OUT; the caller owns it.
   Errors: GALENA_ERR_MEMORY, GALENA_ERR_INVALID.  */
enum galena_result
galena_catalog_create (const struct galena_catalog_options *options,
                       struct galena_catalog **out);

/* Destroys CATALOG; accepts NULL.  */
void galena_catalog_destroy (struct galena_catalog *catalog);

/* Stores the call that is due at NOW in *CALL and marks it as in progress.
   Returns false when none is due or one is in progress.  */
bool galena_catalog_next_call (struct galena_catalog *catalog,
                               struct galena_clock now,
                               struct galena_catalog_call *call);

/* Abandons the call in progress, if any, after a pause of the process; its
   reply must not be passed to the catalog any more.  The next call is due at
   NOW, and a watch then does not wait for a change.  */
void galena_catalog_refresh (struct galena_catalog *catalog,
                             struct galena_clock now);

/* Begins the reply to the call in progress, which the store sent in ERA, 0 if
   the reply doesn't have one.  Returns GALENA_CALL_OK if the changes of the
   reply may be applied; otherwise the call ends with the returned result.  */
enum galena_call_result
galena_catalog_begin_reply (struct galena_catalog *catalog, uint64_t era);

/* Applies one change of the reply to the call in progress.  Returns false when
   it is skipped because something newer is known, and then stores the position
   of that in *KNOWN.  */
bool galena_catalog_apply_change (struct galena_catalog *catalog,
                                  struct galena_clock now,
                                  const struct galena_change *change,
                                  struct galena_store_position *known);

/* Ends the call in progress, after its changes were applied.  REPLY is read
   only when RESULT is GALENA_CALL_OK.  */
void galena_catalog_end_call (struct galena_catalog *catalog,
                              struct galena_clock now,
                              enum galena_call_result result,
                              const struct galena_catalog_reply *reply);

/* Contents of a catalog, to be sent to peers.  */
struct galena_catalog_snapshot
{
  /* Version of the configuration.  */
  uint64_t version;
  /* Position of the platform's store up to which upstreams are known.  */
  struct galena_store_position position;
  uint32_t route_count;
  uint32_t upstream_count;
  /* Borrowed.  */
  const struct galena_route *routes;
  const struct galena_published_upstream *upstreams;
  uint32_t service_count;
  uint32_t evacuation_count;
  /* Borrowed.  */
  const struct galena_service_limits *services;
  /* Borrowed.  Zones that are or were evacuated; each has a position of its
     own.  */
  const struct galena_zone_evacuation *evacuations;
};

/* Returns whether a peer should be asked for its snapshot at NOW, because the
   platform does not reply or to compare the first list with it.  When it
   returns true, the request counts as sent and the next one is due later.  */
bool galena_catalog_needs_peer_snapshot (struct galena_catalog *catalog,
                                         struct galena_clock now);

/* Merges SNAPSHOT of a peer: a newer configuration, and the upstreams when
   their position is newer, replace those of CATALOG; otherwise only states
   that are newer by the upstream's own count do.  Evacuations go by their own
   positions.  */
void
galena_catalog_merge_snapshot (struct galena_catalog *catalog,
                               struct galena_clock now,
                               const struct galena_catalog_snapshot *snapshot);

/* Stores the contents of CATALOG at NOW in *SNAPSHOT.  DIRECTORY is the last
   one that galena_catalog_build made.  *SNAPSHOT borrows from both, until the
   next call of a function on CATALOG.  Upstreams that were removed lately have
   the state GALENA_PUBLISHED_ABSENT.  */
void galena_catalog_snapshot (struct galena_catalog *catalog,
                              struct galena_clock now,
                              const struct galena_directory *directory,
                              struct galena_catalog_snapshot *snapshot);

/* Returns when the catalog next has something to do if no reply arrives. While
   PEER_BUSY, a peer has been asked for its snapshot and no other one is.  */
struct galena_clock galena_catalog_due (const struct galena_catalog *catalog,
                                        bool peer_busy);

/* Removes the upstreams whose removal is due at NOW.  Then creates a directory
   in *OUT, which the caller owns, if something has changed since the last
   one; returns false otherwise, or when memory is short.  UNIX_MS is the time
   by the wall clock.  */
bool galena_catalog_build (struct galena_catalog *catalog,
                           struct galena_clock now, uint64_t unix_ms,
                           struct galena_directory **out);

/* Returns whether CATALOG has a configuration and the upstreams, from the
   platform or from a peer.  */
bool galena_catalog_has_contents (const struct galena_catalog *catalog);

/* Returns whether upstreams are left out because CATALOG is full.  Those of
   services with a route go first.  */
bool galena_catalog_left_out (const struct galena_catalog *catalog);

/* Returns the milliseconds since the last reply of the platform, or -1 when
   there was none.  */
int64_t galena_catalog_age_ms (const struct galena_catalog *catalog,
                               struct galena_clock now);

#endif
