package etcdhttp_test

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"
	"go.uber.org/goleak"

	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/etcdhttp"
	"balsamyoke.example/balsamyoke/internal/metastore/metastoretest"
	"balsamyoke.example/balsamyoke/internal/standin/kvserver"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(c *qt.C, settings kvserver.Settings) *kvserver.Server {
	settings.Listen, settings.Admin = "127.0.0.1:0", "127.0.0.1:0"
	server, err := kvserver.Start(settings)
	c.Assert(err, qt.IsNil)
	c.Cleanup(server.Stop)
	return server
}

func open(c *qt.C, addresses ...string) *etcdhttp.Client {
	client := etcdhttp.New(addresses...)
	c.Cleanup(client.Close)
	return client
}

func TestContract(t *testing.T) {
	metastoretest.TestKV(t, func(c *qt.C) metastoretest.KV {
		server := start(c, kvserver.Settings{})
		return metastoretest.KV{KV: open(c, server.Address()), SetFaults: server.SetFaults}
	})
}

func TestNextGatewayServesWhenOneIsDown(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(listener.Close(), qt.IsNil)
	server := start(c, kvserver.Settings{})
	client := open(c, listener.Addr().String(), server.Address())
	result, err := client.CompareAndSwap(context.Background(), metastore.Swap{Key: "a"})
	c.Assert(err, qt.IsNil)
	c.Assert(result.Swapped, qt.IsTrue)
}

func TestRateLimitRefusesWithoutEffect(t *testing.T) {
	c := qt.New(t)
	server := start(c, kvserver.Settings{WritesPerSecond: 0.001})
	client := open(c, server.Address())
	ctx := context.Background()
	_, err := client.CompareAndSwap(ctx, metastore.Swap{Key: "a"})
	c.Assert(err, qt.IsNil)
	_, err = client.CompareAndSwap(ctx, metastore.Swap{Key: "b"})
	c.Assert(errorx.IsOfType(err, metastore.ErrUnavailable), qt.IsTrue, qt.Commentf("%v", err))
	_, err = client.Get(ctx, "b")
	c.Assert(errorx.IsOfType(err, metastore.ErrNotFound), qt.IsTrue)
}

func TestSilentServiceLeavesWritesUnknown(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0") // accepts in the kernel and never answers
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	client := open(c, listener.Addr().String())
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err = client.CompareAndSwap(ctx, metastore.Swap{Key: "a"})
	c.Assert(errorx.IsOfType(err, metastore.ErrOutcomeUnknown), qt.IsTrue, qt.Commentf("%v", err))
}
