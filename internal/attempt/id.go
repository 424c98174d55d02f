// Package attempt defines the ids of attempts. An attempt is one dispatch of a request to one agent
// incarnation. Entries create the ids. Agents read the age of an attempt from its id, so they can remove
// old attempts from memory and still never run one again.
package attempt

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"
)

// ID is a UUID of version 7. Its leading 48 bits are the time of creation in Unix milliseconds.
type ID [16]byte

// NewID returns a new id with the present time by the clock of this process. The error is ErrNoEntropy.
func NewID() (ID, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return ID{}, ErrNoEntropy.Wrap(err, "create attempt id")
	}
	return ID(id), nil
}

// ParseID reads an id from a frame. It returns ErrInvalidID for anything but a UUID of version 7.
func ParseID(raw []byte) (ID, error) {
	id, err := uuid.FromBytes(raw)
	if err != nil {
		return ID{}, ErrInvalidID.Wrap(err, "attempt id of %d bytes", len(raw))
	}
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return ID{}, ErrInvalidID.New("attempt id %s is not a UUID of version 7", id)
	}
	return ID(id), nil
}

// Time returns the time of creation, in whole milliseconds, by the clock of the creator.
func (id ID) Time() time.Time {
	milliseconds := binary.BigEndian.Uint64(id[:8]) >> 16
	return time.UnixMilli(int64(milliseconds))
}

// String returns the id in the usual form of a UUID.
func (id ID) String() string { return uuid.UUID(id).String() }
