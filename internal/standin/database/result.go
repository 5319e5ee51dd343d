package database

import (
	"encoding/binary"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// The PostgreSQL object identifiers of the column types.
const (
	oidText uint32 = 25
	oidInt8 uint32 = 20
)

// formatBinary is the protocol's code for the binary format of a value.
const formatBinary = 1

// column is one column of a result.
type column struct {
	name    string
	typeOID uint32
}

// result is the result of a statement. Rows are built one by one, so that a
// large result does not need to fit into memory.
type result struct {
	columns []column
	// rowCount is the number of rows, and row returns one of them: a string for
	// each text column and an int64 for any other.
	rowCount int
	row      func(index int) []any
	tag      string
	// position is the position of the content that the statement read.
	position model.Position
	// committed is the position of the commit, or zero if there was none.
	committed model.Position
	notice    string
}

// oneRow returns a result of one row.
func oneRow(columns []column, values ...any) result {
	return result{
		columns: columns, tag: "SELECT 1", rowCount: 1,
		row: func(int) []any { return values },
	}
}

// manyRows returns a result of any number of rows.
func manyRows(columns []column, rowCount int, row func(index int) []any) result {
	return result{columns: columns, tag: "SELECT " + strconv.Itoa(rowCount), rowCount: rowCount, row: row}
}

// rowDescription returns the message that describes columns, in the formats
// that the client requested.
func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	fields := make([]pgproto3.FieldDescription, 0, len(columns))
	for i, c := range columns {
		size := int16(-1)
		if c.typeOID == oidInt8 {
			size = 8
		}
		fields = append(fields, pgproto3.FieldDescription{
			Name: []byte(c.name), DataTypeOID: c.typeOID, DataTypeSize: size,
			TypeModifier: -1, Format: formatOf(formats, i),
		})
	}
	return &pgproto3.RowDescription{Fields: fields}
}

// formatOf returns the format of a column. The slice formats holds no element,
// one for all columns, or one for each column.
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

// dataRow returns the message that holds a row.
func dataRow(row []any, formats []int16) *pgproto3.DataRow {
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
