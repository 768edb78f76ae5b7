package contract

import (
	"errors"
	"fmt"
)

// Severity tells whether a configuration must not or should not be used.
type Severity string

// The severities. An error is refused when the configuration is read, or certain to
// refuse requests; a warning has no effect or is probably not meant.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// FindingCode is the kind of a finding, for programs.
type FindingCode string

// The codes of findings about a listing.
const (
	FindingInvalid       FindingCode = "invalid"
	FindingDuplicate     FindingCode = "duplicate_name"
	FindingShadowed      FindingCode = "shadowed"
	FindingNeverMatches  FindingCode = "never_matches"
	FindingUnused        FindingCode = "unused_service"
	FindingUnlisted      FindingCode = "unlisted_service"
	FindingRepeated      FindingCode = "repeated"
	FindingZeroWeight    FindingCode = "zero_weight"
	FindingNoKey         FindingCode = "no_key"
	FindingSharedKey     FindingCode = "shared_key"
	FindingUnusableKey   FindingCode = "unusable_key"
	FindingBadName       FindingCode = "unusable_name"
	FindingBadRate       FindingCode = "bad_rate"
	FindingContradiction FindingCode = "contradiction"
	FindingAttempts      FindingCode = "many_attempts"
	FindingIgnored       FindingCode = "ignored_value"
	FindingSmallLimit    FindingCode = "small_limit"
)

// ListKind names a list of a listing.
type ListKind string

// The lists, and the limits, of which there is one.
const (
	ListRoutes    ListKind = "routes"
	ListServices  ListKind = "services"
	ListCustomers ListKind = "customers"
	ListLimits    ListKind = "limits"
)

// Field names a field of an entry of a list.
type Field string

// The fields that findings refer to.
const (
	FieldName            Field = "name"
	FieldHost            Field = "host"
	FieldPrefix          Field = "prefix"
	FieldServices        Field = "services"
	FieldWeight          Field = "weight"
	FieldShards          Field = "shards"
	FieldTopK            Field = "top_k"
	FieldMinCoverage     Field = "min_coverage"
	FieldTimeout         Field = "timeout"
	FieldGoal            Field = "goal"
	FieldMaxAttempts     Field = "max_attempts"
	FieldConnectionLimit Field = "connection_limit"
	FieldWarmUp          Field = "warm_up"
	FieldWarmUpRate      Field = "warm_up_rate"
	FieldKeys            Field = "keys"
	FieldRate            Field = "rate"
	FieldBurst           Field = "burst"
	FieldHeaderBytes     Field = "header_bytes"
	FieldBodyBytes       Field = "body_bytes"
	FieldHeaderTimeout   Field = "header_timeout"
	FieldIdleTimeout     Field = "idle_timeout"
)

// noItem is the item of a place that is a whole field.
const noItem = -1

// Place is where in a listing a finding applies.
type Place struct {
	List ListKind
	// Index is the position in the list; 0 for the limits.
	Index int
	// Field is empty if the place is the whole entry.
	Field Field
	// Item is the position in a field that is a list, or negative.
	Item int
}

// Finding is one thing that is wrong with a listing.
type Finding struct {
	Severity Severity
	Code     FindingCode
	Place    Place
	// Message never contains a customer's key.
	Message string
}

// fault is a reason for which an entry of a configuration is refused.
type fault struct {
	field   Field
	message string
}

type faults []fault

func (fs *faults) addIf(isFault bool, field Field, format string, values ...any) {
	if isFault {
		*fs = append(*fs, fault{field, fmt.Sprintf(format, values...)})
	}
}

// first returns the first fault as an error; nil if there is none.
func (fs faults) first() error {
	if len(fs) == 0 {
		return nil
	}
	return errors.New(fs[0].message)
}
