package config

import (
	"context"
	"time"
)

// catchUpPoll is the time between two looks at the version in force while catching up.
const catchUpPoll = 5 * time.Millisecond

// CatchUp returns when at least version is in force. It pulls from the process at the control
// address from, if one is named, and reads the service when that does not help at once. It returns
// ErrUnavailable when ctx ends first.
func (s *Spread) CatchUp(ctx context.Context, version uint64, from string) error {
	s.Heard(version, from)
	readAt := time.Now().Add(callTimeout / 4)
	for s.options.Holder.Version() < version {
		if ctx.Err() != nil {
			return ErrUnavailable.New("version %d is not in force, version %d is", version, s.options.Holder.Version())
		}
		if time.Now().After(readAt) {
			s.readRoot(ctx)
			readAt = time.Now().Add(callTimeout)
		}
		wait(ctx, catchUpPoll)
	}
	return nil
}
