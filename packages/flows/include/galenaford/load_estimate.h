/* Estimates the current load of an upstream from an old report.

   Load pattern: reports are milliseconds to seconds old, and many entries
   choose upstreams at the same moment.  A queue that was reported has been
   served long before the next report comes, and entries that all avoid or all
   choose the same upstream overrun the others in turns.  */

#ifndef GALENAFORD_LOAD_ESTIMATE_H
#define GALENAFORD_LOAD_ESTIMATE_H

#include <stdbool.h>
#include <stdint.h>

/* Means of the upstreams of a service.  */
struct galena_service_mean
{
  double service_us;
  /* Smoothed share of the slots that are busy.  */
  double utilisation;
};

/* What is known of an upstream.  */
struct galena_known_load
{
  /* Whether its agent has reported, and the age of the last report.  */
  bool reported;
  double age_ms;
  /* As reported; SERVICE_US is 0 when unknown.  */
  double pending_requests;
  double service_us;
  double utilisation;
  /* 0 when unknown.  */
  uint32_t slots;
  /* Flows that were sent to it and that the report does not include yet.  */
  double sent;
};

struct galena_estimated_load
{
  double pending_requests;
  double service_us;
};

/* Returns the expected load now.  The number of pending requests starts at the
   reported one and approaches the mean at the reported utilisation, since
   requests end and others arrive.  Without a recent report, the means of the
   service count.  */
struct galena_estimated_load
galena_estimate_load (const struct galena_known_load *known,
                      const struct galena_service_mean *mean);

/* Returns the expected time in microseconds until one more request is answered
   by an upstream with PENDING requests and SLOTS.  */
double galena_estimate_answer_us (double pending, uint32_t slots,
                                  double service_us);

#endif
