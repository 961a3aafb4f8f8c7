/* Load reports among the agents of one service.

   Each second an agent reports its expected wait to a few random peers, so
   that its traffic does not grow with the service.  */

#include <galenaford/tag.h>

#include "agent.h"

enum
{
  /* Most peers that get a report in one period.  */
  REPORTS_PER_PERIOD = 8,
  /* A load report is valid for this long.  */
  REPORT_LIFE_MS = 1500
};

static void
send_report (struct galena_world *world, const struct galena_service *service,
             const struct galena_upstream *peer)
{
  struct galena_message load = { .type = GALENA_MESSAGE_LOAD,
                                 .side = GALENA_SIDE_PEER,
                                 .peer = peer->agent,
                                 .service = service->address,
                                 .generation = service->generation };

  load.tag = galena_tag_make (world->options.upstream,
                              world->options.incarnation, 0);
  load.wait_ms = galena_agent_total_wait_ms (world);
  if (galena_agent_is_leaving (world)
      || !galena_agent_upstream_is_available (world))
    load.wait_ms = GALENA_WAIT_UNAVAILABLE_MS;
  galena_world_send (world, &load);
}

/* Sends the report to agents of active upstreams, beginning at a random
   position in the service.  */
void
galena_agent_run_send_load (struct galena_world *world)
{
  const struct galena_service *service = galena_agent_service (world);
  uint32_t sent = 0;
  uint32_t start;

  if (service == NULL)
    return;
  start = galena_random_below (&world->random, service->upstream_count);
  for (uint32_t i = 0;
       i < service->upstream_count && sent < REPORTS_PER_PERIOD; i++)
    {
      const struct galena_upstream *peer = galena_config_upstream (
          world->config,
          service->first_upstream + (start + i) % service->upstream_count);

      if (peer->number == world->options.upstream
          || peer->state != GALENA_UPSTREAM_ACTIVE)
        continue;
      send_report (world, service, peer);
      sent++;
    }
}

static struct galena_load_report *
find_load_report (const struct galena_world *world, uint32_t upstream)
{
  const struct galena_agent *agent = world->agent;
  uint64_t packed;

  if (!galena_map_find (agent->load_reports_by_upstream, upstream, &packed))
    return NULL;
  return galena_table_get (agent->load_reports, galena_handle_unpack (packed));
}

static struct galena_load_report *
insert_load_report (struct galena_world *world, uint32_t upstream)
{
  struct galena_agent *agent = world->agent;
  struct galena_handle handle;
  struct galena_load_report *report
      = galena_table_insert (agent->load_reports, &handle);

  if (report == NULL)
    return NULL;
  report->upstream = upstream;
  galena_map_insert (agent->load_reports_by_upstream, upstream,
                     galena_handle_pack (handle));
  return report;
}

void
galena_agent_on_load (struct galena_world *world,
                      const struct galena_message *message)
{
  uint32_t upstream = galena_tag_upstream (message->tag);
  const struct galena_service *service = galena_agent_service (world);
  struct galena_load_report *report = find_load_report (world, upstream);

  if (service == NULL
      || !galena_endpoint_equal (service->address, message->service))
    return;
  if (report == NULL)
    report = insert_load_report (world, upstream);
  if (report == NULL)
    return;
  report->wait_ms = message->wait_ms;
  report->last_seen = world->now;
}

struct galena_load_report *
galena_agent_load_report (const struct galena_world *world, uint32_t upstream)
{
  struct galena_load_report *report = find_load_report (world, upstream);

  if (report == NULL
      || galena_clock_elapsed_ms (report->last_seen, world->now)
             >= REPORT_LIFE_MS)
    return NULL;
  return report;
}

void
galena_agent_run_expire_peers (struct galena_world *world)
{
  struct galena_agent *agent = world->agent;
  struct galena_load_report *report;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((report = galena_table_next (agent->load_reports, &cursor, &handle))
         != NULL)
    {
      if (galena_clock_elapsed_ms (report->last_seen, world->now)
          < REPORT_LIFE_MS)
        continue;
      galena_map_remove (agent->load_reports_by_upstream, report->upstream);
      galena_table_remove (agent->load_reports, handle);
    }
}
