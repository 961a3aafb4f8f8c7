/* The simulated upstreams behind the agents.  */

#include "fleet_private.h"

void
fleet_start_run (struct fleet *fleet, uint32_t index,
                 const struct galena_message *message)
{
  struct fleet_node *node = &fleet->nodes[index];
  struct fleet_upstream *upstream = &node->upstream;
  uint32_t size = 0;
  const uint8_t *body
      = galena_world_run_body (node->world, message->run, &size);
  uint32_t number = (uint32_t)g_ascii_strtoull ((const char *)body, NULL, 10);
  struct fleet_job *job = fleet_job_at (fleet, number);
  const struct fleet_load *load = &fleet->loads[job->load];
  double ms = load->work_ms / upstream->speed;
  struct run run = { .node = index,
                     .start_count = node->start_count,
                     .handle = message->run,
                     .job = number,
                     .answer_left = load->answer_bytes,
                     .holds_slot = !load->endless,
                     .endless = load->endless };

  run.answer_at = message->resume;
  if (upstream->down
      || (upstream->sheds && run.holds_slot
          && upstream->running >= upstream->slots))
    {
      struct galena_message end = { .type = GALENA_MESSAGE_RUN_END,
                                    .side = GALENA_SIDE_APPLICATION,
                                    .run = message->run,
                                    .result = GALENA_REFUSED_BY_UPSTREAM };
      galena_mailbox_push (galena_world_inbox (node->world), &end);
      return;
    }
  if (!galena_clock_reached (fleet->now, upstream->warmup_until))
    ms *= upstream->warmup_factor;
  upstream->busy_ms += run.holds_slot ? (uint64_t)ms : 0;
  if (run.holds_slot && upstream->running >= upstream->slots)
    ms *= (double)(upstream->running + 1) / upstream->slots;
  run.end = galena_clock_add_ms (fleet->now, (int64_t)ms + 1);
  job->executed++;
  job->misrouted += load->service != node->service;
  upstream->executed++;
  upstream->running += run.holds_slot;
  g_array_append_val (fleet->runs, run);
}

void
fleet_cancel_run (struct fleet *fleet, uint32_t index,
                  const struct galena_message *message)
{
  for (guint i = 0; i < fleet->runs->len; i++)
    {
      struct run *run = &g_array_index (fleet->runs, struct run, i);

      if (run->node == index
          && galena_handle_pack (run->handle.row)
                 == galena_handle_pack (message->run.row))
        run->cancelled = true;
    }
}

/* Sends as much of the answer as the agent has room for.  Returns whether all
   of it was sent.  */
static bool
push_answer (struct fleet_node *node, struct run *run)
{
  uint8_t bytes[GALENA_PART_BYTES];
  struct galena_message data = { .type = GALENA_MESSAGE_RUN_DATA,
                                 .side = GALENA_SIDE_APPLICATION,
                                 .run = run->handle,
                                 .body = bytes };
  size_t room = galena_world_run_room (node->world, run->handle);

  while (run->answer_left > 0)
    {
      uint32_t size = MIN (run->answer_left, GALENA_PART_BYTES);

      if (room < size
          || galena_mailbox_room (galena_world_inbox (node->world)) < 2)
        return false;
      for (uint32_t i = 0; i < size; i++)
        bytes[i] = fleet_answer_byte (run->job, run->answer_at++);
      data.body_size = size;
      room -= size;
      run->answer_left -= size;
      galena_mailbox_push (galena_world_inbox (node->world), &data);
    }
  return true;
}

static void
end_run (struct fleet_node *node, const struct run *run)
{
  struct galena_message end = { .type = GALENA_MESSAGE_RUN_END,
                                .side = GALENA_SIDE_APPLICATION,
                                .run = run->handle };

  if (run->cancelled)
    end.result = GALENA_UNKNOWN_OUTCOME;
  node->upstream.running -= run->holds_slot;
  galena_mailbox_push (galena_world_inbox (node->world), &end);
}

enum
{
  /* Interval between the bytes of an endless answer.  */
  FEED_INTERVAL_MS = 200
};

void
fleet_run_upstreams (struct fleet *fleet)
{
  for (guint i = 0; i < fleet->runs->len;)
    {
      struct run *run = &g_array_index (fleet->runs, struct run, i);
      struct fleet_node *node = &fleet->nodes[run->node];
      bool gone = node->world == NULL || node->start_count != run->start_count;

      if (!gone
          && (node->upstream.silent || !fleet_node_is_up (fleet, node)
              || (!run->cancelled
                  && !galena_clock_reached (fleet->now, run->end))))
        {
          i++;
          continue;
        }
      if (!gone && run->endless && !run->cancelled)
        {
          run->answer_left = 1;
          push_answer (node, run);
          run->end = galena_clock_add_ms (fleet->now, FEED_INTERVAL_MS);
          i++;
          continue;
        }
      if (!gone && !run->cancelled && !push_answer (node, run))
        {
          i++;
          continue;
        }
      if (!gone)
        end_run (node, run);
      g_array_remove_index_fast (fleet->runs, i);
    }
}
