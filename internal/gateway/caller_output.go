package gateway

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"balsamyoke.example/balsamyoke/internal/membudget"
)

const (
	// minBlockBytes and maxBlockBytes bound the blocks of memory that unread responses are kept in. A small block holds many
	// events; a large one limits what stays allocated while it is being written.
	minBlockBytes = 4 << 10
	maxBlockBytes = 32 << 10
	// progressInterval is how often it is checked whether a caller that is behind has taken anything. It is short beside
	// stalledAfter.
	progressInterval = time.Second
)

// errCutOff means that the gateway has cut off a caller that was behind.
var errCutOff = ErrCallerDisconnected.New("caller was behind and is cut off")

// callerOutput writes to the connection of a caller without blocking. What the connection doesn't take at once is kept in memory,
// and a goroutine that exists only for that time writes it.
//
// Invariants: bytes are written in the order in which Write got them. A connection that was cut off is reset, so that a response
// never looks complete. The memory is released when the output catches up, is cut off or is aborted.
type callerOutput struct {
	conn  net.Conn
	ahead *readAhead
	// raw is nil for a connection without a file descriptor, which takes all that is written from memory.
	raw syscall.RawConn
	// try is tryWrite as a value, so that no closure is allocated for each write. Its arguments and results are the fields
	// that begin with try.
	try      func(fd uintptr) bool
	tryBytes []byte
	tryN     int
	tryErr   error

	mu sync.Mutex
	// request is the id of the request that is being served.
	request string
	// err is set when nothing more can be written.
	err error
	// queue holds blocks that are not being written yet; non-empty only while behind is set.
	queue  [][]byte
	behind bool
	// held is the memory of the queue and of the block that is being written.
	held *membudget.Reservation
	// pauseAt is what may be held before the next pause.
	pauseAt int64
	// caughtUp is closed when the output isn't behind any more.
	caughtUp chan struct{}
	// written counts the bytes written since the output fell behind, acked those of them that the caller's side has taken as
	// last seen, and progressAt is when that last rose. acked may be negative at first.
	written, acked int64
	progressAt     time.Time
}

func newCallerOutput(conn net.Conn, ahead *readAhead) *callerOutput {
	o := &callerOutput{conn: conn, ahead: ahead, held: ahead.budget.Reserve()}
	o.try = o.tryWrite
	if c, ok := conn.(syscall.Conn); ok {
		if raw, err := c.SyscallConn(); err == nil {
			o.raw = raw
		}
	}
	return o
}

// setRequest sets the id of the request that is being served.
func (o *callerOutput) setRequest(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.request = id
}

func (o *callerOutput) requestID() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.request
}

// Write implements io.Writer. It returns when the connection or the memory for slow callers has taken all of p. While the caller
// is far behind, or memory is used up, that takes up to readPause; the caller may be cut off then.
func (o *callerOutput) Write(p []byte) (int, error) {
	total := len(p)
	var shortSince time.Time
	for {
		rest, err := o.accept(p)
		if err != nil {
			return total - len(rest), err
		}
		if len(rest) == 0 {
			o.pause()
			return total, nil
		}
		p = rest
		if shortSince.IsZero() {
			shortSince = time.Now()
		}
		o.ahead.makeRoom(o, time.Since(shortSince))
	}
}

// accept writes what the connection takes at once and keeps the rest. It returns what there is no memory for.
func (o *callerOutput) accept(p []byte) (rest []byte, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err != nil {
		return p, o.err
	}
	if !o.behind {
		n, err := o.writeNow(p)
		p = p[n:]
		if err != nil {
			o.err = err
			return p, err
		}
	}
	for len(p) > 0 {
		if last := len(o.queue) - 1; last >= 0 && len(o.queue[last]) < cap(o.queue[last]) {
			block := o.queue[last]
			n := copy(block[len(block):cap(block)], p)
			o.queue[last], p = block[:len(block)+n], p[n:]
			continue
		}
		size := min(max(len(p), minBlockBytes), maxBlockBytes)
		if !o.held.TryGrow(int64(size)) {
			return p, nil
		}
		o.ahead.add(int64(size))
		o.queue = append(o.queue, make([]byte, 0, size))
		if !o.behind {
			o.fallBehind()
		}
	}
	return nil, nil
}

// fallBehind starts to write from memory. The caller holds mu.
func (o *callerOutput) fallBehind() {
	o.behind, o.caughtUp = true, make(chan struct{})
	o.pauseAt = o.ahead.pauseBytes
	o.written, o.progressAt = 0, time.Now()
	o.acked = -o.unacked()
	o.ahead.setBehind(o, true)
	o.ahead.recordReadAhead()
	go o.drain()
}

// writeNow writes what the connection takes without blocking. The caller holds mu.
func (o *callerOutput) writeNow(p []byte) (int, error) {
	if o.raw == nil {
		return 0, nil
	}
	o.tryBytes, o.tryN, o.tryErr = p, 0, nil
	err := o.raw.Write(o.try)
	o.tryBytes = nil
	if err == nil {
		err = o.tryErr
	}
	return o.tryN, err
}

// tryWrite is the callback of RawConn.Write. It never asks to wait for the connection.
func (o *callerOutput) tryWrite(fd uintptr) bool {
	for o.tryN < len(o.tryBytes) {
		n, err := unix.Write(int(fd), o.tryBytes[o.tryN:])
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case errors.Is(err, unix.EAGAIN):
			return true
		case err != nil:
			o.tryErr = os.NewSyscallError("write", err)
			return true
		}
		o.tryN += n
	}
	return true
}

// pause waits up to readPause while memory is scarce and the caller holds more than it may without a pause.
func (o *callerOutput) pause() {
	var deadline time.Time
	for {
		o.mu.Lock()
		over := o.behind && o.err == nil && o.held.Bytes() >= o.pauseAt && o.ahead.held.Load() >= o.ahead.scarceBytes
		if over && !deadline.IsZero() && !time.Now().Before(deadline) {
			o.pauseAt = o.held.Bytes() + o.ahead.pauseBytes
			over = false
		}
		o.mu.Unlock()
		if !over {
			return
		}
		if deadline.IsZero() {
			deadline = time.Now().Add(readPause)
		}
		time.Sleep(roomPollInterval)
	}
}

// drain writes from memory until the output has caught up or nothing more can be written.
func (o *callerOutput) drain() {
	var block []byte
	for {
		o.mu.Lock()
		if o.err == nil && len(block) == 0 && !o.nextBlock(&block) {
			o.err = o.conn.SetWriteDeadline(time.Time{})
			o.catchUp()
			o.mu.Unlock()
			return
		}
		if o.err == nil {
			o.err = o.conn.SetWriteDeadline(time.Now().Add(progressInterval))
		}
		if o.err != nil {
			o.dropQueue()
			o.catchUp()
			o.mu.Unlock()
			return
		}
		o.mu.Unlock()
		n, err := o.conn.Write(block)
		o.mu.Lock()
		o.written += int64(n)
		if n == len(block) {
			o.release(cap(block))
			block = nil
		} else {
			// The capacity stays that of the whole block.
			block = block[:copy(block, block[n:])]
		}
		o.observeProgress(time.Now())
		stalled := time.Since(o.progressAt) >= maxStall
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && o.err == nil {
			o.err = err
		}
		o.mu.Unlock()
		if stalled {
			o.cutOff(cutOffStalled, false)
		}
	}
}

// nextBlock takes the next block from the queue. It reports whether there is one. The caller holds mu.
func (o *callerOutput) nextBlock(block *[]byte) bool {
	if len(o.queue) == 0 {
		return false
	}
	*block, o.queue = o.queue[0], o.queue[1:]
	return true
}

// release returns the memory of a block. The caller holds mu.
func (o *callerOutput) release(size int) {
	before := o.held.Bytes()
	o.held.Shrink(max(0, before-int64(size)))
	o.ahead.add(o.held.Bytes() - before)
}

// dropQueue drops what wasn't written. The caller holds mu.
func (o *callerOutput) dropQueue() {
	o.queue = nil
	o.ahead.add(-o.held.Bytes())
	o.held.Release()
}

// catchUp ends the time in which the output is behind. The caller holds mu.
func (o *callerOutput) catchUp() {
	o.behind, o.queue = false, nil
	o.ahead.setBehind(o, false)
	close(o.caughtUp)
}

// unacked returns how many bytes the connection has taken and the caller's side hasn't. The kernel of a caller that doesn't read
// takes no more once its buffer is full, and takes the next when a good part of that was read; single bytes don't show.
func (o *callerOutput) unacked() int64 {
	if o.raw == nil {
		return 0
	}
	unacked := 0
	// After an error the connection has ended, and the next write fails.
	_ = o.raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ); err == nil {
			unacked = n
		}
	})
	return int64(unacked)
}

// observeProgress records whether the caller has taken anything since the last call. The caller holds mu.
func (o *callerOutput) observeProgress(now time.Time) {
	if acked := o.written - o.unacked(); acked > o.acked {
		o.acked, o.progressAt = acked, now
	}
}

// lag returns how far the caller is behind.
func (o *callerOutput) lag(now time.Time) callerLag {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lagLocked(now)
}

// lagLocked is lag for a caller that holds mu.
func (o *callerOutput) lagLocked(now time.Time) callerLag {
	if !o.behind {
		return callerLag{}
	}
	o.observeProgress(now)
	return callerLag{held: o.held.Bytes(), stalled: now.Sub(o.progressAt)}
}

// cutOff resets the connection and drops what is held for the caller. It has no effect on a caller that has caught up meanwhile,
// unless needed is set: there is no memory for what the caller must hold.
func (o *callerOutput) cutOff(reason cutOffReason, needed bool) {
	o.mu.Lock()
	lag := o.lagLocked(time.Now())
	done := (o.behind || needed) && o.abortLocked(errCutOff)
	o.mu.Unlock()
	if done {
		o.ahead.recordCutOff(o, reason, lag)
		_ = o.conn.Close()
	}
}

// abort drops what is held for the caller, and makes the close of the connection a reset if there was any. It returns at once; a
// write in progress ends.
func (o *callerOutput) abort() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.abortLocked(net.ErrClosed)
}

// abortLocked is abort for a caller that holds mu, with the error that further writes return. It reports whether nothing had ended
// the output before.
func (o *callerOutput) abortLocked(err error) bool {
	if o.err != nil {
		return false
	}
	o.err = err
	if tcp, ok := o.conn.(*net.TCPConn); ok && (o.behind || errors.Is(err, errCutOff)) {
		// The connection is closed in any case. Without the reset a response in chunks is still seen to be incomplete.
		_ = tcp.SetLinger(0)
	}
	o.dropQueue()
	_ = o.conn.SetWriteDeadline(time.Now())
	return true
}

// deliver waits until the connection has taken all that was written, or ctx ends. It returns the
// error of ctx, or that of the connection; errCutOff for a caller that was cut off.
func (o *callerOutput) deliver(ctx context.Context) error {
	o.mu.Lock()
	behind, caughtUp := o.behind, o.caughtUp
	o.mu.Unlock()
	if behind {
		select {
		case <-caughtUp:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.err
}
