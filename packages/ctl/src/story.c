/* galenactl story: what the processes of a log decided on one caller's flow,
   and what happened to them and to the agents concerned meanwhile.  */

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
  /* What happened this long before and after the flow's own lines belongs to
     its story: a hint of an agent is avoided for a second, a lost platform
     noticed within some.  */
  BEFORE_MS = 5000,
  AFTER_MS = 1000
};

/* Keys of a line that the story shows, in the order of its columns.  */
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
  CELL_SHOWN,
  /* Read to choose lines by.  */
  CELL_CALLER = CELL_SHOWN,
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

static const char NO_AGENT[] = "0.0.0.0:0";

/* Events of a process that bear on all of its flows.  */
static const char *const PROCESS_EVENTS[] = {
  "started",           "ended",        "signal",      "paused",
  "platform-lost",     "entry-aside",  "entry-back",  "reloaded",
  "config-taken",      "log-left-out", "log-untaken", "failed",
  "platform-regained",
};

/* Events on an agent.  */
static const char *const AGENT_EVENTS[]
    = { "upstream-state", "agent-suspect", "agent-heard" };

struct line
{
  /* Place in the log.  */
  size_t number;
  char cells[CELL_COUNT][CELL_BYTES];
};

struct lines
{
  struct line *rows;
  size_t count;
  size_t room;
};

struct names
{
  uint32_t count;
  char rows[NAMES_MAX][CELL_BYTES];
};

/* What the story is about.  */
struct subject
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

/* Fills the cells of LINE from the pairs in TEXT; false when it is no line of
   a log.  Whatever stands before the first pair is passed over.  */
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
  /* Events without an agent name the address 0.  */
  if (strcmp (line->cells[CELL_AGENT], NO_AGENT) == 0)
    line->cells[CELL_AGENT][0] = '\0';
  return true;
}

static bool
make_room (struct lines *lines)
{
  size_t room = lines->room == 0 ? 1024 : lines->room * 2;
  struct line *rows;

  if (lines->count < lines->room)
    return true;
  rows = realloc (lines->rows, room * sizeof *rows);
  if (rows == NULL)
    return false;
  lines->rows = rows;
  lines->room = room;
  return true;
}

/* Reads the lines of IN; false when memory is short.  */
static bool
read_lines (FILE *in, struct lines *lines)
{
  char *text = NULL;
  size_t size = 0;
  bool room = true;

  while (room && getline (&text, &size, in) >= 0)
    {
      room = make_room (lines);
      if (!room || !read_line (text, &lines->rows[lines->count]))
        continue;
      lines->rows[lines->count].number = lines->count;
      lines->count++;
    }
  free (text);
  return room;
}

static uint64_t
time_of (const struct line *line)
{
  return strtoull (line->cells[CELL_TIME], NULL, 10);
}

static bool
is_own (const struct subject *subject, const struct line *line)
{
  return strcmp (line->cells[CELL_CALLER], subject->caller) == 0;
}

/* Notes the processes and agents that took part, and when.  False when no line
   is of the caller.  */
static bool
find_subject (const struct lines *lines, struct subject *subject)
{
  subject->first_ms = UINT64_MAX;
  for (size_t i = 0; i < lines->count; i++)
    {
      const struct line *line = &lines->rows[i];
      uint64_t ms = time_of (line);

      if (!is_own (subject, line))
        continue;
      if (ms < subject->first_ms)
        subject->first_ms = ms;
      if (ms > subject->last_ms)
        subject->last_ms = ms;
      add_name (&subject->processes, line->cells[CELL_PROCESS]);
      add_name (&subject->agents, line->cells[CELL_AGENT]);
    }
  /* Agents are processes too; each tells its address when it starts.  */
  for (size_t i = 0; i < lines->count; i++)
    if (strcmp (lines->rows[i].cells[CELL_EVENT], "started") == 0
        && has_name (&subject->agents, lines->rows[i].cells[CELL_ADDRESS]))
      add_name (&subject->processes, lines->rows[i].cells[CELL_PROCESS]);
  return subject->processes.count > 0;
}

static bool
is_told (const struct subject *subject, const struct line *line)
{
  uint64_t ms = time_of (line);
  const char *event = line->cells[CELL_EVENT];

  if (is_own (subject, line))
    return true;
  if (ms + BEFORE_MS < subject->first_ms || ms > subject->last_ms + AFTER_MS
      || !has_name (&subject->processes, line->cells[CELL_PROCESS]))
    return false;
  if (is_event (event, AGENT_EVENTS,
                sizeof AGENT_EVENTS / sizeof AGENT_EVENTS[0]))
    return has_name (&subject->agents, line->cells[CELL_AGENT]);
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

/* Keeps the lines that are told, in the order of time.  */
static void
keep_told (struct lines *lines, const struct subject *subject)
{
  size_t kept = 0;

  for (size_t i = 0; i < lines->count; i++)
    if (is_told (subject, &lines->rows[i]))
      lines->rows[kept++] = lines->rows[i];
  lines->count = kept;
  qsort (lines->rows, kept, sizeof *lines->rows, compare_lines);
}

static void
print_lines (const struct arguments *arguments, const struct lines *lines)
{
  struct sheet *sheet;

  if (sheet_create (KEYS, CELL_SHOWN, &sheet) != GALENA_OK)
    return;
  for (size_t i = 0; i < lines->count; i++)
    {
      if (sheet_add_row (sheet) != GALENA_OK)
        break;
      for (uint32_t cell = 0; cell < CELL_SHOWN; cell++)
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
tell (const struct arguments *arguments, struct lines *lines)
{
  struct subject subject = { .caller = arguments->words[2] };

  if (!find_subject (lines, &subject))
    {
      fprintf (stderr, "galenactl: %s: no line of caller %s\n",
               arguments->words[1], subject.caller);
      return EXIT_FAILURE;
    }
  keep_told (lines, &subject);
  print_lines (arguments, lines);
  return EXIT_SUCCESS;
}

int
run_story (const struct arguments *arguments)
{
  const char *path = arguments->words[1];
  struct lines lines = { 0 };
  FILE *in = strcmp (path, "-") == 0 ? stdin : fopen (path, "r");
  int status = EXIT_FAILURE;

  if (in == NULL)
    {
      fprintf (stderr, "galenactl: %s: %s\n", path, strerror (errno));
      return EXIT_FAILURE;
    }
  if (read_lines (in, &lines))
    status = tell (arguments, &lines);
  else
    fprintf (stderr, "galenactl: %s: memory is short\n", path);
  free (lines.rows);
  if (in != stdin)
    fclose (in);
  return status;
}
