// Package eventlog writes the structured log of a gateway: JSON lines, one for each decision that affects a
// request or changes the gateway's view of the fleet. The number of lines is limited for each event, and
// writing never blocks the caller. Lines over the limit are dropped and counted, and the next line of the event
// contains their number. Lines that don't fit into the buffer are dropped and counted by Lost.
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
	// linesPerSecond limits the lines of one event. It is about three times the peak request rate of a gateway.
	linesPerSecond = 200
	// infoDivisor divides the limit for lines below the warning level. The other half of the limit is reserved
	// for warnings and errors of the same event.
	infoDivisor = 2
	// bufferBytes limits the lines that are waiting for the output; further lines are dropped.
	bufferBytes = 1 << 20
	// flushInterval is the interval at which pending lines are written.
	flushInterval = 100 * time.Millisecond
)

// Log is the log of one process. It is safe for concurrent use.
type Log struct {
	zap      *zap.Logger
	out      *writer
	mu       sync.Mutex
	counters map[string]*eventCounter
}

type eventCounter struct {
	second  int64
	lines   int
	dropped int
}

// New returns a Log that writes to out, with the given fields in each line.
func New(out io.Writer, fields ...zap.Field) *Log {
	w := &writer{out: out, notify: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.EpochMillisTimeEncoder
	config.MessageKey = "event"
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), w, zapcore.InfoLevel)
	return &Log{zap: zap.New(core).With(fields...), out: w, counters: make(map[string]*eventCounter)}
}

// Info writes a line for an event of normal operation.
func (l *Log) Info(event string, fields ...zap.Field) { l.write(zapcore.InfoLevel, event, fields) }

// Warn writes a line for an event that reports a failure.
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

// allow applies the event's limit and returns how many of its lines were dropped since the last one written.
func (l *Log) allow(level zapcore.Level, event string) (allowed bool, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counters[event]
	if c == nil {
		c = &eventCounter{}
		l.counters[event] = c
	}
	if second := time.Now().Unix(); second != c.second {
		c.second, c.lines = second, 0
	}
	limit := linesPerSecond
	if level < zapcore.WarnLevel {
		limit /= infoDivisor
	}
	if c.lines >= limit {
		c.dropped++
		return false, 0
	}
	c.lines++
	dropped, c.dropped = c.dropped, 0
	return true, dropped
}

// Error returns a field with the text of err, without the stack trace that errorx records. It returns no
// field for nil.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

// Lost returns how many lines were dropped because the output didn't accept them. A failed write
// counts as one.
func (l *Log) Lost() int64 { return l.out.lost.Load() }

// Close ends the Log and waits for half a flush interval, in which the pending lines are written.
func (l *Log) Close() {
	close(l.out.done)
	time.Sleep(flushInterval / 2)
}

// writer buffers lines and writes them to out on its own goroutine.
type writer struct {
	out     io.Writer
	mu      sync.Mutex
	pending []byte
	lost    atomic.Int64
	notify  chan struct{}
	done    chan struct{}
}

// Write implements zapcore.WriteSyncer.
func (w *writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > bufferBytes {
		w.lost.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	if len(w.pending) == len(line) {
		select {
		case w.notify <- struct{}{}:
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
		case <-w.notify:
		case <-w.done:
			w.flush()
			return
		}
		select {
		case <-time.After(flushInterval):
		case <-w.done:
		}
		w.flush()
	}
}

// flush writes the pending lines. They are lost when the write fails.
func (w *writer) flush() {
	w.mu.Lock()
	lines := w.pending
	w.pending = nil
	w.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	if _, err := w.out.Write(lines); err != nil {
		w.lost.Add(1)
	}
}
