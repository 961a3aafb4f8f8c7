/* Records that the operator and the upstreams write to the store.  */

#include <stdio.h>
#include <stdlib.h>

#include <jansson.h>

#include "soak.h"

enum
{
  /* Size of an address, a prefix or the name of a service.  */
  TEXT_BYTES = 32,
  KEY_BYTES = 64,
  SLOTS = 4,
  PORT_EXPORTER = 9100,
  FAR_AHEAD_MS = 1000000000
};

static void
put_json (struct soak *soak, const char *key, json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT);

  store_put (soak->store, key, text);
  free (text);
  json_decref (value);
}

/* The kind of work of each route on seeds with load control.  The time-outs
   are those of the callers.  */
static const struct work
{
  const char *type;
  int target_ms;
  int timeout_ms;
  int priority;
} WORK[SERVICES + 1] = {
  { "safe", 250, 3000, 2 },
  { "unsafe", 300, 3000, 1 },
  { "upload", 800, 3000, 2 },
};

/* Adds the kind of work of route INDEX to ITEM of the configuration.  */
static void
add_work (json_t *item, uint32_t index)
{
  const struct work *work = &WORK[index];

  json_object_set_new (item, "type", json_string (work->type));
  json_object_set_new (item, "targetLatencyMs",
                       json_integer (work->target_ms));
  json_object_set_new (item, "timeoutMs", json_integer (work->timeout_ms));
  json_object_set_new (item, "priority", json_integer (work->priority));
}

static void
put_config (struct soak *soak)
{
  json_t *routes = json_array ();
  json_t *services = json_array ();

  for (uint32_t i = 0; i < ROUTES_MAX; i++)
    {
      char address[TEXT_BYTES];
      char service[TEXT_BYTES];
      char prefix[TEXT_BYTES];
      char *colon = address;
      json_t *item;

      if (!soak->routes[i].used || soak->routes[i].dropped)
        continue;
      net_format (net_route (i), address, sizeof address);
      while (*colon != ':')
        colon++;
      *colon = '\0';
      snprintf (prefix, sizeof prefix, "/%s/", colon + 1);
      snprintf (service, sizeof service, "service-%u",
                soak->routes[i].service);
      item = json_pack ("{s:s, s:s, s:s}", "host", address, "prefix", prefix,
                        "service", service);
      if (soak->options.load_control)
        add_work (item, i);
      json_array_append_new (routes, item);
    }
  for (uint32_t i = 0; soak->options.warm_up && i < SERVICES; i++)
    {
      char service[TEXT_BYTES];

      snprintf (service, sizeof service, "service-%u", i);
      json_array_append_new (services,
                             json_pack ("{s:s, s:i, s:i}", "name", service,
                                        "warmupS", WARM_UP_MS / 1000,
                                        "warmupPerS", WARM_UP_PER_S));
    }
  put_json (soak, "op/config",
            json_pack ("{s:i, s:o, s:o, s:{}}", "version",
                       soak->config_version, "routes", routes, "services",
                       services, "limits"));
}

void
publish_config (struct soak *soak)
{
  soak->config_version++;
  put_config (soak);
}

void
publish_evacuation (struct soak *soak, uint32_t zone)
{
  char name[ZONE_BYTES];
  char key[KEY_BYTES];

  net_format_zone (zone, name);
  snprintf (key, sizeof key, "op/evacuate/%s", name);
  if (soak->zones[zone].evacuations > 0)
    store_put (soak->store, key, "{}");
  else
    store_remove (soak->store, key);
}

static int
warm_up_left_ms (const struct soak *soak, const struct host *host)
{
  int64_t left = galena_clock_elapsed_ms (soak->now, host->warm_at);

  return left > 0 ? (int)left : 0;
}

void
publish_host (struct soak *soak, uint32_t index)
{
  struct host *host = &soak->hosts[index];
  char address[TEXT_BYTES];
  char service[TEXT_BYTES];
  char zone[ZONE_BYTES];
  char key[KEY_BYTES];

  net_format_zone (hosts_zone (index), zone);
  snprintf (key, sizeof key, "servers/h-%u-%u", index, host->incarnation);
  host->written_at = soak->now;
  if (!host->published)
    {
      store_remove (soak->store, key);
      return;
    }
  net_format (net_host (soak, index, PORT_HOST), address, sizeof address);
  snprintf (service, sizeof service, "service-%u", host->service);
  host->sequence++;
  put_json (soak, key,
            json_pack ("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i, s:I}",
                       "service", service, "address", address, "zone", zone,
                       "version", "1", "capacity", SLOTS, "state",
                       host->draining ? "draining" : "ready", "warmupLeftMs",
                       warm_up_left_ms (soak, host), "sequence",
                       host->sequence, "born",
                       (json_int_t)host->started_unix_ms));
}

/* Removes the records of earlier incarnations of host INDEX, which the copy
   may have brought back: they expire.  */
static void
remove_expired (struct soak *soak, uint32_t index)
{
  for (uint32_t i = 1; i < soak->hosts[index].incarnation; i++)
    {
      char key[KEY_BYTES];

      snprintf (key, sizeof key, "servers/h-%u-%u", index, i);
      store_remove (soak->store, key);
    }
}

/* An entry of another writer: of the service of the host or another one, at
   its port or another one.  */
struct other_entry
{
  const char *service;
  uint16_t port;
  const char *state;
  /* Milliseconds from the start of the host to its own.  */
  json_int_t started_after_ms;
};

static const struct other_entry OTHERS[] = {
  { "exporter", PORT_EXPORTER, "ready", 1 },
  { "exporter", PORT_HOST, "ready", FAR_AHEAD_MS },
  { "exporter", PORT_HOST, "draining", 60000 },
  { NULL, PORT_EXPORTER, "ready", FAR_AHEAD_MS },
  { NULL, PORT_EXPORTER, "draining", 1000 },
  { NULL, PORT_HOST, "draining", FAR_AHEAD_MS },
  { NULL, PORT_HOST, "gone", 1000 },
};

enum
{
  OTHER_COUNT = sizeof OTHERS / sizeof OTHERS[0]
};

static void
write_other_key (uint32_t index, uint32_t other, char *key)
{
  /* Half of them stand before the entries of hosts.  */
  snprintf (key, KEY_BYTES, "servers/%c-other-%u-%u",
            other % 2 == 0 ? 'a' : 'z', index, other);
}

void
publish_others (struct soak *soak, uint32_t index)
{
  const struct host *host = &soak->hosts[index];
  char address[TEXT_BYTES];
  char service[TEXT_BYTES];
  char zone[ZONE_BYTES];
  char key[KEY_BYTES];

  net_format_zone (hosts_zone (index), zone);
  snprintf (service, sizeof service, "service-%u", host->service);
  for (uint32_t i = 0; i < OTHER_COUNT; i++)
    {
      const struct other_entry *other = &OTHERS[i];

      write_other_key (index, i, key);
      net_format (net_host (soak, index, other->port), address,
                  sizeof address);
      put_json (
          soak, key,
          json_pack (
              "{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i, s:I}", "service",
              other->service != NULL ? other->service : service, "address",
              address, "zone", zone, "version", "1", "capacity", 100, "state",
              other->state, "warmupLeftMs", 0, "sequence", 1, "born",
              (json_int_t)host->started_unix_ms + other->started_after_ms));
    }
  write_other_key (index, OTHER_COUNT, key);
  store_put (soak->store, key, "{\"service\":[[[");
}

void
remove_others (struct soak *soak, uint32_t index)
{
  char key[KEY_BYTES];

  for (uint32_t i = 0; i <= OTHER_COUNT; i++)
    {
      write_other_key (index, i, key);
      store_remove (soak->store, key);
    }
}

void
publish_run (struct soak *soak)
{
  if (soak->publish_again_at.ms == 0
      || !galena_clock_reached (soak->now, soak->publish_again_at))
    return;
  soak->publish_again_at.ms = 0;
  put_config (soak);
  for (uint32_t i = 0; i < ZONES; i++)
    if (soak->zones[i].written_at.ms > 0
        && galena_clock_reached (soak->zones[i].written_at, soak->copied_at))
      publish_evacuation (soak, i);
  for (uint32_t i = 0; i < soak->options.hosts; i++)
    {
      if (!galena_clock_reached (soak->hosts[i].written_at, soak->copied_at))
        continue;
      remove_expired (soak, i);
      publish_host (soak, i);
    }
}
