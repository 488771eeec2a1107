package rosedaemon

import "github.com/gravitational/trace"

func unknownDatabase(name string) error {
	return trace.NotFound("no database %q in the bundle in force; see rosemary status", name)
}
