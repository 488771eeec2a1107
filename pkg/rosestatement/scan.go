// Package rosestatement looks at the leading keywords and the comments of SQL
// text. It is no parser: it finds where statements begin and what sqlcommenter
// tags they carry, and nothing else about them.
package rosestatement

import (
	"net/url"
	"strings"
)

// leadingWords is the number of keywords kept of each statement.
const leadingWords = 4

// Script is the text of one query message.
type Script struct {
	Statements []Statement
	Tags       Tags
}

// Statement is one statement of a script.
type Statement struct {
	// Words are the first keywords, in lower case.
	Words []string
	// Value is the text after "=" or TO, for SET.
	Value string
}

// Tags are the sqlcommenter tags that the proxy reads.
type Tags struct {
	// Class names the statement's class.
	Class string
	// Request identifies the request across retries.
	RequestID string
}

// Word returns keyword i, or an empty string.
func (s Statement) Word(i int) string {
	if i < len(s.Words) {
		return s.Words[i]
	}
	return ""
}

// Scan splits query into statements.
func Scan(query string) Script {
	scanner := scanner{text: query}
	scanner.run()
	return scanner.script
}

type scanner struct {
	text    string
	at      int
	script  Script
	current Statement
	value   bool
	depth   int
}

func (s *scanner) run() {
	for s.at < len(s.text) {
		s.step()
	}
	s.finish()
}

func (s *scanner) step() {
	rest := s.text[s.at:]
	c := rest[0]
	switch {
	case strings.HasPrefix(rest, "--"):
		s.at += lengthTo(rest, "\n")
	case strings.HasPrefix(rest, "/*"):
		size := commentLength(rest)
		s.tags(rest[2:max(2, size-2)])
		s.at += size
	case c == '\'':
		s.token(strings.ReplaceAll(s.quoted('\''), "''", "'"))
	case c == '"':
		s.token(s.quoted('"'))
	case c == '$':
		s.at += dollarLength(rest)
		s.current.Words = s.pad()
	case c == ';':
		s.at++
		s.finish()
	case c == '=':
		s.at++
		s.value = true
	case isWord(c):
		end := 0
		for end < len(rest) && isWord(rest[end]) {
			end++
		}
		s.at += end
		s.token(strings.ToLower(rest[:end]))
	default:
		s.at++
		if c > ' ' && c != '(' && len(s.current.Words) == 0 {
			s.current.Words = append(s.current.Words, string(c))
		}
	}
}

// pad keeps a statement that begins with a dollar quote from being empty.
func (s *scanner) pad() []string {
	if len(s.current.Words) == 0 {
		return []string{"$"}
	}
	return s.current.Words
}

func (s *scanner) token(word string) {
	if s.value && s.current.Value == "" {
		s.current.Value = word
		return
	}
	if len(s.current.Words) < leadingWords {
		s.current.Words = append(s.current.Words, word)
	}
	if word == "to" && len(s.current.Words) > 2 {
		s.value = true
	}
}

func (s *scanner) finish() {
	if len(s.current.Words) > 0 {
		s.script.Statements = append(s.script.Statements, s.current)
	}
	s.current = Statement{}
	s.value = false
}

// quoted takes a quoted token and returns its text between the quotes.
func (s *scanner) quoted(quote byte) string {
	rest := s.text[s.at:]
	for i := 1; i < len(rest); i++ {
		if rest[i] != quote {
			continue
		}
		if i+1 < len(rest) && rest[i+1] == quote {
			i++
			continue
		}
		s.at += i + 1
		return rest[1:i]
	}
	s.at = len(s.text)
	return rest[1:]
}

func (s *scanner) tags(comment string) {
	for pair := range strings.SplitSeq(comment, ",") {
		key, raw, found := strings.Cut(strings.TrimSpace(pair), "=")
		raw = strings.TrimSpace(raw)
		if !found || len(raw) < 2 || raw[0] != '\'' || raw[len(raw)-1] != '\'' {
			continue
		}
		value, err := url.QueryUnescape(raw[1 : len(raw)-1])
		if err != nil {
			continue
		}
		switch strings.TrimSpace(key) {
		case "class", "rosemary_class":
			s.script.Tags.Class = value
		case "request_id", "rosemary_request":
			s.script.Tags.RequestID = value
		}
	}
}

func isWord(c byte) bool {
	return c == '_' || c == '.' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

func lengthTo(text, end string) int {
	at := strings.Index(text, end)
	if at < 0 {
		return len(text)
	}
	return at + len(end)
}

// commentLength returns the length of a comment, which may nest.
func commentLength(text string) int {
	depth := 0
	for i := 0; i+1 < len(text); i++ {
		switch text[i : i+2] {
		case "/*":
			depth++
			i++
		case "*/":
			depth--
			i++
			if depth == 0 {
				return i + 1
			}
		}
	}
	return len(text)
}

// dollarLength returns the length of a dollar-quoted string or a parameter.
func dollarLength(text string) int {
	end := 1
	for end < len(text) && isWord(text[end]) {
		end++
	}
	if end >= len(text) || text[end] != '$' {
		return end
	}
	delimiter := text[:end+1]
	closing := strings.Index(text[end+1:], delimiter)
	if closing < 0 {
		return len(text)
	}
	return end + 1 + closing + len(delimiter)
}
