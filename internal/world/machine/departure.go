package machine

import "time"

// Departure is the news that a server said, in an answer to an entry VM, that it
// is leaving.
type Departure struct {
	Server string
	// StartedAt is the start of the server's process; zero if unknown. Processes
	// that started later are not leaving.
	StartedAt time.Time
}
