// Standin runs a stand-in for an external system as a process: the platform or a
// backend server. Its control address switches faults on and off. It also has
// commands that set up a site and generate load.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("standin", "Stand-ins of the platform and of backend servers, for tests and trials.")
	addPlatform(app)
	addServer(app)
	addSetup(app)
	addLoad(app)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "standin: %v\n", err)
		os.Exit(2)
	}
}

// serve serves routes on a listener and faults on the control address until
// SIGTERM or SIGINT.
func serve(listener net.Listener, routes http.Handler, control string, faults http.Handler) error {
	ls, err := net.Listen("tcp", control)
	if err != nil {
		return fmt.Errorf("listen on the control address: %w", err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	failed := make(chan error, 2)
	go func() { failed <- http.Serve(listener, routes) }()
	go func() {
		hs := &http.Server{Handler: faults, ReadHeaderTimeout: 10 * time.Second}
		failed <- hs.Serve(ls)
	}()
	select {
	case err := <-failed:
		return err
	case <-signals:
		return nil
	}
}
