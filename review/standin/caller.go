package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"daisystage.example/daisystage/platform/wire"
)

// host is the one of all routes.
const host = "lessons.example"

// nextID numbers the attempts of callers.
var nextID atomic.Int64

func newID() string {
	return fmt.Sprintf("%016x", nextID.Add(1))
}

// caller is one connection of a caller to an entry VM.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func connect(address string) (*caller, error) {
	cn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, fmt.Errorf("connect to an entry VM: %w", err)
	}
	return &caller{Conn: cn, reader: bufio.NewReader(cn)}, nil
}

// send writes a request without a body.
func (cl *caller) send(method, path, id string, deadline time.Duration) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, host)
	fmt.Fprintf(&text, "%s: %s\r\n%s: %d\r\n", names.ID, id, names.Deadline, deadline.Milliseconds())
	if method == http.MethodPost {
		text.WriteString("Content-Length: 0\r\n")
	}
	text.WriteString("\r\n")
	_, err := io.WriteString(cl, text.String())
	if err != nil {
		return fmt.Errorf("send a request: %w", err)
	}
	return nil
}

// answer is what a caller got for one request.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// receive reads an answer.
func (cl *caller) receive() (answer, error) {
	rs, err := http.ReadResponse(cl.reader, nil)
	if err != nil {
		return answer{}, fmt.Errorf("read an answer: %w", err)
	}
	body, err := io.ReadAll(rs.Body)
	if err != nil {
		return answer{}, fmt.Errorf("read the body of an answer: %w", err)
	}
	return answer{rs.StatusCode, rs.Header, body}, nil
}

// retryAfter returns how long an answer tells the caller to wait.
func (an answer) retryAfter() time.Duration {
	seconds, err := strconv.ParseFloat(an.header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// resolve asks the directory of an entry VM where to connect.
func resolve(vm *entryVM) (wire.Places, error) {
	client := http.Client{Timeout: time.Second}
	rs, err := client.Get("http://" + vm.listen.Directory + names.Resolve + "?name=" + host + "&region=region&zone=" + vm.zone)
	if err != nil {
		return wire.Places{}, fmt.Errorf("ask the directory: %w", err)
	}
	defer func() { _ = rs.Body.Close() }()
	var places wire.Places
	if err := json.NewDecoder(rs.Body).Decode(&places); err != nil {
		return wire.Places{}, fmt.Errorf("decode the directory: %w", err)
	}
	return places, nil
}

// search sends one search on a connection of its own and returns the status of the
// answer, 0 if there was none.
func search(pl *play, vm *entryVM, path, query string) int {
	return searchFor(pl, vm, path, query, 4*time.Second).status
}

// searchFor is search for a caller that waits up to a deadline.
func searchFor(pl *play, vm *entryVM, path, query string, deadline time.Duration) answer {
	cl, err := connect(vm.listen.FrontendAddr)
	if err != nil {
		return answer{}
	}
	defer func() { _ = cl.Close() }()
	id := newID()
	pl.record.add("send %s, %s?q=%s, to %s", id, path, query, vm.name)
	if err := cl.send(http.MethodGet, path+"?q="+query, id, deadline); err != nil {
		return answer{}
	}
	an, err := cl.receive()
	if err != nil {
		pl.record.add("answer to %s: %v", id, err)
		return answer{}
	}
	pl.record.add("answer to %s: %d", id, an.status)
	return an
}
