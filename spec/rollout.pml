/*
 * Weight rollouts: a lease, fencing tokens, the fence check of each agent and the bound on
 * concurrent loads. Two lease holders, one after the other, drive two replicas with at most one load
 * at a time. A holder may stop or be late at any point and is not notified when its lease expires.
 * Orders and their replies may be delayed and replies lost, agents restart, and replicas seem
 * unreachable.
 *
 * A holder's view of a replica follows replica.pml, which is generated from the chart that the code
 * interprets. Time appears in one place: load_must_have_ended fires only when no order is on its way
 * to the replica and its engine does not load. The code waits to ensure this condition.
 */
#include "replica.pml"

#define REPLICAS 2
#define HOLDERS 2
#define LIMIT 1
#define FAULTS 1  /* restarts of agents, failed loads and replicas that seem unreachable, together */

#define NONE 0
#define SETTLED 1
#define LOADING 2

#define ACCEPTED 1
#define REFUSED 2

byte lease_fence;              /* fencing token of the lease holder, 0 for none */
byte highest_granted;          /* highest fencing token granted */
byte active_loads;             /* number of engines that are loading */

bool loading[REPLICAS];        /* the engine is loading */
bool serves_target[REPLICAS];  /* the engine serves the target version */

byte highest_fence[REPLICAS];  /* fence check: highest fencing token received or read */
byte holder_read[REPLICAS];    /* fence check: lease holder as last read from the service, 0 for none */
byte faults;

typedef Link { bool order; byte reply; }
typedef Session {
  byte replica_state[REPLICAS];
  bool fence_raised[REPLICAS];
  byte observation[REPLICAS];
  Link link[REPLICAS];
}
Session sessions[HOLDERS];

inline raise_fence(r, fence) {
  if
  :: highest_fence[r] < fence -> highest_fence[r] = fence
  :: else -> skip
  fi
}

/* start_load passes an order to the engine. An order whose load is done or in progress is accepted
 * and has no effect. */
inline start_load(r, fence) {
  if
  :: !loading[r] && !serves_target[r] ->
     loading[r] = true;
     active_loads++;
     assert(active_loads <= LIMIT)
  :: else -> skip
  fi
}

/* deliver_order models how the agent of replica r handles an order with a fencing token. */
inline deliver_order(r, fence, accepted) {
  accepted = false;
#ifdef MUTANT_OPEN_GATE
  accepted = true;
#else
  if
  :: fence < highest_fence[r] -> skip
  :: else ->
     if
     :: holder_read[r] == fence -> accepted = true  /* holder_read may be stale */
     :: else ->
        holder_read[r] = lease_fence;
        raise_fence(r, lease_fence);
        accepted = (fence == lease_fence && fence >= highest_fence[r])
     fi
  fi;
#endif
  if
  :: accepted -> start_load(r, fence)
  :: else -> skip
  fi
}

proctype Agent(byte r) {
  byte h;
  bool accepted;
  do
  :: atomic { loading[r] -> loading[r] = false; active_loads--;
       if
       :: serves_target[r] = true
       :: faults < FAULTS -> faults++    /* the load failed */
       fi }
  :: atomic { faults < FAULTS -> faults++; highest_fence[r] = 0; holder_read[r] = 0 }
  :: atomic { sessions[0].link[r].order ->
       h = 0; sessions[h].link[r].order = false; deliver_order(r, 1, accepted);
       if
       :: accepted -> sessions[h].link[r].reply = ACCEPTED
       :: !accepted -> sessions[h].link[r].reply = REFUSED
       :: true -> sessions[h].link[r].reply = NONE   /* the reply is lost */
       fi; accepted = false; h = 0 }
  :: atomic { sessions[1].link[r].order ->
       h = 1; sessions[h].link[r].order = false; deliver_order(r, 2, accepted);
       if
       :: accepted -> sessions[h].link[r].reply = ACCEPTED
       :: !accepted -> sessions[h].link[r].reply = REFUSED
       :: true -> sessions[h].link[r].reply = NONE
       fi; accepted = false; h = 0 }
  od
}

/* The lease is granted to one holder after the other and expires at any time. */
proctype Service() {
  do
  :: atomic { lease_fence == 0 && highest_granted < HOLDERS -> highest_granted++; lease_fence = highest_granted }
  :: atomic { lease_fence != 0 -> lease_fence = 0 }
  od
}

inline count_loads(session, count) {
  count = 0;
  if
  :: replica_is_loading(session.replica_state[0]) -> count++
  :: else -> skip
  fi;
  if
  :: replica_is_loading(session.replica_state[1]) -> count++
  :: else -> skip
  fi
}

#define session sessions[h]

/* Drive models how lease holder h updates replica r. */
proctype Drive(byte h; byte r) {
  byte count;
  bool allowed;
  highest_granted > h;
  do
  :: /* initial scan: the fence check receives the holder's fencing token */
     atomic { !session.fence_raised[r] ->
#ifndef MUTANT_NO_SURVEY
       raise_fence(r, h + 1);
#endif
       session.fence_raised[r] = true }
  :: /* status: sampled here, received in a later step */
     atomic { session.fence_raised[r] && session.observation[r] == NONE ->
#ifndef MUTANT_NO_SURVEY
       if
       :: highest_fence[r] < h + 1 -> session.fence_raised[r] = false   /* the agent has restarted */
       :: else ->
#endif
          if
          :: loading[r] -> session.observation[r] = LOADING
          :: else -> session.observation[r] = SETTLED
          fi
#ifndef MUTANT_NO_SURVEY
       fi
#endif
     }
  :: atomic { session.observation[r] != NONE ->
       if
       :: session.observation[r] == LOADING ->
          replica_fire(session.replica_state[r], REPLICA_EVENT_OBSERVE_LOADING, allowed)
       :: else -> replica_fire(session.replica_state[r], REPLICA_EVENT_OBSERVE_SETTLED, allowed)
       fi;
       session.observation[r] = NONE; allowed = false }
  :: /* order */
     atomic { session.replica_state[r] == REPLICA_SETTLED && !serves_target[r] &&
              !session.link[r].order && session.link[r].reply == NONE ->
       count_loads(session, count);
       if
       :: count < LIMIT ->
          replica_fire(session.replica_state[r], REPLICA_EVENT_ORDER, allowed);
          assert(allowed);
#ifndef MUTANT_LATE_OBSERVATION
          session.observation[r] = NONE;
#endif
          session.link[r].order = true
       :: else -> skip
       fi; count = 0; allowed = false }
  :: atomic { session.link[r].reply != NONE ->
       if
       :: session.link[r].reply == ACCEPTED -> replica_fire(session.replica_state[r], REPLICA_EVENT_ACCEPT, allowed)
       :: else -> replica_fire(session.replica_state[r], REPLICA_EVENT_REFUSE, allowed)
       fi;
#ifndef MUTANT_LATE_OBSERVATION
       session.observation[r] = NONE;
#endif
       session.link[r].reply = NONE; allowed = false }
  :: atomic { faults < FAULTS ->
       faults++; replica_fire(session.replica_state[r], REPLICA_EVENT_MISS, allowed); allowed = false }
  :: atomic { !loading[r] && !sessions[0].link[r].order && !sessions[1].link[r].order &&
              session.link[r].reply == NONE &&
              (session.replica_state[r] == REPLICA_ORDERED || session.replica_state[r] == REPLICA_MISSING) ->
       replica_fire(session.replica_state[r], REPLICA_EVENT_LOAD_MUST_HAVE_ENDED, allowed);
       session.observation[r] = NONE; allowed = false }
  od
}

init {
  atomic {
#ifdef MUTANT_UNKNOWN_IS_SETTLED
    sessions[1].replica_state[0] = REPLICA_SETTLED;
    sessions[1].replica_state[1] = REPLICA_SETTLED;
#endif
    run Service();
    run Agent(0); run Agent(1);
    run Drive(0, 0); run Drive(0, 1); run Drive(1, 0); run Drive(1, 1)
  }
}
