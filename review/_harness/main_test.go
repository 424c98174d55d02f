// Package harness plays the cases of review/ that are scripts: it starts gateways as processes, with stand-ins for
// clients, servers and the platform in this process.
package harness

import (
	"fmt"
	"os"
	"testing"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by their names. Each returns whether the rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (broken bool){}

func TestMain(*testing.M) {
	play := cases[os.Getenv("CASE")]
	if play == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", os.Getenv("CASE"))
		os.Exit(exitNotRun)
	}
	os.Exit(run(play))
}

func run(play func(d *deployment, trouble bool) bool) (code int) {
	d, err := newDeployment(os.Getenv("GATEWAY"), os.Getenv("FOLDER"), os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.end()
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(cannotRun); !ok {
				panic(r)
			}
			d.record("the case could not run: %v", r)
			fmt.Fprintln(os.Stderr, r)
			code = exitNotRun
		}
	}()
	if play(d, os.Getenv("TROUBLE") != "0") {
		d.record("RESULT the rule was broken")
		return exitBroken
	}
	d.record("RESULT the rule held")
	return exitHeld
}
