package rosetarget

import "github.com/rosemarywell/rosemarywell/pkg/rosemary"

type position = rosemary.Position

// resultColumns returns the columns of a prepared statement's result, or nil if
// it returns no rows.
func (s *session) resultColumns(p *preparedStatement) ([]column, error) {
	if len(p.statements) == 0 {
		return nil, nil
	}
	st := p.statements[0]
	switch {
	case st.command == "show":
		return []column{{Name: st.settingName}}, nil
	case st.command != "select":
		return nil, nil
	case st.function != "":
		return functionColumns(st.function)
	case st.count:
		return countColumns, nil
	case st.table == "":
		return literalColumns(st), nil
	}
	t, err := s.target.lookupTable(st.table)
	if err != nil {
		return nil, err
	}
	columns, _, err := selectedColumns(t, st)
	return columns, err
}

// inferParamTypes returns the types of a statement's parameters: the declared
// ones, or else those of the columns that they are compared with, inserted into or
// assigned to. LIMIT takes an integer, and any other parameter is text.
func (s *session) inferParamTypes(st *statement, declared []uint32) []uint32 {
	types := make(map[int]uint32)
	t, _ := s.target.lookupTable(st.table)
	isInteger := func(name string) bool {
		if t == nil {
			return false
		}
		index := t.columnIndex(name)
		return index >= 0 && t.columns[index].Integer
	}
	setType := func(e *expression, integer bool) {
		for ; e != nil; e = e.addend {
			if e.param > 0 {
				types[e.param] = column{Integer: integer}.oid()
			}
		}
	}
	for _, expressions := range st.rows {
		for i := range expressions {
			name := ""
			if i < len(st.columns) {
				name = st.columns[i]
			} else if t != nil && i < len(t.columns) {
				name = t.columns[i].Name
			}
			setType(&expressions[i], isInteger(name))
		}
	}
	for i := range st.assignments {
		setType(&st.assignments[i].value, isInteger(st.assignments[i].column))
	}
	for i := range st.where {
		setType(&st.where[i].operand, isInteger(st.where[i].column))
	}
	for i := range st.args {
		setType(&st.args[i], false)
	}
	setType(st.limit, true)
	return paramOIDs(types, declared)
}

func paramOIDs(types map[int]uint32, declared []uint32) []uint32 {
	count := len(declared)
	for i := range types {
		count = max(count, i)
	}
	oids := make([]uint32, count)
	for i := range oids {
		oids[i] = oidText
		if oid, ok := types[i+1]; ok {
			oids[i] = oid
		}
		if i < len(declared) && declared[i] != 0 {
			oids[i] = declared[i]
		}
	}
	return oids
}
