/* Checks of a configuration of routes before it is published.

   The checks are functions over the rows of one version, or of two, and
   append what they find to a table.  They read and print nothing.  */

#ifndef GALENAFORD_CONFIG_CHECK_H
#define GALENAFORD_CONFIG_CHECK_H

#include <galenaford/directory.h>

enum galena_finding_severity
{
  /* The configuration should not be published.  */
  GALENA_FINDING_ERROR,
  /* Served, but probably not meant.  */
  GALENA_FINDING_WARNING,
  /* What differs from the version in force.  */
  GALENA_FINDING_CHANGE,
  GALENA_FINDING_SEVERITY_COUNT
};

/* Where a finding is.  */
struct galena_config_place
{
  /* Name of the list, such as "routes"; "line" for a line of the text; "" for
     the configuration as a whole.  */
  const char *list;
  /* Position in the list, from 0 on, or number of the line, from 1 on.  */
  uint32_t index;
  /* Name of the route or service, or "".  Borrowed.  */
  const char *name;
};

struct galena_config_finding
{
  enum galena_finding_severity severity;
  struct galena_config_place at;
  /* Name of the field, or "" for the entry as a whole.  */
  const char *field;
  /* Owned by the table.  */
  char *reason;
};

/* A table of findings; begins as all zeros.  */
struct galena_config_findings
{
  struct galena_config_finding *rows;
  uint32_t count;
  /* Counts the findings that are missing because memory was short, too.  */
  uint32_t by_severity[GALENA_FINDING_SEVERITY_COUNT];
};

/* A route as the configuration writes it.  */
struct galena_config_route
{
  struct galena_config_place at;
  struct galena_route route;
  /* Names of the services in the order of the route's shares.  Borrowed.  */
  const char *services[GALENA_ROUTE_SHARES_MAX];
  bool has_priority;
  /* Whether a timeout of 0 is written, which counts as an absent one.  */
  bool zero_timeout;
};

/* A service as the configuration writes it.  */
struct galena_config_service
{
  struct galena_config_place at;
  /* Each limit is 0 when absent, also if the other one is not.  */
  struct galena_service_limits limits;
  uint32_t connections;
};

/* The entries of one version that a process would use.  */
struct galena_config_rows
{
  uint64_t version;
  struct galena_config_route *routes;
  uint32_t route_count;
  struct galena_config_service *services;
  uint32_t service_count;
};

/* Appends a finding to FINDINGS, unless that is NULL; the reason is made from
   FORMAT like printf.  Returns false.  */
bool galena_config_note (struct galena_config_findings *findings,
                         enum galena_finding_severity severity,
                         const struct galena_config_place *at,
                         const char *field, const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

/* Releases the rows of FINDINGS.  */
void galena_config_findings_release (struct galena_config_findings *findings);

/* Returns the first of the COUNT routes at ROUTES with ADDRESS, or NULL.
   Processes use the first of several, too.  */
const struct galena_config_route *
galena_config_route_at (const struct galena_config_route *routes,
                        uint32_t count, struct galena_endpoint address);

/* Returns the first of the COUNT services at SERVICES with KEY, or NULL.  */
const struct galena_config_service *
galena_config_service_of (const struct galena_config_service *services,
                          uint32_t count, galena_service_key key);

/* Returns the weight of SERVICE in ROUTE, 0 when the route does not name
   it.  */
uint64_t galena_config_weight (const struct galena_route *route,
                               galena_service_key service);

/* Appends to FINDINGS the faults of ROWS: entries that are never used and
   limits that contradict each other.  */
void galena_config_check (const struct galena_config_rows *rows,
                          struct galena_config_findings *findings);

/* Appends to FINDINGS what changes when NEW replaces OLD, the version in
   force, and whether processes would ignore NEW.  */
void galena_config_compare (const struct galena_config_rows *old,
                            const struct galena_config_rows *new,
                            struct galena_config_findings *findings);

#endif
