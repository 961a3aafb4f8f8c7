/* Planes of entries and agents in virtual time, between callers and upstreams
   that are made up here.  One step is one millisecond; every message takes
   one or more.  */

#ifndef GALENAFORD_TEST_PLANES_H
#define GALENAFORD_TEST_PLANES_H

#include <galenaford/plane.h>

enum
{
  PLANES_ENTRIES_MAX = 8,
  PLANES_UPSTREAMS_MAX = 32,
  PLANES_CALLERS_MAX = 256,
  PLANES_ACTIONS_MAX = 24
};

/* What can be done to the fleet.  FIRST and LAST name a range of entries or
   upstreams.  */
enum planes_action_kind
{
  PLANES_NOTHING,
  /* Entries or agents lose all that they know, and start again.  */
  PLANES_RESTART_ENTRIES,
  PLANES_RESTART_AGENTS,
  /* Entries leave the rotation, and go on with what still reaches them, or
     join it; agents stop, silently.  */
  PLANES_STOP_ENTRIES,
  PLANES_START_ENTRIES,
  PLANES_STOP_AGENTS,
  PLANES_START_AGENTS,
  /* Upstreams lose their flows and start again at the same address.  */
  PLANES_RESTART_UPSTREAMS,
  /* Upstreams send and take nothing until they are woken.  */
  PLANES_FREEZE_UPSTREAMS,
  PLANES_WAKE_UPSTREAMS,
  /* What the platform publishes of upstreams.  */
  PLANES_LIST_READY,
  PLANES_LIST_REBORN,
  PLANES_LIST_DRAINING,
  PLANES_LIST_ABSENT,
  /* Upstreams accept no further flows, or do again.  */
  PLANES_FILL_UPSTREAMS,
  PLANES_EMPTY_UPSTREAMS,
  /* Entries learn nothing that is published from then on, or do again.  */
  PLANES_BLIND_ENTRIES,
  PLANES_UNBLIND_ENTRIES,
  /* The route moves to another service, or is dropped.  */
  PLANES_REROUTE,
  PLANES_DROP_ROUTE,
  PLANES_ACTION_COUNT
};

struct planes_action
{
  uint32_t at_ms;
  enum planes_action_kind kind;
  uint32_t first;
  uint32_t last;
};

struct planes_options
{
  uint64_t seed;
  uint32_t entries;
  uint32_t upstreams;
  /* Upstreams from this one on belong to a second service; 0 for none.  */
  uint32_t second_service;
  uint32_t callers;
  /* Requests that an upstream runs at once, and how long one takes.  */
  uint32_t slots;
  uint32_t service_ms;
  /* Requests that may wait at an upstream; further ones are shed.  0 for no
     limit.  */
  uint32_t queue;
  /* Upstreams whose index is a multiple of this one take four times as long;
     0 for none.  */
  uint32_t slow_each;
  /* Milliseconds between an answer and the next request.  */
  uint32_t think_ms;
  /* Whether callers open a flow for each request.  */
  bool fresh;
  /* One in so many messages is lost; 0 for none.  */
  uint32_t loss;
  uint32_t length_ms;
  struct planes_action actions[PLANES_ACTIONS_MAX];
};

struct planes_report
{
  uint32_t requests;
  uint32_t answered;
  /* Opens that entries sent, and those to another availability zone.  */
  uint32_t opens;
  uint32_t crossed;
  /* Shed by their upstream.  */
  uint32_t shed;
  /* Answered later than 100 ms after they were first sent.  */
  uint32_t late;
  /* Open flows that were reset while their upstream held them.  */
  uint32_t broken;
  /* Resets in all.  */
  uint32_t resets;
  /* Flows opened at an upstream that was not published as ready for 3 s.  */
  uint32_t misplaced;
  /* Flows opened at an upstream of another service.  */
  uint32_t misrouted;
  /* Packets with changed contents.  */
  uint32_t forged;
  /* Longest time from a request to its answer.  */
  uint32_t worst_ms;
  /* Requests that the busiest upstream answered.  */
  uint32_t busiest;
  /* Greatest difference between the requests that an agent told and those
     that its upstream had, once a second in the first half of the run.  */
  uint32_t misjudged;
  /* Flows that processes hold at the end.  */
  uint32_t rows;
};

/* Runs the fleet as OPTIONS say.  */
void planes_run (const struct planes_options *options,
                 struct planes_report *report);

#endif
