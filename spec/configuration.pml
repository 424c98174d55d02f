/*
 * Propagation and confirmation of configuration versions. Two operators concurrently change the root
 * by compare-and-swap, and replies to them may be lost. Processes read the root and pull versions from
 * each other. A restarted process serves only after it has confirmed its version: from the service,
 * or in an outage by replies from peers of two failure domains, none of which serves a higher version.
 *
 * The state of a process follows configuration_chart.pml, which is generated from the chart that
 * the code interprets.
 */
#include "configuration_chart.pml"

#define NODES 4
#define DOMAINS 3
#define RESTARTS 2
#define NO_OPERATOR 255
#define BASE 1              /* version that both operators change */
#define NO_VERSION 99

#ifdef MUTANT_ONE_DOMAIN
#define DOMAINS_NEEDED 1
#else
#define DOMAINS_NEEDED 2
#endif

byte root_version = BASE;
bool service_up = true;       /* the service replies */
byte winner = NO_OPERATOR;    /* operator that changed the base version */

byte held_version[NODES];     /* version that a process holds, 0 for none */
byte chart_state[NODES];      /* state of a process in the chart */
byte restarts;

/* Nodes 0 and 1 share a failure domain. */
#define domain(i) ((i) <= 1 -> 0 : (i) - 1)

inline adopt(i, v) {
  if
  :: v > held_version[i] ->
     held_version[i] = v; configuration_fire(chart_state[i], CONFIGURATION_EVENT_ADOPT, allowed)
#ifdef MUTANT_TAKES_ANY_VERSION
  :: v < held_version[i] && v > 0 -> held_version[i] = v
#endif
  :: else -> skip
  fi
}

/* lowest_in_domain sets v to the lowest version that a process of domain d serves, and to NO_VERSION
 * if no process of the domain serves. */
inline lowest_in_domain(d, v) {
  v = NO_VERSION;
  p = 0;
  do
  :: p < NODES ->
     if
     :: domain(p) == d && configuration_is_serving(chart_state[p]) && held_version[p] < v -> v = held_version[p]
     :: else -> skip
     fi;
     p++
  :: else -> break
  od;
  p = 0
}

#define serves(i) (configuration_is_serving(chart_state[i]) -> 1 : 0)
#define serving_count() (serves(0) + serves(1) + serves(2) + serves(3))

/* serving_bounds sets lowest_serving to the lowest version that any process serves, and
 * second_lowest_domain to the second lowest of the failure domains' lowest versions, which is a lower
 * bound of the highest reply from two domains. Each is 0 without such a version. others_serve records
 * whether all other processes serve. */
inline serving_bounds(lowest_serving, second_lowest_domain) {
  lowest_in_domain(0, a); lowest_in_domain(1, b); lowest_in_domain(2, c);
  if
  :: a > b -> q = a; a = b; b = q
  :: else -> skip
  fi;
  if
  :: b > c -> q = b; b = c; c = q
  :: else -> skip
  fi;
  if
  :: a > b -> q = a; a = b; b = q
  :: else -> skip
  fi;
  others_serve = (serving_count() == NODES - 1);
  lowest_serving = (a == NO_VERSION -> 0 : a);
  second_lowest_domain = (b == NO_VERSION -> 0 : b);
  a = 0; b = 0; c = 0; q = 0
}

/* query_peer applies the reply of process k to process i, or none. */
inline query_peer(k) {
  if
  :: k != i &&
#ifndef MUTANT_UNCONFIRMED_ANSWERS
     configuration_is_serving(chart_state[k]) &&
#endif
     held_version[k] > 0 ->
     if
     :: highest_reply < held_version[k] -> highest_reply = held_version[k]
     :: else -> skip
     fi;
     if
     :: !domain_replied[domain(k)] -> domain_replied[domain(k)] = true; domains_replied++
     :: else -> skip
     fi
  :: skip
  fi
}

/* confirm_or_pull confirms the held version if enough domains replied and none with a higher version;
 * it pulls the highest version replied otherwise. */
inline confirm_or_pull() {
  if
  :: domains_replied >= DOMAINS_NEEDED && held_version[i] >= highest_reply &&
     !configuration_is_serving(chart_state[i]) ->
     configuration_fire(chart_state[i], CONFIGURATION_EVENT_CONFIRM, allowed);
     assert(allowed);
     assert(held_version[i] >= lowest_serving);
     /* When no other process is starting, no domain can start serving with a lower version meanwhile. */
     assert(!others_serve || held_version[i] >= second_lowest_domain)
  :: domains_replied >= DOMAINS_NEEDED && held_version[i] < highest_reply ->
     adopt(i, highest_reply) /* confirmed by a later query */
  :: else -> skip
  fi;
  highest_reply = 0; domains_replied = 0; lowest_serving = 0; second_lowest_domain = 0;
  others_serve = false; allowed = false;
  domain_replied[0] = false; domain_replied[1] = false; domain_replied[2] = false
}

proctype Node(byte i) {
  byte peer, highest_reply, domains_replied, lowest_serving, second_lowest_domain, version_before;
  byte a, b, c, p, q, startup_phase;
  bool allowed, others_serve, domain_replied[DOMAINS];
  do
  :: /* read the root; a version read from the service is confirmed */
     atomic { service_up && root_version > 0 &&
              (held_version[i] < root_version || !configuration_is_serving(chart_state[i])) ->
       version_before = held_version[i];
       adopt(i, root_version);
       configuration_fire(chart_state[i], CONFIGURATION_EVENT_CONFIRM, allowed);
       assert(allowed && held_version[i] >= version_before);
       version_before = 0; allowed = false }
  :: /* pull from a peer */
     atomic {
       if
       :: peer = 0 :: peer = 1 :: peer = 2 :: peer = 3
       fi;
       if
       :: peer != i && held_version[peer] != held_version[i] ->
          version_before = held_version[i];
          adopt(i, held_version[peer]);
          assert(held_version[i] >= version_before)
       :: else -> skip
       fi;
       version_before = 0; peer = 0; allowed = false }
  :: /* restart */
     atomic { restarts < RESTARTS -> restarts++; held_version[i] = 0; chart_state[i] = CONFIGURATION_EMPTY }
  :: /* start-up in an outage: node 0 queries node 1, then nodes 2 and 3, then decides, in separate steps */
     atomic { i == 0 && !service_up && !configuration_is_serving(chart_state[i]) && startup_phase == 0 ->
       serving_bounds(lowest_serving, second_lowest_domain);
       query_peer(0); query_peer(1);
       startup_phase = 1 }
  :: atomic { startup_phase == 1 -> query_peer(2); query_peer(3); startup_phase = 2 }
  :: atomic { startup_phase == 2 -> confirm_or_pull(); startup_phase = 0 }
  :: /* the other nodes do all of this in one step */
     atomic { i != 0 && !service_up && !configuration_is_serving(chart_state[i]) ->
       serving_bounds(lowest_serving, second_lowest_domain);
       query_peer(0); query_peer(1); query_peer(2); query_peer(3);
       confirm_or_pull() }
  od
}

proctype Operator(byte id) {
  do
  :: atomic { service_up && root_version == BASE ->
       winner = id; root_version++;
       if
       :: break
       :: skip                           /* the reply is lost: retry */
       fi }
  :: atomic { service_up && root_version != BASE ->
#ifndef MUTANT_BLIND_RETRY
       if
       :: winner == id -> break          /* the change id is in the root: the change was made */
       :: else -> assert(winner != id); break
       fi
#else
       assert(winner != id); break       /* the swap failed: the operator assumes that another change won */
#endif
     }
  od
}

/* An outage starts at any time. */
proctype Outage() { service_up = false }

init {
  atomic {
    held_version[0] = BASE; held_version[1] = BASE; held_version[2] = BASE; held_version[3] = BASE;
    chart_state[0] = CONFIGURATION_IN_FORCE; chart_state[1] = CONFIGURATION_IN_FORCE;
    chart_state[2] = CONFIGURATION_IN_FORCE; chart_state[3] = CONFIGURATION_UNCONFIRMED;
    run Outage(); run Operator(0); run Operator(1);
    run Node(0); run Node(1); run Node(2); run Node(3)
  }
}
