// Package docs_test checks that the pages name files and identifiers that exist.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// pages describe the program as it is now. docs/acceptance.md is not checked: it is a record of runs and keeps the
// names that were in use at the time.
var pages = []string{"README.md", "docs/architecture.md", "docs/design.md", "docs/CAPACITY.md", "docs/terms-audit.md"}

const root = ".."

var (
	codeSpan   = regexp.MustCompile("`([^`\n]+)`")
	identifier = regexp.MustCompile(`^[A-Za-z_]\w*(\.[A-Za-z_]\w*)*$`)
	word       = regexp.MustCompile(`[A-Za-z_][\w-]*`)
	fileName   = regexp.MustCompile(`^[\w.-]+\.(go|md|toml|sh|json|txt|mod)$`)
)

// checkout holds the names that the pages may use.
type checkout struct {
	paths     map[string]bool // files and folders, relative to the root
	fileNames map[string]bool // without their folders
	declared  map[string]bool // Go identifiers: packages, functions, types, fields, constants, variables
	types     map[string]bool // those of the declared identifiers that are types
	members   map[string]bool // fields and methods, as Type.Member
	words     map[string]bool // words of string literals, struct tags and configuration files
	imported  map[string]bool // imported packages, by their paths and by their names
}

// readCheckout collects the names from all files of the repository, except those in .git and bin.
func readCheckout(t *testing.T) checkout {
	t.Helper()
	c := checkout{paths: map[string]bool{}, fileNames: map[string]bool{}, declared: map[string]bool{},
		types: map[string]bool{}, members: map[string]bool{}, words: map[string]bool{}, imported: map[string]bool{}}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if entry.IsDir() && (relative == ".git" || relative == "bin") {
			return filepath.SkipDir
		}
		c.paths[filepath.ToSlash(relative)] = true
		if entry.IsDir() {
			return nil
		}
		c.fileNames[entry.Name()] = true
		switch filepath.Ext(path) {
		case ".go":
			return c.addGoFile(path)
		case ".toml", ".sh":
			return c.addWords(path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// addWords adds all words of a configuration file or shell script.
func (c *checkout) addWords(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	for _, w := range word.FindAllString(string(text), -1) {
		c.words[w] = true
	}
	return nil
}

// addGoFile adds what a Go file imports and what it declares at the top level, fields and methods included. Unless the
// file is a test, it also adds the words of its string literals and struct tags.
func (c *checkout) addGoFile(path string) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	c.declared[file.Name.Name] = true
	isTest := strings.HasSuffix(path, "_test.go")
	for _, spec := range file.Imports {
		if importPath, err := strconv.Unquote(spec.Path.Value); err == nil {
			c.imported[importPath] = true
			c.imported[importPath[strings.LastIndexByte(importPath, '/')+1:]] = true
		}
	}
	for _, decl := range file.Decls {
		switch decl := decl.(type) {
		case *ast.FuncDecl:
			c.declared[decl.Name.Name] = true
			if decl.Recv != nil {
				c.members[receiverType(decl)+"."+decl.Name.Name] = true
			}
		case *ast.GenDecl:
			c.addSpecs(decl.Specs)
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		if literal, ok := n.(*ast.BasicLit); ok && literal.Kind == token.STRING && !isTest {
			for _, w := range word.FindAllString(literal.Value, -1) {
				c.words[w] = true
			}
		}
		return true
	})
	return nil
}

func (c *checkout) addSpecs(specs []ast.Spec) {
	for _, spec := range specs {
		switch spec := spec.(type) {
		case *ast.ValueSpec:
			for _, name := range spec.Names {
				c.declared[name.Name] = true
			}
		case *ast.TypeSpec:
			c.addType(spec)
		}
	}
}

// addType adds a type with its fields, and with its methods if it is an interface.
func (c *checkout) addType(spec *ast.TypeSpec) {
	c.declared[spec.Name.Name] = true
	c.types[spec.Name.Name] = true
	ast.Inspect(spec.Type, func(n ast.Node) bool {
		if field, ok := n.(*ast.Field); ok {
			for _, name := range field.Names {
				c.declared[name.Name] = true
				c.members[spec.Name.Name+"."+name.Name] = true
			}
		}
		return true
	})
}

// receiverType returns the name of the type that a method belongs to, and an empty string for a generic type.
func receiverType(method *ast.FuncDecl) string {
	receiver := method.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if name, ok := receiver.(*ast.Ident); ok {
		return name.Name
	}
	return "" // a generic type
}

// has reports whether a code span of a page names something that exists. It does not check, and returns true for, paths
// that are absolute or start with "../", and spans that are neither a path, a file name nor an identifier (commands,
// figures, formulas).
func (c *checkout) has(span string) bool {
	span = strings.TrimPrefix(strings.TrimSuffix(span, "()"), "./")
	prefix := strings.HasSuffix(span, "...")
	span = strings.TrimSuffix(span, "...")
	switch {
	case strings.HasPrefix(span, "../"), strings.HasPrefix(span, "/"), strings.ContainsAny(span, " =*,:<>$()[]"):
		return true
	case strings.Contains(span, "/"):
		return c.paths[strings.TrimSuffix(span, "/")] || c.imported[span]
	case fileName.MatchString(span):
		return c.fileNames[span]
	case !identifier.MatchString(span):
		return true
	case prefix:
		return c.hasPrefix(span)
	}
	parts := strings.Split(span, ".")
	if len(parts) > 1 && c.imported[parts[0]] && !c.declared[parts[0]] {
		return true // an identifier of an imported package from outside the repository, such as http.Server
	}
	if len(parts) == 2 && c.types[parts[0]] {
		return c.members[span]
	}
	for _, part := range parts {
		if !c.declared[part] && !c.words[part] {
			return false
		}
	}
	return true
}

// hasPrefix reports whether a declared identifier starts with this prefix.
func (c *checkout) hasPrefix(prefix string) bool {
	for name := range c.declared {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}

// TestPagesNameWhatExists guards against pages that still name files or identifiers which have been renamed or removed.
// It checks code spans, and skips code blocks.
func TestPagesNameWhatExists(t *testing.T) {
	c := readCheckout(t)
	for _, page := range pages {
		text, err := os.ReadFile(filepath.Join(root, page))
		if err != nil {
			t.Fatal(err)
		}
		fenced := false
		for i, line := range strings.Split(string(text), "\n") {
			if strings.HasPrefix(line, "```") {
				fenced = !fenced
			}
			if fenced || strings.HasPrefix(line, "    ") {
				continue
			}
			for _, match := range codeSpan.FindAllStringSubmatch(line, -1) {
				if !c.has(match[1]) {
					t.Errorf("%s:%d: `%s` does not exist", page, i+1, match[1])
				}
			}
		}
	}
}

// TestCheckReportsMissingNames guards against a check of the pages that accepts every name, or that rejects names which
// exist.
func TestCheckReportsMissingNames(t *testing.T) {
	c := readCheckout(t)
	for span, want := range map[string]bool{
		"balancer/balancer.go": true, "balancer/nowhere.go": false, "go.mod": true, "nowhere.go": false,
		"Balancer": true, "Balancer.Handle": true, "Balancer.NoSuchMethodAnywhere": false, "Balancer.AppendReply": false, "GW_CONFIG": true,
		"http.Server": true, "net/http": true, "net/nowhere": false, "TestPagesName...": true, "TestNoSuchPrefix...": false, "go test ./...": true,
	} {
		if got := c.has(span); got != want {
			t.Errorf("%s: %v, want %v", span, got, want)
		}
	}
}
