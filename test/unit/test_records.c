/* Checks that the records that are applied, and the snapshot made of them, do
   not depend on the order in which they arrive.  */

#include <glib.h>

#include <galenaford/records.h>

enum
{
  STEPS_MAX = 6,
  AUDIT_ROWS = 64
};

/* A record with one upstream, or without any when UPSTREAM is 0.  */
struct record_step
{
  uint32_t service;
  uint64_t generation;
  uint64_t digest;
  uint32_t address;
  uint32_t upstream;
};

struct records_case
{
  const char *name;
  struct record_step steps[STEPS_MAX];
  /* Expected at the end: the service with address 1 and the one with upstream
     1.  */
  uint32_t address_owner;
  uint32_t upstream_owner;
  /* Expected generation and digest of service 1 at the end.  */
  uint64_t generation;
  uint64_t digest;
  /* Event expected in the audit trail, whatever the order; RECORD_TAKEN is not
     checked.  */
  enum galena_audit_event event;
};

/* In address-moves-up and address-moves-down, an address moves to the service
   with the higher or the lower number.  */
static const struct records_case CASES[] = {
  { "/records/address-moves-up",
    { { 1, 1, 1, 1, 1 }, { 1, 2, 2, 9, 1 }, { 2, 1, 3, 1, 2 } },
    2,
    1,
    2,
    2,
    GALENA_AUDIT_RECORD_TAKEN },
  { "/records/address-moves-down",
    { { 2, 1, 1, 1, 1 }, { 2, 2, 2, 9, 1 }, { 1, 1, 3, 1, 2 } },
    1,
    2,
    1,
    3,
    GALENA_AUDIT_RECORD_TAKEN },
  { "/records/address-claimed-twice",
    { { 1, 1, 1, 1, 1 }, { 2, 1, 2, 1, 2 } },
    1,
    1,
    1,
    1,
    GALENA_AUDIT_RECORD_CLASH },
  { "/records/upstream-claimed-twice",
    { { 1, 1, 1, 1, 1 }, { 2, 1, 2, 9, 1 } },
    1,
    1,
    1,
    1,
    GALENA_AUDIT_RECORD_CLASH },
  { "/records/upstream-moves",
    { { 1, 1, 1, 1, 1 }, { 1, 2, 2, 1, 3 }, { 2, 1, 3, 9, 1 } },
    1,
    2,
    2,
    2,
    GALENA_AUDIT_RECORD_TAKEN },
  { "/records/two-of-one-generation",
    { { 1, 5, 7, 1, 1 }, { 1, 5, 9, 1, 1 } },
    1,
    1,
    5,
    9,
    GALENA_AUDIT_RECORD_CONFLICT },
};

static void
apply (struct galena_records *records, const struct record_step *step)
{
  struct galena_upstream upstream
      = { .number = step->upstream, .slots = 1, .connections = 1 };
  struct galena_service_record record
      = { .service = { .number = step->service,
                       .generation = step->generation,
                       .digest = step->digest,
                       .address = { step->address, 700 },
                       .upstream_count = step->upstream != 0 },
          .upstreams = &upstream };

  galena_records_apply (records, &record, (struct galena_clock){ 1 });
}

static bool
has_event (const struct galena_audit *audit, enum galena_audit_event event)
{
  const struct galena_audit_row *row = galena_audit_find (audit, 1);

  while (row != NULL && row->event != event)
    row = galena_audit_find (audit, row->sequence + 1);
  return row != NULL;
}

static void
check_end (const struct records_case *test, struct galena_records *records)
{
  const struct galena_upstream *upstream;
  const struct galena_service *service;
  struct galena_config *config = NULL;

  g_assert_cmpint (galena_records_snapshot (records, &config), ==, GALENA_OK);
  service
      = galena_config_service_at (config, (struct galena_endpoint){ 1, 700 });
  g_assert_nonnull (service);
  g_assert_cmpuint (service->number, ==, test->address_owner);
  upstream = galena_config_upstream_numbered (config, 1);
  g_assert_nonnull (upstream);
  service = galena_config_service (config, upstream->service);
  g_assert_cmpuint (service->number, ==, test->upstream_owner);
  service = &galena_records_find (records, 1)->service;
  g_assert_cmpuint (service->generation, ==, test->generation);
  g_assert_cmpuint (service->digest, ==, test->digest);
  galena_config_destroy (config);
}

/* Applies the steps in the order given by the digits of ORDER in base
   COUNT.  */
static void
run_order (const struct records_case *test, uint32_t count, uint32_t order)
{
  struct galena_audit_options audit = { AUDIT_ROWS };
  struct galena_records_options options = { 8, NULL };
  struct galena_records *records;

  g_assert_cmpint (galena_audit_create (&audit, &options.audit), ==,
                   GALENA_OK);
  galena_records_create (&options, &records);
  for (uint32_t i = 0; i < count; i++)
    {
      apply (records, &test->steps[order % count]);
      order /= count;
    }
  check_end (test, records);
  if (test->event != GALENA_AUDIT_RECORD_TAKEN)
    g_assert_true (has_event (options.audit, test->event));
  galena_records_destroy (records);
  galena_audit_destroy (options.audit);
}

static bool
is_permutation (uint32_t count, uint32_t order)
{
  uint32_t seen = 0;

  for (uint32_t i = 0; i < count; i++, order /= count)
    seen |= 1U << (order % count);
  return order == 0 && seen == (1U << count) - 1;
}

static void
run_case (gconstpointer data)
{
  const struct records_case *test = data;
  uint32_t count = 0;
  uint32_t orders = 1;

  while (count < STEPS_MAX && test->steps[count].service != 0)
    count++;
  for (uint32_t i = 0; i < count; i++)
    orders *= count;
  for (uint32_t order = 0; order < orders; order++)
    if (is_permutation (count, order))
      run_order (test, count, order);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    g_test_add_data_func (CASES[i].name, &CASES[i], run_case);
  return g_test_run ();
}
