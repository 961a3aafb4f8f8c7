/* The order in which waiting opens are sent.

   Load patterns: the return of everything at once, where what would be in time
   must not wait behind what no longer can be, and bursts of urgent work, which
   must not starve other kinds.  An order keeps only the first rows of each
   kind, so that a run over thousands of waiting rows sorts a few of them.  */

#include <string.h>

#include <galenaford/open_order.h>

static const double US_PER_MS = 1000;

bool
galena_open_is_late (const struct galena_work_class *work,
                     struct galena_clock first, struct galena_clock now,
                     double expected_us)
{
  return work->aim_ms != 0
         && (double)galena_clock_elapsed_ms (first, now)
                    + expected_us / US_PER_MS
                > (double)work->aim_ms;
}

uint32_t
galena_open_caller_class (uint32_t waiting)
{
  uint32_t logarithm = 0;

  while (waiting > 1)
    {
      waiting >>= 1;
      logarithm++;
    }
  return logarithm;
}

bool
galena_open_goes_before (const struct galena_open_row *a,
                         const struct galena_open_row *b)
{
  uint32_t class_a;
  uint32_t class_b;

  if (a->late != b->late)
    return b->late;
  if (a->priority != b->priority)
    return a->priority < b->priority;
  class_a = galena_open_caller_class (a->caller_waiting);
  class_b = galena_open_caller_class (b->caller_waiting);
  if (class_a != class_b)
    return class_a < class_b;
  return a->first.ms < b->first.ms;
}

void
galena_open_order_clear (struct galena_open_order *order)
{
  for (uint32_t kind = 0; kind < GALENA_WORK_KIND_COUNT; kind++)
    {
      order->lanes[kind].count = 0;
      order->lanes[kind].taken = 0;
    }
}

void
galena_open_order_add (struct galena_open_order *order,
                       const struct galena_open_row *row)
{
  struct galena_open_lane *lane = &order->lanes[row->kind];
  uint32_t at = lane->count;

  if (at < GALENA_OPEN_ORDER_ROWS)
    lane->count++;
  else if (!galena_open_goes_before (row, &lane->rows[--at]))
    return;
  for (;
       at > lane->taken && galena_open_goes_before (row, &lane->rows[at - 1]);
       at--)
    lane->rows[at] = lane->rows[at - 1];
  lane->rows[at] = *row;
}

static const struct galena_open_row *
first_of (const struct galena_open_lane *lane)
{
  return lane->taken < lane->count ? &lane->rows[lane->taken] : NULL;
}

/* Returns the number of waiting kinds that were passed over at least as often
   as KIND, including it.  */
static uint32_t
rank_of (const struct galena_open_order *order, uint32_t kind)
{
  uint32_t rank = 0;

  for (uint32_t other = 0; other < GALENA_WORK_KIND_COUNT; other++)
    rank += first_of (&order->lanes[other]) != NULL
            && order->passed_over[other] >= order->passed_over[kind];
  return rank;
}

/* Returns the kind that must be next for each waiting kind to get its turn;
   GALENA_WORK_KIND_COUNT when there is none.  A kind of rank N has N - 1 sends
   of others before its own.  */
static uint32_t
overdue_kind (const struct galena_open_order *order)
{
  uint32_t most = GALENA_WORK_KIND_COUNT;
  bool overdue = false;

  for (uint32_t kind = 0; kind < GALENA_WORK_KIND_COUNT; kind++)
    {
      if (first_of (&order->lanes[kind]) == NULL)
        continue;
      overdue |= order->passed_over[kind] + rank_of (order, kind)
                 >= GALENA_OPEN_ORDER_TURN;
      if (most == GALENA_WORK_KIND_COUNT
          || order->passed_over[kind] > order->passed_over[most])
        most = kind;
    }
  return overdue ? most : GALENA_WORK_KIND_COUNT;
}

static uint32_t
next_kind (const struct galena_open_order *order)
{
  uint32_t next = overdue_kind (order);

  if (next != GALENA_WORK_KIND_COUNT)
    return next;
  for (uint32_t kind = 0; kind < GALENA_WORK_KIND_COUNT; kind++)
    {
      const struct galena_open_row *row = first_of (&order->lanes[kind]);

      if (row != NULL
          && (next == GALENA_WORK_KIND_COUNT
              || galena_open_goes_before (row,
                                          first_of (&order->lanes[next]))))
        next = kind;
    }
  return next;
}

const struct galena_open_row *
galena_open_order_first (const struct galena_open_order *order)
{
  uint32_t kind = next_kind (order);

  return kind == GALENA_WORK_KIND_COUNT ? NULL
                                        : first_of (&order->lanes[kind]);
}

void
galena_open_order_take (struct galena_open_order *order, bool sent)
{
  uint32_t taken = next_kind (order);

  if (taken == GALENA_WORK_KIND_COUNT)
    return;
  for (uint32_t kind = 0; sent && kind < GALENA_WORK_KIND_COUNT; kind++)
    if (kind == taken || first_of (&order->lanes[kind]) == NULL)
      order->passed_over[kind] = 0;
    else
      order->passed_over[kind]++;
  order->lanes[taken].taken++;
}
