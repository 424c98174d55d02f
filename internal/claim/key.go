package claim

import (
	"time"

	"github.com/google/uuid"

	"balsamyoke.example/balsamyoke/internal/attempt"
)

const (
	// MaxTTL bounds the age of a key, even if a longer lifetime is configured. Claims are stored for
	// longer than MaxTTL, so that no key is accepted after its claim was deleted.
	MaxTTL = 24 * time.Hour
	// MaxClockSkew is the largest accepted error of a caller's or an entry's clock.
	MaxClockSkew = time.Minute
	// writeAllowance is how long after a key's expiry a claim of it may still be confirmed.
	writeAllowance = time.Minute
)

// Key is a caller's idempotency key: a UUID of version 7, which carries its time of creation.
type Key struct{ id uuid.UUID }

// ParseKey parses a key in the usual text form of a UUID. It returns ErrInvalidKey unless the text is a
// UUID of version 7.
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

// String returns the key in the usual text form of a UUID.
func (k Key) String() string { return k.id.String() }

// Time returns the time of the key's creation, by the caller's clock.
func (k Key) Time() time.Time { return attempt.ID(k.id).Time() }

// Check returns ErrExpiredKey or ErrFutureKey when the key must not be used now. ttl is the configured
// lifetime of keys; it is limited to MaxTTL.
func (k Key) Check(now time.Time, ttl time.Duration) error {
	age := now.Sub(k.Time())
	if age > min(ttl, MaxTTL) {
		return ErrExpiredKey.New("key %s is %s old, the limit is %s", k, age.Round(time.Second), min(ttl, MaxTTL))
	}
	if age < -MaxClockSkew {
		return ErrFutureKey.New("key %s is %s in the future, the limit is %s", k, -age.Round(time.Second), MaxClockSkew)
	}
	return nil
}

// checkConfirmed returns ErrExpiredKey when a claim is confirmed so late that an earlier claim of the
// key could already have been deleted.
func (k Key) checkConfirmed(now time.Time) error {
	if age := now.Sub(k.Time()); age > MaxTTL+writeAllowance {
		return ErrExpiredKey.New("the claim of key %s was confirmed too late, at an age of %s", k, age.Round(time.Second))
	}
	return nil
}
