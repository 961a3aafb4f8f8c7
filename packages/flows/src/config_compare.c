/* What differs between two versions of a configuration.  Routes are compared
   by address, since flows are routed by it, and services by name.  */

#include <inttypes.h>
#include <stddef.h>

#include <galenaford/config_check.h>

/* A limit: its field, its offset in a row, and its unit.  */
struct limit
{
  const char *field;
  size_t offset;
  const char *unit;
};

static const struct limit ROUTE_LIMITS[] = {
  { "targetLatencyMs", offsetof (struct galena_work_class, aim_ms), " ms" },
  { "timeoutMs", offsetof (struct galena_work_class, timeout_ms), " ms" },
  { "priority", offsetof (struct galena_work_class, priority), "" },
  { NULL, 0, NULL },
};

static const struct limit SERVICE_LIMITS[] = {
  { "maxConnections", offsetof (struct galena_config_service, connections),
    "" },
  { "warmupS", offsetof (struct galena_config_service, limits.warm_up_ms),
    " ms" },
  { "warmupPerS",
    offsetof (struct galena_config_service, limits.warm_up_per_s), "" },
  { NULL, 0, NULL },
};

/* Notes each of LIMITS that differs between the rows OLD and NEW; the latter
   is AT.  */
static void
compare_limits (const struct limit *limits, const void *old, const void *new,
                const struct galena_config_place *at,
                struct galena_config_findings *findings)
{
  for (; limits->field != NULL; limits++)
    {
      uint32_t from = *(const uint32_t *)((const char *)old + limits->offset);
      uint32_t to = *(const uint32_t *)((const char *)new + limits->offset);

      if (from != to)
        galena_config_note (findings, GALENA_FINDING_CHANGE, at, limits->field,
                            "changed from %u to %u%s", from, to, limits->unit);
    }
}

static void
compare_versions (const struct galena_config_rows *old,
                  const struct galena_config_rows *new,
                  struct galena_config_findings *findings)
{
  static const struct galena_config_place WHOLE = { "", 0, "" };

  if (new->version <= old->version)
    galena_config_note (findings, GALENA_FINDING_ERROR, &WHOLE, "version",
                        "%" PRIu64 " is not newer than %" PRIu64
                        ", the version in force: processes ignore it",
                        new->version, old->version);
}

static void
find_dropped (const struct galena_config_rows *old,
              const struct galena_config_rows *new,
              struct galena_config_findings *findings)
{
  for (uint32_t i = 0; i < old->route_count; i++)
    {
      struct galena_config_place at = old->routes[i].at;
      struct galena_endpoint address = old->routes[i].route.address;

      at.list = "old routes";
      if (galena_config_route_at (old->routes, i, address) == NULL
          && galena_config_route_at (new->routes, new->route_count, address)
                 == NULL)
        galena_config_note (findings, GALENA_FINDING_CHANGE, &at, "",
                            "dropped: its open flows end, callers get resets");
    }
  for (uint32_t i = 0; i < old->service_count; i++)
    {
      struct galena_config_place at = old->services[i].at;

      at.list = "old services";
      if (galena_config_service_of (new->services, new->service_count,
                                    old->services[i].limits.service)
          == NULL)
        galena_config_note (findings, GALENA_FINDING_CHANGE, &at, "",
                            "dropped, with its limits");
    }
}

/* Notes the services of ROUTE, which is BEFORE or AFTER, whose weight differs
   between the two.  */
static void
compare_shares (const struct galena_config_route *route,
                const struct galena_route *before,
                const struct galena_config_route *after,
                struct galena_config_findings *findings)
{
  for (uint32_t i = 0; i < route->route.share_count; i++)
    {
      galena_service_key service = route->route.shares[i].service;
      uint64_t from = galena_config_weight (before, service);
      uint64_t to = galena_config_weight (&after->route, service);

      /* Services that both name are noted once, as those of AFTER.  */
      if (from != to && (route == after || to == 0))
        galena_config_note (findings, GALENA_FINDING_CHANGE, &after->at,
                            "service",
                            "weight of \"%s\" changed from %" PRIu64
                            " to %" PRIu64 ", for new flows",
                            route->services[i], from, to);
    }
}

static void
compare_route (const struct galena_config_route *old,
               const struct galena_config_route *new,
               struct galena_config_findings *findings)
{
  const struct galena_work_class *before = &old->route.work;
  const struct galena_work_class *after = &new->route.work;

  compare_shares (old, &old->route, new, findings);
  compare_shares (new, &old->route, new, findings);
  if (before->kind != after->kind)
    galena_config_note (findings, GALENA_FINDING_CHANGE, &new->at, "type",
                        "changed from %s to %s",
                        galena_work_kind_name (before->kind),
                        galena_work_kind_name (after->kind));
  compare_limits (ROUTE_LIMITS, before, after, &new->at, findings);
}

static void
compare_routes (const struct galena_config_rows *old,
                const struct galena_config_rows *new,
                struct galena_config_findings *findings)
{
  for (uint32_t i = 0; i < new->route_count; i++)
    {
      const struct galena_config_route *route = &new->routes[i];
      struct galena_endpoint address = route->route.address;
      const struct galena_config_route *before
          = galena_config_route_at (old->routes, old->route_count, address);

      if (galena_config_route_at (new->routes, i, address) != NULL)
        continue;
      if (before != NULL)
        compare_route (before, route, findings);
      else
        galena_config_note (findings, GALENA_FINDING_CHANGE, &route->at, "",
                            "added");
    }
}

/* A service that is added had no limits.  */
static void
compare_services (const struct galena_config_rows *old,
                  const struct galena_config_rows *new,
                  struct galena_config_findings *findings)
{
  static const struct galena_config_service NONE;

  for (uint32_t i = 0; i < new->service_count; i++)
    {
      const struct galena_config_service *service = &new->services[i];
      const struct galena_config_service *before = galena_config_service_of (
          old->services, old->service_count, service->limits.service);

      compare_limits (SERVICE_LIMITS, before == NULL ? &NONE : before, service,
                      &service->at, findings);
    }
}

/* What is compared, in the order in which differences are listed.  */
static void (*const COMPARISONS[]) (const struct galena_config_rows *old,
                                    const struct galena_config_rows *new,
                                    struct galena_config_findings *findings)
    = { compare_versions, find_dropped, compare_routes, compare_services };

void
galena_config_compare (const struct galena_config_rows *old,
                       const struct galena_config_rows *new,
                       struct galena_config_findings *findings)
{
  for (size_t i = 0; i < sizeof COMPARISONS / sizeof *COMPARISONS; i++)
    COMPARISONS[i](old, new, findings);
}
