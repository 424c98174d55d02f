package testbed

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// modulePath is that of this module in go.mod.
const modulePath = "balsamyoke.example/balsamyoke"

var build struct {
	once   sync.Once
	folder string
	err    error
}

// Binaries builds the programs once per test run and returns the folder that holds them.
func Binaries() (string, error) {
	build.once.Do(func() {
		build.folder, build.err = os.MkdirTemp("", "balsamyoke-bin-")
		if build.err == nil {
			build.err = Build(build.folder)
		}
	})
	return build.folder, build.err
}

// Build builds the programs into folder.
func Build(folder string) error {
	command := exec.Command("go", "build", "-o", folder+string(filepath.Separator), modulePath+"/cmd/...")
	if output, err := command.CombinedOutput(); err != nil {
		return ErrBuild.Wrap(err, "%s", output)
	}
	return nil
}

// Main runs the tests of a package that uses Binaries and removes what it built. TestMain calls it.
func Main(m *testing.M) int {
	defer func() {
		if build.folder != "" {
			_ = os.RemoveAll(build.folder)
		}
	}()
	return m.Run()
}
