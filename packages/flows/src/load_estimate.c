/* Estimates of the current load of an upstream.  */

#include <galenaford/load_estimate.h>

enum
{
  US_PER_MS = 1000,
  /* A report that is older counts as missing: an agent reports to each of 60
     entries every 2 s, and one report may be lost.  */
  REPORT_VALID_MS = 4000,
  /* The difference from the mean is halved after this many service times.  A
     queue with two slots returns to its mean in 6 service times at a
     utilisation of 0.5, and in more when it is busier.  */
  HALVING_SERVICE_TIMES = 4,
  /* While a slot is free, each request per slot costs one service time divided
     by this, so that the upstream with more free slots is preferred.  */
  FREE_SLOTS_DIVISOR = 8
};

/* Utilisation that is assumed at most: the mean queue grows without limit as
   it approaches 1, while upstreams shed beyond eight waiting requests.  */
static const double UTILISATION_MAX = 0.9;

/* Returns the mean number of pending requests.  The second term, the waiting
   ones, is half of that of two slots with exponential service times, since
   these vary little here.  */
static double
mean_pending (double utilisation, double slots)
{
  double busy = utilisation < UTILISATION_MAX ? utilisation : UTILISATION_MAX;

  return slots * busy + busy * busy * busy / (1 - busy * busy);
}

struct galena_estimated_load
galena_estimate_load (const struct galena_known_load *known,
                      const struct galena_service_mean *mean)
{
  double slots = known->slots > 0 ? known->slots : 1;
  struct galena_estimated_load estimate = { .service_us = mean->service_us };
  double steady;
  double halving_us;

  if (!known->reported || known->age_ms > REPORT_VALID_MS)
    {
      estimate.pending_requests
          = mean_pending (mean->utilisation, slots) + known->sent;
      return estimate;
    }
  if (known->service_us > 0)
    estimate.service_us = known->service_us;
  steady = mean_pending (known->utilisation, slots);
  /* A queue takes longer to be served.  */
  halving_us
      = HALVING_SERVICE_TIMES * estimate.service_us
        * (known->pending_requests > slots ? known->pending_requests / slots
                                           : 1);
  estimate.pending_requests = steady + known->sent
                              + (known->pending_requests - steady) * halving_us
                                    / (halving_us + known->age_ms * US_PER_MS);
  return estimate;
}

double
galena_estimate_answer_us (double pending, uint32_t slots, double service_us)
{
  double per_slot = (pending + 1) / (slots > 0 ? slots : 1);

  /* With a free slot, the request takes one service time.  */
  return service_us
         * (per_slot > 1 ? per_slot : 1 + per_slot / FREE_SLOTS_DIVISOR);
}
