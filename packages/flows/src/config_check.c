/* Checks within one version of a configuration: a table of rules for each
   kind of entry.  */

#include <stddef.h>

#include <galenaford/config_check.h>

typedef void route_rule (const struct galena_config_rows *rows,
                         const struct galena_config_route *route,
                         struct galena_config_findings *findings);
typedef void service_rule (const struct galena_config_rows *rows,
                           const struct galena_config_service *service,
                           struct galena_config_findings *findings);

static void
check_address (const struct galena_config_rows *rows,
               const struct galena_config_route *route,
               struct galena_config_findings *findings)
{
  const struct galena_config_route *first = galena_config_route_at (
      rows->routes, rows->route_count, route->route.address);

  if (first != route)
    galena_config_note (findings, GALENA_FINDING_ERROR, &route->at, "host",
                        "never used: routes[%u] \"%s\" has the same address",
                        first->at.index, first->at.name);
}

static void
check_weights (const struct galena_config_rows *rows,
               const struct galena_config_route *route,
               struct galena_config_findings *findings)
{
  uint64_t total = 0;

  (void)rows;
  for (uint32_t i = 0; i < route->route.share_count; i++)
    total += route->route.shares[i].weight;
  if (total == 0)
    galena_config_note (findings, GALENA_FINDING_ERROR, &route->at, "backends",
                        "all weights are 0: no flow can be opened");
}

/* A configuration that lists no service at all is accepted: processes need the
   list for limits only.  */
static void
check_listed (const struct galena_config_rows *rows,
              const struct galena_config_route *route,
              struct galena_config_findings *findings)
{
  for (uint32_t i = 0; rows->service_count > 0 && i < route->route.share_count;
       i++)
    if (galena_config_service_of (rows->services, rows->service_count,
                                  route->route.shares[i].service)
        == NULL)
      galena_config_note (findings, GALENA_FINDING_ERROR, &route->at,
                          "service", "\"%s\" is not one of the services",
                          route->services[i]);
}

static void
check_times (const struct galena_config_rows *rows,
             const struct galena_config_route *route,
             struct galena_config_findings *findings)
{
  const struct galena_work_class *work = &route->route.work;

  (void)rows;
  if (route->zero_timeout)
    galena_config_note (findings, GALENA_FINDING_ERROR, &route->at,
                        "timeoutMs",
                        "0 counts as unknown: requests have no timeout");
  if (work->timeout_ms != 0 && work->aim_ms > work->timeout_ms)
    galena_config_note (findings, GALENA_FINDING_ERROR, &route->at,
                        "targetLatencyMs", "%u is above timeoutMs, %u",
                        work->aim_ms, work->timeout_ms);
}

static bool
share_service (const struct galena_route *a, const struct galena_route *b)
{
  for (uint32_t i = 0; i < a->share_count; i++)
    for (uint32_t k = 0; k < b->share_count; k++)
      if (a->shares[i].service == b->shares[k].service)
        return true;
  return false;
}

static void
check_priority (const struct galena_config_rows *rows,
                const struct galena_config_route *route,
                struct galena_config_findings *findings)
{
  bool others = false;

  for (uint32_t i = 0; i < rows->route_count && !others; i++)
    others = rows->routes[i].has_priority
             && share_service (&rows->routes[i].route, &route->route);
  if (others && !route->has_priority)
    galena_config_note (findings, GALENA_FINDING_WARNING, &route->at,
                        "priority",
                        "absent, which counts as 0, the most urgent; other "
                        "routes of the service have one");
}

static void
check_unique (const struct galena_config_rows *rows,
              const struct galena_config_service *service,
              struct galena_config_findings *findings)
{
  const struct galena_config_service *first = galena_config_service_of (
      rows->services, rows->service_count, service->limits.service);

  if (first != service)
    galena_config_note (findings, GALENA_FINDING_ERROR, &service->at, "name",
                        "listed before as services[%u]", first->at.index);
}

static void
check_routed (const struct galena_config_rows *rows,
              const struct galena_config_service *service,
              struct galena_config_findings *findings)
{
  for (uint32_t i = 0; i < rows->route_count; i++)
    if (galena_config_weight (&rows->routes[i].route, service->limits.service)
        > 0)
      return;
  galena_config_note (findings, GALENA_FINDING_WARNING, &service->at, "name",
                      "no route leads to it: it gets no flow");
}

static void
check_warm_up (const struct galena_config_rows *rows,
               const struct galena_config_service *service,
               struct galena_config_findings *findings)
{
  bool time = service->limits.warm_up_ms > 0;
  bool rate = service->limits.warm_up_per_s > 0;

  (void)rows;
  if (time != rate)
    galena_config_note (findings, GALENA_FINDING_ERROR, &service->at,
                        time ? "warmupS" : "warmupPerS",
                        "without %s there is no limit",
                        time ? "warmupPerS" : "warmupS");
}

static route_rule *const ROUTE_RULES[]
    = { check_address, check_weights, check_listed, check_times,
        check_priority };
static service_rule *const SERVICE_RULES[]
    = { check_unique, check_routed, check_warm_up };

void
galena_config_check (const struct galena_config_rows *rows,
                     struct galena_config_findings *findings)
{
  for (uint32_t i = 0; i < rows->route_count; i++)
    for (size_t k = 0; k < sizeof ROUTE_RULES / sizeof *ROUTE_RULES; k++)
      ROUTE_RULES[k](rows, &rows->routes[i], findings);
  for (uint32_t i = 0; i < rows->service_count; i++)
    for (size_t k = 0; k < sizeof SERVICE_RULES / sizeof *SERVICE_RULES; k++)
      SERVICE_RULES[k](rows, &rows->services[i], findings);
}
