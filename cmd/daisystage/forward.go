package main

import (
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"daisystage.example/daisystage/internal/container/rcu"
	"daisystage.example/daisystage/internal/node/forwardvm"
	"daisystage.example/daisystage/internal/peer/backend"
	"daisystage.example/daisystage/internal/query/forward"
	"daisystage.example/daisystage/internal/query/scatter"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/view"
	"daisystage.example/daisystage/platform"
)

const usageForward = `Run an entry VM on the users' platform until SIGTERM or SIGINT.

The settings file has the platform's format. The stop takes as long as the
platform allows and cuts no request.

Example: daisystage forward --settings settings.json`

const (
	// storeDialTimeout bounds the making of a connection to the platform.
	storeDialTimeout = time.Second
	// storeLinks is the number of unused connections to the platform that are
	// kept: one for each watch.
	storeLinks = 2
	// comeBackStarting is when callers may return to a process that has no
	// configuration yet, comeBackBusy when no server took a request.
	comeBackStarting = 300 * time.Millisecond
	comeBackBusy     = 50 * time.Millisecond
)

func addForward(app *kingpin.Application, tl tool) {
	cmd := app.Command("forward", usageForward)
	settings := cmd.Flag("settings", "The settings file; the platform's default if left out.").
		Default(platform.SettingsPath()).String()
	cmd.Action(action(func() error { return runForward(*settings, tl) }))
}

func runForward(path string, tl tool) error {
	cg, err := platform.ReadSettings(path)
	if err != nil {
		return usageError{err}
	}
	log, err := newLogger(cg.LogLevel, "json", tl.out)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	ps, end, err := forwardvm.Start(time.Now(), cg, frontEnd(cg), log)
	if err != nil {
		return err
	}
	defer end()
	for sg := range signals {
		if sg != syscall.SIGHUP {
			break
		}
	}
	ps.Stop(time.Now())
	return nil
}

// frontEnd returns the front end that speaks the platform's protocols.
func frontEnd(cg forwardvm.Config) forwardvm.FrontEnd {
	dialer := net.Dialer{Timeout: storeDialTimeout, KeepAliveConfig: forwardvm.LinkKeepAlive()}
	hc := &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: storeLinks, DisableCompression: true,
	}}
	return forwardvm.FrontEnd{
		Store:   &platform.Store{Address: cg.PlatformAddress, HTTP: hc},
		Objects: platform.Objects{},
		Sender: func(cl *backend.Client, fleets *rcu.Value[view.Fleet]) scatter.Sender[forward.Send, forward.Answer] {
			return &backend.Exchanger[forward.Send, forward.Answer, platform.Servers]{
				Client: cl, Codec: platform.Servers{Fleets: fleets},
			}
		},
		Callers: func(ps *forwardvm.Process) http.Handler {
			return &platform.Callers{Service: ps.Service, BodyLimit: ps.BodyLimit, Closing: ps.IsLeaving, ComeBack: comeBack}
		},
		Ready:  func(ps *forwardvm.Process) http.Handler { return &platform.Ready{IsReady: ps.IsReady} },
		Places: func(ps *forwardvm.Process) http.Handler { return &platform.Directory{Offer: ps.Offer} },
	}
}

func comeBack(_ time.Time, rf *contract.Refusal) time.Duration {
	if rf.Code == contract.CodeStarting {
		return comeBackStarting
	}
	return comeBackBusy
}
