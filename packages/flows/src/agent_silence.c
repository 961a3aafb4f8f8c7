/* Whether the upstream of an agent still lives: it replies to what it is
   given, and entries report what is published of it.  */

#include "agent_tables.h"

enum
{
  /* Most milliseconds of silence that one run of the system counts: twice its
     period.  */
  SILENCE_STEP_MAX_MS = 50,
  /* A registration that has lapsed is back within this time if its upstream
     lives.  */
  LEFT_FOR_GOOD_MS = 2000
};

/* An upstream is silent when it has left at least PACKETS packets unanswered,
   the first of them for AFTER_MS milliseconds.  One that runs sends something
   within the time of a few requests when several flows wait for it; a single
   flow may be one that it holds and works for.  */
static const struct silence_rule
{
  uint32_t packets;
  int64_t after_ms;
  /* Least evidence of entries that it has ended.  */
  enum agent_evidence evidence;
} SILENCE_RULES[] = {
  { 8, 500, EVIDENCE_NONE },
  { 1, 250, EVIDENCE_LEFT },
  { 1, 1000, EVIDENCE_UNPUBLISHED },
  { 1, 3000, EVIDENCE_NONE },
};

static enum agent_evidence
evidence_of_end (const struct galena_plane *plane)
{
  const struct agent_tables *agent = plane->agent;

  return galena_clock_reached (plane->now, agent->evidence_until)
             ? EVIDENCE_NONE
             : agent->evidence;
}

bool
agent_upstream_is_silent (const struct galena_plane *plane)
{
  const struct agent_tables *agent = plane->agent;
  enum agent_evidence evidence = evidence_of_end (plane);

  for (size_t i = 0; i < sizeof SILENCE_RULES / sizeof SILENCE_RULES[0]; i++)
    if (evidence >= SILENCE_RULES[i].evidence
        && agent->unanswered_packets >= SILENCE_RULES[i].packets
        && agent->unanswered_ms >= SILENCE_RULES[i].after_ms)
      return true;
  return false;
}

bool
agent_upstream_has_ended (const struct galena_plane *plane)
{
  return plane->draining && evidence_of_end (plane) == EVIDENCE_LEFT
         && galena_clock_elapsed_ms (plane->agent->evidence_since, plane->now)
                >= LEFT_FOR_GOOD_MS;
}

void
agent_note_unanswered (struct galena_plane *plane,
                       const struct galena_packet *packet)
{
  struct agent_tables *agent = plane->agent;

  if (packet->data_size == 0 && !galena_packet_is_opening (packet))
    return;
  if (agent->unanswered_packets == 0)
    agent->unanswered_ms = 0;
  agent->unanswered_packets++;
}

void
agent_run_silence (struct galena_plane *plane)
{
  struct agent_tables *agent = plane->agent;
  int64_t ms
      = galena_clock_elapsed_ms (agent->silence_counted_until, plane->now);

  agent->silence_counted_until = plane->now;
  /* The replies to packets sent before a pause of this process may not have
     been read yet.  */
  if (agent->unanswered_packets > 0)
    agent->unanswered_ms
        += ms < SILENCE_STEP_MAX_MS ? ms : SILENCE_STEP_MAX_MS;
}
