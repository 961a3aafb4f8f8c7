/* Parsing of lists of instances: valid lists are parsed and malformed ones
   rejected.  */

#include <string.h>

#include <glib.h>

#include <galenaford/instances.h>
#include <galenaford/random.h>

enum
{
  ROUNDS = 20000,
  TEXT_MAX = 512
};

struct instances_case
{
  const char *name;
  const char *text;
  enum galena_result result;
  uint32_t count;
  uint32_t leaving;
};

#define HEAD "{\"generation\": 3, \"total\": 9, \"instances\": ["
#define LEAVING                                                               \
  "{\"role\": \"agent\", \"address\": \"127.0.0.1:7100\", \"upstream\": 4, "  \
  "\"state\": \"leaving\"}"

static const struct instances_case CASES[] = {
  { "/instances/empty", HEAD "]}", GALENA_OK, 0, 0 },
  { "/instances/leaving", HEAD LEAVING "]}", GALENA_OK, 1, 1 },
  { "/instances/entry",
    HEAD "{\"role\": \"entry\", \"address\": \"127.0.0.1:7000\", "
         "\"state\": \"live\"}, " LEAVING "]}",
    GALENA_OK, 2, 1 },
  { "/instances/era",
    "{\"era\": 1023, \"generation\": 9007199254740991, \"total\": 9, "
    "\"instances\": []}",
    GALENA_OK, 0, 0 },
  { "/instances/era-too-high",
    "{\"era\": 1024, \"generation\": 3, \"total\": 9, \"instances\": []}",
    GALENA_ERR_INVALID, 0, 0 },
  { "/instances/era-negative",
    "{\"era\": -1, \"generation\": 3, \"total\": 9, \"instances\": []}",
    GALENA_ERR_INVALID, 0, 0 },
  { "/instances/era-word",
    "{\"era\": \"two\", \"generation\": 3, \"total\": 9, "
    "\"instances\": []}",
    GALENA_ERR_INVALID, 0, 0 },
  { "/instances/generation-too-high",
    "{\"generation\": 9007199254740992, \"total\": 9, \"instances\": []}",
    GALENA_ERR_INVALID, 0, 0 },
  { "/instances/no-json", "[", GALENA_ERR_INVALID, 0, 0 },
  { "/instances/no-list", "{\"generation\": 3, \"total\": 9}",
    GALENA_ERR_INVALID, 0, 0 },
  { "/instances/no-generation", "{\"total\": 9, \"instances\": []}",
    GALENA_ERR_INVALID, 0, 0 },
  { "/instances/unknown-state",
    HEAD "{\"role\": \"agent\", \"address\": \"127.0.0.1:7100\", "
         "\"state\": \"new\"}]}",
    GALENA_ERR_INVALID, 0, 0 },
  { "/instances/no-address",
    HEAD "{\"role\": \"agent\", \"state\": \"live\"}]}", GALENA_ERR_INVALID, 0,
    0 },
  { "/instances/negative-upstream",
    HEAD "{\"role\": \"agent\", \"address\": \"127.0.0.1:7100\", "
         "\"upstream\": -1, \"state\": \"live\"}]}",
    GALENA_ERR_INVALID, 0, 0 },
};

static void
run_case (gconstpointer data)
{
  const struct instances_case *test = data;
  struct galena_instance_list list;
  uint32_t leaving = 0;

  g_assert_cmpint (
      galena_instances_parse (test->text, strlen (test->text), &list), ==,
      test->result);
  g_assert_cmpuint (list.count, ==, test->count);
  for (uint32_t i = 0; i < list.count; i++)
    leaving += list.rows[i].leaving;
  g_assert_cmpuint (leaving, ==, test->leaving);
  galena_instances_release (&list);
}

/* Changes one to three random bytes; a list that is accepted must still have
   its rows.  */
static void
run_mutated (gconstpointer data)
{
  const struct instances_case *test = data;
  struct galena_random random = { .seed = 1 };
  uint32_t size = (uint32_t)strlen (test->text);

  for (uint32_t round = 0; round < ROUNDS; round++)
    {
      struct galena_instance_list list;
      char text[TEXT_MAX];

      memcpy (text, test->text, size);
      for (uint32_t i = 0; i <= round % 3; i++)
        text[galena_random_below (&random, size)]
            = (char)galena_random_next (&random);
      if (galena_instances_parse (text, size, &list) == GALENA_OK)
        g_assert_nonnull (list.rows);
      galena_instances_release (&list);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    {
      char *mutated = g_strconcat (CASES[i].name, "-mutated", NULL);

      g_test_add_data_func (CASES[i].name, &CASES[i], run_case);
      g_test_add_data_func (mutated, &CASES[i], run_mutated);
      g_free (mutated);
    }
  return g_test_run ();
}
