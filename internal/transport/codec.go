package transport

import (
	"encoding/binary"

	"google.golang.org/protobuf/proto"

	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// prefixBytes is the size of the big-endian length prefix of each frame.
	prefixBytes = 4
	// MaxFrameBytes bounds one frame without its length prefix.
	MaxFrameBytes = 16 << 20
)

// encodeFrame returns the frame with its length prefix.
func encodeFrame(frame *wire.Frame) ([]byte, error) {
	size := proto.Size(frame)
	if size > MaxFrameBytes {
		return nil, ErrOverflow.New("frame of %d bytes exceeds %d bytes", size, MaxFrameBytes)
	}
	buf := make([]byte, prefixBytes, prefixBytes+size)
	binary.BigEndian.PutUint32(buf, uint32(size))
	return proto.MarshalOptions{}.MarshalAppend(buf, frame)
}

// frameLength reads a length prefix.
func frameLength(prefix []byte) (int, error) {
	size := binary.BigEndian.Uint32(prefix)
	if size > MaxFrameBytes {
		return 0, ErrMalformed.New("length prefix %d exceeds %d bytes", size, MaxFrameBytes)
	}
	return int(size), nil
}

// decodeFrame parses the bytes after a length prefix.
func decodeFrame(body []byte) (*wire.Frame, error) {
	frame := new(wire.Frame)
	if err := proto.Unmarshal(body, frame); err != nil {
		return nil, ErrMalformed.Wrap(err, "frame of %d bytes does not parse", len(body))
	}
	if frame.GetBody() == nil {
		return nil, ErrMalformed.New("frame of %d bytes has no known body", len(body))
	}
	return frame, nil
}

// decodeDatagram parses one UDP message.
func decodeDatagram(body []byte) (*wire.Datagram, error) {
	datagram := new(wire.Datagram)
	if err := proto.Unmarshal(body, datagram); err != nil {
		return nil, ErrMalformed.Wrap(err, "datagram of %d bytes does not parse", len(body))
	}
	return datagram, nil
}
