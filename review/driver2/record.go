//go:build review2

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record collects the lines of record.txt: what was sent, answered and run, with the time
// since the start of the driver.
type record struct {
	mu      sync.Mutex
	started time.Time
	lines   []string
}

func newRecord() *record { return &record{started: time.Now()} }

// add appends a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f  %s", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...)))
}

// write writes all lines to a file.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	for _, line := range r.lines {
		if _, err := fmt.Fprintln(f, line); err != nil {
			_ = f.Close()
			return err
		}
	}
	return f.Close()
}
