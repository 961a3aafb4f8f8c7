/* Settings files: all faults of a file are reported at once, each with its
   line; random bytes are rejected or give values in range.  */

#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include <galenaford/random.h>
#include <galenaford/settings.h>

static const char ENTRY[] = "[process]\nname = e\nrole = entry\n"
                            "[entry]\naddress = 127.0.0.1:7000\n"
                            "[platform]\nurl = http://127.0.0.1:8500\n";
static const char AGENT[] = "[process]\nname = a\nrole = agent\n"
                            "[agent]\naddress = 127.0.0.1:7100\nupstream = 1\n"
                            "upstream_url = http://127.0.0.1:8000\n"
                            "[platform]\nurl = http://127.0.0.1:8500\n";

struct settings_case
{
  const char *name;
  const char *base;
  /* FIND in BASE is replaced by PUT.  */
  const char *find;
  const char *put;
  /* All faults, one per line, without the path.  */
  const char *faults;
};

static const struct settings_case CASES[] = {
  { "/settings/entry", ENTRY, "", "", "" },
  { "/settings/agent", AGENT, "", "", "" },
  { "/settings/comments", ENTRY, "[entry]", "; a\n# b\n\n[entry]", "" },
  { "/settings/operator", ENTRY, "[entry]",
    "[operator]\naddress = 127.0.0.1:1\nconnections = 64\n[entry]", "" },
  { "/settings/missing", ENTRY, "name = e\n", "",
    ":0: [process] name: missing; allowed: 1 to 31 bytes\n" },
  { "/settings/missing-of-role", AGENT, "upstream = 1\n", "",
    ":0: [agent] upstream: missing; allowed: 1 to 1048575\n" },
  { "/settings/unknown-key", ENTRY, "name = e", "name = e\nnmae = e",
    ":3: [process] nmae: unknown setting\n" },
  { "/settings/unknown-section", ENTRY, "[entry]", "[entri]\n[entry]",
    ":4: [-] -: unknown section\n" },
  { "/settings/key-before-section", ENTRY, "[process]\n", "x = 1\n[process]\n",
    ":1: [] x: unknown setting\n" },
  { "/settings/not-ini", ENTRY, "name = e", "name = e\nwords",
    ":3: [-] -: invalid INI syntax\n" },
  { "/settings/open-section", ENTRY, "[entry]", "[process\n[entry]",
    ":4: [-] -: invalid INI syntax\n" },
  { "/settings/twice", ENTRY, "name = e", "name = e\nname = f",
    ":3: [process] name: duplicate key; first set in line 2\n" },
  { "/settings/role", ENTRY, "role = entry", "role = caller",
    ":3: [process] role: invalid value; allowed: entry or agent\n" },
  { "/settings/name-too-long", ENTRY, "name = e",
    "name = 01234567890123456789012345678901",
    ":2: [process] name: invalid value; allowed: 1 to 31 bytes\n" },
  { "/settings/wrong-unit", ENTRY, "url = http://127.0.0.1:8500",
    "url = http://127.0.0.1:8500\nwait_ms = 20s",
    ":8: [platform] wait_ms: invalid value; allowed: 100 to 60000 "
    "milliseconds\n" },
  { "/settings/out-of-range", ENTRY, "url = http://127.0.0.1:8500",
    "url = http://127.0.0.1:8500\nwait_ms = 99",
    ":8: [platform] wait_ms: invalid value; allowed: 100 to 60000 "
    "milliseconds\n" },
  { "/settings/huge-number", ENTRY, "[platform]",
    "threads = 99999999999999999999999\n[platform]",
    ":6: [entry] threads: invalid value; allowed: 1 to 64\n" },
  { "/settings/url", ENTRY, "http://127.0.0.1:8500", "127.0.0.1:8500",
    ":7: [platform] url: invalid value; allowed: http://A.B.C.D:PORT\n" },
  { "/settings/url-name", ENTRY, "http://127.0.0.1", "http://platform",
    ":7: [platform] url: invalid value; allowed: http://A.B.C.D:PORT\n" },
  { "/settings/several", ENTRY, "name = e\nrole = entry",
    "role = entry\nx = 1\nrole = agent",
    ":3: [process] x: unknown setting\n"
    ":4: [process] role: duplicate key; first set in line 2\n"
    ":0: [process] name: missing; allowed: 1 to 31 bytes\n" },
};

/* Loads SIZE bytes of TEXT as a settings file; returns the faults without the
   path, which the caller frees.  */
static char *
load_text (const char *text, size_t size, struct galena_settings *settings)
{
  char *faults = NULL;
  char *stripped;
  char *path;
  size_t length;
  int fd = g_file_open_tmp ("settings-XXXXXX", &path, NULL);
  FILE *out = open_memstream (&faults, &length);
  enum galena_result result;
  char **parts;

  g_assert_cmpint (fd, >=, 0);
  g_close (fd, NULL);
  g_assert_true (g_file_set_contents (path, text, (gssize)size, NULL));
  result = galena_settings_load (path, settings, out);
  fclose (out);
  g_assert_cmpint (result, ==, length == 0 ? GALENA_OK : GALENA_ERR_INVALID);
  parts = g_strsplit (faults, path, -1);
  stripped = g_strjoinv ("", parts);
  g_strfreev (parts);
  g_unlink (path);
  g_free (path);
  free (faults);
  return stripped;
}

static char *
replace (const char *text, const char *find, const char *put)
{
  char **parts;
  char *changed;

  if (*find == '\0')
    return g_strdup (text);
  parts = g_strsplit (text, find, 2);
  changed = g_strjoinv (put, parts);
  g_strfreev (parts);
  return changed;
}

static void
run_settings_case (gconstpointer data)
{
  const struct settings_case *test = data;
  struct galena_settings settings;
  char *text = replace (test->base, test->find, test->put);
  char *faults = load_text (text, strlen (text), &settings);

  g_assert_cmpstr (faults, ==, test->faults);
  g_free (faults);
  g_free (text);
}

/* The fault of an unknown policy lists the known ones.  */
static void
check_policies (void)
{
  static const char *const KEYS[] = { "choice", "admission" };
  struct galena_settings settings;

  for (size_t i = 0; i < G_N_ELEMENTS (KEYS); i++)
    {
      char *text = g_strdup_printf ("%s[policy]\n%s = best\n", ENTRY, KEYS[i]);
      char *faults = load_text (text, strlen (text), &settings);

      g_assert_nonnull (strstr (faults, "invalid value; allowed: one of: "));
      g_assert_nonnull (strstr (faults, KEYS[i]));
      g_free (faults);
      g_free (text);
    }
}

/* A line beyond the limit of the parser is a single fault, and the lines after
   it keep their numbers.  */
static void
check_long_line (void)
{
  struct galena_settings settings;
  char *long_value = g_strnfill (5000, 'x');
  char *put = g_strdup_printf ("zone = %s\ny = 1\nname = e", long_value);
  char *text = replace (ENTRY, "name = e", put);
  char *faults = load_text (text, strlen (text), &settings);

  g_assert_cmpstr (faults, ==,
                   ":2: [-] -: line is too long or contains a NUL byte\n"
                   ":3: [process] y: unknown setting\n");
  g_free (faults);
  g_free (text);
  g_free (put);
  g_free (long_value);
}

static void
mutate (struct galena_random *random, char *text, size_t size)
{
  static const char INI_CHARACTERS[] = "[]=:;#\n\r \t\"09a\0";
  uint32_t changes = galena_random_below (random, 8);

  for (uint32_t i = 0; i < changes; i++)
    {
      char *at = &text[galena_random_below (random, (uint32_t)size)];

      if (galena_random_below (random, 2) == 0)
        *at = INI_CHARACTERS[galena_random_below (random,
                                                  sizeof INI_CHARACTERS)];
      else
        *at = (char)galena_random_next (random);
    }
}

/* Parsing mutated and random bytes always ends, and accepted values are in
   range.  */
static void
check_random (void)
{
  struct galena_random random = { .seed = 11 };
  struct galena_settings settings;
  char text[1024];

  for (uint32_t i = 0; i < 2000; i++)
    {
      const char *base = i % 2 == 0 ? ENTRY : AGENT;
      size_t size = strlen (base);
      char *faults;

      memcpy (text, base, size);
      if (i % 10 == 0)
        size = sizeof text;
      if (i % 10 == 0)
        for (size_t at = 0; at < size; at++)
          text[at] = (char)galena_random_next (&random);
      else
        mutate (&random, text, size);
      faults = load_text (text, size, &settings);
      if (*faults == '\0')
        {
          g_assert_cmpuint (settings.entry_threads, <=, 64);
          g_assert_cmpuint (strlen (settings.name), <, GALENA_NAME_BYTES);
        }
      g_free (faults);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    g_test_add_data_func (CASES[i].name, &CASES[i], run_settings_case);
  g_test_add_func ("/settings/policies", check_policies);
  g_test_add_func ("/settings/long-line", check_long_line);
  g_test_add_func ("/settings/random", check_random);
  return g_test_run ();
}
