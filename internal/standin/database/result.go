package database

import (
	"encoding/binary"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// The types of columns, by their object identifiers.
const (
	oidText uint32 = 25
	oidInt8 uint32 = 20
)

// formatBinary is the protocol's code of the binary form of a value.
const formatBinary = 1

// column is one column of an answer.
type column struct {
	name string
	oid  uint32
}

// result is the answer of a statement. Rows are made one by one, so that a
// large answer needs no large memory.
type result struct {
	columns []column
	// length is the number of rows, row makes one of them: strings for text
	// columns, int64 for others.
	length int
	row    func(index int) []any
	tag    string
	// position is that of the state that was read.
	position model.Position
	// committed is the position of the commit, zero where there was none.
	committed model.Position
	notice    string
}

// oneRow returns a result of one row.
func oneRow(columns []column, values ...any) result {
	return result{
		columns: columns, tag: "SELECT 1", length: 1,
		row: func(int) []any { return values },
	}
}

// manyRows returns a result of any number of rows.
func manyRows(columns []column, length int, row func(index int) []any) result {
	return result{columns: columns, tag: "SELECT " + strconv.Itoa(length), length: length, row: row}
}

// described returns the message that announces columns in the formats that the
// client asked for.
func described(columns []column, formats []int16) *pgproto3.RowDescription {
	fields := make([]pgproto3.FieldDescription, 0, len(columns))
	for i, c := range columns {
		size := int16(-1)
		if c.oid == oidInt8 {
			size = 8
		}
		fields = append(fields, pgproto3.FieldDescription{
			Name: []byte(c.name), DataTypeOID: c.oid, DataTypeSize: size,
			TypeModifier: -1, Format: formatOf(formats, i),
		})
	}
	return &pgproto3.RowDescription{Fields: fields}
}

// formatOf returns the format of a column: formats holds none, one for all, or
// one for each.
func formatOf(formats []int16, index int) int16 {
	switch len(formats) {
	case 0:
		return 0
	case 1:
		return formats[0]
	}
	if index < len(formats) {
		return formats[index]
	}
	return 0
}

// encoded returns the message that carries a row.
func encoded(row []any, formats []int16) *pgproto3.DataRow {
	values := make([][]byte, 0, len(row))
	for i, value := range row {
		values = append(values, encodeValue(value, formatOf(formats, i)))
	}
	return &pgproto3.DataRow{Values: values}
}

func encodeValue(value any, format int16) []byte {
	number, isNumber := value.(int64)
	switch {
	case !isNumber:
		return []byte(value.(string))
	case format == formatBinary:
		return binary.BigEndian.AppendUint64(nil, uint64(number))
	}
	return strconv.AppendInt(nil, number, 10)
}

func formatInt(value int) string { return strconv.Itoa(value) }

func formatBool(value bool) string {
	if value {
		return "t"
	}
	return "f"
}
