package ctl

import (
	"context"
	"encoding/json"
	"slices"

	"google.golang.org/grpc"

	"balsamyoke.example/balsamyoke/internal/explain"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// allProcesses is the address argument that selects every process of the instance list.
const allProcesses = "all"

type explainCommand struct {
	tool *tool
	Args struct {
		Address string `positional-arg-name:"PROCESS-ADDRESS" required:"yes" description:"ip:port of the control port, or all for every process of the instance list"`
		Request string `positional-arg-name:"REQUEST" description:"request id; all decisions when left out"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	if c.Args.Address == allProcesses {
		return c.explainAll()
	}
	var reply *wire.ExplainReply
	process := processArgument{Address: c.Args.Address}
	err := process.call(c.tool, func(ctx context.Context, client wire.AdminClient) (err error) {
		reply, err = client.Explain(ctx, &wire.ExplainRequest{RequestId: c.Args.Request})
		return err
	})
	if err != nil {
		return err
	}
	return c.tool.show(jsonResult(reply.GetJson()))
}

// decided is a decision with the process that made it.
type decided struct {
	Instance string `json:"instance"`
	explain.Decision
}

// explainAll shows the decisions of all processes, ordered by time. Processes that don't respond are left out.
func (c *explainCommand) explainAll() error {
	if c.tool.options.InstanceList == "" {
		return ErrUsage.New("explain all requires --instance-list")
	}
	ctx, cancel := c.tool.context()
	defer cancel()
	merged := []decided{}
	err := c.tool.eachProcess(ctx, func(ctx context.Context, instance metastore.Instance, connection grpc.ClientConnInterface) func() {
		found := c.decisions(ctx, instance.ID, connection)
		return func() { merged = append(merged, found...) }
	})
	if err != nil {
		return err
	}
	slices.SortStableFunc(merged, func(a, b decided) int { return a.Time.Compare(b.Time) })
	text, err := json.Marshal(merged)
	if err != nil {
		return ErrProcess.Wrap(err, "decisions")
	}
	return c.tool.show(jsonResult(text))
}

func (c *explainCommand) decisions(ctx context.Context, instance string, connection grpc.ClientConnInterface) []decided {
	reply, err := wire.NewAdminClient(connection).Explain(ctx, &wire.ExplainRequest{RequestId: c.Args.Request})
	if err != nil {
		return nil
	}
	var found []explain.Decision
	if json.Unmarshal(reply.GetJson(), &found) != nil {
		return nil
	}
	decisions := make([]decided, len(found))
	for i := range found {
		decisions[i] = decided{Instance: instance, Decision: found[i]}
	}
	return decisions
}
