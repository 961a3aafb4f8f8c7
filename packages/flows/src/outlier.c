/* Which upstreams of a service are outliers.  */

#include <stdlib.h>

#include <galenaford/outlier.h>

enum
{
  /* With fewer outcomes in a second, a share says nothing.  */
  OUTCOMES_MIN = 5,
  FAILURES_MIN = 3,
  /* Answers that a mean service time must rest on to count as slow: an
     upstream with two slots that takes a second for each request finishes no
     more.  */
  SLOW_OUTCOMES_MIN = 3,
  /* A share of failures is bad above BAD_PERCENT and SHARE_FACTOR times the
     median.  A caller has three attempts: with 30 % at one upstream the
     requests that fail are few, but each failed attempt costs more than the
     aim.  Below that, the capacity is worth more.  */
  BAD_PERCENT = 30,
  PERCENT = 100,
  SHARE_FACTOR = 3,
  /* A service time is bad above this many medians.  Speeds within a service
     differ by a factor of 2.4, an upstream that warms up takes 1.6 times as
     long, and the product is 3.9.  */
  SLOW_FACTOR = 4,
  /* It is bad only above this part of the aim: one request that waits for
     another is then late.  */
  SLOW_AIM_DIVISOR = 2,
  /* Aim of services without one: the shortest of the known deployments.  */
  AIM_DEFAULT_MS = 200,
  /* An upstream that takes less than the median divided by this, and no more
     than this time, sheds its requests.  The time keeps one that is well from
     being ejected while most of the service is slow.  Shorter medians can't be
     compared: the clock counts milliseconds.  */
  QUICK_MAX_US = 3000,
  QUICK_DIVISOR = 8,
  QUICK_MEDIAN_MIN_US = 8000,
  /* Half of these limits is enough to count as one that looks bad: a fault
     that all share does not show at all of them at once.  */
  HINT_DIVISOR = 2,
  /* An outlier is ejected if it is one for this time: reports of the others
     come up to a few hundred milliseconds later and may show that they share
     the fault.  */
  CONFIRM_MS = 250,
  /* Length of an ejection: it doubles with each one, and this is forgotten
     after a time without one.  */
  EJECTION_MIN_MS = 2000,
  EJECTION_MAX_MS = 30000,
  DOUBLINGS_MAX = 4,
  FORGET_MS = 60000,
  /* At most one in this many is ejected at a time.  The others then get half
     as much again.  */
  EJECTED_DIVISOR = 3,
  /* None is while one in this many looks bad: what they share is bad then.  */
  MANY_BAD_DIVISOR = 2,
  /* Nor for this time after it, so that upstreams that turn bad by turns are
     not ejected and reinstated in each run.  */
  MANY_BAD_HOLD_MS = 5000,
  US_PER_MS = 1000
};

static const char *const REASON_NAMES[GALENA_OUTLIER_REASON_COUNT] = {
  [GALENA_OUTLIER_NONE] = "none",
  [GALENA_OUTLIER_FAILING] = "failing",
  [GALENA_OUTLIER_SLOW] = "slow",
  [GALENA_OUTLIER_QUICK] = "quick",
  [GALENA_OUTLIER_TIME_OVER] = "time-over",
  [GALENA_OUTLIER_MANY_BAD] = "many-bad",
  [GALENA_OUTLIER_STARTED_AGAIN] = "started-again",
};

const char *
galena_outlier_reason_name (enum galena_outlier_reason reason)
{
  return REASON_NAMES[reason];
}

/* What is usual in a service.  */
struct usual
{
  double share;
  uint32_t service_us;
  uint32_t aim_ms;
};

/* Returns whether something is known of ROW.  One without any outcome is
   neither good nor bad.  */
static bool
is_known (const struct galena_outlier_row *row)
{
  return row->answering
         && (row->finished > 0 || galena_outlier_is_ejected (&row->state));
}

static double
share_of (const struct galena_outlier_row *row)
{
  return row->finished > 0 ? (double)row->failed / row->finished : 0;
}

static uint32_t
service_of (const struct galena_outlier_row *row)
{
  return row->answering ? row->service_us : 0;
}

/* Orders rows of which something is known before others, and then by
   share.  */
static int
compare_shares (const void *a, const void *b)
{
  const struct galena_outlier_row *x = a;
  const struct galena_outlier_row *y = b;

  if (is_known (x) != is_known (y))
    return is_known (x) ? -1 : 1;
  return (share_of (x) > share_of (y)) - (share_of (x) < share_of (y));
}

/* Orders rows by service time, the longest first; unknown ones are last.  */
static int
compare_service_times (const void *a, const void *b)
{
  uint32_t x = service_of (a);
  uint32_t y = service_of (b);

  return (x < y) - (x > y);
}

/* Returns a measure of how bad ROW is.  */
static double
badness_of (const struct galena_outlier_row *row)
{
  if (row->reason == GALENA_OUTLIER_FAILING)
    return 1 + share_of (row);
  if (row->reason == GALENA_OUTLIER_SLOW)
    return 1 - (double)row->median_us / row->service_us;
  return row->reason == GALENA_OUTLIER_QUICK ? 1 : 0;
}

static int
compare_badness (const void *a, const void *b)
{
  double x = badness_of (a);
  double y = badness_of (b);

  return (x < y) - (x > y);
}

/* Returns what is usual.  Sorts ROWS.  */
static struct usual
find_usual (struct galena_outlier_row *rows, uint32_t count, uint32_t aim_ms)
{
  struct usual usual = { .aim_ms = aim_ms != 0 ? aim_ms : AIM_DEFAULT_MS };
  uint32_t known_shares = 0;
  uint32_t known_times = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      known_shares += is_known (&rows[i]);
      known_times += service_of (&rows[i]) > 0;
    }
  qsort (rows, count, sizeof *rows, compare_shares);
  if (known_shares > 0)
    usual.share = share_of (&rows[(known_shares - 1) / 2]);
  qsort (rows, count, sizeof *rows, compare_service_times);
  if (known_times > 0)
    usual.service_us = rows[known_times / 2].service_us;
  return usual;
}

static bool
is_failing (const struct galena_outlier_row *row, const struct usual *usual)
{
  return row->finished >= OUTCOMES_MIN && row->failed >= FAILURES_MIN
         && (uint64_t)row->failed * PERCENT
                > (uint64_t)row->finished * BAD_PERCENT
         && share_of (row) > usual->share * SHARE_FACTOR;
}

static bool
is_slow (const struct galena_outlier_row *row, const struct usual *usual)
{
  return row->finished >= SLOW_OUTCOMES_MIN
         && row->service_us
                > (uint64_t)usual->aim_ms * US_PER_MS / SLOW_AIM_DIVISOR
         && row->service_us > (uint64_t)usual->service_us * SLOW_FACTOR;
}

static bool
is_quick (const struct galena_outlier_row *row, const struct usual *usual)
{
  return row->finished >= OUTCOMES_MIN && row->service_us > 0
         && row->service_us <= QUICK_MAX_US
         && usual->service_us >= QUICK_MEDIAN_MIN_US
         && (uint64_t)row->service_us * QUICK_DIVISOR < usual->service_us;
}

/* In the order in which they are checked.  */
static const struct
{
  enum galena_outlier_reason reason;
  bool (*applies) (const struct galena_outlier_row *row,
                   const struct usual *usual);
} CHECKS[] = {
  { GALENA_OUTLIER_FAILING, is_failing },
  { GALENA_OUTLIER_SLOW, is_slow },
  { GALENA_OUTLIER_QUICK, is_quick },
};

/* Returns whether ROW is near the limits of an outlier.  Few outcomes are
   enough.  */
static bool
is_near (const struct galena_outlier_row *row, const struct usual *usual)
{
  return (uint64_t)row->failed * PERCENT * HINT_DIVISOR
             > (uint64_t)row->finished * BAD_PERCENT
         || ((uint64_t)row->service_us * HINT_DIVISOR
                 > (uint64_t)usual->aim_ms * US_PER_MS / SLOW_AIM_DIVISOR
             && (uint64_t)row->service_us * HINT_DIVISOR
                    > (uint64_t)usual->service_us * SLOW_FACTOR);
}

static enum galena_outlier_reason
judge (const struct galena_outlier_row *row, const struct usual *usual)
{
  for (size_t i = 0; row->answering && i < sizeof CHECKS / sizeof CHECKS[0];
       i++)
    if (CHECKS[i].applies (row, usual))
      return CHECKS[i].reason;
  return GALENA_OUTLIER_NONE;
}

static void
eject (struct galena_outlier_row *row, struct galena_clock now)
{
  struct galena_outlier_state *state = &row->state;
  int64_t ms = (int64_t)EJECTION_MIN_MS << state->ejections;

  if (ms > EJECTION_MAX_MS)
    ms = EJECTION_MAX_MS;
  if (state->ejections < DOUBLINGS_MAX)
    state->ejections++;
  state->ejected_until = galena_clock_add_ms (now, ms);
  row->change = GALENA_OUTLIER_EJECTED;
}

void
galena_outlier_reinstate (struct galena_outlier_state *state,
                          struct galena_clock now)
{
  state->ejected_until = (struct galena_clock){ 0 };
  state->returned_at = now;
}

static void
reinstate (struct galena_outlier_row *row, enum galena_outlier_reason reason,
           struct galena_clock now)
{
  galena_outlier_reinstate (&row->state, now);
  row->change = GALENA_OUTLIER_REINSTATED;
  row->reason = reason;
}

static void
forget_ejections (struct galena_outlier_row *row, struct galena_clock now)
{
  if (!galena_outlier_is_ejected (&row->state)
      && galena_clock_elapsed_ms (row->state.returned_at, now) >= FORGET_MS)
    row->state.ejections = 0;
}

/* Numbers of rows in a service.  */
struct tally
{
  uint32_t answering;
  uint32_t known;
  /* Of those that are known: looks bad, or is ejected.  */
  uint32_t bad;
  uint32_t ejected;
  bool spared;
};

static struct tally
count_rows (const struct galena_outlier_row *rows, uint32_t count,
            struct galena_clock now)
{
  struct tally tally = { 0 };

  for (uint32_t i = 0; i < count; i++)
    {
      bool ejected = galena_outlier_is_ejected (&rows[i].state);

      tally.answering += rows[i].answering;
      tally.known += is_known (&rows[i]);
      tally.bad += is_known (&rows[i]) && rows[i].looks_bad;
      tally.ejected += ejected;
      tally.spared |= !galena_clock_reached (now, rows[i].state.spared_until);
    }
  return tally;
}

/* Handles the end of ejections, of which there are EJECTED: an outlier is
   ejected again unless that makes more than LIMIT.  All end if MANY_BAD.
   Returns the number of those that go on.  */
static uint32_t
end_ejections (struct galena_outlier_row *rows, uint32_t count, bool many_bad,
               uint32_t ejected, uint32_t limit, struct galena_clock now)
{
  for (uint32_t i = 0; i < count; i++)
    {
      struct galena_outlier_row *row = &rows[i];

      if (!galena_outlier_is_ejected (&row->state))
        continue;
      if (!many_bad && !galena_clock_reached (now, row->state.ejected_until))
        continue;
      if (!many_bad && ejected <= limit && row->reason != GALENA_OUTLIER_NONE)
        {
          eject (row, now);
          continue;
        }
      reinstate (row,
                 many_bad ? GALENA_OUTLIER_MANY_BAD : GALENA_OUTLIER_TIME_OVER,
                 now);
      if (many_bad)
        row->state.spared_until = galena_clock_add_ms (now, MANY_BAD_HOLD_MS);
      ejected--;
    }
  return ejected;
}

/* Notes since when ROW is an outlier.  */
static void
note_bad_since (struct galena_outlier_row *row, struct galena_clock now)
{
  if (row->reason == GALENA_OUTLIER_NONE)
    row->state.bad_since = (struct galena_clock){ 0 };
  else if (row->state.bad_since.ms == 0)
    row->state.bad_since = now;
}

static bool
is_confirmed (const struct galena_outlier_row *row, struct galena_clock now)
{
  return row->reason != GALENA_OUTLIER_NONE
         && galena_clock_elapsed_ms (row->state.bad_since, now) >= CONFIRM_MS;
}

/* Ejects the worst ROWS, at most LIMIT.  */
static void
begin_ejections (struct galena_outlier_row *rows, uint32_t count,
                 uint32_t limit, struct galena_clock now)
{
  qsort (rows, count, sizeof *rows, compare_badness);
  for (uint32_t i = 0; i < count && limit > 0; i++)
    {
      if (!is_confirmed (&rows[i], now)
          || rows[i].change != GALENA_OUTLIER_UNCHANGED
          || galena_outlier_is_ejected (&rows[i].state))
        continue;
      eject (&rows[i], now);
      limit--;
    }
}

static void
judge_rows (struct galena_outlier_row *rows, uint32_t count, uint32_t aim_ms,
            struct galena_clock now)
{
  struct usual usual = find_usual (rows, count, aim_ms);

  for (uint32_t i = 0; i < count; i++)
    {
      rows[i].median_us = usual.service_us;
      rows[i].reason = judge (&rows[i], &usual);
      rows[i].looks_bad = rows[i].reason != GALENA_OUTLIER_NONE
                          || galena_outlier_is_ejected (&rows[i].state)
                          || is_near (&rows[i], &usual);
      note_bad_since (&rows[i], now);
    }
}

/* Returns whether a row may be an outlier or is ejected.  Without one, the
   medians are not needed: the rows of a calm service are not sorted.  */
static bool
needs_judging (const struct galena_outlier_row *rows, uint32_t count,
               uint32_t aim_ms)
{
  struct usual least = { .aim_ms = aim_ms != 0 ? aim_ms : AIM_DEFAULT_MS };
  struct usual most = least;

  for (uint32_t i = 0; i < count; i++)
    if (service_of (&rows[i]) > most.service_us)
      most.service_us = rows[i].service_us;
  for (uint32_t i = 0; i < count; i++)
    if (galena_outlier_is_ejected (&rows[i].state)
        || (rows[i].answering
            && (is_failing (&rows[i], &least) || is_slow (&rows[i], &least)
                || is_quick (&rows[i], &most))))
      return true;
  return false;
}

/* Decides on the rows of one service.  */
static void
run_service (struct galena_outlier_row *rows, uint32_t count, uint32_t aim_ms,
             struct galena_clock now)
{
  struct tally tally;
  bool many_bad;
  uint32_t limit;
  uint32_t ejected;

  for (uint32_t i = 0; i < count; i++)
    {
      rows[i].change = GALENA_OUTLIER_UNCHANGED;
      rows[i].reason = GALENA_OUTLIER_NONE;
      forget_ejections (&rows[i], now);
    }
  if (!needs_judging (rows, count, aim_ms))
    {
      for (uint32_t i = 0; i < count; i++)
        note_bad_since (&rows[i], now);
      return;
    }
  judge_rows (rows, count, aim_ms, now);
  tally = count_rows (rows, count, now);
  if (tally.bad == 0 && tally.ejected == 0)
    return;
  many_bad = tally.known > 0 && tally.bad * MANY_BAD_DIVISOR >= tally.known;
  limit = tally.answering / EJECTED_DIVISOR;
  ejected = end_ejections (rows, count, many_bad, tally.ejected, limit, now);
  if (!many_bad && !tally.spared && limit > ejected)
    begin_ejections (rows, count, limit - ejected, now);
}

void
galena_outlier_run (struct galena_outlier_row *rows, uint32_t count,
                    galena_outlier_aim_lookup *aim_of, const void *data,
                    struct galena_clock now)
{
  uint32_t first = 0;

  while (first < count)
    {
      uint32_t end = first + 1;

      while (end < count && rows[end].service == rows[first].service)
        end++;
      run_service (&rows[first], end - first,
                   aim_of (data, rows[first].service), now);
      first = end;
    }
}
