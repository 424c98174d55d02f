package limits

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"

	"balsamyoke.example/balsamyoke/internal/grpcpool"
	"balsamyoke.example/balsamyoke/internal/wire"
)

var benchLimit = Limit{Requests: 1e6, Tokens: 1e9}

func BenchmarkSpend(b *testing.B) {
	s := NewSpender()
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprintf("organisation-%d", i)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		s.Spend(start, names[i%len(names)], benchLimit, 100)
	}
}

func BenchmarkDueOf1000Organisations(b *testing.B) {
	s := NewSpender()
	for i := range 1000 {
		s.Spend(start, fmt.Sprintf("organisation-%d", i), benchLimit, 100)
	}
	s.Due(start)
	for b.Loop() {
		s.Due(start)
	}
}

func BenchmarkOwnerDraw(b *testing.B) {
	owner := NewOwner()
	names := make([]string, 3100)
	for i := range names {
		names[i] = fmt.Sprintf("entry-%d", i)
	}
	i, now := 0, start
	for b.Loop() {
		i++
		now = now.Add(5 * time.Millisecond)
		owner.Draw(now, Draw{From: names[i%len(names)], Organisation: "large", Requested: Amount{Requests: 30, Tokens: 3000}}, benchLimit)
	}
}

// countingListener counts the bytes that its connections send and receive.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
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

func BenchmarkDrawOverTheWire(b *testing.B) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	pool := grpcpool.New(1)
	defer pool.Close()
	limiter := NewLimiter(Options{
		Self:        "entry-0",
		Entries:     func() []Entry { return nil },
		LimitOf:     func(string) Limit { return benchLimit },
		Connections: pool,
	})
	server := grpc.NewServer()
	wire.RegisterQuotaServer(server, limiter)
	var bytes atomic.Int64
	go func() { _ = server.Serve(countingListener{listener, &bytes}) }()
	defer server.Stop()
	owner := Entry{Instance: "entry-0", ControlAddress: listener.Addr().String()}
	draw := Draw{From: "entry-1", Organisation: "large", Requested: Amount{Requests: 3}}
	for b.Loop() {
		if _, err := limiter.drawRemote(context.Background(), owner, draw); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/draw")
}

// heapBytesPerItem returns the heap bytes of the result of build divided by its count of items.
func heapBytesPerItem(count int, build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(count)
}

func BenchmarkBytesPerAccount(b *testing.B) {
	const count = 10000
	for b.Loop() {
		b.ReportMetric(heapBytesPerItem(count, func() any {
			s := NewSpender()
			for i := range count {
				s.Spend(start, fmt.Sprintf("organisation-%d", i), benchLimit, 100)
			}
			return s
		}), "bytes/organisation")
	}
}

func BenchmarkBytesPerDrawer(b *testing.B) {
	const count = 10000
	for b.Loop() {
		b.ReportMetric(heapBytesPerItem(count, func() any {
			owner := NewOwner()
			for i := range count {
				owner.Draw(start, Draw{From: fmt.Sprintf("entry-%d", i), Organisation: "large"}, benchLimit)
			}
			return owner
		}), "bytes/drawer")
	}
}
