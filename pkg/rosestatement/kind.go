package rosestatement

import "strings"

// Kind tells how the proxy treats a statement.
type Kind int

// Kinds of statements.
const (
	// KindPlain is passed on as it is.
	KindPlain Kind = iota
	// KindBegin opens a transaction block.
	KindBegin
	// KindEnd closes a transaction block.
	KindEnd
	// KindProxySet sets one of the proxy's own settings.
	KindProxySet
	// KindProxyShow reads one of the proxy's own settings.
	KindProxyShow
	// KindSessionSet sets a setting for the whole session.
	KindSessionSet
	// KindReset resets a setting, or all.
	KindReset
	// KindDiscard forgets the session's state.
	KindDiscard
	// KindDeallocate forgets a statement prepared by the protocol.
	KindDeallocate
	// KindUnsupported needs a connection of its own.
	KindUnsupported
)

// ProxyPrefix begins the names of the proxy's own settings.
const ProxyPrefix = "rosemary."

// Kind classifies the statement by its leading keywords.
func (s Statement) Kind() Kind {
	switch s.Word(0) {
	case "begin", "start":
		return KindBegin
	case "commit", "end", "rollback", "abort":
		if s.Word(1) == "prepared" || s.Word(1) == "to" || s.Word(2) == "to" {
			return KindPlain
		}
		return KindEnd
	case "set":
		return s.setKind()
	case "show":
		if strings.HasPrefix(s.Word(1), ProxyPrefix) {
			return KindProxyShow
		}
	case "reset":
		return KindReset
	case "discard":
		return KindDiscard
	case "deallocate":
		return KindDeallocate
	case "listen", "unlisten", "copy", "prepare", "load", "declare":
		return KindUnsupported
	case "create":
		if s.Word(1) == "temp" || s.Word(1) == "temporary" {
			return KindUnsupported
		}
	}
	return KindPlain
}

func (s Statement) setKind() Kind {
	switch name := s.Word(1); {
	case name == "local" || name == "transaction" || name == "constraints":
		return KindPlain
	case strings.HasPrefix(s.Setting(), ProxyPrefix):
		return KindProxySet
	}
	return KindSessionSet
}

// Setting returns the name that a SET, SHOW or RESET is about.
func (s Statement) Setting() string {
	if s.Word(1) == "session" || s.Word(1) == "local" {
		return s.Word(2)
	}
	if s.Word(1) == "time" && s.Word(2) == "zone" {
		return "timezone"
	}
	return s.Word(1)
}
