package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// position is a position of a backend's log.
type position struct{ term, number uint64 }

func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

func (p position) less(q position) bool {
	return p.term < q.term || p.term == q.term && p.number < q.number
}

// entry is a commit in a log.
type entry struct {
	at   position
	id   string
	text []string
	done time.Time
}

// service is a group of backends. Its lock guards the state of all of them.
type service struct {
	name   string
	record *record
	store  *store
	lag    time.Duration

	mu       sync.Mutex
	backends []*backend
	// ordered is the greatest fencing token of a promotion, and seenBy whose it was.
	ordered int64
	seenBy  string
	// tookOver is when the last promotion took effect.
	tookOver time.Time
	// late maps the IDs of commits at an old primary, after a promotion took effect, to it.
	late map[string]string
	// lower are the promotions with a lower token than one seen before.
	lower []string
	// wrong are the runs with other session values than those acknowledged.
	wrong []string
	// committed are the IDs of the writes that were committed.
	committed map[string]bool
	// expected are the session values that a client was acknowledged, by the ID of the
	// request.
	expected map[string]string
	number   int
}

// backend is one backend of a service.
type backend struct {
	service *service
	id      string
	zone    string
	address string

	listener net.Listener
	up       bool
	primary  bool
	term     uint64
	log      []entry
	paused   uint64
	// darkUntil is until when the backend answers nothing.
	darkUntil time.Time
	conns     map[net.Conn]bool
	draining  bool
	seq       int64
	// greyShare is the share of its requests that it fails, and greyCode the code.
	greyShare float64
	greyCode  string
}

func newService(name string, r *record, s *store, zones ...string) *service {
	v := &service{name: name, record: r, store: s, lag: 20 * time.Millisecond, late: map[string]string{}, committed: map[string]bool{}, expected: map[string]string{}}
	for i, zone := range zones {
		b := &backend{
			service: v, id: fmt.Sprintf("i-%s-%d", name, i+1), zone: zone, term: 1, primary: i == 0, conns: map[net.Conn]bool{},
			log: []entry{{at: position{1, 1}}},
		}
		v.backends = append(v.backends, b)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fail("%v", err)
		}
		b.address = l.Addr().String()
		b.start(l)
		go b.beat()
		go b.follow()
	}
	return v
}

// start serves connections; the caller doesn't hold the lock.
func (b *backend) start(l net.Listener) {
	b.service.mu.Lock()
	b.listener, b.up = l, true
	b.service.mu.Unlock()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			b.service.mu.Lock()
			b.conns[conn] = true
			b.service.mu.Unlock()
			go b.serve(conn)
		}
	}()
}

// crash ends the backend's process; connections to it are refused until back.
func (b *backend) crash() {
	v := b.service
	v.record.add("backend %s crashes", b.id)
	v.mu.Lock()
	b.up = false
	b.listener.Close()
	for conn := range b.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	clear(b.conns)
	v.mu.Unlock()
}

// dark has the backend answer nothing, without an end of its connections, for a time.
func (b *backend) dark(length time.Duration) {
	v := b.service
	v.record.add("backend %s is dark for %v", b.id, length)
	v.mu.Lock()
	b.darkUntil = time.Now().Add(length)
	v.mu.Unlock()
}

// awaitLight waits until the backend isn't dark.
func (b *backend) awaitLight() {
	b.service.mu.Lock()
	until := b.darkUntil
	b.service.mu.Unlock()
	time.Sleep(time.Until(until))
}

// back starts the backend again with its log, as a replica if another one was promoted.
func (b *backend) back() {
	l, err := net.Listen("tcp", b.address)
	if err != nil {
		fail("%v", err)
	}
	v := b.service
	v.mu.Lock()
	b.paused = 0
	if p := v.leader(); p != nil && p != b {
		b.primary = false
	}
	v.mu.Unlock()
	v.record.add("backend %s is back, primary %v", b.id, b.primary)
	b.start(l)
}

// leader returns the primary of the newest term; the lock must be held.
func (v *service) leader() *backend {
	var best *backend
	for _, b := range v.backends {
		if b.primary && (best == nil || b.term > best.term) {
			best = b
		}
	}
	return best
}

func (v *service) primaryBackend() *backend {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leader()
}

// beat writes the backend's entry to the store.
func (b *backend) beat() {
	for {
		b.register()
		time.Sleep(1200 * time.Millisecond)
	}
}

func (b *backend) register() {
	v := b.service
	v.mu.Lock()
	up := b.up
	b.seq++
	role, state := "replica", "ready"
	if b.primary {
		role = "primary"
	}
	if b.draining {
		state = "draining"
	}
	body := map[string]any{
		"service": v.name, "address": b.address, "zone": b.zone, "version": "v1", "slots": 8, "state": state,
		"cold_left_ms": 0, "db_role": role, "seq": b.seq,
	}
	v.mu.Unlock()
	if up {
		v.store.put("servers/"+b.id, body)
	}
}

// drain has the backend report that it leaves. It goes on serving.
func (b *backend) drain() {
	b.service.record.add("backend %s reports draining", b.id)
	b.service.mu.Lock()
	b.draining = true
	b.service.mu.Unlock()
	b.register()
}

// replace ends a backend that leaves, and starts a new one at its address with its log.
func (v *service) replace(b *backend) {
	b.crash()
	v.store.drop("servers/" + b.id)
	next := &backend{service: v, id: b.id + "-new", zone: b.zone, address: b.address, conns: map[net.Conn]bool{}}
	l, err := net.Listen("tcp", b.address)
	if err != nil {
		fail("%v", err)
	}
	v.mu.Lock()
	next.term, next.log = b.term, append([]entry{}, b.log...)
	v.backends = append(v.backends, next)
	v.mu.Unlock()
	v.record.add("backend %s starts in place of %s", next.id, b.id)
	next.start(l)
	go next.beat()
	go next.follow()
}

// follow receives the primary's log.
func (b *backend) follow() {
	v := b.service
	for {
		time.Sleep(2 * time.Millisecond)
		v.mu.Lock()
		p := v.leader()
		if p != nil && p != b && b.up && p.up && time.Now().After(p.darkUntil) && !b.primary && b.paused == 0 {
			b.receive(p)
		}
		v.mu.Unlock()
	}
}

// receive takes over what the primary's log has; the lock must be held.
func (b *backend) receive(p *backend) {
	b.term = max(b.term, p.term)
	common := 0
	for common < len(b.log) && common < len(p.log) && b.log[common].at == p.log[common].at {
		common++
	}
	b.log = b.log[:common]
	for _, e := range p.log[common:] {
		if time.Since(e.done) < b.service.lag {
			return
		}
		b.log = append(b.log, e)
	}
}

func (b *backend) position() position { return b.log[len(b.log)-1].at }

// promote has a backend lead the next term some hundred milliseconds later.
func (v *service) promote(id string, holder string, token int64) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	var b *backend
	for _, c := range v.backends {
		if c.id == id {
			b = c
		}
	}
	v.record.add("platform: %s orders the promotion of %s with token %d", holder, id, token)
	if token < v.ordered {
		what := fmt.Sprintf("%s orders with token %d after %s ordered with token %d", holder, token, v.seenBy, v.ordered)
		v.record.add("BROKEN ONE: %s", what)
		v.lower = append(v.lower, what)
	}
	if token > v.ordered {
		v.ordered, v.seenBy = token, holder
	}
	if b == nil || !b.up {
		return 409
	}
	if v.leader() == b {
		return 200
	}
	time.AfterFunc(300*time.Millisecond, func() { v.takeOver(b) })
	return 200
}

func (v *service) takeOver(b *backend) {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.leader()
	if !b.up || old == b {
		return
	}
	term := uint64(0)
	for _, c := range v.backends {
		term = max(term, c.term)
		c.paused = 0
	}
	b.term, b.primary = term+1, true
	v.tookOver = time.Now()
	v.record.add("backend %s leads term %d from %s", b.id, b.term, b.position())
	if old != nil {
		// The old primary goes on until a second after it can reach the new one.
		time.AfterFunc(time.Second, func() {
			v.mu.Lock()
			defer v.mu.Unlock()
			if old.primary && v.leader() != old {
				old.primary = false
				v.record.add("backend %s becomes a replica", old.id)
			}
		})
	}
}

// session is the state of one connection.
type session struct {
	backend  *backend
	conn     net.Conn
	values   map[string]string
	prepared map[string]string
	open     bool
	failed   bool
	readOnly bool
	writes   []entry
}

func (b *backend) serve(conn net.Conn) {
	defer func() {
		b.service.mu.Lock()
		delete(b.conns, conn)
		b.service.mu.Unlock()
		conn.Close()
	}()
	reader := bufio.NewReader(conn)
	line, err := readLine(reader)
	if err != nil {
		return
	}
	b.awaitLight()
	fields := strings.Fields(line)
	if len(fields) < 3 || fields[0] != "CONNECT" || fields[1] != b.service.name || len(fields) > 3 && fields[3] != b.id {
		fmt.Fprintf(conn, "ERROR WRONGNODE %s\r\n", b.id)
		return
	}
	s := &session{backend: b, conn: conn, values: map[string]string{}, prepared: map[string]string{}}
	fmt.Fprintf(conn, "READY I %s\r\n", b.at())
	for {
		line, err := readLine(reader)
		if err != nil || line == "QUIT" {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		id, text, _ := strings.Cut(rest, " ")
		if word != "QUERY" {
			return
		}
		b.awaitLight()
		if text != "STATUS" {
			time.Sleep(2 * time.Millisecond)
		}
		answer := s.run(id, text)
		state := "I"
		if s.failed {
			state = "E"
		} else if s.open {
			state = "T"
		}
		if _, err := fmt.Fprintf(conn, "%sREADY %s %s\r\n", answer, state, b.at()); err != nil {
			return
		}
	}
}

func (b *backend) at() position {
	b.service.mu.Lock()
	defer b.service.mu.Unlock()
	return b.position()
}

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// listItem is an item that is read as a list of many rows.
const listItem = "entries"

// listRows and listRowBytes are the number and the size of the rows of the list.
const (
	listRows     = 60000
	listRowBytes = 1000
)

var list = strings.Repeat("ROW "+strings.Repeat("x", listRowBytes)+"\r\n", listRows)

const complete = "COMPLETE -\r\n"

// run runs a statement and returns its answer without READY.
func (s *session) run(id, text string) string {
	b, v := s.backend, s.backend.service
	v.mu.Lock()
	defer v.mu.Unlock()
	word, rest, _ := strings.Cut(text, " ")
	if s.failed && word != "ROLLBACK" && word != "COMMIT" {
		return "ERROR MALFORMED the transaction failed\r\n"
	}
	if word == "AFTER" {
		at, statement, _ := strings.Cut(rest, " ")
		if b.position().less(parsePosition(at)) {
			return "ERROR LAGGING " + b.position().String() + "\r\n"
		}
		text = statement
		word, rest, _ = strings.Cut(text, " ")
	}
	switch word {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return b.control(word, rest)
	}
	if b.greyShare > 0 && rand.Float64() < b.greyShare {
		v.record.add("backend %s: answers %s to %s %s", b.id, b.greyCode, id, text)
		// BUSY means that there was no run, so it changes nothing.
		s.failed = s.failed || s.open && b.greyCode != "BUSY"
		return "ERROR " + b.greyCode + " the server fails part of its requests\r\n"
	}
	switch word {
	case "RESET":
		clear(s.values)
		clear(s.prepared)
		return complete
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
		return complete
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
		return complete
	case "CLOSE":
		delete(s.prepared, rest)
		return complete
	case "BEGIN":
		if rest != "READ" && !b.primary {
			return "ERROR READONLY " + b.id + "\r\n"
		}
		s.open, s.readOnly = true, rest == "READ"
		return complete
	case "ROLLBACK":
		s.open, s.failed, s.writes = false, false, nil
		return complete
	case "COMMIT":
		return s.commit(id)
	case "EXECUTE":
		name, arguments, _ := strings.Cut(rest, " ")
		shape, known := s.prepared[name]
		if !known {
			return "ERROR NOSTMT " + name + "\r\n"
		}
		access, _, _ := strings.Cut(shape, " ")
		word, rest = access, arguments
	}
	s.check(id, text)
	switch word {
	case "READ":
		v.record.add("backend %s: runs %s %s, values %v", b.id, id, text, s.values)
		if rest == listItem {
			return list + s.digest()
		}
		return "ROW row-of-" + rest + "\r\n" + s.digest()
	case "WRITE":
		if !b.primary {
			s.failed = s.open
			return "ERROR READONLY " + b.id + "\r\n"
		}
		v.record.add("backend %s: runs %s %s, values %v, in a transaction %v", b.id, id, text, s.values, s.open)
		s.writes = append(s.writes, entry{id: id, text: []string{text}})
		if s.open {
			return s.digest()
		}
		return s.commit(id)
	}
	return "ERROR MALFORMED " + word + "\r\n"
}

// check compares the values of a run with those that its client was acknowledged. The lock
// must be held.
func (s *session) check(id, text string) {
	want, known := s.backend.service.expected[id]
	if got := s.values["role"]; known && got != want {
		what := fmt.Sprintf("%s %s runs with role=%q, its client was acknowledged role=%q", id, text, got, want)
		s.backend.service.record.add("BROKEN PINNED: %s", what)
		s.backend.service.wrong = append(s.backend.service.wrong, what)
	}
}

func (s *session) digest() string {
	s.backend.service.number++
	return fmt.Sprintf("COMPLETE 7.%x.%s\r\n", s.backend.service.number, s.backend.id)
}

// commit applies the session's writes. The lock must be held.
func (s *session) commit(id string) string {
	b, v := s.backend, s.backend.service
	writes, failed := s.writes, s.failed
	s.open, s.failed, s.writes = false, false, nil
	switch {
	case failed:
		return "ERROR ABORTED the transaction failed\r\n"
	case len(writes) == 0:
		return s.digest()
	case !b.primary:
		return "ERROR READONLY " + b.id + "\r\n"
	}
	last := b.position()
	next := position{b.term, last.number + 1}
	e := entry{at: next, id: id, done: time.Now()}
	for _, w := range writes {
		e.text = append(e.text, w.text...)
		v.committed[w.id] = true
	}
	b.log = append(b.log, e)
	v.record.add("backend %s: commits %s at %s: %s", b.id, id, next, strings.Join(e.text, "; "))
	if leader := v.leader(); leader != b {
		v.record.add("backend %s: %s is committed at the old primary, %d ms after %s took over", b.id, id, time.Since(v.tookOver).Milliseconds(), leader.id)
		v.late[id] = b.id
	}
	return s.digest()
}

// control runs a command of the platform's operators. The lock must be held.
func (b *backend) control(word, rest string) string {
	term, _ := strconv.ParseUint(rest, 10, 64)
	switch word {
	case "PAUSE":
		if term > b.term && !b.primary {
			b.paused = term
		}
		b.service.record.add("backend %s: PAUSE %d, held %d", b.id, term, b.paused)
	case "RESUME":
		b.paused = 0
		b.service.record.add("backend %s: RESUME", b.id)
	case "STEPDOWN":
		if b.primary && b.term < term {
			b.primary = false
		}
		b.service.record.add("backend %s: STEPDOWN %d, primary %v", b.id, term, b.primary)
	}
	role := "replica"
	if b.primary {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s %d %d 0 %d\r\n%s", role, b.term, b.position(), b.paused, b.service.lag.Milliseconds(), len(b.conns), complete)
}

func parsePosition(text string) position {
	term, number, _ := strings.Cut(text, ".")
	t, _ := strconv.ParseUint(term, 10, 64)
	n, _ := strconv.ParseUint(number, 10, 64)
	return position{t, n}
}
