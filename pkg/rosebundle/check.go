package rosebundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/gravitational/trace"
)

// Fault is one problem in a bundle's content.
type Fault struct {
	// Key is the path of the value, such as Databases[2].Targets[0].Zone.
	Key string
	// Problem says what is wrong, and Remedy how to correct it.
	Problem string
	Remedy  string
}

// String formats the fault on one line.
func (f Fault) String() string {
	return f.Key + ": " + f.Problem + "; " + f.Remedy
}

// ValidationError reports invalid content with every fault found.
type ValidationError struct {
	Faults []Fault
}

// Error lists the faults, one per line.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Maximum values in a bundle; maxTargets is per database.
const (
	maxSlots       = 10_000
	maxConnections = 100_000
	maxWeight      = 1000
	maxTargets     = 9
)

// ParseContent decodes and validates TOML text. The error is a *ValidationError
// that lists every fault.
func ParseContent(text string) (*Content, error) {
	content := &Content{}
	meta, err := toml.Decode(text, content)
	if err != nil {
		return nil, &ValidationError{Faults: []Fault{{Key: "(file)", Problem: err.Error(), Remedy: "correct the TOML"}}}
	}
	var faults []Fault
	for _, key := range meta.Undecoded() {
		faults = append(faults, Fault{key.String(), "unknown key", "remove it or correct its spelling"})
	}
	faults = append(faults, content.Check()...)
	if len(faults) > 0 {
		return nil, &ValidationError{Faults: faults}
	}
	return content, nil
}

// checker collects faults.
type checker struct {
	faults      []Fault
	seenTargets map[string]bool
}

// Check returns every fault of the content.
func (c *Content) Check() []Fault {
	ch := &checker{seenTargets: make(map[string]bool)}
	ch.checkNames("Databases", len(c.Databases), func(i int) string { return c.Databases[i].Name })
	ch.checkNames("Classes", len(c.Classes), func(i int) string { return c.Classes[i].Name })
	ch.checkNames("Tenants", len(c.Tenants), func(i int) string { return c.Tenants[i].Name })
	ch.checkNames("Operators", len(c.Operators), func(i int) string { return c.Operators[i].Name })
	for i, d := range c.Databases {
		ch.checkDatabase(fmt.Sprintf("Databases[%d]", i), d)
	}
	for i, class := range c.Classes {
		ch.checkClass(fmt.Sprintf("Classes[%d]", i), class)
	}
	for i, t := range c.Tenants {
		ch.checkTenant(fmt.Sprintf("Tenants[%d]", i), t, c)
	}
	for i, o := range c.Operators {
		if _, err := o.Key(); err != nil {
			ch.add(fmt.Sprintf("Operators[%d].PublicKey", i), "not an Ed25519 public key in base64", "paste the line printed by rosemary bundle key")
		}
	}
	if len(c.Operators) > 0 && (c.Signatures < 1 || c.Signatures > len(c.Operators)) {
		ch.add("Signatures", fmt.Sprintf("the bundle requires %d signatures and has %d operators", c.Signatures, len(c.Operators)), "use a value between 1 and the number of operators")
	}
	return ch.faults
}

func (ch *checker) add(key, problem, remedy string) {
	ch.faults = append(ch.faults, Fault{key, problem, remedy})
}

// checkNames checks that the entries of a list have unique, non-empty names.
func (ch *checker) checkNames(list string, size int, name func(int) string) {
	seen := make(map[string]bool)
	for i := range size {
		key := fmt.Sprintf("%s[%d].Name", list, i)
		switch n := name(i); {
		case n == "":
			ch.add(key, "must not be empty", "set a name")
		case seen[n]:
			ch.add(key, fmt.Sprintf("duplicate name %q", n), "rename or remove one")
		default:
			seen[n] = true
		}
	}
}

func (ch *checker) checkRange(key string, value, minimum, maximum int) {
	if value < minimum || value > maximum {
		ch.add(key, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("use a value between %d and %d", minimum, maximum))
	}
}

func (ch *checker) checkDatabase(key string, d Database) {
	ch.checkRange(key+".Slots", d.Slots, 1, maxSlots)
	ch.checkRange(key+".Connections", d.Connections, 1, maxConnections)
	ch.checkRange(key+".Targets (count)", len(d.Targets), 1, maxTargets)
	for i, t := range d.Targets {
		path := fmt.Sprintf("%s.Targets[%d]", key, i)
		if t.ID == "" || ch.seenTargets[t.ID] {
			ch.add(path+".ID", fmt.Sprintf("%q is empty or a duplicate", t.ID), "give each target a unique ID")
		}
		ch.seenTargets[t.ID] = true
		if !strings.Contains(t.Address, ":") {
			ch.add(path+".Address", fmt.Sprintf("%q has no port", t.Address), "use an IP address and a port, such as 10.0.0.1:5432")
		}
		if t.Zone == "" {
			ch.add(path+".Zone", "must not be empty", "set the availability zone")
		}
	}
}

func (ch *checker) checkClass(key string, class Class) {
	if class.Name == "default" {
		ch.add(key+".Name", "default is reserved for statements without a class", "choose another name")
	}
	if class.MaxAge < 0 || class.MaxAge > 0 && !class.ReadOnly {
		ch.add(key+".MaxAge", "only a read-only class can have a maximum age", "set ReadOnly or remove MaxAge")
	}
	if class.Deadline < 0 {
		ch.add(key+".Deadline", "must not be negative", "use 0 for the default, or a positive duration")
	}
	ch.checkRange(key+".Weight", class.Weight, 0, maxWeight)
}

func (ch *checker) checkTenant(key string, t Tenant, c *Content) {
	ch.checkRange(key+".Weight", t.Weight, 0, maxWeight)
	if t.Trust == (t.Verifier != "") {
		ch.add(key+".Verifier", "a tenant needs either a verifier or Trust = true", "create a verifier with rosemary verifier, or set Trust = true")
	}
	for _, name := range t.Databases {
		known := name == "*"
		for _, d := range c.Databases {
			known = known || d.Name == name
		}
		if !known {
			ch.add(key+".Databases", fmt.Sprintf("database %q is not declared", name), "declare it or correct the name")
		}
	}
}

// Key decodes the operator's public key. The error is a trace.BadParameter.
func (o Operator) Key() (ed25519.PublicKey, error) {
	raw, err := base64.StdEncoding.DecodeString(o.PublicKey)
	if err != nil || len(raw) != ed25519.PublicKeySize {
		return nil, trace.BadParameter("public key of operator %s is not an Ed25519 key in base64", o.Name)
	}
	return ed25519.PublicKey(raw), nil
}
