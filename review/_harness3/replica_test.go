package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// replicaSettings are the settings of a replica's process.
type replicaSettings struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// Software is the version of its software.
	Software string `json:"software"`
	// Model is empty for a plain service.
	Model string `json:"model"`
	// Slots is how many requests it says to process at once.
	Slots int    `json:"slots"`
	Store string `json:"store"`
	// Events and GapMS are the length of each stream and the pause between two events.
	Events int `json:"events"`
	GapMS  int `json:"gap_ms"`
	// WorkMS is how long a request to a plain service takes.
	WorkMS int `json:"work_ms"`
	// Silent is the path of a file: while it exists the replica writes no registrations.
	Silent string `json:"silent"`
	// Log is the path to which it appends what it runs.
	Log string `json:"log"`
}

const heartbeatInterval = 1200 * time.Millisecond

// replica is a stand-in for a model replica or a replica of a plain service.
type replica struct {
	replicaSettings
	born    int64
	running atomic.Int64
	log     *os.File
}

// runReplica serves until the process is killed.
func runReplica(text string) int {
	r := &replica{born: time.Now().UnixMilli()}
	if err := json.Unmarshal([]byte(text), &r.replicaSettings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	var err error
	if r.log, err = os.OpenFile(r.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	listener, err := net.Listen("tcp4", r.Address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	go r.register()
	server := &http.Server{Handler: r, IdleTimeout: 30 * time.Second}
	fmt.Fprintln(os.Stderr, server.Serve(listener))
	return 2
}

func (r *replica) record(format string, args ...any) {
	fmt.Fprintf(r.log, "%d replica %s (%s) %s\n", time.Now().UnixMilli(), r.ID, r.Software, fmt.Sprintf(format, args...))
}

// register writes the registration at once, then every heartbeatInterval, and sooner again if the store didn't take it.
func (r *replica) register() {
	for sequence := 1; ; sequence++ {
		if _, err := os.Stat(r.Silent); err == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		entry := map[string]any{
			"service": r.Service, "address": r.Address, "zone": r.Zone, "version": r.Software, "slots": r.Slots, "state": "ready",
			"cold_remaining_ms": 0, "sequence": sequence, "born": r.born,
		}
		if r.Model != "" {
			entry["stage"], entry["models"] = "both", r.models()
		}
		text, _ := json.Marshal(entry)
		response, err := http.Post("http://"+r.Store+"/standin/registration?id="+r.ID, "application/json", bytes.NewReader(text))
		wait := 300 * time.Millisecond
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				wait = heartbeatInterval
			}
		}
		time.Sleep(wait)
	}
}

func (r *replica) models() []map[string]any {
	return []map[string]any{{"name": r.Model, "version": 1, "adapters": []string{}}}
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	arrived := time.Now()
	if request.URL.Path == "/balsamyoke/report" {
		reply(w, http.StatusOK, map[string]any{
			"stage": "both", "models": r.models(), "busy": false, "sequence": 0, "queued": 0, "running": r.running.Load(),
			"kv_used": 0, "kv_total": 100000, "handles": 0, "state": "ready", "born": r.born, "clock_ms": time.Now().UnixMilli(),
		})
		return
	}
	id := request.Header.Get("Balsamyoke-Request-Id")
	w.Header()["Balsamyoke-Request-Id"] = []string{id}
	w.Header().Set("Balsamyoke-Instance-Id", r.ID)
	w.Header().Set("Balsamyoke-Server-Load", fmt.Sprintf("%d,0,%d", r.running.Load(), r.Slots))
	if expected := request.Header.Get("Balsamyoke-Expect-Instance"); expected != "" && expected != r.ID {
		w.Header().Set("Balsamyoke-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.record("runs %s from %s at %d", id, request.RemoteAddr, arrived.UnixMilli())
	r.running.Add(1)
	defer r.running.Add(-1)
	w.Header().Set("Balsamyoke-Response-Stamp", "stamp."+r.ID+"."+id)
	if r.Model == "" && r.Events == 0 {
		r.servePlain(w, request, id)
		return
	}
	r.serveStream(w, request, id)
}

func (r *replica) servePlain(w http.ResponseWriter, request *http.Request, id string) {
	time.Sleep(time.Duration(r.WorkMS) * time.Millisecond)
	body := "done by " + r.ID + " for " + id + "\n" + strings.Repeat("x", 700) + "\n"
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body))
	r.record("ends %s", id)
}

// serveStream writes the events after Last-Event-Id. Each names the software version that made it.
func (r *replica) serveStream(w http.ResponseWriter, request *http.Request, id string) {
	first := 1
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Balsamyoke-Weight-Versions", "1")
	for n := first; n <= r.Events; n++ {
		select {
		case <-request.Context().Done():
			r.record("drops %s before event %d", id, n)
			return
		case <-time.After(time.Duration(r.GapMS) * time.Millisecond):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of software %s from %s\n\n", n, n, r.Software, r.ID); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
	r.record("ends %s", id)
}
