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
entry VMs at Gaisma's size. Ask a lesson query, slow one server down and ask
again.

Example: daisystage demo`

const (
	demoTime = 20 * time.Second
	// demoWarmUp is the number of queries that teach the hedging.
	demoWarmUp = 20
	// demoStraggle slows one server down.
	demoStraggle = 60
)

func addDemo(app *kingpin.Application, tl tool) {
	cmd := app.Command("demo", usageDemo)
	cmd.Action(action(func() error { return demo(tl) }))
}

func demo(tl tool) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTime)
	defer cancel()
	plan := site.Gaisma()
	st, end, err := site.Start(ctx, time.Now(), plan, site.NewLoopback(), zap.NewNop())
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
	for at := range demoWarmUp {
		if _, err := ask(fmt.Sprintf("warm-up %d", at)); err != nil {
			return err
		}
	}
	// The published latencies follow within a moment.
	time.Sleep(500 * time.Millisecond)
	slow := plan.ServerNames(3)[0]
	st.Servers[slow].Set(server.Faults{Straggle: demoStraggle})
	fmt.Fprintf(tl.out, "\nServer %s is now %d times slower. The teacher asks again:\n", slow, demoStraggle)
	rs, err = ask("Jonah and the whale")
	if err != nil {
		return err
	}
	return printResult(rs, false, tl)
}
