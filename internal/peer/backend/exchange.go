package backend

import (
	"context"
	"io"
	"net/http"
	"time"

	"daisystage.example/daisystage/internal/query/scatter"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
)

// Message is what an Exchanger sends: it knows its limits.
type Message interface {
	Limits() scatter.Bounds
}

// Load is what a server says of its own work.
type Load struct {
	Running, Waiting, Slots int
}

// Verdict is what an answer says beside its content.
type Verdict struct {
	// Err is nil for a good answer.
	Err *contract.PartError
	// Load is nil if the server did not tell it.
	Load *Load
}

// Codec turns messages into requests, and responses into answers. It decides
// nothing.
type Codec[M Message, A any] interface {
	Encode(ctx context.Context, now time.Time, sv *machine.Server, message M) (*http.Request, error)
	// Decode tells what an answer says. One that belongs to another message is
	// contract.CauseMismatched.
	Decode(sv *machine.Server, message M, rs *http.Response, body []byte) (A, Verdict)
	// Health returns the request of a health check, and IsHealthy judges the
	// answer.
	Health(ctx context.Context, sv *machine.Server) (*http.Request, error)
	IsHealthy(sv *machine.Server, rs *http.Response) bool
}

// Exchanger sends messages in the encoding of a codec over a client's links. It
// is a scatter.Sender.
type Exchanger[M Message, A any, C Codec[M, A]] struct {
	Client *Client
	Codec  C
}

// Send carries one message to a server.
func (ex *Exchanger[M, A, C]) Send(ctx context.Context, sv *machine.Server, message M) (A, error) {
	var answer A
	err := ex.Client.onLink(ctx, sv, message.Limits(), ex.probe, func(ctx context.Context, cn *conn) error {
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
	rs, err := cn.Do(rq)
	if err != nil {
		return none, err
	}
	body, err := io.ReadAll(rs.Body)
	if err != nil {
		return none, err
	}
	answer, verdict := ex.Codec.Decode(sv, message, rs, body)
	now := time.Now()
	if verdict.Load != nil {
		sv.State.Reported(now, verdict.Load.Running+verdict.Load.Waiting)
	}
	if verdict.Err == nil {
		return answer, nil
	}
	if verdict.Err.Cause == contract.CauseMismatched {
		return answer, ex.Client.mismatched(cn, verdict.Err.Err)
	}
	return answer, verdict.Err
}

// probe asks for the health of a server on a fresh link.
func (ex *Exchanger[M, A, C]) probe(ctx context.Context, sv *machine.Server, cn *conn) error {
	rq, err := ex.Codec.Health(ctx, sv)
	if err != nil {
		return err
	}
	rs, err := cn.Do(rq)
	if err != nil {
		return err
	}
	if !ex.Codec.IsHealthy(sv, rs) {
		return &contract.PartError{Cause: contract.CauseServerError}
	}
	return nil
}
