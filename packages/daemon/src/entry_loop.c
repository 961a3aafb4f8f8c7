/* Worker threads of an entry.  Each has its own world.  They share the address
   that callers send to and the configuration snapshot, but no lock.  */

#include <pthread.h>
#include <stdlib.h>

#include <urcu.h>

#include "entry_thread.h"

struct worker
{
  struct entry_thread *entry;
  pthread_t thread;
};

static void *
run_worker (void *data)
{
  struct worker *worker = data;

  rcu_register_thread ();
  while (entry_thread_should_continue (worker->entry))
    entry_thread_step (worker->entry);
  rcu_unregister_thread ();
  return NULL;
}

static uint32_t
start_workers (struct worker *workers, uint32_t count)
{
  uint32_t started = 0;

  while (started < count
         && pthread_create (&workers[started].thread, NULL, run_worker,
                            &workers[started])
                == 0)
    started++;
  return started;
}

enum galena_result
entry_loop_run (struct process *process)
{
  uint32_t count = process->settings.entry_threads;
  struct worker *workers = calloc (count, sizeof *workers);
  enum galena_result result = GALENA_OK;
  uint32_t started;

  if (workers == NULL)
    return GALENA_ERR_MEMORY;
  for (uint32_t i = 0; i < count; i++)
    {
      result = entry_thread_create (process, i, &workers[i].entry);
      if (result != GALENA_OK)
        goto done;
    }
  started = start_workers (workers, count);
  if (started < count)
    result = GALENA_ERR_IO;
  for (uint32_t i = 0; i < started; i++)
    pthread_join (workers[i].thread, NULL);

done:
  for (uint32_t i = 0; i < count; i++)
    entry_thread_destroy (workers[i].entry);
  free (workers);
  return result;
}
