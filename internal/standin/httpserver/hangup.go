package httpserver

import (
	"context"
	"net"
	"time"

	"balsamyoke.example/balsamyoke/internal/httpclient"
)

const hangUpCheck = 20 * time.Millisecond // between two looks whether a caller has hung up

// UntilHangUp returns a context that ends when the caller on conn hangs up. The returned function
// must be called to free it.
func UntilHangUp(parent context.Context, conn net.Conn) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		ticker := time.NewTicker(hangUpCheck)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				if httpclient.PeerClosed(conn) {
					cancel()
				}
			}
		}
	}()
	return ctx, cancel
}
