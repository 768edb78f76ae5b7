package platform

import (
	"errors"

	"go.uber.org/zap"

	"daisystage.example/daisystage/internal/world/view"
)

// OriginFields returns the fields of a log line about objects from an origin.
func OriginFields(origin view.Origin) []zap.Field {
	return []zap.Field{zap.String("source", string(origin.Source)), zap.String("peer", origin.Peer)}
}

// RefusedFields returns the fields of a log line about an object that was refused: the
// versions of the object and, if it is older, of the one in force.
func RefusedFields(origin view.Origin, ob view.Object, err error) []zap.Field {
	fields := append(OriginFields(origin), zap.String("key", ob.Key), zap.Int64("era", view.EraOf(ob.Version)), zap.Int64("revision", view.RevisionOf(ob.Version)), zap.Error(err))
	var older *view.OlderError
	if errors.As(err, &older) {
		fields = append(fields, zap.Int64("have_era", view.EraOf(older.Have)), zap.Int64("have_revision", view.RevisionOf(older.Have)))
	}
	return fields
}
