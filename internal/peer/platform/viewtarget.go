package platform

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"daisystage.example/daisystage/internal/container/rcu"
	"daisystage.example/daisystage/internal/node/events"
	"daisystage.example/daisystage/internal/world/view"
)

// ViewTarget implements Target and entry.Replica for a published view.
type ViewTarget struct {
	Views        *rcu.Value[view.View]
	Confirmation *view.Confirmation
	Log          *zap.Logger
}

// Apply implements Target and entry.Replica.
func (vt ViewTarget) Apply(_ time.Time, origin view.Origin, objects []view.Object) (changed int64) {
	if len(objects) == 0 {
		return 0
	}
	vt.Views.Update(func(vw view.View) view.View {
		next := vw.ApplyAll(objects, func(ob view.Object, err error) { logRefused(vt.Log, origin, ob, err) })
		changed = next.Changes - vw.Changes
		return next
	})
	return changed
}

// Current implements entry.Replica.
func (vt ViewTarget) Current() *view.Copy {
	return &vt.Views.Load().Copy
}

// KeysOlderThan implements Target.
func (vt ViewTarget) KeysOlderThan(prefix string, version int64) []string {
	return vt.Current().KeysOlderThan(prefix, version)
}

// Confirm implements Target.
func (vt ViewTarget) Confirm(asOf time.Time) {
	vt.Confirmation.Confirm(asOf)
}

func logRefused(log *zap.Logger, origin view.Origin, ob view.Object, err error) {
	event := events.BadObjectRefused
	if errors.Is(err, view.ErrOlderVersion) {
		event = events.OlderObjectRefused
	}
	event.Log(log, RefusedFields(origin, ob, err)...)
}
