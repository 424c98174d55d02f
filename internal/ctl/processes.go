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
	// askers is how many processes status asks at once.
	askers = 32
	// askTimeout bounds the question to one process.
	askTimeout = 2 * time.Second
)

// document is a result that a process gave as JSON.
type document json.RawMessage

// MarshalJSON implements json.Marshaler.
func (d document) MarshalJSON() ([]byte, error) { return json.RawMessage(d).MarshalJSON() }

func (d document) text() string {
	text, err := json.MarshalIndent(json.RawMessage(d), "", "  ")
	if err != nil {
		return string(d) + "\n"
	}
	return string(text) + "\n"
}

type processArgument struct {
	Address string `positional-arg-name:"PROCESS-ADDRESS" required:"yes" description:"ip:port of the control port"`
}

// call calls the admin service of the process.
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
	return c.tool.show(document(reply.GetJson()))
}

type drainCommand struct {
	tool *tool
	Args processArgument `positional-args:"yes"`
}

// drained is the result of drain.
type drained struct {
	Process  string `json:"process"`
	Draining bool   `json:"draining"`
}

func (d drained) text() string { return fmt.Sprintf("process %s is draining\n", d.Process) }

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	err := c.Args.call(c.tool, func(ctx context.Context, client wire.AdminClient) error {
		_, err := client.Drain(ctx, &wire.DrainRequest{})
		return err
	})
	if err != nil {
		return err
	}
	return c.tool.show(drained{Process: c.Args.Address, Draining: true})
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

// processes asks every entry and agent of the instance list for its version.
func (t *tool) processes(ctx context.Context) ([]processVersion, error) {
	var versions []processVersion
	err := t.eachProcess(ctx, func(ctx context.Context, instance metastore.Instance, connection *grpc.ClientConn) func() {
		asked := ask(ctx, connection, instance)
		return func() { versions = append(versions, asked) }
	})
	if err != nil {
		return nil, err
	}
	sortByInstance(versions)
	return versions, nil
}

// eachProcess visits every entry and agent of the instance list, some at once. What a visit returns
// runs one at a time.
func (t *tool) eachProcess(ctx context.Context, visit func(context.Context, metastore.Instance, *grpc.ClientConn) func()) error {
	instances, err := t.list(t.options.InstanceList).Instances(ctx)
	if err != nil {
		return ErrProcess.Wrap(err, "instance list")
	}
	pool := grpcpool.New(len(instances))
	defer pool.Close()
	var mu sync.Mutex
	group := errgroup.Group{}
	group.SetLimit(askers)
	for _, instance := range instances {
		if instance.ControlAddress == "" {
			continue
		}
		connection, err := pool.Get(instance.ControlAddress)
		if err != nil {
			return ErrProcess.Wrap(err, "instance %q", instance.ID)
		}
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
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

func ask(ctx context.Context, connection *grpc.ClientConn, instance metastore.Instance) processVersion {
	asked := processVersion{Instance: instance.ID}
	reply, err := wire.NewConfigurationClient(connection).Notify(ctx, &wire.NotifyRequest{})
	if err != nil {
		asked.Error = err.Error()
		return asked
	}
	asked.Version = reply.GetVersion()
	return asked
}
