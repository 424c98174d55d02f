// Package harness holds the stand-ins and the cases of a review. It is compiled by review/build-3.sh into one program, which the
// script of each case starts.
package harness

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	held        = 0
	broken      = 1
	couldNotRun = 2
)

// cases are the cases by the name in REVIEW_CASE.
var cases = map[string]func(*deployment) (int, error){"drain": caseDrain, "versions": caseVersions, "foreign": caseForeign, "late": caseLate, "settings": caseSettings, "frozen": caseFrozen, "thawed": caseThawed, "restarts": caseRestarts, "cache": caseCache}

func TestMain(*testing.M) {
	if settings := os.Getenv("REVIEW_REPLICA"); settings != "" {
		os.Exit(runReplica(settings))
	}
	run := cases[os.Getenv("REVIEW_CASE")]
	if run == nil {
		fmt.Fprintln(os.Stderr, "REVIEW_CASE names no case")
		os.Exit(couldNotRun)
	}
	os.Exit(runCase(run))
}

// maxRunTime ends a case that hangs.
const maxRunTime = 100 * time.Second

func runCase(run func(*deployment) (int, error)) int {
	d, err := newDeployment()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer d.stop()
	ended := make(chan int, 1)
	go func() {
		code, err := run(d)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = couldNotRun
		}
		ended <- code
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	code := couldNotRun
	select {
	case code = <-ended:
	case <-signals:
	case <-time.After(maxRunTime):
		fmt.Fprintln(os.Stderr, "the case takes too long")
	}
	d.writeRecord()
	return code
}
