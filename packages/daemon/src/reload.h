/* Reload of the settings file while the process runs.  */

#ifndef GALENAFORD_RELOAD_H
#define GALENAFORD_RELOAD_H

#include <sys/stat.h>

#include <galenaford/settings.h>

struct process;

/* The settings as last loaded; read under RCU, replaced as a whole.  */
struct live_settings
{
  /* 1 at the start, increased by each replacement.  */
  uint64_t revision;
  struct galena_settings settings;
};

/* The settings file, and its status when it was last read.  */
struct settings_file
{
  /* Owned by the caller.  */
  const char *path;
  struct stat status;
};

/* Publishes PROCESS's settings, loaded from PATH, as the live settings.  PATH
   outlives PROCESS.
   Errors: GALENA_ERR_MEMORY.  */
enum galena_result reload_init (struct process *process, const char *path);

/* Frees the live settings, which no thread reads any more.  */
void reload_release (struct process *process);

/* Returns whether the settings file has changed since it was read.  */
bool reload_file_changed (const struct process *process);

/* Loads the settings file again and replaces the live settings.  Logs each
   changed key, and whether it applies now or at the next start of the process.
   A file with errors changes nothing.  REASON is written to the log.  Only one
   thread may call this.
   Errors: GALENA_ERR_IO, GALENA_ERR_INVALID, GALENA_ERR_MEMORY.  */
enum galena_result reload_settings (struct process *process,
                                    const char *reason);

/* Returns the live settings.  The caller is inside an RCU read-side critical
   section; valid until its end.  */
const struct live_settings *reload_live (const struct process *process);

#endif
