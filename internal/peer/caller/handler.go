// Package caller serves the caller API: it decodes requests, passes them to the
// request service and encodes the outcomes. It also has a client of that API.
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/jx"
	"github.com/ogen-go/ogen/ogenerrors"

	"daisystage.example/daisystage/internal/peer/callerhttp"
	"daisystage.example/daisystage/internal/query/request"
	"daisystage.example/daisystage/internal/wire/callerapi"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
	"daisystage.example/daisystage/internal/world/zone"
)

// Handler serves callers over HTTP and implements callerapi.Handler. Set the
// fields before Routes.
type Handler struct {
	Service *request.Service
	Zone    zone.Zone
	// Members returns all known entry VMs, including this one.
	Members func(now time.Time) []machine.EntryVM
	// EntriesTTL is how long callers may cache the list of entries.
	EntriesTTL time.Duration
	// MaxBody limits the body of a request, in bytes.
	MaxBody int64
	// Draining makes connections close after their next response.
	Draining atomic.Bool
}

// Routes returns the HTTP handler.
func (hd *Handler) Routes() (http.Handler, error) {
	routes, err := callerapi.NewServer(hd,
		callerapi.WithErrorHandler(writeError),
		callerapi.WithNotFound(func(rw http.ResponseWriter, _ *http.Request) {
			writeRefusal(rw, http.StatusNotFound, contract.NewRefusal(contract.Invalid, contract.CodeBadRequest, "there is no such path"))
		}),
		callerapi.WithMethodNotAllowed(func(rw http.ResponseWriter, _ *http.Request, allowed string) {
			writeRefusal(rw, http.StatusMethodNotAllowed, contract.NewRefusal(contract.Invalid, contract.CodeBadRequest, "the method must be %s", allowed))
		}))
	if err != nil {
		return nil, fmt.Errorf("caller routes: %w", err)
	}
	return http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		if hd.Draining.Load() {
			rw.Header().Set("Connection", "close")
		}
		callerhttp.LimitBody(rw, rq, hd.MaxBody)
		routes.ServeHTTP(rw, rq)
	}), nil
}

// ListEntries implements callerapi.Handler.
func (hd *Handler) ListEntries(_ context.Context, params callerapi.ListEntriesParams) (*callerapi.Entries, error) {
	now := time.Now()
	from := hd.Zone
	if requested, ok := params.Zone.Get(); ok && requested != from.Name {
		from = zone.Zone{Name: requested}
	}
	list := &callerapi.Entries{KeepForMs: hd.EntriesTTL.Milliseconds(), Entries: []callerapi.Entry{}}
	for _, vm := range machine.NearestReady(now, from, hd.Members(now)) {
		list.Entries = append(list.Entries, callerapi.Entry{Name: vm.Name, Zone: vm.Zone, Address: vm.CallerAddress})
	}
	return list, nil
}

// refusedWithReceipt is a refusal with the receipt of the request, which is nil
// if there is none.
type refusedWithReceipt struct {
	*contract.Refusal
	receipt *contract.Receipt
}

// RunQuery implements callerapi.Handler.
func (hd *Handler) RunQuery(ctx context.Context, rq *callerapi.QueryRequest, params callerapi.RunQueryParams) (*callerapi.Answer, error) {
	now := time.Now()
	reply, receipt, err := hd.Service.Run(ctx, now, request.Call{
		ID:       rq.RequestID,
		Team:     params.Team,
		Route:    params.Route,
		Query:    rq.Query,
		Deadline: time.Duration(rq.DeadlineMs.Or(0)) * time.Millisecond,
	})
	if err != nil {
		rf := (*contract.Refusal)(nil)
		if !errors.As(err, &rf) {
			rf = contract.NewRefusal(contract.Unknown, contract.CodeNoAnswer, "%v", err)
		}
		return nil, &refusedWithReceipt{Refusal: rf, receipt: receipt}
	}
	return encodeReply(rq, reply)
}

func encodeReply(rq *callerapi.QueryRequest, reply *request.Reply) (*callerapi.Answer, error) {
	receipt, err := json.Marshal(reply.Receipt)
	if err != nil {
		return nil, fmt.Errorf("encode receipt: %w", err)
	}
	an := &callerapi.Answer{
		RequestID: rq.RequestID,
		Outcome:   callerapi.AnswerOutcome(reply.Outcome),
		Coverage: callerapi.Coverage{
			Answered: reply.Coverage.Answered, Total: reply.Coverage.Total, Missing: reply.Coverage.Missing,
		},
		Snapshot: reply.Snapshot,
		Settings: callerapi.Settings{Path: reply.Setting.Path, Version: reply.Setting.Version, Hash: reply.Setting.Hash},
		Parts:    make([]callerapi.Part, len(reply.Parts)),
		Receipt:  receipt,
	}
	for i, pt := range reply.Parts {
		an.Parts[i] = callerapi.Part{Shard: pt.Shard, Body: jx.Raw(pt.Body)}
	}
	return an, nil
}

// NewError implements callerapi.Handler.
func (hd *Handler) NewError(_ context.Context, err error) *callerapi.RefusedStatusCode {
	rd := (*refusedWithReceipt)(nil)
	if !errors.As(err, &rd) {
		rd = &refusedWithReceipt{Refusal: contract.NewRefusal(contract.Unknown, contract.CodeNoAnswer, "%v", err)}
	}
	response := encodeRefusal(rd.Refusal)
	if rd.receipt != nil {
		response.RequestID = rd.receipt.RequestID
		// Encoding a receipt can't fail.
		response.Receipt, _ = json.Marshal(rd.receipt)
	}
	return &callerapi.RefusedStatusCode{StatusCode: statusOf(rd.Refusal), Response: response}
}

func encodeRefusal(rf *contract.Refusal) callerapi.Refusal {
	return callerapi.Refusal{
		Outcome: callerapi.RefusalOutcome(rf.Outcome),
		Code:    string(rf.Code),
		Reason:  rf.Reason,
	}
}

// statusOf returns the HTTP status of a refusal.
func statusOf(rf *contract.Refusal) int {
	switch rf.Code {
	case contract.CodeNoRoute:
		return http.StatusNotFound
	case contract.CodeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case contract.CodeQueueFull:
		return http.StatusTooManyRequests
	}
	switch rf.Outcome {
	case contract.Invalid:
		return http.StatusBadRequest
	case contract.AlreadyRun:
		return http.StatusConflict
	case contract.NotRun:
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}

// writeError responds to requests that could not be decoded.
func writeError(_ context.Context, rw http.ResponseWriter, _ *http.Request, err error) {
	if large := (*http.MaxBytesError)(nil); errors.As(err, &large) {
		writeRefusal(rw, http.StatusRequestEntityTooLarge,
			contract.NewRefusal(contract.Invalid, contract.CodeBodyTooLarge, "the body is larger than %d bytes", large.Limit))
		return
	}
	status := ogenerrors.ErrorCode(err)
	if status >= http.StatusInternalServerError {
		// The response failed while it was written; nothing can be added to it.
		return
	}
	writeRefusal(rw, status, contract.NewRefusal(contract.Invalid, contract.CodeBadRequest, "the request can't be read: %v", err))
}

func writeRefusal(rw http.ResponseWriter, status int, rf *contract.Refusal) {
	response := encodeRefusal(rf)
	text, _ := response.MarshalJSON()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(text)
}
