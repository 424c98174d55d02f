package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"

	"balsamyoke.example/balsamyoke/internal/config"
	"balsamyoke.example/balsamyoke/internal/manifest"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/listhttp"
)

const program = "balsamctl"

const longDescription = "balsamctl changes the configuration of a deployment and inspects its processes.\n\n" +
	"Exit codes: 0 done; 1 refused, nothing changed; 2 wrong command line; " +
	"3 another change was made first, nothing changed; " +
	"4 no response from the service or process. After apply or rollback the change may then have been made: " +
	"repeat it with the same --change to get its outcome."

// options are the flags of all commands.
type options struct {
	KV           string        `long:"kv" value-name:"IP:PORT" description:"address of the platform's key-value service"`
	InstanceList string        `long:"instance-list" value-name:"IP:PORT" description:"address of the platform's instance list; with it, status queries the version of every process"`
	Output       string        `long:"output" short:"o" choice:"text" choice:"json" default:"text" description:"output format"`
	Timeout      time.Duration `long:"timeout" default:"15s" description:"how long to try while the service or process does not respond"`
}

// result is the output of a command.
type result interface {
	// text returns the result in readable form; it ends in a newline.
	text() string
}

// tool runs one command.
type tool struct {
	options  options
	stdout   io.Writer
	stderr   io.Writer
	openKV   func(address string) metastore.KV
	openList func(address string) metastore.InstanceList
}

// Main runs balsamctl with the given arguments and returns its exit code. openKV returns the client of the
// metadata store at an address.
func Main(args []string, stdout, stderr io.Writer, openKV func(address string) metastore.KV) int {
	t := &tool{
		stdout:   stdout,
		stderr:   stderr,
		openKV:   openKV,
		openList: func(address string) metastore.InstanceList { return listhttp.New(address) },
	}
	return t.main(args)
}

func (t *tool) main(args []string) int {
	err := t.parse(args)
	t.report(err)
	return exitCode(err)
}

func (t *tool) parse(args []string) error {
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longDescription
	parser.CommandHandler = execute
	if _, err := parser.AddGroup("Options", "", &t.options); err != nil {
		return ErrUsage.WrapWithNoMessage(err)
	}
	for _, c := range t.commands() {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return ErrUsage.WrapWithNoMessage(err)
		}
	}
	_, err := parser.ParseArgs(args)
	if err == nil || flags.WroteHelp(err) || errorx.Cast(err) != nil {
		return err
	}
	return ErrUsage.WrapWithNoMessage(err)
}

// execute runs the parsed command.
func execute(command flags.Commander, rest []string) error {
	if len(rest) > 0 {
		return ErrUsage.New("argument %q is not expected", rest[0])
	}
	return command.Execute(nil)
}

// report writes the help text or, with JSON output, an error to stdout, and other errors to stderr.
func (t *tool) report(err error) {
	switch {
	case err == nil:
	case flags.WroteHelp(err):
		fmt.Fprintln(t.stdout, err)
	case t.options.Output == "json":
		t.writeJSON(t.stdout, newFailure(err))
	case len(manifest.Problems(err)) > 0:
		for _, problem := range manifest.Problems(err) {
			fmt.Fprintln(t.stderr, problem)
		}
	default:
		fmt.Fprintf(t.stderr, "%s: %v\n", program, err)
	}
}

// show writes the result of a command to stdout in the chosen output format.
func (t *tool) show(r result) error {
	if t.options.Output == "json" {
		t.writeJSON(t.stdout, r)
		return nil
	}
	fmt.Fprint(t.stdout, r.text())
	return nil
}

func (t *tool) writeJSON(w io.Writer, value any) {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}

func (t *tool) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), t.options.Timeout)
}

// store returns the configuration store, or ErrUsage without --kv.
func (t *tool) store() (*config.Store, error) {
	if t.options.KV == "" {
		return nil, ErrUsage.New("flag --kv is required")
	}
	return config.NewStore(t.openKV(t.options.KV)), nil
}
