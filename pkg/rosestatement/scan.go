// Package rosestatement scans SQL text for statement boundaries, leading
// keywords and sqlcommenter tags. It is not a parser and finds nothing else.
package rosestatement

import (
	"net/url"
	"strings"
)

// maxWords bounds the number of leading words kept of each statement.
const maxWords = 4

// Script holds what Scan found in the text of one query message.
type Script struct {
	Statements []Statement
	Tags       Tags
}

// Statement is one statement of a script.
type Statement struct {
	// Words are the leading words, at most maxWords, in lower case unless quoted.
	Words []string
	// Value is the first token after "=" or TO in a SET.
	Value string
}

// Tags are the sqlcommenter tags that the proxy reads.
type Tags struct {
	// Class names the statement's class.
	Class string
	// RequestID identifies the request across retries.
	RequestID string
}

// Word returns the leading word at index i, or an empty string.
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
	offset  int
	script  Script
	current Statement
	inValue bool
	depth   int
}

func (s *scanner) run() {
	for s.offset < len(s.text) {
		s.step()
	}
	s.endStatement()
}

func (s *scanner) step() {
	rest := s.text[s.offset:]
	c := rest[0]
	switch {
	case strings.HasPrefix(rest, "--"):
		s.offset += lengthThrough(rest, "\n")
	case strings.HasPrefix(rest, "/*"):
		size := commentLength(rest)
		s.parseTags(rest[2:max(2, size-2)])
		s.offset += size
	case c == '\'':
		s.addToken(strings.ReplaceAll(s.readQuoted('\''), "''", "'"))
	case c == '"':
		s.addToken(s.readQuoted('"'))
	case c == '$':
		s.offset += dollarLength(rest)
		s.current.Words = s.wordsWithPlaceholder()
	case c == ';':
		s.offset++
		s.endStatement()
	case c == '=':
		s.offset++
		s.inValue = true
	case isWordByte(c):
		end := 0
		for end < len(rest) && isWordByte(rest[end]) {
			end++
		}
		s.offset += end
		s.addToken(strings.ToLower(rest[:end]))
	default:
		s.offset++
		// As a word, the byte keeps a statement that begins with it from being
		// dropped as empty. A parenthesis is skipped, so that the first word of
		// (SELECT ...) is the keyword.
		if c > ' ' && c != '(' && len(s.current.Words) == 0 {
			s.current.Words = append(s.current.Words, string(c))
		}
	}
}

// wordsWithPlaceholder keeps a statement that begins with a dollar quote from
// being dropped as empty.
func (s *scanner) wordsWithPlaceholder() []string {
	if len(s.current.Words) == 0 {
		return []string{"$"}
	}
	return s.current.Words
}

func (s *scanner) addToken(text string) {
	if s.inValue && s.current.Value == "" {
		s.current.Value = text
		return
	}
	if len(s.current.Words) < maxWords {
		s.current.Words = append(s.current.Words, text)
	}
	if text == "to" && len(s.current.Words) > 2 {
		s.inValue = true
	}
}

func (s *scanner) endStatement() {
	if len(s.current.Words) > 0 {
		s.script.Statements = append(s.script.Statements, s.current)
	}
	s.current = Statement{}
	s.inValue = false
}

// readQuoted consumes a quoted token and returns the text between its quotes.
func (s *scanner) readQuoted(quote byte) string {
	rest := s.text[s.offset:]
	for i := 1; i < len(rest); i++ {
		if rest[i] != quote {
			continue
		}
		if i+1 < len(rest) && rest[i+1] == quote {
			i++
			continue
		}
		s.offset += i + 1
		return rest[1:i]
	}
	s.offset = len(s.text)
	return rest[1:]
}

func (s *scanner) parseTags(comment string) {
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

func isWordByte(c byte) bool {
	return c == '_' || c == '.' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

// lengthThrough returns the length of text up to and including the first end,
// or of all text if there is none.
func lengthThrough(text, end string) int {
	i := strings.Index(text, end)
	if i < 0 {
		return len(text)
	}
	return i + len(end)
}

// commentLength returns the length of a block comment, including nested ones.
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

// dollarLength returns the length of a dollar-quoted string or a positional
// parameter.
func dollarLength(text string) int {
	end := 1
	for end < len(text) && isWordByte(text[end]) {
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
