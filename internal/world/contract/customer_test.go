package contract

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func tableWith(t testing.TB, listed ...KeyedCustomer) *Table {
	t.Helper()
	tb, err := NewTable(1, nil, nil, CallerLimits{}.Defaults())
	assert.NilError(t, err)
	tb.SetCustomers(listed)
	return tb
}

func listed(name string, keys ...string) KeyedCustomer {
	return KeyedCustomer{Customer: Customer{Name: name}, Keys: keys}
}

// TestCustomersOfTable guards against an entry that is unusable or in conflict with
// another and that takes the keys of others out of force, or assigns a request to the
// wrong customer.
func TestCustomersOfTable(t *testing.T) {
	tests := []struct {
		name   string
		listed []KeyedCustomer
		// want maps keys to names of customers; empty for none.
		want                map[string]string
		unusable, ambiguous int
	}{
		{name: "none", want: map[string]string{"k": "", "": ""}},
		{name: "usual", listed: []KeyedCustomer{listed("a", "k1", "k2"), listed("b", "k3")}, want: map[string]string{"k1": "a", "k2": "a", "k3": "b", "K1": "", "k": "", "": ""}},
		{name: "without keys", listed: []KeyedCustomer{listed("a"), listed("b", "", "k")}, want: map[string]string{"": "", "k": "b"}},
		{name: "key twice in a customer", listed: []KeyedCustomer{listed("a", "k", "k")}, want: map[string]string{"k": "a"}},
		{name: "key of two customers", listed: []KeyedCustomer{listed("a", "k", "k1"), listed("b", "k", "k2")}, want: map[string]string{"k": "", "k1": "a", "k2": "b"}, ambiguous: 1},
		{name: "key of three customers", listed: []KeyedCustomer{listed("a", "k"), listed("b", "k"), listed("a", "k")}, want: map[string]string{"k": ""}, ambiguous: 1},
		{name: "name twice", listed: []KeyedCustomer{listed("a", "k1"), listed("a", "k2", "k1")}, want: map[string]string{"k1": "a", "k2": "a"}},
		{name: "no name", listed: []KeyedCustomer{listed("", "k1"), listed("a", "k2")}, want: map[string]string{"k1": "", "k2": "a"}, unusable: 1},
		{
			name:   "names that servers would not get unchanged",
			listed: []KeyedCustomer{listed("a\r\nX: y", "k1"), listed(" a", "k2"), listed("a\x7f", "k3"), listed("ä b", "k4")},
			want:   map[string]string{"k1": "", "k2": "", "k3": "", "k4": "ä b"}, unusable: 3,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tb := tableWith(t, tt.listed...)
			assert.Equal(t, tb.HasCustomers(), len(tt.listed) > 0)
			for key, name := range tt.want {
				cu := tb.CustomerOf(FingerprintOfKey(key))
				assert.Equal(t, cu != nil, name != "", key)
				assert.Assert(t, cu == nil || cu.Name == name, key)
			}
			assert.Equal(t, tb.UnusableCustomers, tt.unusable)
			assert.Equal(t, tb.AmbiguousKeys, tt.ambiguous)
		})
	}
}

// TestKeysAreNotPrinted guards against keys in logs and dumps, and against fingerprints
// that are the same in other processes.
func TestKeysAreNotPrinted(t *testing.T) {
	tb := tableWith(t, listed("a", "secret-key"))
	fingerprint := FingerprintOfKey("secret-key")
	dump, err := json.Marshal(map[string]any{"table": tb, "key": fingerprint})
	assert.NilError(t, err)
	printed := string(dump) + fmt.Sprintf("%v %+v %s %v", tb, tb, fingerprint, fingerprint)
	assert.Assert(t, !strings.Contains(printed, "secret"))
	assert.Assert(t, !strings.Contains(string(dump), fmt.Sprintf("%x", fingerprint[:])))
	unsalted := sha256.Sum256([]byte("secret-key"))
	assert.Assert(t, fingerprint != KeyFingerprint(unsalted[:]), "not salted")
}

// BenchmarkCustomerOf looks keys up in a table of 100,000, half of them unknown. It must
// take less than 1 us.
func BenchmarkCustomerOf(b *testing.B) {
	const count = 100_000
	customers := make([]KeyedCustomer, count)
	keys := make([]string, 2*count)
	for i := range keys {
		keys[i] = fmt.Sprintf("key-%032x", i)
		if i < count {
			customers[i] = listed(fmt.Sprint("customer-", i), keys[i])
		}
	}
	tb := tableWith(b, customers...)
	b.ReportAllocs()
	at := 0
	for b.Loop() {
		at = (at + 7919) % len(keys)
		if (tb.CustomerOf(FingerprintOfKey(keys[at])) != nil) != (at < count) {
			b.Fatal("wrong customer")
		}
	}
}
