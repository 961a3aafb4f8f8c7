/* The texts of the records in force, kept to be relayed to peers.  */

#ifndef GALENAFORD_TEXTS_H
#define GALENAFORD_TEXTS_H

#include <stddef.h>
#include <stdint.h>

#include <galenaford/result.h>

struct texts;

/* Creates an empty store for SERVICES services in *OUT; the caller owns it.
   Errors: GALENA_ERR_MEMORY, GALENA_ERR_INVALID.  */
enum galena_result texts_create (uint32_t services, struct texts **out);

/* Destroys TEXTS; accepts NULL.  */
void texts_destroy (struct texts *texts);

/* Keeps a copy of TEXT, whose digest is DIGEST, as that of SERVICE.
   Errors: GALENA_ERR_MEMORY, GALENA_ERR_FULL.  */
enum galena_result texts_put (struct texts *texts, uint32_t service,
                              uint64_t digest, const char *text, size_t size);

/* Returns the text of SERVICE with DIGEST and its size, or NULL.  */
const char *texts_find (const struct texts *texts, uint32_t service,
                        uint64_t digest, size_t *size);

#endif
