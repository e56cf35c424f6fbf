package scenario

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines maps the keys of a file, written as in class[0].aim, to their lines.
type keyLines struct {
	lineOf   map[string]int // of tables and keys, by path
	pathOf   map[int]string // of the key whose value is on a line
	hasError map[int]bool   // lines with a fault
	unparsed []byte         // of the file from a syntax error on
}

// line finds a key or, where it is missing, the table that it belongs to.
func (k *keyLines) line(path string) int {
	for path != "" {
		if line := k.lineOf[path]; line > 0 {
			return line
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 1
}

// findKeys parses a file for its keys. With a syntax error the result has rest.
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

// keyFinder is the state of findKeys.
type keyFinder struct {
	keys   *keyLines
	parser unstable.Parser
	counts map[string]int // tables of each array so far, by path
	table  string         // path of the present table
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

// path is the path of an expression's key, and its line. Within an array of
// tables the last one is meant.
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
