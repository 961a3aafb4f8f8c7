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

/* Sends the outbox of WORLD; SOCKETS has one socket for each link, or NULL
   where the link has none.  What the system does not take is counted.  */
void galena_link_send (struct galena_datagrams *const sockets[],
                       struct galena_world *world);

#endif
