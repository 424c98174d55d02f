// Command balsamctl changes the configuration of a deployment and looks into its processes.
package main

import (
	"os"

	"balsamyoke.example/balsamyoke/internal/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr)) }
