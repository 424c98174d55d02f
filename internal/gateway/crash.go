package gateway

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"hash/fnv"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/quarantine"
)

// crashCheckTTL is how long the result of a crash check is used for further requests that break off at the same server.
const crashCheckTTL = time.Second

// crashDetector finds out whether a server has crashed when a response of it breaks off: its address then refuses
// connections. A server that only broke off a response accepts them. It is safe for concurrent use.
type crashDetector struct {
	// record is called for each crash and for each further request that was in flight at one.
	record func(quarantine.Crash)
	pool   *pool

	mu      sync.Mutex
	checks  map[string]*crashCheck
	running sync.WaitGroup
}

// crashCheck is the check of one server. suspects are those of the requests that broke off there before its result.
type crashCheck struct {
	at       time.Time
	done     bool
	crashed  bool
	suspects []quarantine.Suspect
}

func newCrashDetector(record func(quarantine.Crash), p *pool) *crashDetector {
	return &crashDetector{record: record, pool: p, checks: make(map[string]*crashCheck)}
}

// observe records that the response to a request broke off at a server. It records the request's parts if the server has crashed.
// A check that began before the request was sent is about an earlier crash, after which the server has started again.
func (d *crashDetector) observe(server, address string, sent quarantine.Request) {
	now := bootclock.Now()
	suspects := sent.Suspects()
	d.mu.Lock()
	defer d.mu.Unlock()
	check := d.checks[server]
	if check == nil || now.Sub(check.at) > crashCheckTTL || check.at.Before(sent.SentAt) {
		d.expire(now)
		check = &crashCheck{at: now, suspects: suspects}
		d.checks[server] = check
		d.running.Go(func() { d.run(check, server, address) })
		return
	}
	if !check.done {
		check.suspects = append(check.suspects, suspects...)
		return
	}
	if check.crashed {
		d.record(quarantine.Crash{Server: server, At: check.at, Suspects: suspects})
	}
}

// observeRefused records that a server's address refused a connection, so that the server has crashed if it was in use. The
// requests that it served just before may be the cause.
func (d *crashDetector) observeRefused(server string) {
	now := bootclock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if check := d.checks[server]; check != nil && now.Sub(check.at) <= crashCheckTTL {
		return
	}
	d.expire(now)
	d.checks[server] = &crashCheck{at: now, done: true, crashed: true}
	d.record(quarantine.Crash{Server: server, At: now})
}

func (d *crashDetector) expire(now time.Time) {
	for server, check := range d.checks {
		if now.Sub(check.at) > crashCheckTTL {
			delete(d.checks, server)
		}
	}
}

func (d *crashDetector) run(check *crashCheck, server, address string) {
	sc, err := connect(context.Background(), server, address)
	if err == nil {
		d.pool.put(sc)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	check.done, check.crashed = true, errors.Is(err, syscall.ECONNREFUSED)
	if check.crashed {
		d.record(quarantine.Crash{Server: server, At: check.at, Suspects: check.suspects})
	}
	check.suspects = nil
}

// wait waits until no check is running.
func (d *crashDetector) wait() { d.running.Wait() }

// identify sets what the request may have in common with others: the parts of its prompt, or for a plain service its whole
// content.
func (r *request) identify() {
	if r.parts != nil {
		return
	}
	if r.call.Model == "" {
		r.parts = r.digests()
		return
	}
	r.parts = make([]quarantine.Part, len(r.call.Parts))
	for i, part := range r.call.Parts {
		r.parts[i] = quarantine.Part{Scope: r.call.Model, ID: part.ID}
	}
}

// maxDigestedBody is the number of bytes of a body that a digest covers. It bounds the processor time of large requests.
const maxDigestedBody = 64 << 10

// digestBytes is the size of the digest of a request.
const digestBytes = 12

// digests returns what the repeats of a request to a plain service have in common.
func (r *request) digests() []quarantine.Part {
	w := wholeRequest{
		service: r.service, organisation: r.organisation, apiKey: r.call.APIKey, method: r.header.Method(), host: r.header.Host(),
		uri: r.header.RequestURI(), bodyBytes: len(r.body), bodyDigest: sha256.Sum256(r.body[:min(len(r.body), maxDigestedBody)]),
	}
	return w.digests()
}

// wholeRequest is what identifies the repeats of a request to a plain service. bodyDigest covers the first maxDigestedBody bytes.
type wholeRequest struct {
	service, organisation, apiKey string
	method, host, uri             []byte
	bodyBytes                     int
	bodyDigest                    [sha256.Size]byte
	// keyUnknown is set if the request has an API key that isn't known, so that the digests with the key are left out.
	keyUnknown bool
}

// digests returns the digests, wider ones first: the organisation, or the API key, with method, host, path, and the start and
// length of the body; and that with the query string. Others may send the same request soundly, and the caller itself with another
// query.
func (w *wholeRequest) digests() []quarantine.Part {
	path, query, _ := bytes.Cut(w.uri, []byte("?"))
	content := fmt.Sprintf("%s %s%s %d %x", w.method, w.host, path, w.bodyBytes, w.bodyDigest)
	parts := []quarantine.Part{w.part("organisation", w.organisation, content)}
	if w.keyUnknown {
		return parts
	}
	if w.apiKey != "" {
		parts = append(parts, w.part("key", w.apiKey, content))
	}
	if len(query) > 0 {
		parts = append(parts, w.part("key", w.apiKey, fmt.Sprintf("%s ?%s", content, query)))
	}
	return parts
}

// part returns the digest of a request's content and its caller, which is identified by an organisation or a key.
func (w *wholeRequest) part(callerKind, caller, content string) quarantine.Part {
	digest := sha256.Sum256(fmt.Appendf(nil, "%s %q %s", callerKind, caller, content))
	return quarantine.Part{Scope: w.service, ID: base64.RawURLEncoding.EncodeToString(digest[:digestBytes]), Whole: true}
}

// sent returns the request as it was sent to the server of its placement.
func (r *request) sent() quarantine.Request {
	r.identify()
	h := fnv.New64a()
	h.Write([]byte(r.call.ID))
	return quarantine.Request{Number: h.Sum64(), SentAt: r.sentAt, Parts: r.parts}
}

// served returns the request as it was sent if the caller got a complete successful response, and none otherwise.
func (r *request) served(res *exchangeResult) quarantine.Request {
	if !res.complete || res.status >= fasthttp.StatusMultipleChoices || r.parts == nil {
		return quarantine.Request{}
	}
	return r.sent()
}
