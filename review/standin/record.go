package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt, one line each,
// with the time since the start of the case.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

// linef writes one line.
func (r *record) linef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// sayf writes one line and prints it.
func (r *record) sayf(format string, args ...any) {
	r.linef(format, args...)
	fmt.Printf(format+"\n", args...)
}
