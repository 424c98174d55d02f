// Command balsam-gateway runs a gateway on the users' platform. Its settings come from a file named by
// --settings and from flags; at SIGHUP it reads them again.
package main

// The platform requires programs that are linked against the system's C library.

import "C"

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/eventlog"
	"balsamyoke.example/balsamyoke/internal/gateway"
	"balsamyoke.example/balsamyoke/internal/process"
	"balsamyoke.example/balsamyoke/internal/settings"
	"balsamyoke.example/balsamyoke/platform"
)

const program = "balsam-gateway"

// heapShare is the share of the process's memory at which the garbage collector runs more often instead of letting the heap
// grow. The rest is for what the runtime doesn't count.
const heapShare = 0.8

func main() { process.Exit(program, run()) }

func run() error {
	// A SIGHUP that comes while the gateway starts must not end it.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	s := gateway.DefaultSettings()
	if err := settings.Load(program, os.Args[1:], &s); err != nil {
		return err
	}
	if err := s.Check(); err != nil {
		return err
	}
	log := eventlog.New(os.Stdout, zap.String("instance", s.Instance))
	defer log.Close()
	ctx, stop := process.StopContext()
	defer stop()
	debug.SetMemoryLimit(int64(heapShare * float64(s.Memory())))
	g := gateway.New(s, platform.Connect(s.Metastore, s.Memory(), log), platform.Headers{}, log)
	go reload(hangups, g, log)
	return g.Run(ctx)
}

// reload reads the settings again at each SIGHUP. Invalid settings are logged and change nothing.
func reload(hangups <-chan os.Signal, g *gateway.Gateway, log *eventlog.Log) {
	for range hangups {
		s := gateway.DefaultSettings()
		err := settings.Load(program, os.Args[1:], &s)
		if err == nil {
			err = s.Check()
		}
		if err != nil {
			log.Warn(gateway.EventReload, eventlog.Error(err), zap.String("outcome", "refused"))
			continue
		}
		g.Reload(s)
	}
}
