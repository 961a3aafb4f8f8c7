/* One pointer that is read and replaced under RCU.  */

#include <stdlib.h>

#include <urcu.h>

#include "snapshot.h"

struct snapshot
{
  struct galena_config *config;
};

enum galena_result
snapshot_create (struct snapshot **out)
{
  struct galena_config_options empty = { NULL, 0, NULL, 0 };
  struct snapshot *snapshot = calloc (1, sizeof *snapshot);
  enum galena_result result;

  if (snapshot == NULL)
    return GALENA_ERR_MEMORY;
  result = galena_config_create (&empty, &snapshot->config);
  if (result != GALENA_OK)
    {
      free (snapshot);
      return result;
    }
  *out = snapshot;
  return GALENA_OK;
}

void
snapshot_destroy (struct snapshot *snapshot)
{
  if (snapshot == NULL)
    return;
  galena_config_destroy (snapshot->config);
  free (snapshot);
}

void
snapshot_replace (struct snapshot *snapshot, struct galena_config *config)
{
  struct galena_config *before = rcu_xchg_pointer (&snapshot->config, config);

  synchronize_rcu ();
  galena_config_destroy (before);
}

const struct galena_config *
snapshot_read (const struct snapshot *snapshot)
{
  return rcu_dereference (snapshot->config);
}
