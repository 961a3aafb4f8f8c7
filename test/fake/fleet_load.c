/* Loads, their jobs, and what comes back to callers.  */

#include <stdio.h>

#include "fleet_private.h"

enum
{
  JOB_WORD_BYTES = 16,
  BODY_MAX = 256 * 1024
};

/* The body of a job begins with its number.  */
static void
submit (struct fleet *fleet, uint32_t number)
{
  static uint8_t body[BODY_MAX];
  struct fleet_job *job = fleet_job_at (fleet, number);
  struct fleet_load *load = &fleet->loads[job->load];
  struct fleet_node *caller = &fleet->nodes[load->caller];
  struct galena_caller_request_options options
      = { .flow = job->flow,
          .kind = load->kind,
          .idempotent = load->idempotent,
          .endless = load->endless,
          .deadline_ms = load->deadline_ms,
          .body = body,
          .body_size = MAX (load->body_bytes, JOB_WORD_BYTES) };
  struct galena_request_handle handle;

  snprintf ((char *)body, JOB_WORD_BYTES, "%u", number);
  load->sent++;
  if (galena_caller_request (caller->world, &options, &handle) != GALENA_OK)
    {
      job->ended = true;
      job->result = GALENA_ERR_FULL;
      return;
    }
  galena_caller_set_user (caller->world, handle, number);
}

static void
start_job (struct fleet *fleet, uint32_t load_index,
           struct galena_flow_handle flow, uint32_t left_on_flow)
{
  struct fleet_job job = { .load = load_index,
                           .flow = flow,
                           .sent_at = fleet->now,
                           .left_on_flow = left_on_flow };

  g_array_append_val (fleet->jobs, job);
  submit (fleet, fleet->jobs->len - 1);
}

static void
open_flow (struct fleet *fleet, uint32_t load_index)
{
  struct fleet_load *load = &fleet->loads[load_index];
  struct galena_caller_flow_options options
      = { fleet->services[load->service].service.address, load->kind,
          load->deadline_ms };
  struct galena_flow_handle flow;

  if (galena_caller_open (fleet->nodes[load->caller].world, &options, &flow)
      == GALENA_OK)
    start_job (fleet, load_index, flow, load->flow_requests - 1);
}

/* System: loads open the flows that are due.  */
void
fleet_run_loads (struct fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->load_count; i++)
    {
      struct fleet_load *load = &fleet->loads[i];

      if (!galena_clock_reached (fleet->now, load->from)
          || galena_clock_reached (fleet->now, load->until)
          || !fleet_node_is_up (fleet, &fleet->nodes[load->caller]))
        continue;
      load->owed += load->rate / load->flow_requests / 1000;
      if (load->owed > 0 && fleet_happens (fleet, load->owed))
        {
          load->owed -= 1;
          open_flow (fleet, i);
        }
      for (; load->owed >= 1; load->owed -= 1)
        open_flow (fleet, i);
    }
}

/* System: flows that have thought send their next request.  */
void
fleet_run_thinking (struct fleet *fleet)
{
  for (guint i = 0; i < fleet->thinking->len;)
    {
      uint32_t number = g_array_index (fleet->thinking, uint32_t, i);
      struct fleet_job job = *fleet_job_at (fleet, number);

      if (!galena_clock_reached (fleet->now, job.sent_at))
        {
          i++;
          continue;
        }
      g_array_remove_index_fast (fleet->thinking, i);
      start_job (fleet, job.load, job.flow, job.left_on_flow - 1);
    }
}

uint8_t
fleet_answer_byte (uint32_t job, uint64_t at)
{
  return (uint8_t)(job * 31 + at * 7 + (at >> 8));
}

void
fleet_take_data (struct fleet *fleet, const struct galena_message *message)
{
  struct fleet_job *job = fleet_job_at (fleet, (uint32_t)message->user);

  for (uint32_t i = 0; i < message->body_size; i++)
    if (message->body[i]
        != fleet_answer_byte ((uint32_t)message->user, job->answer_seen++))
      job->wrong = true;
}

void
fleet_take_end (struct fleet *fleet, struct fleet_node *caller,
                const struct galena_message *message)
{
  struct fleet_job *job = fleet_job_at (fleet, (uint32_t)message->user);
  struct fleet_load *load = &fleet->loads[job->load];
  uint32_t took = (uint32_t)galena_clock_between (job->sent_at, fleet->now);

  job->ended = true;
  job->result = message->result;
  job->sent_at = galena_clock_after (fleet->now, load->think_ms);
  if (message->result == GALENA_OK)
    {
      load->answered++;
      load->wrong += job->wrong || job->answer_seen != load->answer_bytes;
      g_array_append_val (load->latencies, took);
    }
  else if (galena_result_is_refusal (message->result))
    load->refused++;
  else
    load->unknown++;
  if (job->left_on_flow == 0)
    galena_caller_close (caller->world, job->flow);
  else
    {
      uint32_t number = (uint32_t)message->user;
      g_array_append_val (fleet->thinking, number);
    }
}
