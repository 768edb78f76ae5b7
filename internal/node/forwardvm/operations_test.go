package forwardvm

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestOperationsPageListsAllMetrics checks that docs/OPERATIONS.md names exactly
// the forward_ metrics that the code exports.
func TestOperationsPageListsAllMetrics(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	name := regexp.MustCompile(`"(forward_[a-z_]+)"`)
	var inCode []string
	for _, file := range []string{"observer.go", "rates.go", "state.go"} {
		source, err := os.ReadFile(file)
		assert.NilError(t, err)
		for _, match := range name.FindAllStringSubmatch(string(source), -1) {
			inCode = append(inCode, match[1])
			assert.Assert(t, strings.Contains(string(page), "`"+match[1]+"`"), "%s is not on the page", match[1])
		}
	}
	for _, match := range regexp.MustCompile("`(forward_[a-z_]+)`").FindAllStringSubmatch(string(page), -1) {
		assert.Assert(t, slices.Contains(inCode, match[1]), "%s is not in the code", match[1])
	}
}
