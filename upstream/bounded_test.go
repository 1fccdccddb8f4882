package upstream

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestLinesOfABodyDoNotCountAsOnesOfItsHead covers bytes that arrive with the head, in every division into reads.
func TestLinesOfABodyDoNotCountAsOnesOfItsHead(t *testing.T) {
	for _, response := range []string{"HTTP/1.1 200 OK\r\nA: b\r\n\r\n\n\n\nx\n\n", "HTTP/1.1 200 OK\nA: b\n\n\r\n\n\n"} {
		for first := range len(response) {
			for second := first; second <= len(response); second++ {
				var m headMeter
				m.add([]byte(response[:first]))
				m.add([]byte(response[first:second]))
				m.add([]byte(response[second:]))
				assert.Equal(t, m.lines, 3, "%q", response)
			}
		}
	}
}
