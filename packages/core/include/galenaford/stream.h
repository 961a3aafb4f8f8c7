/* The buffer of a body in transit: numbered parts that are kept until they
   are acknowledged (when sending) or until all earlier parts have arrived
   (when receiving).  */

#ifndef GALENAFORD_STREAM_H
#define GALENAFORD_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <galenaford/message.h>
#include <galenaford/result.h>

enum
{
  /* Maximum number of parts kept, the size of the window.  */
  GALENA_STREAM_PARTS_MAX = 64
};

/* One part; private to the stream.  */
struct galena_part_slot;

/* A zero-initialised stream is empty and ready for use.  */
struct galena_stream
{
  /* Owned; CAPACITY slots, or NULL.  */
  struct galena_part_slot *slots;
  /* Number of slots allocated, a power of two.  */
  uint32_t capacity;
  /* Number of the first part kept; earlier ones are acknowledged or
     consumed.  */
  uint32_t base;
  /* One past the number of the last part appended or stored.  */
  uint32_t end;
  /* Number of the first part not sent yet.  */
  uint32_t unsent;
  /* Whether TOTAL is known.  */
  bool finished;
  /* Total number of parts, once finished.  */
  uint32_t total;
};

/* Frees the parts of STREAM; numbering continues after the last part.  */
void galena_stream_release (struct galena_stream *stream);

/* Splits SIZE bytes into parts and appends copies of them.  Errors:
   GALENA_ERR_FULL, GALENA_ERR_MEMORY; nothing is appended then.  */
enum galena_result galena_stream_append (struct galena_stream *stream,
                                         const uint8_t *bytes, size_t size);

/* Returns the number of bytes that galena_stream_append accepts now.  */
size_t galena_stream_room (const struct galena_stream *stream);

/* Declares that nothing more will be appended.  */
void galena_stream_finish (struct galena_stream *stream);

/* Removes the parts before NEXT, which the receiver has acknowledged.  */
void galena_stream_acknowledge (struct galena_stream *stream, uint32_t next);

/* Stores a copy of a received PART.  Errors: GALENA_ERR_EXISTS for a duplicate
   part, GALENA_ERR_FULL for a part beyond the window, GALENA_ERR_TOO_LARGE,
   GALENA_ERR_MEMORY.  */
enum galena_result galena_stream_store (struct galena_stream *stream,
                                        uint32_t part, const uint8_t *bytes,
                                        uint32_t size);

/* Returns the bytes of PART, with their number in *SIZE; NULL when the part
   is not kept.  Valid until the stream changes.  */
const uint8_t *galena_stream_part (const struct galena_stream *stream,
                                   uint32_t part, uint32_t *size);

/* Returns whether all parts up to the total have been acknowledged or
   consumed.  */
bool galena_stream_complete (const struct galena_stream *stream);

#endif
