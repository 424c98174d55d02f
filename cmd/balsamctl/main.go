// Command balsamctl applies manifests for operators.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"

	"balsamyoke.example/balsamyoke/internal/config"
	"balsamyoke.example/balsamyoke/internal/manifest"
	"balsamyoke.example/balsamyoke/internal/platform/etcdhttp"
	"balsamyoke.example/balsamyoke/internal/process"
)

const applyTimeout = 10 * time.Second

type options struct {
	KV string `long:"kv" required:"true" description:"ip:port of the platform's key-value service"`
}

func main() { process.Exit("balsamctl", run()) }

func run() error {
	var o options
	rest, err := flags.NewParser(&o, flags.HelpFlag).ParseArgs(os.Args[1:])
	if err != nil {
		return err
	}
	if len(rest) != 2 || rest[0] != "apply" {
		return config.ErrNotFound.New("usage: balsamctl apply FILE --kv ip:port")
	}
	data, err := os.ReadFile(rest[1])
	if err != nil {
		return err
	}
	m, err := manifest.Parse(rest[1], data)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), applyTimeout)
	defer cancel()
	store := config.NewStore(etcdhttp.New(o.KV))
	root, err := store.Root(ctx)
	if err != nil && !errorx.IsOfType(err, config.ErrNotFound) {
		return err
	}
	change, err := store.Apply(ctx, root.Version, m, uuid.NewString())
	if err != nil {
		return err
	}
	fmt.Printf("version %d is accepted\n", change.Version)
	return nil
}
