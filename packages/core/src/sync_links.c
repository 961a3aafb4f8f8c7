/* Links to peers: whom to connect to, heartbeats, replacement.  */

#include "sync_private.h"

enum
{
  /* Links that an entry opens to entries.  */
  ENTRY_LINKS = 4,
  /* Links that an agent opens to entries, and to agents of its service.  */
  AGENT_ENTRY_LINKS = 2,
  AGENT_AGENT_LINKS = 1,
  /* Links that peers can't take: room for those opened here.  */
  OWN_LINKS_ROOM = 8,
  /* Least wait before a peer that failed is tried again, and the random
     part that is added.  */
  RETRY_MS = 2000,
  RETRY_JITTER_MS = 3000,
  /* A peer that failed this often in a row is forgotten.  */
  FAILURES_MAX = 4,
  /* A link to a peer of no use is kept this long to learn of others.  */
  SURPLUS_MS = 4000
};

static uint32_t
links_wanted (const struct galena_sync *sync, enum galena_role role)
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
    count += link->greeted;
  return count;
}

static bool
is_fit (enum galena_role role, enum galena_role wanted)
{
  return role == wanted || role == GALENA_ROLE_COUNT;
}

/* Counts the links opened here to peers that are, or may be, of ROLE.  */
static uint32_t
count_opened (const struct galena_sync *sync, enum galena_role role)
{
  const struct sync_link *link;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint32_t count = 0;

  while ((link = galena_table_next (sync->links, &cursor, &handle)) != NULL)
    count += link->outgoing && is_fit (link->peer.role, role);
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

/* Removes a random known peer that is no seed.  */
static void
forget_one (struct galena_sync *sync)
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
sync_know_peer (struct galena_sync *sync, struct galena_peer peer, bool seed)
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
        forget_one (sync);
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
note_failure (struct galena_sync *sync, struct galena_endpoint address)
{
  struct sync_peer *peer;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((peer = galena_table_next (sync->peers, &cursor, &handle)) != NULL)
    {
      if (!galena_endpoint_equal (peer->peer.address, address))
        continue;
      peer->failures++;
      peer->retry_at = galena_clock_after (
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
    note_failure (sync, link->peer.address);
  galena_table_remove (sync->links, handle);
  if (!close)
    return;
  action = sync_act (sync, GALENA_SYNC_DO_CLOSE);
  if (action != NULL)
    action->peer.row = handle;
}

/* A link to a peer of a role that is not wanted, once others are there.  */
static bool
is_surplus (const struct galena_sync *sync, const struct sync_link *link)
{
  if (!link->outgoing || !link->greeted
      || links_wanted (sync, link->peer.role) > 0)
    return false;
  return galena_clock_between (link->opened, sync->now) > SURPLUS_MS
         && count_opened (sync, GALENA_ROLE_ENTRY) > 0;
}

static bool
is_silent (const struct galena_sync *sync, const struct sync_link *link)
{
  int64_t silent_ms = galena_clock_between (link->heard, sync->now);

  if (!link->greeted)
    return silent_ms > SYNC_GREETING_MS;
  return silent_ms > (int64_t)SYNC_HEARTBEATS_MISSED * SYNC_HEARTBEAT_MS;
}

/* System: closes links that are silent or of no use.  */
void
sync_run_link_timeouts (struct galena_sync *sync)
{
  const struct sync_link *link;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((link = galena_table_next (sync->links, &cursor, &handle)) != NULL)
    if (is_silent (sync, link) || is_surplus (sync, link))
      sync_end_link (sync, handle, true);
}

/* Draws a known peer of ROLE without a link that may be tried; NULL when
   there is none.  */
static struct sync_peer *
draw_peer (struct galena_sync *sync, enum galena_role role)
{
  struct sync_peer *drawn = NULL;
  struct sync_peer *peer;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint32_t seen = 0;

  while ((peer = galena_table_next (sync->peers, &cursor, &handle)) != NULL)
    {
      if (!is_fit (peer->peer.role, role)
          || !galena_clock_reached (sync->now, peer->retry_at)
          || is_linked (sync, peer->peer.address))
        continue;
      seen++;
      if (galena_random_below (&sync->random, seen) == 0)
        drawn = peer;
    }
  return drawn;
}

static struct sync_link *
add_link (struct galena_sync *sync, struct galena_handle *handle)
{
  struct sync_link *link = galena_table_insert (sync->links, handle);

  if (link == NULL)
    return NULL;
  link->peer.role = GALENA_ROLE_COUNT;
  link->opened = sync->now;
  link->heard = sync->now;
  link->beat_due = galena_clock_after (
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
  action = sync_act (sync, GALENA_SYNC_DO_CONNECT);
  if (action != NULL)
    {
      action->peer.row = handle;
      action->address = peer->peer.address;
    }
  sync_ask_peer (sync, handle);
}

/* System: opens links until there are as many as wanted.  */
void
sync_run_connects (struct galena_sync *sync)
{
  static const enum galena_role ROLES[]
      = { GALENA_ROLE_ENTRY, GALENA_ROLE_AGENT };

  if (sync->options.self.address.ip == 0)
    return;
  for (size_t i = 0; i < sizeof ROLES / sizeof ROLES[0]; i++)
    while (count_opened (sync, ROLES[i]) < links_wanted (sync, ROLES[i]))
      {
        const struct sync_peer *peer = draw_peer (sync, ROLES[i]);

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
      if (!galena_clock_reached (sync->now, link->beat_due))
        continue;
      link->beat_due = galena_clock_after (sync->now, SYNC_HEARTBEAT_MS);
      sync_send_heartbeat (sync, handle);
    }
}

void
sync_ask_peers (struct galena_sync *sync)
{
  struct sync_link *link;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((link = galena_table_next (sync->links, &cursor, &handle)) != NULL)
    {
      link->heard = sync->now;
      sync_ask_peer (sync, handle);
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
  if (sync->now.ms == INT64_MIN)
    galena_sync_tick (sync, now);
  if (count_accepted (sync) >= GALENA_SYNC_LINKS_MAX - OWN_LINKS_ROOM
      || add_link (sync, &peer->row) == NULL)
    return GALENA_ERR_FULL;
  sync_ask_peer (sync, peer->row);
  return GALENA_OK;
}
