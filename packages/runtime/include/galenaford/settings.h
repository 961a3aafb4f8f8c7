/* Settings of a process, read and validated from an INI file.  */

#ifndef GALENAFORD_SETTINGS_H
#define GALENAFORD_SETTINGS_H

#include <stdio.h>

#include <galenaford/config.h>
#include <galenaford/directory.h>
#include <galenaford/sync.h>
#include <galenaford/world.h>

enum
{
  /* Size of a value as text, with its terminating NUL.  */
  GALENA_SETTING_BYTES = 256
};

struct galena_addresses
{
  uint32_t count;
  struct galena_endpoint rows[GALENA_SYNC_SEEDS_MAX];
};

/* Front end: the protocol that callers use.  */
enum galena_front
{
  GALENA_FRONT_MESSAGES,
  GALENA_FRONT_PACKETS,
  GALENA_FRONT_COUNT
};

struct galena_settings
{
  /* [process] */
  char name[GALENA_NAME_BYTES];
  enum galena_role role;
  enum galena_front front;
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
  /* Number of the service whose record the process keeps; 0: it keeps the
     records of all services.  */
  uint32_t agent_service;
  /* [packets] */
  struct galena_endpoint packets_address;
  struct galena_endpoint packets_status;
  /* Agent only: where the upstream sends its packets to, and where it
     receives packets.  */
  struct galena_endpoint packets_outbound;
  struct galena_endpoint packets_upstream;
  char packets_service[GALENA_PUBLISHED_NAME_BYTES];
  char packets_choice[GALENA_NAME_BYTES];
  /* Whether the file sets it.  */
  bool packets_choice_set;
  uint32_t packets_flows;
  uint32_t packets_link_mbps;
  /* Idle timeout of a flow.  */
  uint32_t packets_flow_max_s;
  /* Agent only: whether its upstream has no flows from before this process
     started.  */
  bool packets_first_start;
  /* Whether upstreams may be overloaded or fail part of their work.  */
  bool packets_load_control;
  /* [warm_up] */
  double warm_up_overrun;
  double warm_up_slack;
  /* [platform] */
  char platform_url[GALENA_SETTING_BYTES];
  /* Longest long poll.  */
  uint32_t platform_wait_ms;
  /* Least number of processes among which the rate of reads is divided.  */
  uint32_t platform_readers;
  uint32_t platform_reads_per_second;
  /* Names of what the platform's rules cover, separated by commas.  */
  char platform_contracts[GALENA_SETTING_BYTES];
  /* [peers]; without an address, the process has no links to peers.  */
  struct galena_endpoint peers_address;
  struct galena_addresses peers_seeds;
  /* [policy] */
  char choice[GALENA_NAME_BYTES];
  char admission[GALENA_NAME_BYTES];
  /* [shutdown] */
  uint32_t shutdown_limit_ms;
  /* [operator]; without an address, it listens for no operators.  */
  struct galena_endpoint operator_address;
  uint32_t operator_connections;
};

/* One key and its allowed values.  The documentation lists these rows.  */
struct galena_setting
{
  const char *section;
  const char *key;
  /* Default as text, or NULL for a required key.  */
  const char *default_value;
  /* Range, unit or format of the value.  */
  const char *allowed;
  const char *description;
  /* Returns allowed name INDEX, or NULL past the last one.  NULL if the value
     is not one of a list of names.  */
  const char *(*name_at) (uint32_t index);
};

/* Returns row INDEX of the table of keys, or NULL past its end.  */
const struct galena_setting *galena_setting_at (uint32_t index);

/* Writes the allowed values of SETTING to TEXT of SIZE bytes: its range, unit
   or format, and the list of names if it has one.  */
void galena_setting_allowed (const struct galena_setting *setting, char *text,
                             size_t size);

/* Reads the file at PATH into *SETTINGS and writes each fault as one line
   "FILE:LINE: [SECTION] KEY: REASON" to FAULTS.  LINE is 0 for a fault of the
   whole file or a missing key.
   Errors: GALENA_ERR_IO when the file can't be read, GALENA_ERR_INVALID.  */
enum galena_result galena_settings_load (const char *path,
                                         struct galena_settings *settings,
                                         FILE *faults);

/* Called for a key whose values differ.  RELOADABLE is whether a running
   process applies the new value without a restart.  */
typedef void galena_setting_on_change (void *user,
                                       const struct galena_setting *setting,
                                       bool reloadable);

/* Calls ON_CHANGE for each key whose value in AFTER differs from BEFORE.  */
void galena_settings_compare (const struct galena_settings *before,
                              const struct galena_settings *after,
                              galena_setting_on_change *on_change, void *user);

/* Returns whether a running process applies a new value of SETTING without a
   restart.  */
bool galena_setting_is_reloadable (const struct galena_setting *setting);

#endif
