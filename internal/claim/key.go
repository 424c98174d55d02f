package claim

import (
	"time"

	"github.com/google/uuid"

	"balsamyoke.example/balsamyoke/internal/attempt"
)

const (
	// MaxTTL bounds how old a key may be. Claims outlive it whatever the configuration says, so that
	// a longer configured time never accepts a key whose claim has vanished.
	MaxTTL = 24 * time.Hour
	// MaxClockSkew is how far a caller's or an entry's clock may be off.
	MaxClockSkew = time.Minute
	// writeAllowance is how long after a key's expiry a claim of it may still be confirmed.
	writeAllowance = time.Minute
)

// Key is a caller's idempotency key: a UUID of version 7, which carries its time of creation.
type Key struct{ id uuid.UUID }

// ParseKey reads a key in the usual form of a UUID. It returns ErrInvalidKey for anything else.
func ParseKey(text string) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil {
		return Key{}, ErrInvalidKey.Wrap(err, "key %q", text)
	}
	if _, err := attempt.ParseID(id[:]); err != nil {
		return Key{}, ErrInvalidKey.New("key %q is not a UUID of version 7", text)
	}
	return Key{id: id}, nil
}

// String returns the key in the usual form of a UUID.
func (k Key) String() string { return k.id.String() }

// Time returns when the key was created, by the clock of its caller.
func (k Key) Time() time.Time { return attempt.ID(k.id).Time() }

// Check returns ErrExpiredKey or ErrFutureKey when the key must not be used now. ttl is the
// configured life of keys and is cut to MaxTTL.
func (k Key) Check(now time.Time, ttl time.Duration) error {
	age := now.Sub(k.Time())
	if age > min(ttl, MaxTTL) {
		return ErrExpiredKey.New("key %s is %s old, the limit is %s", k, age.Round(time.Second), min(ttl, MaxTTL))
	}
	if age < -MaxClockSkew {
		return ErrFutureKey.New("key %s lies %s in the future, the limit is %s", k, -age.Round(time.Second), MaxClockSkew)
	}
	return nil
}

// Checks that a claim confirmed now cannot be the second one: the first would still be stored.
func (k Key) checkConfirmed(now time.Time) error {
	if age := now.Sub(k.Time()); age > MaxTTL+writeAllowance {
		return ErrExpiredKey.New("the claim of key %s was confirmed too late, at an age of %s", k, age.Round(time.Second))
	}
	return nil
}
