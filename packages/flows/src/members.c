/* Membership of entries.  Processes first contact the seeds; messages and the
   lists in them then make the other entries known.  */

#include "plane_private.h"

enum
{
  /* An entry is removed when it has sent no message and no other entry has
     listed it for this long: ten periods of hello.  */
  MEMBER_EXPIRY_MS = 5000,
  /* An entry of the own zone is remembered longer: routers include it in the
     total of the zone until it is removed from the routers or has started
     again.  */
  ZONE_PEER_EXPIRY_MS = 20000,
  /* Maximum number of entries of other zones that get a hello per round, round
     robin.  */
  OTHER_ZONE_HELLOS_MAX = 4,
  /* Maximum number of entries of the own zone; each gets a hello in every
     round.  */
  ZONE_PEERS_MAX = 32,
  /* An entry counts as live, and is listed to others, if its last message is
     younger than this.  */
  MEMBER_LIVE_MS = 2000
};

static struct member *
find_member (const struct galena_plane *plane, uint32_t ip,
             struct galena_handle *handle)
{
  uint32_t cursor = 0;
  struct member *member;

  while ((member = galena_table_next (plane->members, &cursor, handle))
         != NULL)
    if (member->address.ip == ip)
      return member;
  return NULL;
}

static struct member *
find_or_add (struct galena_plane *plane, uint32_t ip)
{
  struct galena_handle handle;
  struct member *member = find_member (plane, ip, &handle);

  if (member == NULL)
    {
      member = galena_table_insert (plane->members, &handle);
      if (member == NULL)
        return NULL;
      member->address
          = (struct galena_endpoint){ ip, plane->options.self.port };
    }
  member->last_mentioned = plane->now;
  return member;
}

struct member *
members_note_seen (struct galena_plane *plane, struct galena_endpoint address)
{
  struct member *member = find_or_add (plane, address.ip);

  if (member != NULL)
    member->last_seen = plane->now;
  return member;
}

void
members_add (struct galena_plane *plane, uint32_t ip)
{
  if (ip != 0 && ip != plane->options.self.ip)
    find_or_add (plane, ip);
}

static bool
is_live (const struct galena_plane *plane, const struct member *member)
{
  return member->last_seen.ms != 0
         && galena_clock_elapsed_ms (member->last_seen, plane->now)
                < MEMBER_LIVE_MS;
}

uint32_t
galena_plane_live_entries (const struct galena_plane *plane, uint32_t *ips,
                           uint32_t max)
{
  const struct member *member;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint32_t count = 0;

  while (count < max
         && (member = galena_table_next (plane->members, &cursor, &handle))
                != NULL)
    if (is_live (plane, member))
      ips[count++] = member->address.ip;
  return count;
}

uint32_t
members_live_count (const struct galena_plane *plane)
{
  const struct member *member;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint32_t count = 0;

  while ((member = galena_table_next (plane->members, &cursor, &handle))
         != NULL)
    count += is_live (plane, member);
  return count;
}

/* Adds the state of this process to MESSAGE, if it is an entry.  */
static void
add_state (struct galena_plane *plane, struct galena_peer_message *message)
{
  if (plane->options.role != GALENA_ROLE_ENTRY)
    return;
  message->state = (struct galena_entry_state){
    .zone = plane->options.zone,
    .link_kbps = plane->options.link_kbps,
    .in_rotation
    = !plane->draining && !galena_plane_is_out_of_rotation (plane),
  };
}

static void
update_state (struct galena_plane *plane, struct galena_endpoint peer,
              const struct galena_peer_message *message)
{
  struct member *member = members_note_seen (plane, peer);

  if (member != NULL)
    member->state = message->state;
}

/* Stores in IPS as many live entries as fit in one message beside the sender,
   beginning where the last list ended.  Returns how many.  */
static uint32_t
list_members (struct galena_plane *plane, uint32_t *ips)
{
  uint32_t left = galena_table_count (plane->members);
  uint32_t count = 0;

  while (left > 0 && count < GALENA_PEER_MEMBERS_MAX - 1)
    {
      struct galena_handle handle;
      const struct member *member
          = galena_table_next (plane->members, &plane->list_cursor, &handle);

      if (member == NULL)
        {
          plane->list_cursor = 0;
          continue;
        }
      left--;
      if (is_live (plane, member))
        ips[count++] = member->address.ip;
    }
  return count;
}

/* An entry replies with the list of entries seen lately.  */
void
members_on_hello (struct galena_plane *plane, struct galena_endpoint peer,
                  const struct galena_peer_message *message)
{
  struct galena_peer_message reply = { .type = GALENA_PEER_MEMBERS };

  add_state (plane, &reply);
  if (message->role == GALENA_ROLE_ENTRY)
    update_state (plane, peer, message);
  if (plane->options.role != GALENA_ROLE_ENTRY)
    return;
  reply.members[0] = plane->options.self.ip;
  reply.member_count = 1 + list_members (plane, reply.members + 1);
  plane_send_message (plane, peer, &reply);
}

void
members_on_list (struct galena_plane *plane, struct galena_endpoint peer,
                 const struct galena_peer_message *message)
{
  update_state (plane, peer, message);
  for (uint32_t i = 0; i < message->member_count; i++)
    members_add (plane, message->members[i]);
}

/* Returns a hello of this process.  */
static struct galena_peer_message
make_hello (struct galena_plane *plane)
{
  struct galena_peer_message hello
      = { .type = GALENA_PEER_HELLO, .service = plane->options.service };

  add_state (plane, &hello);
  hello.sequence = plane->asks_for_agents;
  return hello;
}

static void
send_hello (struct galena_plane *plane, struct member *member)
{
  struct galena_peer_message hello = make_hello (plane);

  member->greeted = true;
  plane_send_message (plane, member->address, &hello);
}

static bool
is_zone_peer (const struct galena_plane *plane, const struct member *member)
{
  return member->state.zone != 0 && member->state.zone == plane->options.zone;
}

static void
send_hello_to_other_zone (struct galena_plane *plane, struct member *member)
{
  if (!is_zone_peer (plane, member))
    send_hello (plane, member);
}

static void
send_hello_to_zone_peers (struct galena_plane *plane)
{
  struct member *member;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint32_t left = ZONE_PEERS_MAX;

  while (left > 0
         && (member = galena_table_next (plane->members, &cursor, &handle))
                != NULL)
    if (is_zone_peer (plane, member))
      {
        send_hello (plane, member);
        left--;
      }
}

static void
send_hello_to_seeds (struct galena_plane *plane)
{
  struct galena_peer_message hello = make_hello (plane);

  for (uint32_t i = 0; i < plane->options.seed_count; i++)
    if (plane->options.seeds[i].ip != plane->options.self.ip)
      plane_send_message (plane, plane->options.seeds[i], &hello);
}

static void
expire (struct galena_plane *plane)
{
  const struct member *member;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((member = galena_table_next (plane->members, &cursor, &handle))
         != NULL)
    if (galena_clock_elapsed_ms (member->last_mentioned, plane->now)
        > (is_zone_peer (plane, member) ? ZONE_PEER_EXPIRY_MS
                                        : MEMBER_EXPIRY_MS))
      galena_table_remove (plane->members, handle);
}

void
members_greet (struct galena_plane *plane)
{
  struct member *member;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((member = galena_table_next (plane->members, &cursor, &handle))
         != NULL)
    if (!member->greeted && member->last_seen.ms == 0)
      send_hello (plane, member);
}

void
members_run (struct galena_plane *plane)
{
  send_hello_to_seeds (plane);
  if (plane->options.role == GALENA_ROLE_ENTRY)
    {
      send_hello_to_zone_peers (plane);
      members_visit (plane, &plane->member_cursor, OTHER_ZONE_HELLOS_MAX,
                     send_hello_to_other_zone);
    }
  expire (plane);
}

int64_t
members_report_interval_ms (const struct galena_plane *plane)
{
  /* This entry as well.  */
  uint32_t entries = galena_table_count (plane->members) + 1;

  return (int64_t)PLANE_REPORT_PERIOD_MS
         * ((entries + PLANE_REPORTS_MAX - 1) / PLANE_REPORTS_MAX);
}

void
members_visit (struct galena_plane *plane, uint32_t *cursor, uint32_t count,
               void (*send) (struct galena_plane *plane,
                             struct member *member))
{
  uint32_t left = galena_table_count (plane->members);

  if (left > count)
    left = count;
  while (left > 0)
    {
      struct galena_handle handle;
      struct member *member
          = galena_table_next (plane->members, cursor, &handle);

      if (member == NULL)
        {
          *cursor = 0;
          continue;
        }
      send (plane, member);
      left--;
    }
}
