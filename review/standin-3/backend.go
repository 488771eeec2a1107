package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// position is a place in a backend's log.
type position struct{ term, number uint64 }

// String returns the position as the wire spells it.
func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

// before reports whether p precedes other.
func (p position) before(other position) bool {
	return p.term < other.term || p.term == other.term && p.number < other.number
}

// entry is one commit.
type entry struct {
	position
	id, key, value string
}

// group is a service: a primary and its replicas. Its lock guards the backends too. Replication
// takes no time unless a backend is deaf.
type group struct {
	name string
	// syncReplicas is the number of replicas that must have received a commit before it is
	// acknowledged.
	syncReplicas int
	promoteDelay time.Duration
	record       *record

	mu       sync.Mutex
	backends map[string]*backend
	// leader is the backend promoted last, and term its term.
	leader string
	term   uint64
	// received is closed and replaced when a replica receives commits.
	received chan struct{}
	// stale are the commits made at a primary after another one had taken over, by statement.
	stale map[string]string
	// committed are all commits, by statement, and cutBack those that a promoted backend lacked.
	committed map[string]position
	cutBack   map[string]string
}

// backend is one database server.
type backend struct {
	group    *group
	id, zone string
	listener net.Listener

	primary bool
	term    uint64
	paused  uint64
	log     []entry
	// deaf is set while the backend receives no commits.
	deaf, crashed bool
	conns         map[net.Conn]bool
	// cutFrom are the processes whose connections are dark.
	cutFrom map[int]bool
}

func newGroup(name string, syncReplicas int, record *record) *group {
	return &group{
		name: name, syncReplicas: syncReplicas, promoteDelay: 300 * time.Millisecond, record: record,
		backends: make(map[string]*backend), received: make(chan struct{}),
		stale: make(map[string]string), committed: make(map[string]position), cutBack: make(map[string]string), term: 1,
	}
}

// add starts a backend. The first one is the primary; a later one has the primary's log.
func (g *group) add(id, zone string) *backend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	g.mu.Lock()
	defer g.mu.Unlock()
	b := &backend{group: g, id: id, zone: zone, listener: listener, term: g.term, conns: make(map[net.Conn]bool), cutFrom: make(map[int]bool)}
	if len(g.backends) == 0 {
		b.primary, g.leader = true, id
	} else {
		b.log = append([]entry(nil), g.backends[g.leader].log...)
	}
	g.backends[id] = b
	go b.serve()
	return b
}

// replicate passes on to the replicas what they lack. The lock must be held.
func (g *group) replicate() {
	progress := false
	for _, from := range g.backends {
		if !from.primary || from.crashed {
			continue
		}
		for _, to := range g.backends {
			if to == from || to.primary || to.deaf || to.crashed || to.paused > 0 || to.term != from.term {
				continue
			}
			if len(to.log) < len(from.log) {
				to.log = append([]entry(nil), from.log...)
				progress = true
			}
		}
	}
	if progress {
		close(g.received)
		g.received = make(chan struct{})
	}
}

// holders returns the number of replicas that have a commit. The lock must be held.
func (g *group) holders(from *backend, p position) int {
	count := 0
	for _, b := range g.backends {
		if b == from || b.crashed || len(b.log) == 0 {
			continue
		}
		for i := len(b.log) - 1; i >= 0 && !b.log[i].before(p); i-- {
			if b.log[i].position == p {
				count++
			}
		}
	}
	return count
}

// promote has a backend lead the next term after the delay. It reports false if the backend
// isn't running.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	b := g.backends[id]
	running := b != nil && !b.crashed
	g.mu.Unlock()
	if running {
		time.AfterFunc(g.promoteDelay, func() { g.takeOver(b) })
	}
	return running
}

func (g *group) takeOver(b *backend) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if b.crashed || b.primary && g.leader == b.id {
		return
	}
	old := g.backends[g.leader]
	g.term++
	g.leader = b.id
	b.primary, b.term, b.paused = true, g.term, 0
	g.record.write("promoted", "backend", b.id, "term", g.term, "log", b.end(), "former", old.id, "formerLog", old.end())
	for id, p := range g.committed {
		if p.before(position{g.term, 0}) && !b.has(p) {
			g.cutBack[id] = fmt.Sprintf("%s, which %s, promoted for term %d, lacks", p, b.id, g.term)
			g.record.write("not in the log of the promoted backend", "statement", id, "position", p)
		}
	}
	for _, other := range g.backends {
		if other != b && !other.primary && !other.crashed {
			other.follow(b)
		}
	}
	// The former primary can reach the new one, and follows it a second later.
	time.AfterFunc(time.Second, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if old.primary && old.term < g.term && !old.crashed {
			g.record.write("former primary follows", "backend", old.id)
			old.primary = false
			old.follow(g.backends[g.leader])
		}
	})
	g.replicate()
}

// follow makes the backend a replica of a primary. The lock must be held.
func (b *backend) follow(primary *backend) {
	b.term, b.paused = primary.term, 0
	common := 0
	for common < len(b.log) && common < len(primary.log) && b.log[common].position == primary.log[common].position {
		common++
	}
	b.log = b.log[:common:common]
	if !b.deaf {
		b.log = append([]entry(nil), primary.log...)
	}
}

// end returns the position of the last commit. The lock must be held.
func (b *backend) end() position {
	if len(b.log) == 0 {
		return position{1, 0}
	}
	return b.log[len(b.log)-1].position
}

// has reports whether the log holds a position. The lock must be held.
func (b *backend) has(p position) bool {
	if p.number == 0 {
		return true
	}
	for i := len(b.log) - 1; i >= 0 && !b.log[i].before(p); i-- {
		if b.log[i].position == p {
			return true
		}
	}
	return false
}

// crash ends the backend with all its connections.
func (b *backend) crash() {
	b.listener.Close()
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	b.crashed = true
	for c := range b.conns {
		c.Close()
	}
}

// setCut makes the connections of some processes dark, and ends those that were dark before.
func (b *backend) setCut(pids ...int) {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	clear(b.cutFrom)
	for _, pid := range pids {
		b.cutFrom[pid] = true
	}
}

func (b *backend) isCutFrom(pid int) bool {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	return b.cutFrom[pid]
}

func (b *backend) serve() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serveConn(conn)
	}
}

// darkTime is how long a backend keeps a connection whose other end is unreachable.
const darkTime = 3 * time.Second

// session is one connection.
type session struct {
	backend  *backend
	conn     net.Conn
	state    string
	readOnly bool
	pending  []entry
	prepared map[string]string
}

func (b *backend) serveConn(conn net.Conn) {
	defer conn.Close()
	pid := processOf(conn)
	b.group.mu.Lock()
	b.conns[conn] = true
	b.group.mu.Unlock()
	defer func() {
		b.group.mu.Lock()
		defer b.group.mu.Unlock()
		delete(b.conns, conn)
	}()
	reader := bufio.NewReader(conn)
	s := &session{backend: b, conn: conn, state: "I", prepared: make(map[string]string)}
	for first := true; ; first = false {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimSuffix(line, "\r\n")
		if b.isCutFrom(pid) {
			time.Sleep(darkTime)
			return
		}
		var answer string
		if first {
			answer = s.connect(line)
		} else {
			answer = s.query(line)
		}
		if b.isCutFrom(pid) {
			time.Sleep(darkTime)
			return
		}
		if _, err := conn.Write([]byte(answer)); err != nil || answer == "" || strings.HasPrefix(answer, "ERROR WRONGNODE") {
			return
		}
	}
}

func (s *session) connect(line string) string {
	fields := strings.Fields(line)
	if len(fields) < 3 || fields[0] != "CONNECT" || fields[1] != s.backend.group.name || len(fields) > 3 && fields[3] != s.backend.id {
		return "ERROR WRONGNODE " + s.backend.id + "\r\n"
	}
	s.backend.group.mu.Lock()
	defer s.backend.group.mu.Unlock()
	return "READY I " + s.backend.end().String() + "\r\n"
}

// query answers a statement, with an empty text if the connection ends.
func (s *session) query(line string) string {
	keyword, rest, _ := strings.Cut(line, " ")
	id, text, _ := strings.Cut(rest, " ")
	if keyword != "QUERY" {
		return ""
	}
	if id != "-" {
		time.Sleep(time.Millisecond)
	}
	g := s.backend.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.backend.crashed {
		return ""
	}
	answer := s.run(id, text)
	if answer == "" || s.backend.crashed {
		return ""
	}
	return answer + "\r\nREADY " + s.state + " " + s.backend.end().String() + "\r\n"
}

// run runs a statement. The lock must be held.
func (s *session) run(id, text string) string {
	b := s.backend
	if rest, found := strings.CutPrefix(text, "AFTER "); found {
		at, statement, _ := strings.Cut(rest, " ")
		if !b.has(parsePosition(at)) {
			return "ERROR LAGGING " + b.end().String()
		}
		text = statement
	}
	keyword, rest, _ := strings.Cut(text, " ")
	if s.state == "E" && keyword != "ROLLBACK" && keyword != "COMMIT" {
		return "ERROR MALFORMED the transaction has failed"
	}
	switch keyword {
	case "STATUS", "PAUSE", "STEPDOWN", "RESUME":
		return s.command(keyword, rest)
	case "RESET":
		clear(s.prepared)
		return "COMPLETE -"
	case "SET", "CLOSE":
		return "COMPLETE -"
	case "PREPARE":
		fields := strings.SplitN(rest, " ", 3)
		s.prepared[fields[0]] = fields[1]
		return "COMPLETE -"
	case "BEGIN":
		if rest != "READ" && !b.primary {
			return "ERROR READONLY " + b.id
		}
		s.state, s.readOnly, s.pending = "T", rest == "READ", nil
		return "COMPLETE -"
	case "ROLLBACK":
		s.state, s.pending = "I", nil
		return "COMPLETE -"
	case "COMMIT":
		return s.commit()
	case "EXECUTE":
		name, arguments, _ := strings.Cut(rest, " ")
		access, known := s.prepared[name]
		if !known {
			return "ERROR NOSTMT " + name
		}
		if access == "READ" {
			return s.read(arguments)
		}
		return s.write(id, arguments)
	case "READ":
		return s.read(rest)
	case "WRITE":
		return s.write(id, rest)
	}
	return "ERROR MALFORMED " + keyword
}

func (s *session) command(keyword, argument string) string {
	b := s.backend
	term, _ := strconv.ParseUint(argument, 10, 64)
	switch {
	case keyword == "PAUSE" && !b.primary && term > b.group.term:
		b.paused = term
	case keyword == "RESUME":
		b.paused = 0
		b.group.replicate()
	case keyword == "STEPDOWN" && b.primary && b.term < term:
		b.primary = false
	}
	if keyword != "STATUS" {
		b.group.record.write("order", "backend", b.id, "order", strings.TrimSpace(keyword+" "+argument), "primary", b.primary, "held", b.paused, "log", b.end())
	}
	role := "replica"
	if b.primary {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s %d 0 0 %d\r\nCOMPLETE -", role, b.term, b.end(), b.paused, len(b.conns))
}

func (s *session) read(key string) string {
	b := s.backend
	if s.state == "T" && !s.readOnly && !b.primary {
		s.state = "E"
		return "ERROR READONLY " + b.id
	}
	value := "none"
	for _, e := range b.log {
		if e.key == key {
			value = e.value
		}
	}
	return "ROW " + value + "\r\nCOMPLETE " + b.id
}

func (s *session) write(id, rest string) string {
	key, value, _ := strings.Cut(rest, " ")
	b := s.backend
	if !b.primary {
		if s.state == "T" {
			s.state = "E"
		}
		return "ERROR READONLY " + b.id
	}
	e := entry{id: id, key: key, value: value}
	if s.state == "T" {
		s.pending = append(s.pending, e)
		return "COMPLETE " + b.id
	}
	return s.append(e)
}

func (s *session) commit() string {
	writes, failed := s.pending, s.state != "T"
	s.state, s.pending = "I", nil
	switch {
	case failed:
		return "ERROR ABORTED the transaction failed"
	case len(writes) > 0 && !s.backend.primary:
		return "ERROR READONLY " + s.backend.id
	}
	return s.append(writes...)
}

// append commits writes, and waits for the replicas that have to receive them.
func (s *session) append(writes ...entry) string {
	b, g := s.backend, s.backend.group
	var last position
	for _, e := range writes {
		e.position = position{b.term, b.end().number + 1}
		last = e.position
		b.log = append(b.log, e)
		g.committed[e.id] = e.position
		g.record.write("run", "statement", e.id, "backend", b.id, "position", e.position)
		if g.leader != b.id {
			g.stale[e.id] = fmt.Sprintf("at %s as %s, when %s led term %d", b.id, e.position, g.leader, g.term)
			g.record.write("commit at a former primary", "statement", e.id, "backend", b.id, "position", e.position, "leader", g.leader, "term", g.term)
		}
	}
	g.replicate()
	for len(writes) > 0 && g.holders(b, last) < g.syncReplicas {
		received := g.received
		g.mu.Unlock()
		select {
		case <-received:
		case <-time.After(50 * time.Millisecond):
		}
		g.mu.Lock()
		if b.crashed {
			return ""
		}
		if !b.primary {
			return "ERROR TIMEOUT the lead was lost"
		}
	}
	return "COMPLETE " + b.id
}

func parsePosition(text string) position {
	term, number, _ := strings.Cut(text, ".")
	t, _ := strconv.ParseUint(term, 10, 64)
	n, _ := strconv.ParseUint(number, 10, 64)
	return position{t, n}
}
