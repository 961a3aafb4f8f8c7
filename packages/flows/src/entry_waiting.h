/* Opens that wait at an entry until an upstream of their service is free, and
   what is known of them by service and by caller.  */

#ifndef GALENAFORD_ENTRY_WAITING_H
#define GALENAFORD_ENTRY_WAITING_H

#include <galenaford/open_reject.h>

#include "entry_tables.h"

enum
{
  /* Services whose opens are put in order.  Opens of further ones are sent in
     the order of the table.  */
  WAITING_SERVICES_MAX = 8,
  /* Buckets of the callers of waiting opens: twice their maximum number.  */
  WAITING_CALLERS_MAX = 2 * ENTRY_OPENINGS_MAX
};

/* A service with opens that wait, or waited in the last run.  */
struct waiting_service
{
  /* 0 when the row is free.  */
  galena_service_key service;
  /* Opens that wait.  */
  uint32_t waiting;
  struct galena_service_estimate estimate;
  struct galena_open_order order;
  struct galena_open_backlog backlog;
  /* Since when some open has waited in each run, and until when the service
     has a backlog.  */
  struct galena_clock since;
  struct galena_clock backlog_until;
  /* Opens that were sent since WINDOW_BEGAN, and the most in one of the two
     windows before.  */
  struct galena_clock window_began;
  uint32_t sent;
  uint32_t sent_before[2];
  /* Opens per second that are sent; 0 when unknown.  */
  double per_s;
  /* Whether opens are refused, when the last one was, how many were, and when
     REFUSING changed; ms 0 before.  */
  bool refusing;
  struct galena_clock refused_at;
  uint32_t refused;
  struct galena_clock changed;
};

/* Number of waiting opens of the caller with address IP, as of run RUN.  */
struct waiting_caller
{
  uint32_t ip;
  uint32_t run;
  uint32_t count;
};

struct entry_waiting
{
  struct waiting_service services[WAITING_SERVICES_MAX];
  struct waiting_caller callers[WAITING_CALLERS_MAX];
  uint32_t run;
  /* Until when some service has a backlog.  */
  struct galena_clock backlog_until;
  /* When the next run is due; earlier after a report of an agent, from which
     on an upstream may be free.  */
  struct galena_clock due;
  /* Flows whose opens wait, during a run.  */
  uint32_t count;
  struct galena_handle flows[ENTRY_OPENINGS_MAX];
};

/* Creates the tables of waiting opens of PLANE, an entry.  */
enum galena_result entry_waiting_create (struct galena_plane *plane);

/* Returns whether opens of SERVICE have waited for a while without a
   break.  */
bool entry_waiting_has_backlog (const struct galena_plane *plane,
                                galena_service_key service);

/* Returns whether the open of FLOW, a new one, must wait because others of its
   service do.  */
bool entry_waiting_is_behind (const struct galena_plane *plane,
                              const struct entry_flow *flow);

/* Handles the new open of the flow that HANDLE names, which waits: its caller
   gets a reset if it can't be answered in time.  */
void entry_waiting_arrived (struct galena_plane *plane,
                            struct galena_handle handle);

/* Makes the next run due soon, because an agent has reported its load.  */
void entry_waiting_wake (struct galena_plane *plane);

/* System: sends waiting opens, in order, to upstreams that are free.  */
void entry_run_waiting (struct galena_plane *plane);

/* entry_reject.c */

/* Drops the open of the flow that HANDLE names if its caller has given it up.
   Returns whether it did.  */
bool entry_reject_given_up (struct galena_plane *plane,
                            struct galena_handle handle);

/* Resets the flow of OPEN, with AHEAD opens of the service in ROW before it,
   if it can't be answered in time.  Returns whether it did.  */
bool entry_reject_hopeless (struct galena_plane *plane,
                            struct waiting_service *row,
                            const struct galena_open_row *open,
                            uint32_t ahead);

/* Ends the time in which opens of the service in ROW are refused, if none was
   lately.  */
void entry_reject_end (struct galena_plane *plane,
                       struct waiting_service *row);

/* Measures how many opens of the service in ROW are sent per second.  */
void entry_reject_measure (const struct galena_plane *plane,
                           struct waiting_service *row);

#endif
