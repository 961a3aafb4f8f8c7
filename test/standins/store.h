/* A stand-in for the platform's key-value store: items with revisions, range
   queries by page, long-poll watches, a history that can be compacted, and a
   copy from which it can be restored.  Runs on threads of its own; all
   functions are thread-safe.  */

#ifndef GALENAFORD_TEST_STORE_H
#define GALENAFORD_TEST_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct store;

struct store_faults
{
  /* Replies with status 503.  */
  bool down;
  /* Delay of each reply in milliseconds; 0 for none.  */
  uint32_t slow_ms;
};

/* Creates an empty store in *OUT that listens at IP and PORT; the caller owns
   it.  Returns false if it can't listen there; *OUT is then still to be
   destroyed.  */
bool store_create (uint32_t ip, uint16_t port, struct store **out);

/* Destroys STORE; accepts NULL.  */
void store_destroy (struct store *store);

/* Writes KEY, with VALUE of SIZE bytes; both are copied.  */
void store_put_bytes (struct store *store, const char *key,
                      const uint8_t *value, size_t size);

/* Writes the text VALUE to KEY.  */
void store_put (struct store *store, const char *key, const char *value);

void store_remove (struct store *store, const char *key);

/* Discards the history, so that watches from older revisions fail.  */
void store_compact (struct store *store);

/* Copies all items; goes back to that copy, in a new era.  */
void store_copy (struct store *store);
void store_restore (struct store *store);

void store_set_faults (struct store *store, struct store_faults faults);

#endif
