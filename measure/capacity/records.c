/* Time and memory of records and snapshots by services and upstreams.  */

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#include <galenaford/audit.h>
#include <galenaford/record.h>
#include <galenaford/records.h>

#include "capacity.h"
#include "fixture.h"
#include "sample.h"

enum
{
  REPEATS = 9,
  TEXT_BYTES = 1024 * 1024,
  AUDIT_ROWS = 16,
  /* Upstreams in the record of each service.  */
  UPSTREAMS_PER_SERVICE = 9
};

static char text[TEXT_BYTES];

/* Writes the record of service NUMBER with COUNT upstreams to TEXT.  Returns
   its length in bytes.  */
static size_t
format_record (uint32_t number, uint32_t count)
{
  int at = snprintf (
      text, sizeof text,
      "{\"schema\":2,\"service\":\"service-%u\",\"number\":%u,"
      "\"generation\":1,\"address\":\"127.10.%u.%u:700\",\"kinds\":["
      "{\"name\":\"feed\",\"number\":0,\"urgency\":0,\"idempotent\":true,"
      "\"deadline_ms\":1000,\"minimum_share_percent\":20},"
      "{\"name\":\"event\",\"number\":1,\"urgency\":1,\"idempotent\":false,"
      "\"deadline_ms\":10000,\"minimum_share_percent\":30},"
      "{\"name\":\"photo\",\"number\":2,\"urgency\":2,\"idempotent\":true,"
      "\"deadline_ms\":30000,\"minimum_share_percent\":20}],\"upstreams\":[",
      number, number, number / 250, number % 250 + 1);

  for (uint32_t i = 0; i < count; i++)
    at += snprintf (
        text + at, sizeof text - (size_t)at,
        "%s{\"number\":%u,\"host\":\"host-%u\",\"zone\":\"zone-a\","
        "\"agent\":\"127.20.%u.%u:7100\",\"slots\":3,"
        "\"connections\":2000,\"weight\":1,\"state\":\"active\"}",
        i == 0 ? "" : ",", number * 1000 + i + 1, i, number % 250, i % 250);
  at += snprintf (text + at, sizeof text - (size_t)at, "]}");
  return (size_t)at;
}

static double
record_bytes (uint32_t size)
{
  return (double)format_record (1, size);
}

static double
parse_by_upstreams (uint32_t size)
{
  size_t bytes = format_record (1, size);
  struct samples samples = { 0 };

  for (uint32_t i = 0; i < REPEATS; i++)
    {
      struct galena_service_record record;
      struct galena_faults faults;
      double start_ns = thread_cpu_ns ();

      if (galena_record_parse (text, bytes, &record, &faults) != GALENA_OK)
        return -1;
      samples_add (&samples, thread_cpu_ns () - start_ns);
      galena_record_release (&record);
    }
  return samples_median (&samples);
}

/* The current records of a fleet.  */
struct fleet_records
{
  struct galena_audit *audit;
  struct galena_records *records;
};

static bool
apply_record (struct fleet_records *fleet, uint32_t number, uint32_t upstreams)
{
  size_t bytes = format_record (number, upstreams);
  struct galena_service_record record;
  struct galena_faults faults;
  enum galena_result result;

  if (galena_record_parse (text, bytes, &record, &faults) != GALENA_OK)
    return false;
  result = galena_records_apply (fleet->records, &record,
                                 (struct galena_clock){ 1 });
  galena_record_release (&record);
  return result == GALENA_OK;
}

static bool
apply_records (struct fleet_records *fleet, uint32_t services)
{
  struct galena_audit_options audit = { AUDIT_ROWS };
  struct galena_records_options options = { 4096, NULL };

  if (galena_audit_create (&audit, &fleet->audit) != GALENA_OK)
    return false;
  options.audit = fleet->audit;
  if (galena_records_create (&options, &fleet->records) != GALENA_OK)
    return false;
  for (uint32_t i = 0; i < services; i++)
    if (!apply_record (fleet, i + 1, UPSTREAMS_PER_SERVICE))
      return false;
  return true;
}

static void
release (struct fleet_records *fleet)
{
  galena_records_destroy (fleet->records);
  galena_audit_destroy (fleet->audit);
}

static double
records_by_services (uint32_t size)
{
  struct fleet_records fleet = { 0 };
  double before = allocated_bytes ();
  bool good = apply_records (&fleet, size);
  double bytes = allocated_bytes () - before;

  release (&fleet);
  return good ? bytes : -1;
}

/* Returns the bytes of one snapshot if BYTES is set, else the nanoseconds that
   it takes to create.  */
static double
measure_snapshot (uint32_t services, bool bytes)
{
  struct fleet_records fleet = { 0 };
  struct samples samples = { 0 };
  bool good = apply_records (&fleet, services);

  for (uint32_t i = 0; good && i < REPEATS; i++)
    {
      double before = allocated_bytes ();
      double start_ns = thread_cpu_ns ();
      struct galena_config *config;

      good = galena_records_snapshot (fleet.records, &config) == GALENA_OK;
      if (!good)
        break;
      samples_add (&samples, bytes ? allocated_bytes () - before
                                   : thread_cpu_ns () - start_ns);
      galena_config_destroy (config);
    }
  release (&fleet);
  return good ? samples_median (&samples) : -1;
}

static double
snapshot_bytes_by_services (uint32_t size)
{
  return measure_snapshot (size, true);
}

static double
snapshot_time_by_services (uint32_t size)
{
  return measure_snapshot (size, false);
}

const struct sized_cost RECORD_COSTS[] = {
  { "record-text-by-upstreams",
    "upstream",
    "bytes",
    { 9, 30, 100, 300, 1000 },
    record_bytes },
  { "record-parse-by-upstreams",
    "upstream",
    "ns",
    { 9, 30, 100, 300, 1000 },
    parse_by_upstreams },
  { "records-memory-by-services-of-9",
    "service",
    "bytes",
    { 41, 82, 165, 330, 660 },
    records_by_services },
  { "snapshot-memory-by-services-of-9",
    "service",
    "bytes",
    { 41, 82, 165, 330, 660 },
    snapshot_bytes_by_services },
  { "snapshot-time-by-services-of-9",
    "service",
    "ns",
    { 41, 82, 165, 330, 660 },
    snapshot_time_by_services },
  { 0 },
};
