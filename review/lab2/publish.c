/* What the operator and the hosts write to the platform's store.  */

#include <stdlib.h>

#include <jansson.h>

#include "lab2.h"

enum
{
  SLOTS = 4
};

static void
put_json (struct lab *lab, const char *key, json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT);

  store_put (lab->store, key, text);
  free (text);
  json_decref (value);
}

static const char *const SERVICES[SERVICES_MAX] = { "alpha", "beta" };

void
publish_config (struct lab *lab)
{
  json_t *routes = json_array ();
  json_t *services = json_array ();

  lab->config_version += 3;
  for (uint32_t i = 0; i < SERVICES_MAX; i++)
    {
      char name[TEXT_BYTES];
      char host[TEXT_BYTES];
      char prefix[TEXT_BYTES];
      struct address address = route_address (i);

      json_array_append_new (services,
                             json_pack ("{s:s, s:s, s:i, s:s, s:b}", "name",
                                        SERVICES[i], "healthCheckPath",
                                        "/healthz", "maxConnections", 2000,
                                        "protocol", "h1", "tls", 0));
      if (lab->route_service[i] == SERVICES_MAX)
        continue;
      snprintf (name, sizeof name, "r-%u", i);
      snprintf (host, sizeof host, "%u.%u.%u.%u", address.ip >> 24,
                (address.ip >> 16) & 255, (address.ip >> 8) & 255,
                address.ip & 255);
      snprintf (prefix, sizeof prefix, "/%u/", address.port);
      json_array_append_new (
          routes,
          json_pack ("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i}", "name",
                     name, "host", host, "prefix", prefix, "type", "safe",
                     "timeoutMs", 1200, "targetLatencyMs", 120, "priority", 2,
                     "service", SERVICES[lab->route_service[i]], "maxAttempts",
                     2));
    }
  put_json (lab, "op/config",
            json_pack ("{s:I, s:o, s:o, s:{s:i, s:i, s:i, s:i}}", "version",
                       (json_int_t)lab->config_version, "routes", routes,
                       "services", services, "limits", "maxHeaderBytes", 16384,
                       "maxBodyBytes", 262144, "headerTimeoutMs", 3000,
                       "idleTimeoutMs", (int)IDLE_TIMEOUT_MS));
  lab->config_at = lab->now;
  note (lab, "config version %llu acknowledged: route 0 to %s, route 1 to %s",
        (unsigned long long)lab->config_version,
        SERVICES[lab->route_service[0]], SERVICES[lab->route_service[1]]);
}

void
publish_host (struct lab *lab, struct host *host)
{
  char address[TEXT_BYTES];
  char key[TEXT_BYTES];

  format_address (host_address (lab, host->index, PORT_APP), address);
  snprintf (key, sizeof key, "servers/i-%u-%u", host->index,
            host->incarnation);
  host->sequence++;
  put_json (lab, key,
            json_pack ("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:I, s:I}",
                       "service", SERVICES[host->service], "address", address,
                       "zone", "zone-a", "version", "v1", "capacity", SLOTS,
                       "state", host->draining ? "draining" : "ready",
                       "warmupLeftMs", 0, "sequence",
                       (json_int_t)host->sequence, "born",
                       (json_int_t)host->born));
}
