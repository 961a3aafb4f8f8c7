/* Rows of a configuration, and the table of findings on them.  */

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include <galenaford/config_check.h>

bool
galena_config_note (struct galena_config_findings *findings,
                    enum galena_finding_severity severity,
                    const struct galena_config_place *at, const char *field,
                    const char *format, ...)
{
  struct galena_config_finding finding = { severity, *at, field, NULL };
  struct galena_config_finding *rows;
  va_list values;

  if (findings == NULL)
    return false;
  findings->by_severity[severity]++;
  rows = realloc (findings->rows, (findings->count + 1) * sizeof *rows);
  if (rows == NULL)
    return false;
  findings->rows = rows;
  va_start (values, format);
  if (vasprintf (&finding.reason, format, values) >= 0)
    rows[findings->count++] = finding;
  va_end (values);
  return false;
}

void
galena_config_findings_release (struct galena_config_findings *findings)
{
  for (uint32_t i = 0; i < findings->count; i++)
    free (findings->rows[i].reason);
  free (findings->rows);
  *findings = (struct galena_config_findings){ 0 };
}

const struct galena_config_route *
galena_config_route_at (const struct galena_config_route *routes,
                        uint32_t count, struct galena_endpoint address)
{
  for (uint32_t i = 0; i < count; i++)
    if (routes[i].route.address.ip == address.ip
        && routes[i].route.address.port == address.port)
      return &routes[i];
  return NULL;
}

const struct galena_config_service *
galena_config_service_of (const struct galena_config_service *services,
                          uint32_t count, galena_service_key key)
{
  for (uint32_t i = 0; i < count; i++)
    if (services[i].limits.service == key)
      return &services[i];
  return NULL;
}

uint64_t
galena_config_weight (const struct galena_route *route,
                      galena_service_key service)
{
  uint64_t weight = 0;

  for (uint32_t i = 0; i < route->share_count; i++)
    if (route->shares[i].service == service)
      weight += route->shares[i].weight;
  return weight;
}
