package contract

import (
	"cmp"
	"crypto/rand"
	"crypto/sha256"
	"slices"
	"strings"
)

// Customer is one of the customers whose requests carry a key.
type Customer struct {
	// Name is unique in its table. Servers get it with each request of the customer.
	Name string `json:"name"`
	// Priority takes precedence over that of the route; 0 is the highest. Nil if the
	// customer has none.
	Priority *int `json:"priority,omitempty"`
	// Limit bounds the customer's requests; its zero value sets no limit.
	Limit SharedRate `json:"limit"`
}

// KeyFingerprint stands for a customer's key. It is salted, so that it is of no use
// outside of this process, and a key can't be computed from one that is logged. The zero
// value is that of no key.
type KeyFingerprint [fingerprintSize]byte

const (
	// fingerprintSize is that of a truncated SHA-256; 128 bits are enough that no two of
	// any number of keys are mistaken for each other.
	fingerprintSize = 16
	// saltSize leaves room for a key of 39 characters in one block of SHA-256.
	saltSize = 16
	// usualKeySize is the length of a key up to which no memory is allocated.
	usualKeySize = 112
)

// keySalt is prepended to keys. It differs between processes.
var keySalt = func() (salt [saltSize]byte) {
	// Read never fails.
	_, _ = rand.Read(salt[:])
	return salt
}()

// FingerprintOfKey returns the fingerprint of a key; the zero value for an empty one.
func FingerprintOfKey(key string) KeyFingerprint {
	if key == "" {
		return KeyFingerprint{}
	}
	var buffer [saltSize + usualKeySize]byte
	sum := sha256.Sum256(append(append(buffer[:0], keySalt[:]...), key...))
	return KeyFingerprint(sum[:])
}

// String hides the fingerprint from logs.
func (KeyFingerprint) String() string {
	return "key"
}

// MarshalText hides the fingerprint from dumps.
func (kf KeyFingerprint) MarshalText() ([]byte, error) {
	return []byte(kf.String()), nil
}

// KeyedCustomer is a customer with its keys, as a configuration lists them.
type KeyedCustomer struct {
	Customer
	Keys []string
}

// customers holds the customers of a table, with their keys by fingerprint. A lookup
// compares fingerprints only, so that its duration tells nothing about the keys.
type customers struct {
	byKey map[KeyFingerprint]*Customer
	// required is set if the configuration has a list of customers, even if it is empty
	// or none is usable.
	required bool
}

// SetCustomers sets the customers of a table before it is published. A customer without
// a usable name and a key held by several customers are left out, since neither proves
// whose request it is; all others stay valid. Entries with the same name are one customer
// with the keys of all and the settings of the first. Without a list (nil) requests
// need no keys; with an empty one none is valid: the last may have been withdrawn.
func (tb *Table) SetCustomers(listed []KeyedCustomer) {
	byName := map[string]*Customer{}
	tb.customers = customers{byKey: map[KeyFingerprint]*Customer{}, required: listed != nil}
	for _, kc := range listed {
		if !isHeaderValue(kc.Name) {
			tb.UnusableCustomers++
			continue
		}
		cu := byName[kc.Name]
		if cu == nil {
			cu = &kc.Customer
			byName[kc.Name] = cu
			tb.Customers = append(tb.Customers, cu)
		}
		for _, key := range kc.Keys {
			tb.customers.add(key, cu)
		}
	}
	for _, cu := range tb.customers.byKey {
		if cu == nil {
			tb.AmbiguousKeys++
		}
	}
	slices.SortFunc(tb.Customers, func(a, b *Customer) int { return cmp.Compare(a.Name, b.Name) })
}

// add adds a key of a customer. A key of several customers maps to nil.
func (cs *customers) add(key string, cu *Customer) {
	fingerprint := FingerprintOfKey(key)
	if fingerprint == (KeyFingerprint{}) {
		return
	}
	if other, ok := cs.byKey[fingerprint]; ok && other != cu {
		cu = nil
	}
	cs.byKey[fingerprint] = cu
}

// isHeaderValue reports whether a name reaches servers unchanged as the value of a
// header: it is not empty, has no control characters and no blanks at its ends.
func isHeaderValue(name string) bool {
	isControl := func(char rune) bool { return char < ' ' || char == 0x7f }
	return name != "" && strings.TrimSpace(name) == name && strings.IndexFunc(name, isControl) < 0
}

// HasCustomers reports whether the table has a list of customers, so that requests need keys
// and no key may reach a server.
func (tb *Table) HasCustomers() bool {
	return tb.customers.required
}

// CustomerOf returns the customer that holds a key; nil if there is none.
func (tb *Table) CustomerOf(key KeyFingerprint) *Customer {
	return tb.customers.byKey[key]
}
