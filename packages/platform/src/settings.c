/* The table of settings, and reading a file against it.  */

#include <stdbool.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <ini.h>

#include <galenaford/record.h>
#include <galenaford/settings.h>

/* Reads TEXT into AT; false when it is not allowed.  */
struct setting_row;
typedef bool setting_reader (const struct setting_row *row, const char *text,
                             void *at);

struct setting_row
{
  struct galena_setting setting;
  setting_reader *read;
  size_t offset;
  size_t size;
  /* Range of numbers, or of text lengths.  */
  uint32_t min;
  uint32_t max;
  /* Role that needs the key, or GALENA_ROLE_COUNT for all.  */
  enum galena_role role;
};

static bool
read_number (const struct setting_row *row, const char *text, void *at)
{
  char *end;
  unsigned long value;

  if (text[0] < '0' || text[0] > '9')
    return false;
  value = strtoul (text, &end, 10);
  if (*end != '\0' || value < row->min || value > row->max)
    return false;
  *(uint32_t *)at = (uint32_t)value;
  return true;
}

static bool
read_text (const struct setting_row *row, const char *text, void *at)
{
  size_t length = strlen (text);

  if (length < row->min || length >= row->size)
    return false;
  memcpy (at, text, length + 1);
  return true;
}

static bool
read_address (const struct setting_row *row, const char *text, void *at)
{
  (void)row;
  return galena_endpoint_parse (text, at) == GALENA_OK;
}

static bool
read_role (const struct setting_row *row, const char *text, void *at)
{
  enum galena_role *role = at;

  (void)row;
  if (strcmp (text, "entry") == 0)
    *role = GALENA_ROLE_ENTRY;
  else if (strcmp (text, "agent") == 0)
    *role = GALENA_ROLE_AGENT;
  else
    return false;
  return true;
}

#define PLACE(member)                                                         \
  offsetof (struct galena_settings, member),                                  \
      sizeof (((struct galena_settings *)0)->member)

static const struct setting_row ROWS[] = {
  { { "process", "name", NULL, "1 to 31 bytes", "Name in logs." },
    read_text,
    PLACE (name),
    1,
    0,
    GALENA_ROLE_COUNT },
  { { "process", "role", NULL, "entry or agent", "What the process does." },
    read_role,
    PLACE (role),
    0,
    0,
    GALENA_ROLE_COUNT },
  { { "process", "zone", "", "0 to 31 bytes", "Availability zone." },
    read_text,
    PLACE (zone),
    0,
    0,
    GALENA_ROLE_COUNT },
  { { "entry", "address", NULL, "A.B.C.D:PORT",
      "Where datagrams of callers arrive." },
    read_address,
    PLACE (entry_address),
    0,
    0,
    GALENA_ROLE_ENTRY },
  { { "entry", "threads", "1", "1 to 64", "Threads that move packets." },
    read_number,
    PLACE (entry_threads),
    1,
    64,
    GALENA_ROLE_ENTRY },
  { { "entry", "pending_opens", "4096", "16 to 65536",
      "Most opens without a reply, per thread." },
    read_number,
    PLACE (entry_pending_opens),
    16,
    65536,
    GALENA_ROLE_ENTRY },
  { { "agent", "address", NULL, "A.B.C.D:PORT",
      "Where datagrams of entries arrive; as in the service's record." },
    read_address,
    PLACE (agent_address),
    0,
    0,
    GALENA_ROLE_AGENT },
  { { "agent", "upstream", NULL, "1 to 1048575",
      "Number of the upstream beside the agent." },
    read_number,
    PLACE (agent_upstream),
    1,
    1048575,
    GALENA_ROLE_AGENT },
  { { "agent", "upstream_url", NULL, "http://A.B.C.D:PORT",
      "Where the upstream takes requests." },
    read_text,
    PLACE (agent_upstream_url),
    8,
    0,
    GALENA_ROLE_AGENT },
  { { "agent", "requests", "4096", "16 to 65536",
      "Most requests held at once." },
    read_number,
    PLACE (agent_requests),
    16,
    65536,
    GALENA_ROLE_AGENT },
  { { "platform", "url", NULL, "http://A.B.C.D:PORT",
      "The platform's configuration service." },
    read_text,
    PLACE (platform_url),
    8,
    0,
    GALENA_ROLE_COUNT },
  { { "platform", "wait_ms", "20000", "100 to 60000 milliseconds",
      "Longest wait of one watch." },
    read_number,
    PLACE (platform_wait_ms),
    100,
    60000,
    GALENA_ROLE_COUNT },
  { { "policy", "choice", "two-wait", "a policy's name",
      "How an entry chooses an upstream." },
    read_text,
    PLACE (choice),
    1,
    0,
    GALENA_ROLE_COUNT },
  { { "policy", "admission", "shares", "a policy's name",
      "How an agent chooses the next request." },
    read_text,
    PLACE (admission),
    1,
    0,
    GALENA_ROLE_COUNT },
  { { "shutdown", "limit_ms", "30000", "0 to 600000 milliseconds",
      "Longest graceful shutdown." },
    read_number,
    PLACE (shutdown_limit_ms),
    0,
    600000,
    GALENA_ROLE_COUNT },
};

enum
{
  ROW_COUNT = sizeof ROWS / sizeof ROWS[0]
};

/* What reading a file needs to keep.  */
struct load
{
  const char *path;
  struct galena_settings *settings;
  FILE *faults;
  FILE *file;
  /* Line being read, from 1.  */
  int line;
  uint32_t fault_count;
  bool seen[ROW_COUNT];
};

const struct galena_setting *
galena_setting_at (uint32_t index)
{
  return index < ROW_COUNT ? &ROWS[index].setting : NULL;
}

static void
report (struct load *load, int line, const char *section, const char *key,
        const char *text)
{
  load->fault_count++;
  fprintf (load->faults, "%s:%d: [%s] %s: %s\n", load->path, line, section,
           key, text);
}

static const struct setting_row *
find_row (const char *section, const char *key)
{
  for (uint32_t i = 0; i < ROW_COUNT; i++)
    if (strcmp (ROWS[i].setting.section, section) == 0
        && strcmp (ROWS[i].setting.key, key) == 0)
      return &ROWS[i];
  return NULL;
}

static void *
place_of (struct galena_settings *settings, const struct setting_row *row)
{
  return (unsigned char *)settings + row->offset;
}

static int
take_pair (void *data, const char *section, const char *key, const char *value)
{
  struct load *load = data;
  const struct setting_row *row = find_row (section, key);
  char text[GALENA_SETTING_BYTES];

  if (row == NULL)
    {
      report (load, load->line, section, key, "no setting of this name");
      return 1;
    }
  load->seen[row - ROWS] = true;
  if (row->read (row, value, place_of (load->settings, row)))
    return 1;
  snprintf (text, sizeof text, "allowed: %s", row->setting.allowed);
  report (load, load->line, section, key, text);
  return 1;
}

/* Gives the parser one line and counts it.  */
static char *
read_line (char *text, int size, void *data)
{
  struct load *load = data;

  load->line++;
  return fgets (text, size, load->file);
}

static void
set_standards (struct galena_settings *settings)
{
  memset (settings, 0, sizeof *settings);
  for (uint32_t i = 0; i < ROW_COUNT; i++)
    if (ROWS[i].setting.standard != NULL)
      ROWS[i].read (&ROWS[i], ROWS[i].setting.standard,
                    place_of (settings, &ROWS[i]));
}

static void
report_missing (struct load *load)
{
  for (uint32_t i = 0; i < ROW_COUNT; i++)
    {
      const struct setting_row *row = &ROWS[i];
      bool needed = row->role == GALENA_ROLE_COUNT
                    || row->role == load->settings->role;
      char text[GALENA_SETTING_BYTES];

      if (load->seen[i] || row->setting.standard != NULL || !needed)
        continue;
      snprintf (text, sizeof text, "missing; allowed: %s",
                row->setting.allowed);
      report (load, 0, row->setting.section, row->setting.key, text);
    }
}

enum galena_result
galena_settings_load (const char *path, struct galena_settings *settings,
                      FILE *faults)
{
  struct load load = { .path = path, .settings = settings, .faults = faults };
  int line;

  set_standards (settings);
  load.file = fopen (path, "r");
  if (load.file == NULL)
    {
      report (&load, 0, "-", "-", "the file can't be read");
      return GALENA_ERR_IO;
    }
  line = ini_parse_stream (read_line, &load, take_pair, &load);
  fclose (load.file);
  if (line > 0)
    report (&load, line, "-", "-", "not a line of an INI file");
  report_missing (&load);
  return load.fault_count == 0 ? GALENA_OK : GALENA_ERR_INVALID;
}
