/* Which waiting opens can no longer be served.

   Pure functions over rows: they read neither tables nor the clock.  */

#ifndef GALENAFORD_OPEN_REJECT_H
#define GALENAFORD_OPEN_REJECT_H

#include <galenaford/open_order.h>

enum
{
  /* A caller gives up an open without a reply this long after its first
     packet.  */
  GALENA_OPEN_GIVE_UP_MS = 1400,
  /* Priorities and binary logarithms of a caller's waiting opens that a
     backlog tells apart; higher ones count as the highest.  */
  GALENA_BACKLOG_PRIORITIES = 4,
  GALENA_BACKLOG_CALLERS = 8
};

/* Numbers of waiting opens by what decides on their order.  */
struct galena_open_backlog
{
  uint32_t rows[2][GALENA_BACKLOG_PRIORITIES][GALENA_BACKLOG_CALLERS];
};

void galena_open_backlog_clear (struct galena_open_backlog *backlog);
void galena_open_backlog_add (struct galena_open_backlog *backlog,
                              const struct galena_open_row *row);

void galena_open_backlog_remove (struct galena_open_backlog *backlog,
                                 const struct galena_open_row *row);

/* Returns how many rows of BACKLOG go before ROW if it is the youngest.  */
uint32_t galena_open_backlog_ahead (const struct galena_open_backlog *backlog,
                                    const struct galena_open_row *row);

/* Returns whether the caller has given up an open whose first packet came at
   FIRST.  */
bool galena_open_is_given_up (struct galena_clock first,
                              struct galena_clock now);

/* Returns whether an open of class WORK whose first packet came at FIRST can't
   be answered in time with AHEAD opens before it, of which PER_S are sent each
   second; 0 for unknown.  REFUSING tells whether
   others were refused lately; the first refusal needs a clearer case.  */
bool galena_open_is_hopeless (const struct galena_work_class *work,
                              struct galena_clock first,
                              struct galena_clock now,
                              const struct galena_service_estimate *estimate,
                              double per_s, uint32_t ahead, bool refusing);

#endif
