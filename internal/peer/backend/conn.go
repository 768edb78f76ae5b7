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

	"daisystage.example/daisystage/internal/container/quota"
	"daisystage.example/daisystage/internal/query/scatter"
	"daisystage.example/daisystage/internal/wire/backendapi"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/link"
)

const (
	// readBufferSize is the size of a connection's read buffer in bytes. Most
	// answers fit into it.
	readBufferSize = 2 << 10
	// smallRequestSize is the size in bytes up to which a request fits into the
	// socket buffers, so that a write does not block until the server reads.
	smallRequestSize = 8 << 10
	// maxAnswerSize limits the body of one answer, in bytes.
	maxAnswerSize = 4 << 20
	// maxHeadSize limits the head of one answer, in bytes, together with the
	// informational answers before it.
	maxHeadSize = 64 << 10
	// maxFramingSize and framingDivisor limit the bytes of one answer that are
	// neither head nor body, such as chunk sizes and trailers: a constant plus a
	// share of the body.
	maxFramingSize = 64 << 10
	framingDivisor = 4
	// keepAliveMargin is how long before the server's keep-alive timeout an idle
	// connection stops being used, so that the server does not close it while a
	// request is in transit.
	keepAliveMargin = 500 * time.Millisecond
)

// expiredDeadline is a deadline in the past. Setting it makes pending reads and
// writes return at once.
var expiredDeadline = time.Unix(1, 0)

// errNoAnswer is returned for bytes that are no answer, or do not end within the
// bounds of one.
var errNoAnswer = errors.New("the bytes are no answer")

// requestBuffers holds the buffers into which requests are encoded.
var requestBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// conn is one connection to a server, used by one request at a time.
type conn struct {
	link.Link
	raw    net.Conn
	reader *bufio.Reader
	// broken is set when the connection can't be reused: the boundary between
	// answers is lost, or the server closes the connection.
	broken bool
	// trailing is set if bytes follow the last answer that was read. They belong to no
	// request, unless another answer is expected.
	trailing bool
	// unnamed is set when an answer on the connection did not name its request. A late
	// copy of it can't be told from the answer to a later request.
	unnamed bool
	// staleAt is when the connection has been idle for too long to be reused,
	// by the server's Keep-Alive header; zero if there was none.
	staleAt time.Time
	// readable is the number of bytes that may still be read for the current
	// answer.
	readable int64
	// memory bounds the bodies of the answers of one request; nil sets no bound.
	memory *quota.Lease
	// maySend reports whether the request may be written; nil permits it.
	maySend func() bool
	// api is the client of the native protocol; nil until first used.
	api *backendapi.Client
}

// trackedConn records the times of reads and writes, and the bytes written, in
// its link and pool.
type trackedConn struct {
	net.Conn
	link *link.Link
	pool *pool
	// conn is the owner, whose readable bounds the reads.
	conn *conn
}

// Read implements net.Conn.
func (cc *trackedConn) Read(buffer []byte) (int, error) {
	if cc.conn.readable <= 0 {
		return 0, errNoAnswer
	}
	count, err := cc.Conn.Read(buffer[:min(int64(len(buffer)), cc.conn.readable)])
	cc.conn.readable -= int64(count)
	if count > 0 {
		now := time.Now().UnixNano()
		cc.link.LastRead.Store(now)
		cc.pool.lastRead.Store(now)
	}
	return count, err
}

// Write implements net.Conn.
func (cc *trackedConn) Write(buffer []byte) (int, error) {
	cc.link.LastWrite.Store(time.Now().UnixNano())
	count, err := cc.Conn.Write(buffer)
	cc.link.Written.Add(int64(count))
	return count, err
}

// neverRead reports whether no byte has ever been received on the connection.
func (cn *conn) neverRead() bool {
	return cn.LastRead.Load() == 0
}

// suits reports whether an answer on the connection can be told from late copies of
// earlier ones, as far as a request needs that. One that may run again needs not tell
// rejections of other requests apart.
func (cn *conn) suits(limits scatter.AttemptLimits) bool {
	if cn.unnamed && !limits.Idempotent {
		return false
	}
	return limits.Trail == nil || !limits.Trail.Has(&cn.Link)
}

func (cn *conn) close() {
	_ = cn.raw.Close()
}

// client returns the client of the native protocol on this connection.
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

// Do sends one request and reads the whole answer, so that later reads of its
// body do not fail. It returns an error as soon as the request's context is done.
func (cn *conn) Do(rq *http.Request) (*http.Response, error) {
	return cn.whileWanted(rq, cn.exchange)
}

// ReadNext reads one more whole answer, in place of one that belongs to another request.
func (cn *conn) ReadNext(rq *http.Request) (*http.Response, error) {
	return cn.whileWanted(rq, cn.readAnswer)
}

// whileWanted calls do, and breaks the connection if the request's context ends meanwhile.
func (cn *conn) whileWanted(rq *http.Request, do func(*http.Request) (*http.Response, error)) (*http.Response, error) {
	ctx := rq.Context()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.raw.SetDeadline(expiredDeadline) })
	rs, err := do(rq)
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
	if err := writeRequest(buffer, rq); err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	// Nothing that takes time may come between this check and the write.
	if cn.maySend != nil && !cn.maySend() {
		return nil, &contract.PartError{Cause: contract.CauseWithheld, NotRun: true}
	}
	if buffer.Len() <= smallRequestSize {
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
		_ = cn.raw.SetDeadline(expiredDeadline)
		<-written
	}
	return rs, err
}

// writeRequest encodes a request, with its RequestURI as target if that is set.
func writeRequest(to *bytes.Buffer, rq *http.Request) error {
	if rq.RequestURI == "" {
		return rq.Write(to)
	}
	_, _ = fmt.Fprintf(to, "%s %s HTTP/1.1\r\n", rq.Method, rq.RequestURI)
	return rq.Write(&restWriter{to: to})
}

// restWriter leaves out the first line of what it writes.
type restWriter struct {
	to      *bytes.Buffer
	isBegun bool
}

// Write implements io.Writer.
func (rw *restWriter) Write(part []byte) (int, error) {
	rest := part
	if !rw.isBegun {
		if _, rest, rw.isBegun = bytes.Cut(part, []byte("\n")); !rw.isBegun {
			return len(part), nil
		}
	}
	_, _ = rw.to.Write(rest)
	return len(part), nil
}

func (cn *conn) readAnswer(rq *http.Request) (*http.Response, error) {
	cn.readable = maxHeadSize
	for {
		rs, err := http.ReadResponse(cn.reader, rq)
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", asNoAnswer(err))
		}
		switch {
		case !isStatus(rs.StatusCode):
			return nil, fmt.Errorf("read answer: %w: status %03d", errNoAnswer, rs.StatusCode)
		case rs.StatusCode >= http.StatusOK:
			return rs, cn.readBody(rs)
		}
	}
}

// isStatus reports whether an answer may have a status. No request asks to switch protocols.
func isStatus(status int) bool {
	return status >= http.StatusContinue && status < 600 && status != http.StatusSwitchingProtocols
}

func (cn *conn) readBody(rs *http.Response) error {
	body, err := quota.ReadAll(&bodyReader{conn: cn, body: rs.Body, framing: maxFramingSize}, rs.ContentLength, maxAnswerSize, cn.memory)
	if err != nil {
		return fmt.Errorf("read body: %w", asNoAnswer(err))
	}
	cn.broken = cn.broken || rs.Close
	cn.trailing = cn.reader.Buffered() > 0
	cn.staleAt = staleAt(time.Now(), rs.Header.Get("Keep-Alive"))
	rs.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

// bodyReader reads the body of an answer. It bounds the bytes beside the content,
// such as the sizes of chunks.
type bodyReader struct {
	conn *conn
	body io.Reader
	// framing is the number of bytes beside the content that may still be read.
	framing int64
}

// Read implements io.Reader.
func (br *bodyReader) Read(buffer []byte) (int, error) {
	before := br.framing + int64(len(buffer))
	br.conn.readable = before
	count, err := br.body.Read(buffer)
	br.framing += int64(count) + int64(count)/framingDivisor - (before - br.conn.readable)
	return count, err
}

// asNoAnswer returns an error of reading an answer, as errNoAnswer if the server
// sent bytes that are no answer. Other errors are those of the connection, and
// quota.ErrExhausted.
func asNoAnswer(err error) error {
	netError := net.Error(nil)
	switch {
	case errors.Is(err, errNoAnswer), errors.Is(err, quota.ErrExhausted):
		return err
	case errors.As(err, &netError), errors.Is(err, net.ErrClosed), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return err
	}
	return errors.Join(errNoAnswer, err)
}

// staleAt returns the time until which an idle connection may be reused, by the
// timeout in the server's Keep-Alive header less keepAliveMargin; zero if the
// header has no timeout.
func staleAt(now time.Time, keepAlive string) time.Time {
	for field := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.ParseUint(value, 10, 31); err == nil && strings.EqualFold(name, "timeout") {
			return now.Add(time.Duration(seconds)*time.Second - keepAliveMargin)
		}
	}
	return time.Time{}
}
