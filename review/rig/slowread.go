package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The long answers of the case with slow clients, and how fast a slow client reads.
const (
	longAnswerBytes = 1_500_000
	slowReadBytes   = 60_000
	slowReadPause   = 100 * time.Millisecond
	// clientLimit is the time limit of a client, in ms, which is also the route's timeout.
	clientLimit = 4000
	slowClients = 8
)

func safeRoute() map[string]any {
	return map[string]any{
		"Name": "r-safe", "Host": host, "PathPrefix": "/puxa403/", "RouteType": "safe", "TimeoutMs": clientLimit, "TargetLatencyMs": 400,
		"Priority": 2, "Service": "app", "MaxAttempts": 3,
	}
}

// answerLong answers at once, with the number of bytes that the last part of the path names.
func answerLong(w http.ResponseWriter, r *http.Request, _ []byte) string {
	n, err := strconv.Atoi(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
	if err != nil {
		n = 0
	}
	w.Header().Set("Content-Length", strconv.Itoa(n))
	w.WriteHeader(http.StatusOK)
	if _, err := io.WriteString(w, strings.Repeat("a", n)); err != nil {
		return "the caller has gone"
	}
	return runComplete
}

// playSlowClients changes the settings of one gateway of four, and lets clients that come right after it read
// long answers of a safe route slowly, but well within their time limit.
func playSlowClients(r *rig) {
	r.publish(7, []map[string]any{safeRoute()}, []map[string]any{{"Name": "app", "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "Tls": false}})
	for i := range 3 {
		w := newWorker(r, fmt.Sprintf("i-%d", i+1), "app", answerLong)
		if err := w.start(); err != nil {
			fail("%v", err)
		}
	}
	g := r.startGateway("front-charlotte-1")
	for i := 2; i <= 4; i++ {
		r.startGateway(fmt.Sprintf("front-charlotte-%d", i))
	}
	r.awaitReady()
	time.Sleep(contactTime + time.Second) // the start of the processes must be over for the rule
	r.changeSettings(g)
	var mu sync.Mutex
	var callers sync.WaitGroup
	var cut []string
	for i := range slowClients {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			if what := r.readSlowly(g, fmt.Sprintf("9c41d07be2a35f%02d", i)); what != "" {
				mu.Lock()
				defer mu.Unlock()
				cut = append(cut, what)
			}
		})
	}
	callers.Wait()
	r.finish(cut)
}

// contactTime is the platform's ContactMs.
const contactTime = 4 * time.Second

// changeSettings changes the settings file of a gateway in a way that changes nothing for it, and sends
// SIGHUP.
func (r *rig) changeSettings(g *gateway) {
	f, err := os.OpenFile(filepath.Join(r.dir, g.name+".toml"), os.O_APPEND|os.O_WRONLY, 0o600)
	if err == nil {
		_, err = f.WriteString("# changed\n")
		_ = f.Close()
	}
	if err == nil {
		err = g.cmd.Process.Signal(syscall.SIGHUP)
	}
	if err != nil {
		fail("%v", err)
	}
	r.note("the settings of %s have changed, SIGHUP is sent", g.name)
}

// readSlowly sends a short request and then a long one on the same channel, and returns what is wrong with
// the answer to the second.
func (r *rig) readSlowly(g *gateway, id string) string {
	c, err := net.Dial("tcp", g.front)
	if err != nil {
		fail("%v", err)
	}
	defer func() { _ = c.Close() }()
	if r.trouble {
		_ = c.(*net.TCPConn).SetReadBuffer(64 << 10) // what a client holds that it has not read
	}
	in := bufio.NewReader(c)
	pause := time.Duration(0)
	for part, bytes := range []int{800, longAnswerBytes} {
		if part == 1 && r.trouble {
			pause = slowReadPause
		}
		request := fmt.Sprintf("%s%d", id, part)
		begin := time.Now()
		if _, err := fmt.Fprintf(c, "GET /puxa403/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", bytes, host, request, clientLimit); err != nil {
			return ""
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return fmt.Sprintf("LOST: request %s: no answer after %s: %v", request, time.Since(begin), err)
		}
		got, err := readAtPace(resp.Body, pause)
		r.note("client: request %s: %d, %d of %d bytes after %s, error %v", request, resp.StatusCode, got, bytes, time.Since(begin), err)
		if err != nil || resp.StatusCode == http.StatusOK && got != int64(bytes) {
			return fmt.Sprintf("LOST: request %s was sent right after the SIGHUP and run by a worker, and its channel ends without a complete answer, after %d of %d bytes and %s: %v", request, got, bytes, time.Since(begin).Round(time.Millisecond), err)
		}
	}
	return ""
}

// readAtPace reads a body to its end, with a pause after every slowReadBytes.
func readAtPace(body io.Reader, pause time.Duration) (total int64, err error) {
	for {
		n, err := io.CopyN(io.Discard, body, slowReadBytes)
		total += n
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
		time.Sleep(pause)
	}
}
