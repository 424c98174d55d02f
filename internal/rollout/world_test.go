package rollout

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// world is a service with replicas, agents, holders of the rollout lease and a network that delays
// and loses messages, in virtual time.
type world struct {
	random   *rand.Rand
	now      time.Time
	limit    int
	holder   uint64 // fencing number of the lease's holder, 0 for none
	kvDown   bool
	replicas []*simReplica
	sessions []*simHolder
	mail     []delivery
	// most is the highest number of engines that loaded at once.
	most int
	// surveyed is the highest fencing number that each replica was surveyed with.
	surveyed map[string]uint64
	// stale counts loads that began by a holder's order after a later holder's survey.
	stale  int
	faults bool
}

type delivery struct {
	at  time.Time
	act func()
}

type simReplica struct {
	member      Member
	incarnation uint64
	gate        Gate
	version     string
	loading     string
	loadEnds    time.Time
	loadBegan   time.Time
	dead        bool
	cut         bool // reachable by the service, not by holders
}

type simHolder struct {
	session *Session
	fence   uint64
	paused  bool
}

const (
	worldStep        = 100 * time.Millisecond
	worldLongestLoad = 10 * time.Second
	worldMaxDelay    = 1500 * time.Millisecond
	worldMaxLoad     = 4 * time.Second
	callDeadline     = 1 * time.Second
)

func newWorld(seed uint64, replicas, limit int) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(0, 0), limit: limit, faults: true, surveyed: make(map[string]uint64)}
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

func (w *world) target(version string) Target {
	return Target{Service: "assistant", WeightVersion: version, MaxConcurrentLoads: w.limit}
}

// takeLease makes a new holder. The ones before it do not know and go on.
func (w *world) takeLease(version string) {
	w.holder += uint64(1 + w.random.IntN(5))
	w.sessions = append(w.sessions, &simHolder{session: NewSession(w.holder, worldLongestLoad, w.now), fence: w.holder})
	w.retarget(version)
}

func (w *world) retarget(version string) {
	for _, holder := range w.sessions {
		holder.session.SetTarget(w.target(version))
	}
}

func (w *world) members() []Member {
	var members []Member
	for _, replica := range w.replicas {
		members = append(members, replica.member)
	}
	return members
}

func (w *world) step() {
	w.now = w.now.Add(worldStep)
	if w.faults {
		w.injectFaults()
	}
	w.engines()
	for _, holder := range w.sessions {
		if holder.paused {
			continue
		}
		holder.session.SetMembers(w.members(), w.now)
		for _, call := range holder.session.Step(w.now) {
			w.send(holder, call)
		}
	}
	w.deliver()
	w.engines()
}

func (w *world) engines() {
	loading := 0
	for _, replica := range w.replicas {
		if replica.loading != "" && !w.now.Before(replica.loadEnds) {
			replica.version, replica.loading = replica.loading, ""
		}
		if replica.loading != "" {
			loading++
		}
	}
	w.most = max(w.most, loading)
}

func (w *world) injectFaults() {
	for _, replica := range w.replicas {
		switch {
		case replica.dead && w.chance(0.02):
			*replica = simReplica{member: replica.member, incarnation: replica.incarnation + 1}
		case !replica.dead && w.chance(0.001):
			replica.dead, replica.loading = true, ""
		case w.chance(0.002):
			replica.cut = !replica.cut
		case w.chance(0.001):
			// The agent restarts; its engine goes on.
			replica.gate = Gate{}
			replica.incarnation++
		}
	}
	for _, holder := range w.sessions {
		if w.chance(0.01) {
			holder.paused = !holder.paused
		}
	}
	if w.chance(0.01) {
		w.kvDown = !w.kvDown
	}
}

func (w *world) chance(p float64) bool { return w.random.Float64() < p }

func (w *world) delay() time.Duration {
	if !w.faults {
		return worldStep
	}
	return time.Duration(w.random.Int64N(int64(worldMaxDelay)))
}

func (w *world) after(d time.Duration, act func()) {
	w.mail = append(w.mail, delivery{at: w.now.Add(d), act: act})
}

func (w *world) deliver() {
	for {
		sort.SliceStable(w.mail, func(i, j int) bool { return w.mail[i].at.Before(w.mail[j].at) })
		if len(w.mail) == 0 || w.mail[0].at.After(w.now) {
			return
		}
		next := w.mail[0]
		w.mail = w.mail[1:]
		next.act()
	}
}

func (w *world) replica(instance string) *simReplica {
	for _, replica := range w.replicas {
		if replica.member.Instance == instance {
			return replica
		}
	}
	return nil
}

// send carries a call to the replica and the answer back; either may be lost, and an answer after
// the deadline counts as none although the call was carried out.
func (w *world) send(holder *simHolder, call Call) {
	sent := w.now
	answered := false
	give := func(answer func()) {
		if answered {
			return
		}
		answered = true
		answer()
	}
	w.after(callDeadline, func() { give(func() { w.unanswered(holder, call) }) })
	if w.faults && w.chance(0.05) {
		return
	}
	w.after(w.delay(), func() {
		replica := w.replica(call.Member.Instance)
		if replica.dead || replica.cut {
			return
		}
		answer := w.carryOut(holder, replica, call)
		if w.faults && w.chance(0.05) {
			return
		}
		w.after(w.delay(), func() {
			if w.now.Sub(sent) < callDeadline {
				give(answer)
			}
		})
	})
}

func (w *world) unanswered(holder *simHolder, call Call) {
	if call.Kind == CallOrder {
		holder.session.Unanswered(call, w.now)
		return
	}
	holder.session.Missed(call, w.now)
}

// carryOut does what an agent does and returns how the holder takes the answer.
func (w *world) carryOut(holder *simHolder, replica *simReplica, call Call) func() {
	switch call.Kind {
	case CallSurvey:
		replica.gate.Raise(call.Fence)
		w.surveyed[replica.member.Instance] = max(w.surveyed[replica.member.Instance], call.Fence)
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
		HighestFence:  replica.gate.Highest(),
	}
	return func() { holder.session.Observed(call, observation, w.now) }
}

func (w *world) order(holder *simHolder, replica *simReplica, call Call) bool {
	verdict := replica.gate.Check(call.Fence, w.now)
	if verdict == MustRead && !w.kvDown {
		replica.gate.Read(w.holder, w.now)
		verdict = replica.gate.Check(call.Fence, w.now)
	}
	if verdict != Pass || (replica.loading != "" && replica.loading != call.Load.WeightVersion) {
		return false
	}
	if replica.loading != "" || replica.version == call.Load.WeightVersion {
		return true
	}
	if holder.fence < w.surveyed[replica.member.Instance] {
		w.stale++
	}
	replica.loading = call.Load.WeightVersion
	replica.loadBegan = w.now
	replica.loadEnds = w.now.Add(time.Second + time.Duration(w.random.Int64N(int64(worldMaxLoad-time.Second))))
	return true
}

// heal ends all faults and leaves one holder.
func (w *world) heal(version string) {
	w.faults = false
	w.kvDown = false
	for _, replica := range w.replicas {
		replica.cut = false
		if replica.dead {
			*replica = simReplica{member: replica.member, incarnation: replica.incarnation + 1}
		}
	}
	w.sessions = w.sessions[len(w.sessions)-1:]
	w.sessions[0].paused = false
	w.retarget(version)
}

func (w *world) serving(version string) int {
	count := 0
	for _, replica := range w.replicas {
		if replica.version == version && !replica.dead {
			count++
		}
	}
	return count
}
