package agent

import (
	"encoding/binary"
	"time"

	"balsamyoke.example/balsamyoke/internal/admission"
	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// reservationTTL is how long a place in the queue stays reserved for the dispatch after a probe.
const reservationTTL = 30 * time.Millisecond

// handleProbe replies to a probe from the live queue. It drops the probe when the control queue is
// full; the entry then chooses another replica.
func (a *Agent) handleProbe(datagram *wire.Datagram, reply func(*wire.Datagram)) {
	probe := datagram.GetProbe()
	if probe == nil {
		return
	}
	a.counters.probes.Inc(1)
	a.loop.TryPost(func() {
		probeReply := a.answerProbe(probe, time.Now())
		reply(&wire.Datagram{Body: &wire.Datagram_ProbeReply{ProbeReply: probeReply}})
	})
}

func (a *Agent) answerProbe(probe *wire.Probe, now time.Time) *wire.ProbeReply {
	reply := &wire.ProbeReply{
		Nonce:             probe.GetNonce(),
		Instance:          a.settings.Instance,
		Incarnation:       a.incarnation,
		ConfigVersion:     a.configVersion(),
		PrefillUsPerToken: uint32(a.state.prefills.slowdown * float64(a.settings.PrefillUSPerToken)),
		InFlight:          uint32(a.state.queue.Len() + a.state.queue.Running()),
		LoadAgeMs:         uint32(now.Sub(a.state.engineReadAt).Milliseconds()),
	}
	dispatch := probeDispatch(probe)
	reason, _ := a.mismatch(dispatch, 0)
	reply.Reason = reason
	reply.Eligible = reason == wire.RefusalReason_REFUSAL_REASON_UNSPECIFIED
	if !reply.Eligible {
		return reply
	}
	job := a.queueJob(attempt.ID{}, dispatch, now)
	start := a.state.queue.Predict(now, job) + a.state.prefills.wait(probe.GetUrgency(), now)
	reply.PredictedStartMs = uint32(start.Milliseconds())
	a.addCacheEstimate(reply, dispatch, now)
	if probe.GetReserve() {
		ttft, _ := a.estimate(dispatch, now)
		reply.Reservation = a.reserve(now, job, ttft, probe.GetUrgency())
	}
	return reply
}

// probeDispatch returns the dispatch that a probe describes.
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

// reserve reserves a place in the queue and in the engine for the dispatch that may follow a probe. It
// returns nil when the queue has too many reservations.
func (a *Agent) reserve(now time.Time, job admission.Job, ttft time.Duration, urgency wire.Urgency) []byte {
	a.state.lastReservationID++
	id := a.state.lastReservationID
	if !a.state.queue.Reserve(now, id, job, reservationTTL) {
		return nil
	}
	if a.isModel() {
		a.state.prefills.reserve(id, ttft, urgency, now.Add(reservationTTL))
	}
	return binary.BigEndian.AppendUint64(nil, uint64(id))
}

// queueJob estimates the work of a dispatch for the queue.
func (a *Agent) queueJob(id attempt.ID, d *wire.Dispatch, now time.Time) admission.Job {
	ttft, work := a.estimate(d, now)
	job := admission.Job{
		Attempt:      admission.AttemptID(id),
		Organisation: d.GetOrganisation(),
		Share:        a.share(d.GetOrganisation()),
		Kind:         d.GetKind(),
		Urgency:      d.GetUrgency(),
		Work:         float64(work.Milliseconds()),
		FirstToken:   ttft + a.state.prefills.wait(d.GetUrgency(), now),
		Deadline:     now.Add(time.Duration(d.GetDeadlineMs()) * time.Millisecond),
	}
	job.Reservation = reservationOf(d)
	return job
}

// reservationOf returns the reservation that a dispatch uses; zero when it has none.
func reservationOf(d *wire.Dispatch) admission.ReservationID {
	raw := d.GetReservation()
	if len(raw) != reservationBytes {
		return 0
	}
	return admission.ReservationID(binary.BigEndian.Uint64(raw))
}

// reservationBytes is the encoded length of a reservation in bytes.
const reservationBytes = 8

// estimate returns the predicted time to the first token (TTFT) and the time that the run occupies its slot.
func (a *Agent) estimate(d *wire.Dispatch, now time.Time) (ttft, work time.Duration) {
	if !a.isModel() {
		work = time.Duration(a.settings.PlainWorkMS) * time.Millisecond
		return work, work
	}
	prefill := time.Duration(a.settings.PrefillUSPerToken) * time.Microsecond
	decode := time.Duration(a.settings.DecodeUSPerToken) * time.Microsecond
	ttft = time.Duration(d.GetPromptTokens()) * prefill
	if prompt, ok := a.prompt(d, 0, now); ok {
		ttft = a.cache.mover.Estimate(prompt, now).TTFT
	}
	remaining := d.GetMaxTokens() - min(d.GetMaxTokens(), d.GetResumeTokens())
	return ttft, ttft + time.Duration(remaining)*decode
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
