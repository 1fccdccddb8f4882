package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// record is one record of a partition, with its raw content.
type record struct {
	raw    []byte
	key    string
	value  []byte // nil for a tombstone of a keyed topic
	offset int64
}

// appended is the result of one append of a producer.
type appended struct {
	seq, first, end int64
}

// producer is what a partition remembers of one producer.
type producer struct {
	epoch, next int64
	last        []appended
}

// partition is one log.
type partition struct {
	keyed     bool
	records   []record
	newest    map[string]record
	producers map[string]*producer
	// busy serializes the appends, which take time one after the other.
	busy sync.Mutex
}

func (p *partition) end() int64 { return int64(len(p.records)) }

// callFault is what a store does with one call.
type callFault int

const (
	serveCall  callFault = iota
	refuseCall           // 503, nothing was done
	hangCall             // no answer, nothing was done
	loseAnswer           // done, no answer
)

// store is a stand-in of the platform's metadata store. It serves each gateway at an address of its own, so
// that single gateways can be cut off.
type store struct {
	mu      sync.Mutex
	parts   map[string]*partition
	changed chan struct{}
	group   group
	bytes   int64

	appendTime time.Duration
	faultMu    sync.Mutex
	// fault decides on each call; nil serves all.
	fault func(c storeCall) callFault
	// released is closed when hanging calls may end.
	released chan struct{}
	// viewOf replaces what a gateway reads of the directory of gateways.
	viewOf map[string]func([]byte) []byte
}

// directoryTopic is the directory of gateways.
const directoryTopic = "keyed.gateways"

// view returns what a gateway reads in place of raw.
func (s *store) view(gateway, topic string, raw []byte) []byte {
	if f := s.viewOf[gateway]; f != nil && topic == directoryTopic {
		return f(raw)
	}
	return raw
}

// storeCall is one call as a fault sees it.
type storeCall struct {
	gateway, name, topic string
	part                 int
	body                 []byte
}

func newStore(appendTime time.Duration) *store {
	return &store{parts: make(map[string]*partition), changed: make(chan struct{}), appendTime: appendTime,
		group: group{members: make(map[string]*member), holder: make(map[int]string), want: make(map[int]string)}, released: make(chan struct{})}
}

// setFault sets the function that decides on each later call.
func (s *store) setFault(f func(c storeCall) callFault) {
	s.faultMu.Lock()
	defer s.faultMu.Unlock()
	s.fault = f
	if f == nil {
		close(s.released)
		s.released = make(chan struct{})
	}
}

func (s *store) decide(c storeCall) (callFault, chan struct{}) {
	s.faultMu.Lock()
	defer s.faultMu.Unlock()
	if s.fault == nil {
		return serveCall, s.released
	}
	return s.fault(c), s.released
}

// listen serves one gateway and returns the address.
func (s *store) listen(gateway string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(gateway, w, r) })}
	go func() { _ = server.Serve(ln) }()
	return ln.Addr().String()
}

func (s *store) serve(gateway string, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	part, _ := strconv.Atoi(q.Get("part"))
	c := storeCall{gateway: gateway, name: strings.TrimPrefix(r.URL.Path, "/api/log-"), topic: q.Get("Topic"), part: part, body: body}
	fault, released := s.decide(c)
	switch fault {
	case refuseCall:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case hangCall:
		select {
		case <-r.Context().Done():
		case <-released:
		}
		panic(http.ErrAbortHandler)
	}
	status, out, raw := s.do(c, r, q.Get)
	// A call that was in progress when the store went down gets no answer either.
	if again, released := s.decide(c); fault == loseAnswer || again != serveCall {
		select {
		case <-r.Context().Done():
		case <-released:
		}
		panic(http.ErrAbortHandler)
	}
	if raw != nil {
		_, _ = w.Write(raw)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out)
}

func (s *store) do(c storeCall, r *http.Request, q func(string) string) (status int, out any, raw []byte) {
	switch c.name {
	case "append":
		status, out = s.append(c, q)
	case "read":
		from, _ := strconv.ParseInt(q("From"), 10, 64)
		wait, _ := strconv.Atoi(q("WaitMs"))
		maxKB, err := strconv.Atoi(q("MaxKb"))
		if err != nil {
			maxKB = 1024
		}
		return http.StatusOK, nil, s.view(c.gateway, c.topic, s.read(r, c.topic, c.part, from, time.Duration(wait)*time.Millisecond, maxKB<<10))
	case "newest":
		return http.StatusOK, s.newest(c, q("After")), nil
	case "join":
		status, out = s.join(c.body)
	case "leave":
		status, out = s.leave(c.body)
	default:
		return http.StatusNotFound, struct{}{}, nil
	}
	return status, out, nil
}

func (s *store) part(topic string, part int) *partition {
	name := fmt.Sprint(topic, "/", part)
	p := s.parts[name]
	if p == nil {
		p = &partition{keyed: strings.HasPrefix(topic, "keyed."), newest: make(map[string]record), producers: make(map[string]*producer)}
		s.parts[name] = p
	}
	return p
}

const (
	partitionBytesPerSecond = 20 << 20
	retainedAppends         = 5
)

func (s *store) append(c storeCall, q func(string) string) (int, any) {
	s.mu.Lock()
	p := s.part(c.topic, c.part)
	s.mu.Unlock()
	p.busy.Lock()
	defer p.busy.Unlock()
	time.Sleep(s.appendTime + time.Duration(float64(len(c.body))/partitionBytesPerSecond*float64(time.Second)))
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appendLocked(p, c.body, q)
}

func (s *store) appendLocked(p *partition, body []byte, q func(string) string) (int, any) {
	conflict := func(why string) (int, any) {
		return http.StatusConflict, map[string]any{"why": why}
	}
	if at := q("At"); at != "" && at != strconv.FormatInt(p.end(), 10) {
		return http.StatusPreconditionFailed, map[string]any{"End": p.end()}
	}
	var w *producer
	seq := int64(0)
	if name := q("Producer"); name != "" {
		epoch, _ := strconv.ParseInt(q("epoch"), 10, 64)
		seq, _ = strconv.ParseInt(q("Seq"), 10, 64)
		w = p.producers[name]
		if w == nil || epoch > w.epoch {
			w = &producer{epoch: epoch, next: seq}
			p.producers[name] = w
		}
		if epoch < w.epoch {
			return conflict("fenced")
		}
		for _, a := range w.last {
			if a.seq == seq {
				return http.StatusOK, map[string]any{"Offset": a.first, "End": a.end}
			}
		}
		if len(body) > 0 && seq != w.next {
			return conflict("seq")
		}
	}
	first := p.end()
	s.write(p, body)
	if w != nil && len(body) > 0 {
		w.next = seq + 1
		w.last = append(w.last, appended{seq, first, p.end()})
		w.last = w.last[max(len(w.last)-retainedAppends, 0):]
	}
	return http.StatusOK, map[string]any{"Offset": first, "End": p.end()}
}

// write adds raw records to a partition. The caller holds mu.
func (s *store) write(p *partition, body []byte) {
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		raw := body[4 : 4+n]
		body = body[4+n:]
		r := record{raw: raw, offset: p.end()}
		s.bytes += int64(n)
		if p.keyed {
			keyEnd := 1 + int(raw[0])
			r.key = string(raw[1:keyEnd])
			if keyEnd < len(raw) {
				r.value = raw[keyEnd:]
				p.newest[r.key] = r
			} else {
				delete(p.newest, r.key)
			}
		}
		p.records = append(p.records, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a keyed record of the operator or of a worker.
func (s *store) put(topic, key string, value []byte) {
	raw := binary.BigEndian.AppendUint32(nil, uint32(1+len(key)+len(value)))
	raw = append(raw, byte(len(key)))
	raw = append(append(raw, key...), value...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(s.part(topic, 0), raw)
}

func (s *store) read(r *http.Request, topic string, part int, from int64, wait time.Duration, maxBytes int) []byte {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		p := s.part(topic, part)
		out := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
		out = binary.BigEndian.AppendUint64(out, 0)
		found := false
		for i := max(from, 0); i < p.end() && (!found || len(out) < maxBytes); i++ {
			out = binary.BigEndian.AppendUint32(out, uint32(len(p.records[i].raw)))
			out = append(out, p.records[i].raw...)
			found = true
		}
		changed := s.changed
		s.mu.Unlock()
		if found || wait <= 0 {
			return out
		}
		select {
		case <-changed:
		case <-timer.C:
			return out
		case <-r.Context().Done():
			return out
		}
	}
}

// newestItem is one record of a page of newest records.
type newestItem struct {
	Key, Value string
	Offset     int64
}

const (
	pageRecords = 500
	pageBytes   = 1 << 20
)

func (s *store) newest(c storeCall, after string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(c.topic, c.part)
	keys := make([]string, 0, len(p.newest))
	for k := range p.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items := []newestItem{}
	size := 0
	for _, k := range keys {
		r := p.newest[k]
		if size += len(r.value); len(items) == pageRecords || size > pageBytes && len(items) > 0 {
			break
		}
		items = append(items, newestItem{k, base64.StdEncoding.EncodeToString(s.view(c.gateway, c.topic, r.value)), r.offset})
	}
	return map[string]any{"Items": items, "HasMore": len(items) < len(keys), "End": p.end()}
}

// has reports whether a partition holds a key that contains text.
func (s *store) has(topic string, text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.part(topic, 0).newest {
		if strings.Contains(k, text) {
			return true
		}
	}
	return false
}

// group assigns the partitions of one topic to its live members.
type group struct {
	generation int64
	topic      string
	members    map[string]*member
	// holder is the member that has a partition, want the one that should.
	holder, want map[int]string
}

type member struct {
	expires time.Time
}

const groupPartitions = 12

func (s *store) join(body []byte) (int, any) {
	var in struct {
		Group      string `json:"group"`
		Member     string
		Topics     []string
		TTLMs      int64 `json:"TtlMs"`
		Generation int64
	}
	must(json.Unmarshal(body, &in))
	s.mu.Lock()
	defer s.mu.Unlock()
	g := &s.group
	now := time.Now()
	g.topic = in.Topics[0]
	m := g.members[in.Member]
	if m == nil {
		m = &member{}
		g.members[in.Member] = m
		m.expires = now.Add(time.Duration(in.TTLMs) * time.Millisecond)
		g.deal(now)
	}
	m.expires = now.Add(time.Duration(in.TTLMs) * time.Millisecond)
	g.expire(now)
	rows := [][]any{}
	for p := range groupPartitions {
		if g.holder[p] == in.Member && g.want[p] != in.Member && in.Generation >= g.generation {
			delete(g.holder, p)
		}
		if g.want[p] == in.Member && (g.holder[p] == "" || g.holder[p] == in.Member) {
			g.holder[p] = in.Member
			rows = append(rows, []any{g.topic, p, 0})
		}
	}
	return http.StatusOK, map[string]any{"Generation": g.generation, "parts": rows}
}

func (s *store) leave(body []byte) (int, any) {
	var in struct{ Member string }
	must(json.Unmarshal(body, &in))
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.group.members, in.Member)
	s.group.deal(time.Now())
	return http.StatusOK, struct{}{}
}

// expire removes the members that have sent nothing for their time to live. The caller holds mu.
func (g *group) expire(now time.Time) {
	gone := false
	for name, m := range g.members {
		if now.After(m.expires) {
			delete(g.members, name)
			gone = true
		}
	}
	if gone {
		g.deal(now)
	}
}

// deal distributes the partitions evenly, and moves as few as possible. The caller holds mu.
func (g *group) deal(time.Time) {
	g.generation++
	names := make([]string, 0, len(g.members))
	for name := range g.members {
		names = append(names, name)
	}
	slices.Sort(names)
	counts := make(map[string]int)
	most := 0
	if len(names) > 0 {
		most = (groupPartitions + len(names) - 1) / len(names)
	}
	var free []int
	for p := range groupPartitions {
		if g.members[g.holder[p]] == nil {
			delete(g.holder, p)
		}
		if w := g.want[p]; g.members[w] != nil && counts[w] < most {
			counts[w]++
			continue
		}
		delete(g.want, p)
		free = append(free, p)
	}
	for _, p := range free {
		least := ""
		for _, name := range names {
			if least == "" || counts[name] < counts[least] {
				least = name
			}
		}
		if least != "" {
			g.want[p] = least
			counts[least]++
		}
	}
	// Move partitions from the fullest to the emptiest until they are even.
	for len(names) > 1 {
		low, high := names[0], names[0]
		for _, name := range names {
			if counts[name] < counts[low] {
				low = name
			}
			if counts[name] > counts[high] {
				high = name
			}
		}
		if counts[high]-counts[low] < 2 {
			return
		}
		for p := range groupPartitions {
			if g.want[p] == high {
				g.want[p] = low
				counts[low]++
				counts[high]--
				break
			}
		}
	}
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// shardsOf returns the partitions of the group that a gateway has. Members are named after their gateway.
func (s *store) shardsOf(gateway string) map[int]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[int]bool)
	for p, name := range s.group.holder {
		if strings.HasPrefix(name, gateway+"-") {
			out[p] = true
		}
	}
	return out
}
