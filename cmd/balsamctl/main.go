// Command balsamctl changes the configuration of a deployment and inspects its processes.
package main

import (
	"os"

	"balsamyoke.example/balsamyoke/internal/ctl"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/platform"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr, openKV)) }

func openKV(address string) metastore.KV { return platform.NewMetastore(address) }
