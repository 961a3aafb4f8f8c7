/* Tests of tables, handles and maps.  */

#include <glib.h>

#include <galenaford/map.h>
#include <galenaford/table.h>

struct table_case
{
  const char *name;
  /* '+' inserts a row, '-' removes the oldest one.  */
  const char *steps;
  uint32_t capacity;
  uint32_t expect_count;
  /* Number of inserts that fail because the table is full.  */
  uint32_t expect_full;
};

static const struct table_case TABLE_CASES[] = {
  { "/table/empty", "", 4, 0, 0 },
  { "/table/one", "+", 4, 1, 0 },
  { "/table/reuse", "++--++", 2, 2, 0 },
  { "/table/full", "+++", 2, 2, 1 },
  { "/table/full-then-room", "+++-+", 2, 2, 1 },
};

static void
run_table_case (gconstpointer data)
{
  const struct table_case *test = data;
  struct galena_table_options options = { sizeof (int), test->capacity };
  struct galena_handle handles[16] = { { 0, 0 } };
  struct galena_table *table;
  uint32_t inserted = 0;
  uint32_t removed = 0;
  uint32_t full = 0;

  g_assert_cmpint (galena_table_create (&options, &table), ==, GALENA_OK);
  for (const char *step = test->steps; *step != '\0'; step++)
    {
      if (*step == '-')
        {
          struct galena_handle oldest = handles[removed++];

          g_assert_cmpint (galena_table_remove (table, oldest), ==, GALENA_OK);
          g_assert_null (galena_table_get (table, oldest));
          g_assert_cmpint (galena_table_remove (table, oldest), ==,
                           GALENA_ERR_STALE);
        }
      else if (galena_table_insert (table, &handles[inserted]) == NULL)
        full++;
      else
        inserted++;
    }
  g_assert_cmpuint (galena_table_count (table), ==, test->expect_count);
  g_assert_cmpuint (full, ==, test->expect_full);
  galena_table_destroy (table);
}

struct map_case
{
  const char *name;
  uint64_t seed;
  uint32_t keys;
  /* Keys that are a multiple of this number are removed again.  */
  uint32_t remove_every;
};

static const struct map_case MAP_CASES[] = {
  { "/map/few", 1, 4, 2 },
  { "/map/half", 2, 1000, 2 },
  { "/map/third", 3, 1000, 3 },
  { "/map/all", 4, 1000, 1 },
};

static void
run_map_case (gconstpointer data)
{
  const struct map_case *test = data;
  struct galena_map_options options = { test->keys, test->seed };
  struct galena_map *map;

  g_assert_cmpuint (test->remove_every, >, 0);
  g_assert_cmpint (galena_map_create (&options, &map), ==, GALENA_OK);
  for (uint32_t key = 0; key < test->keys; key++)
    g_assert_cmpint (galena_map_insert (map, key, key * 3), ==, GALENA_OK);
  g_assert_cmpint (galena_map_insert (map, 0, 1), ==, GALENA_ERR_EXISTS);
  g_assert_cmpint (galena_map_insert (map, test->keys, 1), ==,
                   GALENA_ERR_FULL);
  for (uint32_t key = 0; key < test->keys; key += test->remove_every)
    g_assert_cmpint (galena_map_remove (map, key), ==, GALENA_OK);
  for (uint32_t key = 0; key < test->keys; key++)
    {
      uint64_t value = 0;
      bool found = galena_map_find (map, key, &value);

      g_assert_cmpint (found, ==, key % test->remove_every != 0);
      if (found)
        g_assert_cmpuint (value, ==, key * 3);
    }
  galena_map_destroy (map);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (TABLE_CASES); i++)
    g_test_add_data_func (TABLE_CASES[i].name, &TABLE_CASES[i],
                          run_table_case);
  for (size_t i = 0; i < G_N_ELEMENTS (MAP_CASES); i++)
    g_test_add_data_func (MAP_CASES[i].name, &MAP_CASES[i], run_map_case);
  return g_test_run ();
}
