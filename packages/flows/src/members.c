/* Which entries there are: seeds to begin with, then whoever is heard of.  */

#include "plane_private.h"

enum
{
  /* An entry that nobody heard for so long is forgotten: ten hellos.  */
  MEMBER_EXPIRY_MS = 5000,
  /* One of the own zone is remembered longer, since routers count it until it
     is taken away or has started again.  */
  MATE_EXPIRY_MS = 20000,
  /* Entries of other zones that an entry says hello to in one round; in turn,
     those of its own zone in each round, up to the most.  */
  OTHERS_MAX = 4,
  MATES_MAX = 32,
  /* An entry is named to others while it was heard itself this lately.  */
  MEMBER_NAMED_MS = 2000
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
  member->known = plane->now;
  return member;
}

struct member *
members_hear (struct galena_plane *plane, struct galena_endpoint address)
{
  struct member *member = find_or_add (plane, address.ip);

  if (member != NULL)
    member->heard = plane->now;
  return member;
}

void
members_learn (struct galena_plane *plane, uint32_t ip)
{
  if (ip != 0 && ip != plane->options.self.ip)
    find_or_add (plane, ip);
}

uint32_t
galena_plane_peers (const struct galena_plane *plane, uint32_t *ips,
                    uint32_t max)
{
  const struct member *member;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint32_t count = 0;

  while (count < max
         && (member = galena_table_next (plane->members, &cursor, &handle))
                != NULL)
    if (member->heard.ms != 0
        && galena_clock_elapsed_ms (member->heard, plane->now)
               < MEMBER_NAMED_MS)
      ips[count++] = member->address.ip;
  return count;
}

/* Tells others of this process, if it is an entry.  */
static void
add_state (struct galena_plane *plane, struct galena_peer_message *message)
{
  if (plane->options.role != GALENA_ROLE_ENTRY)
    return;
  message->state = (struct galena_entry_state){
    .zone = plane->options.zone,
    .link_kbps = plane->options.link_kbps,
    .ready = !plane->draining && !galena_plane_is_aside (plane),
  };
}

static void
hear_state (struct galena_plane *plane, struct galena_endpoint peer,
            const struct galena_peer_message *message)
{
  struct member *member = members_hear (plane, peer);

  if (member != NULL)
    member->state = message->state;
}

/* Replies with entries that were heard lately.  */
void
members_take_hello (struct galena_plane *plane, struct galena_endpoint peer,
                    const struct galena_peer_message *message)
{
  struct galena_peer_message reply = { .type = GALENA_PEER_MEMBERS };

  add_state (plane, &reply);
  if (message->role == GALENA_ROLE_ENTRY)
    hear_state (plane, peer, message);
  if (plane->options.role != GALENA_ROLE_ENTRY)
    return;
  reply.members[0] = plane->options.self.ip;
  reply.member_count = 1
                       + galena_plane_peers (plane, reply.members + 1,
                                             GALENA_PEER_MEMBERS_MAX - 1);
  plane_send_message (plane, peer, &reply);
}

void
members_take_list (struct galena_plane *plane, struct galena_endpoint peer,
                   const struct galena_peer_message *message)
{
  hear_state (plane, peer, message);
  for (uint32_t i = 0; i < message->member_count; i++)
    members_learn (plane, message->members[i]);
}

static void
say_hello (struct galena_plane *plane, struct member *member)
{
  struct galena_peer_message hello = { .type = GALENA_PEER_HELLO };

  add_state (plane, &hello);
  plane_send_message (plane, member->address, &hello);
}

static bool
is_mate (const struct galena_plane *plane, const struct member *member)
{
  return member->state.zone != 0 && member->state.zone == plane->options.zone;
}

static void
say_hello_to_other (struct galena_plane *plane, struct member *member)
{
  if (!is_mate (plane, member))
    say_hello (plane, member);
}

static void
say_hello_to_mates (struct galena_plane *plane)
{
  struct member *member;
  struct galena_handle handle;
  uint32_t cursor = 0;
  uint32_t left = MATES_MAX;

  while (left > 0
         && (member = galena_table_next (plane->members, &cursor, &handle))
                != NULL)
    if (is_mate (plane, member))
      {
        say_hello (plane, member);
        left--;
      }
}

static void
say_hello_to_seeds (struct galena_plane *plane)
{
  struct galena_peer_message hello
      = { .type = GALENA_PEER_HELLO, .service = plane->options.service };

  add_state (plane, &hello);
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
    if (galena_clock_elapsed_ms (member->known, plane->now)
        > (is_mate (plane, member) ? MATE_EXPIRY_MS : MEMBER_EXPIRY_MS))
      galena_table_remove (plane->members, handle);
}

void
members_run (struct galena_plane *plane)
{
  say_hello_to_seeds (plane);
  if (plane->options.role == GALENA_ROLE_ENTRY)
    {
      say_hello_to_mates (plane);
      members_visit (plane, OTHERS_MAX, say_hello_to_other);
    }
  expire (plane);
}

void
members_visit (struct galena_plane *plane, uint32_t count,
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
          = galena_table_next (plane->members, &plane->member_cursor, &handle);

      if (member == NULL)
        {
          plane->member_cursor = 0;
          continue;
        }
      send (plane, member);
      left--;
    }
}
