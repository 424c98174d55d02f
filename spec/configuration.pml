/*
 * Configurations: operators race to change the root by compare-and-swap while answers get lost; a
 * few processes read the root, all pull versions from each other, and a restarted process serves
 * only after it has confirmed its version from the service or, in an outage, as the highest that
 * peers of two failure domains serve with.
 *
 * The state of a process follows configuration_chart.pml, which is generated from the chart that
 * the code interprets.
 */
#include "configuration_chart.pml"

#define NODES 4
#define DOMAINS 3
#define RESTARTS 2
#define NOBODY 255
#define BASE 1              /* version on which both operators build */
#define NONE 99

#ifdef MUTANT_ONE_DOMAIN
#define NEEDED 1
#else
#define NEEDED 2
#endif

byte version = BASE;        /* of the root */
bool up = true;             /* the service answers */
byte winner = NOBODY;       /* who made the change on top of the base version */

byte held[NODES];           /* version that a process holds */
byte known[NODES];          /* state of the chart */
byte restarts;

/* Nodes 0 and 1 share a failure domain. */
#define domain(i) ((i) <= 1 -> 0 : (i) - 1)

inline adopt(i, v) {
  if
  :: v > held[i] -> held[i] = v; configuration_fire(known[i], CONFIGURATION_EVENT_ADOPT, allowed)
#ifdef MUTANT_TAKES_ANY_VERSION
  :: v < held[i] && v > 0 -> held[i] = v
#endif
  :: else -> skip
  fi
}

/* lowest sets v to the lowest version that a process of domain d serves with, NONE without one. */
inline lowest(d, v) {
  v = NONE;
  p = 0;
  do
  :: p < NODES ->
     if
     :: domain(p) == d && configuration_is_serving(known[p]) && held[p] < v -> v = held[p]
     :: else -> skip
     fi;
     p++
  :: else -> break
  od;
  p = 0
}

#define serves(i) (configuration_is_serving(known[i]) -> 1 : 0)
#define serving() (serves(0) + serves(1) + serves(2) + serves(3))

/* floors sets least to the lowest version that any process serves with, and second to the second
 * lowest of the failure domains' lowest versions, which the highest answer of two domains can't be
 * below. Both are 0 without such a version. */
inline floors(least, second) {
  lowest(0, a); lowest(1, b); lowest(2, c);
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
  alone = (serving() == NODES - 1);
  least = (a == NONE -> 0 : a);
  second = (b == NONE -> 0 : b);
  a = 0; b = 0; c = 0; q = 0
}

/* ask takes the answer of process k to process i, or none. */
inline ask(k) {
  if
  :: k != i &&
#ifndef MUTANT_UNCONFIRMED_ANSWERS
     configuration_is_serving(known[k]) &&
#endif
     held[k] > 0 ->
     if
     :: highest < held[k] -> highest = held[k]
     :: else -> skip
     fi;
     if
     :: !heard[domain(k)] -> heard[domain(k)] = true; answered++
     :: else -> skip
     fi
  :: skip
  fi
}

/* decide confirms the version held when the answers allow it, and pulls otherwise. */
inline decide() {
  if
  :: answered >= NEEDED && held[i] >= highest && !configuration_is_serving(known[i]) ->
     configuration_fire(known[i], CONFIGURATION_EVENT_CONFIRM, allowed);
     assert(allowed);
     assert(held[i] >= least);
     /* Without another start-up beside this one, no domain can join with a lower version. */
     assert(!alone || held[i] >= second)
  :: answered >= NEEDED && held[i] < highest -> adopt(i, highest) /* pulled; asked again later */
  :: else -> skip
  fi;
  highest = 0; answered = 0; least = 0; second = 0; alone = false; allowed = false;
  heard[0] = false; heard[1] = false; heard[2] = false
}

proctype Node(byte i) {
  byte j, highest, answered, least, second, before;
  byte a, b, c, p, q, phase;
  bool allowed, alone, heard[DOMAINS];
  do
  :: /* read the root; what the service names is confirmed */
     atomic { up && version > 0 && (held[i] < version || !configuration_is_serving(known[i])) ->
       before = held[i];
       adopt(i, version);
       configuration_fire(known[i], CONFIGURATION_EVENT_CONFIRM, allowed);
       assert(allowed && held[i] >= before);
       before = 0; allowed = false }
  :: /* pull from a peer */
     atomic {
       if
       :: j = 0 :: j = 1 :: j = 2 :: j = 3
       fi;
       if
       :: j != i && held[j] != held[i] ->
          before = held[i];
          adopt(i, held[j]);
          assert(held[i] >= before)
       :: else -> skip
       fi;
       before = 0; j = 0; allowed = false }
  :: /* restart */
     atomic { restarts < RESTARTS -> restarts++; held[i] = 0; known[i] = CONFIGURATION_EMPTY }
  :: /* start-up in an outage: node 0 asks two peers, later the other two, and later decides */
     atomic { i == 0 && !up && !configuration_is_serving(known[i]) && phase == 0 ->
       floors(least, second);
       ask(0); ask(1);
       phase = 1 }
  :: atomic { phase == 1 -> ask(2); ask(3); phase = 2 }
  :: atomic { phase == 2 -> decide(); phase = 0 }
  :: /* the others do it at once */
     atomic { i != 0 && !up && !configuration_is_serving(known[i]) ->
       floors(least, second);
       ask(0); ask(1); ask(2); ask(3);
       decide() }
  od
}

proctype Operator(byte id) {
  do
  :: atomic { up && version == BASE ->
       winner = id; version++;
       if
       :: break
       :: skip                           /* the answer is lost: tried again */
       fi }
  :: atomic { up && version != BASE ->
#ifndef MUTANT_BLIND_RETRY
       if
       :: winner == id -> break          /* the change id is in the root: made */
       :: else -> assert(winner != id); break
       fi
#else
       assert(winner != id); break       /* the swap failed: taken for a lost race */
#endif
     }
  od
}

/* An outage begins at any time. */
proctype Outage() { up = false }

init {
  atomic {
    held[0] = BASE; held[1] = BASE; held[2] = BASE; held[3] = BASE;
    known[0] = CONFIGURATION_IN_FORCE; known[1] = CONFIGURATION_IN_FORCE;
    known[2] = CONFIGURATION_IN_FORCE; known[3] = CONFIGURATION_UNCONFIRMED;
    run Outage(); run Operator(0); run Operator(1);
    run Node(0); run Node(1); run Node(2); run Node(3)
  }
}
