/* The table of settings and the parser of settings files.  */

#include <stdbool.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <ini.h>

#include <galenaford/plane.h>
#include <galenaford/policies.h>
#include <galenaford/record.h>
#include <galenaford/settings.h>

struct setting_row;

/* Parses TEXT into the value at AT; false when it is not allowed.  */
typedef bool setting_parser (const struct setting_row *row, const char *text,
                             void *at);

struct setting_row
{
  struct galena_setting setting;
  setting_parser *parse;
  size_t offset;
  size_t size;
  /* Range of a number, or least length of a text in bytes.  */
  uint32_t min;
  uint32_t max;
  /* Bits of enum setting_flag.  */
  uint8_t flags;
};

/* The lowest four bits tell which processes require a key: bit FRONT * 2 an
   entry with that front end, the next bit an agent with it.  */
enum setting_flag
{
  BY_ENTRY = 1,
  BY_AGENT = 2,
  BY_PACKET_ENTRY = 4,
  BY_PACKET_AGENT = 8,
  BY_PACKETS = BY_PACKET_ENTRY | BY_PACKET_AGENT,
  BY_ALL = 15,
  /* A running process applies a new value without a restart.  */
  RELOADABLE = 16
};

static bool
parse_number (const struct setting_row *row, const char *text, void *at)
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

/* Parses a decimal number and drops its fraction.  */
static bool
parse_integer_part (const struct setting_row *row, const char *text, void *at)
{
  char integer[GALENA_SETTING_BYTES];
  size_t digits = strspn (text, "0123456789");
  const char *rest = text + digits;

  if (digits == 0 || digits >= sizeof integer
      || (*rest != '\0'
          && (*rest != '.' || rest[1 + strspn (rest + 1, "0123456789")] != 0)))
    return false;
  memcpy (integer, text, digits);
  integer[digits] = '\0';
  return parse_number (row, integer, at);
}

/* Parses a decimal number with an optional fraction.  An empty text, to which
   a template leads when the platform names no value, is 0.  */
static bool
parse_real (const struct setting_row *row, const char *text, void *at)
{
  char *end;
  double value;

  if (text[strspn (text, "0123456789.")] != '\0')
    return false;
  value = strtod (text, &end);
  if (*end != '\0' || value < row->min || value > row->max)
    return false;
  *(double *)at = value;
  return true;
}

static bool
parse_text (const struct setting_row *row, const char *text, void *at)
{
  size_t length = strlen (text);

  if (length < row->min || length >= row->size)
    return false;
  memcpy (at, text, length + 1);
  return true;
}

static bool
parse_address (const struct setting_row *row, const char *text, void *at)
{
  (void)row;
  return galena_endpoint_parse (text, at) == GALENA_OK;
}

static bool
parse_optional_address (const struct setting_row *row, const char *text,
                        void *at)
{
  struct galena_endpoint *address = at;

  if (strcmp (text, "none") != 0)
    return parse_address (row, text, at);
  *address = (struct galena_endpoint){ 0, 0 };
  return true;
}

static bool
parse_addresses (const struct setting_row *row, const char *text, void *at)
{
  struct galena_addresses *addresses = at;
  char copy[GALENA_SETTING_BYTES];
  char *rest = NULL;

  (void)row;
  addresses->count = 0;
  if (strlen (text) >= sizeof copy)
    return false;
  memcpy (copy, text, strlen (text) + 1);
  for (const char *item = strtok_r (copy, ", ", &rest); item != NULL;
       item = strtok_r (NULL, ", ", &rest))
    if (addresses->count == GALENA_SYNC_SEEDS_MAX
        || galena_endpoint_parse (item, &addresses->rows[addresses->count++])
               != GALENA_OK)
      return false;
  return true;
}

static bool
parse_url (const struct setting_row *row, const char *text, void *at)
{
  static const char SCHEME[] = "http://";
  struct galena_endpoint address;

  if (strncmp (text, SCHEME, sizeof SCHEME - 1) != 0
      || galena_endpoint_parse (text + sizeof SCHEME - 1, &address)
             != GALENA_OK)
    return false;
  return parse_text (row, text, at);
}

static bool
parse_name (const struct setting_row *row, const char *text, void *at)
{
  const char *name;

  for (uint32_t i = 0; (name = row->setting.name_at (i)) != NULL; i++)
    if (strcmp (name, text) == 0)
      return parse_text (row, text, at);
  return false;
}

static bool
parse_role (const struct setting_row *row, const char *text, void *at)
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
parse_front (const struct setting_row *row, const char *text, void *at)
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
parse_flag (const struct setting_row *row, const char *text, void *at)
{
  bool *flag = at;

  (void)row;
  *flag = strcmp (text, "true") == 0;
  return *flag || strcmp (text, "false") == 0;
}

#define MEMBER(member)                                                        \
  offsetof (struct galena_settings, member),                                  \
      sizeof (((struct galena_settings *)0)->member)

static const struct setting_row ROWS[] = {
  { { "process", "name", NULL, "1 to 31 bytes", "Name in logs.", NULL },
    parse_text,
    MEMBER (name),
    1,
    0,
    BY_ALL },
  { { "process", "role", NULL, "entry or agent", "What the process does.",
      NULL },
    parse_role,
    MEMBER (role),
    0,
    0,
    BY_ALL },
  { { "process", "zone", "", "0 to 31 bytes", "Availability zone.", NULL },
    parse_text,
    MEMBER (zone),
    0,
    0,
    BY_ALL },
  { { "process", "front", "messages", "messages or packets",
      "Protocol of callers: galenaford's messages, or opaque packets.", NULL },
    parse_front,
    MEMBER (front),
    0,
    0,
    BY_ALL },
  { { "entry", "address", NULL, "A.B.C.D:PORT",
      "Where datagrams of callers arrive.", NULL },
    parse_address,
    MEMBER (entry_address),
    0,
    0,
    BY_ENTRY },
  { { "entry", "threads", "1", "1 to 64", "Threads that process packets.",
      NULL },
    parse_number,
    MEMBER (entry_threads),
    1,
    64,
    BY_ENTRY },
  { { "entry", "pending_opens", "4096", "16 to 65536",
      "Most opens without a reply, per thread.", NULL },
    parse_number,
    MEMBER (entry_pending_opens),
    16,
    65536,
    BY_ENTRY },
  { { "agent", "address", NULL, "A.B.C.D:PORT",
      "Where datagrams of entries arrive; as in the service's record.", NULL },
    parse_address,
    MEMBER (agent_address),
    0,
    0,
    BY_AGENT },
  { { "agent", "upstream", NULL, "1 to 1048575",
      "Number of the agent's upstream.", NULL },
    parse_number,
    MEMBER (agent_upstream),
    1,
    1048575,
    BY_AGENT },
  { { "agent", "upstream_url", NULL, "http://A.B.C.D:PORT",
      "Where the upstream accepts requests.", NULL },
    parse_url,
    MEMBER (agent_upstream_url),
    8,
    0,
    BY_AGENT },
  { { "agent", "requests", "4096", "16 to 65536",
      "Most requests held at once.", NULL },
    parse_number,
    MEMBER (agent_requests),
    16,
    65536,
    BY_AGENT },
  { { "agent", "service", "0", "0 to 1000000",
      "Number of the service whose record is kept; 0 keeps all records.",
      NULL },
    parse_number,
    MEMBER (agent_service),
    0,
    1000000,
    BY_AGENT },
  { { "platform", "url", NULL, "http://A.B.C.D:PORT",
      "The platform's configuration service.", NULL },
    parse_url,
    MEMBER (platform_url),
    8,
    0,
    BY_ALL },
  { { "platform", "wait_ms", "20000", "100 to 60000 milliseconds",
      "Longest long poll for changes.", NULL },
    parse_number,
    MEMBER (platform_wait_ms),
    100,
    60000,
    BY_ALL },
  { { "platform", "readers", "64", "1 to 100000",
      "Least number of processes that share reads_per_second.", NULL },
    parse_number,
    MEMBER (platform_readers),
    1,
    100000,
    BY_ALL },
  { { "platform", "reads_per_second", "1500", "1 to 100000",
      "Most reads per second by all processes together.", NULL },
    parse_number,
    MEMBER (platform_reads_per_second),
    1,
    100000,
    BY_ALL },
  { { "platform", "contracts", "", "0 to 255 bytes",
      "What the platform's rules cover, separated by commas; \"health\" "
      "implies load_control.",
      NULL },
    parse_text,
    MEMBER (platform_contracts),
    0,
    0,
    BY_ALL },
  { { "peers", "address", "none", "A.B.C.D:PORT or none",
      "Where peers connect by TCP; of an agent, as in the service's record.",
      NULL },
    parse_optional_address,
    MEMBER (peers_address),
    0,
    0,
    BY_ALL },
  { { "peers", "seeds", "", "up to 8 of A.B.C.D:PORT, separated by commas",
      "Initial peers to connect to.", NULL },
    parse_addresses,
    MEMBER (peers_seeds),
    0,
    0,
    BY_ALL | RELOADABLE },
  { { "policy", "choice", "two-wait", "one of",
      "How an entry chooses an upstream.", galena_choice_name },
    parse_name,
    MEMBER (choice),
    1,
    0,
    BY_ALL },
  { { "policy", "admission", "shares", "one of",
      "How an agent chooses the next request.", galena_admission_name },
    parse_name,
    MEMBER (admission),
    1,
    0,
    BY_ALL },
  { { "shutdown", "limit_ms", "30000", "0 to 600000 milliseconds",
      "Longest graceful shutdown.", NULL },
    parse_number,
    MEMBER (shutdown_limit_ms),
    0,
    600000,
    BY_ALL | RELOADABLE },
  { { "operator", "address", "none", "A.B.C.D:PORT or none",
      "Where galenactl reads the state of the process.", NULL },
    parse_optional_address,
    MEMBER (operator_address),
    0,
    0,
    BY_ALL },
  { { "operator", "connections", "8", "1 to 64",
      "Most connections of operators at once.", NULL },
    parse_number,
    MEMBER (operator_connections),
    1,
    64,
    BY_ALL },
  { { "packets", "address", NULL, "A.B.C.D:PORT",
      "Where entries receive callers' packets; callers use the same port.",
      NULL },
    parse_address,
    MEMBER (packets_address),
    0,
    0,
    BY_PACKETS },
  { { "packets", "status", NULL, "A.B.C.D:PORT",
      "Where readiness and counters are read by HTTP.", NULL },
    parse_address,
    MEMBER (packets_status),
    0,
    0,
    BY_PACKETS },
  { { "packets", "outbound", NULL, "A.B.C.D:PORT",
      "Where the upstream sends its packets to.", NULL },
    parse_address,
    MEMBER (packets_outbound),
    0,
    0,
    BY_PACKET_AGENT },
  { { "packets", "upstream", NULL, "A.B.C.D:PORT",
      "Where the upstream receives packets; the platform publishes the same "
      "port.",
      NULL },
    parse_address,
    MEMBER (packets_upstream),
    0,
    0,
    BY_PACKET_AGENT },
  { { "packets", "service", NULL, "1 to 63 bytes", "Service of the upstream.",
      NULL },
    parse_text,
    MEMBER (packets_service),
    1,
    0,
    BY_PACKET_AGENT },
  { { "packets", "choice", "least-wait", "one of",
      "How an entry chooses an upstream for a flow; estimated-wait with "
      "load_control if this is not set.",
      galena_plane_choice_name },
    parse_name,
    MEMBER (packets_choice),
    1,
    0,
    BY_ALL | RELOADABLE },
  { { "packets", "flows", "32768", "16 to 1000000", "Most flows held at once.",
      NULL },
    parse_number,
    MEMBER (packets_flows),
    16,
    1000000,
    BY_ALL },
  { { "packets", "link_mbps", "0", "0 to 1000000 Mbit/s",
      "Capacity of the instance's link; 0 when unknown.", NULL },
    parse_integer_part,
    MEMBER (packets_link_mbps),
    0,
    1000000,
    BY_ALL },
  { { "packets", "flow_max_s", "60", "1 to 86400 seconds",
      "Idle timeout of a flow.", NULL },
    parse_number,
    MEMBER (packets_flow_max_s),
    1,
    86400,
    BY_ALL },
  { { "packets", "first_start", "false", "true or false",
      "Whether the upstream has no flows from before the process started.",
      NULL },
    parse_flag,
    MEMBER (packets_first_start),
    0,
    0,
    BY_ALL },
  { { "packets", "load_control", "false", "true or false",
      "Whether upstreams may be overloaded or fail part of their work, so "
      "that "
      "work is admitted by kind and outliers are ejected.",
      NULL },
    parse_flag,
    MEMBER (packets_load_control),
    0,
    0,
    BY_ALL },
  { { "warm_up", "overrun", "0", "0 to 1000",
      "Factor on the published rate of new flows while an upstream warms up; "
      "no limit if this and slack are 0.",
      NULL },
    parse_real,
    MEMBER (warm_up_overrun),
    0,
    1000,
    BY_ALL },
  { { "warm_up", "slack", "0", "0 to 1000000",
      "New flows per second beyond that.", NULL },
    parse_real,
    MEMBER (warm_up_slack),
    0,
    1000000,
    BY_ALL },
};

enum
{
  ROW_COUNT = sizeof ROWS / sizeof ROWS[0]
};

/* State of parsing one file.  */
struct parse_state
{
  const char *path;
  struct galena_settings *settings;
  FILE *faults;
  FILE *file;
  /* Current line, from 1.  */
  int line;
  uint32_t fault_count;
  /* Line of each key, or 0 if it has not been seen.  */
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

/* Returns the row that contains SETTING.  */
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
  return (row_of (setting)->flags & RELOADABLE) != 0;
}

void
galena_settings_compare (const struct galena_settings *before,
                         const struct galena_settings *after,
                         galena_setting_on_change *on_change, void *user)
{
  for (uint32_t i = 0; i < ROW_COUNT; i++)
    if (memcmp ((const unsigned char *)before + ROWS[i].offset,
                (const unsigned char *)after + ROWS[i].offset, ROWS[i].size)
        != 0)
      on_change (user, &ROWS[i].setting,
                 galena_setting_is_reloadable (&ROWS[i].setting));
}

static void
report (struct parse_state *state, int line, const char *section,
        const char *key, const char *text)
{
  state->fault_count++;
  fprintf (state->faults, "%s:%d: [%s] %s: %s\n", state->path, line, section,
           key, text);
}

/* Reports a fault of the key of ROW: REASON and the allowed values.  */
static void
report_row (struct parse_state *state, int line, const struct setting_row *row,
            const char *reason)
{
  char allowed[GALENA_SETTING_BYTES];
  char text[GALENA_SETTING_BYTES + 64];

  galena_setting_allowed (&row->setting, allowed, sizeof allowed);
  snprintf (text, sizeof text, "%s; allowed: %s", reason, allowed);
  report (state, line, row->setting.section, row->setting.key, text);
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
member_at (struct galena_settings *settings, const struct setting_row *row)
{
  return (unsigned char *)settings + row->offset;
}

static int
on_pair (void *data, const char *section, const char *key, const char *value)
{
  struct parse_state *state = data;
  const struct setting_row *row = find_row (section, key);
  char text[GALENA_SETTING_BYTES];

  if (row == NULL)
    {
      report (state, state->line, section, key, "unknown setting");
      return 1;
    }
  if (state->lines[row - ROWS] != 0)
    {
      snprintf (text, sizeof text, "duplicate key; first set in line %d",
                state->lines[row - ROWS]);
      report (state, state->line, section, key, text);
      return 1;
    }
  state->lines[row - ROWS] = state->line;
  if (!row->parse (row, value, member_at (state->settings, row)))
    report_row (state, state->line, row, "invalid value");
  return 1;
}

/* Skips the rest of a line that was too long.  */
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

/* Returns the syntax error of LINE, or NULL.  */
static const char *
fault_of_line (const char *line)
{
  const char *start = line + strspn (line, " \t\r\n");
  const char *end;

  if (*start == '\0' || *start == ';' || *start == '#')
    return NULL;
  if (*start != '[')
    return strpbrk (start, "=:") == NULL ? "invalid INI syntax" : NULL;
  end = strchr (start, ']');
  if (end == NULL)
    return "invalid INI syntax";
  if (!is_section (start + 1, (size_t)(end - start - 1)))
    return "unknown section";
  return NULL;
}

/* Reads one line for the INI parser and counts it; a line with a syntax error
   is reported and replaced by an empty one.  */
static char *
read_line (char *text, int size, void *data)
{
  struct parse_state *state = data;
  const char *fault;
  size_t length;

  if (fgets (text, size, state->file) == NULL)
    return NULL;
  state->line++;
  length = strlen (text);
  if ((length == 0 || text[length - 1] != '\n') && !feof (state->file))
    {
      skip_line (state->file);
      fault = "line is too long or contains a NUL byte";
    }
  else
    fault = fault_of_line (text);
  if (fault == NULL)
    return text;
  report (state, state->line, "-", "-", fault);
  text[0] = '\n';
  text[1] = '\0';
  return text;
}

static void
set_defaults (struct galena_settings *settings)
{
  memset (settings, 0, sizeof *settings);
  for (uint32_t i = 0; i < ROW_COUNT; i++)
    if (ROWS[i].setting.default_value != NULL)
      ROWS[i].parse (&ROWS[i], ROWS[i].setting.default_value,
                     member_at (settings, &ROWS[i]));
}

/* Returns whether the key of ROW is required.  If the role is unknown, only
   the keys that every process requires are.  */
static bool
is_required (const struct parse_state *state, const struct setting_row *row)
{
  enum galena_role role = state->settings->role;
  unsigned bit = 2U * state->settings->front;

  if (row->setting.default_value != NULL)
    return false;
  if ((row->flags & BY_ALL) == BY_ALL)
    return true;
  if (role != GALENA_ROLE_ENTRY && role != GALENA_ROLE_AGENT)
    return false;
  return (row->flags >> (bit + (role == GALENA_ROLE_AGENT)) & 1) != 0;
}

static void
report_missing (struct parse_state *state)
{
  for (uint32_t i = 0; i < ROW_COUNT; i++)
    if (state->lines[i] == 0 && is_required (state, &ROWS[i]))
      report_row (state, 0, &ROWS[i], "missing");
}

enum galena_result
galena_settings_load (const char *path, struct galena_settings *settings,
                      FILE *faults)
{
  struct parse_state state
      = { .path = path, .settings = settings, .faults = faults };
  int line;

  set_defaults (settings);
  settings->role = GALENA_ROLE_COUNT;
  state.file = fopen (path, "r");
  if (state.file == NULL)
    {
      report (&state, 0, "-", "-", "cannot read the file");
      return GALENA_ERR_IO;
    }
  line = ini_parse_stream (read_line, &state, on_pair, &state);
  fclose (state.file);
  if (line != 0)
    report (&state, line > 0 ? line : 0, "-", "-", "invalid INI syntax");
  report_missing (&state);
  settings->packets_choice_set
      = state.lines[find_row ("packets", "choice") - ROWS] != 0;
  return state.fault_count == 0 ? GALENA_OK : GALENA_ERR_INVALID;
}
