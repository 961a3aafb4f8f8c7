/* Instantiates msgpack-c's parser template with callbacks that store into a
   fixed array of items.  The library's own object builder is not used: it
   allocates as many items as a datagram claims to contain.  */

#include <assert.h>
#include <string.h>

#include <msgpack/unpack.h>
#include <msgpack/unpack_define.h>

#include "unpack.h"

/* Error codes of the callbacks, which the template returns to its caller.  -1
   and -2 are msgpack's own.  */
enum
{
  UNPACK_FAILED_TYPE = -3,
  UNPACK_FAILED_SIZE = -4
};

#define msgpack_unpack_struct(name) struct galena_template##name
#define msgpack_unpack_func(type, name)                                       \
  static inline type galena_template##name
#define msgpack_unpack_callback(name) on##name
#define msgpack_unpack_object struct unpack_item
#define msgpack_unpack_user struct unpack_items *

static inline struct unpack_item
on_root (struct unpack_items **items)
{
  (void)items;
  return (struct unpack_item){ .type = UNPACK_OTHER };
}

static inline int
store_unsigned (uint64_t value, struct unpack_item *item)
{
  *item = (struct unpack_item){ .type = UNPACK_UNSIGNED, .value = value };
  return 0;
}

static inline int
store_other (struct unpack_item *item)
{
  *item = (struct unpack_item){ .type = UNPACK_OTHER };
  return 0;
}

#define ON_UNSIGNED(name, type)                                               \
  static inline int name (struct unpack_items **items, type value,            \
                          struct unpack_item *item)                           \
  {                                                                           \
    (void)items;                                                              \
    return store_unsigned (value, item);                                      \
  }

#define ON_NUMBER(name, type)                                                 \
  static inline int name (struct unpack_items **items, type value,            \
                          struct unpack_item *item)                           \
  {                                                                           \
    (void)items;                                                              \
    (void)value;                                                              \
    return store_other (item);                                                \
  }

#define ON_CONSTANT(name)                                                     \
  static inline int name (struct unpack_items **items,                        \
                          struct unpack_item *item)                           \
  {                                                                           \
    (void)items;                                                              \
    return store_other (item);                                                \
  }

#define ON_BYTES(name, kind)                                                  \
  static inline int name (struct unpack_items **items, const char *start,     \
                          const char *data, unsigned int size,                \
                          struct unpack_item *item)                           \
  {                                                                           \
    (void)items;                                                              \
    (void)start;                                                              \
    *item = (struct unpack_item){ .type = (kind),                             \
                                  .data = (const uint8_t *)data,              \
                                  .size = size };                             \
    return 0;                                                                 \
  }

ON_UNSIGNED (on_uint8, uint8_t)
ON_UNSIGNED (on_uint16, uint16_t)
ON_UNSIGNED (on_uint32, uint32_t)
ON_UNSIGNED (on_uint64, uint64_t)
ON_NUMBER (on_int8, int8_t)
ON_NUMBER (on_int16, int16_t)
ON_NUMBER (on_int32, int32_t)
ON_NUMBER (on_int64, int64_t)
ON_NUMBER (on_float, float)
ON_NUMBER (on_double, double)
ON_CONSTANT (on_nil)
ON_CONSTANT (on_true)
ON_CONSTANT (on_false)
ON_BYTES (on_str, UNPACK_OTHER)
ON_BYTES (on_bin, UNPACK_BINARY)
ON_BYTES (on_ext, UNPACK_OTHER)

/* Only the outermost item may be an array; it comes before all others.  */
static inline int
on_array (struct unpack_items **items, unsigned int count,
          struct unpack_item *item)
{
  if (count > UNPACK_ITEMS_MAX)
    return UNPACK_FAILED_SIZE;
  if ((*items)->count != 0)
    return UNPACK_FAILED_TYPE;
  *item = (struct unpack_item){ .type = UNPACK_ARRAY, .size = count };
  return 0;
}

static inline int
on_array_item (struct unpack_items **items, struct unpack_item *array,
               struct unpack_item item)
{
  (void)array;
  if (item.type == UNPACK_ARRAY)
    return UNPACK_FAILED_TYPE;
  (*items)->rows[(*items)->count++] = item;
  return 0;
}

static inline int
on_map (struct unpack_items **items, unsigned int count,
        struct unpack_item *item)
{
  (void)items;
  (void)count;
  (void)item;
  return UNPACK_FAILED_TYPE;
}

static inline int
on_map_item (struct unpack_items **items, struct unpack_item *map,
             struct unpack_item key, struct unpack_item value)
{
  (void)items;
  (void)map;
  (void)key;
  (void)value;
  return UNPACK_FAILED_TYPE;
}

#include <msgpack/unpack_template.h>

static enum galena_result
result_of (int status)
{
  if (status == 0)
    return GALENA_ERR_TRUNCATED;
  return status == UNPACK_FAILED_SIZE ? GALENA_ERR_TOO_LARGE : GALENA_ERR_TYPE;
}

enum galena_result
unpack_array (const uint8_t *bytes, size_t size, struct unpack_items *items)
{
  struct galena_template_context context;
  size_t used = 0;
  int status;

  if (size == 0)
    return GALENA_ERR_TRUNCATED;
  galena_template_init (&context);
  context.user = items;
  items->count = 0;
  status
      = galena_template_execute (&context, (const char *)bytes, size, &used);
  if (status != 1)
    return result_of (status);
  if (galena_template_data (&context).type != UNPACK_ARRAY)
    return GALENA_ERR_TYPE;
  if (used != size)
    return GALENA_ERR_TOO_LARGE;
  return GALENA_OK;
}
