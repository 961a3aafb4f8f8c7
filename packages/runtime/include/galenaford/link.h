/* Message I/O: from UDP sockets to a world's inbox, and from its outbox to UDP
   sockets.  */

#ifndef GALENAFORD_LINK_H
#define GALENAFORD_LINK_H

#include <galenaford/datagrams.h>
#include <galenaford/wire.h>
#include <galenaford/world.h>

/* Receives one batch of datagrams from SOCKET and adds the messages to the
   inbox of WORLD as received on LINK.  Datagrams that don't decode are dropped
   and counted by reason.  */
void galena_link_receive (struct galena_datagrams *socket,
                          struct galena_world *world, enum galena_side link);

enum
{
  /* Most source ports of one link.  */
  GALENA_PORTS_MAX = 8
};

/* The sockets of one link, each with its own source port.  The source port
   index of a message, modulo COUNT, selects the socket that sends it: another
   source port can take another path through the network.  */
struct galena_link_ports
{
  struct galena_datagrams *sockets[GALENA_PORTS_MAX];
  /* 0 if the process has no such link.  */
  uint32_t count;
  /* Highest index of a socket that was sent from: replies can arrive at the
     sockets from 0 to this one.  */
  uint32_t highest_used;
};

/* Sends the outbox of WORLD over PORTS, which has one row for each link, in
   the order of enum galena_side.  Counts the messages that could not be
   sent.  */
void galena_link_send (struct galena_link_ports *ports,
                       struct galena_world *world);

#endif
