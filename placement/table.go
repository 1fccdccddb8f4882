// Package placement decides which model, version, adapters and role each backend
// server loads, and keeps the decisions as a fold of one log stream. The position
// of a decision in the log is its fencing token: if two processes decide
// concurrently, every reader sees the same decision as the latest.
//
// Decisions need not outlive the retention of the log: backend servers report
// what they run, and a decision that is made again has a higher position.
package placement

import (
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

// StreamName is the name of the log stream that holds the decisions.
const StreamName = "placement"

// KindAssignment is the entry kind of an Assignment.
const KindAssignment commitlog.EntryKind = 1

// fenceIndexBits is the number of bits of a fencing token that hold the index of
// the entry within its record.
const fenceIndexBits = 16

// ErrInvalidEntry is returned for an entry that the table rejects.
var ErrInvalidEntry = errors.New("placement: invalid entry")

// Spec describes what a backend server runs.
type Spec struct {
	Model    string   `cbor:"1,keyasint"`
	Version  string   `cbor:"2,keyasint"`
	Adapters []string `cbor:"3,keyasint,omitempty"`
	Role     string   `cbor:"4,keyasint,omitempty"`
}

// Equal reports whether two specs are equal.
func (s Spec) Equal(o Spec) bool {
	return s.Model == o.Model && s.Version == o.Version && s.Role == o.Role && slices.Equal(s.Adapters, o.Adapters)
}

// Assignment assigns a spec to one backend server.
type Assignment struct {
	Service  string `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"`
	Spec     Spec   `cbor:"3,keyasint"`
}

// Order is an assignment with its fencing token. Tokens increase with every
// assignment in the log.
type Order struct {
	Fence uint64
	Spec  Spec
}

// Table is the fold of the placement stream. Its mutex guards the orders. Apply is
// called by one goroutine, the other methods by any.
type Table struct {
	mu     sync.RWMutex
	orders map[string]Order
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{orders: make(map[string]Order)} }

// Apply implements commitlog.Fold.
func (t *Table) Apply(pos commitlog.Position, e commitlog.Entry) error {
	if e.Kind != KindAssignment {
		return errors.Wrapf(ErrInvalidEntry, "kind %d", e.Kind)
	}
	var a Assignment
	if err := e.Decode(&a); err != nil {
		return err
	}
	if a.Instance == "" || a.Spec.Model == "" || pos.Index >= 1<<fenceIndexBits {
		return errors.Wrap(ErrInvalidEntry, "assignment has no instance or model, or its record has too many entries")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.orders[a.Instance] = Order{Fence: fencingToken(pos), Spec: a.Spec}
	return nil
}

// fencingToken converts a position to a fencing token, which is never zero.
func fencingToken(pos commitlog.Position) uint64 {
	return (uint64(pos.Offset)+1)<<fenceIndexBits | uint64(pos.Index)
}

// Order returns the current order for an instance.
func (t *Table) Order(instance string) (Order, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	o, ok := t.orders[instance]
	return o, ok
}

// Remove deletes the order of an instance that has been removed permanently.
func (t *Table) Remove(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.orders, instance)
}

// Reset implements commitlog.Resetter. It deletes all orders, because expired ones
// are decided again.
func (t *Table) Reset(commitlog.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.orders = make(map[string]Order)
}
