// Package piece names, seals and opens pieces of KV cache. A piece is the cache of about a
// thousand consecutive prompt tokens. Entries compute the names of the pieces of each prompt; agents
// seal the pieces that they export and open the ones that they read back.
package piece

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// NameSize is the length of a Name in bytes.
const NameSize = 16

// DefaultBytes is the length of a piece's text in bytes, about 1,000 tokens at 4 bytes a token.
const DefaultBytes = 4096

// bytesPerToken converts lengths of text to estimated token counts.
const bytesPerToken = 4

// nameKey is the HMAC-SHA-256 key that separates piece names from other uses of HMAC-SHA-256.
const nameKey = "balsamyoke piece name 1"

// Name identifies the cache of one piece of text that follows an exact prefix in a Scope.
type Name [NameSize]byte

// Scope separates caches that must never be shared. Every Name is keyed by one.
type Scope struct {
	Organisation  string
	WeightVersion string
	Adapter       string
}

// String returns the name in lower-case hexadecimal.
func (n Name) String() string { return hex.EncodeToString(n[:]) }

// MarshalText implements encoding.TextMarshaler.
func (n Name) MarshalText() ([]byte, error) { return []byte(n.String()), nil }

// Bytes returns a copy of the name in the form used in wire messages.
func (n Name) Bytes() []byte { return append([]byte(nil), n[:]...) }

// Hash returns 64 bits of the name, which are uniformly distributed.
func (n Name) Hash() uint64 { return binary.LittleEndian.Uint64(n[:8]) }

// NameFromBytes returns the name from a wire message. It returns ErrName when raw has the wrong length.
func NameFromBytes(raw []byte) (Name, error) {
	if len(raw) != NameSize {
		return Name{}, ErrName.New("piece name has %d bytes, not %d", len(raw), NameSize)
	}
	return Name(raw), nil
}

// NamesFromBytes returns the names from a wire message. It returns ErrName when any of them is malformed.
func NamesFromBytes(raw [][]byte) ([]Name, error) {
	names := make([]Name, len(raw))
	for i, r := range raw {
		name, err := NameFromBytes(r)
		if err != nil {
			return nil, err
		}
		names[i] = name
	}
	return names, nil
}

// Tokens returns the estimated number of tokens in pieceBytes bytes of text.
func Tokens(pieceBytes int) int { return pieceBytes / bytesPerToken }

// Names returns the names of the complete pieces of text, in order. Each name covers all text up to
// the end of its piece, so two texts share names exactly as far as they share complete pieces from
// the start. The names are keyed by the scope. Callers must take the scope from the authenticated
// request, since anyone with the scope and the text can compute the names. A pieceBytes of zero or
// less means DefaultBytes.
func Names(scope Scope, text []byte, pieceBytes int) []Name {
	if pieceBytes <= 0 {
		pieceBytes = DefaultBytes
	}
	count := len(text) / pieceBytes
	if count == 0 {
		return nil
	}
	names := make([]Name, count)
	mac := hmac.New(sha256.New, scopeKey(scope))
	var previous Name
	for i := range names {
		previous = nextName(mac, previous, text[i*pieceBytes:(i+1)*pieceBytes])
		names[i] = previous
	}
	return names
}

// nextName returns the name of a piece of text, which is chained to the name of the piece before it.
func nextName(mac hash.Hash, previous Name, text []byte) Name {
	var sum [sha256.Size]byte
	mac.Reset()
	mac.Write(previous[:])
	mac.Write(text)
	return Name(mac.Sum(sum[:0])[:NameSize])
}

// scopeKey derives the key of a scope. Each field is preceded by its length, so no two scopes
// share an encoding.
func scopeKey(scope Scope) []byte {
	var encoded []byte
	for _, field := range []string{scope.Organisation, scope.WeightVersion, scope.Adapter} {
		encoded = binary.BigEndian.AppendUint64(encoded, uint64(len(field)))
		encoded = append(encoded, field...)
	}
	mac := hmac.New(sha256.New, []byte(nameKey))
	mac.Write(encoded)
	return mac.Sum(nil)
}
