/* Tables in the documentation match the tables in the code: the same rows in
   the same order.  */

#include <glib.h>
#include <string.h>

#include <galenaford/operator.h>
#include <galenaford/plane.h>
#include <galenaford/settings.h>
#include <galenaford/stats.h>

/* Writes to ROW the row that the page must have for item INDEX of the code, up
   to the columns that only the page has; returns false past the last
   item.  */
typedef bool row_writer (uint32_t index, char *row, size_t size);

struct page_case
{
  const char *name;
  const char *page;
  /* Header line of the table, with enough text before it to be unique.  */
  const char *header;
  row_writer *write;
  /* Number of columns that only the page has.  */
  uint32_t own_columns;
};

static bool
write_setting (uint32_t index, char *row, size_t size)
{
  const struct galena_setting *setting = galena_setting_at (index);
  char allowed[GALENA_SETTING_BYTES];
  char default_value[GALENA_SETTING_BYTES];

  if (setting == NULL)
    return false;
  galena_setting_allowed (setting, allowed, sizeof allowed);
  if (setting->default_value == NULL)
    g_strlcpy (default_value, "required", sizeof default_value);
  else if (*setting->default_value == '\0')
    g_strlcpy (default_value, "empty", sizeof default_value);
  else
    g_snprintf (default_value, sizeof default_value, "`%s`",
                setting->default_value);
  g_snprintf (row, size, "| `%s` | `%s` | %s | %s | %s |", setting->section,
              setting->key, default_value, allowed, setting->description);
  return true;
}

static bool
write_result (uint32_t index, char *row, size_t size)
{
  static const enum galena_result CODES[] = {
#define CODE(name, number, text, description) name,
    GALENA_RESULTS (CODE)
#undef CODE
  };

  if (index >= G_N_ELEMENTS (CODES))
    return false;
  g_snprintf (row, size, "| %d | `%s` | %s |", CODES[index],
              galena_result_name (CODES[index]),
              galena_result_description (CODES[index]));
  return true;
}

static bool
write_counter (uint32_t index, char *row, size_t size)
{
  if (index >= GALENA_COUNTER_COUNT)
    return false;
  g_snprintf (row, size, "| `%s` | %s |",
              galena_counter_name ((enum galena_counter)index),
              galena_counter_description ((enum galena_counter)index));
  return true;
}

static bool
write_kind_counter (uint32_t index, char *row, size_t size)
{
  if (index >= GALENA_KIND_COUNTER_COUNT)
    return false;
  g_snprintf (
      row, size, "| `%s` | %s |",
      galena_kind_counter_name ((enum galena_kind_counter)index),
      galena_kind_counter_description ((enum galena_kind_counter)index));
  return true;
}

static bool
write_plane_counter (uint32_t index, char *row, size_t size)
{
  if (index >= GALENA_PLANE_COUNTER_COUNT)
    return false;
  g_snprintf (
      row, size, "| `%s` | %s |",
      galena_plane_counter_name ((enum galena_plane_counter)index),
      galena_plane_counter_description ((enum galena_plane_counter)index));
  return true;
}

static bool
write_plane_histogram (uint32_t index, char *row, size_t size)
{
  enum galena_plane_histogram histogram = (enum galena_plane_histogram)index;

  if (index >= GALENA_PLANE_HISTOGRAM_COUNT)
    return false;
  g_snprintf (row, size, "| `%s` | %s |",
              galena_plane_histogram_name (histogram),
              galena_plane_histogram_description (histogram));
  return true;
}

static bool
write_plane_event (uint32_t index, char *row, size_t size)
{
  enum galena_plane_event event = (enum galena_plane_event)index;

  if (index >= GALENA_PLANE_EVENT_COUNT)
    return false;
  g_snprintf (row, size, "| `%s` | %s |", galena_plane_event_name (event),
              galena_plane_event_description (event));
  return true;
}

static bool
write_event (uint32_t index, char *row, size_t size)
{
  if (index >= GALENA_AUDIT_EVENT_COUNT)
    return false;
  g_snprintf (row, size, "| `%s` | %s |",
              galena_audit_event_name ((enum galena_audit_event)index),
              galena_audit_event_description ((enum galena_audit_event)index));
  return true;
}

static bool
write_field (uint32_t index, char *row, size_t size)
{
  for (int type = GALENA_ROW_STATUS; type < GALENA_ROW_TYPE_END; type++)
    {
      const struct galena_operator_field *field;
      uint32_t count = 0;

      while ((field = galena_operator_field (type, count)) != NULL
             && count < index)
        count++;
      if (field == NULL)
        {
          index -= count;
          continue;
        }
      g_snprintf (row, size, "| `%s` | `%s` | %s |",
                  galena_operator_type_name (type), field->name,
                  field->description);
      return true;
    }
  return false;
}

static const struct page_case CASES[] = {
  { "/pages/settings", "docs/SETTINGS.md",
    "| section | key | default | allowed | meaning |", write_setting, 0 },
  { "/pages/results", "docs/ERRORS.md",
    "| number | word | meaning | what to do |", write_result, 1 },
  { "/pages/counters", "docs/COUNTERS.md",
    "## Events (group `event`)\n\n"
    "| counter | meaning | when it rises |",
    write_counter, 1 },
  { "/pages/kind-counters", "docs/COUNTERS.md",
    "131071 at most.\n\n"
    "| counter | meaning | when it rises |",
    write_kind_counter, 1 },
  { "/pages/plane-counters", "docs/COUNTERS.md",
    "count calls to the platform.\n\n| counter | meaning |",
    write_plane_counter, 0 },
  { "/pages/plane-histograms", "docs/COUNTERS.md", "| histogram | meaning |",
    write_plane_histogram, 0 },
  { "/pages/plane-events", "docs/COUNTERS.md", "| log event | meaning |",
    write_plane_event, 0 },
  { "/pages/events", "docs/AUDIT.md",
    "| event | meaning | `generation` holds | what to do |", write_event, 2 },
  { "/pages/fields", "docs/GALENACTL.md", "| command | field | meaning |",
    write_field, 0 },
};

/* Returns the rows of the table below the header and its line of dashes.  */
static char **
read_rows (const struct page_case *test)
{
  char *path = g_build_filename (GALENA_SOURCE_DIR, test->page, NULL);
  char *text;
  char *start;
  char *end;
  char **rows;

  g_assert_true (g_file_get_contents (path, &text, NULL, NULL));
  start = strstr (text, test->header);
  g_assert_nonnull (start);
  start = strstr (start + strlen (test->header), "|\n");
  g_assert_nonnull (start);
  start += 2;
  end = strstr (start, "\n\n");
  if (end != NULL)
    *end = '\0';
  rows = g_strsplit (g_strchomp (start), "\n", -1);
  g_free (text);
  g_free (path);
  return rows;
}

static uint32_t
count_columns (const char *row)
{
  uint32_t bars = 0;

  for (; *row != '\0'; row++)
    bars += *row == '|';
  return bars - 1;
}

static void
run_page_case (gconstpointer data)
{
  const struct page_case *test = data;
  char **rows = read_rows (test);
  char expect[1024];
  uint32_t count = 0;

  while (test->write (count, expect, sizeof expect))
    {
      g_assert_cmpuint (count, <, g_strv_length (rows));
      if (!g_str_has_prefix (rows[count], expect))
        g_assert_cmpstr (rows[count], ==, expect);
      g_assert_cmpuint (count_columns (rows[count]), ==,
                        count_columns (expect) + test->own_columns);
      count++;
    }
  g_assert_cmpuint (g_strv_length (rows), ==, count);
  g_strfreev (rows);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    g_test_add_data_func (CASES[i].name, &CASES[i], run_page_case);
  return g_test_run ();
}
