package rosetarget

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

func (s *session) extendedQuery(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Parse:
		return s.prepare(m)
	case *pgproto3.Bind:
		return s.bind(m)
	case *pgproto3.Describe:
		return s.describe(m)
	case *pgproto3.Execute:
		return s.executePortal(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.statements, m.Name)
		} else {
			delete(s.portals, m.Name)
		}
		s.backend.Send(&pgproto3.CloseComplete{})
		return nil
	}
	return newError("08P01", "unexpected message %T", message)
}

func (s *session) prepare(m *pgproto3.Parse) error {
	statements, err := parse(m.Query)
	if err != nil {
		return err
	}
	if len(statements) > 1 {
		return newError("42601", "cannot insert multiple commands into a prepared statement")
	}
	if s.statements[m.Name] != nil && m.Name != "" {
		return newError("42P05", "prepared statement %q already exists", m.Name)
	}
	p := &preparedStatement{statements: statements}
	if len(statements) == 1 {
		p.paramOIDs = s.inferParamTypes(statements[0], m.ParameterOIDs)
	}
	s.statements[m.Name] = p
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) bind(m *pgproto3.Bind) error {
	p := s.statements[m.PreparedStatement]
	if p == nil {
		return newError("26000", "prepared statement %q does not exist", m.PreparedStatement)
	}
	params := make([]value, len(m.Parameters))
	for i, raw := range m.Parameters {
		v, err := decodeParam(raw, formatCode(m.ParameterFormatCodes, i), paramOID(p.paramOIDs, i))
		if err != nil {
			return err
		}
		params[i] = v
	}
	s.portals[m.DestinationPortal] = &portal{prepared: p, params: params, formats: append([]int16(nil), m.ResultFormatCodes...)}
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(m *pgproto3.Describe) error {
	var p *preparedStatement
	var formats []int16
	if m.ObjectType == 'S' {
		if p = s.statements[m.Name]; p == nil {
			return newError("26000", "prepared statement %q does not exist", m.Name)
		}
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.paramOIDs})
	} else {
		found := s.portals[m.Name]
		if found == nil {
			return newError("34000", "portal %q does not exist", m.Name)
		}
		p, formats = found.prepared, found.formats
	}
	columns, err := s.resultColumns(p)
	if err != nil {
		return err
	}
	if columns == nil {
		s.backend.Send(&pgproto3.NoData{})
		return nil
	}
	s.backend.Send(rowDescription(columns, formats))
	return nil
}

func (s *session) executePortal(m *pgproto3.Execute) error {
	p := s.portals[m.Portal]
	if p == nil {
		return newError("34000", "portal %q does not exist", m.Portal)
	}
	if len(p.prepared.statements) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	r, err := s.execute(p.prepared.statements[0], p.params)
	if err != nil {
		return err
	}
	s.sendRows(r, p.formats)
	return nil
}
