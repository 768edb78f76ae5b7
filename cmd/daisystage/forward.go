package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"daisystage.example/daisystage/internal/node/events"
	"daisystage.example/daisystage/internal/node/forwardvm"
	"daisystage.example/daisystage/platform"
)

const usageForward = `Run an entry VM on the users' platform until SIGTERM or SIGINT.

The settings file has the platform's format; it is read again on SIGHUP and
when it changes. The stop takes as long as the platform allows and cuts no
request.

Example: daisystage forward --settings settings.json`

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
	queue, endQueue := events.NewQueue(tl.out)
	defer endQueue()
	log, err := newLogger(cg.LogLevel, "json", queue)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	ps, end, err := forwardvm.Start(time.Now(), cg, platform.FrontEnd(cg), log, queue)
	if err != nil {
		return err
	}
	defer end()
	reload := func() { ps.Reload(platform.ReadSettings(path)) }
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	changedAt := modified(path)
	for {
		select {
		case sg := <-signals:
			if sg != syscall.SIGHUP {
				ps.Stop(time.Now())
				return nil
			}
			changedAt = modified(path)
			reload()
		case <-ticker.C:
			if at := modified(path); at != changedAt {
				changedAt = at
				reload()
			}
		}
	}
}

// settingsEvery is the time between two looks at the settings file, which may
// change without a signal.
const settingsEvery = time.Second

// modified returns when a file last changed; the zero time if that can't be
// told, which Reload then logs.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
