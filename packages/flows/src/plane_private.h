/* The inside of a plane, for the systems of packages/flows.  */

#ifndef GALENAFORD_PLANE_PRIVATE_H
#define GALENAFORD_PLANE_PRIVATE_H

#include <galenaford/map.h>
#include <galenaford/plane.h>
#include <galenaford/random.h>
#include <galenaford/table.h>

struct entry_tables;
struct agent_tables;

/* One system: a step that runs over the tables of a plane.  */
struct plane_system
{
  const char *name;
  /* Milliseconds between runs; 0 runs in every tick.  */
  uint32_t period_ms;
  void (*run) (struct galena_plane *plane);
};

/* Handles one packet or message.  */
typedef void plane_packet_handler (struct galena_plane *plane,
                                   const struct galena_packet *packet);
typedef void plane_message_handler (struct galena_plane *plane,
                                    struct galena_endpoint peer,
                                    const struct galena_peer_message *message);

/* What differs between roles.  */
struct plane_role
{
  enum galena_result (*create) (struct galena_plane *plane);
  void (*destroy) (struct galena_plane *plane);
  /* Takes the name of a choice policy; NULL where there is none.  */
  enum galena_result (*configure) (struct galena_plane *plane,
                                   const char *choice);
  /* Takes note that no tick ran for GAP_MS.  */
  void (*wake) (struct galena_plane *plane, int64_t gap_ms);
  uint32_t (*flow_count) (const struct galena_plane *plane);
  plane_packet_handler *packets[GALENA_LINK_COUNT];
  plane_message_handler *messages[GALENA_PEER_TYPE_END];
  const struct plane_system *systems;
  uint32_t system_count;
};

extern const struct plane_role entry_plane_role;
extern const struct plane_role agent_plane_role;

enum
{
  PLANE_SYSTEMS_MAX = 12,
  PLANE_NOTES_MAX = 256,
  /* Most entries that a process remembers.  */
  PLANE_MEMBERS_MAX = 512
};

/* An entry that was heard of.  */
struct member
{
  struct galena_endpoint address;
  /* When it was last heard itself; ms 0 when only others named it.  */
  struct galena_clock heard;
  /* When it was last heard or named.  */
  struct galena_clock known;
  /* What it told of itself last.  */
  struct galena_entry_state state;
  /* Agent only: when it last sent a packet that opens a flow.  */
  struct galena_clock opened;
};

struct galena_plane
{
  struct galena_plane_options options;
  const struct plane_role *role;
  struct galena_clock now;
  /* Bytes that have arrived and departed, with the heads of datagrams.  */
  uint64_t bytes_in;
  uint64_t bytes_out;
  /* Set during a tick only; NULL while nothing is known.  */
  const struct galena_directory *directory;
  struct galena_random random;
  uint64_t counters[GALENA_PLANE_COUNTER_COUNT];
  struct galena_histogram histograms[GALENA_PLANE_HISTOGRAM_COUNT];
  bool draining;
  /* Whether the next tick is due at once.  */
  bool hurry;
  /* What is published may have changed unseen during a pause; until then, or
     until the front end says that it has caught up.  */
  struct galena_clock stale_until;
  uint32_t arrival_count;
  uint32_t departure_count;
  uint32_t note_count;
  struct galena_arrival *arrivals;
  struct galena_departure *departures;
  struct galena_plane_note notes[PLANE_NOTES_MAX];
  struct galena_clock due[PLANE_SYSTEMS_MAX];
  struct galena_table *members;
  /* Where the next round of announcements begins.  */
  uint32_t member_cursor;
  /* The tables of the role; the other one is NULL.  */
  struct entry_tables *entry;
  struct agent_tables *agent;
};

/* plane.c */

/* Returns a zeroed departure to fill in, or NULL when the tick is full.  */
struct galena_departure *plane_depart (struct galena_plane *plane);

/* Sends the packet of SIZE BYTES unchanged on LINK.  */
void plane_send_packet (struct galena_plane *plane, enum galena_link link,
                        const struct galena_packet *packet);

/* Sends MESSAGE to PEER.  Returns the departure, or NULL when the tick is
   full.  */
struct galena_departure *
plane_send_message (struct galena_plane *plane, struct galena_endpoint peer,
                    const struct galena_peer_message *message);

/* Sends a reset of FLOW to its caller.  */
void plane_send_reset (struct galena_plane *plane, struct galena_flow_key flow,
                       uint32_t sequence);

static inline void
plane_count (struct galena_plane *plane, enum galena_plane_counter counter)
{
  plane->counters[counter]++;
}

/* Counts the time from SINCE until now.  */
void plane_measure (struct galena_plane *plane,
                    enum galena_plane_histogram histogram,
                    struct galena_clock since);

/* Adds NOTE; further ones of a full tick are left out.  */
void plane_note (struct galena_plane *plane, struct galena_plane_note note);

/* Returns the map key of FLOW under MAP's seed.  */
uint64_t plane_flow_hash (const struct galena_map *map,
                          struct galena_flow_key flow);

/* Returns the row of FLOW in TABLE, whose rows begin with their flow's key and
   which MAP finds, and its handle; NULL when there is none.  */
void *plane_flow_find (const struct galena_table *table,
                       const struct galena_map *map,
                       struct galena_flow_key flow,
                       struct galena_handle *handle);

/* Adds a row of FLOW; counts when TABLE or MAP is full and returns NULL.  */
void *plane_flow_add (struct galena_plane *plane, struct galena_table *table,
                      struct galena_map *map, struct galena_flow_key flow,
                      struct galena_handle *handle);

/* Removes the row of FLOW that HANDLE names.  */
void plane_flow_remove (struct galena_table *table, struct galena_map *map,
                        struct galena_flow_key flow,
                        struct galena_handle handle);

static inline bool
plane_flow_equal (struct galena_flow_key a, struct galena_flow_key b)
{
  return galena_endpoint_equal (a.caller, b.caller)
         && galena_endpoint_equal (a.service, b.service);
}

/* members.c */

/* Notes that the entry at ADDRESS sent a message, or that it was named.
   Returns its row, or NULL when the table is full.  */
struct member *members_hear (struct galena_plane *plane,
                             struct galena_endpoint address);
void members_learn (struct galena_plane *plane, uint32_t ip);

/* Handlers of hello and members.  */
void members_take_hello (struct galena_plane *plane,
                         struct galena_endpoint peer,
                         const struct galena_peer_message *message);
void members_take_list (struct galena_plane *plane,
                        struct galena_endpoint peer,
                        const struct galena_peer_message *message);

/* System: says hello to seeds and, as an entry, to other entries, and forgets
 * entries that are silent.  */
void members_run (struct galena_plane *plane);

/* Calls SEND for at most COUNT entries, each time going on with the next.  */
void members_visit (struct galena_plane *plane, uint32_t count,
                    void (*send) (struct galena_plane *plane,
                                  struct member *member));

#endif
