package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"balsamyoke.example/balsamyoke/internal/config"
	"balsamyoke.example/balsamyoke/internal/loopback"
	"balsamyoke.example/balsamyoke/internal/manifest"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/platform"
)

// Settings is the content of a settings file.
type Settings map[string]any

// with returns a copy of the settings, overridden by others in their order.
func (s Settings) with(others ...Settings) Settings {
	merged := Settings{}
	for _, layer := range append([]Settings{s}, others...) {
		for name, value := range layer {
			merged[name] = value
		}
	}
	return merged
}

// drainDelayMS is how long a leaving entry continues to serve, in milliseconds, unless Spec.Entry sets another delay.
// It is longer than the health check interval of a balancer in a test.
const drainDelayMS = 300

// Spec describes the deployment to start.
type Spec struct {
	// Binaries is the folder of the programs, Folder that of settings files and logs.
	Binaries, Folder string
	// Region and Domains place the instances. The n-th instance of its kind is in the n-th domain, modulo their number.
	Region   string
	Domains  []string
	Manifest *manifest.Manifest
	// ModelReplicas and PlainReplicas count the replicas of each model and plain service.
	ModelReplicas, PlainReplicas int
	Stores, Entries              int
	// The settings below are added to those that the fleet sets.
	KV, List, Weights, Engine, Plain, Store, Agent, Entry Settings
}

// Instance is an instance of the system with its processes.
type Instance struct {
	metastore.Instance
	// MetricsAddress is the ip:port of the metrics and the dump; empty for stores.
	MetricsAddress string
	// Process is the entry, agent or store.
	Process *Process
	// Backend is the engine or plain service of an agent, at BackendAddress.
	Backend        *Process
	BackendAddress string
	// AdminAddress is the ip:port of a store's fault switches.
	AdminAddress string

	binary   string
	settings Settings
}

// Fleet is a running deployment.
type Fleet struct {
	spec Spec

	KVAddress, KVAdminAddress, ListAddress, WeightsAddress string
	// Instances holds the entries, agents and stores.
	Instances []*Instance
	// Standins holds the processes of the key-value service, the instance list and the weight store.
	Standins []*Process
	started  []*Process
}

// Start starts a deployment and applies its manifest. After an error it stops the processes it started.
func Start(ctx context.Context, spec Spec) (*Fleet, error) {
	f := &Fleet{spec: spec}
	if err := f.start(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	steps := []func() error{f.startPlatform, f.startAgents, f.startStores, f.startEntries, f.publishInstances}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	if err := f.apply(ctx); err != nil {
		return err
	}
	return f.awaitHealthy(ctx)
}

// Stop stops all processes. It signals them in reverse order of their start, so entries come first.
func (f *Fleet) Stop() {
	for i := len(f.started) - 1; i >= 0; i-- {
		f.started[i].Thaw()
		f.started[i].Terminate()
	}
	for _, p := range f.started {
		_ = p.Stop()
	}
}

// Role returns the instances with a role.
func (f *Fleet) Role(role metastore.Role) []*Instance {
	var found []*Instance
	for _, instance := range f.Instances {
		if instance.Role == role {
			found = append(found, instance)
		}
	}
	return found
}

// Agents returns the agents of a service.
func (f *Fleet) Agents(service string) []*Instance {
	var found []*Instance
	for _, instance := range f.Role(metastore.RoleAgent) {
		if instance.Service == service {
			found = append(found, instance)
		}
	}
	return found
}

// InDomain returns the instances of a failure domain.
func (f *Fleet) InDomain(domain string) []*Instance {
	var found []*Instance
	for _, instance := range f.Instances {
		if instance.FailureDomain == domain {
			found = append(found, instance)
		}
	}
	return found
}

// Restart starts the instance's own process again, with the same settings. The previous process must have ended.
func (f *Fleet) Restart(instance *Instance) error {
	p, err := f.launch(instance.ID, instance.binary, instance.settings, instance.Address)
	instance.Process = p
	return err
}

func (f *Fleet) startPlatform() error {
	standins := []struct {
		kind     string
		settings Settings
		address  *string
	}{
		{"kv", f.spec.KV, &f.KVAddress},
		{"list", f.spec.List, &f.ListAddress},
		{"weights", f.spec.Weights, &f.WeightsAddress},
	}
	for _, s := range standins {
		settings := Settings{}
		if s.kind == "kv" {
			admin, err := loopback.FreeAddress()
			if err != nil {
				return err
			}
			f.KVAdminAddress, settings["admin"] = admin, admin
		}
		p, address, err := f.startStandin(s.kind, s.kind, settings.with(s.settings))
		if err != nil {
			return err
		}
		*s.address = address
		f.Standins = append(f.Standins, p)
	}
	return nil
}

// startStandin starts a stand-in of a kind and returns its process and address.
func (f *Fleet) startStandin(name, kind string, settings Settings) (*Process, string, error) {
	address, err := loopback.FreeAddress()
	if err != nil {
		return nil, "", err
	}
	settings["listen"] = address
	p, err := f.launch(name, "balsam-standin "+kind, settings, address)
	return p, address, err
}

func (f *Fleet) startAgents() error {
	for _, service := range f.spec.Manifest.Services {
		count := f.spec.PlainReplicas
		if service.Type == manifest.ServiceModel {
			count = f.spec.ModelReplicas
		}
		for i := range count {
			if err := f.startAgent(service, i); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) startAgent(service manifest.Service, number int) error {
	instance := f.addInstance(fmt.Sprintf("%s-%d", service.Name, number), metastore.RoleAgent, number)
	instance.Service = service.Name
	kind, backend := "plain", f.spec.Plain
	if service.Type == manifest.ServiceModel {
		kind = "engine"
		backend = Settings{
			"weight_version":  service.WeightVersion,
			"weights_address": f.WeightsAddress,
			"adapters":        append([]string{}, service.Adapters...),
			"checks_fence":    service.ChecksFence,
		}.with(f.spec.Engine)
	}
	var err error
	instance.Backend, instance.BackendAddress, err = f.startStandin(instance.ID+"-backend", kind, backend.with())
	if err != nil {
		return err
	}
	settings := Settings{
		"service":      service.Name,
		"service_type": service.Type,
		"backend":      instance.BackendAddress,
	}
	return f.startInstance(instance, "balsam-agent", settings.with(f.spec.Agent))
}

func (f *Fleet) startStores() error {
	for i := range f.spec.Stores {
		instance := f.addInstance(fmt.Sprintf("store-%d", i), metastore.RoleStore, i)
		admin, err := loopback.FreeAddress()
		if err != nil {
			return err
		}
		instance.AdminAddress = admin
		settings := Settings{"admin": admin}.with(f.spec.Store)
		instance.Process, instance.Address, err = f.startStandin(instance.ID, "store", settings)
		if err != nil {
			return err
		}
		instance.binary, instance.settings = "balsam-standin store", settings
	}
	return nil
}

func (f *Fleet) startEntries() error {
	for i := range f.spec.Entries {
		instance := f.addInstance(fmt.Sprintf("entry-%d", i), metastore.RoleEntry, i)
		settings := Settings{"drain_delay_ms": drainDelayMS}.with(f.spec.Entry)
		if err := f.startInstance(instance, "balsam-entry", settings); err != nil {
			return err
		}
	}
	return nil
}

// addInstance adds an instance. Its failure domain follows from number, its index among instances of its kind.
func (f *Fleet) addInstance(id string, role metastore.Role, number int) *Instance {
	instance := &Instance{Instance: metastore.Instance{
		ID:            id,
		Role:          role,
		Region:        f.spec.Region,
		FailureDomain: f.spec.Domains[number%len(f.spec.Domains)],
		State:         metastore.InstanceLive,
	}}
	f.Instances = append(f.Instances, instance)
	return instance
}

// startInstance starts the process of an entry or agent.
func (f *Fleet) startInstance(instance *Instance, binary string, settings Settings) error {
	for _, address := range []*string{&instance.Address, &instance.ControlAddress, &instance.MetricsAddress} {
		var err error
		if *address, err = loopback.FreeAddress(); err != nil {
			return err
		}
	}
	common := Settings{
		"instance":       instance.ID,
		"region":         instance.Region,
		"failure_domain": instance.FailureDomain,
		"listen":         instance.Address,
		"control":        instance.ControlAddress,
		"metrics":        instance.MetricsAddress,
		"kv":             f.KVAddress,
		"instance_list":  f.ListAddress,
	}
	instance.binary, instance.settings = binary, common.with(settings)
	return f.Restart(instance)
}

// launch starts a program, given as "binary" or "binary kind", and waits until it listens on address.
func (f *Fleet) launch(name, program string, settings Settings, address string) (*Process, error) {
	body, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, ErrStart.Wrap(err, "settings of %s", name)
	}
	file := filepath.Join(f.spec.Folder, name+".json")
	if err := os.WriteFile(file, body, 0o600); err != nil {
		return nil, ErrStart.Wrap(err, "settings of %s", name)
	}
	var args []string
	binary, kind, isStandin := splitProgram(program)
	if isStandin {
		args = append(args, kind)
	}
	p, err := StartProcess(f.spec.Folder, name, filepath.Join(f.spec.Binaries, binary), append(args, "--settings", file)...)
	if err != nil {
		return nil, err
	}
	f.started = append(f.started, p)
	return p, p.awaitListening(address)
}

func (f *Fleet) apply(ctx context.Context) error {
	kv := platform.NewMetastore(f.KVAddress)
	defer kv.Close()
	_, err := config.NewStore(kv).Apply(ctx, 0, f.spec.Manifest, "testbed-start")
	return err
}

func (f *Fleet) awaitHealthy(ctx context.Context) error {
	for _, instance := range f.Role(metastore.RoleEntry) {
		if err := awaitStatus(ctx, instance.Address, "/healthz"); err != nil {
			return err
		}
	}
	return nil
}
