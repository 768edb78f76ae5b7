// Package crowd stands in for many callers that exceed the limits of a process, and
// reads what the process occupies meanwhile.
package crowd

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// dialTimeout bounds connecting to a process that may no longer accept.
	dialTimeout = 5 * time.Second
	// writeTimeout is how long a caller keeps writing to a process that no longer
	// reads.
	writeTimeout = 3 * time.Second
	// settleTime is left to the process to read what was sent to it.
	settleTime = 2 * time.Second
)

// Case is one kind of caller.
type Case struct {
	Name string
	// Callers is the number of connections, which are spread over the addresses.
	Callers int
	// Each caller sends Begin, then Repeat until at least Size bytes are sent, and
	// then, when all callers have done so, Finish. None of them reads.
	Begin, Repeat, Finish string
	Size                  int
}

// message returns what a caller sends before Finish.
func (cs Case) message() []byte {
	message := bytes.NewBufferString(cs.Begin)
	for cs.Repeat != "" && message.Len() < cs.Size {
		message.WriteString(cs.Repeat)
	}
	return message.Bytes()
}

// Run connects all callers, lets them send, and returns once the process had time to
// read it. The returned function closes the connections.
func (cs Case) Run(addresses []string) func() {
	message := cs.message()
	conns := make([]net.Conn, cs.Callers)
	var sent, finished sync.WaitGroup
	begun := make(chan struct{})
	for at := range conns {
		sent.Add(1)
		finished.Go(func() {
			cn, err := net.DialTimeout("tcp", addresses[at%len(addresses)], dialTimeout)
			if err != nil {
				sent.Done()
				return
			}
			conns[at] = cn
			// A process may close the connection or stop reading at any time.
			_ = cn.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, _ = cn.Write(message)
			sent.Done()
			<-begun
			_ = cn.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, _ = cn.Write([]byte(cs.Finish))
		})
	}
	sent.Wait()
	close(begun)
	finished.Wait()
	time.Sleep(settleTime)
	return func() {
		for _, cn := range conns {
			if cn != nil {
				_ = cn.Close()
			}
		}
	}
}

// Lines returns lines of a request header with distinct names of four characters, of
// together at least size bytes.
func Lines(size int) string {
	var lines strings.Builder
	for at := 0; lines.Len() < size; at++ {
		fmt.Fprintf(&lines, "%04x:\n", at)
	}
	return lines.String()
}

// PeakMemory returns the most resident memory that a process had so far, in bytes.
func PeakMemory(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, fmt.Errorf("read the state of process %d: %w", pid, err)
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			if err != nil {
				return 0, fmt.Errorf("read the memory of process %d: %w", pid, err)
			}
			return kilobytes << 10, nil
		}
	}
	return 0, fmt.Errorf("process %d has no memory", pid)
}

// Sockets returns the number of open descriptors of a process that are sockets.
func Sockets(pid int) (int, error) {
	entries, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return 0, fmt.Errorf("list the descriptors of process %d: %w", pid, err)
	}
	sockets := 0
	for _, entry := range entries {
		// A descriptor that was closed meanwhile has no target.
		if target, err := os.Readlink(entry); err == nil && strings.HasPrefix(target, "socket:") {
			sockets++
		}
	}
	return sockets, nil
}
