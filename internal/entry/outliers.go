package entry

import (
	"time"

	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/health"
	"balsamyoke.example/balsamyoke/internal/membership"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// Weights of a run's parts in its expected service time. Replicas are compared with each other,
// so only their proportion matters.
const (
	computedTokenTime  = 50 * time.Microsecond
	generatedTokenTime = 20 * time.Millisecond
	callTime           = 5 * time.Millisecond
)

// track tells the outlier detection which replicas there are. The mutex is held.
func (r *replicas) track() {
	known := make(map[string]bool)
	for _, m := range r.near() {
		known[m.ID] = true
		r.health.Add(health.Replica{ID: m.ID, Service: m.Service, FailureDomain: m.FailureDomain})
	}
	for id := range r.tracked {
		if !known[id] {
			r.health.Remove(id)
		}
	}
	r.tracked = known
}

// judge ejects outliers and logs what changed.
func (r *replicas) judge(now time.Time) {
	changes := r.health.Evaluate(now)
	for _, change := range changes {
		r.logger.Info("replica health", zap.String("instance", change.ID), zap.String("service", change.Service),
			zap.String("failure_domain", change.FailureDomain), zap.String("state", change.State))
	}
	elapsed := r.members.Tick(now)
	if elapsed || len(changes) > 0 {
		r.rebuild(now)
	}
}

// sending notes a dispatch. A replica that was ejected gets only a few until they succeed.
func (r *replicas) sending(instance string, now time.Time) {
	before := r.health.Usable(now, instance)
	r.health.Allow(now, instance)
	if r.health.Usable(now, instance) != before {
		r.rebuild(now)
	}
}

// ended notes the end of an attempt.
func (r *replicas) ended(instance string, sample health.Sample, now time.Time) {
	before := r.health.Usable(now, instance)
	r.health.Record(now, instance, sample)
	if r.health.Usable(now, instance) != before {
		r.rebuild(now)
	}
}

// ejected says whether a replica is left out for now. The mutex is held.
func (r *replicas) ejected(m membership.Member, now time.Time) bool {
	return m.Doubtful || !r.health.Usable(now, m.ID)
}

// serviceRatio compares the service time of a whole run, queueing excluded, with what its tokens
// should take.
func serviceRatio(done *wire.Done, took time.Duration, delivered uint32) float64 {
	service := took - time.Duration(done.GetQueueMs())*time.Millisecond
	expected := callTime +
		time.Duration(done.GetComputedTokens())*computedTokenTime +
		time.Duration(delivered)*generatedTokenTime
	return max(service.Seconds()/expected.Seconds(), 0)
}

// succeeded notes a whole run at a replica.
func (r *run) succeeded(done *wire.Done, target *placed) {
	r.entry.retries.succeeded(r.request.service.Name)
	sample := health.Sample{Ratio: serviceRatio(done, time.Since(r.began), r.stream.Delivered())}
	r.entry.runEnded(target.instance.ID, sample)
}

// faulty notes an attempt that failed or stalled at a replica whose agent is alive.
func (r *run) faulty(target *placed, outcome wire.Outcome) (*wire.Done, verdict, *Failure) {
	r.tried[target.instance.ID] = true
	r.end.Outcome = outcome
	r.entry.counters.lostAttempts.Inc(1)
	r.entry.runEnded(target.instance.ID, health.Sample{Failed: true})
	if r.request.kind.Idempotent {
		return nil, verdictRetry, nil
	}
	return nil, verdictLost, nil
}
