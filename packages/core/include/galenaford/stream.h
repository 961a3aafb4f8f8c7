/* A body on its way: numbered parts that are kept until acknowledged (when
   sent) or until the parts before them are there (when received).  */

#ifndef GALENAFORD_STREAM_H
#define GALENAFORD_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <galenaford/message.h>
#include <galenaford/result.h>

enum
{
  /* Most parts kept at once.  */
  GALENA_STREAM_PARTS_MAX = 64
};

/* One part; private to the stream.  */
struct galena_part_slot;

/* A zeroed stream is empty and ready for use.  */
struct galena_stream
{
  /* Owned; CAPACITY slots, or NULL.  */
  struct galena_part_slot *slots;
  /* Slots allocated, a power of two.  */
  uint32_t capacity;
  /* First part kept; all before it are done with.  */
  uint32_t base;
  /* One past the last part appended or stored.  */
  uint32_t end;
  /* First part not sent yet.  */
  uint32_t unsent;
  /* Whether TOTAL is known.  */
  bool finished;
  /* Number of parts in all, once finished.  */
  uint32_t total;
};

/* Frees what STREAM holds and empties it; its part numbers stay.  */
void galena_stream_release (struct galena_stream *stream);

/* Appends SIZE bytes as parts.
   Errors: GALENA_ERR_FULL and GALENA_ERR_MEMORY; nothing is appended.  */
enum galena_result galena_stream_append (struct galena_stream *stream,
                                         const uint8_t *bytes, size_t size);

/* Tells how many bytes galena_stream_append would take now.  */
size_t galena_stream_room (const struct galena_stream *stream);

/* Declares that nothing more will be appended.  */
void galena_stream_finish (struct galena_stream *stream);

/* Drops the parts before NEXT, which the receiver has.  */
void galena_stream_acknowledge (struct galena_stream *stream, uint32_t next);

/* Keeps a received PART.  Errors: GALENA_ERR_EXISTS for a part seen before,
   GALENA_ERR_FULL for a part beyond the window, GALENA_ERR_MEMORY.  */
enum galena_result galena_stream_store (struct galena_stream *stream,
                                        uint32_t part, const uint8_t *bytes,
                                        uint32_t size);

/* Finds PART and its size; NULL when it is not kept.  */
const uint8_t *galena_stream_part (const struct galena_stream *stream,
                                   uint32_t part, uint32_t *size);

/* Tells whether every part up to the total has been passed.  */
bool galena_stream_complete (const struct galena_stream *stream);

#endif
