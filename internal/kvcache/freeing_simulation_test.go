package kvcache

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	freeingSeeds    = 300
	freeingTime     = 60 * time.Second
	freeingGateways = 4
	// The leader lease, the intervals and the timeouts of internal/fleet.
	leaderTTL          = 3 * time.Second
	leaderMargin       = 600 * time.Millisecond
	leaderSilence      = 2500 * time.Millisecond
	confirmInterval    = time.Second
	announcementTTL    = 15 * time.Second
	announceInterval   = 5 * time.Second
	registrationMargin = time.Second
	freeInterval       = 500 * time.Millisecond
	maxOutage          = 15 * time.Second
	maxFreezeTime      = 12 * time.Second
	maxMessageDelay    = 4 * time.Second
	simulatedFetchRate = 40 * time.Millisecond
	versionInterval    = 5 * time.Second
)

// fencedBeat is a heartbeat: what a gateway has retired and, from a leader, its fencing token.
type fencedBeat struct {
	run     int
	fence   int
	retired map[Generation]int
}

// leasingGateway is a gateway that fetches by leases and may lead.
type leasingGateway struct {
	*freeingSimulation
	name string
	// runs counts its runs, knownRuns those of the others by their heartbeats.
	runs        int
	knownRuns   map[string]int
	catalogue   *Catalogue
	frozenUntil time.Time
	// registeredAt is when it last renewed its announcement in the metadata store; zero if this run never did.
	registeredAt time.Time
	// leader is the gateway whose heartbeats say that it leads, leaderAt when the latest of them was handled.
	leader      *leasingGateway
	leaderFence int
	leaderAt    time.Time
	// reported are the retired shares by gateway that its latest heartbeat reported.
	reported map[string]map[Generation]int
	// fence is set while this gateway leads, until is the end of its lease by its own knowledge.
	fence   int
	until   time.Time
	freeing *Freeing
}

// freeingSimulation plays gateways that lose their links to each other and to the metadata store, each in one direction or both, and
// are frozen, while weight versions follow each other.
type freeingSimulation struct {
	*simulation
	members []*leasingGateway
	// cut are the links that lose everything, by sender and receiver; an empty receiver is the metadata store.
	cut map[[2]string]bool
	// fence and expiresAt are the leader lease in the metadata store.
	fence     int
	expiresAt time.Time
	// announcedUntil are the ends of the announcements in the metadata store by gateway.
	announcedUntil map[string]time.Time
	version        int64
	// byHeartbeat makes each heartbeat extend the receiver's lease, as any heartbeat once did.
	byHeartbeat bool
	fetches     []simulatedFetch
	// freed are the freed shares by generation, the smallest first.
	freed   map[Generation][]freedShare
	fetched int
	broken  []string
}

type simulatedFetch struct {
	gateway    string
	generation Generation
	rank       int
	until      time.Time
}

// freedShare is a share of a generation, in thousandths, and when its parts were freed.
type freedShare struct {
	share int
	at    time.Time
}

// start begins a run, which knows nothing of the ones before.
func (g *leasingGateway) start() {
	g.runs++
	g.catalogue, g.reported, g.knownRuns = New(), make(map[string]map[Generation]int), make(map[string]int)
	g.leader, g.leaderFence, g.leaderAt, g.registeredAt = nil, 0, time.Time{}, time.Time{}
	g.fence, g.freeing = 0, nil
}

// run runs an action of a gateway once it isn't frozen.
func (g *leasingGateway) run(action func()) {
	if g.now.Before(g.frozenUntil) {
		g.after(g.frozenUntil.Sub(g.now)+g.upTo(time.Millisecond), func() { g.run(action) })
		return
	}
	action()
}

// every runs an action of a gateway at intervals.
func (g *leasingGateway) every(interval time.Duration, action func()) {
	g.run(func() {
		action()
		g.after(interval, func() { g.every(interval, action) })
	})
}

// deliver runs an action at another gateway after a delay, unless the link is cut.
func (g *leasingGateway) deliver(to *leasingGateway, action func()) {
	if g.cut[[2]string{g.name, to.name}] {
		return
	}
	delay := time.Millisecond + g.upTo(20*time.Millisecond)
	if g.rng.IntN(30) == 0 {
		delay = g.upTo(maxMessageDelay)
	}
	g.after(delay, func() { to.run(action) })
}

func (g *leasingGateway) reachesStore() bool { return !g.cut[[2]string{g.name, ""}] }

func (g *leasingGateway) beat() {
	message := fencedBeat{run: g.runs, fence: g.fence, retired: make(map[Generation]int)}
	for generation, share := range g.catalogue.RetiredShares() {
		message.retired[generation] = share
	}
	for _, other := range g.members {
		if other != g {
			g.deliver(other, func() { other.handle(g, message) })
		}
	}
}

func (g *leasingGateway) handle(from *leasingGateway, message fencedBeat) {
	if message.run < g.knownRuns[from.name] {
		return
	}
	g.knownRuns[from.name] = message.run
	g.reported[from.name] = message.retired
	g.retire(message.retired)
	if message.fence > 0 && (message.fence >= g.leaderFence || g.now.Sub(g.leaderAt) > leaderSilence) {
		g.leader, g.leaderFence, g.leaderAt = from, message.fence, g.now
	}
	if g.byHeartbeat {
		g.catalogue.ExtendFetchLease(g.now.Add(FetchLeaseTTL), time.Time{})
		if g.freeing != nil {
			g.freeing.Grant(from.name, g.now)
		}
	}
}

func (g *leasingGateway) retire(shares map[Generation]int) {
	for generation, share := range shares {
		g.catalogue.Retire(generation, share)
	}
}

// ask asks the leader for a lease.
func (g *leasingGateway) ask() {
	leader, askedAt, registeredAt, run := g.leader, g.now, g.registeredAt, g.runs
	if leader == nil || g.now.Sub(g.leaderAt) > leaderSilence || g.byHeartbeat {
		return
	}
	g.deliver(leader, func() {
		if leader.fence == 0 || !g.now.Before(leader.until) {
			return
		}
		leader.freeing.Grant(g.name, g.now)
		retired := make(map[Generation]int)
		for generation, share := range leader.catalogue.RetiredShares() {
			retired[generation] = share
		}
		readFrom := leader.freeing.ReadFrom()
		leader.deliver(g, func() {
			if g.runs == run {
				g.retire(retired)
				g.extend(askedAt, registeredAt, readFrom)
			}
		})
	})
}

// extend extends this gateway's lease, which doesn't outlast its announcement.
func (g *leasingGateway) extend(askedAt, registeredAt, readFrom time.Time) {
	until, announced := askedAt.Add(FetchLeaseTTL), registeredAt.Add(announcementTTL-registrationMargin)
	if announced.Before(until) {
		until = announced
	}
	g.catalogue.ExtendFetchLease(until, readFrom)
}

// register renews this gateway's announcement.
func (g *leasingGateway) register() {
	if g.reachesStore() {
		g.registeredAt = g.now
		g.announcedUntil[g.name] = g.now.Add(announcementTTL)
	}
}

// announced returns the other gateways that are announced.
func (g *leasingGateway) announced() (names []string) {
	for name, until := range g.announcedUntil {
		if name != g.name && g.now.Before(until) {
			names = append(names, name)
		}
	}
	return names
}

// lead renews the leader lease, or acquires it.
func (g *leasingGateway) lead() {
	if g.fence > 0 && !g.now.Before(g.until) {
		g.fence, g.freeing = 0, nil
	}
	if !g.reachesStore() {
		return
	}
	expired := !g.now.Before(g.expiresAt)
	switch {
	case g.fence > 0 && g.freeingSimulation.fence == g.fence && !expired:
	case g.fence == 0 && expired:
		g.freeingSimulation.fence++
		g.fence, g.freeing = g.freeingSimulation.fence, NewFreeing(g.now, g.catalogue.HasFetchLease(g.now))
		handover, freeing := g.now, g.freeing
		g.after(g.upTo(time.Second), func() { freeing.SetHolders(g.announced(), handover, time.Time{}) })
	default:
		return
	}
	g.expiresAt, g.until = g.now.Add(leaderTTL), g.now.Add(leaderTTL-leaderMargin)
	g.extend(g.now, g.registeredAt, g.freeing.ReadFrom())
}

// free retires the parts of earlier versions, in two steps, and frees what may be freed.
func (g *leasingGateway) free() {
	if g.fence == 0 || !g.now.Before(g.until) {
		return
	}
	for version := int64(1); version < g.version; version++ {
		share := FullShare
		if version == g.version-1 && g.rng.IntN(3) > 0 {
			share = FullShare / 2
		}
		g.catalogue.Retire(Generation{Model: "m", Version: version}, share)
	}
	reported := func(gateway string, generation Generation) int { return g.reported[gateway][generation] }
	g.freeing.Update(g.catalogue.RetiredShares(), reported, g.now)
	for generation, share := range g.freeing.Freeable(g.now) {
		g.after(min(g.upTo(time.Second), g.until.Sub(g.now)), func() { g.freeShare(generation, share, g.name) })
	}
}

func (m *freeingSimulation) freeShare(generation Generation, share int, by string) {
	for _, f := range m.fetches {
		if m.now.Before(f.until) && f.generation == generation && f.rank < share && m.freedAt(generation, f.rank).IsZero() {
			m.broken = append(m.broken, fmt.Sprintf("%v: %s frees what %s fetches", m.now.Sub(start), by, f.gateway))
		}
	}
	if share > m.freedShare(generation) {
		m.freed[generation] = append(m.freed[generation], freedShare{share, m.now})
	}
	m.fetches = slices.DeleteFunc(m.fetches, func(f simulatedFetch) bool { return !m.now.Before(f.until) })
}

// freedAt returns when a part was freed by its rank; zero if it wasn't.
func (m *freeingSimulation) freedAt(generation Generation, rank int) time.Time {
	for _, f := range m.freed[generation] {
		if rank < f.share {
			return f.at
		}
	}
	return time.Time{}
}

func (m *freeingSimulation) freedShare(generation Generation) (share int) {
	for _, f := range m.freed[generation] {
		share = f.share
	}
	return share
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (g *leasingGateway) fetch() {
	generation := Generation{Model: "m", Version: max(1, g.version-int64(g.rng.IntN(2)))}
	id := fmt.Sprint("part", g.rng.IntN(50))
	if !g.catalogue.mayFetch(generation, id, minShareTokens, g.now) {
		return
	}
	g.fetched++
	f := simulatedFetch{gateway: g.name, generation: generation, rank: RetirementRank(id), until: g.now.Add(FetchTimeout)}
	freedAt := g.freedAt(generation, f.rank)
	// The oldest reading that may be used.
	readAt := later(g.now.Add(-ReadingTTL), g.catalogue.readFrom)
	switch {
	case freedAt.IsZero():
		g.fetches = append(g.fetches, f)
	case readAt.Before(freedAt):
		g.broken = append(g.broken, fmt.Sprintf("%v: %s fetches what is freed", g.now.Sub(start), g.name))
	}
}

// drawFault cuts or heals links, freezes a gateway, or starts it again.
func (m *freeingSimulation) drawFault() {
	g := m.members[m.rng.IntN(len(m.members))]
	switch m.rng.IntN(5) {
	case 0:
		g.frozenUntil = m.now.Add(m.upTo(maxFreezeTime))
	case 1:
		g.start()
	case 2:
		clear(m.cut)
	default:
		m.partition()
	}
	m.after(m.upTo(maxOutage), m.drawFault)
}

// partition puts the gateways and the metadata store on two sides and cuts the links from one side to the other, mostly both ways.
func (m *freeingSimulation) partition() {
	names := []string{""}
	for _, g := range m.members {
		names = append(names, g.name)
	}
	side := make(map[string]bool)
	for _, name := range names {
		side[name] = m.rng.IntN(2) == 0
	}
	oneWay := m.rng.IntN(4) == 0
	for _, from := range names {
		for _, to := range names {
			if side[from] != side[to] && (side[from] || !oneWay) {
				m.cut[[2]string{from, to}] = true
			}
		}
	}
}

func playFreeing(seed uint64, faults, byHeartbeat bool) *freeingSimulation {
	m := &freeingSimulation{
		simulation: &simulation{rng: rand.New(rand.NewPCG(seed, seed)), now: start},
		cut:        make(map[[2]string]bool), announcedUntil: make(map[string]time.Time), version: 1, byHeartbeat: byHeartbeat, freed: make(map[Generation][]freedShare),
	}
	for i := range freeingGateways {
		g := &leasingGateway{freeingSimulation: m, name: fmt.Sprint("g", i)}
		g.start()
		m.members = append(m.members, g)
		for interval, action := range map[time.Duration]func(){
			heartbeatInterval: g.beat, confirmInterval: g.ask, leaderTTL / 4: g.lead, freeInterval: g.free, simulatedFetchRate: g.fetch,
			announceInterval: g.register,
		} {
			m.after(time.Duration(i)*time.Millisecond+interval/10, func() { g.every(interval, action) })
		}
	}
	var nameVersion func()
	nameVersion = func() {
		m.version++
		m.after(versionInterval+m.upTo(2*versionInterval), nameVersion)
	}
	m.after(versionInterval, nameVersion)
	if faults {
		m.after(m.upTo(maxOutage), m.drawFault)
	}
	for m.now.Before(start.Add(freeingTime)) {
		next := heap.Pop(&m.steps).(step)
		m.now = next.at
		next.run()
	}
	return m
}

// Guards against freeing parts that a gateway which is cut off goes on to fetch, whichever gateways it still hears.
func TestSimulatedCutsLetNoPartBeFreedWhileItIsFetched(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	byHeartbeat := 0
	for seed := range uint64(freeingSeeds) {
		m := playFreeing(seed, true, false)
		c.Check(m.broken, qt.HasLen, 0, qt.Commentf("seed %d", seed))
		if len(playFreeing(seed, true, true).broken) > 0 {
			byHeartbeat++
		}
	}
	c.Check(byHeartbeat > 0, qt.IsTrue, qt.Commentf("leases by heartbeats break nothing, so that the simulation can't find the fault"))
	c.Logf("leases by heartbeats break %d of %d seeds", byHeartbeat, freeingSeeds)
}

// While nothing fails, all gateways fetch, and the parts of earlier versions are freed.
func TestSimulatedCalmGatewaysFetchAndFree(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(5) {
		m := playFreeing(seed, false, false)
		c.Check(m.broken, qt.HasLen, 0, qt.Commentf("seed %d", seed))
		for version := int64(1); version < m.version-1; version++ {
			c.Check(m.freedShare(Generation{Model: "m", Version: version}), qt.Equals, FullShare, qt.Commentf("seed %d, version %d", seed, version))
		}
		c.Check(m.fetched > int(freeingTime/simulatedFetchRate), qt.IsTrue, qt.Commentf("seed %d: %d fetches", seed, m.fetched))
	}
}
