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

// call is one operation on a piece: a write or removal of a generation, or a read.
type call struct {
	kind       byte // 'p' put, 'd' delete, 'g' get
	generation uint64
}

// found is the result of a read; generation zero is a miss.
type found struct {
	generation uint64
	whole      bool
}

// register is a piece in a store whose reads may miss at any time. A read that hits returns the
// whole of the generation that was written last.
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
		f := output.(found)
		return f.generation == 0 || (f.whole && f.generation == state.(uint64)), state
	},
}

func contentOf(generation uint64) []byte { return bytes.Repeat([]byte{byte(generation)}, 40<<10) }

// perform makes a call and returns what it found.
func perform(client *Client, name piece.Name, c call) found {
	ctx := context.Background()
	switch c.kind {
	case 'p':
		_ = client.Put(ctx, name, c.generation, contentOf(c.generation), Export)
	case 'd':
		_ = client.Delete(ctx, name, Export)
	case 'g':
		data, generation, err := client.Get(ctx, name, Urgent)
		if err == nil {
			return found{generation: generation, whole: bytes.Equal(data, contentOf(generation))}
		}
	}
	return found{}
}

// Writers of several generations, removals and readers race on one piece, in a store that shows
// pieces before their last byte and in one that doesn't.
func TestConcurrentReadsReturnWholeGenerations(t *testing.T) {
	for _, partial := range []bool{false, true} {
		c := qt.New(t)
		server, err := storeserver.Start(storeserver.Settings{
			Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", PublishPartial: partial, LinkBytesPerSecond: 100 << 20,
		})
		c.Assert(err, qt.IsNil)
		history := raceOn(New("store-1", server.Address()))
		server.Stop()
		hits := 0
		for _, operation := range history {
			if f, ok := operation.Output.(found); ok && f.generation != 0 {
				hits++
			}
		}
		c.Assert(hits > 0, qt.IsTrue)
		c.Assert(porcupine.CheckOperations(register, history), qt.IsTrue, qt.Commentf("partial %v", partial))
	}
}

// raceOn lets clients race on one piece and returns the history of their calls.
func raceOn(client *Client) []porcupine.Operation {
	const clients, callsEach = 6, 40
	defer client.Close()
	var mu sync.Mutex
	var history []porcupine.Operation
	var group sync.WaitGroup
	began := time.Now()
	for id := range clients {
		group.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(id)))
			for i := range callsEach {
				c := call{kind: "ppdggggg"[rng.IntN(8)], generation: uint64(id*callsEach + i + 1)}
				operation := porcupine.Operation{ClientId: id, Input: c, Call: time.Since(began).Nanoseconds()}
				operation.Output = perform(client, piece.Name{1}, c)
				operation.Return = time.Since(began).Nanoseconds()
				mu.Lock()
				history = append(history, operation)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return history
}
