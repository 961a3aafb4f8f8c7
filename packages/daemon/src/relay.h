/* Framed TCP connections to peers, as the sync asks for them.  */

#ifndef GALENAFORD_DAEMON_RELAY_H
#define GALENAFORD_DAEMON_RELAY_H

#include <poll.h>

#include <galenaford/clock.h>
#include <galenaford/sync.h>

#include "texts.h"

struct sync_transport_options
{
  /* Where peers connect to; no address, no relay.  */
  struct galena_endpoint address;
  /* Borrowed.  */
  struct galena_sync *sync;
  struct record_cache *record_cache;
  /* Called for each record of a peer, with its text; hands it to the sync. */
  void (*on_record) (void *data, const struct galena_sync_event *event,
                     const char *text, size_t size);
  void *data;
};

struct sync_transport;

/* Creates the relay in *OUT; the caller owns it.
   Errors: GALENA_ERR_MEMORY, GALENA_ERR_IO when the address can't be bound. */
enum galena_result
sync_transport_create (const struct sync_transport_options *options,
                       struct sync_transport **out);

/* Closes all connections; accepts NULL.  */
void sync_transport_destroy (struct sync_transport *transport);

/* Carries out ACTION, which concerns a peer.  */
void sync_transport_perform (struct sync_transport *transport,
                             const struct galena_sync_action *action);

/* Fills in what to wait for; returns how many of MAX events.  */
uint32_t sync_transport_fds (const struct sync_transport *transport,
                             struct pollfd *fds, uint32_t max);

/* Takes new connections, moves bytes, and hands messages to the sync.  */
void sync_transport_run (struct sync_transport *transport,
                         struct galena_clock now);

#endif
