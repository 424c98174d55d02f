package httpserver

import (
	"context"
	"net"
	"time"

	"balsamyoke.example/balsamyoke/internal/httpclient"
)

const disconnectPollInterval = 20 * time.Millisecond // between checks whether a caller has closed its connection

// UntilDisconnect returns a context that is cancelled when the caller closes conn. The returned function frees its
// resources and must be called.
func UntilDisconnect(parent context.Context, conn net.Conn) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		ticker := time.NewTicker(disconnectPollInterval)
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
