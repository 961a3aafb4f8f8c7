/* The role of an entry: its tables, handlers and systems.  */

#include <stdlib.h>

#include "entry_waiting.h"

enum
{
  /* After a pause, new flows wait at most this long for a refresh of the
     directory: the time of two attempts to connect to the platform.  */
  REFRESH_TIMEOUT_MS = 400,
  OPENINGS_PERIOD_MS = 20,
  SEARCHES_PERIOD_MS = 20,
  PROBES_PERIOD_MS = 10,
  EXPIRE_PERIOD_MS = 1000,
  HELLO_PERIOD_MS = 500,
  CAPACITY_PERIOD_MS = 100,
  OUTLIERS_PERIOD_MS = 250,
  /* The figures of reports that waited during a pause cover a second before
     it ended, and the next round of reports comes within this time.  */
  OUTLIERS_AFTER_PAUSE_MS = 1000
};

static void
on_load (struct galena_plane *plane, struct galena_endpoint peer,
         const struct galena_peer_message *message)
{
  struct galena_handle handle;

  entry_update_from_agent (plane, peer, message, &handle);
}

static void
on_hello (struct galena_plane *plane, struct galena_endpoint peer,
          const struct galena_peer_message *message)
{
  members_on_hello (plane, peer, message);
  if (message->role == GALENA_ROLE_AGENT)
    entry_tell_agent (plane, peer);
  else if (message->sequence != 0)
    entry_send_agents (plane, peer);
}

static const struct plane_system SYSTEMS[] = {
  { "knowledge", 0, entry_run_knowledge },
  { "link", 0, entry_run_bulk_refill },
  { "directory", 0, entry_run_directory },
  { "due-hellos", 0, entry_run_due_hellos },
  { "parked", 0, entry_run_parked },
  { "searches", SEARCHES_PERIOD_MS, entry_run_searches },
  { "probes", PROBES_PERIOD_MS, entry_run_probes },
  { "openings", OPENINGS_PERIOD_MS, entry_run_openings },
  { "waiting", 0, entry_run_waiting },
  { "expire", EXPIRE_PERIOD_MS, entry_run_expire },
  { "capacity", CAPACITY_PERIOD_MS, entry_run_capacity },
  { "outliers", OUTLIERS_PERIOD_MS, entry_run_outliers },
  { "hello", HELLO_PERIOD_MS, entry_run_hello },
  { "members", HELLO_PERIOD_MS, members_run },
};

static void
destroy (struct galena_plane *plane)
{
  struct entry_tables *entry = plane->entry;

  if (entry == NULL)
    return;
  galena_table_destroy (entry->upstreams);
  galena_map_destroy (entry->upstreams_by_ip);
  galena_table_destroy (entry->flows);
  galena_map_destroy (entry->flows_by_key);
  galena_table_destroy (entry->openings);
  galena_table_destroy (entry->searches);
  galena_table_destroy (entry->parked);
  galena_table_destroy (entry->warm_ups);
  free (entry->outlier_rows);
  free (entry->waiting);
  free (entry);
  plane->entry = NULL;
}

static enum galena_result
create_tables (struct galena_plane *plane, struct entry_tables *entry)
{
  uint32_t flows = plane->options.flows;
  struct galena_table_options upstream_rows
      = { sizeof (struct upstream_row), ENTRY_UPSTREAMS_MAX };
  struct galena_table_options flow_rows
      = { sizeof (struct entry_flow), flows };
  struct galena_table_options opening_rows
      = { sizeof (struct opening_row), ENTRY_OPENINGS_MAX };
  struct galena_table_options search_rows
      = { sizeof (struct search_row), ENTRY_SEARCHES_MAX };
  struct galena_table_options parked_rows
      = { sizeof (struct parked_row), ENTRY_PARKED_MAX };
  struct galena_table_options warm_up_rows
      = { sizeof (struct galena_rate_window), ENTRY_WARM_UPS_MAX };
  struct galena_map_options upstream_keys
      = { ENTRY_UPSTREAMS_MAX, plane->options.seed };
  struct galena_map_options flow_keys = { flows, plane->options.seed };
  enum galena_result result
      = galena_table_create (&upstream_rows, &entry->upstreams);

  if (result == GALENA_OK)
    result = galena_map_create (&upstream_keys, &entry->upstreams_by_ip);
  if (result == GALENA_OK)
    result = galena_table_create (&flow_rows, &entry->flows);
  if (result == GALENA_OK)
    result = galena_map_create (&flow_keys, &entry->flows_by_key);
  if (result == GALENA_OK)
    result = galena_table_create (&opening_rows, &entry->openings);
  if (result == GALENA_OK)
    result = galena_table_create (&search_rows, &entry->searches);
  if (result == GALENA_OK)
    result = galena_table_create (&parked_rows, &entry->parked);
  if (result == GALENA_OK)
    result = galena_table_create (&warm_up_rows, &entry->warm_ups);
  if (result != GALENA_OK || !plane->options.load_control)
    return result;
  entry->outlier_rows
      = calloc (ENTRY_UPSTREAMS_MAX, sizeof *entry->outlier_rows);
  return entry->outlier_rows == NULL ? GALENA_ERR_MEMORY
                                     : entry_waiting_create (plane);
}

static enum galena_result
configure (struct galena_plane *plane, const char *choice)
{
  const struct choice_policy *policy = entry_choice_named (plane, choice);

  if (policy == NULL)
    return GALENA_ERR_NOT_FOUND;
  plane->entry->choice = policy;
  return GALENA_OK;
}

static enum galena_result
create (struct galena_plane *plane)
{
  struct entry_tables *entry = calloc (1, sizeof *entry);
  enum galena_result result;

  if (entry == NULL)
    return GALENA_ERR_MEMORY;
  plane->entry = entry;
  result = configure (plane, plane->options.choice);
  return result == GALENA_OK ? create_tables (plane, entry) : result;
}

/* Extends the timeouts of agents by the pause, so that they do not count as
   timed out because this process could not receive their messages.  */
static void
after_pause (struct galena_plane *plane, int64_t gap_ms)
{
  struct upstream_row *upstream;
  struct opening_row *opening;
  struct galena_handle handle;
  uint32_t cursor = 0;

  entry_ask_for_agents (plane);
  plane->stale_until = galena_clock_add_ms (plane->now, REFRESH_TIMEOUT_MS);
  plane->entry->outliers_from
      = galena_clock_add_ms (plane->now, OUTLIERS_AFTER_PAUSE_MS);
  while ((upstream
          = galena_table_next (plane->entry->upstreams, &cursor, &handle))
         != NULL)
    {
      upstream->last_seen = galena_clock_add_ms (upstream->last_seen, gap_ms);
      upstream->absent_since = plane->now;
    }
  cursor = 0;
  while (
      (opening = galena_table_next (plane->entry->openings, &cursor, &handle))
      != NULL)
    opening->sent = plane->now;
}

static uint32_t
flow_count (const struct galena_plane *plane)
{
  return galena_table_count (plane->entry->flows);
}

_Static_assert(sizeof SYSTEMS / sizeof SYSTEMS[0] <= PLANE_SYSTEMS_MAX,
               "a plane has a due time for each system");

const struct plane_role entry_plane_role = {
  .create = create,
  .destroy = destroy,
  .configure = configure,
  .after_pause = after_pause,
  .flow_count = flow_count,
  .packets = { [GALENA_SIDE_CALLER] = entry_on_packet },
  .messages = {
    [GALENA_PEER_OPENED] = entry_on_opened,
    [GALENA_PEER_REFUSED] = entry_on_refused,
    [GALENA_PEER_OWNED] = entry_on_owned,
    [GALENA_PEER_UNSURE] = entry_on_unsure,
    [GALENA_PEER_DISOWNED] = entry_on_disowned,
    [GALENA_PEER_LOST] = entry_on_lost,
    [GALENA_PEER_LOAD] = on_load,
    [GALENA_PEER_HELLO] = on_hello,
    [GALENA_PEER_MEMBERS] = members_on_list,
    [GALENA_PEER_AGENTS] = entry_on_agents,
    [GALENA_PEER_ANSWER_MANY] = entry_on_answers,
  },
  .systems = SYSTEMS,
  .system_count = sizeof SYSTEMS / sizeof SYSTEMS[0],
};
