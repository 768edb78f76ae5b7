package entry

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"daisystage.example/daisystage/internal/wire/entrypb"
)

// FuzzHeartbeat handles arbitrary heartbeats and replies of a peer.
func FuzzHeartbeat(f *testing.F) {
	_, all := newClusters(2)
	seeds := []*entrypb.Heartbeat{
		{},
		all[1].Heartbeat(time.Now(), ""),
		{Sender: &entrypb.Member{Name: "x", HeardMs: 1 << 31}, Members: []*entrypb.Member{{}}, Departures: []*entrypb.Departure{{StartedMs: -1 << 62, AgeMs: 1 << 31}, {Server: "a"}}},
	}
	for _, hb := range seeds {
		text, err := proto.Marshal(hb)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		hb := &entrypb.Heartbeat{}
		if proto.Unmarshal(text, hb) != nil {
			return
		}
		_, all := newClusters(2)
		reply := all[0].HandleHeartbeat(time.Now(), hb)
		if _, err := proto.Marshal(reply); err != nil {
			t.Fatalf("the reply can't be sent: %v", err)
		}
		all[0].handleReply(t.Context(), time.Now(), all[1].Self.EntryAddress, hb)
	})
}
