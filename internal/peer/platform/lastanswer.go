package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"daisystage.example/daisystage/internal/wire/platformapi"
)

// AnswerKind says how a call to the store ended.
type AnswerKind string

// The kinds of ends of a call. A call that its caller gave up has none.
const (
	// AnswerNone means that no call has ended yet.
	AnswerNone AnswerKind = "none"
	AnswerOK   AnswerKind = "ok"
	// AnswerGone means that the store no longer has the changes since a version.
	AnswerGone AnswerKind = "gone"
	// AnswerOldEra means that the answer is from before a restore of the store.
	AnswerOldEra AnswerKind = "old_era"
	// AnswerStatus means that StoreAnswer.Status says how the call failed.
	AnswerStatus  AnswerKind = "status"
	AnswerTimeout AnswerKind = "timeout"
	// AnswerReset means that the connection ended before the answer did.
	AnswerReset   AnswerKind = "reset"
	AnswerRefused AnswerKind = "refused"
	// AnswerNotSent means that the limit on calls kept the call from being sent.
	AnswerNotSent AnswerKind = "not_sent"
	// AnswerFailed is any other failure, such as an answer that can't be read.
	AnswerFailed AnswerKind = "failed"
)

// StoreAnswer is how one call to the store ended.
type StoreAnswer struct {
	Kind AnswerKind
	// Status is the status of the answer if Kind is AnswerStatus, else 0.
	Status int
	// Prefix is that of the objects that were asked for.
	Prefix string
	// At is when the call ended.
	At time.Time
}

// String returns the kind, with the status if there is one.
func (sa StoreAnswer) String() string {
	if sa.Kind == AnswerStatus {
		return fmt.Sprintf("%s_%d", sa.Kind, sa.Status)
	}
	return string(sa.Kind)
}

// StoreHistory is how the last calls of a process to the store ended.
type StoreHistory struct {
	// Last is the end of the last call.
	Last StoreAnswer
	// OKAt is when a call was last answered, OKBefore when one was answered before that;
	// zero if there was none.
	OKAt, OKBefore time.Time
}

// LastAnswer records how the last calls of a process to the store ended. The zero value
// knows of no call. Its methods may be called by any number of goroutines, and take no
// lock.
type LastAnswer struct {
	history atomic.Pointer[StoreHistory]
}

// Record records the end of a call for a prefix; err is nil if it was answered.
func (la *LastAnswer) Record(now time.Time, prefix string, err error) {
	answer := StoreAnswer{Prefix: prefix, At: now}
	answer.Kind, answer.Status = answerKindOf(err)
	for {
		old := la.history.Load()
		next := StoreHistory{Last: answer}
		if old != nil {
			next.OKAt, next.OKBefore = old.OKAt, old.OKBefore
		}
		if err == nil {
			next.OKAt, next.OKBefore = now, next.OKAt
		}
		if la.history.CompareAndSwap(old, &next) {
			return
		}
	}
}

// Load returns what is recorded.
func (la *LastAnswer) Load() StoreHistory {
	if history := la.history.Load(); history != nil {
		return *history
	}
	return StoreHistory{Last: StoreAnswer{Kind: AnswerNone}}
}

// StatusError is the error for an answer whose status is none that a Reader expects.
type StatusError struct{ Status int }

// Error implements error.
func (se StatusError) Error() string {
	return fmt.Sprintf("unexpected status from the store: %d", se.Status)
}

// answerKindOf returns how a call with an error ended, and the status of the answer if it
// says how.
func answerKindOf(err error) (AnswerKind, int) {
	var se StatusError
	failed, timeout := (*platformapi.FailedStatusCode)(nil), net.Error(nil)
	switch {
	case err == nil:
		return AnswerOK, 0
	case errors.Is(err, ErrCompacted):
		return AnswerGone, 0
	case errors.Is(err, ErrOldEra):
		return AnswerOldEra, 0
	case errors.Is(err, ErrRateLimited):
		return AnswerNotSent, 0
	case errors.As(err, &se):
		return AnswerStatus, se.Status
	case errors.As(err, &failed):
		return AnswerStatus, failed.StatusCode
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return AnswerTimeout, 0
	case errors.Is(err, syscall.ECONNREFUSED):
		return AnswerRefused, 0
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return AnswerReset, 0
	}
	return AnswerFailed, 0
}
