package main

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The limits that the store states in the settings of a process.
const (
	recordBytes = 262144
	callBytes   = 2097152
	pageRecords = 500
	pageBytes   = 1 << 20
)

// storeRecord is one record of a partition. val is nil for a tombstone.
type storeRecord struct {
	offset int64
	raw    []byte
	key    string
	val    []byte
}

// appendResult is the response to one append of a producer.
type appendResult struct{ seq, first, end int64 }

// producerState is what a partition remembers of a producer.
type producerState struct {
	epoch, last int64
	recent      []appendResult
}

// partition is one log.
type partition struct {
	records   []storeRecord
	newest    map[string]storeRecord
	producers map[string]*producerState
}

func (p *partition) end() int64 { return int64(len(p.records)) }

// group is a group of members that divide the partitions of a topic.
type group struct {
	generation int64
	seen       map[string]time.Time
	ttl        map[string]time.Duration
	owner      map[int]string
	target     map[int]string
}

// store is a stand-in for the platform's store. It loses nothing and answers in order.
type store struct {
	parts int

	mu      sync.Mutex
	topics  map[string][]*partition
	groups  map[string]*group
	changed chan struct{}
}

func newStore(parts int) *store {
	return &store{parts: parts, topics: make(map[string][]*partition), groups: make(map[string]*group), changed: make(chan struct{})}
}

// partition returns a partition, or nil if there is no such one. The caller holds the lock.
func (s *store) partition(topic string, index int) *partition {
	if index < 0 || index >= s.parts {
		return nil
	}
	list := s.topics[topic]
	if list == nil {
		for range s.parts {
			list = append(list, &partition{newest: make(map[string]storeRecord), producers: make(map[string]*producerState)})
		}
		s.topics[topic] = list
	}
	return list[index]
}

// put writes a keyed record as the operator or a worker does. A nil value is a tombstone.
func (s *store) put(topic, key string, val []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := append([]byte{byte(len(key))}, key...)
	s.add(topic, s.partition(topic, 0), append(raw, val...))
}

// add appends one record. The caller holds the lock.
func (s *store) add(topic string, p *partition, raw []byte) {
	r := storeRecord{offset: p.end(), raw: raw}
	if strings.HasPrefix(topic, "keyed.") && len(raw) > 0 && len(raw) > int(raw[0]) {
		n := 1 + int(raw[0])
		r.key = string(raw[1:n])
		if len(raw) > n {
			r.val = raw[n:]
			p.newest[r.key] = r
		} else {
			delete(p.newest, r.key)
		}
	}
	p.records = append(p.records, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /api/log-append":
		s.serveAppend(w, r)
	case "GET /api/log-read":
		s.serveRead(w, r)
	case "GET /api/log-newest":
		s.serveNewest(w, r)
	case "POST /api/log-join":
		s.serveJoin(w, r)
	case "POST /api/log-leave":
		s.serveLeave(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	raw, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func queryInt(r *http.Request, name string, missing int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return missing
	}
	return n
}

// splitCall divides the body of an append into records. ok is false if it exceeds a limit.
func splitCall(body []byte) (records [][]byte, ok bool) {
	if len(body) > callBytes {
		return nil, false
	}
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n > recordBytes || len(body) < 4+n {
			return nil, false
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	return records, true
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("Topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, ok := splitCall(body)
	if !ok {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, int(queryInt(r, "part", 0)))
	if p == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if at := queryInt(r, "At", -1); at >= 0 && at != p.end() {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int64{"End": p.end()})
		return
	}
	producer := r.URL.Query().Get("Producer")
	if producer != "" && !s.admitProducer(w, r, p, producer, len(records) == 0) {
		return
	}
	first := p.end()
	for _, raw := range records {
		s.add(topic, p, raw)
	}
	if st := p.producers[producer]; st != nil && len(records) > 0 {
		st.recent = append(st.recent, appendResult{st.last, first, p.end()})
		st.recent = st.recent[max(0, len(st.recent)-5):]
	}
	writeJSON(w, http.StatusOK, map[string]int64{"Offset": first, "End": p.end()})
}

// admitProducer checks the epoch and the sequence number of a producer. It responds and returns false
// if the records must not be appended. The caller holds the lock.
func (s *store) admitProducer(w http.ResponseWriter, r *http.Request, p *partition, producer string, empty bool) bool {
	epoch, seq := queryInt(r, "epoch", 0), queryInt(r, "Seq", 0)
	st := p.producers[producer]
	if st == nil {
		st = &producerState{epoch: -1}
		p.producers[producer] = st
	}
	switch {
	case epoch < st.epoch:
		writeJSON(w, http.StatusConflict, map[string]string{"why": "fenced"})
		return false
	case epoch > st.epoch:
		*st = producerState{epoch: epoch, last: seq}
		return true
	case empty:
		return true
	}
	for _, done := range st.recent {
		if done.seq == seq {
			writeJSON(w, http.StatusOK, map[string]int64{"Offset": done.first, "End": done.end})
			return false
		}
	}
	if seq != st.last+1 {
		writeJSON(w, http.StatusConflict, map[string]any{"why": "seq", "Seq": st.last + 1})
		return false
	}
	st.last = seq
	return true
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	topic, index := r.URL.Query().Get("Topic"), int(queryInt(r, "part", 0))
	from := queryInt(r, "From", 0)
	limit := int(queryInt(r, "MaxKb", 1024)) << 10
	timer := time.NewTimer(time.Duration(queryInt(r, "WaitMs", 0)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		p := s.partition(topic, index)
		if p == nil {
			s.mu.Unlock()
			w.WriteHeader(http.StatusNotFound)
			return
		}
		end, changed := p.end(), s.changed
		var records []storeRecord
		if from < end {
			records = p.records[from:]
		}
		s.mu.Unlock()
		if len(records) > 0 {
			writeHistory(w, end, records, limit)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeHistory(w, end, nil, limit)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeHistory(w http.ResponseWriter, end int64, records []storeRecord, limit int) {
	var out bytes.Buffer
	_ = binary.Write(&out, binary.BigEndian, []int64{end, 0})
	for i, r := range records {
		if i > 0 && out.Len()+len(r.raw) > limit {
			break
		}
		_ = binary.Write(&out, binary.BigEndian, uint32(len(r.raw)))
		out.Write(r.raw)
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(out.Bytes())
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string
		Value  string
		Offset int64
	}
	after := r.URL.Query().Get("After")
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(r.URL.Query().Get("Topic"), int(queryInt(r, "part", 0)))
	if p == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	var keys []string
	for key := range p.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []item{}, 0, false
	for _, key := range keys {
		rec := p.newest[key]
		if len(items) == pageRecords || len(items) > 0 && size+len(rec.val) > pageBytes {
			more = true
			break
		}
		size += len(rec.val)
		items = append(items, item{key, base64.StdEncoding.EncodeToString(rec.val), rec.offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"Items": items, "HasMore": more, "End": p.end()})
}

type joinCall struct {
	Group      string `json:"group"`
	Member     string
	Topics     []string
	TTLMs      int64 `json:"TtlMs"`
	Generation int64
}

func (s *store) serveJoin(w http.ResponseWriter, r *http.Request) {
	var c joinCall
	if json.NewDecoder(r.Body).Decode(&c) != nil || len(c.Topics) != 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[c.Group]
	if g == nil {
		g = &group{seen: make(map[string]time.Time), ttl: make(map[string]time.Duration), owner: make(map[int]string), target: make(map[int]string)}
		s.groups[c.Group] = g
	}
	now := time.Now()
	_, known := g.seen[c.Member]
	g.seen[c.Member], g.ttl[c.Member] = now, time.Duration(c.TTLMs)*time.Millisecond
	if g.expire(now) || !known {
		g.deal(s.parts)
	}
	for p, owner := range g.owner {
		if owner == c.Member && g.target[p] != c.Member && c.Generation >= g.generation {
			delete(g.owner, p) // the member knows that it has lost the partition
		}
	}
	rows := [][]any{}
	for p := range s.parts {
		if g.owner[p] == "" && g.target[p] == c.Member {
			g.owner[p] = c.Member
		}
		if g.owner[p] == c.Member && g.target[p] == c.Member {
			rows = append(rows, []any{c.Topics[0], p, 0})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"Generation": g.generation, "TtlMs": c.TTLMs, "parts": rows})
}

func (s *store) serveLeave(w http.ResponseWriter, r *http.Request) {
	var c joinCall
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[c.Group]; g != nil {
		g.remove(c.Member)
		g.deal(s.parts)
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// expire removes the members that have been silent for too long, and reports whether there were any.
func (g *group) expire(now time.Time) bool {
	found := false
	for member, at := range g.seen {
		if now.Sub(at) > g.ttl[member] {
			g.remove(member)
			found = true
		}
	}
	return found
}

func (g *group) remove(member string) {
	delete(g.seen, member)
	for p, owner := range g.owner {
		if owner == member {
			delete(g.owner, p)
		}
	}
}

// deal divides the partitions evenly over the members.
func (g *group) deal(parts int) {
	g.generation++
	members := make([]string, 0, len(g.seen))
	for member := range g.seen {
		members = append(members, member)
	}
	slices.Sort(members)
	g.target = make(map[int]string)
	for p := range parts {
		if len(members) > 0 {
			g.target[p] = members[p%len(members)]
		}
	}
}
