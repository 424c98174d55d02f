package gateway

import (
	"encoding/json"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"balsamyoke.example/balsamyoke/internal/explain"
)

// maxDecisions is how many decisions a gateway keeps for balsamctl: about half a minute at peak load.
const maxDecisions = 4096

// maxLoggedText bounds each text of a caller in a decision, in bytes: the decisions that are kept must fit in memory.
const maxLoggedText = 256

// clip returns the start of a caller's text, of at most maxLoggedText bytes.
func clip[T string | []byte](text T) string { return string(text[:min(len(text), maxLoggedText)]) }

const (
	info = zapcore.InfoLevel
	warn = zapcore.WarnLevel
)

// detail encodes the fields of a log line as a JSON object.
type detail []zap.Field

// MarshalJSON implements json.Marshaler.
func (d detail) MarshalJSON() ([]byte, error) {
	object := zapcore.NewMapObjectEncoder()
	for _, field := range d {
		field.AddTo(object)
	}
	return json.Marshal(object.Fields)
}

// recordDecision logs a decision about a request and keeps it for balsamctl.
func (g *Gateway) recordDecision(level zapcore.Level, event, request string, fields ...zap.Field) {
	request = clip(request)
	g.decisions.Add(explain.Decision{Time: time.Now(), Request: request, Step: event, Detail: detail(fields)})
	fields = append([]zap.Field{zap.String("request", request)}, fields...)
	if level == warn {
		g.log.Warn(event, fields...)
		return
	}
	g.log.Info(event, fields...)
}
