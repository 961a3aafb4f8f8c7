/* Service records in files.  */

#ifndef GALENAFORD_RECORD_FILE_H
#define GALENAFORD_RECORD_FILE_H

#include <stdio.h>

#include <galenaford/record.h>

/* Reads the file at PATH, at most BYTES_MAX + 1 bytes of it, into *TEXT, which
   the caller frees; *SIZE is the number of bytes read.
   Errors: GALENA_ERR_IO, GALENA_ERR_MEMORY.  */
enum galena_result record_file_read (const char *path, size_t bytes_max,
                                     char **text, size_t *size);

/* Parses the service record at PATH; release it with galena_record_release.
   FAULTS lists every fault.
   Errors: as record_file_read and galena_record_parse.  */
enum galena_result record_file_load (const char *path,
                                     struct galena_service_record *record,
                                     struct galena_faults *faults);

/* Prints FAULTS of the record at PATH to OUT, one per line.  */
void record_file_print_faults (const char *path,
                               const struct galena_faults *faults, FILE *out);

#endif
