package rollout

import (
	"maps"
	"slices"
	"time"
)

// Pace of a holder's calls to replicas. A status call with its answer is about 400 bytes on a kept
// connection, packet headers with it, so the pace stays under the budget of 25 KB/s.
const (
	callsPerSecond = 50.0
	callBurst      = 20.0
	// loadingInterval is the time between two status calls to a replica that counts as loading.
	loadingInterval = 500 * time.Millisecond
	// restInterval is the shortest time between two status calls to any other replica.
	restInterval = 2 * time.Second
)

// CallKind tells what a holder asks of a replica.
type CallKind int

// The kinds of calls.
const (
	// CallSurvey raises the replica's fencing number to the holder's and then asks for its status.
	CallSurvey CallKind = iota
	// CallStatus asks for the replica's status.
	CallStatus
	// CallOrder orders a load.
	CallOrder
)

// cost returns the calls on the wire.
func (k CallKind) cost() float64 {
	if k == CallSurvey {
		return 2
	}
	return 1
}

// Call is one call that a Session wants made.
type Call struct {
	Kind   CallKind
	Member Member
	Fence  uint64
	// Load is set for CallOrder.
	Load Load
	// epoch tells answers apart that were overtaken by an order.
	epoch uint64
}

// contact is what a Session knows about its calls to one replica.
type contact struct {
	replica *replica
	raised  bool // the replica's gate has seen this holder's fencing number
	asking  bool // a survey or status call is under way
	nextAsk time.Time
	epoch   uint64
}

// Session is one holding of the rollout lease: it says which calls to make and takes their answers.
// It is not safe for concurrent use.
//
// Invariant: an observation reaches the planner only when the replica's gate had seen this
// holder's fencing number before the status was taken, so that no earlier holder's order can pass
// after it, and when no order of this holder was sent or answered since the status was asked for.
type Session struct {
	fence    uint64
	planner  *Planner
	contacts map[string]*contact
	// ring holds the contacts in the order of calls, and the cursors the next one to look at among
	// the replicas that count as loading and among all.
	ring          []*contact
	loadingCursor int
	cursor        int
	tokens        float64
	filledAt      time.Time
}

// NewSession returns the Session of a holder whose lease key was created at revision fence.
func NewSession(fence uint64, longestLoad time.Duration, now time.Time) *Session {
	return &Session{
		fence:    fence,
		planner:  NewPlanner(longestLoad),
		contacts: make(map[string]*contact),
		tokens:   callBurst,
		filledAt: now,
	}
}

// SetTarget changes what is wanted.
func (s *Session) SetTarget(target Target) { s.planner.SetTarget(target) }

// SetMembers takes the instance list.
func (s *Session) SetMembers(members []Member, now time.Time) {
	s.planner.SetMembers(members, now)
	for instance, contact := range s.contacts {
		if s.planner.replicas[instance] != contact.replica {
			delete(s.contacts, instance)
		}
	}
	for instance, known := range s.planner.replicas {
		if s.contacts[instance] == nil {
			s.contacts[instance] = &contact{replica: known}
		}
	}
	s.ring = s.ring[:0]
	for _, instance := range slices.Sorted(maps.Keys(s.contacts)) {
		s.ring = append(s.ring, s.contacts[instance])
	}
}

// Step returns the calls to make now. Each must be answered by exactly one of Observed, Missed,
// Accepted, Refused and Unanswered.
func (s *Session) Step(now time.Time) []Call {
	s.fill(now)
	var calls []Call
	for _, load := range s.planner.Next(now) {
		calls = append(calls, s.order(load, now))
	}
	return append(calls, s.asks(now)...)
}

func (s *Session) fill(now time.Time) {
	s.tokens = min(callBurst, s.tokens+now.Sub(s.filledAt).Seconds()*callsPerSecond)
	s.filledAt = now
}

func (s *Session) order(load Load, now time.Time) Call {
	s.planner.Ordered(load.Instance, now)
	contact := s.contacts[load.Instance]
	contact.epoch++
	return Call{
		Kind:   CallOrder,
		Member: s.planner.replicas[load.Instance].member,
		Fence:  s.fence,
		Load:   load,
		epoch:  contact.epoch,
	}
}

// asks returns the survey and status calls that are due, as far as the pace allows: replicas that
// count as loading first, then all, each taking turns.
func (s *Session) asks(now time.Time) []Call {
	var calls []Call
	s.loadingCursor = s.turn(s.loadingCursor, func(next *contact) bool {
		if !countsAsLoading(next.replica.machine.State()) {
			return true
		}
		return s.ask(next, now, &calls)
	})
	s.cursor = s.turn(s.cursor, func(next *contact) bool {
		return s.ask(next, now, &calls)
	})
	return calls
}

// turn visits the ring once from position from, as long as visit returns true, and returns the
// position to go on from.
func (s *Session) turn(from int, visit func(*contact) bool) int {
	for range s.ring {
		from %= len(s.ring)
		if !visit(s.ring[from]) {
			return from
		}
		from++
	}
	return from
}

// ask adds the call that is due for a replica. It returns false when the pace does not allow it.
func (s *Session) ask(next *contact, now time.Time, calls *[]Call) bool {
	if next.asking || now.Before(next.nextAsk) {
		return true
	}
	kind := CallStatus
	if !next.raised {
		kind = CallSurvey
	}
	if s.tokens < kind.cost() {
		return false
	}
	s.tokens -= kind.cost()
	next.asking = true
	*calls = append(*calls, Call{
		Kind:   kind,
		Member: next.replica.member,
		Fence:  s.fence,
		epoch:  next.epoch,
	})
	return true
}

// answered ends an ask and plans the next one. It returns false when an order overtook the ask.
func (s *Session) answered(call Call, now time.Time) bool {
	contact := s.contacts[call.Member.Instance]
	if contact == nil {
		return false
	}
	contact.asking = false
	contact.nextAsk = now.Add(restInterval)
	if countsAsLoading(contact.replica.machine.State()) {
		contact.nextAsk = now.Add(loadingInterval)
	}
	return contact.epoch == call.epoch
}

// Observed takes the answer to a survey or status call.
func (s *Session) Observed(call Call, observation Observation, now time.Time) {
	current := s.answered(call, now)
	contact := s.contacts[call.Member.Instance]
	if contact == nil {
		return
	}
	contact.raised = observation.HighestFence >= s.fence
	if !contact.raised {
		// The agent has restarted since the survey; its gate must see our fencing number first.
		contact.nextAsk = now
		return
	}
	if current {
		s.planner.Observe(observation, now)
	}
}

// Missed notes that a survey or status call was not answered.
func (s *Session) Missed(call Call, now time.Time) {
	if s.answered(call, now) {
		s.planner.Miss(call.Member.Instance, now)
	}
}

// Accepted notes that a replica took an order.
func (s *Session) Accepted(call Call, now time.Time) {
	s.orderAnswered(call, now)
	s.planner.Accepted(call.Member.Instance, now)
}

// Refused notes that a replica refused an order and will not carry it out.
func (s *Session) Refused(call Call, now time.Time) {
	s.orderAnswered(call, now)
	s.planner.Refused(call.Member.Instance, now)
}

// Unanswered notes that an order was sent and its answer did not come: it may be carried out. The
// replica stays in the state after an order until a load is seen or must have ended.
func (s *Session) Unanswered(call Call, now time.Time) { s.orderAnswered(call, now) }

func (s *Session) orderAnswered(call Call, now time.Time) {
	contact := s.contacts[call.Member.Instance]
	if contact == nil {
		return
	}
	contact.epoch++
	contact.nextAsk = now
}

// Report returns the state of the rollout.
func (s *Session) Report(now time.Time) Report { return s.planner.Report(now) }
