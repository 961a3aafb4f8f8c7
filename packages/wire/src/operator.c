/* The codec of operator rows.  One table of fields serves encoding and
   decoding.  */

#include <string.h>

#include <msgpack.h>

#include <galenaford/operator.h>

#include "unpack.h"

/* One row type and its fields, as listed in GALENA_OPERATOR_ROWS.  */
struct row_type
{
  const char *name;
  const struct galena_operator_field *fields;
  uint32_t count;
};

#define FIELD_TEXT(row, name, description)                                    \
  { #name, description, offsetof (struct galena_operator_row, as.row.name),   \
    true },
#define FIELD_NUMBER(row, name, description)                                  \
  { #name, description, offsetof (struct galena_operator_row, as.row.name),   \
    false },
#define FIELD_TABLE(value, number, name, type, fields)                        \
  static const struct galena_operator_field type##_fields[]                   \
      = { fields (type, FIELD_TEXT, FIELD_NUMBER) };
GALENA_OPERATOR_ROWS (FIELD_TABLE)

static const struct row_type TYPES[GALENA_ROW_TYPE_END] = {
#define TYPE_ROW(value, number, name, type, fields)                           \
  [value] = { name, type##_fields,                                            \
              sizeof type##_fields / sizeof type##_fields[0] },
  GALENA_OPERATOR_ROWS (TYPE_ROW)
#undef TYPE_ROW
};

enum
{
  /* Schema version and type.  */
  HEADER_ITEMS = 2
};

static bool
is_type (uint64_t type)
{
  return type < GALENA_ROW_TYPE_END && TYPES[type].name != NULL;
}

const struct galena_operator_field *
galena_operator_field (enum galena_operator_type type, uint32_t index)
{
  if (!is_type (type) || index >= TYPES[type].count)
    return NULL;
  return &TYPES[type].fields[index];
}

const char *
galena_operator_type_name (enum galena_operator_type type)
{
  return is_type (type) ? TYPES[type].name : NULL;
}

const char *
galena_operator_text (const struct galena_operator_row *row,
                      const struct galena_operator_field *field)
{
  return (const char *)row + field->offset;
}

uint64_t
galena_operator_number (const struct galena_operator_row *row,
                        const struct galena_operator_field *field)
{
  uint64_t value;

  memcpy (&value, (const char *)row + field->offset, sizeof value);
  return value;
}

/* Output buffer; FULL is set when some bytes did not fit.  */
struct output
{
  uint8_t *bytes;
  size_t size;
  size_t capacity;
  bool full;
};

static int
write_output (void *data, const char *bytes, size_t size)
{
  struct output *output = data;

  if (size > output->capacity - output->size)
    {
      output->full = true;
      return -1;
    }
  memcpy (output->bytes + output->size, bytes, size);
  output->size += size;
  return 0;
}

static void
pack_field (msgpack_packer *packer, const struct galena_operator_row *row,
            const struct galena_operator_field *field)
{
  const char *text;
  size_t length;

  if (!field->is_text)
    {
      msgpack_pack_uint64 (packer, galena_operator_number (row, field));
      return;
    }
  text = galena_operator_text (row, field);
  length = strnlen (text, GALENA_NAME_BYTES - 1);
  msgpack_pack_bin (packer, length);
  msgpack_pack_bin_body (packer, text, length);
}

enum galena_result
galena_operator_encode (const struct galena_operator_row *row, uint8_t *bytes,
                        size_t capacity, size_t *size)
{
  struct output output = { bytes, 0, capacity, false };
  const struct row_type *type;
  msgpack_packer packer;

  if (!is_type (row->type))
    return GALENA_ERR_TYPE;
  type = &TYPES[row->type];
  msgpack_packer_init (&packer, &output, write_output);
  msgpack_pack_array (&packer, HEADER_ITEMS + type->count);
  msgpack_pack_uint32 (&packer, GALENA_OPERATOR_SCHEMA);
  msgpack_pack_uint32 (&packer, row->type);
  for (uint32_t i = 0; i < type->count; i++)
    pack_field (&packer, row, &type->fields[i]);
  if (output.full)
    return GALENA_ERR_TOO_LARGE;
  *size = output.size;
  return GALENA_OK;
}

static enum galena_result
decode_header (const struct unpack_items *items,
               struct galena_operator_row *row)
{
  if (items->count < HEADER_ITEMS)
    return GALENA_ERR_TRUNCATED;
  if (items->rows[0].type != UNPACK_UNSIGNED
      || items->rows[1].type != UNPACK_UNSIGNED)
    return GALENA_ERR_TYPE;
  if (items->rows[0].value != GALENA_OPERATOR_SCHEMA)
    return GALENA_ERR_SCHEMA;
  if (!is_type (items->rows[1].value))
    return GALENA_ERR_RANGE;
  row->type = (enum galena_operator_type)items->rows[1].value;
  return GALENA_OK;
}

/* Copies a text; replaces each byte that is not printable ASCII by a question
   mark, so that no text can control the operator's terminal.  */
static enum galena_result
decode_text (const struct unpack_item *item, char *at)
{
  if (item->type != UNPACK_BINARY)
    return GALENA_ERR_TYPE;
  if (item->size >= GALENA_NAME_BYTES)
    return GALENA_ERR_TOO_LARGE;
  for (uint32_t i = 0; i < item->size; i++)
    {
      bool printable = item->data[i] >= ' ' && item->data[i] <= '~';
      at[i] = printable ? (char)item->data[i] : '?';
    }
  return GALENA_OK;
}

static enum galena_result
decode_field (const struct unpack_item *item,
              const struct galena_operator_field *field,
              struct galena_operator_row *row)
{
  char *at = (char *)row + field->offset;

  if (field->is_text)
    return decode_text (item, at);
  if (item->type != UNPACK_UNSIGNED)
    return GALENA_ERR_TYPE;
  memcpy (at, &item->value, sizeof item->value);
  return GALENA_OK;
}

enum galena_result
galena_operator_decode (const uint8_t *bytes, size_t size,
                        struct galena_operator_row *row)
{
  struct unpack_items items;
  const struct row_type *type;
  enum galena_result result = unpack_array (bytes, size, &items);

  if (result != GALENA_OK)
    return result;
  memset (row, 0, sizeof *row);
  result = decode_header (&items, row);
  if (result != GALENA_OK)
    return result;
  type = &TYPES[row->type];
  if (items.count != HEADER_ITEMS + type->count)
    return items.count < HEADER_ITEMS + type->count ? GALENA_ERR_TRUNCATED
                                                    : GALENA_ERR_TOO_LARGE;
  for (uint32_t i = 0; i < type->count && result == GALENA_OK; i++)
    result
        = decode_field (&items.rows[HEADER_ITEMS + i], &type->fields[i], row);
  return result;
}
