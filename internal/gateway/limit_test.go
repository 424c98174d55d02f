package gateway_test

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// A server that states a limit of n requests a second may get no more than limitFactor*n*limitWindow + limitSlack of them
	// in any limitWindow, from contactTime after its first statement on.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// minUse is the share of what the limits of all servers allow that is used at least while callers want more.
	minUse = 0.7
)

// limitingServer is a server that states a limit in each response, as long as limit isn't empty.
type limitingServer struct {
	*server
	mu sync.Mutex
	// limit is the value of the header.
	limit     string
	statedAt  time.Time
	arrivedAt []time.Time
}

func startLimitingServer(c *qt.C, limit string) *limitingServer {
	s := &limitingServer{limit: limit}
	s.server = startServer(c, func(r *received) {
		<-s.requests
		s.respond(r)
	})
	return s
}

func (s *limitingServer) respond(r *received) {
	s.mu.Lock()
	header := ""
	if s.limit != "" {
		header = "Server-Limit: " + s.limit + "\r\n"
		if s.statedAt.IsZero() {
			s.statedAt = time.Now()
		}
	}
	s.arrivedAt = append(s.arrivedAt, time.Now())
	s.mu.Unlock()
	if r.header["x-stream"] != "" {
		r.write("HTTP/1.1 200 OK\r\nBalsamyoke-Request-Id: %s\r\nBalsamyoke-Response-Stamp: s\r\nContent-Type: text/event-stream\r\n%sTransfer-Encoding: chunked\r\n\r\n", r.id(), header)
		r.chunk(event(1))
		r.endStream()
		return
	}
	r.write("HTTP/1.1 200 OK\r\nBalsamyoke-Request-Id: %s\r\nBalsamyoke-Response-Stamp: s\r\n%sContent-Length: 1\r\n\r\nx", r.id(), header)
}

func (s *limitingServer) setLimit(limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// arrivals returns the number of requests that arrived in the time, and the largest number in any limitWindow of it.
func (s *limitingServer) arrivals(from, to time.Time) (count, inWindow int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var times []time.Time
	for _, at := range s.arrivedAt {
		if !at.Before(from) && at.Before(to) {
			times = append(times, at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > limitWindow {
			first++
		}
		inWindow = max(inWindow, i+1-first)
	}
	return len(times), inWindow
}

// allowedInWindow is the number of requests that a server with the limit may get in a limitWindow.
func allowedInWindow(limit float64) int {
	return int(limitFactor*limit*limitWindow.Seconds() + limitSlack)
}

// loadResult counts the responses to a load by status; slowest is the longest time that a refusal took.
type loadResult struct {
	mu       sync.Mutex
	byStatus map[int]int
	slowest  time.Duration
	// withoutRetryAfter counts the refusals that don't say when to come back.
	withoutRetryAfter int
}

func (l *loadResult) record(resp callerResponse, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byStatus[resp.status]++
	if resp.status != 503 {
		return
	}
	l.slowest = max(l.slowest, took)
	if after, err := strconv.ParseFloat(resp.header["retry-after"], 64); err != nil || after <= 0 {
		l.withoutRetryAfter++
	}
}

// sendLoad sends plain requests of both kinds and streams to the gateways in turn, perSecond in all, for the duration.
func sendLoad(gateways []*deployment, perSecond int, duration time.Duration) *loadResult {
	result := &loadResult{byStatus: make(map[int]int)}
	var calls sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	started := time.Now()
	for i := 0; time.Since(started) < duration; i++ {
		<-ticker.C
		calls.Go(func() {
			method, path, headers, body := "GET", fmt.Sprint("/get/", i), "", ""
			switch i % 3 {
			case 1:
				method, path, body = "POST", "/book/x", "b"
			case 2:
				method, path, headers, body = "POST", "/stream/x", "X-Stream: 1\r\n", "b"
			}
			at := time.Now()
			// Without a response the status is 0.
			resp, _ := gateways[i%len(gateways)].send(method, path, headers, body)
			result.record(resp, time.Since(at))
		})
	}
	calls.Wait()
	return result
}

func deployGateways(c *qt.C, count int, servers ...*server) []*deployment {
	d := deploy(c, servers...)
	gateways := []*deployment{d}
	for i := range count - 1 {
		gateways = append(gateways, d.addGateway(fmt.Sprint("h", i)))
	}
	return gateways
}

// Guards against inc1 of issue 25: gateways that each kept on sending to a server that had limited its requests.
func TestServerLimitHoldsOverAllGateways(t *testing.T) {
	t.Parallel()
	const limit = 1.4
	c := qt.New(t)
	limited := startLimitingServer(c, fmt.Sprint(limit))
	gateways := deployGateways(c, 5, limited.server, startLimitingServer(c, "").server, startLimitingServer(c, "").server)
	result := sendLoad(gateways, 60, contactTime+3*limitWindow)
	c.Assert(limited.statedAt.IsZero(), qt.IsFalse)
	count, inWindow := limited.arrivals(limited.statedAt.Add(contactTime), time.Now())
	c.Logf("%d requests at the limited server, %d in a window; responses %v", count, inWindow, result.byStatus)
	c.Check(inWindow <= allowedInWindow(limit), qt.IsTrue, qt.Commentf("%d requests in %s, %d allowed", inWindow, limitWindow, allowedInWindow(limit)))
	c.Check(result.byStatus, qt.HasLen, 1)
	c.Check(result.byStatus[200] > 0, qt.IsTrue)
}

// When all servers of a service limit their requests, what exceeds the limits is refused at once, and what the limits
// allow is used at whichever gateway the requests arrive.
func TestLimitsOfAllServersAreUsedAndTheRestIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	const limit = 1.4
	c := qt.New(t)
	var servers []*limitingServer
	var plain []*server
	for range 3 {
		s := startLimitingServer(c, fmt.Sprint(limit))
		servers, plain = append(servers, s), append(plain, s.server)
	}
	gateways := deployGateways(c, 5, plain...)
	sendLoad(gateways, 30, contactTime+time.Second)
	from := time.Now()
	result := sendLoad(gateways, 30, 3*limitWindow)
	to := time.Now()
	used := 0
	for _, s := range servers {
		count, inWindow := s.arrivals(from, to)
		used += count
		c.Check(inWindow <= allowedInWindow(limit), qt.IsTrue, qt.Commentf("%d requests in %s, %d allowed", inWindow, limitWindow, allowedInWindow(limit)))
	}
	allowed := limit * float64(len(servers)) * to.Sub(from).Seconds()
	c.Logf("%d requests of %.0f allowed; responses %v, slowest refusal %s", used, allowed, result.byStatus, result.slowest)
	c.Check(float64(used) >= minUse*allowed, qt.IsTrue)
	c.Check(result.byStatus[200], qt.Equals, used)
	c.Check(result.byStatus[200]+result.byStatus[503] > 0, qt.IsTrue)
	c.Check(result.byStatus, qt.HasLen, 2)
	c.Check(result.withoutRetryAfter, qt.Equals, 0)
	c.Check(result.slowest < 500*time.Millisecond, qt.IsTrue)
}

// A server that no longer states a limit is fully used again.
func TestServerWhoseLimitEndsIsUsedAgain(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	limited := startLimitingServer(c, "0.5")
	gateways := deployGateways(c, 2, limited.server)
	sendLoad(gateways, 20, 2*time.Second)
	limited.setLimit("")
	d := gateways[0]
	d.eventually(func() bool { return d.mustSend("GET", "/get/x", "", "").status == 200 })
	time.Sleep(time.Second)
	result := sendLoad(gateways, 20, time.Second)
	c.Assert(result.byStatus, qt.HasLen, 1)
	c.Assert(result.byStatus[200] > 0, qt.IsTrue)
}

// Gateways that start, stop and own limits in turn promise servers no more than their limits together.
func TestServerLimitHoldsWhileGatewaysComeAndGo(t *testing.T) {
	t.Parallel()
	const limit = 1.4
	c := qt.New(t)
	limited := startLimitingServer(c, fmt.Sprint(limit))
	gateways := deployGateways(c, 3, limited.server)
	sendLoad(gateways, 30, contactTime)
	from := time.Now()
	for i := range 3 {
		gateways[0].stop()
		gateways = append(gateways[1:], gateways[1].addGateway(fmt.Sprint("n", i)))
		sendLoad(gateways, 30, 2*time.Second)
	}
	count, inWindow := limited.arrivals(from, time.Now())
	c.Logf("%d requests at the limited server, %d in a window", count, inWindow)
	c.Check(inWindow <= allowedInWindow(limit), qt.IsTrue, qt.Commentf("%d requests in %s, %d allowed", inWindow, limitWindow, allowedInWindow(limit)))
}
