package rollout

import (
	"maps"
	"slices"
	"time"
)

// Rate limit of a holder's calls to replicas. A status call and its reply take about 400 bytes on an
// open connection, including packet headers, so the rate stays under the budget of 25 KB/s.
const (
	callsPerSecond = 50.0
	callBurst      = 20.0
	// loadingInterval is the time between two status calls to a replica that counts as loading.
	loadingInterval = 500 * time.Millisecond
	// settledInterval is the minimum time between two status calls to any other replica.
	settledInterval = 2 * time.Second
)

// CallKind is the kind of a holder's call to a replica.
type CallKind int

// The kinds of calls.
const (
	// CallScan raises the replica's fencing token to the holder's and then requests its status. It is
	// the holder's first call to a replica.
	CallScan CallKind = iota
	// CallStatus requests the replica's status.
	CallStatus
	// CallOrder orders a load.
	CallOrder
)

// cost returns the number of calls on the wire.
func (k CallKind) cost() float64 {
	if k == CallScan {
		return 2
	}
	return 1
}

// Call is a call that the user of a Session must make.
type Call struct {
	Kind   CallKind
	Member Member
	Fence  uint64
	// Load is set for CallOrder.
	Load Load
	// epoch identifies replies that are outdated because an order was sent or ended after the call was made.
	epoch uint64
}

// contact is a Session's state of its calls to one replica.
type contact struct {
	replica       *replica
	fenceRaised   bool // the replica has received this holder's fencing token
	statusPending bool // a scan or status call is in flight
	nextStatusAt  time.Time
	epoch         uint64
}

// Session is one tenure of a holder of the rollout lease. It returns the calls to make and records
// their results. It is not safe for concurrent use.
//
// Invariant: an observation reaches the planner only if the replica had received this holder's
// fencing token before its status was read, so that no earlier holder's order can pass afterwards,
// and if no order of this holder was sent or ended since the status was requested.
type Session struct {
	fence    uint64
	planner  *Planner
	contacts map[string]*contact
	// ring holds the contacts in the order of calls. loadingCursor is the position of the next contact
	// to consider among the replicas that count as loading, cursor among all.
	ring          []*contact
	loadingCursor int
	cursor        int
	callTokens    float64
	refilledAt    time.Time
}

// NewSession returns the Session of a holder whose lease key was created at revision fence. maxLoadTime is
// as for NewPlanner.
func NewSession(fence uint64, maxLoadTime time.Duration, now time.Time) *Session {
	return &Session{
		fence:      fence,
		planner:    NewPlanner(maxLoadTime),
		contacts:   make(map[string]*contact),
		callTokens: callBurst,
		refilledAt: now,
	}
}

// SetTarget sets the target of the rollout.
func (s *Session) SetTarget(target Target) { s.planner.SetTarget(target) }

// SetMembers sets the replicas of the instance list.
func (s *Session) SetMembers(members []Member, now time.Time) {
	s.planner.SetMembers(members, now)
	for instance, contact := range s.contacts {
		if s.planner.replicas[instance] != contact.replica {
			delete(s.contacts, instance)
		}
	}
	for instance, r := range s.planner.replicas {
		if s.contacts[instance] == nil {
			s.contacts[instance] = &contact{replica: r}
		}
	}
	s.ring = s.ring[:0]
	for _, instance := range slices.Sorted(maps.Keys(s.contacts)) {
		s.ring = append(s.ring, s.contacts[instance])
	}
}

// Step returns the calls to make now. The result of each must be passed to exactly one of Observed,
// Missed, Accepted, Refused and Unanswered.
func (s *Session) Step(now time.Time) []Call {
	s.refill(now)
	var calls []Call
	for _, load := range s.planner.Next(now) {
		calls = append(calls, s.order(load, now))
	}
	return append(calls, s.statusCalls(now)...)
}

func (s *Session) refill(now time.Time) {
	s.callTokens = min(callBurst, s.callTokens+now.Sub(s.refilledAt).Seconds()*callsPerSecond)
	s.refilledAt = now
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

// statusCalls returns the scan and status calls that are due and within the rate limit. Replicas that count
// as loading come first, then all replicas, each group in round-robin order.
func (s *Session) statusCalls(now time.Time) []Call {
	var calls []Call
	s.loadingCursor = s.visitFrom(s.loadingCursor, func(next *contact) bool {
		if !countsAsLoading(next.replica.machine.State()) {
			return true
		}
		return s.addStatusCall(next, now, &calls)
	})
	s.cursor = s.visitFrom(s.cursor, func(next *contact) bool {
		return s.addStatusCall(next, now, &calls)
	})
	return calls
}

// visitFrom visits the ring once from the given position, as long as visit returns true, and returns the
// position to continue from.
func (s *Session) visitFrom(position int, visit func(*contact) bool) int {
	for range s.ring {
		position %= len(s.ring)
		if !visit(s.ring[position]) {
			return position
		}
		position++
	}
	return position
}

// addStatusCall appends the call that is due for a replica. It returns false when the rate limit does not
// allow the call.
func (s *Session) addStatusCall(next *contact, now time.Time, calls *[]Call) bool {
	if next.statusPending || now.Before(next.nextStatusAt) {
		return true
	}
	kind := CallStatus
	if !next.fenceRaised {
		kind = CallScan
	}
	if s.callTokens < kind.cost() {
		return false
	}
	s.callTokens -= kind.cost()
	next.statusPending = true
	*calls = append(*calls, Call{
		Kind:   kind,
		Member: next.replica.member,
		Fence:  s.fence,
		epoch:  next.epoch,
	})
	return true
}

// statusDone records that a scan or status call has ended and schedules the next one. It returns false
// when an order was sent or ended since the call started.
func (s *Session) statusDone(call Call, now time.Time) bool {
	contact := s.contacts[call.Member.Instance]
	if contact == nil {
		return false
	}
	contact.statusPending = false
	contact.nextStatusAt = now.Add(settledInterval)
	if countsAsLoading(contact.replica.machine.State()) {
		contact.nextStatusAt = now.Add(loadingInterval)
	}
	return contact.epoch == call.epoch
}

// Observed records the reply to a scan or status call.
func (s *Session) Observed(call Call, observation Observation, now time.Time) {
	current := s.statusDone(call, now)
	contact := s.contacts[call.Member.Instance]
	if contact == nil {
		return
	}
	contact.fenceRaised = observation.HighestFence >= s.fence
	if !contact.fenceRaised {
		// The agent has restarted since the scan, so it must receive this holder's fencing token first.
		contact.nextStatusAt = now
		return
	}
	if current {
		s.planner.Observe(observation, now)
	}
}

// Missed records that a scan or status call got no reply.
func (s *Session) Missed(call Call, now time.Time) {
	if s.statusDone(call, now) {
		s.planner.Miss(call.Member.Instance, now)
	}
}

// Accepted records that a replica accepted an order.
func (s *Session) Accepted(call Call, now time.Time) {
	s.orderDone(call, now)
	s.planner.Accepted(call.Member.Instance, now)
}

// Refused records that a replica refused an order and will not carry it out.
func (s *Session) Refused(call Call, now time.Time) {
	s.orderDone(call, now)
	s.planner.Refused(call.Member.Instance, now)
}

// Unanswered records that an order was sent but got no reply, so that it may still be carried out. The
// replica stays in the ordered state until a load is observed or must have ended.
func (s *Session) Unanswered(call Call, now time.Time) { s.orderDone(call, now) }

func (s *Session) orderDone(call Call, now time.Time) {
	contact := s.contacts[call.Member.Instance]
	if contact == nil {
		return
	}
	contact.epoch++
	contact.nextStatusAt = now
}

// Report returns the state of the rollout.
func (s *Session) Report(now time.Time) Report { return s.planner.Report(now) }
