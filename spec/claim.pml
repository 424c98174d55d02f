/*
 * At-most-once execution and correct refusals for one idempotency key.
 *
 * Two submissions of one request arrive at two entries. Each entry claims the key by
 * compare-and-swap, dispatches its attempt if the claim is bound to it, and queries the bound
 * attempt. It rebinds the claim only after a reply that the bound attempt has not run. Messages may
 * be lost, delayed without bound and duplicated: once sent, a message can be received any number of
 * times or never. Agents may refuse at any time, and restart with a new incarnation and an empty run
 * table; a call to the backend server may take effect after the agent that sent it has restarted.
 * Replies of the key-value service may be lost.
 *
 * The transitions of an attempt come from attempt.pml, which is generated from the chart file that
 * the agent interprets. Each macro MUTANT_* removes one mechanism; Spin must then find a violation.
 */
#include "attempt.pml"

#define AGENTS 2
#define ATTEMPTS 3
#define MAX_RESTARTS 1
#define SUBMISSIONS 2
#define NONE 255

/* Reserves one attempt for each submission that has not arrived yet; rebinds may use only the others. */
#define MAY_REBIND (attempts_created + SUBMISSIONS - submissions_arrived < ATTEMPTS)

/* The attempt to which the key-value service has the key bound; NONE before the first claim. */
byte claim = NONE;

/* Attempts: the agent, and its incarnation, that may run each. */
byte attempts_created = 0;
byte submissions_arrived = 0;
byte target_agent[ATTEMPTS];
byte bound_incarnation[ATTEMPTS];

/* Messages that were sent and may be received at any time. call_in_flight is the call to the backend
 * server. */
bool dispatch_sent[ATTEMPTS];
bool query_sent[ATTEMPTS];
bool call_in_flight[ATTEMPTS];
/* Replies NOT_RUN that entries may read. */
bool not_run_reported[ATTEMPTS];

/* What happened at the backend servers. */
bool executed[ATTEMPTS];
byte executions = 0;

/* Result of a transition, used within one atomic step only; hidden keeps it out of the state vector. */
hidden byte allowed;

byte incarnation[AGENTS];
byte run_table[AGENTS * ATTEMPTS];

#define STATE(g, a) run_table[(g) * ATTEMPTS + (a)]

inline report_not_run(a) {
  not_run_reported[a] = true;
  assert(!executed[a] && !call_in_flight[a])
}

inline create_attempt(a) {
  atomic {
    a = attempts_created;
    if
    :: target_agent[a] = 0
    :: target_agent[a] = 1
    fi;
    bound_incarnation[a] = incarnation[target_agent[a]];
    attempts_created++
  }
}

/* Claims the key when expected is NONE, rebinds it when expected is an attempt. bound_attempt is the
 * binding after the swap. */
inline compare_and_swap(expected, a, bound_attempt) {
  d_step {
    if
    :: claim == expected -> claim = a
    :: else -> skip
    fi;
    bound_attempt = claim
  }
}

/*
 * The swap and the messages after it are one step: no other process has the attempt before the swap,
 * and a message that is received late also covers one that is sent late. An entry that has finished
 * its request stops, regardless of its reply to the caller.
 */
proctype Entry() {
  byte own_attempt = NONE, bound_attempt = NONE, expected = NONE;

  atomic { create_attempt(own_attempt); submissions_arrived++ };
claim_key:
  atomic {
    if
    :: compare_and_swap(expected, own_attempt, bound_attempt)
    :: compare_and_swap(expected, own_attempt, bound_attempt); /* the reply is lost: retry, which reads the claim */
#ifdef MUTANT_UNREAD_CLAIM
       bound_attempt = own_attempt
#else
       compare_and_swap(expected, own_attempt, bound_attempt)
#endif
    :: compare_and_swap(expected, own_attempt, bound_attempt); goto end /* the reply is lost and the entry stops */
    :: goto end                            /* the swap did not reach the service */
    fi;
#ifdef MUTANT_NO_CLAIM
    bound_attempt = own_attempt;
#endif
    if
    :: bound_attempt == own_attempt -> dispatch_sent[own_attempt] = true
    :: else -> skip
    fi;
    query_sent[bound_attempt] = true
  };
#ifdef MUTANT_UNPROVEN_REBIND
  atomic { MAY_REBIND -> expected = bound_attempt; create_attempt(own_attempt) };
#else
  atomic { not_run_reported[bound_attempt] && MAY_REBIND -> expected = bound_attempt; create_attempt(own_attempt) };
#endif
  goto claim_key;
end:
  skip
}

/* Applies an event to an attempt; the event comes from an entry or from the agent itself. */
inline fire(agent, a, event) {
  attempt_fire(STATE(agent, a), event, allowed);
  if
  :: attempt_is_not_run(STATE(agent, a)) -> report_not_run(a)
  :: else -> skip
  fi
}

inline receive_dispatch(agent, a) {
  if
#ifdef MUTANT_ANY_INCARNATION
  :: true ->
#else
  :: bound_incarnation[a] == incarnation[agent] ->
#endif
     if
     :: fire(agent, a, ATTEMPT_EVENT_DISPATCH)
#ifdef MUTANT_REFUSAL_WITHOUT_POISON
     :: STATE(agent, a) == ATTEMPT_UNSEEN -> report_not_run(a)
#else
     :: fire(agent, a, ATTEMPT_EVENT_REFUSE)
#endif
     fi
  :: else -> skip
  fi
}

inline receive_query(agent, a) {
  if
  :: bound_incarnation[a] == incarnation[agent] -> fire(agent, a, ATTEMPT_EVENT_ASK)
#ifdef MUTANT_RESTART_SAYS_NOT_RUN
  :: bound_incarnation[a] != incarnation[agent] -> report_not_run(a)
#endif
  :: else -> skip
  fi
}

/* The steps that an agent can take for attempt a. An attempt that starts from QUEUED is sent to the
 * backend server, unless no connection can be opened. */
#define AGENT_STEPS(agent, a) \
  :: atomic { target_agent[a] == agent && dispatch_sent[a] -> receive_dispatch(agent, a) } \
  :: atomic { target_agent[a] == agent && query_sent[a] -> receive_query(agent, a) } \
  :: atomic { target_agent[a] == agent && STATE(agent, a) == ATTEMPT_QUEUED -> start(agent, a) } \
  :: atomic { target_agent[a] == agent && STATE(agent, a) == ATTEMPT_QUEUED -> \
              fire(agent, a, ATTEMPT_EVENT_REFUSE) } \
  :: atomic { target_agent[a] == agent && STATE(agent, a) == ATTEMPT_QUEUED -> \
              fire(agent, a, ATTEMPT_EVENT_CANCEL) } \
  :: atomic { target_agent[a] == agent && STATE(agent, a) == ATTEMPT_RUNNING -> \
              fire(agent, a, ATTEMPT_EVENT_CANCEL) } \
  :: atomic { target_agent[a] == agent && attempt_is_running(STATE(agent, a)) && executed[a] -> \
              fire(agent, a, ATTEMPT_EVENT_FINISH) }

inline start(agent, a) {
  attempt_fire(STATE(agent, a), ATTEMPT_EVENT_START, allowed);
  if
  :: allowed -> call_in_flight[a] = true
  :: allowed -> fire(agent, a, ATTEMPT_EVENT_UNSENT)
  :: else -> skip
  fi
}

proctype Agent(byte agent) {
  byte restarts = 0;

end:
  do
  AGENT_STEPS(agent, 0)
  AGENT_STEPS(agent, 1)
  AGENT_STEPS(agent, 2)
  :: atomic {
       restarts < MAX_RESTARTS ->
       restarts++;
       incarnation[agent]++;
       STATE(agent, 0) = ATTEMPT_UNSEEN;
       STATE(agent, 1) = ATTEMPT_UNSEEN;
       STATE(agent, 2) = ATTEMPT_UNSEEN
     }
  od
}

#define EFFECT(a) \
  :: atomic { call_in_flight[a] -> call_in_flight[a] = false; take_effect(a) }

inline take_effect(a) {
  assert(!not_run_reported[a]);
  executed[a] = true;
  executions++;
  assert(executions <= 1)
}

/* The backend servers: each call that was sent takes effect once, at any later time, or never. */
proctype Backend() {
end:
  do
  EFFECT(0)
  EFFECT(1)
  EFFECT(2)
  od
}

init {
  atomic {
    run Agent(0);
    run Agent(1);
    run Backend();
    run Entry();
    run Entry()
  }
}
