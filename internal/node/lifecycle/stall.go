package lifecycle

import (
	"time"

	"golang.org/x/sys/unix"
)

// Stall is a time in which a process made no progress.
type Stall struct {
	// For is how much later than due a periodic task ran.
	For time.Duration
	// CPU is the processor time that the process used meanwhile. Little of it means that the
	// process was held up from outside: it was stopped, or its VM or the host stood still.
	CPU time.Duration
}

// StallDetector finds stalls from the times at which a periodic task runs. The zero value
// is ready for use by one goroutine.
type StallDetector struct {
	lastAt  time.Time
	lastCPU time.Duration
}

// stallThreshold is the delay from which a stall is reported. Shorter ones are usual on a
// busy machine.
const stallThreshold = 500 * time.Millisecond

// Observe records that the task ran, and that the process has used cpu so far. It reports
// a stall if the task runs more than stallThreshold later than interval after its last run.
func (sd *StallDetector) Observe(now time.Time, cpu, interval time.Duration) (Stall, bool) {
	st := Stall{For: now.Sub(sd.lastAt) - interval, CPU: cpu - sd.lastCPU}
	isFirst := sd.lastAt.IsZero()
	sd.lastAt, sd.lastCPU = now, cpu
	return st, !isFirst && st.For > stallThreshold
}

// CPUTime returns the processor time that this process has used; 0 if it is unknown.
func CPUTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
