package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

const maxEventBytes = 1 << 20 // of one server-sent event

var (
	dataField = []byte("data:")
	endOfData = []byte("[DONE]")
)

// event is one chunk of a streamed answer.
type event struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     uint32 `json:"prompt_tokens"`
		CompletionTokens uint32 `json:"completion_tokens"`
		Details          struct {
			CachedTokens uint32 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// finishCancelled is the engine's reason for a run that it was told to cancel.
const finishCancelled = "cancelled"

// readAnswer reads server-sent events to the end of the answer. An answer without both a finish
// reason and the closing [DONE] is cut.
func readAnswer(body io.Reader, first uint32, onToken func(sequence uint32, text []byte) error) (Usage, error) {
	var usage Usage
	next := first
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), dataField)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, endOfData) {
			return usage, checkFinish(usage)
		}
		var e event
		if err := json.Unmarshal(data, &e); err != nil {
			return usage, ErrCut.Wrap(err, "malformed event %q", quote(data))
		}
		usage.take(e)
		text := e.text()
		if text == "" {
			continue
		}
		if err := onToken(next, []byte(text)); err != nil {
			return usage, err
		}
		next++
	}
	err := lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	if errors.Is(err, bufio.ErrTooLong) {
		return usage, ErrCut.New("an event is longer than %d bytes", maxEventBytes)
	}
	return usage, ErrCut.Wrap(err, "the answer ended before its last event")
}

func (e event) text() string {
	if len(e.Choices) == 0 {
		return ""
	}
	return e.Choices[0].Delta.Content
}

// take adds what an event says about the run.
func (u *Usage) take(e event) {
	if len(e.Choices) > 0 && e.Choices[0].FinishReason != "" {
		u.FinishReason = e.Choices[0].FinishReason
	}
	if e.Usage != nil {
		u.PromptTokens = e.Usage.PromptTokens
		u.CompletionTokens = e.Usage.CompletionTokens
		u.CachedTokens = e.Usage.Details.CachedTokens
	}
}

func checkFinish(usage Usage) error {
	switch usage.FinishReason {
	case "":
		return ErrCut.New("the answer ended without a finish reason")
	case finishCancelled:
		return ErrCancelled.New("the engine cancelled the run")
	default:
		return nil
	}
}
