package storeserver

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"balsamyoke.example/balsamyoke/internal/httpclient"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type tester struct {
	*qt.C
	server *Server
	client *httpclient.Client
}

func start(t *testing.T, settings Settings) tester {
	c := qt.New(t)
	settings.Listen, settings.Admin = "127.0.0.1:0", "127.0.0.1:0"
	server, err := Start(settings)
	c.Assert(err, qt.IsNil)
	client := httpclient.New(server.Address(), httpclient.Options{})
	c.Cleanup(func() {
		client.Close()
		server.Stop()
	})
	return tester{C: c, server: server, client: client}
}

func (c tester) call(method, name, priority string, body []byte) (status int, tierName string, content []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.Header.Set(HeaderPriority, priority)
	request.SetRequestURI("http://" + c.client.Address() + piecesPath + name)
	request.SetBody(body)
	err = c.client.Do(ctx, request, response)
	tierName = string(response.Header.Peek(HeaderTier))
	return response.StatusCode(), tierName, append([]byte{}, response.Body()...), err
}

func (c tester) put(name string, size int) int {
	status, _, _, err := c.call(fasthttp.MethodPut, name, PriorityExport, bytes.Repeat([]byte(name), size/len(name)))
	c.Assert(err, qt.IsNil)
	return status
}

func TestPiecesMoveToDiskAndOut(t *testing.T) {
	c := start(t, Settings{MemoryBytes: 2000, DiskBytes: 1000})
	for i := range 4 {
		c.Assert(c.put(fmt.Sprint(i), 1000), qt.Equals, fasthttp.StatusNoContent)
	}
	tiers := []string{"", tierDisk, tierMemory, tierMemory}
	for i, want := range tiers {
		status, tierName, content, err := c.call(fasthttp.MethodGet, fmt.Sprint(i), PriorityUrgent, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(tierName, qt.Equals, want)
		if want == "" {
			c.Assert(status, qt.Equals, fasthttp.StatusNotFound)
			continue
		}
		c.Assert(content, qt.DeepEquals, bytes.Repeat([]byte(fmt.Sprint(i)), 1000))
	}
	status, _, _, err := c.call(fasthttp.MethodHead, "3", "", nil)
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, fasthttp.StatusOK)
	status, _, _, err = c.call(fasthttp.MethodDelete, "3", "", nil)
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, fasthttp.StatusOK)
	stats := c.server.Stats()
	c.Assert(stats.MemoryPieces, qt.Equals, 1)
	c.Assert(stats.DiskPieces, qt.Equals, 1)
	c.Assert(stats.UrgentBytes, qt.Equals, int64(3000))
	c.Assert(stats.ExportBytes, qt.Equals, int64(4000))
}

func TestFullStoreRefusesAndDownStoreIsUnreachable(t *testing.T) {
	c := start(t, Settings{MemoryBytes: 2000})
	c.Assert(c.put("a", 3000), qt.Equals, fasthttp.StatusInsufficientStorage)
	c.Assert(c.server.SetFaults(Faults{Full: true}), qt.IsNil)
	c.Assert(c.put("a", 1000), qt.Equals, fasthttp.StatusInsufficientStorage)
	c.Assert(c.server.SetFaults(Faults{Down: true}), qt.IsNil)
	_, _, _, err := c.call(fasthttp.MethodGet, "a", "", nil)
	c.Assert(err, qt.IsNotNil)
	c.Assert(c.server.SetFaults(Faults{}), qt.IsNil)
	c.Assert(c.put("a", 1000), qt.Equals, fasthttp.StatusNoContent)
}

func TestCutTransferLeavesNoPiece(t *testing.T) {
	c := start(t, Settings{})
	c.Assert(c.server.SetFaults(Faults{CutEvery: 2}), qt.IsNil)
	c.Assert(c.put("a", 2*linkChunkBytes), qt.Equals, fasthttp.StatusNoContent)
	_, _, _, err := c.call(fasthttp.MethodPut, "b", "", make([]byte, 2*linkChunkBytes))
	c.Assert(err, qt.IsNotNil)
	status, _, _, err := c.call(fasthttp.MethodHead, "b", "", nil)
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, fasthttp.StatusNotFound)
	_, _, content, err := c.call(fasthttp.MethodGet, "a", "", nil) // the third transfer is not cut
	c.Assert(err, qt.IsNil)
	c.Assert(content, qt.HasLen, 2*linkChunkBytes)
	_, _, _, err = c.call(fasthttp.MethodGet, "a", "", nil)
	c.Assert(err, qt.IsNotNil)
}

func TestUrgentTransferOvertakesExport(t *testing.T) {
	const size = 8 * linkChunkBytes
	c := start(t, Settings{LinkBytesPerSecond: 8 * linkChunkBytes})
	c.server.link.slowFactor = 0.2 // the export takes 200 ms
	c.Assert(c.put("u", 2*linkChunkBytes), qt.Equals, fasthttp.StatusNoContent)
	exported := make(chan int, 1)
	go func() { exported <- c.put("x", size) }()
	for c.server.Stats().ExportBytes < 3*linkChunkBytes {
		time.Sleep(time.Millisecond)
	}
	status, _, _, err := c.call(fasthttp.MethodGet, "u", PriorityUrgent, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, fasthttp.StatusOK)
	c.Assert(len(exported), qt.Equals, 0, qt.Commentf("the export ended before the urgent read"))
	c.Assert(<-exported, qt.Equals, fasthttp.StatusNoContent)
}

// partialPut starts a put of size bytes and sends only the first sentBytes. The returned function closes the
// connection.
func (c tester) partialPut(name string, sentBytes, size int) (stop func()) {
	conn, err := net.Dial("tcp4", c.server.Address())
	c.Assert(err, qt.IsNil)
	_, err = fmt.Fprintf(conn, "PUT %s%s HTTP/1.1\r\nHost: store\r\nContent-Length: %d\r\n\r\n", piecesPath, name, size)
	c.Assert(err, qt.IsNil)
	_, err = conn.Write(make([]byte, sentBytes))
	c.Assert(err, qt.IsNil)
	return func() { _ = conn.Close() }
}

func TestPieceIsVisibleAfterItsLastByte(t *testing.T) {
	for _, partial := range []bool{false, true} {
		c := start(t, Settings{PublishPartial: partial})
		stop := c.partialPut("half", linkChunkBytes, 2*linkChunkBytes)
		for c.server.Stats().BytesIn < linkChunkBytes {
			time.Sleep(time.Millisecond)
		}
		eventually(c, func() bool {
			status, _, content, err := c.call(fasthttp.MethodGet, "half", PriorityUrgent, nil)
			c.Assert(err, qt.IsNil)
			if !partial {
				return status == fasthttp.StatusNotFound
			}
			return status == fasthttp.StatusOK && len(content) == linkChunkBytes
		})
		stop()
	}
}

func eventually(c tester, condition func() bool) {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	c.Fatal("condition not met in time")
}
