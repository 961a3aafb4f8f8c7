/* galenactl: plan between two records, and printing of sheets.  */

#include <glib.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>

#include "arguments.h"
#include "sheet.h"

/* Edits of the record of spill-desk, in which each FIND is replaced once by
   its PUT, and the plan that is expected.  */
struct plan_case
{
  const char *name;
  const char *find[3];
  const char *put[3];
  int status;
  /* NULL when no service is listed.  */
  const char *result;
  int64_t added;
  int64_t leaving;
  int64_t removed;
  /* Number of rows on changed upstreams.  */
  size_t upstreams;
  /* Bounds of the number of buckets that move.  Each of the seven upstreams,
     which have equal weights, is the first candidate of about a seventh of
     GALENA_BUCKETS.  */
  int64_t moved_min;
  int64_t moved_max;
};

static const struct plan_case PLAN_CASES[] = {
  { "/plan/unchanged",
    { NULL },
    { NULL },
    EXIT_SUCCESS,
    "unchanged",
    0,
    0,
    0,
    0,
    0,
    0 },
  { "/plan/newer",
    { "\"generation\": 1," },
    { "\"generation\": 2," },
    EXIT_SUCCESS,
    "taken",
    0,
    0,
    0,
    0,
    0,
    0 },
  { "/plan/generation-0",
    { "\"generation\": 1," },
    { "\"generation\": 0," },
    EXIT_FAILURE,
    NULL,
    0,
    0,
    0,
    0,
    0,
    0 },
  { "/plan/leaving",
    { "\"generation\": 1,", "\"state\": \"active\"" },
    { "\"generation\": 2,", "\"state\": \"leaving\"" },
    EXIT_SUCCESS,
    "taken",
    0,
    1,
    0,
    1,
    1700,
    3000 },
  { "/plan/slots",
    { "\"generation\": 1,", "\"slots\": 3" },
    { "\"generation\": 2,", "\"slots\": 4" },
    EXIT_SUCCESS,
    "taken",
    0,
    0,
    0,
    1,
    0,
    0 },
  { "/plan/renumbered",
    { "\"generation\": 1,", "\"number\": 1,\n      \"host\"" },
    { "\"generation\": 2,", "\"number\": 99,\n      \"host\"" },
    EXIT_SUCCESS,
    "taken",
    1,
    0,
    1,
    2,
    1700,
    5000 },
  { "/plan/fault",
    { "\"generation\": 1,", "\"slots\": 3" },
    { "\"generation\": 2,", "\"slots\": 0" },
    EXIT_FAILURE,
    NULL,
    0,
    0,
    0,
    0,
    0,
    0 },
};

static char *
replace_once (char *text, const char *find, const char *put)
{
  char **parts = g_strsplit (text, find, 2);
  char *changed;

  g_assert_cmpuint (g_strv_length (parts), ==, 2);
  changed = g_strjoinv (put, parts);
  g_strfreev (parts);
  g_free (text);
  return changed;
}

/* Runs plan with --json; returns the parsed output.  */
static json_t *
run_plan_json (const char *old, const char *new, int *status)
{
  struct arguments arguments
      = { .positional = { "plan", old, new }, .json = true };
  int out = dup (STDOUT_FILENO);
  char *path;
  char *text;
  json_t *json;
  int file = g_file_open_tmp ("plan-XXXXXX", &path, NULL);

  fflush (stdout);
  dup2 (file, STDOUT_FILENO);
  *status = run_plan (&arguments);
  fflush (stdout);
  dup2 (out, STDOUT_FILENO);
  close (out);
  close (file);
  g_assert_true (g_file_get_contents (path, &text, NULL, NULL));
  json = json_loads (text, 0, NULL);
  g_assert_nonnull (json);
  g_unlink (path);
  g_free (path);
  g_free (text);
  return json;
}

static int64_t
number_in (const json_t *row, const char *key)
{
  return json_integer_value (json_object_get (row, key));
}

static void
run_plan_case (gconstpointer data)
{
  const struct plan_case *test = data;
  char *old = g_build_filename (GALENA_SOURCE_DIR, "example", "coteau",
                                "records", "spill-desk.json", NULL);
  char *new;
  char *text;
  json_t *json;
  const json_t *row;
  int status;
  int fd = g_file_open_tmp ("record-XXXXXX", &new, NULL);

  g_assert_true (g_file_get_contents (old, &text, NULL, NULL));
  for (size_t i = 0; i < G_N_ELEMENTS (test->find) && test->find[i]; i++)
    text = replace_once (text, test->find[i], test->put[i]);
  g_assert_true (g_file_set_contents (new, text, -1, NULL));
  json = run_plan_json (old, new, &status);
  g_assert_cmpint (status, ==, test->status);
  row = json_array_get (json_object_get (json, "services"), 0);
  g_assert_cmpint (row != NULL, ==, test->result != NULL);
  if (row != NULL)
    {
      g_assert_cmpstr (json_string_value (json_object_get (row, "result")), ==,
                       test->result);
      g_assert_cmpint (number_in (row, "added"), ==, test->added);
      g_assert_cmpint (number_in (row, "leaving"), ==, test->leaving);
      g_assert_cmpint (number_in (row, "removed"), ==, test->removed);
      g_assert_cmpint (number_in (row, "moved_buckets"), >=, test->moved_min);
      g_assert_cmpint (number_in (row, "moved_buckets"), <=, test->moved_max);
    }
  g_assert_cmpuint (json_array_size (json_object_get (json, "upstreams")), ==,
                    test->upstreams);
  json_decref (json);
  close (fd);
  g_unlink (new);
  g_free (new);
  g_free (old);
  g_free (text);
}

/* A sheet with columns of text and of numbers is filtered, sorted and
   printed.  */
struct sheet_case
{
  const char *name;
  const char *filters[2];
  int filter_count;
  /* Column to sort by.  */
  uint32_t sort;
  bool json;
  /* One JSON object per line.  */
  bool lines;
  const char *expect;
};

static const struct sheet_case SHEET_CASES[] = {
  { "/sheet/by-text",
    { NULL },
    0,
    0,
    false,
    false,
    "process  flows  \na            2  \nb           10  \nb            3  "
    "\n" },
  { "/sheet/by-number",
    { NULL },
    0,
    1,
    false,
    false,
    "process  flows  \nb           10  \nb            3  \na            2  "
    "\n" },
  { "/sheet/filtered",
    { "process=b", "flows=3" },
    2,
    0,
    false,
    false,
    "process  flows  \nb            3  \n" },
  { "/sheet/none", { "process=c" }, 1, 0, false, false, "process  flows  \n" },
  { "/sheet/json",
    { "process=b" },
    1,
    0,
    true,
    false,
    "[\n {\"process\":\"b\",\"flows\":10},\n {\"process\":\"b\",\"flows\":3}\n"
    "]\n" },
  { "/sheet/json-lines",
    { "process=a" },
    1,
    0,
    true,
    true,
    "{\"process\":\"a\",\"flows\":2}\n" },
  { "/sheet/json-none", { "process=c" }, 1, 0, true, false, "[\n]\n" },
};

static void
run_sheet_case (gconstpointer data)
{
  static const char *const NAMES[] = { "process", "flows" };
  static const char *const PROCESSES[] = { "b", "a", "b" };
  static const uint64_t FLOWS[] = { 10, 2, 3 };
  const struct sheet_case *test = data;
  struct sheet *sheet;
  char *text = NULL;
  size_t size;
  FILE *out = open_memstream (&text, &size);

  g_assert_cmpint (sheet_create (NAMES, 2, &sheet), ==, GALENA_OK);
  for (int i = 0; i < 3; i++)
    {
      g_assert_cmpint (sheet_add_row (sheet), ==, GALENA_OK);
      sheet_set_text (sheet, 0, PROCESSES[i]);
      sheet_set_number (sheet, 1, FLOWS[i]);
      sheet_filter_row (sheet, test->filters, test->filter_count);
    }
  g_assert_cmpint (sheet_sort (sheet, test->sort), ==, GALENA_OK);
  if (test->json)
    sheet_print_json (sheet, test->lines, out);
  else
    sheet_print (sheet, true, out);
  fclose (out);
  g_assert_cmpstr (text, ==, test->expect);
  free (text);
  sheet_destroy (sheet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (PLAN_CASES); i++)
    g_test_add_data_func (PLAN_CASES[i].name, &PLAN_CASES[i], run_plan_case);
  for (size_t i = 0; i < G_N_ELEMENTS (SHEET_CASES); i++)
    g_test_add_data_func (SHEET_CASES[i].name, &SHEET_CASES[i],
                          run_sheet_case);
  return g_test_run ();
}
