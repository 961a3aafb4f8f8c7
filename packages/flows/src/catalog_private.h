/* Private declarations of the catalog.  */

#ifndef GALENAFORD_CATALOG_PRIVATE_H
#define GALENAFORD_CATALOG_PRIVATE_H

#include <galenaford/catalog.h>
#include <galenaford/map.h>
#include <galenaford/random.h>
#include <galenaford/table.h>

/* Sources of upstreams: the lists and watches of the platform, and snapshots
   of peers.  */
enum catalog_source
{
  SOURCE_PLATFORM,
  SOURCE_PEER,
  SOURCE_COUNT
};

/* An upstream as published.  */
struct catalog_upstream
{
  uint64_t key;
  struct galena_published_upstream upstream;
  /* Last round of each source that listed it.  */
  uint32_t rounds[SOURCE_COUNT];
  /* Position of the store at which it was last seen or removed.  */
  struct galena_store_position position;
  /* Era in which it got its state or was removed; an older copy may list it in
     a later one.  */
  uint64_t state_era;
  /* When its removal is due; ms 0 while it is published.  */
  struct galena_clock removal_due;
  /* Whether it has been removed; its row is kept.  */
  bool removed;
  /* When it counts as published again because its entry in an older copy has
     not expired; ms 0 when no copy lists it.  */
  struct galena_clock confirmed_due;
};

enum
{
  /* Maximum number of zones that are or were evacuated: many times the zones
     of a deployment.  */
  CATALOG_ZONES_MAX = 64
};

/* How the evacuation of a zone is known.  */
struct catalog_zone
{
  /* Last round of each source that listed it.  */
  uint32_t rounds[SOURCE_COUNT];
  /* Position at which an older copy of the store lacked it, and when the
     evacuation ends for this reason; ms 0 when none lacks it.  */
  struct galena_store_position lacked_at;
  struct galena_clock end_due;
};

/* The zones that are or were evacuated; STATES has a row for each of ROWS,
   which directories and snapshots copy.  */
struct catalog_zones
{
  uint32_t count;
  struct galena_zone_evacuation rows[CATALOG_ZONES_MAX];
  struct catalog_zone states[CATALOG_ZONES_MAX];
};

/* The sequence of calls to the platform.  */
struct call_state
{
  /* Kind of the call in progress or of the next one.  */
  enum galena_call_kind kind;
  /* Whether a call is in progress.  */
  bool busy;
  /* Whether a list was read to its end once.  */
  bool list_read;
  /* Position up to which changes were applied.  */
  struct galena_store_position position;
  /* Position of the first page of the current list.  */
  struct galena_store_position list_position;
  /* Era that the reply to the current call must have, and the one that it
     has; the first page of a list may have any that is not older than
     POSITION.  */
  uint64_t call_era;
  uint64_t reply_era;
  /* Last key of the pages that were read of the current list; empty before
     the first one.  */
  char after[GALENA_CATALOG_KEY_BYTES];
  /* Whether the reply to the current call has brought a change.  */
  bool reply_has_changes;
  /* Whether the next watch only reads the era and missed changes and does not
     wait.  */
  bool refreshing;
  uint32_t failures;
  struct galena_clock due;
  /* When the last reply came; ms 0 when none did.  */
  struct galena_clock last_reply;
};

struct galena_catalog
{
  struct galena_catalog_options options;
  struct galena_random random;
  struct call_state calls;
  struct galena_table *items;
  struct galena_map *items_by_key;
  uint32_t rounds[SOURCE_COUNT];
  uint64_t version;
  /* Position of the store at which that version was last seen.  */
  struct galena_store_position version_position;
  uint32_t route_count;
  struct galena_route *routes;
  uint32_t service_count;
  struct galena_service_limits *services;
  struct catalog_zones zones;
  /* Upstreams of the last snapshot for peers.  */
  struct galena_published_upstream *snapshot_rows;
  /* Whether something has changed since the last directory was built.  */
  bool changed;
  /* Whether upstreams are left out because the table is full, the last round
     of lists in which one was, and whether they are to be listed anew since a
     route may name their service now.  */
  bool left_out;
  uint32_t left_out_round;
  bool list_again;
  /* Number of removals, and its value when the rows of all removed upstreams
     were last deleted.  */
  uint64_t removals;
  uint64_t deleted_removals;
  /* Position of the last merged snapshot of a peer; revision 0 when there is
     none.  */
  struct galena_store_position peer_position;
  /* Since when a list has been in progress or calls have failed without a
     reply of the platform; ms 0 after a reply.  */
  struct galena_clock unanswered_since;
  /* When a peer was last asked for its snapshot; ms 0 when none was.  */
  struct galena_clock peer_asked_at;
  /* Number of peers asked after the first list; COMPARISONS_MAX once one has
     replied.  */
  uint32_t comparisons;
};

/* catalog.c */

/* Returns whether a route of CATALOG names SERVICE.  */
bool catalog_routes_to (const struct galena_catalog *catalog,
                        galena_service_key service);

/* catalog_zones.c */

/* Applies that the zone with NAME is EVACUATED or not any more, seen at
   POSITION.  Returns false when something newer is known; stores the position
   of what is known in *KNOWN.  */
bool catalog_apply_evacuation (struct galena_catalog *catalog,
                               enum catalog_source source,
                               struct galena_store_position position,
                               const char *name, bool evacuated,
                               struct galena_store_position *known);

/* Ends the evacuations that SOURCE did not list at POSITION; those that were
   known in an earlier era end later.  */
void catalog_end_unlisted (struct galena_catalog *catalog,
                           enum catalog_source source,
                           struct galena_store_position position,
                           struct galena_clock now);

/* Adopts the evacuations in SNAPSHOT that are newer than what is known, before
   its position replaces that of CATALOG.  */
void
catalog_merge_evacuations (struct galena_catalog *catalog,
                           struct galena_clock now,
                           const struct galena_catalog_snapshot *snapshot);

/* Returns when the next evacuation ends without news of the store; INT64_MAX
   when none does.  */
struct galena_clock catalog_zones_due (const struct galena_catalog *catalog);

/* Ends the evacuations whose end is due.  */
void catalog_update_zones (struct galena_catalog *catalog,
                           struct galena_clock now);

/* catalog_upstreams.c */

/* Returns the row of the upstream published as ID, or NULL.  */
struct catalog_upstream *
catalog_find_upstream (const struct galena_catalog *catalog, const char *id);

/* Schedules the removal of ITEM: immediately when it was draining, else after
   the time in which it may be published again.  Returns false when it has
   changed after POSITION.  */
bool catalog_schedule_removal (struct galena_catalog *catalog,
                               struct catalog_upstream *item,
                               struct galena_store_position position,
                               struct galena_clock now);

/* Returns the position of the newest information on ITEM, which may be
   NULL.  */
struct galena_store_position
catalog_known_position (const struct galena_catalog *catalog,
                        const struct catalog_upstream *item);

/* Returns false when something newer than POSITION, or a newer state of the
   upstream, is known.  LISTED tells a row of a list from a change.  */
bool catalog_apply_upstream (struct galena_catalog *catalog,
                             enum catalog_source source,
                             struct galena_store_position position,
                             bool listed, struct galena_clock now,
                             const struct galena_published_upstream *upstream);

/* Schedules the removal of the items that SOURCE did not list at POSITION.  */
void catalog_remove_unlisted (struct galena_catalog *catalog,
                              enum catalog_source source,
                              struct galena_store_position position,
                              struct galena_clock now);

/* Copy the published upstreams, or those that were removed lately, which get
   the state GALENA_PUBLISHED_ABSENT, to ROWS.  Return their number.  */
uint32_t catalog_copy_published (const struct galena_catalog *catalog,
                                 struct galena_published_upstream *rows);
uint32_t catalog_copy_removed (const struct galena_catalog *catalog,
                               struct galena_clock now,
                               struct galena_published_upstream *rows);

/* Adopts the states in SNAPSHOT, which is not newer as a whole, that are newer
   by the count of their upstream than what an older copy of the store has
   listed, and the upstreams that were left out here.  */
void
catalog_adopt_newer_states (struct galena_catalog *catalog,
                            const struct galena_catalog_snapshot *snapshot,
                            struct galena_clock now);

/* Returns when the removal of ITEM, or its return, is due; INT64_MAX when
   neither is.  */
struct galena_clock catalog_upstream_due (const struct catalog_upstream *item);

/* Removes the items whose removal is due, and publishes those again whose
   return is due.  */
void catalog_update_due (struct galena_catalog *catalog,
                         struct galena_clock now);

#endif
