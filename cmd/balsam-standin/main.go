// Command balsam-standin runs a stand-in for one of the services around the system: the key-value
// service, the instance list, a model engine, a plain service, a store instance or the weight
// store. Tests and the local quick start use it. The first argument names the stand-in; settings
// come from a file named by --settings and from flags.
package main

import (
	"fmt"
	"os"

	"balsamyoke.example/balsamyoke/internal/process"
	"balsamyoke.example/balsamyoke/internal/settings"
	"balsamyoke.example/balsamyoke/internal/standin/engineserver"
	"balsamyoke.example/balsamyoke/internal/standin/listserver"
	"balsamyoke.example/balsamyoke/internal/standin/plainserver"
	"balsamyoke.example/balsamyoke/internal/standin/storeserver"
	"balsamyoke.example/balsamyoke/internal/standin/weightserver"
	"balsamyoke.example/balsamyoke/platform/standin"
)

const (
	program    = "balsam-standin"
	anyAddress = "127.0.0.1:0"
)

// server is a running stand-in.
type server interface {
	Address() string
	Stop()
}

// administered is a stand-in that accepts fault settings on a separate address.
type administered interface {
	AdminAddress() string
}

func main() { process.Exit(program, run()) }

func run() error {
	if len(os.Args) < 2 {
		return usage()
	}
	ctx, stop := process.StopContext()
	defer stop()
	running, err := start(os.Args[1], os.Args[2:])
	if err != nil {
		return err
	}
	defer running.Stop()
	fmt.Printf("listening %s\n", running.Address())
	if admin, ok := running.(administered); ok {
		fmt.Printf("admin %s\n", admin.AdminAddress())
	}
	<-ctx.Done()
	return nil
}

func start(kind string, args []string) (server, error) {
	switch kind {
	case "kv":
		return load(kind, args, standin.MetastoreSettings{Listen: anyAddress, Admin: anyAddress}, standin.StartMetastore)
	case "list":
		return load(kind, args, listserver.Settings{Listen: anyAddress}, listserver.Start)
	case "engine":
		return load(kind, args, engineserver.Settings{Listen: anyAddress}, engineserver.Start)
	case "plain":
		return load(kind, args, plainserver.Settings{Listen: anyAddress}, plainserver.Start)
	case "store":
		return load(kind, args, storeserver.Settings{Listen: anyAddress, Admin: anyAddress}, storeserver.Start)
	case "weights":
		return load(kind, args, weightserver.Settings{Listen: anyAddress}, weightserver.Start)
	default:
		return nil, usage()
	}
}

func usage() error {
	return settings.ErrUsage.New("usage: %s kv|list|engine|plain|store|weights [flags]", program)
}

// load reads settings over the defaults in s and starts a stand-in with them.
func load[S any, R server](kind string, args []string, s S, start func(S) (R, error)) (server, error) {
	if err := settings.Load(program+" "+kind, args, &s); err != nil {
		return nil, err
	}
	return start(s)
}
