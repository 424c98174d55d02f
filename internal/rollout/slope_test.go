package rollout

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"

	"balsamyoke.example/balsamyoke/internal/wire"
)

type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, bytes: &l.bytes}, nil
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func startAgentServer(b *testing.B) (*deployment, *countingListener) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	listener := &countingListener{Listener: inner}
	d := newDeployment(1)
	b.Cleanup(d.kv.Close)
	server := grpc.NewServer()
	wire.RegisterOrdersServer(server, d.servers["replica-0"])
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(server.Stop)
	return d, listener
}

// BenchmarkStatus reports the bytes of one status call on a kept connection.
func BenchmarkStatus(b *testing.B) {
	_, listener := startAgentServer(b)
	replicas := NewGRPCReplicas()
	defer replicas.Close()
	call := func() {
		_, err := replicas.Status(context.Background(), listener.Addr().String())
		qt.Assert(b, err, qt.IsNil)
	}
	call()
	before := listener.bytes.Load()
	calls := 0
	for b.Loop() {
		call()
		calls++
	}
	b.ReportMetric(float64(listener.bytes.Load()-before)/float64(calls), "wirebytes/op")
}

// BenchmarkMemoryOfConnections reports the memory of a kept connection, both ends together.
func BenchmarkMemoryOfConnections(b *testing.B) {
	const connections = 500
	_, listener := startAgentServer(b)
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		holders := make([]*GRPCReplicas, connections)
		for i := range holders {
			holders[i] = NewGRPCReplicas()
			_, err := holders[i].Status(context.Background(), listener.Addr().String())
			qt.Assert(b, err, qt.IsNil)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		for _, holder := range holders {
			holder.Close()
		}
	}
	used := after.HeapInuse + after.StackInuse - before.HeapInuse - before.StackInuse
	b.ReportMetric(float64(used)/connections, "bytes/connection")
}
