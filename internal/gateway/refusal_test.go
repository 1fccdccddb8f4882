package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// TestRefusalWhoseBodyDoesNotEndIsRepeatedAtOnce covers a server that refuses, and then sends a byte now and then.
func TestRefusalWhoseBodyDoesNotEndIsRepeatedAtOnce(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go refuseWithoutEnd(c)
		}
	}()
	a, b := platformtest.NewBackend(t, "a"), platformtest.NewBackend(t, "b")
	a.Address = ln.Addr().String()
	f := newFixture(t, a, b)
	for _, id := range []string{"1", "2", "3", "4"} {
		begin := time.Now()
		w, err := f.serve(request(id, "/call"), route(catalog.Call, idempotent))
		assert.NilError(t, err)
		assert.Equal(t, w.Body.String(), "answer "+id)
		assert.Assert(t, time.Since(begin) < 300*time.Millisecond, "%v", time.Since(begin))
	}
}

func refuseWithoutEnd(c net.Conn) {
	defer func() { _ = c.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, err = fmt.Fprintf(c, "HTTP/1.1 503 X\r\nRequest-Id: %s\r\nNot-Run: 1\r\n\r\n", req.Header.Get("Request-Id"))
	drip := time.NewTicker(20 * time.Millisecond)
	defer drip.Stop()
	for err == nil {
		<-drip.C
		_, err = c.Write([]byte("x"))
	}
}
