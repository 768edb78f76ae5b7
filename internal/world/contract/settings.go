package contract

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// FieldError says that a field is out of its range.
type FieldError struct {
	Key      string
	Accepted string
}

// Error names the field and its range.
func (fe *FieldError) Error() string {
	return fmt.Sprintf("%s: accepted is %s", fe.Key, fe.Accepted)
}

// SettingError says what is wrong with the text of a setting.
type SettingError struct {
	// Path is the path of the setting or the name of the file.
	Path string
	// Line counts from 1; 0 is unknown.
	Line int
	Err  error
}

// Error returns path, line and fault.
func (se *SettingError) Error() string {
	return fmt.Sprintf("%s:%d: %v", se.Path, se.Line, se.Err)
}

// Unwrap returns the fault.
func (se *SettingError) Unwrap() error {
	return se.Err
}

// DecodeTOML reads a whole TOML text into value and refuses unknown keys. path
// stands in the error.
func DecodeTOML(path, body string, value any) error {
	decoder := toml.NewDecoder(strings.NewReader(body))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(value)
	if err == nil {
		return nil
	}
	if strict := (*toml.StrictMissingError)(nil); errors.As(err, &strict) {
		first := strict.Errors[0]
		line, _ := first.Position()
		return &SettingError{path, line, fmt.Errorf("unknown key %s", strings.Join(first.Key(), "."))}
	}
	if decode := (*toml.DecodeError)(nil); errors.As(err, &decode) {
		line, _ := decode.Position()
		if key := strings.Join(decode.Key(), "."); key != "" {
			return &SettingError{path, line, fmt.Errorf("%s: %w", key, err)}
		}
		return &SettingError{path, line, err}
	}
	return &SettingError{path, 0, err}
}

// Located adds the path and the line of the key to a FieldError.
func Located(path, body string, err error) error {
	field := (*FieldError)(nil)
	if !errors.As(err, &field) {
		return err
	}
	return &SettingError{path, lineOf(body, field.Key), err}
}

func lineOf(body, key string) int {
	for at, line := range strings.Split(body, "\n") {
		name, _, found := strings.Cut(line, "=")
		if found && strings.TrimSpace(name) == key {
			return at + 1
		}
	}
	return 1
}

// Kind is the kind of setting that stands under a path.
type Kind string

// The kinds of settings.
const (
	KindRoute  Kind = "routes"
	KindLimits Kind = "limits"
)

// Path is the path of a setting.
type Path struct {
	Team string
	Kind Kind
	// Route is empty for limits.
	Route string
}

var pathForm = regexp.MustCompile(`^teams/([a-z0-9][a-z0-9_-]{0,63})/(?:(limits)|routes/([a-z0-9][a-z0-9_-]{0,63}))$`)

// ErrBadPath says that a path is not one of a setting.
var ErrBadPath = errors.New("path is neither teams/<team>/routes/<route> nor teams/<team>/limits, in lower case")

// ParsePath reads the path of a setting.
func ParsePath(path string) (Path, error) {
	found := pathForm.FindStringSubmatch(path)
	switch {
	case found == nil:
		return Path{}, fmt.Errorf("setting %q: %w", path, ErrBadPath)
	case found[2] != "":
		return Path{Team: found[1], Kind: KindLimits}, nil
	default:
		return Path{Team: found[1], Kind: KindRoute, Route: found[3]}, nil
	}
}

// RoutePath returns the path of a route.
func RoutePath(team, route string) string {
	return "teams/" + team + "/routes/" + route
}

// LimitsPath returns the path of a team's limits.
func LimitsPath(team string) string {
	return "teams/" + team + "/limits"
}

// Revision is one immutable version of a setting, kept in the platform.
type Revision struct {
	Path string `json:"path"`
	// Body is TOML.
	Body string `json:"body"`
	// Previous is the hash of the revision that this one follows; empty for
	// the first.
	Previous string `json:"previous"`
	// ChangeID is the same for all sends of one change.
	ChangeID  string    `json:"change_id"`
	Author    string    `json:"author"`
	Reason    string    `json:"reason"`
	WrittenAt time.Time `json:"written_at"`
}

// Encode returns the canonical text of the revision and its hash.
func (rv Revision) Encode() (text, hash string) {
	rv.WrittenAt = rv.WrittenAt.UTC()
	buffer := &bytes.Buffer{}
	encoder := json.NewEncoder(buffer)
	encoder.SetEscapeHTML(false)
	// A struct of strings and a time always encodes.
	_ = encoder.Encode(rv)
	return buffer.String(), hashText(buffer.String())
}

func hashText(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// Setting is a revision as it stands under its path.
type Setting struct {
	Revision
	Hash string
	// Version is the platform's version of the path's object.
	Version int64
	// Route is set for routes, Limits for limits.
	Route  *Route
	Limits *Limits
	// State is set for routes and is shared by all versions of a path.
	State *RouteState
}

// ParseSetting reads and checks the value of a path's object.
func ParseSetting(path string, version int64, value string) (*Setting, error) {
	var rv Revision
	if err := json.Unmarshal([]byte(value), &rv); err != nil {
		return nil, fmt.Errorf("decode revision under %s: %w", path, err)
	}
	if rv.Path != path {
		return nil, fmt.Errorf("revision of %s stands under %s", rv.Path, path)
	}
	// The hash is of the text as it stands: a text that is not valid UTF-8
	// would be another one when encoded again.
	st := &Setting{Revision: rv, Hash: hashText(value), Version: version}
	if err := st.parseBody(); err != nil {
		return nil, err
	}
	return st, nil
}

// CheckBody checks the text of a setting as a whole.
func CheckBody(path, body string) error {
	st := &Setting{Revision: Revision{Path: path, Body: body}}
	return st.parseBody()
}

func (st *Setting) parseBody() error {
	pt, err := ParsePath(st.Path)
	if err != nil {
		return err
	}
	if pt.Kind == KindLimits {
		lm := Limits{}.Defaults()
		st.Limits = &lm
		return decodeChecked(st.Path, st.Body, &lm)
	}
	rt := Route{}.Defaults()
	st.Route = &rt
	return decodeChecked(st.Path, st.Body, &rt)
}

func decodeChecked[V interface{ Validate() error }](path, body string, value V) error {
	if err := DecodeTOML(path, body, value); err != nil {
		return err
	}
	return Located(path, body, value.Validate())
}
