package rosefront

import "github.com/jackc/pgx/v5/pgproto3"

// batch holds a client's messages up to the point where it waits for an answer:
// one simple query, or extended query messages up to Sync or Flush.
type batch struct {
	messages []pgproto3.FrontendMessage
	// simple is the simple query, or nil for the extended query protocol.
	simple *pgproto3.Query
	// flush is set when the batch ends with Flush, so the request continues in
	// the next batch.
	flush bool
	// skipping is set after an error, until the client's Sync.
	skipping bool
}

// add appends a copy of message, because pgproto3 reuses its memory. It reports
// whether the batch is complete.
func (b *batch) add(message pgproto3.FrontendMessage) bool {
	switch m := message.(type) {
	case *pgproto3.Query:
		query := *m
		b.simple = &query
		b.messages = append(b.messages, b.simple)
		return true
	case *pgproto3.Sync:
		b.messages = append(b.messages, &pgproto3.Sync{})
		return true
	case *pgproto3.Flush:
		b.flush = true
		return true
	case *pgproto3.Parse:
		parse := *m
		parse.ParameterOIDs = append([]uint32(nil), m.ParameterOIDs...)
		b.messages = append(b.messages, &parse)
	case *pgproto3.Bind:
		b.messages = append(b.messages, copyBind(m))
	case *pgproto3.Describe:
		describe := *m
		b.messages = append(b.messages, &describe)
	case *pgproto3.Execute:
		execute := *m
		b.messages = append(b.messages, &execute)
	case *pgproto3.Close:
		closing := *m
		b.messages = append(b.messages, &closing)
	default:
		b.messages = append(b.messages, message)
	}
	return false
}

func copyBind(m *pgproto3.Bind) *pgproto3.Bind {
	bind := *m
	bind.ParameterFormatCodes = append([]int16(nil), m.ParameterFormatCodes...)
	bind.ResultFormatCodes = append([]int16(nil), m.ResultFormatCodes...)
	bind.Parameters = make([][]byte, len(m.Parameters))
	for i, p := range m.Parameters {
		if p != nil {
			bind.Parameters[i] = append([]byte{}, p...)
		}
	}
	return &bind
}

// skipUntilSync reports whether to skip the batch because an earlier part of
// the request failed. A batch that ends with Sync is reduced to the Sync and
// ends the skipping.
func (b *batch) skipUntilSync() bool {
	if !b.skipping {
		return false
	}
	if len(b.messages) == 0 {
		return true
	}
	last := b.messages[len(b.messages)-1]
	if _, synced := last.(*pgproto3.Sync); !synced {
		return true
	}
	b.messages = b.messages[len(b.messages)-1:]
	b.skipping = false
	return false
}
