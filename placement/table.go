// Package placement decides which model, version, adapters and role each
// backend server loads, and keeps the decisions as a fold of one log stream.
// The position of a decision in the log is its fencing number: of two deciders
// that race, every reader sees the same one last.
//
// Decisions need not outlive the log's retention: backend servers report what
// they run, and a decision that is made anew stands at a higher position.
package placement

import (
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

// StreamName is the log stream that decisions are kept in.
const StreamName = "placement"

// KindAssignment is the entry kind of an Assign.
const KindAssignment commitlog.EntryKind = 1

// fenceIndexBits is how many bits of a fencing number hold the entry's index
// within its record.
const fenceIndexBits = 16

// ErrRecord says that an entry is refused by rule.
var ErrRecord = errors.New("placement: record refused")

// Spec is what a backend server runs.
type Spec struct {
	Model    string   `cbor:"1,keyasint"`
	Version  string   `cbor:"2,keyasint"`
	Adapters []string `cbor:"3,keyasint,omitempty"`
	Role     string   `cbor:"4,keyasint,omitempty"`
}

// Equal reports whether two specs are the same.
func (s Spec) Equal(o Spec) bool {
	return s.Model == o.Model && s.Version == o.Version && s.Role == o.Role && slices.Equal(s.Adapters, o.Adapters)
}

// Assignment says what one backend server is to run.
type Assignment struct {
	Service  string `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"`
	Spec     Spec   `cbor:"3,keyasint"`
}

// Order is an assignment with its fencing number, which grows with every
// assignment in the log.
type Order struct {
	Fence uint64
	Spec  Spec
}

// Table is the fold of the placement stream. Its mutex guards the orders; Apply
// is called by one goroutine, the queries by any.
type Table struct {
	mu     sync.RWMutex
	orders map[string]Order
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{orders: make(map[string]Order)} }

// Apply implements commitlog.Fold.
func (t *Table) Apply(pos commitlog.Position, e commitlog.Entry) error {
	if e.Kind != KindAssignment {
		return errors.Wrapf(ErrRecord, "kind %d", e.Kind)
	}
	var a Assignment
	if err := e.Decode(&a); err != nil {
		return err
	}
	if a.Instance == "" || a.Spec.Model == "" || pos.Index >= 1<<fenceIndexBits {
		return errors.Wrap(ErrRecord, "no instance or model, or too many entries")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.orders[a.Instance] = Order{Fence: fence(pos), Spec: a.Spec}
	return nil
}

// fence turns a position into a fencing number above zero.
func fence(pos commitlog.Position) uint64 {
	return (uint64(pos.Offset)+1)<<fenceIndexBits | uint64(pos.Index)
}

// Order returns the order in force for an instance.
func (t *Table) Order(instance string) (Order, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	o, ok := t.orders[instance]
	return o, ok
}

// Forget drops the order of an instance that is gone for good.
func (t *Table) Forget(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.orders, instance)
}

// Reset implements commitlog.Resetter: orders that expired are made anew.
func (t *Table) Reset(commitlog.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.orders = make(map[string]Order)
}
