/* Decodes one flat msgpack array without allocating memory.  */

#ifndef GALENAFORD_UNPACK_H
#define GALENAFORD_UNPACK_H

#include <stddef.h>
#include <stdint.h>

#include <galenaford/result.h>

enum
{
  /* Most items of the array.  */
  UNPACK_ITEMS_MAX = 40
};

enum unpack_type
{
  UNPACK_OTHER,
  UNPACK_UNSIGNED,
  UNPACK_BINARY,
  UNPACK_ARRAY
};

struct unpack_item
{
  enum unpack_type type;
  /* Bytes of binary data, or items of an array.  */
  uint32_t size;
  union
  {
    /* Value of an unsigned integer.  */
    uint64_t value;
    /* Binary data; points into the decoded bytes.  */
    const uint8_t *data;
  };
};

struct unpack_items
{
  uint32_t count;
  struct unpack_item rows[UNPACK_ITEMS_MAX];
};

/* Decodes SIZE bytes, which must be one array of scalars, into *ITEMS.
   Scalars other than unsigned integers and binary data get the type
   UNPACK_OTHER.
   Errors: GALENA_ERR_TRUNCATED, GALENA_ERR_TOO_LARGE for more items or bytes
   than allowed, GALENA_ERR_TYPE for anything but a flat array.  */
enum galena_result unpack_array (const uint8_t *bytes, size_t size,
                                 struct unpack_items *items);

#endif
