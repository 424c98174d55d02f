package testbed

import (
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
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
		noteSources()
		build.folder, build.err = os.MkdirTemp("", "balsamyoke-bin-")
		if build.err == nil {
			build.err = Build(build.folder)
		}
	})
	return build.folder, build.err
}

// noteSources looks at every source file of the module, so that go test does not take a cached result
// from before one of them changed: it tracks the files that a test itself looks at.
func noteSources() {
	_ = filepath.WalkDir(moduleRoot(), func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && strings.HasPrefix(entry.Name(), ".git") {
			return filepath.SkipDir
		}
		if !entry.IsDir() && isSource(path) {
			_, _ = os.Stat(path)
		}
		return nil
	})
}

func isSource(path string) bool {
	extension := filepath.Ext(path)
	return (extension == ".go" && !strings.HasSuffix(path, "_test.go")) || extension == ".json" || extension == ".mod"
}

// moduleRoot returns the nearest folder above the working folder that has a go.mod.
func moduleRoot() string {
	folder, err := os.Getwd()
	for err == nil && folder != filepath.Dir(folder) {
		if _, statErr := os.Stat(filepath.Join(folder, "go.mod")); statErr == nil {
			return folder
		}
		folder = filepath.Dir(folder)
	}
	return "."
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
