/* The tables of statistics, and overload events from their counters.  */

#include <stdlib.h>

#include <galenaford/map.h>

#include "stats.h"
#include "world_private.h"

enum
{
  /* Most rows of each table.  */
  KIND_ROWS_MAX = 4096,
  UPSTREAM_ROWS_MAX = 8192,
  /* Overload of a kind ends after this long without an overload refusal.  */
  OVERLOAD_END_MS = 5000
};

struct galena_stats
{
  struct galena_table *kinds;
  struct galena_map *kinds_by_number;
  struct galena_table *upstreams;
  struct galena_map *upstreams_by_number;
  uint64_t refused[GALENA_RESULT_LIMIT];
  uint64_t malformed[GALENA_RESULT_LIMIT];
  /* Used in place of a row when a table is full; never reported.  */
  struct galena_kind_stats overflow_kind;
  struct galena_upstream_stats overflow_upstream;
};

struct kind_counter_text
{
  const char *name;
  const char *description;
};

static const struct kind_counter_text TEXTS[GALENA_KIND_COUNTER_COUNT] = {
#define GALENA_KIND_COUNTER_TEXT(value, name, description)                    \
  [value] = { name, description },
  GALENA_KIND_COUNTERS (GALENA_KIND_COUNTER_TEXT)
#undef GALENA_KIND_COUNTER_TEXT
};

/* Refusals that count as overload: for lack of room or time.  */
static const bool IS_OVERLOAD[GALENA_RESULT_LIMIT] = {
  [GALENA_REFUSED_OVERLOAD] = true,
  [GALENA_REFUSED_DEADLINE] = true,
  [GALENA_REFUSED_CONNECTIONS] = true,
  [GALENA_REFUSED_SHED] = true,
};

const char *
galena_kind_counter_name (enum galena_kind_counter counter)
{
  return TEXTS[counter].name;
}

const char *
galena_kind_counter_description (enum galena_kind_counter counter)
{
  return TEXTS[counter].description;
}

static enum galena_result
create_rows (size_t row_size, uint32_t capacity, uint64_t seed,
             struct galena_table **table, struct galena_map **map)
{
  struct galena_table_options rows = { row_size, capacity };
  struct galena_map_options by_number = { capacity, seed };
  enum galena_result result = galena_table_create (&rows, table);

  if (result != GALENA_OK)
    return result;
  return galena_map_create (&by_number, map);
}

enum galena_result
galena_stats_create (uint64_t seed, struct galena_stats **out)
{
  struct galena_stats *stats = calloc (1, sizeof *stats);
  enum galena_result result;

  if (stats == NULL)
    return GALENA_ERR_MEMORY;
  result = create_rows (sizeof (struct galena_kind_stats), KIND_ROWS_MAX, seed,
                        &stats->kinds, &stats->kinds_by_number);
  if (result != GALENA_OK)
    goto fail;
  result
      = create_rows (sizeof (struct galena_upstream_stats), UPSTREAM_ROWS_MAX,
                     seed, &stats->upstreams, &stats->upstreams_by_number);
  if (result != GALENA_OK)
    goto fail;
  *out = stats;
  return GALENA_OK;

fail:
  galena_stats_destroy (stats);
  return result;
}

void
galena_stats_destroy (struct galena_stats *stats)
{
  if (stats == NULL)
    return;
  galena_table_destroy (stats->kinds);
  galena_map_destroy (stats->kinds_by_number);
  galena_table_destroy (stats->upstreams);
  galena_map_destroy (stats->upstreams_by_number);
  free (stats);
}

/* Returns the row with KEY, created if needed; NULL when TABLE or MAP is
   full.  */
static void *
find_or_insert (struct galena_table *table, struct galena_map *map,
                uint64_t key)
{
  struct galena_handle handle;
  uint64_t packed;
  void *row;

  if (galena_map_find (map, key, &packed))
    return galena_table_get (table, galena_handle_unpack (packed));
  row = galena_table_insert (table, &handle);
  if (row == NULL)
    return NULL;
  if (galena_map_insert (map, key, galena_handle_pack (handle)) == GALENA_OK)
    return row;
  galena_table_remove (table, handle);
  return NULL;
}

static struct galena_kind_stats *
kind_row (struct galena_world *world, uint32_t service, uint16_t kind)
{
  struct galena_stats *stats = world->stats;
  uint64_t key = (uint64_t)service << 16 | kind;
  struct galena_kind_stats *row
      = find_or_insert (stats->kinds, stats->kinds_by_number, key);

  if (row == NULL)
    return &stats->overflow_kind;
  row->service = service;
  row->kind = kind;
  return row;
}

struct galena_upstream_stats *
galena_stats_upstream (struct galena_world *world, uint32_t upstream)
{
  struct galena_stats *stats = world->stats;
  struct galena_upstream_stats *row = find_or_insert (
      stats->upstreams, stats->upstreams_by_number, upstream);

  if (row == NULL)
    return &stats->overflow_upstream;
  row->upstream = upstream;
  return row;
}

void
galena_stats_count (struct galena_world *world, uint32_t service,
                    uint16_t kind, enum galena_kind_counter counter)
{
  kind_row (world, service, kind)->values[counter]++;
}

void
galena_stats_count_refusal (struct galena_world *world, uint32_t service,
                            uint16_t kind, enum galena_result result)
{
  struct galena_kind_stats *row;

  galena_world_count (world, GALENA_COUNT_REFUSED);
  world->stats->refused[result % GALENA_RESULT_LIMIT]++;
  if (service == 0 || kind >= GALENA_KINDS_MAX)
    return;
  row = kind_row (world, service, kind);
  row->values[GALENA_KIND_REFUSED]++;
  if (IS_OVERLOAD[result % GALENA_RESULT_LIMIT])
    row->values[GALENA_KIND_OVERLOADS]++;
}

void
galena_stats_add_latency (struct galena_world *world, uint32_t service,
                          uint16_t kind, int64_t ms)
{
  galena_latency_add (&kind_row (world, service, kind)->latency,
                      ms > 0 ? (uint64_t)ms : 0);
}

void
galena_world_count_malformed (struct galena_world *world,
                              enum galena_result reason)
{
  galena_world_count (world, GALENA_COUNT_MALFORMED);
  world->stats->malformed[reason % GALENA_RESULT_LIMIT]++;
}

void
galena_world_count_unsent (struct galena_world *world, uint32_t count)
{
  world->counters.values[GALENA_COUNT_UNSENT] += count;
}

static void
set_overloaded (struct galena_world *world, struct galena_kind_stats *row,
                bool overloaded)
{
  if (row->overloaded == overloaded)
    return;
  row->overloaded = overloaded;
  galena_world_append_audit (
      world, (struct galena_audit_row){
                 .event = overloaded ? GALENA_AUDIT_OVERLOAD_ENTERED
                                     : GALENA_AUDIT_OVERLOAD_LEFT,
                 .service = row->service,
                 .kind = row->kind });
}

static void
update_overload (struct galena_world *world)
{
  struct galena_kind_stats *row;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((row = galena_table_next (world->stats->kinds, &cursor, &handle))
         != NULL)
    {
      uint64_t overloads = row->values[GALENA_KIND_OVERLOADS];

      if (overloads != row->overloads_seen)
        {
          row->overloads_seen = overloads;
          row->overload_end
              = galena_clock_add_ms (world->now, OVERLOAD_END_MS);
          set_overloaded (world, row, true);
        }
      else if (galena_clock_reached (world->now, row->overload_end))
        set_overloaded (world, row, false);
    }
}

static void
remove_unknown_upstreams (struct galena_world *world)
{
  struct galena_stats *stats = world->stats;
  struct galena_upstream_stats *row;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((row = galena_table_next (stats->upstreams, &cursor, &handle))
         != NULL)
    {
      uint32_t upstream = row->upstream;

      if (galena_config_upstream_numbered (world->config, upstream) != NULL)
        continue;
      galena_map_remove (stats->upstreams_by_number, upstream);
      galena_table_remove (stats->upstreams, handle);
    }
}

void
galena_stats_run (struct galena_world *world)
{
  update_overload (world);
  remove_unknown_upstreams (world);
}

static void
copy_kinds (const struct galena_world *world, struct galena_report *report)
{
  const struct galena_kind_stats *row;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint32_t count = 0;

  while (count < report->capacity.kinds
         && (row = galena_table_next (world->stats->kinds, &cursor, &handle))
                != NULL)
    {
      struct galena_kind_stats *copy = &report->kinds[count++];

      *copy = *row;
      if (world->role->report_kind != NULL)
        world->role->report_kind (world, copy);
    }
  report->kind_count = count;
}

static void
copy_upstreams (const struct galena_world *world, struct galena_report *report)
{
  const struct galena_upstream_stats *row;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint32_t count = 0;

  while (
      count < report->capacity.upstreams
      && (row = galena_table_next (world->stats->upstreams, &cursor, &handle))
             != NULL)
    {
      struct galena_upstream_stats *copy = &report->upstreams[count++];

      *copy = *row;
      if (world->role->report_upstream != NULL)
        world->role->report_upstream (world, copy);
    }
  report->upstream_count = count;
}

void
galena_world_report (const struct galena_world *world,
                     struct galena_report *report)
{
  const struct galena_stats *stats = world->stats;

  report->at = world->now;
  report->draining = world->draining;
  report->counters = world->counters;
  for (uint32_t i = 0; i < GALENA_RESULT_LIMIT; i++)
    {
      report->refused[i] = stats->refused[i];
      report->malformed[i] = stats->malformed[i];
    }
  galena_world_usage (world, &report->usage);
  copy_kinds (world, report);
  copy_upstreams (world, report);
  galena_report_copy_audit (report, world->audit);
}
