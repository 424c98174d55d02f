// Package answer computes the output of the engine stand-in. Every token and every cached byte is a pure
// function of the request. The stand-in generates its output with it; tests and balsam-load check responses
// against it.
package answer

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	minTokens        = 16
	extraTokens      = 48 // unbounded answers have minTokens to minTokens+extraTokens-1 tokens
	bytesPerToken    = 4
	separator        = "\x00"
	minWordLetters   = 2
	extraWordLetters = 5
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request holds the parts of a request that determine its answer.
type Request struct {
	Messages      []Message
	WeightVersion string
	Adapter       string
	// MaxTokens limits the length of the answer; 0 means no limit.
	MaxTokens int
}

// PromptTokens returns the number of tokens of a prompt.
func PromptTokens(messages []Message) int {
	bytes := 0
	for _, m := range messages {
		bytes += len(m.Content)
	}
	return bytes / bytesPerToken
}

// Answer is the correct and complete answer to one request.
type Answer struct {
	seed   uint64
	length int
}

// New returns the answer to request.
func New(request Request) Answer {
	digest := xxhash.New()
	for _, m := range request.Messages {
		_, _ = digest.WriteString(m.Role + separator + m.Content + separator)
	}
	length := minTokens + int(digest.Sum64()%extraTokens)
	if request.MaxTokens > 0 && length > request.MaxTokens {
		length = request.MaxTokens
	}
	_, _ = digest.WriteString(request.WeightVersion + separator + request.Adapter)
	return Answer{seed: digest.Sum64(), length: length}
}

// Length returns the number of tokens.
func (a Answer) Length() int { return a.length }

// Token returns token i, which ends with a space.
func (a Answer) Token(i int) string {
	hash := xxhash.Sum64String(strconv.FormatUint(a.seed, 16) + separator + strconv.Itoa(i))
	letters := minWordLetters + int(hash%extraWordLetters)
	word := make([]byte, 0, letters+1)
	for range letters {
		hash = hash*6364136223846793005 + 1442695040888963407
		word = append(word, byte('a'+(hash>>33)%26))
	}
	return string(append(word, ' '))
}

// Text returns the complete answer.
func (a Answer) Text() string {
	var text strings.Builder
	for i := range a.length {
		text.WriteString(a.Token(i))
	}
	return text.String()
}

// PieceContent returns the bytes of the KV cache piece with the given name.
func PieceContent(name []byte, size int) []byte {
	state := xxhash.Sum64(name)
	content := make([]byte, 0, size+8)
	for len(content) < size {
		state = state*6364136223846793005 + 1442695040888963407
		content = binary.LittleEndian.AppendUint64(content, state)
	}
	return content[:size]
}
