package gateway

import (
	"encoding/json"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"balsamyoke.example/balsamyoke/internal/explain"
)

// decisionsKept is how many decisions a gateway remembers for balsamctl: about half a minute at a peak.
const decisionsKept = 4096

const (
	info = zapcore.InfoLevel
	warn = zapcore.WarnLevel
)

// detail shows the fields of a log line as a JSON object.
type detail []zap.Field

// MarshalJSON implements json.Marshaler.
func (d detail) MarshalJSON() ([]byte, error) {
	object := zapcore.NewMapObjectEncoder()
	for _, field := range d {
		field.AddTo(object)
	}
	return json.Marshal(object.Fields)
}

// note logs a decision that touches a request and remembers it for balsamctl.
func (g *Gateway) note(level zapcore.Level, event, request string, fields ...zap.Field) {
	g.decisions.Add(explain.Decision{Time: time.Now(), Request: request, Step: event, Detail: detail(fields)})
	fields = append([]zap.Field{zap.String("request", request)}, fields...)
	if level == warn {
		g.log.Warn(event, fields...)
		return
	}
	g.log.Info(event, fields...)
}
