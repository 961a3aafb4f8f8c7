/* The thread that reads the platform's key-value store: makes the HTTP calls
   that the catalog requests, and builds the directory from the replies.  */

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#include <urcu.h>

#include <galenaford/log.h>
#include <galenaford/monotonic.h>
#include <galenaford/percent.h>
#include <galenaford/platform/store.h>
#include <galenaford/reads.h>
#include <galenaford/snapshot_wire.h>

#include "packet_frontend.h"

enum
{
  /* The operating system resends a lost SYN only after 1 s.  A new connection
     is tried well before that, after the time of about fifty round trips to
     the platform.  */
  CONNECT_TIMEOUT_MS = 200,
  REPLY_BYTES_MAX = 4 * 1024 * 1024,
  UPSTREAMS_MAX = 8192,
  /* A peer has its snapshot in memory, so it replies at once or not at
     all.  */
  PEER_TIMEOUT_MS = 500,
  /* Identify the two kinds of reads.  */
  PLATFORM_READ = 0,
  PEER_READ = 1,
  READS_MAX = 2,
  /* Size of a key or header of the store in a log line.  */
  LOG_TEXT_BYTES = GALENA_PERCENT_BYTES * GALENA_CATALOG_KEY_BYTES,
  URL_BYTES = GALENA_PLATFORM_PATH_BYTES + GALENA_SETTING_BYTES
};

struct platform_reader
{
  struct packet_frontend *frontend;
  struct galena_reads *reads;
  struct galena_catalog *catalog;
  /* Call in progress.  */
  struct galena_catalog_call call;
  /* Era of the store in its last reply that had one; 0 before.  */
  uint64_t era;
  /* Whether the last call failed.  */
  bool failing;
  /* Whether the catalog was too full for an upstream.  */
  bool full;
  /* Number of pauses of the process that this thread has noticed.  */
  uint64_t pauses;
  /* Value of `pauses' when a call last succeeded; a pause cancels the call in
     progress, so that call began after the pause.  */
  uint64_t pauses_refreshed;
  /* Whether a read from a peer is in progress, and the index of the next peer
     to ask.  */
  bool peer_read_active;
  uint32_t next_peer;
  pthread_t thread;
};

/* Counts a failed call, and logs when the platform becomes unavailable or
   available again.  */
static void
update_availability (struct platform_reader *reader,
                     const struct galena_completed_read *completed,
                     bool failed)
{
  struct galena_clock now = galena_monotonic_now ();

  if (failed)
    atomic_fetch_add (&reader->frontend->platform_failures, 1);
  if (failed == reader->failing)
    return;
  reader->failing = failed;
  galena_log (failed ? LOG_WARNING : LOG_NOTICE,
              failed ? "platform-lost" : "platform-regained",
              "result=%s status=%u age_ms=%lld",
              galena_result_name (completed->result), completed->status,
              (long long)galena_catalog_age_ms (reader->catalog, now));
}

/* Logs when the catalog becomes too full for all upstreams, or has room
   again.  */
static void
update_room (struct platform_reader *reader)
{
  bool full = galena_catalog_left_out (reader->catalog);

  if (full != reader->full)
    galena_log (full ? LOG_ERR : LOG_NOTICE, "upstreams-left-out",
                "result=%s most=%u",
                galena_result_name (full ? GALENA_ERR_FULL : GALENA_OK),
                (unsigned)UPSTREAMS_MAX);
  reader->full = full;
}

struct change_context
{
  struct platform_reader *reader;
  struct galena_clock now;
};

static const char *
call_name (const struct platform_reader *reader)
{
  return reader->call.kind == GALENA_CALL_LIST ? "list" : "watch";
}

/* Returns the era of the store in COMPLETED, 0 if it has none, and logs when
   the era changes, with the call whose reply showed it.  */
static uint64_t
update_era (struct platform_reader *reader,
            const struct galena_completed_read *completed)
{
  uint64_t era;

  if (galena_platform_decode_era (completed->header, &era) != GALENA_OK)
    {
      char text[LOG_TEXT_BYTES];

      galena_percent_encode (completed->header, text, sizeof text);
      galena_log (LOG_WARNING, "era-unreadable", "result=type value=%s", text);
    }
  if (era == 0 || era == reader->era)
    return era;
  galena_log (LOG_NOTICE, "store-era",
              "era=%llu before=%llu call=%s after=%llu status=%u",
              (unsigned long long)era, (unsigned long long)reader->era,
              call_name (reader), (unsigned long long)reader->call.revision,
              completed->status);
  reader->era = era;
  atomic_store (&reader->frontend->store_era, era);
  return era;
}

static void
log_unreadable (const struct galena_change *change)
{
  char key[LOG_TEXT_BYTES];

  galena_percent_encode (change->key, key, sizeof key);
  galena_log (LOG_WARNING, "item-unreadable", "key=%s revision=%llu", key,
              (unsigned long long)change->revision);
}

/* Logs the name of the zone that CHANGE is about; the data plane knows only
   its hash.  */
static void
log_evacuation (const struct change_context *context,
                const struct galena_change *change)
{
  char zone[LOG_TEXT_BYTES];

  galena_percent_encode (change->key, zone, sizeof zone);
  galena_log (LOG_NOTICE, "evacuation-read",
              "zone=%s evacuated=%s call=%s era=%llu revision=%llu", zone,
              change->evacuated ? "yes" : "no", call_name (context->reader),
              (unsigned long long)context->reader->era,
              (unsigned long long)change->revision);
}

static void
log_skipped (const struct platform_reader *reader,
             const struct galena_change *change,
             struct galena_store_position known)
{
  char key[LOG_TEXT_BYTES];

  galena_percent_encode (change->key, key, sizeof key);
  galena_log (LOG_INFO, "change-skipped",
              "result=older key=%s call=%s era=%llu revision=%llu "
              "version=%llu known_era=%llu known_revision=%llu",
              key, call_name (reader), (unsigned long long)reader->era,
              (unsigned long long)change->revision,
              (unsigned long long)change->config.version,
              (unsigned long long)known.era,
              (unsigned long long)known.revision);
}

static void
apply_change (void *user, const struct galena_change *change)
{
  const struct change_context *context = user;
  struct platform_reader *reader = context->reader;
  struct galena_store_position known = { 0 };

  if (change->kind == GALENA_CHANGE_UNREADABLE)
    log_unreadable (change);
  if (change->kind == GALENA_CHANGE_EVACUATION)
    log_evacuation (context, change);
  if (galena_catalog_apply_change (reader->catalog, context->now, change,
                                   &known))
    return;
  atomic_fetch_add (&reader->frontend->changes_skipped, 1);
  log_skipped (reader, change, known);
}

/* Returns the IPv4 address of the next peer to ask, out of the seeds and the
   entries that sent a message recently; 0 when there is none.  */
static uint32_t
next_peer (struct platform_reader *reader)
{
  const struct process *process = reader->frontend->process;
  const struct galena_addresses *seeds;
  uint32_t ip = 0;

  rcu_read_lock ();
  seeds = &reload_live (process)->settings.peers_seeds;
  for (uint32_t i = 0; ip == 0 && i < seeds->count + PACKET_PEERS_MAX; i++)
    {
      uint32_t index = reader->next_peer++ % (seeds->count + PACKET_PEERS_MAX);

      ip = index < seeds->count
               ? seeds->rows[index].ip
               : atomic_load (&reader->frontend->peers[index - seeds->count]);
      if (ip == process->settings.peers_address.ip)
        ip = 0;
    }
  rcu_read_unlock ();
  return ip;
}

/* Requests the snapshot of a peer when the platform does not reply.  */
static void
request_peer_snapshot (struct platform_reader *reader)
{
  const struct galena_settings *settings
      = &reader->frontend->process->settings;
  char url[URL_BYTES];
  uint32_t ip;

  if (reader->peer_read_active
      || !galena_catalog_needs_peer_snapshot (reader->catalog,
                                              galena_monotonic_now ()))
    return;
  ip = next_peer (reader);
  if (ip == 0)
    return;
  snprintf (url, sizeof url, "http://%u.%u.%u.%u:%u/snapshot", ip >> 24,
            (ip >> 16) & 255, (ip >> 8) & 255, ip & 255,
            settings->packets_status.port);
  reader->peer_read_active
      = galena_reads_start (reader->reads, url, PEER_TIMEOUT_MS, PEER_READ)
        == GALENA_OK;
}

static void
apply_peer_snapshot (struct platform_reader *reader,
                     const struct galena_completed_read *completed)
{
  struct galena_catalog_snapshot snapshot;
  enum galena_result result = completed->result;

  reader->peer_read_active = false;
  if (result == GALENA_OK)
    result = galena_snapshot_decode ((const uint8_t *)completed->text,
                                     completed->size, &snapshot);
  if (result != GALENA_OK)
    {
      galena_log (LOG_INFO, "peer-unanswered", "result=%s status=%u",
                  galena_result_name (result), completed->status);
      return;
    }
  galena_log (LOG_INFO, "peer-snapshot", "version=%llu era=%llu revision=%llu",
              (unsigned long long)snapshot.version,
              (unsigned long long)snapshot.position.era,
              (unsigned long long)snapshot.position.revision);
  galena_catalog_merge_snapshot (reader->catalog, galena_monotonic_now (),
                                 &snapshot);
  galena_snapshot_release (&snapshot);
}

/* Applies COMPLETED to the catalog and stores what follows from it in
 *REPLY.  */
static enum galena_call_result
apply_reply (struct platform_reader *reader, struct galena_clock now,
             const struct galena_completed_read *completed,
             struct galena_catalog_reply *reply)
{
  struct change_context context = { reader, now };
  uint64_t era = update_era (reader, completed);
  enum galena_call_result result
      = galena_catalog_begin_reply (reader->catalog, era);
  enum galena_result decoded;

  if (result != GALENA_CALL_OK && era != 0)
    galena_log (LOG_NOTICE, "reply-skipped", "result=%s era=%llu status=%u",
                result == GALENA_CALL_FAILED ? "older-era" : "newer-era",
                (unsigned long long)era, completed->status);
  if (result != GALENA_CALL_OK)
    return result;
  if (completed->status == GALENA_PLATFORM_HISTORY_GONE)
    return GALENA_CALL_HISTORY_GONE;
  /* A watch returns all changes at once, however large their values are; the
     pages of a list are bounded.  */
  if (completed->result == GALENA_ERR_TOO_LARGE
      && reader->call.kind == GALENA_CALL_WATCH)
    {
      galena_log (LOG_WARNING, "reply-skipped",
                  "result=too-large era=%llu status=%u",
                  (unsigned long long)era, completed->status);
      return GALENA_CALL_HISTORY_GONE;
    }
  if (completed->result != GALENA_OK)
    return GALENA_CALL_FAILED;
  decoded = galena_platform_decode_reply (&reader->call, completed->text,
                                          completed->size, apply_change,
                                          &context, reply);
  if (decoded == GALENA_OK)
    return GALENA_CALL_OK;
  galena_log (LOG_WARNING, "reply-unreadable", "result=%s call=%s bytes=%zu",
              galena_result_name (decoded), call_name (reader),
              completed->size);
  return GALENA_CALL_FAILED;
}

static void
finish_call (struct platform_reader *reader,
             const struct galena_completed_read *completed)
{
  struct galena_clock now = galena_monotonic_now ();
  struct galena_catalog_reply reply = { 0 };
  enum galena_call_result result
      = apply_reply (reader, now, completed, &reply);

  if (result == GALENA_CALL_OK)
    reader->pauses_refreshed = reader->pauses;
  update_availability (reader, completed, result == GALENA_CALL_FAILED);
  galena_catalog_end_call (reader->catalog, now, result, &reply);
  update_room (reader);
}

static void
start_call (struct platform_reader *reader)
{
  const char *base_url = reader->frontend->process->settings.platform_url;
  struct galena_clock now = galena_monotonic_now ();
  struct galena_completed_read completed = { .result = GALENA_ERR_MEMORY };
  char path[GALENA_PLATFORM_PATH_BYTES];
  char url[URL_BYTES];

  if (!galena_catalog_next_call (reader->catalog, now, &reader->call))
    return;
  galena_platform_call_path (&reader->call, path);
  snprintf (url, sizeof url, "%s%s", base_url, path);
  atomic_fetch_add (&reader->frontend->platform_calls, 1);
  if (galena_reads_start (reader->reads, url, reader->call.timeout_ms,
                          PLATFORM_READ)
      == GALENA_OK)
    return;
  update_availability (reader, &completed, true);
  galena_catalog_end_call (reader->catalog, now, GALENA_CALL_FAILED, NULL);
}

/* Replaces the directory and the snapshot for peers when the catalog has
   changed.  */
static void
publish (struct platform_reader *reader)
{
  struct packet_frontend *frontend = reader->frontend;
  struct galena_directory *directory;
  struct galena_directory *before;
  struct galena_catalog_snapshot snapshot;
  uint8_t *bytes = NULL;
  size_t size = 0;

  if (!galena_catalog_build (reader->catalog, galena_monotonic_now (),
                             galena_unix_ms (), &directory))
    return;
  atomic_store (&frontend->version, galena_directory_version (directory));
  atomic_store (&frontend->evacuated_zones,
                galena_directory_evacuated_zones (directory));
  galena_catalog_snapshot (reader->catalog, galena_monotonic_now (), directory,
                           &snapshot);
  if (galena_snapshot_encode (&snapshot, &bytes, &size) != GALENA_OK)
    galena_log (LOG_ERR, "snapshot-failed", "result=memory");
  pthread_mutex_lock (&frontend->snapshot_lock);
  free (frontend->snapshot);
  frontend->snapshot = bytes;
  frontend->snapshot_size = size;
  pthread_mutex_unlock (&frontend->snapshot_lock);
  before = rcu_xchg_pointer (&frontend->directory, directory);
  synchronize_rcu ();
  galena_directory_destroy (before);
  if (!atomic_load (&frontend->process->draining))
    atomic_store (&frontend->ready, true);
}

/* After a pause of the process a pending reply may be outdated: cancels the
   call in progress and requests at once what was missed.  */
static void
refresh_after_pause (struct platform_reader *reader)
{
  uint64_t pauses = atomic_load (&reader->frontend->pauses);

  if (pauses == reader->pauses)
    return;
  reader->pauses = pauses;
  galena_reads_cancel (reader->reads, PLATFORM_READ);
  galena_catalog_refresh (reader->catalog, galena_monotonic_now ());
}

void
platform_reader_wake (struct platform_reader *reader)
{
  if (reader != NULL)
    galena_reads_interrupt (reader->reads);
}

static void *
run_reader (void *data)
{
  struct platform_reader *reader = data;
  struct process *process = reader->frontend->process;

  rcu_register_thread ();
  while (!atomic_load (&process->stopping))
    {
      struct pollfd wake = { process_wake_fd (process), POLLIN, 0 };
      struct galena_completed_read completed;

      if (atomic_load (&process->draining))
        atomic_store (&reader->frontend->ready, false);
      refresh_after_pause (reader);
      start_call (reader);
      request_peer_snapshot (reader);
      galena_reads_wait (
          reader->reads, &wake, 1,
          galena_clock_remaining_ms (
              galena_monotonic_now (),
              galena_catalog_due (reader->catalog, reader->peer_read_active)));
      while (galena_reads_next (reader->reads, &completed))
        {
          if (completed.user_data == PEER_READ)
            apply_peer_snapshot (reader, &completed);
          else
            finish_call (reader, &completed);
        }
      publish (reader);
      atomic_store (&reader->frontend->pauses_refreshed,
                    reader->pauses_refreshed);
    }
  rcu_unregister_thread ();
  return NULL;
}

enum galena_result
platform_reader_start (struct packet_frontend *frontend,
                       struct platform_reader **out)
{
  const struct galena_settings *settings = &frontend->process->settings;
  /* No common base: the platform and each peer have their own.  */
  struct galena_reads_options reads
      = { .base_url = "",
          .connect_timeout_ms = CONNECT_TIMEOUT_MS,
          .bytes_max = REPLY_BYTES_MAX,
          .reads_max = READS_MAX,
          .header = GALENA_PLATFORM_ERA_HEADER };
  struct galena_catalog_options catalog
      = { .seed = frontend->process->seed,
          .wait_ms = settings->platform_wait_ms,
          .upstreams = UPSTREAMS_MAX };
  struct platform_reader *reader = calloc (1, sizeof *reader);
  enum galena_result result;

  if (reader == NULL)
    return GALENA_ERR_MEMORY;
  reader->frontend = frontend;
  result = galena_reads_create (&reads, &reader->reads);
  if (result != GALENA_OK)
    goto fail;
  result = galena_catalog_create (&catalog, &reader->catalog);
  if (result != GALENA_OK)
    goto fail;
  if (pthread_create (&reader->thread, NULL, run_reader, reader) != 0)
    {
      result = GALENA_ERR_IO;
      goto fail;
    }
  *out = reader;
  return GALENA_OK;

fail:
  galena_catalog_destroy (reader->catalog);
  galena_reads_destroy (reader->reads);
  free (reader);
  return result;
}

void
platform_reader_stop (struct platform_reader *reader)
{
  if (reader == NULL)
    return;
  pthread_join (reader->thread, NULL);
  galena_catalog_destroy (reader->catalog);
  galena_reads_destroy (reader->reads);
  free (reader);
}
