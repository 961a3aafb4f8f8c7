/* The published state of upstreams.  The platform's store has registrations of
   upstreams and may have some of other writers.  Of all registrations at the
   address of an instance, this decides which is that of its upstream.  */

#include "entry_tables.h"

enum
{
  /* A registration whose start lies further ahead of the wall clock than this
     is less credible than others: clocks of instances differ by seconds.  */
  START_AHEAD_MAX_MS = 60000
};

/* A rule by which one of two registrations that may both be that of the
   upstream is preferred.  */
struct preference
{
  const char *name;
  /* Returns a positive number if A is preferred to B, a negative one if B is
     preferred to A, and 0 if the rule does not tell them apart.  */
  int (*compare) (const struct galena_directory *directory,
                  const struct galena_published_upstream *a,
                  const struct galena_published_upstream *b);
  /* Whether the other one is then known not to be the upstream's.  */
  bool excludes;
};

static bool
is_credible (const struct galena_directory *directory,
             const struct galena_published_upstream *published)
{
  uint64_t unix_ms = galena_directory_unix_ms (directory);

  return unix_ms == 0
         || published->started_unix_ms <= unix_ms + START_AHEAD_MAX_MS;
}

static int
compare_credibility (const struct galena_directory *directory,
                     const struct galena_published_upstream *a,
                     const struct galena_published_upstream *b)
{
  return is_credible (directory, a) - is_credible (directory, b);
}

static int
compare_draining (const struct galena_directory *directory,
                  const struct galena_published_upstream *a,
                  const struct galena_published_upstream *b)
{
  (void)directory;
  return (a->state == GALENA_PUBLISHED_DRAINING)
         - (b->state == GALENA_PUBLISHED_DRAINING);
}

static int
compare_start (const struct galena_directory *directory,
               const struct galena_published_upstream *a,
               const struct galena_published_upstream *b)
{
  (void)directory;
  return (a->started_unix_ms > b->started_unix_ms)
         - (a->started_unix_ms < b->started_unix_ms);
}

/* In the order in which they apply.  */
static const struct preference PREFERENCES[] = {
  { "credible-start", compare_credibility, true },
  /* If it is not certain which one it is, a new flow must not reach an
     upstream that drains.  */
  { "draining", compare_draining, false },
  { "later-start", compare_start, false },
};

/* Returns whether PUBLISHED may be that of the upstream at its address;
   UPSTREAM is the row there, or NULL.  The agent beside the upstream knows its
   service and port.  Before an agent has reported, it counts if the
   configuration names its service, or if another entry has listed the
   agent.  */
static bool
may_be_upstream (const struct galena_directory *directory,
                 const struct upstream_row *upstream,
                 const struct galena_published_upstream *published)
{
  if (upstream == NULL || upstream->reported_service == 0)
    return (upstream != NULL && upstream->listed)
           || galena_directory_routes_to (directory, published->service);
  return upstream->reported_service == published->service
         && (upstream->reported_port == 0
             || upstream->reported_port == published->address.port);
}

static void
note_start (const struct galena_directory *directory,
            struct upstream_row *upstream,
            const struct galena_published_upstream *published)
{
  if (is_credible (directory, published)
      && published->started_unix_ms > upstream->newest_start_unix_ms)
    upstream->newest_start_unix_ms = published->started_unix_ms;
}

/* Compares registration INDEX of UPSTREAMS, at the address of UPSTREAM, with
   the one that is preferred so far.  */
static void
consider_rival (const struct galena_directory *directory,
                struct upstream_row *upstream,
                const struct galena_published_upstream *upstreams,
                uint32_t index)
{
  const struct preference *preference = PREFERENCES;
  const struct preference *end
      = PREFERENCES + sizeof PREFERENCES / sizeof PREFERENCES[0];
  int result = 0;

  while (
      preference < end
      && (result = preference->compare (directory, &upstreams[index],
                                        &upstreams[upstream->published_index]))
             == 0)
    preference++;
  if (result > 0)
    upstream->published_index = index;
  if (result == 0 || !preference->excludes)
    upstream->rivals++;
  else if (result > 0)
    upstream->rivals = 0;
}

/* Considers registration INDEX of UPSTREAMS in this pass over the directory.
 */
static void
consider_published (struct galena_plane *plane,
                    const struct galena_published_upstream *upstreams,
                    uint32_t index)
{
  const struct galena_published_upstream *published = &upstreams[index];
  struct galena_handle handle;
  struct upstream_row *upstream
      = entry_upstream_at (plane, published->address.ip, &handle);

  if (!may_be_upstream (plane->directory, upstream, published))
    {
      if (upstream != NULL)
        upstream->ignored++;
      return;
    }
  if (upstream == NULL)
    upstream = entry_upstream_add (plane, published->address.ip, &handle);
  if (upstream == NULL)
    return;
  if (upstream->directory_pass == plane->entry->directory_pass)
    {
      upstream->ignored++;
      note_start (plane->directory, upstream, published);
      consider_rival (plane->directory, upstream, upstreams, index);
      return;
    }
  upstream->directory_pass = plane->entry->directory_pass;
  upstream->published_index = index;
  upstream->rivals = 0;
  upstream->newest_start_unix_ms = 0;
  note_start (plane->directory, upstream, published);
}

static void
log_upstream (struct galena_plane *plane, const struct upstream_row *upstream,
              enum galena_plane_event event, uint32_t detail)
{
  plane_log_event (
      plane, (struct galena_plane_logged_event){
                 .event = event,
                 .agent = upstream->agent,
                 .version = upstream->started_unix_ms,
                 .age_ms = upstream->last_seen.ms == 0
                               ? -1
                               : galena_clock_elapsed_ms (upstream->last_seen,
                                                          plane->now),
                 .detail = detail });
}

static void
set_published_state (struct galena_plane *plane, struct upstream_row *upstream,
                     enum galena_published_state state)
{
  if (upstream->published_state == state)
    return;
  upstream->published_state = state;
  if (state == GALENA_PUBLISHED_ABSENT)
    upstream->absent_since = plane->now;
  log_upstream (plane, upstream, GALENA_EVENT_UPSTREAM, state);
}

/* Logs the number of registrations at UPSTREAM's instance that this pass has
   ignored, if it is another one than in the last pass.  */
static void
log_ignored (struct galena_plane *plane, struct upstream_row *upstream)
{
  if (upstream->ignored != upstream->ignored_before)
    log_upstream (plane, upstream, GALENA_EVENT_IGNORED, upstream->ignored);
  upstream->ignored_before = upstream->ignored;
  upstream->ignored = 0;
}

static void
set_start (struct galena_plane *plane, struct upstream_row *upstream,
           const struct galena_published_upstream *published)
{
  /* With rivals it is not certain whose start it is.  */
  upstream->started_unix_ms
      = upstream->rivals == 0 ? published->started_unix_ms : 0;
  if (upstream->newest_start_unix_ms != upstream->told_start_unix_ms)
    plane->entry->hellos_due = true;
  if (upstream->newest_start_unix_ms == upstream->known_start_unix_ms)
    return;
  upstream->known_start_unix_ms = upstream->newest_start_unix_ms;
  upstream->start_known_since = plane->now;
}

/* Applies PUBLISHED to UPSTREAM.  A newer incarnation keeps the row of the
   earlier one.  Flows may have been opened at the newer one before it was
   published.  It returns packets of flows of the earlier one to its agent.  */
static void
apply_published (struct galena_plane *plane, struct upstream_row *upstream,
                 const struct galena_published_upstream *published)
{
  entry_warm_up_apply (plane, upstream, published);
  upstream->directory_number = galena_directory_number (plane->directory);
  upstream->published_service = published->service;
  upstream->published_port = published->address.port;
  set_start (plane, upstream, published);
  upstream->zone = published->zone;
  upstream->slots = published->slots;
  set_published_state (plane, upstream, published->state);
}

/* Applies the registrations of the directory to the rows of upstreams.  A row
   without one becomes absent.  */
static void
apply_directory (struct galena_plane *plane)
{
  struct entry_tables *entry = plane->entry;
  const struct galena_published_upstream *upstreams;
  struct upstream_row *upstream;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint32_t count;

  entry->directory_pass++;
  upstreams = galena_directory_upstreams (plane->directory, &count);
  for (uint32_t i = 0; i < count; i++)
    consider_published (plane, upstreams, i);
  while ((upstream = galena_table_next (entry->upstreams, &cursor, &handle))
         != NULL)
    {
      if (upstream->directory_pass == entry->directory_pass)
        apply_published (plane, upstream,
                         &upstreams[upstream->published_index]);
      else
        set_published_state (plane, upstream, GALENA_PUBLISHED_ABSENT);
      log_ignored (plane, upstream);
    }
  entry_apply_zones (plane);
}

void
entry_run_directory (struct galena_plane *plane)
{
  const struct galena_directory *directory = plane->directory;
  struct entry_tables *entry = plane->entry;
  uint64_t version;

  if (directory == NULL
      || galena_directory_number (directory) == entry->directory_number)
    return;
  entry->directory_number = galena_directory_number (directory);
  apply_directory (plane);
  version = galena_directory_version (directory);
  if (version == entry->version)
    return;
  entry->version = version;
  plane_log_event (
      plane, (struct galena_plane_logged_event){ .event = GALENA_EVENT_CONFIG,
                                                 .version = version,
                                                 .age_ms = -1 });
}

void
entry_apply_listed (struct galena_plane *plane, struct upstream_row *upstream)
{
  if (upstream->listed || upstream->reported_service != 0)
    return;
  upstream->listed = true;
  /* A registration of the directory may be that of the upstream.  */
  plane->entry->directory_number = 0;
  plane->tick_again = true;
}

void
entry_apply_report (struct galena_plane *plane, struct upstream_row *upstream,
                    galena_service_key service, uint16_t port)
{
  if (upstream->reported_service == service && upstream->reported_port == port)
    return;
  upstream->reported_service = service;
  upstream->reported_port = port;
  if (upstream->published_state != GALENA_PUBLISHED_ABSENT
      && upstream->published_service == service
      && upstream->published_port == port)
    return;
  /* Another registration of the directory may be that of the upstream.  */
  plane->entry->directory_number = 0;
  plane->tick_again = true;
}
