package rosestatement

import "strings"

// Kind determines how the proxy handles a statement.
type Kind int

// Kinds of statements.
const (
	// KindPlain is forwarded unchanged.
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
	// KindReset resets one setting or all settings.
	KindReset
	// KindDiscard discards the session's state.
	KindDiscard
	// KindDeallocate drops a statement prepared through the protocol; the SQL
	// statement PREPARE is unsupported.
	KindDeallocate
	// KindUnsupported needs a dedicated connection to the target.
	KindUnsupported
)

// ProxyPrefix is the prefix of the proxy's own settings.
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
		return s.classifySet()
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

func (s Statement) classifySet() Kind {
	switch name := s.Word(1); {
	case name == "local" || name == "transaction" || name == "constraints":
		return KindPlain
	case strings.HasPrefix(s.Setting(), ProxyPrefix):
		return KindProxySet
	}
	return KindSessionSet
}

// Setting returns the name of the setting in a SET, SHOW or RESET.
func (s Statement) Setting() string {
	if s.Word(1) == "session" || s.Word(1) == "local" {
		return s.Word(2)
	}
	if s.Word(1) == "time" && s.Word(2) == "zone" {
		return "timezone"
	}
	return s.Word(1)
}
