package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// journalEntry holds the main keys of a journal entry, a JSON file in journal/.
type journalEntry struct {
	Version *int                       `json:"v"`
	ID      string                     `json:"id"`
	At      []string                   `json:"at"` // start and end time; the end is "" if the run did not finish
	Command string                     `json:"cmd"`
	Args    []string                   `json:"argv"`
	Why     *string                    `json:"why"`
	Head    string                     `json:"head"` // revision of the source
	OK      *bool                      `json:"ok"`
	Error   string                     `json:"error"`
	Days    []json.RawMessage          `json:"days"`
	Figures map[string]json.RawMessage `json:"figures"`
	Digest  string                     `json:"digest"`
	Seal    string                     `json:"seal"`
}

// TestJournal guards against journal entries that are missing, lack a main key, or
// have invalid times or an id that is not in the file name.
func TestJournal(t *testing.T) {
	files, err := filepath.Glob("../../journal/*.json")
	if err != nil || len(files) < 600 {
		t.Fatalf("%d journal entries, want at least 600; error %v", len(files), err)
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		var e journalEntry
		if err := json.Unmarshal(raw, &e); err != nil {
			t.Errorf("%s: %v", file, err)
			continue
		}
		if e.Version == nil || e.Command == "" || e.Args == nil || e.Why == nil || e.Head == "" || e.OK == nil ||
			e.Days == nil || e.Figures == nil || e.Seal == "" {
			t.Errorf("%s lacks one of v, cmd, argv, why, head, ok, days, figures, seal", file)
			continue
		}
		failed := !*e.OK && e.Error != ""
		if e.Digest == "" && !failed {
			t.Errorf("%s has neither a digest nor an error", file)
		}
		if !validTimes(e.At, failed) {
			t.Errorf("%s: times %q, want a start and an end that is not before it", file, e.At)
		}
		if !strings.HasSuffix(file, "-"+e.ID+".json") {
			t.Errorf("%s: id %q is not the end of the file name", file, e.ID)
		}
	}
}

// validTimes reports whether at holds a start time and an end time that is not
// before it. The end time of a failed run may be missing.
func validTimes(at []string, failed bool) bool {
	if len(at) != 2 {
		return false
	}
	begin, err := time.Parse(time.RFC3339, at[0])
	if err != nil || at[1] == "" {
		return err == nil && failed
	}
	end, err := time.Parse(time.RFC3339, at[1])
	return err == nil && !end.Before(begin)
}
