/* Parsers of the platform's records, which are JSON: a service, and the index
   of all services.  */

#ifndef GALENAFORD_RECORD_H
#define GALENAFORD_RECORD_H

#include <stddef.h>
#include <stdint.h>

#include <galenaford/records.h>
#include <galenaford/sync.h>

enum
{
  /* Most bytes of one record.  */
  GALENA_RECORD_BYTES_MAX = 1024 * 1024,
  /* Supported schema versions.  */
  GALENA_RECORD_SCHEMA_FIRST = 1,
  GALENA_RECORD_SCHEMA_LAST = 2,
  GALENA_FAULT_PATH_BYTES = 64,
  GALENA_FAULTS_MAX = 32
};

/* One fault found in a record.  */
struct galena_fault
{
  /* Where in the record, such as "upstreams[2].slots".  */
  char path[GALENA_FAULT_PATH_BYTES];
  enum galena_result result;
  /* What is allowed there; a string constant.  */
  const char *allowed;
};

/* The first GALENA_FAULTS_MAX faults of a record.  */
struct galena_faults
{
  uint32_t count;
  struct galena_fault rows[GALENA_FAULTS_MAX];
};

/* Parses a service record; release it with galena_record_release.
   Errors: GALENA_ERR_INVALID, with the faults in FAULTS;
   GALENA_ERR_TOO_LARGE, GALENA_ERR_MEMORY.  */
enum galena_result galena_record_parse (const char *text, size_t size,
                                        struct galena_service_record *record,
                                        struct galena_faults *faults);

/* Frees the upstreams of RECORD.  */
void galena_record_release (struct galena_service_record *record);

/* Returns the digest of a record's text.  */
uint64_t galena_record_digest (const char *text, size_t size);

/* Parses an index record; release it with galena_index_release.
   Errors: GALENA_ERR_INVALID, GALENA_ERR_TOO_LARGE, GALENA_ERR_MEMORY.  */
enum galena_result galena_index_parse (const char *text, size_t size,
                                       struct galena_index_record *index,
                                       struct galena_faults *faults);

/* Frees the rows of INDEX.  */
void galena_index_release (struct galena_index_record *index);

/* Parses "A.B.C.D:PORT" into *ENDPOINT.  Errors: GALENA_ERR_INVALID.  */
enum galena_result galena_endpoint_parse (const char *text,
                                          struct galena_endpoint *endpoint);

#endif
