package callerhttp

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	testMemory = 12 << 20
	testHead   = 16 << 10
)

// guarded starts a server that answers with the length of the body, behind a guard.
func guarded(t testing.TB, memory int64, maxConns int, handler http.Handler) (*Guard, *Listener) {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	gd := NewGuard(memory)
	gd.SetLimits(Limits{HeadBytes: testHead, HeadTimeout: time.Second, FanOut: 1})
	hs := &http.Server{Handler: handler, ReadHeaderTimeout: headTimeout}
	ls := gd.Listen(raw, hs, maxConns)
	go func() { _ = hs.Serve(ls) }()
	t.Cleanup(func() { _ = hs.Close() })
	return gd, ls
}

// echo answers with the path, the number of header values and the body.
var echo = http.HandlerFunc(func(w http.ResponseWriter, rq *http.Request) {
	body, _ := io.ReadAll(rq.Body)
	values := 0
	for _, vv := range rq.Header {
		values += len(vv)
	}
	w.Header().Set("Lines", fmt.Sprint(values))
	fmt.Fprintf(w, "%s %s", rq.URL.Path, body)
})

func dialTo(t testing.TB, ls *Listener) (net.Conn, *bufio.Reader) {
	t.Helper()
	cn, err := net.Dial("tcp", ls.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = cn.Close() })
	return cn, bufio.NewReader(cn)
}

// answerOf reads an answer and returns its status and body, or an error.
func answerOf(reader *bufio.Reader) (int, string, error) {
	rs, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = rs.Body.Close() }()
	body, err := io.ReadAll(rs.Body)
	return rs.StatusCode, string(body), err
}

// waitFor waits until a condition holds.
func waitFor(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), what)
	}
}

// TestLegalHeadIsServed guards against limits that refuse a head within the configured
// one, whatever its lines look like, while nothing else needs memory.
func TestLegalHeadIsServed(t *testing.T) {
	begin := "GET /x HTTP/1.1\nHost: h\n"
	heads := map[string]string{
		"continued lines of 2 bytes": begin + "a: b\n" + strings.Repeat(" \n", (testHead-100)/2) + "\n",
		"lines of 3 bytes":           begin + strings.Repeat("a:\n", (testHead-100)/3) + "\n",
		"lines of 5 bytes":           begin + distinctLines(testHead-100) + "\n",
		"one long line":              begin + "a: " + strings.Repeat("b", testHead-100) + "\n\n",
		"a long path":                "GET /x?" + strings.Repeat("b", testHead-100) + " HTTP/1.1\r\nHost: h\r\n\r\n",
	}
	for _, memory := range []int64{testMemory, 1 << 20} {
		for name, head := range heads {
			t.Run(fmt.Sprint(name, memory), func(t *testing.T) {
				gd, ls := guarded(t, memory, 10, echo)
				cn, reader := dialTo(t, ls)
				// Heads in pieces and in one, on a connection that is kept.
				for _, piece := range []int{len(head), 1000, 4096} {
					for rest := []byte(head); len(rest) > 0; rest = rest[min(piece, len(rest)):] {
						_, err := cn.Write(rest[:min(piece, len(rest))])
						assert.NilError(t, err)
					}
					status, body, err := answerOf(reader)
					assert.NilError(t, err)
					assert.Equal(t, status, http.StatusOK)
					assert.Equal(t, body, "/x ")
				}
				waitFor(t, "all memory is given back", func() bool { return gd.Leased() == 0 })
			})
		}
	}
}

func distinctLines(size int) string {
	var lines strings.Builder
	for at := 0; lines.Len() < size-8; at++ {
		fmt.Fprintf(&lines, "%03x:\n", at)
	}
	return lines.String()
}

// TestHeadOverTheLimit guards against heads that are served although they are larger
// than the configuration allows.
func TestHeadOverTheLimit(t *testing.T) {
	gd, ls := guarded(t, testMemory, 10, echo)
	for at, lines := range []string{strings.Repeat("a:\n", 10000), "a: " + strings.Repeat("b", 3*testHead)} {
		for _, end := range []string{"\n\n", ""} {
			cn, reader := dialTo(t, ls)
			fmt.Fprintf(cn, "GET /x HTTP/1.1\nHost: h\n%s%s", lines, end)
			status, _, err := answerOf(reader)
			assert.NilError(t, err, at)
			assert.Equal(t, status, http.StatusRequestHeaderFieldsTooLarge)
		}
	}
	assert.Equal(t, gd.Refused(HeadTooLarge), int64(4))
	waitFor(t, "all memory is given back", func() bool { return gd.Leased() == 0 })
}

// TestUnfinishedHeadsAreDroppedFirst fills the memory with unfinished heads. It guards
// against a request that is refused while those hold memory, and against dropping smaller
// ones first.
func TestUnfinishedHeadsAreDroppedFirst(t *testing.T) {
	const memory = 400 << 10
	gd, ls := guarded(t, memory, 100, echo)
	gd.SetLimits(Limits{HeadBytes: testHead, HeadTimeout: time.Hour, FanOut: 1})
	small, _ := dialTo(t, ls)
	fmt.Fprintf(small, "GET /x HTTP/1.1\nHost: h\na: %s", strings.Repeat("b", 5000))
	for at := range 30 {
		cn, _ := dialTo(t, ls)
		fmt.Fprintf(cn, "GET /x HTTP/1.1\nHost: h\na: %s", strings.Repeat("b", testHead-100))
		waitFor(t, "the head is held", func() bool { return countHeld(ls, testHead)+gd.Refused(UnfinishedDropped) == int64(at+1) })
	}
	assert.Assert(t, gd.Refused(UnfinishedDropped) > 0)
	assert.Assert(t, gd.Leased() <= memory*3/4)
	cn, reader := dialTo(t, ls)
	fmt.Fprintf(cn, "GET /x HTTP/1.1\nHost: h\n%s\n", distinctLines(2500))
	status, _, err := answerOf(reader)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	fmt.Fprint(small, "\n\n")
	status, _, err = answerOf(bufio.NewReader(small))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
}

// countHeld returns the number of connections that lease a number of bytes for an
// unfinished head.
func countHeld(ls *Listener, bytes int64) int64 {
	count := int64(0)
	for key := range ls.conns.Range {
		if key.(*conn).unfinished.Load() == bytes {
			count++
		}
	}
	return count
}

// TestRefusedForMemoryDidNotRun holds all memory with requests that are being answered.
// It guards against a 503 for a request that reached the handler, and against a large head
// that takes what is kept for ordinary requests.
func TestRefusedForMemoryDidNotRun(t *testing.T) {
	release := make(chan struct{})
	started := make(chan string, 100)
	gd, ls := guarded(t, 2<<20, 100, http.HandlerFunc(func(w http.ResponseWriter, rq *http.Request) {
		started <- rq.URL.Path
		if rq.URL.Path == "/large" {
			<-release
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	large := "GET /large HTTP/1.1\nHost: h\n" + distinctLines(testHead-100) + "\n"
	first, firstReader := dialTo(t, ls)
	fmt.Fprint(first, large)
	<-started
	for range 5 {
		cn, reader := dialTo(t, ls)
		fmt.Fprint(cn, large)
		status, _, err := answerOf(reader)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusServiceUnavailable)
	}
	assert.Equal(t, gd.Refused(NoMemory)+gd.Refused(UnfinishedDropped), int64(5))
	assert.Equal(t, len(started), 0)
	cn, reader := dialTo(t, ls)
	fmt.Fprint(cn, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	status, _, err := answerOf(reader)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusNoContent)
	close(release)
	status, _, err = answerOf(firstReader)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusNoContent)
}

// TestConnectionsAreCapped opens more connections than allowed. It guards against a crowd
// that keeps ordinary callers out, and against closing one whose request is being answered.
func TestConnectionsAreCapped(t *testing.T) {
	const maxConns = 20
	release := make(chan struct{})
	started := make(chan struct{}, maxConns)
	gd, ls := guarded(t, testMemory, maxConns, http.HandlerFunc(func(w http.ResponseWriter, rq *http.Request) {
		if rq.URL.Path == "/slow" {
			started <- struct{}{}
			<-release
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	slow, slowReader := dialTo(t, ls)
	fmt.Fprint(slow, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	<-started
	for range 5 * maxConns {
		dialTo(t, ls)
	}
	// A connection with unread bytes may hold a request, and is not closed for another one.
	awaitRead(ls)
	cn, reader := dialTo(t, ls)
	fmt.Fprint(cn, testRequest)
	status, _, err := answerOf(reader)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusNoContent)
	assert.Assert(t, gd.Connections() <= maxConns)
	assert.Assert(t, gd.Refused(ConnectionDisplaced) > 0)
	close(release)
	status, _, err = answerOf(slowReader)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusNoContent)
}

// awaitRead waits until the server has read what arrived on the connections of a listener.
func awaitRead(ls *Listener) {
	for unread := true; unread; {
		time.Sleep(time.Millisecond)
		unread = waitingConns(ls.Listener) > 0
		for key := range ls.conns.Range {
			unread = unread || hasUnread(key.(*conn).Conn)
		}
	}
}

// TestRequestsArePassedOnUnchanged sends requests in a row, cut into pieces anywhere. It
// guards against a reader that changes, loses or mixes up bytes of heads and bodies, or
// that waits for more than a request.
func TestRequestsArePassedOnUnchanged(t *testing.T) {
	gd, ls := guarded(t, testMemory, 1000, echo)
	rapid.Check(t, func(rt *rapid.T) {
		var sent bytes.Buffer
		var want []string
		for at := range rapid.IntRange(1, 5).Draw(rt, "requests") {
			path := fmt.Sprintf("/%d", at)
			body := strings.Repeat(rapid.StringMatching(`[a-z\n\r]{0,20}`).Draw(rt, "body"), rapid.SampledFrom([]int{1, 1, 300}).Draw(rt, "times"))
			lines := strings.Repeat("Name: value\r\n", rapid.SampledFrom([]int{0, 1, 5, 500}).Draw(rt, "lines"))
			switch rapid.IntRange(0, 2).Draw(rt, "kind") {
			case 0:
				body = ""
				fmt.Fprintf(&sent, "GET %s HTTP/1.1\r\nHost: h\r\n%s\r\n", path, lines)
			case 1:
				fmt.Fprintf(&sent, "POST %s HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s", path, lines, len(body), body)
			default:
				fmt.Fprintf(&sent, "POST %s HTTP/1.1\r\nHost: h\r\n%sTransfer-Encoding: chunked\r\n\r\n", path, lines)
				chunks := httputil.NewChunkedWriter(&sent)
				for part := range strings.SplitAfterSeq(body, "e") {
					_, _ = io.WriteString(chunks, part)
				}
				_ = chunks.Close()
				sent.WriteString(rapid.SampledFrom([]string{"\r\n", "A: b\r\n\r\n"}).Draw(rt, "trailer"))
			}
			want = append(want, path+" "+body)
		}
		pieces := rapid.SliceOfN(rapid.IntRange(1, 5000), 0, 5).Draw(rt, "pieces")
		cn, err := net.Dial("tcp", ls.Addr().String())
		assert.NilError(rt, err)
		defer func() { _ = cn.Close() }()
		go func() {
			rest := sent.Bytes()
			for _, piece := range pieces {
				_, _ = cn.Write(rest[:min(piece, len(rest))])
				rest = rest[min(piece, len(rest)):]
				time.Sleep(100 * time.Microsecond)
			}
			_, _ = cn.Write(rest)
		}()
		reader := bufio.NewReader(cn)
		for _, text := range want {
			status, body, err := answerOf(reader)
			assert.NilError(rt, err)
			assert.Equal(rt, status, http.StatusOK)
			assert.Equal(rt, body, text)
		}
	})
	waitFor(t, "all memory is given back", func() bool { return gd.Leased() == 0 })
	for _, rf := range Refusals() {
		assert.Equal(t, gd.Refused(rf), int64(0), "%s", rf)
	}
}

// TestCostCoversHeads guards against a cost that is lower than what net/http allocates.
func TestCostCoversHeads(t *testing.T) {
	for _, line := range []string{"a:\n", "%x:\n", "%04x:\n", "%04x:a\n", "%04x: abcdefgh\n", "x-%040x: v\n", "a: b\n c\n"} {
		for _, size := range []int{1000, 4000, 16000, 60000} {
			var head strings.Builder
			head.WriteString("GET / HTTP/1.1\nHost: h\n")
			for at := 0; head.Len() < size; at++ {
				if strings.Contains(line, "%") {
					fmt.Fprintf(&head, line, at)
				} else {
					head.WriteString(line)
				}
			}
			head.WriteString("\n")
			scan := headScan{}
			end, ended := scan.feed([]byte(head.String()))
			assert.Assert(t, ended && end == head.Len())
			allocated := allocatedBy(t, head.String())
			assert.Assert(t, allocated <= scan.cost(0), "%q of %d: %d bytes, cost %d", line, size, allocated, scan.cost(0))
		}
	}
}

// allocatedBy returns the bytes that decoding a head and copying its header allocates.
func allocatedBy(t *testing.T, head string) int64 {
	t.Helper()
	const runs = 10
	reader := bufio.NewReader(nil)
	before, after := runtime.MemStats{}, runtime.MemStats{}
	runtime.ReadMemStats(&before)
	for range runs {
		reader.Reset(strings.NewReader(head))
		rq, err := http.ReadRequest(reader)
		assert.NilError(t, err)
		_ = rq.Header.Clone()
	}
	runtime.ReadMemStats(&after)
	return int64(after.TotalAlloc-before.TotalAlloc) / runs
}

// BenchmarkReadHead measures what the reader adds to an ordinary request, as the
// difference of the two.
func BenchmarkReadHead(b *testing.B) {
	head := []byte("GET /find/1?text=abc HTTP/1.1\r\nHost: h.example\r\nUser-Agent: test/1.0\r\nAccept: */*\r\n" +
		"Accept-Encoding: gzip\r\nAttempt: 0193f0a0-0000-7000-8000-000000000000\r\nDeadline: 5000\r\n\r\n")
	for _, watched := range []bool{false, true} {
		b.Run(fmt.Sprintf("watched=%t", watched), func(b *testing.B) {
			cn := &conn{Conn: &repeatConn{text: head}, listener: &Listener{}}
			if watched {
				cn.guard = NewGuard(testMemory)
				cn.guard.memory.Init(&cn.lease)
			}
			buffer := make([]byte, 4096)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := cn.Read(buffer); err != nil {
					b.Fatal(err)
				}
				cn.endRequest(time.Time{})
			}
		})
	}
}

// repeatConn returns the same bytes at each read.
type repeatConn struct {
	net.Conn
	text []byte
}

func (rc *repeatConn) Read(to []byte) (int, error) { return copy(to, rc.text), nil }

// TestConnectionLimits guards against callers' connections that leave no descriptors for
// servers, peers and the store.
func TestConnectionLimits(t *testing.T) {
	tests := []struct {
		descriptors int
		want        Connections
	}{
		{descriptors: 2870, want: Connections{Callers: 970, Others: 121}},
		{descriptors: 500, want: Connections{Callers: 109, Others: 16}},
		{descriptors: 100, want: Connections{Callers: minConns, Others: minConns}},
	}
	for _, tt := range tests {
		assert.Equal(t, ConnectionLimits(tt.descriptors), tt.want)
	}
	assert.Assert(t, ConnectionLimits(0).Callers >= minConns)
}

func TestLimitsValidate(t *testing.T) {
	assert.NilError(t, Limits{}.Defaults().Validate())
	for _, limits := range []Limits{{}, {HeadBytes: 1}, {HeadBytes: 1, HeadTimeout: 1, FanOut: -1}} {
		assert.Assert(t, limits.Validate() != nil)
	}
}
