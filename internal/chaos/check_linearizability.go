package chaos

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// linearizabilityTimeout bounds the search for a linearization.
const linearizabilityTimeout = 10 * time.Second

// keyInput is one send of a keyed call. The register of its key holds the only result
// that the call may have.
type keyInput struct{ key string }

// keyOutput is the response to a send. A send with unknown outcome may have set the
// register to any result.
type keyOutput struct {
	known  bool
	result string
}

// keyModel is a write-once register.
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

// checkKeys checks that the responses under each key are those of a write-once
// register.
func (c *checker) checkKeys() {
	var ops []porcupine.Operation
	for i, r := range c.history.Records {
		// A chat response that could not be stored does not determine later ones.
		if r.Op.Kind != KeyedPost && (r.Op.Kind != KeyedChat || !r.Recorded) {
			continue
		}
		ops = append(ops, porcupine.Operation{
			ClientId: i, Input: keyInput{r.Op.ID}, Output: keyOutput{known: r.Complete, result: r.Body},
			Call: r.Start.UnixNano(), Return: r.End.UnixNano(),
		})
	}
	if porcupine.CheckOperationsTimeout(keyModel, ops, linearizabilityTimeout) == porcupine.Illegal {
		c.verdict.AddFinding(Duplicate, "keyed calls are not linearizable")
	}
}

// versionInput is an operation on the configuration.
type versionInput struct {
	read bool
	base uint64
	// unattributed are versions that were read as in force without an acknowledged
	// publication. A publication with unknown outcome may have created them.
	unattributed []uint64
}

// versionOutput is the result that the operator received.
type versionOutput struct {
	known, accepted bool
	version         uint64
}

// versionModel is a compare-and-set of the version in force, which starts at first and
// only increases.
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
		return stateIf(out.version == now, now)
	case out.known && out.accepted:
		return stateIf(now == in.base && out.version > now, out.version)
	case out.known:
		return stateIf(now != in.base, now)
	}
	next := []any{now}
	for _, v := range in.unattributed {
		if now == in.base && v > now {
			next = append(next, v)
		}
	}
	return next
}

func stateIf(ok bool, state uint64) []any {
	if ok {
		return []any{state}
	}
	return nil
}

// checkConfiguration checks that publications are a compare-and-set, that no process
// went back to an older version and that the last version came into force everywhere.
func (c *checker) checkConfiguration() {
	h := c.history
	for _, text := range h.VersionRegressions {
		c.verdict.AddFinding(ConfigurationBreach, "%s", text)
	}
	if h.InForceAfter < 0 || h.InForceAfter > inForceBound {
		c.verdict.AddFinding(ConfigurationBreach, "the last version was in force everywhere after %s (negative: not in time)", h.InForceAfter)
	}
	unattributed := h.unattributedVersions()
	var ops []porcupine.Operation
	for i, p := range h.Publishes {
		ops = append(ops, p.operation(i, unattributed))
	}
	if porcupine.CheckOperationsTimeout(versionModel(h.FirstVersion), ops, linearizabilityTimeout) == porcupine.Illegal {
		c.verdict.AddFinding(ConfigurationBreach, "publications are not linearizable from %d: %+v", h.FirstVersion, h.Publishes)
	}
}

// unattributedVersions returns the versions that were read without an acknowledged
// publication.
func (h *History) unattributedVersions() []uint64 {
	acknowledged := map[uint64]bool{h.FirstVersion: true}
	for _, p := range h.Publishes {
		acknowledged[p.Version] = acknowledged[p.Version] || p.Accepted
	}
	var out []uint64
	for _, p := range h.Publishes {
		if p.IsRead && !acknowledged[p.Read] {
			acknowledged[p.Read] = true
			out = append(out, p.Read)
		}
	}
	return out
}

// operation converts the record for porcupine. A publication with unknown outcome may
// take effect at any later time.
func (p PublishRecord) operation(client int, unattributed []uint64) porcupine.Operation {
	op := porcupine.Operation{
		ClientId: client, Call: p.Start.UnixNano(), Return: p.End.UnixNano(),
		Input:  versionInput{read: p.IsRead, base: p.Base, unattributed: unattributed},
		Output: versionOutput{known: p.Known, accepted: p.Accepted, version: max(p.Version, p.Read)},
	}
	if !p.Known {
		op.Return = math.MaxInt64
	}
	return op
}
