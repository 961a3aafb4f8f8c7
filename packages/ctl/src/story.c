/* galenactl story: prints the lines of a log on one caller's flow, and the
   events of the processes and agents that handled it in the same period.  */

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "arguments.h"
#include "sheet.h"

enum
{
  CELL_BYTES = 64,
  NAMES_MAX = 64,
  /* Events of the processes and agents are shown from BEFORE_MS before the
     flow's first line to AFTER_MS after its last one.  An event may affect
     flows that open later: an agent is avoided for a second after a hint, and
     loss of the platform is noticed only after some seconds.  */
  BEFORE_MS = 5000,
  AFTER_MS = 1000
};

/* Keys that are read from a line, in the order of the columns.  */
enum cell
{
  CELL_TIME,
  CELL_PROCESS,
  CELL_EVENT,
  CELL_AGENT,
  CELL_RESULT,
  CELL_AGE,
  CELL_DETAIL,
  CELL_VERSION,
  SHOWN_CELL_COUNT,
  /* Not shown, only used to select lines.  */
  CELL_CALLER = SHOWN_CELL_COUNT,
  CELL_ADDRESS,
  CELL_COUNT
};

static const char *const KEYS[CELL_COUNT] = {
  [CELL_TIME] = "time_ms",  [CELL_PROCESS] = "process",
  [CELL_EVENT] = "event",   [CELL_AGENT] = "agent",
  [CELL_RESULT] = "result", [CELL_AGE] = "age_ms",
  [CELL_DETAIL] = "detail", [CELL_VERSION] = "version",
  [CELL_CALLER] = "caller", [CELL_ADDRESS] = "address",
};

/* Written by events that concern no agent.  */
static const char NO_AGENT[] = "0.0.0.0:0";

/* Events of a process that may affect all of its flows.  */
static const char *const PROCESS_EVENTS[] = {
  "started",           "ended",        "signal",         "paused",
  "platform-lost",     "entry-aside",  "entry-back",     "reloaded",
  "config-taken",      "log-left-out", "log-untaken",    "failed",
  "platform-regained", "store-era",    "change-skipped", "peer-snapshot",
};

/* Events that concern one agent.  */
static const char *const AGENT_EVENTS[]
    = { "upstream-state", "agent-suspect", "agent-heard" };

struct line
{
  /* Position in the log; keeps lines of equal time in order.  */
  size_t number;
  char cells[CELL_COUNT][CELL_BYTES];
};

struct lines
{
  struct line *rows;
  size_t count;
  size_t capacity;
};

struct names
{
  uint32_t count;
  char rows[NAMES_MAX][CELL_BYTES];
};

/* The flow of one caller: when it had lines in the log, and the processes and
   agents that handled it.  Times in Unix milliseconds.  */
struct flow
{
  const char *caller;
  uint64_t first_ms;
  uint64_t last_ms;
  struct names processes;
  struct names agents;
};

static bool
is_event (const char *name, const char *const *events, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (name, events[i]) == 0)
      return true;
  return false;
}

static bool
has_name (const struct names *names, const char *name)
{
  for (uint32_t i = 0; i < names->count; i++)
    if (strcmp (name, names->rows[i]) == 0)
      return true;
  return false;
}

static void
add_name (struct names *names, const char *name)
{
  if (*name != '\0' && names->count < NAMES_MAX && !has_name (names, name))
    snprintf (names->rows[names->count++], CELL_BYTES, "%s", name);
}

/* Parses the key=value pairs of TEXT into the cells of LINE; returns false if
   it has no "event=" and so is not a log line.  Text before the first pair
   is skipped.  */
static bool
read_line (char *text, struct line *line)
{
  char *start = strstr (text, "event=");
  char *rest = NULL;

  memset (line, 0, sizeof *line);
  if (start == NULL)
    return false;
  for (char *pair = strtok_r (start, " \n", &rest); pair != NULL;
       pair = strtok_r (NULL, " \n", &rest))
    for (int i = 0; i < CELL_COUNT; i++)
      {
        size_t length = strlen (KEYS[i]);

        if (strncmp (pair, KEYS[i], length) == 0 && pair[length] == '=')
          snprintf (line->cells[i], CELL_BYTES, "%s", pair + length + 1);
      }
  if (strcmp (line->cells[CELL_AGENT], NO_AGENT) == 0)
    line->cells[CELL_AGENT][0] = '\0';
  return true;
}

static bool
reserve_line (struct lines *lines)
{
  size_t capacity = lines->capacity == 0 ? 1024 : lines->capacity * 2;
  struct line *rows;

  if (lines->count < lines->capacity)
    return true;
  rows = realloc (lines->rows, capacity * sizeof *rows);
  if (rows == NULL)
    return false;
  lines->rows = rows;
  lines->capacity = capacity;
  return true;
}

/* Reads the log lines of IN; returns false if out of memory.  */
static bool
read_lines (FILE *in, struct lines *lines)
{
  char *text = NULL;
  size_t size = 0;
  bool ok = true;

  while (ok && getline (&text, &size, in) >= 0)
    {
      ok = reserve_line (lines);
      if (!ok || !read_line (text, &lines->rows[lines->count]))
        continue;
      lines->rows[lines->count].number = lines->count;
      lines->count++;
    }
  free (text);
  return ok;
}

static uint64_t
time_of (const struct line *line)
{
  return strtoull (line->cells[CELL_TIME], NULL, 10);
}

static bool
is_of_caller (const struct flow *flow, const struct line *line)
{
  return strcmp (line->cells[CELL_CALLER], flow->caller) == 0;
}

/* Fills FLOW with the period, processes and agents of the caller's lines.
   Returns false if there are none.  */
static bool
find_flow (const struct lines *lines, struct flow *flow)
{
  flow->first_ms = UINT64_MAX;
  for (size_t i = 0; i < lines->count; i++)
    {
      const struct line *line = &lines->rows[i];
      uint64_t ms = time_of (line);

      if (!is_of_caller (flow, line))
        continue;
      if (ms < flow->first_ms)
        flow->first_ms = ms;
      if (ms > flow->last_ms)
        flow->last_ms = ms;
      add_name (&flow->processes, line->cells[CELL_PROCESS]);
      add_name (&flow->agents, line->cells[CELL_AGENT]);
    }
  /* Agents are processes too; each logs its address when it starts.  */
  for (size_t i = 0; i < lines->count; i++)
    if (strcmp (lines->rows[i].cells[CELL_EVENT], "started") == 0
        && has_name (&flow->agents, lines->rows[i].cells[CELL_ADDRESS]))
      add_name (&flow->processes, lines->rows[i].cells[CELL_PROCESS]);
  return flow->processes.count > 0;
}

static bool
is_selected (const struct flow *flow, const struct line *line)
{
  uint64_t ms = time_of (line);
  const char *event = line->cells[CELL_EVENT];

  if (is_of_caller (flow, line))
    return true;
  if (ms + BEFORE_MS < flow->first_ms || ms > flow->last_ms + AFTER_MS
      || !has_name (&flow->processes, line->cells[CELL_PROCESS]))
    return false;
  if (is_event (event, AGENT_EVENTS,
                sizeof AGENT_EVENTS / sizeof AGENT_EVENTS[0]))
    return has_name (&flow->agents, line->cells[CELL_AGENT]);
  return is_event (event, PROCESS_EVENTS,
                   sizeof PROCESS_EVENTS / sizeof PROCESS_EVENTS[0]);
}

static int
compare_lines (const void *a, const void *b)
{
  const struct line *left = a;
  const struct line *right = b;
  uint64_t left_ms = time_of (left);
  uint64_t right_ms = time_of (right);

  if (left_ms != right_ms)
    return left_ms < right_ms ? -1 : 1;
  return left->number < right->number ? -1 : 1;
}

/* Keeps only the lines that concern FLOW, in order of time.  */
static void
select_lines (struct lines *lines, const struct flow *flow)
{
  size_t kept = 0;

  for (size_t i = 0; i < lines->count; i++)
    if (is_selected (flow, &lines->rows[i]))
      lines->rows[kept++] = lines->rows[i];
  lines->count = kept;
  qsort (lines->rows, kept, sizeof *lines->rows, compare_lines);
}

static void
print_lines (const struct arguments *arguments, const struct lines *lines)
{
  struct sheet *sheet;

  if (sheet_create (KEYS, SHOWN_CELL_COUNT, &sheet) != GALENA_OK)
    return;
  for (size_t i = 0; i < lines->count; i++)
    {
      if (sheet_add_row (sheet) != GALENA_OK)
        break;
      for (uint32_t cell = 0; cell < SHOWN_CELL_COUNT; cell++)
        sheet_set_text (sheet, cell, lines->rows[i].cells[cell]);
      sheet_filter_row (sheet, arguments->filters, arguments->filter_count);
    }
  if (arguments->json)
    sheet_print_json (sheet, false, stdout);
  else
    sheet_print (sheet, true, stdout);
  sheet_destroy (sheet);
}

static int
print_story (const struct arguments *arguments, struct lines *lines)
{
  struct flow flow = { .caller = arguments->positional[2] };

  if (!find_flow (lines, &flow))
    {
      fprintf (stderr, "galenactl: %s: no line of caller %s\n",
               arguments->positional[1], flow.caller);
      return EXIT_FAILURE;
    }
  select_lines (lines, &flow);
  print_lines (arguments, lines);
  return EXIT_SUCCESS;
}

int
run_story (const struct arguments *arguments)
{
  const char *path = arguments->positional[1];
  struct lines lines = { 0 };
  FILE *in = strcmp (path, "-") == 0 ? stdin : fopen (path, "r");
  int status = EXIT_FAILURE;

  if (in == NULL)
    {
      fprintf (stderr, "galenactl: %s: %s\n", path, strerror (errno));
      return EXIT_FAILURE;
    }
  if (read_lines (in, &lines))
    status = print_story (arguments, &lines);
  else
    fprintf (stderr, "galenactl: %s: out of memory\n", path);
  free (lines.rows);
  if (in != stdin)
    fclose (in);
  return status;
}
