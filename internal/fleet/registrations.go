package fleet

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/dispatch"
	"balsamyoke.example/balsamyoke/internal/eventlog"
	"balsamyoke.example/balsamyoke/internal/metastore"
)

const (
	// registrationReadInterval is the shortest interval between two reads of the registrations for requests that rely on them.
	registrationReadInterval = 50 * time.Millisecond
	// registrationReadsPerSecond bounds such reads of all gateways together: half of the reading calls that the metadata store
	// takes in the deployments.
	registrationReadsPerSecond = 1000
	// confirmedFor is how long a request may be sent after its server's run was confirmed. A gateway that was frozen in between
	// doesn't send it.
	confirmedFor = 2 * confirmTimeout
)

// registrationReads reads the registrations of servers for the requests that rely on them. Requests that come before a read begins
// share it, because each call is charged.
type registrationReads struct {
	mu sync.Mutex
	// next is the read that hasn't begun yet, nil for none.
	next    *registrationRead
	beganAt time.Time
}

type registrationRead struct {
	done chan struct{}
	// asOf is set before done is closed: the time as of which all registrations are known here, zero if the read has failed.
	asOf time.Time
}

// join returns the read to wait for, and how long after now it begins if the caller is to make it. It returns nil if none may begin
// within confirmTimeout.
func (r *registrationReads) join(now time.Time, interval time.Duration) (read *registrationRead, beginsIn time.Duration, makes bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next != nil {
		return r.next, 0, false
	}
	if beginsIn = max(0, r.beganAt.Add(interval).Sub(now)); beginsIn > confirmTimeout {
		return nil, 0, false
	}
	r.next = &registrationRead{done: make(chan struct{})}
	return r.next, beginsIn, true
}

// begin records that the next read begins. Requests that come later wait for another one.
func (r *registrationReads) begin(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next, r.beganAt = nil, now
}

// readRegistrations reads the changes of registrations that the metadata store has now. It returns a time after its call as of which
// all are known here, zero if that can't be shown in time.
func (f *Fleet) readRegistrations(ctx context.Context) time.Time {
	follows, gateways := false, 0
	f.loop.Call(func() {
		listed := f.mirror.AsOf(f.Platform.Documents.ServerPrefix()) != metastore.Position{}
		follows, gateways = listed && f.registry.IsStoreReachable(), f.members.Count()
	})
	if !follows {
		return time.Time{}
	}
	interval := max(registrationReadInterval, time.Duration(gateways)*time.Second/registrationReadsPerSecond)
	read, beginsIn, makes := f.registrationReads.join(bootclock.Now(), interval)
	if read == nil {
		return time.Time{}
	}
	if makes {
		// The read outlasts its first request, because others wait for it.
		go f.makeRegistrationRead(context.WithoutCancel(ctx), read, beginsIn)
	}
	// The read bounds the wait. A time limit from now on would pass if the process doesn't run for a moment before the read begins.
	select {
	case <-read.done:
		return read.asOf
	case <-ctx.Done():
		return time.Time{}
	}
}

func (f *Fleet) makeRegistrationRead(ctx context.Context, read *registrationRead, beginsIn time.Duration) {
	defer close(read.done)
	sleep(ctx, beginsIn)
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	requestedAt := bootclock.Now()
	f.registrationReads.begin(requestedAt)
	f.Counters.StoreCalls.Inc(1)
	if err := f.poll(ctx, f.Platform.Documents.ServerPrefix(), 0, f.applyServerChanges); err != nil {
		f.Counters.StoreFailures.Inc(1)
		f.Log.Warn(EventRegistrationsUnread, eventlog.Error(err))
		return
	}
	// poll has posted the changes, so that they are applied before this call.
	if f.loop.Call(func() {}) {
		read.asOf = requestedAt
	}
}

// runConfirmation confirms the runs of the servers on which one request is placed. It reads the registrations once.
type runConfirmation struct {
	fleet *Fleet
	read  bool
	asOf  time.Time
}

// confirm reports whether the server of a placement is still in the run that registered its software version, and records as of when. A
// server may start again under its id with another version, and its registration may arrive late. An engine's report tells its run.
// Other servers are taken at a registration that the metadata store has had since the request came.
func (r *runConfirmation) confirm(ctx context.Context, p *dispatch.Placement) bool {
	if p.Plan == nil || p.StartedMS == 0 {
		return r.confirmRegistration(ctx, p)
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	askedAt := bootclock.Now()
	report, err := r.fleet.Platform.Engines.Report(ctx, p.Address)
	if err != nil {
		r.fleet.Log.Warn(EventReportFailed, zap.String("server", p.Server), eventlog.Error(err))
		return false
	}
	switch report.StartedMS {
	case 0:
		return r.confirmRegistration(ctx, p)
	case p.StartedMS:
		p.RunConfirmedAt = askedAt
		return true
	}
	r.fleet.loop.Call(func() { r.fleet.dispatcher.EndRun(bootclock.Now(), p.Server, report.StartedMS) })
	return false
}

func (r *runConfirmation) confirmRegistration(ctx context.Context, p *dispatch.Placement) (confirmed bool) {
	if !r.read {
		r.read, r.asOf = true, r.fleet.readRegistrations(ctx)
	}
	if r.asOf.IsZero() {
		return false
	}
	r.fleet.loop.Call(func() {
		now := bootclock.Now()
		confirmed = now.Sub(r.asOf) < confirmedFor && r.fleet.registry.IsCurrent(p.Server, now) && r.fleet.dispatcher.IsRegistered(now, p)
	})
	p.RunConfirmedAt = r.asOf
	return confirmed
}
