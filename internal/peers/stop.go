package peers

import (
	"context"
	"time"
)

// stopTimeout bounds the time to stop the event loop.
const stopTimeout = time.Second

// Close closes the sockets and stops the event loop. It returns ErrLink if the loop doesn't stop in time. It doesn't wait for
// gnet's Stop, which checks only every 500 ms whether the loop has ended: more than a process has left near the end of its grace time.
func (l *Link) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = l.out.Close()
	stopped := make(chan error, 1)
	go func() { stopped <- l.engine.Stop(ctx) }()
	select {
	case <-l.ended:
		return nil
	case err := <-stopped:
		if err != nil {
			return ErrLink.Wrap(err, "cannot stop the event loop")
		}
		return nil
	}
}
