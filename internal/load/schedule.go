package load

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"balsamyoke.example/balsamyoke/internal/standin/answer"
)

const (
	maxTurns      = 8 // of a conversation
	bytesPerToken = 4
)

// Plan is what decides a schedule.
type Plan struct {
	Profile Profile
	Seed    uint64
	// Rate is the number of requests a second.
	Rate     float64
	Duration time.Duration
	// MeanGap is the mean time until a conversation returns.
	MeanGap time.Duration
}

// Arrival is one request at its time.
type Arrival struct {
	// At is the time from the start of the run.
	At           time.Duration
	Kind         *Kind
	Organisation string
	// Messages is the prompt of a model request, Expected its right answer.
	Messages []answer.Message
	Expected answer.Answer
	// Returning says that the prompt continues an earlier one.
	Returning bool
	// Body is that of a plain request, unlike any other.
	Body []byte
}

// conversation is a prompt that returns.
type conversation struct {
	number       int
	organisation int
	turns        int
	messages     []answer.Message
	due          time.Duration
}

type dueHeap []*conversation

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].due < h[j].due }
func (h dueHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *dueHeap) Push(x any)        { *h = append(*h, x.(*conversation)) }

func (h *dueHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// generator draws a schedule. The same plan gives the same schedule.
type generator struct {
	plan    Plan
	rng     *rand.Rand
	weights []float64
	waiting []dueHeap // by kind
	started int
	plain   int
}

// Schedule returns the arrivals of a plan in order: a Poisson process whose model requests start
// and continue conversations. A return's prompt holds the right answers of the turns before it,
// so that it does not depend on how the fleet does.
func Schedule(plan Plan) []Arrival {
	g := &generator{
		plan:    plan,
		rng:     rand.New(rand.NewPCG(plan.Seed, plan.Seed)),
		weights: plan.Profile.weights(),
		waiting: make([]dueHeap, len(plan.Profile.Kinds)),
	}
	var arrivals []Arrival
	at := g.wait()
	for ; at < plan.Duration; at += g.wait() {
		arrivals = append(arrivals, g.arrival(at))
	}
	return arrivals
}

func (g *generator) wait() time.Duration {
	return time.Duration(g.rng.ExpFloat64() / g.plan.Rate * float64(time.Second))
}

func (g *generator) arrival(at time.Duration) Arrival {
	index := g.kind()
	kind := &g.plan.Profile.Kinds[index]
	if !kind.Model {
		g.plain++
		return Arrival{
			At:           at,
			Kind:         kind,
			Organisation: g.plan.Profile.Organisations[g.organisation()],
			Body:         fmt.Appendf(nil, `{"seed":%d,"number":%d}`, g.plan.Seed, g.plain),
		}
	}
	conv, returning := g.conversation(index, kind, at)
	prompt := append([]answer.Message{}, conv.messages...)
	expected := answer.New(answer.Request{
		Messages:      prompt,
		WeightVersion: weightVersion,
		MaxTokens:     kind.MaxTokens,
	})
	conv.messages = append(conv.messages, answer.Message{Role: "assistant", Content: expected.Text()})
	g.returnLater(index, conv, at)
	return Arrival{
		At:           at,
		Kind:         kind,
		Organisation: g.plan.Profile.Organisations[conv.organisation],
		Messages:     prompt,
		Expected:     expected,
		Returning:    returning,
	}
}

func (g *generator) kind() int {
	draw := g.rng.Float64()
	for i, kind := range g.plan.Profile.Kinds {
		draw -= kind.Share
		if draw < 0 {
			return i
		}
	}
	return len(g.plan.Profile.Kinds) - 1
}

func (g *generator) organisation() int {
	draw := g.rng.Float64()
	for i, weight := range g.weights {
		draw -= weight
		if draw < 0 {
			return i
		}
	}
	return len(g.weights) - 1
}

// conversation continues one that is due, or starts one.
func (g *generator) conversation(index int, kind *Kind, at time.Duration) (conv *conversation, returning bool) {
	waiting := &g.waiting[index]
	due := waiting.Len() > 0 && (*waiting)[0].due <= at
	if due && g.rng.Float64() < kind.ReturnShare {
		conv = heap.Pop(waiting).(*conversation)
		conv.turns++
		question := g.text(fmt.Sprintf("conversation %d turn %d", conv.number, conv.turns), kind.TurnTokens)
		conv.messages = append(conv.messages, answer.Message{Role: "user", Content: question})
		return conv, true
	}
	g.started++
	conv = &conversation{number: g.started, organisation: g.organisation()}
	if kind.SharedTokens > 0 {
		document := g.text(fmt.Sprintf("document of organisation %d", conv.organisation), kind.SharedTokens)
		conv.messages = append(conv.messages, answer.Message{Role: "system", Content: document})
	}
	opening := g.text(fmt.Sprintf("conversation %d", conv.number), kind.FirstTokens)
	conv.messages = append(conv.messages, answer.Message{Role: "user", Content: opening})
	return conv, false
}

func (g *generator) returnLater(index int, conv *conversation, at time.Duration) {
	if conv.turns+1 >= maxTurns {
		return
	}
	conv.due = at + time.Duration(g.rng.ExpFloat64()*float64(g.plan.MeanGap))
	heap.Push(&g.waiting[index], conv)
}

// text returns text of the given length that depends on the seed and the title alone.
func (g *generator) text(title string, tokens int) string {
	line := fmt.Sprintf("%s of run %d. ", title, g.plan.Seed)
	size := tokens * bytesPerToken
	return strings.Repeat(line, size/len(line)+1)[:size]
}
