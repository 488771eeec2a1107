package rosebundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/gravitational/trace"
)

// Fault is one thing wrong with a bundle's source.
type Fault struct {
	// Key names the place, as in Databases[2].Targets[0].Zone.
	Key string
	// Problem and Remedy tell what is wrong and what to do.
	Problem string
	Remedy  string
}

// String formats the fault on one line.
func (f Fault) String() string {
	return f.Key + ": " + f.Problem + "; " + f.Remedy
}

// ValidationError is a source that was refused, with every fault found.
type ValidationError struct {
	Faults []Fault
}

// Error lists the faults, one a line.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Limits of a bundle.
const (
	maxSlots       = 10_000
	maxConnections = 100_000
	maxWeight      = 1000
	maxTargets     = 9
)

// ParseContent reads TOML text and checks it as a whole. The error is a
// *FaultsError that lists every fault.
func ParseContent(text string) (*Content, error) {
	content := &Content{}
	meta, err := toml.Decode(text, content)
	if err != nil {
		return nil, &ValidationError{Faults: []Fault{{Key: "(file)", Problem: err.Error(), Remedy: "correct the TOML"}}}
	}
	var faults []Fault
	for _, key := range meta.Undecoded() {
		faults = append(faults, Fault{key.String(), "this key is unknown", "remove it or correct its spelling"})
	}
	faults = append(faults, content.Check()...)
	if len(faults) > 0 {
		return nil, &ValidationError{Faults: faults}
	}
	return content, nil
}

// checker collects faults.
type checker struct {
	faults  []Fault
	targets map[string]bool
}

// Check returns every fault of the content.
func (c *Content) Check() []Fault {
	ch := &checker{targets: make(map[string]bool)}
	ch.names("Databases", len(c.Databases), func(i int) string { return c.Databases[i].Name })
	ch.names("Classes", len(c.Classes), func(i int) string { return c.Classes[i].Name })
	ch.names("Tenants", len(c.Tenants), func(i int) string { return c.Tenants[i].Name })
	ch.names("Operators", len(c.Operators), func(i int) string { return c.Operators[i].Name })
	for i, d := range c.Databases {
		ch.database(fmt.Sprintf("Databases[%d]", i), d)
	}
	for i, class := range c.Classes {
		ch.class(fmt.Sprintf("Classes[%d]", i), class)
	}
	for i, t := range c.Tenants {
		ch.tenant(fmt.Sprintf("Tenants[%d]", i), t, c)
	}
	for i, o := range c.Operators {
		if _, err := o.Key(); err != nil {
			ch.add(fmt.Sprintf("Operators[%d].PublicKey", i), "it is no Ed25519 public key in base64", "paste the line that rosemary bundle key prints")
		}
	}
	if len(c.Operators) > 0 && (c.Signatures < 1 || c.Signatures > len(c.Operators)) {
		ch.add("Signatures", fmt.Sprintf("%d signatures of %d operators", c.Signatures, len(c.Operators)), "set it between 1 and the number of operators")
	}
	return ch.faults
}

func (ch *checker) add(key, problem, remedy string) {
	ch.faults = append(ch.faults, Fault{key, problem, remedy})
}

// names checks that each entry has a name of its own.
func (ch *checker) names(list string, size int, name func(int) string) {
	seen := make(map[string]bool)
	for i := range size {
		key := fmt.Sprintf("%s[%d].Name", list, i)
		switch n := name(i); {
		case n == "":
			ch.add(key, "it is empty", "give it a name")
		case seen[n]:
			ch.add(key, fmt.Sprintf("%q is there twice", n), "rename or remove one")
		default:
			seen[n] = true
		}
	}
}

func (ch *checker) between(key string, value, least, most int) {
	if value < least || value > most {
		ch.add(key, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("set it between %d and %d", least, most))
	}
}

func (ch *checker) database(key string, d Database) {
	ch.between(key+".Slots", d.Slots, 1, maxSlots)
	ch.between(key+".Connections", d.Connections, 1, maxConnections)
	ch.between(key+".Targets (their number)", len(d.Targets), 1, maxTargets)
	for i, t := range d.Targets {
		place := fmt.Sprintf("%s.Targets[%d]", key, i)
		if t.ID == "" || ch.targets[t.ID] {
			ch.add(place+".ID", fmt.Sprintf("%q is empty or there twice", t.ID), "give each target an ID of its own")
		}
		ch.targets[t.ID] = true
		if !strings.Contains(t.Address, ":") {
			ch.add(place+".Address", fmt.Sprintf("%q is no host:port", t.Address), "give the IP number and port")
		}
		if t.Zone == "" {
			ch.add(place+".Zone", "it is empty", "name the availability zone")
		}
	}
}

func (ch *checker) class(key string, class Class) {
	if class.Name == "default" {
		ch.add(key+".Name", "default is the class of statements that name none", "choose another name")
	}
	if class.MaxAge < 0 || class.MaxAge > 0 && !class.ReadOnly {
		ch.add(key+".MaxAge", "only a read-only class has an age", "set ReadOnly or remove MaxAge")
	}
	if class.Deadline < 0 {
		ch.add(key+".Deadline", "it is negative", "set it to 0 for the default, or above")
	}
	ch.between(key+".Weight", class.Weight, 0, maxWeight)
}

func (ch *checker) tenant(key string, t Tenant, c *Content) {
	ch.between(key+".Weight", t.Weight, 0, maxWeight)
	if t.Trust == (t.Verifier != "") {
		ch.add(key+".Verifier", "a tenant has either a verifier or Trust", "make one with rosemary verifier, or set Trust = true")
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
		return nil, trace.BadParameter("operator %s: not an Ed25519 public key", o.Name)
	}
	return ed25519.PublicKey(raw), nil
}
