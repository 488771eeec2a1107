package rosetarget

import "github.com/rosemarywell/rosemarywell/pkg/rosemary"

type position = rosemary.Position

// resultColumns returns the columns of a prepared statement's answer; nil for
// one without rows.
func (s *session) resultColumns(p *prepared) ([]column, error) {
	if len(p.statements) == 0 {
		return nil, nil
	}
	st := p.statements[0]
	switch {
	case st.verb == "show":
		return []column{{Name: st.name}}, nil
	case st.verb != "select":
		return nil, nil
	case st.function != "":
		return functionColumns(st.function)
	case st.count:
		return countColumns, nil
	case st.table == "":
		return literalColumns(st), nil
	}
	t, err := s.target.lookup(st.table)
	if err != nil {
		return nil, err
	}
	columns, _, err := selected(t, st)
	return columns, err
}

// paramTypes infers the types of a statement's parameters from the columns
// that they meet.
func (s *session) paramTypes(st *statement, given []uint32) []uint32 {
	types := make(map[int]uint32)
	t, _ := s.target.lookup(st.table)
	number := func(name string) bool {
		if t == nil {
			return false
		}
		at := t.index(name)
		return at >= 0 && t.columns[at].Integer
	}
	note := func(e *expression, isNumber bool) {
		for ; e != nil; e = e.addend {
			if e.param > 0 {
				types[e.param] = column{Integer: isNumber}.oid()
			}
		}
	}
	for _, list := range st.rows {
		for i := range list {
			name := ""
			if i < len(st.columns) {
				name = st.columns[i]
			} else if t != nil && i < len(t.columns) {
				name = t.columns[i].Name
			}
			note(&list[i], number(name))
		}
	}
	for i := range st.sets {
		note(&st.sets[i].value, number(st.sets[i].column))
	}
	for i := range st.where {
		note(&st.where[i].operand, number(st.where[i].column))
	}
	for i := range st.args {
		note(&st.args[i], false)
	}
	note(st.limit, true)
	return typeList(types, given)
}

func typeList(types map[int]uint32, given []uint32) []uint32 {
	highest := len(given)
	for i := range types {
		highest = max(highest, i)
	}
	list := make([]uint32, highest)
	for i := range list {
		list[i] = oidText
		if oid, ok := types[i+1]; ok {
			list[i] = oid
		}
		if i < len(given) && given[i] != 0 {
			list[i] = given[i]
		}
	}
	return list
}
