/* Messages between peers.

   A heartbeat carries a digest of the sender's records.  A receiver whose own
   digest differs announces its records.  On an announcement of a record newer
   than its own, a process fetches that record; on one of an older record it
   replies with an announcement of its own.  A record that was applied is
   announced on every link at once.  */

#include <xxhash.h>

#include "sync_private.h"

void
sync_send (struct galena_sync *sync, struct galena_handle handle,
           const struct galena_sync_message *message)
{
  struct galena_sync_action *action;

  if (galena_table_get (sync->links, handle) == NULL)
    return;
  action = sync_append_action (sync, GALENA_SYNC_DO_SEND);
  if (action == NULL)
    return;
  action->peer.row = handle;
  action->message = *message;
}

/* Returns the digest of the current record of SERVICE, or of all records when
   SERVICE is 0.  */
static uint64_t
records_digest (const struct galena_sync *sync, uint32_t service)
{
  const struct galena_service_record *record;
  uint32_t cursor = 0;
  uint64_t digest = 0;

  while ((record = galena_records_next (sync->records, &cursor)) != NULL)
    {
      uint64_t row[] = { record->service.number, record->service.generation,
                         record->service.digest };

      if (service == 0 || service == record->service.number)
        digest ^= XXH3_64bits (row, sizeof row);
    }
  return digest;
}

static struct galena_sync_message
make_heartbeat (const struct galena_sync *sync)
{
  return (struct galena_sync_message){
    .type = GALENA_SYNC_HEARTBEAT,
    .sender = sync->options.self,
    .subscribed_service = sync->options.service,
    .synced = sync->synced,
    .digest = records_digest (sync, sync->options.service),
    .leaving_digest = sync_leaving_digest (sync),
  };
}

void
sync_send_heartbeat (struct galena_sync *sync, struct galena_handle handle)
{
  struct galena_sync_message message = make_heartbeat (sync);

  sync_send (sync, handle, &message);
}

void
sync_request_announcement (struct galena_sync *sync,
                           struct galena_handle handle)
{
  struct sync_link *link = galena_table_get (sync->links, handle);
  struct galena_sync_message message = make_heartbeat (sync);

  link->announced_all = false;
  link->request_number = (uint32_t)galena_random_next (&sync->random);
  message.reply_requested = true;
  message.number = link->request_number;
  sync_send (sync, handle, &message);
}

/* Replies to request NUMBER, after the missing records were announced.  */
static void
send_reply (struct galena_sync *sync, struct galena_handle handle,
            uint32_t number, bool announced_all)
{
  struct galena_sync_message message = make_heartbeat (sync);

  message.announced_all = announced_all;
  message.number = number;
  sync_send (sync, handle, &message);
}

static void
send_announce (struct galena_sync *sync, struct galena_handle handle,
               const struct galena_service *service)
{
  struct galena_sync_message message = { .type = GALENA_SYNC_ANNOUNCE,
                                         .number = service->number,
                                         .generation = service->generation,
                                         .digest = service->digest };

  sync_send (sync, handle, &message);
}

void
sync_announce (struct galena_sync *sync, const struct galena_service *service,
               struct galena_handle except)
{
  const struct sync_link *link;
  struct galena_handle handle;
  uint32_t cursor = 0;

  while ((link = galena_table_next (sync->links, &cursor, &handle)) != NULL)
    {
      bool subscribed = link->subscribed_service == 0
                        || link->subscribed_service == service->number;

      if (link->heartbeat_received && subscribed
          && galena_handle_pack (handle) != galena_handle_pack (except))
        send_announce (sync, handle, service);
    }
}

/* Announces on a link the current record of SERVICE, or all records when
   SERVICE is 0.  */
static void
announce_records (struct galena_sync *sync, struct galena_handle handle,
                  uint32_t service)
{
  const struct galena_service_record *record;
  uint32_t cursor = 0;

  while ((record = galena_records_next (sync->records, &cursor)) != NULL)
    if (service == 0 || service == record->service.number)
      send_announce (sync, handle, &record->service);
}

/* Returns whether this process keeps the record of SERVICE, or all records
   when SERVICE is 0; only then can it provide a peer that is subscribed to
   SERVICE with all that it needs.  */
static bool
keeps_subscription (const struct galena_sync *sync, uint32_t service)
{
  return sync->options.service == 0 || sync->options.service == service;
}

/* Sends addresses of known entries, so that the peer can connect to others
   than its seeds.  */
static void
send_peers (struct galena_sync *sync, struct galena_handle handle)
{
  struct galena_sync_message message = { .type = GALENA_SYNC_PEERS };
  /* Starts at a random row of the first half of the table.  */
  uint32_t cursor
      = galena_random_below (&sync->random, SYNC_KNOWN_PEERS_MAX / 2);
  const struct sync_peer *peer;
  struct galena_handle row;

  while (message.peer_count < GALENA_SYNC_PEERS_MAX
         && (peer = galena_table_next (sync->peers, &cursor, &row)) != NULL)
    if (peer->peer.role == GALENA_ROLE_ENTRY && peer->failures == 0)
      message.peers[message.peer_count++] = peer->peer;
  if (message.peer_count > 0)
    sync_send (sync, handle, &message);
}

static void
on_heartbeat (struct galena_sync *sync, struct galena_handle handle,
              struct sync_link *link,
              const struct galena_sync_message *message)
{
  bool first = !link->heartbeat_received;
  bool keeps_all = keeps_subscription (sync, message->subscribed_service);

  link->heartbeat_received = true;
  link->peer.role = message->sender.role;
  link->subscribed_service = message->subscribed_service;
  link->synced = message->synced;
  if (message->announced_all && message->number == link->request_number)
    link->announced_all = true;
  sync_add_peer (sync, message->sender, false);
  if (first)
    send_peers (sync, handle);
  if (keeps_all
      && message->digest != records_digest (sync, message->subscribed_service))
    announce_records (sync, handle, message->subscribed_service);
  else if (!keeps_all && first && message->subscribed_service == 0)
    /* The digests can't be compared, as this process keeps one record only and
       the peer keeps all: it is announced once per link.  */
    announce_records (sync, handle, 0);
  if (message->leaving_digest != sync_leaving_digest (sync))
    sync_send_leaving (sync, handle);
  if (message->reply_requested)
    send_reply (sync, handle, message->number, keeps_all);
}

static void
on_announce (struct galena_sync *sync, struct galena_handle handle,
             struct sync_link *link, const struct galena_sync_message *message)
{
  struct sync_service *row = sync_service_row (sync, message->number);
  const struct galena_service_record *current
      = galena_records_find (sync->records, message->number);

  (void)link;
  if (row == NULL)
    return;
  if (current != NULL
      && (message->generation < current->service.generation
          || (message->generation == current->service.generation
              && message->digest < current->service.digest)))
    {
      send_announce (sync, handle, &current->service);
      return;
    }
  if (message->generation < row->peer_generation
      || (message->generation == row->peer_generation
          && message->digest < row->peer_digest))
    return;
  if (message->generation > row->peer_generation && !row->in_progress)
    row->due = sync->now;
  row->peer_generation = message->generation;
  row->peer_digest = message->digest;
  row->holder = handle;
  sync_fetch (sync, row);
}

static void
on_fetch (struct galena_sync *sync, struct galena_handle handle,
          struct sync_link *link, const struct galena_sync_message *message)
{
  const struct galena_service_record *current
      = galena_records_find (sync->records, message->number);
  struct galena_sync_message reply = { .type = GALENA_SYNC_RECORD };

  (void)link;
  if (current == NULL)
    return;
  reply.number = current->service.number;
  reply.generation = current->service.generation;
  reply.digest = current->service.digest;
  sync_send (sync, handle, &reply);
}

static void
on_record (struct galena_sync *sync, struct galena_handle handle,
           struct sync_link *link, const struct galena_sync_message *message)
{
  struct sync_service *row = sync_service_row (sync, message->number);

  (void)link;
  if (row == NULL)
    return;
  if (message->record == NULL)
    sync_refuse_record (sync, row);
  else if (message->record->service.number == message->number)
    sync_handle_record (sync, message->record, handle);
  sync_run_fetches (sync);
}

static void
on_instance (struct galena_sync *sync, struct galena_handle handle,
             struct sync_link *link, const struct galena_sync_message *message)
{
  (void)link;
  sync_handle_instance (sync, message->number, message->generation,
                        message->leaving, handle);
}

static void
on_peers (struct galena_sync *sync, struct galena_handle handle,
          struct sync_link *link, const struct galena_sync_message *message)
{
  (void)handle, (void)link;
  for (uint32_t i = 0; i < message->peer_count; i++)
    sync_add_peer (sync, message->peers[i], false);
}

/* Handlers by message type.  */
static void (*const HANDLERS[GALENA_SYNC_MESSAGE_END]) (
    struct galena_sync *, struct galena_handle, struct sync_link *,
    const struct galena_sync_message *)
    = {
        [GALENA_SYNC_HEARTBEAT] = on_heartbeat,
        [GALENA_SYNC_ANNOUNCE] = on_announce,
        [GALENA_SYNC_FETCH] = on_fetch,
        [GALENA_SYNC_RECORD] = on_record,
        [GALENA_SYNC_INSTANCE] = on_instance,
        [GALENA_SYNC_PEERS] = on_peers,
      };

void
sync_receive (struct galena_sync *sync, struct galena_handle handle,
              const struct galena_sync_message *message)
{
  struct sync_link *link = galena_table_get (sync->links, handle);

  if (link == NULL)
    return;
  link->last_seen = sync->now;
  HANDLERS[message->type](sync, handle, link, message);
}
