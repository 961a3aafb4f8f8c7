/* What peers say to each other.

   A heartbeat carries a digest of the records kept.  Whoever finds another
   digest than its own announces what it holds; whoever hears of a record
   newer than its own fetches it, and of an older one answers with its own.
   A record taken is announced at once on every link.  */

#include <xxhash.h>

#include "sync_private.h"

void
sync_send (struct galena_sync *sync, struct galena_handle handle,
           const struct galena_sync_message *message)
{
  struct galena_sync_action *action;

  if (galena_table_get (sync->links, handle) == NULL)
    return;
  action = sync_act (sync, GALENA_SYNC_DO_SEND);
  if (action == NULL)
    return;
  action->peer.row = handle;
  action->message = *message;
}

/* Returns the digest of what is in force for WANTED, 0 for all.  */
static uint64_t
kept_digest (const struct galena_sync *sync, uint32_t wanted)
{
  const struct galena_service_record *record;
  uint32_t cursor = 0;
  uint64_t digest = 0;

  while ((record = galena_records_next (sync->records, &cursor)) != NULL)
    {
      uint64_t row[] = { record->service.number, record->service.generation,
                         record->service.digest };

      if (wanted == 0 || wanted == record->service.number)
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
    .wanted = sync->options.service,
    .settled = sync->settled,
    .digest = kept_digest (sync, sync->options.service),
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
sync_ask_peer (struct galena_sync *sync, struct galena_handle handle)
{
  struct sync_link *link = galena_table_get (sync->links, handle);
  struct galena_sync_message message = make_heartbeat (sync);

  link->listed = false;
  link->ask = (uint32_t)galena_random_next (&sync->random);
  message.asks = true;
  message.number = link->ask;
  sync_send (sync, handle, &message);
}

/* Answers an ask, after what was missing was announced.  */
static void
answer_ask (struct galena_sync *sync, struct galena_handle handle,
            uint32_t ask, bool listed)
{
  struct galena_sync_message message = make_heartbeat (sync);

  message.listed = listed;
  message.number = ask;
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
      bool wanted = link->wanted == 0 || link->wanted == service->number;

      if (link->greeted && wanted
          && galena_handle_pack (handle) != galena_handle_pack (except))
        send_announce (sync, handle, service);
    }
}

/* Announces on a link all that is in force for WANTED, 0 for all.  */
static void
announce_kept (struct galena_sync *sync, struct galena_handle handle,
               uint32_t wanted)
{
  const struct galena_service_record *record;
  uint32_t cursor = 0;

  while ((record = galena_records_next (sync->records, &cursor)) != NULL)
    if (wanted == 0 || wanted == record->service.number)
      send_announce (sync, handle, &record->service);
}

/* Tells whether this process keeps all that a peer that wants WANTED may
   lack.  */
static bool
keeps_all_of (const struct galena_sync *sync, uint32_t wanted)
{
  return sync->options.service == 0 || sync->options.service == wanted;
}

/* Sends known entries, so that the peer finds more than its seeds.  */
static void
send_peers (struct galena_sync *sync, struct galena_handle handle)
{
  struct galena_sync_message message = { .type = GALENA_SYNC_PEERS };
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
take_heartbeat (struct galena_sync *sync, struct galena_handle handle,
                struct sync_link *link,
                const struct galena_sync_message *message)
{
  bool first = !link->greeted;
  bool keeps_all = keeps_all_of (sync, message->wanted);

  link->greeted = true;
  link->peer.role = message->sender.role;
  link->wanted = message->wanted;
  link->settled = message->settled;
  if (message->listed && message->number == link->ask)
    link->listed = true;
  sync_know_peer (sync, message->sender, false);
  if (first)
    send_peers (sync, handle);
  if (keeps_all && message->digest != kept_digest (sync, message->wanted))
    announce_kept (sync, handle, message->wanted);
  else if (!keeps_all && first && message->wanted == 0)
    announce_kept (sync, handle, 0);
  if (message->leaving_digest != sync_leaving_digest (sync))
    sync_send_leaving (sync, handle);
  if (message->asks)
    answer_ask (sync, handle, message->number, keeps_all);
}

static void
take_announce (struct galena_sync *sync, struct galena_handle handle,
               struct sync_link *link,
               const struct galena_sync_message *message)
{
  struct sync_service *row = sync_service_row (sync, message->number);
  const struct galena_service_record *held
      = galena_records_find (sync->records, message->number);

  (void)link;
  if (row == NULL)
    return;
  if (held != NULL
      && (message->generation < held->service.generation
          || (message->generation == held->service.generation
              && message->digest < held->service.digest)))
    {
      send_announce (sync, handle, &held->service);
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
take_fetch (struct galena_sync *sync, struct galena_handle handle,
            struct sync_link *link, const struct galena_sync_message *message)
{
  const struct galena_service_record *held
      = galena_records_find (sync->records, message->number);
  struct galena_sync_message reply = { .type = GALENA_SYNC_RECORD };

  (void)link;
  if (held == NULL)
    return;
  reply.number = held->service.number;
  reply.generation = held->service.generation;
  reply.digest = held->service.digest;
  sync_send (sync, handle, &reply);
}

static void
take_record (struct galena_sync *sync, struct galena_handle handle,
             struct sync_link *link, const struct galena_sync_message *message)
{
  struct sync_service *row = sync_service_row (sync, message->number);

  (void)link;
  if (row == NULL)
    return;
  if (message->record == NULL)
    sync_refuse_record (sync, row);
  else if (message->record->service.number == message->number)
    sync_take_record (sync, message->record, handle);
  sync_run_fetches (sync);
}

static void
take_instance (struct galena_sync *sync, struct galena_handle handle,
               struct sync_link *link,
               const struct galena_sync_message *message)
{
  (void)link;
  sync_take_instance (sync, message->number, message->generation,
                      message->leaving, handle);
}

static void
take_peers (struct galena_sync *sync, struct galena_handle handle,
            struct sync_link *link, const struct galena_sync_message *message)
{
  (void)handle, (void)link;
  for (uint32_t i = 0; i < message->peer_count; i++)
    sync_know_peer (sync, message->peers[i], false);
}

/* Handlers by type of message.  */
static void (*const HANDLERS[GALENA_SYNC_MESSAGE_END]) (
    struct galena_sync *, struct galena_handle, struct sync_link *,
    const struct galena_sync_message *)
    = {
        [GALENA_SYNC_HEARTBEAT] = take_heartbeat,
        [GALENA_SYNC_ANNOUNCE] = take_announce,
        [GALENA_SYNC_FETCH] = take_fetch,
        [GALENA_SYNC_RECORD] = take_record,
        [GALENA_SYNC_INSTANCE] = take_instance,
        [GALENA_SYNC_PEERS] = take_peers,
      };

void
sync_receive (struct galena_sync *sync, struct galena_handle handle,
              const struct galena_sync_message *message)
{
  struct sync_link *link = galena_table_get (sync->links, handle);

  if (link == NULL)
    return;
  link->heard = sync->now;
  HANDLERS[message->type](sync, handle, link, message);
}
