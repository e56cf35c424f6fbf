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

// Load reads the scenario at path. An error about the content has one line for
// each invalid key: the file, the line, the key, and what is wanted instead.
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

// Parse reads a scenario from raw. Errors use file as its name; see [Load] for
// their form.
func Parse(file string, raw []byte) (*Scenario, error) {
	keys, err := findKeys(raw)
	if err != nil {
		return nil, fmt.Errorf("%s:%d: invalid TOML: %w", file, keys.syntaxErrorLine(raw, err), err)
	}
	errs := errorList{file: file}
	s := decode(raw, keys, &errs)
	s.fillDefaults()
	s.validate(func(key, format string, args ...any) {
		if line := keys.line(key); !keys.hasError[line] {
			errs.add(line, key, format, args...)
		}
	})
	if err := errs.err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// lineError is an error at a line of a file.
type lineError struct {
	line int
	err  error
}

// errorList collects the errors of a file.
type errorList struct {
	file string
	errs []lineError
}

func (l *errorList) add(line int, key, format string, args ...any) {
	err := fmt.Errorf("%s:%d: %s: %s", l.file, line, key, fmt.Sprintf(format, args...))
	l.errs = append(l.errs, lineError{line, err})
}

// err joins the errors in the order of their lines. It returns nil if there are
// none.
func (l *errorList) err() error {
	slices.SortFunc(l.errs, func(a, b lineError) int {
		return cmp.Or(cmp.Compare(a.line, b.line), cmp.Compare(a.err.Error(), b.err.Error()))
	})
	errs := make([]error, len(l.errs))
	for i, e := range l.errs {
		errs[i] = e.err
	}
	return errors.Join(errs...)
}

// decode decodes a scenario on top of the defaults. The TOML library stops at the
// first value of a wrong type, so decode blanks the line of such a value and
// decodes the file again to find further errors.
func decode(raw []byte, keys *keyLines, errs *errorList) Scenario {
	lines := bytes.SplitAfter(raw, []byte("\n"))
	for {
		s := defaults()
		err := toml.NewDecoder(bytes.NewReader(bytes.Join(lines, nil))).DisallowUnknownFields().Decode(&s)
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) {
			for _, e := range unknown.Errors {
				line, _ := e.Position()
				errs.add(line, strings.Join(e.Key(), "."), "is unknown, want a key that package scenario defines")
			}
			return s
		}
		var wrongType *toml.DecodeError
		if !errors.As(err, &wrongType) {
			if err != nil {
				errs.add(0, "file", "%v", err)
			}
			return s
		}
		line, _ := wrongType.Position()
		path := keys.pathOf[line]
		errs.add(line, path, "%s", cmp.Or(expectedValue(reflect.TypeFor[Scenario](), path), wrongType.Error()))
		keys.hasError[line] = true
		lines[line-1] = []byte("\n")
		if toml.Unmarshal(bytes.Join(lines, nil), new(map[string]any)) != nil {
			return s // a value over several lines cannot be blanked this way
		}
	}
}

// expectedValue describes the values that a key of t accepts. It returns "" if t
// has no such key.
func expectedValue(t reflect.Type, path string) string {
	t = typeOf(t, path)
	if t == nil {
		return ""
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
		return "want a string in quotes"
	case reflect.Slice:
		return "want an array of tables, as in [[" + path + "]]"
	}
	return "want a table, as in [" + path + "]"
}

// typeOf returns the type of a key of t such as class[0].aim, or nil if there is
// no such key.
func typeOf(t reflect.Type, path string) reflect.Type {
	for name := range strings.SplitSeq(path, ".") {
		name, _, _ = strings.Cut(name, "[")
		if t.Kind() == reflect.Slice {
			t = t.Elem()
		}
		if t.Kind() != reflect.Struct {
			return nil
		}
		field, ok := t.FieldByNameFunc(func(f string) bool {
			sf, _ := t.FieldByName(f)
			return sf.Tag.Get("toml") == name
		})
		if !ok {
			return nil
		}
		t = field.Type
	}
	return t
}

// syntaxErrorLine returns the line of a syntax error: the last line if its
// position is unknown, 0 if err is not a syntax error.
func (k *keyLines) syntaxErrorLine(raw []byte, err error) int {
	var syntax *unstable.ParserError
	if !errors.As(err, &syntax) {
		return 0
	}
	return 1 + bytes.Count(raw[:len(raw)-len(k.unparsed)], []byte("\n"))
}
