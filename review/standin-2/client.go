package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// client is a session of a client.
type client struct {
	record *record
	v      *service
	proxy  *proxy
	conn   net.Conn
	reader *bufio.Reader
}

// connect opens a session, nil if that fails.
func connect(r *record, v *service, p *proxy, database string) *client {
	conn, err := net.DialTimeout("tcp", p.front, time.Second)
	if err != nil {
		return nil
	}
	c := &client{record: r, v: v, proxy: p, conn: conn, reader: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "CONNECT %s\r\n", database)
	line, err := readLine(c.reader)
	if err != nil || !strings.HasPrefix(line, "READY") {
		conn.Close()
		return nil
	}
	return c
}

// ask sends a statement and returns its ID, the closing message of the answer and the
// state; without an answer the message is empty.
func (c *client) ask(text string) (id, message, state string) {
	id = fmt.Sprintf("%016x", rand.Uint64())
	state = c.send(id, text, &message)
	return id, message, state
}

// send sends a statement, sets the closing message of its answer and returns the state.
func (c *client) send(id, text string, message *string) (state string) {
	_ = c.conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return ""
	}
	for {
		line, err := readLine(c.reader)
		if err != nil {
			*message = ""
			return ""
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "READY":
			state, _, _ = strings.Cut(rest, " ")
			return state
		case "COMPLETE", "ERROR":
			*message = line
		}
	}
}

func (c *client) close() { c.conn.Close() }

// writeAs sends a write for which the session was acknowledged a role.
func (c *client) writeAs(role, text string) {
	id, message := fmt.Sprintf("%016x", rand.Uint64()), ""
	c.v.mu.Lock()
	c.v.expected[id] = role
	c.v.mu.Unlock()
	c.send(id, text, &message)
	c.record.add("client at %s, role %s: %s %s answered %q", c.proxy.name, role, id, text, message)
}
