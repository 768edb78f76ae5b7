package forward

import (
	"time"

	"daisystage.example/daisystage/internal/world/contract"
)

const (
	// retryAfterStarting is the delay for a process that has no configuration yet.
	// The process requests one several times a second.
	retryAfterStarting = 300 * time.Millisecond
	// retryAfterBusy is the delay when no server accepted the request: about the
	// time that one answer takes.
	retryAfterBusy = 50 * time.Millisecond
)

// RetryAfter returns how long a caller should wait before it resends a request
// that was refused and did not run.
func RetryAfter(rf *contract.Refusal) time.Duration {
	if rf.RetryAfter > 0 {
		return rf.RetryAfter
	}
	if rf.Code == contract.CodeStarting {
		return retryAfterStarting
	}
	return retryAfterBusy
}
