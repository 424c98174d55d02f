/*
 * At most once and true refusals for one idempotency key.
 *
 * Two submissions of one request arrive at two entries. Each claims the key by compare-and-swap,
 * dispatches its attempt when the claim is its own, asks about the bound attempt otherwise, and
 * rebinds only after an answer that the bound attempt has not run. Messages may be lost, delayed
 * without bound and copied: once sent, a message can be received any number of times or never.
 * Agents refuse at will, restart with a new incarnation and an empty table, and their calls to the
 * backend server may take effect after they are gone. Answers of the key-value service may be lost.
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

/* Each submission can create its first attempt; the others are for rebinds. */
#define MAY_REBIND (created + SUBMISSIONS - arrived < ATTEMPTS)

/* The claim of the key in the key-value service. */
byte claim = NONE;

/* Attempts: the agent and incarnation that may run each. */
byte created = 0;
byte arrived = 0;
byte target[ATTEMPTS];
byte bound[ATTEMPTS];

/* Messages that were sent and may be received at any time. */
bool dispatched[ATTEMPTS];
bool asked[ATTEMPTS];
bool on_wire[ATTEMPTS];
/* Answers NOT_RUN that entries may read. */
bool said_not_run[ATTEMPTS];

/* What happened at the backend servers. */
bool executed[ATTEMPTS];
byte executions = 0;

/* Scratch of one atomic step. */
hidden byte allowed;

byte incarnation[AGENTS];
byte table[AGENTS * ATTEMPTS];

#define STATE(g, a) table[(g) * ATTEMPTS + (a)]

inline say_not_run(a) {
  said_not_run[a] = true;
  assert(!executed[a] && !on_wire[a])
}

inline create(a) {
  atomic {
    a = created;
    if
    :: target[a] = 0
    :: target[a] = 1
    fi;
    bound[a] = incarnation[target[a]];
    created++
  }
}

/* The claim, or a rebind when expect is an attempt. found is the binding after the swap. */
inline swap(expect, a, found) {
  d_step {
    if
    :: claim == expect -> claim = a
    :: else -> skip
    fi;
    found = claim
  }
}

/*
 * One step from the choice of a replica to the messages: nobody knows the attempt before the swap,
 * and a message that is received late stands for one that was sent late. An entry that is done with
 * its request, whatever it told the caller, just stops.
 */
proctype Entry() {
  byte mine = NONE, found = NONE, expect = NONE;

  atomic { create(mine); arrived++ };
again:
  atomic {
    if
    :: swap(expect, mine, found)
    :: swap(expect, mine, found);          /* the answer is lost: repeat the swap, which reads */
#ifdef MUTANT_UNREAD_CLAIM
       found = mine
#else
       swap(expect, mine, found)
#endif
    :: swap(expect, mine, found); goto end /* the answer is lost and nobody reads it */
    :: goto end                            /* the swap never reached the service */
    fi;
#ifdef MUTANT_NO_CLAIM
    found = mine;
#endif
    if
    :: found == mine -> dispatched[mine] = true
    :: else -> skip
    fi;
    asked[found] = true
  };
#ifdef MUTANT_UNPROVEN_REBIND
  atomic { MAY_REBIND -> expect = found; create(mine) };
#else
  atomic { said_not_run[found] && MAY_REBIND -> expect = found; create(mine) };
#endif
  goto again;
end:
  skip
}

/* Applies an event of an entry or of the agent itself to an attempt. */
inline fire(me, a, event) {
  attempt_fire(STATE(me, a), event, allowed);
  if
  :: attempt_is_not_run(STATE(me, a)) -> say_not_run(a)
  :: else -> skip
  fi
}

inline receive_dispatch(me, a) {
  if
#ifdef MUTANT_ANY_INCARNATION
  :: true ->
#else
  :: bound[a] == incarnation[me] ->
#endif
     if
     :: fire(me, a, ATTEMPT_EVENT_DISPATCH)
#ifdef MUTANT_REFUSAL_WITHOUT_POISON
     :: STATE(me, a) == ATTEMPT_UNSEEN -> say_not_run(a)
#else
     :: fire(me, a, ATTEMPT_EVENT_REFUSE)
#endif
     fi
  :: else -> skip
  fi
}

inline receive_ask(me, a) {
  if
  :: bound[a] == incarnation[me] -> fire(me, a, ATTEMPT_EVENT_ASK)
#ifdef MUTANT_RESTART_SAYS_NOT_RUN
  :: bound[a] != incarnation[me] -> say_not_run(a)
#endif
  :: else -> skip
  fi
}

/* What an agent may do about attempt a. A QUEUED attempt that starts goes to the backend server,
 * unless no connection could be opened. */
#define STEPS(me, a) \
  :: atomic { target[a] == me && dispatched[a] -> receive_dispatch(me, a) } \
  :: atomic { target[a] == me && asked[a] -> receive_ask(me, a) } \
  :: atomic { target[a] == me && STATE(me, a) == ATTEMPT_QUEUED -> start(me, a) } \
  :: atomic { target[a] == me && STATE(me, a) == ATTEMPT_QUEUED -> fire(me, a, ATTEMPT_EVENT_REFUSE) } \
  :: atomic { target[a] == me && STATE(me, a) == ATTEMPT_QUEUED -> fire(me, a, ATTEMPT_EVENT_CANCEL) } \
  :: atomic { target[a] == me && STATE(me, a) == ATTEMPT_RUNNING -> fire(me, a, ATTEMPT_EVENT_CANCEL) } \
  :: atomic { target[a] == me && attempt_is_running(STATE(me, a)) && executed[a] -> \
              fire(me, a, ATTEMPT_EVENT_FINISH) }

inline start(me, a) {
  attempt_fire(STATE(me, a), ATTEMPT_EVENT_START, allowed);
  if
  :: allowed -> on_wire[a] = true
  :: allowed -> fire(me, a, ATTEMPT_EVENT_UNSENT)
  :: else -> skip
  fi
}

proctype Agent(byte me) {
  byte restarts = 0;

end:
  do
  STEPS(me, 0)
  STEPS(me, 1)
  STEPS(me, 2)
  :: atomic {
       restarts < MAX_RESTARTS ->
       restarts++;
       incarnation[me]++;
       STATE(me, 0) = ATTEMPT_UNSEEN;
       STATE(me, 1) = ATTEMPT_UNSEEN;
       STATE(me, 2) = ATTEMPT_UNSEEN
     }
  od
}

#define EFFECT(a) \
  :: atomic { on_wire[a] -> on_wire[a] = false; take_effect(a) }

inline take_effect(a) {
  assert(!said_not_run[a]);
  executed[a] = true;
  executions++;
  assert(executions <= 1)
}

/* The backend servers: each call that was sent takes effect once, some time or never. */
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
