package main

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"daisystage.example/daisystage/platform/wire"
)

//go:embed settings.json
var settingsText []byte

// tenantSettingsText holds the settings that differ where the configuration has tenants.
//
//go:embed settings-tenants.json
var tenantSettingsText []byte

// zoneNames are the zones of the site, one entry VM in each.
var zoneNames = []string{"riga-a", "riga-b", "riga-c"}

// maxVMs is the most entry VMs that a site has.
const maxVMs = 6

// program is the program that the deploy file starts, and programArgs its arguments.
const (
	program     = "target/daisystage"
	programArgs = "forward"
)

// calls collects the attempts of the clients.
type calls struct {
	lock sync.Mutex
	all  []*call
}

// env is one small site.
type env struct {
	record   *record
	folder   string
	store    *store
	vms      []*vm
	arrivals arrivals
	calls    calls
	ids      atomic.Int64
	version  int
	// addVM adds an entry VM in a zone. The first ones, one in each zone, are the seeds.
	addVM func(zone string)
}

// vm is one entry VM and its process.
type vm struct {
	ev                 *env
	name, zone, ip     string
	callers, readiness string
	settingsPath       string
	settings           map[string]any
	lock               sync.Mutex
	cmd                *exec.Cmd
	ended              chan struct{}
}

func newEnv(rc *record) (*env, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the deploy file's build is missing: %w", err)
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
	}
	ev := &env{record: rc, folder: folder, store: newStore()}
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for store: %w", err)
	}
	go ev.store.serve(ls)
	subnet, ports, err := reserveSubnet()
	if err != nil {
		return nil, err
	}
	ev.addVM = func(zone string) {
		number := len(ev.vms)
		each := ev.newVM(fmt.Sprintf("frontend-%s-%d", zone, number/len(zoneNames)+1), zone, fmt.Sprintf("127.77.%d.%d", subnet, number+1), ports, ls.Addr().String())
		for i := range zoneNames {
			each.settings["seeds"] = append(each.settings["seeds"].([]any), net.JoinHostPort(fmt.Sprintf("127.77.%d.%d", subnet, i+1), strconv.Itoa(ports[2])))
		}
		ev.vms = append(ev.vms, each)
	}
	for _, zone := range zoneNames {
		ev.addVM(zone)
	}
	return ev, nil
}

// reservedHost is the host of a subnet on which a run listens for as long as it lasts, so
// that runs beside each other take different subnets.
const reservedHost = 250

// reserved holds the listeners by which subnets are reserved.
var reserved []net.Listener

// subnetTries bounds the search for a free subnet.
const subnetTries = 50

// reserveSubnet returns a subnet that no other run uses, and ports that are free there. The
// subnet is reserved until the process ends.
func reserveSubnet() (int, []int, error) {
	var failed error
	for range subnetTries {
		subnet := 1 + rand.IntN(250)
		ls, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:%s", subnet, reservedHost, names["metrics_port"]))
		if err != nil {
			failed = err
			continue
		}
		// A listener that is not referenced may be closed at any time.
		reserved = append(reserved, ls)
		ports, err := freePorts(subnet, 5)
		if err == nil {
			return subnet, ports, nil
		}
		failed = err
	}
	return 0, nil, fmt.Errorf("find a free subnet: %w", failed)
}

// freePorts returns ports that are free on the addresses of all entry VMs. The port of the
// metrics, which is fixed, must be free too.
func freePorts(subnet, count int) ([]int, error) {
	isFree := func(port int) bool {
		for i := range maxVMs {
			ls, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:%d", subnet, i+1, port))
			if err != nil {
				return false
			}
			_ = ls.Close()
		}
		return true
	}
	if port, _ := strconv.Atoi(names["metrics_port"]); !isFree(port) {
		return nil, errors.New("the port of the metrics is in use")
	}
	var ports []int
	for port := 7740 + rand.IntN(1000); len(ports) < count && port < 20000; port++ {
		if isFree(port) {
			ports = append(ports, port)
		}
	}
	if len(ports) < count {
		return nil, errors.New("too few free ports")
	}
	return ports, nil
}

func (ev *env) newVM(name, zone, ip string, ports []int, storeAddress string) *vm {
	at := func(i int) string { return net.JoinHostPort(ip, strconv.Itoa(ports[i])) }
	each := &vm{ev: ev, name: name, zone: zone, ip: ip, callers: at(0), readiness: at(1)}
	each.settingsPath = filepath.Join(ev.folder, each.name+".json")
	if err := json.Unmarshal(settingsText, &each.settings); err != nil {
		panic(err)
	}
	listen := wire.Listen{FrontendAddr: at(0), Readiness: at(1), Control: at(2), Directory: at(3)}
	maps.Copy(each.settings, map[string]any{
		"node": each.name, "zone": zone, "ip": ip, "listen": listen, "port_range": []int{ports[4], ports[4]}, "seeds": []any{},
	})
	each.settings["platform"].(map[string]any)["address"] = storeAddress
	return each
}

// useTenants puts the settings in force that come with tenants.
func (ev *env) useTenants() {
	for _, each := range ev.vms {
		if err := json.Unmarshal(tenantSettingsText, &each.settings); err != nil {
			panic(err)
		}
	}
}

// putConfiguration writes a configuration with the next version.
func (ev *env) putConfiguration(cg wire.Configuration) {
	ev.version++
	cg.Version = ev.version
	ev.store.put("config", "main", cg)
	ev.record.line("operator: version %d is acknowledged", cg.Version)
}

// limits are the limits of callers in the configuration.
var limits = wire.CallerLimits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}

// startVMs starts all entry VMs and waits until they are ready.
func (ev *env) startVMs() error {
	for _, each := range ev.vms {
		if err := each.start(); err != nil {
			return err
		}
		each.settings["bootstrap"] = false
	}
	for _, each := range ev.vms {
		if err := each.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// start writes the settings and starts the process.
func (vm *vm) start() error {
	if err := vm.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(vm.ev.folder, vm.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, programArgs)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names["boot"] + "=" + vm.settingsPath}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", vm.name, err)
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	vm.lock.Lock()
	vm.cmd, vm.ended = cmd, ended
	vm.lock.Unlock()
	vm.ev.record.line("%s starts", vm.name)
	return nil
}

// writeSettings replaces the settings file at once.
func (vm *vm) writeSettings() error {
	text, err := json.MarshalIndent(vm.settings, "", "  ")
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	if err := os.WriteFile(vm.settingsPath+".new", text, 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	if err := os.Rename(vm.settingsPath+".new", vm.settingsPath); err != nil {
		return fmt.Errorf("replace settings: %w", err)
	}
	return nil
}

// signal sends a signal to the process.
func (vm *vm) signal(sg syscall.Signal) {
	vm.lock.Lock()
	defer vm.lock.Unlock()
	vm.ev.record.line("%s gets signal %d (%s)", vm.name, int(sg), sg)
	_ = vm.cmd.Process.Signal(sg)
}

// hasEnded reports whether the process has ended.
func (vm *vm) hasEnded() bool {
	vm.lock.Lock()
	defer vm.lock.Unlock()
	select {
	case <-vm.ended:
		return true
	default:
		return false
	}
}

// isReady asks the readiness probe.
func (vm *vm) isReady() bool {
	hc := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	rs, err := hc.Get("http://" + vm.readiness + names["ready"])
	if err != nil {
		return false
	}
	_ = rs.Body.Close()
	return rs.StatusCode == http.StatusOK
}

func (vm *vm) awaitReady(within time.Duration) error {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if vm.isReady() {
			vm.ev.record.line("%s is ready", vm.name)
			return nil
		}
	}
	return fmt.Errorf("%s did not get ready; the end of its log: %s", vm.name, vm.logEnd())
}

// maxLogEnd bounds what is quoted of a log, in bytes.
const maxLogEnd = 300

// logEnd returns the last bytes of the log of the process.
func (vm *vm) logEnd() string {
	text, err := os.ReadFile(filepath.Join(vm.ev.folder, vm.name+".log"))
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(text[max(len(text)-maxLogEnd, 0):]))
}

// dump returns the operator's dump of the process.
func (vm *vm) dump() (map[string]any, error) {
	hc := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rs, err := hc.Get("http://" + net.JoinHostPort(vm.ip, names["metrics_port"]) + names["state"])
	if err != nil {
		return nil, fmt.Errorf("get dump: %w", err)
	}
	defer func() { _ = rs.Body.Close() }()
	text, err := io.ReadAll(rs.Body)
	if err != nil {
		return nil, fmt.Errorf("read dump: %w", err)
	}
	state := map[string]any{}
	if err := json.Unmarshal(text, &state); err != nil {
		return nil, fmt.Errorf("decode dump: %w", err)
	}
	return state, nil
}

// close ends all processes and removes the folder.
func (ev *env) close() {
	for _, each := range ev.vms {
		each.lock.Lock()
		if each.cmd != nil {
			_ = each.cmd.Process.Signal(syscall.SIGCONT)
			_ = each.cmd.Process.Kill()
			<-each.ended
		}
		each.lock.Unlock()
	}
	if os.Getenv("KEEP") != "" {
		ev.record.line("logs are in %s", ev.folder)
		return
	}
	_ = os.RemoveAll(ev.folder)
}
