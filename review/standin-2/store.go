package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxPageRecords = 500
	maxPageBytes   = 1 << 20
	pastAppends    = 5
)

// logRecord is a record of a partition. A keyed record without a value drops its key.
type logRecord struct {
	raw    []byte
	offset int64
}

func (r logRecord) key() string   { return string(r.raw[1 : 1+int(r.raw[0])]) }
func (r logRecord) value() []byte { return r.raw[1+int(r.raw[0]):] }

type appendedBatch struct{ seq, offset, end int64 }

type producerState struct {
	epoch, last int64
	past        []appendedBatch
}

type partition struct {
	records   []logRecord
	newest    map[string]logRecord
	producers map[string]*producerState
}

// storeFault says what the store does with one write call.
type storeFault struct {
	lost bool          // no answer
	late time.Duration // with lost: the call is executed after this time
}

// store is a stand-in of the platform's store, after "The platform's metadata store" in PROTOCOL.md.
type store struct {
	mu      sync.Mutex
	parts   map[string]*partition
	changed chan struct{}
	group   group
	// fault, if set, decides about a write call of the gateway from. It is called with mu held.
	fault func(from, topic string, part int, records []logRecord) storeFault
	// writes counts the write calls, lost those without an answer, while counting is set.
	counting     bool
	writes, lost int
	nParts       int
	// turned are the gateways that the store turns away.
	turned map[string]bool
	// silent are the gateways that the store is out of reach of, delays how much later each gets an answer.
	silent map[string]bool
	delays map[string]time.Duration
}

func newStore(parts int) *store {
	return &store{parts: make(map[string]*partition), changed: make(chan struct{}), group: newGroup(), nParts: parts, turned: make(map[string]bool), silent: make(map[string]bool), delays: make(map[string]time.Duration)}
}

// listen serves the store at an address of its own for one gateway.
func (s *store) listen(from string) string { return s.listenAs(from, nil) }

// listenAs is listen, but shows records as show returns them, and turns the gateway away with 503 while s.turned[from].
func (s *store) listenAs(from string, show func(topic string, raw []byte) []byte) string {
	if show == nil {
		show = func(_ string, raw []byte) []byte { return raw }
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", func(w http.ResponseWriter, r *http.Request) { s.serveAppend(w, r, from) })
	mux.HandleFunc("GET /api/log-read", func(w http.ResponseWriter, r *http.Request) { s.serveRead(w, r, show) })
	mux.HandleFunc("GET /api/log-newest", func(w http.ResponseWriter, r *http.Request) { s.serveNewest(w, r, show) })
	mux.HandleFunc("POST /api/log-join", s.serveJoin)
	mux.HandleFunc("POST /api/log-leave", s.serveLeave)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.turnedAway(from) {
			answer(w, http.StatusServiceUnavailable, map[string]string{})
			return
		}
		if s.isSilent(from) {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		out := &buffered{header: make(http.Header), status: http.StatusOK}
		mux.ServeHTTP(out, r)
		time.Sleep(s.delays[from])
		if s.isSilent(from) {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		maps.Copy(w.Header(), out.header)
		w.WriteHeader(out.status)
		_, _ = w.Write(out.body)
	})
	go func() { _ = http.Serve(ln, handler) }()
	return ln.Addr().String()
}

// buffered is a response that is not sent yet.
type buffered struct {
	header http.Header
	status int
	body   []byte
}

// Header implements http.ResponseWriter.
func (b *buffered) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *buffered) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *buffered) Write(p []byte) (int, error) {
	b.body = append(b.body, p...)
	return len(p), nil
}

// silence makes the store out of reach of one gateway, or within its reach again.
func (s *store) silence(from string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[from] = silent
}

func (s *store) isSilent(from string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent[from]
}

func (s *store) turnedAway(from string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.turned[from]
}

// turnAway makes the store answer 503 to one gateway from now on, or serve it again.
func (s *store) turnAway(from string, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turned[from] = away
	close(s.changed) // reads that wait end
	s.changed = make(chan struct{})
}

func (s *store) part(topic string, index int) *partition {
	key := topic + "/" + strconv.Itoa(index)
	p := s.parts[key]
	if p == nil {
		p = &partition{newest: make(map[string]logRecord), producers: make(map[string]*producerState)}
		s.parts[key] = p
	}
	return p
}

func (s *store) write(p *partition, keyed bool, records []logRecord) (offset, end int64) {
	offset = int64(len(p.records))
	for _, r := range records {
		r.offset = int64(len(p.records))
		p.records = append(p.records, r)
		if !keyed {
			continue
		}
		if len(r.value()) == 0 {
			delete(p.newest, r.key())
		} else {
			p.newest[r.key()] = r
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset, int64(len(p.records))
}

// put writes a record of the operator or of a server.
func (s *store) put(topic, key string, value []byte) {
	raw := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(s.part(topic, 0), true, []logRecord{{raw: append(raw, value...)}})
}

func decodeRecords(body []byte) []logRecord {
	var out []logRecord
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		out = append(out, logRecord{raw: slices.Clone(body[4 : 4+n])})
		body = body[4+n:]
	}
	return out
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, from string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	q := r.URL.Query()
	topic := q.Get("Topic")
	index, _ := strconv.Atoi(q.Get("part"))
	records := decodeRecords(body)
	s.mu.Lock()
	var f storeFault
	if s.fault != nil {
		f = s.fault(from, topic, index, records)
	}
	if s.counting {
		s.writes++
	}
	if f.lost {
		s.lost++
		s.mu.Unlock()
		time.AfterFunc(f.late, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.execute(q.Get, q.Has("At"), topic, index, records)
		})
		<-r.Context().Done() // no answer
		panic(http.ErrAbortHandler)
	}
	status, out := s.execute(q.Get, q.Has("At"), topic, index, records)
	s.mu.Unlock()
	answer(w, status, out)
}

// execute executes an append. The caller holds mu.
func (s *store) execute(get func(string) string, conditional bool, topic string, index int, records []logRecord) (int, any) {
	number := func(name string) int64 { n, _ := strconv.ParseInt(get(name), 10, 64); return n }
	p := s.part(topic, index)
	keyed := strings.HasPrefix(topic, "keyed.")
	end := int64(len(p.records))
	if conditional && number("At") != end {
		return http.StatusPreconditionFailed, map[string]int64{"End": end}
	}
	if get("Producer") == "" {
		offset, end := s.write(p, keyed, records)
		return http.StatusOK, map[string]int64{"Offset": offset, "End": end}
	}
	epoch, seq := number("epoch"), number("Seq")
	w := p.producers[get("Producer")]
	if w == nil || epoch > w.epoch {
		w = &producerState{epoch: epoch, last: seq - 1}
		p.producers[get("Producer")] = w
	}
	if epoch < w.epoch {
		return http.StatusConflict, map[string]string{"why": "fenced"}
	}
	for _, b := range w.past {
		if b.seq == seq {
			return http.StatusOK, map[string]int64{"Offset": b.offset, "End": b.end}
		}
	}
	if seq != w.last+1 {
		return http.StatusConflict, map[string]any{"why": "seq", "expected": w.last + 1}
	}
	offset, end := s.write(p, keyed, records)
	w.last = seq
	w.past = append(w.past, appendedBatch{seq, offset, end})
	w.past = w.past[max(len(w.past)-pastAppends, 0):]
	return http.StatusOK, map[string]int64{"Offset": offset, "End": end}
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, show func(string, []byte) []byte) {
	q := r.URL.Query()
	index, _ := strconv.Atoi(q.Get("part"))
	from, _ := strconv.ParseInt(q.Get("From"), 10, 64)
	maxKB, err := strconv.Atoi(q.Get("MaxKb"))
	if err != nil {
		maxKB = 1024
	}
	waitMs, _ := strconv.Atoi(q.Get("WaitMs"))
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		p := s.part(q.Get("Topic"), index)
		out := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
		out = binary.BigEndian.AppendUint64(out, 0)
		for i := from; i < int64(len(p.records)) && len(out) < maxKB<<10; i++ {
			raw := show(q.Get("Topic"), p.records[i].raw)
			out = binary.BigEndian.AppendUint32(out, uint32(len(raw)))
			out = append(out, raw...)
		}
		found := from < int64(len(p.records))
		changed := s.changed
		s.mu.Unlock()
		if found || waitMs <= 0 {
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			waitMs = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request, show func(string, []byte) []byte) {
	type item struct {
		Key    string
		Value  string
		Offset int64
	}
	q := r.URL.Query()
	index, _ := strconv.Atoi(q.Get("part"))
	s.mu.Lock()
	p := s.part(q.Get("Topic"), index)
	var keys []string
	for k := range p.newest {
		if k > q.Get("After") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size := []item{}, 0
	for _, k := range keys {
		rec := p.newest[k]
		rec.raw = show(q.Get("Topic"), rec.raw)
		if len(items) > 0 && (len(items) == maxPageRecords || size+len(rec.raw) > maxPageBytes) {
			break
		}
		size += len(rec.raw)
		items = append(items, item{k, base64.StdEncoding.EncodeToString(rec.value()), rec.offset})
	}
	end := int64(len(p.records))
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"Items": items, "HasMore": len(items) < len(keys), "End": end})
}

// group is the one group of the store, whose members share the partitions of one topic.
type group struct {
	generation int64
	members    map[string]*member
	holder     []string // by partition
	target     []string
}

type member struct {
	seen  time.Time
	ttl   time.Duration
	acked int64
}

func newGroup() group { return group{members: make(map[string]*member)} }

// settle drops silent members, deals the partitions evenly and hands over those that their holders have given up.
func (g *group) settle(parts int, now time.Time) {
	if g.holder == nil {
		g.holder, g.target = make([]string, parts), make([]string, parts)
	}
	for name, m := range g.members {
		if now.Sub(m.seen) > m.ttl {
			delete(g.members, name)
		}
	}
	var names []string
	for name := range g.members {
		names = append(names, name)
	}
	sort.Strings(names)
	count, most := make(map[string]int), 0
	if len(names) > 0 {
		most = (parts + len(names) - 1) / len(names)
	}
	target := make([]string, parts)
	for i, t := range g.target {
		if g.members[t] != nil && count[t] < most {
			target[i] = t
			count[t]++
		}
	}
	for i := range target {
		if target[i] != "" || len(names) == 0 {
			continue
		}
		least := slices.MinFunc(names, func(a, b string) int { return count[a] - count[b] })
		target[i] = least
		count[least]++
	}
	if len(names) > 1 { // the least loaded ones get one more
		for {
			least := slices.MinFunc(names, func(a, b string) int { return count[a] - count[b] })
			busiest := slices.MaxFunc(names, func(a, b string) int { return count[a] - count[b] })
			if count[busiest]-count[least] <= 1 {
				break
			}
			i := slices.Index(target, busiest)
			target[i] = least
			count[busiest]--
			count[least]++
		}
	}
	if !slices.Equal(target, g.target) {
		g.target = target
		g.generation++
	}
	for i, h := range g.holder {
		if h == g.target[i] {
			continue
		}
		if m := g.members[h]; m == nil || m.acked >= g.generation {
			g.holder[i] = g.target[i]
		}
	}
}

func (s *store) serveJoin(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Member     string
		Topics     []string
		TTLMs      int64 `json:"TtlMs"`
		Generation int64
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Topics) != 1 {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	now := time.Now()
	m := s.group.members[in.Member]
	if m == nil {
		m = &member{}
		s.group.members[in.Member] = m
	}
	m.seen, m.ttl, m.acked = now, time.Duration(in.TTLMs)*time.Millisecond, in.Generation
	s.group.settle(s.nParts, now)
	rows := [][]any{}
	for i, h := range s.group.holder {
		if h == in.Member && s.group.target[i] == in.Member {
			rows = append(rows, []any{in.Topics[0], i, 0})
		}
	}
	generation := s.group.generation
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"Generation": generation, "TtlMs": in.TTLMs, "parts": rows})
}

func (s *store) serveLeave(w http.ResponseWriter, r *http.Request) {
	var in struct{ Member string }
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	delete(s.group.members, in.Member)
	s.group.settle(s.nParts, time.Now())
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{})
}
