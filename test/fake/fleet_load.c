/* Generates loads: opens flows, submits jobs and checks the answers.  */

#include <stdio.h>

#include "fleet_private.h"

enum
{
  /* Size of the job's number at the start of a body.  */
  JOB_NUMBER_BYTES = 16,
  BODY_BYTES_MAX = 256 * 1024
};

/* Submits job NUMBER.  The body begins with the number, by which the upstream
   finds the job.  */
static enum galena_result
submit (struct fleet *fleet, uint32_t number)
{
  static _Thread_local uint8_t body[BODY_BYTES_MAX];
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
          .body_size = MAX (load->body_bytes, JOB_NUMBER_BYTES) };
  struct galena_request_handle handle;
  enum galena_result result;

  snprintf ((char *)body, JOB_NUMBER_BYTES, "%u", number);
  result = galena_caller_request (caller->world, &options, &handle);
  if (result == GALENA_OK)
    galena_caller_set_user (caller->world, handle, number);
  return result;
}

static enum galena_result
open_flow (struct fleet *fleet, const struct fleet_load *load,
           struct galena_flow_handle *flow)
{
  struct galena_caller_flow_options options
      = { .service = fleet->services[load->service].service.address,
          .kind = load->kind,
          .deadline_ms = load->deadline_ms,
          .hash_routed = load->unrouted };

  return galena_caller_open (fleet->nodes[load->caller].world, &options, flow);
}

/* Starts a job on FLOW, or on a new flow if FLOW has ended.  */
static void
start_job (struct fleet *fleet, uint32_t load_index,
           struct galena_flow_handle flow, uint32_t left_on_flow)
{
  struct fleet_load *load = &fleet->loads[load_index];
  struct fleet_job job = { .load = load_index,
                           .flow = flow,
                           .sent_at = fleet->now,
                           .last_data_at = fleet->now,
                           .submitted_at = fleet->now,
                           .left_on_flow = left_on_flow };
  uint32_t number = fleet->jobs->len;
  struct fleet_job *row;

  g_array_append_val (fleet->jobs, job);
  row = fleet_job_at (fleet, number);
  load->sent++;
  row->result = submit (fleet, number);
  if (row->result == GALENA_ERR_STALE)
    {
      row->result = open_flow (fleet, load, &row->flow);
      if (row->result == GALENA_OK)
        row->result = submit (fleet, number);
    }
  row->ended = row->result != GALENA_OK;
  if (load->endless && !row->ended)
    g_array_append_val (fleet->endless_jobs, number);
}

static void
start_flow (struct fleet *fleet, uint32_t load_index)
{
  struct fleet_load *load = &fleet->loads[load_index];
  struct galena_flow_handle flow;

  if (open_flow (fleet, load, &flow) == GALENA_OK)
    start_job (fleet, load_index, flow, load->flow_requests - 1);
}

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
      load->flows_due += load->rate / load->flow_requests / 1000;
      if (load->flows_due > 0 && fleet_random_bool (fleet, load->flows_due))
        {
          load->flows_due -= 1;
          start_flow (fleet, i);
        }
      for (; load->flows_due >= 1; load->flows_due -= 1)
        start_flow (fleet, i);
    }
}

void
fleet_run_waiting_jobs (struct fleet *fleet)
{
  for (guint i = 0; i < fleet->waiting_jobs->len;)
    {
      uint32_t number = g_array_index (fleet->waiting_jobs, uint32_t, i);
      struct fleet_job job = *fleet_job_at (fleet, number);

      if (!galena_clock_reached (fleet->now, job.sent_at))
        {
          i++;
          continue;
        }
      g_array_remove_index_fast (fleet->waiting_jobs, i);
      start_job (fleet, job.load, job.flow, job.left_on_flow - 1);
    }
}

uint8_t
fleet_answer_byte (uint32_t job, uint64_t at)
{
  return (uint8_t)(job * 31 + at * 7 + (at >> 8));
}

/* Updates the longest time to the first data and between data of endless
   answers.  */
static void
measure_gap (struct fleet *fleet, struct fleet_job *job)
{
  struct fleet_load *load = &fleet->loads[job->load];
  uint32_t gap_ms
      = (uint32_t)galena_clock_elapsed_ms (job->last_data_at, fleet->now);

  job->last_data_at = fleet->now;
  if (load->endless && job->answer_received == 0)
    load->first_ms = MAX (load->first_ms, gap_ms);
  else if (load->endless)
    load->gap_ms = MAX (load->gap_ms, gap_ms);
}

void
fleet_on_data (struct fleet *fleet, const struct galena_message *message)
{
  struct fleet_job *job = fleet_job_at (fleet, (uint32_t)message->user);

  if (message->part == 0 && !fleet->loads[job->load].endless)
    {
      job->answer_received = 0;
      job->wrong = false;
    }
  measure_gap (fleet, job);
  for (uint32_t i = 0; i < message->body_size; i++)
    if (message->body[i]
        != fleet_answer_byte ((uint32_t)message->user, job->answer_received++))
      job->wrong = true;
}

void
fleet_on_end (struct fleet *fleet, struct fleet_node *caller,
              const struct galena_message *message)
{
  struct fleet_job *job = fleet_job_at (fleet, (uint32_t)message->user);
  struct fleet_load *load = &fleet->loads[job->load];
  uint32_t took = (uint32_t)galena_clock_elapsed_ms (job->sent_at, fleet->now);

  job->ended = true;
  job->result = message->result;
  job->sent_at = galena_clock_add_ms (fleet->now, load->think_ms);
  if (message->result == GALENA_OK)
    {
      load->answered++;
      load->wrong += job->wrong || job->answer_received != load->answer_bytes;
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
      g_array_append_val (fleet->waiting_jobs, number);
    }
}

/* Ends an endless job; it counts as answered if any data arrived.  */
static void
end_endless_job (struct fleet *fleet, struct fleet_job *job)
{
  struct fleet_load *load = &fleet->loads[job->load];

  measure_gap (fleet, job);
  job->ended = true;
  load->answered += job->answer_received > 0;
  load->unknown += job->answer_received == 0;
  load->wrong += job->wrong;
  galena_caller_close (fleet->nodes[load->caller].world, job->flow);
}

void
fleet_run_endless_jobs (struct fleet *fleet)
{
  for (guint i = 0; i < fleet->endless_jobs->len;)
    {
      uint32_t number = g_array_index (fleet->endless_jobs, uint32_t, i);
      struct fleet_job *job = fleet_job_at (fleet, number);
      int64_t lasted_ms = galena_clock_elapsed_ms (job->sent_at, fleet->now);

      if (!job->ended && lasted_ms < fleet->loads[job->load].lasts_ms)
        {
          i++;
          continue;
        }
      if (!job->ended)
        end_endless_job (fleet, job);
      g_array_remove_index_fast (fleet->endless_jobs, i);
    }
}
