/* The order in which opens that wait for a free upstream are sent.

   Pure functions over rows: they read neither tables nor the clock.  */

#ifndef GALENAFORD_OPEN_ORDER_H
#define GALENAFORD_OPEN_ORDER_H

#include <galenaford/directory.h>
#include <galenaford/table.h>

enum
{
  /* Rows of each kind of work that one order holds: more than an entry sends
     in one run.  */
  GALENA_OPEN_ORDER_ROWS = 32,
  /* Each kind of work that waits gets one of this many sends, or an equal
     share if more kinds wait.  At least one of eight is asked for.  With that,
     reads lose more than a burst of urgent writes gains: 48 % of reads and 94
     % of writes are in time, and 76 and 89 % with one of four.  */
  GALENA_OPEN_ORDER_TURN = 4
};

/* An open, or a request, that waits.  */
struct galena_open_row
{
  /* What the caller of these functions refers to it by.  */
  struct galena_handle handle;
  enum galena_work_kind kind;
  /* 0 is the most urgent.  */
  uint32_t priority;
  /* Whether it can't meet its aim any more.  */
  bool late;
  /* Number of waiting rows of the same caller, including this one.  */
  uint32_t caller_waiting;
  /* When the first packet of its caller came.  */
  struct galena_clock first;
};

/* What is known of the upstreams of a service.  */
struct galena_service_estimate
{
  /* Whether each upstream has confirmed its service time lately.  */
  bool confirmed;
  /* Expected time in microseconds from the sending of an open, which waits
     because upstreams are busy, to the answer of its request; 0 when
     unknown.  */
  double wait_us;
  /* Requests per second that the upstreams can answer; 0 when unknown.  */
  double per_s;
};

/* The first rows of each kind, in order.  */
struct galena_open_lane
{
  uint32_t count;
  /* Rows that were taken.  */
  uint32_t taken;
  struct galena_open_row rows[GALENA_OPEN_ORDER_ROWS];
};

struct galena_open_order
{
  struct galena_open_lane lanes[GALENA_WORK_KIND_COUNT];
  /* Rows of other kinds that were taken since the last one of this kind, while
     some of it waited.  */
  uint32_t passed_over[GALENA_WORK_KIND_COUNT];
};

/* Returns whether work of class WORK whose first packet came at FIRST misses
   its aim if it takes EXPECTED_US from NOW on.  */
bool galena_open_is_late (const struct galena_work_class *work,
                          struct galena_clock first, struct galena_clock now,
                          double expected_us);

/* Returns the class of a caller with WAITING rows: the binary logarithm.  */
uint32_t galena_open_caller_class (uint32_t waiting);

/* Returns whether A goes before B: on time before late, then by priority, then
   the caller with fewer waiting rows, then the oldest.  Callers of the same
   class count as equal, so that the one with a row more is not always
   last.  */
bool galena_open_goes_before (const struct galena_open_row *a,
                              const struct galena_open_row *b);

/* Removes all rows of ORDER.  It still knows which kinds were passed over.  */
void galena_open_order_clear (struct galena_open_order *order);

/* Adds ROW to ORDER, which keeps the first GALENA_OPEN_ORDER_ROWS of its
   kind.  */
void galena_open_order_add (struct galena_open_order *order,
                            const struct galena_open_row *row);

/* Returns the next row without taking it, or NULL when there is none.  It is
   valid until the next call with ORDER.  */
const struct galena_open_row *
galena_open_order_first (const struct galena_open_order *order);

/* Takes the row that galena_open_order_first returns.  SENT tells whether it
   was sent, and so uses up the turn of its kind.  */
void galena_open_order_take (struct galena_open_order *order, bool sent);

#endif
