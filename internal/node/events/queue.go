package events

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// queueCapacity is the number of lines buffered while the log output is slow;
// about a quarter of a megabyte.
const queueCapacity = 512

// Queue is a bounded, non-blocking buffer in front of a log output. It drops
// lines when it is full. Create it with NewQueue.
type Queue struct {
	lines chan []byte
	// Dropped counts the lines discarded because the queue was full.
	Dropped atomic.Int64
	// Failed counts the lines that could not be written.
	Failed atomic.Int64
}

// NewQueue returns a queue in front of a writer, and a function that writes the
// buffered lines and closes the queue. Nothing may be written after that.
func NewQueue(to io.Writer) (*Queue, func()) {
	qu := &Queue{lines: make(chan []byte, queueCapacity)}
	var done sync.WaitGroup
	done.Go(func() {
		for line := range qu.lines {
			if _, err := to.Write(line); err != nil {
				// The failure can't be logged, since the log output itself fails.
				qu.Failed.Add(1)
			}
		}
	})
	return qu, func() {
		close(qu.lines)
		done.Wait()
	}
}

// Write implements io.Writer. It queues a copy of the line, or drops the line
// if the queue is full, and never returns an error.
func (qu *Queue) Write(line []byte) (int, error) {
	select {
	case qu.lines <- append([]byte(nil), line...):
	default:
		qu.Dropped.Add(1)
	}
	return len(line), nil
}

// String returns the number of waiting, dropped and failed lines.
func (qu *Queue) String() string {
	return fmt.Sprintf("%d waiting, %d dropped, %d failed", len(qu.lines), qu.Dropped.Load(), qu.Failed.Load())
}
