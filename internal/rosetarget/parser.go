package rosetarget

import (
	"slices"
	"strconv"
	"strings"
)

// expression is a literal, a parameter or a column, with an optional addend that
// is added or, if subtract is set, subtracted. Parameters are numbered from 1.
type expression struct {
	literal  value
	param    int
	column   string
	addend   *expression
	subtract bool
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

// statement is a parsed SQL statement; its command determines which fields are
// set. rows holds the VALUES of an INSERT, or the single expression of a SELECT
// without FROM.
type statement struct {
	command           string
	table             string
	columns           []string
	columnDefinitions []column
	rows              [][]expression
	assignments       []assignment
	where             []condition
	orderBy           string
	descending        bool
	limit             *expression
	count             bool
	ignoreExisting    bool
	forUpdate         bool
	function          string
	args              []expression
	settingName       string
	settingValue      string
}

type parser struct {
	tokens []token
	offset int
}

// parse parses a sequence of statements separated by semicolons.
func parse(query string) ([]*statement, error) {
	tokens, err := lex(query)
	if err != nil {
		return nil, err
	}
	p := &parser{tokens: tokens}
	var statements []*statement
	for {
		for p.acceptSymbol(";") {
			continue
		}
		if p.peek().kind == tokenEnd {
			return statements, nil
		}
		s, err := p.parseStatement()
		if err != nil {
			return nil, err
		}
		statements = append(statements, s)
		if p.peek().kind != tokenEnd && !p.acceptSymbol(";") {
			return nil, syntaxError("syntax error at or near %q", p.peek().text)
		}
	}
}

func (p *parser) peek() token {
	if p.offset >= len(p.tokens) {
		return token{}
	}
	return p.tokens[p.offset]
}

func (p *parser) nextToken() token {
	t := p.peek()
	p.offset++
	return t
}

func (p *parser) acceptSymbol(text string) bool {
	if t := p.peek(); t.kind == tokenSymbol && t.text == text {
		p.offset++
		return true
	}
	return false
}

func (p *parser) acceptWords(words ...string) bool {
	for i, w := range words {
		if p.offset+i >= len(p.tokens) || p.tokens[p.offset+i] != (token{tokenWord, w}) {
			return false
		}
	}
	p.offset += len(words)
	return true
}

func (p *parser) parseName() (string, error) {
	t := p.nextToken()
	if t.kind != tokenWord {
		return "", syntaxError("syntax error at or near %q", t.text)
	}
	return strings.TrimPrefix(t.text, "public."), nil
}

func (p *parser) parseStatement() (*statement, error) {
	command, err := p.parseName()
	if err != nil {
		return nil, err
	}
	switch command {
	case "begin", "start":
		p.skipStatement()
		return &statement{command: "begin"}, nil
	case "commit", "end":
		p.skipStatement()
		return &statement{command: "commit"}, nil
	case "rollback", "abort":
		p.skipStatement()
		return &statement{command: "rollback"}, nil
	case "create":
		return p.parseCreateTable()
	case "insert":
		return p.parseInsert()
	case "update":
		return p.parseUpdate()
	case "delete":
		return p.parseDelete()
	case "select":
		return p.parseSelect()
	case "set", "show", "reset", "discard", "deallocate":
		return p.parseSetting(command)
	}
	return nil, syntaxError("syntax error at or near %q", command)
}

// skipStatement skips the rest of the current statement.
func (p *parser) skipStatement() {
	for t := p.peek(); t.kind != tokenEnd && t != (token{tokenSymbol, ";"}); t = p.peek() {
		p.offset++
	}
}

func (p *parser) parseSetting(command string) (*statement, error) {
	s := &statement{command: command}
	if p.acceptWords("session") || p.acceptWords("local") {
		s.command = command // no effect: SESSION and LOCAL are skipped
	}
	s.settingName = p.nextToken().text
	if p.acceptSymbol("=") || p.acceptWords("to") {
		s.settingValue = p.nextToken().text
	}
	p.skipStatement()
	return s, nil
}

func (p *parser) parseCreateTable() (*statement, error) {
	if !p.acceptWords("table") {
		return nil, unsupportedError("only CREATE TABLE is supported")
	}
	s := &statement{command: "create", ignoreExisting: p.acceptWords("if", "not", "exists")}
	var err error
	if s.table, err = p.parseName(); err != nil {
		return nil, err
	}
	if !p.acceptSymbol("(") {
		return nil, syntaxError("expected (")
	}
	for {
		c := column{}
		if c.Name, err = p.parseName(); err != nil {
			return nil, err
		}
		typeName, err := p.parseName()
		if err != nil {
			return nil, err
		}
		c.Integer = slices.Contains([]string{"bigint", "int", "integer", "int8"}, typeName)
		c.PrimaryKey = p.acceptWords("primary", "key")
		if p.acceptWords("not", "null") {
			c.PrimaryKey = c.PrimaryKey || p.acceptWords("primary", "key")
		}
		s.columnDefinitions = append(s.columnDefinitions, c)
		if p.acceptSymbol(")") {
			return s, nil
		}
		if !p.acceptSymbol(",") {
			return nil, syntaxError("expected , or )")
		}
	}
}

func (p *parser) parseInsert() (*statement, error) {
	s := &statement{command: "insert"}
	if !p.acceptWords("into") {
		return nil, syntaxError("expected INTO")
	}
	var err error
	if s.table, err = p.parseName(); err != nil {
		return nil, err
	}
	if p.acceptSymbol("(") {
		for !p.acceptSymbol(")") {
			c, err := p.parseName()
			if err != nil {
				return nil, err
			}
			s.columns = append(s.columns, c)
			p.acceptSymbol(",")
		}
	}
	if !p.acceptWords("values") {
		return nil, syntaxError("expected VALUES")
	}
	for p.acceptSymbol("(") {
		row, err := p.parseExpressions()
		if err != nil {
			return nil, err
		}
		s.rows = append(s.rows, row)
		p.acceptSymbol(",")
	}
	s.ignoreExisting = p.acceptWords("on", "conflict", "do", "nothing")
	return s, nil
}

// parseExpressions parses expressions up to a closing parenthesis.
func (p *parser) parseExpressions() ([]expression, error) {
	var expressions []expression
	for !p.acceptSymbol(")") {
		e, err := p.parseExpression()
		if err != nil {
			return nil, err
		}
		expressions = append(expressions, e)
		p.acceptSymbol(",")
	}
	return expressions, nil
}

func (p *parser) parseUpdate() (*statement, error) {
	s := &statement{command: "update"}
	var err error
	if s.table, err = p.parseName(); err != nil {
		return nil, err
	}
	if !p.acceptWords("set") {
		return nil, syntaxError("expected SET")
	}
	for {
		c, err := p.parseName()
		if err != nil {
			return nil, err
		}
		if !p.acceptSymbol("=") {
			return nil, syntaxError("expected =")
		}
		e, err := p.parseExpression()
		if err != nil {
			return nil, err
		}
		s.assignments = append(s.assignments, assignment{c, e})
		if !p.acceptSymbol(",") {
			return s, p.parseWhere(s)
		}
	}
}

func (p *parser) parseDelete() (*statement, error) {
	s := &statement{command: "delete"}
	if !p.acceptWords("from") {
		return nil, syntaxError("expected FROM")
	}
	var err error
	if s.table, err = p.parseName(); err != nil {
		return nil, err
	}
	return s, p.parseWhere(s)
}

func (p *parser) parseSelect() (*statement, error) {
	s := &statement{command: "select"}
	switch {
	case p.acceptSymbol("*"):
	case p.acceptWords("count"):
		s.count = true
		if !p.acceptSymbol("(") || !p.acceptSymbol("*") || !p.acceptSymbol(")") {
			return nil, syntaxError("only count(*) is supported")
		}
	case p.peek().kind == tokenNumber || p.peek().kind == tokenString || p.peek().kind == tokenParam:
		e, err := p.parseExpression()
		if err != nil {
			return nil, err
		}
		s.rows = [][]expression{{e}}
		return s, nil
	default:
		if done, err := p.parseSelectList(s); done || err != nil {
			return s, err
		}
	}
	if !p.acceptWords("from") {
		return nil, syntaxError("expected FROM")
	}
	var err error
	if s.table, err = p.parseName(); err != nil {
		return nil, err
	}
	if p.acceptSymbol("(") {
		s.function = s.table
		s.args, err = p.parseExpressions()
		return s, err
	}
	if err := p.parseWhere(s); err != nil {
		return nil, err
	}
	return s, p.parseSelectTail(s)
}

// parseSelectList parses the column names of a SELECT. It reports true for a
// function call, which ends the statement.
func (p *parser) parseSelectList(s *statement) (bool, error) {
	for {
		name, err := p.parseName()
		if err != nil {
			return false, err
		}
		if p.acceptSymbol("(") {
			s.function = name
			s.args, err = p.parseExpressions()
			return true, err
		}
		s.columns = append(s.columns, name)
		if !p.acceptSymbol(",") {
			return false, nil
		}
	}
}

func (p *parser) parseSelectTail(s *statement) error {
	if p.acceptWords("order", "by") {
		name, err := p.parseName()
		if err != nil {
			return err
		}
		s.orderBy = name
		s.descending = p.acceptWords("desc")
		p.acceptWords("asc")
	}
	if p.acceptWords("limit") {
		e, err := p.parseExpression()
		if err != nil {
			return err
		}
		s.limit = &e
	}
	s.forUpdate = p.acceptWords("for", "update")
	return nil
}

func (p *parser) parseWhere(s *statement) error {
	if !p.acceptWords("where") {
		return nil
	}
	for {
		c := condition{}
		var err error
		if c.column, err = p.parseName(); err != nil {
			return err
		}
		if p.acceptWords("between") {
			low, err := p.parseExpression()
			if err != nil {
				return err
			}
			if !p.acceptWords("and") {
				return syntaxError("expected AND")
			}
			s.where = append(s.where, condition{c.column, ">=", low})
			c.operator = "<="
		} else {
			c.operator = p.nextToken().text
		}
		if c.operand, err = p.parseExpression(); err != nil {
			return err
		}
		s.where = append(s.where, c)
		if !p.acceptWords("and") {
			return nil
		}
	}
}

func (p *parser) parseExpression() (expression, error) {
	e := expression{}
	negative := p.acceptSymbol("-")
	switch t := p.nextToken(); t.kind {
	case tokenNumber, tokenString:
		e.literal = value{Text: t.text}
		if negative {
			e.literal.Text = "-" + t.text
		}
	case tokenParam:
		index, err := strconv.Atoi(t.text)
		if err != nil || index < 1 || index > maxParams {
			return e, syntaxError("invalid parameter number $%s", t.text)
		}
		e.param = index
	case tokenWord:
		if t.text == "null" {
			e.literal = value{Null: true}
		} else {
			e.column = t.text
		}
	default:
		return e, syntaxError("syntax error at or near %q", t.text)
	}
	if p.acceptSymbol("::") {
		if _, err := p.parseName(); err != nil {
			return e, err
		}
	}
	if p.acceptSymbol("+") || p.acceptSymbol("-") {
		e.subtract = p.tokens[p.offset-1].text == "-"
		addend, err := p.parseExpression()
		if err != nil {
			return e, err
		}
		e.addend = &addend
	}
	return e, nil
}

// maxParams is the highest parameter number accepted in a statement.
const maxParams = 1000
