package rosetarget

import (
	"slices"
	"strconv"
	"strings"
)

// expression is a literal, a parameter or a column, with an optional addend.
type expression struct {
	literal value
	param   int
	column  string
	addend  *expression
	negate  bool
}

type condition struct {
	column   string
	operator string
	operand  expression
}

type assignment struct {
	column string
	value  expression
}

// statement is one parsed statement.
type statement struct {
	verb       string
	table      string
	columns    []string
	defined    []column
	rows       [][]expression
	sets       []assignment
	where      []condition
	orderBy    string
	descending bool
	limit      *expression
	count      bool
	ignoreDup  bool
	forUpdate  bool
	function   string
	args       []expression
	name       string
	setting    string
}

type parser struct {
	tokens []token
	next   int
}

// parse reads a sequence of statements separated by semicolons.
func parse(query string) ([]*statement, error) {
	tokens, err := lex(query)
	if err != nil {
		return nil, err
	}
	p := &parser{tokens: tokens}
	var statements []*statement
	for {
		for p.symbol(";") {
			continue
		}
		if p.peek().kind == tokenEnd {
			return statements, nil
		}
		s, err := p.statement()
		if err != nil {
			return nil, err
		}
		statements = append(statements, s)
		if p.peek().kind != tokenEnd && !p.symbol(";") {
			return nil, syntaxError("syntax error at or near %q", p.peek().text)
		}
	}
}

func (p *parser) peek() token {
	if p.next >= len(p.tokens) {
		return token{}
	}
	return p.tokens[p.next]
}

func (p *parser) take() token {
	t := p.peek()
	p.next++
	return t
}

func (p *parser) symbol(text string) bool {
	if t := p.peek(); t.kind == tokenSymbol && t.text == text {
		p.next++
		return true
	}
	return false
}

func (p *parser) word(words ...string) bool {
	for i, w := range words {
		if p.next+i >= len(p.tokens) || p.tokens[p.next+i] != (token{tokenWord, w}) {
			return false
		}
	}
	p.next += len(words)
	return true
}

func (p *parser) name() (string, error) {
	t := p.take()
	if t.kind != tokenWord {
		return "", syntaxError("syntax error at or near %q", t.text)
	}
	return strings.TrimPrefix(t.text, "public."), nil
}

func (p *parser) statement() (*statement, error) {
	verb, err := p.name()
	if err != nil {
		return nil, err
	}
	switch verb {
	case "begin", "start":
		p.skip()
		return &statement{verb: "begin"}, nil
	case "commit", "end":
		p.skip()
		return &statement{verb: "commit"}, nil
	case "rollback", "abort":
		p.skip()
		return &statement{verb: "rollback"}, nil
	case "create":
		return p.create()
	case "insert":
		return p.insert()
	case "update":
		return p.update()
	case "delete":
		return p.remove()
	case "select":
		return p.selection()
	case "set", "show", "reset", "discard", "deallocate":
		return p.settings(verb)
	}
	return nil, syntaxError("syntax error at or near %q", verb)
}

// skip passes over the rest of a statement.
func (p *parser) skip() {
	for t := p.peek(); t.kind != tokenEnd && t != (token{tokenSymbol, ";"}); t = p.peek() {
		p.next++
	}
}

func (p *parser) settings(verb string) (*statement, error) {
	s := &statement{verb: verb}
	if p.word("session") || p.word("local") {
		s.verb = verb
	}
	s.name = p.take().text
	if p.symbol("=") || p.word("to") {
		s.setting = p.take().text
	}
	p.skip()
	return s, nil
}

func (p *parser) create() (*statement, error) {
	if !p.word("table") {
		return nil, unsupported("only CREATE TABLE is known")
	}
	s := &statement{verb: "create", ignoreDup: p.word("if", "not", "exists")}
	var err error
	if s.table, err = p.name(); err != nil {
		return nil, err
	}
	if !p.symbol("(") {
		return nil, syntaxError("expected (")
	}
	for {
		c := column{}
		if c.Name, err = p.name(); err != nil {
			return nil, err
		}
		kind, err := p.name()
		if err != nil {
			return nil, err
		}
		c.Integer = slices.Contains([]string{"bigint", "int", "integer", "int8"}, kind)
		c.PrimaryKey = p.word("primary", "key")
		if p.word("not", "null") {
			c.PrimaryKey = c.PrimaryKey || p.word("primary", "key")
		}
		s.defined = append(s.defined, c)
		if p.symbol(")") {
			return s, nil
		}
		if !p.symbol(",") {
			return nil, syntaxError("expected , or )")
		}
	}
}

func (p *parser) insert() (*statement, error) {
	s := &statement{verb: "insert"}
	if !p.word("into") {
		return nil, syntaxError("expected INTO")
	}
	var err error
	if s.table, err = p.name(); err != nil {
		return nil, err
	}
	if p.symbol("(") {
		for !p.symbol(")") {
			c, err := p.name()
			if err != nil {
				return nil, err
			}
			s.columns = append(s.columns, c)
			p.symbol(",")
		}
	}
	if !p.word("values") {
		return nil, syntaxError("expected VALUES")
	}
	for p.symbol("(") {
		row, err := p.list()
		if err != nil {
			return nil, err
		}
		s.rows = append(s.rows, row)
		p.symbol(",")
	}
	s.ignoreDup = p.word("on", "conflict", "do", "nothing")
	return s, nil
}

// list reads expressions up to a closing parenthesis.
func (p *parser) list() ([]expression, error) {
	var list []expression
	for !p.symbol(")") {
		e, err := p.expression()
		if err != nil {
			return nil, err
		}
		list = append(list, e)
		p.symbol(",")
	}
	return list, nil
}

func (p *parser) update() (*statement, error) {
	s := &statement{verb: "update"}
	var err error
	if s.table, err = p.name(); err != nil {
		return nil, err
	}
	if !p.word("set") {
		return nil, syntaxError("expected SET")
	}
	for {
		c, err := p.name()
		if err != nil {
			return nil, err
		}
		if !p.symbol("=") {
			return nil, syntaxError("expected =")
		}
		e, err := p.expression()
		if err != nil {
			return nil, err
		}
		s.sets = append(s.sets, assignment{c, e})
		if !p.symbol(",") {
			return s, p.conditions(s)
		}
	}
}

func (p *parser) remove() (*statement, error) {
	s := &statement{verb: "delete"}
	if !p.word("from") {
		return nil, syntaxError("expected FROM")
	}
	var err error
	if s.table, err = p.name(); err != nil {
		return nil, err
	}
	return s, p.conditions(s)
}

func (p *parser) selection() (*statement, error) {
	s := &statement{verb: "select"}
	switch {
	case p.symbol("*"):
	case p.word("count"):
		s.count = true
		if !p.symbol("(") || !p.symbol("*") || !p.symbol(")") {
			return nil, syntaxError("only count(*) is known")
		}
	case p.peek().kind == tokenNumber || p.peek().kind == tokenText || p.peek().kind == tokenParam:
		e, err := p.expression()
		if err != nil {
			return nil, err
		}
		s.rows = [][]expression{{e}}
		return s, nil
	default:
		if done, err := p.items(s); done || err != nil {
			return s, err
		}
	}
	if !p.word("from") {
		return nil, syntaxError("expected FROM")
	}
	var err error
	if s.table, err = p.name(); err != nil {
		return nil, err
	}
	if p.symbol("(") {
		s.function = s.table
		s.args, err = p.list()
		return s, err
	}
	if err := p.conditions(s); err != nil {
		return nil, err
	}
	return s, p.tail(s)
}

// items reads column names. It reports true for a function call, which ends
// the statement.
func (p *parser) items(s *statement) (bool, error) {
	for {
		item, err := p.name()
		if err != nil {
			return false, err
		}
		if p.symbol("(") {
			s.function = item
			s.args, err = p.list()
			return true, err
		}
		s.columns = append(s.columns, item)
		if !p.symbol(",") {
			return false, nil
		}
	}
}

func (p *parser) tail(s *statement) error {
	if p.word("order", "by") {
		name, err := p.name()
		if err != nil {
			return err
		}
		s.orderBy = name
		s.descending = p.word("desc")
		p.word("asc")
	}
	if p.word("limit") {
		e, err := p.expression()
		if err != nil {
			return err
		}
		s.limit = &e
	}
	s.forUpdate = p.word("for", "update")
	return nil
}

func (p *parser) conditions(s *statement) error {
	if !p.word("where") {
		return nil
	}
	for {
		c := condition{}
		var err error
		if c.column, err = p.name(); err != nil {
			return err
		}
		if p.word("between") {
			low, err := p.expression()
			if err != nil {
				return err
			}
			if !p.word("and") {
				return syntaxError("expected AND")
			}
			s.where = append(s.where, condition{c.column, ">=", low})
			c.operator = "<="
		} else {
			c.operator = p.take().text
		}
		if c.operand, err = p.expression(); err != nil {
			return err
		}
		s.where = append(s.where, c)
		if !p.word("and") {
			return nil
		}
	}
}

func (p *parser) expression() (expression, error) {
	e := expression{}
	negative := p.symbol("-")
	switch t := p.take(); t.kind {
	case tokenNumber, tokenText:
		e.literal = value{Text: t.text}
		if negative {
			e.literal.Text = "-" + t.text
		}
	case tokenParam:
		number, err := strconv.Atoi(t.text)
		if err != nil || number < 1 || number > maxParams {
			return e, syntaxError("bad parameter $%s", t.text)
		}
		e.param = number
	case tokenWord:
		if t.text == "null" {
			e.literal = value{Null: true}
		} else {
			e.column = t.text
		}
	default:
		return e, syntaxError("syntax error at or near %q", t.text)
	}
	if p.symbol("::") {
		if _, err := p.name(); err != nil {
			return e, err
		}
	}
	if p.symbol("+") || p.symbol("-") {
		e.negate = p.tokens[p.next-1].text == "-"
		addend, err := p.expression()
		if err != nil {
			return e, err
		}
		e.addend = &addend
	}
	return e, nil
}

// maxParams is the highest parameter number of a statement.
const maxParams = 1000
