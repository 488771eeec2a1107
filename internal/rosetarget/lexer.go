package rosetarget

import "strings"

type tokenKind int

const (
	tokenEnd tokenKind = iota
	tokenWord
	tokenNumber
	tokenString
	tokenParam
	tokenSymbol
)

type token struct {
	kind tokenKind
	text string
}

const wordBytes = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_."

// lex splits query into tokens. It drops comments and converts unquoted words to
// lower case.
func lex(query string) ([]token, error) {
	var tokens []token
	for i := 0; i < len(query); {
		switch c := query[i]; {
		case c == ' ' || c == '\n' || c == '\t' || c == '\r':
			i++
		case strings.HasPrefix(query[i:], "--"):
			end := strings.IndexByte(query[i:], '\n')
			if end < 0 {
				return tokens, nil
			}
			i += end
		case strings.HasPrefix(query[i:], "/*"):
			end := strings.Index(query[i:], "*/")
			if end < 0 {
				return nil, syntaxError("unterminated comment")
			}
			i += end + 2
		case c == '\'' || c == '"':
			text, size, err := unquote(query[i:], c)
			if err != nil {
				return nil, err
			}
			kind := tokenString
			if c == '"' {
				kind = tokenWord
			}
			tokens = append(tokens, token{kind, text})
			i += size
		case c == '$':
			end := i + 1
			for end < len(query) && query[end] >= '0' && query[end] <= '9' {
				end++
			}
			tokens = append(tokens, token{tokenParam, query[i+1 : end]})
			i = end
		case strings.IndexByte(wordBytes, c) >= 0:
			end := i
			for end < len(query) && strings.IndexByte(wordBytes, query[end]) >= 0 {
				end++
			}
			kind := tokenWord
			if c >= '0' && c <= '9' {
				kind = tokenNumber
			}
			tokens = append(tokens, token{kind, strings.ToLower(query[i:end])})
			i = end
		default:
			size := 1
			for _, symbol := range []string{"<=", ">=", "<>", "!=", "::"} {
				if strings.HasPrefix(query[i:], symbol) {
					size = 2
				}
			}
			tokens = append(tokens, token{tokenSymbol, query[i : i+size]})
			i += size
		}
	}
	return tokens, nil
}

// unquote returns the content of the quoted token at the start of text, and the
// size of the token with its quotes.
func unquote(text string, quote byte) (string, int, error) {
	var b strings.Builder
	for i := 1; i < len(text); i++ {
		if text[i] != quote {
			b.WriteByte(text[i])
			continue
		}
		if i+1 < len(text) && text[i+1] == quote {
			b.WriteByte(quote)
			i++
			continue
		}
		return b.String(), i + 1, nil
	}
	return "", 0, syntaxError("unterminated quoted string or identifier")
}
