package peers

import (
	"context"
	"time"
)

// stopTime bounds the end of the event loop.
const stopTime = time.Second

// Close ends the Link.
func (l *Link) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	_ = l.out.Close()
	if err := l.engine.Stop(ctx); err != nil {
		return ErrLink.Wrap(err, "stop")
	}
	return nil
}
