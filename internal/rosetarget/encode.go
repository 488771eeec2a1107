package rosetarget

import (
	"encoding/binary"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
)

func (s *session) sendRows(r *result, formats []int16) {
	for _, fields := range r.rows {
		values := make([][]byte, len(fields))
		for i, v := range fields {
			values[i] = encodeField(v, r.columns[i], formatCode(formats, i))
		}
		s.backend.Send(&pgproto3.DataRow{Values: values})
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
}

func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, c := range columns {
		fields[i] = pgproto3.FieldDescription{
			Name:         []byte(c.Name),
			DataTypeOID:  c.oid(),
			DataTypeSize: c.typeSize(),
			TypeModifier: -1,
			Format:       formatCode(formats, i),
		}
	}
	return &pgproto3.RowDescription{Fields: fields}
}

func (c column) oid() uint32 {
	if c.Integer {
		return oidInt8
	}
	return oidText
}

func (c column) typeSize() int16 {
	if c.Integer {
		return 8
	}
	return -1
}

func formatCode(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return 0
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return 0
}

func paramOID(oids []uint32, i int) uint32 {
	if i < len(oids) {
		return oids[i]
	}
	return oidText
}

func decodeParam(raw []byte, format int16, oid uint32) (value, error) {
	if raw == nil {
		return value{Null: true}, nil
	}
	if format == 0 || oid == oidText {
		return value{Text: string(raw)}, nil
	}
	switch len(raw) {
	case 8:
		return value{Text: strconv.FormatInt(int64(binary.BigEndian.Uint64(raw)), 10)}, nil
	case 4:
		return value{Text: strconv.FormatInt(int64(int32(binary.BigEndian.Uint32(raw))), 10)}, nil
	}
	return value{}, newError("22P03", "incorrect binary data format in bind parameter")
}

func encodeField(v value, c column, format int16) []byte {
	if v.Null {
		return nil
	}
	if format == 1 && c.Integer {
		number, _ := strconv.ParseInt(v.Text, 10, 64)
		return binary.BigEndian.AppendUint64(nil, uint64(number))
	}
	return []byte(v.Text)
}
