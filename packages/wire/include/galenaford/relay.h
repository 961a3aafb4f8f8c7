/* Codec of the sync messages, by which peers exchange records over TCP: one
   msgpack array per frame.  */

#ifndef GALENAFORD_RELAY_H
#define GALENAFORD_RELAY_H

#include <stddef.h>
#include <stdint.h>

#include <galenaford/record.h>
#include <galenaford/sync.h>

enum
{
  /* Schema version of the messages.  */
  GALENA_RELAY_SCHEMA = 1,
  /* Most bytes of a message, without the text of a record.  */
  GALENA_RELAY_HEADER_BYTES_MAX = 256,
  GALENA_RELAY_BYTES_MAX
  = GALENA_RELAY_HEADER_BYTES_MAX + GALENA_RECORD_BYTES_MAX
};

/* Decodes SIZE bytes into *MESSAGE.  Its record stays NULL; the text of a
   record is returned unparsed in *TEXT and *TEXT_SIZE and points into BYTES.
   Allocates nothing.
   Errors: GALENA_ERR_TRUNCATED, GALENA_ERR_TOO_LARGE, GALENA_ERR_SCHEMA,
   GALENA_ERR_TYPE, GALENA_ERR_RANGE.  */
enum galena_result galena_relay_decode (const uint8_t *bytes, size_t size,
                                        struct galena_sync_message *message,
                                        const char **text, size_t *text_size);

/* Encodes MESSAGE into BYTES of size CAPACITY and stores the length in *SIZE.
   TEXT is the text of a record; TEXT_SIZE is 0 for other messages.
   Errors: GALENA_ERR_TOO_LARGE when CAPACITY does not suffice.  */
enum galena_result
galena_relay_encode (const struct galena_sync_message *message,
                     const char *text, size_t text_size, uint8_t *bytes,
                     size_t capacity, size_t *size);

#endif
