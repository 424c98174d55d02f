package testbed_test

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/testbed"
)

// endingTest is a test that ends when end is called.
type endingTest struct {
	testing.TB
	failed bool
	end    func()
}

func (t *endingTest) Cleanup(f func()) { t.end = f }
func (t *endingTest) Failed() bool     { return t.failed }

// The logs of a test that failed only once must not be lost with its folder.
func TestFolderOfFailedTestIsKept(t *testing.T) {
	c := qt.New(t)
	for _, failed := range []bool{false, true} {
		ending := &endingTest{TB: t, failed: failed}
		folder := testbed.Folder(ending)
		ending.end()
		_, err := os.Stat(folder)
		c.Check(err == nil, qt.Equals, failed)
		c.Check(os.RemoveAll(folder), qt.IsNil)
	}
}
