package ctl

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"balsamyoke.example/balsamyoke/internal/config"
	"balsamyoke.example/balsamyoke/internal/manifest"
)

// command describes one command to the parser.
type command struct {
	name, short, long string
	data              any
}

func (t *tool) commands() []command {
	return []command{
		{"apply", "Apply a manifest as the configuration", "Checks FILE and writes it as a new version on top of the current one, or of --base.", &applyCommand{tool: t}},
		{"diff", "Compare a manifest with the configuration", "Shows what apply would change. Nothing is written.", &diffCommand{tool: t}},
		{"status", "Show the configuration's versions", "Shows the current version, the changes that can be rolled back to and, with --instance-list, the version in force in each process.", &statusCommand{tool: t}},
		{"rollback", "Restore an earlier version of the configuration", "Writes the content of VERSION as a new version.", &rollbackCommand{tool: t}},
		{"dump", "Show the state of a process", "Shows the complete state of the process at a control address as JSON.", &dumpCommand{tool: t}},
		{"explain", "Show what a process decided about a request", "Shows the recent decisions about REQUEST with their inputs, or all recent decisions without REQUEST.", &explainCommand{tool: t}},
		{"explain-place", "Show where a gateway would send a request", "Shows to which server a gateway would send the request now, and why, for each service of its route. Nothing is sent.", &explainPlaceCommand{tool: t}},
		{"drain", "Stop a process gracefully", "The process refuses new work, finishes what it can and exits.", &drainCommand{tool: t}},
	}
}

// changeFlags are the flags of commands that write a version.
type changeFlags struct {
	Base   *uint64 `long:"base" value-name:"VERSION" description:"version that the change builds on; fails when it is not the current one (default: the current one)"`
	Change string  `long:"change" value-name:"ID" description:"id of the change; a repeated id is applied once (default: a new one)"`
}

// changeResult is the result of apply and rollback.
type changeResult struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Change  string `json:"change"`
}

func (c changeResult) text() string {
	return fmt.Sprintf("version %d is accepted (change %s)\n", c.Version, c.Change)
}

// resolve generates a change id when the flags don't set one, and returns the base version: that of the flag, the
// version before a recorded change with the same id, or the current version.
func (f *changeFlags) resolve(ctx context.Context, store *config.Store) (uint64, error) {
	if f.Change == "" {
		f.Change = uuid.NewString()
	}
	if f.Base != nil {
		return *f.Base, nil
	}
	root, err := store.Root(ctx)
	if err != nil && !errorx.IsOfType(err, config.ErrNotFound) {
		return 0, err
	}
	for _, change := range root.Changes {
		if change.ID == f.Change {
			return change.Version - 1, nil
		}
	}
	return root.Version, nil
}

func (t *tool) showChange(change config.Change, err error, id string) error {
	if errorx.IsOfType(err, config.ErrOutcomeUnknown) {
		return config.ErrOutcomeUnknown.Wrap(err, "repeat with --change %s to get the outcome", id)
	}
	if err != nil {
		return err
	}
	return t.show(changeResult{Version: change.Version, Digest: change.Digest, Change: change.ID})
}

type fileArgument struct {
	File string `positional-arg-name:"FILE" required:"yes"`
}

// read returns the manifest in the file; "-" is the standard input.
func (f fileArgument) read() (*manifest.Manifest, error) {
	name := f.File
	if name == "-" {
		name = "/dev/stdin"
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, ErrFile.Wrap(err, "manifest cannot be read")
	}
	return manifest.Parse(f.File, data)
}

type applyCommand struct {
	tool *tool
	changeFlags
	Args fileArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	store, err := c.tool.store()
	if err != nil {
		return err
	}
	m, err := c.Args.read()
	if err != nil {
		return err
	}
	ctx, cancel := c.tool.context()
	defer cancel()
	base, err := c.resolve(ctx, store)
	if err != nil {
		return err
	}
	change, err := store.Apply(ctx, base, m, c.Change)
	return c.tool.showChange(change, err, c.Change)
}

type diffCommand struct {
	tool *tool
	Args fileArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	store, err := c.tool.store()
	if err != nil {
		return err
	}
	m, err := c.Args.read()
	if err != nil {
		return err
	}
	ctx, cancel := c.tool.context()
	defer cancel()
	current, version, err := store.Manifest(ctx, 0)
	if errorx.IsOfType(err, config.ErrNotFound) {
		current = &manifest.Manifest{}
	} else if err != nil {
		return err
	}
	return c.tool.show(differences{Base: version, Lines: compare(current, m)})
}

type statusCommand struct {
	tool *tool
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	store, err := c.tool.store()
	if err != nil {
		return err
	}
	ctx, cancel := c.tool.context()
	defer cancel()
	root, err := store.Root(ctx)
	if err != nil {
		return err
	}
	status := statusResult{Version: root.Version, Digest: root.Digest, Changes: root.Changes}
	if c.tool.options.InstanceList != "" {
		status.Processes, err = c.tool.processes(ctx)
		if err != nil {
			return err
		}
	}
	return c.tool.show(status)
}

// statusResult is the result of status.
type statusResult struct {
	Version   uint64           `json:"version"`
	Digest    string           `json:"digest"`
	Changes   []config.Change  `json:"changes"`
	Processes []processVersion `json:"processes,omitempty"`
}

func (s statusResult) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "version %d digest %s\n", s.Version, s.Digest)
	for _, change := range s.Changes {
		fmt.Fprintf(&b, "  version %d digest %.12s change %s\n", change.Version, change.Digest, change.ID)
	}
	for _, process := range s.Processes {
		fmt.Fprintf(&b, "  process %s %s\n", process.Instance, process.describe())
	}
	return b.String()
}

type rollbackCommand struct {
	tool *tool
	changeFlags
	Args struct {
		Version uint64 `positional-arg-name:"VERSION" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *rollbackCommand) Execute([]string) error {
	store, err := c.tool.store()
	if err != nil {
		return err
	}
	ctx, cancel := c.tool.context()
	defer cancel()
	base, err := c.resolve(ctx, store)
	if err != nil {
		return err
	}
	change, err := store.Rollback(ctx, base, c.Args.Version, c.Change)
	return c.tool.showChange(change, err, c.Change)
}
