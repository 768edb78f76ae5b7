package events

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// queueLines is the number of lines that wait for a slow reader of the log;
// about a quarter of a megabyte.
const queueLines = 512

// Queue passes log lines on without ever blocking those who write them. Make
// one with NewQueue.
type Queue struct {
	lines chan []byte
	// Dropped counts the lines that found the queue full.
	Dropped atomic.Int64
	// Failed counts the lines that could not be written.
	Failed atomic.Int64
}

// NewQueue returns a queue to a writer, and a function that writes what waits
// and ends the queue. Nothing may be written after that.
func NewQueue(to io.Writer) (*Queue, func()) {
	qu := &Queue{lines: make(chan []byte, queueLines)}
	var done sync.WaitGroup
	done.Go(func() {
		for line := range qu.lines {
			if _, err := to.Write(line); err != nil {
				// The log itself is gone; the count shows in the metrics.
				qu.Failed.Add(1)
			}
		}
	})
	return qu, func() {
		close(qu.lines)
		done.Wait()
	}
}

// Write is of io.Writer. It keeps a copy of the line, or drops it.
func (qu *Queue) Write(line []byte) (int, error) {
	select {
	case qu.lines <- append([]byte(nil), line...):
	default:
		qu.Dropped.Add(1)
	}
	return len(line), nil
}

// String returns the counts.
func (qu *Queue) String() string {
	return fmt.Sprintf("%d waiting, %d dropped, %d failed", len(qu.lines), qu.Dropped.Load(), qu.Failed.Load())
}
