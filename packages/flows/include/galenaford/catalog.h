/* The catalog: what the platform has published, kept up to date by a list and
   then a watch, change by change.

   The catalog says which call is due and takes the replies; it opens no
   socket and reads no clock.  */

#ifndef GALENAFORD_CATALOG_H
#define GALENAFORD_CATALOG_H

#include <galenaford/clock.h>
#include <galenaford/directory.h>

enum
{
  GALENA_CATALOG_KEY_BYTES = 208
};

enum galena_call_kind
{
  /* All items, a page at a time.  */
  GALENA_CALL_LIST,
  /* Changes after a revision, as soon as there is one.  */
  GALENA_CALL_WATCH
};

struct galena_catalog_call
{
  enum galena_call_kind kind;
  /* Watch: changes after it.  */
  uint64_t revision;
  /* Watch: longest wait in milliseconds.  */
  uint32_t wait_ms;
  /* List: items after this key; empty for the first page.  */
  char after[GALENA_CATALOG_KEY_BYTES];
  /* Milliseconds after which the call counts as failed.  */
  uint32_t timeout_ms;
};

struct galena_catalog_reply
{
  /* Revision of the platform's store when it replied.  */
  uint64_t revision;
  /* List: whether further items follow, after the key NEXT.  */
  bool more;
  char next[GALENA_CATALOG_KEY_BYTES];
};

enum galena_change_kind
{
  GALENA_CHANGE_CONFIG,
  GALENA_CHANGE_UPSTREAM,
  GALENA_CHANGE_REMOVED,
  /* An item that could not be decoded; it names nothing to use.  */
  GALENA_CHANGE_UNREADABLE
};

/* A whole configuration as published.  */
struct galena_published_config
{
  /* Rises with each change.  */
  uint64_t version;
  uint32_t route_count;
  /* Borrowed.  */
  const struct galena_route *routes;
};

struct galena_change
{
  enum galena_change_kind kind;
  /* Names the item: the published name of an upstream; borrowed.  */
  const char *key;
  /* Revision of the store that the change shows: its own in a watch, the
     store's at the reply in a list.  */
  uint64_t revision;
  struct galena_published_config config;
  struct galena_listed_upstream upstream;
};

enum galena_call_result
{
  GALENA_CALL_OK,
  /* The changes after the revision are no longer kept.  */
  GALENA_CALL_HISTORY_GONE,
  /* No reply, or one that can't be read.  */
  GALENA_CALL_FAILED
};

struct galena_catalog_options
{
  uint64_t seed;
  /* Longest wait of a watch in milliseconds.  */
  uint32_t wait_ms;
  /* Most upstreams.  */
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

/* Stores the call that is due at NOW in *CALL and counts it as in progress;
   false when none is.  */
bool galena_catalog_next (struct galena_catalog *catalog,
                          struct galena_clock now,
                          struct galena_catalog_call *call);

/* Gives up the call in progress, if any, since the process was paused: a reply
   to it is not to be ended.  The next call is due at NOW and does not wait for
   a change.  */
void galena_catalog_renew (struct galena_catalog *catalog,
                           struct galena_clock now);

/* Takes one change of the reply to the call in progress.  */
void galena_catalog_change (struct galena_catalog *catalog,
                            struct galena_clock now,
                            const struct galena_change *change);

/* Ends the call in progress, after its changes were taken.  REPLY is read
   when RESULT is GALENA_CALL_OK.  */
void galena_catalog_end (struct galena_catalog *catalog,
                         struct galena_clock now,
                         enum galena_call_result result,
                         const struct galena_catalog_reply *reply);

/* What a process knows, for its peers.  */
struct galena_catalog_snapshot
{
  /* Version of the configuration.  */
  uint64_t version;
  /* Revision of the platform's store up to which upstreams are known.  */
  uint64_t revision;
  uint32_t route_count;
  uint32_t upstream_count;
  /* Borrowed.  */
  const struct galena_route *routes;
  const struct galena_listed_upstream *upstreams;
};

/* Tells whether a peer should be asked for its snapshot at NOW, since the
   platform does not reply, and counts that as done.  */
bool galena_catalog_wants_peer (struct galena_catalog *catalog,
                                struct galena_clock now);

/* Takes of SNAPSHOT, a peer's, what is newer than what is known.  */
void
galena_catalog_take_snapshot (struct galena_catalog *catalog,
                              struct galena_clock now,
                              const struct galena_catalog_snapshot *snapshot);

/* Stores what is known in *SNAPSHOT; valid while DIRECTORY, which
   galena_catalog_build made last, is.  */
void galena_catalog_snapshot (const struct galena_catalog *catalog,
                              const struct galena_directory *directory,
                              struct galena_catalog_snapshot *snapshot);

/* Returns when something is due if no reply comes.  */
struct galena_clock galena_catalog_due (const struct galena_catalog *catalog);

/* Runs what is due at NOW and builds a directory in *OUT when something has
   changed since the last one; false otherwise.  The caller owns it.  */
bool galena_catalog_build (struct galena_catalog *catalog,
                           struct galena_clock now,
                           struct galena_directory **out);

/* Tells whether configuration and upstreams are known, from the platform or
   from a peer.  */
bool galena_catalog_is_known (const struct galena_catalog *catalog);

/* Returns the milliseconds since the platform last replied, or -1 when it
   never did.  */
int64_t galena_catalog_age_ms (const struct galena_catalog *catalog,
                               struct galena_clock now);

#endif
