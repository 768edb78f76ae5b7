package entry

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"

	"daisystage.example/daisystage/internal/node/events"
	"daisystage.example/daisystage/internal/wire/entrypb"
	"daisystage.example/daisystage/internal/world/view"
)

// handleReply processes a peer's reply to a heartbeat: it pulls missing objects
// and takes over the peer's confirmation if the digests are the same. Ages in the
// reply are subtracted from sentAt, which is before the reply was made, so that no
// confirmation is taken for more recent than it is.
func (cr *Cluster) handleReply(ctx context.Context, sentAt time.Time, address string, reply *entrypb.Heartbeat) {
	cp := cr.Replica.Current()
	same := reply.Digest == cp.Digest
	behind := cp.HadDigest(reply.Version, reply.Digest)
	if !same && !behind && cr.shouldPull(sentAt, reply) {
		same = cr.pull(ctx, address, reply)
	}
	if same || behind {
		cr.wasInSync.Store(true)
	}
	if same && reply.Confirmed {
		cr.Confirmation.Confirm(sentAt.Add(-time.Duration(reply.ConfirmedMs) * time.Millisecond))
	}
	cr.members.Update(func(old members) members {
		mb, ok := old[reply.GetSender().GetName()]
		if !ok {
			return old
		}
		next := maps.Clone(old)
		mb.AnsweredAt, mb.PlatformDown = sentAt, reply.PlatformDown
		mb.Mismatches++
		if same || behind {
			mb.Mismatches = 0
		}
		next[reply.GetSender().GetName()] = mb
		return next
	})
}

// shouldPull reports whether a difference of the digests needs a pull. One that
// this process's own watch will probably resolve within a round does not.
func (cr *Cluster) shouldPull(now time.Time, reply *entrypb.Heartbeat) bool {
	mb := (*cr.members.Load())[reply.GetSender().GetName()]
	return cr.isFollower() || cr.hasNewerTable(reply) || mb.Mismatches > 0 || now.Sub(cr.Confirmation.AsOf()) > watchLag
}

// pull fetches the objects that a peer has and this process lacks, and reports
// whether the digests are the same afterwards.
func (cr *Cluster) pull(ctx context.Context, address string, reply *entrypb.Heartbeat) bool {
	mb := (*cr.members.Load())[reply.GetSender().GetName()]
	after := cr.Replica.Current().Version
	switch {
	case mb.Mismatches >= fullPullAfter:
		after = 0
	case mb.Mismatches > 0:
		after = max(min(after, reply.Version)-pullOverlap, 0)
	}
	after = cr.Replica.Current().PullStart(after)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pullTimeout)
	defer cancel()
	sentAt := time.Now()
	pulled, err := cr.Transport.Pull(ctx, address, &entrypb.PullRequest{After: after, Have: cr.Replica.Current().Digests(after)})
	if err != nil {
		events.PeerFailed.Log(cr.Log, zap.String("address", address), zap.Error(err))
		return false
	}
	before := cr.Replica.Current().Digest
	origin := view.Origin{Source: view.SourcePeer, Peer: reply.GetSender().GetName()}
	cr.Replica.Apply(time.Now(), origin, cr.Replica.Current().Newer(decodeObjects(sentAt, pulled.Objects)))
	digest := cr.Replica.Current().Digest
	if digest != before {
		events.PulledFromPeer.Log(cr.Log, zap.String("peer", reply.GetSender().GetName()), zap.Int64("version", view.RevisionOf(pulled.Version)))
	}
	return digest == reply.Digest
}

// decodeObjects decodes the objects of a pull. Ages are subtracted from sentAt, when
// the pull was sent, so that no change is taken for more recent than it is.
func decodeObjects(sentAt time.Time, pulled []*entrypb.Object) []view.Object {
	objects := make([]view.Object, len(pulled))
	for i, ob := range pulled {
		objects[i] = view.Object{Key: ob.Key, Version: ob.Version, Value: ob.Value, Deleted: ob.Deleted}
		if objects[i].HasAge() {
			objects[i].SeenAt = sentAt.Add(-time.Duration(ob.AgeMs) * time.Millisecond)
		}
	}
	return objects
}

// HandlePull returns the objects that a peer requests.
func (cr *Cluster) HandlePull(now time.Time, rq *entrypb.PullRequest) *entrypb.PullReply {
	cp := cr.Replica.Current()
	reply := &entrypb.PullReply{Version: cp.Version}
	for _, ob := range cp.NewerThan(rq.After, rq.Have) {
		message := &entrypb.Object{Key: ob.Key, Version: ob.Version, Value: ob.Value, Deleted: ob.Deleted}
		if ob.HasAge() && !ob.SeenAt.IsZero() {
			message.AgeMs = ageMillis(now, ob.SeenAt)
		}
		reply.Objects = append(reply.Objects, message)
	}
	return reply
}

// confirmDuringOutage keeps the view confirmed while the platform answers no
// entry VM. It does so if a majority of the entry VMs, one of them in another
// zone, report that the platform is down and have the same digest.
func (cr *Cluster) confirmDuringOutage(now time.Time) {
	if !cr.PlatformDown() {
		return
	}
	cp := cr.Replica.Current()
	if cp.Version == 0 {
		return
	}
	digest := cp.Digest
	known := *cr.members.Load()
	agree, otherZone := 1, false
	for _, mb := range known {
		recent := now.Sub(mb.AnsweredAt) <= agreementMaxAge
		if recent && mb.PlatformDown && mb.Digest == digest {
			agree++
			otherZone = otherZone || mb.Zone != cr.Self.Zone
		}
	}
	if otherZone && 2*agree > len(known)+1 {
		cr.Confirmation.FreezeUntil(now.Add(agreementTTL))
	}
}
