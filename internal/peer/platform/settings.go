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
	// PrefixRevisions is the key prefix of the revisions in the platform.
	PrefixRevisions = "revisions/"
	// maxSettingAttempts limits the attempts to write one change.
	maxSettingAttempts = 8
	// settingRetryPause is the mean wait before the next attempt.
	settingRetryPause = 50 * time.Millisecond
	// maxChainDepth limits the revisions that are searched for a change that
	// was written already.
	maxChainDepth = 50
)

// ErrChanged means that the setting has changed since the revision that a change
// is based on.
var ErrChanged = errors.New("the setting was changed by somebody else")

// ErrOutcomeUnknown means that it is unknown whether a change took effect.
var ErrOutcomeUnknown = errors.New("the platform did not tell whether the change took effect; send it again with the same change id")

// PutSetting writes a change of a setting and returns the setting. rv.Previous
// is the hash of the revision that the change is based on, empty for none. If a
// change with the same change id and author was written already, its revision is
// returned instead. If the outcome of a write stays unknown, the error is
// ErrOutcomeUnknown.
func PutSetting(ctx context.Context, store Store, rv contract.Revision) (*contract.Setting, error) {
	if err := contract.CheckBody(rv.Path, rv.Body); err != nil {
		return nil, err
	}
	maybeWritten := false
	var lastErr error
	for range maxSettingAttempts {
		st, done, err := tryPut(ctx, store, rv, &maybeWritten)
		if done {
			return st, err
		}
		lastErr = err
		sleep(ctx, jitter(settingRetryPause))
	}
	if maybeWritten {
		return nil, fmt.Errorf("put setting %s: %w: %w", rv.Path, ErrOutcomeUnknown, lastErr)
	}
	return nil, fmt.Errorf("put setting %s, nothing was changed: %w", rv.Path, lastErr)
}

// tryPut makes one attempt, and reports whether its result is final. It sets
// maybeWritten once a write of the path may have taken effect.
func tryPut(ctx context.Context, store Store, rv contract.Revision, maybeWritten *bool) (*contract.Setting, bool, error) {
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
	*maybeWritten = true
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

// readSetting returns the setting of a path with its version; nil and 0 if there
// is none.
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

// findChange searches the chain of revisions for that of a change, from current
// back to the revision that the change is based on. It returns nil if there is
// none.
func findChange(ctx context.Context, store Store, current *contract.Setting, rv contract.Revision) (*contract.Setting, error) {
	st := current
	for range maxChainDepth {
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

// GetRevision reads one revision by its hash. The version in the result is 0,
// since a revision is stored before its setting is written and gets a version.
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

// SettingHistory returns the revisions of a path, newest first.
func SettingHistory(ctx context.Context, store Store, path string, limit int) ([]*contract.Setting, error) {
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
