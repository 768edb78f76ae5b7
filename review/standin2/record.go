package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the text file that tells what was sent, answered and run.
type record struct {
	lock    sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &record{file: file, out: bufio.NewWriter(file), started: time.Now()}, nil
}

// line writes one line with the time since the start.
func (rc *record) line(format string, args ...any) {
	rc.lock.Lock()
	defer rc.lock.Unlock()
	fmt.Fprintf(rc.out, "%8.3f %s\n", time.Since(rc.started).Seconds(), fmt.Sprintf(format, args...))
}

func (rc *record) close() {
	rc.lock.Lock()
	defer rc.lock.Unlock()
	_ = rc.out.Flush()
	_ = rc.file.Close()
}
