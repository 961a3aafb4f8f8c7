/* An immutable directory of routes and upstreams.

   A control thread creates one for each change that the platform publishes.
   A plane reads the newest one during its tick.  */

#ifndef GALENAFORD_DIRECTORY_H
#define GALENAFORD_DIRECTORY_H

#include <stdbool.h>
#include <stdint.h>

#include <galenaford/clock.h>
#include <galenaford/message.h>
#include <galenaford/result.h>

enum
{
  /* Size of a published name in bytes, with its terminating zero.  */
  GALENA_PUBLISHED_NAME_BYTES = 64,
  /* Size of the published id of an upstream in bytes, with its terminating
     zero; it is part of a key of the platform's store, which has at most 200
     bytes.  */
  GALENA_PUBLISHED_ID_BYTES = 200,
  /* Maximum number of services that share one route.  */
  GALENA_ROUTE_SHARES_MAX = 8
};

/* Hash of the published name of a service; 0 for none.  */
typedef uint64_t galena_service_key;

/* Returns the key of the service with NAME; never 0.  */
galena_service_key galena_service_key_of (const char *name);

/* Share of the new flows of a route that one service gets.  */
struct galena_route_share
{
  galena_service_key service;
  /* Relative to the other shares of the route.  */
  uint32_t weight;
};

/* What kind of requests a route carries.  */
enum galena_work_kind
{
  GALENA_WORK_UNKNOWN,
  /* Short requests that may be run again.  */
  GALENA_WORK_IDEMPOTENT,
  /* Short requests that may run once at most.  */
  GALENA_WORK_NON_IDEMPOTENT,
  /* Bulk data from the caller.  */
  GALENA_WORK_UPLOAD,
  /* Bulk data to the caller.  */
  GALENA_WORK_DOWNLOAD,
  GALENA_WORK_KIND_COUNT
};

/* Returns the name of KIND, or "unknown".  */
const char *galena_work_kind_name (enum galena_work_kind kind);

/* Requests of a route and what their callers need.  */
struct galena_work_class
{
  enum galena_work_kind kind;
  /* 0 is the most urgent.  */
  uint32_t priority;
  /* Time in milliseconds within which callers want an answer; 0 when
     unknown.  */
  uint32_t aim_ms;
  /* Time in milliseconds after which callers no longer wait for one; 0 when
     unknown.  */
  uint32_t timeout_ms;
};

struct galena_route
{
  /* Address that callers send packets to.  */
  struct galena_endpoint address;
  struct galena_work_class work;
  uint32_t share_count;
  struct galena_route_share shares[GALENA_ROUTE_SHARES_MAX];
};

/* State of an upstream as the platform publishes it.  */
enum galena_published_state
{
  /* Not published.  */
  GALENA_PUBLISHED_ABSENT,
  /* Accepts new flows.  */
  GALENA_PUBLISHED_READY,
  /* Keeps its flows and accepts no new ones.  */
  GALENA_PUBLISHED_DRAINING
};

struct galena_published_upstream
{
  /* Mostly a new one for each incarnation of the upstream.  */
  char id[GALENA_PUBLISHED_ID_BYTES];
  galena_service_key service;
  /* Address at which the upstream itself listens.  */
  struct galena_endpoint address;
  enum galena_published_state state;
  /* Hash of the name of its availability zone, as galena_service_key_of
     returns it.  */
  uint64_t zone;
  /* Requests that it runs concurrently.  */
  uint32_t slots;
  /* Milliseconds from its publication until it has warmed up.  */
  uint32_t warm_up_ms;
  /* Unix milliseconds of its start by its own clock; 0 when unknown.  */
  uint64_t started_unix_ms;
  /* Increases with each state that the upstream publishes; begins again when
     it starts.  */
  uint64_t sequence;
};

/* Position in the history of the platform's store.  */
struct galena_store_position
{
  /* Rises when the store comes back from an older copy, whose later history is
     lost: revisions go back then and are given out again.  0 while
     unknown.  */
  uint64_t era;
  uint64_t revision;
};

/* Returns whether A is an earlier position than B.  */
static inline bool
galena_store_position_is_before (struct galena_store_position a,
                                 struct galena_store_position b)
{
  return a.era != b.era ? a.era < b.era : a.revision < b.revision;
}

/* What the configuration says of the upstreams of a service.  */
struct galena_service_limits
{
  galena_service_key service;
  /* How long an upstream warms up after its start.  */
  uint32_t warm_up_ms;
  /* New flows per second that one takes meanwhile; 0 for no limit.  */
  uint32_t warm_up_per_s;
};

/* What is published of the evacuation of an availability zone.  */
struct galena_zone_evacuation
{
  /* Hash of the name of the zone, as galena_service_key_of returns it.  */
  uint64_t zone;
  /* Whether the zone is to get no new flows.  */
  bool in_force;
  /* Position of the store at which that is known.  */
  struct galena_store_position position;
};

struct galena_directory_options
{
  /* Version of the configuration; 0 while none is known.  */
  uint64_t version;
  /* Copied.  */
  const struct galena_route *routes;
  uint32_t route_count;
  /* Copied.  */
  const struct galena_published_upstream *upstreams;
  uint32_t upstream_count;
  /* Copied.  */
  const struct galena_service_limits *services;
  uint32_t service_count;
  /* Copied.  Zones that are or were evacuated.  */
  const struct galena_zone_evacuation *evacuations;
  uint32_t evacuation_count;
  /* Position of the store up to which evacuations are known.  */
  struct galena_store_position position;
  /* Unix milliseconds by the wall clock at which it is created; 0 when
     unknown.  */
  uint64_t unix_ms;
};

struct galena_directory;

/* Creates a directory in *OUT; the caller owns it.  If two routes have the
   same address, the first one is used.  Errors: GALENA_ERR_MEMORY.  */
enum galena_result
galena_directory_create (const struct galena_directory_options *options,
                         struct galena_directory **out);

/* Destroys DIRECTORY; accepts NULL.  */
void galena_directory_destroy (struct galena_directory *directory);

/* Returns the version of the configuration, or 0 while none is known.  */
uint64_t galena_directory_version (const struct galena_directory *directory);

/* Returns the serial number of DIRECTORY, unique among the directories of the
   process.  It shows that a directory is another one, which may have the same
   version of the configuration.  */
uint64_t galena_directory_number (const struct galena_directory *directory);

/* Returns the Unix milliseconds at which DIRECTORY was created, or 0 when
   unknown.  */
uint64_t galena_directory_unix_ms (const struct galena_directory *directory);

/* Returns whether a route of DIRECTORY names SERVICE.  */
bool galena_directory_routes_to (const struct galena_directory *directory,
                                 galena_service_key service);

/* Return all routes or upstreams, *COUNT rows owned by DIRECTORY.  */
const struct galena_route *
galena_directory_routes (const struct galena_directory *directory,
                         uint32_t *count);
const struct galena_published_upstream *
galena_directory_upstreams (const struct galena_directory *directory,
                            uint32_t *count);

/* Returns what the configuration says of SERVICE; all limits are 0 if that is
   nothing.  */
struct galena_service_limits
galena_directory_service_limits (const struct galena_directory *directory,
                                 galena_service_key service);

/* Returns what is known of the evacuation of ZONE.  */
struct galena_zone_evacuation
galena_directory_evacuation (const struct galena_directory *directory,
                             uint64_t zone);

/* Returns the zones that are or were evacuated, *COUNT rows owned by
   DIRECTORY.  */
const struct galena_zone_evacuation *
galena_directory_evacuations (const struct galena_directory *directory,
                              uint32_t *count);

/* Returns the number of zones whose evacuation is in force.  */
uint32_t
galena_directory_evacuated_zones (const struct galena_directory *directory);

/* Returns the route at ADDRESS, or NULL.  */
const struct galena_route *
galena_directory_route (const struct galena_directory *directory,
                        struct galena_endpoint address);

#endif
