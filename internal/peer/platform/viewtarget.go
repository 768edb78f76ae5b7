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
func (vt ViewTarget) Apply(_ time.Time, objects []view.Object) {
	ApplyToView(vt.Views, vt.Log, objects)
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

// ApplyToView applies objects to the published view and logs those that it
// refuses.
func ApplyToView(views *rcu.Value[view.View], log *zap.Logger, objects []view.Object) {
	if len(objects) == 0 {
		return
	}
	views.Update(func(vw view.View) view.View {
		return vw.ApplyAll(objects, func(ob view.Object, err error) { logRefused(log, ob, err) })
	})
}

func logRefused(log *zap.Logger, ob view.Object, err error) {
	if errors.Is(err, view.ErrOlderVersion) {
		events.OlderObjectRefused.Log(log, zap.String("key", ob.Key), zap.Int64("version", view.RevisionOf(ob.Version)), zap.Int64("era", view.EraOf(ob.Version)), zap.Error(err))
		return
	}
	events.BadObjectRefused.Log(log, zap.String("key", ob.Key), zap.Int64("version", view.RevisionOf(ob.Version)), zap.Int64("era", view.EraOf(ob.Version)), zap.Error(err))
}
