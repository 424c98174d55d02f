// Package eventlog writes the structured log of a gateway: JSON lines, one for each decision that
// touches a request or changes a belief. The volume is capped for each event, and writing never blocks
// the caller: lines that find no room are counted and dropped, and the next line that is written says
// how many were lost.
package eventlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// linesPerSecond caps one event's lines: about three times the requests of a gateway at its peak.
	linesPerSecond = 200
	// failureShare is the part of the cap that is kept for warnings and errors of the same event.
	failureShare = 2
	// bufferBytes is what waits for the output at most; more is dropped.
	bufferBytes = 1 << 20
	// flushEvery is how often waiting lines are written.
	flushEvery = 100 * time.Millisecond
)

// Log is the log of one process. It is safe for concurrent use.
type Log struct {
	zap  *zap.Logger
	out  *writer
	mu   sync.Mutex
	caps map[string]*eventCap
}

type eventCap struct {
	second  int64
	lines   int
	dropped int
}

// New returns a Log that writes to out, with the given fields in each line.
func New(out io.Writer, fields ...zap.Field) *Log {
	w := &writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.EpochMillisTimeEncoder
	config.MessageKey = "event"
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), w, zapcore.InfoLevel)
	return &Log{zap: zap.New(core).With(fields...), out: w, caps: make(map[string]*eventCap)}
}

// Info writes a line for an event that is part of normal work.
func (l *Log) Info(event string, fields ...zap.Field) { l.write(zapcore.InfoLevel, event, fields) }

// Warn writes a line for an event in which something went wrong.
func (l *Log) Warn(event string, fields ...zap.Field) { l.write(zapcore.WarnLevel, event, fields) }

func (l *Log) write(level zapcore.Level, event string, fields []zap.Field) {
	allowed, dropped := l.allow(level, event)
	if !allowed {
		return
	}
	if dropped > 0 {
		fields = append(fields, zap.Int("dropped_before", dropped))
	}
	l.zap.Log(level, event, fields...)
}

// allow applies the event's cap and returns how many lines were dropped since the last one.
func (l *Log) allow(level zapcore.Level, event string) (allowed bool, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.caps[event]
	if c == nil {
		c = &eventCap{}
		l.caps[event] = c
	}
	if second := time.Now().Unix(); second != c.second {
		c.second, c.lines = second, 0
	}
	limit := linesPerSecond
	if level < zapcore.WarnLevel {
		limit /= failureShare
	}
	if c.lines >= limit {
		c.dropped++
		return false, 0
	}
	c.lines++
	dropped, c.dropped = c.dropped, 0
	return true, dropped
}

// Error is the field of an error's text, without the stack that errorx keeps; no field for nil.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

// Lost returns how many lines found no room because the output didn't take them.
func (l *Log) Lost() int64 { return l.out.lost.Load() }

// Close writes what waits, for up to a flush interval, and ends the Log.
func (l *Log) Close() {
	close(l.out.done)
	time.Sleep(flushEvery / 2)
}

// writer gathers lines and writes them on a goroutine of its own.
type writer struct {
	out  io.Writer
	mu   sync.Mutex
	wait []byte
	lost atomic.Int64
	wake chan struct{}
	done chan struct{}
}

// Write implements zapcore.WriteSyncer.
func (w *writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.wait)+len(line) > bufferBytes {
		w.lost.Add(1)
		return len(line), nil
	}
	w.wait = append(w.wait, line...)
	if len(w.wait) == len(line) {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *writer) Sync() error { return nil }

func (w *writer) run() {
	for {
		select {
		case <-w.wake:
		case <-w.done:
			w.flush()
			return
		}
		select {
		case <-time.After(flushEvery):
		case <-w.done:
		}
		w.flush()
	}
}

// flush writes what waits. An output that fails loses it.
func (w *writer) flush() {
	w.mu.Lock()
	lines := w.wait
	w.wait = nil
	w.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	if _, err := w.out.Write(lines); err != nil {
		w.lost.Add(1)
	}
}
