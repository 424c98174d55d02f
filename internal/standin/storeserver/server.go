package storeserver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/standin/httpserver"
)

// Headers of requests and responses, and their values.
const (
	HeaderPriority  = "X-Priority" // urgent, patient or export
	HeaderTier      = "X-Tier"     // memory or disk
	PriorityUrgent  = "urgent"
	PriorityPatient = "patient"
	PriorityExport  = "export"

	tierMemory = "memory"
	tierDisk   = "disk"
	piecesPath = "/pieces/"
)

// Settings configures the store.
type Settings struct {
	Listen string `json:"listen" long:"listen"`
	// Admin is the ip:port of the fault switches and statistics, which stay reachable while the store is down.
	Admin string `json:"admin" long:"admin"`
	// MemoryBytes and DiskBytes are the capacities of the tiers, in bytes.
	MemoryBytes int64 `json:"memory_bytes" long:"memory-bytes"`
	DiskBytes   int64 `json:"disk_bytes" long:"disk-bytes"`
	// LinkBytesPerSecond is the bandwidth that all transfers share; 0 means no limit.
	LinkBytesPerSecond float64 `json:"link_bytes_per_second" long:"link-bytes-per-second"`
	// DiskMS is added to each read from the disk tier, in milliseconds.
	DiskMS int `json:"disk_ms" long:"disk-ms"`
	// PublishPartial makes a piece readable before its last byte has arrived.
	PublishPartial bool `json:"publish_partial" long:"publish-partial"`
}

const defaultMemoryBytes = 64 << 20

// errCut ends a transfer that is cut because of the fault switches.
var errCut = errors.New("transfer cut")

// Faults are the switches of POST /admin/faults.
type Faults struct {
	// Down refuses new connections and closes the open ones. The content stays.
	Down bool `json:"down"`
	// SlowFactor multiplies the transmission times of the link; 0 and 1 mean full speed.
	SlowFactor float64 `json:"slow_factor"`
	// Full refuses every piece that is written.
	Full bool `json:"full"`
	// CutEvery closes the connection of every n-th transfer after its first chunk; 0 cuts none.
	CutEvery int64 `json:"cut_every"`
	// DamageEvery changes a byte of every n-th piece that is read, as happens when a block of memory is freed
	// and reused; 0 changes none.
	DamageEvery int64 `json:"damage_every"`
}

// Server is the store.
type Server struct {
	*httpserver.Server
	admin    *httpserver.Server
	settings Settings
	pieces   pieces
	link     *link
	ctx      context.Context
	cancel   context.CancelFunc
	sending  sync.WaitGroup

	cutEvery atomic.Int64
	// damageEvery and reads determine which reads are damaged.
	damageEvery atomic.Int64
	reads       atomic.Int64
	transfers   atomic.Int64
}

// Start starts an empty store.
func Start(settings Settings) (*Server, error) {
	if settings.MemoryBytes == 0 {
		settings.MemoryBytes = defaultMemoryBytes
	}
	s := &Server{
		settings: settings,
		pieces:   pieces{memory: newTier(settings.MemoryBytes), disk: newTier(settings.DiskBytes)},
		link:     newLink(settings.LinkBytesPerSecond),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	var err error
	if s.Server, err = httpserver.Start(settings.Listen, s.handle, true); err != nil {
		return nil, err
	}
	routes := httpserver.Router{
		"GET /admin/stats": func(ctx *fasthttp.RequestCtx) {
			httpserver.Reply(ctx, fasthttp.StatusOK, s.Stats())
		},
		"POST /admin/faults": s.serveFaults,
	}
	if s.admin, err = httpserver.Start(settings.Admin, routes.Handle, false); err != nil {
		s.Server.Stop()
		return nil, err
	}
	return s, nil
}

// AdminAddress returns the ip:port of the fault switches.
func (s *Server) AdminAddress() string { return s.admin.Address() }

// Stop stops the store and waits until its transfers have ended.
func (s *Server) Stop() {
	s.cancel()
	s.Server.Stop()
	s.admin.Stop()
	s.sending.Wait()
}

// Stats returns the current statistics.
func (s *Server) Stats() Stats {
	stats := s.pieces.snapshot()
	stats.WaitingOnLink = s.link.semaphore.Waiting()
	return stats
}

// SetFaults sets the fault switches. It returns an error when the store can't listen again.
func (s *Server) SetFaults(f Faults) error {
	s.pieces.setFull(f.Full)
	s.link.setSlowFactor(f.SlowFactor)
	s.cutEvery.Store(f.CutEvery)
	s.damageEvery.Store(f.DamageEvery)
	if f.Down {
		s.Down()
		return nil
	}
	return s.Up()
}

func (s *Server) serveFaults(ctx *fasthttp.RequestCtx) {
	var faults Faults
	if !httpserver.Decode(ctx, &faults) {
		return
	}
	if err := s.SetFaults(faults); err != nil {
		httpserver.ReplyError(ctx, fasthttp.StatusInternalServerError, err.Error())
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	name, ok := strings.CutPrefix(string(ctx.Path()), piecesPath)
	if !ok || name == "" {
		httpserver.ReplyError(ctx, fasthttp.StatusNotFound, "no such route")
		return
	}
	switch string(ctx.Method()) {
	case fasthttp.MethodPut:
		s.servePut(ctx, name)
	case fasthttp.MethodGet:
		s.serveGet(ctx, name)
	case fasthttp.MethodHead:
		s.serveHead(ctx, name)
	case fasthttp.MethodDelete:
		if !s.pieces.remove(name) {
			httpserver.ReplyError(ctx, fasthttp.StatusNotFound, "no such piece")
		}
	default:
		httpserver.ReplyError(ctx, fasthttp.StatusMethodNotAllowed, "method is not served")
	}
}

// countTransfer counts a transfer and reports whether it is to be cut.
func (s *Server) countTransfer() bool {
	number := s.transfers.Add(1)
	every := s.cutEvery.Load()
	return every > 0 && number%every == 0
}

// servePut receives a piece over the link. The piece becomes readable after its last byte, or at once when
// PublishPartial is set.
func (s *Server) servePut(ctx *fasthttp.RequestCtx, name string) {
	size := ctx.Request.Header.ContentLength()
	if size < 0 {
		httpserver.ReplyError(ctx, fasthttp.StatusLengthRequired, "the length of the piece is missing")
		return
	}
	e := &storedPiece{name: name, size: int64(size)}
	if s.settings.PublishPartial && !s.pieces.add(e) {
		s.refuseFull(ctx)
		return
	}
	content, err := s.receive(ctx, e, size)
	if err != nil {
		httpserver.Cut(ctx)
		return
	}
	s.pieces.setContent(e, content)
	if !s.settings.PublishPartial && !s.pieces.add(e) {
		s.refuseFull(ctx)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (s *Server) refuseFull(ctx *fasthttp.RequestCtx) {
	ctx.SetConnectionClose() // the rest of the body may be unread
	httpserver.ReplyError(ctx, fasthttp.StatusInsufficientStorage, "the store is full")
}

func (s *Server) receive(ctx *fasthttp.RequestCtx, e *storedPiece, size int) ([]byte, error) {
	class := s.class(ctx)
	cut := s.countTransfer()
	body := ctx.RequestBodyStream()
	if body == nil {
		body = strings.NewReader(string(ctx.Request.Body()))
	}
	content := make([]byte, size)
	for offset := 0; offset < size; {
		end := min(offset+linkChunkBytes, size)
		if _, err := io.ReadFull(body, content[offset:end]); err != nil {
			return nil, err
		}
		if err := s.link.transmit(s.ctx, class, end-offset); err != nil {
			return nil, err
		}
		s.countBytes(class, end-offset)
		s.pieces.updateStats(func(stats *Stats) { stats.BytesIn += int64(end - offset) })
		offset = end
		if cut {
			return nil, errCut
		}
		if s.settings.PublishPartial {
			s.pieces.setContent(e, content[:offset:offset])
		}
	}
	return content, nil
}

func (s *Server) serveGet(ctx *fasthttp.RequestCtx, name string) {
	content, tierName, ok := s.pieces.find(name)
	if !ok {
		s.pieces.updateStats(func(stats *Stats) { stats.Misses++ })
		httpserver.ReplyError(ctx, fasthttp.StatusNotFound, "no such piece")
		return
	}
	s.pieces.updateStats(func(stats *Stats) { stats.Gets++ })
	content = s.damageRead(content)
	class := s.class(ctx)
	ctx.Response.Header.Set(HeaderTier, tierName)
	ctx.SetContentType("application/octet-stream")
	if tierName == tierDisk {
		time.Sleep(time.Duration(s.settings.DiskMS) * time.Millisecond)
	}
	reader, writer := io.Pipe()
	s.sending.Add(1)
	ctx.SetBodyStream(reader, len(content))
	go func() {
		defer s.sending.Done()
		_ = writer.CloseWithError(s.send(writer, content, class))
	}()
}

// damageRead counts a read and returns its content. Every n-th read, as set by damageEvery, has one byte changed.
func (s *Server) damageRead(content []byte) []byte {
	number := s.reads.Add(1)
	every := s.damageEvery.Load()
	if every == 0 || number%every != 0 || len(content) == 0 {
		return content
	}
	changed := slices.Clone(content)
	changed[len(changed)-1] ^= 1
	return changed
}

// send writes content over the link, chunk by chunk.
func (s *Server) send(to io.Writer, content []byte, class int) error {
	cut := s.countTransfer()
	w := bufio.NewWriterSize(to, linkChunkBytes)
	for offset := 0; offset < len(content); {
		end := min(offset+linkChunkBytes, len(content))
		if err := s.link.transmit(s.ctx, class, end-offset); err != nil {
			return err
		}
		if _, err := w.Write(content[offset:end]); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
		s.countBytes(class, end-offset)
		s.pieces.updateStats(func(stats *Stats) { stats.BytesOut += int64(end - offset) })
		offset = end
		if cut {
			return errCut
		}
	}
	return nil
}

func (s *Server) serveHead(ctx *fasthttp.RequestCtx, name string) {
	content, tierName, ok := s.pieces.find(name)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.Response.SkipBody = true
	ctx.Response.Header.Set(HeaderTier, tierName)
	ctx.Response.Header.SetContentLength(len(content))
}

func (s *Server) class(ctx *fasthttp.RequestCtx) int {
	switch string(ctx.Request.Header.Peek(HeaderPriority)) {
	case PriorityUrgent:
		return classUrgent
	case PriorityPatient:
		return classPatient
	default:
		return classExport
	}
}

func (s *Server) countBytes(class, n int) {
	s.pieces.updateStats(func(stats *Stats) {
		switch class {
		case classUrgent:
			stats.UrgentBytes += int64(n)
		case classPatient:
			stats.PatientBytes += int64(n)
		default:
			stats.ExportBytes += int64(n)
		}
	})
}
