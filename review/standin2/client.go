package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is one attempt of a client and its answer.
type call struct {
	vm         *vm
	id, target string
	method     string
	body       string
	key        string
	sentAt     time.Time
	answeredAt time.Time
	// status is 0 if there was no complete answer.
	status  int
	header  http.Header
	content string
	err     error
}

// newID returns an id for one client attempt.
func (ev *env) newID() string {
	return fmt.Sprintf("%016x", 0x9c41d07be2a30000+uint64(ev.ids.Add(1)))
}

// client is a client with one connection to an entry VM, opened when needed.
type client struct {
	ev     *env
	vm     *vm
	host   string
	conn   net.Conn
	reader *bufio.Reader
}

func (cl *client) close() {
	if cl.conn != nil {
		_ = cl.conn.Close()
		cl.conn = nil
	}
}

// send sends one attempt and waits for its answer.
func (cl *client) send(method, target, body, key string, within time.Duration) *call {
	ca := &call{vm: cl.vm, id: cl.ev.newID(), method: method, target: target, body: body, key: key}
	if cl.conn == nil {
		cn, err := net.DialTimeout("tcp", cl.vm.callers, time.Second)
		if err != nil {
			ca.err, ca.sentAt = err, time.Now()
			cl.ev.answered(ca)
			return ca
		}
		cl.conn, cl.reader = cn, bufio.NewReader(cn)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, target, cl.host, names["id"], ca.id, names["deadline"], within.Milliseconds())
	if key != "" {
		fmt.Fprintf(&text, "Authorization: Bearer %s\r\n", key)
	}
	if body != "" || method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n" + body)
	ca.sentAt = time.Now()
	_ = cl.conn.SetDeadline(ca.sentAt.Add(within + time.Second))
	_, ca.err = io.WriteString(cl.conn, text.String())
	var rs *http.Response
	if ca.err == nil {
		rs, ca.err = http.ReadResponse(cl.reader, &http.Request{Method: method})
	}
	if ca.err == nil {
		var content []byte
		content, ca.err = io.ReadAll(rs.Body)
		ca.content, ca.header = string(content), rs.Header
	}
	ca.answeredAt = time.Now()
	if ca.err == nil {
		ca.status = rs.StatusCode
	}
	if ca.err != nil || rs.Close {
		cl.close()
	}
	cl.ev.answered(ca)
	return ca
}

func (ev *env) answered(ca *call) {
	ev.calls.lock.Lock()
	ev.calls.all = append(ev.calls.all, ca)
	ev.calls.lock.Unlock()
	if ca.err != nil {
		ev.record.line("client got no answer from %s to %s %s id %s, sent %.3f: %v", ca.vm.name, ca.method, ca.target, ca.id, ca.sentAt.Sub(ev.record.started).Seconds(), ca.err)
		return
	}
	ev.record.line("client got %d (seal %q, retry after %q) from %s to %s %s id %s, sent %.3f", ca.status, ca.header.Get(names["seal"]),
		ca.header.Get("Retry-After"), ca.vm.name, ca.method, ca.target, ca.id, ca.sentAt.Sub(ev.record.started).Seconds())
}
