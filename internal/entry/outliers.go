package entry

import (
	"time"

	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/health"
	"balsamyoke.example/balsamyoke/internal/membership"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// The assumed durations of a run's parts. They yield its expected service time. Replicas are compared only
// with each other, so only the proportions matter.
const (
	computedTokenTime  = 50 * time.Microsecond
	generatedTokenTime = 20 * time.Millisecond
	callTime           = 5 * time.Millisecond
)

// trackHealth adds new replicas to the health tracker and removes those that placements no longer choose from.
func (r *replicas) trackHealth() {
	current := make(map[string]bool)
	for _, m := range r.near() {
		current[m.ID] = true
		r.health.Add(health.Replica{ID: m.ID, Service: m.Service, FailureDomain: m.FailureDomain})
	}
	for id := range r.tracked {
		if !current[id] {
			r.health.Remove(id)
		}
	}
	r.tracked = current
}

// evaluateHealth ejects outliers, logs state changes and advances the members' timeouts.
func (r *replicas) evaluateHealth(now time.Time) {
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

// recordDispatch records a dispatch. After an ejection a replica gets only a few trial requests until these
// succeed.
func (r *replicas) recordDispatch(instance string, now time.Time) {
	before := r.health.Usable(now, instance)
	r.health.Allow(now, instance)
	if r.health.Usable(now, instance) != before {
		r.rebuild(now)
	}
}

// recordRunEnd records the result of an attempt at a replica.
func (r *replicas) recordRunEnd(instance string, sample health.Sample, now time.Time) {
	before := r.health.Usable(now, instance)
	r.health.Record(now, instance, sample)
	if r.health.Usable(now, instance) != before {
		r.rebuild(now)
	}
}

// ejected reports whether a replica is currently excluded from placement.
func (r *replicas) ejected(m membership.Member, now time.Time) bool {
	return m.Unconfirmed || !r.health.Usable(now, m.ID)
}

// serviceRatio returns the service time of a complete run, queueing excluded, divided by the expected time
// for its tokens.
func serviceRatio(done *wire.Done, took time.Duration, deliveredTokens uint32) float64 {
	service := took - time.Duration(done.GetQueueMs())*time.Millisecond
	expected := callTime +
		time.Duration(done.GetComputedTokens())*computedTokenTime +
		time.Duration(deliveredTokens)*generatedTokenTime
	return max(service.Seconds()/expected.Seconds(), 0)
}

// recordSuccess records a complete run at a replica.
func (r *run) recordSuccess(done *wire.Done, target *dispatchTarget) {
	r.entry.retries.recordSuccess(r.request.service.Name)
	sample := health.Sample{Ratio: serviceRatio(done, time.Since(r.attemptStart), r.stream.Delivered())}
	r.entry.recordRunEnd(target.instance.ID, sample)
}

// attemptFailed handles an attempt that failed or stalled at a replica whose agent is alive.
func (r *run) attemptFailed(target *dispatchTarget, outcome wire.Outcome) (*wire.Done, nextStep, *Failure) {
	r.tried[target.instance.ID] = true
	r.lastAttempt.Outcome = outcome
	r.entry.counters.lostAttempts.Inc(1)
	r.entry.recordRunEnd(target.instance.ID, health.Sample{Failed: true})
	if r.request.kind.Idempotent {
		return nil, stepRetry, nil
	}
	return nil, stepAsk, nil
}
