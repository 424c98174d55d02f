package store

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/piece"
	"balsamyoke.example/balsamyoke/internal/standin/storeserver"
)

// call is one operation on a piece: a write of a generation, a removal or a read.
type call struct {
	kind       byte // 'p' put, 'd' delete, 'g' get
	generation uint64
}

// readResult is the result of a read; generation zero is a miss.
type readResult struct {
	generation uint64
	complete   bool
}

// register is the model of one piece in a store. A read may miss at any time. A read that hits returns
// the complete data of the generation that was written last.
var register = porcupine.Model{
	Init: func() interface{} { return uint64(0) },
	Step: func(state, input, output interface{}) (bool, interface{}) {
		c := input.(call)
		switch c.kind {
		case 'p':
			return true, c.generation
		case 'd':
			return true, uint64(0)
		}
		f := output.(readResult)
		return f.generation == 0 || (f.complete && f.generation == state.(uint64)), state
	},
}

func contentOf(generation uint64) []byte { return bytes.Repeat([]byte{byte(generation)}, 40<<10) }

// makeCall makes a call and returns the result of a read.
func makeCall(client *Client, name piece.Name, c call) readResult {
	ctx := context.Background()
	switch c.kind {
	case 'p':
		_ = client.Put(ctx, name, c.generation, contentOf(c.generation), Export)
	case 'd':
		_ = client.Delete(ctx, name, Export)
	case 'g':
		data, generation, err := client.Get(ctx, name, Urgent)
		if err == nil {
			return readResult{generation: generation, complete: bytes.Equal(data, contentOf(generation))}
		}
	}
	return readResult{}
}

// A read that races with writes and removals of the same piece must not return a mix of generations or
// incomplete data, neither from a store that serves pieces before their last byte is written nor from one
// that doesn't.
func TestConcurrentReadsReturnCompleteGenerations(t *testing.T) {
	for _, partial := range []bool{false, true} {
		c := qt.New(t)
		server, err := storeserver.Start(storeserver.Settings{
			Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", PublishPartial: partial, LinkBytesPerSecond: 100 << 20,
		})
		c.Assert(err, qt.IsNil)
		history := runConcurrently(New("store-1", server.Address()))
		server.Stop()
		hits := 0
		for _, operation := range history {
			if f, ok := operation.Output.(readResult); ok && f.generation != 0 {
				hits++
			}
		}
		c.Assert(hits > 0, qt.IsTrue)
		c.Assert(porcupine.CheckOperations(register, history), qt.IsTrue, qt.Commentf("partial %v", partial))
	}
}

// runConcurrently makes calls on one piece from several goroutines and returns their history.
func runConcurrently(client *Client) []porcupine.Operation {
	const clients, callsEach = 6, 40
	defer client.Close()
	var mu sync.Mutex
	var history []porcupine.Operation
	var group sync.WaitGroup
	start := time.Now()
	for id := range clients {
		group.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(id)))
			for i := range callsEach {
				c := call{kind: "ppdggggg"[rng.IntN(8)], generation: uint64(id*callsEach + i + 1)}
				operation := porcupine.Operation{ClientId: id, Input: c, Call: time.Since(start).Nanoseconds()}
				operation.Output = makeCall(client, piece.Name{1}, c)
				operation.Return = time.Since(start).Nanoseconds()
				mu.Lock()
				history = append(history, operation)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return history
}
