/*
 * Rollouts: a lease, fencing numbers, the gate before each backend server and the bound on
 * concurrent loads. Two holders in turn drive two replicas with at most one load at once. A holder
 * may stop or be late at any point and does not learn that its lease has lapsed; orders and their
 * answers are delayed and answers get lost; agents restart; replicas seem unreachable.
 *
 * What a holder knows about a replica follows replica.pml, which is generated from the chart that
 * the code interprets. Time appears in one place: load_must_have_ended fires only when no order is
 * on its way to the replica and its engine does not load, which is what the code's wait is for.
 */
#include "replica.pml"

#define REPLICAS 2
#define HOLDERS 2
#define LIMIT 1
#define FAULTS 1  /* restarts of agents, failed loads and replicas that seem unreachable, together */

#define NOTHING 0
#define SETTLED 1
#define LOADING 2

#define ACCEPTED 1
#define REFUSED 2

byte lease;                 /* fencing number of the lease's holder, 0 for none */
byte granted;               /* highest fencing number granted */
byte loads;                 /* engines that load now */

bool loading[REPLICAS];     /* engine */
bool swapped[REPLICAS];     /* engine serves the target version */

byte highest[REPLICAS];     /* gate */
byte reading[REPLICAS];     /* gate: holder as last read from the service, 0 for none */
byte faults;

typedef Link { bool order; byte answer; }
typedef Session { byte known[REPLICAS]; bool raised[REPLICAS]; byte seen[REPLICAS]; Link link[REPLICAS]; }
Session sessions[HOLDERS];

inline raise_gate(r, fence) {
  if
  :: highest[r] < fence -> highest[r] = fence
  :: else -> skip
  fi
}

/* carry_out gives an order to the engine: done, or under way, is accepted without effect. */
inline carry_out(r, fence) {
  if
  :: !loading[r] && !swapped[r] ->
     loading[r] = true;
     loads++;
     assert(loads <= LIMIT)
  :: else -> skip
  fi
}

/* deliver is what the agent of replica r does with the order of the holder with a fencing number. */
inline deliver(r, fence, pass) {
  pass = false;
#ifdef MUTANT_OPEN_GATE
  pass = true;
#else
  if
  :: fence < highest[r] -> skip
  :: else ->
     if
     :: reading[r] == fence -> pass = true  /* the reading may be old */
     :: else ->
        reading[r] = lease;
        raise_gate(r, lease);
        pass = (fence == lease && fence >= highest[r])
     fi
  fi;
#endif
  if
  :: pass -> carry_out(r, fence)
  :: else -> skip
  fi
}

proctype Agent(byte r) {
  byte h;
  bool pass;
  do
  :: atomic { loading[r] -> loading[r] = false; loads--;
       if
       :: swapped[r] = true
       :: faults < FAULTS -> faults++    /* the load failed */
       fi }
  :: atomic { faults < FAULTS -> faults++; highest[r] = 0; reading[r] = 0 }
  :: atomic { sessions[0].link[r].order -> h = 0; sessions[h].link[r].order = false; deliver(r, 1, pass);
       if
       :: pass -> sessions[h].link[r].answer = ACCEPTED
       :: !pass -> sessions[h].link[r].answer = REFUSED
       :: true -> sessions[h].link[r].answer = NOTHING   /* the answer is lost */
       fi; pass = false; h = 0 }
  :: atomic { sessions[1].link[r].order -> h = 1; sessions[h].link[r].order = false; deliver(r, 2, pass);
       if
       :: pass -> sessions[h].link[r].answer = ACCEPTED
       :: !pass -> sessions[h].link[r].answer = REFUSED
       :: true -> sessions[h].link[r].answer = NOTHING
       fi; pass = false; h = 0 }
  od
}

/* The lease is granted to one holder after the other and lapses at any time. */
proctype Service() {
  do
  :: atomic { lease == 0 && granted < HOLDERS -> granted++; lease = granted }
  :: atomic { lease != 0 -> lease = 0 }
  od
}

inline counted(me, count) {
  count = 0;
  if
  :: replica_is_loading(me.known[0]) -> count++
  :: else -> skip
  fi;
  if
  :: replica_is_loading(me.known[1]) -> count++
  :: else -> skip
  fi
}

#define me sessions[h]

/* Drive is what holder h does about replica r. */
proctype Drive(byte h; byte r) {
  byte count;
  bool allowed;
  granted > h;
  do
  :: /* survey: the gate sees our fencing number */
     atomic { !me.raised[r] ->
#ifndef MUTANT_NO_SURVEY
       raise_gate(r, h + 1);
#endif
       me.raised[r] = true }
  :: /* status: taken now, heard later */
     atomic { me.raised[r] && me.seen[r] == NOTHING ->
#ifndef MUTANT_NO_SURVEY
       if
       :: highest[r] < h + 1 -> me.raised[r] = false   /* the agent has restarted */
       :: else ->
#endif
          if
          :: loading[r] -> me.seen[r] = LOADING
          :: else -> me.seen[r] = SETTLED
          fi
#ifndef MUTANT_NO_SURVEY
       fi
#endif
     }
  :: atomic { me.seen[r] != NOTHING ->
       if
       :: me.seen[r] == LOADING -> replica_fire(me.known[r], REPLICA_EVENT_OBSERVE_LOADING, allowed)
       :: else -> replica_fire(me.known[r], REPLICA_EVENT_OBSERVE_SETTLED, allowed)
       fi;
       me.seen[r] = NOTHING; allowed = false }
  :: /* order */
     atomic { me.known[r] == REPLICA_SETTLED && !swapped[r] && !me.link[r].order && me.link[r].answer == NOTHING ->
       counted(me, count);
       if
       :: count < LIMIT ->
          replica_fire(me.known[r], REPLICA_EVENT_ORDER, allowed);
          assert(allowed);
#ifndef MUTANT_LATE_OBSERVATION
          me.seen[r] = NOTHING;
#endif
          me.link[r].order = true
       :: else -> skip
       fi; count = 0; allowed = false }
  :: atomic { me.link[r].answer != NOTHING ->
       if
       :: me.link[r].answer == ACCEPTED -> replica_fire(me.known[r], REPLICA_EVENT_ACCEPT, allowed)
       :: else -> replica_fire(me.known[r], REPLICA_EVENT_REFUSE, allowed)
       fi;
#ifndef MUTANT_LATE_OBSERVATION
       me.seen[r] = NOTHING;
#endif
       me.link[r].answer = NOTHING; allowed = false }
  :: atomic { faults < FAULTS -> faults++; replica_fire(me.known[r], REPLICA_EVENT_MISS, allowed); allowed = false }
  :: atomic { !loading[r] && !sessions[0].link[r].order && !sessions[1].link[r].order &&
              me.link[r].answer == NOTHING &&
              (me.known[r] == REPLICA_ORDERED || me.known[r] == REPLICA_MISSING) ->
       replica_fire(me.known[r], REPLICA_EVENT_LOAD_MUST_HAVE_ENDED, allowed); me.seen[r] = NOTHING; allowed = false }
  od
}

init {
  atomic {
#ifdef MUTANT_UNKNOWN_IS_SETTLED
    sessions[1].known[0] = REPLICA_SETTLED;
    sessions[1].known[1] = REPLICA_SETTLED;
#endif
    run Service();
    run Agent(0); run Agent(1);
    run Drive(0, 0); run Drive(0, 1); run Drive(1, 0); run Drive(1, 1)
  }
}
