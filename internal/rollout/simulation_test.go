package rollout

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// simulation runs a service in virtual time: replicas, agents, holders of the rollout lease and a network
// that delays and loses messages.
type simulation struct {
	random             *rand.Rand
	now                time.Time
	maxConcurrentLoads int
	holderFence        uint64 // fencing token of the lease's holder, 0 for none
	kvDown             bool
	replicas           []*simReplica
	holders            []*simHolder
	pending            []delivery
	// maxLoading is the highest number of engines that loaded at once.
	maxLoading int
	// scannedFence is the highest fencing token with which each replica was scanned.
	scannedFence map[string]uint64
	// staleLoads counts loads that started by a holder's order after a later holder's scan.
	staleLoads int
	faults     bool
}

type delivery struct {
	at  time.Time
	act func()
}

type simReplica struct {
	member      Member
	incarnation uint64
	fences      FenceChecker
	version     string
	loading     string
	loadEnds    time.Time
	loadStarted time.Time
	stopped     bool
	unreachable bool // unreachable for holders, while its agent reaches the key-value service
}

type simHolder struct {
	session *Session
	fence   uint64
	paused  bool
}

const (
	simStep        = 100 * time.Millisecond
	simMaxLoadTime = 10 * time.Second
	simMaxDelay    = 1500 * time.Millisecond
	simLongestLoad = 4 * time.Second
	callDeadline   = 1 * time.Second
)

func newSimulation(seed uint64, replicas, maxConcurrentLoads int) *simulation {
	w := &simulation{random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(0, 0), maxConcurrentLoads: maxConcurrentLoads, faults: true, scannedFence: make(map[string]uint64)}
	for i := range replicas {
		name := fmt.Sprintf("replica-%02d", i)
		w.replicas = append(w.replicas, &simReplica{
			member:      Member{Instance: name, ControlAddress: name, FailureDomain: fmt.Sprintf("domain-%d", i%3)},
			incarnation: 1,
			version:     "w1",
		})
	}
	return w
}

func (w *simulation) target(version string) Target {
	return Target{Service: "assistant", WeightVersion: version, MaxConcurrentLoads: w.maxConcurrentLoads}
}

// addHolder adds a new holder. The earlier holders are not notified and continue.
func (w *simulation) addHolder(version string) {
	w.holderFence += uint64(1 + w.random.IntN(5))
	w.holders = append(w.holders, &simHolder{session: NewSession(w.holderFence, simMaxLoadTime, w.now), fence: w.holderFence})
	w.setTarget(version)
}

func (w *simulation) setTarget(version string) {
	for _, holder := range w.holders {
		holder.session.SetTarget(w.target(version))
	}
}

func (w *simulation) members() []Member {
	var members []Member
	for _, replica := range w.replicas {
		members = append(members, replica.member)
	}
	return members
}

func (w *simulation) step() {
	w.now = w.now.Add(simStep)
	if w.faults {
		w.injectFaults()
	}
	w.finishLoads()
	for _, holder := range w.holders {
		if holder.paused {
			continue
		}
		holder.session.SetMembers(w.members(), w.now)
		for _, call := range holder.session.Step(w.now) {
			w.send(holder, call)
		}
	}
	w.deliver()
	w.finishLoads()
}

func (w *simulation) finishLoads() {
	loading := 0
	for _, replica := range w.replicas {
		if replica.loading != "" && !w.now.Before(replica.loadEnds) {
			replica.version, replica.loading = replica.loading, ""
		}
		if replica.loading != "" {
			loading++
		}
	}
	w.maxLoading = max(w.maxLoading, loading)
}

func (w *simulation) injectFaults() {
	for _, replica := range w.replicas {
		switch {
		case replica.stopped && w.chance(0.02):
			*replica = simReplica{member: replica.member, incarnation: replica.incarnation + 1}
		case !replica.stopped && w.chance(0.001):
			replica.stopped, replica.loading = true, ""
		case w.chance(0.002):
			replica.unreachable = !replica.unreachable
		case w.chance(0.001):
			// The agent restarts; its engine continues.
			replica.fences = FenceChecker{}
			replica.incarnation++
		}
	}
	for _, holder := range w.holders {
		if w.chance(0.01) {
			holder.paused = !holder.paused
		}
	}
	if w.chance(0.01) {
		w.kvDown = !w.kvDown
	}
}

func (w *simulation) chance(p float64) bool { return w.random.Float64() < p }

func (w *simulation) delay() time.Duration {
	if !w.faults {
		return simStep
	}
	return time.Duration(w.random.Int64N(int64(simMaxDelay)))
}

func (w *simulation) schedule(d time.Duration, act func()) {
	w.pending = append(w.pending, delivery{at: w.now.Add(d), act: act})
}

func (w *simulation) deliver() {
	for {
		sort.SliceStable(w.pending, func(i, j int) bool { return w.pending[i].at.Before(w.pending[j].at) })
		if len(w.pending) == 0 || w.pending[0].at.After(w.now) {
			return
		}
		next := w.pending[0]
		w.pending = w.pending[1:]
		next.act()
	}
}

func (w *simulation) replica(instance string) *simReplica {
	for _, replica := range w.replicas {
		if replica.member.Instance == instance {
			return replica
		}
	}
	return nil
}

// send delivers a call to the replica and its response to the holder. Either may be lost. A response after
// the deadline counts as lost although the call was carried out.
func (w *simulation) send(holder *simHolder, call Call) {
	sent := w.now
	responded := false
	respond := func(response func()) {
		if responded {
			return
		}
		responded = true
		response()
	}
	w.schedule(callDeadline, func() { respond(func() { w.timeOut(holder, call) }) })
	if w.faults && w.chance(0.05) {
		return
	}
	w.schedule(w.delay(), func() {
		replica := w.replica(call.Member.Instance)
		if replica.stopped || replica.unreachable {
			return
		}
		response := w.carryOut(holder, replica, call)
		if w.faults && w.chance(0.05) {
			return
		}
		w.schedule(w.delay(), func() {
			if w.now.Sub(sent) < callDeadline {
				respond(response)
			}
		})
	})
}

func (w *simulation) timeOut(holder *simHolder, call Call) {
	if call.Kind == CallOrder {
		holder.session.Unanswered(call, w.now)
		return
	}
	holder.session.Missed(call, w.now)
}

// carryOut executes a call as the agent does and returns a function that passes the result to the holder.
func (w *simulation) carryOut(holder *simHolder, replica *simReplica, call Call) func() {
	switch call.Kind {
	case CallScan:
		replica.fences.Raise(call.Fence)
		w.scannedFence[replica.member.Instance] = max(w.scannedFence[replica.member.Instance], call.Fence)
	case CallOrder:
		if w.order(holder, replica, call) {
			return func() { holder.session.Accepted(call, w.now) }
		}
		return func() { holder.session.Refused(call, w.now) }
	}
	observation := Observation{
		Instance:      replica.member.Instance,
		Incarnation:   replica.incarnation,
		WeightVersion: replica.version,
		Loading:       replica.loading,
		HighestFence:  replica.fences.Highest(),
	}
	return func() { holder.session.Observed(call, observation, w.now) }
}

func (w *simulation) order(holder *simHolder, replica *simReplica, call Call) bool {
	verdict := replica.fences.Check(call.Fence, w.now)
	if verdict == MustRead && !w.kvDown {
		replica.fences.SetHolder(w.holderFence, w.now)
		verdict = replica.fences.Check(call.Fence, w.now)
	}
	if verdict != Pass || (replica.loading != "" && replica.loading != call.Load.WeightVersion) {
		return false
	}
	if replica.loading != "" || replica.version == call.Load.WeightVersion {
		return true
	}
	if holder.fence < w.scannedFence[replica.member.Instance] {
		w.staleLoads++
	}
	replica.loading = call.Load.WeightVersion
	replica.loadStarted = w.now
	replica.loadEnds = w.now.Add(time.Second + time.Duration(w.random.Int64N(int64(simLongestLoad-time.Second))))
	return true
}

// endFaults ends all faults and keeps only the latest holder.
func (w *simulation) endFaults(version string) {
	w.faults = false
	w.kvDown = false
	for _, replica := range w.replicas {
		replica.unreachable = false
		if replica.stopped {
			*replica = simReplica{member: replica.member, incarnation: replica.incarnation + 1}
		}
	}
	w.holders = w.holders[len(w.holders)-1:]
	w.holders[0].paused = false
	w.setTarget(version)
}

func (w *simulation) serving(version string) int {
	count := 0
	for _, replica := range w.replicas {
		if replica.version == version && !replica.stopped {
			count++
		}
	}
	return count
}
