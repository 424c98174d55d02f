// Package piece names, seals and opens pieces of KV cache. A piece is the cache of about a
// thousand consecutive prompt tokens. Entries name the pieces of each prompt; agents seal the
// pieces that they export and open the ones that they read back.
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

// namingKey separates piece names from other uses of HMAC-SHA-256.
const namingKey = "balsamyoke piece name 1"

// Name identifies the cache of one piece of text after one exact prefix in one Scope.
type Name [NameSize]byte

// Scope separates caches that must never be shared.
type Scope struct {
	Organisation  string
	WeightVersion string
	Adapter       string
}

// String returns the name in lower-case hexadecimal.
func (n Name) String() string { return hex.EncodeToString(n[:]) }

// MarshalText implements encoding.TextMarshaler.
func (n Name) MarshalText() ([]byte, error) { return []byte(n.String()), nil }

// Bytes returns a copy of the name, as wire messages carry it.
func (n Name) Bytes() []byte { return append([]byte(nil), n[:]...) }

// Hash returns 64 bits of the name, which are uniformly distributed.
func (n Name) Hash() uint64 { return binary.LittleEndian.Uint64(n[:8]) }

// NameFromBytes returns the name that a wire message carries, or ErrName.
func NameFromBytes(raw []byte) (Name, error) {
	if len(raw) != NameSize {
		return Name{}, ErrName.New("piece name has %d bytes, not %d", len(raw), NameSize)
	}
	return Name(raw), nil
}

// NamesFromBytes converts the names of a wire message. It returns ErrName for the first bad one.
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

// Tokens estimates the number of tokens in a piece of pieceBytes bytes of text.
func Tokens(pieceBytes int) int { return pieceBytes / bytesPerToken }

// Names returns the names of the whole pieces of text, in order. Each name covers all text up to
// the end of its piece, so two texts share names exactly as far as they share whole pieces from
// the start. The scope keys the names: callers must take it from the authenticated request, since
// names are not secret to who knows scope and text. A pieceBytes of zero or less means DefaultBytes.
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

// nextName chains one piece of text to the name of the piece before it.
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
	mac := hmac.New(sha256.New, []byte(namingKey))
	mac.Write(encoded)
	return mac.Sum(nil)
}
