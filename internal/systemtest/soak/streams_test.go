package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// streamEvents is the number of events of a stream, longStreamEvents that of one whose path ends in longSuffix.
	streamEvents     = 6
	longStreamEvents = 24
	eventPause       = 15 * time.Millisecond
	longEventPause   = 40 * time.Millisecond
	longSuffix       = "/long"

	streamCallerCount = 20
	// maxTries is how often a caller tries to begin a stream, or to take one up, until it gives up.
	maxTries = 4
	// breakShare is the share of the connections that callers break themselves.
	breakShare = 0.5
	// minTakenUp is the number of streams taken up from which their share is judged.
	minTakenUp = 12
	// servingTime is how long a server must have been ready to count as serving.
	servingTime = time.Second
	// minServing is how many servers of a stream's software version must serve so that it has to go on.
	minServing = 2
)

// event is one event of a stream: the request, software version and run of the server that wrote it.
type event struct {
	number   int
	request  string
	software string
	run      int64
}

func (e event) text() string {
	return fmt.Sprintf("id: %d\ndata: %s %s %d\n\n", e.number, e.request, e.software, e.run)
}

// readEvents reads the complete events at the beginning of text and returns the rest of it.
func readEvents(text string) (events []event, rest string) {
	for {
		block, after, found := strings.Cut(text, "\n\n")
		var e event
		if _, err := fmt.Sscanf(block, "id: %d\ndata: %s %s %d", &e.number, &e.request, &e.software, &e.run); !found || err != nil || e.text() != block+"\n\n" {
			return events, text
		}
		events, text = append(events, e), after
	}
}

// checkStream returns what is wrong with a complete stream, or an empty text.
func checkStream(text, request string, count int, resumable bool) string {
	events, rest := readEvents(text)
	if rest != "" || len(events) != count {
		return fmt.Sprintf("has %d events and the rest %q", len(events), rest)
	}
	for i, e := range events {
		switch {
		case e.number != i+1:
			return fmt.Sprintf("has event %d in place of %d", e.number, i+1)
		case e.request != request:
			return fmt.Sprintf("has an event of request %s", e.request)
		case e.run != events[0].run && !resumable:
			return "has events of two runs"
		}
	}
	return ""
}

// mixedSoftware returns the first event of a stream whose software is not that of the first, and false if there is none.
func mixedSoftware(text string) (other event, mixed bool) {
	events, _ := readEvents(text)
	i := slices.IndexFunc(events, func(e event) bool { return e.software != events[0].software })
	if i < 0 {
		return event{}, false
	}
	return events[i], true
}

// breaksOff reports whether the first run of a request ends inside an event.
func breaksOff(request string) bool { return strings.HasSuffix(request, "3-stream") }

// serveStream sends the events of a stream, or those after the Last-Event-Id of the request. A fixed part of the
// streams ends inside an event, in the orderly way of its framing, and has to be resumed.
func (w *deployment) serveStream(s *server, out http.ResponseWriter, in *http.Request) {
	run := s.run.Load()
	request := in.Header.Get("Balsamyoke-Request-Id")
	out.Header().Set("Balsamyoke-Response-Stamp", "stamp")
	resumed := in.Header.Get("Last-Event-Id") != ""
	last := 0
	_, _ = fmt.Sscan(in.Header.Get("Last-Event-Id"), &last)
	out.Header().Set("Content-Type", "text/event-stream")
	if len(request)%2 == 0 {
		// net/http then writes neither a length nor chunks and closes the connection after the body.
		out.Header().Set("Transfer-Encoding", "identity")
	}
	count, pause := streamEvents, eventPause
	if strings.HasSuffix(in.URL.Path, longSuffix) {
		count, pause = longStreamEvents, longEventPause
	}
	breakAt := 0
	if breaksOff(request) && !resumed {
		breakAt = 1 + len(request)%streamEvents
	}
	for i := last + 1; i <= count; i++ {
		text := event{i, request, run.software, run.number}.text()
		if i == breakAt {
			_, _ = io.WriteString(out, strings.TrimSuffix(text, "\n"))
			return
		}
		_, _ = io.WriteString(out, text)
		if http.NewResponseController(out).Flush() != nil {
			return
		}
		time.Sleep(pause)
	}
}

// streamHistory holds the episodes of all stream callers.
type streamHistory struct {
	mu       sync.Mutex
	episodes []episode
	// mixed is the number of times that a stream went on at another software version than its own.
	mixed int
}

// reportMixed fails the test for a stream of two software versions.
func (h *streamHistory) reportMixed(w *deployment, text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.mixed++; h.mixed <= maxReported {
		w.c.Errorf("%s: %s", time.Now().Format(clockFormat), text)
	}
}

// episode is what a caller does until a stream begins or, after a break, goes on.
type episode struct {
	stream, service string
	// takenUp is set if the stream had begun. software is the software version that began it, then.
	takenUp  bool
	software string
	gateways []string
	from, to time.Time
	// moved is set if an event or the complete end of the stream arrived.
	moved bool
	// last is the outcome of the last try.
	last string
}

// streamCaller is a caller of resumable streams. It breaks connections itself now and then, and takes broken streams up at random
// gateways.
type streamCaller struct {
	w      *deployment
	rng    *rand.Rand
	number int
}

// callerStream is a stream as its caller sees it, over all tries.
type callerStream struct {
	name, path, service string
	tries               int
	// first is the request id of the try that brought the first event.
	first    string
	events   []event
	complete bool
}

func (k *streamCaller) run(stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(k.rng.IntN(100)) * time.Millisecond):
		}
		s := &callerStream{name: fmt.Sprintf("l%d-%d", k.number, n), path: "/stream" + longSuffix, service: "app"}
		if k.rng.IntN(2) == 0 {
			s.path, s.service = "/draft"+longSuffix, "llm"
		}
		for !s.complete && k.advance(s, stop) {
			// Some callers come back at once, others later.
			time.Sleep(time.Duration(k.rng.IntN(2)*k.rng.IntN(600)) * time.Millisecond)
		}
	}
}

// advance begins a stream or takes it up, and reads it until it ends or breaks off. It returns false if the caller gives up.
func (k *streamCaller) advance(s *callerStream, stop chan struct{}) bool {
	e := episode{stream: s.name, service: s.service, takenUp: s.first != "", from: time.Now()}
	if e.takenUp {
		e.software = s.events[0].software
	}
	for range maxTries {
		gateway := k.w.gateways[k.rng.IntN(len(k.w.gateways))]
		e.gateways = append(e.gateways, gateway.name)
		before := len(s.events)
		var wait time.Duration
		wait, e.last = k.try(s, gateway)
		if e.moved = len(s.events) > before || s.complete; e.moved {
			break
		}
		select {
		case <-stop:
			return false
		case <-time.After(wait):
		}
	}
	e.to = time.Now()
	k.w.streams.mu.Lock()
	defer k.w.streams.mu.Unlock()
	k.w.streams.episodes = append(k.w.streams.episodes, e)
	return e.moved
}

const (
	tryTimeout = 6 * time.Second
	// defaultRetry is how long a caller waits after a failure, longestRetry how long at most after a refusal.
	defaultRetry = 100 * time.Millisecond
	longestRetry = time.Second
)

// try sends one request for the stream and reads its response. It returns the time until the next try, and what happened.
func (k *streamCaller) try(s *callerStream, gateway *gatewayProcess) (wait time.Duration, outcome string) {
	s.tries++
	id := fmt.Sprintf("%s.%d-stream", s.name, s.tries)
	conn, err := net.DialTimeout("tcp4", gateway.address, time.Second)
	if err != nil {
		return defaultRetry, err.Error()
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(tryTimeout))
	headers := ""
	if s.first != "" {
		headers = fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", len(s.events), s.first)
	}
	if s.service == "llm" {
		headers += promptHeaders(k.rng, id)
	}
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nBalsamyoke-Request-Id: %s\r\nBalsamyoke-Deadline-Ms: 4000\r\n%sContent-Length: 1\r\n\r\n-", s.path, id, headers)
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return defaultRetry, err.Error()
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		return defaultRetry, k.read(s, id, response.Body)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		if err != nil {
			return defaultRetry, response.Status
		}
		return min(time.Duration(seconds*float64(time.Second)), longestRetry), response.Status
	case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusRequestTimeout:
	default:
		k.w.c.Errorf("stream %s got status %d", id, response.StatusCode)
	}
	return defaultRetry, response.Status
}

// read reads the events of a response until it ends, breaks off or the caller breaks it off.
func (k *streamCaller) read(s *callerStream, id string, body io.Reader) (outcome string) {
	breakAfter := longStreamEvents
	if k.rng.Float64() < breakShare {
		breakAfter = len(s.events) + 1 + k.rng.IntN(longStreamEvents)
	}
	var text string
	for buffer := make([]byte, 4<<10); ; {
		n, err := body.Read(buffer)
		var events []event
		events, text = readEvents(text + string(buffer[:n]))
		for _, e := range events {
			k.add(s, id, e)
		}
		switch {
		case err == io.EOF && (text != "" || len(s.events) != longStreamEvents):
			k.w.c.Errorf("stream %s of %s is complete with %d events and the rest %q", id, s.name, len(s.events), text)
			fallthrough
		case err == io.EOF:
			s.complete = true
			return "complete"
		case err != nil:
			return err.Error()
		case len(s.events) >= breakAfter && breakAfter < longStreamEvents:
			return "broken off by its caller"
		}
	}
}

// add checks the next event of a stream and adds it.
func (k *streamCaller) add(s *callerStream, id string, e event) {
	if len(s.events) == 0 {
		s.first = id
	}
	s.events = append(s.events, e)
	switch first := s.events[0]; {
	case e.request != id:
		k.w.c.Errorf("stream %s got event %d of request %s", id, e.number, e.request)
	case e.number != len(s.events):
		k.w.c.Errorf("stream %s got event %d in place of %d", id, e.number, len(s.events))
	case e.software != first.software && e.run != s.events[len(s.events)-2].run:
		k.w.streams.reportMixed(k.w, fmt.Sprintf("stream %s, begun as %s at software %s, goes on with event %d at software %s", id, s.first, first.software, e.number, e.software))
	}
}

// checkStreams checks that streams that are taken up go on about as often as new ones begin, at gateways in touch and
// while servers of their software version serve.
func (w *deployment) checkStreams() {
	w.streams.mu.Lock()
	defer w.streams.mu.Unlock()
	var begun, all, wentOn, takenUp int
	var lost []string
	for _, e := range w.streams.episodes {
		switch {
		case !w.inTouchDuring(e):
		case !e.takenUp:
			all++
			if e.moved {
				begun++
			}
		case w.servingUndisturbed(e) >= minServing:
			takenUp++
			if e.moved {
				wentOn++
				continue
			}
			lost = append(lost, fmt.Sprintf("%s of software %s, taken up at %v from %s to %s: %s", e.stream, e.software, e.gateways, e.from.Format(clockFormat), e.to.Format(clockFormat), e.last))
		}
	}
	w.c.Logf("%d of %d new streams began, %d of %d taken up went on, not judged: %d; %d times a stream went on at other software", begun, all, wentOn, takenUp, len(w.streams.episodes)-all-takenUp, w.streams.mixed)
	for _, text := range lost[:min(len(lost), maxReported)] {
		w.c.Logf("lost: %s", text)
	}
	if takenUp >= minTakenUp && all > 0 && 2*wentOn*all < begun*takenUp {
		w.c.Errorf("%d of %d streams that were taken up went on, less than half as often as the %d of %d new ones that began", wentOn, takenUp, begun, all)
	}
}

// inTouchDuring reports whether all gateways of an episode, and the metadata store, were in touch until its end.
func (w *deployment) inTouchDuring(e episode) bool {
	for _, name := range e.gateways {
		if w.impairments.overlap(name, e.from.Add(-contactTime), e.to) {
			return false
		}
	}
	return !w.impairments.overlap(storeScope, e.from.Add(-contactTime), e.to)
}

// servingUndisturbed returns the number of servers of an episode's software version that served throughout, without a fault on
// their links.
func (w *deployment) servingUndisturbed(e episode) int {
	n := 0
	for _, s := range w.serving.servers(e.service, e.software, e.from.Add(-servingTime), e.to) {
		if !w.impairments.overlap(s.id, e.from.Add(-contactTime), e.to) {
			n++
		}
	}
	return n
}
