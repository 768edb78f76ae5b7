package view

import "fmt"

// OlderError is the ErrOlderVersion of one object.
type OlderError struct {
	Key string
	// Version is that of the object, Have that of the one in force, or of the mark that
	// replaced it.
	Version, Have int64
}

// Error implements error.
func (oe *OlderError) Error() string {
	return fmt.Sprintf("object %s at %s, have %s: %v", oe.Key, FormatVersion(oe.Version), FormatVersion(oe.Have), ErrOlderVersion)
}

// Unwrap returns ErrOlderVersion.
func (oe *OlderError) Unwrap() error { return ErrOlderVersion }

// ObjectError is the reason why an object was not applied to a fleet.
type ObjectError struct {
	Object Object
	Err    error
}

// Error implements error.
func (oe *ObjectError) Error() string {
	return fmt.Sprintf("object %s: %v", oe.Object.Key, oe.Err)
}

// Unwrap returns the reason.
func (oe *ObjectError) Unwrap() error { return oe.Err }

// TableError is the error of a FleetCodec for a configuration that can't be used.
type TableError struct {
	// Version is that of the configuration; 0 if it can't be read.
	Version int64
	Err     error
}

// Error implements error.
func (te *TableError) Error() string { return te.Err.Error() }

// Unwrap returns the reason.
func (te *TableError) Unwrap() error { return te.Err }
