package piece

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// HeaderSize is the length of an encoded Header in bytes.
const HeaderSize = 40

// Magic number and field offsets of an encoded header, in bytes.
const (
	magic            = 0x42594b31 // "BYK1"
	offsetName       = 4
	offsetGeneration = offsetName + NameSize
	offsetLength     = offsetGeneration + 8
	offsetChecksum   = offsetLength + 4
)

// Header precedes the data of a sealed piece.
type Header struct {
	Name Name
	// Generation distinguishes copies of the same piece that were written at different times.
	Generation uint64
	// Length is the length of the data in bytes, without the header.
	Length uint32
	// Checksum is the xxHash64 of the other header fields and the data. It detects unfinished and
	// damaged writes; it is no defence against forgery.
	Checksum uint64
}

// Encode appends the fixed-size encoding of the header to dst.
func (h Header) Encode(dst []byte) []byte {
	dst = binary.BigEndian.AppendUint32(dst, magic)
	dst = append(dst, h.Name[:]...)
	dst = binary.BigEndian.AppendUint64(dst, h.Generation)
	dst = binary.BigEndian.AppendUint32(dst, h.Length)
	return binary.BigEndian.AppendUint64(dst, h.Checksum)
}

// Decode reads a header from the first HeaderSize bytes of src. It returns ErrTruncated when src is
// shorter, ErrMagic for a wrong magic number, and checks nothing else.
func Decode(src []byte) (Header, error) {
	if len(src) < HeaderSize {
		return Header{}, ErrTruncated.New("%d bytes are no whole header of %d", len(src), HeaderSize)
	}
	if found := binary.BigEndian.Uint32(src); found != magic {
		return Header{}, ErrMagic.New("magic number is %#x, not %#x", found, magic)
	}
	return Header{
		Name:       Name(src[offsetName:offsetGeneration]),
		Generation: binary.BigEndian.Uint64(src[offsetGeneration:]),
		Length:     binary.BigEndian.Uint32(src[offsetLength:]),
		Checksum:   binary.BigEndian.Uint64(src[offsetChecksum:]),
	}, nil
}

// Seal returns the header and data of a piece in one buffer, in the form that is stored.
func Seal(name Name, generation uint64, data []byte) []byte {
	header := Header{Name: name, Generation: generation, Length: uint32(len(data))}
	sealed := make([]byte, 0, HeaderSize+len(data))
	sealed = header.Encode(sealed)
	sealed = append(sealed, data...)
	binary.BigEndian.PutUint64(sealed[offsetChecksum:], checksum(sealed))
	return sealed
}

// Open verifies a sealed piece in full and returns its data and generation. The data shares
// memory with sealed. Errors are ErrTruncated, ErrMagic, ErrWrongName, ErrTrailing and
// ErrChecksum; all of them mean that the piece must not be used.
func Open(name Name, sealed []byte) ([]byte, uint64, error) {
	header, err := Decode(sealed)
	if err != nil {
		return nil, 0, err
	}
	if header.Name != name {
		return nil, 0, ErrWrongName.New("sealed piece is %s, not %s", header.Name, name)
	}
	data := sealed[HeaderSize:]
	if uint64(len(data)) < uint64(header.Length) {
		return nil, 0, ErrTruncated.New("piece %s has %d of %d bytes", name, len(data), header.Length)
	}
	if uint64(len(data)) > uint64(header.Length) {
		return nil, 0, ErrTrailing.New("piece %s has %d bytes instead of %d", name, len(data), header.Length)
	}
	if sum := checksum(sealed); sum != header.Checksum {
		return nil, 0, ErrChecksum.New("piece %s has checksum %#x, not %#x", name, sum, header.Checksum)
	}
	return data, header.Generation, nil
}

// checksum returns the xxHash64 of a sealed piece without its checksum field.
func checksum(sealed []byte) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(sealed[:offsetChecksum])
	_, _ = digest.Write(sealed[HeaderSize:])
	return digest.Sum64()
}
