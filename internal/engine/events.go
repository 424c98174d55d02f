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

// event is one chunk of a streamed response.
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

// finishCancelled is the engine's finish reason for a run that was cancelled.
const finishCancelled = "cancelled"

// readStream reads server-sent events to the end of the response. It returns ErrInterrupted when the
// response lacks a finish reason or the closing [DONE].
func readStream(body io.Reader, first uint32, onToken func(sequence uint32, text []byte) error) (Usage, error) {
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
			return usage, ErrInterrupted.Wrap(err, "malformed event %q", quote(data))
		}
		usage.update(e)
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
		return usage, ErrInterrupted.New("an event is longer than %d bytes", maxEventBytes)
	}
	return usage, ErrInterrupted.Wrap(err, "the response ended before its last event")
}

func (e event) text() string {
	if len(e.Choices) == 0 {
		return ""
	}
	return e.Choices[0].Delta.Content
}

// update sets the fields that an event contains.
func (u *Usage) update(e event) {
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
		return ErrInterrupted.New("the response ended without a finish reason")
	case finishCancelled:
		return ErrCancelled.New("the engine cancelled the run")
	default:
		return nil
	}
}
