package harness

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"balsamyoke.example/balsamyoke/internal/gateway"
	"balsamyoke.example/balsamyoke/internal/loopback"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/memkv"
	"balsamyoke.example/balsamyoke/platform/standin"
)

const (
	host        = "h"
	readyWithin = 15 * time.Second
	model       = "m"
)

// cannotRun is the reason why a case can't run.
type cannotRun struct{ error }

func must(err error) {
	if err != nil {
		panic(cannotRun{err})
	}
}

// deployment is the platform's store, the servers and the gateways of a case.
type deployment struct {
	binary, folder string
	started        time.Time
	store          *standin.Metastore
	gateways       []*gatewayProcess
	// storeAddress returns the address at which a gateway reaches the store; nil for the store's own.
	storeAddress func(gateway int) string
	// onSettings is called with the addresses for heartbeats and calls of each gateway that is to start; nil for none.
	onSettings func(beats, control string)

	mu  sync.Mutex
	out *os.File

	ids atomic.Int64
}

func newDeployment(binary, folder, recordFile string) (*deployment, error) {
	out, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	d := &deployment{binary: binary, folder: folder, started: time.Now(), out: out}
	d.store, err = standin.StartMetastore(standin.MetastoreSettings{Listen: d.freeAddress(), Admin: d.freeAddress()})
	return d, err
}

// end ends all gateways and the store.
func (d *deployment) end() {
	for _, g := range d.gateways {
		g.kill()
	}
	d.store.Stop()
	_ = d.out.Close()
}

// record writes a line to the record of the case, with the seconds since its start.
func (d *deployment) record(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.out, "%7.3f %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

func (d *deployment) freeAddress() string {
	address, err := loopback.FreeAddress()
	must(err)
	return address
}

// put writes a key as the operator or a server does, until the store accepts it.
func (d *deployment) put(key, value string) {
	for {
		if d.tryPut(key, value) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (d *deployment) tryPut(key, value string) bool {
	store := d.store.Store()
	ctx := context.Background()
	record, err := store.Get(ctx, key)
	if err != nil {
		record.ModRevision = 0
	}
	result, err := store.CompareAndSwap(ctx, metastore.Swap{Key: key, Value: []byte(value), Expect: record.ModRevision})
	return err == nil && result.Swapped
}

// storeDown takes the store down, or up again. Its leases pause meanwhile.
func (d *deployment) storeDown(down bool) {
	d.record("store down: %v", down)
	must(d.store.SetFaults(memkv.Faults{Down: down}))
}

// gatewayProcess is one gateway.
type gatewayProcess struct {
	name, address, ready, control string
	binary, settings              string
	log                           *os.File
	cmd                           *exec.Cmd
	ended                         chan struct{}
}

// startGateways starts gateways with the bounds of the site nyiraflue-quotes, and waits until they are ready.
func (d *deployment) startGateways(count int) {
	var seeds []string
	for i := range count {
		g := &gatewayProcess{name: fmt.Sprintf("gateway-%d", i)}
		s := gateway.DefaultSettings()
		s.Instance, s.FailureDomain = g.name, "zone-0"
		s.Listen, s.Ready, s.Control, s.Beats, s.Metrics = d.freeAddress(), d.freeAddress(), d.freeAddress(), d.freeAddress(), d.freeAddress()
		s.Metastore, s.Seeds = d.store.Address(), seeds
		if d.storeAddress != nil {
			s.Metastore = d.storeAddress(i)
		}
		s.GraceMS, s.LeaseMS, s.RetryRatio, s.RetrySlack, s.RetryWindowMS, s.WeightsWithinMS = 8000, 3000, 0.2, 58, 10000, 10000
		if d.onSettings != nil {
			d.onSettings(s.Beats, s.Control)
		}
		g.address, g.ready, g.control = s.Listen, s.Ready, s.Control
		if len(seeds) < 3 {
			seeds = append(seeds, s.Control)
		}
		text, err := json.Marshal(s)
		must(err)
		file := filepath.Join(d.folder, g.name+".json")
		must(os.WriteFile(file, text, 0o600))
		log, err := os.Create(filepath.Join(d.folder, g.name+".log"))
		must(err)
		g.binary, g.settings, g.log = d.binary, file, log
		g.start()
		d.gateways = append(d.gateways, g)
		d.record("%s started as process %d, clients at %s", g.name, g.cmd.Process.Pid, g.address)
	}
	for _, g := range d.gateways {
		d.await(readyWithin, g.name+" is ready", func() bool {
			response, err := http.Get("http://" + g.ready + "/balsamyoke/ready")
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
	}
}

func (g *gatewayProcess) start() {
	g.cmd = exec.Command(g.binary, "--settings", g.settings)
	g.cmd.Stdout, g.cmd.Stderr = g.log, g.log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(g.cmd.Start())
	cmd, ended := g.cmd, make(chan struct{})
	g.ended = ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
}

func (g *gatewayProcess) kill() {
	_ = g.cmd.Process.Kill()
	<-g.ended
}

// await waits until a condition holds; the case can't run if it doesn't.
func (d *deployment) await(within time.Duration, what string, holds func() bool) {
	for end := time.Now().Add(within); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			panic(cannotRun{fmt.Errorf("waited %s in vain: %s", within, what)})
		}
	}
}

// newID returns the id of a new request.
func (d *deployment) newID() string { return fmt.Sprintf("r%06d", d.ids.Add(1)) }

// answer is what a client got for a request.
type answer struct {
	status   int
	header   http.Header
	body     string
	complete bool
	err      error
}

// send sends one request on a connection of its own and reads the answer. onData is called with the body read so far and may
// be nil.
func send(address, method, path, headers, body string, timeout time.Duration, onData func(string)) (a answer) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	length := ""
	if body != "" || method != http.MethodGet {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\n%s%s\r\n%s", method, path, host, headers, length, body); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	a.status, a.header = response.StatusCode, response.Header
	buffer := make([]byte, 4<<10)
	for {
		n, err := response.Body.Read(buffer)
		a.body += string(buffer[:n])
		if n > 0 && onData != nil {
			onData(a.body)
		}
		if err != nil {
			a.complete = err.Error() == "EOF"
			if !a.complete {
				a.err = err
			}
			return a
		}
	}
}

// keptConnection is a connection of a client that carries one request after the other.
type keptConnection struct {
	conn    net.Conn
	reader  *bufio.Reader
	carried int
}

// call sends a request on the connection, which it opens if there is none, and reads the answer. kept is set if the connection
// had carried a request before. A failed connection is closed.
func (k *keptConnection) call(address, request string, timeout time.Duration) (status int, body string, kept bool, err error) {
	if k.conn == nil {
		conn, err := net.DialTimeout("tcp4", address, time.Second)
		if err != nil {
			return 0, "", false, err
		}
		k.conn, k.reader, k.carried = conn, bufio.NewReader(conn), 0
	}
	kept = k.carried > 0
	k.carried++
	_ = k.conn.SetDeadline(time.Now().Add(timeout))
	_, err = io.WriteString(k.conn, request)
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(k.reader, &http.Request{Method: http.MethodPost})
	}
	if err == nil {
		status = response.StatusCode
		var text []byte
		text, err = io.ReadAll(response.Body)
		body = string(text)
	}
	if err != nil || response.Close {
		k.close()
	}
	return status, body, kept, err
}

func (k *keptConnection) close() {
	if k.conn != nil {
		_ = k.conn.Close()
		k.conn = nil
	}
}
