package events

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEventsMatchDocumentation checks that docs/EVENTS.md has exactly one row for
// each event, and that the numbers of All are in ascending order.
func TestEventsMatchDocumentation(t *testing.T) {
	text, err := os.ReadFile("../../../docs/EVENTS.md")
	assert.NilError(t, err)
	rows := 0
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "| ") && len(line) > 5 && line[2] >= '1' && line[2] <= '9' {
			rows++
		}
	}
	assert.Equal(t, rows, len(All()))
	last := 0
	for _, ev := range All() {
		want := fmt.Sprintf("| %d | `%s` | %s |", ev.Number, ev.Name, ev.Level)
		assert.Assert(t, strings.Contains(string(text), want), "docs/EVENTS.md lacks %q", want)
		assert.Assert(t, ev.Number > last, "number %d is not in order", ev.Number)
		last = ev.Number
	}
}
