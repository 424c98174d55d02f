package agent

import (
	"encoding/binary"
	"time"

	"balsamyoke.example/balsamyoke/internal/admission"
	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// reservationTTL is how long a probe reply holds its place for the dispatch that may follow.
const reservationTTL = 30 * time.Millisecond

// probed answers a probe from the live queue. A full control queue drops the probe: the entry
// then takes another replica.
func (a *Agent) probed(datagram *wire.Datagram, reply func(*wire.Datagram)) {
	probe := datagram.GetProbe()
	if probe == nil {
		return
	}
	a.counters.probes.Inc(1)
	a.loop.TryPost(func() {
		answer := a.answerProbe(probe, time.Now())
		reply(&wire.Datagram{Body: &wire.Datagram_ProbeReply{ProbeReply: answer}})
	})
}

func (a *Agent) answerProbe(probe *wire.Probe, now time.Time) *wire.ProbeReply {
	answer := &wire.ProbeReply{
		Nonce:             probe.GetNonce(),
		Instance:          a.settings.Instance,
		Incarnation:       a.incarnation,
		ConfigVersion:     a.configVersion(),
		PrefillUsPerToken: uint32(a.state.prompts.slowness * float64(a.settings.PrefillMicrosPerToken)),
		InFlight:          uint32(a.state.queue.Len() + a.state.queue.Running()),
		LoadAgeMs:         uint32(now.Sub(a.state.readAt).Milliseconds()),
	}
	asked := probeDispatch(probe)
	reason, _ := a.mismatch(asked, 0)
	answer.Reason = reason
	answer.Eligible = reason == wire.RefusalReason_REFUSAL_REASON_UNSPECIFIED
	if !answer.Eligible {
		return answer
	}
	job := a.queueJob(attempt.ID{}, asked, now)
	start := a.state.queue.Predict(now, job) + a.state.prompts.wait(probe.GetUrgency(), now)
	answer.PredictedStartMs = uint32(start.Milliseconds())
	a.answerCache(answer, asked, now)
	if probe.GetReserve() {
		firstToken, _ := a.estimate(asked, now)
		answer.Reservation = a.reserve(now, job, firstToken, probe.GetUrgency())
	}
	return answer
}

// probeDispatch is the dispatch that a probe asks about.
func probeDispatch(probe *wire.Probe) *wire.Dispatch {
	return &wire.Dispatch{
		Organisation:  probe.GetOrganisation(),
		Service:       probe.GetService(),
		WeightVersion: probe.GetWeightVersion(),
		Adapter:       probe.GetAdapter(),
		Urgency:       probe.GetUrgency(),
		Pieces:        probe.GetPieces(),
		PromptTokens:  probe.GetPromptTokens(),
		MaxTokens:     probe.GetMaxTokens(),
		DeadlineMs:    probe.GetDeadlineMs(),
		ConfigVersion: probe.GetConfigVersion(),
	}
}

// reserve holds a place in the queue and in the engine for the dispatch that may follow a probe.
func (a *Agent) reserve(now time.Time, job admission.Job, firstToken time.Duration, urgency wire.Urgency) []byte {
	a.state.reserveID++
	id := a.state.reserveID
	if !a.state.queue.Reserve(now, id, job, reservationTTL) {
		return nil
	}
	if a.isModel() {
		a.state.prompts.reserve(id, firstToken, urgency, now.Add(reservationTTL))
	}
	return binary.BigEndian.AppendUint64(nil, uint64(id))
}

// queueJob estimates the work of a dispatch for the queue.
func (a *Agent) queueJob(id attempt.ID, d *wire.Dispatch, now time.Time) admission.Job {
	firstToken, work := a.estimate(d, now)
	job := admission.Job{
		Attempt:      admission.AttemptID(id),
		Organisation: d.GetOrganisation(),
		Share:        a.share(d.GetOrganisation()),
		Kind:         d.GetKind(),
		Urgency:      d.GetUrgency(),
		Work:         float64(work.Milliseconds()),
		FirstToken:   firstToken + a.state.prompts.wait(d.GetUrgency(), now),
		Deadline:     now.Add(time.Duration(d.GetDeadlineMs()) * time.Millisecond),
	}
	job.Reservation = reservationOf(d)
	return job
}

// reservationOf returns the reservation that a dispatch uses up; zero when it has none.
func reservationOf(d *wire.Dispatch) admission.ReservationID {
	raw := d.GetReservation()
	if len(raw) != reservationBytes {
		return 0
	}
	return admission.ReservationID(binary.BigEndian.Uint64(raw))
}

// reservationBytes is the length of a reservation on the wire.
const reservationBytes = 8

// estimate returns the time to the first token and the time that a run holds its slot.
func (a *Agent) estimate(d *wire.Dispatch, now time.Time) (firstToken, work time.Duration) {
	if !a.isModel() {
		work = time.Duration(a.settings.PlainWorkMillis) * time.Millisecond
		return work, work
	}
	prefill := time.Duration(a.settings.PrefillMicrosPerToken) * time.Microsecond
	decode := time.Duration(a.settings.DecodeMicrosPerToken) * time.Microsecond
	firstToken = time.Duration(d.GetPromptTokens()) * prefill
	if prompt, ok := a.prompt(d, 0, now); ok {
		firstToken = a.cache.mover.Estimate(prompt, now).FirstToken
	}
	left := d.GetMaxTokens() - min(d.GetMaxTokens(), d.GetResumeTokens())
	return firstToken, firstToken + time.Duration(left)*decode
}

// share returns the weight of an organisation in the fair queue.
func (a *Agent) share(organisation string) float64 {
	snapshot := a.configuration.Current()
	if snapshot == nil {
		return 1
	}
	found, ok := snapshot.Index.Organisation(organisation)
	if !ok {
		return 1
	}
	return found.Share
}
