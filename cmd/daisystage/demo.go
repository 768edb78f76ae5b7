package main

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"daisystage.example/daisystage/internal/peer/caller"
	"daisystage.example/daisystage/internal/standin/server"
	"daisystage.example/daisystage/internal/standin/site"
)

const usageDemo = `Run a whole site in one process on loopback: a platform, 30 servers and three
entry VMs, the size of Gaisma's site. Send a query, slow down one server and
send another query.

Example: daisystage demo`

const (
	demoTimeout = 20 * time.Second
	// demoWarmUpQueries is the number of queries from which hedging learns the
	// usual latencies.
	demoWarmUpQueries = 20
	// demoSlowdown is the factor by which one server is slowed down.
	demoSlowdown = 60
)

func addDemo(app *kingpin.Application, tl terminal) {
	cmd := app.Command("demo", usageDemo)
	cmd.Action(action(func() error { return demo(tl) }))
}

func demo(tl terminal) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	plan := site.GaismaPlan()
	st, end, err := site.Start(ctx, time.Now(), plan, site.NewLoopbackTransport(), zap.NewNop())
	if err != nil {
		return err
	}
	defer end()
	fmt.Fprintf(tl.out, "A platform, %d servers and %d entry VMs are up.\n\n", len(st.Servers), plan.EntryVMs)
	client, _ := st.Caller()
	ask := func(text string) (caller.Result, error) {
		query := fmt.Sprintf(`{"text":%q}`, text)
		return client.Query(ctx, plan.Team, "find", uuid.Must(uuid.NewV7()), []byte(query), 0)
	}
	fmt.Fprintln(tl.out, "A teacher looks for lessons about Jonah:")
	rs, err := ask("Jonah")
	if err != nil {
		return err
	}
	if err := printResult(rs, false, tl); err != nil {
		return err
	}
	for at := range demoWarmUpQueries {
		if _, err := ask(fmt.Sprintf("warm-up %d", at)); err != nil {
			return err
		}
	}
	// Waits until the recorded latencies are published to the hedging.
	time.Sleep(500 * time.Millisecond)
	slow := plan.ServerNames(3)[0]
	st.Servers[slow].SetFaults(server.Faults{Slowdown: demoSlowdown})
	fmt.Fprintf(tl.out, "\nServer %s is now %d times slower. The teacher asks again:\n", slow, demoSlowdown)
	rs, err = ask("Jonah and the whale")
	if err != nil {
		return err
	}
	return printResult(rs, false, tl)
}
