package balancer

// Checks of the package as a whole.

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"
)

// policyFiles returns the files that the deploy file lists under policy: those with the decision logic.
func policyFiles(t *testing.T) []string {
	t.Helper()
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, line, _ := strings.Cut(string(deploy), "\npolicy = [")
	line, _, _ = strings.Cut(line, "]")
	var names []string
	for name := range strings.SplitSeq(line, ",") {
		names = append(names, strings.Trim(name, " \""))
	}
	return names
}

// sourceFiles returns the package's files without its tests.
func sourceFiles(t *testing.T) []string {
	t.Helper()
	names, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	return slices.DeleteFunc(names, func(name string) bool { return strings.HasSuffix(name, "_test.go") })
}

// Guards against a package that is not pure: it must import nothing that could do I/O, read a clock, start a timer or
// draw global randomness, and must start no goroutine.
func TestPackageIsPure(t *testing.T) {
	allowed := []string{"cmp", "fmt", "maps", "math", "slices", "time"}
	for _, name := range sourceFiles(t) {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, spec := range file.Imports {
			if path := strings.Trim(spec.Path.Value, `"`); !slices.Contains(allowed, path) {
				t.Errorf("%s imports %s, which is not on the list of allowed packages", name, path)
			}
		}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, banned := range []string{
			"time.Now", "time.Since", "time.Until", "time.After", "time.Sleep", "time.NewT", "time.Tick",
			"fmt.Print", "\tgo ",
		} {
			if strings.Contains(string(text), banned) {
				t.Errorf("%s contains %q, which is banned", name, banned)
			}
		}
	}
}

// Guards against lines that are hard to read because they are longer than maxLineLength characters.
func TestLinesAreShort(t *testing.T) {
	const maxLineLength = 120
	for _, name := range sourceFiles(t) {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		number := 0
		for line := range strings.Lines(string(text)) {
			number++
			length := utf8.RuneCountInString(strings.TrimSuffix(line, "\n"))
			if length > maxLineLength {
				t.Errorf("%s:%d has %d characters, at most %d are allowed", name, number, length, maxLineLength)
			}
		}
	}
}

// Guards against a deploy file whose policy list lacks a source file of the package or names another file.
func TestDeployFileListsThePolicy(t *testing.T) {
	var want []string
	for _, name := range sourceFiles(t) {
		want = append(want, "balancer/"+name)
	}
	got := policyFiles(t)
	slices.Sort(got)
	if !slices.Equal(got, want) {
		t.Errorf("the deploy file's policy is %v, want %v", got, want)
	}
}
