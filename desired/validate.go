package desired

import (
	"encoding/hex"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/catkinrudder/catkinrudder/desired/stricttoml"
)

// Bounds on the values of a document.
const (
	maxSlots           = 4096
	maxTries           = 100
	maxReplicas        = 1 << 16
	maxDeadline        = 24 * time.Hour
	maxResultRetention = 366 * 24 * time.Hour
	keyHashBytes       = 32
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "*"}

// Validate checks the document. Its error is a *stricttoml.Error without file
// positions; Parse adds them.
func (d *Document) Validate() error {
	var c stricttoml.Collector
	d.checkWorkspaces(&c)
	d.checkServices(&c)
	return c.Err()
}

func (d *Document) checkWorkspaces(c *stricttoml.Collector) {
	names := make(map[string]bool)
	owners := make(map[string]string)
	for i, w := range d.Workspaces {
		key := fmt.Sprintf("workspace[%d]", i)
		checkName(c, key+".name", w.Name, names)
		if len(w.KeySHA256) == 0 {
			c.Add(key+".key_sha256", "add the SHA-256 of a bearer key in hexadecimal", "a workspace without a key is not reachable")
		}
		for _, hash := range w.KeySHA256 {
			checkKeyHash(c, key+".key_sha256", hash, w.Name, owners)
		}
		w.Limits.check(c, key+".limits")
	}
}

func checkKeyHash(c *stricttoml.Collector, key, hash, workspace string, owners map[string]string) {
	b, err := hex.DecodeString(hash)
	if err != nil || len(b) != keyHashBytes {
		c.Add(key, "write the output of sha256sum, 64 hexadecimal digits, and never the key itself", "not a SHA-256 hash")
		return
	}
	hash = strings.ToLower(hash)
	if other, ok := owners[hash]; ok {
		c.Add(key, "give every workspace keys of its own", "the same key is already that of workspace %q", other)
	}
	owners[hash] = workspace
}

func (l Limits) check(c *stricttoml.Collector, key string) {
	if !finite(l.RequestsPerSecond) || l.RequestsPerSecond < 0 {
		c.Add(key+".requests_per_second", "", "%v is not a rate", l.RequestsPerSecond)
	}
	checkNotNegative(c, key+".burst", l.Burst)
	checkNotNegative(c, key+".max_online", l.MaxOnline)
	checkNotNegative(c, key+".max_jobs", l.MaxJobs)
	if l.Burst > 0 && l.RequestsPerSecond == 0 {
		c.Add(key+".burst", "set requests_per_second too", "a burst without a rate has no effect")
	}
}

func (d *Document) checkServices(c *stricttoml.Collector) {
	if len(d.Services) == 0 {
		c.Add("service", "add a [[service]] table", "at least one service is needed")
	}
	names := make(map[string]bool)
	models := make(map[string]string)
	for i := range d.Services {
		key := fmt.Sprintf("service[%d]", i)
		s := &d.Services[i]
		checkName(c, key+".name", s.Name, names)
		s.check(c, key, models)
	}
}

func (s *Service) check(c *stricttoml.Collector, key string, models map[string]string) {
	switch s.Kind {
	case Model:
		s.checkModels(c, key, models)
	case Plain:
		s.checkPlain(c, key)
	default:
		c.Add(key+".kind", stricttoml.Suggest(string(s.Kind), []string{string(Model), string(Plain)}), "unknown kind %q", s.Kind)
	}
	s.checkLogDown(c, key)
	checkWeight(c, key+".online_weight", s.OnlineWeight)
	checkWeight(c, key+".batch_weight", s.BatchWeight)
	checkDuration(c, key+".ttft_target", s.TTFTTarget, maxDeadline)
	checkDuration(c, key+".tbt_target", s.TBTTarget, maxDeadline)
	checkDuration(c, key+".deadline", s.Deadline, maxDeadline)
	checkDuration(c, key+".result_retention", s.ResultRetention, maxResultRetention)
	checkRange(c, key+".slots", s.Slots, maxSlots)
	checkRange(c, key+".max_tries", s.MaxTries, maxTries)
	if s.TTFTTarget > s.Deadline {
		c.Add(key+".ttft_target", "raise deadline or lower ttft_target", "longer than the deadline of %s", time.Duration(s.Deadline))
	}
}

func (s *Service) checkLogDown(c *stricttoml.Collector, key string) {
	if s.LogDown != AnswerUnrecorded && s.LogDown != RefuseNotRun {
		known := []string{string(AnswerUnrecorded), string(RefuseNotRun)}
		c.Add(key+".log_down", stricttoml.Suggest(string(s.LogDown), known), "unknown rule %q", s.LogDown)
	}
}

func (s *Service) checkModels(c *stricttoml.Collector, key string, models map[string]string) {
	if len(s.Models) == 0 {
		c.Add(key+".models", "list the model names that callers may ask for", "a model service needs a model")
	}
	for _, m := range s.Models {
		if m == "" {
			c.Add(key+".models", "", "a model name must not be empty")
			continue
		}
		if other, ok := models[m]; ok {
			c.Add(key+".models", "name each model once", "model %q is already served by service %q", m, other)
		}
		models[m] = s.Name
	}
	s.checkDeploy(c, key)
	if len(s.Calls) > 0 {
		c.Add(key+".call[0]", "set kind = \"plain\" or remove the call", "a model service has no calls to mark")
	}
}

// checkDeploy checks that every deployed model is a model of the service, and that
// every model of the service is deployed if any is.
func (s *Service) checkDeploy(c *stricttoml.Collector, key string) {
	seen := make(map[string]bool)
	for i, d := range s.Deploy {
		dk := fmt.Sprintf("%s.deploy[%d]", key, i)
		if !slices.Contains(s.Models, d.Model) {
			c.Add(dk+".model", stricttoml.Suggest(d.Model, s.Models), "%q is not among the service's models", d.Model)
		}
		if seen[d.Model] {
			c.Add(dk+".model", "remove one of them", "model %q is deployed twice", d.Model)
		}
		seen[d.Model] = true
		if d.Version == "" {
			c.Add(dk+".version", "", "the version must be set")
		}
		checkRange(c, dk+".replicas", d.Replicas, maxReplicas)
	}
	for _, m := range s.Models {
		if len(s.Deploy) > 0 && !seen[m] {
			c.Add(key+".deploy", "add a deploy for it or remove it from models", "model %q is not deployed", m)
		}
	}
}

func (s *Service) checkPlain(c *stricttoml.Collector, key string) {
	if len(s.Models) > 0 {
		c.Add(key+".models", "set kind = \"model\" or remove models", "a plain service has no models")
	}
	if len(s.Deploy) > 0 {
		c.Add(key+".deploy[0]", "set kind = \"model\" or remove the deploy", "a plain service has no models")
	}
	seen := make(map[Call]bool)
	for i, call := range s.Calls {
		callKey := fmt.Sprintf("%s.call[%d]", key, i)
		call.check(c, callKey)
		id := Call{Method: call.Method, Path: call.Path}
		if seen[id] {
			c.Add(callKey+".path", "remove one of them", "the call %s %s is listed twice", call.Method, call.Path)
		}
		seen[id] = true
	}
}

func (call Call) check(c *stricttoml.Collector, key string) {
	known := false
	for _, m := range methods {
		known = known || m == call.Method
	}
	if !known {
		c.Add(key+".method", stricttoml.Suggest(call.Method, methods), "unknown method %q", call.Method)
	}
	if !strings.HasPrefix(call.Path, "/") {
		c.Add(key+".path", fmt.Sprintf("write %q", "/"+call.Path), "path %q does not start with /", call.Path)
	}
	if star := strings.Index(call.Path, "*"); star >= 0 && star != len(call.Path)-1 {
		c.Add(key+".path", "", "* may stand at the end of a path only")
	}
}

func checkName(c *stricttoml.Collector, key, name string, seen map[string]bool) {
	if !namePattern.MatchString(name) {
		c.Add(key, "use 1 to 63 lower-case letters, digits, '.', '_' and '-'", "bad name %q", name)
		return
	}
	if seen[name] {
		c.Add(key, "give each one a name of its own", "name %q is used twice", name)
	}
	seen[name] = true
}

func checkWeight(c *stricttoml.Collector, key string, w float64) {
	if !finite(w) || w <= 0 {
		c.Add(key, "", "%v is not a positive weight", w)
	}
}

func checkDuration(c *stricttoml.Collector, key string, d Duration, limit time.Duration) {
	if d < 0 || time.Duration(d) > limit {
		c.Add(key, "", "%s is not between 0s and %s", time.Duration(d), limit)
	}
}

func checkRange(c *stricttoml.Collector, key string, n, limit int) {
	if n < 1 || n > limit {
		c.Add(key, "", "%d is not between 1 and %d", n, limit)
	}
}

func checkNotNegative(c *stricttoml.Collector, key string, n int) {
	if n < 0 {
		c.Add(key, "", "%d is negative", n)
	}
}

func finite(f float64) bool { return !math.IsNaN(f) && !math.IsInf(f, 0) }
