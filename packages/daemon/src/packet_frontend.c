/* Start and end of the front end for packets.  */

#include <stdlib.h>

#include <galenaford/log.h>

#include "packet_frontend.h"

enum galena_result
packet_frontend_run (struct process *process)
{
  static struct packet_frontend frontend;
  struct status_server *status = NULL;
  enum galena_result result;

  frontend.process = process;
  pthread_mutex_init (&frontend.snapshot_lock, NULL);
  packet_log_started (process);
  result = status_server_start (&frontend, &status);
  if (result != GALENA_OK)
    goto done;
  if (process->settings.role == GALENA_ROLE_ENTRY)
    result = platform_reader_start (&frontend, &frontend.reader);
  else
    atomic_store (&frontend.ready, true);
  if (result == GALENA_OK)
    result = packet_loop_run (&frontend);
  process_begin_stop (process, EXIT_SUCCESS);

done:
  platform_reader_stop (frontend.reader);
  status_server_stop (status);
  galena_directory_destroy (frontend.directory);
  free (frontend.snapshot);
  pthread_mutex_destroy (&frontend.snapshot_lock);
  galena_log (LOG_NOTICE, "ended", "result=%s", galena_result_name (result));
  return result;
}
