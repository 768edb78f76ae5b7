package forward

import (
	"time"

	"daisystage.example/daisystage/internal/world/contract"
)

const (
	// comeBackStarting is when callers may return to a process that has no
	// configuration yet: it asks for one several times a second.
	comeBackStarting = 300 * time.Millisecond
	// comeBackBusy is when callers may return after no server took a request:
	// about the time of one answer.
	comeBackBusy = 50 * time.Millisecond
)

// ComeBack returns how long a caller should wait before it sends a request again
// that was refused and did not run.
func ComeBack(rf *contract.Refusal) time.Duration {
	if rf.Code == contract.CodeStarting {
		return comeBackStarting
	}
	return comeBackBusy
}
