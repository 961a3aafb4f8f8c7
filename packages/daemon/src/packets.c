/* Start and end of the front end for opaque packets.  */

#include <stdlib.h>

#include <galenaford/log.h>

#include "packets.h"

enum galena_result
packets_run (struct process *process)
{
  static struct packets packets;
  struct packet_status *status = NULL;
  enum galena_result result;

  packets.process = process;
  pthread_mutex_init (&packets.snapshot_lock, NULL);
  packet_log_started (process);
  result = packet_status_start (&packets, &status);
  if (result != GALENA_OK)
    goto done;
  if (process->settings.role == GALENA_ROLE_ENTRY)
    result = packet_reader_start (&packets, &packets.reader);
  else
    atomic_store (&packets.ready, true);
  if (result == GALENA_OK)
    result = packet_loop_run (&packets);
  process_begin_stop (process, EXIT_SUCCESS);

done:
  packet_reader_stop (packets.reader);
  packet_status_stop (status);
  galena_directory_destroy (packets.directory);
  free (packets.snapshot);
  pthread_mutex_destroy (&packets.snapshot_lock);
  galena_log (LOG_NOTICE, "ended", "result=%s", galena_result_name (result));
  return result;
}
