package entry

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"daisystage.example/daisystage/internal/node/events"
	"daisystage.example/daisystage/internal/world/machine"
	"daisystage.example/daisystage/internal/world/view"
)

// rosterTimeout limits one call for the roster.
const rosterTimeout = time.Second

// RosterStore keeps the roster of the entry VMs that share rates.
type RosterStore interface {
	// ReadRoster returns the roster; the zero value if there is none.
	ReadRoster(ctx context.Context) (machine.Roster, error)
	// WriteRoster replaces the roster if it still has the revision of next, and returns
	// the one that is kept then.
	WriteRoster(ctx context.Context, next machine.Roster) (machine.Roster, error)
	// IsRestorable reports whether the store may come back from an older copy: it tells
	// its era.
	IsRestorable() bool
}

// rosterAnswer is the result of one call for the roster.
type rosterAnswer struct {
	sentAt time.Time
	roster machine.Roster
	err    error
}

// initRoster prepares the roster; nothing calls for it if there is no store.
func (ls *Leases) initRoster() {
	ls.rosterAnswers = make(chan rosterAnswer, 1)
	if ls.RosterStore == nil {
		return
	}
	self := ls.Cluster.Self
	ls.vms.Roster = &machine.RosterKeeper{Self: machine.RosterVM{Name: self.Name, EntryAddress: self.EntryAddress}, StartedAt: time.Now(), IsFirst: ls.IsFirst}
}

// callRoster makes the call for the roster that is due, if none is in flight.
func (ls *Leases) callRoster(ctx context.Context, now time.Time, rp *machine.RatePlacement) {
	if ls.vms.Roster == nil || ls.rosterInFlight || ls.Cluster.leaving.Load() {
		return
	}
	call, ok := ls.vms.Roster.Next(now, rp, ls.Cluster.rosterVMs(rp.Lasting))
	if !ok {
		return
	}
	ls.rosterInFlight = true
	ls.RosterCalls.Add(1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
		defer cancel()
		answer := rosterAnswer{sentAt: now}
		if call.Writes {
			answer.roster, answer.err = ls.RosterStore.WriteRoster(ctx, call.Roster)
		} else {
			answer.roster, answer.err = ls.RosterStore.ReadRoster(ctx)
		}
		ls.rosterAnswers <- answer
	}()
}

// applyRoster takes over the answer to a call for the roster.
func (ls *Leases) applyRoster(answer rosterAnswer) {
	ls.rosterInFlight = false
	rk := ls.vms.Roster
	if answer.err != nil {
		rk.Failed()
		events.RosterFailed.Log(ls.Cluster.Log, zap.Error(answer.err))
		return
	}
	old := rk.Roster()
	rk.Answered(answer.sentAt, answer.roster)
	ls.publishRoster(old)
	if roster := rk.Roster(); !roster.IsMissing && !roster.IsRestored && roster.Revision > old.Revision {
		ls.passOnRoster(roster)
	}
}

// publishRoster makes the roster known to the process if it changed.
func (ls *Leases) publishRoster(old machine.Roster) {
	roster := ls.vms.Roster.Roster()
	ls.roster.Store(&roster)
	if old.Revision == roster.Revision {
		return
	}
	var names, addresses []string
	for _, vm := range roster.VMs {
		names, addresses = append(names, vm.Name), append(addresses, vm.EntryAddress)
	}
	ls.Cluster.SetContacts(addresses)
	events.RosterChanged.Log(ls.Cluster.Log, zap.String("version", view.FormatVersion(roster.Revision)), zap.Bool("restored", roster.IsRestored),
		zap.Strings("entry_vms", names), zap.Strings("removed", roster.Removed))
}

// passOnRoster adds the roster to the copy, from which peers take it over.
func (ls *Leases) passOnRoster(roster machine.Roster) {
	text, err := json.Marshal(roster)
	if err != nil {
		return
	}
	ls.Cluster.Replica.Apply(time.Now(), view.Origin{Source: view.SourceList}, []view.Object{{Key: view.KeyRoster, Version: roster.Revision, Value: string(text)}})
}

// learnRoster takes over the roster from the copy if a peer has passed on a newer one.
func (ls *Leases) learnRoster(now time.Time) {
	rk := ls.vms.Roster
	ob, ok := ls.Cluster.Replica.Current().Objects.Get(view.KeyRoster)
	if !ok || ob.Version <= rk.Roster().Revision {
		return
	}
	var roster machine.Roster
	if err := json.Unmarshal([]byte(ob.Value), &roster); err != nil || roster.Revision != ob.Version {
		return
	}
	old := rk.Roster()
	rk.Learned(now, roster)
	ls.publishRoster(old)
}

// Roster returns the roster as last read; nil before that.
func (ls *Leases) Roster() *machine.Roster {
	return ls.roster.Load()
}

// rosterVMs returns the names and addresses of members.
func (cr *Cluster) rosterVMs(names []string) []machine.RosterVM {
	vms := make([]machine.RosterVM, 0, len(names))
	for _, name := range names {
		address := cr.addressOf(name)
		if name == cr.Self.Name {
			address = cr.Self.EntryAddress
		}
		vms = append(vms, machine.RosterVM{Name: name, EntryAddress: address})
	}
	return slices.DeleteFunc(vms, func(vm machine.RosterVM) bool { return vm.EntryAddress == "" })
}
