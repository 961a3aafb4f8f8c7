/* The verbs of the scenario language.  */

#include <string.h>

#include "scenario.h"

/* Returns the index of the service named NAME, or -1 and sets ERROR.  */
static int
find_service (const struct scenario *scenario, const char *name,
              GError **error)
{
  const struct fleet *fleet = scenario->fleet;

  for (uint32_t i = 0; i < fleet->service_count; i++)
    if (strcmp (fleet->services[i].service.name, name) == 0)
      return (int)i;
  g_set_error (error, scenario_error (), 0, "unknown service \"%s\"", name);
  return -1;
}

static const struct galena_kind *
find_kind (const struct scenario *scenario, uint32_t service, const char *name,
           GError **error)
{
  const struct galena_service *row
      = &scenario->fleet->services[service].service;

  for (uint32_t i = 0; i < row->kind_count; i++)
    if (strcmp (row->kinds[i].name, name) == 0)
      return &row->kinds[i];
  g_set_error (error, scenario_error (), 0, "unknown kind \"%s\"", name);
  return NULL;
}

/* Runs a verb on one node of a list.  */
typedef bool node_handler (struct scenario *scenario, uint32_t node,
                           const struct scenario_value *values,
                           GError **error);

static bool
is_in_list (char **patterns, const char *name)
{
  for (; *patterns != NULL; patterns++)
    if (g_pattern_match_simple (*patterns, name))
      return true;
  return false;
}

/* Calls HANDLE for each node that matches the list in the verb's first value.
   A list that matches no node is an error.  */
static bool
for_each_node (struct scenario *scenario, const struct scenario_value *values,
               node_handler *handle, GError **error)
{
  char **patterns = g_strsplit (values[0].text, ",", -1);
  uint32_t count = 0;
  bool good = true;

  for (uint32_t i = 0; i < scenario->fleet->node_count && good; i++)
    {
      if (!is_in_list (patterns, scenario->fleet->nodes[i].name))
        continue;
      count++;
      good = handle (scenario, i, values, error);
    }
  g_strfreev (patterns);
  if (count > 0)
    return good;
  g_set_error (error, scenario_error (), 0, "unknown node \"%s\"",
               values[0].text);
  return false;
}

static bool
set_network (struct scenario *scenario, const struct scenario_value *values,
             GError **error)
{
  (void)error;
  scenario->fleet->options.network = (struct fleet_network){
    .delay_ms = (uint32_t)values[0].number,
    .jitter_ms = (uint32_t)values[1].number,
    .drop = values[2].number,
    .duplicate = values[3].number,
    .reorder = values[4].number,
    .reorder_ms = (uint32_t)values[5].number,
  };
  return true;
}

static bool
set_lags (struct scenario *scenario, const struct scenario_value *values,
          GError **error)
{
  (void)error;
  scenario->fleet->options.platform_lag_ms = (uint32_t)values[0].number;
  scenario->fleet->options.fabric_lag_ms = (uint32_t)values[1].number;
  return true;
}

static bool
set_policy (struct scenario *scenario, const struct scenario_value *values,
            GError **error)
{
  struct fleet_options *options = &scenario->fleet->options;

  (void)error;
  options->choice = *values[0].text == '\0' ? NULL : values[0].text;
  options->admission = *values[1].text == '\0' ? NULL : values[1].text;
  return true;
}

static bool
add_service (struct scenario *scenario, const struct scenario_value *values,
             GError **error)
{
  (void)error;
  fleet_add_service (scenario->fleet, values[0].text, NULL, 0);
  return true;
}

static bool
add_kind (struct scenario *scenario, const struct scenario_value *values,
          GError **error)
{
  int service = find_service (scenario, values[0].text, error);
  struct galena_service *row;
  struct galena_kind *kind;

  if (service < 0)
    return false;
  row = &scenario->fleet->services[service].service;
  kind = &row->kinds[row->kind_count];
  g_strlcpy (kind->name, values[1].text, sizeof kind->name);
  kind->number = (uint16_t)row->kind_count++;
  kind->urgency = (uint16_t)values[2].number;
  kind->deadline_ms = (uint32_t)values[3].number;
  kind->minimum_share_percent = (uint16_t)(values[4].number * 100);
  kind->idempotent = values[5].number > 0;
  kind->endless = values[6].number > 0;
  return true;
}

/* Returns the zone of node NUMBER: nodes take the zones of the comma-separated
   LIST in turn.  The caller frees it.  */
static char *
zone_at (const char *list, uint32_t number)
{
  char **zones = g_strsplit (list, ",", -1);
  char *zone = g_strdup (zones[number % g_strv_length (zones)]);

  g_strfreev (zones);
  return zone;
}

static bool
add_entries (struct scenario *scenario, const struct scenario_value *values,
             GError **error)
{
  (void)error;
  for (uint32_t i = 0; i < values[0].number; i++)
    {
      char *zone = zone_at (values[1].text, i);

      fleet_add_entry (scenario->fleet, zone);
      g_free (zone);
    }
  return true;
}

static bool
add_agents (struct scenario *scenario, const struct scenario_value *values,
            GError **error)
{
  int service = find_service (scenario, values[1].text, error);
  struct fleet_upstream upstream = { .speed = values[3].number,
                                     .slots = (uint32_t)values[4].number,
                                     .warmup_factor = 1 };

  if (service < 0)
    return false;
  for (uint32_t i = 0; i < values[0].number; i++)
    {
      char *zone = zone_at (values[2].text, i);

      fleet_add_agent (scenario->fleet, zone, (uint32_t)service, &upstream,
                       (uint32_t)values[5].number);
      g_free (zone);
    }
  return true;
}

static bool
add_callers (struct scenario *scenario, const struct scenario_value *values,
             GError **error)
{
  (void)error;
  for (uint32_t i = 0; i < values[0].number; i++)
    fleet_add_caller (scenario->fleet);
  return true;
}

static bool
fill_load (struct scenario *scenario, const struct scenario_value *values,
           struct fleet_load *load, GError **error)
{
  int service = find_service (scenario, values[1].text, error);
  const struct galena_kind *kind;
  int caller = fleet_find (scenario->fleet, values[13].text);

  if (service < 0)
    return false;
  kind = find_kind (scenario, (uint32_t)service, values[2].text, error);
  if (kind == NULL)
    return false;
  if (caller < 0 || scenario->fleet->nodes[caller].kind != FLEET_CALLER)
    {
      g_set_error (error, scenario_error (), 0, "unknown caller \"%s\"",
                   values[13].text);
      return false;
    }
  load->service = (uint32_t)service;
  load->kind = kind->number;
  load->idempotent = kind->idempotent;
  load->endless = kind->endless;
  load->deadline_ms = kind->deadline_ms;
  load->caller = (uint32_t)caller;
  return true;
}

static bool
add_load (struct scenario *scenario, const struct scenario_value *values,
          GError **error)
{
  struct fleet_load load = { .rate = values[3].number,
                             .flow_requests = (uint32_t)values[4].number,
                             .think_ms = (uint32_t)values[5].number,
                             .body_bytes = (uint32_t)values[6].number,
                             .answer_bytes = (uint32_t)values[7].number,
                             .work_ms = (uint32_t)values[8].number,
                             .lasts_ms = (uint32_t)values[10].number,
                             .from = { (int64_t)values[11].number },
                             .until = { (int64_t)values[12].number },
                             .unrouted = values[14].number > 0 };

  if (!fill_load (scenario, values, &load, error))
    return false;
  if (*values[9].text != '\0')
    load.deadline_ms = (uint32_t)values[9].number;
  g_strlcpy (load.name, values[0].text, sizeof load.name);
  fleet_add_load (scenario->fleet, &load);
  return true;
}

static bool
set_rate (struct scenario *scenario, const struct scenario_value *values,
          GError **error)
{
  for (uint32_t i = 0; i < scenario->fleet->load_count; i++)
    if (strcmp (scenario->fleet->loads[i].name, values[0].text) == 0)
      {
        scenario->fleet->loads[i].rate = values[1].number;
        return true;
      }
  g_set_error (error, scenario_error (), 0, "unknown load \"%s\"",
               values[0].text);
  return false;
}

static bool
kill_node (struct scenario *scenario, uint32_t node,
           const struct scenario_value *values, GError **error)
{
  (void)values;
  if (scenario->fleet->nodes[node].kind == FLEET_CALLER)
    {
      g_set_error (error, scenario_error (), 0, "callers cannot be killed");
      return false;
    }
  fleet_kill (scenario->fleet, node);
  return true;
}

static bool
start_node (struct scenario *scenario, uint32_t node,
            const struct scenario_value *values, GError **error)
{
  (void)values;
  (void)error;
  if (scenario->fleet->nodes[node].world == NULL)
    fleet_start (scenario->fleet, node);
  return true;
}

static bool
restart_node (struct scenario *scenario, uint32_t node,
              const struct scenario_value *values, GError **error)
{
  return kill_node (scenario, node, values, error)
         && start_node (scenario, node, values, error);
}

static bool
stop_node (struct scenario *scenario, uint32_t node,
           const struct scenario_value *values, GError **error)
{
  (void)error;
  fleet_stop (scenario->fleet, node, (uint32_t)values[1].number, false);
  return true;
}

static bool
replace_node (struct scenario *scenario, uint32_t node,
              const struct scenario_value *values, GError **error)
{
  (void)error;
  fleet_stop (scenario->fleet, node, (uint32_t)values[1].number, true);
  return true;
}

static bool
freeze_node (struct scenario *scenario, uint32_t node,
             const struct scenario_value *values, GError **error)
{
  (void)error;
  fleet_freeze (scenario->fleet, node, (uint32_t)values[1].number);
  return true;
}

static bool
cut_node (struct scenario *scenario, uint32_t node,
          const struct scenario_value *values, GError **error)
{
  (void)error;
  fleet_cut (scenario->fleet, node, (uint32_t)values[1].number);
  return true;
}

static bool
heal_node (struct scenario *scenario, uint32_t node,
           const struct scenario_value *values, GError **error)
{
  (void)values;
  (void)error;
  fleet_cut (scenario->fleet, node, 0);
  return true;
}

/* Sets how the upstream behind an agent behaves from now on.  */
static bool
set_upstream (struct scenario *scenario, uint32_t node,
              const struct scenario_value *values, GError **error)
{
  struct fleet_upstream *upstream = &scenario->fleet->nodes[node].upstream;

  (void)error;
  if (*values[1].text != '\0')
    upstream->speed = values[1].number;
  upstream->warmup_factor = values[2].number;
  upstream->warmup_until
      = galena_clock_add_ms (scenario->fleet->now, (int64_t)values[3].number);
  upstream->silent = values[4].number > 0;
  upstream->sheds = values[5].number > 0;
  return true;
}

static bool
set_state (struct scenario *scenario, uint32_t node,
           enum galena_upstream_state state, GError **error)
{
  struct galena_upstream *row = NULL;

  if (scenario->fleet->nodes[node].kind == FLEET_AGENT)
    row = fleet_upstream_row (scenario->fleet, node);
  if (row != NULL)
    {
      row->state = state;
      return true;
    }
  g_set_error (error, scenario_error (), 0,
               "\"%s\" has no upstream in a record",
               scenario->fleet->nodes[node].name);
  return false;
}

static bool
leave_node (struct scenario *scenario, uint32_t node,
            const struct scenario_value *values, GError **error)
{
  (void)values;
  return set_state (scenario, node, GALENA_UPSTREAM_LEAVING, error);
}

static bool
join_node (struct scenario *scenario, uint32_t node,
           const struct scenario_value *values, GError **error)
{
  (void)values;
  return set_state (scenario, node, GALENA_UPSTREAM_ACTIVE, error);
}

static bool
remove_node (struct scenario *scenario, uint32_t node,
             const struct scenario_value *values, GError **error)
{
  struct galena_service_record *record;
  struct galena_upstream *row;
  uint32_t after;

  (void)values;
  if (!set_state (scenario, node, GALENA_UPSTREAM_LEAVING, error))
    return false;
  row = fleet_upstream_row (scenario->fleet, node);
  record = &scenario->fleet->services[scenario->fleet->nodes[node].service];
  after = (uint32_t)(record->upstreams + record->service.upstream_count
                     - (row + 1));
  memmove (row, row + 1, after * sizeof *row);
  record->service.upstream_count--;
  return true;
}

static bool
reweight_node (struct scenario *scenario, uint32_t node,
               const struct scenario_value *values, GError **error)
{
  struct galena_upstream *row = fleet_upstream_row (scenario->fleet, node);

  if (row == NULL)
    {
      g_set_error (error, scenario_error (), 0,
                   "node has no upstream in a record");
      return false;
    }
  row->weight = (uint32_t)values[1].number;
  return true;
}

static bool
list_node (struct scenario *scenario, uint32_t node,
           const struct scenario_value *values, GError **error)
{
  bool leaving = strcmp (values[1].text, "leaving") == 0;

  if (!leaving && strcmp (values[1].text, "live") != 0)
    {
      g_set_error (error, scenario_error (), 0,
                   "\"%s\" is neither leaving nor live", values[1].text);
      return false;
    }
  fleet_set_listed_leaving (scenario->fleet, node, leaving);
  return true;
}

/* Defines the handler of a verb that acts on a list of nodes.  */
#define NODE_VERB(name)                                                       \
  static bool each_##name (struct scenario *scenario,                         \
                           const struct scenario_value *values,               \
                           GError **error)                                    \
  {                                                                           \
    return for_each_node (scenario, values, name##_node, error);              \
  }

NODE_VERB (kill)
NODE_VERB (list)
NODE_VERB (start)
NODE_VERB (restart)
NODE_VERB (stop)
NODE_VERB (replace)
NODE_VERB (freeze)
NODE_VERB (cut)
NODE_VERB (heal)
NODE_VERB (leave)
NODE_VERB (join)
NODE_VERB (remove)
NODE_VERB (reweight)

static bool
each_upstream (struct scenario *scenario, const struct scenario_value *values,
               GError **error)
{
  return for_each_node (scenario, values, set_upstream, error);
}

/* Silences the paths from one node to the nodes of a second list, in which
   "fabric" means any entry.  */
static bool
silence_node (struct scenario *scenario, uint32_t node,
              const struct scenario_value *values, GError **error)
{
  struct fleet *fleet = scenario->fleet;
  char **patterns = g_strsplit (values[1].text, ",", -1);

  (void)error;
  if (is_in_list (patterns, "fabric"))
    fleet_block_path (fleet, node, FLEET_ANY_ENTRY);
  for (uint32_t i = 0; i < fleet->node_count; i++)
    if (i != node && is_in_list (patterns, fleet->nodes[i].name))
      fleet_block_path (fleet, node, i);
  g_strfreev (patterns);
  return true;
}

NODE_VERB (silence)

static bool
publish (struct scenario *scenario, const struct scenario_value *values,
         GError **error)
{
  int service = find_service (scenario, values[0].text, error);

  if (service < 0)
    return false;
  fleet_publish (scenario->fleet, (uint32_t)service);
  return true;
}

/* Changes the address of a service.  */
static bool
readdress (struct scenario *scenario, const struct scenario_value *values,
           GError **error)
{
  int service = find_service (scenario, values[0].text, error);

  if (service < 0)
    return false;
  fleet_set_address (scenario->fleet, (uint32_t)service,
                     (uint32_t)values[1].number);
  return true;
}

static bool
set_schema (struct scenario *scenario, const struct scenario_value *values,
            GError **error)
{
  int service = find_service (scenario, values[0].text, error);

  if (service < 0)
    return false;
  scenario->fleet->services[service].service.schema
      = (uint32_t)values[1].number;
  return true;
}

static bool
set_platform (struct scenario *scenario, const struct scenario_value *values,
              GError **error)
{
  bool down = strcmp (values[0].text, "down") == 0;

  if (!down && strcmp (values[0].text, "up") != 0)
    {
      g_set_error (error, scenario_error (), 0,
                   "\"%s\" is neither up nor down", values[0].text);
      return false;
    }
  scenario->fleet->platform_down = down;
  return true;
}

static bool
set_records (struct scenario *scenario, const struct scenario_value *values,
             GError **error)
{
  bool synced = strcmp (values[0].text, "synced") == 0;

  if (!synced && strcmp (values[0].text, "direct") != 0)
    {
      g_set_error (error, scenario_error (), 0,
                   "\"%s\" is neither synced nor direct", values[0].text);
      return false;
    }
  scenario->fleet->options.synced = synced;
  return true;
}

static bool
set_window (struct scenario *scenario, const struct scenario_value *values,
            GError **error)
{
  (void)error;
  scenario->window_from.ms = (int64_t)values[0].number;
  scenario->window_until.ms = (int64_t)values[1].number;
  return true;
}

/* Verb "end": the run lasts until the time of the last line.  */
static bool
do_nothing (struct scenario *scenario, const struct scenario_value *values,
            GError **error)
{
  (void)scenario;
  (void)values;
  (void)error;
  return true;
}

struct comparison
{
  const char *sign;
  bool (*holds) (double value, double limit);
};

static bool
is_equal (double value, double limit)
{
  return value >= limit && value <= limit;
}

static bool
is_at_most (double value, double limit)
{
  return value <= limit;
}

static bool
is_at_least (double value, double limit)
{
  return value >= limit;
}

static const struct comparison COMPARISONS[] = {
  { "=", is_equal },
  { "<=", is_at_most },
  { ">=", is_at_least },
};

static const struct comparison *
find_comparison (const char *word)
{
  for (size_t i = 0; i < G_N_ELEMENTS (COMPARISONS); i++)
    if (strcmp (COMPARISONS[i].sign, word) == 0)
      return &COMPARISONS[i];
  return NULL;
}

static bool
expect (struct scenario *scenario, const struct scenario_value *values,
        GError **error)
{
  const struct comparison *comparison = find_comparison (values[2].text);
  double value;

  if (comparison == NULL)
    {
      g_set_error (error, scenario_error (), 0, "unknown comparison \"%s\"",
                   values[2].text);
      return false;
    }
  if (!scenario_measure (scenario, values[0].text, values[1].text, &value,
                         error))
    return false;
  if (!comparison->holds (value, values[3].number))
    g_string_append_printf (
        scenario->failures,
        "%s:%u: seed=%lu: expect %s %s %s %s: the figure is %g\n",
        scenario->script->path, scenario->line->number, scenario->seed,
        values[0].text, values[1].text, values[2].text, values[3].text, value);
  return true;
}

#define NODES                                                                 \
  {                                                                           \
    "NODES", SCENARIO_NODES, NULL                                             \
  }
#define SERVICE                                                               \
  {                                                                           \
    "SERVICE", SCENARIO_WORD, NULL                                            \
  }

const struct scenario_verb SCENARIO_VERBS[] = {
  { "network",
    set_network,
    0,
    0,
    { { "delay", SCENARIO_TIME, "1ms" },
      { "jitter", SCENARIO_TIME, "0ms" },
      { "drop", SCENARIO_SHARE, "0%" },
      { "duplicate", SCENARIO_SHARE, "0%" },
      { "reorder", SCENARIO_SHARE, "0%" },
      { "by", SCENARIO_TIME, "20ms" } } },
  { "lag",
    set_lags,
    0,
    0,
    { { "platform", SCENARIO_TIME, "0ms" },
      { "fabric", SCENARIO_TIME, "1s" } } },
  { "policy",
    set_policy,
    0,
    0,
    { { "choice", SCENARIO_WORD, "" }, { "admission", SCENARIO_WORD, "" } } },
  { "service", add_service, 1, 0, { { "NAME", SCENARIO_WORD, NULL } } },
  { "kind",
    add_kind,
    2,
    0,
    { SERVICE,
      { "NAME", SCENARIO_WORD, NULL },
      { "urgency", SCENARIO_COUNT, "1" },
      { "deadline", SCENARIO_TIME, "10s" },
      { "share", SCENARIO_SHARE, "0%" },
      { "idempotent", SCENARIO_FLAG, NULL },
      { "endless", SCENARIO_FLAG, NULL } } },
  { "entries",
    add_entries,
    1,
    0,
    { { "COUNT", SCENARIO_COUNT, NULL }, { "zones", SCENARIO_WORD, "a" } } },
  { "agents",
    add_agents,
    1,
    0,
    { { "COUNT", SCENARIO_COUNT, NULL },
      { "service", SCENARIO_WORD, NULL },
      { "zones", SCENARIO_WORD, "a" },
      { "speed", SCENARIO_NUMBER, "1" },
      { "slots", SCENARIO_COUNT, "3" },
      { "connections", SCENARIO_COUNT, "2000" } } },
  { "callers", add_callers, 1, 0, { { "COUNT", SCENARIO_COUNT, NULL } } },
  { "load",
    add_load,
    1,
    0,
    { { "NAME", SCENARIO_WORD, NULL },
      { "service", SCENARIO_WORD, NULL },
      { "kind", SCENARIO_WORD, NULL },
      { "rate", SCENARIO_NUMBER, NULL },
      { "requests", SCENARIO_COUNT, "1" },
      { "think", SCENARIO_TIME, "100ms" },
      { "body", SCENARIO_COUNT, "100" },
      { "answer", SCENARIO_COUNT, "100" },
      { "work", SCENARIO_TIME, "20ms" },
      { "deadline", SCENARIO_TIME, "" },
      { "lasts", SCENARIO_TIME, "5s" },
      { "from", SCENARIO_TIME, "100ms" },
      { "until", SCENARIO_TIME, NULL },
      { "caller", SCENARIO_WORD, "caller-1" },
      { "unrouted", SCENARIO_FLAG, NULL } } },
  { "rate",
    set_rate,
    2,
    0,
    { { "LOAD", SCENARIO_WORD, NULL }, { "RATE", SCENARIO_NUMBER, NULL } } },
  { "kill", each_kill, 1, 0, { NODES } },
  { "start", each_start, 1, 0, { NODES } },
  { "restart", each_restart, 1, 0, { NODES } },
  { "stop", each_stop, 1, 0, { NODES, { "limit", SCENARIO_TIME, "10s" } } },
  { "replace",
    each_replace,
    1,
    0,
    { NODES, { "limit", SCENARIO_TIME, "10s" } } },
  { "freeze", each_freeze, 1, 0, { NODES, { "for", SCENARIO_TIME, NULL } } },
  { "cut", each_cut, 1, 0, { NODES, { "group", SCENARIO_COUNT, "1" } } },
  { "heal", each_heal, 1, 0, { NODES } },
  { "silence",
    each_silence,
    2,
    0,
    { NODES, { "NODES", SCENARIO_NODES, NULL } } },
  { "upstream",
    each_upstream,
    1,
    0,
    { NODES,
      { "speed", SCENARIO_NUMBER, "" },
      { "slower", SCENARIO_NUMBER, "1" },
      { "for", SCENARIO_TIME, "0ms" },
      { "silent", SCENARIO_FLAG, NULL },
      { "sheds", SCENARIO_FLAG, NULL } } },
  { "leave", each_leave, 1, 0, { NODES } },
  { "join", each_join, 1, 0, { NODES } },
  { "remove", each_remove, 1, 0, { NODES } },
  { "weight",
    each_reweight,
    2,
    0,
    { NODES, { "WEIGHT", SCENARIO_COUNT, NULL } } },
  { "list", each_list, 2, 0, { NODES, { "STATE", SCENARIO_WORD, NULL } } },
  { "publish", publish, 1, 0, { SERVICE } },
  { "readdress",
    readdress,
    2,
    0,
    { SERVICE, { "ADDRESS", SCENARIO_COUNT, NULL } } },
  { "schema",
    set_schema,
    2,
    0,
    { SERVICE, { "VERSION", SCENARIO_COUNT, NULL } } },
  { "records", set_records, 1, 0, { { "HOW", SCENARIO_WORD, NULL } } },
  { "platform", set_platform, 1, 0, { { "STATE", SCENARIO_WORD, NULL } } },
  { "window",
    set_window,
    0,
    0,
    { { "from", SCENARIO_TIME, NULL }, { "until", SCENARIO_TIME, NULL } } },
  { "end", do_nothing, 0, 0, { { 0 } } },
  { "expect",
    expect,
    4,
    1,
    { { "MEASURE", SCENARIO_WORD, NULL },
      { "LOAD", SCENARIO_WORD, NULL },
      { "COMPARISON", SCENARIO_WORD, NULL },
      { "LIMIT", SCENARIO_ANY, NULL } } },
};

const uint32_t SCENARIO_VERB_COUNT = G_N_ELEMENTS (SCENARIO_VERBS);
