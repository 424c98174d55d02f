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

// modulePath is the path of this module in go.mod.
const modulePath = "balsamyoke.example/balsamyoke"

var build struct {
	once   sync.Once
	folder string
	err    error
}

// Binaries builds the programs on the first call of a test run and returns the folder with them.
func Binaries() (string, error) {
	build.once.Do(func() {
		statSources()
		build.folder, build.err = os.MkdirTemp("", "balsamyoke-bin-")
		if build.err == nil {
			build.err = Build(build.folder)
		}
	})
	return build.folder, build.err
}

// statSources calls Stat on every source file of the module. go test tracks the files that a test itself opens or
// stats, so a cached result is not used after one of them has changed.
func statSources() {
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

// moduleRoot returns the working folder or the nearest folder above it that has a go.mod, or "." when none has.
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

// Build builds the programs into folder. Its error is an ErrBuild.
func Build(folder string) error {
	command := exec.Command("go", "build", "-o", folder+string(filepath.Separator), modulePath+"/cmd/...")
	if output, err := command.CombinedOutput(); err != nil {
		return ErrBuild.Wrap(err, "%s", output)
	}
	return nil
}

// Main runs the tests of a package that uses Binaries, removes the built programs and returns the exit code.
// TestMain calls it.
func Main(m *testing.M) int {
	defer func() {
		if build.folder != "" {
			_ = os.RemoveAll(build.folder)
		}
	}()
	return m.Run()
}
