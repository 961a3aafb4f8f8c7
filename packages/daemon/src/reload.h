/* Settings that are taken up while the process runs.  */

#ifndef GALENAFORD_RELOAD_H
#define GALENAFORD_RELOAD_H

#include <sys/stat.h>

#include <galenaford/settings.h>

struct process;

/* The settings as they are now; read under RCU, replaced as a whole.  */
struct live_settings
{
  /* Rises with each replacement.  */
  uint64_t revision;
  struct galena_settings settings;
};

/* The file that settings come from, as it was when it was read last.  */
struct settings_file
{
  /* Owned by the caller.  */
  const char *path;
  struct stat status;
};

/* Publishes PROCESS's settings, read from PATH, as the live ones.
   Errors: GALENA_ERR_MEMORY.  */
enum galena_result reload_init (struct process *process, const char *path);

/* Frees the live settings; no thread reads them any more.  */
void reload_release (struct process *process);

/* Tells whether the settings file has changed since it was read.  */
bool reload_file_changed (const struct process *process);

/* Reads the file again.  Keys that can be taken up are; each changed key gets
   a log line.  A file with faults changes nothing.  REASON is a word for the
   log.  One thread calls this.
   Errors: GALENA_ERR_IO, GALENA_ERR_INVALID, GALENA_ERR_MEMORY.  */
enum galena_result reload_settings (struct process *process,
                                    const char *reason);

/* Returns the live settings; the caller holds RCU's read lock.  */
const struct live_settings *reload_live (const struct process *process);

#endif
