package eventstream_test

import (
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/eventstream"
)

// comment is the id that stands for a comment in the tables.
const comment = "a comment"

func TestOnlyTheNextEventFollows(t *testing.T) {
	const gap, repeated, bare, counted, late = eventstream.Gap, eventstream.Repeated, eventstream.Unnumbered, eventstream.Numbered, eventstream.NotAtStart
	for name, c := range map[string]struct {
		after string
		ids   []string
		// want is the violation of the last id.
		want eventstream.Reason
	}{
		"from one":                     {"", []string{"1", "2", "3"}, ""},
		"from zero":                    {"", []string{"0", "1"}, ""},
		"wholly unnumbered":            {"", []string{"", "", ""}, ""},
		"names":                        {"", []string{"a", "b", ""}, ""},
		"comments anywhere":            {"", []string{comment, "1", comment, comment, "2"}, ""},
		"comment before a late start":  {"", []string{comment, "2"}, late},
		"starts in the middle":         {"", []string{"5"}, late},
		"starts below zero":            {"", []string{"-1"}, late},
		"missing":                      {"", []string{"1", "3"}, gap},
		"missing behind a comment":     {"", []string{"1", comment, "3"}, gap},
		"twice":                        {"", []string{"1", "2", "2"}, repeated},
		"back at the start":            {"", []string{"1", "2", "1"}, repeated},
		"error in the middle":          {"", []string{"1", ""}, bare},
		"name in the middle":           {"", []string{"1", "error"}, bare},
		"number beyond 64 bits":        {"", []string{"1", "99999999999999999999"}, bare},
		"number after none":            {"", []string{"", "1"}, counted},
		"number after a name":          {"", []string{"a", "2"}, counted},
		"resumed":                      {"3", []string{"4", "5"}, ""},
		"resumed after zero":           {"0", []string{"1"}, ""},
		"resumed from the start":       {"3", []string{"1"}, repeated},
		"resumed where it was cut":     {"3", []string{"3"}, repeated},
		"resumed too late":             {"3", []string{"5"}, gap},
		"resumed without number":       {"3", []string{""}, bare},
		"resumed at the last number":   {"9223372036854775807", []string{"-9223372036854775808"}, repeated},
		"resumed after a name":         {"a", []string{"7", "8"}, ""},
		"gap after a name":             {"a", []string{"7", "9"}, gap},
		"resumed name without numbers": {"a", []string{"", "b"}, ""},
		"resumed name, then a number":  {"a", []string{"b", "1"}, counted},
	} {
		t.Run(name, func(t *testing.T) {
			sequence := eventstream.After(c.after)
			for i, id := range c.ids {
				hasData := id != comment
				if !hasData {
					id = ""
				}
				err := sequence.Accept(id, hasData)
				if i < len(c.ids)-1 || c.want == "" {
					assert.NilError(t, err)
					continue
				}
				var violation *eventstream.OrderError
				assert.Assert(t, errors.As(err, &violation), "%v", err)
				assert.Equal(t, violation.Reason, c.want)
				assert.Equal(t, violation.ID, id)
			}
		})
	}
}

func TestRefusedEventLeavesTheSequenceAsItIs(t *testing.T) {
	sequence := eventstream.After("2")
	assert.Error(t, sequence.Accept("5", true), `event id "5" does not follow "2": gap, expected the next number`)
	assert.Assert(t, sequence.Accept("", true) != nil)
	assert.Assert(t, !sequence.Unnumbered())
	assert.NilError(t, sequence.Accept("3", false))
	assert.NilError(t, sequence.Accept("4", true))
}

func TestUnnumberedSequenceIsKnownFromItsFirstEvent(t *testing.T) {
	for id, want := range map[string]bool{"": true, "a": true, "1": false} {
		var sequence eventstream.Sequence
		assert.NilError(t, sequence.Accept("", false))
		assert.Assert(t, !sequence.Unnumbered())
		assert.NilError(t, sequence.Accept(id, true))
		assert.Equal(t, sequence.Unnumbered(), want, id)
	}
}
