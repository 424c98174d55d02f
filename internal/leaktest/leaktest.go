// Package leaktest checks that tests leave no goroutines running, except those that libraries start
// once per process and never end. TestMain of packages that use gnet or fasthttp calls it.
package leaktest

import (
	"net/http"
	"testing"

	"go.uber.org/goleak"
)

// testRunner runs a package's tests and then closes the idle connections of the default HTTP client.
type testRunner struct{ main *testing.M }

// Run implements goleak.TestingM.
func (t testRunner) Run() int {
	code := t.main.Run()
	http.DefaultClient.CloseIdleConnections()
	return code
}

// VerifyMain runs a package's tests and fails when goroutines are still running after them.
func VerifyMain(m *testing.M) {
	goleak.VerifyTestMain(testRunner{main: m},
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		// The cleanup goroutine of a fasthttp server sleeps for up to 10 s before it checks that the server ended.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
	)
}
