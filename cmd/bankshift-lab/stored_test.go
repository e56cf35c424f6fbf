package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bankshift/internal/lab/scenario"
)

// TestScenarios loads every stored scenario.
func TestScenarios(t *testing.T) {
	files := glob(t, "../../scenarios/*.toml", 10)
	for _, file := range files {
		s, err := scenario.Load(file)
		if err != nil {
			t.Error(err)
			continue
		}
		if name := strings.TrimSuffix(filepath.Base(file), ".toml"); s.Name != name {
			t.Errorf("%s has the name %q", file, s.Name)
		}
	}
}

// journalEntry is the main part of an entry of the journal.
type journalEntry struct {
	Version *int                       `json:"v"`
	ID      string                     `json:"id"`
	At      []string                   `json:"at"` // begin and end, "" if the run did not finish
	Command string                     `json:"cmd"`
	Args    []string                   `json:"argv"`
	Why     *string                    `json:"why"`
	Head    string                     `json:"head"` // revision
	OK      *bool                      `json:"ok"`
	Error   string                     `json:"error"`
	Days    []json.RawMessage          `json:"days"`
	Figures map[string]json.RawMessage `json:"figures"`
	Digest  string                     `json:"digest"`
	Seal    string                     `json:"seal"`
}

// TestJournal reads the main keys of every entry of the journal.
func TestJournal(t *testing.T) {
	for _, file := range glob(t, "../../journal/*.json", 600) {
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
			t.Errorf("%s lacks a main key", file)
			continue
		}
		failed := !*e.OK && e.Error != ""
		if e.Digest == "" && !failed {
			t.Errorf("%s has neither a digest nor an error", file)
		}
		if !validTimes(e.At, failed) {
			t.Errorf("%s: times %q", file, e.At)
		}
		if !strings.HasSuffix(file, "-"+e.ID+".json") {
			t.Errorf("%s has the id %q", file, e.ID)
		}
	}
}

// validTimes reports whether an entry has a begin, and an end after it; that of
// a run that failed may be missing.
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

// glob finds stored files, of which there are at least least.
func glob(t *testing.T, pattern string, least int) []string {
	t.Helper()
	files, err := filepath.Glob(pattern)
	if err != nil || len(files) < least {
		t.Fatalf("%d files %s, want %d or more, error %v", len(files), pattern, least, err)
	}
	return files
}
