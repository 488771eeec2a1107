package rosebundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// pageThreshold is the number of sections above which their list is split into
// pages, so that a change transfers one page and not the whole list. A bundle
// has a section per database, and those for classes, tenants and operators.
const pageThreshold = 64

// pageCount is the number of pages of a split list.
const pageCount = 64

// Names of the sections. That of a database is the prefix and its name.
const (
	sectionClasses   = "classes"
	sectionTenants   = "tenants"
	sectionOperators = "operators"
	databasePrefix   = "database/"
)

// Manifest is a signed version of the bundle. It is small, as the root of a hash
// tree: it refers by digest to pages, and these refer to sections.
type Manifest struct {
	Version uint64
	// Parent is the digest of the preceding manifest.
	Parent string
	// Operators is the digest of the section that lists the operators.
	Operators string
	// Pages are the digests of the pages, which list the sections.
	Pages      []string
	Signatures []Signature `json:",omitempty"`
}

// Signature is one operator's approval of a manifest.
type Signature struct {
	Operator string
	// Value is an Ed25519 signature in base64.
	Value string
}

// entry is a section listed in a page.
type entry struct {
	Name   string
	Digest string
}

// Parts maps digests to pages, sections and manifests.
type Parts map[string]string

// Digest returns the SHA-256 digest of a text in hexadecimal, by which parts
// are addressed.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// signedBody returns the text that is signed and hashed.
func (m Manifest) signedBody() string {
	m.Signatures = nil
	text, _ := json.Marshal(m)
	return string(text)
}

// Digest returns the digest of the manifest without its signatures.
func (m Manifest) Digest() string { return Digest(m.signedBody()) }

// Encode returns the manifest as text, signatures included.
func (m Manifest) Encode() string {
	text, _ := json.Marshal(m)
	return string(text)
}

// DecodeManifest reads the format that Encode writes. The error is a
// trace.BadParameter.
func DecodeManifest(text string) (Manifest, error) {
	var m Manifest
	if err := json.Unmarshal([]byte(text), &m); err != nil {
		return Manifest{}, trace.BadParameter("not a bundle manifest: %v", err)
	}
	return m, nil
}

// WithSignature returns a copy signed by an operator, replacing an earlier
// signature of that operator.
func (m Manifest) WithSignature(operator string, key ed25519.PrivateKey) Manifest {
	value := base64.StdEncoding.EncodeToString(ed25519.Sign(key, []byte(m.signedBody())))
	kept := slices.DeleteFunc(slices.Clone(m.Signatures), func(s Signature) bool { return s.Operator == operator })
	m.Signatures = append(kept, Signature{operator, value})
	return m
}

// validSigners returns the operators of list with a valid signature.
func (m Manifest) validSigners(list []Operator) []string {
	var names []string
	for _, s := range m.Signatures {
		value, err := base64.StdEncoding.DecodeString(s.Value)
		index := slices.IndexFunc(list, func(o Operator) bool { return o.Name == s.Operator })
		if err != nil || index < 0 || slices.Contains(names, s.Operator) {
			continue
		}
		key, err := list[index].Key()
		if err == nil && ed25519.Verify(key, []byte(m.signedBody()), value) {
			names = append(names, s.Operator)
		}
	}
	return names
}

// VerifySignatures returns a trace.AccessDenied unless the manifest has the
// number of valid signatures that operators requires.
func (m Manifest) VerifySignatures(operators OperatorList) error {
	signers := m.validSigners(operators.Operators)
	if len(signers) < max(operators.Signatures, 1) {
		return trace.AccessDenied("bundle %d has valid signatures of operators %v but needs %d signatures: have more operators run rosemary bundle sign",
			m.Version, signers, max(operators.Signatures, 1))
	}
	return nil
}

// OperatorList is the section that lists the operators.
type OperatorList struct {
	Operators []Operator
	// Signatures is the number of operators that must sign a change.
	Signatures int
}

// Build splits content into parts and returns the unsigned manifest that
// follows parent; a zero parent makes the first version.
func Build(content *Content, parent Manifest) (Manifest, Parts) {
	sections := make(map[string]string)
	addSection := func(name string, value any) {
		text, _ := json.Marshal(value)
		sections[name] = string(text)
	}
	addSection(sectionClasses, content.Classes)
	addSection(sectionTenants, content.Tenants)
	addSection(sectionOperators, OperatorList{content.Operators, content.Signatures})
	for _, d := range content.Databases {
		addSection(databasePrefix+d.Name, d)
	}
	parts := make(Parts)
	pages := make([][]entry, 1)
	if len(sections) > pageThreshold {
		pages = make([][]entry, pageCount)
	}
	for name, text := range sections {
		digest := Digest(text)
		parts[digest] = text
		pageIndex := pageOf(name, len(pages))
		pages[pageIndex] = append(pages[pageIndex], entry{name, digest})
	}
	m := Manifest{Version: parent.Version + 1, Operators: Digest(sections[sectionOperators])}
	if parent.Version > 0 {
		m.Parent = parent.Digest()
	}
	for _, page := range pages {
		slices.SortFunc(page, func(a, b entry) int { return strings.Compare(a.Name, b.Name) })
		text, _ := json.Marshal(page)
		digest := Digest(string(text))
		parts[digest] = string(text)
		m.Pages = append(m.Pages, digest)
	}
	return m, parts
}

func pageOf(name string, pages int) int {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return int(hash.Sum32() % uint32(pages))
}

// MissingParts returns the digests of the parts that are not in parts yet:
// first pages, then, once all pages are present, sections.
func (m Manifest) MissingParts(parts Parts) ([]string, error) {
	var missing []string
	for _, digest := range append([]string{m.Operators}, m.Pages...) {
		if _, ok := parts[digest]; !ok {
			missing = append(missing, digest)
		}
	}
	if len(missing) > 0 {
		return missing, nil
	}
	entries, err := m.entries(parts)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		if _, ok := parts[e.Digest]; !ok {
			missing = append(missing, e.Digest)
		}
	}
	return missing, nil
}

func (m Manifest) entries(parts Parts) ([]entry, error) {
	var entries []entry
	for _, digest := range m.Pages {
		var page []entry
		if err := json.Unmarshal([]byte(parts[digest]), &page); err != nil {
			return nil, trace.BadParameter("page %s of bundle %d is not valid JSON", shortDigest(digest), m.Version)
		}
		entries = append(entries, page...)
	}
	return entries, nil
}

// OperatorList returns the operators that the manifest lists.
func (m Manifest) OperatorList(parts Parts) (OperatorList, error) {
	var list OperatorList
	if err := json.Unmarshal([]byte(parts[m.Operators]), &list); err != nil {
		return list, trace.BadParameter("the operator list of bundle %d is not valid JSON", m.Version)
	}
	return list, nil
}

// Content assembles the content from parts. The error is a trace.BadParameter
// or a *ValidationError.
func (m Manifest) Content(parts Parts) (*Content, error) {
	entries, err := m.entries(parts)
	if err != nil {
		return nil, err
	}
	content := &Content{}
	for _, e := range entries {
		if err := content.addSection(e, parts[e.Digest]); err != nil {
			return nil, trace.BadParameter("decode section %s of bundle %d: %v", e.Name, m.Version, err)
		}
	}
	slices.SortFunc(content.Databases, func(a, b Database) int { return strings.Compare(a.Name, b.Name) })
	if faults := content.Check(); len(faults) > 0 {
		return nil, &ValidationError{Faults: faults}
	}
	return content, nil
}

func (c *Content) addSection(e entry, text string) error {
	switch e.Name {
	case sectionClasses:
		return json.Unmarshal([]byte(text), &c.Classes)
	case sectionTenants:
		return json.Unmarshal([]byte(text), &c.Tenants)
	case sectionOperators:
		var list OperatorList
		err := json.Unmarshal([]byte(text), &list)
		c.Operators, c.Signatures = list.Operators, list.Signatures
		return err
	}
	var d Database
	if err := json.Unmarshal([]byte(text), &d); err != nil {
		return err
	}
	c.Databases = append(c.Databases, d)
	return nil
}

// referencedParts returns the parts that the manifest refers to.
func (m Manifest) referencedParts(parts Parts) Parts {
	referenced := Parts{m.Operators: parts[m.Operators]}
	for _, digest := range m.Pages {
		referenced[digest] = parts[digest]
	}
	entries, _ := m.entries(parts)
	for _, e := range entries {
		referenced[e.Digest] = parts[e.Digest]
	}
	return referenced
}

func shortDigest(digest string) string {
	return digest[:min(len(digest), 12)]
}

// String formats the version and the abbreviated digest.
func (m Manifest) String() string {
	return strconv.FormatUint(m.Version, 10) + "@" + shortDigest(m.Digest())
}
