/* A simulation of the data plane in virtual time: planes of entries and agents
   with fake callers and upstreams.  A step is one millisecond, and so is the
   latency of a packet or message.  */

#ifndef GALENAFORD_TEST_PLANES_H
#define GALENAFORD_TEST_PLANES_H

#include <galenaford/plane.h>

enum
{
  PLANES_ENTRIES_MAX = 8,
  PLANES_UPSTREAMS_MAX = 32,
  PLANES_CALLERS_MAX = 256,
  PLANES_ACTIONS_MAX = 24,
  /* Availability zones, assigned to processes and upstreams round robin.  */
  PLANES_ZONES = 3,
  PLANES_FOREIGN_MAX = 4,
  PLANES_KINDS_MAX = 3,
  /* Time in milliseconds within which an evacuation takes effect: a third of
     the 5,000 ms after which a flow opened there breaks the bound.  */
  PLANES_EVACUATED_MS = 1666,
  /* Time in milliseconds in which a zone that returned is watched for a flood:
     that of two requests.  */
  PLANES_RETURN_MS = 40
};

/* Actions on the fleet.  FIRST and LAST of struct planes_action are a range of
   entries or upstreams, unless stated otherwise.  */
enum planes_action_kind
{
  PLANES_NOTHING,
  /* Entries or agents restart with empty tables.  */
  PLANES_RESTART_ENTRIES,
  PLANES_RESTART_AGENTS,
  /* Entries leave the rotation but still process what reaches them, or join it
     again.  */
  PLANES_ENTRIES_OUT_OF_ROTATION,
  PLANES_ENTRIES_IN_ROTATION,
  /* Agents stop without a message, or start again.  */
  PLANES_STOP_AGENTS,
  PLANES_START_AGENTS,
  /* Upstreams restart at the same address and lose their flows.  */
  PLANES_RESTART_UPSTREAMS,
  /* Instances end, and their addresses go to upstreams of the second service
     with agents of their own.  */
  PLANES_GIVE_ADDRESSES,
  /* Upstreams neither send nor receive until they are resumed.  */
  PLANES_FREEZE_UPSTREAMS,
  PLANES_RESUME_UPSTREAMS,
  /* Upstreams never answer FAULT_PERCENT of the requests, shed them or reset
     their flows, though they are not full; or they take ten times as long for
     all; or they are well again.  */
  PLANES_UPSTREAMS_HANG,
  PLANES_UPSTREAMS_SHED,
  PLANES_UPSTREAMS_RESET,
  PLANES_UPSTREAMS_SLOW,
  PLANES_UPSTREAMS_WELL,
  /* Changes of the published state of upstreams.  */
  PLANES_PUBLISH_READY,
  PLANES_PUBLISH_RESTARTED,
  PLANES_PUBLISH_DRAINING,
  PLANES_PUBLISH_ABSENT,
  /* Upstreams refuse new flows, or accept them again.  */
  PLANES_REFUSE_FLOWS,
  PLANES_ACCEPT_FLOWS,
  /* Entries get no published changes any more, or get them again.  */
  PLANES_DISCONNECT_ENTRIES,
  PLANES_RECONNECT_ENTRIES,
  /* Entries of another writer are published, or removed.  FIRST and LAST are
     indices of PLANES_OPTIONS.foreign.  */
  PLANES_PUBLISH_FOREIGN,
  PLANES_REMOVE_FOREIGN,
  /* The route changes to the second service, or is removed.  */
  PLANES_REROUTE,
  PLANES_DROP_ROUTE,
  /* Availability zones are evacuated, or may be used again.  FIRST and LAST
     are zones; process or upstream I is in zone I modulo PLANES_ZONES.  */
  PLANES_EVACUATE_ZONE,
  PLANES_RETURN_ZONE,
  /* Before its next request, a caller and its upstream both discard their flow
     without a packet, and the caller opens one from the same port.  FIRST and
     LAST are callers.  */
  PLANES_REUSE_PORTS,
  /* A late copy of the opening packet of an open flow arrives.  FIRST and LAST
     are callers.  */
  PLANES_COPY_OPENINGS,
  PLANES_ACTION_COUNT
};

struct planes_action
{
  uint32_t at_ms;
  enum planes_action_kind kind;
  uint32_t first;
  uint32_t last;
};

/* An entry of another writer, published at the address of upstreams FIRST to
   LAST.  */
struct planes_foreign
{
  uint32_t first;
  uint32_t last;
  /* Port of the address; 0 for that of the upstream.  */
  uint16_t port;
  /* NULL for the service of the upstream, before its address is given away. */
  const char *service;
  enum galena_published_state state;
  /* Milliseconds from the start of the upstream to that of the entry.  */
  int64_t started_after_ms;
  /* Whether it stands before the entries of upstreams, or after them.  */
  bool listed_first;
};

/* A kind of work with a route of its own to the first service.  */
struct planes_kind
{
  struct galena_work_class work;
  uint32_t service_ms;
  /* Full packets of a request before its last one, and the milliseconds
     between them.  */
  uint32_t full_packets;
  uint32_t gap_ms;
};

struct planes_options
{
  uint64_t seed;
  uint32_t entries;
  uint32_t upstreams;
  /* Index of the first upstream of the second service; 0 for none.  */
  uint32_t second_service;
  /* Whether a second route, on which no flow is opened, leads to it.  */
  bool second_route;
  uint32_t callers;
  /* Requests that an upstream runs concurrently, and the service time of
     one.  */
  uint32_t slots;
  uint32_t service_ms;
  /* Maximum number of queued requests at an upstream, which sheds further
     ones; 0 for no limit.  */
  uint32_t queue;
  /* Upstreams whose index is a multiple of this are four times as slow; 0 for
     none.  */
  uint32_t slow_every;
  /* Whether the speeds of upstreams are 0.7, 0.7 and 1.7 of the mean in turn,
     so that the service times differ by a factor of 2.4.  */
  bool uneven;
  /* Share of requests that PLANES_UPSTREAMS_HANG and the like concern.  */
  uint32_t fault_percent;
  /* Whether processes have load control, and what the route says of its
     requests: callers give one up after the timeout.  0 for none.  */
  bool load_control;
  uint32_t aim_ms;
  uint32_t timeout_ms;
  /* Milliseconds between an answer and the next request.  */
  uint32_t think_ms;
  /* How long an upstream warms up after PLANES_PUBLISH_RESTARTED, the new
     flows per second that it takes meanwhile, and the settings of the limit; 0
     for none.  */
  uint32_t warm_up_ms;
  uint32_t warm_up_per_s;
  double warm_up_overrun;
  double warm_up_slack;
  /* Whether callers open a new flow for each request.  */
  bool flow_per_request;
  /* One in this many messages is lost; 0 for none.  */
  uint32_t loss;
  uint32_t length_ms;
  /* Kinds of work, assigned to callers round robin; 0 for one without a class
     that takes SERVICE_MS.  Callers of a kind give a request up after its
     timeout.  */
  uint32_t kind_count;
  struct planes_kind kinds[PLANES_KINDS_MAX];
  /* Upstreams work 1.6 times slower for this time after a start of their
     agents.  */
  uint32_t cold_ms;
  /* Callers with a lower index share one address.  */
  uint32_t shared_address;
  /* In this time, callers with a lower index think BURST_THINK_MS; only those
     of one kind, counted from 1, if that is not 0.  */
  uint32_t burst_callers;
  uint32_t burst_kind;
  uint32_t burst_think_ms;
  uint32_t burst_from_ms;
  uint32_t burst_to_ms;
  /* Requests that begin in this time count in the rows of the report.  */
  uint32_t measure_from_ms;
  uint32_t measure_to_ms;
  struct planes_foreign foreign[PLANES_FOREIGN_MAX];
  struct planes_action actions[PLANES_ACTIONS_MAX];
};

/* Requests of one kind, or of the callers that share an address, that began in
   the measured time.  */
struct planes_share
{
  uint32_t requests;
  uint32_t answered;
  uint32_t in_time;
};

struct planes_report
{
  uint32_t requests;
  uint32_t answered;
  /* Opens that entries sent, and those sent to another availability zone.  */
  uint32_t opens;
  uint32_t cross_zone;
  /* Opens that agents handed back.  */
  uint32_t handed_back;
  /* Requests shed by their upstream.  */
  uint32_t shed;
  /* Most flows opened at one upstream within PLANES_RETURN_MS after its zone
     returned.  */
  uint32_t return_peak;
  /* Requests that callers gave up.  */
  uint32_t failed;
  /* Ejections and reinstatements by all entries, and the largest number of
     upstreams that one entry had ejected at a time.  */
  uint32_t ejections;
  uint32_t reinstated;
  uint32_t ejected_max;
  /* Requests answered more than 100 ms after they were first sent.  */
  uint32_t late;
  /* Open flows that were reset while their upstream held them.  */
  uint32_t broken;
  /* Resets that callers received.  */
  uint32_t resets;
  /* Flows opened at an upstream that for more than 3 s had been published as
     something other than ready.  */
  uint32_t misplaced;
  /* Flows opened at an upstream whose zone had been evacuated for more than
     PLANES_EVACUATED_MS.  */
  uint32_t evacuated;
  /* Most flows opened at one upstream within a second while it warmed up.  */
  uint32_t warm_up_peak;
  /* Flows opened at an upstream of another service.  */
  uint32_t misrouted;
  /* Packets that reached an upstream with changed contents.  */
  uint32_t altered;
  /* Longest time in milliseconds from a request to its answer.  */
  uint32_t worst_ms;
  /* Requests that the busiest upstream answered.  */
  uint32_t busiest;
  /* Largest difference between the requests that an agent reports and those
     that its upstream has, sampled once a second in the first half of the
     run.  */
  uint32_t load_error;
  /* Flows in the tables of all processes at the end.  */
  uint32_t rows;
  /* By kind of work, and of callers that share an address and all others.  */
  struct planes_share kinds[PLANES_KINDS_MAX];
  struct planes_share shared[2];
  /* Requests that ran although their callers had given them up.  */
  uint32_t ran_in_vain;
  /* Sums of the counters of all planes that ran until the end.  */
  uint64_t counters[GALENA_PLANE_COUNTER_COUNT];
  /* Events that planes logged.  */
  uint32_t events[GALENA_PLANE_EVENT_COUNT];
};

/* Runs the simulation with OPTIONS and stores its results in *REPORT.  */
void planes_run (const struct planes_options *options,
                 struct planes_report *report);

#endif
