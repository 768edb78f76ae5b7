package backend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"daisystage.example/daisystage/internal/wire/backendapi"
	"daisystage.example/daisystage/internal/world/link"
)

const (
	// readBuffer is the size of a link's buffer in bytes: most answers fit.
	readBuffer = 2 << 10
	// smallRequest is the size in bytes up to which a request fits into the
	// buffers on the way, so that writing it does not wait for the server.
	smallRequest = 8 << 10
	// largestAnswer bounds the body of one answer in bytes.
	largestAnswer = 16 << 20
	// keepAliveMargin is kept before the time at which a server closes an
	// unused link, for a request on its way.
	keepAliveMargin = 500 * time.Millisecond
)

// longAgo as a deadline ends reads and writes at once.
var longAgo = time.Unix(1, 0)

var errTooLarge = errors.New("answer is too large")

// requestBuffers holds the memory that requests are encoded in.
var requestBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// conn is one link to a server, used by one request at a time.
type conn struct {
	link.Link
	raw    net.Conn
	reader *bufio.Reader
	// broken is set when the bytes on the link can't be told apart any more,
	// or the server closes it.
	broken bool
	// staleAt is when the server closes the link if it stays unused; zero if it
	// did not say.
	staleAt time.Time
	// api is the client of the product's own protocol; nil until used.
	api *backendapi.Client
}

// countingConn keeps the state of its link.
type countingConn struct {
	net.Conn
	link *link.Link
	pool *pool
}

// Read is of net.Conn.
func (cc *countingConn) Read(buffer []byte) (int, error) {
	count, err := cc.Conn.Read(buffer)
	if count > 0 {
		now := time.Now().UnixNano()
		cc.link.LastRead.Store(now)
		cc.pool.lastRead.Store(now)
	}
	return count, err
}

// Write is of net.Conn.
func (cc *countingConn) Write(buffer []byte) (int, error) {
	cc.link.LastWrite.Store(time.Now().UnixNano())
	count, err := cc.Conn.Write(buffer)
	cc.link.Written.Add(int64(count))
	return count, err
}

// isUnused reports whether no byte ever came on the link.
func (cn *conn) isUnused() bool {
	return cn.LastRead.Load() == 0
}

func (cn *conn) close() {
	_ = cn.raw.Close()
}

// client returns the client of the product's own protocol on this link.
func (cn *conn) client(address string) (*backendapi.Client, error) {
	if cn.api != nil {
		return cn.api, nil
	}
	api, err := backendapi.NewClient("http://"+address, backendapi.WithClient(cn))
	if err != nil {
		return nil, fmt.Errorf("make client of %s: %w", address, err)
	}
	cn.api = api
	return api, nil
}

// Do sends one request and reads its whole answer, so that the body of the
// answer never fails. It ends when the request's context does.
func (cn *conn) Do(rq *http.Request) (*http.Response, error) {
	ctx := rq.Context()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.raw.SetDeadline(longAgo) })
	rs, err := cn.exchange(rq)
	if !stop() {
		cn.broken = true
	}
	if err != nil {
		cn.broken = true
		return nil, err
	}
	return rs, nil
}

func (cn *conn) exchange(rq *http.Request) (*http.Response, error) {
	buffer := requestBuffers.Get().(*bytes.Buffer)
	defer requestBuffers.Put(buffer)
	buffer.Reset()
	if err := rq.Write(buffer); err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	if buffer.Len() <= smallRequest {
		if _, err := cn.raw.Write(buffer.Bytes()); err != nil {
			return nil, fmt.Errorf("send request: %w", err)
		}
		return cn.readAnswer(rq)
	}
	// The server may answer before it has read all of the request.
	written := make(chan error, 1)
	go func() {
		_, err := cn.raw.Write(buffer.Bytes())
		written <- err
	}()
	rs, err := cn.readAnswer(rq)
	select {
	case writeErr := <-written:
		cn.broken = cn.broken || writeErr != nil
	default:
		cn.broken = true
		_ = cn.raw.SetDeadline(longAgo)
		<-written
	}
	return rs, err
}

func (cn *conn) readAnswer(rq *http.Request) (*http.Response, error) {
	for {
		rs, err := http.ReadResponse(cn.reader, rq)
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if rs.StatusCode >= http.StatusOK {
			return rs, cn.readBody(rs)
		}
	}
}

func (cn *conn) readBody(rs *http.Response) error {
	var body []byte
	var err error
	switch {
	case rs.ContentLength > largestAnswer:
		err = errTooLarge
	case rs.ContentLength >= 0:
		body = make([]byte, rs.ContentLength)
		_, err = io.ReadFull(rs.Body, body)
	default:
		body, err = io.ReadAll(io.LimitReader(rs.Body, largestAnswer+1))
		if err == nil && len(body) > largestAnswer {
			err = errTooLarge
		}
	}
	if err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	// What follows a complete answer belongs to no request.
	cn.broken = cn.broken || rs.Close || cn.reader.Buffered() > 0
	cn.staleAt = staleAt(time.Now(), rs.Header.Get("Keep-Alive"))
	rs.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

// staleAt returns when a server that sent a Keep-Alive header closes the link;
// zero if the header names no timeout.
func staleAt(now time.Time, keepAlive string) time.Time {
	for field := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return now.Add(time.Duration(seconds)*time.Second - keepAliveMargin)
		}
	}
	return time.Time{}
}
