package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/jx"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/peer/caller"
	"daisystage.example/daisystage/internal/peer/platform"
	"daisystage.example/daisystage/internal/standin/server"
	"daisystage.example/daisystage/internal/standin/site"
	"daisystage.example/daisystage/internal/wire/backendapi"
	"daisystage.example/daisystage/internal/wire/callerapi"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/snapshot"
	"daisystage.example/daisystage/internal/world/view"
)

// testTimeout bounds each wait of a test with processes.
const testTimeout = 60 * time.Second

// buildBinaries builds both programs, once for all tests, and returns their
// directory.
var buildBinaries = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "daisystage-test-")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir, "../daisystage", "../standin").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if dir, err := buildBinaries(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// deployment is a platform, servers and entry VMs, each run as a process.
type deployment struct {
	t               *testing.T
	dir             string
	platformAddress string
	// controlAddresses holds the control address of each stand-in by name.
	controlAddresses map[string]string
	// configs, callerAddresses and operatorAddresses are by entry VM.
	configs           map[string]string
	callerAddresses   map[string]string
	operatorAddresses map[string]string
	commands          map[string]*exec.Cmd
	exits             map[string]chan error
	store             *platform.Client
	servers           []string
	// serverAddresses holds the address of each server by name.
	serverAddresses map[string]string
}

var loopbackHosts atomic.Int64

// newAddress returns an address on a loopback IP of its own. A port of 127.0.0.1
// that is free now may be taken by an outgoing connection of any program before
// the process listens on it, or while it is down for a restart.
func newAddress() string {
	number := loopbackHosts.Add(1)
	ip := net.IPv4(127, byte(210+os.Getpid()%40), byte(number/250), byte(1+number%250))
	return net.JoinHostPort(ip.String(), "8401")
}

// newDeployment starts all processes, writes the settings, and waits until each
// entry VM lists all of them.
func newDeployment(t *testing.T, servers, entryVMs int) *deployment {
	t.Helper()
	dir, err := buildBinaries()
	assert.NilError(t, err)
	dp := &deployment{
		t: t, dir: dir, platformAddress: newAddress(),
		controlAddresses: map[string]string{}, configs: map[string]string{}, callerAddresses: map[string]string{},
		operatorAddresses: map[string]string{}, commands: map[string]*exec.Cmd{}, exits: map[string]chan error{}, serverAddresses: map[string]string{},
	}
	t.Cleanup(dp.close)
	dp.controlAddresses["platform"] = newAddress()
	dp.startProcess("platform", "standin", "platform", "--address", dp.platformAddress, "--control", dp.controlAddresses["platform"])
	dp.store, err = platform.New([]string{dp.platformAddress}, &http.Client{}, platform.RateLimits{ReadsPerSecond: 1000, WritesPerSecond: 1000})
	assert.NilError(t, err)
	dp.eventually(func() error { _, _, err := dp.store.List(t.Context(), "x"); return err })
	for at := range servers {
		dp.startServer(at)
	}
	dp.writeSettings()
	dp.writeConfigs(entryVMs)
	for name := range dp.configs {
		dp.startEntryVM(name)
	}
	dp.waitReady(entryVMs)
	return dp
}

// startProcess runs a program under a name, and keeps its output for the error of
// a failed exit.
func (dp *deployment) startProcess(name, program string, args ...string) {
	dp.t.Helper()
	cmd := exec.Command(filepath.Join(dp.dir, program), args...)
	output := &bytes.Buffer{}
	cmd.Stdout, cmd.Stderr = output, output
	assert.NilError(dp.t, cmd.Start())
	exit := make(chan error, 1)
	go func() {
		err := cmd.Wait()
		if err != nil {
			err = fmt.Errorf("%w: %s", err, output)
		}
		exit <- err
	}()
	dp.commands[name], dp.exits[name] = cmd, exit
}

// close kills all processes, paused ones too.
func (dp *deployment) close() {
	for name, cmd := range dp.commands {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		select {
		case <-dp.exits[name]:
		case <-time.After(testTimeout):
		}
	}
}

// signal sends a signal to a process.
func (dp *deployment) signal(name string, sig syscall.Signal) {
	dp.t.Helper()
	assert.NilError(dp.t, dp.commands[name].Process.Signal(sig))
}

// waitExit waits until a process has ended and returns its error.
func (dp *deployment) waitExit(name string) error {
	select {
	case err := <-dp.exits[name]:
		delete(dp.commands, name)
		return err
	case <-time.After(testTimeout):
		return fmt.Errorf("%s did not end", name)
	}
}

// eventually repeats a check until it succeeds, and fails the test after
// testTimeout.
func (dp *deployment) eventually(check func() error) {
	dp.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			dp.t.Fatalf("after %s: %v%s", testTimeout, err, dp.endedProcesses())
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// endedProcesses lists the processes that ended by themselves, with their output.
func (dp *deployment) endedProcesses() string {
	var ended strings.Builder
	for name, exit := range dp.exits {
		select {
		case err := <-exit:
			exit <- err
			fmt.Fprintf(&ended, "\n%s ended: %v", name, err)
		default:
		}
	}
	return ended.String()
}

// putObject creates an object on the platform, from a string or from a value to
// encode as JSON.
func (dp *deployment) putObject(key string, value any) {
	dp.t.Helper()
	text, ok := value.(string)
	if !ok {
		encoded, err := json.Marshal(value)
		assert.NilError(dp.t, err)
		text = string(encoded)
	}
	_, err := dp.store.Put(dp.t.Context(), key, text, 0)
	assert.NilError(dp.t, err)
}

// startServer starts a backend server and writes its record.
func (dp *deployment) startServer(at int) {
	name := fmt.Sprintf("server-%d", at)
	settings := server.Settings{}.Defaults()
	settings.Name, settings.Service, settings.Zone, settings.Address = name, "lessons", fmt.Sprintf("zone-%d", at%3), newAddress()
	dp.serverAddresses[name] = settings.Address
	dp.controlAddresses[name] = newAddress()
	dp.startProcess(name, "standin", "server", "--name", name, "--address", settings.Address, "--control", dp.controlAddresses[name])
	dp.putObject(view.PrefixServers+name, settings)
	dp.servers = append(dp.servers, name)
}

// writeSettings writes a snapshot, a token and the settings of the routes.
func (dp *deployment) writeSettings() {
	mf := snapshot.Manifest{Collection: "lessons", ID: "s1"}
	for at := range 6 {
		mf.Shards = append(mf.Shards, snapshot.Shard{Name: fmt.Sprintf("shard-%d", at), Replicas: dp.servers})
	}
	dp.putObject(view.PrefixSnapshots+"lessons/s1", mf)
	dp.putObject(view.TokenKey("secret"), view.Token{Author: "liga", Subtree: "teams/gaisma/"})
	for name, body := range site.GaismaPlan().Routes {
		// Long deadlines, so that the tests don't fail on a loaded machine.
		body = strings.Replace(body, "400ms", "20s", 1)
		body = strings.Replace(body, "2s", "20s", 1)
		_, err := platform.PutSetting(dp.t.Context(), dp.store, contract.Revision{
			Path: contract.RoutePath("gaisma", name), Body: body, ChangeID: name, Author: "liga", Reason: "set up",
		})
		assert.NilError(dp.t, err)
	}
}

// writeConfigs writes the config files of all entry VMs.
func (dp *deployment) writeConfigs(entryVMs int) {
	var peers []string
	entries := make([]string, entryVMs)
	for at := range entries {
		entries[at] = newAddress()
		peers = append(peers, fmt.Sprintf("%q", entries[at]))
	}
	for at, entry := range entries {
		name := fmt.Sprintf("entry-%d", at)
		dp.callerAddresses[name], dp.operatorAddresses[name] = newAddress(), newAddress()
		text := fmt.Sprintf(`name = %q
zone = "zone-%d"
caller_address = %q
operator_address = %q
entry_address = %q
platform_addresses = [%q]
peers = [%s]
keep_for = "1s"
stop_margin = "200ms"
drain_for = "200ms"
`, name, at, dp.callerAddresses[name], dp.operatorAddresses[name], entry, dp.platformAddress, strings.Join(peers, ", "))
		dp.configs[name] = filepath.Join(dp.t.TempDir(), name+".toml")
		assert.NilError(dp.t, os.WriteFile(dp.configs[name], []byte(text), 0o600))
	}
}

func (dp *deployment) startEntryVM(name string) {
	dp.startProcess(name, "daisystage", "serve", "--config", dp.configs[name])
}

// caller returns a client that starts with the given entry VMs.
func (dp *deployment) caller(names ...string) *caller.Client {
	var seeds []string
	for _, name := range names {
		seeds = append(seeds, dp.callerAddresses[name])
	}
	return caller.NewClient(&http.Client{Timeout: testTimeout}, "zone-0", seeds)
}

// waitReady waits until each entry VM lists the given number of entry VMs.
func (dp *deployment) waitReady(entryVMs int) {
	dp.t.Helper()
	for name := range dp.configs {
		dp.eventually(func() error {
			entries, err := dp.caller(name).Entries(dp.t.Context(), time.Now())
			if err == nil && len(entries) != entryVMs {
				return fmt.Errorf("%s lists %d entries", name, len(entries))
			}
			return err
		})
	}
}

// callControl sends a request to the control address of a stand-in and returns
// the body of the response.
func (dp *deployment) callControl(name, method, path, body string) string {
	dp.t.Helper()
	rq, err := http.NewRequestWithContext(dp.t.Context(), method, "http://"+dp.controlAddresses[name]+path, strings.NewReader(body))
	assert.NilError(dp.t, err)
	rs, err := http.DefaultClient.Do(rq)
	assert.NilError(dp.t, err)
	defer rs.Body.Close()
	text, err := io.ReadAll(rs.Body)
	assert.NilError(dp.t, err)
	assert.Equal(dp.t, rs.StatusCode, http.StatusOK, string(text))
	return string(text)
}

// countRuns returns how often parts of a request ran, on all servers together.
func (dp *deployment) countRuns(id uuid.UUID) int {
	total := 0
	for _, name := range dp.servers {
		var runs map[string]int
		assert.NilError(dp.t, json.Unmarshal([]byte(dp.callControl(name, http.MethodGet, "/runs", "")), &runs))
		for key, count := range runs {
			if strings.HasPrefix(key, id.String()) {
				total += count
			}
		}
	}
	return total
}

// gatherSequentially asks the first server for each shard of an answer, one after
// the other, and returns the bodies by shard.
func (dp *deployment) gatherSequentially(ctx context.Context, an *callerapi.Answer) map[string]string {
	dp.t.Helper()
	client, err := backendapi.NewClient("http://" + dp.serverAddresses[dp.servers[0]])
	assert.NilError(dp.t, err)
	bodies := map[string]string{}
	for _, pt := range an.Parts {
		answer, err := client.RunPart(ctx, &backendapi.Part{
			RequestID: uuid.NewString(), Attempt: 1, Shard: pt.Shard, Snapshot: an.Snapshot,
			DeadlineMs: testTimeout.Milliseconds(), Query: jx.Raw(`{"text":"Jonah"}`),
		})
		assert.NilError(dp.t, err)
		bodies[pt.Shard] = string(answer.Body)
	}
	return bodies
}

func newID() uuid.UUID {
	return uuid.Must(uuid.NewV7())
}

// TestProcessesServeAndStop checks that entry VMs run as processes answer a query
// correctly and exit without error on SIGTERM.
func TestProcessesServeAndStop(t *testing.T) {
	dp := newDeployment(t, 3, 2)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	query := []byte(`{"text":"Jonah"}`)
	rs, err := dp.caller("entry-0", "entry-1").Query(ctx, "gaisma", "find", newID(), query, 0)
	assert.NilError(t, err)
	assert.Equal(t, string(rs.Outcome()), "whole", "%+v", rs.Refusal)
	assert.Equal(t, len(rs.Answer.Parts), 6)
	expected := dp.gatherSequentially(ctx, rs.Answer)
	for _, pt := range rs.Answer.Parts {
		assert.Equal(t, string(pt.Body), expected[pt.Shard])
	}
	for name := range dp.configs {
		dp.signal(name, syscall.SIGTERM)
	}
	for name := range dp.configs {
		assert.NilError(t, dp.waitExit(name))
	}
}
