/* Cache of the texts of the current service records, which are sent to peers
   as they were received.  */

#ifndef GALENAFORD_RECORD_CACHE_H
#define GALENAFORD_RECORD_CACHE_H

#include <stddef.h>
#include <stdint.h>

#include <galenaford/result.h>

struct record_cache;

/* Creates an empty cache for at most SERVICES services in *OUT; the caller
   owns it.
   Errors: GALENA_ERR_MEMORY, GALENA_ERR_INVALID.  */
enum galena_result record_cache_create (uint32_t services,
                                        struct record_cache **out);

/* Destroys CACHE; accepts NULL.  */
void record_cache_destroy (struct record_cache *cache);

/* Stores a copy of the SIZE bytes at TEXT, the record of SERVICE with digest
   DIGEST, in place of the service's earlier text.
   Errors: GALENA_ERR_MEMORY, GALENA_ERR_FULL.  */
enum galena_result record_cache_put (struct record_cache *cache,
                                     uint32_t service, uint64_t digest,
                                     const char *text, size_t size);

/* Returns the text of SERVICE and stores its size in *SIZE; NULL when there is
   none with digest DIGEST.  Valid until the next put.  */
const char *record_cache_find (const struct record_cache *cache,
                               uint32_t service, uint64_t digest,
                               size_t *size);

#endif
