/* The codec of operator rows, with valid, invalid and mutated input.  */

#include <glib.h>
#include <string.h>

#include <galenaford/operator.h>
#include <galenaford/random.h>

/* Returns a row of TYPE with a value in every field.  */
static struct galena_operator_row
make_row (enum galena_operator_type type)
{
  struct galena_operator_row row;
  const struct galena_operator_field *field;

  memset (&row, 0, sizeof row);
  row.type = type;
  for (uint32_t i = 0; (field = galena_operator_field (type, i)) != NULL; i++)
    {
      char *at = (char *)&row + field->offset;
      uint64_t number = UINT64_MAX - i;

      if (field->is_text)
        memset (at, 'a' + (int)(i % 26), i % GALENA_NAME_BYTES);
      else
        memcpy (at, &number, sizeof number);
    }
  return row;
}

static void
run_round_trip_case (gconstpointer data)
{
  enum galena_operator_type type = GPOINTER_TO_INT (data);
  struct galena_operator_row row = make_row (type);
  struct galena_operator_row back;
  uint8_t bytes[GALENA_OPERATOR_ROW_BYTES_MAX];
  size_t size;
  size_t cut;

  g_assert_cmpint (galena_operator_encode (&row, bytes, sizeof bytes, &size),
                   ==, GALENA_OK);
  g_assert_cmpint (galena_operator_decode (bytes, size, &back), ==, GALENA_OK);
  g_assert_cmpmem (&back, sizeof back, &row, sizeof row);
  for (cut = 0; cut < size; cut++)
    g_assert_cmpint (galena_operator_decode (bytes, cut, &back), ==,
                     GALENA_ERR_TRUNCATED);
  g_assert_cmpint (galena_operator_encode (&row, bytes, size - 1, &cut), ==,
                   GALENA_ERR_TOO_LARGE);
}

struct bad_row_case
{
  const char *name;
  const char *bytes;
  size_t size;
  enum galena_result expect;
};

static const struct bad_row_case BAD_ROW_CASES[] = {
  { "/operator/bad/empty", "", 0, GALENA_ERR_TRUNCATED },
  { "/operator/bad/no-head", "\x91\x01", 2, GALENA_ERR_TRUNCATED },
  { "/operator/bad/schema", "\x94\x63\x01\x03\x00", 5, GALENA_ERR_SCHEMA },
  { "/operator/bad/type", "\x94\x01\x63\x03\x00", 5, GALENA_ERR_RANGE },
  { "/operator/bad/no-type", "\x94\x01\x00\x03\x00", 5, GALENA_ERR_RANGE },
  { "/operator/bad/few-fields", "\x93\x01\x01\x03", 4, GALENA_ERR_TRUNCATED },
  { "/operator/bad/many-fields", "\x95\x01\x01\x03\x00\x00", 6,
    GALENA_ERR_TOO_LARGE },
  { "/operator/bad/field-type", "\x94\x01\x01\xc4\x00\x00", 6,
    GALENA_ERR_TYPE },
  { "/operator/bad/claims-many", "\xdd\xff\xff\xff\xff", 5,
    GALENA_ERR_TOO_LARGE },
};

static void
run_bad_row_case (gconstpointer data)
{
  const struct bad_row_case *test = data;
  struct galena_operator_row row;

  g_assert_cmpint (
      galena_operator_decode ((const uint8_t *)test->bytes, test->size, &row),
      ==, test->expect);
}

/* Decoding mutated rows stays within the bounds of its buffers.  */
static void
check_random (void)
{
  struct galena_random random = { .seed = 7 };
  uint8_t bytes[GALENA_OPERATOR_ROW_BYTES_MAX];
  size_t size;

  for (uint32_t i = 0; i < 20000; i++)
    {
      struct galena_operator_row row
          = make_row (GALENA_ROW_QUERY
                      + galena_random_below (&random, GALENA_ROW_TYPE_END
                                                          - GALENA_ROW_QUERY));
      struct galena_operator_row back;

      galena_operator_encode (&row, bytes, sizeof bytes, &size);
      for (uint32_t n = galena_random_below (&random, 4) + 1; n > 0; n--)
        bytes[galena_random_below (&random, (uint32_t)size)]
            = (uint8_t)galena_random_next (&random);
      if (galena_operator_decode (bytes, size, &back) == GALENA_OK)
        g_assert_nonnull (galena_operator_type_name (back.type));
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (int type = GALENA_ROW_QUERY; type < GALENA_ROW_TYPE_END; type++)
    {
      char *name = g_strdup_printf ("/operator/round-trip/%s",
                                    galena_operator_type_name (type));
      g_test_add_data_func (name, GINT_TO_POINTER (type), run_round_trip_case);
      g_free (name);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (BAD_ROW_CASES); i++)
    g_test_add_data_func (BAD_ROW_CASES[i].name, &BAD_ROW_CASES[i],
                          run_bad_row_case);
  g_test_add_func ("/operator/random", check_random);
  return g_test_run ();
}
