package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line each with the seconds since
// the start.
type record struct {
	lock    sync.Mutex
	file    *os.File
	writer  *bufio.Writer
	startAt time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("make the record: %w", err)
	}
	return &record{file: file, writer: bufio.NewWriter(file), startAt: time.Now()}, nil
}

func (rc *record) add(format string, values ...any) {
	rc.lock.Lock()
	defer rc.lock.Unlock()
	fmt.Fprintf(rc.writer, "%8.4f ", time.Since(rc.startAt).Seconds())
	fmt.Fprintf(rc.writer, format, values...)
	fmt.Fprintln(rc.writer)
}

func (rc *record) close() {
	rc.lock.Lock()
	defer rc.lock.Unlock()
	_ = rc.writer.Flush()
	_ = rc.file.Close()
}
