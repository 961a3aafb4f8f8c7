/* Which waiting opens can no longer be served.

   Load pattern: the return of everything at once with seconds of backlog.
   Callers learn at once what can't be served, and upstreams work for those who
   still wait.  */

#include <string.h>

#include <galenaford/open_reject.h>

static const double US_PER_MS = 1000;
static const double MS_PER_S = 1000;

/* An upstream that warms up is 1.6 times slower, so an estimate may fall by
   this factor while an open waits.  */
static const double FIRST_REFUSAL_MARGIN = 1.6;

static uint32_t
at_most (uint32_t number, uint32_t limit)
{
  return number < limit ? number : limit;
}

static uint32_t
priority_class (const struct galena_open_row *row)
{
  return at_most (row->priority, GALENA_BACKLOG_PRIORITIES - 1);
}

static uint32_t
caller_class (const struct galena_open_row *row)
{
  return at_most (galena_open_caller_class (row->caller_waiting),
                  GALENA_BACKLOG_CALLERS - 1);
}

void
galena_open_backlog_clear (struct galena_open_backlog *backlog)
{
  memset (backlog, 0, sizeof *backlog);
}

void
galena_open_backlog_add (struct galena_open_backlog *backlog,
                         const struct galena_open_row *row)
{
  backlog->rows[row->late][priority_class (row)][caller_class (row)]++;
}

void
galena_open_backlog_remove (struct galena_open_backlog *backlog,
                            const struct galena_open_row *row)
{
  uint32_t *rows
      = &backlog->rows[row->late][priority_class (row)][caller_class (row)];

  if (*rows > 0)
    --*rows;
}

uint32_t
galena_open_backlog_ahead (const struct galena_open_backlog *backlog,
                           const struct galena_open_row *row)
{
  uint32_t priority = priority_class (row);
  uint32_t row_late = row->late ? 1 : 0;
  uint32_t ahead = 0;

  for (uint32_t late = 0; late <= row_late; late++)
    for (uint32_t i = 0; i < GALENA_BACKLOG_PRIORITIES; i++)
      for (uint32_t j = 0; j < GALENA_BACKLOG_CALLERS; j++)
        if (late < row_late || i < priority
            || (i == priority && j <= caller_class (row)))
          ahead += backlog->rows[late][i][j];
  return ahead;
}

bool
galena_open_is_given_up (struct galena_clock first, struct galena_clock now)
{
  return galena_clock_elapsed_ms (first, now) >= GALENA_OPEN_GIVE_UP_MS;
}

bool
galena_open_is_hopeless (const struct galena_work_class *work,
                         struct galena_clock first, struct galena_clock now,
                         const struct galena_service_estimate *estimate,
                         double per_s, uint32_t ahead, bool refusing)
{
  double margin = refusing ? 1 : FIRST_REFUSAL_MARGIN;
  double elapsed_ms = (double)galena_clock_elapsed_ms (first, now);
  double sent_ms = 0;
  double answered_ms;

  if (!estimate->confirmed || work->timeout_ms == 0)
    return false;
  if (per_s > 0)
    sent_ms = ahead / per_s * MS_PER_S;
  answered_ms = sent_ms + estimate->wait_us / US_PER_MS;
  return elapsed_ms + sent_ms / margin > GALENA_OPEN_GIVE_UP_MS
         || elapsed_ms + answered_ms / margin > work->timeout_ms;
}
