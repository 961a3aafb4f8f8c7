/* Private declarations of a plane, shared by the systems of this folder.  */

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

/* Handle one packet or one message.  */
typedef void plane_packet_handler (struct galena_plane *plane,
                                   const struct galena_packet *packet);
typedef void plane_message_handler (struct galena_plane *plane,
                                    struct galena_endpoint peer,
                                    const struct galena_peer_message *message);

/* The functions and systems of one role.  */
struct plane_role
{
  enum galena_result (*create) (struct galena_plane *plane);
  void (*destroy) (struct galena_plane *plane);
  /* Sets the choice policy by its name; NULL if the role has none.  */
  enum galena_result (*configure) (struct galena_plane *plane,
                                   const char *choice);
  /* Adjusts timers after a pause of GAP_MS milliseconds without a tick.  */
  void (*after_pause) (struct galena_plane *plane, int64_t gap_ms);
  uint32_t (*flow_count) (const struct galena_plane *plane);
  plane_packet_handler *packets[GALENA_SIDE_COUNT];
  plane_message_handler *messages[GALENA_PEER_TYPE_END];
  const struct plane_system *systems;
  uint32_t system_count;
};

extern const struct plane_role entry_plane_role;
extern const struct plane_role agent_plane_role;

enum
{
  PLANE_SYSTEMS_MAX = 16,
  PLANE_EVENTS_MAX = 256,
  /* Maximum number of entries that a process remembers.  */
  PLANE_MEMBERS_MAX = 512,
  /* Agents announce themselves to at most this many entries, round robin, in
     each period.  */
  PLANE_REPORTS_MAX = 16,
  PLANE_REPORT_PERIOD_MS = 500
};

/* An entry of which this process knows.  */
struct member
{
  struct galena_endpoint address;
  /* When its last message came; ms 0 when only others have listed it.  */
  struct galena_clock last_seen;
  /* When its last message came or another entry last listed it.  */
  struct galena_clock last_mentioned;
  /* Whether it was sent a hello.  */
  bool greeted;
  /* State that it reported last.  */
  struct galena_entry_state state;
  /* Agent only: when it last sent an open.  */
  struct galena_clock last_open;
};

struct galena_plane
{
  struct galena_plane_options options;
  const struct plane_role *role;
  struct galena_clock now;
  /* Bytes received and sent, including the headers of datagrams.  */
  uint64_t bytes_in;
  uint64_t bytes_out;
  /* Set during a tick only; NULL while none is known.  */
  const struct galena_directory *directory;
  struct galena_random random;
  uint64_t counters[GALENA_PLANE_COUNTER_COUNT];
  struct galena_histogram histograms[GALENA_PLANE_HISTOGRAM_COUNT];
  bool draining;
  /* Entry only: whether it may lack agents and asks other entries for them. */
  bool asks_for_agents;
  /* Whether the next tick is due immediately.  */
  bool tick_again;
  /* Until then the directory may lack changes that were published during a
     pause.  Ends early when the front end has refreshed the directory.  */
  struct galena_clock stale_until;
  uint32_t input_count;
  uint32_t output_count;
  uint32_t event_count;
  struct galena_input *inputs;
  struct galena_output *outputs;
  struct galena_plane_logged_event events[PLANE_EVENTS_MAX];
  struct galena_clock due[PLANE_SYSTEMS_MAX];
  struct galena_table *members;
  /* Where the next round of hellos or announcements to the members begins, and
     the next round of reports of a changed load.  */
  uint32_t member_cursor;
  uint32_t report_cursor;
  /* Where the next list of members begins.  */
  uint32_t list_cursor;
  /* Tables of the role; those of the other role are NULL.  */
  struct entry_tables *entry;
  struct agent_tables *agent;
};

/* plane.c */

/* Returns a zeroed output to fill in; NULL when the maximum of the tick is
   reached, which is counted.  */
struct galena_output *plane_next_output (struct galena_plane *plane);

/* Sends PACKET unchanged to SIDE.  */
void plane_send_packet (struct galena_plane *plane, enum galena_side side,
                        const struct galena_packet *packet);

/* Sends MESSAGE to PEER.  Returns the output; NULL when the maximum of the
   tick is reached.  */
struct galena_output *
plane_send_message (struct galena_plane *plane, struct galena_endpoint peer,
                    const struct galena_peer_message *message);

/* Sends a reset of FLOW to its caller, which expects SEQUENCE next.  */
void plane_send_reset (struct galena_plane *plane, struct galena_flow_key flow,
                       uint32_t sequence);

static inline void
plane_count (struct galena_plane *plane, enum galena_plane_counter counter)
{
  plane->counters[counter]++;
}

/* Counts an open that was refused for the reason RESULT.  */
void plane_count_refusal (struct galena_plane *plane,
                          enum galena_result result);

/* Counts an event of KIND in a group of counters, one for each kind of work,
   of which FIRST is the first.  */
static inline void
plane_count_kind (struct galena_plane *plane, enum galena_plane_counter first,
                  enum galena_work_kind kind)
{
  plane->counters[(uint32_t)first
                  + (kind < GALENA_WORK_KIND_COUNT ? (uint32_t)kind : 0)]++;
}

/* Adds the time from SINCE until now to HISTOGRAM.  */
void plane_measure (struct galena_plane *plane,
                    enum galena_plane_histogram histogram,
                    struct galena_clock since);

/* Adds an event for the log; dropped when the tick has PLANE_EVENTS_MAX.  */
void plane_log_event (struct galena_plane *plane,
                      struct galena_plane_logged_event event);

/* Returns the hash of FLOW under the seed of MAP, which is its key there.  */
uint64_t plane_flow_hash (const struct galena_map *map,
                          struct galena_flow_key flow);

/* Returns the row of FLOW in TABLE and stores its handle in *HANDLE; NULL when
   there is none.  Rows of TABLE begin with their flow's key, and MAP is their
   index.  */
void *plane_flow_find (const struct galena_table *table,
                       const struct galena_map *map,
                       struct galena_flow_key flow,
                       struct galena_handle *handle);

/* Adds a row for FLOW to TABLE and MAP.  Returns NULL when one of them is
   full, which is counted.  */
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
         && galena_endpoint_equal (a.service_address, b.service_address);
}

/* members.c */

/* Records a message from the entry at ADDRESS.  Returns its row, which is
   added if needed; NULL when the table is full.  */
struct member *members_note_seen (struct galena_plane *plane,
                                  struct galena_endpoint address);

/* Records that another entry listed the entry at IP.  */
void members_add (struct galena_plane *plane, uint32_t ip);

/* Handlers of hello and members messages.  */
void members_on_hello (struct galena_plane *plane, struct galena_endpoint peer,
                       const struct galena_peer_message *message);
void members_on_list (struct galena_plane *plane, struct galena_endpoint peer,
                      const struct galena_peer_message *message);

/* Returns the number of other entries that sent a message lately.  */
uint32_t members_live_count (const struct galena_plane *plane);

/* Entry only: sends a hello to the entries that were not sent one yet.  */
void members_greet (struct galena_plane *plane);

/* System: sends heartbeats to seeds and, as an entry, to other entries, and
   removes entries that have timed out.  */
void members_run (struct galena_plane *plane);

/* Returns the milliseconds between two announcements of an agent to the same
   entry, by the number of entries that are known.  */
int64_t members_report_interval_ms (const struct galena_plane *plane);

/* Calls SEND for at most COUNT entries, round robin over successive calls with
   the same CURSOR.  */
void members_visit (struct galena_plane *plane, uint32_t *cursor,
                    uint32_t count,
                    void (*send) (struct galena_plane *plane,
                                  struct member *member));

#endif
