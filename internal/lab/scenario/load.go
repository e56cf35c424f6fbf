package scenario

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

const durationWanted = `want a time of 0 or more in quotes and with its unit, as in "250ms"`

// Load reads the scenario at path. An error joins one line for each fault:
// file, line, key, and what was wanted.
func Load(path string) (*Scenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	s, err := Parse(path, raw)
	if err != nil {
		return nil, err
	}
	if s.Name == "" {
		s.Name = strings.TrimSuffix(filepath.Base(path), ".toml")
	}
	return s, nil
}

// Parse reads a scenario; errors name it as file. See Load.
func Parse(file string, raw []byte) (*Scenario, error) {
	keys, err := findKeys(raw)
	if err != nil {
		var at *unstable.ParserError
		line := 0
		if errors.As(err, &at) {
			line = 1 + bytes.Count(raw[:len(raw)-len(keys.rest)], []byte("\n"))
		}
		return nil, fmt.Errorf("%s:%d: not TOML: %w", file, line, err)
	}
	type found struct {
		line int
		err  error
	}
	var faults []found
	fault := func(line int, key, format string, args ...any) {
		faults = append(faults, found{line, fmt.Errorf("%s:%d: %s: %s", file, line, key, fmt.Sprintf(format, args...))})
	}
	s := decode(raw, keys, fault)
	s.fillDefaults()
	s.validate(func(key, format string, args ...any) {
		if line := keys.line(key); !keys.faulty[line] {
			fault(line, key, format, args...)
		}
	})
	if len(faults) == 0 {
		return &s, nil
	}
	slices.SortFunc(faults, func(a, b found) int {
		return cmp.Or(cmp.Compare(a.line, b.line), cmp.Compare(a.err.Error(), b.err.Error()))
	})
	errs := make([]error, len(faults))
	for i, f := range faults {
		errs[i] = f.err
	}
	return nil, errors.Join(errs...)
}

// decode fills a scenario. The library stops at the first value of a wrong
// type, so the line of each is taken out and the rest is read again.
func decode(raw []byte, keys *keyLines, fault func(line int, key, format string, args ...any)) Scenario {
	lines := bytes.SplitAfter(raw, []byte("\n"))
	for {
		s := defaults()
		err := toml.NewDecoder(bytes.NewReader(bytes.Join(lines, nil))).DisallowUnknownFields().Decode(&s)
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) {
			for _, e := range unknown.Errors {
				line, _ := e.Position()
				fault(line, strings.Join(e.Key(), "."), "is unknown, want one of the keys of package scenario")
			}
			return s
		}
		var wrong *toml.DecodeError
		if !errors.As(err, &wrong) {
			if err != nil {
				fault(0, "file", "%v", err)
			}
			return s
		}
		line, _ := wrong.Position()
		fault(line, keys.pathOf[line], "%s", cmp.Or(expectedValue(reflect.TypeFor[Scenario](), keys.pathOf[line]), wrong.Error()))
		keys.faulty[line] = true
		if lines[line-1] = []byte("\n"); toml.Unmarshal(bytes.Join(lines, nil), new(map[string]any)) != nil {
			return s // the value went on behind its line
		}
	}
}

// wanted says what the value of a key must be, "" if there is no such key.
func expectedValue(t reflect.Type, path string) string {
	for name := range strings.SplitSeq(path, ".") {
		name, _, _ = strings.Cut(name, "[")
		if t.Kind() == reflect.Slice {
			t = t.Elem()
		}
		if t.Kind() != reflect.Struct {
			return ""
		}
		field, ok := t.FieldByNameFunc(func(f string) bool {
			sf, _ := t.FieldByName(f)
			return sf.Tag.Get("toml") == name
		})
		if !ok {
			return ""
		}
		t = field.Type
	}
	if t == reflect.TypeFor[Duration]() {
		return durationWanted
	}
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch t.Kind() {
	case reflect.Int:
		return "want a whole number"
	case reflect.Uint64:
		return "want a whole number of 0 or more"
	case reflect.Float64:
		return "want a number"
	case reflect.Bool:
		return "want true or false"
	case reflect.String:
		return "want a text in quotes"
	case reflect.Slice:
		return "want tables, as in [[" + path + "]]"
	}
	return "want a table, as in [" + path + "]"
}

// keys knows where a file's keys are.
type keyLines struct {
	lineOf map[string]int // by path, as in class[0].aim
	pathOf map[int]string // the path whose value is on a line
	faulty map[int]bool   // lines on which a fault has been found
	rest   []byte         // of the file behind a fault of its form
}

// line finds a key or, where it is left out, the table that it belongs to.
func (k *keyLines) line(path string) int {
	for path != "" {
		if line := k.lineOf[path]; line > 0 {
			return line
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 1
}

func findKeys(raw []byte) (*keyLines, error) {
	k := &keyLines{lineOf: map[string]int{}, pathOf: map[int]string{}, faulty: map[int]bool{}}
	counts := map[string]int{}
	var p unstable.Parser
	p.Reset(raw)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		if e.Kind != unstable.Table && e.Kind != unstable.ArrayTable && e.Kind != unstable.KeyValue {
			continue
		}
		path, line := "", 0
		if e.Kind == unstable.KeyValue {
			path = table
		}
		for it := e.Key(); it.Next(); {
			n := it.Node()
			if path != "" {
				path += "."
			}
			path += string(n.Data)
			if last := counts[path]; last > 0 && !(e.Kind == unstable.ArrayTable && it.IsLast()) {
				path += fmt.Sprintf("[%d]", last-1)
			}
			line = p.Shape(n.Raw).Start.Line
		}
		switch e.Kind {
		case unstable.ArrayTable:
			counts[path]++
			path += fmt.Sprintf("[%d]", counts[path]-1)
			table = path
		case unstable.Table:
			table = path
		default:
			k.pathOf[line] = path
		}
		if k.lineOf[path] == 0 {
			k.lineOf[path] = line
		}
	}
	if err := p.Error(); err != nil {
		var at *unstable.ParserError
		if errors.As(err, &at) && len(at.Highlight) > 0 {
			r := p.Range(at.Highlight)
			k.rest = raw[r.Offset:]
		}
		return k, err
	}
	return k, nil
}
