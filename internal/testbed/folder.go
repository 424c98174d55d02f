package testbed

import (
	"os"
	"path/filepath"
	"testing"
)

// Folder returns a new folder for the settings and logs of a test's processes. It is removed at the end of the test unless the
// test failed.
func Folder(t testing.TB) string {
	folder, err := os.MkdirTemp("", "balsamyoke-"+filepath.Base(t.Name())+"-")
	if err != nil {
		t.Fatalf("folder for processes: %v", err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("settings and logs of the processes: %s", folder)
			return
		}
		if err := os.RemoveAll(folder); err != nil {
			t.Errorf("folder of processes: %v", err)
		}
	})
	return folder
}
