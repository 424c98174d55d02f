package harness

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// fields are the fields of a process's settings, as DEPLOY.md lists them.
type fields map[string]any

// newFields returns the fields of a gateway's settings in a small deployment.
func newFields(g *gatewayProcess, store string, seeds []string) fields {
	front, ready := g.front, g.ready
	asAny := make([]any, len(seeds))
	for i, seed := range seeds {
		asAny[i] = seed
	}
	return fields{
		"node": g.name, "zone": g.zone, "ip": "127.0.0.1", "seeds": asAny,
		"listen":         fields{"front": front, "readiness_addr": ready, "control": g.control},
		"internal_ports": []any{g.firstPort, g.lastPort},
		"limits":         fields{"cpu_share": 0.304, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"bounds": fields{
			"contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000, "retry_budget_ratio": 0.2, "budget_window_s": 10,
			"budget_slack": 52, "recovery_s": 12, "lease_ms": 3000, "version_ms": 15000,
		},
		"platform": fields{"address": store, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
	}
}

var placeholder = regexp.MustCompile(`\{\{([#^]?)([^{}]+)\}\}`)

// render fills a template in as DEPLOY.md says.
func render(template string, scopes ...any) string {
	var out strings.Builder
	for {
		at := placeholder.FindStringSubmatchIndex(template)
		if at == nil {
			return out.String() + template
		}
		out.WriteString(template[:at[0]])
		kind, name := template[at[2]:at[3]], template[at[4]:at[5]]
		template = template[at[1]:]
		if kind == "" {
			out.WriteString(renderValue(name, scopes))
			continue
		}
		end := "{{/" + name + "}}"
		section, rest, _ := strings.Cut(template, end)
		template = rest
		value := lookUp(name, scopes)
		switch list, isList := value.([]any); {
		case kind == "^":
			if value == nil || value == false {
				out.WriteString(render(section, scopes...))
			}
		case isList:
			for i, entry := range list {
				separator := ","
				if i == len(list)-1 {
					separator = ""
				}
				out.WriteString(render(strings.ReplaceAll(section, "{{,}}", separator), append([]any{entry}, scopes...)...))
			}
		case value != nil && value != false:
			out.WriteString(render(section, append([]any{value}, scopes...)...))
		}
	}
}

func renderValue(name string, scopes []any) string {
	path, asJSON := strings.CutSuffix(name, "|json")
	value := lookUp(path, scopes)
	if text, ok := value.(string); ok && !asJSON || value == nil {
		return text
	}
	text, _ := json.Marshal(value)
	return string(text)
}

// lookUp returns the value of a path in the innermost scope that has it; nil if none has.
func lookUp(path string, scopes []any) any {
	if path == "." {
		return scopes[0]
	}
	for _, scope := range scopes {
		value := scope
		for _, name := range strings.Split(path, ".") {
			switch container := value.(type) {
			case fields:
				value = container[name]
			case []any:
				i, err := strconv.Atoi(name)
				if value = nil; err == nil && i < len(container) {
					value = container[i]
				}
			default:
				value = nil
			}
		}
		if value != nil {
			return value
		}
	}
	return nil
}

// writeSettings fills the template of the deploy file in for a gateway.
func (g *gatewayProcess) writeSettings(root string) error {
	template, err := os.ReadFile(filepath.Join(root, "deploy/gateway.json.tmpl"))
	if err != nil {
		return err
	}
	return os.WriteFile(g.settings, []byte(render(string(template), g.fields)), 0o644)
}

// start starts a gateway with the command of the deploy file.
func (g *gatewayProcess) start(root string) error {
	output, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command("target/balsam-gateway", "--settings", g.settings)
	command.Dir, command.Stdout, command.Stderr = root, output, output
	if err := command.Start(); err != nil {
		return err
	}
	g.command = command
	return nil
}

const (
	// downFor is how long the processes are gone after the final fault, recoveryTime is recovery_s.
	downFor      = time.Second
	recoveryTime = 12 * time.Second
	// restartDelay is how long after its end a process is started again.
	restartDelay = 500 * time.Millisecond
	measuredFor  = 4 * time.Second
)

// caseSettings changes the grace time in the settings, sends SIGHUP, and kills all gateways right after a configuration was
// acknowledged. They are started again with the settings in effect. The rule is broken if less than a quarter of the requests is served that are sent later than recovery_s after that,
// though a quarter or more was before.
func caseSettings(d *deployment) (int, error) {
	d.store.put("op/config", []byte(plainConfiguration))
	for i := range 4 {
		s := replicaSettings{ID: fmt.Sprint("archive-", i), Service: "archive", Zone: zoneOf(i), Software: "v1", WorkMS: 60, Slots: 6}
		if err := d.startReplica(s); err != nil {
			return couldNotRun, err
		}
	}
	if err := d.startGateways("erie", "huron"); err != nil {
		return couldNotRun, err
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return couldNotRun, err
	}
	before := d.servedShare()
	root, err := repositoryRoot()
	if err != nil {
		return couldNotRun, err
	}
	var grace any = 7
	if d.trouble {
		grace = 7.5
	}
	for _, g := range d.gateways {
		g.fields["bounds"].(fields)["grace_s"] = grace
		if err := g.writeSettings(root); err != nil {
			return couldNotRun, err
		}
		d.logf("the settings of %s change, grace_s is %v; SIGHUP", g.name, grace)
		_ = g.command.Process.Signal(syscall.SIGHUP)
	}
	time.Sleep(time.Second)
	end := make(chan struct{})
	defer close(end)
	d.store.put("op/config", []byte(strings.Replace(plainConfiguration, `"version":1`, `"version":2`, 1)))
	d.logf("store acknowledges configuration 2, which differs in nothing else")
	for _, g := range d.gateways {
		d.logf("%s is killed", g.name)
		_ = g.command.Process.Signal(syscall.SIGKILL)
		_ = g.command.Wait()
	}
	time.Sleep(downFor)
	for _, g := range d.gateways {
		go d.supervise(g, root, end)
	}
	time.Sleep(recoveryTime)
	after := d.servedShare()
	fmt.Printf("served before: %.2f, served later than recovery_s after the kill: %.2f\n", before, after)
	if before < 0.25 {
		return couldNotRun, fmt.Errorf("only %.2f of the requests were served before", before)
	}
	if after < 0.25 {
		return broken, nil
	}
	return held, nil
}

// supervise starts a gateway, and again after each end, until the end of the case.
func (d *deployment) supervise(g *gatewayProcess, root string, end chan struct{}) {
	for {
		if err := g.start(root); err != nil {
			return
		}
		d.logf("%s is started", g.name)
		err := g.command.Wait()
		select {
		case <-end:
			return
		default:
		}
		d.logf("%s ends by itself: %v", g.name, err)
		select {
		case <-end:
			return
		case <-time.After(restartDelay):
		}
	}
}

// servedShare sends checkouts for measuredFor and returns the share that is answered with 200.
func (d *deployment) servedShare() float64 {
	load := d.startCheckouts(20 * time.Millisecond)
	time.Sleep(measuredFor)
	load.stop()
	return float64(load.count(200)) / float64(max(1, load.all()))
}
