/* Record parsers.  Tables of fields define the keys and values of each JSON
   object.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <xxhash.h>

#include <galenaford/record.h>
#include <galenaford/tag.h>

enum
{
  DEADLINE_MS_MAX = 24 * 60 * 60 * 1000,
  SLOTS_MAX = 4096,
  CONNECTIONS_MAX = 1000000,
  WEIGHT_MAX = 1000,
  SERVICE_NUMBER_MAX = 1000000,
  UPSTREAM_NUMBER_MAX = (1 << GALENA_TAG_UPSTREAM_BITS) - 1,
  UPSTREAMS_MAX = 4096,
  SERVICES_MAX = 4096
};

enum field_type
{
  FIELD_NUMBER16,
  FIELD_NUMBER32,
  FIELD_NUMBER64,
  FIELD_BOOLEAN,
  FIELD_NAME,
  FIELD_ENDPOINT,
  FIELD_STATE
};

/* One field of a JSON object, and where its value is stored.  */
struct record_field
{
  const char *name;
  enum field_type type;
  size_t offset;
  /* First and last schema version that has the field.  */
  uint32_t first_schema;
  uint32_t last_schema;
  bool required;
  /* Range of numbers.  */
  int64_t min;
  int64_t max;
  const char *allowed;
};

#define ALL_SCHEMAS GALENA_RECORD_SCHEMA_FIRST, GALENA_RECORD_SCHEMA_LAST

static const struct record_field SERVICE_FIELDS[] = {
  { "service", FIELD_NAME, offsetof (struct galena_service, name), ALL_SCHEMAS,
    true, 0, 0, "a name of 1 to 31 bytes" },
  { "number", FIELD_NUMBER32, offsetof (struct galena_service, number),
    ALL_SCHEMAS, true, 1, SERVICE_NUMBER_MAX, "1 to 1000000" },
  { "generation", FIELD_NUMBER64, offsetof (struct galena_service, generation),
    ALL_SCHEMAS, true, 1, INT64_MAX, "1 or more" },
  { "address", FIELD_ENDPOINT, offsetof (struct galena_service, address),
    ALL_SCHEMAS, true, 0, 0, "IPv4 address and port, as in 192.0.2.1:80" },
};

static const struct record_field KIND_FIELDS[] = {
  { "name", FIELD_NAME, offsetof (struct galena_kind, name), ALL_SCHEMAS, true,
    0, 0, "a name of 1 to 31 bytes" },
  { "number", FIELD_NUMBER16, offsetof (struct galena_kind, number),
    ALL_SCHEMAS, true, 0, GALENA_KINDS_MAX - 1, "0 to 15" },
  { "urgency", FIELD_NUMBER16, offsetof (struct galena_kind, urgency),
    ALL_SCHEMAS, true, 0, 100, "0 (most urgent) to 100" },
  { "idempotent", FIELD_BOOLEAN, offsetof (struct galena_kind, idempotent),
    ALL_SCHEMAS, true, 0, 0, "true or false" },
  { "deadline_ms", FIELD_NUMBER32, offsetof (struct galena_kind, deadline_ms),
    ALL_SCHEMAS, true, 1, DEADLINE_MS_MAX, "1 to 86400000" },
  { "endless", FIELD_BOOLEAN, offsetof (struct galena_kind, endless), 2, 2,
    false, 0, 0, "true or false" },
  { "minimum_share_percent", FIELD_NUMBER16,
    offsetof (struct galena_kind, minimum_share_percent), 2, 2, false, 0, 100,
    "0 to 100" },
};

static const struct record_field UPSTREAM_FIELDS[] = {
  { "number", FIELD_NUMBER32, offsetof (struct galena_upstream, number),
    ALL_SCHEMAS, true, 1, UPSTREAM_NUMBER_MAX, "1 to 1048575" },
  { "host", FIELD_NAME, offsetof (struct galena_upstream, host), ALL_SCHEMAS,
    true, 0, 0, "a name of 1 to 31 bytes" },
  { "zone", FIELD_NAME, offsetof (struct galena_upstream, zone), ALL_SCHEMAS,
    true, 0, 0, "a name of 1 to 31 bytes" },
  { "agent", FIELD_ENDPOINT, offsetof (struct galena_upstream, agent),
    ALL_SCHEMAS, true, 0, 0, "IPv4 address and port, as in 192.0.2.1:80" },
  { "slots", FIELD_NUMBER32, offsetof (struct galena_upstream, slots),
    ALL_SCHEMAS, true, 1, SLOTS_MAX, "1 to 4096" },
  { "connections", FIELD_NUMBER32,
    offsetof (struct galena_upstream, connections), ALL_SCHEMAS, true, 1,
    CONNECTIONS_MAX, "1 to 1000000" },
  { "state", FIELD_STATE, offsetof (struct galena_upstream, state),
    ALL_SCHEMAS, false, 0, 0, "\"active\" or \"leaving\"" },
  { "weight", FIELD_NUMBER32, offsetof (struct galena_upstream, weight), 2, 2,
    false, 1, WEIGHT_MAX, "1 to 1000" },
};

#define COUNT_OF(array) (sizeof (array) / sizeof (array)[0])

/* State of parsing one record.  */
struct parser
{
  uint32_t schema;
  struct galena_faults *faults;
};

static void
add_fault (struct parser *parser, const char *prefix, const char *name,
           enum galena_result result, const char *allowed)
{
  struct galena_faults *faults = parser->faults;
  struct galena_fault *fault;

  if (faults->count == GALENA_FAULTS_MAX)
    return;
  fault = &faults->rows[faults->count++];
  snprintf (fault->path, sizeof fault->path, "%s%s", prefix, name);
  fault->result = result;
  fault->allowed = allowed;
}

static enum galena_result
decode_number (const struct record_field *field, const json_t *value, void *at)
{
  json_int_t number = json_integer_value (value);

  if (!json_is_integer (value))
    return GALENA_ERR_TYPE;
  if (number < field->min || number > field->max)
    return GALENA_ERR_RANGE;
  if (field->type == FIELD_NUMBER16)
    *(uint16_t *)at = (uint16_t)number;
  else if (field->type == FIELD_NUMBER32)
    *(uint32_t *)at = (uint32_t)number;
  else
    *(uint64_t *)at = (uint64_t)number;
  return GALENA_OK;
}

static enum galena_result
decode_boolean (const struct record_field *field, const json_t *value,
                void *at)
{
  (void)field;
  if (!json_is_boolean (value))
    return GALENA_ERR_TYPE;
  *(bool *)at = json_is_true (value);
  return GALENA_OK;
}

static enum galena_result
decode_name (const struct record_field *field, const json_t *value, void *at)
{
  size_t length = json_string_length (value);

  (void)field;
  if (!json_is_string (value))
    return GALENA_ERR_TYPE;
  if (length == 0 || length >= GALENA_NAME_BYTES)
    return GALENA_ERR_RANGE;
  memcpy (at, json_string_value (value), length + 1);
  return GALENA_OK;
}

static enum galena_result
decode_endpoint (const struct record_field *field, const json_t *value,
                 void *at)
{
  (void)field;
  if (!json_is_string (value))
    return GALENA_ERR_TYPE;
  return galena_endpoint_parse (json_string_value (value), at);
}

static enum galena_result
decode_state (const struct record_field *field, const json_t *value, void *at)
{
  enum galena_upstream_state *state = at;

  (void)field;
  if (!json_is_string (value))
    return GALENA_ERR_TYPE;
  if (strcmp (json_string_value (value), "active") == 0)
    *state = GALENA_UPSTREAM_ACTIVE;
  else if (strcmp (json_string_value (value), "leaving") == 0)
    *state = GALENA_UPSTREAM_LEAVING;
  else
    return GALENA_ERR_RANGE;
  return GALENA_OK;
}

/* The decoder of each field type.  */
static enum galena_result (*const DECODERS[]) (const struct record_field *,
                                               const json_t *, void *)
    = {
        [FIELD_NUMBER16] = decode_number, [FIELD_NUMBER32] = decode_number,
        [FIELD_NUMBER64] = decode_number, [FIELD_BOOLEAN] = decode_boolean,
        [FIELD_NAME] = decode_name,       [FIELD_ENDPOINT] = decode_endpoint,
        [FIELD_STATE] = decode_state,
      };

static bool
is_in_schema (const struct record_field *field, uint32_t schema)
{
  return schema >= field->first_schema && schema <= field->last_schema;
}

static void
decode_fields (struct parser *parser, const char *prefix, const json_t *object,
               const struct record_field *fields, size_t count, void *row)
{
  if (!json_is_object (object))
    {
      add_fault (parser, prefix, "", GALENA_ERR_TYPE, "an object");
      return;
    }
  for (size_t i = 0; i < count; i++)
    {
      const struct record_field *field = &fields[i];
      const json_t *value = json_object_get (object, field->name);
      enum galena_result result;

      if (!is_in_schema (field, parser->schema))
        continue;
      if (value == NULL)
        {
          if (field->required)
            add_fault (parser, prefix, field->name, GALENA_ERR_NOT_FOUND,
                       field->allowed);
          continue;
        }
      result = DECODERS[field->type](field, value,
                                     (unsigned char *)row + field->offset);
      if (result != GALENA_OK)
        add_fault (parser, prefix, field->name, result, field->allowed);
    }
}

static bool
is_known (const struct record_field *fields, size_t count, uint32_t schema,
          const char *name)
{
  for (size_t i = 0; i < count; i++)
    if (is_in_schema (&fields[i], schema)
        && strcmp (fields[i].name, name) == 0)
      return true;
  return false;
}

/* Reports the keys of OBJECT that neither FIELDS nor EXTRA (a list that ends
   with NULL) names.  */
static void
check_keys (struct parser *parser, const char *prefix, json_t *object,
            const struct record_field *fields, size_t count,
            const char *const *extra)
{
  const char *name;
  json_t *value;

  json_object_foreach (object, name, value)
  {
    const char *const *known = extra;

    if (is_known (fields, count, parser->schema, name))
      continue;
    while (*known != NULL && strcmp (*known, name) != 0)
      known++;
    if (*known == NULL)
      add_fault (parser, prefix, name, GALENA_ERR_NOT_FOUND,
                 "only the keys of the schema version");
  }
}

static const char *const NO_KEYS[] = { NULL };
static const char *const SERVICE_KEYS[]
    = { "schema", "kinds", "upstreams", NULL };

static void
decode_kinds (struct parser *parser, json_t *list,
              struct galena_service *service)
{
  size_t count = json_array_size (list);

  if (!json_is_array (list) || count == 0 || count > GALENA_KINDS_MAX)
    {
      add_fault (parser, "", "kinds", GALENA_ERR_RANGE, "1 to 16 kinds");
      return;
    }
  service->kind_count = (uint32_t)count;
  for (size_t i = 0; i < count; i++)
    {
      json_t *object = json_array_get (list, i);
      char prefix[GALENA_FAULT_PATH_BYTES / 2];

      snprintf (prefix, sizeof prefix, "kinds[%zu].", i);
      decode_fields (parser, prefix, object, KIND_FIELDS,
                     COUNT_OF (KIND_FIELDS), &service->kinds[i]);
      check_keys (parser, prefix, object, KIND_FIELDS, COUNT_OF (KIND_FIELDS),
                  NO_KEYS);
    }
}

static void
check_kinds (struct parser *parser, const struct galena_service *service)
{
  uint32_t share = 0;

  for (uint32_t i = 0; i < service->kind_count; i++)
    {
      share += service->kinds[i].minimum_share_percent;
      for (uint32_t j = 0; j < i; j++)
        if (service->kinds[i].number == service->kinds[j].number)
          add_fault (parser, "kinds", "", GALENA_ERR_EXISTS, "unique numbers");
    }
  if (share > 100)
    add_fault (parser, "kinds", "", GALENA_ERR_RANGE,
               "minimum shares of at most 100 percent in all");
}

static void
decode_upstreams (struct parser *parser, json_t *list,
                  struct galena_service_record *record)
{
  size_t count = json_array_size (list);

  if (!json_is_array (list) || count > UPSTREAMS_MAX)
    {
      add_fault (parser, "", "upstreams", GALENA_ERR_RANGE,
                 "a list of at most 4096 upstreams");
      return;
    }
  record->upstreams = calloc (count + 1, sizeof *record->upstreams);
  /* Reported by galena_record_parse.  */
  if (record->upstreams == NULL)
    return;
  record->service.upstream_count = (uint32_t)count;
  for (size_t i = 0; i < count; i++)
    {
      json_t *object = json_array_get (list, i);
      char prefix[GALENA_FAULT_PATH_BYTES / 2];

      record->upstreams[i].weight = 1;
      snprintf (prefix, sizeof prefix, "upstreams[%zu].", i);
      decode_fields (parser, prefix, object, UPSTREAM_FIELDS,
                     COUNT_OF (UPSTREAM_FIELDS), &record->upstreams[i]);
      check_keys (parser, prefix, object, UPSTREAM_FIELDS,
                  COUNT_OF (UPSTREAM_FIELDS), NO_KEYS);
    }
}

static int
compare_numbers (const void *a, const void *b)
{
  uint32_t first = *(const uint32_t *)a;
  uint32_t second = *(const uint32_t *)b;

  return (first > second) - (first < second);
}

static void
check_upstreams (struct parser *parser,
                 const struct galena_service_record *record)
{
  uint32_t count = record->service.upstream_count;
  uint32_t *numbers = calloc (count + 1, sizeof *numbers);

  if (numbers == NULL)
    return;
  for (uint32_t i = 0; i < count; i++)
    numbers[i] = record->upstreams[i].number;
  qsort (numbers, count, sizeof *numbers, compare_numbers);
  for (uint32_t i = 1; i < count; i++)
    if (numbers[i] == numbers[i - 1])
      add_fault (parser, "upstreams", "", GALENA_ERR_EXISTS, "unique numbers");
  free (numbers);
}

static void
decode_schema (struct parser *parser, const json_t *root)
{
  json_int_t schema = json_integer_value (json_object_get (root, "schema"));

  parser->schema = (uint32_t)schema;
  if (schema >= GALENA_RECORD_SCHEMA_FIRST
      && schema <= GALENA_RECORD_SCHEMA_LAST)
    return;
  parser->schema = GALENA_RECORD_SCHEMA_LAST;
  add_fault (parser, "", "schema", GALENA_ERR_SCHEMA, "1 or 2");
}

static json_t *
load_object (const char *text, size_t size, struct galena_faults *faults,
             enum galena_result *result)
{
  struct parser parser = { GALENA_RECORD_SCHEMA_LAST, faults };
  json_t *root;

  faults->count = 0;
  *result = GALENA_OK;
  if (size > GALENA_RECORD_BYTES_MAX)
    {
      *result = GALENA_ERR_TOO_LARGE;
      return NULL;
    }
  root = json_loadb (text, size, JSON_REJECT_DUPLICATES, NULL);
  if (json_is_object (root))
    return root;
  json_decref (root);
  add_fault (&parser, "", "", GALENA_ERR_TYPE, "a JSON object");
  *result = GALENA_ERR_INVALID;
  return NULL;
}

enum galena_result
galena_record_parse (const char *text, size_t size,
                     struct galena_service_record *record,
                     struct galena_faults *faults)
{
  struct parser parser = { 0, faults };
  enum galena_result result;
  json_t *root = load_object (text, size, faults, &result);

  memset (record, 0, sizeof *record);
  if (root == NULL)
    return result;
  decode_schema (&parser, root);
  decode_fields (&parser, "", root, SERVICE_FIELDS, COUNT_OF (SERVICE_FIELDS),
                 &record->service);
  check_keys (&parser, "", root, SERVICE_FIELDS, COUNT_OF (SERVICE_FIELDS),
              SERVICE_KEYS);
  decode_kinds (&parser, json_object_get (root, "kinds"), &record->service);
  decode_upstreams (&parser, json_object_get (root, "upstreams"), record);
  check_kinds (&parser, &record->service);
  check_upstreams (&parser, record);
  record->service.schema = parser.schema;
  record->service.digest = galena_record_digest (text, size);
  json_decref (root);
  if (faults->count == 0 && record->upstreams != NULL)
    return GALENA_OK;
  galena_record_release (record);
  return faults->count == 0 ? GALENA_ERR_MEMORY : GALENA_ERR_INVALID;
}

void
galena_record_release (struct galena_service_record *record)
{
  free (record->upstreams);
  record->upstreams = NULL;
}

uint64_t
galena_record_digest (const char *text, size_t size)
{
  return XXH64 (text, size, 0);
}

static const struct record_field INDEX_FIELDS[] = {
  { "name", FIELD_NAME, offsetof (struct galena_index_row, name), ALL_SCHEMAS,
    true, 0, 0, "a name of 1 to 31 bytes" },
  { "number", FIELD_NUMBER32, offsetof (struct galena_index_row, number),
    ALL_SCHEMAS, true, 1, SERVICE_NUMBER_MAX, "1 to 1000000" },
  { "generation", FIELD_NUMBER64,
    offsetof (struct galena_index_row, generation), ALL_SCHEMAS, true, 1,
    INT64_MAX, "1 or more" },
};

static const struct record_field INDEX_HEADER_FIELDS[] = {
  { "era", FIELD_NUMBER64, offsetof (struct galena_index_record, era),
    ALL_SCHEMAS, false, 0, GALENA_ERA_MAX, "0 to 1023" },
  { "generation", FIELD_NUMBER64,
    offsetof (struct galena_index_record, generation), ALL_SCHEMAS, true, 1,
    INT64_MAX, "1 or more" },
};

static void
decode_index_rows (struct parser *parser, json_t *list,
                   struct galena_index_record *index)
{
  size_t count = json_array_size (list);

  if (!json_is_array (list) || count > SERVICES_MAX)
    {
      add_fault (parser, "", "services", GALENA_ERR_RANGE,
                 "a list of at most 4096 services");
      return;
    }
  index->rows = calloc (count + 1, sizeof *index->rows);
  if (index->rows == NULL)
    return;
  index->count = (uint32_t)count;
  for (size_t i = 0; i < count; i++)
    {
      char prefix[GALENA_FAULT_PATH_BYTES / 2];

      snprintf (prefix, sizeof prefix, "services[%zu].", i);
      decode_fields (parser, prefix, json_array_get (list, i), INDEX_FIELDS,
                     COUNT_OF (INDEX_FIELDS), &index->rows[i]);
    }
}

enum galena_result
galena_index_parse (const char *text, size_t size,
                    struct galena_index_record *index,
                    struct galena_faults *faults)
{
  struct parser parser = { 0, faults };
  enum galena_result result;
  json_t *root = load_object (text, size, faults, &result);

  memset (index, 0, sizeof *index);
  if (root == NULL)
    return result;
  decode_schema (&parser, root);
  decode_fields (&parser, "", root, INDEX_HEADER_FIELDS,
                 COUNT_OF (INDEX_HEADER_FIELDS), index);
  decode_index_rows (&parser, json_object_get (root, "services"), index);
  json_decref (root);
  if (faults->count == 0 && index->rows != NULL)
    return GALENA_OK;
  galena_index_release (index);
  return faults->count == 0 ? GALENA_ERR_MEMORY : GALENA_ERR_INVALID;
}

void
galena_index_release (struct galena_index_record *index)
{
  free (index->rows);
  index->rows = NULL;
}
