package harness

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// deployment is a small deployment: a store, gateways and replicas as separate processes, on loopback addresses.
type deployment struct {
	folder string
	// trouble is false for a run without the disruption.
	trouble bool
	store   *metastore
	started time.Time

	mu       sync.Mutex
	lines    []string
	gateways []*gatewayProcess
	replicas map[string]*replicaProcess
}

type gatewayProcess struct {
	name, zone, front, ready, control string
	// firstPort and lastPort are the internal ports for heartbeats and metrics.
	firstPort, lastPort int
	// settings and log are the paths of its settings file and its output.
	settings, log string
	fields        fields
	command       *exec.Cmd
}

type replicaProcess struct {
	replicaSettings
	command *exec.Cmd
}

func newDeployment() (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	store, err := startMetastore()
	if err != nil {
		return nil, err
	}
	return &deployment{
		folder: folder, trouble: os.Getenv("TROUBLE") != "0", store: store, started: time.Now(), replicas: make(map[string]*replicaProcess),
	}, nil
}

// logf adds a line to the record.
func (d *deployment) logf(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lines = append(d.lines, fmt.Sprintf("%d %s", time.Now().UnixMilli(), fmt.Sprintf(format, args...)))
}

// writeRecord writes what was sent, answered and run, in the order of time, to record.txt in the working directory.
func (d *deployment) writeRecord() {
	d.mu.Lock()
	lines := append([]string(nil), d.lines...)
	d.mu.Unlock()
	logs, _ := filepath.Glob(filepath.Join(d.folder, "*.runs"))
	for _, path := range logs {
		text, _ := os.ReadFile(path)
		lines = append(lines, strings.Split(strings.TrimSpace(string(text)), "\n")...)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i] < lines[j] })
	_ = os.WriteFile("record.txt", []byte(strings.Join(lines, "\n")+"\n"), 0o644)
}

// runs returns the lines that the replicas have recorded.
func (d *deployment) runs() (lines []string) {
	logs, _ := filepath.Glob(filepath.Join(d.folder, "*.runs"))
	for _, path := range logs {
		text, _ := os.ReadFile(path)
		lines = append(lines, strings.Split(strings.TrimSpace(string(text)), "\n")...)
	}
	return lines
}

// Ports of freeAddress. They are below those that the system gives to outgoing connections. Each process takes its own range of them,
// so that cases can run beside each other.
const (
	firstFreePort = 12000
	freePorts     = 200
	portRanges    = 97
)

// freeAddress returns a loopback address with a port that is free now, and that it hasn't returned before.
func freeAddress() string {
	for {
		address := fmt.Sprint("127.0.0.1:", firstFreePort+os.Getpid()%portRanges*freePorts+rand.IntN(freePorts))
		if _, given := givenAddresses.LoadOrStore(address, true); given {
			continue
		}
		if listener, err := net.Listen("tcp4", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
}

var givenAddresses sync.Map

// startGateways starts one gateway in each zone.
func (d *deployment) startGateways(zones ...string) error {
	root, err := repositoryRoot()
	if err != nil {
		return err
	}
	var seeds []string
	for range zones {
		seeds = append(seeds, freeAddress())
	}
	for i, zone := range zones {
		g := &gatewayProcess{
			name: "edge-" + zone + "-1", zone: zone, front: freeAddress(), ready: freeAddress(), control: seeds[i],
			firstPort: portOf(freeAddress()), lastPort: portOf(freeAddress()),
		}
		g.settings, g.log = filepath.Join(d.folder, g.name+".json"), filepath.Join(d.folder, g.name+".log")
		g.fields = newFields(g, d.store.address, seeds[:min(3, len(seeds))])
		if err := g.writeSettings(root); err != nil {
			return err
		}
		if err := g.start(root); err != nil {
			return err
		}
		d.gateways = append(d.gateways, g)
	}
	return nil
}

func portOf(address string) int {
	_, text, _ := net.SplitHostPort(address)
	port, _ := strconv.Atoi(text)
	return port
}

func repositoryRoot() (string, error) {
	folder, err := os.Getwd()
	for err == nil && folder != "/" {
		if _, missing := os.Stat(filepath.Join(folder, "deploy/system.toml")); missing == nil {
			return folder, nil
		}
		folder = filepath.Dir(folder)
	}
	return "", fmt.Errorf("no repository above the working directory")
}

// awaitReady waits until all gateways answer the platform's readiness check with 200.
func (d *deployment) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, g := range d.gateways {
		for {
			response, err := http.Get("http://" + g.ready + "/balsamyoke/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("gateway %s isn't ready", g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// startReplica starts a replica as a process, and starts it again if it has run before.
func (d *deployment) startReplica(s replicaSettings) error {
	s.Store, s.Log = d.store.address, filepath.Join(d.folder, s.ID+".runs")
	s.Silent = filepath.Join(d.folder, s.ID+".silent")
	if s.Address == "" {
		s.Address = freeAddress()
	}
	text, _ := json.Marshal(s)
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	p := &replicaProcess{replicaSettings: s, command: exec.Command(executable)}
	p.command.Env = append(os.Environ(), "REVIEW_REPLICA="+string(text))
	p.command.Stderr = os.Stderr
	if err := p.command.Start(); err != nil {
		return err
	}
	d.replicas[s.ID] = p
	d.logf("operator starts replica %s with software %s at %s", s.ID, s.Software, s.Address)
	return nil
}

// killReplica ends a replica's process at once.
func (d *deployment) killReplica(id string) {
	p := d.replicas[id]
	d.logf("replica %s (%s) is killed", id, p.Software)
	_ = p.command.Process.Signal(syscall.SIGKILL)
	_ = p.command.Wait()
}

// silenceReplica makes a replica write no more registrations, as one does that leaves without a report.
func (d *deployment) silenceReplica(id string) {
	_ = os.WriteFile(d.replicas[id].Silent, nil, 0o644)
	time.Sleep(100 * time.Millisecond)
}

// removeRegistration removes a replica's registration and returns the time of the store's acknowledgement.
func (d *deployment) removeRegistration(id string) time.Time {
	at := d.store.remove("servers/" + id)
	d.logf("store acknowledges that the registration of replica %s is removed", id)
	return at
}

// stop ends all processes that the deployment started.
func (d *deployment) stop() {
	for _, g := range d.gateways {
		_ = g.command.Process.Signal(syscall.SIGKILL)
		_ = g.command.Wait()
	}
	for _, p := range d.replicas {
		_ = p.command.Process.Signal(syscall.SIGKILL)
		_ = p.command.Wait()
	}
	_ = d.store.server.Close()
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("logs in", d.folder)
	}
}
