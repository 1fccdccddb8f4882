package chaos

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// linearTimeout bounds the search for a linearization.
const linearTimeout = 10 * time.Second

// keyInput is one send of a keyed call; the register of its key holds the one
// result that the call may ever have.
type keyInput struct{ key string }

// keyOutput is what the sender was told; an unknown outcome may have set the
// register to anything.
type keyOutput struct {
	known  bool
	result string
}

// keyModel is a register that is set once.
var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make(map[string][]porcupine.Operation)
		for _, op := range history {
			key := op.Input.(keyInput).key
			parts[key] = append(parts[key], op)
		}
		var out [][]porcupine.Operation
		for _, key := range sortedKeys(parts) {
			out = append(out, parts[key])
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		was, out := state.(string), output.(keyOutput)
		switch {
		case !out.known:
			return true, was
		case was == "":
			return true, out.result
		}
		return was == out.result, was
	},
}

// checkKeys checks that the answers to each key are those of a register that
// is set once.
func (c *checker) checkKeys() {
	var ops []porcupine.Operation
	for i, r := range c.history.Records {
		// A chat's answer that could not be kept binds no later answer.
		if r.Op.Kind != KeyedPost && (r.Op.Kind != KeyedChat || !r.Recorded) {
			continue
		}
		ops = append(ops, porcupine.Operation{
			ClientId: i, Input: keyInput{r.Op.ID}, Output: keyOutput{known: r.Whole, result: r.Body},
			Call: r.Start.UnixNano(), Return: r.End.UnixNano(),
		})
	}
	if porcupine.CheckOperationsTimeout(keyModel, ops, linearTimeout) == porcupine.Illegal {
		c.verdict.Found(Duplicate, "keyed calls are not linearizable")
	}
}

// versionInput is one operation on the configuration.
type versionInput struct {
	read bool
	base uint64
	// orphans are versions that were seen in force and that no operator was
	// told of; one whose fate is unknown may have published them.
	orphans []uint64
}

// versionOutput is what its operator was told.
type versionOutput struct {
	known, accepted bool
	version         uint64
}

// versionModel is a compare-and-set of the version in force, which starts at
// first and only rises.
func versionModel(first uint64) porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{first} },
		Step: func(state, input, output any) []any {
			return stepVersion(state.(uint64), input.(versionInput), output.(versionOutput))
		},
	}
	return m.ToModel()
}

func stepVersion(now uint64, in versionInput, out versionOutput) []any {
	switch {
	case in.read:
		return keep(out.version == now, now)
	case out.known && out.accepted:
		return keep(now == in.base && out.version > now, out.version)
	case out.known:
		return keep(now != in.base, now)
	}
	next := []any{now}
	for _, v := range in.orphans {
		if now == in.base && v > now {
			next = append(next, v)
		}
	}
	return next
}

func keep(ok bool, state uint64) []any {
	if ok {
		return []any{state}
	}
	return nil
}

// checkConfiguration checks that publications are a compare-and-set, that no
// process went back and that the last version came into force everywhere.
func (c *checker) checkConfiguration() {
	h := c.history
	for _, text := range h.Reverts {
		c.verdict.Found(Reverted, "%s", text)
	}
	if h.InForce < 0 || h.InForce > inForceBound {
		c.verdict.Found(Reverted, "the last version was in force everywhere after %s", h.InForce)
	}
	orphans := h.orphans()
	var ops []porcupine.Operation
	for i, p := range h.Publishes {
		ops = append(ops, p.operation(i, orphans))
	}
	if porcupine.CheckOperationsTimeout(versionModel(h.First), ops, linearTimeout) == porcupine.Illegal {
		c.verdict.Found(Reverted, "publications are not linearizable from %d: %+v", h.First, h.Publishes)
	}
}

// orphans lists the versions that were read and that no publisher was told of.
func (h *History) orphans() []uint64 {
	told := map[uint64]bool{h.First: true}
	for _, p := range h.Publishes {
		told[p.Version] = told[p.Version] || p.Accepted
	}
	var out []uint64
	for _, p := range h.Publishes {
		if p.IsRead && !told[p.Read] {
			told[p.Read] = true
			out = append(out, p.Read)
		}
	}
	return out
}

// operation is the record as porcupine takes it. A publication whose fate was
// not told may take effect at any later time.
func (p PublishRecord) operation(client int, orphans []uint64) porcupine.Operation {
	op := porcupine.Operation{
		ClientId: client, Call: p.Start.UnixNano(), Return: p.End.UnixNano(),
		Input:  versionInput{read: p.IsRead, base: p.Base, orphans: orphans},
		Output: versionOutput{known: p.Known, accepted: p.Accepted, version: max(p.Version, p.Read)},
	}
	if !p.Known {
		op.Return = math.MaxInt64
	}
	return op
}
