/* The inside of a world, for the systems of packages/core.  */

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

/* One system: a step that runs over the tables of a world.  */
struct galena_system
{
  const char *name;
  /* Milliseconds between runs; 0 runs in every tick.  */
  uint32_t period_ms;
  void (*run) (struct galena_world *world);
};

/* What differs between roles.  */
struct galena_role_operations
{
  const char *name;
  enum galena_result (*create) (struct galena_world *world);
  void (*destroy) (struct galena_world *world);
  /* Takes note that no tick ran for GAP_MS; may be NULL.  */
  void (*wake) (struct galena_world *world, int64_t gap_ms);
  void (*usage) (const struct galena_world *world,
                 struct galena_world_usage *usage);
  /* Tells whether a stop would cut nothing; NULL when that is so without
     requests and opens.  */
  bool (*is_idle) (const struct galena_world *world);
  /* Fill in what a row of statistics takes from the role's tables; may be
     NULL.  */
  void (*report_kind) (const struct galena_world *world,
                       struct galena_kind_stats *row);
  void (*report_upstream) (const struct galena_world *world,
                           struct galena_upstream_stats *row);
  /* Tells whether rows wait for systems of a short period; NULL when they
     always may.  Else only systems of GALENA_IDLE_PERIOD_MS or more make a
     tick due.  */
  bool (*busy) (const struct galena_world *world);
  const struct galena_system *systems;
  uint32_t system_count;
};

enum
{
  /* Least period of the systems that run in an idle world.  */
  GALENA_IDLE_PERIOD_MS = 1000
};

enum
{
  /* Most systems of one role.  */
  GALENA_SYSTEMS_MAX = 16
};

struct galena_world
{
  struct galena_world_options options;
  const struct galena_role_operations *role;
  struct galena_clock now;
  /* End of the last pause; 0 when there was none.  */
  struct galena_clock woke;
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
  /* When the world was first asked to take no new flows.  */
  struct galena_clock drain_began;
  /* The tables of the role; the other two are NULL.  */
  struct galena_entry *entry;
  struct galena_agent *agent;
  struct galena_caller *caller;
};

extern const struct galena_role_operations galena_entry_role;
extern const struct galena_role_operations galena_agent_role;
extern const struct galena_role_operations galena_caller_role;

/* Handles one received message.  */
typedef void galena_handler (struct galena_world *world,
                             const struct galena_message *message);

/* Calls the handler of each message in the inbox; NULL handlers count the
   message as unexpected.  */
void galena_world_dispatch (
    struct galena_world *world,
    galena_handler
        *const handlers[GALENA_LINK_COUNT][GALENA_MESSAGE_TYPE_END]);

/* Puts MESSAGE into the outbox and counts it.  */
void galena_world_send (struct galena_world *world,
                        const struct galena_message *message);

static inline void
galena_world_count (struct galena_world *world, enum galena_counter counter)
{
  world->counters.values[counter]++;
}

/* Appends an event at the present time to the audit trail.  */
void galena_world_note (struct galena_world *world,
                        struct galena_audit_row row);

/* Returns the map key of FLOW's id under MAP's seed.  */
struct galena_map;
uint64_t galena_flow_key (const struct galena_map *map,
                          struct galena_flow_id flow);

/* Returns the map key of request NUMBER of FLOW under MAP's seed.  */
uint64_t galena_request_key (const struct galena_map *map,
                             struct galena_flow_handle flow, uint32_t number);

/* Tells whether the world slept and its records may be older than those of
   the fleet.  */
bool galena_world_is_renewing (const struct galena_world *world);

#endif
