/* Log lines for the start of the process and the events of a plane.  */

#include <stdio.h>

#include <galenaford/log.h>

#include "packet_frontend.h"

enum
{
  ENDPOINT_TEXT_BYTES = 24
};

static const char *
write_endpoint (struct galena_endpoint endpoint, char *text)
{
  snprintf (text, ENDPOINT_TEXT_BYTES, "%u.%u.%u.%u:%u", endpoint.ip >> 24,
            (endpoint.ip >> 16) & 255, (endpoint.ip >> 8) & 255,
            endpoint.ip & 255, endpoint.port);
  return text;
}

void
packet_log_started (const struct process *process)
{
  const struct galena_settings *settings = &process->settings;
  char address[ENDPOINT_TEXT_BYTES];

  galena_log (LOG_NOTICE, "started", "role=%s zone=%s version=%s address=%s",
              settings->role == GALENA_ROLE_ENTRY ? "entry" : "agent",
              settings->zone, GALENA_VERSION,
              write_endpoint (settings->peers_address, address));
}

/* Writes an event on an outlier.  */
static void
log_outlier (const struct galena_plane_logged_event *logged)
{
  const struct galena_outlier_figures *figures = &logged->outlier;
  char agent[ENDPOINT_TEXT_BYTES];

  galena_log_write_admitted (
      LOG_NOTICE, galena_plane_event_name (logged->event),
      "agent=%s reason=%s finished=%u failed=%u service_us=%u median_us=%u "
      "age_ms=%lld detail=%u",
      write_endpoint (logged->agent, agent), figures->reason,
      figures->finished, figures->failed, figures->service_us,
      figures->median_us, (long long)logged->age_ms, logged->detail);
}

static void
log_event (const struct galena_plane_logged_event *logged)
{
  char caller[ENDPOINT_TEXT_BYTES];
  char service[ENDPOINT_TEXT_BYTES];
  char agent[ENDPOINT_TEXT_BYTES];
  const char *event = galena_plane_event_name (logged->event);

  if (!galena_log_try_acquire (event))
    return;
  if (logged->outlier.reason != NULL)
    {
      log_outlier (logged);
      return;
    }
  galena_log_write_admitted (
      LOG_INFO, event,
      "caller=%s address=%s agent=%s version=%llu result=%s "
      "age_ms=%lld detail=%u",
      write_endpoint (logged->flow.caller, caller),
      write_endpoint (logged->flow.service_address, service),
      write_endpoint (logged->agent, agent),
      (unsigned long long)logged->version, galena_result_name (logged->result),
      (long long)logged->age_ms, logged->detail);
}

void
packet_log_events (const struct galena_plane *plane)
{
  uint32_t count = galena_plane_logged_event_count (plane);

  for (uint32_t i = 0; i < count; i++)
    log_event (galena_plane_logged_event_at (plane, i));
}
