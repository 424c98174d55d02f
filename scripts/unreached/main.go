// Command unreached lists the functions that can't be called from any program of this module, and fails when
// there are any. Packages whose names end in "test", and those that only tests use, are left out.
package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"golang.org/x/tools/go/callgraph/rta"
	"golang.org/x/tools/go/packages"
	"golang.org/x/tools/go/ssa"
	"golang.org/x/tools/go/ssa/ssautil"
)

const module = "balsamyoke.example/balsamyoke/"

// testOnlyPackages are packages that only tests use.
var testOnlyPackages = []string{module + "internal/testbed", module + "internal/leaktest"}

func main() {
	program, roots, err := load()
	if err != nil {
		fmt.Fprintln(os.Stderr, "unreached:", err)
		os.Exit(2)
	}
	found := unreached(program, roots)
	for _, place := range found {
		fmt.Println(place)
	}
	if len(found) > 0 {
		os.Exit(1)
	}
}

// load returns the module in static single assignment form, and the main and init functions of its programs.
func load() (program *ssa.Program, roots []*ssa.Function, err error) {
	initial, err := packages.Load(&packages.Config{Mode: packages.LoadAllSyntax}, "./...")
	if err != nil {
		return nil, nil, err
	}
	if packages.PrintErrors(initial) > 0 {
		return nil, nil, fmt.Errorf("packages can't be loaded")
	}
	program, built := ssautil.AllPackages(initial, ssa.InstantiateGenerics)
	program.Build()
	for _, p := range ssautil.MainPackages(built) {
		roots = append(roots, p.Func("main"), p.Func("init"))
	}
	return program, roots, nil
}

// unreached returns the positions and names of the module's functions that can't be called from the roots.
func unreached(program *ssa.Program, roots []*ssa.Function) []string {
	reached := make(map[string]bool)
	for f := range rta.Analyze(roots, false).Reachable {
		reached[position(program, f)] = true
	}
	found := make(map[string]bool)
	for f := range ssautil.AllFunctions(program) {
		if !isHandWritten(program, f) || reached[position(program, f)] {
			continue
		}
		found[position(program, f)+" "+f.Name()] = true
	}
	return slices.Sorted(maps.Keys(found))
}

// isHandWritten reports whether a function is in code of this module that is neither generated nor for tests only.
func isHandWritten(program *ssa.Program, f *ssa.Function) bool {
	if f.Pkg == nil || f.Synthetic != "" || f.Parent() != nil {
		return false
	}
	path := f.Pkg.Pkg.Path()
	file := program.Fset.Position(f.Pos()).Filename
	generated := strings.HasSuffix(file, ".pb.go") || !strings.HasSuffix(file, ".go")
	return strings.HasPrefix(path, module) && !generated && !strings.HasSuffix(path, "test") && !slices.Contains(testOnlyPackages, path)
}

func position(program *ssa.Program, f *ssa.Function) string {
	return program.Fset.Position(f.Pos()).String()
}
