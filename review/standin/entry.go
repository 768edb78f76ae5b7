package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"daisystage.example/daisystage/platform/wire"
)

const (
	// program is the one that the deploy file runs.
	program = "target/daisystage"
	// zones is the number of zones over which entry VMs are spread.
	zones = 3
	// readyLimit is how long entry VMs may take to become ready.
	readyLimit = 15 * time.Second
	// settleTime is the time after the start of the entry VMs in which they find each
	// other.
	settleTime = 6 * time.Second
)

// entryVM is one entry VM, run as a process of its own.
type entryVM struct {
	name, zone, settings string
	listen               wire.Listen
	command              *exec.Cmd
	// ended is closed when the process has exited.
	ended chan struct{}
}

// play is the state of one case.
type play struct {
	record  *record
	folder  string
	trouble bool
	store   *store
	// lock guards the fields below. After the end nothing is started any more.
	lock    sync.Mutex
	vms     []*entryVM
	servers []*server
	ended   bool
}

// end ends all that the case started.
func (pl *play) end() {
	pl.lock.Lock()
	defer pl.lock.Unlock()
	pl.ended = true
	for _, vm := range pl.vms {
		_ = vm.command.Process.Kill()
		<-vm.ended
	}
	for _, sv := range pl.servers {
		sv.close()
	}
	if pl.store != nil {
		pl.store.close()
	}
}

// bounds are those of the smallest site of the users.
func bounds() wire.Bounds {
	return wire.Bounds{
		BudgetWindowS: 10, ConfigApplyMs: 3000, DrainMs: 3000, GraceS: 6, RetryBudgetRatio: 0.2, RetryBudgetSlack: 58, TtlMaxS: 5,
	}
}

// zoneOf returns the name of a zone.
func zoneOf(index int) string {
	return "zone-" + strconv.Itoa(index%zones)
}

// startStore starts the store with a configuration.
func (pl *play) startStore(cg wire.Configuration) error {
	st, err := startStore()
	if err != nil {
		return err
	}
	pl.store = st
	return st.put("config", "main", cg)
}

// addServer starts a server and registers it.
func (pl *play) addServer(settings serverSettings, rn *runs) error {
	sv, err := startServer(settings, pl.record, rn)
	if err != nil {
		return err
	}
	pl.lock.Lock()
	defer pl.lock.Unlock()
	if pl.ended {
		sv.close()
		return nil
	}
	pl.servers = append(pl.servers, sv)
	state, born := "ready", int(time.Now().UnixMilli())
	return pl.store.put("servers", sv.id, wire.ServerEntry{
		Address: &sv.address, Backend: &sv.service, Born: &born, Seq: 1, Slots: &sv.slots, State: &state, Version: "v1", Zone: &sv.zone,
	})
}

// startVMs starts a number of entry VMs and waits until all are ready.
func (pl *play) startVMs(count int) error {
	if _, err := os.Stat(program); err != nil {
		return fmt.Errorf("the program is not built: %w", err)
	}
	hosts, ports, err := freeAddresses(count)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range min(count, zones) {
		seeds = append(seeds, net.JoinHostPort(hosts[i], strconv.Itoa(ports[0])))
	}
	for i, host := range hosts {
		at := func(port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }
		vm := &entryVM{name: "frontend-" + strconv.Itoa(i), zone: zoneOf(i)}
		vm.listen = wire.Listen{Control: at(ports[0]), Directory: at(ports[1]), FrontendAddr: at(ports[2]), Readiness: at(ports[3])}
		vm.settings = filepath.Join(pl.folder, vm.name+".json")
		text, err := json.Marshal(wire.Settings{
			Node: vm.name, NodeClass: "frontend", Ip: host, Zone: vm.zone, Region: "region", Listen: vm.listen, Bootstrap: true,
			Zones:     wire.SettingsZones{zoneOf(0): "region", zoneOf(1): "region", zoneOf(2): "region"},
			PortRange: []int{ports[4], ports[4] + 15}, Seeds: seeds, HeartbeatMs: 1200, Bounds: bounds(),
			Limits:   wire.MachineLimits{CpuShare: 0.4, Cores: 1, MemoryMb: 284, MaxFds: 4100, LinkMbps: 1000},
			Platform: wire.Store{Address: pl.store.address, ReadsPerS: 2000, WritesPerS: 400},
		})
		if err != nil {
			return fmt.Errorf("encode settings: %w", err)
		}
		if err := os.WriteFile(vm.settings, text, 0o600); err != nil {
			return fmt.Errorf("write settings: %w", err)
		}
		if err := pl.start(vm); err != nil {
			return err
		}
	}
	for _, vm := range pl.vms {
		if err := vm.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return nil
}

var errEnded = errors.New("the case has ended")

// start starts the process of an entry VM.
func (pl *play) start(vm *entryVM) error {
	pl.lock.Lock()
	defer pl.lock.Unlock()
	if pl.ended {
		return errEnded
	}
	log, err := os.Create(filepath.Join(pl.folder, vm.name+".log"))
	if err != nil {
		return fmt.Errorf("make a log: %w", err)
	}
	defer func() { _ = log.Close() }()
	vm.command = exec.Command(program, "forward")
	vm.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names.Boot + "=" + vm.settings}
	vm.command.Stdout, vm.command.Stderr = log, log
	if err := vm.command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", vm.name, err)
	}
	vm.ended = make(chan struct{})
	command, ended := vm.command, vm.ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	pl.vms = append(pl.vms, vm)
	pl.record.add("start %s", vm.name)
	return nil
}

var errNotReady = errors.New("entry VM does not become ready")

func (vm *entryVM) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(readyLimit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		rs, err := client.Get("http://" + vm.listen.Readiness + names.Ready)
		if err != nil {
			continue
		}
		_ = rs.Body.Close()
		if rs.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s: %w", vm.name, errNotReady)
}

var errNoAddresses = errors.New("found no free addresses")

// portsNeeded is the number of ports that the entry VMs need on each host: four for
// calls from outside, the first one of the range, and that of the metrics.
const (
	portsNeeded = 5
	metricsPort = 9464
)

// freeAddresses returns a loopback host for each entry VM, and ports that are free on
// all of them.
func freeAddresses(count int) (hosts []string, ports []int, err error) {
	const tries = 50
	for range tries {
		hosts = nil
		network := fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))
		for i := range count {
			hosts = append(hosts, network+strconv.Itoa(i+1))
		}
		first := 10000 + rand.IntN(20000)
		ports = nil
		for i := range portsNeeded {
			ports = append(ports, first+i)
		}
		if areFree(hosts, append([]int{metricsPort}, ports...)) {
			return hosts, ports, nil
		}
	}
	return nil, nil, errNoAddresses
}

func areFree(hosts []string, ports []int) bool {
	for _, host := range hosts {
		for _, port := range ports {
			ls, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(port)))
			if err != nil {
				return false
			}
			_ = ls.Close()
		}
	}
	return true
}
