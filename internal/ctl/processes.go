package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"balsamyoke.example/balsamyoke/internal/grpcpool"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// maxParallelCalls is the number of processes that a command calls at once.
	maxParallelCalls = 32
	// callTimeout limits the call to one process.
	callTimeout = 2 * time.Second
)

// jsonResult is a result in JSON form.
type jsonResult json.RawMessage

// MarshalJSON implements json.Marshaler.
func (d jsonResult) MarshalJSON() ([]byte, error) { return json.RawMessage(d).MarshalJSON() }

func (d jsonResult) text() string {
	text, err := json.MarshalIndent(json.RawMessage(d), "", "  ")
	if err != nil {
		return string(d) + "\n"
	}
	return string(text) + "\n"
}

type processArgument struct {
	Address string `positional-arg-name:"PROCESS-ADDRESS" required:"yes" description:"ip:port of the control port"`
}

// call runs f with a client of the process's admin service. It returns ErrUsage when the address is not ip:port
// and wraps other errors in ErrProcess.
func (a processArgument) call(t *tool, f func(context.Context, wire.AdminClient) error) error {
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return ErrUsage.New("process address %q is not ip:port", a.Address)
	}
	pool := grpcpool.New(1)
	defer pool.Close()
	connection, err := pool.Get(a.Address)
	if err != nil {
		return ErrProcess.Wrap(err, "process %s", a.Address)
	}
	ctx, cancel := t.context()
	defer cancel()
	if err := f(ctx, wire.NewAdminClient(connection)); err != nil {
		return ErrProcess.Wrap(err, "process %s", a.Address)
	}
	return nil
}

type dumpCommand struct {
	tool *tool
	Args processArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *dumpCommand) Execute([]string) error {
	var reply *wire.DumpReply
	err := c.Args.call(c.tool, func(ctx context.Context, client wire.AdminClient) (err error) {
		reply, err = client.Dump(ctx, &wire.DumpRequest{})
		return err
	})
	if err != nil {
		return err
	}
	return c.tool.show(jsonResult(reply.GetJson()))
}

type drainCommand struct {
	tool *tool
	Args processArgument `positional-args:"yes"`
}

// drainResult is the result of drain.
type drainResult struct {
	Process  string `json:"process"`
	Draining bool   `json:"draining"`
}

func (d drainResult) text() string { return fmt.Sprintf("process %s is draining\n", d.Process) }

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	err := c.Args.call(c.tool, func(ctx context.Context, client wire.AdminClient) error {
		_, err := client.Drain(ctx, &wire.DrainRequest{})
		return err
	})
	if err != nil {
		return err
	}
	return c.tool.show(drainResult{Process: c.Args.Address, Draining: true})
}

// processVersion is the version in force in one process.
type processVersion struct {
	Instance string `json:"instance"`
	// Version is 0 while the process has not confirmed one.
	Version uint64 `json:"version"`
	Error   string `json:"error,omitempty"`
}

func (p processVersion) describe() string {
	if p.Error != "" {
		return "does not answer: " + p.Error
	}
	if p.Version == 0 {
		return "has not confirmed a version"
	}
	return fmt.Sprintf("version %d", p.Version)
}

// processes returns the version in force in every entry and agent of the instance list.
func (t *tool) processes(ctx context.Context) ([]processVersion, error) {
	var versions []processVersion
	err := t.eachProcess(ctx, func(ctx context.Context, instance metastore.Instance, connection grpc.ClientConnInterface) func() {
		version := requestVersion(ctx, connection, instance)
		return func() { versions = append(versions, version) }
	})
	if err != nil {
		return nil, err
	}
	sortByInstance(versions)
	return versions, nil
}

// eachProcess calls visit for every entry and agent of the instance list, up to maxParallelCalls at once. The
// functions that visit returns run one at a time.
func (t *tool) eachProcess(ctx context.Context, visit func(context.Context, metastore.Instance, grpc.ClientConnInterface) func()) error {
	instances, err := t.openList(t.options.InstanceList).Instances(ctx)
	if err != nil {
		return ErrProcess.Wrap(err, "instance list")
	}
	pool := grpcpool.New(len(instances))
	defer pool.Close()
	var mu sync.Mutex
	group := errgroup.Group{}
	group.SetLimit(maxParallelCalls)
	for _, instance := range instances {
		if instance.ControlAddress == "" {
			continue
		}
		connection, err := pool.Get(instance.ControlAddress)
		if err != nil {
			return ErrProcess.Wrap(err, "instance %q", instance.ID)
		}
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			add := visit(ctx, instance, connection)
			mu.Lock()
			defer mu.Unlock()
			add()
			return nil
		})
	}
	return group.Wait()
}

func requestVersion(ctx context.Context, connection grpc.ClientConnInterface, instance metastore.Instance) processVersion {
	version := processVersion{Instance: instance.ID}
	reply, err := wire.NewConfigurationClient(connection).Notify(ctx, &wire.NotifyRequest{})
	if err != nil {
		version.Error = err.Error()
		return version
	}
	version.Version = reply.GetVersion()
	return version
}
