/* Settings of a process, read from an INI file and checked key by key.  */

#ifndef GALENAFORD_SETTINGS_H
#define GALENAFORD_SETTINGS_H

#include <stdio.h>

#include <galenaford/config.h>
#include <galenaford/world.h>

enum
{
  GALENA_SETTING_BYTES = 256
};

struct galena_settings
{
  /* [process] */
  char name[GALENA_NAME_BYTES];
  enum galena_role role;
  char zone[GALENA_NAME_BYTES];
  /* [entry] */
  struct galena_endpoint entry_address;
  uint32_t entry_threads;
  uint32_t entry_pending_opens;
  /* [agent] */
  struct galena_endpoint agent_address;
  uint32_t agent_upstream;
  char agent_upstream_url[GALENA_SETTING_BYTES];
  uint32_t agent_requests;
  /* [platform] */
  char platform_url[GALENA_SETTING_BYTES];
  uint32_t platform_wait_ms;
  /* [policy] */
  char choice[GALENA_NAME_BYTES];
  char admission[GALENA_NAME_BYTES];
  /* [shutdown] */
  uint32_t shutdown_limit_ms;
};

/* What one key may hold; the table of these is the reference for the pages. */
struct galena_setting
{
  const char *section;
  const char *key;
  /* Default as text, or NULL when the key must be given.  */
  const char *standard;
  /* Range, unit or form of the value.  */
  const char *allowed;
  const char *meaning;
};

/* Returns row INDEX of the table of keys, or NULL past its end.  */
const struct galena_setting *galena_setting_at (uint32_t index);

/* Reads the file at PATH into *SETTINGS and writes each fault as a line
   "FILE:LINE: [section] key: what is allowed" to FAULTS.
   Errors: GALENA_ERR_IO when the file can't be read, GALENA_ERR_INVALID.  */
enum galena_result galena_settings_load (const char *path,
                                         struct galena_settings *settings,
                                         FILE *faults);

#endif
