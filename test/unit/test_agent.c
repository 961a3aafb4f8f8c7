/* The data plane of an agent alone, with one entry and one upstream simulated
   by the test.  */

#include <glib.h>

#include <galenaford/plane.h>
#include <galenaford/probe_spread.h>
#include <galenaford/query_batch.h>

enum
{
  STEPS_MAX = 16,
  PACKET_BYTES = 32,
  /* Sequence number of the packets of OPEN_AGAIN and FORWARD_OPEN_AGAIN.  */
  AGAIN_SEQUENCE = 0x40000000,
  DATA_BYTES = 100,
  ENTRY_IP = 0x0A010001,
  AGENT_IP = 0x0A020001,
  CALLER_IP = 0x64400001,
  SERVICE_IP = 0xC6120001,
  PORT = 443,
  UPSTREAM_PORT = 8080,
  PEER_PORT = 7000,
  /* Interval of the ticks of RUN.  */
  RUN_STEP_MS = 5,
  HOUR_MS = 3600000,
  LITTLE_MS = 50
};

enum step_kind
{
  END,
  /* The entry forwards the opening packet of the flow, a packet of the open
     flow, or one of a flow whose owner it searches for; VALUE is the
     acknowledged sequence number.  */
  OPEN,
  FORWARD,
  PROBE,
  /* The entry forwards a packet that ends the flow, or an opening packet.  */
  END_FLOW,
  FORWARD_OPEN,
  /* The same as OPEN and FORWARD_OPEN with another sequence number: a new flow
     from the same port.  */
  OPEN_AGAIN,
  FORWARD_OPEN_AGAIN,
  /* The entry forwards a request on the open flow; VALUE is the acknowledged
     sequence number.  */
  REQUEST,
  /* VALUE opens of further flows, which no other upstream would answer.  */
  OPEN_OTHERS,
  /* The open of a further flow that another upstream is expected to answer in
     VALUE microseconds; the same after two upstreams have handed it back.  */
  OPEN_OFFERED,
  OPEN_LAST,
  /* VALUE probes with data, of the same flow.  */
  PROBES,
  /* The caller sends the next data of the open flow, the last data again, or a
     reset.  */
  DATA,
  AGAIN,
  CALLER_RESETS,
  /* The process runs until then.  */
  RUN,
  /* The entry asks whether the upstream has the flow.  */
  QUERY,
  /* The same in a batch with a flow that is not open, after that one.  */
  QUERY_MANY,
  /* Another agent hands on a probe of the entry, or the entry wants a packet
     handed to VALUE agents.  */
  PROBE_BY_AGENT,
  SPREAD,
  /* The upstream accepts the flow with first sequence number VALUE, sends data
     or a reset on it, or returns the last packet that it was sent.  */
  ACCEPT,
  ANSWER,
  ANSWER_REQUEST,
  RESET,
  RETURN,
  /* It sends the first data of an answer.  */
  ANSWER_DATA,
  /* The entry's hello says that the incarnation of the upstream that started
     at VALUE is ready or draining.  */
  HELLO_READY,
  HELLO_DRAINING,
  /* The same as HELLO_READY of an entry that has known this for an hour, or
     for 50 ms.  */
  HELLO_KNOWN_LONG,
  HELLO_KNOWN_LITTLE,
  /* It says that VALUE is the latest start of two registrations that may both
     be the upstream's.  */
  HELLO_DOUBTFUL,
  /* It says that the upstream is not published.  */
  HELLO_ABSENT,
  /* The same of a registration that is not the upstream's: it has another
     service, or another port.  */
  HELLO_OTHER_SERVICE,
  HELLO_OTHER_PORT,
  /* The process begins to stop.  */
  STOP,
  /* Whether the last load report says that the upstream has ended.  */
  EXPECT_ENDED,
  /* Requests that ended in the last second, and those that failed, by the last
     load report.  */
  EXPECT_FINISHED,
  EXPECT_FAILED,
  /* Expected since the last step of the same kind: VALUE packets to the
     upstream or to the caller, and one reply of the type VALUE or none to the
     entry.  */
  EXPECT_TO_UPSTREAM,
  EXPECT_TO_CALLER,
  EXPECT_REPLY,
  EXPECT_NO_REPLY,
  /* Expected bytes of the packet in the last reply.  */
  EXPECT_BYTES,
  /* Expected answers in the last reply, the first one in the lowest bits.  */
  EXPECT_ANSWERS,
  /* Expected number of messages, and the IP address that the last went to.  */
  EXPECT_MESSAGES,
  EXPECT_PEER,
  /* Expected reason of the last reply, a refusal.  */
  EXPECT_REASON,
  /* Expected share of busy slots in the last load report.  */
  EXPECT_UTILISATION,
  /* Whether the last load report says that the upstream takes no flows.  */
  EXPECT_REFUSES
};

struct step
{
  int64_t at_ms;
  enum step_kind kind;
  uint32_t value;
};

struct agent_case
{
  const char *name;
  /* Whether the agent starts for the first time, so that the upstream has no
     flows from before this start.  */
  bool first_start;
  bool load_control;
  struct step steps[STEPS_MAX];
};

/* A request takes 20 ms, with three slots.  */
#define KNOWN_SERVICE_TIME                                                    \
  { 5, HELLO_READY, 1000 }, { 10, OPEN, 0 }, { 11, ACCEPT, 1000 },            \
      { 11, EXPECT_REPLY, GALENA_PEER_OPENED }, { 20, REQUEST, 1001 },        \
  {                                                                           \
    40, ANSWER_REQUEST, 0                                                     \
  }

static const struct agent_case CASES[] = {
  { "/agent/open",
    true,
    false,
    { { 10, OPEN, 0 },
      { 10, EXPECT_TO_UPSTREAM, 1 },
      { 11, ACCEPT, 1000 },
      { 11, EXPECT_REPLY, GALENA_PEER_OPENED },
      { 20, FORWARD, 1001 },
      { 20, EXPECT_TO_UPSTREAM, 1 },
      { 30, ANSWER, 0 },
      { 30, EXPECT_TO_CALLER, 2 } } },
  /* Two upstreams accepted the flow; the caller uses the other one.  */
  { "/agent/opened-elsewhere",
    true,
    false,
    { { 10, OPEN, 0 },
      { 11, ACCEPT, 1000 },
      { 11, EXPECT_TO_UPSTREAM, 1 },
      { 11, EXPECT_REPLY, GALENA_PEER_OPENED },
      { 11, EXPECT_TO_CALLER, 1 },
      { 20, FORWARD, 9000000 },
      { 20, EXPECT_TO_UPSTREAM, 0 },
      { 20, EXPECT_REPLY, GALENA_PEER_DISOWNED },
      { 20, EXPECT_BYTES, PACKET_BYTES },
      { 30, PROBE, 9000000 },
      { 30, EXPECT_TO_UPSTREAM, 0 },
      { 30, EXPECT_REPLY, GALENA_PEER_DISOWNED },
      { 30, EXPECT_BYTES, 0 },
      { 40, RESET, 0 },
      { 40, EXPECT_TO_CALLER, 0 } } },
  /* The caller uses the flow before this upstream accepted it, so it was
     opened elsewhere.  */
  { "/agent/not-yet-accepted",
    true,
    false,
    { { 10, OPEN, 0 },
      { 10, EXPECT_TO_UPSTREAM, 1 },
      { 11, FORWARD, 1001 },
      { 11, EXPECT_TO_UPSTREAM, 0 },
      { 11, EXPECT_REPLY, GALENA_PEER_DISOWNED },
      { 12, QUERY, 1001 },
      { 12, EXPECT_REPLY, GALENA_PEER_DISOWNED } } },
  /* A packet of the flow arrives before its open.  */
  { "/agent/open-after-probe",
    false,
    false,
    { { 10, PROBE, 9000000 },
      { 11, OPEN, 0 },
      { 12, ACCEPT, 1000 },
      { 12, EXPECT_TO_UPSTREAM, 2 },
      { 12, EXPECT_REPLY, GALENA_PEER_OPENED },
      { 13, FORWARD, 9000000 },
      { 13, EXPECT_TO_UPSTREAM, 0 },
      { 14, RESET, 0 },
      { 14, EXPECT_TO_CALLER, 1 } } },
  /* The caller's first packet after the accept is seconds late.  */
  { "/agent/late-first-packet",
    true,
    false,
    { { 10, OPEN, 0 },
      { 11, ACCEPT, 1000 },
      { 11, EXPECT_REPLY, GALENA_PEER_OPENED },
      { 3000, OPEN, 0 },
      { 6000, QUERY, 1001 },
      { 6000, EXPECT_REPLY, GALENA_PEER_OWNED } } },
  { "/agent/reset-of-open-flow",
    true,
    false,
    { { 10, OPEN, 0 },
      { 11, ACCEPT, 1000 },
      { 20, FORWARD, 1001 },
      { 30, RESET, 0 },
      { 30, EXPECT_TO_CALLER, 2 } } },
  { "/agent/asked-at-first-start",
    true,
    false,
    { { 10, QUERY, 5 },
      { 10, EXPECT_TO_UPSTREAM, 0 },
      { 10, EXPECT_REPLY, GALENA_PEER_DISOWNED },
      { 20, OPEN, 0 },
      { 21, ACCEPT, 1000 },
      { 21, EXPECT_REPLY, GALENA_PEER_OPENED },
      { 22, QUERY, 9000000 },
      { 22, EXPECT_REPLY, GALENA_PEER_DISOWNED },
      { 23, QUERY, 1001 },
      { 23, EXPECT_REPLY, GALENA_PEER_OWNED } } },
  { "/agent/asked-after-restart",
    false,
    false,
    { { 10, QUERY, 5 },
      { 10, EXPECT_TO_UPSTREAM, 0 },
      { 10, EXPECT_REPLY, GALENA_PEER_UNSURE },
      { 12, ANSWER, 0 },
      { 13, QUERY, 5 },
      { 13, EXPECT_REPLY, GALENA_PEER_OWNED } } },
  /* The agent started at 1000 ms of Unix time, the upstream at VALUE.  */
  { "/agent/started-before-upstream",
    false,
    false,
    { { 1, RUN, 0 },
      { 600, HELLO_READY, 1500 },
      { 620, QUERY, 5 },
      { 620, EXPECT_REPLY, GALENA_PEER_DISOWNED } } },
  /* The clock was ahead when the upstream started, long before its agent
     did.  */
  { "/agent/upstream-start-in-future",
    false,
    false,
    { { 1, RUN, 0 },
      { 10, HELLO_READY, 4000 },
      { 20, QUERY, 5 },
      { 20, EXPECT_REPLY, GALENA_PEER_UNSURE },
      { 5000, RUN, 0 },
      { 5010, HELLO_READY, 4000 },
      { 5020, QUERY, 5 },
      { 5020, EXPECT_REPLY, GALENA_PEER_UNSURE } } },
  /* The clock was behind when the agent started: by it the upstream started
     at the same time, but an entry has known the upstream for longer.  */
  { "/agent/upstream-start-known-before",
    false,
    false,
    { { 1, RUN, 0 },
      { 10, HELLO_READY, 1005 },
      { 20, HELLO_KNOWN_LONG, 1005 },
      { 30, QUERY, 5 },
      { 30, EXPECT_REPLY, GALENA_PEER_UNSURE },
      { 510, HELLO_READY, 1005 },
      { 520, QUERY, 5 },
      { 520, EXPECT_REPLY, GALENA_PEER_UNSURE } } },
  /* An upstream that was published some milliseconds before its agent
     started.  */
  { "/agent/upstream-published-at-once",
    false,
    false,
    { { 1, RUN, 0 },
      { 10, HELLO_KNOWN_LITTLE, 950 },
      { 20, QUERY, 5 },
      { 20, EXPECT_REPLY, GALENA_PEER_DISOWNED } } },
  /* Rows of an earlier flow that its upstream has discarded decide about a new
     flow from the same port, which is open at another upstream.  */
  { "/agent/port-again-asked",
    true,
    false,
    { { 10, OPEN, 0 },
      { 11, ACCEPT, 1000 },
      { 11, EXPECT_REPLY, GALENA_PEER_OPENED },
      { 12, FORWARD, 1001 },
      { 12, EXPECT_TO_UPSTREAM, 2 },
      { 5000, QUERY, 900000 },
      { 5000, EXPECT_REPLY, GALENA_PEER_DISOWNED },
      { 5001, QUERY_MANY, 900000 },
      { 5001, EXPECT_REPLY, GALENA_PEER_ANSWER_MANY },
      { 5001, EXPECT_ANSWERS,
        GALENA_ANSWER_DISOWNED | (GALENA_ANSWER_DISOWNED << 2) },
      { 5002, PROBE, 900000 },
      { 5002, EXPECT_REPLY, GALENA_PEER_DISOWNED },
      { 5002, EXPECT_TO_UPSTREAM, 0 },
      { 5003, QUERY, 1001 },
      { 5003, EXPECT_REPLY, GALENA_PEER_OWNED } } },
  { "/agent/port-again-asked-after-restart",
    false,
    false,
    { { 10, FORWARD, 5 },
      { 11, ANSWER, 0 },
      { 5000, QUERY, 900000 },
      { 5000, EXPECT_REPLY, GALENA_PEER_DISOWNED },
      { 5001, PROBE, 900000 },
      { 5001, EXPECT_REPLY, GALENA_PEER_DISOWNED },
      { 5001, EXPECT_TO_UPSTREAM, 1 },
      { 5002, QUERY, 5 },
      { 5002, EXPECT_REPLY, GALENA_PEER_OWNED } } },
  /* The entry has another row of the earlier flow.  */
  { "/agent/port-again-forwarded",
    true,
    false,
    { { 10, OPEN, 0 },
      { 11, ACCEPT, 1000 },
      { 11, EXPECT_REPLY, GALENA_PEER_OPENED },
      { 12, FORWARD, 1001 },
      { 12, EXPECT_TO_UPSTREAM, 2 },
      { 5000, FORWARD, 900000 },
      { 5000, EXPECT_TO_UPSTREAM, 0 },
      { 5000, EXPECT_REPLY, GALENA_PEER_DISOWNED },
      { 5000, EXPECT_BYTES, PACKET_BYTES } } },
  /* A late packet of an earlier flow starts a search for the new one.  */
  { "/agent/late-packet-of-earlier-flow",
    true,
    false,
    { { 10, OPEN, 0 },
      { 11, ACCEPT, 1000 },
      { 11, EXPECT_REPLY, GALENA_PEER_OPENED },
      { 12, FORWARD, 1001 },
      { 12, EXPECT_TO_UPSTREAM, 2 },
      { 300, FORWARD, 900000 },
      { 300, EXPECT_TO_UPSTREAM, 0 },
      { 300, EXPECT_NO_REPLY, 0 } } },
  /* A late packet of the upstream on an earlier flow widens the numbers of the
     new one.  */
  { "/agent/late-answer-on-earlier-flow",
    true,
    false,
    { { 10, OPEN, 0 },
      { 11, ACCEPT, 1000 },
      { 11, EXPECT_REPLY, GALENA_PEER_OPENED },
      { 12, FORWARD, 1001 },
      { 13, ANSWER, 900000000 },
      { 14, QUERY, 450000000 },
      { 14, EXPECT_REPLY, GALENA_PEER_DISOWNED },
      { 15, QUERY, 1001 },
      { 15, EXPECT_REPLY, GALENA_PEER_OWNED } } },
  /* The upstream still holds the earlier flow and answers a probe with a
     packet of that one.  */
  { "/agent/probe-answered-on-earlier-flow",
    false,
    false,
    { { 10, PROBE, 900000 },
      { 10, EXPECT_TO_UPSTREAM, 1 },
      { 11, ANSWER, 0 },
      { 11, EXPECT_REPLY, GALENA_PEER_DISOWNED } } },
  /* A caller uses its port again while the upstream drains: the checks of a
     new flow hold, also for a packet that an entry forwards as one of the
     earlier flow.  */
  { "/agent/port-again-while-draining",
    true,
    false,
    { { 10, OPEN, 0 },
      { 11, ACCEPT, 1000 },
      { 11, EXPECT_REPLY, GALENA_PEER_OPENED },
      { 12, FORWARD, 1001 },
      { 13, END_FLOW, 1001 },
      { 14, EXPECT_TO_UPSTREAM, 3 },
      { 20, HELLO_DRAINING, 1500 },
      { 30, OPEN, 0 },
      { 30, EXPECT_TO_UPSTREAM, 0 },
      { 30, EXPECT_REPLY, GALENA_PEER_REFUSED } } },
  { "/agent/port-again-forwarded-open",
    true,
    false,
    { { 10, OPEN, 0 },
      { 11, ACCEPT, 1000 },
      { 12, FORWARD, 1001 },
      { 12, EXPECT_TO_UPSTREAM, 2 },
      { 13, FORWARD_OPEN, 0 },
      { 13, EXPECT_TO_UPSTREAM, 1 },
      { 14, FORWARD_OPEN_AGAIN, 0 },
      { 14, EXPECT_TO_UPSTREAM, 0 } } },
  /* The same where the agent has not seen the opening of the earlier flow: its
     row is taken for that of an admitted one.  */
  { "/agent/port-again-unseen-opening",
    false,
    false,
    { { 10, FORWARD, 5 },
      { 11, ANSWER, 0 },
      { 12, EXPECT_TO_UPSTREAM, 1 },
      { 20, HELLO_DRAINING, 1500 },
      { 30, FORWARD_OPEN_AGAIN, 0 },
      { 30, EXPECT_TO_UPSTREAM, 0 },
      { 40, OPEN_AGAIN, 0 },
      { 40, EXPECT_TO_UPSTREAM, 0 },
      { 40, EXPECT_REPLY, GALENA_PEER_REFUSED } } },
  /* A probe has left a row, and its packet is taken for one of a flow that was
     admitted here.  */
  { "/agent/open-after-probe-while-draining",
    false,
    false,
    { { 10, HELLO_DRAINING, 1500 },
      { 20, PROBE, 900000 },
      { 20, EXPECT_TO_UPSTREAM, 1 },
      { 30, OPEN, 0 },
      { 30, EXPECT_TO_UPSTREAM, 0 },
      { 30, EXPECT_REPLY, GALENA_PEER_REFUSED } } },
  /* A copy of the opening packet that reaches another agent after a restart
     still passes to the upstream that has accepted the flow.  */
  { "/agent/copy-of-open-after-restart",
    false,
    false,
    { { 10, HELLO_DRAINING, 500 },
      { 20, ACCEPT, 1000 },
      { 30, OPEN, 0 },
      { 30, EXPECT_TO_UPSTREAM, 1 } } },
  /* An upstream that holds the flow returns a late copy of its opening packet.
     On a refusal, an entry that knows nothing of the flow would reset it.  */
  { "/agent/returned-copy-of-open-flow",
    true,
    false,
    { { 10, OPEN, 0 },
      { 12, ACCEPT, 1000 },
      { 14, FORWARD, 1001 },
      { 20, OPEN, 0 },
      { 20, EXPECT_TO_UPSTREAM, 3 },
      { 20, EXPECT_MESSAGES, 1 },
      { 22, RETURN, 0 },
      { 22, EXPECT_REPLY, GALENA_PEER_OPENED },
      { 30, QUERY, 1001 },
      { 30, EXPECT_REPLY, GALENA_PEER_OWNED } } },
  /* The same at an agent that started after the flow was opened.  */
  { "/agent/returned-copy-after-restart",
    false,
    false,
    { { 10, PROBE, 5 },
      { 12, ANSWER, 5 },
      { 12, EXPECT_REPLY, GALENA_PEER_OWNED },
      { 20, OPEN, 0 },
      { 20, EXPECT_TO_UPSTREAM, 2 },
      { 22, RETURN, 0 },
      { 22, EXPECT_REPLY, GALENA_PEER_OPENED },
      { 30, QUERY, 5 },
      { 30, EXPECT_REPLY, GALENA_PEER_OWNED } } },
  /* Entries learned only by the next periodic report that an upstream which
     had left takes flows again, and rejected all while there was no other.  */
  { "/agent/started-again-after-leaving",
    false,
    false,
    { { 10, HELLO_READY, 500 },
      { 20, HELLO_DRAINING, 500 },
      { 600, RUN, 0 },
      { 600, EXPECT_REFUSES, 1 },
      { 610, HELLO_READY, 700 },
      { 640, RUN, 0 },
      { 640, EXPECT_REFUSES, 0 } } },
  { "/agent/forwarded-open-of-unknown-flow",
    true,
    false,
    { { 10, FORWARD_OPEN, 0 }, { 10, EXPECT_TO_UPSTREAM, 0 } } },
  { "/agent/started-with-upstream",
    false,
    false,
    { { 10, HELLO_READY, 950 },
      { 20, QUERY, 5 },
      { 20, EXPECT_REPLY, GALENA_PEER_DISOWNED } } },
  { "/agent/started-after-upstream",
    false,
    false,
    { { 10, HELLO_READY, 500 },
      { 20, QUERY, 5 },
      { 20, EXPECT_REPLY, GALENA_PEER_UNSURE } } },
  /* After a loss of power the old registration still stands beside the new
     one, for seconds in which the agent was unsure.  */
  { "/agent/old-registration-listed",
    false,
    false,
    { { 10, HELLO_DOUBTFUL, 950 },
      { 20, QUERY, 5 },
      { 20, EXPECT_REPLY, GALENA_PEER_DISOWNED } } },
  /* The same, and an entry that has not read the new registration yet reports
     the old one.  */
  { "/agent/old-registration-reported-later",
    false,
    false,
    { { 1, RUN, 0 },
      { 10, HELLO_DOUBTFUL, 950 },
      { 20, HELLO_KNOWN_LONG, 400 },
      { 30, QUERY, 5 },
      { 30, EXPECT_REPLY, GALENA_PEER_DISOWNED } } },
  /* The upstream lives, and another writer's registration has a later start,
     which must not make the agent disown its flows.  */
  { "/agent/doubtful-later-start",
    false,
    false,
    { { 10, HELLO_DOUBTFUL, 1500 },
      { 20, QUERY, 5 },
      { 20, EXPECT_REPLY, GALENA_PEER_UNSURE } } },
  { "/agent/doubtful-earlier-start",
    false,
    false,
    { { 10, HELLO_DOUBTFUL, 500 },
      { 20, QUERY, 5 },
      { 20, EXPECT_REPLY, GALENA_PEER_UNSURE } } },
  /* Each flow of a batch gets the answer that a query of its own would
     get.  */
  { "/agent/query-many",
    true,
    false,
    { { 10, OPEN, 0 },
      { 11, ACCEPT, 1000 },
      { 11, EXPECT_REPLY, GALENA_PEER_OPENED },
      { 20, FORWARD, 1001 },
      { 30, ANSWER, 0 },
      { 40, QUERY_MANY, 1001 },
      { 40, EXPECT_REPLY, GALENA_PEER_ANSWER_MANY },
      { 40, EXPECT_ANSWERS,
        GALENA_ANSWER_DISOWNED | (GALENA_ANSWER_OWNED << 2) } } },
  { "/agent/query-many-unsure",
    false,
    false,
    { { 40, QUERY_MANY, 1001 },
      { 40, EXPECT_REPLY, GALENA_PEER_ANSWER_MANY },
      { 40, EXPECT_ANSWERS,
        GALENA_ANSWER_UNSURE | (GALENA_ANSWER_UNSURE << 2) } } },
  /* The reply goes to the entry that searches, not to the agent between.  */
  { "/agent/probe-by-agent",
    false,
    false,
    { { 10, PROBE_BY_AGENT, ENTRY_IP },
      { 10, EXPECT_TO_UPSTREAM, 1 },
      { 11, RETURN, 0 },
      { 11, EXPECT_REPLY, GALENA_PEER_DISOWNED },
      { 11, EXPECT_PEER, ENTRY_IP } } },
  { "/agent/spread",
    false,
    false,
    { { 10, SPREAD, 3 },
      { 10, EXPECT_MESSAGES, 3 },
      { 10, EXPECT_PEER, AGENT_IP + 3 },
      { 10, EXPECT_BYTES, PACKET_BYTES } } },
  { "/agent/found-after-restart",
    false,
    false,
    { { 10, PROBE, 5 },
      { 10, EXPECT_TO_UPSTREAM, 1 },
      { 10, EXPECT_NO_REPLY, 0 },
      { 12, ANSWER, 0 },
      { 12, EXPECT_REPLY, GALENA_PEER_OWNED } } },
  { "/agent/not-found-after-restart",
    false,
    false,
    { { 10, PROBE, 5 },
      { 12, RETURN, 0 },
      { 12, EXPECT_REPLY, GALENA_PEER_DISOWNED },
      { 12, EXPECT_BYTES, 0 } } },
  /* What the upstream has returned once it holds only if it is opened
     there.  */
  { "/agent/asked-after-return",
    false,
    false,
    { { 10, PROBE, 5 },
      { 10, EXPECT_TO_UPSTREAM, 1 },
      { 12, RETURN, 0 },
      { 12, EXPECT_REPLY, GALENA_PEER_DISOWNED },
      { 20, QUERY, 5 },
      { 20, EXPECT_REPLY, GALENA_PEER_DISOWNED },
      { 30, PROBE, 5 },
      { 30, EXPECT_TO_UPSTREAM, 0 },
      { 30, EXPECT_REPLY, GALENA_PEER_DISOWNED },
      { 40, OPEN, 0 },
      { 41, ACCEPT, 1000 },
      { 41, EXPECT_REPLY, GALENA_PEER_OPENED },
      { 50, QUERY, 1001 },
      { 50, EXPECT_REPLY, GALENA_PEER_OWNED } } },
  /* An upstream that answers nothing at all holds no flow, though the agent
     started after it and can't know them.  */
  { "/agent/silent-upstream",
    false,
    false,
    { { 10, PROBES, 8 },
      { 400, RUN, 0 },
      { 400, QUERY, 5 },
      { 400, EXPECT_REPLY, GALENA_PEER_UNSURE },
      { 560, RUN, 0 },
      { 560, QUERY, 5 },
      { 560, EXPECT_REPLY, GALENA_PEER_DISOWNED },
      { 570, PROBE, 5 },
      { 570, EXPECT_REPLY, GALENA_PEER_DISOWNED },
      { 600, ANSWER, 0 },
      { 600, EXPECT_REPLY, GALENA_PEER_OWNED },
      { 610, QUERY, 5 },
      { 610, EXPECT_REPLY, GALENA_PEER_OWNED } } },
  /* It may work for a single flow.  */
  { "/agent/silent-upstream-one-packet",
    false,
    false,
    { { 10, PROBES, 1 },
      { 2900, RUN, 0 },
      { 2900, QUERY, 5 },
      { 2900, EXPECT_REPLY, GALENA_PEER_UNSURE },
      { 3060, RUN, 0 },
      { 3060, QUERY, 5 },
      { 3060, EXPECT_REPLY, GALENA_PEER_DISOWNED } } },
  /* It does so less likely if it is not published any more.  */
  { "/agent/silent-upstream-unpublished",
    false,
    false,
    { { 10, PROBES, 1 },
      { 100, HELLO_ABSENT, 0 },
      { 900, RUN, 0 },
      { 900, QUERY, 5 },
      { 900, EXPECT_REPLY, GALENA_PEER_UNSURE },
      { 1060, RUN, 0 },
      { 1060, QUERY, 5 },
      { 1060, EXPECT_REPLY, GALENA_PEER_DISOWNED },
      { 1070, HELLO_READY, 0 },
      { 1080, QUERY, 5 },
      { 1080, EXPECT_REPLY, GALENA_PEER_UNSURE } } },
  /* Still less so if it was draining before.  */
  { "/agent/silent-upstream-left",
    false,
    false,
    { { 10, HELLO_DRAINING, 100 },
      { 50, PROBES, 1 },
      { 100, HELLO_ABSENT, 0 },
      { 200, RUN, 0 },
      { 200, QUERY, 5 },
      { 200, EXPECT_REPLY, GALENA_PEER_UNSURE },
      { 340, RUN, 0 },
      { 340, QUERY, 5 },
      { 340, EXPECT_REPLY, GALENA_PEER_DISOWNED } } },
  /* An agent that is stopped reports that its upstream has ended if that left
     the platform two seconds ago.  */
  { "/agent/stopped-after-upstream",
    false,
    false,
    { { 20, HELLO_DRAINING, 100 },
      { 100, HELLO_ABSENT, 0 },
      { 2000, HELLO_ABSENT, 0 },
      { 2200, STOP, 0 },
      { 2800, RUN, 0 },
      { 2800, EXPECT_ENDED, 1 } } },
  { "/agent/stopped-soon-after-upstream",
    false,
    false,
    { { 20, HELLO_DRAINING, 100 },
      { 1500, HELLO_ABSENT, 0 },
      { 2000, HELLO_ABSENT, 0 },
      { 2200, STOP, 0 },
      { 2800, RUN, 0 },
      { 2800, EXPECT_ENDED, 0 } } },
  { "/agent/stopped-before-upstream",
    false,
    false,
    { { 20, HELLO_DRAINING, 100 },
      { 2000, HELLO_DRAINING, 100 },
      { 2200, STOP, 0 },
      { 2800, RUN, 0 },
      { 2800, EXPECT_ENDED, 0 } } },
  { "/agent/stopped-without-drain",
    false,
    false,
    { { 20, HELLO_READY, 100 },
      { 100, HELLO_ABSENT, 0 },
      { 2000, HELLO_ABSENT, 0 },
      { 2200, STOP, 0 },
      { 2800, RUN, 0 },
      { 2800, EXPECT_ENDED, 0 } } },
  /* Packets without data need no reply.  */
  { "/agent/silent-upstream-without-data",
    false,
    false,
    { { 10, PROBE, 5 },
      { 20, FORWARD, 5 },
      { 4000, RUN, 0 },
      { 4000, QUERY, 5 },
      { 4000, EXPECT_REPLY, GALENA_PEER_UNSURE } } },
  /* The replies may wait to be read while the agent does not run.  */
  { "/agent/silent-while-paused",
    false,
    false,
    { { 10, PROBES, 8 },
      { 100, RUN, 0 },
      { 1400, QUERY, 5 },
      { 1400, EXPECT_REPLY, GALENA_PEER_UNSURE } } },
  /* An upstream may reset an unknown flow instead of returning the packet.  */
  { "/agent/reset-of-searched-flow",
    false,
    false,
    { { 10, PROBE, 5 },
      { 10, EXPECT_TO_UPSTREAM, 1 },
      { 12, RESET, 0 },
      { 12, EXPECT_TO_CALLER, 0 },
      { 12, EXPECT_REPLY, GALENA_PEER_DISOWNED } } },
  { "/agent/forward-not-held",
    false,
    false,
    { { 10, FORWARD, 5 },
      { 12, RETURN, 0 },
      { 12, EXPECT_REPLY, GALENA_PEER_DISOWNED },
      { 12, EXPECT_BYTES, PACKET_BYTES } } },
  { "/agent/not-found-at-first-start",
    true,
    false,
    { { 10, PROBE, 5 },
      { 10, EXPECT_TO_UPSTREAM, 0 },
      { 10, EXPECT_REPLY, GALENA_PEER_DISOWNED } } },
  /* What one entry reports of the upstream applies to opens from all
     entries.  */
  { "/agent/draining",
    true,
    false,
    { { 10, HELLO_DRAINING, 100 },
      { 20, OPEN, 0 },
      { 20, EXPECT_TO_UPSTREAM, 0 },
      { 20, EXPECT_REPLY, GALENA_PEER_REFUSED },
      { 2000, HELLO_READY, 99 },
      { 2010, OPEN, 0 },
      { 2010, EXPECT_TO_UPSTREAM, 0 } } },
  { "/agent/new-life-after-draining",
    true,
    false,
    { { 10, HELLO_DRAINING, 100 },
      { 20, HELLO_READY, 200 },
      { 30, OPEN, 0 },
      { 30, EXPECT_TO_UPSTREAM, 1 },
      { 40, HELLO_DRAINING, 100 },
      { 50, OPEN, 0 },
      { 50, EXPECT_TO_UPSTREAM, 1 } } },
  /* An entry that has not heard of the agent yet may report the registration
     of something else on the instance.  */
  { "/agent/draining-of-other-service",
    false,
    false,
    { { 10, HELLO_OTHER_SERVICE, 1500 },
      { 10, HELLO_OTHER_PORT, 1500 },
      { 20, OPEN, 0 },
      { 20, EXPECT_TO_UPSTREAM, 1 } } },
  { "/agent/start-of-other-service",
    false,
    false,
    { { 10, HELLO_OTHER_SERVICE, 1500 },
      { 10, HELLO_OTHER_PORT, 1500 },
      { 20, QUERY, 5 },
      { 20, EXPECT_REPLY, GALENA_PEER_UNSURE } } },
  { "/agent/draining-with-unknown-start",
    false,
    false,
    { { 10, HELLO_READY, 500 },
      { 20, HELLO_DRAINING, 0 },
      { 30, OPEN, 0 },
      { 30, EXPECT_TO_UPSTREAM, 0 },
      { 30, EXPECT_REPLY, GALENA_PEER_REFUSED } } },
  { "/agent/unknown-start",
    false,
    false,
    { { 10, HELLO_READY, 0 },
      { 20, QUERY, 5 },
      { 20, EXPECT_REPLY, GALENA_PEER_UNSURE } } },
  /* A start that no entry reports any more hides no later drain.  */
  { "/agent/draining-after-later-start",
    true,
    false,
    { { 10, HELLO_READY, 900000 },
      { 20, HELLO_DRAINING, 100 },
      { 30, OPEN, 0 },
      { 30, EXPECT_TO_UPSTREAM, 1 },
      { 40, RETURN, 0 },
      { 40, EXPECT_REPLY, GALENA_PEER_REFUSED },
      { 10050, HELLO_DRAINING, 100 },
      { 10060, OPEN, 0 },
      { 10060, EXPECT_TO_UPSTREAM, 0 },
      { 10060, EXPECT_REPLY, GALENA_PEER_REFUSED } } },
  { "/agent/draining-unconfirmed",
    true,
    false,
    { { 10, HELLO_DRAINING, 100 },
      { 4000, OPEN, 0 },
      { 4000, EXPECT_TO_UPSTREAM, 1 } } },
  /* Service time 20 ms, three slots, three further flows: one more request
     would be answered after 26.7 ms.  */
  { "/agent/hands-back",
    true,
    true,
    { KNOWN_SERVICE_TIME,
      { 41, OPEN_OTHERS, 3 },
      { 41, EXPECT_TO_UPSTREAM, 5 },
      { 42, OPEN_OFFERED, 26000 },
      { 42, EXPECT_REPLY, GALENA_PEER_REFUSED },
      { 42, EXPECT_REASON, GALENA_REFUSED_BUSY },
      { 42, EXPECT_TO_UPSTREAM, 0 } } },
  { "/agent/others-are-busier",
    true,
    true,
    { KNOWN_SERVICE_TIME,
      { 41, OPEN_OTHERS, 3 },
      { 42, OPEN_OFFERED, 27000 },
      { 42, EXPECT_NO_REPLY, 0 },
      { 42, EXPECT_TO_UPSTREAM, 6 } } },
  { "/agent/slot-free",
    true,
    true,
    { KNOWN_SERVICE_TIME,
      { 41, OPEN_OTHERS, 2 },
      { 42, OPEN_OFFERED, 0 },
      { 42, EXPECT_NO_REPLY, 0 },
      { 42, EXPECT_TO_UPSTREAM, 5 } } },
  /* All agents hand the flow back; the last one must take it.  */
  { "/agent/last-attempt",
    true,
    true,
    { KNOWN_SERVICE_TIME,
      { 41, OPEN_OTHERS, 3 },
      { 42, OPEN_LAST, 0 },
      { 42, EXPECT_NO_REPLY, 0 },
      { 42, EXPECT_TO_UPSTREAM, 6 } } },
  /* Without an answer so far, nothing says how long it would take, and another
     upstream may have a free slot.  */
  { "/agent/service-time-unknown",
    true,
    true,
    { { 5, HELLO_READY, 1000 },
      { 10, OPEN_OTHERS, 4 },
      { 10, EXPECT_TO_UPSTREAM, 4 },
      { 11, OPEN_OFFERED, 1000000 },
      { 11, EXPECT_REASON, GALENA_REFUSED_BUSY },
      { 11, EXPECT_TO_UPSTREAM, 0 },
      { 12, OPEN_LAST, 0 },
      { 12, EXPECT_TO_UPSTREAM, 1 } } },
  { "/agent/slots-unknown",
    true,
    true,
    { { 10, OPEN_OTHERS, 4 },
      { 11, OPEN_OFFERED, 0 },
      { 11, EXPECT_TO_UPSTREAM, 5 } } },
  { "/agent/no-load-control",
    true,
    false,
    { KNOWN_SERVICE_TIME,
      { 41, OPEN_OTHERS, 3 },
      { 42, OPEN_OFFERED, 0 },
      { 42, EXPECT_NO_REPLY, 0 },
      { 42, EXPECT_TO_UPSTREAM, 6 } } },
  /* One of three slots is busy for three time constants.  */
  { "/agent/utilisation",
    true,
    true,
    { { 5, HELLO_READY, 1000 },
      { 10, OPEN, 0 },
      { 11, ACCEPT, 1000 },
      { 20, REQUEST, 1001 },
      { 3020, RUN, 0 },
      { 3020, EXPECT_UTILISATION, 317 },
      { 3020, ANSWER_REQUEST, 0 },
      /* The last report, at 4505 ms, comes 1.5 time constants later.  */
      { 4900, RUN, 0 },
      { 4900, EXPECT_UTILISATION, 72 } } },
};

#define OPENED                                                                \
  { 10, OPEN, 0 }, { 12, ACCEPT, 1000 }

/* Outcomes of requests, with load control.  Reports come at 510 ms, 1,010 ms
   and so on.  */
static const struct agent_case HEALTH_CASES[] = {
  { "/agent/health/answered",
    true,
    true,
    { OPENED,
      { 20, DATA, 1001 },
      { 300, RUN, 0 },
      { 300, ANSWER_DATA, 0 },
      { 550, RUN, 0 },
      { 550, EXPECT_FINISHED, 1 },
      { 550, EXPECT_FAILED, 0 },
      { 1550, RUN, 0 },
      { 1550, EXPECT_FINISHED, 0 } } },
  /* A third of the timeout of 1,500 ms, and once.  */
  { "/agent/health/overdue",
    true,
    true,
    { OPENED,
      { 20, DATA, 1001 },
      { 550, RUN, 0 },
      { 550, EXPECT_FAILED, 0 },
      { 1050, RUN, 0 },
      { 1050, EXPECT_FAILED, 1 },
      { 1500, ANSWER_DATA, 0 },
      { 1550, RUN, 0 },
      { 1550, EXPECT_FINISHED, 1 },
      { 2050, RUN, 0 },
      { 2050, EXPECT_FINISHED, 0 } } },
  /* A caller sends what was not answered again and again.  */
  { "/agent/health/overdue-in-spite-of-retransmissions",
    true,
    true,
    { OPENED,
      { 20, DATA, 1001 },
      { 220, RUN, 0 },
      { 220, AGAIN, 1001 },
      { 500, RUN, 0 },
      { 500, AGAIN, 1001 },
      { 1050, RUN, 0 },
      { 1050, EXPECT_FAILED, 1 } } },
  /* The request of a caller behind a slow link arrives for seconds.  */
  { "/agent/health/data-still-arrives",
    true,
    true,
    { OPENED,
      { 20, DATA, 1001 },
      { 400, RUN, 0 },
      { 400, DATA, 1001 },
      { 800, RUN, 0 },
      { 800, DATA, 1001 },
      { 1050, RUN, 0 },
      { 1050, EXPECT_FAILED, 0 },
      { 1550, RUN, 0 },
      { 1550, EXPECT_FAILED, 1 } } },
  { "/agent/health/caller-goes-away",
    true,
    true,
    { OPENED,
      { 20, DATA, 1001 },
      { 300, RUN, 0 },
      { 300, CALLER_RESETS, 1001 },
      { 302, RESET, 0 },
      { 1050, RUN, 0 },
      { 1050, EXPECT_FINISHED, 0 } } },
  /* Answers that came during a pause may not be read yet.  */
  { "/agent/health/agent-paused",
    true,
    true,
    { OPENED,
      { 20, DATA, 1001 },
      { 100, RUN, 0 },
      { 1400, HELLO_READY, 0 },
      { 1405, HELLO_READY, 0 },
      { 1850, RUN, 0 },
      { 1850, EXPECT_FAILED, 0 },
      { 2450, RUN, 0 },
      { 2450, EXPECT_FAILED, 1 } } },
  { "/agent/health/open-unanswered",
    true,
    true,
    { { 10, OPEN, 0 },
      { 200, RUN, 0 },
      { 200, OPEN, 0 },
      { 550, RUN, 0 },
      { 550, EXPECT_FAILED, 1 },
      { 1050, RUN, 0 },
      { 1050, EXPECT_FAILED, 1 } } },
  { "/agent/health/open-returned",
    true,
    true,
    { { 10, OPEN, 0 },
      { 12, RETURN, 0 },
      { 14, RETURN, 0 },
      { 550, RUN, 0 },
      { 550, EXPECT_FAILED, 1 } } },
  { "/agent/health/reset",
    true,
    true,
    { OPENED,
      { 20, DATA, 1001 },
      { 30, RESET, 0 },
      { 550, RUN, 0 },
      { 550, EXPECT_FAILED, 1 } } },
  /* An answer after 1 ms in place of 40 ms, while slots are free.  */
  { "/agent/health/shed-without-need",
    true,
    true,
    { OPENED,
      { 15, HELLO_READY, 0 },
      { 20, DATA, 1001 },
      { 60, ANSWER_DATA, 0 },
      { 70, DATA, 1001 },
      { 71, ANSWER_DATA, 0 },
      { 80, DATA, 1001 },
      { 110, ANSWER_DATA, 0 },
      { 550, RUN, 0 },
      { 550, EXPECT_FINISHED, 3 },
      { 550, EXPECT_FAILED, 1 } } },
};

static const struct hello_row
{
  const char *service;
  uint16_t port;
  enum galena_published_state state;
} HELLOS[] = {
  [HELLO_READY] = { "first", UPSTREAM_PORT, GALENA_PUBLISHED_READY },
  [HELLO_DRAINING] = { "first", UPSTREAM_PORT, GALENA_PUBLISHED_DRAINING },
  [HELLO_KNOWN_LONG] = { "first", UPSTREAM_PORT, GALENA_PUBLISHED_READY },
  [HELLO_KNOWN_LITTLE] = { "first", UPSTREAM_PORT, GALENA_PUBLISHED_READY },
  [HELLO_DOUBTFUL] = { "first", UPSTREAM_PORT, GALENA_PUBLISHED_READY },
  [HELLO_ABSENT] = { "first", UPSTREAM_PORT, GALENA_PUBLISHED_ABSENT },
  [HELLO_OTHER_SERVICE]
  = { "second", UPSTREAM_PORT, GALENA_PUBLISHED_DRAINING },
  [HELLO_OTHER_PORT] = { "first", 9100, GALENA_PUBLISHED_DRAINING },
};

struct run
{
  struct galena_plane *plane;
  struct galena_clock now;
  int64_t last_step_ms;
  uint8_t bytes[PACKET_BYTES];
  struct galena_packet last_packet;
  uint32_t to_upstream;
  uint32_t to_caller;
  uint32_t replies;
  uint32_t ended;
  struct galena_load load;
  uint32_t further_flows;
  /* Bytes of data that the caller has sent.  */
  uint32_t sent;
  struct galena_peer_message reply;
  struct galena_endpoint reply_peer;
  uint8_t answers;
  uint8_t body[GALENA_SPREAD_BODY_BYTES];
};

static const struct galena_flow_key FLOW
    = { { CALLER_IP, 40001 }, { SERVICE_IP, PORT } };

static void
tick (struct run *run)
{
  galena_plane_tick (run->plane, run->now, NULL);
  for (uint32_t i = 0; i < galena_plane_output_count (run->plane); i++)
    {
      const struct galena_output *output = galena_plane_output (run->plane, i);

      if (output->kind == GALENA_OUTPUT_PACKET)
        {
          run->to_upstream += output->side == GALENA_SIDE_APPLICATION;
          run->to_caller += output->side == GALENA_SIDE_CALLER;
        }
      else if (output->message.type == GALENA_PEER_LOAD)
        {
          run->ended = output->message.sequence;
          run->load = output->message.load;
        }
      else if (output->message.type != GALENA_PEER_HELLO)
        {
          run->replies++;
          run->reply = output->message;
          run->reply_peer = output->peer;
          run->answers = output->packet_copy[0];
        }
    }
}

/* Adds a message of TYPE from the entry with a packet of the flow.  */
static void
push_message (struct run *run, enum galena_peer_type type,
              struct galena_packet packet)
{
  struct galena_input *input = galena_plane_next_input (run->plane);

  run->last_packet = packet;
  input->side = GALENA_SIDE_PEER;
  input->peer = (struct galena_endpoint){ ENTRY_IP, PEER_PORT };
  input->message = (struct galena_peer_message){
    .type = type,
    .role = GALENA_ROLE_ENTRY,
    .flow = FLOW,
    .service = galena_service_key_of ("first"),
    .sequence = packet.acknowledged,
    .work = { .kind = GALENA_WORK_IDEMPOTENT, .timeout_ms = 1500 },
    .bytes = run->bytes,
    .size = PACKET_BYTES,
    .packet = packet,
  };
  galena_plane_push (run->plane);
}

static void
run_message (struct run *run, const struct step *step)
{
  static const enum galena_peer_type TYPES[] = {
    [OPEN] = GALENA_PEER_OPEN,
    [FORWARD] = GALENA_PEER_FORWARD,
    [END_FLOW] = GALENA_PEER_FORWARD,
    [FORWARD_OPEN] = GALENA_PEER_FORWARD,
    [PROBE] = GALENA_PEER_PROBE,
    [QUERY] = GALENA_PEER_QUERY,
    [OPEN_AGAIN] = GALENA_PEER_OPEN,
    [FORWARD_OPEN_AGAIN] = GALENA_PEER_FORWARD,
  };
  static const uint8_t FLAGS[] = {
    [OPEN] = GALENA_PACKET_OPENS,
    [FORWARD] = GALENA_PACKET_ACKNOWLEDGES,
    [END_FLOW] = GALENA_PACKET_ACKNOWLEDGES | GALENA_PACKET_ENDS,
    [FORWARD_OPEN] = GALENA_PACKET_OPENS,
    [OPEN_AGAIN] = GALENA_PACKET_OPENS,
    [FORWARD_OPEN_AGAIN] = GALENA_PACKET_OPENS,
    [PROBE] = GALENA_PACKET_ACKNOWLEDGES,
    [QUERY] = GALENA_PACKET_ACKNOWLEDGES,
  };
  bool again = step->kind == OPEN_AGAIN || step->kind == FORWARD_OPEN_AGAIN;

  push_message (run, TYPES[step->kind],
                (struct galena_packet){
                    .source = FLOW.caller,
                    .destination = FLOW.service_address,
                    .sequence = again ? AGAIN_SEQUENCE : 0,
                    .acknowledged = step->value,
                    .flags = FLAGS[step->kind],
                    .bytes = run->bytes,
                    .size = PACKET_BYTES,
                });
  tick (run);
}

static void
run_query_many (struct run *run, const struct step *step)
{
  struct galena_input *input = galena_plane_next_input (run->plane);

  galena_query_put_flow (
      run->body, 0,
      (struct galena_query_flow){ { CALLER_IP + 1, 40001 }, step->value });
  galena_query_put_flow (
      run->body, 1, (struct galena_query_flow){ FLOW.caller, step->value });
  input->side = GALENA_SIDE_PEER;
  input->peer = (struct galena_endpoint){ ENTRY_IP, PEER_PORT };
  input->message = (struct galena_peer_message){
    .type = GALENA_PEER_QUERY_MANY,
    .role = GALENA_ROLE_ENTRY,
    .flow = { { 0, 0 }, FLOW.service_address },
    .bytes = run->body,
    .size = 2 * GALENA_QUERY_FLOW_BYTES,
  };
  galena_plane_push (run->plane);
  tick (run);
}

static void
run_probe_by_agent (struct run *run, const struct step *step)
{
  struct galena_input *input = galena_plane_next_input (run->plane);

  run->last_packet = (struct galena_packet){
    .source = FLOW.caller,
    .destination = FLOW.service_address,
    .acknowledged = 5,
    .data_size = 1,
    .flags = GALENA_PACKET_ACKNOWLEDGES,
    .bytes = run->bytes,
    .size = PACKET_BYTES,
  };
  input->side = GALENA_SIDE_PEER;
  input->peer = (struct galena_endpoint){ AGENT_IP + 1, PEER_PORT };
  input->message = (struct galena_peer_message){
    .type = GALENA_PEER_PROBE,
    .role = GALENA_ROLE_AGENT,
    .flow = FLOW,
    .sequence = step->value,
    .bytes = run->bytes,
    .size = PACKET_BYTES,
    .packet = run->last_packet,
  };
  galena_plane_push (run->plane);
  tick (run);
}

static void
run_request (struct run *run, const struct step *step)
{
  push_message (run, GALENA_PEER_FORWARD,
                (struct galena_packet){
                    .source = FLOW.caller,
                    .destination = FLOW.service_address,
                    .acknowledged = step->value,
                    .data_size = 100,
                    .flags = GALENA_PACKET_ACKNOWLEDGES,
                    .bytes = run->bytes,
                    .size = PACKET_BYTES,
                });
  tick (run);
}

/* Opens a further flow that has been tried at ATTEMPT upstreams.  */
static void
open_further_flow (struct run *run, uint32_t alternative_us, uint32_t attempt)
{
  struct galena_input *input = galena_plane_next_input (run->plane);
  struct galena_flow_key flow = FLOW;

  flow.caller.port = (uint16_t)(flow.caller.port + ++run->further_flows);
  input->side = GALENA_SIDE_PEER;
  input->peer = (struct galena_endpoint){ ENTRY_IP, PEER_PORT };
  input->message = (struct galena_peer_message){
    .type = GALENA_PEER_OPEN,
    .role = GALENA_ROLE_ENTRY,
    .flow = flow,
    .service = galena_service_key_of ("first"),
    .alternative_us = alternative_us,
    .attempt = attempt,
    .bytes = run->bytes,
    .size = PACKET_BYTES,
    .packet = { .source = flow.caller,
                .destination = flow.service_address,
                .flags = GALENA_PACKET_OPENS,
                .bytes = run->bytes,
                .size = PACKET_BYTES },
  };
  galena_plane_push (run->plane);
  tick (run);
}

static void
run_spread (struct run *run, const struct step *step)
{
  struct galena_probe_spread spread
      = { .count = step->value, .bytes = run->bytes, .size = PACKET_BYTES };
  struct galena_input *input = galena_plane_next_input (run->plane);

  for (uint32_t i = 0; i < spread.count; i++)
    spread.agents[i] = AGENT_IP + 1 + i;
  input->side = GALENA_SIDE_PEER;
  input->peer = (struct galena_endpoint){ ENTRY_IP, PEER_PORT };
  input->message = (struct galena_peer_message){
    .type = GALENA_PEER_SPREAD,
    .role = GALENA_ROLE_ENTRY,
    .flow = FLOW,
    .bytes = run->body,
    .size = galena_spread_write (run->body, &spread),
  };
  galena_plane_push (run->plane);
  tick (run);
  g_assert_cmpint (run->reply.type, ==, GALENA_PEER_PROBE);
}

static void
expect_answers (struct run *run, const struct step *step)
{
  g_assert_cmpuint (run->answers, ==, step->value);
}

static void
expect_peer (struct run *run, const struct step *step)
{
  g_assert_cmpuint (run->reply_peer.ip, ==, step->value);
}

static void
run_open_others (struct run *run, const struct step *step)
{
  for (uint32_t i = 0; i < step->value; i++)
    open_further_flow (run, UINT32_MAX, 0);
}

static void
run_open_offered (struct run *run, const struct step *step)
{
  open_further_flow (run, step->value, step->kind == OPEN_LAST ? 2 : 0);
}

static void
run_probes (struct run *run, const struct step *step)
{
  for (uint32_t i = 0; i < step->value; i++)
    push_message (run, GALENA_PEER_PROBE,
                  (struct galena_packet){
                      .source = FLOW.caller,
                      .destination = FLOW.service_address,
                      .acknowledged = 5,
                      .data_size = 1,
                      .flags = GALENA_PACKET_ACKNOWLEDGES,
                      .bytes = run->bytes,
                      .size = PACKET_BYTES,
                  });
  tick (run);
}

static void
run_data (struct run *run, const struct step *step)
{
  bool resets = step->kind == CALLER_RESETS;

  if (step->kind == DATA)
    run->sent += DATA_BYTES;
  push_message (
      run, GALENA_PEER_FORWARD,
      (struct galena_packet){
          .source = FLOW.caller,
          .destination = FLOW.service_address,
          .sequence = run->sent - DATA_BYTES,
          .acknowledged = step->value,
          .data_size = resets ? 0 : DATA_BYTES,
          .flags = resets ? GALENA_PACKET_RESETS : GALENA_PACKET_ACKNOWLEDGES,
          .bytes = run->bytes,
          .size = PACKET_BYTES,
      });
  tick (run);
}

static void
run_until (struct run *run, const struct step *step)
{
  while (run->last_step_ms + RUN_STEP_MS < step->at_ms)
    {
      run->last_step_ms += RUN_STEP_MS;
      run->now.ms = run->last_step_ms;
      tick (run);
    }
  run->now.ms = step->at_ms;
  tick (run);
}

static void
run_packet (struct run *run, const struct step *step)
{
  static const uint8_t FLAGS[] = {
    [ACCEPT] = GALENA_PACKET_OPENS | GALENA_PACKET_ACKNOWLEDGES,
    [ANSWER] = GALENA_PACKET_ACKNOWLEDGES,
    [ANSWER_REQUEST] = GALENA_PACKET_ACKNOWLEDGES,
    [ANSWER_DATA] = GALENA_PACKET_ACKNOWLEDGES,
    [RESET] = GALENA_PACKET_RESETS,
  };
  static const uint16_t DATA_SIZES[] = {
    [ANSWER_REQUEST] = 100,
    [ANSWER_DATA] = DATA_BYTES,
    [RESET] = 0,
  };
  struct galena_input *input = galena_plane_next_input (run->plane);

  input->side = GALENA_SIDE_APPLICATION;
  if (step->kind == RETURN)
    {
      input->packet = run->last_packet;
      input->packet.flags |= GALENA_PACKET_RETURNED;
    }
  else
    input->packet = (struct galena_packet){
      .source = FLOW.service_address,
      .destination = FLOW.caller,
      .sequence = step->value,
      .data_size = DATA_SIZES[step->kind],
      .flags = FLAGS[step->kind],
      .bytes = run->bytes,
      .size = PACKET_BYTES,
    };
  galena_plane_push (run->plane);
  tick (run);
}

static void
run_hello (struct run *run, const struct step *step)
{
  struct galena_input *input = galena_plane_next_input (run->plane);

  input->side = GALENA_SIDE_PEER;
  input->peer = (struct galena_endpoint){ ENTRY_IP, PEER_PORT };
  input->message = (struct galena_peer_message){
    .type = GALENA_PEER_HELLO,
    .role = GALENA_ROLE_ENTRY,
    .service = galena_service_key_of (HELLOS[step->kind].service),
    .upstream_port = HELLOS[step->kind].port,
    .slots = 3,
    .published_state = HELLOS[step->kind].state,
    .started_unix_ms = step->value,
    .start_known_ms = step->kind == HELLO_KNOWN_LONG     ? HOUR_MS
                      : step->kind == HELLO_KNOWN_LITTLE ? LITTLE_MS
                                                         : 0,
    .sequence = step->kind == HELLO_DOUBTFUL,
  };
  galena_plane_push (run->plane);
  tick (run);
}

static void
expect_count (uint32_t *count, uint32_t expected)
{
  g_assert_cmpuint (*count, ==, expected);
  *count = 0;
}

static void
expect_messages (struct run *run, const struct step *step)
{
  expect_count (&run->replies, step->value);
}

static void
run_stop (struct run *run, const struct step *step)
{
  (void)step;
  galena_plane_drain (run->plane);
}

static void
expect_ended (struct run *run, const struct step *step)
{
  g_assert_cmpuint (run->ended, ==, step->value);
}

static void
expect_refuses (struct run *run, const struct step *step)
{
  g_assert_cmpuint (run->load.refuses_flows, ==, step->value);
}

static void
expect_finished (struct run *run, const struct step *step)
{
  g_assert_cmpuint (run->load.finished, ==, step->value);
}

static void
expect_failed (struct run *run, const struct step *step)
{
  g_assert_cmpuint (run->load.failed, ==, step->value);
}

static void
expect_to_upstream (struct run *run, const struct step *step)
{
  expect_count (&run->to_upstream, step->value);
}

static void
expect_to_caller (struct run *run, const struct step *step)
{
  expect_count (&run->to_caller, step->value);
}

static void
expect_reply (struct run *run, const struct step *step)
{
  g_assert_cmpint (run->reply.type, ==, step->value);
  expect_count (&run->replies, 1);
}

static void
expect_no_reply (struct run *run, const struct step *step)
{
  (void)step;
  expect_count (&run->replies, 0);
}

static void
expect_bytes (struct run *run, const struct step *step)
{
  g_assert_cmpuint (run->reply.size, ==, step->value);
}

static void
expect_reason (struct run *run, const struct step *step)
{
  g_assert_cmpuint (run->reply.result, ==, step->value);
}

static void
expect_utilisation (struct run *run, const struct step *step)
{
  /* The moving average is computed in steps of 25 ms.  */
  g_assert_cmpint (ABS ((int)run->load.utilisation - (int)step->value), <=,
                   10);
}

static void (*const RUNNERS[]) (struct run *run, const struct step *step) = {
  [OPEN] = run_message,
  [FORWARD] = run_message,
  [PROBE] = run_message,
  [END_FLOW] = run_message,
  [FORWARD_OPEN] = run_message,
  [OPEN_AGAIN] = run_message,
  [FORWARD_OPEN_AGAIN] = run_message,
  [REQUEST] = run_request,
  [OPEN_OTHERS] = run_open_others,
  [OPEN_OFFERED] = run_open_offered,
  [OPEN_LAST] = run_open_offered,
  [PROBES] = run_probes,
  [DATA] = run_data,
  [AGAIN] = run_data,
  [CALLER_RESETS] = run_data,
  [RUN] = run_until,
  [QUERY] = run_message,
  [ACCEPT] = run_packet,
  [ANSWER] = run_packet,
  [ANSWER_REQUEST] = run_packet,
  [RESET] = run_packet,
  [RETURN] = run_packet,
  [ANSWER_DATA] = run_packet,
  [HELLO_READY] = run_hello,
  [HELLO_DRAINING] = run_hello,
  [HELLO_KNOWN_LONG] = run_hello,
  [HELLO_KNOWN_LITTLE] = run_hello,
  [HELLO_DOUBTFUL] = run_hello,
  [HELLO_ABSENT] = run_hello,
  [STOP] = run_stop,
  [EXPECT_ENDED] = expect_ended,
  [EXPECT_FINISHED] = expect_finished,
  [EXPECT_FAILED] = expect_failed,
  [HELLO_OTHER_SERVICE] = run_hello,
  [HELLO_OTHER_PORT] = run_hello,
  [EXPECT_TO_UPSTREAM] = expect_to_upstream,
  [EXPECT_TO_CALLER] = expect_to_caller,
  [EXPECT_REPLY] = expect_reply,
  [EXPECT_NO_REPLY] = expect_no_reply,
  [EXPECT_BYTES] = expect_bytes,
  [EXPECT_ANSWERS] = expect_answers,
  [EXPECT_MESSAGES] = expect_messages,
  [EXPECT_PEER] = expect_peer,
  [QUERY_MANY] = run_query_many,
  [PROBE_BY_AGENT] = run_probe_by_agent,
  [SPREAD] = run_spread,
  [EXPECT_REASON] = expect_reason,
  [EXPECT_UTILISATION] = expect_utilisation,
  [EXPECT_REFUSES] = expect_refuses,
};

static void
run_agent_case (gconstpointer data)
{
  const struct agent_case *test = data;
  struct galena_plane_options options
      = { .role = GALENA_ROLE_AGENT,
          .seed = 1,
          .self = { AGENT_IP, PEER_PORT },
          .flows = 64,
          .messages = 64,
          .flow_idle_ms = 60000,
          .service = galena_service_key_of ("first"),
          .upstream_port = UPSTREAM_PORT,
          .first_start = test->first_start,
          .load_control = test->load_control,
          .started_unix_ms = 1000 };
  struct run run = { 0 };

  g_assert_cmpint (galena_plane_create (&options, &run.plane), ==, GALENA_OK);
  for (const struct step *step = test->steps; step->kind != END; step++)
    {
      run.now.ms = step->at_ms;
      RUNNERS[step->kind](&run, step);
      run.last_step_ms = step->at_ms;
    }
  galena_plane_destroy (run.plane);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    g_test_add_data_func (CASES[i].name, &CASES[i], run_agent_case);
  for (size_t i = 0; i < G_N_ELEMENTS (HEALTH_CASES); i++)
    g_test_add_data_func (HEALTH_CASES[i].name, &HEALTH_CASES[i],
                          run_agent_case);
  return g_test_run ();
}
