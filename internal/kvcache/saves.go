package kvcache

import (
	"maps"
	"slices"
	"time"

	"balsamyoke.example/balsamyoke/internal/rendezvous"
)

const (
	// maxSaveTime is how long a save may be open at most: until the deadline of a request that is given up.
	maxSaveTime = 20 * time.Second
	// saveStart is how long after the first byte of a response the store may still reserve space for the parts of its prompt. The
	// engine sends them once it has read them, which is before it writes anything.
	saveStart = 200 * time.Millisecond
	// brokenSaveTime is how long an engine may work on a request whose connection it or the gateway has closed. The platform allows engines
	// half a second to notice.
	brokenSaveTime = 500 * time.Millisecond
	// overdueAfter is how long after a part is known to be complete an open save of it is reported without waiting for the next heartbeats.
	overdueAfter = 200 * time.Millisecond
	// unheardSettleTime replaces the reports of gateways that aren't heard. By that time after the store has reported a part, a gateway
	// that was stopped has no save of it open that was planned before. One that is cut off may have.
	unheardSettleTime = saveReadingTTL + brokenSaveTime
	// reportsCheckInterval is the interval at which the reports of other gateways and open saves are evaluated.
	reportsCheckInterval = 100 * time.Millisecond
	// maxReportedSaves bounds the open saves in a report.
	maxReportedSaves = 64
)

// savedPart is a part in a store that a plan saves.
type savedPart struct {
	address string
	key     Key
}

// openSaves are the saves of one plan that the engine may not have begun yet.
type openSaves struct {
	parts []savedPart
	// until is when they have ended at the latest.
	until time.Time
	// overdue is set once TakeOverdue has returned true for them.
	overdue bool
}

// openSaveID identifies a part in a report.
type openSaveID uint64

func (k Key) openSaveID() openSaveID {
	return openSaveID(rendezvous.Weight(rendezvous.Hash(k.Salt), rendezvous.Hash(k.ID)))
}

// SaveReport is what a gateway knows of one store, for the other gateways: how far it has read the store, and which saves of parts
// that are complete there by this reading are still open. It plans no more saves of these parts in this epoch, nor of any others that
// were complete by then. So a part that the receiver knew at that position, and whose id isn't in the report, isn't written again by
// a save that the sender planned before it knew the part.
type SaveReport struct {
	// Store identifies the store and its epoch.
	Store    uint64
	Position int64
	Open     []uint64
}

// storeEpoch identifies an epoch of the store in reports.
func (s *store) storeEpoch() uint64 {
	return rendezvous.Weight(rendezvous.Hash(s.Address), uint64(s.epoch))
}

// receivedReport is the latest report of one run of a gateway on one epoch of a store. It counts for a while after the gateway has noticed
// that the store has restarted, as its open saves do.
type receivedReport struct {
	SaveReport
	at time.Time
}

// trackSaves records the saves of a plan as open.
func (c *Catalogue) trackSaves(plan *Plan, saved []savedPart, now time.Time) {
	if len(saved) == 0 {
		return
	}
	c.lastSaveID++
	plan.saveID = c.lastSaveID
	c.openSaves[plan.saveID] = openSaves{parts: saved, until: now.Add(maxSaveTime)}
}

// endSavesBy lets the saves of a plan end at a time, or earlier if that is known already.
func (c *Catalogue) endSavesBy(plan *Plan, end time.Time) {
	if plan == nil {
		return
	}
	if open, ok := c.openSaves[plan.saveID]; ok && end.Before(open.until) {
		open.until = end
		c.openSaves[plan.saveID] = open
	}
}

// RecordResponse records that the engine has begun to respond to a request with this plan, which may be nil.
func (c *Catalogue) RecordResponse(plan *Plan, now time.Time) { c.endSavesBy(plan, now.Add(saveStart)) }

// RecordBrokenOff records that the engine has closed the connection of a request with this plan, which may be nil.
func (c *Catalogue) RecordBrokenOff(plan *Plan, now time.Time) {
	c.endSavesBy(plan, now.Add(brokenSaveTime))
}

// RecordNotRun records that no engine runs the request with this plan, which may be nil.
func (c *Catalogue) RecordNotRun(plan *Plan) {
	if plan != nil {
		delete(c.openSaves, plan.saveID)
	}
}

// LimitSaves sets the deadline of the request with this plan.
func (c *Catalogue) LimitSaves(plan *Plan, deadline time.Time) {
	c.endSavesBy(plan, deadline.Add(brokenSaveTime))
}

// SaveReports returns the reports of this gateway, one for each store that it has read.
func (c *Catalogue) SaveReports(now time.Time) []SaveReport {
	var reports []SaveReport
	for _, s := range c.stores {
		if s.readAt.IsZero() {
			continue
		}
		report := SaveReport{Store: s.storeEpoch(), Position: s.position}
		for id := range c.openAt(s, now) {
			report.Open = append(report.Open, uint64(id))
		}
		if len(report.Open) > maxReportedSaves {
			// Without a position the report shows nothing about parts that it leaves out.
			report.Open, report.Position = report.Open[:maxReportedSaves], noPosition
		}
		slices.Sort(report.Open)
		reports = append(reports, report)
	}
	return reports
}

// openAt returns the parts that are complete in a store and of which this gateway has open saves there.
func (c *Catalogue) openAt(s *store, now time.Time) map[openSaveID]bool {
	var open map[openSaveID]bool
	for id, saves := range c.openSaves {
		if !now.Before(saves.until) {
			delete(c.openSaves, id)
			continue
		}
		for _, part := range saves.parts {
			if _, complete := s.complete[part.key]; !complete || part.address != s.Address {
				continue
			}
			if open == nil {
				open = make(map[openSaveID]bool)
			}
			open[part.key.openSaveID()] = true
		}
	}
	return open
}

// TakeOverdue reports whether this gateway has an open save, not taken before, of a part that has been known to be complete for
// overdueAfter. The others should know of it before they fetch the part.
func (c *Catalogue) TakeOverdue(now time.Time) (found bool) {
	for id, saves := range c.openSaves {
		if !saves.overdue && now.Before(saves.until) && slices.ContainsFunc(saves.parts, func(p savedPart) bool { return c.isOverdue(p, now) }) {
			saves.overdue, found = true, true
			c.openSaves[id] = saves
		}
	}
	return found
}

func (c *Catalogue) isOverdue(p savedPart, now time.Time) bool {
	s := c.find(p.address)
	if s == nil {
		return false
	}
	stored, complete := s.complete[p.key]
	return complete && now.Sub(stored.knownFrom) >= overdueAfter
}

// GatewayRun identifies one run of a gateway.
type GatewayRun struct {
	Instance    string
	Incarnation uint64
}

// SetSaveReports sets the latest reports of another gateway.
func (c *Catalogue) SetSaveReports(gateway GatewayRun, reports []SaveReport, now time.Time) {
	received := c.saveReports[gateway]
	if received == nil {
		received = make(map[uint64]receivedReport, len(reports))
		c.saveReports[gateway] = received
	}
	for _, report := range reports {
		received[report.Store] = receivedReport{report, now}
	}
}

// SetGateways sets the other gateways that may save, whether or not they are heard, in their latest runs. Before the first call, there may
// be any.
func (c *Catalogue) SetGateways(gateways []GatewayRun) { c.gateways, c.knowsGateways = gateways, true }

// RecordGatewayRestart records that a gateway, this one included, runs anew. Its reports don't tell which saves its earlier run has left
// open.
func (c *Catalogue) RecordGatewayRestart(now time.Time) { c.gatewayRestartedAt = now }

// evaluateReports updates what the reports of other gateways and this gateway's open saves say of the parts in each store.
func (c *Catalogue) evaluateReports(now time.Time) {
	if age := now.Sub(c.reportsEvaluatedAt); age >= 0 && age < reportsCheckInterval {
		return
	}
	c.reportsEvaluatedAt = now
	for gateway, received := range c.saveReports {
		maps.DeleteFunc(received, func(_ uint64, report receivedReport) bool { return now.Sub(report.at) > maxSaveTime })
		if len(received) == 0 {
			delete(c.saveReports, gateway)
		}
	}
	for _, s := range c.stores {
		id := s.storeEpoch()
		s.openSaves = c.openAt(s, now)
		position := s.position
		if !c.knowsGateways || now.Sub(c.gatewayRestartedAt) < brokenSaveTime {
			position = noPosition
		}
		for _, gateway := range c.gateways {
			report, reported := c.saveReports[gateway][id]
			if !reported {
				position = noPosition
				break
			}
			position = min(position, report.Position)
		}
		s.reported, s.reportedAsOf = position, s.readUpTo(position)
		for _, received := range c.saveReports {
			for _, part := range received[id].Open {
				if s.openSaves == nil {
					s.openSaves = make(map[openSaveID]bool)
				}
				s.openSaves[openSaveID(part)] = true
			}
		}
	}
}

// noPosition is before the first position of a store.
const noPosition = -1

// readPosition is the latest reading of a store at one position.
type readPosition struct {
	position int64
	at       time.Time
}

// recordPosition records the position of a complete reading that was requested at a time.
func (s *store) recordPosition(position int64, at time.Time) {
	s.position = position
	if n := len(s.positions); n > 0 && s.positions[n-1].position == position {
		s.positions[n-1].at = at
		return
	}
	s.positions = append(s.positions, readPosition{position, at})
	for len(s.positions) > 1 && at.Sub(s.positions[0].at) > unheardSettleTime+saveDelay {
		s.positions = s.positions[1:]
	}
}

// isBehind reports whether a reading at a position is older than the latest one. This gateway has reported that it has read as far as
// that, so it must not forget a part that it knew. Readings through two gateways in turn may go back.
func (s *store) isBehind(position int64) bool { return position != 0 && position < s.position }

// readUpTo returns when the latest complete reading was requested that wasn't past a position; zero if there was none.
func (s *store) readUpTo(position int64) time.Time {
	for _, reading := range slices.Backward(s.positions) {
		if reading.position <= position {
			return reading.at
		}
	}
	return time.Time{}
}

// isReported reports whether all other gateways have reported that they know a part. One without a position, as in a listing, is known to
// those that have read as far as this gateway had when the store had reported all changes from before the part was known.
func (s *store) isReported(part storedPart) bool {
	if part.position == noPosition {
		return s.reportedAsOf.Sub(part.knownFrom) >= saveDelay
	}
	return s.reported >= part.position
}

// isSettled reports whether no save of a complete part is open that was planned before the part was known. All gateways have then
// read the store as far as the change by which the part became complete, and name no such save. For gateways that aren't heard, time
// takes the place of their reports.
func (s *store) isSettled(key Key, part storedPart) bool {
	known := s.readAt.Sub(part.knownFrom)
	unheard := unheardSettleTime
	if part.position == noPosition {
		unheard += saveDelay
	}
	if known < settleTime || known < unheard && !s.isReported(part) {
		return false
	}
	return len(s.openSaves) == 0 || !s.openSaves[key.openSaveID()]
}
