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

// Plan holds the parameters of a schedule.
type Plan struct {
	Profile Profile
	Seed    uint64
	// Rate is the number of requests per second.
	Rate     float64
	Duration time.Duration
	// MeanGap is the mean time until the next turn of a conversation is due.
	MeanGap time.Duration
}

// Arrival is one request and its scheduled time.
type Arrival struct {
	// At is the time from the start of the run.
	At           time.Duration
	Kind         *Kind
	Organisation string
	// Messages is the prompt of a model request, Expected the correct response.
	Messages []answer.Message
	Expected answer.Answer
	// Returning reports whether the prompt continues an earlier one.
	Returning bool
	// Body is the body of a plain request, which differs from that of every other request.
	Body []byte
}

// conversation is a model prompt that is sent again with another turn added.
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

// generator generates a schedule at random. The same plan results in the same schedule.
type generator struct {
	plan                 Plan
	rng                  *rand.Rand
	shares               []float64
	waiting              []dueHeap // by kind
	startedConversations int
	plainRequests        int
}

// Schedule returns the arrivals of a plan in order: a Poisson process whose model requests start
// and continue conversations. The prompt of a continued conversation contains the expected responses of
// the earlier turns, so that it does not depend on the responses of the fleet.
func Schedule(plan Plan) []Arrival {
	g := &generator{
		plan:    plan,
		rng:     rand.New(rand.NewPCG(plan.Seed, plan.Seed)),
		shares:  plan.Profile.organisationShares(),
		waiting: make([]dueHeap, len(plan.Profile.Kinds)),
	}
	var arrivals []Arrival
	at := g.interarrivalTime()
	for ; at < plan.Duration; at += g.interarrivalTime() {
		arrivals = append(arrivals, g.arrival(at))
	}
	return arrivals
}

func (g *generator) interarrivalTime() time.Duration {
	return time.Duration(g.rng.ExpFloat64() / g.plan.Rate * float64(time.Second))
}

func (g *generator) arrival(at time.Duration) Arrival {
	index := g.kind()
	kind := &g.plan.Profile.Kinds[index]
	if !kind.Model {
		g.plainRequests++
		return Arrival{
			At:           at,
			Kind:         kind,
			Organisation: g.plan.Profile.Organisations[g.organisation()],
			Body:         fmt.Appendf(nil, `{"seed":%d,"number":%d}`, g.plan.Seed, g.plainRequests),
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
	g.scheduleReturn(index, conv, at)
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
	for i, weight := range g.shares {
		draw -= weight
		if draw < 0 {
			return i
		}
	}
	return len(g.shares) - 1
}

// conversation continues a conversation that is due, or starts a new one.
func (g *generator) conversation(index int, kind *Kind, at time.Duration) (conv *conversation, returning bool) {
	waiting := &g.waiting[index]
	due := waiting.Len() > 0 && (*waiting)[0].due <= at
	if due && g.rng.Float64() < kind.ReturnShare {
		conv = heap.Pop(waiting).(*conversation)
		conv.turns++
		message := g.text(fmt.Sprintf("conversation %d turn %d", conv.number, conv.turns), kind.TurnTokens)
		conv.messages = append(conv.messages, answer.Message{Role: "user", Content: message})
		return conv, true
	}
	g.startedConversations++
	conv = &conversation{number: g.startedConversations, organisation: g.organisation()}
	if kind.SharedTokens > 0 {
		document := g.text(fmt.Sprintf("document of organisation %d", conv.organisation), kind.SharedTokens)
		conv.messages = append(conv.messages, answer.Message{Role: "system", Content: document})
	}
	opening := g.text(fmt.Sprintf("conversation %d", conv.number), kind.OpeningTokens)
	conv.messages = append(conv.messages, answer.Message{Role: "user", Content: opening})
	return conv, false
}

func (g *generator) scheduleReturn(index int, conv *conversation, at time.Duration) {
	if conv.turns+1 >= maxTurns {
		return
	}
	conv.due = at + time.Duration(g.rng.ExpFloat64()*float64(g.plan.MeanGap))
	heap.Push(&g.waiting[index], conv)
}

// text returns text of the given length that depends only on the seed and the title.
func (g *generator) text(title string, tokens int) string {
	line := fmt.Sprintf("%s of run %d. ", title, g.plan.Seed)
	size := tokens * bytesPerToken
	return strings.Repeat(line, size/len(line)+1)[:size]
}
