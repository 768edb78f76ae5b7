package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"daisystage.example/daisystage/internal/peer/caller"
)

const usageLoad = `Send requests at a fixed rate the way callers do, and print latency, outcomes,
coverage and extra sends. With --pid, also print the CPU time and memory that a
process on this machine used meanwhile.

Example: standin load --entry 127.0.0.1:8401 --team gaisma --route find --rate 50 --for 10s`

// clockTicks is the number of clock ticks per second, the unit of process times
// in /proc.
const clockTicks = 100

// load is one run of the load generator: its flags and its results.
type load struct {
	entries     []string
	team, route string
	rate        int
	duration    time.Duration
	pid         int

	lock     sync.Mutex
	latency  *hdrhistogram.Histogram
	outcomes map[string]int
	answered int
	total    int
	sends    int
}

func addLoad(app *kingpin.Application) {
	cmd := app.Command("load", usageLoad)
	ld := &load{latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3), outcomes: map[string]int{}}
	cmd.Flag("entry", "Caller address of any entry VM; may be given several times.").Required().StringsVar(&ld.entries)
	cmd.Flag("team", "Team of the route.").Required().StringVar(&ld.team)
	cmd.Flag("route", "Name of the route.").Required().StringVar(&ld.route)
	cmd.Flag("rate", "Requests per second.").Default("50").IntVar(&ld.rate)
	cmd.Flag("for", "Length of the run.").Default("10s").DurationVar(&ld.duration)
	cmd.Flag("pid", "Process whose CPU time and memory are printed.").IntVar(&ld.pid)
	cmd.Action(func(*kingpin.ParseContext) error { return ld.run() })
}

// run sends requests for the time of the run, waits for their answers and prints
// the results.
func (ld *load) run() error {
	if ld.rate < 1 {
		return fmt.Errorf("--rate %d is not positive", ld.rate)
	}
	client := caller.NewClient(&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}, "", ld.entries)
	cpu, _ := processUsage(ld.pid)
	ticker := time.NewTicker(time.Second / time.Duration(ld.rate))
	defer ticker.Stop()
	end := time.Now().Add(ld.duration)
	var requests sync.WaitGroup
	for at := 0; time.Now().Before(end); at++ {
		<-ticker.C
		requests.Go(func() { ld.send(client, at) })
	}
	requests.Wait()
	ld.print()
	if ld.pid > 0 {
		after, memory := processUsage(ld.pid)
		fmt.Printf("process %d: %.1f%% of a core, %.0f us a send, %d MiB\n", ld.pid,
			100*(after-cpu).Seconds()/ld.duration.Seconds(),
			float64((after-cpu).Microseconds())/float64(max(ld.sends, 1)), memory>>20)
	}
	return nil
}

// send sends one request and records its result.
func (ld *load) send(client *caller.Client, at int) {
	body := fmt.Sprintf(`{"text":"load %d"}`, at)
	startedAt := time.Now()
	rs, err := client.Query(context.Background(), ld.team, ld.route, uuid.Must(uuid.NewV7()), []byte(body), 0)
	took := time.Since(startedAt)
	ld.lock.Lock()
	defer ld.lock.Unlock()
	_ = ld.latency.RecordValue(took.Microseconds())
	if err != nil {
		ld.outcomes["no reply"]++
		return
	}
	name := string(rs.Outcome())
	if rs.Refusal != nil {
		name += " " + rs.Refusal.Code
	}
	ld.outcomes[name]++
	if rs.Answer == nil {
		return
	}
	ld.answered += rs.Answer.Coverage.Answered
	ld.total += rs.Answer.Coverage.Total
	ld.sends += countSends(rs)
}

// countSends returns the number of parts sent to servers for an answer; 0 if its
// receipt can't be read.
func countSends(rs caller.Result) int {
	rc, err := rs.Receipt()
	if err != nil {
		return 0
	}
	sends := 0
	for _, pt := range rc.Parts {
		sends += pt.Attempts
	}
	return sends
}

func (ld *load) print() {
	ms := func(q float64) float64 { return float64(ld.latency.ValueAtQuantile(q)) / 1000 }
	fmt.Printf("%d requests: p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms\n", ld.latency.TotalCount(), ms(50), ms(99), ms(99.9))
	for name, count := range ld.outcomes {
		fmt.Printf("  %-40s %d\n", name, count)
	}
	if ld.total > 0 {
		fmt.Printf("coverage %.4f, extra sends %.2f%%\n", float64(ld.answered)/float64(ld.total),
			100*float64(ld.sends-ld.total)/float64(ld.total))
	}
}

// processUsage returns the CPU time and the resident memory of a process, in
// bytes; zeros if they can't be read.
func processUsage(pid int) (time.Duration, int64) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const userTime, systemTime, residentPages = 11, 12, 21
	ticks := int64(0)
	for _, at := range []int{userTime, systemTime} {
		count, _ := strconv.ParseInt(fields[at], 10, 64)
		ticks += count
	}
	pages, _ := strconv.ParseInt(fields[residentPages], 10, 64)
	return time.Duration(ticks) * time.Second / clockTicks, pages * int64(os.Getpagesize())
}
