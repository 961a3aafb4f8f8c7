/* Which upstreams of a service are outliers, and for how long they get no new
   flows: functions over rows and a clock, without input or output.  */

#ifndef GALENAFORD_OUTLIER_H
#define GALENAFORD_OUTLIER_H

#include <galenaford/clock.h>
#include <galenaford/directory.h>
#include <galenaford/table.h>

enum galena_outlier_reason
{
  GALENA_OUTLIER_NONE,
  /* A far greater share of its requests fails than is usual in the
     service.  */
  GALENA_OUTLIER_FAILING,
  /* It takes far longer than is usual.  */
  GALENA_OUTLIER_SLOW,
  /* It answers far sooner than the work can take.  */
  GALENA_OUTLIER_QUICK,
  /* Reinstated: its time is over, half of the service looks bad, or it has
     been started again.  */
  GALENA_OUTLIER_TIME_OVER,
  GALENA_OUTLIER_MANY_BAD,
  GALENA_OUTLIER_STARTED_AGAIN,
  GALENA_OUTLIER_REASON_COUNT
};

/* Returns the name of REASON for the log.  */
const char *galena_outlier_reason_name (enum galena_outlier_reason reason);

/* Ejections of an upstream.  */
struct galena_outlier_state
{
  /* When the ejection ends; ms 0 while it is not ejected.  */
  struct galena_clock ejected_until;
  /* End of the last ejection, and the number of those that the length of the
     next one goes by.  */
  struct galena_clock returned_at;
  uint32_t ejections;
  /* Since when it is an outlier; ms 0 while it is none.  */
  struct galena_clock bad_since;
  /* Until then none of its service is ejected, since half of that looked
     bad.  */
  struct galena_clock spared_until;
};

enum galena_outlier_change
{
  GALENA_OUTLIER_UNCHANGED,
  GALENA_OUTLIER_EJECTED,
  GALENA_OUTLIER_REINSTATED
};

/* An upstream.  */
struct galena_outlier_row
{
  struct galena_handle handle;
  galena_service_key service;
  /* Whether it takes flows and the figures below are recent.  */
  bool answering;
  /* Requests of a second that ended, those of them that failed, and the mean
     service time in microseconds, 0 when unknown.  */
  uint32_t finished;
  uint32_t failed;
  uint32_t service_us;
  struct galena_outlier_state state;
  /* Results: what was decided and why, and the median service time of the
     service if it was needed.  */
  enum galena_outlier_change change;
  enum galena_outlier_reason reason;
  uint32_t median_us;
  /* Whether it is an outlier or not far from it.  */
  bool looks_bad;
};

/* Returns the time in milliseconds within which callers of SERVICE want an
   answer; 0 when unknown.  */
typedef uint32_t galena_outlier_aim_lookup (const void *data,
                                            galena_service_key service);

/* Returns whether an upstream with STATE is ejected.  */
static inline bool
galena_outlier_is_ejected (const struct galena_outlier_state *state)
{
  return state->ejected_until.ms != 0;
}

/* Ends the ejection in STATE at NOW.  */
void galena_outlier_reinstate (struct galena_outlier_state *state,
                               struct galena_clock now);

/* Decides at NOW on COUNT ROWS, which are sorted by service.  Each service is
   judged by itself.  */
void galena_outlier_run (struct galena_outlier_row *rows, uint32_t count,
                         galena_outlier_aim_lookup *aim_of, const void *data,
                         struct galena_clock now);

#endif
