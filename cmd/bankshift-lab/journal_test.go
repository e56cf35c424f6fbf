package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

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
	files, err := filepath.Glob("../../journal/*.json")
	if err != nil || len(files) < 600 {
		t.Fatalf("%d entries, error %v", len(files), err)
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
