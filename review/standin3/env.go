package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes what happens to record.txt.
type recorder struct {
	start time.Time
	lock  sync.Mutex
	file  *os.File
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("make record: %w", err)
	}
	return &recorder{start: time.Now(), file: file}, nil
}

func (rec *recorder) add(format string, values ...any) {
	rec.lock.Lock()
	defer rec.lock.Unlock()
	_, _ = fmt.Fprintf(rec.file, "%8.3f "+format+"\n", append([]any{time.Since(rec.start).Seconds()}, values...)...)
}

// say writes a line to the record and to the standard output.
func (rec *recorder) say(format string, values ...any) {
	rec.add(format, values...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{time.Since(rec.start).Seconds()}, values...)...)
}

// env holds what a case starts, and ends it.
type env struct {
	rec    *recorder
	folder string
	// net is the part of the loopback addresses that this run uses: 127.A.B.
	net      string
	nextHost int
	cleanups []func()
	vms      []*vm
	store    *store
	// trouble is false if the case must run without the disruption.
	trouble bool
}

func newEnv(rec *recorder) (*env, error) {
	folder, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
	}
	en := &env{rec: rec, folder: folder, trouble: os.Getenv("TROUBLE") != "0"}
	en.cleanups = append(en.cleanups, func() { _ = os.RemoveAll(folder) })
	for range 50 {
		part := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
		// The lock keeps another run out of the same part.
		ls, err := net.Listen("tcp", part+"250:9999")
		if err != nil {
			continue
		}
		en.cleanups = append(en.cleanups, func() { _ = ls.Close() })
		en.net = part
		return en, nil
	}
	en.close()
	return nil, errors.New("no free loopback addresses")
}

// host returns an unused loopback address.
func (en *env) host() string {
	en.nextHost++
	return en.net + strconv.Itoa(en.nextHost)
}

// close ends all that was started, the last first.
func (en *env) close() {
	for i := len(en.cleanups) - 1; i >= 0; i-- {
		en.cleanups[i]()
	}
	en.cleanups = nil
}

func (en *env) startStore() error {
	st, end, err := startStore(en.host() + ":8229")
	if err != nil {
		return err
	}
	en.store = st
	en.cleanups = append(en.cleanups, end)
	return nil
}

func (en *env) startServer(id, service, zone string, work time.Duration) (*server, error) {
	sv, end, err := startServer(en.store, en.rec, id, service, zone, en.host()+":8080", work)
	if err != nil {
		return nil, err
	}
	en.cleanups = append(en.cleanups, end)
	return sv, nil
}

// vm is one process of the system, as the deploy file starts it.
type vm struct {
	node, ip, settings string
	startedAt          time.Time
	command            *exec.Cmd
	ended              chan struct{}
}

// startVMs starts one process in each of the given zones with the settings of a
// deployment, and waits until all are ready.
func (en *env) startVMs(name string, zones ...string) error {
	dp := nm.Deployments[name]
	var seeds []string
	for i, zone := range zones {
		each := &vm{node: fmt.Sprintf("frontend-%s-%d", zone, i+1), ip: en.host()}
		en.vms = append(en.vms, each)
		seeds = append(seeds, strconv.Quote(each.ip+":8224"))
	}
	for i, each := range en.vms {
		text := strings.NewReplacer(
			"{{NODE}}", each.node, "{{IP}}", each.ip, "{{ZONE}}", zones[i], "{{SEEDS}}", strings.Join(seeds[:min(len(seeds), 3)], ", "),
			"{{CONTRACTS}}", string(dp.Contracts), "{{BOUNDS}}", string(dp.Bounds), "{{STORE}}", en.store.address,
		).Replace(settingsText)
		each.settings = filepath.Join(en.folder, each.node+".json")
		if err := os.WriteFile(each.settings, []byte(text), 0o600); err != nil {
			return fmt.Errorf("write settings: %w", err)
		}
		if err := en.startVM(each); err != nil {
			return err
		}
	}
	return en.awaitReady()
}

// awaitReady waits until all processes are ready.
func (en *env) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, each := range en.vms {
			if each.isReady() {
				ready++
			}
		}
		if ready == len(en.vms) {
			return nil
		}
		if time.Now().After(end) {
			return errors.New("the processes did not become ready")
		}
	}
}

func (en *env) startVM(each *vm) error {
	each.startedAt, each.ended = time.Now(), make(chan struct{})
	// The deploy file's command.
	each.command = exec.Command("target/daisystage", "forward")
	each.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), nm.BootVariable + "=" + each.settings}
	log, err := os.OpenFile(filepath.Join(en.folder, each.node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("make log: %w", err)
	}
	each.command.Stdout, each.command.Stderr = log, log
	if err := each.command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", each.node, err)
	}
	en.cleanups = append(en.cleanups, func() { each.kill(); _ = log.Close(); keepLog(log.Name()) })
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		close(ended)
	}(each.command, each.ended)
	return nil
}

// killAll ends all processes at once, and starts them again after a pause.
func (en *env) killAll(pause time.Duration) error {
	for _, each := range en.vms {
		_ = each.command.Process.Kill()
	}
	for _, each := range en.vms {
		<-each.ended
	}
	time.Sleep(pause)
	for _, each := range en.vms {
		text, err := os.ReadFile(each.settings)
		if err != nil {
			return fmt.Errorf("read settings: %w", err)
		}
		// Only the first start of the whole system is one.
		text = bytes.Replace(text, []byte(nm.FirstStart), []byte(nm.LaterStart), 1)
		if err := os.WriteFile(each.settings, text, 0o600); err != nil {
			return fmt.Errorf("write settings: %w", err)
		}
		if err := en.startVM(each); err != nil {
			return err
		}
	}
	return nil
}

// keepLog copies a log to the folder named by KEEP_LOGS, for a look at what went on.
func keepLog(path string) {
	folder := os.Getenv("KEEP_LOGS")
	if folder == "" {
		return
	}
	if text, err := os.ReadFile(path); err == nil {
		_ = os.WriteFile(filepath.Join(folder, filepath.Base(path)), text, 0o600)
	}
}

// kill ends the process and waits for its end.
func (each *vm) kill() {
	_ = each.command.Process.Signal(syscall.SIGCONT)
	_ = each.command.Process.Kill()
	<-each.ended
}

func (each *vm) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+each.ip+":8227"+nm.Paths.Ready, nil)
	if err != nil {
		return false
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return false
	}
	_ = rs.Body.Close()
	return rs.StatusCode == http.StatusOK
}
