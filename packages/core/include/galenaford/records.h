/* The records in force: which are taken, and the snapshot they make.

   A record is taken only when its generation is higher than that of the one
   in force.  Two records of one generation: the one with the higher digest
   stays in force everywhere.  An upstream that leaves the record stays in
   the snapshot as removed, so that packets of its flows are still routed.

   Records of different services are taken in any order with the same end:
   where two claim one address or upstream number, the snapshot gives it to
   the service with the lower number, and the others go without.  */

#ifndef GALENAFORD_RECORDS_H
#define GALENAFORD_RECORDS_H

#include <galenaford/audit.h>
#include <galenaford/clock.h>
#include <galenaford/config.h>

struct galena_service_record
{
  /* first_upstream is unused.  */
  struct galena_service service;
  /* service.upstream_count rows; owned by whoever filled the record in.  */
  struct galena_upstream *upstreams;
};

struct galena_records_options
{
  /* Most services.  */
  uint32_t services;
  /* Where changes are noted; borrowed.  */
  struct galena_audit *audit;
};

struct galena_records;

/* Creates an empty set of records in *OUT; the caller owns it.
   Errors: GALENA_ERR_INVALID, GALENA_ERR_MEMORY.  */
enum galena_result
galena_records_create (const struct galena_records_options *options,
                       struct galena_records **out);

/* Destroys RECORDS; accepts NULL.  */
void galena_records_destroy (struct galena_records *records);

/* Takes a copy of RECORD into force.
   Errors: GALENA_ERR_GENERATION when it is not newer, GALENA_ERR_FULL,
   GALENA_ERR_MEMORY; the records then stay as they were.  */
enum galena_result
galena_records_take (struct galena_records *records,
                     const struct galena_service_record *record,
                     struct galena_clock now);

/* Notes that the list of instances calls UPSTREAM leaving, or no longer so;
   an active upstream that is leaving takes no new flows.
   Errors: GALENA_ERR_FULL.  */
enum galena_result galena_records_mark (struct galena_records *records,
                                        uint32_t upstream, bool leaving,
                                        struct galena_clock now);

/* Makes a snapshot of the records in *OUT; the caller owns it.
   Errors: GALENA_ERR_MEMORY.  */
enum galena_result
galena_records_snapshot (const struct galena_records *records,
                         struct galena_config **out);

/* Returns the record of service NUMBER in force, or NULL.  */
const struct galena_service_record *
galena_records_find (const struct galena_records *records, uint32_t number);

/* Walks the records in force: returns the one at *CURSOR and moves on; NULL
   at the end.  Start with *CURSOR 0.  */
const struct galena_service_record *
galena_records_next (const struct galena_records *records, uint32_t *cursor);

#endif
