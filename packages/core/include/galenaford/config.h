/* An immutable snapshot of the published service records.

   A control thread builds a snapshot and passes it to the worlds.  A world
   reads it during one tick and keeps no pointer into it.  */

#ifndef GALENAFORD_CONFIG_H
#define GALENAFORD_CONFIG_H

#include <stdbool.h>
#include <stdint.h>

#include <galenaford/clock.h>
#include <galenaford/message.h>
#include <galenaford/result.h>

enum
{
  /* Size of a name in bytes, with the terminating NUL.  */
  GALENA_NAME_BYTES = 32,
  /* Maximum number of kinds of work in one service.  */
  GALENA_KINDS_MAX = 16,
  /* Maximum number of candidate upstreams of one flow.  */
  GALENA_CANDIDATES_MAX = 3,
  /* Number of candidates that accept hash-routed flows, those whose tag
     carries no upstream number.  */
  GALENA_HASH_ROUTED_CANDIDATES = 2,
  /* Maximum number of upstreams to which a packet of a hash-routed flow is
     forwarded in turn.  */
  GALENA_CHAIN_MAX = 2 * GALENA_HASH_ROUTED_CANDIDATES,
  /* Number of hash buckets of a service's flows; all flows of one bucket
     have the same candidates.  */
  GALENA_BUCKETS = 16384
};

enum galena_upstream_state
{
  /* Accepts new flows.  */
  GALENA_UPSTREAM_ACTIVE,
  /* Keeps its flows and accepts no new ones.  */
  GALENA_UPSTREAM_LEAVING,
  /* No longer in the record; packets of its flows are still routed.  */
  GALENA_UPSTREAM_REMOVED
};

struct galena_kind
{
  char name[GALENA_NAME_BYTES];
  /* Number used in messages, below GALENA_KINDS_MAX.  */
  uint16_t number;
  /* 0 is the most urgent.  */
  uint16_t urgency;
  /* Whether a request may safely run more than once.  */
  bool idempotent;
  /* Whether the answer is an unbounded stream; such a request occupies no slot
     of the upstream, only its flow counts towards `connections'.  */
  bool endless;
  /* Default deadline of a request in milliseconds.  */
  uint32_t deadline_ms;
  /* Share of the slots reserved for this kind, in percent.  */
  uint16_t minimum_share_percent;
};

struct galena_upstream
{
  /* Number used in flow tags; unique over all services and never reused.  */
  uint32_t number;
  char host[GALENA_NAME_BYTES];
  char zone[GALENA_NAME_BYTES];
  /* Address on which the upstream's agent receives datagrams.  */
  struct galena_endpoint agent;
  /* Maximum number of requests that run at once.  */
  uint32_t slots;
  /* Maximum number of flows that are open at once.  */
  uint32_t connections;
  /* Relative share of new flows, at least 1.  */
  uint32_t weight;
  enum galena_upstream_state state;
  /* Whether it was active in the record before the current one.  */
  bool was_active;
  /* Index of the upstream's service in the snapshot.  */
  uint32_t service;
};

struct galena_service
{
  /* Number that identifies the service in every record.  */
  uint32_t number;
  char name[GALENA_NAME_BYTES];
  /* Address and port that callers use; zero in the snapshot when a service
     with a lower number has the same one.  */
  struct galena_endpoint address;
  /* Generation and digest of the current record.  */
  uint64_t generation;
  uint64_t digest;
  /* Schema version of the current record.  */
  uint32_t schema;
  uint32_t first_upstream;
  uint32_t upstream_count;
  uint32_t kind_count;
  struct galena_kind kinds[GALENA_KINDS_MAX];
};

struct galena_config_options
{
  /* Copied.  Upstreams are grouped by service, in the order of `services'. */
  const struct galena_service *services;
  uint32_t service_count;
  const struct galena_upstream *upstreams;
  uint32_t upstream_count;
};

struct galena_config;

/* Creates a snapshot in *OUT; the caller owns it.
   Errors: GALENA_ERR_MEMORY, GALENA_ERR_EXISTS for a duplicate address or
   upstream number.  */
enum galena_result
galena_config_create (const struct galena_config_options *options,
                      struct galena_config **out);

/* Destroys CONFIG; accepts NULL.  */
void galena_config_destroy (struct galena_config *config);

uint32_t galena_config_service_count (const struct galena_config *config);
uint32_t galena_config_upstream_count (const struct galena_config *config);

/* Returns service INDEX of the snapshot.  */
const struct galena_service *
galena_config_service (const struct galena_config *config, uint32_t index);

/* Returns upstream INDEX of the snapshot.  */
const struct galena_upstream *
galena_config_upstream (const struct galena_config *config, uint32_t index);

/* Sets the time at which the process last became synced, see
   galena_sync_is_synced.  Call it before CONFIG is passed to the worlds.  */
void galena_config_set_renewed (struct galena_config *config,
                                struct galena_clock now);

/* Returns the time set by galena_config_set_renewed; 0 when none was set.  */
struct galena_clock galena_config_renewed (const struct galena_config *config);

/* Returns the service at ADDRESS, or NULL.  */
const struct galena_service *
galena_config_service_at (const struct galena_config *config,
                          struct galena_endpoint address);

/* Returns the service with NUMBER, or NULL.  */
const struct galena_service *
galena_config_service_numbered (const struct galena_config *config,
                                uint32_t number);

/* Returns the upstream with NUMBER, or NULL.  */
const struct galena_upstream *
galena_config_upstream_numbered (const struct galena_config *config,
                                 uint32_t number);

/* Returns the kind with NUMBER in SERVICE, or NULL.  */
const struct galena_kind *
galena_service_kind (const struct galena_service *service, uint16_t number);

/* Selects the candidate upstreams of FLOW by weighted rendezvous hashing over
   the active upstreams of SERVICE, and stores their indices in CHOSEN, best
   first.  Returns their number, at most GALENA_CANDIDATES_MAX.  */
uint32_t galena_config_candidates (const struct galena_config *config,
                                   const struct galena_service *service,
                                   struct galena_flow_id flow,
                                   uint32_t chosen[GALENA_CANDIDATES_MAX]);

/* Returns the bucket of FLOW in SERVICE, below GALENA_BUCKETS.  */
uint32_t galena_service_bucket (const struct galena_service *service,
                                struct galena_flow_id flow);

/* Like galena_config_candidates, for all flows of BUCKET.  */
uint32_t galena_config_bucket_candidates (
    const struct galena_config *config, const struct galena_service *service,
    uint32_t bucket, uint32_t chosen[GALENA_CANDIDATES_MAX]);

/* Stores in CHAIN the indices of the upstreams to which a packet whose tag
   carries no upstream number is forwarded in turn, until one of them knows its
   flow: the candidates of BUCKET that may accept such flows now, then those of
   the previous record.  Returns their number, at most GALENA_CHAIN_MAX.  */
uint32_t galena_config_chain (const struct galena_config *config,
                              const struct galena_service *service,
                              uint32_t bucket,
                              uint32_t chain[GALENA_CHAIN_MAX]);

#endif
