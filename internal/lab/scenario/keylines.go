package scenario

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines maps the paths of the keys in a file, such as class[0].aim, to their
// lines.
type keyLines struct {
	lineOf   map[string]int // line of a table or key, by path
	pathOf   map[int]string // path of the key on a line
	hasError map[int]bool   // lines whose value has the wrong type
	unparsed []byte         // the file from its syntax error on; nil: none or unknown
}

// line returns the line of a key or, if the file does not contain it, of the
// innermost table around it that the file contains; 1 if there is none.
func (k *keyLines) line(path string) int {
	for path != "" {
		if line := k.lineOf[path]; line > 0 {
			return line
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 1
}

// findKeys parses a file and records its keys. After a syntax error, it returns
// the keys before the error, with unparsed set if the position is known.
func findKeys(raw []byte) (*keyLines, error) {
	finder := keyFinder{
		keys:   &keyLines{lineOf: map[string]int{}, pathOf: map[int]string{}, hasError: map[int]bool{}},
		counts: map[string]int{},
	}
	finder.parser.Reset(raw)
	for finder.parser.NextExpression() {
		finder.add(finder.parser.Expression())
	}
	err := finder.parser.Error()
	var syntax *unstable.ParserError
	if errors.As(err, &syntax) && len(syntax.Highlight) > 0 {
		finder.keys.unparsed = raw[finder.parser.Range(syntax.Highlight).Offset:]
	}
	return finder.keys, err
}

// keyFinder is the parser state of findKeys.
type keyFinder struct {
	keys   *keyLines
	parser unstable.Parser
	counts map[string]int // number of tables so far in an array of tables, by path
	table  string         // path of the current table
}

// add records the key or table of an expression.
func (f *keyFinder) add(e *unstable.Node) {
	if e.Kind != unstable.Table && e.Kind != unstable.ArrayTable && e.Kind != unstable.KeyValue {
		return
	}
	path, line := f.path(e)
	switch e.Kind {
	case unstable.ArrayTable:
		f.counts[path]++
		path += fmt.Sprintf("[%d]", f.counts[path]-1)
		f.table = path
	case unstable.Table:
		f.table = path
	default:
		f.keys.pathOf[line] = path
	}
	if f.keys.lineOf[path] == 0 {
		f.keys.lineOf[path] = line
	}
}

// path returns the path of an expression's key and its line. A key through an
// array of tables refers to the last table of the array so far.
func (f *keyFinder) path(e *unstable.Node) (path string, line int) {
	if e.Kind == unstable.KeyValue {
		path = f.table
	}
	for it := e.Key(); it.Next(); {
		n := it.Node()
		if path != "" {
			path += "."
		}
		path += string(n.Data)
		isNewTable := e.Kind == unstable.ArrayTable && it.IsLast()
		if count := f.counts[path]; count > 0 && !isNewTable {
			path += fmt.Sprintf("[%d]", count-1)
		}
		line = f.parser.Shape(n.Raw).Start.Line
	}
	return path, line
}
