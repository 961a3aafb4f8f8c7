/* Framed TCP connections to peers, as the sync asks for them.  */

#ifndef GALENAFORD_DAEMON_RELAY_H
#define GALENAFORD_DAEMON_RELAY_H

#include <poll.h>

#include <galenaford/clock.h>
#include <galenaford/sync.h>

#include "texts.h"

struct relay_options
{
  /* Where peers connect to; no address, no relay.  */
  struct galena_endpoint address;
  /* Borrowed.  */
  struct galena_sync *sync;
  struct texts *texts;
  /* Called for each record of a peer, with its text; hands it to the sync. */
  void (*take_record) (void *data, const struct galena_sync_event *event,
                       const char *text, size_t size);
  void *data;
};

struct relay;

/* Creates the relay in *OUT; the caller owns it.
   Errors: GALENA_ERR_MEMORY, GALENA_ERR_IO when the address can't be bound. */
enum galena_result relay_create (const struct relay_options *options,
                                 struct relay **out);

/* Closes all connections; accepts NULL.  */
void relay_destroy (struct relay *relay);

/* Carries out ACTION, which concerns a peer.  */
void relay_act (struct relay *relay, const struct galena_sync_action *action);

/* Fills in what to wait for; returns how many of MAX events.  */
uint32_t relay_fds (const struct relay *relay, struct pollfd *fds,
                    uint32_t max);

/* Takes new connections, moves bytes, and hands messages to the sync.  */
void relay_run (struct relay *relay, struct galena_clock now);

#endif
