package peers

import (
	"context"
	"time"
)

// stopTimeout bounds the time to stop the event loop.
const stopTimeout = time.Second

// Close closes the sockets and stops the event loop. It returns ErrLink if the loop doesn't stop in time.
func (l *Link) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = l.out.Close()
	if err := l.engine.Stop(ctx); err != nil {
		return ErrLink.Wrap(err, "cannot stop the event loop")
	}
	return nil
}
