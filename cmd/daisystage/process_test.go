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

// watchdog bounds each wait of a process test.
const watchdog = 60 * time.Second

// binaries builds the programs once for all tests.
var binaries = sync.OnceValues(func() (string, error) {
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
	if dir, err := binaries(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// world is a platform, servers and entry VMs, each a process.
type world struct {
	t        *testing.T
	dir      string
	platform string
	// control holds the control addresses by name.
	control map[string]string
	configs map[string]string
	callers map[string]string
	// operators holds the operator addresses by entry VM.
	operators map[string]string
	commands  map[string]*exec.Cmd
	exits     map[string]chan error
	store     *platform.Client
	servers   []string
	// addresses holds the addresses of the servers by name.
	addresses map[string]string
}

func freeAddress(t *testing.T) string {
	t.Helper()
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ls.Close()
	return ls.Addr().String()
}

// newWorld starts everything and writes the settings.
func newWorld(t *testing.T, servers, entryVMs int) *world {
	t.Helper()
	dir, err := binaries()
	assert.NilError(t, err)
	wd := &world{
		t: t, dir: dir, platform: freeAddress(t),
		control: map[string]string{}, configs: map[string]string{}, callers: map[string]string{},
		operators: map[string]string{}, commands: map[string]*exec.Cmd{}, exits: map[string]chan error{}, addresses: map[string]string{},
	}
	t.Cleanup(wd.close)
	wd.control["platform"] = freeAddress(t)
	wd.start("platform", "standin", "platform", "--address", wd.platform, "--control", wd.control["platform"])
	wd.store, err = platform.New([]string{wd.platform}, &http.Client{}, platform.Budget{ReadsPerSecond: 1000, WritesPerSecond: 1000})
	assert.NilError(t, err)
	wd.eventually(func() error { _, _, err := wd.store.List(t.Context(), "x"); return err })
	for at := range servers {
		wd.startServer(at)
	}
	wd.writeSettings()
	wd.configure(entryVMs)
	for name := range wd.configs {
		wd.startEntryVM(name)
	}
	wd.waitReady(entryVMs)
	return wd
}

func (wd *world) start(name, program string, args ...string) {
	wd.t.Helper()
	cmd := exec.Command(filepath.Join(wd.dir, program), args...)
	output := &bytes.Buffer{}
	cmd.Stdout, cmd.Stderr = output, output
	assert.NilError(wd.t, cmd.Start())
	exit := make(chan error, 1)
	go func() {
		err := cmd.Wait()
		if err != nil {
			err = fmt.Errorf("%w: %s", err, output)
		}
		exit <- err
	}()
	wd.commands[name], wd.exits[name] = cmd, exit
}

func (wd *world) close() {
	for name, cmd := range wd.commands {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		select {
		case <-wd.exits[name]:
		case <-time.After(watchdog):
		}
	}
}

// signal sends a signal to a process.
func (wd *world) signal(name string, sig syscall.Signal) {
	wd.t.Helper()
	assert.NilError(wd.t, wd.commands[name].Process.Signal(sig))
}

// exit waits for the end of a process.
func (wd *world) exit(name string) error {
	select {
	case err := <-wd.exits[name]:
		delete(wd.commands, name)
		return err
	case <-time.After(watchdog):
		return fmt.Errorf("%s did not end", name)
	}
}

func (wd *world) eventually(check func() error) {
	wd.t.Helper()
	deadline := time.Now().Add(watchdog)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			wd.t.Fatalf("after %s: %v", watchdog, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (wd *world) put(key string, value any) {
	wd.t.Helper()
	text, ok := value.(string)
	if !ok {
		encoded, err := json.Marshal(value)
		assert.NilError(wd.t, err)
		text = string(encoded)
	}
	_, err := wd.store.Put(wd.t.Context(), key, text, 0)
	assert.NilError(wd.t, err)
}

func (wd *world) startServer(at int) {
	name := fmt.Sprintf("server-%d", at)
	settings := server.Settings{}.Defaults()
	settings.Name, settings.Service, settings.Zone, settings.Address = name, "lessons", fmt.Sprintf("zone-%d", at%3), freeAddress(wd.t)
	wd.addresses[name] = settings.Address
	wd.control[name] = freeAddress(wd.t)
	wd.start(name, "standin", "server", "--name", name, "--address", settings.Address, "--control", wd.control[name])
	wd.put(view.PrefixServers+name, settings)
	wd.servers = append(wd.servers, name)
}

func (wd *world) writeSettings() {
	mf := snapshot.Manifest{Collection: "lessons", ID: "s1"}
	for at := range 6 {
		mf.Shards = append(mf.Shards, snapshot.Shard{Name: fmt.Sprintf("shard-%d", at), Replicas: wd.servers})
	}
	wd.put(view.PrefixSnapshots+"lessons/s1", mf)
	wd.put(view.TokenKey("secret"), view.Token{Author: "liga", Subtree: "teams/gaisma/"})
	for name, body := range site.Gaisma().Routes {
		// A loaded machine must not decide the verdict.
		body = strings.Replace(body, "400ms", "20s", 1)
		body = strings.Replace(body, "2s", "20s", 1)
		_, err := platform.PutSetting(wd.t.Context(), wd.store, contract.Revision{
			Path: contract.RoutePath("gaisma", name), Body: body, ChangeID: name, Author: "liga", Reason: "set up",
		})
		assert.NilError(wd.t, err)
	}
}

func (wd *world) configure(entryVMs int) {
	var peers []string
	entries := make([]string, entryVMs)
	for at := range entries {
		entries[at] = freeAddress(wd.t)
		peers = append(peers, fmt.Sprintf("%q", entries[at]))
	}
	for at, entry := range entries {
		name := fmt.Sprintf("entry-%d", at)
		wd.callers[name], wd.operators[name] = freeAddress(wd.t), freeAddress(wd.t)
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
`, name, at, wd.callers[name], wd.operators[name], entry, wd.platform, strings.Join(peers, ", "))
		wd.configs[name] = filepath.Join(wd.t.TempDir(), name+".toml")
		assert.NilError(wd.t, os.WriteFile(wd.configs[name], []byte(text), 0o600))
	}
}

func (wd *world) startEntryVM(name string) {
	wd.start(name, "daisystage", "serve", "--config", wd.configs[name])
}

func (wd *world) caller(names ...string) *caller.Client {
	var seeds []string
	for _, name := range names {
		seeds = append(seeds, wd.callers[name])
	}
	return caller.NewClient(&http.Client{Timeout: watchdog}, "zone-0", seeds)
}

func (wd *world) waitReady(entryVMs int) {
	wd.t.Helper()
	for name := range wd.configs {
		wd.eventually(func() error {
			entries, err := wd.caller(name).Entries(wd.t.Context(), time.Now())
			if err == nil && len(entries) != entryVMs {
				return fmt.Errorf("%s offers %d entries", name, len(entries))
			}
			return err
		})
	}
}

// fault sends a fault to a stand-in, or asks it.
func (wd *world) fault(name, method, path, body string) string {
	wd.t.Helper()
	rq, err := http.NewRequestWithContext(wd.t.Context(), method, "http://"+wd.control[name]+path, strings.NewReader(body))
	assert.NilError(wd.t, err)
	rs, err := http.DefaultClient.Do(rq)
	assert.NilError(wd.t, err)
	defer rs.Body.Close()
	text, err := io.ReadAll(rs.Body)
	assert.NilError(wd.t, err)
	assert.Equal(wd.t, rs.StatusCode, http.StatusOK, string(text))
	return string(text)
}

// runs returns how often a request ran on all servers together.
func (wd *world) runs(id uuid.UUID) int {
	total := 0
	for _, name := range wd.servers {
		var runs map[string]int
		assert.NilError(wd.t, json.Unmarshal([]byte(wd.fault(name, http.MethodGet, "/runs", "")), &runs))
		for key, count := range runs {
			if strings.HasPrefix(key, id.String()) {
				total += count
			}
		}
	}
	return total
}

// gatherNaively asks the first server for each shard of an answer, one after
// the other.
func (wd *world) gatherNaively(ctx context.Context, an *callerapi.Answer) map[string]string {
	wd.t.Helper()
	client, err := backendapi.NewClient("http://" + wd.addresses[wd.servers[0]])
	assert.NilError(wd.t, err)
	bodies := map[string]string{}
	for _, pt := range an.Parts {
		answer, err := client.RunPart(ctx, &backendapi.Part{
			RequestID: uuid.NewString(), Attempt: 1, Shard: pt.Shard, Snapshot: an.Snapshot,
			DeadlineMs: watchdog.Milliseconds(), Query: jx.Raw(`{"text":"Jonah"}`),
		})
		assert.NilError(wd.t, err)
		bodies[pt.Shard] = string(answer.Body)
	}
	return bodies
}

func newID() uuid.UUID {
	return uuid.Must(uuid.NewV7())
}

func TestProcessesServeAndStop(t *testing.T) {
	wd := newWorld(t, 3, 2)
	ctx, cancel := context.WithTimeout(t.Context(), watchdog)
	defer cancel()
	query := []byte(`{"text":"Jonah"}`)
	rs, err := wd.caller("entry-0", "entry-1").Query(ctx, "gaisma", "find", newID(), query, 0)
	assert.NilError(t, err)
	assert.Equal(t, string(rs.Outcome()), "whole", "%+v", rs.Refusal)
	assert.Equal(t, len(rs.Answer.Parts), 6)
	naive := wd.gatherNaively(ctx, rs.Answer)
	for _, pt := range rs.Answer.Parts {
		assert.Equal(t, string(pt.Body), naive[pt.Shard])
	}
	for name := range wd.configs {
		wd.signal(name, syscall.SIGTERM)
	}
	for name := range wd.configs {
		assert.NilError(t, wd.exit(name))
	}
}
