/* An immutable directory of routes and upstreams.

   A control thread builds it from what the platform publishes and hands it to
   a plane, which reads it during a tick.  */

#ifndef GALENAFORD_DIRECTORY_H
#define GALENAFORD_DIRECTORY_H

#include <stdbool.h>
#include <stdint.h>

#include <galenaford/clock.h>
#include <galenaford/message.h>
#include <galenaford/result.h>

enum
{
  /* Bytes of a published name, its end mark too.  */
  GALENA_LABEL_BYTES = 64,
  /* Most services that share one route.  */
  GALENA_ROUTE_SHARES_MAX = 8
};

/* Names a service by a hash of its published name; 0 names none.  */
typedef uint64_t galena_service_key;

/* Returns the key of the service with NAME.  */
galena_service_key galena_service_key_of (const char *name);

/* Part of a route's new flows.  */
struct galena_route_share
{
  galena_service_key service;
  /* Relative to the other shares of the route.  */
  uint32_t weight;
};

struct galena_route
{
  /* Where callers send packets to.  */
  struct galena_endpoint address;
  uint32_t share_count;
  struct galena_route_share shares[GALENA_ROUTE_SHARES_MAX];
};

enum galena_listing
{
  /* Not published, or no longer.  */
  GALENA_LISTING_ABSENT,
  /* Takes new flows.  */
  GALENA_LISTING_READY,
  /* Keeps its flows and takes no new ones.  */
  GALENA_LISTING_DRAINING
};

struct galena_listed_upstream
{
  /* Published name of this life of the upstream.  */
  char id[GALENA_LABEL_BYTES];
  galena_service_key service;
  /* Where the upstream itself listens.  */
  struct galena_endpoint address;
  enum galena_listing state;
  /* Key of its availability zone, made as a service's.  */
  uint64_t zone;
  /* Requests that it runs at once.  */
  uint32_t slots;
  /* Milliseconds, when published, until it has warmed up.  */
  uint32_t warm_up_ms;
  /* Unix milliseconds of its start, as it says itself; 0 when unknown.  */
  uint64_t born_ms;
};

struct galena_directory_options
{
  /* Version of the configuration; 0 while none is known.  */
  uint64_t version;
  /* Copied.  */
  const struct galena_route *routes;
  uint32_t route_count;
  /* Copied.  */
  const struct galena_listed_upstream *upstreams;
  uint32_t upstream_count;
};

struct galena_directory;

/* Creates a directory in *OUT; the caller owns it.  Of two routes with one
   address the first counts.  Errors: GALENA_ERR_MEMORY.  */
enum galena_result
galena_directory_create (const struct galena_directory_options *options,
                         struct galena_directory **out);

/* Destroys DIRECTORY; accepts NULL.  */
void galena_directory_destroy (struct galena_directory *directory);

/* Returns the version of the configuration, or 0 while none is known.  */
uint64_t galena_directory_version (const struct galena_directory *directory);

/* Returns a number that no other directory of the process has.  */
uint64_t galena_directory_number (const struct galena_directory *directory);

/* Returns all routes and upstreams, owned by DIRECTORY.  */
const struct galena_route *
galena_directory_routes (const struct galena_directory *directory,
                         uint32_t *count);
const struct galena_listed_upstream *
galena_directory_upstreams (const struct galena_directory *directory,
                            uint32_t *count);

/* Returns the route at ADDRESS, or NULL.  */
const struct galena_route *
galena_directory_route (const struct galena_directory *directory,
                        struct galena_endpoint address);

#endif
