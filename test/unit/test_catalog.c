/* The catalog in virtual time: lists, watches, removals, and snapshots of
   peers.  */

#include <glib.h>

#include <galenaford/catalog.h>

enum
{
  STEPS_MAX = 24,
  /* Upstreams of a case; bit I of a mask stands for upstream I.  */
  UPSTREAMS_MAX = 8,
  ROUTES_MAX = 4
};

enum step_kind
{
  END,
  /* The call that is due is a list, which returns the upstreams of ARGUMENT at
     REVISION.  */
  LIST,
  /* As LIST, but another page follows.  */
  LIST_PART,
  /* The call that is due is a watch.  It returns no change, or for each
     upstream of ARGUMENT that it is ready, is draining, was removed, or can't
     be decoded.  */
  WATCH_NOTHING,
  WATCH_READY,
  WATCH_DRAINING,
  WATCH_REMOVED,
  WATCH_UNREADABLE,
  /* The call that is due is refused because its history is gone, or fails.  */
  HISTORY_GONE,
  FAILURE,
  /* The replies that follow come from the store in era ARGUMENT, and so do
     the snapshots of peers.  */
  ERA,
  /* The upstreams that follow started at ARGUMENT and have the sequence
     number REVISION.  */
  INCARNATION,
  /* The call that is due is a watch or a list; its reply comes from the store
     in an older or newer era than was expected, and is not applied.  */
  WATCH_NOT_APPLIED,
  LIST_NOT_APPLIED,
  /* The next reply also contains version ARGUMENT of the configuration.  */
  CONFIG,
  /* Configurations that follow have ARGUMENT routes.  */
  ROUTES,
  /* The call that is due is a watch that gets no reply; it must time out
     within ARGUMENT milliseconds.  */
  WATCH_TIMEOUT,
  /* The watch that is due begins and stays in progress.  */
  WATCH_BEGUN,
  /* The process was paused: the call in progress, if any, is abandoned.  */
  REFRESH,
  /* As WATCH_READY, with a watch that does not wait for a change.  */
  WATCH_NO_WAIT,
  /* A peer's snapshot has version 1 of the configuration, or that of a CONFIG
     before it, and the upstreams of
     ARGUMENT at REVISION, of which those of DRAINING drain.  */
  PEER_SNAPSHOT,
  /* As PEER_SNAPSHOT, but the upstreams of DRAINING have been removed.  */
  PEER_SNAPSHOT_GONE,
  /* The snapshot for peers has the upstreams of ARGUMENT, and those of
     DRAINING as removed.  */
  EXPECT_SNAPSHOT,
  /* The directory has the upstreams of ARGUMENT, of which those of DRAINING
     drain.  */
  EXPECT,
  /* The directory has version ARGUMENT of the configuration, or ARGUMENT
     routes.  */
  EXPECT_VERSION,
  EXPECT_ROUTES,
  /* No call is due.  */
  EXPECT_NO_CALL,
  /* A peer should be asked for its snapshot if ARGUMENT is 1, but not if it is
     0.  */
  EXPECT_PEER,
  /* Nothing is due while a peer is busy with a request for its snapshot.  */
  EXPECT_IDLE,
  /* There is no directory yet.  */
  EXPECT_UNKNOWN
};

struct step
{
  int64_t at_ms;
  enum step_kind kind;
  /* Mask of upstreams, version, time limit or truth value: see the kinds.  */
  uint32_t argument;
  uint64_t revision;
  uint32_t draining;
};

struct catalog_case
{
  const char *name;
  struct step steps[STEPS_MAX];
};

static const struct catalog_case CASES[] = {
  { "/catalog/list-then-watch",
    { { 10, EXPECT_UNKNOWN, 0, 0, 0 },
      { 10, CONFIG, 3, 5, 0 },
      { 20, LIST, 7, 9, 0 },
      { 20, EXPECT, 7, 0, 0 },
      { 20, EXPECT_VERSION, 3, 0, 0 },
      { 30, WATCH_DRAINING, 2, 11, 0 },
      { 30, EXPECT, 7, 0, 2 },
      { 300, WATCH_READY, 8, 12, 0 },
      { 300, EXPECT, 15, 0, 2 } } },
  { "/catalog/pages",
    { { 10, CONFIG, 1, 5, 0 },
      { 20, LIST_PART, 3, 9, 0 },
      { 21, EXPECT_UNKNOWN, 0, 0, 0 },
      { 22, LIST, 12, 10, 0 },
      { 22, EXPECT, 15, 0, 0 } } },
  { "/catalog/changes-gather",
    { { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 1, 9, 0 },
      { 30, WATCH_READY, 2, 10, 0 },
      { 100, EXPECT_NO_CALL, 0, 0, 0 },
      { 300, WATCH_NOTHING, 0, 10, 0 },
      { 300, WATCH_NOTHING, 0, 10, 0 } } },
  { "/catalog/lapsed-comes-back",
    { { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 3, 9, 0 },
      { 30, WATCH_REMOVED, 2, 10, 0 },
      { 1900, EXPECT, 3, 0, 0 },
      { 1900, WATCH_READY, 2, 11, 0 },
      { 9000, EXPECT, 3, 0, 0 } } },
  { "/catalog/lapsed-is-gone",
    { { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 3, 9, 0 },
      { 30, WATCH_REMOVED, 2, 10, 0 },
      { 2040, EXPECT, 1, 0, 0 } } },
  { "/catalog/drained-goes-at-once",
    { { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 3, 9, 0 },
      { 30, WATCH_DRAINING, 2, 10, 0 },
      { 300, WATCH_REMOVED, 2, 11, 0 },
      { 300, EXPECT, 1, 0, 0 } } },
  { "/catalog/unreadable-names-none",
    { { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 3, 9, 0 },
      { 30, WATCH_UNREADABLE, 2, 10, 0 },
      { 2040, EXPECT, 1, 0, 0 } } },
  { "/catalog/history-gone",
    { { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 3, 9, 0 },
      { 30, HISTORY_GONE, 0, 0, 0 },
      { 31, EXPECT, 3, 0, 0 },
      { 40, LIST, 5, 30, 0 },
      { 40, EXPECT, 7, 0, 0 },
      { 2050, EXPECT, 5, 0, 0 } } },
  { "/catalog/never-back",
    { { 10, CONFIG, 4, 5, 0 },
      { 20, LIST, 3, 9, 0 },
      { 500, CONFIG, 3, 6, 0 },
      { 500, WATCH_NOTHING, 0, 10, 0 },
      { 500, EXPECT_VERSION, 4, 0, 0 },
      { 900, CONFIG, 6, 7, 0 },
      { 900, WATCH_NOTHING, 0, 11, 0 },
      { 900, EXPECT_VERSION, 6, 0, 0 } } },
  { "/catalog/silent-watch",
    /* A watch without a reply times out, and the changes that it missed are
       listed, within the 4 s after which the platform counts as stable.  */
    { { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 1, 9, 0 },
      { 30, WATCH_TIMEOUT, 3200, 0, 0 },
      { 3430, HISTORY_GONE, 0, 0, 0 },
      { 3430, CONFIG, 4, 5, 0 },
      { 3430, LIST, 3, 20, 0 },
      { 3430, EXPECT, 3, 0, 0 },
      { 3430, EXPECT_VERSION, 4, 0, 0 } } },
  { "/catalog/failures-wait",
    { { 10, CONFIG, 1, 5, 0 },
      { 20, FAILURE, 0, 0, 0 },
      { 21, EXPECT_NO_CALL, 0, 0, 0 },
      { 230, FAILURE, 0, 0, 0 },
      { 300, EXPECT_NO_CALL, 0, 0, 0 },
      { 700, LIST, 3, 9, 0 },
      { 700, EXPECT, 3, 0, 0 } } },
  { "/catalog/peer-tells",
    { { 10, FAILURE, 0, 0, 0 },
      { 100, EXPECT_PEER, 0, 0, 0 },
      { 300, EXPECT_PEER, 1, 0, 0 },
      { 310, EXPECT_PEER, 0, 0, 0 },
      { 320, PEER_SNAPSHOT, 7, 40, 0 },
      { 320, EXPECT, 7, 0, 0 },
      { 400, PEER_SNAPSHOT, 1, 30, 0 },
      { 400, EXPECT, 7, 0, 0 },
      { 600, EXPECT_PEER, 1, 0, 0 },
      { 900, CONFIG, 2, 50, 0 },
      { 900, LIST, 3, 50, 0 },
      { 900, EXPECT_VERSION, 2, 0, 0 },
      { 1500, EXPECT_PEER, 0, 0, 0 },
      { 2950, EXPECT, 3, 0, 0 } } },
  { "/catalog/renewed-after-pause",
    { { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 3, 9, 0 },
      { 30, WATCH_BEGUN, 0, 0, 0 },
      { 2000, EXPECT_NO_CALL, 0, 0, 0 },
      { 2000, REFRESH, 0, 0, 0 },
      { 2000, WATCH_NO_WAIT, 4, 12, 0 },
      { 2000, EXPECT, 7, 0, 0 },
      { 2300, WATCH_TIMEOUT, 3200, 0, 0 } } },
  /* Replies that are older than a merged snapshot of a peer have no
     effect.  */
  { "/catalog/older-watch-after-peer",
    { { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 3, 9, 0 },
      { 30, PEER_SNAPSHOT, 1, 40, 0 },
      { 2050, EXPECT, 1, 0, 0 },
      { 2060, WATCH_DRAINING, 1, 20, 0 },
      { 2270, WATCH_READY, 6, 30, 0 },
      { 2270, EXPECT, 1, 0, 0 },
      { 2480, WATCH_READY, 2, 41, 0 },
      { 2480, EXPECT, 3, 0, 0 } } },
  { "/catalog/older-list-after-peer",
    { { 10, FAILURE, 0, 0, 0 },
      { 320, PEER_SNAPSHOT, 4, 40, 0 },
      { 330, LIST, 3, 30, 0 },
      { 330, EXPECT, 4, 0, 0 },
      { 2400, EXPECT, 4, 0, 0 },
      { 2400, WATCH_READY, 1, 41, 0 },
      { 2400, EXPECT, 5, 0, 0 } } },
  { "/catalog/older-peer-after-page",
    { { 10, CONFIG, 1, 5, 0 },
      { 20, LIST_PART, 1, 40, 0 },
      { 30, PEER_SNAPSHOT, 2, 30, 0 },
      { 40, LIST, 2, 41, 0 },
      { 2400, EXPECT, 3, 0, 0 } } },
  { "/catalog/no-peer-to-compare-with",
    { { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 7, 10, 0 },
      { 20, EXPECT_PEER, 1, 0, 0 },
      { 100, EXPECT_PEER, 0, 0, 0 },
      { 220, EXPECT_PEER, 1, 0, 0 },
      { 420, EXPECT_PEER, 1, 0, 0 },
      { 620, EXPECT_PEER, 0, 0, 0 } } },
  { "/catalog/spins-while-peer-is-silent",
    { { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 7, 10, 0 },
      { 20, EXPECT_PEER, 1, 0, 0 },
      { 30, WATCH_BEGUN, 0, 0, 0 },
      { 300, EXPECT_IDLE, 0, 0, 0 } } },
  /* Another writer's value under the id of an upstream, with its start and a
     high sequence number, hides no state that the upstream writes later.  */
  { "/catalog/overwritten-by-other-writer",
    { { 10, INCARNATION, 500, 2, 0 },
      { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 7, 9, 0 },
      { 30, INCARNATION, 500, 1000000, 0 },
      { 30, WATCH_READY, 2, 10, 0 },
      { 300, INCARNATION, 500, 3, 0 },
      { 300, WATCH_DRAINING, 2, 11, 0 },
      { 300, EXPECT, 7, 0, 2 } } },
  { "/catalog/overwritten-with-later-start",
    { { 10, INCARNATION, 500, 2, 0 },
      { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 7, 9, 0 },
      { 30, INCARNATION, 900000, 1, 0 },
      { 30, WATCH_READY, 2, 10, 0 },
      { 300, INCARNATION, 500, 3, 0 },
      { 300, WATCH_DRAINING, 2, 11, 0 },
      { 300, EXPECT, 7, 0, 2 } } },
  { "/catalog/overwritten-and-listed-again",
    { { 10, INCARNATION, 500, 2, 0 },
      { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 7, 9, 0 },
      { 30, INCARNATION, 500, 1000000, 0 },
      { 30, WATCH_DRAINING, 2, 10, 0 },
      { 300, HISTORY_GONE, 0, 0, 0 },
      { 300, INCARNATION, 500, 3, 0 },
      { 300, LIST, 7, 11, 0 },
      { 300, EXPECT, 7, 0, 0 } } },
  { "/catalog/overwritten-in-earlier-snapshot",
    { { 10, INCARNATION, 500, 3, 0 },
      { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 7, 11, 0 },
      { 30, INCARNATION, 500, 1000000, 0 },
      { 30, PEER_SNAPSHOT, 7, 10, 2 },
      { 30, EXPECT, 7, 0, 0 } } },
  /* The store comes back from an older copy: revisions go back and are given
     out again.  */
  { "/restored/drain-below-old-revision",
    { { 10, ERA, 1, 0, 0 },
      { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 7, 40, 0 },
      { 30, ERA, 2, 0, 0 },
      { 30, HISTORY_GONE, 0, 0, 0 },
      { 40, LIST, 7, 10, 0 },
      { 50, WATCH_DRAINING, 2, 12, 0 },
      { 50, EXPECT, 7, 0, 2 } } },
  { "/restored/removal-below-old-revision",
    { { 10, ERA, 1, 0, 0 },
      { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 7, 40, 0 },
      { 30, ERA, 2, 0, 0 },
      { 30, HISTORY_GONE, 0, 0, 0 },
      { 40, LIST, 7, 10, 0 },
      { 50, WATCH_REMOVED, 2, 12, 0 },
      { 2060, EXPECT, 5, 0, 0 } } },
  { "/restored/unlisted-below-old-revision",
    { { 10, ERA, 1, 0, 0 },
      { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 7, 40, 0 },
      { 30, ERA, 2, 0, 0 },
      { 30, HISTORY_GONE, 0, 0, 0 },
      { 40, LIST, 5, 10, 0 },
      { 2030, EXPECT, 7, 0, 0 },
      { 2050, EXPECT, 5, 0, 0 } } },
  { "/restored/added-below-revision-of-peer",
    { { 10, ERA, 1, 0, 0 },
      { 10, FAILURE, 0, 0, 0 },
      { 320, PEER_SNAPSHOT, 1, 40, 0 },
      { 330, ERA, 2, 0, 0 },
      { 330, LIST, 3, 10, 0 },
      { 330, EXPECT, 3, 0, 0 } } },
  { "/restored/peer-of-old-era",
    { { 10, ERA, 2, 0, 0 },
      { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 7, 10, 2 },
      { 30, ERA, 1, 0, 0 },
      { 30, PEER_SNAPSHOT, 1, 40, 0 },
      { 2100, EXPECT, 7, 0, 0 },
      { 2100, ERA, 2, 0, 0 },
      { 2100, WATCH_DRAINING, 2, 11, 0 },
      { 2100, EXPECT, 7, 0, 2 } } },
  { "/restored/peer-of-new-era",
    { { 10, ERA, 1, 0, 0 },
      { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 7, 40, 0 },
      { 30, FAILURE, 0, 0, 0 },
      { 300, EXPECT_PEER, 1, 0, 0 },
      { 300, ERA, 2, 0, 0 },
      { 300, PEER_SNAPSHOT, 7, 10, 2 },
      { 300, EXPECT, 7, 0, 2 } } },
  /* The store has passed the revision of the watch again: no 410.  */
  { "/restored/watch-goes-on-in-new-era",
    { { 10, ERA, 1, 0, 0 },
      { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 7, 40, 0 },
      { 30, ERA, 2, 0, 0 },
      { 30, WATCH_NOT_APPLIED, 0, 50, 0 },
      { 30, CONFIG, 2, 5, 0 },
      { 30, LIST, 13, 50, 0 },
      { 30, EXPECT_VERSION, 2, 0, 0 },
      { 2100, EXPECT, 13, 0, 0 },
      { 2100, WATCH_DRAINING, 8, 51, 0 },
      { 2100, EXPECT, 13, 0, 8 } } },
  { "/restored/page-of-new-era",
    { { 10, ERA, 1, 0, 0 },
      { 10, CONFIG, 1, 5, 0 },
      { 20, LIST_PART, 3, 40, 0 },
      { 30, ERA, 2, 0, 0 },
      { 30, LIST_NOT_APPLIED, 0, 10, 0 },
      { 30, LIST, 5, 10, 0 },
      { 30, EXPECT, 7, 0, 0 },
      { 2100, EXPECT, 5, 0, 0 },
      { 2100, WATCH_READY, 2, 11, 0 },
      { 2100, EXPECT, 7, 0, 0 } } },
  { "/restored/late-reply-of-old-era",
    { { 10, ERA, 2, 0, 0 },
      { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 7, 10, 0 },
      { 30, ERA, 1, 0, 0 },
      { 30, WATCH_NOT_APPLIED, 0, 40, 0 },
      { 30, EXPECT_NO_CALL, 0, 0, 0 },
      { 300, ERA, 2, 0, 0 },
      { 300, WATCH_NO_WAIT, 0, 10, 0 },
      { 300, WATCH_DRAINING, 2, 11, 0 },
      { 300, EXPECT, 7, 0, 2 } } },
  /* A watch from the revision that the copy happens to have gets no 410 and
     would wait.  */
  { "/restored/era-unknown-while-watch-waits",
    { { 10, ERA, 1, 0, 0 },
      { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 7, 40, 0 },
      { 30, FAILURE, 0, 0, 0 },
      { 300, WATCH_NO_WAIT, 0, 40, 0 },
      { 300, WATCH_NOTHING, 0, 40, 0 } } },
  { "/restored/reply-without-era",
    { { 10, ERA, 2, 0, 0 },
      { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 7, 10, 0 },
      { 30, ERA, 0, 0, 0 },
      { 30, WATCH_DRAINING, 2, 11, 0 },
      { 30, EXPECT, 7, 0, 2 } } },
  /* What the copy says of an upstream is older than what was known.  */
  { "/restored/draining-stays",
    { { 10, ERA, 1, 0, 0 },
      { 10, INCARNATION, 500, 2, 0 },
      { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 7, 40, 0 },
      { 30, INCARNATION, 500, 3, 0 },
      { 30, WATCH_DRAINING, 2, 41, 0 },
      { 240, ERA, 2, 0, 0 },
      { 240, HISTORY_GONE, 0, 0, 0 },
      { 240, INCARNATION, 500, 2, 0 },
      { 240, LIST, 7, 10, 0 },
      { 240, EXPECT, 7, 0, 2 },
      { 240, HISTORY_GONE, 0, 0, 0 },
      { 240, LIST, 7, 11, 0 },
      { 240, EXPECT, 7, 0, 2 },
      { 240, INCARNATION, 500, 3, 0 },
      { 240, WATCH_DRAINING, 2, 12, 0 },
      { 240, EXPECT, 7, 0, 2 },
      { 450, INCARNATION, 900, 1, 0 },
      { 450, WATCH_READY, 2, 13, 0 },
      { 450, EXPECT, 7, 0, 0 } } },
  { "/restored/gone-stays-gone",
    { { 10, ERA, 1, 0, 0 },
      { 10, INCARNATION, 500, 2, 0 },
      { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 7, 40, 0 },
      { 30, WATCH_DRAINING, 2, 41, 0 },
      { 240, WATCH_REMOVED, 2, 42, 0 },
      { 240, EXPECT, 5, 0, 0 },
      { 450, ERA, 2, 0, 0 },
      { 450, HISTORY_GONE, 0, 0, 0 },
      { 450, LIST, 7, 10, 0 },
      { 450, EXPECT, 5, 0, 0 },
      { 4050, WATCH_REMOVED, 2, 11, 0 },
      { 4050, EXPECT, 5, 0, 0 },
      { 9000, EXPECT, 5, 0, 0 } } },
  { "/restored/gone-written-again",
    { { 10, ERA, 1, 0, 0 },
      { 10, INCARNATION, 500, 2, 0 },
      { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 7, 40, 0 },
      { 30, WATCH_REMOVED, 2, 41, 0 },
      { 2040, EXPECT, 5, 0, 0 },
      { 2040, ERA, 2, 0, 0 },
      { 2040, HISTORY_GONE, 0, 0, 0 },
      { 2040, LIST, 7, 10, 0 },
      { 2040, EXPECT, 5, 0, 0 },
      { 2050, INCARNATION, 500, 3, 0 },
      { 2050, WATCH_READY, 2, 11, 0 },
      { 2050, EXPECT, 7, 0, 0 } } },
  /* A state that differs in nothing but its number counts too.  */
  { "/restored/gone-after-equal-state",
    { { 10, ERA, 1, 0, 0 },
      { 10, INCARNATION, 500, 2, 0 },
      { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 7, 40, 0 },
      { 30, INCARNATION, 500, 4, 0 },
      { 30, WATCH_READY, 2, 41, 0 },
      { 240, WATCH_REMOVED, 2, 42, 0 },
      { 2250, EXPECT, 5, 0, 0 },
      { 2250, ERA, 2, 0, 0 },
      { 2250, HISTORY_GONE, 0, 0, 0 },
      { 2250, INCARNATION, 500, 3, 0 },
      { 2250, LIST, 7, 10, 0 },
      { 2250, EXPECT, 5, 0, 0 } } },
  /* An upstream whose entry outlives the lease is alive.  */
  { "/restored/gone-but-alive",
    { { 10, ERA, 1, 0, 0 },
      { 10, INCARNATION, 500, 2, 0 },
      { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 7, 40, 0 },
      { 30, WATCH_REMOVED, 2, 41, 0 },
      { 2040, EXPECT, 5, 0, 0 },
      { 2040, ERA, 2, 0, 0 },
      { 2040, HISTORY_GONE, 0, 0, 0 },
      { 2040, LIST, 7, 10, 0 },
      { 8000, EXPECT, 5, 0, 0 },
      { 8050, EXPECT, 7, 0, 0 } } },
  { "/restored/started-again-with-clock-back",
    { { 10, ERA, 1, 0, 0 },
      { 10, INCARNATION, 900, 2, 0 },
      { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 7, 40, 0 },
      { 30, WATCH_DRAINING, 2, 41, 0 },
      { 240, ERA, 2, 0, 0 },
      { 240, HISTORY_GONE, 0, 0, 0 },
      { 240, INCARNATION, 500, 1, 0 },
      { 240, LIST, 7, 10, 0 },
      { 240, EXPECT, 7, 0, 2 },
      { 250, WATCH_READY, 2, 11, 0 },
      { 250, EXPECT, 7, 0, 0 } } },
  /* A process that starts between the return of the store and the next writes
     has the copy alone; its peers know more.  */
  { "/restored/started-meanwhile-has-old-version",
    { { 10, ERA, 2, 0, 0 },
      { 10, EXPECT_PEER, 0, 0, 0 },
      { 10, CONFIG, 4, 5, 0 },
      { 20, LIST, 7, 10, 0 },
      { 20, EXPECT_PEER, 1, 0, 0 },
      { 20, ERA, 1, 0, 0 },
      { 20, CONFIG, 6, 0, 0 },
      { 30, PEER_SNAPSHOT, 7, 40, 0 },
      { 30, EXPECT_VERSION, 6, 0, 0 },
      { 500, EXPECT_PEER, 0, 0, 0 } } },
  { "/restored/started-meanwhile-misses-drain",
    { { 10, ERA, 2, 0, 0 },
      { 10, INCARNATION, 500, 2, 0 },
      { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 7, 10, 0 },
      { 20, EXPECT_PEER, 1, 0, 0 },
      { 20, ERA, 1, 0, 0 },
      { 20, INCARNATION, 500, 3, 0 },
      { 30, PEER_SNAPSHOT, 7, 40, 2 },
      { 30, EXPECT, 7, 0, 2 } } },
  { "/restored/drain-of-peer-outlasts-list",
    { { 10, ERA, 2, 0, 0 },
      { 10, INCARNATION, 500, 2, 0 },
      { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 7, 10, 0 },
      { 20, ERA, 1, 0, 0 },
      { 20, INCARNATION, 500, 3, 0 },
      { 30, PEER_SNAPSHOT, 7, 40, 2 },
      { 40, ERA, 2, 0, 0 },
      { 40, HISTORY_GONE, 0, 0, 0 },
      { 40, INCARNATION, 500, 2, 0 },
      { 40, LIST, 7, 11, 0 },
      { 40, EXPECT, 7, 0, 2 } } },
  { "/restored/started-meanwhile-has-gone-one",
    { { 10, ERA, 2, 0, 0 },
      { 10, INCARNATION, 500, 2, 0 },
      { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 7, 10, 0 },
      { 20, EXPECT_PEER, 1, 0, 0 },
      { 20, ERA, 1, 0, 0 },
      { 20, INCARNATION, 500, 3, 0 },
      { 30, PEER_SNAPSHOT_GONE, 5, 40, 2 },
      { 30, EXPECT, 5, 0, 0 },
      { 30, ERA, 2, 0, 0 },
      { 4000, WATCH_REMOVED, 2, 11, 0 },
      { 9000, EXPECT, 5, 0, 0 } } },
  { "/restored/peer-knows-gone-one",
    { { 10, FAILURE, 0, 0, 0 },
      { 10, ERA, 1, 0, 0 },
      { 10, INCARNATION, 500, 3, 0 },
      { 320, PEER_SNAPSHOT_GONE, 5, 40, 2 },
      { 320, EXPECT, 5, 0, 0 },
      { 330, ERA, 2, 0, 0 },
      { 330, INCARNATION, 500, 2, 0 },
      { 330, LIST, 7, 10, 0 },
      { 330, EXPECT, 5, 0, 0 },
      { 6320, EXPECT, 5, 0, 0 },
      { 6330, EXPECT, 7, 0, 0 } } },
  { "/restored/back-since-peer-saw-it-go",
    { { 10, ERA, 2, 0, 0 },
      { 10, INCARNATION, 500, 3, 0 },
      { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 7, 10, 0 },
      { 30, PEER_SNAPSHOT_GONE, 5, 9, 2 },
      { 30, EXPECT, 7, 0, 0 } } },
  { "/restored/snapshot-has-gone-ones",
    { { 10, ERA, 1, 0, 0 },
      { 10, CONFIG, 1, 5, 0 },
      { 20, LIST, 7, 40, 0 },
      { 30, WATCH_REMOVED, 2, 41, 0 },
      { 2100, EXPECT_SNAPSHOT, 5, 0, 2 },
      { 70000, EXPECT_SNAPSHOT, 5, 0, 0 } } },
  /* A version that was lost is given out again for another configuration; one
     of the lost history must not replace it.  */
  { "/restored/version-given-out-again",
    { { 10, ERA, 1, 0, 0 },
      { 10, ROUTES, 1, 0, 0 },
      { 10, CONFIG, 6, 0, 0 },
      { 20, LIST, 1, 40, 0 },
      { 30, ERA, 2, 0, 0 },
      { 30, HISTORY_GONE, 0, 0, 0 },
      { 40, CONFIG, 4, 5, 0 },
      { 40, LIST, 1, 10, 0 },
      { 40, EXPECT_ROUTES, 1, 0, 0 },
      { 50, ROUTES, 2, 0, 0 },
      { 50, CONFIG, 6, 0, 0 },
      { 50, WATCH_READY, 2, 11, 0 },
      { 50, EXPECT_ROUTES, 2, 0, 0 },
      { 60, ERA, 1, 0, 0 },
      { 60, CONFIG, 6, 0, 0 },
      { 60, PEER_SNAPSHOT, 1, 41, 0 },
      { 60, EXPECT_ROUTES, 2, 0, 0 } } },
  { "/restored/version-never-back",
    { { 10, ERA, 1, 0, 0 },
      { 10, CONFIG, 6, 5, 0 },
      { 20, LIST, 1, 40, 0 },
      { 30, ERA, 2, 0, 0 },
      { 30, HISTORY_GONE, 0, 0, 0 },
      { 40, CONFIG, 4, 5, 0 },
      { 40, LIST, 1, 10, 0 },
      { 40, EXPECT_VERSION, 6, 0, 0 },
      { 50, CONFIG, 7, 0, 0 },
      { 50, WATCH_NOTHING, 0, 11, 0 },
      { 50, EXPECT_VERSION, 7, 0, 0 } } },
};

struct run
{
  uint32_t route_count;
  /* Era of the store and of the snapshots of peers.  */
  uint64_t era;
  /* Start and sequence number of the upstreams.  */
  uint64_t started_unix_ms;
  uint64_t sequence;
  struct galena_catalog *catalog;
  struct galena_directory *directory;
  struct galena_clock now;
  /* Version of the configuration that the next reply contains; 0 for none.  */
  uint32_t version;
};

static void
fill_upstream (const struct run *run, uint32_t index,
               enum galena_published_state state,
               struct galena_published_upstream *upstream)
{
  upstream->started_unix_ms = run->started_unix_ms;
  upstream->sequence = run->sequence;
  g_snprintf (upstream->id, sizeof upstream->id, "u-%u", index);
  upstream->state = state;
  upstream->address = (struct galena_endpoint){ 0x0a000001 + index, 80 };
}

static void
change_upstreams (struct run *run, const struct step *step,
                  enum galena_change_kind kind,
                  enum galena_published_state state)
{
  for (uint32_t i = 0; i < UPSTREAMS_MAX; i++)
    {
      struct galena_change change
          = { .kind = kind, .revision = step->revision };
      struct galena_store_position known;

      if ((step->argument & (1U << i)) == 0)
        continue;
      fill_upstream (run, i, state, &change.upstream);
      change.key = change.upstream.id;
      galena_catalog_apply_change (run->catalog, run->now, &change, &known);
    }
}

static struct galena_catalog_call
take_call (struct run *run, enum galena_call_kind kind)
{
  struct galena_catalog_call call;

  g_assert_true (galena_catalog_next_call (run->catalog, run->now, &call));
  g_assert_cmpint (call.kind, ==, kind);
  return call;
}

static const struct galena_route ROUTE_ROWS[ROUTES_MAX];

static void
change_version (struct run *run)
{
  struct galena_change change
      = { .kind = GALENA_CHANGE_CONFIG,
          .key = "config",
          .config = { run->version, run->route_count, ROUTE_ROWS } };
  struct galena_store_position known;

  if (run->version != 0)
    galena_catalog_apply_change (run->catalog, run->now, &change, &known);
  run->version = 0;
}

static void
run_reply (struct run *run, const struct step *step)
{
  static const struct
  {
    enum galena_change_kind kind;
    enum galena_published_state state;
  } CHANGES[] = {
    [LIST] = { GALENA_CHANGE_UPSTREAM, GALENA_PUBLISHED_READY },
    [LIST_PART] = { GALENA_CHANGE_UPSTREAM, GALENA_PUBLISHED_READY },
    [WATCH_NOTHING] = { GALENA_CHANGE_UPSTREAM, GALENA_PUBLISHED_READY },
    [WATCH_READY] = { GALENA_CHANGE_UPSTREAM, GALENA_PUBLISHED_READY },
    [WATCH_NO_WAIT] = { GALENA_CHANGE_UPSTREAM, GALENA_PUBLISHED_READY },
    [WATCH_DRAINING] = { GALENA_CHANGE_UPSTREAM, GALENA_PUBLISHED_DRAINING },
    [WATCH_REMOVED] = { GALENA_CHANGE_REMOVED, GALENA_PUBLISHED_ABSENT },
    [WATCH_UNREADABLE] = { GALENA_CHANGE_UNREADABLE, GALENA_PUBLISHED_ABSENT },
  };
  struct galena_catalog_reply reply = { .revision = step->revision,
                                        .more = step->kind == LIST_PART,
                                        .next = "u-1" };
  bool list = step->kind == LIST || step->kind == LIST_PART;
  struct galena_catalog_call call
      = take_call (run, list ? GALENA_CALL_LIST : GALENA_CALL_WATCH);

  if (!list)
    g_assert_cmpuint (call.wait_ms == 0, ==, step->kind == WATCH_NO_WAIT);
  g_assert_cmpint (galena_catalog_begin_reply (run->catalog, run->era), ==,
                   GALENA_CALL_OK);
  change_version (run);
  change_upstreams (run, step, CHANGES[step->kind].kind,
                    CHANGES[step->kind].state);
  galena_catalog_end_call (run->catalog, run->now, GALENA_CALL_OK, &reply);
}

static void
run_failure (struct run *run, const struct step *step)
{
  struct galena_catalog_call call;

  g_assert_true (galena_catalog_next_call (run->catalog, run->now, &call));
  if (step->kind == HISTORY_GONE)
    galena_catalog_begin_reply (run->catalog, run->era);
  galena_catalog_end_call (run->catalog, run->now,
                           step->kind == FAILURE ? GALENA_CALL_FAILED
                                                 : GALENA_CALL_HISTORY_GONE,
                           NULL);
}

static void
run_unapplied (struct run *run, const struct step *step)
{
  enum galena_call_result result;

  take_call (run, step->kind == LIST_NOT_APPLIED ? GALENA_CALL_LIST
                                                 : GALENA_CALL_WATCH);
  result = galena_catalog_begin_reply (run->catalog, run->era);
  g_assert_cmpint (result, !=, GALENA_CALL_OK);
  galena_catalog_end_call (run->catalog, run->now, result, NULL);
}

static void
run_era (struct run *run, const struct step *step)
{
  run->era = step->argument;
}

static void
run_incarnation (struct run *run, const struct step *step)
{
  run->started_unix_ms = step->argument;
  run->sequence = step->revision;
}

static void
run_config (struct run *run, const struct step *step)
{
  run->version = step->argument;
}

static void
run_timeout (struct run *run, const struct step *step)
{
  struct galena_catalog_call call = take_call (run, GALENA_CALL_WATCH);

  g_assert_cmpuint (call.timeout_ms, <=, step->argument);
  run->now.ms += call.timeout_ms;
  galena_catalog_end_call (run->catalog, run->now, GALENA_CALL_FAILED, NULL);
}

static void
run_begun_watch (struct run *run, const struct step *step)
{
  (void)step;
  take_call (run, GALENA_CALL_WATCH);
}

static void
run_refresh (struct run *run, const struct step *step)
{
  (void)step;
  galena_catalog_refresh (run->catalog, run->now);
}

static void
run_peer (struct run *run, const struct step *step)
{
  bool gone = step->kind == PEER_SNAPSHOT_GONE;
  struct galena_published_upstream rows[UPSTREAMS_MAX] = { 0 };
  struct galena_catalog_snapshot snapshot
      = { .version = run->version != 0 ? run->version : 1,
          .position = { run->era, step->revision },
          .upstreams = rows };

  for (uint32_t i = 0; i < UPSTREAMS_MAX; i++)
    if ((step->argument & (1U << i)) != 0)
      fill_upstream (run, i,
                     (step->draining & (1U << i)) != 0 && !gone
                         ? GALENA_PUBLISHED_DRAINING
                         : GALENA_PUBLISHED_READY,
                     &rows[snapshot.upstream_count++]);
    else if (gone && (step->draining & (1U << i)) != 0)
      fill_upstream (run, i, GALENA_PUBLISHED_ABSENT,
                     &rows[snapshot.upstream_count++]);
  run->version = 0;
  galena_catalog_merge_snapshot (run->catalog, run->now, &snapshot);
}

static void
expect_upstreams (struct run *run, const struct step *step)
{
  const struct galena_published_upstream *rows;
  uint32_t count;
  uint32_t mask = 0;
  uint32_t draining = 0;

  g_assert_nonnull (run->directory);
  rows = galena_directory_upstreams (run->directory, &count);
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t bit = 1U << (rows[i].address.ip - 0x0a000001);

      mask |= bit;
      if (rows[i].state == GALENA_PUBLISHED_DRAINING)
        draining |= bit;
    }
  g_assert_cmpuint (mask, ==, step->argument);
  g_assert_cmpuint (draining, ==, step->draining);
}

static void
expect_snapshot (struct run *run, const struct step *step)
{
  struct galena_catalog_snapshot snapshot;
  uint32_t mask = 0;
  uint32_t gone = 0;

  galena_catalog_snapshot (run->catalog, run->now, run->directory, &snapshot);
  for (uint32_t i = 0; i < snapshot.upstream_count; i++)
    {
      const struct galena_published_upstream *row = &snapshot.upstreams[i];
      uint32_t bit = 1U << (row->address.ip - 0x0a000001);

      if (row->state == GALENA_PUBLISHED_ABSENT)
        gone |= bit;
      else
        mask |= bit;
    }
  g_assert_cmpuint (mask, ==, step->argument);
  g_assert_cmpuint (gone, ==, step->draining);
}

static void
expect_version (struct run *run, const struct step *step)
{
  g_assert_cmpuint (galena_directory_version (run->directory), ==,
                    step->argument);
}

static void
run_routes (struct run *run, const struct step *step)
{
  run->route_count = step->argument;
}

static void
expect_routes (struct run *run, const struct step *step)
{
  uint32_t count;

  galena_directory_routes (run->directory, &count);
  g_assert_cmpuint (count, ==, step->argument);
}

static void
expect_no_call (struct run *run, const struct step *step)
{
  struct galena_catalog_call call;

  (void)step;
  g_assert_false (galena_catalog_next_call (run->catalog, run->now, &call));
}

static void
expect_peer (struct run *run, const struct step *step)
{
  g_assert_cmpuint (
      galena_catalog_needs_peer_snapshot (run->catalog, run->now), ==,
      step->argument);
}

static void
expect_idle (struct run *run, const struct step *step)
{
  (void)step;
  g_assert_cmpint (galena_catalog_due (run->catalog, true).ms, >, run->now.ms);
}

static void
expect_unknown (struct run *run, const struct step *step)
{
  (void)step;
  g_assert_null (run->directory);
}

static void (*const RUNNERS[]) (struct run *run, const struct step *step) = {
  [LIST] = run_reply,
  [LIST_PART] = run_reply,
  [WATCH_NOTHING] = run_reply,
  [WATCH_READY] = run_reply,
  [WATCH_DRAINING] = run_reply,
  [WATCH_REMOVED] = run_reply,
  [WATCH_UNREADABLE] = run_reply,
  [HISTORY_GONE] = run_failure,
  [FAILURE] = run_failure,
  [ERA] = run_era,
  [INCARNATION] = run_incarnation,
  [WATCH_NOT_APPLIED] = run_unapplied,
  [LIST_NOT_APPLIED] = run_unapplied,
  [CONFIG] = run_config,
  [ROUTES] = run_routes,
  [WATCH_TIMEOUT] = run_timeout,
  [WATCH_NO_WAIT] = run_reply,
  [WATCH_BEGUN] = run_begun_watch,
  [REFRESH] = run_refresh,
  [PEER_SNAPSHOT] = run_peer,
  [PEER_SNAPSHOT_GONE] = run_peer,
  [EXPECT_SNAPSHOT] = expect_snapshot,
  [EXPECT] = expect_upstreams,
  [EXPECT_VERSION] = expect_version,
  [EXPECT_ROUTES] = expect_routes,
  [EXPECT_NO_CALL] = expect_no_call,
  [EXPECT_PEER] = expect_peer,
  [EXPECT_IDLE] = expect_idle,
  [EXPECT_UNKNOWN] = expect_unknown,
};

static void
run_catalog_case (gconstpointer data)
{
  const struct catalog_case *test = data;
  struct galena_catalog_options options
      = { .seed = 1, .wait_ms = 2500, .upstreams = 64 };
  struct run run = { 0 };
  struct galena_directory *built;

  g_assert_cmpint (galena_catalog_create (&options, &run.catalog), ==,
                   GALENA_OK);
  for (const struct step *step = test->steps; step->kind != END; step++)
    {
      run.now.ms = step->at_ms;
      if (galena_catalog_build (run.catalog, run.now, 0, &built))
        {
          galena_directory_destroy (run.directory);
          run.directory = built;
        }
      RUNNERS[step->kind](&run, step);
    }
  galena_directory_destroy (run.directory);
  galena_catalog_destroy (run.catalog);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    g_test_add_data_func (CASES[i].name, &CASES[i], run_catalog_case);
  return g_test_run ();
}
