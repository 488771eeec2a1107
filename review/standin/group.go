package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	groupName     = "ledger"
	heartbeat     = 1200 * time.Millisecond
	promoteDelay  = 300 * time.Millisecond
	applyDelay    = 10 * time.Millisecond
	receiveDelay  = 2 * time.Millisecond
	stepDownAfter = time.Second
)

// position is a place in a backend's log.
type position struct{ term, number uint64 }

func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

func parsePosition(text string) position {
	term, number, _ := strings.Cut(text, ".")
	t, _ := strconv.ParseUint(term, 10, 64)
	n, _ := strconv.ParseUint(number, 10, 64)
	return position{t, n}
}

// entry is a commit in a log.
type entry struct {
	at      position
	ids     []string
	writes  [][2]string
	applied time.Time
	made    time.Time
}

// run is a statement that a backend has run.
type run struct {
	id, text, backend, shape string
	// values are the session values on the connection.
	values map[string]string
	state  string
}

// group is a stand-in of one service: backends that replicate as the pages tell.
type group struct {
	mu       sync.Mutex
	cond     *sync.Cond
	store    *store
	sync     int
	maxConns int
	backends []*backend
	term     uint64
	leader   *backend
	// wait is the time that a client's statement takes.
	wait time.Duration
	runs []run
	// busy has replicas answer STATUS with BUSY, as they do without a free slot.
	busy bool
	// afterPromote are the writes that an old primary has committed and acknowledged after a
	// promotion of another backend had taken effect.
	afterPromote map[string]time.Duration
	promotedAt   time.Time
	// onPromote is called with the lock held when a promotion takes effect.
	onPromote func(b, before *backend)
}

// backend is one server of a group. The group's lock guards its fields.
type backend struct {
	group    *group
	id, zone string
	address  string
	listener net.Listener
	primary  bool
	term     uint64
	paused   uint64
	log      []entry
	conns    map[net.Conn]bool
	// state is "up", "down" or "dark": a dark one runs, but nothing reaches it.
	state string
	// deaf is set while it receives nothing from its primary.
	deaf bool
	// extraReceive is added to the time until it receives a commit.
	extraReceive time.Duration
	// metNewer is since when an old primary can reach a newer one.
	metNewer time.Time
	seq      int
}

func newGroup(s *store, syncReplicas int) *group {
	g := &group{store: s, sync: syncReplicas, maxConns: 22, term: 1, wait: 3 * time.Millisecond, afterPromote: map[string]time.Duration{}}
	g.cond = sync.NewCond(&g.mu)
	for n := 1; n <= 3; n++ {
		b := &backend{group: g, id: fmt.Sprintf("i-%c%d", 'a'+n-1, n), zone: fmt.Sprintf("zone-%d", n), term: 1, conns: map[net.Conn]bool{}, state: "up", primary: n == 1}
		g.backends = append(g.backends, b)
		b.listener = listen()
		b.address = b.listener.Addr().String()
		go b.accept(b.listener)
		go b.beat()
	}
	g.leader = g.backends[0]
	go func() {
		for {
			time.Sleep(time.Millisecond)
			g.mu.Lock()
			g.replicate()
			g.mu.Unlock()
		}
	}()
	return g
}

// leads returns the backend that leads the newest term.
func (g *group) leads() *backend {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader
}

func (g *group) find(id string) *backend {
	for _, b := range g.backends {
		if b.id == id {
			return b
		}
	}
	return nil
}

// replicate passes commits on. The lock must be held.
func (g *group) replicate() {
	now := time.Now()
	for _, b := range g.backends {
		if b.primary && b != g.leader && b.state == "up" && g.leader.state == "up" {
			if b.metNewer.IsZero() {
				b.metNewer = now
			} else if now.Sub(b.metNewer) > stepDownAfter {
				b.primary = false
			}
		} else {
			b.metNewer = time.Time{}
		}
	}
	for _, b := range g.backends {
		if b.primary || b.state != "up" || b.deaf || b.paused > 0 {
			continue
		}
		// A replica follows the primary of the newest term that it can reach.
		var from *backend
		for _, p := range g.backends {
			if p.primary && p.state == "up" && p.term >= b.term && (from == nil || p.term > from.term) {
				from = p
			}
		}
		if from == nil {
			continue
		}
		if b.term < from.term {
			b.term = from.term
			b.truncate(from)
		}
		for len(b.log) < len(from.log) {
			e := from.log[len(b.log)]
			if now.Sub(e.made) < receiveDelay+b.extraReceive {
				break
			}
			e.applied = now.Add(applyDelay)
			b.log = append(b.log, e)
			g.cond.Broadcast()
		}
	}
}

// truncate drops what the log has beyond that of the primary.
func (b *backend) truncate(from *backend) {
	n := 0
	for n < len(b.log) && n < len(from.log) && b.log[n].at == from.log[n].at {
		n++
	}
	b.log = b.log[:n]
}

func (b *backend) received() position {
	if len(b.log) == 0 {
		return position{1, 0}
	}
	return b.log[len(b.log)-1].at
}

func (b *backend) appliedLog() []entry {
	if b.primary {
		return b.log
	}
	now := time.Now()
	for i, e := range b.log {
		if e.applied.After(now) {
			return b.log[:i]
		}
	}
	return b.log
}

func (b *backend) appliedAt() position {
	log := b.appliedLog()
	if len(log) == 0 {
		return position{1, 0}
	}
	return log[len(log)-1].at
}

// promote names the backend that takes over. It reports false if that one isn't running.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.find(id)
	if b == nil || b.state == "down" {
		return false
	}
	if b == g.leader && b.primary {
		return true
	}
	time.AfterFunc(promoteDelay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if b.state == "down" || b == g.leader && b.primary {
			return
		}
		before := g.leader
		g.term++
		g.leader, g.promotedAt = b, time.Now()
		b.primary, b.term = true, g.term
		for _, other := range g.backends {
			other.paused = 0
		}
		record("promoted %s, term %d, position %s", b.id, g.term, b.received())
		if g.onPromote != nil {
			g.onPromote(b, before)
		}
		g.cond.Broadcast()
	})
	return true
}

// crash stops a backend. It keeps its log.
func (b *backend) crash() {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	record("backend %s crashes, position %s", b.id, b.received())
	b.state, b.paused = "down", 0
	b.listener.Close()
	for c := range b.conns {
		c.Close()
	}
	b.group.cond.Broadcast()
}

// restart starts a crashed backend again: as a replica if another one leads.
func (b *backend) restart() {
	listener, err := net.Listen("tcp", b.address)
	if err != nil {
		fail("can't listen again: %v", err)
	}
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	b.state, b.listener = "up", listener
	if b.group.leader != b {
		b.primary = false
	}
	record("backend %s is back, primary %v", b.id, b.primary)
	go b.accept(listener)
}

// setDark makes a backend unreachable for everyone, or ends that. The connections of before
// stay silent for good.
func (b *backend) setDark(dark bool) {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	if dark {
		b.state = "dark"
		record("backend %s goes dark, position %s", b.id, b.received())
	} else {
		b.state = "up"
		record("backend %s can be reached again, primary %v", b.id, b.primary)
		for c := range b.conns {
			c.Close()
		}
	}
	b.group.cond.Broadcast()
}

// beat registers the backend in the store, where its entry ends after three intervals of
// silence.
func (b *backend) beat() {
	silent, last := 0, ""
	for {
		b.group.mu.Lock()
		state, role := b.state, "replica"
		if b.primary {
			role = "primary"
		}
		b.group.mu.Unlock()
		if state == "up" {
			silent = 0
			if last != role {
				b.seq++
				b.group.store.putJSON("servers/"+b.id, map[string]any{
					"service": groupName, "address": b.address, "zone": b.zone, "version": "v1", "slots": 3,
					"state": "ready", "cold_left_ms": 0, "db_role": role, "seq": b.seq,
				})
				last = role
			}
		} else if silent++; silent == 3 {
			b.group.store.delete("servers/" + b.id)
			last = ""
		}
		for range 12 {
			time.Sleep(heartbeat / 12)
			b.group.mu.Lock()
			changed := b.state == "up" && (last != "") && (last == "primary") != b.primary
			b.group.mu.Unlock()
			if changed {
				break
			}
		}
	}
}

func (b *backend) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go b.serve(conn)
	}
}

// session is one connection to a backend.
type session struct {
	b        *backend
	values   map[string]string
	prepared map[string][2]string
	state    string
	readOnly bool
	ids      []string
	writes   [][2]string
}

func (b *backend) serve(conn net.Conn) {
	defer conn.Close()
	g := b.group
	g.mu.Lock()
	if b.state == "down" {
		g.mu.Unlock()
		return
	}
	b.conns[conn] = true
	dead, full := b.state == "dark", len(b.conns) > g.maxConns
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(b.conns, conn)
		g.mu.Unlock()
	}()
	if dead {
		// Its opening packet is lost.
		b.awaitLight()
		return
	}
	reader := bufio.NewReader(conn)
	line, err := readMessage(reader)
	fields := strings.Fields(line)
	switch {
	case err != nil:
		return
	case full:
		fmt.Fprintf(conn, "ERROR TOOMANY full\r\n")
		return
	case len(fields) < 3 || fields[0] != "CONNECT" || fields[1] != groupName || len(fields) > 3 && fields[3] != b.id:
		fmt.Fprintf(conn, "ERROR WRONGNODE %s\r\n", b.id)
		return
	}
	time.Sleep(5 * time.Millisecond)
	s := &session{b: b, values: map[string]string{}, prepared: map[string][2]string{}, state: "I"}
	fmt.Fprintf(conn, "READY I %s\r\n", b.lockedApplied())
	for {
		line, err := readMessage(reader)
		if err != nil {
			return
		}
		if b.isDark() {
			b.awaitLight()
			return
		}
		rest, found := strings.CutPrefix(line, "QUERY ")
		if !found {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		if id != "-" {
			time.Sleep(g.wait)
		}
		g.mu.Lock()
		answer := s.run(id, text)
		down := b.state != "up"
		state := "READY " + s.state + " " + b.appliedAt().String()
		g.mu.Unlock()
		if down {
			b.awaitLight()
			return
		}
		if _, err := fmt.Fprintf(conn, "%s\r\n%s\r\n", answer, state); err != nil {
			return
		}
	}
}

// readMessage reads a message up to CR LF, which alone ends it.
func readMessage(reader *bufio.Reader) (string, error) {
	message := ""
	for {
		part, err := reader.ReadString('\n')
		if err != nil {
			return "", err
		}
		message += part
		if line, found := strings.CutSuffix(message, "\r\n"); found {
			return line, nil
		}
	}
}

func (b *backend) lockedApplied() string {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	return b.appliedAt().String()
}

func (b *backend) isDark() bool {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	return b.state == "dark"
}

func (b *backend) awaitLight() {
	for b.isDark() {
		time.Sleep(5 * time.Millisecond)
	}
}

// run runs a statement and returns its answer without READY. The group's lock must be held.
func (s *session) run(id, text string) string {
	b := s.b
	if rest, found := strings.CutPrefix(text, "AFTER "); found {
		at, query, _ := strings.Cut(rest, " ")
		if !b.has(parsePosition(at)) {
			return "ERROR LAGGING " + b.appliedAt().String()
		}
		text = query
	}
	word, rest, _ := strings.Cut(text, " ")
	if s.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		return "ERROR MALFORMED the transaction has failed"
	}
	shape := ""
	if word == "EXECUTE" {
		name, _, _ := strings.Cut(rest, " ")
		shape = s.prepared[name][0] + " " + s.prepared[name][1]
	}
	if id != "-" {
		values := map[string]string{}
		for n, v := range s.values {
			values[n] = v
		}
		b.group.runs = append(b.group.runs, run{id, text, b.id, shape, values, s.state})
	}
	switch word {
	case "STATUS":
		if b.group.busy && !b.primary {
			return "ERROR BUSY no slot is free"
		}
		return s.status()
	case "PAUSE":
		if term, _ := strconv.ParseUint(rest, 10, 64); !b.primary && term > b.term {
			b.paused = term
		}
		return s.status()
	case "RESUME":
		b.paused = 0
		return s.status()
	case "STEPDOWN":
		if term, _ := strconv.ParseUint(rest, 10, 64); b.primary && term > b.term {
			b.primary = false
		}
		return s.status()
	case "RESET":
		clear(s.values)
		clear(s.prepared)
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
	case "PREPARE":
		f := strings.SplitN(rest, " ", 3)
		s.prepared[f[0]] = [2]string{f[1], f[2]}
	case "CLOSE":
		delete(s.prepared, rest)
	case "BEGIN":
		if rest != "READ" && !b.primary {
			return "ERROR READONLY " + b.id
		}
		s.state, s.readOnly, s.ids, s.writes = "T", rest == "READ", nil, nil
	case "ROLLBACK":
		s.state, s.ids, s.writes = "I", nil, nil
	case "COMMIT":
		return s.commit(id)
	case "READ":
		return s.read(rest)
	case "WRITE":
		item, data, _ := strings.Cut(rest, " ")
		return s.write(id, item, data)
	case "EXECUTE":
		name, arguments, _ := strings.Cut(rest, " ")
		p, known := s.prepared[name]
		if !known {
			return "ERROR NOSTMT " + name
		}
		if p[0] == "READ" {
			return s.read(arguments)
		}
		item, data, _ := strings.Cut(arguments, " ")
		return s.write(id, item, data)
	default:
		return "ERROR MALFORMED " + word
	}
	return "COMPLETE -"
}

func (b *backend) has(p position) bool {
	if p.number == 0 {
		return true
	}
	for _, e := range b.appliedLog() {
		if e.at == p {
			return true
		}
	}
	return false
}

func (s *session) status() string {
	b, role := s.b, "replica"
	if b.primary {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s %d 0 0 %d\r\nCOMPLETE -", role, b.term, b.received(), b.paused, len(b.conns))
}

func (s *session) lostLead() bool { return s.state == "T" && !s.readOnly && !s.b.primary }

func (s *session) read(name string) string {
	if s.lostLead() {
		s.state = "E"
		return "ERROR READONLY " + s.b.id
	}
	value := "none"
	for _, e := range s.b.appliedLog() {
		for _, w := range e.writes {
			if w[0] == name {
				value = w[1]
			}
		}
	}
	return "ROW " + value + "\r\nCOMPLETE " + s.b.digest()
}

var digests int

// digest returns a digest that no other answer has. The group's lock must be held.
func (b *backend) digest() string {
	digests++
	return fmt.Sprintf("%s.%x", b.id, digests)
}

func (s *session) write(id, name, data string) string {
	if !s.b.primary || s.state == "T" && s.readOnly {
		if s.state == "T" {
			s.state = "E"
		}
		return "ERROR READONLY " + s.b.id
	}
	if s.state == "T" {
		s.ids, s.writes = append(s.ids, id), append(s.writes, [2]string{name, data})
		return "COMPLETE " + s.b.digest()
	}
	return s.b.commit([]string{id}, [][2]string{{name, data}})
}

func (s *session) commit(id string) string {
	state, ids, writes := s.state, s.ids, s.writes
	s.state, s.ids, s.writes = "I", nil, nil
	switch {
	case state != "T":
		return "ERROR ABORTED " + id
	case len(writes) == 0:
		return "COMPLETE " + s.b.digest()
	case !s.b.primary:
		return "ERROR READONLY " + s.b.id
	}
	return s.b.commit(ids, writes)
}

// commit appends a commit to the log, and returns the acknowledgement once as many replicas
// as the service asks for have received it.
func (b *backend) commit(ids []string, writes [][2]string) string {
	g := b.group
	at := position{b.term, b.received().number + 1}
	b.log = append(b.log, entry{at: at, ids: ids, writes: writes, made: time.Now()})
	for {
		count := 0
		for _, r := range g.backends {
			if r != b && len(r.log) >= len(b.log) && r.holds(at) {
				count++
			} else if r != b && r.holds(at) {
				count++
			}
		}
		if count >= g.sync {
			if b != g.leader {
				for _, id := range ids {
					g.afterPromote[id] = time.Since(g.promotedAt)
				}
			}
			return "COMPLETE " + b.digest()
		}
		if b.state != "up" || !b.primary {
			return "ERROR FAILED not acknowledged"
		}
		g.cond.Wait()
	}
}

// holds reports whether a log holds a commit.
func (b *backend) holds(at position) bool {
	for i := len(b.log) - 1; i >= 0; i-- {
		if b.log[i].at == at {
			return true
		}
		if b.log[i].at.number < at.number {
			return false
		}
	}
	return false
}

// holdsID reports whether a log holds a client's write.
func (b *backend) holdsID(id string) bool {
	for _, e := range b.log {
		for _, i := range e.ids {
			if i == id {
				return true
			}
		}
	}
	return false
}

// order is a call of POST /promote.
type order struct {
	holder, id string
	token      int64
}

// cloud is a stand-in of the platform's API for promotions. It doesn't check fences.
type cloud struct {
	mu     sync.Mutex
	group  *group
	down   bool
	orders []order
	// refused are the orders that came while it was down.
	refused []order
}

func (c *cloud) setDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
	record("the promotion API is down: %v", down)
}

func (c *cloud) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Service, ID string }
		_ = json.NewDecoder(r.Body).Decode(&body)
		token, _ := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
		o := order{r.Header.Get("X-Lease-Holder"), body.ID, token}
		c.mu.Lock()
		down := c.down
		if down {
			c.refused = append(c.refused, o)
		} else {
			c.orders = append(c.orders, o)
		}
		c.mu.Unlock()
		record("POST /promote of %s by %s, token %d, refused with 503: %v", o.id, o.holder, o.token, down)
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
		case !c.group.promote(body.ID):
			w.WriteHeader(http.StatusConflict)
		}
	})
	_ = (&http.Server{Handler: mux}).Serve(listener)
}
