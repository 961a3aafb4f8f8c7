/* Transport of the sync protocol: framed TCP connections to peers, opened and
   closed as the sync's actions say.  */

#ifndef GALENAFORD_SYNC_TRANSPORT_H
#define GALENAFORD_SYNC_TRANSPORT_H

#include <poll.h>

#include <galenaford/clock.h>
#include <galenaford/sync.h>

#include "record_cache.h"

struct sync_transport_options
{
  /* Where to accept connections of peers; none when its ip is 0.  */
  struct galena_endpoint address;
  /* Borrowed.  */
  struct galena_sync *sync;
  struct record_cache *record_cache;
  /* Called with DATA for each record that a peer sent, with its text; passes
     the event on to the sync.  */
  void (*on_record) (void *data, const struct galena_sync_event *event,
                     const char *text, size_t size);
  void *data;
};

struct sync_transport;

/* Creates a transport in *OUT; the caller owns it.
   Errors: GALENA_ERR_MEMORY, GALENA_ERR_IO when the address can't be bound. */
enum galena_result
sync_transport_create (const struct sync_transport_options *options,
                       struct sync_transport **out);

/* Closes all connections and destroys TRANSPORT; accepts NULL.  */
void sync_transport_destroy (struct sync_transport *transport);

/* Performs ACTION if it concerns a peer: connect, close or send.  */
void sync_transport_perform (struct sync_transport *transport,
                             const struct galena_sync_action *action);

/* Fills in at most MAX elements of FDS for poll; returns how many.  */
uint32_t sync_transport_fds (const struct sync_transport *transport,
                             struct pollfd *fds, uint32_t max);

/* Accepts new connections, receives and sends without waiting, and passes
   received messages and failures of connections on to the sync.  */
void sync_transport_run (struct sync_transport *transport,
                         struct galena_clock now);

#endif
