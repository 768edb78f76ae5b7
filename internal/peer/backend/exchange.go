package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"daisystage.example/daisystage/internal/container/quota"
	"daisystage.example/daisystage/internal/query/scatter"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
)

// maxSkipped is the number of answers to other requests that one request skips.
const maxSkipped = 4

// Message is a request that an Exchanger can send.
type Message interface {
	// Limits returns the deadline and the retry properties of the message.
	Limits() scatter.AttemptLimits
}

// Load is the work that a server reports: requests that run, requests that
// wait, and the number that it can run at once.
type Load struct {
	Running, Waiting, Slots int
	// Percent is how long work takes on the server's machine now, in percent of the
	// usual; 0 if the server does not report it.
	Percent int
}

// AnswerStatus holds the error and the load report that an answer carries
// beside its content.
type AnswerStatus struct {
	// Err is nil for a good answer.
	Err *contract.PartError
	// Load is nil if the answer does not report it.
	Load *Load
	// Foreign is set if the answer names another message.
	Foreign bool
	// Unnamed is set if the answer does not name the message that it belongs to.
	Unnamed bool
}

// Notices is what a server says about itself in the head of any answer.
type Notices struct {
	// Leaving is set if the server is leaving.
	Leaving bool
	// BackOff is how long the server wants no requests from this process; 0 if it
	// did not say.
	BackOff time.Duration
	// SaysWarmUp is set if the server says how long it stays cold, WarmUp; 0 if it is
	// not cold.
	SaysWarmUp bool
	WarmUp     time.Duration
}

// Codec encodes messages as HTTP requests and decodes responses. Retries,
// timeouts and connections are left to the Exchanger and its Client.
type Codec[M Message, A any] interface {
	// Encode returns the request for a message. If its RequestURI is set, that is sent as
	// its target in place of the URL.
	Encode(ctx context.Context, now time.Time, sv *machine.Server, message M) (*http.Request, error)
	// Decode decodes an answer. For an answer that belongs to another message,
	// the error has the cause contract.CauseMismatched.
	Decode(sv *machine.Server, message M, rs *http.Response, body []byte) (A, AnswerStatus)
	// Notices returns what an answer, also to a health check, says about the
	// server.
	Notices(rs *http.Response) Notices
	// Health returns the request of a health check, and IsHealthy reports
	// whether the response to it is that of a healthy server.
	Health(ctx context.Context, sv *machine.Server) (*http.Request, error)
	IsHealthy(sv *machine.Server, rs *http.Response) bool
}

// Exchanger sends messages, encoded by a codec, over a client's connections. It
// implements scatter.Sender.
type Exchanger[M Message, A any, C Codec[M, A]] struct {
	Client *Client
	Codec  C
}

// Send sends one message to a server and returns its answer. Errors are of type
// *contract.PartError.
func (ex *Exchanger[M, A, C]) Send(ctx context.Context, sv *machine.Server, message M) (A, error) {
	var answer A
	err := ex.Client.withConn(ctx, sv, message.Limits(), ex.checkHealth, func(ctx context.Context, cn *conn) error {
		var err error
		answer, err = ex.exchange(ctx, sv, cn, message)
		return err
	})
	return answer, err
}

func (ex *Exchanger[M, A, C]) exchange(ctx context.Context, sv *machine.Server, cn *conn, message M) (A, error) {
	var none A
	rq, err := ex.Codec.Encode(ctx, time.Now(), sv, message)
	if err != nil {
		return none, &contract.PartError{Cause: contract.CauseServerError, NotRun: true, Err: err}
	}
	limits := message.Limits()
	cn.memory, cn.maySend = limits.Memory, limits.MaySend
	defer func() { cn.memory, cn.maySend = nil, nil }()
	rs, err := cn.Do(rq)
	for skipped := 0; ; skipped++ {
		switch {
		case errors.Is(err, errNoAnswer):
			return none, ex.Client.discardMismatched(cn, err)
		case errors.Is(err, quota.ErrExhausted):
			return none, &contract.PartError{Cause: contract.CauseNoMemory, Err: err}
		case err != nil:
			return none, err
		}
		answer, status, decodeErr := ex.decode(sv, cn, message, rs)
		if decodeErr != nil {
			return none, decodeErr
		}
		// A request that may run again is rather sent once more.
		if !status.Foreign || limits.Idempotent || cn.broken || skipped == maxSkipped {
			return answer, ex.errorOf(cn, status)
		}
		ex.Client.Mismatches.Add(1)
		rs, err = cn.ReadNext(rq)
	}
}

// decode decodes an answer, and records what it says about the server.
func (ex *Exchanger[M, A, C]) decode(sv *machine.Server, cn *conn, message M, rs *http.Response) (A, AnswerStatus, error) {
	body, err := io.ReadAll(rs.Body)
	if err != nil {
		var none A
		return none, AnswerStatus{}, fmt.Errorf("read answer: %w", err)
	}
	answer, status := ex.Codec.Decode(sv, message, rs, body)
	cn.unnamed = cn.unnamed || status.Unnamed
	now := time.Now()
	ex.Client.recordNotices(now, sv, ex.Codec.Notices(rs))
	if status.Load != nil {
		sv.State.RecordLoad(now, status.Load.Running+status.Load.Waiting)
		sv.State.RecordPercent(now, status.Load.Percent)
	}
	return answer, status, nil
}

// errorOf returns the error of an answer; nil for a good one.
func (ex *Exchanger[M, A, C]) errorOf(cn *conn, status AnswerStatus) error {
	switch {
	case status.Err == nil:
		return nil
	case status.Err.Cause == contract.CauseMismatched:
		return ex.Client.discardMismatched(cn, status.Err.Err)
	}
	return status.Err
}

// checkHealth checks the health of a server over a new connection.
func (ex *Exchanger[M, A, C]) checkHealth(ctx context.Context, sv *machine.Server, cn *conn) error {
	rq, err := ex.Codec.Health(ctx, sv)
	if err != nil {
		return err
	}
	rs, err := cn.Do(rq)
	if err != nil {
		return err
	}
	ex.Client.recordNotices(time.Now(), sv, ex.Codec.Notices(rs))
	if !ex.Codec.IsHealthy(sv, rs) {
		return &contract.PartError{Cause: contract.CauseServerError}
	}
	return nil
}
