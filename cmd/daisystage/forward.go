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

const usageForward = `Run a forwarding entry VM on the users' platform until SIGTERM or SIGINT.

The settings file has the platform's format. It is read again on SIGHUP and when
it changes. Stopping takes as long as the platform allows. Requests that take
longer are cut.

Example: daisystage forward --settings settings.json`

func addForward(app *kingpin.Application, tl terminal) {
	cmd := app.Command("forward", usageForward)
	settings := cmd.Flag("settings", "Settings file; the platform's path by default.").
		Default(platform.SettingsPath()).String()
	cmd.Action(action(func() error { return runForward(*settings, tl) }))
}

func runForward(path string, tl terminal) error {
	cg, err := platform.ReadSettings(path)
	if err != nil {
		return usageError{err}
	}
	limitMemory(cg.MemoryMB)
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
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	changedAt := modTime(path)
	for {
		select {
		case sg := <-signals:
			if sg != syscall.SIGHUP {
				ps.Stop(time.Now())
				return nil
			}
			changedAt = modTime(path)
			reload()
		case <-ticker.C:
			if at := modTime(path); at != changedAt {
				changedAt = at
				reload()
			}
		}
	}
}

// settingsPollInterval is the time between two checks of the settings file, which
// may change without a signal.
const settingsPollInterval = time.Second

// modTime returns when a file was last modified; the zero time if it can't be
// read. The reload that follows logs that error.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
