package platform

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	peerplatform "daisystage.example/daisystage/internal/peer/platform"
)

// stores returns constructors of the tested Store implementations: the stand-in
// itself, and the client of internal/peer/platform calling the stand-in's API.
func stores(t *testing.T) map[string]func() peerplatform.Store {
	return map[string]func() peerplatform.Store{
		"store": func() peerplatform.Store { return NewStore() },
		"client": func() peerplatform.Store {
			routes, err := Routes(NewFaultyStore(NewStore()))
			assert.NilError(t, err)
			hs := httptest.NewServer(routes)
			t.Cleanup(hs.Close)
			address := strings.TrimPrefix(hs.URL, "http://")
			client, err := peerplatform.New([]string{address}, hs.Client(), peerplatform.RateLimits{ReadsPerSecond: 1000, WritesPerSecond: 1000})
			assert.NilError(t, err)
			return client
		},
	}
}

func TestStoreContract(t *testing.T) {
	tests := []struct {
		name string
		do   func(ctx context.Context, t *testing.T, sr peerplatform.Store)
	}{
		{"an absent object is not found", func(ctx context.Context, t *testing.T, sr peerplatform.Store) {
			_, err := sr.Get(ctx, "a/1")
			assert.ErrorIs(t, err, peerplatform.ErrNotFound)
			assert.ErrorIs(t, sr.Delete(ctx, "a/1", 1), peerplatform.ErrNotFound)
		}},
		{"creating an existing object is a conflict", func(ctx context.Context, t *testing.T, sr peerplatform.Store) {
			_, err := sr.Put(ctx, "a/1", "one", 0)
			assert.NilError(t, err)
			_, err = sr.Put(ctx, "a/1", "two", 0)
			assert.ErrorIs(t, err, peerplatform.ErrConflict)
		}},
		{"an update needs the current version", func(ctx context.Context, t *testing.T, sr peerplatform.Store) {
			first, err := sr.Put(ctx, "a/1", "one", 0)
			assert.NilError(t, err)
			second, err := sr.Put(ctx, "a/1", "two", first)
			assert.NilError(t, err)
			assert.Assert(t, second > first)
			_, err = sr.Put(ctx, "a/1", "three", first)
			assert.ErrorIs(t, err, peerplatform.ErrConflict)
			ob, err := sr.Get(ctx, "a/1")
			assert.NilError(t, err)
			assert.Equal(t, ob.Value, "two")
			assert.Equal(t, ob.Version, second)
		}},
		{"a delete needs the current version", func(ctx context.Context, t *testing.T, sr peerplatform.Store) {
			first, err := sr.Put(ctx, "a/1", "one", 0)
			assert.NilError(t, err)
			assert.ErrorIs(t, sr.Delete(ctx, "a/1", first+1), peerplatform.ErrConflict)
			assert.NilError(t, sr.Delete(ctx, "a/1", first))
			_, err = sr.Get(ctx, "a/1")
			assert.ErrorIs(t, err, peerplatform.ErrNotFound)
		}},
		{"a value above a megabyte is refused", func(ctx context.Context, t *testing.T, sr peerplatform.Store) {
			_, err := sr.Put(ctx, "a/1", strings.Repeat("x", 1<<20+1), 0)
			assert.Assert(t, err != nil)
			_, err = sr.Get(ctx, "a/1")
			assert.ErrorIs(t, err, peerplatform.ErrNotFound)
		}},
		{"a list holds only keys with its prefix", func(ctx context.Context, t *testing.T, sr peerplatform.Store) {
			for _, key := range []string{"a/2", "b/1", "a/1"} {
				_, err := sr.Put(ctx, key, key, 0)
				assert.NilError(t, err)
			}
			objects, version, err := sr.List(ctx, "a/")
			assert.NilError(t, err)
			assert.Equal(t, len(objects), 2)
			assert.Equal(t, objects[0].Key, "a/1")
			assert.Equal(t, version, int64(3))
		}},
		{"a watch returns changes after its version", func(ctx context.Context, t *testing.T, sr peerplatform.Store) {
			first, err := sr.Put(ctx, "a/1", "one", 0)
			assert.NilError(t, err)
			_, err = sr.Put(ctx, "b/1", "one", 0)
			assert.NilError(t, err)
			assert.NilError(t, sr.Delete(ctx, "a/1", first))
			objects, next, err := sr.Watch(ctx, "a/", first, time.Millisecond)
			assert.NilError(t, err)
			assert.Equal(t, len(objects), 1)
			assert.Assert(t, objects[0].Deleted)
			objects, again, err := sr.Watch(ctx, "a/", next, time.Millisecond)
			assert.NilError(t, err)
			assert.Equal(t, len(objects), 0)
			assert.Equal(t, again, next)
		}},
		{"a waiting watch returns on a change", func(ctx context.Context, t *testing.T, sr peerplatform.Store) {
			go func() { _, _ = sr.Put(ctx, "a/1", "one", 0) }()
			objects, _, err := sr.Watch(ctx, "a/", 0, 20*time.Second)
			assert.NilError(t, err)
			assert.Equal(t, len(objects), 1)
		}},
	}
	for name, open := range stores(t) {
		for _, tt := range tests {
			t.Run(name+"/"+tt.name, func(t *testing.T) {
				tt.do(t.Context(), t, open())
			})
		}
	}
}
