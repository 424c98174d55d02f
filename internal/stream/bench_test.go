package stream

import "testing"

// BenchmarkChunk adds chunks in order, as they arrive on one connection.
func BenchmarkChunk(b *testing.B) {
	a := NewAssembler(firstAttempt)
	data := []byte("token")
	b.ReportAllocs()
	for sequence := uint32(0); b.Loop(); sequence++ {
		if ready, err := a.Chunk(firstAttempt, sequence, data); err != nil || len(ready) != 1 {
			b.Fatal("not delivered")
		}
	}
}
