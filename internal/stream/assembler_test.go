package stream

import (
	"flag"
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"
	"pgregory.net/rapid"

	"balsamyoke.example/balsamyoke/internal/attempt"
)

// TestMain sets a fixed seed and number of checks for the property tests. Flags on the command line override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

var (
	firstAttempt  = attempt.ID{1}
	secondAttempt = attempt.ID{2}
)

// frame is a chunk, or the end of an attempt when end is set.
type frame struct {
	id       attempt.ID
	sequence uint32
	data     string
	end      bool
}

// attemptFrames returns the frames of an attempt that starts at resumeAt and stops before chunk number sent. An
// attempt that sends all chunks also sends the end of the response.
func attemptFrames(id attempt.ID, response []string, resumeAt, sent int) []frame {
	var frames []frame
	for sequence := resumeAt; sequence < sent; sequence++ {
		frames = append(frames, frame{id: id, sequence: uint32(sequence), data: response[sequence]})
	}
	if sent == len(response) {
		frames = append(frames, frame{id: id, sequence: uint32(sent), end: true})
	}
	return frames
}

func apply(t *rapid.T, a *Assembler, f frame) []string {
	if f.end {
		if err := a.Done(f.id, f.sequence); err != nil {
			t.Fatal(err)
		}
		return nil
	}
	ready, err := a.Chunk(f.id, f.sequence, []byte(f.data))
	if err != nil {
		t.Fatal(err)
	}
	var texts []string
	for _, data := range ready {
		texts = append(texts, string(data))
	}
	return texts
}

// drawDeliveryOrder draws an order in which each frame arrives one to three times.
func drawDeliveryOrder(t *rapid.T, frames []frame, label string) []frame {
	var copies []frame
	for _, f := range frames {
		for range rapid.IntRange(1, 3).Draw(t, "copies") {
			copies = append(copies, f)
		}
	}
	return rapid.Permutation(copies).Draw(t, label)
}

func checkPrefix(t *rapid.T, delivered, response []string) {
	if len(delivered) > len(response) {
		t.Fatalf("delivered %d chunks of %d", len(delivered), len(response))
	}
	for i, text := range delivered {
		if text != response[i] {
			t.Fatalf("chunk %d is %q, want %q", i, text, response[i])
		}
	}
}

// A second attempt resumes a response while frames of the first still arrive. The delivered chunks must be a prefix of
// the response for any order and number of copies of the frames.
func TestDeliveredChunksArePrefixOfResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		response := make([]string, rapid.IntRange(0, 12).Draw(t, "chunks"))
		for i := range response {
			response[i] = fmt.Sprintf("token %d", i)
		}
		a := NewAssembler(firstAttempt)
		var delivered []string
		sent := rapid.IntRange(0, len(response)).Draw(t, "sent by the first attempt")
		early := drawDeliveryOrder(t, attemptFrames(firstAttempt, response, 0, sent), "first attempt")
		received := rapid.IntRange(0, len(early)).Draw(t, "seen before the second attempt")
		for _, f := range early[:received] {
			delivered = append(delivered, apply(t, a, f)...)
			checkPrefix(t, delivered, response)
		}

		resumeAt := a.Supersede(secondAttempt)
		if int(resumeAt) != len(delivered) {
			t.Fatalf("resumes at %d after %d chunks", resumeAt, len(delivered))
		}
		// Another engine may generate a different rest with another length. The second attempt's rest is valid.
		response = response[:resumeAt]
		for range rapid.IntRange(0, 12).Draw(t, "chunks of the second attempt") {
			response = append(response, fmt.Sprintf("second token %d", len(response)))
		}
		late := attemptFrames(secondAttempt, response, int(resumeAt), len(response))
		mixed := rapid.Permutation(append(early[received:], drawDeliveryOrder(t, late, "second attempt")...))
		for _, f := range mixed.Draw(t, "rest") {
			delivered = append(delivered, apply(t, a, f)...)
			checkPrefix(t, delivered, response)
			if a.Complete() && len(delivered) != len(response) {
				t.Fatalf("complete after %d chunks of %d", len(delivered), len(response))
			}
		}
		if !a.Complete() {
			t.Fatalf("incomplete after all frames: %d chunks of %d", len(delivered), len(response))
		}
	})
}

func TestBufferBehindGapIsBounded(t *testing.T) {
	c := qt.New(t)
	a := NewAssembler(firstAttempt)
	for sequence := range uint32(maxBufferedChunks) {
		_, err := a.Chunk(firstAttempt, sequence+1, nil)
		c.Assert(err, qt.IsNil)
	}
	_, err := a.Chunk(firstAttempt, maxBufferedChunks+1, nil)
	c.Assert(errorx.IsOfType(err, ErrGap), qt.IsTrue)
}

func TestContradictoryFramesAreErrors(t *testing.T) {
	c := qt.New(t)
	a := NewAssembler(firstAttempt)
	_, err := a.Chunk(firstAttempt, 0, []byte("a"))
	c.Assert(err, qt.IsNil)
	_, err = a.Chunk(firstAttempt, 2, []byte("c"))
	c.Assert(err, qt.IsNil)
	c.Assert(errorx.IsOfType(a.Done(firstAttempt, 0), ErrContradiction), qt.IsTrue)
	c.Assert(errorx.IsOfType(a.Done(firstAttempt, 2), ErrContradiction), qt.IsTrue)
	c.Assert(a.Done(firstAttempt, 3), qt.IsNil)
	c.Assert(errorx.IsOfType(a.Done(firstAttempt, 4), ErrContradiction), qt.IsTrue)
	_, err = a.Chunk(firstAttempt, 3, []byte("d"))
	c.Assert(errorx.IsOfType(err, ErrContradiction), qt.IsTrue)
}

// A chunk that arrives before an earlier one is buffered and delivered after it.
func TestChunksOutOfOrderAreBuffered(t *testing.T) {
	c := qt.New(t)
	a := NewAssembler(firstAttempt)
	ready, err := a.Chunk(firstAttempt, 1, []byte("b"))
	c.Assert(err, qt.IsNil)
	c.Assert(ready, qt.HasLen, 0)
	ready, err = a.Chunk(firstAttempt, 0, []byte("a"))
	c.Assert(err, qt.IsNil)
	c.Assert(ready, qt.DeepEquals, [][]byte{[]byte("a"), []byte("b")})
	c.Assert(a.Done(firstAttempt, 3), qt.IsNil)
	c.Assert(a.Complete(), qt.IsFalse)
}
