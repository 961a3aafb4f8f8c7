/* Parses scripts: times, verbs and their arguments.  */

#include <string.h>

#include "scenario.h"

GQuark
scenario_error (void)
{
  return g_quark_from_static_string ("scenario");
}

static const struct scenario_verb *
find_verb (const char *name)
{
  for (uint32_t i = 0; i < SCENARIO_VERB_COUNT; i++)
    if (strcmp (SCENARIO_VERBS[i].name, name) == 0)
      return &SCENARIO_VERBS[i];
  return NULL;
}

/* A unit that values of a type may have; "" for none.  */
struct unit
{
  enum scenario_type type;
  const char *suffix;
  double factor;
};

static const struct unit UNITS[] = {
  { SCENARIO_COUNT, "", 1 },     { SCENARIO_NUMBER, "", 1 },
  { SCENARIO_TIME, "ms", 1 },    { SCENARIO_TIME, "s", 1000 },
  { SCENARIO_SHARE, "%", 0.01 }, { SCENARIO_ANY, "", 1 },
  { SCENARIO_ANY, "ms", 1 },     { SCENARIO_ANY, "s", 1000 },
  { SCENARIO_ANY, "%", 0.01 },
};

static bool
parse_number (enum scenario_type type, const char *word, double *number)
{
  char *end;
  double value = g_ascii_strtod (word, &end);

  if (end == word || value < 0)
    return false;
  if (type == SCENARIO_COUNT && value != (double)(uint64_t)value)
    return false;
  for (size_t i = 0; i < G_N_ELEMENTS (UNITS); i++)
    if (UNITS[i].type == type && strcmp (UNITS[i].suffix, end) == 0)
      {
        *number = value * UNITS[i].factor;
        return true;
      }
  return false;
}

static bool
parse_value (const struct scenario_parameter *parameter, const char *word,
             struct scenario_value *value, GError **error)
{
  value->text = word;
  if (parameter->type == SCENARIO_WORD || parameter->type == SCENARIO_NODES
      || parameter->type == SCENARIO_FLAG || *word == '\0')
    return true;
  if (parse_number (parameter->type, word, &value->number))
    return true;
  g_set_error (error, scenario_error (), 0, "bad value \"%s\" of \"%s\"", word,
               parameter->name);
  return false;
}

static const char *const TYPE_NAMES[] = {
  [SCENARIO_WORD] = "WORD",     [SCENARIO_COUNT] = "COUNT",
  [SCENARIO_NUMBER] = "NUMBER", [SCENARIO_TIME] = "TIME",
  [SCENARIO_SHARE] = "SHARE",   [SCENARIO_NODES] = "NODES",
  [SCENARIO_ANY] = "NUMBER",    [SCENARIO_FLAG] = "",
};

void
scenario_describe (const struct scenario_verb *verb, GString *text)
{
  g_string_append (text, verb->name);
  for (uint32_t i = 0;
       i < SCENARIO_PARAMETERS_MAX && verb->parameters[i].name != NULL; i++)
    {
      const struct scenario_parameter *parameter = &verb->parameters[i];
      bool optional = verb->optional_index > 0 && i == verb->optional_index;

      if (i < verb->positional)
        g_string_append_printf (text, optional ? " [%s]" : " %s",
                                parameter->name);
      else if (parameter->type == SCENARIO_FLAG)
        g_string_append_printf (text, " [%s]", parameter->name);
      else
        g_string_append_printf (
            text, parameter->default_value == NULL ? " %s %s" : " [%s %s]",
            parameter->name, TYPE_NAMES[parameter->type]);
    }
}

static int
find_parameter (const struct scenario_verb *verb, const char *name)
{
  for (uint32_t i = verb->positional;
       i < SCENARIO_PARAMETERS_MAX && verb->parameters[i].name != NULL; i++)
    if (strcmp (verb->parameters[i].name, name) == 0)
      return (int)i;
  return -1;
}

/* Parses the argument at position POSITION, which begins at WORDS.  Returns
   the number of words parsed, or 0 and sets ERROR on failure.  */
static uint32_t
parse_argument (struct scenario_line *line, uint32_t position, char **words,
                GError **error)
{
  const struct scenario_verb *verb = line->verb;
  int index = position < verb->positional ? (int)position
                                          : find_parameter (verb, words[0]);
  bool named = position >= verb->positional;

  if (index < 0)
    {
      g_set_error (error, scenario_error (), 0, "unknown argument \"%s\"",
                   words[0]);
      return 0;
    }
  if (verb->parameters[index].type == SCENARIO_FLAG)
    {
      line->values[index].text = words[0];
      line->values[index].number = 1;
      return 1;
    }
  if (words[named] == NULL)
    {
      g_set_error (error, scenario_error (), 0, "\"%s\" has no value",
                   words[0]);
      return 0;
    }
  if (!parse_value (&verb->parameters[index], words[named],
                    &line->values[index], error))
    return 0;
  return named ? 2 : 1;
}

/* Gives parameters that were left out their default values.  */
static bool
fill_defaults (struct scenario_line *line, GError **error)
{
  for (uint32_t i = 0; i < SCENARIO_PARAMETERS_MAX; i++)
    {
      const struct scenario_parameter *parameter = &line->verb->parameters[i];

      if (parameter->name == NULL)
        return true;
      if (line->values[i].text != NULL || parameter->type == SCENARIO_FLAG)
        continue;
      if (parameter->default_value == NULL)
        {
          g_set_error (error, scenario_error (), 0, "\"%s\" is missing",
                       parameter->name);
          return false;
        }
      if (!parse_value (parameter, parameter->default_value, &line->values[i],
                        error))
        return false;
    }
  return true;
}

static bool
parse_arguments (struct scenario_line *line, char **words, GError **error)
{
  const struct scenario_verb *verb = line->verb;
  bool skip = verb->optional_index > 0
              && g_strv_length (words) == verb->positional - 1;
  uint32_t position = 0;

  while (*words != NULL)
    {
      if (skip && position == verb->optional_index)
        line->values[position++].text = "";
      uint32_t parsed = parse_argument (line, position++, words, error);

      if (parsed == 0)
        return false;
      words += parsed;
    }
  return fill_defaults (line, error);
}

/* Parses TIME, or TIME..TIME for a random time between the two.  */
static bool
parse_time (struct scenario_line *line, const char *word, GError **error)
{
  char **ends = g_strsplit (word, "..", 2);
  double earliest = 0;
  double latest = 0;
  bool good
      = ends[0] != NULL && parse_number (SCENARIO_TIME, ends[0], &earliest);

  latest = earliest;
  if (good && ends[1] != NULL)
    good
        = parse_number (SCENARIO_TIME, ends[1], &latest) && latest >= earliest;
  g_strfreev (ends);
  line->earliest_ms = (int64_t)earliest;
  line->latest_ms = (int64_t)latest;
  if (!good)
    g_set_error (error, scenario_error (), 0, "bad time \"%s\"", word);
  return good;
}

static bool
parse_line (struct scenario_line *line, GError **error)
{
  char **words = line->words;

  if (strcmp (words[0], "at") == 0)
    {
      if (words[1] == NULL || words[2] == NULL)
        {
          g_set_error (error, scenario_error (), 0, "\"at\" needs a verb");
          return false;
        }
      if (!parse_time (line, words[1], error))
        return false;
      words += 2;
    }
  line->verb = find_verb (words[0]);
  if (line->verb == NULL)
    {
      g_set_error (error, scenario_error (), 0, "unknown verb \"%s\"",
                   words[0]);
      return false;
    }
  return parse_arguments (line, words + 1, error);
}

static bool
read_line (struct scenario_script *script, const char *text, uint32_t number,
           GError **error)
{
  struct scenario_line line = { .number = number };
  GError *problem = NULL;

  if (!g_shell_parse_argv (text, NULL, &line.words, &problem))
    {
      if (g_error_matches (problem, G_SHELL_ERROR, G_SHELL_ERROR_EMPTY_STRING))
        {
          g_error_free (problem);
          return true;
        }
    }
  else
    parse_line (&line, &problem);
  if (problem != NULL)
    {
      g_strfreev (line.words);
      g_propagate_prefixed_error (error, problem, "%s:%u: ", script->path,
                                  number);
      return false;
    }
  g_array_append_val (script->lines, line);
  return true;
}

struct scenario_script *
scenario_read (const char *path, GError **error)
{
  struct scenario_script *script;
  char *text;
  char **lines;
  bool good = true;

  if (!g_file_get_contents (path, &text, NULL, error))
    return NULL;
  script = g_new0 (struct scenario_script, 1);
  script->path = g_strdup (path);
  script->lines = g_array_new (FALSE, TRUE, sizeof (struct scenario_line));
  lines = g_strsplit (text, "\n", -1);
  for (uint32_t i = 0; lines[i] != NULL && good; i++)
    good = read_line (script, lines[i], i + 1, error);
  g_strfreev (lines);
  g_free (text);
  if (good)
    return script;
  scenario_free (script);
  return NULL;
}

void
scenario_free (struct scenario_script *script)
{
  for (guint i = 0; i < script->lines->len; i++)
    g_strfreev (g_array_index (script->lines, struct scenario_line, i).words);
  g_array_free (script->lines, TRUE);
  g_free (script->path);
  g_free (script);
}
