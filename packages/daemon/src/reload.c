/* Reload of the settings file while the process runs.  */

#include <stdlib.h>
#include <string.h>

#include <urcu.h>

#include <galenaford/log.h>

#include "process.h"
#include "reload.h"

/* Stores the status of the settings file, to detect later changes.  */
static void
store_file_status (struct process *process)
{
  if (stat (process->file.path, &process->file.status) != 0)
    memset (&process->file.status, 0, sizeof process->file.status);
}

enum galena_result
reload_init (struct process *process, const char *path)
{
  struct live_settings *live = calloc (1, sizeof *live);

  if (live == NULL)
    return GALENA_ERR_MEMORY;
  process->file.path = path;
  store_file_status (process);
  live->revision = 1;
  live->settings = process->settings;
  rcu_assign_pointer (process->live, live);
  return GALENA_OK;
}

void
reload_release (struct process *process)
{
  free (process->live);
  process->live = NULL;
}

const struct live_settings *
reload_live (const struct process *process)
{
  return rcu_dereference (process->live);
}

bool
reload_file_changed (const struct process *process)
{
  const struct stat *known = &process->file.status;
  struct stat now;

  return stat (process->file.path, &now) == 0
         && (now.st_mtim.tv_sec != known->st_mtim.tv_sec
             || now.st_mtim.tv_nsec != known->st_mtim.tv_nsec
             || now.st_size != known->st_size || now.st_ino != known->st_ino);
}

struct change_counts
{
  uint32_t applied;
  uint32_t deferred;
};

static void
count_change (void *user, const struct galena_setting *setting, bool live)
{
  struct change_counts *counts = user;

  if (live)
    counts->applied++;
  else
    counts->deferred++;
  galena_log (LOG_NOTICE, "setting-changed", "section=%s key=%s taken=%s",
              setting->section, setting->key, live ? "now" : "at-next-start");
}

/* Logs each line of FAULTS, which it modifies.  */
static void
log_faults (char *faults)
{
  char *rest = NULL;

  for (const char *line = strtok_r (faults, "\n", &rest); line != NULL;
       line = strtok_r (NULL, "\n", &rest))
    galena_log (LOG_ERR, "setting-refused", "fault=\"%s\"", line);
}

/* Loads the file into *SETTINGS and logs its errors.  */
static enum galena_result
load (const struct process *process, struct galena_settings *settings)
{
  char *faults = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&faults, &size);
  enum galena_result result;

  if (out == NULL)
    return GALENA_ERR_MEMORY;
  result = galena_settings_load (process->file.path, settings, out);
  fclose (out);
  if (result != GALENA_OK)
    log_faults (faults);
  free (faults);
  return result;
}

enum galena_result
reload_settings (struct process *process, const char *reason)
{
  struct change_counts counts = { 0, 0 };
  struct live_settings *before = process->live;
  struct live_settings *live = calloc (1, sizeof *live);
  enum galena_result result = GALENA_ERR_MEMORY;

  if (live == NULL)
    goto done;
  store_file_status (process);
  result = load (process, &live->settings);
  if (result != GALENA_OK)
    goto done;
  live->revision = before->revision + 1;
  galena_settings_compare (&before->settings, &live->settings, count_change,
                           &counts);
  rcu_assign_pointer (process->live, live);
  synchronize_rcu ();
  /* The replaced settings are freed below.  */
  live = before;

done:
  galena_log (result == GALENA_OK ? LOG_NOTICE : LOG_ERR, "reloaded",
              "reason=%s result=%s taken=%u at_next_start=%u", reason,
              galena_result_name (result), counts.applied, counts.deferred);
  free (live);
  return result;
}
