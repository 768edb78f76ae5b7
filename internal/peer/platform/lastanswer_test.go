package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/wire/platformapi"
)

func TestLastAnswerTellsFailuresApart(t *testing.T) {
	tests := []struct {
		err  error
		want string
	}{
		{nil, "ok"},
		{ErrCompacted, "gone"},
		{ErrOldEra, "old_era"},
		{fmt.Errorf("%w: %w", ErrRateLimited, context.DeadlineExceeded), "not_sent"},
		{StatusError{Status: 503}, "status_503"},
		{&platformapi.FailedStatusCode{StatusCode: 429}, "status_429"},
		{context.DeadlineExceeded, "timeout"},
		{&net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}, "timeout"},
		{&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}, "refused"},
		{&net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}, "reset"},
		{io.EOF, "reset"},
		{io.ErrUnexpectedEOF, "reset"},
		{errors.New("decode"), "failed"},
	}
	for _, tt := range tests {
		t.Run(tt.want, func(t *testing.T) {
			var la LastAnswer
			err := tt.err
			if err != nil {
				err = fmt.Errorf("list config: %w", err)
			}
			la.Record(time.Unix(1, 0), "config/", err)
			assert.Equal(t, la.Load().Last.String(), tt.want)
		})
	}
}

func TestLastAnswerKeepsTimesOfAnswers(t *testing.T) {
	at := func(seconds int64) time.Time { return time.Unix(seconds, 0) }
	var la LastAnswer
	assert.Equal(t, la.Load().Last.Kind, AnswerNone)
	la.Record(at(1), "config/", nil)
	la.Record(at(2), "servers/", nil)
	la.Record(at(3), "config/", ErrCompacted)
	assert.Equal(t, la.Load(), StoreHistory{Last: StoreAnswer{Kind: AnswerGone, Prefix: "config/", At: at(3)}, OKAt: at(2), OKBefore: at(1)})
	la.Record(at(7), "config/", nil)
	assert.Equal(t, la.Load(), StoreHistory{Last: StoreAnswer{Kind: AnswerOK, Prefix: "config/", At: at(7)}, OKAt: at(7), OKBefore: at(2)})
}
