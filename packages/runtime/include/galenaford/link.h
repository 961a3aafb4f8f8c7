/* Moves messages between a world's mailboxes and UDP sockets.  */

#ifndef GALENAFORD_LINK_H
#define GALENAFORD_LINK_H

#include <galenaford/datagrams.h>
#include <galenaford/wire.h>
#include <galenaford/world.h>

/* Receives one batch from SOCKET into the inbox of WORLD as messages on LINK.
   Datagrams that don't decode are dropped and counted by reason.  */
void galena_link_receive (struct galena_datagrams *socket,
                          struct galena_world *world, enum galena_link link);

enum
{
  /* Most source ports of one link.  */
  GALENA_PORTS_MAX = 8
};

/* The sockets of one link; a message goes out of the one that its path number
   modulo the count names.  */
struct galena_link_ports
{
  struct galena_datagrams *sockets[GALENA_PORTS_MAX];
  /* 0 where the process has no such link.  */
  uint32_t count;
  /* Replies may come to the sockets up to this one: the last sent from.  */
  uint32_t highest_used;
};

/* Sends the outbox of WORLD over PORTS, GALENA_LINK_COUNT rows.  What the
   system does not take is counted.  */
void galena_link_send (struct galena_link_ports *ports,
                       struct galena_world *world);

#endif
