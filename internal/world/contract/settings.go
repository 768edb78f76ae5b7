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

// FieldError is the error for a field whose value is not accepted.
type FieldError struct {
	Key string
	// Accepted describes the accepted values.
	Accepted string
}

// Error returns the name of the field and the accepted values.
func (fe *FieldError) Error() string {
	return fmt.Sprintf("%s: accepted is %s", fe.Key, fe.Accepted)
}

// SettingError is an error in the text of a setting, with its position.
type SettingError struct {
	// Path is the path of the setting or the name of a file.
	Path string
	// Line is the line number from 1; 0 is unknown.
	Line int
	Err  error
}

// Error returns the path, the line and the underlying error.
func (se *SettingError) Error() string {
	return fmt.Sprintf("%s:%d: %v", se.Path, se.Line, se.Err)
}

// Unwrap returns the underlying error.
func (se *SettingError) Unwrap() error {
	return se.Err
}

// DecodeTOML decodes a TOML document into value. It returns a SettingError with
// the given path for unknown keys and other errors.
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

// WithPosition adds the path and the line of the key to a FieldError. It
// returns other errors, and nil, unchanged.
func WithPosition(path, body string, err error) error {
	field := (*FieldError)(nil)
	if !errors.As(err, &field) {
		return err
	}
	return &SettingError{path, lineOf(body, field.Key), err}
}

// lineOf returns the number of the first line that sets the key, 1 if there is
// none.
func lineOf(body, key string) int {
	for at, line := range strings.Split(body, "\n") {
		name, _, found := strings.Cut(line, "=")
		if found && strings.TrimSpace(name) == key {
			return at + 1
		}
	}
	return 1
}

// Kind is the kind of a setting.
type Kind string

// The kinds of settings.
const (
	KindRoute  Kind = "routes"
	KindLimits Kind = "limits"
)

// Path is the parsed path of a setting.
type Path struct {
	Team string
	Kind Kind
	// Route is empty for limits.
	Route string
}

var pathPattern = regexp.MustCompile(`^teams/([a-z0-9][a-z0-9_-]{0,63})/(?:(limits)|routes/([a-z0-9][a-z0-9_-]{0,63}))$`)

// ErrBadPath is returned for a path that is not the path of a setting.
var ErrBadPath = errors.New("path is neither teams/<team>/routes/<route> nor teams/<team>/limits, in lower case")

// ParsePath parses the path of a setting.
func ParsePath(path string) (Path, error) {
	found := pathPattern.FindStringSubmatch(path)
	switch {
	case found == nil:
		return Path{}, fmt.Errorf("setting %q: %w", path, ErrBadPath)
	case found[2] != "":
		return Path{Team: found[1], Kind: KindLimits}, nil
	default:
		return Path{Team: found[1], Kind: KindRoute, Route: found[3]}, nil
	}
}

// RoutePath returns the path of a route's setting.
func RoutePath(team, route string) string {
	return "teams/" + team + "/routes/" + route
}

// LimitsPath returns the path of the setting with a team's limits.
func LimitsPath(team string) string {
	return "teams/" + team + "/limits"
}

// Revision is one immutable version of a setting, stored in the platform.
type Revision struct {
	Path string `json:"path"`
	// Body is the setting in TOML.
	Body string `json:"body"`
	// Previous is the hash of the preceding revision; empty for the first one.
	Previous string `json:"previous"`
	// ChangeID identifies a change; it is the same if the change is sent again.
	ChangeID  string    `json:"change_id"`
	Author    string    `json:"author"`
	Reason    string    `json:"reason"`
	WrittenAt time.Time `json:"written_at"`
}

// Encode returns the canonical JSON text of the revision and its hash.
func (rv Revision) Encode() (text, hash string) {
	rv.WrittenAt = rv.WrittenAt.UTC()
	buffer := &bytes.Buffer{}
	encoder := json.NewEncoder(buffer)
	encoder.SetEscapeHTML(false)
	// Encoding a struct of strings and a time can't fail.
	_ = encoder.Encode(rv)
	return buffer.String(), hashText(buffer.String())
}

func hashText(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// Setting is the revision in force under a path, decoded.
type Setting struct {
	Revision
	Hash string
	// Version is the version of the setting's object in the platform.
	Version int64
	// Route is set if the setting is a route, else Limits is set.
	Route  *Route
	Limits *Limits
	// State is shared by all versions of a route's setting.
	State *RouteState
}

// ParseSetting decodes and validates the value of a setting's object.
func ParseSetting(path string, version int64, value string) (*Setting, error) {
	var rv Revision
	if err := json.Unmarshal([]byte(value), &rv); err != nil {
		return nil, fmt.Errorf("decode revision under %s: %w", path, err)
	}
	if rv.Path != path {
		return nil, fmt.Errorf("revision of %s stands under %s", rv.Path, path)
	}
	// Hash the stored text, not the result of Encode: encoding changes text that
	// is not valid UTF-8.
	st := &Setting{Revision: rv, Hash: hashText(value), Version: version}
	if err := st.parseBody(); err != nil {
		return nil, err
	}
	return st, nil
}

// CheckBody validates the path and the body of a setting.
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
	return WithPosition(path, body, value.Validate())
}
