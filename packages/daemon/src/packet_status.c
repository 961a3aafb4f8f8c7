/* Readiness and counters over HTTP, on a thread of libmicrohttpd.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <microhttpd.h>

#include <galenaford/log.h>

#include "packets.h"

enum
{
  METRICS_BYTES = 16 * 1024,
  CONNECTIONS_MAX = 32,
  CONNECTION_TIMEOUT_S = 10
};

struct packet_status
{
  struct packets *packets;
  struct MHD_Daemon *daemon;
};

/* Writes counters and gauges in the text format of Prometheus.  */
static void
write_metrics (struct packets *packets, char *text, size_t size)
{
  FILE *out = fmemopen (text, size, "w");

  if (out == NULL)
    return;
  for (int i = 0; i < GALENA_PLANE_COUNTER_COUNT; i++)
    fprintf (out,
             "# HELP galenaford_%s_total %s\n"
             "# TYPE galenaford_%s_total counter\n"
             "galenaford_%s_total %llu\n",
             galena_plane_counter_word (i), galena_plane_counter_meaning (i),
             galena_plane_counter_word (i), galena_plane_counter_word (i),
             atomic_load (&packets->counters[i]));
  fprintf (out,
           "# TYPE galenaford_flows gauge\n"
           "galenaford_flows %u\n"
           "# TYPE galenaford_platform_calls_total counter\n"
           "galenaford_platform_calls_total %llu\n"
           "# TYPE galenaford_platform_failures_total counter\n"
           "galenaford_platform_failures_total %llu\n"
           "# TYPE galenaford_config_version gauge\n"
           "galenaford_config_version %llu\n",
           atomic_load (&packets->flows),
           atomic_load (&packets->platform_calls),
           atomic_load (&packets->platform_failures),
           atomic_load (&packets->version));
  fclose (out);
}

static enum MHD_Result
reply (struct MHD_Connection *connection, unsigned status, const char *text)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), (void *)text, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result;

  if (response == NULL)
    return MHD_NO;
  result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
answer (void *data, struct MHD_Connection *connection, const char *url,
        const char *method, const char *version, const char *upload,
        size_t *upload_size, void **request)
{
  struct packets *packets = data;
  char text[METRICS_BYTES] = "";

  (void)version;
  (void)upload;
  (void)upload_size;
  (void)request;
  if (strcmp (method, "GET") != 0)
    return reply (connection, MHD_HTTP_METHOD_NOT_ALLOWED, "");
  if (strcmp (url, "/readyz") == 0)
    return reply (connection,
                  atomic_load (&packets->ready)
                          && !atomic_load (&packets->process->draining)
                      ? MHD_HTTP_OK
                      : MHD_HTTP_SERVICE_UNAVAILABLE,
                  "");
  if (strcmp (url, "/metrics") != 0)
    return reply (connection, MHD_HTTP_NOT_FOUND, "");
  write_metrics (packets, text, sizeof text);
  return reply (connection, MHD_HTTP_OK, text);
}

enum galena_result
packet_status_start (struct packets *packets, struct packet_status **out)
{
  struct galena_endpoint at = packets->process->settings.packets_status;
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct packet_status *status = calloc (1, sizeof *status);

  if (status == NULL)
    return GALENA_ERR_MEMORY;
  status->packets = packets;
  address.sin_addr.s_addr = htonl (at.ip);
  address.sin_port = htons (at.port);
  status->daemon = MHD_start_daemon (
      MHD_USE_POLL_INTERNAL_THREAD, at.port, NULL, NULL, answer, packets,
      MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned)CONNECTIONS_MAX, MHD_OPTION_CONNECTION_TIMEOUT,
      (unsigned)CONNECTION_TIMEOUT_S, MHD_OPTION_END);
  if (status->daemon == NULL)
    {
      galena_log (LOG_ERR, "listen-failed", "what=status port=%u", at.port);
      free (status);
      return GALENA_ERR_IO;
    }
  *out = status;
  return GALENA_OK;
}

void
packet_status_stop (struct packet_status *status)
{
  if (status == NULL)
    return;
  MHD_stop_daemon (status->daemon);
  free (status);
}
