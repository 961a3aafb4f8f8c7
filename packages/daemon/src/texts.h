/* The texts of the records in force, kept to be relayed to peers.  */

#ifndef GALENAFORD_TEXTS_H
#define GALENAFORD_TEXTS_H

#include <stddef.h>
#include <stdint.h>

#include <galenaford/result.h>

struct record_cache;

/* Creates an empty store for SERVICES services in *OUT; the caller owns it.
   Errors: GALENA_ERR_MEMORY, GALENA_ERR_INVALID.  */
enum galena_result record_cache_create (uint32_t services,
                                        struct record_cache **out);

/* Destroys TEXTS; accepts NULL.  */
void record_cache_destroy (struct record_cache *cache);

/* Keeps a copy of TEXT, whose digest is DIGEST, as that of SERVICE.
   Errors: GALENA_ERR_MEMORY, GALENA_ERR_FULL.  */
enum galena_result record_cache_put (struct record_cache *cache,
                                     uint32_t service, uint64_t digest,
                                     const char *text, size_t size);

/* Returns the text of SERVICE with DIGEST and its size, or NULL.  */
const char *record_cache_find (const struct record_cache *cache,
                               uint32_t service, uint64_t digest,
                               size_t *size);

#endif
