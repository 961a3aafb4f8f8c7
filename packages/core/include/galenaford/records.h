/* The current service records of a process, and the snapshot made of them.

   A record is applied only when its generation is higher than that of the
   current one.  Of two records with the same generation, the one with the
   higher digest wins at every process.  An upstream that is no longer in the
   record stays in the snapshot as removed, so that packets of its flows are
   still routed.

   The order in which records of different services are applied does not
   matter: where two of them claim the same address or upstream number, the
   snapshot assigns it to the service with the lower number only.  */

#ifndef GALENAFORD_RECORDS_H
#define GALENAFORD_RECORDS_H

#include <galenaford/audit.h>
#include <galenaford/clock.h>
#include <galenaford/config.h>

struct galena_service_record
{
  /* first_upstream is unused.  */
  struct galena_service service;
  /* service.upstream_count rows; owned by the creator of the record.  */
  struct galena_upstream *upstreams;
};

struct galena_records_options
{
  /* Maximum number of services.  */
  uint32_t services;
  /* Audit trail to which changes are appended; borrowed.  */
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

/* Makes a copy of RECORD the current record of its service.
   Errors: GALENA_ERR_GENERATION when it is not newer than the current one,
   GALENA_ERR_FULL, GALENA_ERR_MEMORY; RECORDS is unchanged on error.  */
enum galena_result
galena_records_apply (struct galena_records *records,
                      const struct galena_service_record *record,
                      struct galena_clock now);

/* Records whether the platform's list of instances (see sync.h) marks UPSTREAM
   as leaving.  An upstream that is active in its record but marked as leaving
   accepts no new flows.
   Errors: GALENA_ERR_FULL.  */
enum galena_result galena_records_set_leaving (struct galena_records *records,
                                               uint32_t upstream, bool leaving,
                                               struct galena_clock now);

/* Creates a snapshot of the records in *OUT; the caller owns it.
   Errors: GALENA_ERR_MEMORY.  */
enum galena_result
galena_records_snapshot (const struct galena_records *records,
                         struct galena_config **out);

/* Returns the current record of service NUMBER, or NULL.  */
const struct galena_service_record *
galena_records_find (const struct galena_records *records, uint32_t number);

/* Iterates over the current records: returns the one at *CURSOR, NULL at the
   end, and advances *CURSOR.  Start with *CURSOR set to 0.  */
const struct galena_service_record *
galena_records_next (const struct galena_records *records, uint32_t *cursor);

#endif
