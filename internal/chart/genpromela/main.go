// Command genpromela writes the Promela source of a chart file.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/jessevdk/go-flags"

	"balsamyoke.example/balsamyoke/internal/chart"
)

type options struct {
	Chart string `long:"chart" required:"true" description:"chart file to read"`
	Out   string `long:"out" required:"true" description:"Promela file to write"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(opts options) error {
	content, err := os.ReadFile(opts.Chart)
	if err != nil {
		return err
	}
	loaded, err := chart.Load(content)
	if err != nil {
		return err
	}
	source := loaded.Promela(filepath.Base(opts.Chart))
	return os.WriteFile(opts.Out, []byte(source), 0o644)
}
