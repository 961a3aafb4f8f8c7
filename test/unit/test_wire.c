/* The datagram codec and the record parser, with valid, invalid and mutated
   input.  */

#include <glib.h>
#include <string.h>

#include <galenaford/random.h>
#include <galenaford/record.h>
#include <galenaford/wire.h>

static const struct galena_message LARGE_MESSAGE = {
  .type = GALENA_MESSAGE_REQUEST,
  .service = { 0x7f0a000a, 700 },
  .caller = { 0x7f000001, 65535 },
  .entry = { 0x7f000002, 1 },
  .flow = { UINT64_MAX, 1 },
  .tag = UINT64_MAX - 1,
  .generation = 1ull << 40,
  .request = UINT32_MAX,
  .kind = 15,
  .hops = 255,
  .overload = 7,
  .part = 9,
  .total = GALENA_TOTAL_UNKNOWN,
  .deadline_ms = 1000,
  .wait_ms = 5,
  .result = GALENA_UNKNOWN_OUTCOME,
  .body = (const uint8_t *)"body",
  .body_size = 4,
};

static void
check_round_trip (void)
{
  struct galena_message back;
  uint8_t bytes[GALENA_DATAGRAM_BYTES_MAX];
  size_t size;

  g_assert_cmpint (
      galena_wire_encode (&LARGE_MESSAGE, bytes, sizeof bytes, &size), ==,
      GALENA_OK);
  g_assert_cmpint (galena_wire_decode (bytes, size, &back), ==, GALENA_OK);
  g_assert_cmpmem (back.body, back.body_size, "body", 4);
  back.body = LARGE_MESSAGE.body;
  g_assert_cmpmem (&back.flow, sizeof back.flow, &LARGE_MESSAGE.flow,
                   sizeof LARGE_MESSAGE.flow);
  g_assert_cmpuint (back.tag, ==, LARGE_MESSAGE.tag);
  g_assert_cmpuint (back.generation, ==, LARGE_MESSAGE.generation);
  g_assert_cmpuint (back.total, ==, LARGE_MESSAGE.total);
  g_assert_cmpuint (back.caller.port, ==, LARGE_MESSAGE.caller.port);
  g_assert_cmpint (back.result, ==, LARGE_MESSAGE.result);
  g_assert_cmpint (galena_wire_encode (&LARGE_MESSAGE, bytes, size - 1, &size),
                   ==, GALENA_ERR_TOO_LARGE);
}

struct bad_datagram_case
{
  const char *name;
  /* Byte AT of a valid datagram becomes VALUE; the datagram is truncated to
     SIZE bytes unless SIZE is 0.  */
  size_t at;
  uint8_t value;
  size_t size;
  enum galena_result expect;
};

static const struct bad_datagram_case BAD_DATAGRAM_CASES[] = {
  { "/wire/bad/truncated", 0, 0xdc, 10, GALENA_ERR_TRUNCATED },
  { "/wire/bad/schema", 3, 99, 0, GALENA_ERR_SCHEMA },
  { "/wire/bad/type-none", 4, 0, 0, GALENA_ERR_RANGE },
  /* A type that stays inside a process.  */
  { "/wire/bad/type-private", 4, 20, 0, GALENA_ERR_RANGE },
  { "/wire/bad/not-an-array", 0, 0x01, 1, GALENA_ERR_TYPE },
  { "/wire/bad/claims-many-items", 0, 0xdd, 0, GALENA_ERR_TOO_LARGE },
  { "/wire/bad/nested-array", 4, 0x91, 0, GALENA_ERR_TYPE },
  { "/wire/bad/nested-map", 4, 0x81, 0, GALENA_ERR_TYPE },
  /* Nil replaces the type byte of the bit set of fields: its two value bytes
     then count as items, and the last two items are left over.  */
  { "/wire/bad/field-type", 5, 0xc0, 0, GALENA_ERR_TOO_LARGE },
};

static void
run_bad_datagram_case (gconstpointer data)
{
  const struct bad_datagram_case *test = data;
  struct galena_message message;
  uint8_t bytes[GALENA_DATAGRAM_BYTES_MAX];
  size_t size;

  galena_wire_encode (&LARGE_MESSAGE, bytes, sizeof bytes, &size);
  bytes[test->at] = test->value;
  if (test->size != 0)
    size = test->size;
  g_assert_cmpint (galena_wire_decode (bytes, size, &message), ==,
                   test->expect);
}

/* A message in which only one field is set, to its largest value.  */
struct field_case
{
  const char *name;
  size_t offset;
  size_t size;
};

#define FIELD_CASE(name, member)                                              \
  {                                                                           \
    "/wire/field/" name, offsetof (struct galena_message, member),            \
        sizeof (((struct galena_message *)0)->member)                         \
  }

static const struct field_case FIELD_CASES[] = {
  FIELD_CASE ("service-ip", service.ip),
  FIELD_CASE ("service-port", service.port),
  FIELD_CASE ("flow-high", flow.high),
  FIELD_CASE ("flow-low", flow.low),
  FIELD_CASE ("tag", tag),
  FIELD_CASE ("generation", generation),
  FIELD_CASE ("request", request),
  FIELD_CASE ("kind", kind),
  FIELD_CASE ("part", part),
  FIELD_CASE ("total", total),
  FIELD_CASE ("deadline", deadline_ms),
  FIELD_CASE ("result", result),
  FIELD_CASE ("caller-ip", caller.ip),
  FIELD_CASE ("caller-port", caller.port),
  FIELD_CASE ("entry-ip", entry.ip),
  FIELD_CASE ("entry-port", entry.port),
  FIELD_CASE ("hops", hops),
  FIELD_CASE ("overload", overload),
  FIELD_CASE ("wait", wait_ms),
  FIELD_CASE ("queue", queue),
  FIELD_CASE ("unrouted", hash_routed),
  FIELD_CASE ("resume", resume),
  FIELD_CASE ("service-number", service_number),
};

static void
run_field_case (gconstpointer data)
{
  const struct field_case *test = data;
  struct galena_message message;
  struct galena_message back;
  uint8_t bytes[GALENA_DATAGRAM_BYTES_MAX];
  size_t size;

  memset (&message, 0, sizeof message);
  message.type = GALENA_MESSAGE_REQUEST;
  memset ((char *)&message + test->offset, 0xff, test->size);
  galena_wire_encode (&message, bytes, sizeof bytes, &size);
  g_assert_cmpint (galena_wire_decode (bytes, size, &back), ==, GALENA_OK);
  back.body = NULL;
  g_assert_cmpmem (&back, sizeof back, &message, sizeof message);
}

/* A datagram: schema version, type, bit set of the fields present, and what
   follows.  */
struct present_case
{
  const char *name;
  uint8_t bytes[12];
  size_t size;
  enum galena_result expect;
};

static const struct present_case PRESENT_CASES[] = {
  { "/wire/present/none",
    { 0x94, GALENA_WIRE_SCHEMA, 4, 0, 0xc4, 0 },
    6,
    GALENA_OK },
  { "/wire/present/head-only",
    { 0x92, GALENA_WIRE_SCHEMA, 4 },
    3,
    GALENA_ERR_TRUNCATED },
  { "/wire/present/item-missing",
    { 0x94, GALENA_WIRE_SCHEMA, 4, 1, 0xc4, 0 },
    6,
    GALENA_ERR_TRUNCATED },
  { "/wire/present/item-left-over",
    { 0x95, GALENA_WIRE_SCHEMA, 4, 0, 1, 0xc4, 0 },
    7,
    GALENA_ERR_TOO_LARGE },
  { "/wire/present/unknown-field",
    { 0x95, GALENA_WIRE_SCHEMA, 4, 0xce, 0x80, 0, 0, 0, 1, 0xc4, 0 },
    11,
    GALENA_ERR_RANGE },
  { "/wire/present/not-a-number",
    { 0x94, GALENA_WIRE_SCHEMA, 4, 0xc0, 0xc4, 0 },
    6,
    GALENA_ERR_TYPE },
};

static void
run_present_case (gconstpointer data)
{
  const struct present_case *test = data;
  struct galena_message message;

  g_assert_cmpint (galena_wire_decode (test->bytes, test->size, &message), ==,
                   test->expect);
}

struct record_case
{
  const char *name;
  /* FIND in a valid record is replaced by PUT.  */
  const char *find;
  const char *put;
  /* Path of the only fault; NULL when the record is valid.  */
  const char *fault;
};

static const char RECORD[]
    = "{\"schema\":2,\"service\":\"desk\",\"number\":1,\"generation\":3,"
      "\"address\":\"127.0.0.1:700\",\"kinds\":[{\"name\":\"feed\","
      "\"number\":0,\"urgency\":0,\"idempotent\":true,\"deadline_ms\":1000}],"
      "\"upstreams\":[{\"number\":7,\"host\":\"h\",\"zone\":\"z\","
      "\"agent\":\"127.0.0.1:7100\",\"slots\":3,\"connections\":2000}]}";

static const struct record_case RECORD_CASES[] = {
  { "/record/good", "", "", NULL },
  { "/record/schema-1", "\"schema\":2", "\"schema\":1", NULL },
  { "/record/schema-3", "\"schema\":2", "\"schema\":3", "schema" },
  { "/record/no-generation", "\"generation\":3,", "", "generation" },
  { "/record/generation-0", "\"generation\":3", "\"generation\":0",
    "generation" },
  { "/record/unknown-key", "\"number\":1", "\"number\":1,\"x\":1", "x" },
  { "/record/bad-address", "127.0.0.1:700\"", "127.0.0.1\"", "address" },
  { "/record/slots-0", "\"slots\":3", "\"slots\":0", "upstreams[0].slots" },
  { "/record/slots-text", "\"slots\":3", "\"slots\":\"3\"",
    "upstreams[0].slots" },
  { "/record/upstream-number", "\"number\":7", "\"number\":1048576",
    "upstreams[0].number" },
  { "/record/weight-in-schema-1", "\"schema\":2,\"service\":\"desk\"",
    "\"schema\":1,\"service\":\"desk\",\"weight\":1", "weight" },
  { "/record/not-json", "{\"schema\"", "{schema", "" },
};

static char *
replace (const char *text, const char *find, const char *put)
{
  char **pieces;
  char *result;

  if (*find == '\0')
    return g_strdup (text);
  pieces = g_strsplit (text, find, 2);
  result = g_strjoinv (put, pieces);
  g_strfreev (pieces);
  return result;
}

static void
run_record_case (gconstpointer data)
{
  const struct record_case *test = data;
  struct galena_service_record record;
  struct galena_faults faults;
  char *text = replace (RECORD, test->find, test->put);
  enum galena_result result
      = galena_record_parse (text, strlen (text), &record, &faults);

  if (test->fault == NULL)
    {
      g_assert_cmpint (result, ==, GALENA_OK);
      g_assert_cmpuint (record.upstreams[0].number, ==, 7);
      galena_record_release (&record);
    }
  else
    {
      g_assert_cmpint (result, ==, GALENA_ERR_INVALID);
      g_assert_cmpuint (faults.count, ==, 1);
      g_assert_cmpstr (faults.rows[0].path, ==, test->fault);
    }
  g_free (text);
}

enum
{
  MUTATIONS = 20000
};

/* Changes a few bytes, and truncates some inputs.  Returns the new size.  */
static size_t
mutate (struct galena_random *random, uint8_t *bytes, size_t size)
{
  uint32_t changes = 1 + galena_random_below (random, 4);

  for (uint32_t i = 0; i < changes; i++)
    bytes[galena_random_below (random, (uint32_t)size)]
        = (uint8_t)galena_random_next (random);
  if (galena_random_below (random, 4) == 0)
    size = galena_random_below (random, (uint32_t)size + 1);
  return size;
}

static void
check_mutations (void)
{
  struct galena_random random = { 7, 0 };
  struct galena_message message;
  struct galena_service_record record;
  struct galena_faults faults;

  for (int i = 0; i < MUTATIONS; i++)
    {
      uint8_t bytes[GALENA_DATAGRAM_BYTES_MAX];
      size_t size;

      galena_wire_encode (&LARGE_MESSAGE, bytes, sizeof bytes, &size);
      size = mutate (&random, bytes, size);
      if (galena_wire_decode (bytes, size, &message) == GALENA_OK)
        g_assert_cmpuint (message.body_size, <=, GALENA_PART_BYTES);
      memcpy (bytes, RECORD, sizeof RECORD);
      size = mutate (&random, bytes, sizeof RECORD - 1);
      if (galena_record_parse ((char *)bytes, size, &record, &faults)
          == GALENA_OK)
        galena_record_release (&record);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/wire/round-trip", check_round_trip);
  g_test_add_func ("/wire/mutations", check_mutations);
  for (size_t i = 0; i < G_N_ELEMENTS (BAD_DATAGRAM_CASES); i++)
    g_test_add_data_func (BAD_DATAGRAM_CASES[i].name, &BAD_DATAGRAM_CASES[i],
                          run_bad_datagram_case);
  for (size_t i = 0; i < G_N_ELEMENTS (FIELD_CASES); i++)
    g_test_add_data_func (FIELD_CASES[i].name, &FIELD_CASES[i],
                          run_field_case);
  for (size_t i = 0; i < G_N_ELEMENTS (PRESENT_CASES); i++)
    g_test_add_data_func (PRESENT_CASES[i].name, &PRESENT_CASES[i],
                          run_present_case);
  for (size_t i = 0; i < G_N_ELEMENTS (RECORD_CASES); i++)
    g_test_add_data_func (RECORD_CASES[i].name, &RECORD_CASES[i],
                          run_record_case);
  return g_test_run ();
}
