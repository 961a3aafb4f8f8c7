/* The table of settings, and reading a file against it.  */

#include <stdbool.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <ini.h>

#include <galenaford/plane.h>
#include <galenaford/policies.h>
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
  /* Processes that need the key; see enum needed_by.  */
  uint8_t needed_by;
};

/* Bits for the processes that need a key: bit FRONT * 2 for an entry of that
   front end, the next one for an agent.  */
enum needed_by
{
  BY_ENTRY = 1,
  BY_AGENT = 2,
  BY_PACKET_ENTRY = 4,
  BY_PACKET_AGENT = 8,
  BY_PACKETS = BY_PACKET_ENTRY | BY_PACKET_AGENT,
  BY_ALL = 15,
  /* A running process takes up a new value.  */
  LIVE = 16
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

/* Reads a number whose fraction does not matter.  */
static bool
read_rounded (const struct setting_row *row, const char *text, void *at)
{
  char whole[GALENA_SETTING_BYTES];
  size_t digits = strspn (text, "0123456789");
  const char *rest = text + digits;

  if (digits == 0 || digits >= sizeof whole
      || (*rest != '\0'
          && (*rest != '.' || rest[1 + strspn (rest + 1, "0123456789")] != 0)))
    return false;
  memcpy (whole, text, digits);
  whole[digits] = '\0';
  return read_number (row, whole, at);
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
read_optional_address (const struct setting_row *row, const char *text,
                       void *at)
{
  struct galena_endpoint *address = at;

  if (strcmp (text, "none") != 0)
    return read_address (row, text, at);
  *address = (struct galena_endpoint){ 0, 0 };
  return true;
}

static bool
read_addresses (const struct setting_row *row, const char *text, void *at)
{
  struct galena_addresses *addresses = at;
  char copy[GALENA_SETTING_BYTES];
  char *rest = NULL;

  (void)row;
  addresses->count = 0;
  if (strlen (text) >= sizeof copy)
    return false;
  memcpy (copy, text, strlen (text) + 1);
  for (const char *word = strtok_r (copy, ", ", &rest); word != NULL;
       word = strtok_r (NULL, ", ", &rest))
    if (addresses->count == GALENA_SYNC_SEEDS_MAX
        || galena_endpoint_parse (word, &addresses->rows[addresses->count++])
               != GALENA_OK)
      return false;
  return true;
}

static bool
read_url (const struct setting_row *row, const char *text, void *at)
{
  static const char SCHEME[] = "http://";
  struct galena_endpoint address;

  if (strncmp (text, SCHEME, sizeof SCHEME - 1) != 0
      || galena_endpoint_parse (text + sizeof SCHEME - 1, &address)
             != GALENA_OK)
    return false;
  return read_text (row, text, at);
}

static bool
read_name (const struct setting_row *row, const char *text, void *at)
{
  const char *name;

  for (uint32_t i = 0; (name = row->setting.name_at (i)) != NULL; i++)
    if (strcmp (name, text) == 0)
      return read_text (row, text, at);
  return false;
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

static bool
read_front (const struct setting_row *row, const char *text, void *at)
{
  enum galena_front *front = at;

  (void)row;
  if (strcmp (text, "messages") == 0)
    *front = GALENA_FRONT_MESSAGES;
  else if (strcmp (text, "packets") == 0)
    *front = GALENA_FRONT_PACKETS;
  else
    return false;
  return true;
}

static bool
read_flag (const struct setting_row *row, const char *text, void *at)
{
  bool *flag = at;

  (void)row;
  *flag = strcmp (text, "true") == 0;
  return *flag || strcmp (text, "false") == 0;
}

#define PLACE(member)                                                         \
  offsetof (struct galena_settings, member),                                  \
      sizeof (((struct galena_settings *)0)->member)

static const struct setting_row ROWS[] = {
  { { "process", "name", NULL, "1 to 31 bytes", "Name in logs.", NULL },
    read_text,
    PLACE (name),
    1,
    0,
    BY_ALL },
  { { "process", "role", NULL, "entry or agent", "What the process does.",
      NULL },
    read_role,
    PLACE (role),
    0,
    0,
    BY_ALL },
  { { "process", "zone", "", "0 to 31 bytes", "Availability zone.", NULL },
    read_text,
    PLACE (zone),
    0,
    0,
    BY_ALL },
  { { "process", "front", "messages", "messages or packets",
      "What callers speak: the product's messages, or opaque packets.", NULL },
    read_front,
    PLACE (front),
    0,
    0,
    BY_ALL },
  { { "entry", "address", NULL, "A.B.C.D:PORT",
      "Where datagrams of callers arrive.", NULL },
    read_address,
    PLACE (entry_address),
    0,
    0,
    BY_ENTRY },
  { { "entry", "threads", "1", "1 to 64", "Threads that move packets.", NULL },
    read_number,
    PLACE (entry_threads),
    1,
    64,
    BY_ENTRY },
  { { "entry", "pending_opens", "4096", "16 to 65536",
      "Most opens without a reply, per thread.", NULL },
    read_number,
    PLACE (entry_pending_opens),
    16,
    65536,
    BY_ENTRY },
  { { "agent", "address", NULL, "A.B.C.D:PORT",
      "Where datagrams of entries arrive; as in the service's record.", NULL },
    read_address,
    PLACE (agent_address),
    0,
    0,
    BY_AGENT },
  { { "agent", "upstream", NULL, "1 to 1048575",
      "Number of the upstream beside the agent.", NULL },
    read_number,
    PLACE (agent_upstream),
    1,
    1048575,
    BY_AGENT },
  { { "agent", "upstream_url", NULL, "http://A.B.C.D:PORT",
      "Where the upstream takes requests.", NULL },
    read_url,
    PLACE (agent_upstream_url),
    8,
    0,
    BY_AGENT },
  { { "agent", "requests", "4096", "16 to 65536",
      "Most requests held at once.", NULL },
    read_number,
    PLACE (agent_requests),
    16,
    65536,
    BY_AGENT },
  { { "agent", "service", "0", "0 to 1000000",
      "Number of the service whose record is kept; 0 keeps all.", NULL },
    read_number,
    PLACE (agent_service),
    0,
    1000000,
    BY_AGENT },
  { { "platform", "url", NULL, "http://A.B.C.D:PORT",
      "The platform's configuration service.", NULL },
    read_url,
    PLACE (platform_url),
    8,
    0,
    BY_ALL },
  { { "platform", "wait_ms", "20000", "100 to 60000 milliseconds",
      "Longest wait of one watch.", NULL },
    read_number,
    PLACE (platform_wait_ms),
    100,
    60000,
    BY_ALL },
  { { "platform", "readers", "64", "1 to 100000",
      "Processes that read the platform, at least.", NULL },
    read_number,
    PLACE (platform_readers),
    1,
    100000,
    BY_ALL },
  { { "platform", "reads_per_second", "1500", "1 to 100000",
      "Reads a second by all processes together, at most.", NULL },
    read_number,
    PLACE (platform_reads_per_second),
    1,
    100000,
    BY_ALL },
  { { "peers", "address", "none", "A.B.C.D:PORT or none",
      "Where peers connect by TCP; an agent's is as in the record.", NULL },
    read_optional_address,
    PLACE (peers_address),
    0,
    0,
    BY_ALL },
  { { "peers", "seeds", "", "up to 8 of A.B.C.D:PORT, with commas between",
      "Peers to begin with.", NULL },
    read_addresses,
    PLACE (peers_seeds),
    0,
    0,
    BY_ALL | LIVE },
  { { "policy", "choice", "two-wait", "one of",
      "How an entry chooses an upstream.", galena_choice_name },
    read_name,
    PLACE (choice),
    1,
    0,
    BY_ALL },
  { { "policy", "admission", "shares", "one of",
      "How an agent chooses the next request.", galena_admission_name },
    read_name,
    PLACE (admission),
    1,
    0,
    BY_ALL },
  { { "shutdown", "limit_ms", "30000", "0 to 600000 milliseconds",
      "Longest graceful shutdown.", NULL },
    read_number,
    PLACE (shutdown_limit_ms),
    0,
    600000,
    BY_ALL | LIVE },
  { { "operator", "address", "none", "A.B.C.D:PORT or none",
      "Where galenactl reads the state of the process.", NULL },
    read_optional_address,
    PLACE (operator_address),
    0,
    0,
    BY_ALL },
  { { "operator", "connections", "8", "1 to 64",
      "Most connections of operators at once.", NULL },
    read_number,
    PLACE (operator_connections),
    1,
    64,
    BY_ALL },
  { { "packets", "address", NULL, "A.B.C.D:PORT",
      "Where callers' packets arrive at an entry; callers have the same port.",
      NULL },
    read_address,
    PLACE (packets_address),
    0,
    0,
    BY_PACKETS },
  { { "packets", "status", NULL, "A.B.C.D:PORT",
      "Where readiness and counters are read by HTTP.", NULL },
    read_address,
    PLACE (packets_status),
    0,
    0,
    BY_PACKETS },
  { { "packets", "outbound", NULL, "A.B.C.D:PORT",
      "Where the upstream sends its packets to.", NULL },
    read_address,
    PLACE (packets_outbound),
    0,
    0,
    BY_PACKET_AGENT },
  { { "packets", "upstream", NULL, "A.B.C.D:PORT",
      "Where the upstream receives packets.", NULL },
    read_address,
    PLACE (packets_upstream),
    0,
    0,
    BY_PACKET_AGENT },
  { { "packets", "service", NULL, "1 to 63 bytes", "Service of the upstream.",
      NULL },
    read_text,
    PLACE (packets_service),
    1,
    0,
    BY_PACKET_AGENT },
  { { "packets", "choice", "least-wait", "one of",
      "How an entry chooses an upstream for a flow.",
      galena_plane_choice_name },
    read_name,
    PLACE (packets_choice),
    1,
    0,
    BY_ALL | LIVE },
  { { "packets", "flows", "32768", "16 to 1000000", "Most flows held at once.",
      NULL },
    read_number,
    PLACE (packets_flows),
    16,
    1000000,
    BY_ALL },
  { { "packets", "link_mbps", "0", "0 to 1000000 Mbit/s",
      "Capacity of the instance's link; 0 when unknown.", NULL },
    read_rounded,
    PLACE (packets_link_mbps),
    0,
    1000000,
    BY_ALL },
  { { "packets", "flow_max_s", "60", "1 to 86400 seconds",
      "A flow without packets for so long is forgotten.", NULL },
    read_number,
    PLACE (packets_flow_max_s),
    1,
    86400,
    BY_ALL },
  { { "packets", "first_start", "false", "true or false",
      "Whether no flow can be older than the process.", NULL },
    read_flag,
    PLACE (packets_first_start),
    0,
    0,
    BY_ALL },
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
  /* Line of each key, or 0 while it was not read.  */
  int lines[ROW_COUNT];
};

const struct galena_setting *
galena_setting_at (uint32_t index)
{
  return index < ROW_COUNT ? &ROWS[index].setting : NULL;
}

void
galena_setting_allowed (const struct galena_setting *setting, char *text,
                        size_t size)
{
  size_t used = (size_t)snprintf (text, size, "%s", setting->allowed);
  const char *name;

  if (setting->name_at == NULL)
    return;
  for (uint32_t i = 0;
       (name = setting->name_at (i)) != NULL && used < size - 1; i++)
    used += (size_t)snprintf (text + used, size - used, "%s %s",
                              i == 0 ? ":" : ",", name);
}

/* Returns the row that SETTING stands in.  */
static const struct setting_row *
row_of (const struct galena_setting *setting)
{
  return (
      const struct setting_row *)((const char *)setting
                                  - offsetof (struct setting_row, setting));
}

bool
galena_setting_is_reloadable (const struct galena_setting *setting)
{
  return (row_of (setting)->needed_by & LIVE) != 0;
}

void
galena_settings_compare (const struct galena_settings *before,
                         const struct galena_settings *after,
                         galena_setting_on_change *take, void *user)
{
  for (uint32_t i = 0; i < ROW_COUNT; i++)
    if (memcmp ((const unsigned char *)before + ROWS[i].offset,
                (const unsigned char *)after + ROWS[i].offset, ROWS[i].size)
        != 0)
      take (user, &ROWS[i].setting,
            galena_setting_is_reloadable (&ROWS[i].setting));
}

static void
report (struct load *load, int line, const char *section, const char *key,
        const char *text)
{
  load->fault_count++;
  fprintf (load->faults, "%s:%d: [%s] %s: %s\n", load->path, line, section,
           key, text);
}

/* Reports that ROW is at fault: REASON, and what is allowed.  */
static void
report_row (struct load *load, int line, const struct setting_row *row,
            const char *reason)
{
  char allowed[GALENA_SETTING_BYTES];
  char text[GALENA_SETTING_BYTES + 64];

  galena_setting_allowed (&row->setting, allowed, sizeof allowed);
  snprintf (text, sizeof text, "%s; allowed: %s", reason, allowed);
  report (load, line, row->setting.section, row->setting.key, text);
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
  if (load->lines[row - ROWS] != 0)
    {
      snprintf (text, sizeof text, "stands twice; first in line %d",
                load->lines[row - ROWS]);
      report (load, load->line, section, key, text);
      return 1;
    }
  load->lines[row - ROWS] = load->line;
  if (!row->read (row, value, place_of (load->settings, row)))
    report_row (load, load->line, row, "not allowed");
  return 1;
}

/* Reads past the rest of a line that was too long.  */
static void
skip_line (FILE *file)
{
  int next;

  do
    next = getc (file);
  while (next != EOF && next != '\n');
}

static bool
is_section (const char *name, size_t length)
{
  for (uint32_t i = 0; i < ROW_COUNT; i++)
    {
      const char *section = ROWS[i].setting.section;

      if (strlen (section) == length && memcmp (section, name, length) == 0)
        return true;
    }
  return false;
}

/* Returns what is wrong with the form of LINE, or NULL.  */
static const char *
fault_of_line (const char *line)
{
  const char *start = line + strspn (line, " \t\r\n");
  const char *end;

  if (*start == '\0' || *start == ';' || *start == '#')
    return NULL;
  if (*start != '[')
    return strpbrk (start, "=:") == NULL ? "not a line of an INI file" : NULL;
  end = strchr (start, ']');
  if (end == NULL)
    return "not a line of an INI file";
  if (!is_section (start + 1, (size_t)(end - start - 1)))
    return "no section of this name";
  return NULL;
}

/* Gives the parser one line and counts it; a line of a wrong form is reported
   and given as an empty one.  */
static char *
read_line (char *text, int size, void *data)
{
  struct load *load = data;
  const char *fault;
  size_t length;

  if (fgets (text, size, load->file) == NULL)
    return NULL;
  load->line++;
  length = strlen (text);
  if ((length == 0 || text[length - 1] != '\n') && !feof (load->file))
    {
      skip_line (load->file);
      fault = "the line is too long or holds a NUL byte";
    }
  else
    fault = fault_of_line (text);
  if (fault == NULL)
    return text;
  report (load, load->line, "-", "-", fault);
  text[0] = '\n';
  text[1] = '\0';
  return text;
}

static void
set_standards (struct galena_settings *settings)
{
  memset (settings, 0, sizeof *settings);
  for (uint32_t i = 0; i < ROW_COUNT; i++)
    if (ROWS[i].setting.default_value != NULL)
      ROWS[i].read (&ROWS[i], ROWS[i].setting.default_value,
                    place_of (settings, &ROWS[i]));
}

/* Tells whether ROW is needed; a role that is not known needs no key.  */
static bool
is_needed (const struct load *load, const struct setting_row *row)
{
  enum galena_role role = load->settings->role;
  unsigned bit = 2U * load->settings->front;

  if (row->setting.default_value != NULL)
    return false;
  if ((row->needed_by & BY_ALL) == BY_ALL)
    return true;
  if (role != GALENA_ROLE_ENTRY && role != GALENA_ROLE_AGENT)
    return false;
  return (row->needed_by >> (bit + (role == GALENA_ROLE_AGENT)) & 1) != 0;
}

static void
report_missing (struct load *load)
{
  for (uint32_t i = 0; i < ROW_COUNT; i++)
    if (load->lines[i] == 0 && is_needed (load, &ROWS[i]))
      report_row (load, 0, &ROWS[i], "missing");
}

enum galena_result
galena_settings_load (const char *path, struct galena_settings *settings,
                      FILE *faults)
{
  struct load load = { .path = path, .settings = settings, .faults = faults };
  int line;

  set_standards (settings);
  settings->role = GALENA_ROLE_COUNT;
  load.file = fopen (path, "r");
  if (load.file == NULL)
    {
      report (&load, 0, "-", "-", "the file can't be read");
      return GALENA_ERR_IO;
    }
  line = ini_parse_stream (read_line, &load, take_pair, &load);
  fclose (load.file);
  if (line != 0)
    report (&load, line > 0 ? line : 0, "-", "-", "not a line of an INI file");
  report_missing (&load);
  return load.fault_count == 0 ? GALENA_OK : GALENA_ERR_INVALID;
}
