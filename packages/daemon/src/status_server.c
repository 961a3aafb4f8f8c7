/* HTTP server for readiness, metrics and the snapshot for peers, on a thread
   of libmicrohttpd.  */

#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <microhttpd.h>

#include <galenaford/log.h>

#include "packet_frontend.h"

enum
{
  CONNECTIONS_MAX = 32,
  CONNECTION_TIMEOUT_S = 10
};

struct status_server
{
  struct packet_frontend *frontend;
  struct MHD_Daemon *daemon;
};

static enum MHD_Result
reply_bytes (struct MHD_Connection *connection, unsigned http_status,
             const void *bytes, size_t size)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      size, (void *)bytes, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result;

  if (response == NULL)
    return MHD_NO;
  result = MHD_queue_response (connection, http_status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
reply (struct MHD_Connection *connection, unsigned http_status,
       const char *text)
{
  return reply_bytes (connection, http_status, text, strlen (text));
}

static enum MHD_Result
answer_ready (struct packet_frontend *frontend,
              struct MHD_Connection *connection)
{
  bool ready = atomic_load (&frontend->ready)
               && !atomic_load (&frontend->out_of_rotation)
               && !atomic_load (&frontend->process->draining);

  return reply (connection, ready ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE,
                "");
}

static enum MHD_Result
answer_metrics (struct packet_frontend *frontend,
                struct MHD_Connection *connection)
{
  char *text = status_metrics_text (frontend);
  enum MHD_Result result
      = text == NULL ? reply (connection, MHD_HTTP_SERVICE_UNAVAILABLE, "")
                     : reply (connection, MHD_HTTP_OK, text);

  free (text);
  return result;
}

/* Replies with the catalog's snapshot, for a peer to which the platform does
   not reply.  */
static enum MHD_Result
answer_snapshot (struct packet_frontend *frontend,
                 struct MHD_Connection *connection)
{
  enum MHD_Result result;

  pthread_mutex_lock (&frontend->snapshot_lock);
  result = frontend->snapshot == NULL
               ? reply (connection, MHD_HTTP_SERVICE_UNAVAILABLE, "")
               : reply_bytes (connection, MHD_HTTP_OK, frontend->snapshot,
                              frontend->snapshot_size);
  pthread_mutex_unlock (&frontend->snapshot_lock);
  return result;
}

static const struct
{
  const char *path;
  enum MHD_Result (*answer) (struct packet_frontend *frontend,
                             struct MHD_Connection *connection);
} PAGES[] = {
  { "/readyz", answer_ready },
  { "/metrics", answer_metrics },
  { "/snapshot", answer_snapshot },
};

static enum MHD_Result
answer (void *data, struct MHD_Connection *connection, const char *url,
        const char *method, const char *version, const char *upload,
        size_t *upload_size, void **request)
{
  struct packet_frontend *frontend = data;

  (void)version;
  (void)upload;
  (void)upload_size;
  (void)request;
  if (strcmp (method, "GET") != 0)
    return reply (connection, MHD_HTTP_METHOD_NOT_ALLOWED, "");
  for (size_t i = 0; i < sizeof PAGES / sizeof PAGES[0]; i++)
    if (strcmp (url, PAGES[i].path) == 0)
      return PAGES[i].answer (frontend, connection);
  return reply (connection, MHD_HTTP_NOT_FOUND, "");
}

enum galena_result
status_server_start (struct packet_frontend *frontend,
                     struct status_server **out)
{
  struct galena_endpoint listen_address
      = frontend->process->settings.packets_status;
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct status_server *server = calloc (1, sizeof *server);

  if (server == NULL)
    return GALENA_ERR_MEMORY;
  server->frontend = frontend;
  address.sin_addr.s_addr = htonl (listen_address.ip);
  address.sin_port = htons (listen_address.port);
  server->daemon = MHD_start_daemon (
      MHD_USE_POLL_INTERNAL_THREAD, listen_address.port, NULL, NULL, answer,
      frontend, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned)CONNECTIONS_MAX, MHD_OPTION_CONNECTION_TIMEOUT,
      (unsigned)CONNECTION_TIMEOUT_S, MHD_OPTION_END);
  if (server->daemon == NULL)
    {
      galena_log (LOG_ERR, "listen-failed", "what=status port=%u",
                  listen_address.port);
      free (server);
      return GALENA_ERR_IO;
    }
  *out = server;
  return GALENA_OK;
}

void
status_server_stop (struct status_server *server)
{
  if (server == NULL)
    return;
  MHD_stop_daemon (server->daemon);
  free (server);
}
