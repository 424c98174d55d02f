/*
 * One leader sends orders to an engine at a time, also when the metadata store comes back from an old copy.
 *
 * Two gateways acquire a leased key of the store, renew it, and order while they hold it by their own clocks. The store
 * may come back from a copy: its era rises, the revision goes back to that of the copy, and the lease is gone without
 * its holder knowing. A gateway learns of the new era from any answer; it then gives up a lease of an earlier era. A
 * leader orders only when the time of a lease has passed since it first saw the era. The fencing token is the pair of
 * era and revision at which the key was created; the engine refuses a lower one than it has seen.
 *
 * Time passes in ticks that all clocks see at once. A holder ends its lease one tick before the store does. Each macro
 * MUTANT_* removes one mechanism; Spin must then find a violation.
 */
#define TTL 3
#define MAX_RESTORES 2
#define MAX_REVISION 5
#define NONE 2

byte store_era = 1;
byte store_revision = 1;
byte copied_revision = 1;
byte holder = NONE;
byte store_lease_left = 0;
byte restores = 0;

/* By gateway: the latest era seen, the ticks until it may order in that era, and its lease. */
byte known_era[2];
byte era_wait[2];
byte lease_left[2];
byte lease_era[2];
byte fence[2];

byte engine_fence = 0;

#ifdef MUTANT_FENCE_WITHOUT_ERA
#define FENCE (store_revision)
#else
#define FENCE (store_era * 16 + store_revision)
#endif

#ifdef MUTANT_NO_WAIT_AFTER_ERA
#define ERA_WAIT 0
#else
#define ERA_WAIT TTL
#endif

/* The gateway may send an order now. */
#define MAY_ORDER(g) (lease_left[g] > 0 && lease_era[g] == known_era[g] && era_wait[g] == 0)

inline see_era(g) {
  if
  :: known_era[g] < store_era ->
     known_era[g] = store_era;
     era_wait[g] = ERA_WAIT
  :: else
  fi;
  if
  :: lease_era[g] < store_era -> lease_left[g] = 0
  :: else
  fi
}

inline count_down(left) {
  if
  :: left > 0 -> left--
  :: else
  fi
}

active proctype store_and_time() {
  do
  :: atomic { copied_revision != store_revision -> copied_revision = store_revision }
  :: atomic {
       restores < MAX_RESTORES ->
       restores++;
       store_era++;
       store_revision = copied_revision;
       holder = NONE;
       store_lease_left = 0
     }
  :: atomic {
       count_down(store_lease_left);
       if
       :: store_lease_left == 0 -> holder = NONE
       :: else
       fi;
       count_down(lease_left[0]);
       count_down(lease_left[1]);
       count_down(era_wait[0]);
       count_down(era_wait[1])
     }
  od
}

active [2] proctype gateway() {
  byte me = _pid - 1;
  do
  :: atomic { known_era[me] < store_era -> see_era(me) }
  :: atomic {
       holder == NONE && lease_left[me] == 0 && store_revision < MAX_REVISION ->
       store_revision++;
       holder = me;
       store_lease_left = TTL;
       see_era(me);
       lease_era[me] = store_era;
       lease_left[me] = TTL - 1;
       fence[me] = FENCE
     }
  :: atomic {
       lease_left[me] > 0 ->
       see_era(me);
       if
       :: lease_left[me] > 0 && holder == me ->
          store_lease_left = TTL;
          lease_left[me] = TTL - 1
       :: else
       fi
     }
  :: atomic {
       MAY_ORDER(me) ->
       /* No other gateway may order at the same time, and the holder is not locked out. */
       assert(!MAY_ORDER(1 - me));
       assert(holder != me || fence[me] >= engine_fence);
       if
       :: fence[me] > engine_fence -> engine_fence = fence[me]
       :: else
       fi
     }
  od
}
