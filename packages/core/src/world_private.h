/* The internals of a world, for the systems of packages/core.  */

#ifndef GALENAFORD_WORLD_PRIVATE_H
#define GALENAFORD_WORLD_PRIVATE_H

#include <galenaford/random.h>
#include <galenaford/table.h>
#include <galenaford/world.h>

struct galena_entry;
struct galena_agent;
struct galena_caller;
struct galena_kind_stats;
struct galena_stats;
struct galena_upstream_stats;

/* A system: a function that runs over the tables of a world.  */
struct galena_system
{
  const char *name;
  /* Milliseconds between runs; 0 runs in every tick.  */
  uint32_t period_ms;
  void (*run) (struct galena_world *world);
};

/* The operations in which roles differ.  */
struct galena_role_operations
{
  const char *name;
  enum galena_result (*create) (struct galena_world *world);
  void (*destroy) (struct galena_world *world);
  /* Called when no tick ran for GAP_MS; may be NULL.  */
  void (*on_pause) (struct galena_world *world, int64_t gap_ms);
  void (*usage) (const struct galena_world *world,
                 struct galena_world_usage *usage);
  /* Returns whether a stop would interrupt nothing; when NULL, a world without
     flows, requests and pending opens is idle.  */
  bool (*is_idle) (const struct galena_world *world);
  /* Fill in the values of a row of statistics that come from the role's
     tables; may be NULL.  */
  void (*report_kind) (const struct galena_world *world,
                       struct galena_kind_stats *row);
  void (*report_upstream) (const struct galena_world *world,
                           struct galena_upstream_stats *row);
  /* Returns whether rows wait for a system with a period shorter than
     GALENA_IDLE_PERIOD_MS; NULL stands for always.  When it returns false,
     only systems with a period of GALENA_IDLE_PERIOD_MS or more make a tick
     due.  */
  bool (*needs_frequent_ticks) (const struct galena_world *world);
  const struct galena_system *systems;
  uint32_t system_count;
};

enum
{
  /* Minimum period of the systems that make a tick due while
     needs_frequent_ticks returns false.  */
  GALENA_IDLE_PERIOD_MS = 1000
};

enum
{
  /* Maximum number of systems of one role.  */
  GALENA_SYSTEMS_MAX = 16
};

struct galena_world
{
  struct galena_world_options options;
  const struct galena_role_operations *role;
  struct galena_clock now;
  /* End of the last pause of the process; 0 when there was none.  */
  struct galena_clock resumed_at;
  /* The records; set during a tick only.  */
  const struct galena_config *config;
  struct galena_random random;
  struct galena_counters counters;
  struct galena_stats *stats;
  struct galena_audit *audit;
  struct galena_mailbox *inbox;
  struct galena_mailbox *outbox;
  /* When each system runs next.  */
  struct galena_clock due[GALENA_SYSTEMS_MAX];
  bool draining;
  /* When the graceful shutdown started.  */
  struct galena_clock drain_started;
  /* The tables of the world's role; those of the other roles are NULL.  */
  struct galena_entry *entry;
  struct galena_agent *agent;
  struct galena_caller *caller;
};

extern const struct galena_role_operations galena_entry_role;
extern const struct galena_role_operations galena_agent_role;
extern const struct galena_role_operations galena_caller_role;

/* Handles one received message.  */
typedef void galena_message_handler (struct galena_world *world,
                                     const struct galena_message *message);

/* Calls the handler of each message in the inbox; a message without a handler
   is counted as unexpected.  */
void galena_world_dispatch (
    struct galena_world *world,
    galena_message_handler
        *const handlers[GALENA_SIDE_COUNT][GALENA_MESSAGE_TYPE_END]);

/* Appends MESSAGE to the outbox and counts it as sent, or as unsent when the
   outbox is full.  */
void galena_world_send (struct galena_world *world,
                        const struct galena_message *message);

static inline void
galena_world_count (struct galena_world *world, enum galena_counter counter)
{
  world->counters.values[counter]++;
}

/* Appends ROW to the audit trail, with the time of the current tick.  */
void galena_world_append_audit (struct galena_world *world,
                                struct galena_audit_row row);

/* Returns the key of FLOW in MAP, a hash with MAP's seed.  */
struct galena_map;
uint64_t galena_flow_key (const struct galena_map *map,
                          struct galena_flow_id flow);

/* Returns the key of request NUMBER of FLOW in MAP, a hash with MAP's
   seed.  */
uint64_t galena_request_key (const struct galena_map *map,
                             struct galena_flow_handle flow, uint32_t number);

/* Returns whether the process was paused and its records may be older than
   those of the fleet, because they have not been renewed since.  */
bool galena_world_is_renewing (const struct galena_world *world);

#endif
