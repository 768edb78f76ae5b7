package callerhttp

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEmptyLinesBeforeHeadAreSkipped guards against a request that is refused since its caller
// ended the body before it with a line end that is not part of it.
func TestEmptyLinesBeforeHeadAreSkipped(t *testing.T) {
	const post, get = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab", "GET /y HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, gap := range []string{"\r\n", "\n", "\r\n\r\n"} {
		text := gap + post + gap + get + gap + get
		for _, piece := range []int{1, 3, 64, len(text)} {
			gd, ls := guarded(t, testMemory, 10, echo)
			cn, reader := dialTo(t, ls)
			for rest := text; rest != ""; rest = rest[min(piece, len(rest)):] {
				_, err := io.WriteString(cn, rest[:min(piece, len(rest))])
				assert.NilError(t, err)
				if piece == 1 {
					time.Sleep(time.Millisecond)
				}
			}
			for _, want := range []string{"/x ab", "/y ", "/y "} {
				status, body, err := answerOf(reader)
				assert.NilError(t, err, "%q in pieces of %d", gap, piece)
				assert.Equal(t, status, http.StatusOK, "%q in pieces of %d", gap, piece)
				assert.Equal(t, body, want)
			}
			waitFor(t, "all memory is given back", func() bool { return gd.Leased() == 0 })
		}
	}
}

// TestManyEmptyLinesAreRefused guards against a caller that sends nothing but line ends and is
// read from for as long as it likes.
func TestManyEmptyLinesAreRefused(t *testing.T) {
	_, ls := guarded(t, testMemory, 10, echo)
	cn, reader := dialTo(t, ls)
	_, err := io.WriteString(cn, strings.Repeat("\r\n", 100))
	assert.NilError(t, err)
	status, _, err := answerOf(reader)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusBadRequest)
}

// TestGoneCallerIsSeenBehindEmptyLine guards against a request that goes on after its caller has
// closed the connection, since an empty line follows the request.
func TestGoneCallerIsSeenBehindEmptyLine(t *testing.T) {
	ended := make(chan struct{})
	_, ls := guarded(t, testMemory, 10, http.HandlerFunc(func(_ http.ResponseWriter, rq *http.Request) {
		_, _ = io.Copy(io.Discard, rq.Body)
		<-rq.Context().Done()
		close(ended)
	}))
	cn, _ := dialTo(t, ls)
	_, err := io.WriteString(cn, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab\r\n")
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, cn.Close())
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the request goes on")
	}
}
