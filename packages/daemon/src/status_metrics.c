/* The metrics page: counters, histograms and gauges in the text format of
   Prometheus.  */

#include <stdio.h>
#include <stdlib.h>

#include "packet_frontend.h"

/* Writes histogram INDEX with cumulative buckets.  */
static void
write_histogram (struct packet_frontend *frontend, int index, FILE *out)
{
  const char *name = galena_plane_histogram_name (index);
  unsigned long long count = 0;

  fprintf (out,
           "# HELP galenaford_%s %s\n"
           "# TYPE galenaford_%s histogram\n",
           name, galena_plane_histogram_description (index), name);
  for (uint32_t i = 0; i < GALENA_HISTOGRAM_BUCKETS; i++)
    {
      count += atomic_load (&frontend->buckets[index][i]);
      if (i + 1 < GALENA_HISTOGRAM_BUCKETS)
        fprintf (out, "galenaford_%s_bucket{le=\"%u\"} %llu\n", name, 1U << i,
                 count);
    }
  fprintf (out,
           "galenaford_%s_bucket{le=\"+Inf\"} %llu\n"
           "galenaford_%s_sum %llu\n"
           "galenaford_%s_count %llu\n",
           name, count, name, atomic_load (&frontend->sums_ms[index]), name,
           count);
}

static void
write_counter (struct packet_frontend *frontend, int index, FILE *out)
{
  const char *name = galena_plane_counter_name (index);

  fprintf (out,
           "# HELP galenaford_%s_total %s\n"
           "# TYPE galenaford_%s_total counter\n"
           "galenaford_%s_total %llu\n",
           name, galena_plane_counter_description (index), name, name,
           atomic_load (&frontend->counters[index]));
}

/* Writes what the front end itself counts, beside the plane.  */
static void
write_front_end (struct packet_frontend *frontend, FILE *out)
{
  const struct
  {
    const char *name;
    const char *type;
    unsigned long long value;
  } metrics[] = {
    { "flows", "gauge", atomic_load (&frontend->flows) },
    { "ejected_upstreams", "gauge",
      atomic_load (&frontend->ejected_upstreams) },
    { "platform_calls_total", "counter",
      atomic_load (&frontend->platform_calls) },
    { "platform_failures_total", "counter",
      atomic_load (&frontend->platform_failures) },
    { "changes_skipped_total", "counter",
      atomic_load (&frontend->changes_skipped) },
    { "store_era", "gauge", atomic_load (&frontend->store_era) },
    { "config_version", "gauge", atomic_load (&frontend->version) },
    { "evacuated_zones", "gauge", atomic_load (&frontend->evacuated_zones) },
  };

  for (size_t i = 0; i < sizeof metrics / sizeof metrics[0]; i++)
    fprintf (out, "# TYPE galenaford_%s %s\ngalenaford_%s %llu\n",
             metrics[i].name, metrics[i].type, metrics[i].name,
             metrics[i].value);
}

char *
status_metrics_text (struct packet_frontend *frontend)
{
  char *text = NULL;
  size_t size;
  FILE *out = open_memstream (&text, &size);
  bool failed;

  if (out == NULL)
    return NULL;
  for (int i = 0; i < GALENA_PLANE_COUNTER_COUNT; i++)
    write_counter (frontend, i, out);
  for (int i = 0; i < GALENA_PLANE_HISTOGRAM_COUNT; i++)
    write_histogram (frontend, i, out);
  write_front_end (frontend, out);
  failed = ferror (out) != 0;
  if (fclose (out) == 0 && !failed)
    return text;
  free (text);
  return NULL;
}
