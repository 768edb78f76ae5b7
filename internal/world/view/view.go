// Package view holds the immutable state that requests read: a local copy of the
// platform's settings, servers, snapshots, tokens and routing configuration.
package view

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"daisystage.example/daisystage/internal/container/cowmap"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
	"daisystage.example/daisystage/internal/world/snapshot"
)

// The key prefixes of the platform's objects that make up a view.
const (
	PrefixTeams     = "teams/"
	PrefixServers   = "servers/"
	PrefixSnapshots = "snapshots/"
	PrefixTokens    = "tokens/"
)

// Prefixes returns the key prefixes of all objects in a view.
func Prefixes() []string {
	return []string{PrefixTeams, PrefixServers, PrefixSnapshots, PrefixTokens}
}

// Object is one object of the platform.
type Object struct {
	Key string
	// Version is the platform's version (MakeVersion) at the last change of the object.
	// Each change of any object increases it.
	Version int64
	Value   string
	// Deleted marks the record of a deletion.
	Deleted bool
	// SeenAt is when the change became known to the first entry VM that passed it on;
	// zero if unknown. It does not count in digests.
	SeenAt time.Time
}

// Token grants its bearer access to one subtree of settings.
type Token struct {
	// Author is recorded in revisions that are written with the token.
	Author string `json:"author"`
	// Subtree is a path prefix that ends with a slash, such as "teams/gaisma/".
	Subtree string `json:"subtree"`
}

// Allows reports whether the token may read and change a path.
func (tk Token) Allows(path string) bool {
	return strings.HasSuffix(tk.Subtree, "/") && strings.HasPrefix(path, tk.Subtree)
}

// TokenKey returns the key of the object for a token. It contains the hash of the
// secret, not the secret itself.
func TokenKey(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return PrefixTokens + hex.EncodeToString(sum[:])
}

// View is an immutable copy of the platform's state. A request uses the view that
// was current when it began until its end.
type View struct {
	Copy
	Settings    cowmap.Map[*contract.Setting]
	Servers     cowmap.Map[*machine.Server]
	Collections cowmap.Map[*snapshot.Collection]
	Tokens      cowmap.Map[Token]
}

// ApplyAll returns the view with objects applied that were received together. refused is
// called for each that can't be.
func (vw View) ApplyAll(objects []Object, refused func(ob Object, err error)) View {
	for _, ob := range marksLast(objects) {
		next, err := vw.Apply(ob)
		if err != nil {
			refused(ob, err)
		}
		vw = next
	}
	return vw
}

// Apply returns the view with an object applied. An object whose version is already
// applied changes nothing, and an older version results in ErrOlderVersion.
// An object that can't be decoded results in an error; the state that it would
// replace remains in force, but the object is recorded in Copy.
func (vw View) Apply(ob Object) (View, error) {
	cp, changed, err := vw.Copy.With(ob)
	if err != nil || !changed {
		return vw, err
	}
	if ob.isEraMark() {
		return vw.applyEraMark(cp, ob), nil
	}
	next, err := vw.applyByPrefix(ob)
	if err != nil {
		next = vw
	}
	next.Copy = cp
	return next, err
}

// applyEraMark deletes the objects that a mark replaces; cp is the copy with the mark.
func (vw View) applyEraMark(cp Copy, mark Object) View {
	cp, dropped := cp.withoutMarked(mark)
	for _, ob := range dropped {
		ob.Deleted = true
		if next, err := vw.applyByPrefix(ob); err == nil {
			vw = next
		}
	}
	vw.Copy = cp
	return vw
}

// applyByPrefix decodes the object according to its key prefix and returns the view
// with the result.
func (vw View) applyByPrefix(ob Object) (View, error) {
	switch {
	case strings.HasPrefix(ob.Key, PrefixTeams):
		return vw.applySetting(ob)
	case strings.HasPrefix(ob.Key, PrefixServers):
		return vw.applyServer(ob)
	case strings.HasPrefix(ob.Key, PrefixSnapshots):
		return vw.applySnapshot(ob)
	case strings.HasPrefix(ob.Key, PrefixTokens):
		return vw.applyToken(ob)
	}
	return vw, fmt.Errorf("object %s has no known prefix", ob.Key)
}

func (vw View) applySetting(ob Object) (View, error) {
	if ob.Deleted {
		vw.Settings = vw.Settings.Without(ob.Key)
		return vw, nil
	}
	st, err := contract.ParseSetting(ob.Key, ob.Version, ob.Value)
	if err != nil {
		return vw, fmt.Errorf("apply setting: %w", err)
	}
	st.State = contract.NewRouteState()
	if have, ok := vw.Settings.Get(ob.Key); ok {
		st.State = have.State
	}
	vw.Settings = vw.Settings.With(ob.Key, st)
	return vw, nil
}

func (vw View) applyServer(ob Object) (View, error) {
	name := strings.TrimPrefix(ob.Key, PrefixServers)
	if ob.Deleted {
		vw.Servers = vw.Servers.Without(name)
		return vw, nil
	}
	sv := &machine.Server{State: &machine.ServerState{}}
	if err := json.Unmarshal([]byte(ob.Value), sv); err != nil {
		return vw, fmt.Errorf("decode %s: %w", ob.Key, err)
	}
	if sv.Name != name || !isInRange(sv) {
		return vw, fmt.Errorf("server %s: name, address, slots or connection limit is invalid", name)
	}
	if have, ok := vw.Servers.Get(name); ok && have.Address == sv.Address && have.StartedAt.Equal(sv.StartedAt) {
		sv.State = have.State
	}
	vw.Servers = vw.Servers.With(name, sv)
	return vw, nil
}

// The most slots and connections of a server; each connection takes room in a pool.
const (
	maxSlots           = 1 << 16
	maxConnectionLimit = 1 << 14
)

// isInRange reports whether the address and the numbers of a server's record can
// be used.
func isInRange(sv *machine.Server) bool {
	_, port, err := net.SplitHostPort(sv.Address)
	number, portErr := strconv.ParseUint(port, 10, 16)
	return err == nil && portErr == nil && number > 0 &&
		sv.Slots >= 1 && sv.Slots <= maxSlots && sv.ConnectionLimit >= 1 && sv.ConnectionLimit <= maxConnectionLimit
}

func (vw View) applySnapshot(ob Object) (View, error) {
	name, id, found := strings.Cut(strings.TrimPrefix(ob.Key, PrefixSnapshots), "/")
	if !found {
		return vw, fmt.Errorf("snapshot key %s: want %s<collection>/<id>", ob.Key, PrefixSnapshots)
	}
	cl, ok := vw.Collections.Get(name)
	if !ok {
		cl = &snapshot.Collection{Name: name}
	}
	if ob.Deleted {
		vw.Collections = vw.Collections.With(name, cl.Without(id))
		return vw, nil
	}
	mf := &snapshot.Manifest{}
	if err := json.Unmarshal([]byte(ob.Value), mf); err != nil {
		return vw, fmt.Errorf("decode %s: %w", ob.Key, err)
	}
	if mf.Collection != name || mf.ID != id {
		return vw, fmt.Errorf("manifest of %s/%s is stored under %s", mf.Collection, mf.ID, ob.Key)
	}
	if err := mf.Validate(); err != nil {
		return vw, fmt.Errorf("apply %s: %w", ob.Key, err)
	}
	vw.Collections = vw.Collections.With(name, cl.With(mf))
	return vw, nil
}

func (vw View) applyToken(ob Object) (View, error) {
	if ob.Deleted {
		vw.Tokens = vw.Tokens.Without(ob.Key)
		return vw, nil
	}
	var tk Token
	if err := json.Unmarshal([]byte(ob.Value), &tk); err != nil {
		return vw, fmt.Errorf("decode token: %w", err)
	}
	vw.Tokens = vw.Tokens.With(ob.Key, tk)
	return vw, nil
}

// Limits returns the limits of a team, the default ones if it has no setting.
func (vw *View) Limits(team string) contract.Limits {
	if st, ok := vw.Settings.Get(contract.LimitsPath(team)); ok && st.Limits != nil {
		return *st.Limits
	}
	return contract.Limits{}.Defaults()
}
