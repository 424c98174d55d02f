package dispatch

import (
	"math"
	"time"
)

const (
	// speedTimeConstant is the time constant with which a stated speed fades towards 1. Servers that share their hosts are
	// slow for about 600 ms at a time; the expected value of a figure that changes at random at that rate decays with it.
	speedTimeConstant = 600 * time.Millisecond
	// speedHorizon is added to the age of a statement. A prediction is about the time that a request will spend at the server, on
	// average this much later: half of the time to first token of a long prompt.
	speedHorizon = 150 * time.Millisecond
	// minSpeed and maxSpeed bound a stated speed. Hosts that are shared are up to 2.5 times as slow; twice that leaves
	// room, and after 2.5 s a server that stated it is predicted at less than 1.1 again, so that it gets requests.
	minSpeed = 0.5
	maxSpeed = 5.0
	// lastingSpeedTimeConstant is the time constant of the average speed that counts as evidence against a server. A single
	// moment of 600 ms moves the average by a tenth of what it states.
	lastingSpeedTimeConstant = 5 * time.Second
	// recentSpeedTTL is the age up to which a statement counts in the metrics: two time constants, after which a seventh of
	// it is left.
	recentSpeedTTL = 2 * speedTimeConstant
	// slowDeviation is the smallest deviation from 1 that counts as slow in the metrics.
	slowDeviation = 0.05
)

// speed is what a server has stated about how long work takes on its host.
//
// Invariant: the latest statement by time is in force.
type speed struct {
	// factor is the stated figure within minSpeed and maxSpeed; 0 before the first statement.
	factor float64
	// at is when the server stated it.
	at time.Time
	// lasting is the average of the statements over lastingSpeedTimeConstant, as of at.
	lasting float64
}

// record records a statement, unless a later one is known or the figure is not a positive number.
func (s *speed) record(at time.Time, factor float64) {
	if !(factor > 0) || math.IsInf(factor, 0) || s.factor > 0 && !at.After(s.at) {
		return
	}
	factor = min(max(factor, minSpeed), maxSpeed)
	if s.factor == 0 {
		s.lasting = 1
	} else {
		// The average takes the new statement as valid for at most speedTimeConstant before it was made. For the time before
		// that it fades towards 1.
		gap := at.Sub(s.at)
		covered := min(gap, speedTimeConstant)
		s.lasting = 1 + (s.lasting-1)*fade(gap-covered, lastingSpeedTimeConstant)
		s.lasting = factor + (s.lasting-factor)*fade(covered, lastingSpeedTimeConstant)
	}
	s.factor, s.at = factor, at
}

// fade returns the share of a deviation that is left after a time.
func fade(age, constant time.Duration) float64 {
	return math.Exp(-float64(max(0, age)) / float64(constant))
}

// factorAt returns the speed that is expected for a request sent at a time: the stated one, faded towards 1 with its age. It is
// exactly 1 without a statement.
func (s *speed) factorAt(now time.Time) float64 {
	if s.factor == 0 {
		return 1
	}
	return 1 + (s.factor-1)*fade(max(0, now.Sub(s.at))+speedHorizon, speedTimeConstant)
}

// lastingAt returns the average speed, which fades towards 1 while the server states nothing. It is exactly 1 without a statement.
func (s *speed) lastingAt(now time.Time) float64 {
	if s.factor == 0 {
		return 1
	}
	return 1 + (s.lasting-1)*fade(now.Sub(s.at), lastingSpeedTimeConstant)
}

// speedFactor returns how long work is expected to take at the server now, relative to usual.
func (d *Dispatcher) speedFactor(now time.Time, s *server) float64 { return s.speed.factorAt(now) }

// setSpeed records in a placement the speed that its predictions were made with.
func (p *Placement) setSpeed(now time.Time, s *server) {
	p.Speed = s.speed.factorAt(now)
	if s.speed.factor > 0 {
		p.SpeedStated, p.SpeedAge, p.statedSpeed = true, now.Sub(s.speed.at), s.speed.factor
	}
}

// speedHeld returns the speed of the server while it worked on a request that was sent took before now. Without a statement since
// the request was sent, it is the speed that the placement was predicted with. Otherwise it is the mean of the latest statement,
// which usually came with the response, and the one known at the placement, weighted by how much of that had not faded by then.
func (s *server) speedHeld(now time.Time, p *Placement, took time.Duration) float64 {
	if p.Speed == 0 {
		return 1
	}
	if s.speed.factor == 0 || !s.speed.at.After(now.Add(-took)) {
		return p.Speed
	}
	weight := 0.0
	if p.SpeedStated {
		weight = fade(p.SpeedAge, speedTimeConstant)
	}
	return (s.speed.factor + weight*p.statedSpeed) / (1 + weight)
}

// averageSpeed returns the average speed over the whole time that a request took until now. The speed of speedHeld is taken as valid
// for speedTimeConstant before and after the statement that it comes from. For the rest of a longer request, the speed is taken as 1.
func (s *server) averageSpeed(now time.Time, p *Placement, took time.Duration) float64 {
	held := s.speedHeld(now, p, took)
	covered := speedTimeConstant
	if sentAt := now.Add(-took); s.speed.factor != 0 && s.speed.at.After(sentAt) {
		covered = min(speedTimeConstant, s.speed.at.Sub(sentAt)) + min(speedTimeConstant, max(0, now.Sub(s.speed.at)))
	}
	if covered >= took {
		return held
	}
	return 1 + (held-1)*float64(covered)/float64(took)
}

// rescaled returns the predicted time to the first byte and the engine's part of it for another speed than that of the placement.
func (p *Placement) rescaled(speed float64) (predicted, engine time.Duration) {
	engine = p.EngineTime
	if p.Plan == nil {
		engine = p.PredictedTTFB
	}
	if p.Speed == 0 || p.Speed == speed {
		return p.PredictedTTFB, engine
	}
	scaled := time.Duration(float64(engine) * speed / p.Speed)
	return p.PredictedTTFB + scaled - engine, scaled
}

// SpeedCounts returns how many servers have stated their speed within recentSpeedTTL, and how many of them are expected to
// be slower than usual by slowDeviation or more.
func (d *Dispatcher) SpeedCounts(now time.Time) (stated, slow int) {
	for _, s := range d.servers {
		if s.speed.factor == 0 || now.Sub(s.speed.at) > recentSpeedTTL {
			continue
		}
		stated++
		if s.speed.factorAt(now) >= 1+slowDeviation {
			slow++
		}
	}
	return stated, slow
}

// SpeedState is the speed of one server in a dump. All figures are 0 when the server has stated none.
type SpeedState struct {
	// StatedSpeed is what the server last stated, within bounds, SpeedAgeMS how long ago, SpeedFactor what predictions use now.
	StatedSpeed float64 `json:"stated_speed,omitempty"`
	SpeedAgeMS  int64   `json:"speed_age_ms,omitempty"`
	SpeedFactor float64 `json:"speed_factor,omitempty"`
}

func (s *speed) state(now time.Time) SpeedState {
	if s.factor == 0 {
		return SpeedState{}
	}
	return SpeedState{StatedSpeed: s.factor, SpeedAgeMS: now.Sub(s.at).Milliseconds(), SpeedFactor: s.factorAt(now)}
}
