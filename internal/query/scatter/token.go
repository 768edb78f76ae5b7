package scatter

import (
	"context"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
)

// takeRounds bounds how often another replica is chosen because a token was taken by
// another request in the meantime.
const takeRounds = 3

// chooseWithToken chooses a replica and takes the token for a send to it, if it needs one.
// It returns nil if none may be sent to now.
func (ga *gather[R, H, S, M, A]) chooseWithToken(now time.Time, choose func() *machine.Server) *machine.Server {
	for range takeRounds {
		sv := choose()
		if sv == nil || ga.engine.Cold.TrySend(now, sv) {
			return sv
		}
	}
	return nil
}

// awaitsToken reports whether a part could be sent to a cold server as soon as there is a
// token for it.
func (ga *gather[R, H, S, M, A]) awaitsToken(now time.Time, pt *partState[A]) bool {
	if ga.engine.Cold == nil {
		return false
	}
	for _, sv := range pt.shard.Replicas {
		if sv.AcceptsWork(now) && ga.engine.Cold.Limits(now, sv) {
			return true
		}
	}
	return false
}

// returnToken gives back the token of an attempt that did not reach the server.
func (ga *gather[R, H, S, M, A]) returnToken(now time.Time, sv *machine.Server, err error) {
	if err == nil {
		return
	}
	cause, notRun := causeOf(err)
	if notRun && cause != contract.CauseShed && cause != contract.CauseDraining {
		ga.engine.Cold.Return(now, sv)
	}
}

// tokenKey is the key of the context value that says when a token was taken.
type tokenKey struct{}

// withToken returns a context for an attempt whose token was taken now.
func withToken(ctx context.Context, now time.Time) context.Context {
	return context.WithValue(ctx, tokenKey{}, now)
}

// HoldsToken reports whether an attempt holds a token that may still be used: requests
// that waited for a connection must not all be sent when one becomes free.
func HoldsToken(ctx context.Context, now time.Time) bool {
	taken, ok := ctx.Value(tokenKey{}).(time.Time)
	return ok && now.Sub(taken) <= contract.TokenTTL
}
