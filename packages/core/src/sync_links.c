/* Links to peers: selection of peers, heartbeats, timeouts.  */

#include "sync_private.h"

enum
{
  /* Number of links that an entry opens to entries.  */
  ENTRY_LINKS = 4,
  /* Number of links that an agent opens to entries, and to agents of its
     service.  */
  AGENT_ENTRY_LINKS = 2,
  AGENT_AGENT_LINKS = 1,
  /* Number of links reserved for those opened here; peers can't use them.  */
  RESERVED_LINKS = 8,
  /* Minimum wait before the next attempt to connect to a peer that failed, and
     the range of the random part that is added.  */
  RETRY_MS = 2000,
  RETRY_JITTER_MS = 3000,
  /* Number of failed or ended links after which a peer is removed.  */
  FAILURES_MAX = 4,
  /* Time for which a link to a peer of a role that is not needed is kept, to
     receive addresses of other peers.  */
  SURPLUS_LINK_MS = 4000
};

static uint32_t
target_link_count (const struct galena_sync *sync, enum galena_role role)
{
  if (sync->options.self.role == GALENA_ROLE_ENTRY)
    return role == GALENA_ROLE_ENTRY ? ENTRY_LINKS : 0;
  return role == GALENA_ROLE_ENTRY ? AGENT_ENTRY_LINKS : AGENT_AGENT_LINKS;
}

uint32_t
sync_count_links (const struct galena_sync *sync)
{
  const struct sync_link *link;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint32_t count = 0;

  while ((link = galena_table_next (sync->links, &cursor, &handle)) != NULL)
    count += link->heartbeat_received;
  return count;
}

static bool
may_have_role (enum galena_role role, enum galena_role expected)
{
  return role == expected || role == GALENA_ROLE_COUNT;
}

/* Counts the outgoing links to peers whose role is ROLE or unknown.  */
static uint32_t
count_outgoing (const struct galena_sync *sync, enum galena_role role)
{
  const struct sync_link *link;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint32_t count = 0;

  while ((link = galena_table_next (sync->links, &cursor, &handle)) != NULL)
    count += link->outgoing && may_have_role (link->peer.role, role);
  return count;
}

static struct sync_peer *
find_peer (const struct galena_sync *sync, struct galena_endpoint address)
{
  struct sync_peer *peer;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((peer = galena_table_next (sync->peers, &cursor, &handle)) != NULL)
    if (galena_endpoint_equal (peer->peer.address, address))
      return peer;
  return NULL;
}

static bool
is_linked (const struct galena_sync *sync, struct galena_endpoint address)
{
  const struct sync_link *link;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((link = galena_table_next (sync->links, &cursor, &handle)) != NULL)
    if (galena_endpoint_equal (link->peer.address, address))
      return true;
  return false;
}

/* Removes a random known peer that is not a seed.  */
static void
evict_random_peer (struct galena_sync *sync)
{
  uint32_t cursor = galena_random_below (&sync->random, SYNC_KNOWN_PEERS_MAX);
  struct sync_peer *peer;
  struct galena_handle handle;

  while ((peer = galena_table_next (sync->peers, &cursor, &handle)) != NULL)
    if (!peer->seed)
      {
        galena_table_remove (sync->peers, handle);
        return;
      }
}

void
sync_add_peer (struct galena_sync *sync, struct galena_peer peer, bool seed)
{
  struct galena_handle handle;
  struct sync_peer *row;

  if (peer.address.ip == 0
      || galena_endpoint_equal (peer.address, sync->options.self.address))
    return;
  row = find_peer (sync, peer.address);
  if (row == NULL)
    {
      if (galena_table_count (sync->peers) == SYNC_KNOWN_PEERS_MAX)
        evict_random_peer (sync);
      row = galena_table_insert (sync->peers, &handle);
      if (row == NULL)
        return;
      row->peer = peer;
      row->seed = seed;
    }
  if (peer.role != GALENA_ROLE_COUNT)
    row->peer.role = peer.role;
}

static void
record_failure (struct galena_sync *sync, struct galena_endpoint address)
{
  struct sync_peer *peer;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((peer = galena_table_next (sync->peers, &cursor, &handle)) != NULL)
    {
      if (!galena_endpoint_equal (peer->peer.address, address))
        continue;
      peer->failures++;
      peer->retry_at = galena_clock_add_ms (
          sync->now,
          RETRY_MS + galena_random_below (&sync->random, RETRY_JITTER_MS));
      if (peer->failures >= FAILURES_MAX && !peer->seed)
        galena_table_remove (sync->peers, handle);
      return;
    }
}

void
sync_end_link (struct galena_sync *sync, struct galena_handle handle,
               bool close)
{
  const struct sync_link *link = galena_table_get (sync->links, handle);
  struct galena_sync_action *action;

  if (link == NULL)
    return;
  if (link->outgoing)
    record_failure (sync, link->peer.address);
  galena_table_remove (sync->links, handle);
  if (!close)
    return;
  action = sync_append_action (sync, GALENA_SYNC_DO_CLOSE);
  if (action != NULL)
    action->peer.row = handle;
}

/* Returns whether LINK goes to a peer of a role that is not needed, and can be
   closed because there are links to entries.  */
static bool
is_surplus (const struct galena_sync *sync, const struct sync_link *link)
{
  if (!link->outgoing || !link->heartbeat_received
      || target_link_count (sync, link->peer.role) > 0)
    return false;
  return galena_clock_elapsed_ms (link->opened, sync->now) > SURPLUS_LINK_MS
         && count_outgoing (sync, GALENA_ROLE_ENTRY) > 0;
}

static bool
is_timed_out (const struct galena_sync *sync, const struct sync_link *link)
{
  int64_t idle_ms = galena_clock_elapsed_ms (link->last_seen, sync->now);

  if (!link->heartbeat_received)
    return idle_ms > SYNC_FIRST_HEARTBEAT_MS;
  return idle_ms > (int64_t)SYNC_HEARTBEATS_MISSED * SYNC_HEARTBEAT_MS;
}

/* System: closes links that timed out or are surplus.  */
void
sync_run_link_timeouts (struct galena_sync *sync)
{
  const struct sync_link *link;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((link = galena_table_next (sync->links, &cursor, &handle)) != NULL)
    if (is_timed_out (sync, link) || is_surplus (sync, link))
      sync_end_link (sync, handle, true);
}

/* Returns a random known peer that has no link, whose role is ROLE or unknown,
   and that may be connected to now; NULL when there is none.  */
static struct sync_peer *
pick_peer (struct galena_sync *sync, enum galena_role role)
{
  struct sync_peer *picked = NULL;
  struct sync_peer *peer;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint32_t seen = 0;

  while ((peer = galena_table_next (sync->peers, &cursor, &handle)) != NULL)
    {
      if (!may_have_role (peer->peer.role, role)
          || !galena_clock_reached (sync->now, peer->retry_at)
          || is_linked (sync, peer->peer.address))
        continue;
      seen++;
      if (galena_random_below (&sync->random, seen) == 0)
        picked = peer;
    }
  return picked;
}

static struct sync_link *
add_link (struct galena_sync *sync, struct galena_handle *handle)
{
  struct sync_link *link = galena_table_insert (sync->links, handle);

  if (link == NULL)
    return NULL;
  link->peer.role = GALENA_ROLE_COUNT;
  link->opened = sync->now;
  link->last_seen = sync->now;
  link->heartbeat_due = galena_clock_add_ms (
      sync->now, SYNC_HEARTBEAT_MS / 2
                     + galena_random_below (&sync->random, SYNC_HEARTBEAT_MS));
  return link;
}

static void
connect_to (struct galena_sync *sync, const struct sync_peer *peer)
{
  struct galena_sync_action *action;
  struct galena_handle handle;
  struct sync_link *link = add_link (sync, &handle);

  if (link == NULL)
    return;
  link->outgoing = true;
  link->peer = peer->peer;
  action = sync_append_action (sync, GALENA_SYNC_DO_CONNECT);
  if (action != NULL)
    {
      action->peer.row = handle;
      action->address = peer->peer.address;
    }
  sync_request_announcement (sync, handle);
}

/* System: opens links until the target number for each role is reached.  */
void
sync_run_connects (struct galena_sync *sync)
{
  static const enum galena_role ROLES[]
      = { GALENA_ROLE_ENTRY, GALENA_ROLE_AGENT };

  if (sync->options.self.address.ip == 0)
    return;
  for (size_t i = 0; i < sizeof ROLES / sizeof ROLES[0]; i++)
    while (count_outgoing (sync, ROLES[i])
           < target_link_count (sync, ROLES[i]))
      {
        const struct sync_peer *peer = pick_peer (sync, ROLES[i]);

        if (peer == NULL
            || galena_table_count (sync->links) == GALENA_SYNC_LINKS_MAX)
          break;
        connect_to (sync, peer);
      }
}

/* System: sends heartbeats.  */
void
sync_run_heartbeats (struct galena_sync *sync)
{
  struct sync_link *link;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((link = galena_table_next (sync->links, &cursor, &handle)) != NULL)
    {
      if (!galena_clock_reached (sync->now, link->heartbeat_due))
        continue;
      link->heartbeat_due = galena_clock_add_ms (sync->now, SYNC_HEARTBEAT_MS);
      sync_send_heartbeat (sync, handle);
    }
}

void
sync_request_announcements (struct galena_sync *sync)
{
  struct sync_link *link;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((link = galena_table_next (sync->links, &cursor, &handle)) != NULL)
    {
      /* Restarts the timeout of the link: a pause of this process must not
         count as silence of the peer.  */
      link->last_seen = sync->now;
      sync_request_announcement (sync, handle);
    }
}

static uint32_t
count_accepted (const struct galena_sync *sync)
{
  const struct sync_link *link;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint32_t count = 0;

  while ((link = galena_table_next (sync->links, &cursor, &handle)) != NULL)
    count += !link->outgoing;
  return count;
}

enum galena_result
galena_sync_accept (struct galena_sync *sync, struct galena_clock now,
                    struct galena_peer_handle *peer)
{
  /* INT64_MIN: no tick has run yet.  */
  if (sync->now.ms == INT64_MIN)
    galena_sync_tick (sync, now);
  if (count_accepted (sync) >= GALENA_SYNC_LINKS_MAX - RESERVED_LINKS
      || add_link (sync, &peer->row) == NULL)
    return GALENA_ERR_FULL;
  sync_request_announcement (sync, peer->row);
  return GALENA_OK;
}
