package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"daisystage.example/daisystage/internal/world/contract"
)

const (
	// PrefixRevisions is the prefix of the revisions in the platform.
	PrefixRevisions = "revisions/"
	// settingTries bounds the tries of one change.
	settingTries = 8
	// settingPause is the wait before the next try.
	settingPause = 50 * time.Millisecond
	// chainDepth bounds the search for an own revision in the chain.
	chainDepth = 50
)

// ErrChanged says that the setting is not the one that a change was based on.
var ErrChanged = errors.New("the setting was changed by somebody else")

// ErrFateOpen says that it is not known whether a change took effect.
var ErrFateOpen = errors.New("the platform did not tell whether the change took effect; send it again with the same change id")

// PutSetting writes a change of a setting. basedOn is the hash of the revision
// that it follows, empty for none. A change that was written already, by its
// change id, is returned as it stands.
func PutSetting(ctx context.Context, store Store, rv contract.Revision) (*contract.Setting, error) {
	if err := contract.CheckBody(rv.Path, rv.Body); err != nil {
		return nil, err
	}
	tried := false
	var lastErr error
	for range settingTries {
		st, done, err := putOnce(ctx, store, rv, &tried)
		if done {
			return st, err
		}
		lastErr = err
		sleep(ctx, jitter(settingPause))
	}
	if tried {
		return nil, fmt.Errorf("put setting %s: %w: %w", rv.Path, ErrFateOpen, lastErr)
	}
	return nil, fmt.Errorf("put setting %s, nothing was changed: %w", rv.Path, lastErr)
}

// putOnce makes one try. tried is set once a write of the path may have taken
// effect.
func putOnce(ctx context.Context, store Store, rv contract.Revision, tried *bool) (*contract.Setting, bool, error) {
	current, version, err := readSetting(ctx, store, rv.Path)
	if err != nil {
		return nil, false, err
	}
	if current != nil {
		own, err := findChange(ctx, store, current, rv)
		if err != nil {
			return nil, false, err
		}
		if own != nil {
			return own, true, nil
		}
	}
	if hashOf(current) != rv.Previous {
		return nil, true, fmt.Errorf("put setting %s based on %q, in force is %q: %w", rv.Path, rv.Previous, hashOf(current), ErrChanged)
	}
	text, hash := rv.Encode()
	_, err = store.Put(ctx, PrefixRevisions+hash, text, 0)
	if err != nil && !errors.Is(err, ErrConflict) {
		return nil, false, err
	}
	*tried = true
	written, err := store.Put(ctx, rv.Path, text, version)
	if err != nil {
		return nil, false, err
	}
	st, err := contract.ParseSetting(rv.Path, written, text)
	return st, true, err
}

func hashOf(st *contract.Setting) string {
	if st == nil {
		return ""
	}
	return st.Hash
}

// readSetting returns nil and version 0 if nothing stands under the path.
func readSetting(ctx context.Context, store Store, path string) (*contract.Setting, int64, error) {
	ob, err := store.Get(ctx, path)
	if errors.Is(err, ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	st, err := contract.ParseSetting(path, ob.Version, ob.Value)
	if err != nil {
		return nil, 0, err
	}
	return st, ob.Version, nil
}

// findChange looks for the revision of a change in the chain that ends with
// current, back to what the change is based on.
func findChange(ctx context.Context, store Store, current *contract.Setting, rv contract.Revision) (*contract.Setting, error) {
	st := current
	for range chainDepth {
		if st.ChangeID == rv.ChangeID && st.Author == rv.Author {
			return st, nil
		}
		if st.Hash == rv.Previous || st.Previous == "" {
			return nil, nil
		}
		previous, err := GetRevision(ctx, store, st.Previous)
		if err != nil {
			return nil, err
		}
		st = previous
	}
	return nil, nil
}

// GetRevision reads one revision by its hash. Its version is 0, since a
// revision does not know under which one it was in force.
func GetRevision(ctx context.Context, store Store, hash string) (*contract.Setting, error) {
	ob, err := store.Get(ctx, PrefixRevisions+hash)
	if err != nil {
		return nil, fmt.Errorf("get revision: %w", err)
	}
	var rv contract.Revision
	if err := json.Unmarshal([]byte(ob.Value), &rv); err != nil {
		return nil, fmt.Errorf("decode revision %s: %w", hash, err)
	}
	return &contract.Setting{Revision: rv, Hash: hash}, nil
}

// LogSetting returns the revisions of a path, newest first.
func LogSetting(ctx context.Context, store Store, path string, limit int) ([]*contract.Setting, error) {
	st, _, err := readSetting(ctx, store, path)
	if err != nil {
		return nil, fmt.Errorf("log setting %s: %w", path, err)
	}
	var chain []*contract.Setting
	for st != nil && len(chain) < limit {
		chain = append(chain, st)
		if st.Previous == "" {
			break
		}
		if st, err = GetRevision(ctx, store, st.Previous); err != nil {
			return nil, fmt.Errorf("log setting %s: %w", path, err)
		}
	}
	return chain, nil
}
