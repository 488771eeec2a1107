package rosefront

import (
	"slices"
	"strings"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// trackedSettings are the session settings that the proxy carries over between
// target connections.
var trackedSettings = map[string]bool{
	"application_name":                    true,
	"client_encoding":                     true,
	"client_min_messages":                 true,
	"datestyle":                           true,
	"extra_float_digits":                  true,
	"idle_in_transaction_session_timeout": true,
	"intervalstyle":                       true,
	"lock_timeout":                        true,
	"search_path":                         true,
	"standard_conforming_strings":         true,
	"statement_timeout":                   true,
	"timezone":                            true,
}

// settings are the session's values of tracked settings.
type settings map[string]string

// fingerprint identifies the settings, to compare them with those applied to a
// connection. It is empty without settings, as for a new connection.
func (s settings) fingerprint() string {
	if len(s) == 0 {
		return ""
	}
	return s.script()
}

// script returns the SQL that applies the settings to a connection.
func (s settings) script() string {
	names := make([]string, 0, len(s))
	for name := range s {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	b.WriteString("RESET ALL")
	for _, name := range names {
		b.WriteString("; SET " + name + " = '" + strings.ReplaceAll(s[name], "'", "''") + "'")
	}
	return b.String()
}

// set changes a setting of the proxy or a tracked setting.
func (c *client) set(name, value string) error {
	switch name {
	case settingToken:
		session, err := c.server.config.TokenKeys.Verify(value, c.tenant.Name, c.session.Database)
		if err != nil {
			return err
		}
		if session.Name == c.session.Name {
			// An older token must not lower the minimum position.
			session = session.WithMinPosition(c.session.MinPosition)
		}
		c.session = session
		return nil
	case settingSession:
		if value != c.session.Name {
			c.session = c.session.WithName(value)
		}
		return nil
	case settingClass:
		return c.setClass(value)
	case settingRequest:
		c.requestID = value
		return nil
	}
	if trackedSettings[name] {
		c.settings[name] = value
		return nil
	}
	if strings.HasPrefix(name, "rosemary.") {
		return refuse(rosemary.KindUnsupported, "the proxy has no setting "+quote(name),
			"use rosemary.token, rosemary.session, rosemary.class or rosemary.request")
	}
	return refuse(rosemary.KindUnsupported, "the session setting "+quote(name)+" can't be carried over to another connection",
		"use SET LOCAL in a transaction, or set it for the database role at the target")
}

func (c *client) setClass(name string) error {
	if name != "" && name != "default" {
		if _, found := c.server.config.ConfigProvider.Class(name); !found {
			return unknownClass(name)
		}
	}
	c.className = name
	return nil
}

func unknownClass(name string) error {
	return refuse(rosemary.KindUnknownClass, "class "+quote(name)+" is not declared", "declare it in the bundle, or use a declared class")
}

// show returns the value of a setting of the proxy.
func (c *client) show(name string) (string, error) {
	switch name {
	case settingToken:
		return c.server.config.TokenKeys.Sign(c.session), nil
	case settingSession:
		return c.session.Name, nil
	case settingClass:
		return c.className, nil
	case settingRequest:
		return c.requestID, nil
	}
	return "", refuse(rosemary.KindUnsupported, "the proxy has no setting "+quote(name),
		"use rosemary.token, rosemary.session, rosemary.class or rosemary.request")
}
