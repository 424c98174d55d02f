// Command balsam-agent runs the agent role. Its settings come from a file named by --settings and
// from flags.
package main

import (
	"os"

	"balsamyoke.example/balsamyoke/internal/agent"
	"balsamyoke.example/balsamyoke/internal/node"
	"balsamyoke.example/balsamyoke/internal/process"
	"balsamyoke.example/balsamyoke/internal/settings"
)

const program = "balsam-agent"

func main() { process.Exit(program, run()) }

func run() error {
	s := agent.DefaultSettings()
	if err := settings.Load(program, os.Args[1:], &s); err != nil {
		return err
	}
	if err := s.Check(); err != nil {
		return err
	}
	ctx, stop := process.StopContext()
	defer stop()
	return node.RunAgent(ctx, s)
}
