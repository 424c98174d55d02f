// Package leaktest checks that tests leave no goroutine behind, but for those that libraries start
// once in a process and never end. Test mains of packages on gnet or fasthttp call it.
package leaktest

import (
	"net/http"
	"testing"

	"go.uber.org/goleak"
)

// tests runs a package's tests and then closes what the default HTTP client keeps.
type tests struct{ main *testing.M }

// Run implements goleak.TestingM.
func (t tests) Run() int {
	code := t.main.Run()
	http.DefaultClient.CloseIdleConnections()
	return code
}

// VerifyMain runs a package's tests and fails when goroutines are left.
func VerifyMain(m *testing.M) {
	goleak.VerifyTestMain(tests{main: m},
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		// The cleaner of a fasthttp server sleeps for up to 10 s before it sees that the server ended.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
	)
}
