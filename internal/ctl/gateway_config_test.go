package ctl

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const goodGatewayConfig = `{"Version":7,"Routes":[
 {"Name":"chat","Host":"a.example","PathPrefix":"/chat/","RouteType":"stream","TimeoutMs":5000,"TargetLatencyMs":300,"Service":"lm","MaxAttempts":1},
 {"Name":"bulk","Host":"a.example","PathPrefix":"/bulk/","RouteType":"batch","TargetLatencyMs":300,"Service":"lm","CompletionTargetMs":18000,"RetentionS":60,"Cap":100000}],
 "Services":[{"Name":"lm","MaxConnections":100,"Engine":{"Slots":8,"KvCapacityTokens":80000}}],
 "Tenants":[{"Name":"harbour","ApiKeys":["secret-one"],"RatePerS":5,"Burst":5}]}`

func TestCheckGatewayAcceptsAConfigurationThatHolds(t *testing.T) {
	h := newHarness(t)
	code, out, _ := h.run("check-gateway", h.file("c.json", goodGatewayConfig))
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.HasSuffix(out, "valid, version 7\n"), out)
}

// TestCheckGatewayFindsFaults changes one thing of a sound configuration at a time.
func TestCheckGatewayFindsFaults(t *testing.T) {
	for name, c := range map[string]struct{ from, to, finding string }{
		"hidden route":          {`"PathPrefix":"/bulk/"`, `"PathPrefix":"/chat/"`, "route bulk: error: never matches: route chat has the same host and prefix"},
		"prefix":                {`"/chat/"`, `"chat/"`, "does not begin with a slash"},
		"unknown service":       {`"Service":"lm","MaxAttempts":1`, `"Service":"xx","MaxAttempts":1`, "there is no service xx"},
		"timeout":               {`"TimeoutMs":5000`, `"TimeoutMs":200`, "the objective of 300ms exceeds the timeout of 200ms"},
		"no timeout":            {`"TimeoutMs":5000,`, ``, "every request times out at once"},
		"retention":             {`"RetentionS":60`, `"RetentionS":10`, "items are abandoned after 10s"},
		"cap below an item":     {`"Cap":100000`, `"Cap":9000`, "below one item that fills a slot"},
		"burst below a request": {`"Burst":5`, `"Burst":0.5`, "a burst of 0.5 is below one request"},
		"attempts never made":   {`"MaxAttempts":1`, `"MaxAttempts":3`, "may run only once"},
		"shared key":            {`"Tenants":[`, `"Tenants":[{"Name":"quay","ApiKeys":["secret-one"]},`, "it is that of workspace quay"},
		"no key":                {`["secret-one"]`, `[]`, "nobody can use it"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			broken := strings.Replace(goodGatewayConfig, c.from, c.to, 1)
			assert.Assert(t, broken != goodGatewayConfig)
			_, out, _ := h.run("check-gateway", h.file("c.json", broken))
			assert.Assert(t, strings.Contains(out, c.finding), out)
			assert.Assert(t, !strings.Contains(out, "secret-one"), out)
		})
	}
}

func TestCheckGatewayComparesWithTheVersionInForce(t *testing.T) {
	h := newHarness(t)
	next := strings.NewReplacer(`"Version":7`, `"Version":9`, `"RatePerS":5`, `"RatePerS":2`, `secret-one`, `secret-two`).Replace(goodGatewayConfig)
	code, out, _ := h.run("--json", "check-gateway", "--against", h.file("old.json", goodGatewayConfig), h.file("new.json", next))
	assert.Equal(t, code, ExitOK)
	var r gatewayCheck
	assert.NilError(t, json.Unmarshal([]byte(out), &r))
	assert.Equal(t, r.InForce, int64(7))
	var lines []string
	for _, d := range r.Differences {
		lines = append(lines, d.String())
	}
	assert.DeepEqual(t, lines, []string{
		"~ workspace harbour keys: 1 keys -> 1 keys, 1 added and 1 withdrawn",
		"~ workspace harbour requests_per_second: 5 -> 2",
	})
	code, out, _ = h.run("check-gateway", "--against", h.file("newer.json", next), h.file("old.json", goodGatewayConfig))
	assert.Equal(t, code, ExitUsage)
	assert.Assert(t, strings.Contains(out, "gateways would ignore"), out)
}
